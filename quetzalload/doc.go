// Command quetzalload sends load to a fleet and checks the answers.
//
// The command run sends seeded open-loop arrivals, or a recorded plan with --replay, to
// entries. It checks the answers against the run logs of the minions and writes a report.
// Its exit status is 1 when a guarantee was violated.
//
// The command compare runs simulated experiments that compare policies.
package main
