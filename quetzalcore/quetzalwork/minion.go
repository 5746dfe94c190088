package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// MinionEntry is a minion's entry in the list of minions, which the minions maintain themselves.
type MinionEntry struct {
	ID      quetzalunit.MinionID
	Pool    quetzalunit.PoolID
	Address quetzalunit.Address
	Zone    quetzalunit.ZoneID
	// Draining reports whether the minion is about to shut down: it takes no new runs, and ends
	// after Remaining at the earliest.
	Draining  bool
	Remaining time.Duration
	// Room is the capacity of the minion, whether in use or not.
	Room   quetzalunit.Resources
	Labels []quetzalunit.Label
	Rack   quetzalunit.RackID
	Life   quetzalunit.Life
	Host   quetzalunit.HostID
	// ColdFor is the remaining time in which the minion runs slower after its start.
	ColdFor time.Duration
}

// Minion is a minion of a pool. The fields from Used to IdleSince are maintained only by the
// pool's dispatcher.
type Minion struct {
	MinionEntry
	PoolRow Row
	// JoinedAt is when this process first saw the minion.
	JoinedAt quetzalunit.Instant
	// Listed reports whether the minion is in the list. One that has left it gets no new runs.
	Listed bool
	// RemovedAt is when the minion left the list.
	RemovedAt quetzalunit.Instant
	// DrainUntil is the earliest end of a draining minion.
	DrainUntil quetzalunit.Instant

	// Used are the resources that the active runs reserve.
	Used quetzalunit.Resources
	// Runs are the active runs.
	Runs []Row

	// Heard reports whether the minion has accepted an order with this process's token. It then
	// accepts none of earlier dispatchers, and its active runs are known. HeardAt is when it
	// first did.
	Heard   bool
	HeardAt quetzalunit.Instant
	// Clock is the time on the minion's clock at ClockAt.
	Clock   quetzalunit.MinionTime
	ClockAt quetzalunit.Instant
	// Lease is the latest end of the lease that any order has granted.
	Lease quetzalunit.MinionTime
	// AnsweredAt is when the minion last answered a poll.
	AnsweredAt quetzalunit.Instant
	// Noted is the last end that may be acknowledged, Known the last one that this process has
	// applied.
	Noted, Known quetzalunit.EndNumber
	// Ends are the applied ends that must not be acknowledged yet.
	Ends []PendingEnd
	// Holding reports whether a poll is in flight. HeldAt is when the last one was sent.
	Holding bool
	HeldAt  quetzalunit.Instant
	// StrangeSince is since when the minion has listed runs or ends of unknown jobs; zero if it
	// lists none.
	StrangeSince quetzalunit.Instant
	// HoldAt is the instant of the next poll, zero if none is scheduled.
	HoldAt quetzalunit.Instant
	// Misses counts the calls in a row that had no answer.
	Misses int

	// Streak counts the failures in a row: refused starts, and the first failed run of each
	// task.
	Streak int
	// RestUntil is when the minion gets new runs again after too many failures in a row. Rests
	// counts these pauses, which grow longer, since the last successful run.
	RestUntil quetzalunit.Instant
	Rests     int
	// FullUntil is when the minion gets new runs again after it rejected one that does not fit,
	// or refused one.
	FullUntil quetzalunit.Instant
	// Slowness is the moving average of the run times in relation to those of other runs of the
	// same step; 1 is normal.
	Slowness float64
	// IdleSince is when the last run ended.
	IdleSince quetzalunit.Instant
	// Over reports whether a later minion runs on the host: nothing runs on this one any more.
	Over bool
	// Taken reports whether the host has been ordered to move or into maintenance. The minion
	// gets no new runs until it has restarted.
	Taken bool
	// CordonedUntil is the time up to which the minion gets no new runs, because its host is to
	// be ordered away. The conductor extends it by repeated requests.
	CordonedUntil quetzalunit.Instant
}

// Free returns the resources that no active run reserves.
func (m *Minion) Free() quetzalunit.Resources {
	return m.Room.Minus(m.Used)
}

// PendingEnd is an end that is applied but not acknowledged. The acknowledgement must wait until
// the job's progress is stored: the minion forgets the end with it, and another dispatcher would
// run the task again.
type PendingEnd struct {
	Number quetzalunit.EndNumber
	// Changes is the number of changes of the progress of Job that must be stored. Job is zero
	// if the end can be acknowledged at once.
	Job     Row
	Changes int
}

// RunEnd is how a run ended, in the terms of the platform. EndDone completes the task, and
// EndFailed counts as a failed run. The others count as neither: the task is started again if it
// is still needed.
type RunEnd uint8

// Ends of a run.
const (
	EndDone RunEnd = iota
	EndFailed
	EndStopped
	// EndLapsed means that the lease expired. The scheduler also uses it for runs that were lost
	// with their minion or host.
	EndLapsed
	EndBroken
	EndAlone
)

// TaskName identifies a task within the fleet.
type TaskName struct {
	Job quetzalunit.JobID
	TaskRef
}

// ListedRun is a run that a minion lists as active. Percent and Reading are as in Run.
type ListedRun struct {
	Task       TaskName
	Number     quetzalunit.RunNumber
	Checkpoint quetzalunit.Checkpoint
	Percent    int
	Reading    int64
}

// ListedEnd is the end of a run. The minion lists it until it is acknowledged.
type ListedEnd struct {
	Number     quetzalunit.EndNumber
	Task       TaskName
	Run        quetzalunit.RunNumber
	End        RunEnd
	Checkpoint quetzalunit.Checkpoint
}

// HostState is the state of a host according to the platform.
type HostState uint8

// States of a host.
const (
	HostUp HostState = iota
	HostMoving
	HostInMaintenance
	HostDown
)

// Host is a machine, on which one minion runs at a time. Only the conductor's table is current.
type Host struct {
	ID     quetzalunit.HostID
	Pool   quetzalunit.PoolID
	State  HostState
	Zone   quetzalunit.ZoneID
	Rack   quetzalunit.RackID
	Labels []quetzalunit.Label
	Room   quetzalunit.Resources
	Minion quetzalunit.MinionID
}

// WavePlan is the operators' request for a maintenance wave: the maintenance of a set of hosts.
type WavePlan struct {
	ID    quetzalunit.WaveID
	Hosts []quetzalunit.HostID
	// Within is the time in which the wave is to be completed.
	Within time.Duration
	// Cap is how many of the hosts may be in maintenance, or emptied for it, at once.
	Cap int
}

// Wave is a maintenance wave with its progress.
type Wave struct {
	WavePlan
	// SeenAt is when this process first saw the plan.
	SeenAt quetzalunit.Instant
	// Steps has the maintenance of each host, in the order of Hosts.
	Steps []WaveStep
	// Storing reports whether a transaction with the maintained hosts is in flight, Unstored
	// whether another one must follow because more hosts were added since.
	Storing, Unstored bool
	// Said is the stored state, Saying the state that is being stored. WaveUnsaid stands for
	// none.
	Said, Saying WaveState
}

// WaveState is the stored state of a wave.
type WaveState string

// States of a wave.
const (
	WaveUnsaid    WaveState = ""
	WaveRunning   WaveState = "Running"
	WaveCompleted WaveState = "Completed"
)

// WaveStepState is the state of the maintenance of one host.
type WaveStepState uint8

// States of the maintenance of one host.
const (
	// StepWaiting means that the host's turn has not come yet.
	StepWaiting WaveStepState = iota
	// StepEmptying means that the dispatcher of the host's pool is moving work off the host.
	StepEmptying
	// StepOrdered means that the maintenance is to be ordered, or that the order has no answer
	// yet.
	StepOrdered
	// StepAway means that the order was accepted and the host is not up again.
	StepAway
	// StepDone means that the host has had its maintenance.
	StepDone
)

// WaveStep is the maintenance of one host.
type WaveStep struct {
	State WaveStepState
	// Asking reports whether a request to the dispatcher, or an order to the host, is in flight.
	Asking bool
	// Told reports whether the dispatcher was told that the host is in maintenance.
	Told bool
	// Safe reports whether the host's minion runs no lasting task: its other runs may be
	// interrupted.
	Safe bool
	// Since is when the state began, RetryAt the earliest next request or order.
	Since, RetryAt quetzalunit.Instant
}

// Move is the move of a host to another pool. The host is emptied first, and then ordered to
// move.
type Move struct {
	Host     quetzalunit.HostID
	From, To quetzalunit.PoolID
	// Ordered reports whether the host has been ordered to move, Asking whether a request to the
	// dispatcher or the order is in flight.
	Ordered, Asking bool
	// Taken reports whether the order was accepted.
	Taken bool
	// Since is when the order was accepted, and before that when the move began. RetryAt is the
	// earliest next request or order.
	Since, RetryAt quetzalunit.Instant
	// Tries counts the requests to empty the host, and once it is empty the orders.
	Tries int
}

// Conductor is the state of the conductor: the holder of the duty to give the orders to hosts,
// which moves and maintains them. One entry at a time holds it.
type Conductor struct {
	// Duty is the stored row that names the holder.
	Duty Duty
	// Held reports whether this process holds the duty.
	Held bool
	// Token is this process's fencing token, TakenAt the instant when it acquired the duty.
	Token   quetzalunit.FencingToken
	TakenAt quetzalunit.Instant
	// OrdersFrom is when the orders of the previous holder have been carried out or lost, so that
	// this process may give orders.
	OrdersFrom quetzalunit.Instant
	// Barred are the hosts that a previous holder ordered shortly before it released the duty,
	// each with the end of the time in which another holder must not order it.
	Barred map[quetzalunit.HostID]quetzalunit.Instant
	// Ordered are the hosts that this process has ordered, each with the instant of the last
	// order.
	Ordered map[quetzalunit.HostID]quetzalunit.Instant
	// HostsAt is when the hosts were last read.
	HostsAt quetzalunit.Instant
	// Reading reports whether a read of the hosts is in flight.
	Reading bool
	// WavesLoaded reports whether the stored states of the waves are known.
	WavesLoaded bool
}
