// Package quetzalproof tests the guarantees of the system end to end, with real processes on
// loopback. It has no code besides tests: they build and start the programs, connect them
// through proxies that can be cut, kill, suspend and isolate them under load, and compare the
// answers to callers with the minions' records of runs.
package quetzalproof
