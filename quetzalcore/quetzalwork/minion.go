package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// MinionEntry is what the list of minions says of one.
type MinionEntry struct {
	ID      quetzalunit.MinionID
	Pool    quetzalunit.PoolID
	Address quetzalunit.Address
	Zone    quetzalunit.ZoneID
	// Draining tells that it takes no new work and ends after Remaining at the earliest.
	Draining  bool
	Remaining time.Duration
	Room      quetzalunit.Resources
	Labels    []quetzalunit.Label
	Rack      quetzalunit.RackID
	Life      quetzalunit.Life
	Host      quetzalunit.HostID
	// ColdFor is how much longer it is slow after its start.
	ColdFor time.Duration
}

// Minion is a minion of a pool.
type Minion struct {
	MinionEntry
	PoolRow Row
	// JoinedAt is when this process first saw it.
	JoinedAt quetzalunit.Instant
	// Listed tells that the list has it; one that was removed gets no new work.
	Listed bool
	// RemovedAt is when it left the list.
	RemovedAt quetzalunit.Instant
	// DrainUntil is when a draining minion may end.
	DrainUntil quetzalunit.Instant

	// Used is what its active runs occupy.
	Used quetzalunit.Resources
	// Runs are its active runs.
	Runs []Row

	// Heard tells that it has answered this process's token, for the first time at HeardAt.
	Heard   bool
	HeardAt quetzalunit.Instant
	// Clock is what its clock showed at ClockAt.
	Clock   quetzalunit.MinionTime
	ClockAt quetzalunit.Instant
	// Lease is the latest end of lease that any order has named.
	Lease quetzalunit.MinionTime
	// AnsweredAt is the instant of its last answer.
	AnsweredAt quetzalunit.Instant
	// Noted is the last end that is taken note of; Known the last that this process has seen.
	Noted, Known quetzalunit.EndNumber
	// Ends has the known ends that wait for their job's progress to be stored.
	Ends []PendingEnd
	// Holding tells that a hold is in flight, sent at HeldAt.
	Holding bool
	HeldAt  quetzalunit.Instant
	// StrangeSince is when it first listed work of a job that is not known; zero without.
	StrangeSince quetzalunit.Instant
	// HoldAt is the instant of the next hold; zero when none is planned.
	HoldAt quetzalunit.Instant
	// Misses counts consecutive calls without an answer.
	Misses int

	// Streak counts consecutive failed runs or refused starts, of different tasks.
	Streak int
	// RestUntil ends a time without new work; Rests counts them.
	RestUntil quetzalunit.Instant
	Rests     int
	// FullUntil ends a time without new work after a rejection for want of room.
	FullUntil quetzalunit.Instant
	// Slowness is the mean of run time over what is usual; 1 is usual.
	Slowness float64
	// IdleSince is when it last ran something.
	IdleSince quetzalunit.Instant
	// Over tells that a later minion runs on its host: nothing runs on this one any more.
	Over bool
	// Taken tells that an order has taken its host away: this life gets no new work.
	Taken bool
	// CordonedUntil ends a wish to empty it for an order to its host; zero without.
	CordonedUntil quetzalunit.Instant
}

// Free returns the room that is left.
func (m *Minion) Free() quetzalunit.Resources {
	return m.Room.Minus(m.Used)
}

// PendingEnd is an end whose job's progress is to be stored before it is taken note of.
type PendingEnd struct {
	Number quetzalunit.EndNumber
	// Job's progress must have been stored up to Changes; zero when nothing needs to be.
	Job     Row
	Changes int
}

// RunEnd is how a run ended.
type RunEnd uint8

// The ends of a run.
const (
	EndDone RunEnd = iota
	EndFailed
	EndStopped
	EndLapsed
	EndBroken
	EndAlone
)

// TaskName names a task across the fleet.
type TaskName struct {
	Job quetzalunit.JobID
	TaskRef
}

// ListedRun is a run that a minion lists as running.
type ListedRun struct {
	Task       TaskName
	Number     quetzalunit.RunNumber
	Checkpoint quetzalunit.Checkpoint
	Percent    int
	Reading    int64
}

// ListedEnd is an end that a minion lists.
type ListedEnd struct {
	Number     quetzalunit.EndNumber
	Task       TaskName
	Run        quetzalunit.RunNumber
	End        RunEnd
	Checkpoint quetzalunit.Checkpoint
}

// HostState is what the platform says of a host.
type HostState uint8

// The states of a host.
const (
	HostUp HostState = iota
	HostMoving
	HostInMaintenance
	HostDown
)

// Host is a machine on which one minion runs at a time.
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

// WavePlan asks for the maintenance of hosts.
type WavePlan struct {
	ID    quetzalunit.WaveID
	Hosts []quetzalunit.HostID
	// Within is the time in which it is to be completed, Cap how many hosts may be away at once.
	Within time.Duration
	Cap    int
}

// Wave is a maintenance wave.
type Wave struct {
	WavePlan
	// SeenAt is when this process first saw it.
	SeenAt quetzalunit.Instant
	// Steps has the state of each host, in the order of Hosts.
	Steps []WaveStep
	// Storing tells that a transaction with the hosts that are done is in flight, and Unstored
	// that more are done since.
	Storing, Unstored bool
	// Said is the state that the store has; Saying the one in flight, empty without.
	Said, Saying WaveState
}

// WaveState is the stored state of a wave.
type WaveState string

// The states of a wave.
const (
	WaveUnsaid    WaveState = ""
	WaveRunning   WaveState = "Running"
	WaveCompleted WaveState = "Completed"
)

// WaveStepState is how far the maintenance of one host is.
type WaveStepState uint8

// The states of the maintenance of one host.
const (
	StepWaiting WaveStepState = iota
	// StepEmptying waits until the dispatcher has emptied the host's minion.
	StepEmptying
	// StepOrdered waits for the answer to the order.
	StepOrdered
	// StepAway is in maintenance.
	StepAway
	// StepDone has been maintained.
	StepDone
)

// WaveStep is the maintenance of one host.
type WaveStep struct {
	State WaveStepState
	// Asking tells that a question to the dispatcher, or an order to the host, is in flight.
	Asking bool
	// Told tells that the dispatcher knows that the host is away.
	Told bool
	// Safe tells that nothing that must last is left on the host's minion.
	Safe bool
	// Since is when the state began; RetryAt the earliest next try.
	Since, RetryAt quetzalunit.Instant
}

// Move takes a host to another pool.
type Move struct {
	Host     quetzalunit.HostID
	From, To quetzalunit.PoolID
	// Ordered tells that the order was given; Asking that a question to the dispatcher, or the
	// order, is in flight.
	Ordered, Asking bool
	// Taken tells that the order was taken, at Since.
	Taken          bool
	Since, RetryAt quetzalunit.Instant
	Tries          int
}

// Conductor is the state of the duty that gives orders to hosts.
type Conductor struct {
	Duty Duty
	Held bool
	// Token is this process's fencing token; TakenAt when it took over.
	Token   quetzalunit.FencingToken
	TakenAt quetzalunit.Instant
	// OrdersFrom is when the orders of a predecessor are over.
	OrdersFrom quetzalunit.Instant
	// Barred are the hosts that a predecessor has ordered a short time ago, with the end of the
	// time in which another holder's order would take turns with its own.
	Barred map[quetzalunit.HostID]quetzalunit.Instant
	// Ordered are the hosts that this process has ordered, with the instants.
	Ordered map[quetzalunit.HostID]quetzalunit.Instant
	// HostsAt is when the hosts were last read; Reading true while a read is in flight.
	HostsAt quetzalunit.Instant
	Reading bool
	// WavesLoaded tells that the stored states of the waves are known.
	WavesLoaded bool
}
