// Package quetzalfleet holds the entity tables of one entry and the World that
// owns them.
//
// A World changes only during a tick: the systems of package quetzalsystem apply the pending Inputs
// to the tables and emit Commands, which the entry program executes afterwards. A World performs no
// I/O, reads no clock and has its own seeded source of random numbers, so it is deterministic: the
// same inputs, instants and seed yield the same commands.
//
// Inputs, commands, the rows of the platform's table service (StoredRow), the
// policies that settings select, timers and outcomes are sealed interfaces; code
// that handles them is a type switch over every case.
//
// A store call is a call of the platform: of its table service, its object store
// or its host API.
//
// A job is a request that was accepted with status 202. The jobs, pools, queues, hosts and duties of
// package quetzalwork belong to another program, the job scheduler, and are kept apart from these.
package quetzalfleet
