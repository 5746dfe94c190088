// Command quetzalload drives a fleet and judges it.
//
// `run` sends seeded open-loop arrivals to entries, compares the answers with
// the minions' own logs and writes a report; `replay` sends a recorded trace.
// Its status is 1 when a promise broke.
package main
