// Package quetzalscheduler holds the systems that run over the tables of a work World.
//
// Tick applies the waiting inputs, fires the timers that are due and runs every system
// once, in the order written in tick.go. A system is a function of the World alone.
//
//	fleet.go     the configuration in force, and which queue a path names
//	member.go    the entries of the fleet and who dispatches which pool
//	submit.go    acceptance of jobs
//	ask.go       questions and cancellations of callers
//	peer.go      messages between entries
//	load.go      stored rows of a pool's jobs
//	job.go       unfolding of jobs, opening of steps, outcome of jobs
//	progress.go  what is stored of a job's progress, and which ends are noted
//	minion.go    the list of minions, leases, and what minions list
//	run.go       starts, stops and ends of runs
//	rank.go      which step goes first
//	place.go     which minion a task goes to
//	room.go      what a pool's minions have left during one pass
//	gang.go      placement of tasks that work only together
//	advice.go    steps that need the advisor's permission
//	watch.go     starts without answer, stalls, copies against stragglers
//	view.go      backlogs for the metrics
//	pace.go      filling tasks slowed for the sake of those that serve
//	demand.go    what a pool's work could use, and what the pool could give away
//	move.go      hosts moved to where work waits
//	conduct.go   the duty that gives orders to hosts
//	wave.go      maintenance waves
//	stop.go      planned stop
package quetzalscheduler
