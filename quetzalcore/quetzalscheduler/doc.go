// Package quetzalscheduler implements the systems that run over the tables of a
// quetzalwork.World.
//
// Tick applies the pending inputs, fires the timers that are due and then runs every system once,
// in the order of the list in tick.go. A system reads and writes the World only: it performs no I/O
// and reads no clock.
//
//	config.go          configuration in force, routing of paths to queues
//	member.go          membership of the entries
//	duty.go            ownership of the duties
//	dispatch.go        begin and end of the dispatch of a pool
//	census.go          minions that are alive and not known after a takeover
//	releasedleases.go  what the release of a pool's duty tells of the leases on its minions
//	standby.go         entries that may take over duties
//	submit.go          acceptance of jobs
//	jobrequest.go      queries and cancellations of callers
//	peer.go            messages between entries
//	poolread.go        reading of the stored rows of a pool's jobs
//	job.go             steps that become runnable, outcome of jobs
//	occurrence.go      occurrences of jobs
//	progress.go        storing of jobs' progress, acknowledgement of ended runs
//	minion.go          list of minions, leases, runs that minions report
//	restartedminion.go minions that start again under their ids
//	run.go             start, stop and end of runs
//	crash.go           tasks that crash the minions that start them
//	rank.go            order of the ready steps
//	place.go           choice of a minion for each task
//	reserve.go         gaps kept for large tasks
//	wait.go            why waiting tasks are not placed
//	listage.go         age of the minion list by which tasks start
//	capacity.go        free capacity of a pool's minions during one placement pass
//	gang.go            placement of tasks that must run at the same time
//	advice.go          steps that need the advisor's permission
//	watch.go           expired leases, unanswered orders, copies of slow runs, evacuation of minions
//	backlog.go         backlogs for the metrics
//	pace.go            slowing of best-effort tasks next to tasks that serve requests
//	demand.go          capacity that a pool's work could use, hosts that the pool could give away
//	move.go            moves of hosts to the pools with waiting work
//	hostplan.go        sums over hosts, moves and waves for one pass of the host controller
//	hostcontrol.go     the host controller's duty, whose holder gives orders to hosts
//	wave.go            maintenance waves
//	stop.go            planned stop
package quetzalscheduler
