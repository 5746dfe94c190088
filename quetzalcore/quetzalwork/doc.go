// Package quetzalwork holds the tables of the work that minions run under leases:
// jobs, their steps and tasks, the runs of tasks, the minions and the pools.
//
// A World changes only in a tick: the systems of package quetzalscheduler apply the
// waiting Inputs to the tables and append Commands, which the program performs.
// Nothing here performs I/O, reads a clock or knows an encoding: the same inputs,
// instants and seed give the same commands.
//
// A job belongs to a queue, a queue to a pool. One entry at a time dispatches a pool.
// It holds the pool's duty: a row of the platform's store, whose revision at takeover
// is the fencing token that minions compare. What must last lies in the store: the
// accepted job, its progress and its cancellation. What runs is known by the minions,
// which list it with each answer.
package quetzalwork
