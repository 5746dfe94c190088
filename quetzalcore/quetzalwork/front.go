package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Submission is a job that waits to be stored.
type Submission struct {
	Caller    quetzalunit.Caller
	Job       quetzalunit.JobID
	Queue     quetzalunit.QueueID
	Pool      Row
	Spec      *JobSpec
	ArrivedAt quetzalunit.Instant
	Deadline  quetzalunit.Instant
	// Storing tells that a transaction with the job is in flight.
	Storing bool
	// MayBeStored tells that a transaction with the job had no answer.
	MayBeStored bool
	// Tries counts the transactions.
	Tries int
}

// Ask is a caller's question or cancellation that waits for an answer.
type Ask struct {
	Caller   quetzalunit.Caller
	Kind     AskKind
	Job      quetzalunit.JobID
	Queue    Row
	Pool     Row
	Deadline quetzalunit.Instant
	Tries    int
}

// AskKind is what a caller asks for.
type AskKind uint8

// The kinds of questions.
const (
	AskKindState AskKind = iota
	AskKindPending
	AskKindCancel
)

// Timer wakes a system.
type Timer interface{ implementsTimer() }

type (
	// MembershipDue renews and reads the members.
	MembershipDue struct{}
	// FleetWatchDue begins the next watch on the operators' rows.
	FleetWatchDue struct{}
	// MinionListDue reads the list of minions.
	MinionListDue struct{}
	// PoolReadDue reads what changed in a pool's rows.
	PoolReadDue struct {
		Pool  Row
		Token quetzalunit.FencingToken
	}
	// HoldDue holds a minion.
	HoldDue struct{ Minion Row }
	// PlacementDue places a pool's tasks.
	PlacementDue struct{ Pool Row }
	// CommitDue stores a pool's progress.
	CommitDue struct{ Pool Row }
	// SubmitDue stores a pool's submissions.
	SubmitDue struct{ Pool Row }
	// SubmissionDue answers a submission at its deadline.
	SubmissionDue struct{ Submission Row }
	// AskDue answers a question at its deadline.
	AskDue struct{ Ask Row }
	// OccurrenceDue unfolds the next occurrence of a job.
	OccurrenceDue struct{ Job Row }
	// WatchdogDue looks after the runs of a pool.
	WatchdogDue struct {
		Pool  Row
		Token quetzalunit.FencingToken
	}
	// ReleaseDue gives a duty back again.
	ReleaseDue struct{ Pool quetzalunit.PoolID }
	// ConductorDue looks after waves and moves.
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

// Part is the part of the scheduler that decided.
type Part string

// The parts that report decisions.
const (
	PartFront     Part = "front"
	PartDuty      Part = "duty"
	PartJob       Part = "job"
	PartPlacement Part = "placement"
	PartMinion    Part = "minion"
	PartFleet     Part = "fleet"
	PartHost      Part = "host"
	PartStore     Part = "store"
	PartStop      Part = "stop"
)

// Decision is one line of the log: what was decided and the inputs that decided it.
type Decision struct {
	Part Part
	// Text is a short sentence.
	Text string
	// Job, Task, Run, Minion, Pool and Host name the subjects; empty or zero without.
	Job    quetzalunit.JobID
	Task   TaskRef
	Run    quetzalunit.RunNumber
	Minion quetzalunit.MinionID
	Pool   quetzalunit.PoolID
	Host   quetzalunit.HostID
	// Version is that of the configuration or the token that decided; Age the age of the input.
	Version int64
	Age     time.Duration
	// Reason is the outcome's cause in one word.
	Reason string
	// Routine decisions are counted, and written only while the budget of lines allows.
	Routine bool
}
