// Package quetzalproof proves the promises with real processes on loopback. It
// has no code besides tests: they build the programs, start them, put a faulty
// link between them, kill, freeze and cut them, and judge by the minions' logs.
package quetzalproof
