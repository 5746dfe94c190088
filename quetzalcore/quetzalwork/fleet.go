package quetzalwork

import (
	"hash/fnv"
	"time"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// FleetConfig is one complete version of the operators' configuration.
type FleetConfig struct {
	Version quetzalunit.Version
	Queues  []QueueSpec
	Pools   []PoolSpec
	// Accounts are the client accounts. If there are none, calls need no key.
	Accounts []quetzalaccount.Spec
	// MaxBodyBytes is the largest body of a submission, in bytes.
	MaxBodyBytes int64
}

// QueueSpec is the configuration of a queue: its address and how its jobs are run.
type QueueSpec struct {
	ID quetzalunit.QueueID
	// HTTPHost and PathPrefix are the HTTP host and the path prefix of the queue's jobs.
	HTTPHost   string
	PathPrefix string
	Pool       quetzalunit.PoolID
	// Priority orders the queues of a pool: the lowest value comes first.
	Priority quetzalunit.Priority
	// MaxAttempts is the number of failed runs of one task that fails its job; 0 is unlimited.
	MaxAttempts quetzalunit.Failures
	// Stretch and TargetDuration define the objective of a job, the time within which it is to be
	// completed: Stretch times the run time of its longest chain of steps, plus TargetDuration.
	Stretch        float64
	TargetDuration time.Duration
	// Advice is nil if steps may be placed without asking the advisor.
	Advice *AdviceSpec
	// Public reports whether calls need no key. Jobs of the queue then belong to no account.
	Public bool
}

// AdviceSpec describes the advisor's answers: a request takes Base plus PerMinion for each minion
// that it names, and the answer remains valid for ValidFor.
type AdviceSpec struct{ Base, PerMinion, ValidFor time.Duration }

// PoolSpec is the configuration of a pool.
type PoolSpec struct {
	ID quetzalunit.PoolID
	// EnforcesCapacity reports whether the pool's minions themselves reject runs that do not fit.
	EnforcesCapacity bool
	// Spare reports whether the pool holds spare hosts, which are switched off and cost nothing.
	Spare bool
}

// Queue is a queue of the current configuration or of an earlier one.
type Queue struct {
	QueueSpec
	// Pending is the number of jobs of which no task has started, as reported by the dispatcher
	// at PendingAt.
	Pending   quetzalunit.Tasks
	PendingAt quetzalunit.Instant
	// Removed reports whether the current configuration lacks the queue. Jobs that it accepted
	// before continue to run.
	Removed bool
}

// HostRoutes are the queues of an HTTP host.
type HostRoutes struct {
	// ByPrefix has the queues by their path prefixes.
	ByPrefix map[string]Row
	// PrefixLengths are the different lengths of these prefixes, longest first.
	PrefixLengths []int
}

// ConfigState is the state of the watch on the operators' rows, with the parts of the
// configuration that belong to no queue or pool.
type ConfigState struct {
	Version quetzalunit.Version
	// Known reports whether a configuration has been read.
	Known bool
	// MaxBodyBytes is the largest body of a submission, in bytes; 0 is unlimited.
	MaxBodyBytes int64
	// SeenRevision is the revision up to which the rows are known.
	SeenRevision quetzalunit.Revision
	// AnsweredAt is the instant of the last successful answer.
	AnsweredAt quetzalunit.Instant
	// ConfirmedAt is the latest instant for which an answer has shown what was in force.
	ConfirmedAt quetzalunit.Instant
	// Unreadable reports whether the newest configuration could not be decoded. ConfirmedAt stands still until one can.
	Unreadable bool
	// More reports whether the last answer left changes that are to be read at once.
	More bool
	// TooOld reports whether calls are refused because a newer configuration may have to be in force.
	TooOld bool
	// FailingSince is when the first of the reads that failed in a row was answered, or given up; zero if the last one
	// succeeded. FailureLoggedAt is when the log last said so.
	FailingSince, FailureLoggedAt quetzalunit.Instant
}

// StoreContact is when the store has answered this entry, directly or through another one.
type StoreContact struct {
	// AnsweredAt is the instant of the last answer. Since is that of the first answer after the last long silence.
	AnsweredAt, Since quetzalunit.Instant
}

// Pool is a pool of minions. At its dispatcher it also has the state of the pool's work, and at the
// host controller the load that its dispatcher reports.
type Pool struct {
	PoolSpec
	// Duty is the stored row that names the dispatcher.
	Duty Duty
	// Abandoned is zero unless no configuration that this process has seen names the pool and nobody dispatches it.
	Abandoned Abandoned
	// Held reports whether this process dispatches the pool.
	Held bool
	// Token is this process's fencing token, valid while Held. Restarts counts the
	// minions that joined the pool or restarted since, by what this process has seen, and the acknowledgements without
	// an answer: each raises the order token of a minion.
	Token    quetzalunit.FencingToken
	Restarts quetzalunit.Restarts
	// HeldSince is when this process became the dispatcher.
	HeldSince quetzalunit.Instant
	// JobsLoaded reports whether all rows that were stored before the takeover are known.
	JobsLoaded bool
	// NextKey is the key of the next page while all rows are read, empty otherwise.
	NextKey string
	// ReadInFlight reports whether a read of the rows is in flight.
	ReadInFlight bool
	// StartsLimited reports whether the last placement pass left tasks waiting because too many orders to start were
	// in progress.
	StartsLimited bool
	// ReadFailingSince is when the first of the reads of the rows that failed in a row was answered, or given up; zero
	// if the last one succeeded.
	ReadFailingSince quetzalunit.Instant
	// FirstPageSentAt is when the current or last read was sent; if it has several pages, the first
	// one.
	FirstPageSentAt quetzalunit.Instant
	// SeenRevision is the revision up to which the stored rows are known.
	SeenRevision quetzalunit.Revision
	// StoredRevision is the revision of the last transaction of this process's term that stored progress, zero if there is none;
	// StoredAt is when its answer came.
	StoredRevision quetzalunit.Revision
	StoredAt       quetzalunit.Instant
	// NextReadAt is the instant of the next read of changes.
	NextReadAt quetzalunit.Instant
	// CompletedReadSentAt is when the last completed read of the stored rows was sent: what was
	// stored before it is known.
	CompletedReadSentAt quetzalunit.Instant
	// PredecessorWorkKnown reports whether everything that earlier dispatchers started and stored
	// is known. Until then no task of a job that was stored before the takeover is started, since
	// it may be running or done.
	PredecessorWorkKnown bool
	// PredecessorWait is why PredecessorWorkKnown was not set in the last placement pass, empty if it was.
	PredecessorWait WaitReason
	// Predecessor is the previous holder of the duty while it may still be alive; its Holder is
	// empty otherwise.
	Predecessor Duty
	// PredecessorLeasesEnd is the instant after which the leases granted by earlier dispatchers
	// have expired, so that none of their runs is active on a minion that does not answer.
	PredecessorLeasesEnd quetzalunit.Instant
	// PredecessorProof tells by what PredecessorLeasesEnd is known unless ReleasedLeases tells it, PredecessorProvenAt since
	// when it counts.
	PredecessorProof    ProofKind
	PredecessorProvenAt quetzalunit.Instant
	// EarlierLeasesEnd is the same for the dispatchers before the predecessor, zero if their leases end
	// before those of the predecessor in any case. PredecessorLeasesEnd is never before it.
	EarlierLeasesEnd quetzalunit.Instant
	// ReleasedLeases is what the predecessor told of the leases when it released the duty, nil if it did
	// not. ReleasedFrom is the latest instant from which its times can count.
	ReleasedLeases *ReleasedLeases
	ReleasedFrom   quetzalunit.Instant
	// LookedBack reports whether the list has been asked which minions left it since ReleasedLeases.
	LookedBack bool
	// UntoldToken is the token of this process's last dispatch if that has ended and the next holder is not
	// known yet, who is to be told; zero otherwise.
	UntoldToken quetzalunit.FencingToken
	// DroppedAt is when this process ended its last dispatch without a release, since a minion had rejected its
	// token; zero if it did not.
	DroppedAt quetzalunit.Instant
	// OwnRelease is what this process told at its last release.
	OwnRelease *ReleasedLeases
	// Minions are the pool's minions.
	Minions []Row
	// ReadySteps are the runnable steps with waiting tasks whose jobs can still meet their
	// objectives. Each placement pass sorts them by rank.
	ReadySteps []Row
	// LateSteps are the other runnable steps with waiting tasks, in placement order. An entry is
	// obsolete if its step no longer has Late set.
	LateSteps []LateStep
	// WaitingSteps are the long-running steps of which tasks are without a run. A step that is not any more
	// is removed by the next check.
	WaitingSteps []Row
	// LastStartAt is when the last task was started, StallLoggedAt when the log last said that none starts.
	LastStartAt, StallLoggedAt quetzalunit.Instant
	// PlacedAt is the instant of the last placement pass.
	PlacedAt quetzalunit.Instant
	// MeanStoreJobsTime is the moving average of the time that a transaction takes that stores jobs.
	MeanStoreJobsTime time.Duration
	// Shards are the shards of the pool's job rows.
	Shards [ShardCount]PoolShard
	// NeedsPlacement requests a placement pass as soon as this process may start runs.
	NeedsPlacement bool
	// Configured reports whether a configuration has declared the pool. Others are named by a minion's
	// record or a stored row only.
	Configured bool
	// ListTooOld reports whether steps wait because the minion list is too old for starts. The next
	// read of the list requests a placement pass.
	ListTooOld bool
	// NextPlacementAt is the instant of the next timer for a placement pass, zero if none is set.
	NextPlacementAt quetzalunit.Instant
	// Load is the last load that the dispatcher reported, at LoadAt. Load, LoadAt,
	// LoadQueryInFlight and MeanWanted are maintained by the host controller.
	Load   PoolLoad
	LoadAt quetzalunit.Instant
	// LoadQueryInFlight reports whether a query for the load is in flight.
	LoadQueryInFlight bool
	// MeanWanted is the moving average of Load.Wanted, in thousandths of a core.
	MeanWanted float64
	// OfferedLoad is the moving average, as of OfferedLoadAt, of the work that arrives, in
	// thousandths of the cores that it would keep busy. OfferedLoadLong is the average over a
	// longer time.
	OfferedLoad, OfferedLoadLong float64
	OfferedLoadAt                quetzalunit.Instant
	// RunNumbersExhausted reports whether a task has no run number left in this term of the
	// dispatcher.
	RunNumbersExhausted bool
	// ShortOfCapacity reports whether the pool's work wants more cores than its usable minions have.
	ShortOfCapacity bool
	// Silences are the recent times at which minions have begun to miss answers, without those that
	// are idle, are to leave or have an isolated run.
	Silences []Silence
	// RunTimeStats has the measured run times of each queue's tasks.
	RunTimeStats map[quetzalunit.QueueID]*RunTimeStats
}

// Abandoned describes a pool that nobody dispatches any more.
type Abandoned struct {
	// Duty is the revision of the row of the duty that shows this.
	Duty quetzalunit.Revision
	// RunsEnd is the instant after which none of the pool's runs goes on.
	RunsEnd quetzalunit.Instant
}

// ShardCount is the number of shards of a pool's job rows. The store executes the transactions on a
// shard one after the other; at the peak of a large fleet a pool needs more of them than that allows.
const ShardCount = 4

// ShardOf returns the shard of a job's rows.
func ShardOf(job quetzalunit.JobID) quetzalunit.Shard {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job)) // never fails
	return quetzalunit.Shard(h.Sum32() % ShardCount)
}

// PoolShard is the state of the transactions on one shard of a pool's job rows.
type PoolShard struct {
	// ChangedJobs are the jobs whose progress has changed and is to be stored.
	ChangedJobs quetzaltable.Set
	// StoreProgressInFlight reports whether a transaction that stores progress is in flight.
	StoreProgressInFlight bool
	// StoreProgressNotBefore is the earliest start of the next such transaction, so that each
	// stores more changes.
	StoreProgressNotBefore quetzalunit.Instant
	// Submissions are the jobs to be stored by the next transaction.
	Submissions quetzaltable.Set
	// StoreJobsInFlight is the number of such transactions in flight.
	StoreJobsInFlight int
	// StoreSilent reports whether the last such transaction that ended had no answer.
	StoreSilent bool
	// StoreJobsNotBefore is the earliest start of the next such transaction after one that failed
	// or was slow.
	StoreJobsNotBefore quetzalunit.Instant
}

// RunTimeStats are the statistics of the run times of a queue's tasks.
type RunTimeStats struct {
	// Mean is the moving average over Count runs.
	Mean  time.Duration
	Count int
}

// HostControlDuty is the key of the host controller's duty, whose holder gives orders to hosts. The
// duty is stored among those of the pools.
const HostControlDuty quetzalunit.PoolID = "(hosts)"

// Duty is the stored row that names the holder of a duty, and this entry's attempts to acquire it.
// The holder of a pool's duty dispatches the pool; that of the host controller's duty gives the
// orders to hosts.
type Duty struct {
	// Holder is empty if the duty was released or never acquired.
	Holder quetzalunit.EntryID
	// Incarnation and Address are those of the holder.
	Incarnation quetzalunit.Incarnation
	Address     quetzalunit.Address
	// OrderedHosts are the hosts that the host controller ordered shortly before it released its
	// duty; its successor must not order them yet.
	OrderedHosts []quetzalunit.HostID
	// EarlierLeases is how long after the write of the row leases may last that earlier dispatchers than
	// the one that wrote it granted. It is zero if every successor waits as long anyway. In the row of
	// the host controller's duty it is how long orders of such holders may be carried out.
	EarlierLeases time.Duration
	// EarlierLeasesEnd is the instant by which these leases have ended, counted from when this process
	// first saw the row. It is zero if EarlierLeases is.
	EarlierLeasesEnd quetzalunit.Instant
	// Leases tells how long leases may last after a release of a pool's duty. It is nil in the row of a
	// holder, and in one that an earlier version wrote.
	Leases *ReleasedLeases
	// LeasesFrom is the latest instant from which the times in Leases can count.
	LeasesFrom quetzalunit.Instant
	// Revision is the revision of the row, zero if it does not exist.
	Revision quetzalunit.Revision
	// Acquiring reports whether an attempt of this process to acquire the duty is in flight.
	Acquiring bool
	// RetryAt is the earliest next attempt.
	RetryAt quetzalunit.Instant
	// FreeSince is when this process first saw the duty without a live holder; zero if it has
	// one.
	FreeSince quetzalunit.Instant
	// LeftTo is the entry that was selected to take the duty over while it is free.
	LeftTo quetzalunit.EntryID
}

// Member is an entry of the fleet according to its stored row.
type Member struct {
	Entry       quetzalunit.EntryID
	Incarnation quetzalunit.Incarnation
	Address     quetzalunit.Address
	Zone        quetzalunit.ZoneID
	// Heartbeat grows with each renewal of the row: an entry whose row stays the same for too long
	// is considered dead.
	Heartbeat quetzalunit.Heartbeat
	// Revision is that of the row.
	Revision quetzalunit.Revision
	// Stopping reports whether the entry is shutting down and acquires no duty.
	Stopping bool
	// CPUShare is the processor time that the entry has, in hundredths of a core; 0 counts as one
	// core.
	CPUShare quetzalunit.Percent
	// UnchangedSince is the instant since which the row has shown no renewal. It moves forward after
	// a gap between reads, during which renewals may have been missed or impossible.
	UnchangedSince quetzalunit.Instant
	// RenewalSeenAt is the instant of the read that showed the last renewal.
	RenewalSeenAt quetzalunit.Instant
	// Listed reports whether the row exists, as of the last complete read or a later one.
	Listed bool
	// PassedOverUntil is the instant until which no duty is left to the entry, because it did not take over one
	// that it was the best candidate for. It is zero once the entry holds a duty or runs as another process.
	PassedOverUntil quetzalunit.Instant
}

// Membership is the state of this entry's own membership row and of its reads of the rows of
// all members and duties.
type Membership struct {
	// Heartbeat is that of this entry's last renewal.
	Heartbeat quetzalunit.Heartbeat
	// RenewalSentAt is when the last successful renewal was sent; zero before the first.
	RenewalSentAt quetzalunit.Instant
	// RenewedRevision is the revision of the last successful renewal, AwaitedRevision what it was when the last read was sent.
	// The read shows that renewal, unless it is behind.
	RenewedRevision, AwaitedRevision quetzalunit.Revision
	// Behind reports whether the last read that was answered was behind.
	Behind bool
	// ReadAt is the instant of the last successful read.
	ReadAt quetzalunit.Instant
	// ReadSentAt is when the last successful read was sent. The read confirms that until then
	// no other entry had taken over a duty that this process still holds.
	ReadSentAt quetzalunit.Instant
	// Reads counts the successful reads.
	Reads int
	// SeenRevision is the revision up to which the rows are known.
	SeenRevision quetzalunit.Revision
	// RebalancedAt is when this entry last released a duty to balance the load between entries.
	RebalancedAt quetzalunit.Instant
	// RenewalInFlight and ReadInFlight report whether a renewal or a read is in flight.
	RenewalInFlight, ReadInFlight bool
	// ReadAgain requests another read after the one in flight.
	ReadAgain bool
	// ReadPeriod is the planned time between the last read and the one before it.
	ReadPeriod time.Duration
	// Standbys are the entries that may take over duties; nil before the first read.
	Standbys map[quetzalunit.EntryID]bool
	// Reachable reports whether the last read was answered.
	Reachable bool
	// StoreClock is the store's clock as the last reads tell.
	StoreClock StoreClock
}

// Census is the state of the reads of the list of hosts by which a dispatcher finds out, after a
// takeover, whether minions are alive that it does not know.
type Census struct {
	InFlight bool
	// ReadSentAt is when the last successful read was sent, AnsweredAt when it was answered.
	ReadSentAt, AnsweredAt quetzalunit.Instant
	// RetryAt is the earliest next read after a failure.
	RetryAt quetzalunit.Instant
	// Unseen are the minions of hosts, by pool, that this process does not know.
	Unseen map[quetzalunit.PoolID][]quetzalunit.MinionID
}

// ReleasedLeases is what the dispatcher that releases a pool's duty knows of the leases on its minions,
// its own and those of the dispatchers before it.
type ReleasedLeases struct {
	// At is the time from which the others count. If it is zero, they count from the write of the row.
	At quetzalunit.StoreTime
	// ListRevision is the revision up to which the dispatcher knew the list of minions.
	ListRevision quetzalunit.Revision
	// Listed is how long leases may last on minions that were in the list at that revision and that
	// Minions does not name.
	Listed time.Duration
	// Unknown is how long leases may last on minions that the dispatcher did not know.
	Unknown time.Duration
	// Minions are the minions that did not answer or had left the list, as far as leases on them may
	// last.
	Minions []MinionLease
	// LateStarts are the orders to start runs that had no answer and may still be carried out.
	LateStarts []LateStart
	// UnnamedStarts is how long other orders to start of earlier dispatchers may be carried out.
	UnnamedStarts time.Duration
}

// LateStart is how long an order to start a run on a minion may still be carried out.
type LateStart struct {
	Minion quetzalunit.MinionID
	Task   TaskID
	Number quetzalunit.RunNumber
	Left   time.Duration
}

// StoreClock is what a process knows of the store's clock, by the last read that told its time.
type StoreClock struct {
	Now quetzalunit.StoreTime
	// SentAt and AnsweredAt are when the read was sent and answered. The clock showed Now in between.
	SentAt, AnsweredAt quetzalunit.Instant
}

// MinionLease is how long the lease of a minion may last.
type MinionLease struct {
	Minion quetzalunit.MinionID
	Left   time.Duration
}

// MinionList is the state of the reads of the list of minions.
type MinionList struct {
	// SeenRevision is the revision up to which the list is known.
	SeenRevision quetzalunit.Revision
	// ReadInFlight reports whether a read is in flight.
	ReadInFlight bool
	// Failing reports whether the last read failed.
	Failing bool
	// AnsweredAt is the instant of the last successful answer.
	AnsweredAt quetzalunit.Instant
	// SentAt is when the last read was sent, ReadSentAt when the last successful one was.
	SentAt, ReadSentAt quetzalunit.Instant
	// Delay is the delay that was set between the last answer and the next read, which is due at
	// NextReadAt.
	Delay      time.Duration
	NextReadAt quetzalunit.Instant
	// CurrentFrom is the instant from which a read shows the present records: after a gap in the
	// reads, the minions may not have been able to write theirs either.
	CurrentFrom quetzalunit.Instant
	// Revision is the revision of the last successful answer. ContinuousFrom is the revision since which
	// the reads have followed each other so closely that this process has seen each minion that fell
	// silent and left the list.
	Revision, ContinuousFrom quetzalunit.Revision
	// LookBackInFlight reports whether a read is in flight that may lower ContinuousFrom.
	LookBackInFlight bool
	// KnownSince is the instant of the first successful answer. Minions that left the list
	// before it are not known.
	KnownSince quetzalunit.Instant
}
