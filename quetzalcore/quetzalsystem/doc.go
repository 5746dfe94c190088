// Package quetzalsystem holds the systems that run over the tables of a World.
//
// Tick applies the waiting inputs, fires the timers that are due and runs every
// system once, in the order written in tick.go. A system is a function of the
// World alone. Its work follows what changed: it takes a set of changed rows or
// a timer, never a whole table of requests.
//
//	request.go   arrival, admission, cancellation and outcome of requests
//	line.go      lanes of a queue and fair sharing between teams
//	claim.go     claims of requests whose id the caller chose
//	job.go       requests that are accepted with status 202
//	sweep.go     deletion of old claims, jobs and changes
//	dispatch.go  choice of a host and start of attempts
//	forward.go   requests handed to a zone with hosts of their pool
//	attempt.go   end of attempts, retry
//	eject.go     ejection of hosts that fail
//	row.go       stored rows applied to the tables
//	poll.go      reads of the platform
//	gossip.go    messages between entries
//	roster.go    the zone's roster of entries
//	guest.go     entries that serve before they are in the roster
//	duty.go      the lease on the zone's duties
//	budget.go    availability budgets
//	plan.go      moves and reboots of hosts
//	wave.go      maintenance waves
//	demand.go    moves that follow demand
//	setting.go   effective settings
//	change.go    operators' changes
//	view.go      operators' queries
//	stop.go      planned stop
package quetzalsystem
