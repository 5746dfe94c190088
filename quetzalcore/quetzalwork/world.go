package quetzalwork

import (
	"math/rand/v2"
	"time"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Row refers to an entity of a table.
type Row = quetzaltable.Row

// Identity describes this entry process.
type Identity struct {
	Entry       quetzalunit.EntryID
	Zone        quetzalunit.ZoneID
	Incarnation quetzalunit.Incarnation
	// PeerAddress is the address at which the other entries reach this one.
	PeerAddress quetzalunit.Address
	// CPUShare is the processor time that this entry has, in hundredths of a core; 0 counts as one
	// core.
	CPUShare quetzalunit.Percent
	// Seed seeds the World's random number generator.
	Seed uint64
}

// Bounds are the durations and factors that the platform guarantees or requires, from the
// settings file.
type Bounds struct {
	// MaxLease is the longest lease that a minion grants.
	MaxLease time.Duration
	// StopTimeout is the longest time that a minion takes to stop a run.
	StopTimeout time.Duration
	// DrainNotice is how long after its record says that it leaves a minion may still get work. Zero
	// stands for the default of quetzalscheduler.
	DrainNotice time.Duration
	// RemoteFactor is the factor by which the run time of a task grows if it runs away from its
	// data.
	RemoteFactor float64
	// OrderLease is how long after an order to a host no other entry may send that host an order.
	OrderLease time.Duration
	// MoveTime and MaintenanceTime are how long a host is out of service for a move and for
	// maintenance.
	MoveTime, MaintenanceTime time.Duration
	// StopGrace is the time between the request to shut down and the end of the process.
	StopGrace time.Duration
	// KeyRevocation is how long after the withdrawal of an account's key no entry may run calls on it,
	// whatever the entry's state; 0 if that is not required.
	KeyRevocation time.Duration
	// ConfigApply is how long after its acknowledgement a configuration has to be in force at every entry that reaches
	// the store; 0 if there is no bound.
	ConfigApply time.Duration
	// JobRetention is how long the state of a job must be known after its end. Zero stands for the default of
	// RowRetention.
	JobRetention time.Duration
	// KeepGaps reports whether placement keeps gaps for large tasks.
	KeepGaps bool
}

const (
	// defaultJobRetention is the JobRetention of a platform that names none.
	defaultJobRetention = 2 * time.Minute
	// retentionMargin is the time between the end of JobRetention and the removal of rows. Requests and transactions
	// that were sent before an entry or the store stopped for seconds arrive within it.
	retentionMargin = 30 * time.Second
)

// RowRetention returns how long the rows of a job are kept after its end, and those of a cancelled ID that no job had.
func (b *Bounds) RowRetention() time.Duration {
	if b.JobRetention == 0 {
		return defaultJobRetention + retentionMargin
	}
	return b.JobRetention + retentionMargin
}

// World holds all state of one entry's scheduler. The zero value is an empty World. It is not
// safe for concurrent use.
type World struct {
	Self   Identity
	Bounds Bounds
	// StartedAt is when the process started.
	StartedAt quetzalunit.Instant
	// Now is the instant of the current tick. It never decreases.
	Now quetzalunit.Instant
	// WallClockOffset is the offset of the wall clock from Now. Occurrences of jobs are due by the
	// wall clock; everything else follows Now, which no clock adjustment changes.
	WallClockOffset time.Duration

	Queues      quetzaltable.Table[Queue]
	Pools       quetzaltable.Table[Pool]
	Members     quetzaltable.Table[Member]
	Submissions quetzaltable.Table[Submission]
	JobRequests quetzaltable.Table[JobRequest]
	Jobs        quetzaltable.Table[Job]
	Steps       quetzaltable.Table[Step]
	Tasks       quetzaltable.Table[Task]
	Runs        quetzaltable.Table[Run]
	Minions     quetzaltable.Table[Minion]
	Waves       quetzaltable.Table[Wave]
	Hosts       quetzaltable.Table[Host]
	Moves       quetzaltable.Table[HostMove]
	// CancellationQuotas has the quotas of those accounts that have cancelled unknown jobs.
	CancellationQuotas quetzaltable.Table[CancellationQuota]

	PoolByID           quetzaltable.Index[quetzalunit.PoolID]
	QueueByID          quetzaltable.Index[quetzalunit.QueueID]
	MemberByID         quetzaltable.Index[quetzalunit.EntryID]
	JobByID            quetzaltable.Index[quetzalunit.JobID]
	StepByKey          quetzaltable.Index[StepKey]
	RunByKey           quetzaltable.Index[RunKey]
	MinionByID         quetzaltable.Index[quetzalunit.MinionID]
	WaveByID           quetzaltable.Index[quetzalunit.WaveID]
	HostByID           quetzaltable.Index[quetzalunit.HostID]
	MoveByHost         quetzaltable.Index[quetzalunit.HostID]
	QuotaByAccount     quetzaltable.Index[quetzalunit.AccountID]
	SubmissionByCaller quetzaltable.Index[quetzalunit.CallerID]
	// RoutesByHost has the queues of the configuration in force by their HTTP hosts.
	RoutesByHost map[string]*HostRoutes

	// Timers are the pending timers. Tick fires those that are due.
	Timers quetzaltable.Timers[Timer]

	// Accounts are the client accounts.
	Accounts quetzalaccount.Registry

	Config         ConfigState
	StoreContact   StoreContact
	Membership     Membership
	MinionList     MinionList
	HostController HostController
	Census         Census
	// Stopping reports whether a graceful shutdown has begun, at StoppingSince.
	Stopping      bool
	StoppingSince quetzalunit.Instant
	// PendingReleases is the number of duties whose release is in progress.
	PendingReleases int

	// StartsInProgress is the number of the Runs that are RunStarting.
	StartsInProgress int
	// Meter measures the ticks. No decision depends on it.
	Meter Meter

	commands []Command
	rand     *rand.Rand
}

// Emit appends a command to those that the program executes after the tick.
func (w *World) Emit(c Command) {
	w.commands = append(w.commands, c)
}

// TakeCommands returns the commands since the last call.
func (w *World) TakeCommands() []Command {
	commands := w.commands
	w.commands = nil
	return commands
}

// After sets a timer that fires after d.
func (w *World) After(d time.Duration, t Timer) {
	w.Timers.Push(w.Now.Add(d), t)
}

// Rand returns the World's random number generator.
func (w *World) Rand() *rand.Rand {
	if w.rand == nil {
		w.rand = rand.New(rand.NewPCG(w.Self.Seed, uint64(len(w.Self.Entry)))) //nolint:gosec // not used for secrets
	}
	return w.rand
}

// Jitter returns a random duration between 3/4 and 5/4 of d.
func (w *World) Jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(w.Rand().Int64N(int64(d/2)+1))
}

// Log emits a LogDecision.
func (w *World) Log(d Decision) {
	w.Emit(LogDecision{Decision: d})
}
