package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Command is a side effect that the World requests from its program. The results of most commands
// return as Inputs.
type Command interface{ implementsCommand() }

// Commands to callers, to peers, to the log and to the metrics.
type (
	// AnswerCaller sends a caller its answer.
	AnswerCaller struct {
		Caller quetzalunit.CallerID
		Answer Answer
	}
	// ReplyToPeer sends the reply to a PeerMessageReceived.
	ReplyToPeer struct {
		Caller quetzalunit.CallerID
		Reply  PeerReply
	}
	// CallPeer sends a message to another entry and waits for its reply. PeerReplyReceived has the
	// result.
	CallPeer struct {
		Address quetzalunit.Address
		Message PeerMessage
		Timeout time.Duration
	}
	// LogDecision writes a decision to the log.
	LogDecision struct{ Decision Decision }
	// SetRelays sets the peers that can relay calls to the store, those in the same zone first.
	SetRelays struct{ Addresses []quetzalunit.Address }
	// ObserveRefusal counts a refused call in the metrics.
	ObserveRefusal struct{ Reason string }
	// ObserveJob records a finished job in the metrics.
	ObserveJob struct {
		Queue quetzalunit.QueueID
		State JobState
		// Total is the time since this entry learned of the job.
		Total time.Duration
		// Late reports whether the job missed its objective.
		Late bool
	}
	// ObserveWait records in the metrics how long a long-running task was without a run.
	ObserveWait struct {
		// Reason is the one that lasted longest during the wait of the task's step, empty if the task was
		// placed at once.
		Reason WaitReason
		Waited time.Duration
	}
)

// Commands to the store. A command with a field SinceRevision reads the rows that have changed since
// that revision, or all rows if it is 0. ReadPoolJobs requests all rows with its field Full instead.
type (
	// WatchConfig waits up to Wait for a change of the operators' rows, which hold the
	// configuration and the maintenance waves.
	WatchConfig struct {
		SinceRevision quetzalunit.Revision
		Wait          time.Duration
		SentAt        quetzalunit.Instant
	}
	// ReadMembers reads the rows of members and duties.
	ReadMembers struct {
		SinceRevision quetzalunit.Revision
		SentAt        quetzalunit.Instant
	}
	// RenewMember writes this entry's membership row.
	RenewMember struct {
		Member Member
		SentAt quetzalunit.Instant
	}
	// WriteDuty acquires or releases a duty if its row still has the expected revision.
	WriteDuty struct {
		// Pool is the pool of the duty. The duty of the host controller has a reserved id.
		Pool quetzalunit.PoolID
		// OfHosts reports whether it is the duty of the host controller.
		OfHosts  bool
		Expected quetzalunit.Revision
		// CheckLease reports whether the row of the host controller's lease must still have the
		// revision ExpectedLease, 0 if it must not exist.
		CheckLease    bool
		ExpectedLease quetzalunit.Revision
		// Duty is the new content of the row.
		Duty    Duty
		Release bool
		SentAt  quetzalunit.Instant
	}
	// RenewHostLease renews the lease of the host controller if the row of its duty still has the
	// revision Token.
	RenewHostLease struct {
		Token  quetzalunit.FencingToken
		SentAt quetzalunit.Instant
	}
	// SettleDuty stores that the leases have ended that Duty.EarlierLeases tells of in the row of the given
	// revision. It has no result: ReadMembers shows whether it was carried out.
	SettleDuty struct {
		Pool     quetzalunit.PoolID
		Revision quetzalunit.Revision
	}
	// ListMinions reads the list of minions. LookBack marks a read that only tells which minions have left
	// the list since a revision before those that are known.
	ListMinions struct {
		SinceRevision quetzalunit.Revision
		LookBack      bool
	}
	// ReadPoolJobs reads the rows of a pool's jobs: if Full is set, the page of all rows that begins
	// at the key StartKey, otherwise the rows that have changed since SinceRevision.
	ReadPoolJobs struct {
		Pool          quetzalunit.PoolID
		Token         quetzalunit.FencingToken
		Full          bool
		StartKey      string
		SinceRevision quetzalunit.Revision
		SentAt        quetzalunit.Instant
	}
	// StoreJobs stores jobs of one shard and their entries in the job index in one transaction, provided that
	// none of them exists in any pool and that the pool's duty still has the revision DutyRevision.
	StoreJobs struct {
		Pool         quetzalunit.PoolID
		Shard        quetzalunit.Shard
		DutyRevision quetzalunit.Revision
		// Submissions are the rows of the submissions, Jobs the AcceptedJob rows to store, in the
		// same order.
		Submissions []Row
		Jobs        []JobRow
		Timeout     time.Duration
		SentAt      quetzalunit.Instant
	}
	// StoreProgress stores the progress of jobs of one shard in one transaction, provided that each
	// row still has its expected revision and the pool's duty the revision Token. What a dispatcher
	// stores thus precedes the takeover by its successor.
	StoreProgress struct {
		Pool  quetzalunit.PoolID
		Shard quetzalunit.Shard
		Token quetzalunit.FencingToken
		Jobs  []Row
		// Rows are the progress rows with their expected revisions, in the order of Jobs.
		Rows []JobRow
		// EndedJobs are the AcceptedJob rows, without specification, of those jobs whose progress
		// has a final state.
		EndedJobs []JobRow
	}
	// StoreCancel stores the cancellation of a job.
	StoreCancel struct {
		Pool    quetzalunit.PoolID
		Job     quetzalunit.JobID
		Request Row
		Timeout time.Duration
	}
	// StoreEarlyCancel stores the cancellation of a job that is stored in no pool, so that one that gets its ID later does
	// not start. It writes the entry of the ID in the job index, if that still has the revision Expected, 0 if there must be none, and a
	// cancellation among the rows of the pool.
	StoreEarlyCancel struct {
		Pool     quetzalunit.PoolID
		Job      quetzalunit.JobID
		Expected quetzalunit.Revision
		Request  Row
		Timeout  time.Duration
	}
	// StoreCancelledJob stores a job whose ID was cancelled before, without its specification, in the pool that has the
	// cancellation. It has no effect if that was removed or the job is stored.
	StoreCancelledJob struct {
		Pool       quetzalunit.PoolID
		Job        JobRow
		Submission Row
		Timeout    time.Duration
	}
	// RemoveEarlyCancel removes a cancellation that StoreEarlyCancel stored, if it still has its revision and there is no
	// job with the ID.
	RemoveEarlyCancel struct {
		Pool     quetzalunit.PoolID
		ID       quetzalunit.JobID
		Revision quetzalunit.Revision
		Job      Row
		Timeout  time.Duration
	}
	// LookUpJob reads the stored rows of one job in one pool.
	LookUpJob struct {
		Pool    quetzalunit.PoolID
		Job     quetzalunit.JobID
		Request Row
		Timeout time.Duration
	}
	// LocateJob reads the entry of a job in the job index.
	LocateJob struct {
		Job     quetzalunit.JobID
		Request Row
		Timeout time.Duration
	}
	// StoreDivision stores the division of the accounts' caps if its row still has the revision
	// Expected, 0 if it must not exist.
	StoreDivision struct {
		Expected quetzalunit.Revision
		Division quetzalaccount.Division
		Timeout  time.Duration
	}
	// ReadDivision reads the division of the accounts' caps.
	ReadDivision struct{ Timeout time.Duration }
	// ReadWaves reads the stored states of the waves.
	ReadWaves struct{}
	// StoreWaveHosts stores the hosts of a wave whose maintenance order was accepted, so that a
	// later host controller does not repeat the order. The condition is that the row still has the
	// revision Expected, 0 if it must not exist.
	StoreWaveHosts struct {
		Wave     quetzalunit.WaveID
		Expected quetzalunit.Revision
		Done     []quetzalunit.HostID
	}
	// StoreWaveState stores the state of a wave, which the operators read. WaveRunning conflicts with
	// any stored state.
	StoreWaveState struct {
		Wave  quetzalunit.WaveID
		State WaveState
	}
)

// Commands to minions, hosts and the advisor.
type (
	// PollMinion polls a minion for its active runs and the ends of runs, and renews its lease.
	PollMinion struct {
		Minion Row
		Target MinionTarget
		// LeaseEnd is the new end of the lease; 0 leaves it as it is.
		LeaseEnd quetzalunit.MinionTime
		// AckedThrough acknowledges the ends up to this number: the minion need not report them
		// again.
		AckedThrough quetzalunit.EndNumber
		// SeenThrough is the last end that has been applied. Of the ends up to it, the result need only have the first.
		SeenThrough quetzalunit.EndNumber
		// Wait is how long the minion may wait for a new end before it answers.
		Wait   time.Duration
		SentAt quetzalunit.Instant
	}
	// StartRun starts a run.
	StartRun struct {
		Run     Row
		Target  MinionTarget
		Task    TaskID
		Number  quetzalunit.RunNumber
		Payload string
		// LeaseEnd is the end of the lease, and the deadline for carrying out the order.
		LeaseEnd   quetzalunit.MinionTime
		Checkpoint quetzalunit.Checkpoint
		Ticket     quetzalunit.Ticket
		// DecidedAt is when the task was placed, ListedAt when the read of the minion list was sent on
		// which that was based.
		DecidedAt, ListedAt quetzalunit.Instant
		// ValidUntil is when the permission to send the order ends. It is checked again just before
		// the order is sent.
		ValidUntil quetzalunit.Instant
	}
	// StopRun stops a run.
	StopRun struct {
		// Run is zero for a run that is not in the tables. The answer has no effect then.
		Run    Row
		Target MinionTarget
		Task   TaskID
		Number quetzalunit.RunNumber
	}
	// PaceRun limits a run to a share of its full speed.
	PaceRun struct {
		Run    Row
		Target MinionTarget
		Task   TaskID
		Number quetzalunit.RunNumber
		Pace   quetzalunit.Percent
	}
	// RequestAdvice asks the advisor which of some minions may run the tasks of a step.
	RequestAdvice struct {
		Step Row
		// Name identifies the step; its task index is not used.
		Name    TaskID
		Minions []quetzalunit.MinionID
		Timeout time.Duration
	}
	// ListHosts reads the list of hosts.
	ListHosts struct{}
	// ReadCensus reads the list of hosts after a takeover.
	ReadCensus struct{ SentAt quetzalunit.Instant }
	// OrderHost orders a host to move to another pool, or into maintenance.
	OrderHost struct {
		Order HostOrder
		Host  quetzalunit.HostID
		// Wave is the wave that the maintenance belongs to, empty for a move.
		Wave quetzalunit.WaveID
		// Pool is the pool that the host moves to, empty for maintenance.
		Pool  quetzalunit.PoolID
		Token quetzalunit.FencingToken
		// ValidUntil is the instant after which the order must not be sent: another entry may then
		// hold the duty.
		ValidUntil quetzalunit.Instant
	}
)

// MinionTarget is the minion that an order goes to, with its address and the token that the order
// carries.
type MinionTarget struct {
	Minion  quetzalunit.MinionID
	Address quetzalunit.Address
	Token   quetzalunit.OrderToken
	// Incarnation is the only process of the minion that may get the order, zero if any may.
	Incarnation quetzalunit.MinionIncarnation
}

func (AnswerCaller) implementsCommand()      {}
func (ReplyToPeer) implementsCommand()       {}
func (CallPeer) implementsCommand()          {}
func (LogDecision) implementsCommand()       {}
func (SetRelays) implementsCommand()         {}
func (ObserveRefusal) implementsCommand()    {}
func (ObserveJob) implementsCommand()        {}
func (ObserveWait) implementsCommand()       {}
func (WatchConfig) implementsCommand()       {}
func (ReadMembers) implementsCommand()       {}
func (RenewMember) implementsCommand()       {}
func (WriteDuty) implementsCommand()         {}
func (RenewHostLease) implementsCommand()    {}
func (SettleDuty) implementsCommand()        {}
func (ListMinions) implementsCommand()       {}
func (ReadPoolJobs) implementsCommand()      {}
func (StoreJobs) implementsCommand()         {}
func (StoreProgress) implementsCommand()     {}
func (StoreCancel) implementsCommand()       {}
func (StoreEarlyCancel) implementsCommand()  {}
func (StoreCancelledJob) implementsCommand() {}
func (RemoveEarlyCancel) implementsCommand() {}
func (LookUpJob) implementsCommand()         {}
func (LocateJob) implementsCommand()         {}
func (StoreDivision) implementsCommand()     {}
func (ReadDivision) implementsCommand()      {}
func (ReadWaves) implementsCommand()         {}
func (StoreWaveHosts) implementsCommand()    {}
func (StoreWaveState) implementsCommand()    {}
func (PollMinion) implementsCommand()        {}
func (StartRun) implementsCommand()          {}
func (StopRun) implementsCommand()           {}
func (PaceRun) implementsCommand()           {}
func (RequestAdvice) implementsCommand()     {}
func (ListHosts) implementsCommand()         {}
func (ReadCensus) implementsCommand()        {}
func (OrderHost) implementsCommand()         {}

// Answer is the response to a caller.
type Answer interface{ implementsAnswer() }

type (
	// JobAccepted means that the job is stored.
	JobAccepted struct{}
	// JobRefused means that the job is not stored and never runs unless it is submitted again.
	// It also answers queries and cancellations while no configuration is known, and cancellations
	// that have no effect.
	JobRefused struct {
		RetryAfter time.Duration
		Reason     string
	}
	// Indeterminate means that the result is unknown: the call may or may not have taken effect.
	// The caller can repeat it.
	Indeterminate struct{ Reason string }
	// Unauthorized means that the call has no key of a client account, and that its queue is not public.
	Unauthorized struct{}
	// NoSuchQueue means that no queue matches the path.
	NoSuchQueue struct{}
	// NoSuchJob means that no such job is stored. To a cancellation it means that none with the ID
	// will start.
	NoSuchJob struct{}
	// InvalidJob means that the submission is invalid, or that a cancellation names no job.
	InvalidJob struct{ Problem string }
	// BodyTooLarge means that the body exceeds the limit.
	BodyTooLarge struct{}
	// JobStateAnswer is the state of a job.
	JobStateAnswer struct{ State JobState }
	// PendingJobsAnswer is the number of a queue's jobs of which no task has started.
	PendingJobsAnswer struct{ Pending quetzalunit.Tasks }
	// CancelAccepted means that the cancellation is stored, or that the job had already ended.
	CancelAccepted struct{}
)

func (JobAccepted) implementsAnswer()       {}
func (JobRefused) implementsAnswer()        {}
func (Indeterminate) implementsAnswer()     {}
func (Unauthorized) implementsAnswer()      {}
func (NoSuchQueue) implementsAnswer()       {}
func (NoSuchJob) implementsAnswer()         {}
func (InvalidJob) implementsAnswer()        {}
func (BodyTooLarge) implementsAnswer()      {}
func (JobStateAnswer) implementsAnswer()    {}
func (PendingJobsAnswer) implementsAnswer() {}
func (CancelAccepted) implementsAnswer()    {}
