package quetzalwork

import (
	"math/rand/v2"
	"time"

	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Row identifies an entity of a table.
type Row = quetzaltable.Row

// Identity tells an entry who it is.
type Identity struct {
	Entry       quetzalunit.EntryID
	Zone        quetzalunit.ZoneID
	Incarnation quetzalunit.Incarnation
	// PeerAddress is where the other entries reach this one.
	PeerAddress quetzalunit.Address
	// Share is the processor that this entry has, in hundredths of a core; 0 counts as one core.
	Share quetzalunit.Percent
	// Seed starts the World's source of random numbers.
	Seed uint64
}

// Bounds are the times that the platform's operators promise or ask for.
type Bounds struct {
	// LongestLease is the longest lease that a minion grants.
	LongestLease time.Duration
	// StopTimeout is the longest time in which a minion stops a run.
	StopTimeout time.Duration
	// Remote multiplies the time of a task that runs away from its data.
	Remote float64
	// OrderLease is the time for which an order to a host excludes other holders.
	OrderLease time.Duration
	// MoveTime and MaintenanceTime are how long a host is away for a move and for maintenance.
	MoveTime, MaintenanceTime time.Duration
	// StopGrace is the time between a planned stop and the end of the process.
	StopGrace time.Duration
}

// World owns the tables of one entry. The zero value is an empty world.
type World struct {
	Self   Identity
	Bounds Bounds
	// StartedAt is when the process started.
	StartedAt quetzalunit.Instant
	// Now is the instant of the present tick; it never decreases.
	Now quetzalunit.Instant
	// WallClock is the time of day less Now, for occurrences that are due at a time of day.
	WallClock time.Duration

	Queues      quetzaltable.Table[Queue]
	Pools       quetzaltable.Table[Pool]
	Members     quetzaltable.Table[Member]
	Submissions quetzaltable.Table[Submission]
	Asks        quetzaltable.Table[Ask]
	Jobs        quetzaltable.Table[Job]
	Steps       quetzaltable.Table[Step]
	Tasks       quetzaltable.Table[Task]
	Runs        quetzaltable.Table[Run]
	Minions     quetzaltable.Table[Minion]
	Waves       quetzaltable.Table[Wave]
	Hosts       quetzaltable.Table[Host]
	Moves       quetzaltable.Table[Move]

	PoolByID     quetzaltable.Index[quetzalunit.PoolID]
	QueueByID    quetzaltable.Index[quetzalunit.QueueID]
	MemberByID   quetzaltable.Index[quetzalunit.EntryID]
	JobByID      quetzaltable.Index[quetzalunit.JobID]
	StepByKey    quetzaltable.Index[StepKey]
	RunByKey     quetzaltable.Index[RunKey]
	MinionByID   quetzaltable.Index[quetzalunit.MinionID]
	WaveByID     quetzaltable.Index[quetzalunit.WaveID]
	HostByID     quetzaltable.Index[quetzalunit.HostID]
	MoveByHost   quetzaltable.Index[quetzalunit.HostID]
	SubmissionOf quetzaltable.Index[quetzalunit.Caller]

	// Timers wakes the systems.
	Timers quetzaltable.Timers[Timer]

	// Fleet is the state of the watch on the operators' rows.
	Fleet FleetWatch
	// Membership is the state of this entry's own row and of its view of the others.
	Membership Membership
	// MinionList is the state of the reads of the list of minions.
	MinionList MinionList
	// Conductor is the state of the duty that gives orders to hosts.
	Conductor Conductor
	// Stopping tells that a planned stop has begun, at StopAt.
	Stopping bool
	StopAt   quetzalunit.Instant
	// Releases counts the duties that are being given back.
	Releases int

	commands []Command
	rand     *rand.Rand
}

// Emit appends a command.
func (w *World) Emit(c Command) {
	w.commands = append(w.commands, c)
}

// TakeCommands returns the commands since the last call.
func (w *World) TakeCommands() []Command {
	commands := w.commands
	w.commands = nil
	return commands
}

// After sets a timer.
func (w *World) After(d time.Duration, t Timer) {
	w.Timers.Push(w.Now.Add(d), t)
}

// Rand returns the World's source of random numbers.
func (w *World) Rand() *rand.Rand {
	if w.rand == nil {
		w.rand = rand.New(rand.NewPCG(w.Self.Seed, uint64(len(w.Self.Entry)))) //nolint:gosec // not used for secrets
	}
	return w.rand
}

// Jitter returns a random span between three quarters of d and five quarters of d.
func (w *World) Jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(w.Rand().Int64N(int64(d/2)+1))
}

// Log reports a decision.
func (w *World) Log(d Decision) {
	w.Emit(LogDecision{Decision: d})
}
