// Package quetzalsystem holds the systems that run over the tables of a World.
//
// Tick applies the pending inputs, fires the due timers and runs every system
// once, in the order listed in tick.go. A system depends only on the World. To
// keep the cost of a tick independent of the number of live requests, a system
// works on a set of changed rows or on the entity of a timer and does not scan
// the request table. The start of a planned stop is the exception.
//
//	request.go   admission, cancellation and outcomes of requests
//	fairqueue.go lanes of a queue and fair queueing between teams
//	claim.go     claims on requests with an id chosen by the caller
//	job.go       jobs: requests accepted with status 202
//	sweep.go     deletion of expired claims, jobs and changes
//	dispatch.go  host selection and start of attempts
//	forward.go   forwarding of requests to a zone with hosts of their pool
//	attempt.go   results of attempts and retries
//	eject.go     outlier ejection of failing hosts
//	row.go       stored rows applied to the tables
//	poll.go      platform calls and their answers
//	gossip.go    gossip between entries
//	roster.go    the zone's roster of entries
//	guest.go     entries that serve before they have joined the roster
//	duty.go      the lease on the zone's duties
//	budget.go    availability budgets
//	plan.go      planning of host moves and reboots
//	wave.go      maintenance waves
//	demand.go    host moves driven by demand
//	setting.go   effective settings
//	change.go    operators' changes
//	view.go      operators' queries
//	stop.go      planned stop of an entry
package quetzalsystem
