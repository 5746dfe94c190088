package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Submission is a submitted job that is not stored yet. Its caller waits for an answer.
type Submission struct {
	Caller    quetzalunit.Caller
	Job       quetzalunit.JobID
	Queue     quetzalunit.QueueID
	Pool      Row
	Spec      *JobSpec
	ArrivedAt quetzalunit.Instant
	// Deadline is when the caller must be answered.
	Deadline quetzalunit.Instant
	// Storing reports whether a transaction with the job is in flight.
	Storing bool
	// MayBeStored reports whether a transaction with the job had no answer. From then on the
	// job cannot be refused, as it may be stored.
	MayBeStored bool
	// Tries counts the transactions with the job.
	Tries int
}

// Ask is a caller's query or cancellation that is not answered yet.
type Ask struct {
	Caller quetzalunit.Caller
	Kind   AskKind
	// Job is empty for a query of pending jobs, which concerns a whole queue.
	Job   quetzalunit.JobID
	Queue Row
	Pool  Row
	// Deadline is when the caller must be answered.
	Deadline quetzalunit.Instant
	// Tries counts the lookups in the store and the other calls that had no answer. It bounds
	// the retries.
	Tries int
}

// AskKind is the kind of an Ask.
type AskKind uint8

// Kinds of an Ask.
const (
	// AskKindState queries the state of a job.
	AskKindState AskKind = iota
	// AskKindPending queries the number of a queue's jobs of which no task has started.
	AskKindPending
	// AskKindCancel cancels a job.
	AskKindCancel
)

// Timer is an action that is due at an instant. Each type has its own action, and its fields
// say what the action concerns.
type Timer interface{ implementsTimer() }

type (
	// MembershipDue renews this entry's membership and reads the rows of members and duties.
	MembershipDue struct{}
	// FleetWatchDue restarts the watch on the operators' rows.
	FleetWatchDue struct{}
	// MinionListDue reads the list of minions.
	MinionListDue struct{}
	// PoolReadDue reads the changed rows of a pool's jobs. It has no effect once the pool's duty
	// has another token.
	PoolReadDue struct {
		Pool  Row
		Token quetzalunit.FencingToken
	}
	// HoldDue polls a minion.
	HoldDue struct{ Minion Row }
	// PlacementDue starts a placement pass over a pool.
	PlacementDue struct{ Pool Row }
	// CommitDue stores the progress of a pool's jobs.
	CommitDue struct{ Pool Row }
	// SubmitDue stores a pool's submissions.
	SubmitDue struct{ Pool Row }
	// SubmissionDue answers a submission at its deadline.
	SubmissionDue struct{ Submission Row }
	// AskDue answers a query or cancellation that is not answered yet.
	AskDue struct{ Ask Row }
	// OccurrenceDue creates the steps and tasks of a job's next occurrence.
	OccurrenceDue struct{ Job Row }
	// WatchdogDue checks the runs of a pool for lost leases, lost orders and stragglers. It has
	// no effect once the pool's duty has another token.
	WatchdogDue struct {
		Pool  Row
		Token quetzalunit.FencingToken
	}
	// ReleaseDue retries the release of a duty.
	ReleaseDue struct{ Pool quetzalunit.PoolID }
	// ConductorDue advances the maintenance waves and the moves of hosts.
	ConductorDue struct{}
)

func (MembershipDue) implementsTimer() {}
func (FleetWatchDue) implementsTimer() {}
func (MinionListDue) implementsTimer() {}
func (PoolReadDue) implementsTimer()   {}
func (HoldDue) implementsTimer()       {}
func (PlacementDue) implementsTimer()  {}
func (CommitDue) implementsTimer()     {}
func (SubmitDue) implementsTimer()     {}
func (SubmissionDue) implementsTimer() {}
func (AskDue) implementsTimer()        {}
func (OccurrenceDue) implementsTimer() {}
func (WatchdogDue) implementsTimer()   {}
func (ReleaseDue) implementsTimer()    {}
func (ConductorDue) implementsTimer()  {}

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
	// Text is a short sentence.
	Text string
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
	// Routine decisions are subject to a limit on log lines per second. All decisions are
	// counted in the metrics.
	Routine bool
}
