package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Submission is a submitted job that is not stored yet. Its caller waits for an answer.
type Submission struct {
	Caller    quetzalunit.CallerID
	Job       quetzalunit.JobID
	Queue     quetzalunit.QueueID
	Account   quetzalunit.AccountID
	Pool      Row
	Spec      *JobSpec
	ArrivedAt quetzalunit.Instant
	// Deadline is when the caller must be answered.
	Deadline quetzalunit.Instant
	// StoreInFlight reports whether a transaction with the job is in flight.
	StoreInFlight bool
	// MayBeStored reports whether a transaction with the job had no answer. From then on the
	// job cannot be refused, as it may be stored.
	MayBeStored bool
	// Attempts counts the transactions with the job.
	Attempts int
	// StoredAlone reports whether the job is stored in a transaction of its own, because the store
	// rejected one with several jobs.
	StoredAlone bool
}

// JobRequest is a caller's query or cancellation that is not answered yet.
type JobRequest struct {
	Caller quetzalunit.CallerID
	Kind   JobRequestKind
	// Job is empty for a query of pending jobs, which concerns a whole queue.
	Job       quetzalunit.JobID
	Queue     Row
	Pool      Row
	Account   quetzalunit.AccountID
	ArrivedAt quetzalunit.Instant
	// Deadline is when the caller must be answered.
	Deadline quetzalunit.Instant
	// Located reports whether the job index has been read, and Pool is the one that it names, if any, not the one to which
	// the queue leads.
	Located bool
	// IndexRevision is the revision of the entry of the job in the job index, zero if none is known.
	IndexRevision quetzalunit.Revision
	// QuotaUsed reports whether the request has used the quota of its account for cancellations of unknown jobs.
	QuotaUsed bool
	// LookUpCause is why the store was asked for the job, empty if it was not.
	LookUpCause LookUpCause
	// Attempts counts the lookups in the store and the other calls that had no answer. It bounds
	// the retries.
	Attempts int
}

// CancellationQuota is a client account's quota of cancellations of unknown jobs at this entry. Each is stored and kept
// for a while.
type CancellationQuota struct {
	Account quetzalunit.AccountID
	// Left is the number of cancellations that may be stored as of RefilledAt. It grows with time.
	Left       float64
	RefilledAt quetzalunit.Instant
}

// LookUpCause is why the store is asked for a job, in one word for the log. That a job does not exist is
// concluded from the store's answer alone.
type LookUpCause string

// Causes of a lookup in the store.
const (
	// LookUpNotInTables means that this process dispatches the pool and does not know the job.
	LookUpNotInTables LookUpCause = "NotInTables"
	// LookUpNoDispatcher means that the pool has no dispatcher, or one that is not live.
	LookUpNoDispatcher LookUpCause = "NoLiveDispatcher"
	// LookUpDispatcherSilent means that the dispatcher did not reply.
	LookUpDispatcherSilent LookUpCause = "DispatcherSilent"
	// LookUpNotDispatcher means that the entry that was asked does not dispatch the pool.
	LookUpNotDispatcher LookUpCause = "NotDispatcher"
	// LookUpUnknownToDispatcher means that the dispatcher does not know the job.
	LookUpUnknownToDispatcher LookUpCause = "UnknownToDispatcher"
	// LookUpForCancellation means that the job is to be cancelled and is not in this process's tables.
	LookUpForCancellation LookUpCause = "ForCancellation"
)

// JobRequestKind is the kind of a JobRequest.
type JobRequestKind uint8

// Kinds of a JobRequest.
const (
	// JobRequestKindState queries the state of a job.
	JobRequestKindState JobRequestKind = iota
	// JobRequestKindPending queries the number of a queue's jobs of which no task has started.
	JobRequestKindPending
	// JobRequestKindCancel cancels a job.
	JobRequestKindCancel
)

// Timer is an action that is due at an instant. Each type has its own action, and its fields
// say what the action concerns.
type Timer interface{ implementsTimer() }

type (
	// MembershipDue renews this entry's membership and reads the rows of members and duties.
	MembershipDue struct{}
	// ConfigWatchDue restarts the watch on the operators' rows.
	ConfigWatchDue struct{}
	// MinionListDue reads the list of minions.
	MinionListDue struct{}
	// PoolJobsReadDue reads the changed rows of a pool's jobs. It has no effect once the pool's duty
	// has another token.
	PoolJobsReadDue struct {
		Pool  Row
		Token quetzalunit.FencingToken
	}
	// MinionPollDue polls a minion.
	MinionPollDue struct{ Minion Row }
	// PlacementDue starts a placement pass over a pool.
	PlacementDue struct{ Pool Row }
	// EarlyCancellationDue removes the cancellation of an ID that no job has.
	EarlyCancellationDue struct{ Job Row }
	// StoreProgressDue stores the progress of a pool's jobs.
	StoreProgressDue struct{ Pool Row }
	// StoreJobsDue stores a pool's submissions.
	StoreJobsDue struct{ Pool Row }
	// SubmissionDue answers a submission at its deadline.
	SubmissionDue struct{ Submission Row }
	// JobRequestDue answers a query or cancellation that is still unanswered.
	JobRequestDue struct{ Request Row }
	// OccurrenceDue creates the steps and tasks of a job's next occurrence.
	OccurrenceDue struct{ Job Row }
	// WatchdogDue checks the runs of a pool for expired leases, lost orders and stragglers. It has
	// no effect once the pool's duty has another token.
	WatchdogDue struct {
		Pool  Row
		Token quetzalunit.FencingToken
	}
	// DutyReleaseDue retries the release of a duty whose row has the revision Expected.
	DutyReleaseDue struct {
		Pool     quetzalunit.PoolID
		Expected quetzalunit.Revision
	}
	// LimitsDue reviews the division of the caps of client accounts.
	LimitsDue struct{}
	// HostControllerDue advances the maintenance waves and the moves of hosts.
	HostControllerDue struct{}
)

func (MembershipDue) implementsTimer()        {}
func (ConfigWatchDue) implementsTimer()       {}
func (MinionListDue) implementsTimer()        {}
func (PoolJobsReadDue) implementsTimer()      {}
func (MinionPollDue) implementsTimer()        {}
func (PlacementDue) implementsTimer()         {}
func (StoreProgressDue) implementsTimer()     {}
func (EarlyCancellationDue) implementsTimer() {}
func (StoreJobsDue) implementsTimer()         {}
func (SubmissionDue) implementsTimer()        {}
func (JobRequestDue) implementsTimer()        {}
func (OccurrenceDue) implementsTimer()        {}
func (WatchdogDue) implementsTimer()          {}
func (DutyReleaseDue) implementsTimer()       {}
func (LimitsDue) implementsTimer()            {}
func (HostControllerDue) implementsTimer()    {}

// Part is a component of the scheduler. Its text prefixes the component's log lines and labels
// its metrics.
type Part string

// Components that log decisions.
const (
	// PartFront answers callers.
	PartFront Part = "front"
	// PartDuty acquires and releases duties.
	PartDuty Part = "duty"
	// PartJob follows the states of jobs.
	PartJob Part = "job"
	// PartPlacement places tasks on minions.
	PartPlacement Part = "placement"
	// PartLimit keeps client accounts within their caps.
	PartLimit Part = "limit"
	// PartMinion follows minions and their runs.
	PartMinion Part = "minion"
	// PartFleet applies the operators' configuration.
	PartFleet Part = "fleet"
	// PartHost moves and maintains hosts.
	PartHost Part = "host"
	// PartStore follows the availability of the store.
	PartStore Part = "store"
	// PartStop shuts the process down.
	PartStop Part = "stop"
)

// Decision is a log line: what was decided, and the inputs of the decision.
type Decision struct {
	Part Part
	// Message is a short sentence.
	Message string
	// Job, Task, Run, Minion, Pool and Host identify what the decision concerns. Those that do
	// not apply are empty or zero.
	Job    quetzalunit.JobID
	Task   TaskRef
	Run    quetzalunit.RunNumber
	Minion quetzalunit.MinionID
	Pool   quetzalunit.PoolID
	Host   quetzalunit.HostID
	// Version is the number on which the decision was based, such as the version of the
	// configuration, a fencing token or a count of hosts.
	Version int64
	// Age is the age of the input, or the time that the logged operation took or will take.
	Age time.Duration
	// Reason is the cause in one word.
	Reason string
	// Proof is what a decision on the runs of a minion rests on, nil if the line names none.
	Proof *Proof
	// Routine decisions are subject to a limit on log lines per second. All decisions are
	// counted in the metrics.
	Routine bool
}
