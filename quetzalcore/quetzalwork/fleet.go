package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// FleetConfig is one version of the operators' configuration, in full.
type FleetConfig struct {
	Version quetzalunit.Version
	Queues  []QueueSpec
	Pools   []PoolSpec
	// MaxBody is the largest body of a submission, in bytes.
	MaxBody int64
}

// QueueSpec declares a queue: where it is addressed and how its jobs are run.
type QueueSpec struct {
	ID   quetzalunit.QueueID
	Host string
	Path string
	Pool quetzalunit.PoolID
	// Priority orders the queues of a pool.
	Priority quetzalunit.Priority
	// MaxAttempts is the number of failed runs of a task after which its job has failed.
	MaxAttempts quetzalunit.Failures
	// Stretch and Target make a job's objective: Stretch times its longest chain of work,
	// and Target more.
	Stretch float64
	Target  time.Duration
	// Advice tells what each question to the advisor costs; nil where none is needed.
	Advice *AdviceSpec
}

// AdviceSpec tells how long the advisor takes.
type AdviceSpec struct{ Base, PerMinion, Valid time.Duration }

// PoolSpec declares a pool.
type PoolSpec struct {
	ID quetzalunit.PoolID
	// Guards tells that the pool's minions reject what does not fit.
	Guards bool
	// Spare hosts are off and cost nothing.
	Spare bool
}

// Queue is a queue in force.
type Queue struct {
	QueueSpec
	// Pending is the last known number of jobs of which no task has started, read at PendingAt.
	Pending   quetzalunit.Tasks
	PendingAt quetzalunit.Instant
	// Removed tells that no configuration in force has the queue; its jobs run on.
	Removed bool
}

// FleetWatch is the state of the watch on the operators' rows.
type FleetWatch struct {
	Version quetzalunit.Version
	Known   bool
	MaxBody int64
	// Seen is the revision up to which the rows are known.
	Seen quetzalunit.Revision
	// AnsweredAt is the instant of the last answer.
	AnsweredAt quetzalunit.Instant
}

// Pool is a pool of minions and, at the entry that dispatches it, its work.
type Pool struct {
	PoolSpec
	// Duty is the row that tells who dispatches the pool.
	Duty Duty
	// Held is true while this process dispatches the pool.
	Held bool
	// Token is this process's fencing token, valid while Held.
	Token quetzalunit.FencingToken
	// TakenAt is when this process took over.
	TakenAt quetzalunit.Instant
	// Loaded tells that every stored row up to the takeover is known.
	Loaded bool
	// LoadFrom is the key from which the load goes on, LoadCall true while one is in flight.
	LoadFrom string
	LoadCall bool
	// LoadSentAt is when the first page of the last read was sent.
	LoadSentAt quetzalunit.Instant
	// Seen is the revision up to which the stored rows are known.
	Seen quetzalunit.Revision
	// ReadDueAt is the instant of the next read of what changed.
	ReadDueAt quetzalunit.Instant
	// RowsSentAt is when the last successful read of the stored rows was sent.
	RowsSentAt quetzalunit.Instant
	// OldKnown tells that all that predecessors started and stored is known.
	OldKnown bool
	// Predecessor held the duty before and may live; its holder is empty otherwise.
	Predecessor Duty
	// PredecessorGone is the instant after which nothing that a predecessor started on a
	// silent minion runs any more.
	PredecessorGone quetzalunit.Instant
	// Minions are the pool's minions.
	Minions []Row
	// Ready are steps with tasks that wait for a minion.
	Ready []Row
	// DirtyJobs have progress to be stored; Committing is true while a transaction is in flight.
	DirtyJobs  quetzaltable.Set
	Committing bool
	// CommitNotBefore paces the transactions.
	CommitNotBefore quetzalunit.Instant
	// Submissions wait for the next transaction that stores jobs; SubmitCalls are in flight.
	Submissions quetzaltable.Set
	SubmitCalls int
	// StoreTime is the mean time of such a transaction.
	StoreTime time.Duration
	// SubmitNotBefore is the earliest next such transaction after one without success.
	SubmitNotBefore quetzalunit.Instant
	// Dirty asks for placement in this tick.
	Dirty bool
	// PlaceAt is the instant of the timer set for placement, zero without one.
	PlaceAt quetzalunit.Instant
	// Load is what its dispatcher last said of it, at LoadAt; LoadAsked tells that a question is
	// in flight. MeanWanted is what it has wanted on average. The conductor keeps them.
	Load       PoolLoad
	LoadAt     quetzalunit.Instant
	LoadAsked  bool
	MeanWanted float64
	// Offered is the mean work that arrives, in cores that it would keep busy, at OfferedAt;
	// OfferedLong the mean over a longer time.
	Offered, OfferedLong float64
	OfferedAt            quetzalunit.Instant
	// Short tells that the pool's work wants more than its usable minions offer.
	Short bool
	// Images are the learned run times.
	Images map[quetzalunit.QueueID]*RunTimes
}

// RunTimes are the learned run times of the tasks of a queue.
type RunTimes struct {
	// Mean is the mean measured time, of Count runs.
	Mean  time.Duration
	Count int
}

// Duty is the stored row that tells who dispatches a pool.
type Duty struct {
	// Holder is empty when the duty was given back or never taken.
	Holder      quetzalunit.EntryID
	Incarnation quetzalunit.Incarnation
	Address     quetzalunit.Address
	// Ordered are the hosts that a holder has ordered a short time before it gave the duty back.
	Ordered []quetzalunit.HostID
	// Revision is that of the row, zero before there is one.
	Revision quetzalunit.Revision
	// Taking is true while this process's takeover is in flight.
	Taking bool
	// RetryAt is the earliest next takeover.
	RetryAt quetzalunit.Instant
	// FreeSince is when this process first saw the duty without a live holder; zero with one.
	FreeSince quetzalunit.Instant
}

// Member is an entry of the fleet, as its row says.
type Member struct {
	Entry       quetzalunit.EntryID
	Incarnation quetzalunit.Incarnation
	Address     quetzalunit.Address
	Zone        quetzalunit.ZoneID
	Beat        quetzalunit.Beat
	Stopping    bool
	// Share is the processor that the entry has, in hundredths of a core; 0 counts as one core.
	Share quetzalunit.Percent
	// ChangedAt is the instant of the first of the uninterrupted reads that show this row.
	ChangedAt quetzalunit.Instant
	// RenewedAt is the instant of the first read that shows this row.
	RenewedAt quetzalunit.Instant
	// Listed tells that the last read had the row.
	Listed bool
}

// Membership is the state of an entry's own row and of its view of the others.
type Membership struct {
	Beat quetzalunit.Beat
	// RenewedAt is when the last successful renewal was sent; zero before the first.
	RenewedAt quetzalunit.Instant
	// ReadAt is the instant of the last successful read.
	ReadAt quetzalunit.Instant
	// ReadSentAt is when the last successful read was sent: until then this process held the
	// duties that it holds.
	ReadSentAt quetzalunit.Instant
	// Reads counts the successful reads.
	Reads int
	// Seen is the revision up to which the rows are known.
	Seen quetzalunit.Revision
	// SharedAt is when this entry last gave a duty back to share the load.
	SharedAt quetzalunit.Instant
	// Renewing and Reading tell that a call is in flight.
	Renewing, Reading bool
	// ReadAgain asks for another read after the one in flight.
	ReadAgain bool
	// Reachable tells that the last call was answered.
	Reachable bool
}

// MinionList is the state of the reads of the list of minions.
type MinionList struct {
	Seen    quetzalunit.Revision
	Reading bool
	// AnsweredAt is the instant of the last answer.
	AnsweredAt quetzalunit.Instant
	// WatchedSince is the instant of the first answer: minions that left the list before are
	// not known.
	WatchedSince quetzalunit.Instant
}
