package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// JobSpec is a job as its caller describes it. It never changes.
type JobSpec struct {
	// Text is handed to each task as it came.
	Text  string
	Steps []StepSpec
	// Repeats is the number of occurrences; 0 for a job that runs once, at once.
	Repeats quetzalunit.Occurrence
	// FirstAt is the time of day of the first occurrence, Interval the time between two.
	FirstAt  quetzalunit.Instant
	Interval time.Duration
}

// StepSpec is a step of a job: tasks that are alike.
type StepSpec struct {
	Count quetzalunit.Tasks
	Needs quetzalunit.Resources
	// Estimate is a rough guess of the run time of a task.
	Estimate time.Duration
	// After has the steps of which every task must be done first.
	After []quetzalunit.StepIndex
	// Gang tasks work only together; SameRack ones work faster on one rack.
	Gang, SameRack bool
	// Label must be one of the minion's, unless it is empty.
	Label quetzalunit.Label
	// DataRack is the rack where the data lies; empty without one.
	DataRack quetzalunit.RackID
	// MaxPerMinion bounds the tasks of the step on one minion; 0 is unbounded.
	MaxPerMinion quetzalunit.Tasks
	// Checkpoints tells that tasks save progress from which they can resume.
	Checkpoints bool
	// Speculative tasks may run in copies; the first that ends counts.
	Speculative bool
	// Lasting tasks run until the job is cancelled.
	Lasting bool
	// MayMiss is how many lasting tasks may be away by this system's doing.
	MayMiss quetzalunit.Tasks
	Image   quetzalunit.ImageID
	// TailTarget bounds the tail of the response times of a task that serves; 0 without.
	TailTarget time.Duration
	// Fills tells that the tasks use the capacity that others leave and occupy no cores.
	Fills bool
}

// JobState is how far a job is.
type JobState uint8

// The states of a job.
const (
	JobQueued JobState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Final tells that the state does not change any more.
func (s JobState) Final() bool {
	return s >= JobCompleted
}

// Job is an accepted job at the entry that dispatches its pool.
type Job struct {
	ID    quetzalunit.JobID
	Queue quetzalunit.QueueID
	Pool  Row
	// Spec is nil once the state is final.
	Spec *JobSpec
	// AcceptedAt is when this entry learned of the job.
	AcceptedAt quetzalunit.Instant
	// State is what runs lead to; Stored is what the store has.
	State, Stored JobState
	// StoredRevision is that of the progress row, zero before there is one.
	StoredRevision quetzalunit.Revision
	// Started tells that a task has started.
	Started bool
	// Cancelled tells that a cancellation is stored.
	Cancelled bool
	// Duty is the revision of the pool's duty when the job was stored: below this process's
	// token, a predecessor may have started its tasks.
	Duty quetzalunit.Revision
	// Steps are the rows of steps whose occurrence has been unfolded.
	Steps []Row
	// Unfolded is the number of occurrences in Steps, Finished that of completed ones.
	Unfolded, Finished quetzalunit.Occurrence
	// Progress has the ends that a restart must know.
	Progress Progress
	// Objective is when the job counts as late.
	Objective quetzalunit.Instant
	// Changes counts the changes of Progress; StoredChanges is the number that is stored, and
	// StoringChanges that in a transaction in flight, zero without one.
	Changes, StoredChanges, StoringChanges int
	// StoringState is the state in that transaction.
	StoringState JobState
}

// Progress has the ends of a job's tasks that a restart must know.
type Progress struct {
	State JobState
	Done  []TaskRef
	// Failures has each failed run once, so that one that is heard of twice counts once.
	Failures []TaskFailure
}

// TaskRef names a task within its job.
type TaskRef struct {
	Occurrence quetzalunit.Occurrence
	Step       quetzalunit.StepIndex
	Task       quetzalunit.TaskIndex
}

// TaskFailure is a failed run of a task.
type TaskFailure struct {
	TaskRef
	Run quetzalunit.RunNumber
}

// StepKey finds a step of an occurrence.
type StepKey struct {
	Job        Row
	Occurrence quetzalunit.Occurrence
	Step       quetzalunit.StepIndex
}

// Step is a step of one occurrence.
type Step struct {
	Job        Row
	Occurrence quetzalunit.Occurrence
	Index      quetzalunit.StepIndex
	Spec       *StepSpec
	Tasks      []Row
	// Done counts the tasks that are done, Waiting those that wait for a minion.
	Done, Waiting quetzalunit.Tasks
	// Open tells that the steps before it are done and its time has come.
	Open bool
	// OpenAt is when it opened.
	OpenAt quetzalunit.Instant
	// Listed tells that the step is among its pool's ready ones.
	Listed bool
	// Rank orders it among its pool's ready steps.
	Rank Rank
	// OnMinion counts the active runs on each minion, where the step bounds them.
	OnMinion map[Row]quetzalunit.Tasks
	// RunTime is the mean run time of its Measured runs.
	RunTime  time.Duration
	Measured int
	// Longest is the longest run time so far, of runs that are done or at work.
	Longest time.Duration
	// GangRun is the run number that a gang shares.
	GangRun quetzalunit.RunNumber
	// Advice is what the advisor said of the step.
	Advice Advice
}

// Rank orders the ready steps of a pool.
type Rank struct {
	// Lasting work goes first: each second that it is away is lost.
	Lasting bool
	// Hopeless steps belong to jobs that cannot meet their objective, and go last.
	Hopeless bool
	Priority quetzalunit.Priority
	// Due is the latest instant at which the step has to begin.
	Due quetzalunit.Instant
	// Chain is the expected run time of the longest chain of steps from it on, worked out at
	// ChainAt.
	Chain   time.Duration
	ChainAt quetzalunit.Instant
}

// Advice is what the advisor said of a step.
type Advice struct {
	Asking bool
	// Until ends the answer's validity.
	Until quetzalunit.Instant
	// Tickets has the minions that may run the step.
	Tickets map[quetzalunit.MinionID]quetzalunit.Ticket
	RetryAt quetzalunit.Instant
}

// TaskState is how far a task is.
type TaskState uint8

// The states of a task.
const (
	// TaskWaiting has no active run.
	TaskWaiting TaskState = iota
	// TaskActive has a run that is starting, running or stopping.
	TaskActive
	// TaskDone has ended as done.
	TaskDone
)

// Task is one task of a step.
type Task struct {
	Step  Row
	Index quetzalunit.TaskIndex
	State TaskState
	// Starts counts this process's starts, from which run numbers follow.
	Starts quetzalunit.RunNumber
	// Failures counts the failed runs.
	Failures quetzalunit.Failures
	// Runs are the active runs; more than one only where the step is speculative.
	Runs []Row
	// Checkpoint is the newest saved progress.
	Checkpoint quetzalunit.Checkpoint
	// Avoid is the minion of the last failed run.
	Avoid Row
	// NotBefore is the earliest next start.
	NotBefore quetzalunit.Instant
	// AwaySince is when a lasting task left work.
	AwaySince quetzalunit.Instant
}

// RunState is how far a run is.
type RunState uint8

// The states of a run.
const (
	// RunStarting waits for the answer to its start.
	RunStarting RunState = iota
	// RunUnknown had no answer to its start, which may be carried out late.
	RunUnknown
	// RunWorking was taken by its minion.
	RunWorking
)

// RunKey finds a run.
type RunKey struct {
	Task   Row
	Number quetzalunit.RunNumber
}

// Run is one run of a task on a minion.
type Run struct {
	Task   Row
	Number quetzalunit.RunNumber
	Minion Row
	State  RunState
	// Needs is what the run occupies.
	Needs quetzalunit.Resources
	// StartedAt is when the start was sent.
	StartedAt quetzalunit.Instant
	// AnsweredAt is when the start was answered or given up.
	AnsweredAt quetzalunit.Instant
	// StartDeadline ends the time in which a start without an answer may be carried out.
	StartDeadline quetzalunit.MinionTime
	// Listed tells that the minion has listed the run.
	Listed bool
	// Percent is what the minion last said of its progress or readiness.
	Percent int
	// ChangedAt is when Percent last changed.
	ChangedAt quetzalunit.Instant
	// Reading is the minion's measurement: the tail in milliseconds of a task that serves,
	// the cores in use otherwise.
	Reading int64
	// Pace is the share of its speed that the run was told to work at.
	Pace quetzalunit.Percent
	// OverSince is when its tail last rose above the target; zero while below.
	OverSince quetzalunit.Instant
	// Stop is why the run is being stopped; StopNone while it is not.
	Stop StopReason
	// StopSentAt is when the last order to stop was sent; StopCall true while in flight.
	StopSentAt quetzalunit.Instant
	StopCall   bool
	// StopAnsweredAt is when the minion took the order to stop; zero before.
	StopAnsweredAt quetzalunit.Instant
}

// StopReason is why a run is stopped.
type StopReason uint8

// The reasons to stop a run.
const (
	StopNone StopReason = iota
	// StopCancelled follows a cancellation of the job.
	StopCancelled
	// StopDuplicate follows the end of another copy of the task.
	StopDuplicate
	// StopUnanswered closes a start that had no answer.
	StopUnanswered
	// StopEvacuate empties a minion.
	StopEvacuate
	// StopStalled ends a run that makes no progress.
	StopStalled
	// StopUnknown ends a run that no known job has.
	StopUnknown
	// StopHarmful ends a filling task that disturbs the tasks beside it.
	StopHarmful
)
