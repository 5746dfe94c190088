// Package quetzalwork holds the data model of the job scheduler: jobs, their steps and
// tasks, the runs of tasks, and the minions, pools and hosts that they run on.
//
// All state is kept in tables of entities, which a World owns. It changes only in a tick: the
// systems of package quetzalscheduler apply the pending Inputs to the tables and emit Commands,
// which the program then executes. Nothing here performs I/O, reads a clock or depends on an
// encoding, so that the same inputs, instants and seed give the same commands.
//
// A job belongs to a queue and a queue to a pool. One entry process at a time dispatches a pool: it
// holds the pool's duty, a leadership role that is recorded in a row of the platform's store. The
// revision of this row at the takeover is the dispatcher's fencing token; minions reject orders
// with a lower token than the highest that they have seen. A further duty, that of the host
// controller, covers the orders to hosts.
//
// Whatever must survive a restart is in the store: accepted jobs, their progress and their
// cancellations. Only the minions know which runs are active. They report them in each answer to a
// PollMinion.
//
// The jobs, pools, queues, hosts and duties of package quetzalfleet belong to another program, which
// passes single requests to minions, and are kept apart from these.
//
// The package has two kinds of rows. A Row refers to an entity of a table in memory. A
// stored row, such as a JobRow, is a row of the store; its revision is that of its last write.
package quetzalwork
