package quetzalwork

import (
	"cmp"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// JobSpec is the specification of a job as its caller submitted it. It never changes.
type JobSpec struct {
	// Payload is passed unchanged to each task.
	Payload string
	Steps   []StepSpec
	// Occurrences is the number of occurrences; 0 means that the job runs once, immediately.
	Occurrences quetzalunit.Occurrence
	// FirstAt is the first occurrence by the wall clock, Interval the time between two successive
	// occurrences.
	FirstAt  quetzalunit.Instant
	Interval time.Duration
}

// StepSpec is the specification of a step: a number of identical tasks.
type StepSpec struct {
	// TaskCount is the number of tasks.
	TaskCount quetzalunit.Tasks
	// Resources are the resources of one task.
	Resources quetzalunit.Resources
	// Estimate is the caller's estimate of the run time of a task. It may be far off.
	Estimate time.Duration
	// DependsOn are the steps that must be done before this one starts. They precede it in the job.
	DependsOn []quetzalunit.StepIndex
	// Gang tasks are started all at once or not at all. SameRack tasks run faster if all are in
	// one rack.
	Gang, SameRack bool
	// RequiredLabel is a label that the minion must have; empty if any minion will do.
	RequiredLabel quetzalunit.Label
	// DataRack is the rack that holds the data of the tasks, which run slower elsewhere; empty if
	// there is none.
	DataRack quetzalunit.RackID
	// MaxPerMinion limits the tasks of the step on one minion; 0 is unlimited.
	MaxPerMinion quetzalunit.Tasks
	// Checkpointing reports whether the tasks save checkpoints from which they can resume.
	Checkpointing bool
	// Speculative tasks may have several active runs; the first that is done counts.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// MaxUnavailable is how many long-running tasks the scheduler may interrupt at once, for
	// instance to move them to another minion.
	MaxUnavailable quetzalunit.Tasks
	Image          quetzalunit.ImageID
	// TailLatencyTarget is the upper bound for the tail latency of tasks that serve requests; 0 for
	// other tasks.
	TailLatencyTarget time.Duration
	// BestEffort marks best-effort tasks, which use the cores that others leave idle and reserve
	// none.
	BestEffort bool
}

// JobState is the state of a job.
type JobState uint8

// States of a job. The last three are final.
const (
	JobQueued JobState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Final reports whether the state is final.
func (s JobState) Final() bool {
	return s >= JobCompleted
}

// Job is an accepted job. Only the dispatcher of its pool has it.
type Job struct {
	ID    quetzalunit.JobID
	Queue quetzalunit.QueueID
	Pool  Row
	// Account is the client account that submitted the job, empty if none did.
	Account quetzalunit.AccountID
	// Holding is the account's holding in the pool. It may be stale: package quetzallimit looks it up
	// again then.
	Holding Row
	// Surplus reports whether the job arrived beyond the rate of its account.
	Surplus bool
	// Spec is nil while only a cancellation or the progress of the job is known, and again once
	// its state is final and none of its runs is active.
	Spec *JobSpec
	// Accepted reports whether the row of the accepted job is known. Without it there is at most a cancellation of an ID
	// that no job has.
	Accepted bool
	// FirstSeenAt is when this entry learned of the job.
	FirstSeenAt quetzalunit.Instant
	// State is the state as far as this entry knows it, StoredState the state in the store. Callers
	// see a final state only once it is stored.
	State, StoredState JobState
	// ProgressRevision is the revision of the progress row, zero if it does not exist.
	ProgressRevision quetzalunit.Revision
	// Started reports whether any task has started.
	Started bool
	// Cancelled reports whether a cancellation is stored. CancelRevision is the revision of its row, zero if that has not
	// been read, and CancelSeenAt is when this revision was read first.
	Cancelled      bool
	CancelRevision quetzalunit.Revision
	CancelSeenAt   quetzalunit.Instant
	// DutyRevision is the revision of the pool's duty when the job was stored. If it is below this
	// process's token, an earlier dispatcher may have started some of the tasks.
	DutyRevision quetzalunit.Revision
	// Steps are the steps of the occurrences created so far, without those that are finished and have no
	// active runs.
	Steps []Row
	// CreatedOccurrences is the number of occurrences created so far, CompletedOccurrences the
	// number of those that are done.
	CreatedOccurrences, CompletedOccurrences quetzalunit.Occurrence
	// OccurrencesDeferred reports whether due occurrences wait until earlier ones are finished.
	OccurrencesDeferred bool
	// Progress is what a later dispatcher must know of the job's tasks.
	Progress Progress
	// ObjectiveAt is the instant after which the job counts as late. It is recomputed when runs
	// take longer than expected.
	ObjectiveAt quetzalunit.Instant
	// LongestPath is the longest observed critical path of an occurrence of a repeating job.
	LongestPath time.Duration
	// ProgressChanges counts the changes of Progress. The first StoredChanges of them are in the
	// store, and the last transaction with the job writes the first StoringChanges.
	ProgressChanges, StoredChanges, StoringChanges int
	// StoringState is the state that this transaction writes.
	StoringState JobState
	// StoredAlone reports whether the progress is stored in a transaction of its own, because the store
	// rejected one with several jobs. Rejections counts the rejections of such transactions in a row.
	StoredAlone bool
	Rejections  int
}

// Progress is the state of a job with its completed tasks, failed runs and crashes. It is stored, so
// that a later dispatcher repeats no completed task and grants no additional attempts.
type Progress struct {
	State JobState
	// DoneOccurrences are the finished occurrences of a repeating job. The fields below hold nothing of
	// them, so that the size of a progress does not grow with the number of occurrences.
	DoneOccurrences OccurrenceSet
	Done            []TaskRef
	// Failures has each failed run once, however often it is reported.
	Failures []TaskFailure
	// Crashes has each run once under which its minion crashed, as far as crashes count against the
	// task.
	Crashes []TaskFailure
}

// OccurrenceRange is the range of occurrences from First up to but not including End.
type OccurrenceRange struct {
	First, End quetzalunit.Occurrence
}

// OccurrenceSet is a set of occurrences. Its ranges are ascending, and neither empty nor adjacent.
type OccurrenceSet []OccurrenceRange

// find returns the index of the first range that ends at or after an occurrence.
func (s OccurrenceSet) find(o quetzalunit.Occurrence) int {
	i, _ := slices.BinarySearchFunc(s, o, func(r OccurrenceRange, o quetzalunit.Occurrence) int { return cmp.Compare(r.End, o) })
	return i
}

// EndOf returns the end of the range that contains an occurrence, and false if there is none.
func (s OccurrenceSet) EndOf(o quetzalunit.Occurrence) (quetzalunit.Occurrence, bool) {
	if i := s.find(o + 1); i < len(s) && s[i].First <= o {
		return s[i].End, true
	}
	return 0, false
}

// Contains reports whether an occurrence is in the set.
func (s OccurrenceSet) Contains(o quetzalunit.Occurrence) bool {
	_, ok := s.EndOf(o)
	return ok
}

// Add adds the occurrences of a range.
func (s *OccurrenceSet) Add(r OccurrenceRange) {
	if r.First >= r.End {
		return
	}
	from := s.find(r.First)
	to := from
	for ; to < len(*s) && (*s)[to].First <= r.End; to++ {
		r.First, r.End = min(r.First, (*s)[to].First), max(r.End, (*s)[to].End)
	}
	*s = slices.Replace(*s, from, to, r)
}

// TaskRef identifies a task within its job.
type TaskRef struct {
	Occurrence quetzalunit.Occurrence
	Step       quetzalunit.StepIndex
	Task       quetzalunit.TaskIndex
}

// TaskFailure is a failed run of a task, or one under which its minion crashed.
type TaskFailure struct {
	TaskRef
	Run quetzalunit.RunNumber
}

// StepKey identifies a step of an occurrence of a job.
type StepKey struct {
	Job        Row
	Occurrence quetzalunit.Occurrence
	Step       quetzalunit.StepIndex
}

// Step is a step of one occurrence of a job.
type Step struct {
	Job        Row
	Occurrence quetzalunit.Occurrence
	Index      quetzalunit.StepIndex
	Spec       *StepSpec
	Tasks      []Row
	// Done counts the tasks that are done, Waiting those that are neither done nor have an active run.
	Done, Waiting quetzalunit.Tasks
	// Runnable reports whether all steps that it depends on are done, so that its tasks can start.
	Runnable bool
	// RunnableAt is when Runnable became true.
	RunnableAt quetzalunit.Instant
	// Enqueued reports whether the step is in the pool's ReadySteps or LateSteps, Late whether it is
	// in LateSteps.
	Enqueued, Late bool
	// Rank orders the step within this list.
	Rank Rank
	// RunsPerMinion counts the active runs on each minion. It is maintained only if the step limits
	// them.
	RunsPerMinion map[Row]quetzalunit.Tasks
	// MeanRunTime is the mean run time of the runs that are done, MeasuredRuns their number.
	MeanRunTime  time.Duration
	MeasuredRuns int
	// LongestRunTime is the longest run time so far, including those of active runs.
	LongestRunTime time.Duration
	// GangRunNumber is the run number that all tasks of a gang share.
	GangRunNumber quetzalunit.RunNumber
	// Advice is the advisor's last answer for the step.
	Advice Advice
	// MovingUntil is the instant until which room is kept for a task of the step that is to move to another minion.
	MovingUntil quetzalunit.Instant
	// Wait is the state of the log of a long-running step whose tasks are without a run.
	Wait StepWait
}

// WaitReason is why a task is without a run, in one word for the log and the metrics.
type WaitReason string

// StepWait is what is known and logged of the time in which tasks of a long-running step are without a run.
// The zero value stands for none.
type StepWait struct {
	// Tracked reports whether the step is in the pool's WaitingSteps.
	Tracked bool
	// Reason is why the tasks are without a run, as determined last, and ReasonSince since when. Both are zero
	// before the first time.
	Reason      WaitReason
	ReasonSince quetzalunit.Instant
	// MainReason is the reason that has lasted longest without a break, MainTime for how long.
	MainReason WaitReason
	MainTime   time.Duration
	// LoggedReason is the reason of the last line, empty if there was none.
	LoggedReason WaitReason
	// LoggedAt is the instant of the last line. Lines counts the lines that followed each other closely.
	LoggedAt quetzalunit.Instant
	Lines    int
	// Longest is the longest time for which a task that runs again was without a run.
	Longest time.Duration
}

// Rank determines the order in which the ready steps of a pool are placed.
type Rank struct {
	// LongRunning steps come first: such a task is out of service as long as it waits.
	LongRunning bool
	// ObjectiveUnreachable steps come last, as LateSteps of the pool: their jobs cannot meet their
	// objectives any more.
	ObjectiveUnreachable bool
	// Surplus steps, of jobs beyond the rate of their account, come after all others that can be in time.
	Surplus  bool
	Priority quetzalunit.Priority
	// Ahead steps, of accounts that have had more than their share of the pool, come after those of the
	// others with the same priority.
	Ahead bool
	// LatestStart is the latest instant at which the step can start without delaying its job beyond
	// the objective.
	LatestStart quetzalunit.Instant
	// CriticalPath is the expected run time of the longest chain of dependent steps that begins with
	// this one, computed at CriticalPathAt.
	CriticalPath   time.Duration
	CriticalPathAt quetzalunit.Instant
}

// LateStep is a step whose job cannot meet its objective any more, with the rank that it had when
// this became known.
type LateStep struct {
	Step Row
	Rank Rank
}

// Advice is the advisor's last answer for a step, and the state of the next request.
type Advice struct {
	// RequestInFlight reports whether a request to the advisor is in flight.
	RequestInFlight bool
	// ValidUntil is when the answer expires.
	ValidUntil quetzalunit.Instant
	// Tickets has the minions that may run the step.
	Tickets map[quetzalunit.MinionID]quetzalunit.Ticket
	// RetryAt is the earliest time of the next request.
	RetryAt quetzalunit.Instant
}

// TaskState is the state of a task.
type TaskState uint8

// States of a task.
const (
	// TaskWaiting means that the task has no active run.
	TaskWaiting TaskState = iota
	// TaskActive means that a run of the task is starting, running or stopping.
	TaskActive
	// TaskDone means that a run of the task has succeeded.
	TaskDone
)

// Task is one task of a step.
type Task struct {
	Step  Row
	Index quetzalunit.TaskIndex
	State TaskState
	// Starts counts the starts by this process. It makes up the low bits of a run number; the
	// fencing token makes up the high bits.
	Starts quetzalunit.RunNumber
	// Failures counts the failed runs.
	Failures quetzalunit.Failures
	// Crashes counts the runs under which their minion crashed, as in Progress.
	Crashes quetzalunit.Failures
	// Suspect reports whether the task is a likely cause of a minion's crash, and no later run has
	// survived its start.
	Suspect bool
	// SurvivedStart reports whether any run has survived its start.
	SurvivedStart bool
	// EarlyCopies counts the copies of runs that had not survived their start, LostStarts the runs
	// that had not when the lease of their minion expired.
	EarlyCopies, LostStarts int
	// IsolationDeadline is the instant up to which a suspect task waits for a minion without runs;
	// zero until its first placement after a run.
	IsolationDeadline quetzalunit.Instant
	// Runs are the active runs. Only a speculative step's tasks have more than one.
	Runs []Row
	// Checkpoint is the last saved checkpoint.
	Checkpoint quetzalunit.Checkpoint
	// AvoidMinion is the minion of the last failed run. The next run prefers another one.
	AvoidMinion Row
	// NotBefore is the earliest next start.
	NotBefore quetzalunit.Instant
	// UnavailableSince is when the task was created or last lost its active run.
	UnavailableSince quetzalunit.Instant
	// LastRunEndedAt is when the task last lost a run that its minion had started, zero if it has lost none.
	LastRunEndedAt quetzalunit.Instant
	// LostRun is the last run that ended without a result, zero if there was none. LossReason is why it no
	// longer counts.
	LostRun    quetzalunit.RunNumber
	LossReason string
	// DoneBy is the run whose end completed the task, zero if no end was reported to this process.
	DoneBy quetzalunit.RunNumber
}

// RunState is the state of a run.
type RunState uint8

// States of a run.
const (
	// RunStarting means that the order to start is in flight.
	RunStarting RunState = iota
	// RunStartUnanswered means that the order to start had no answer and may still be carried out, or that it was rejected as
	// outdated, which may be because it had been carried out.
	RunStartUnanswered
	// RunStarted means that the minion has accepted the order to start, or reports the run.
	RunStarted
)

// RunKey identifies a run.
type RunKey struct {
	Task   Row
	Number quetzalunit.RunNumber
}

// Run is one active run of a task on a minion.
type Run struct {
	Task   Row
	Number quetzalunit.RunNumber
	Minion Row
	State  RunState
	// Resources are the resources that the run reserves.
	Resources quetzalunit.Resources
	// Adopted reports whether an earlier dispatcher started the run.
	Adopted bool
	// StartedAt is when the order to start was sent. A run that an earlier dispatcher started
	// has the instant at which this process learned of it.
	StartedAt quetzalunit.Instant
	// OrderedAt is when the order to start was sent last: it is sent again when its answer is overdue. OrdersInFlight is the
	// number of these orders that have neither an answer nor timed out, OrdersLost that of those without an answer.
	OrderedAt                  quetzalunit.Instant
	OrdersInFlight, OrdersLost int
	// AnsweredAt is when the order to start was answered or timed out.
	AnsweredAt quetzalunit.Instant
	// StartToken is the token of the order to start, zero if an earlier dispatcher gave it. StartDeadline is
	// the time from which on the minion rejects the order.
	StartToken    quetzalunit.OrderToken
	StartDeadline quetzalunit.MinionTime
	// Reported is set once the minion has reported the run as active.
	Reported bool
	// SurvivedStart is set once the minion has reported the run long enough after the start that the
	// start cannot crash the minion any more.
	SurvivedStart bool
	// Percent is the progress that the minion last reported; for a long-running task its readiness.
	Percent int
	// ChangedAt is when Percent or Pace last changed.
	ChangedAt quetzalunit.Instant
	// Measurement is the minion's last measurement: the tail latency in milliseconds of a task that
	// serves requests, the cores in use for other tasks.
	Measurement int64
	// Pace is the limit on the run's speed, as a share of full speed.
	Pace quetzalunit.Percent
	// AboveTargetSince is when the tail latency last rose above the target; zero while it is below.
	AboveTargetSince quetzalunit.Instant
	// StopReason is why the run is being stopped; StopNone if it is not.
	StopReason StopReason
	// StopSentAt is when the last order to stop was sent.
	StopSentAt quetzalunit.Instant
	// StopInFlight reports whether an order to stop is in flight.
	StopInFlight bool
	// StopAnsweredAt is when the minion accepted the order to stop, or rejected the order to start as outdated, after which it
	// does not start the run; zero if it has not.
	StopAnsweredAt quetzalunit.Instant
}

// StopReason is why a run is stopped.
type StopReason uint8

// Reasons to stop a run.
const (
	StopNone StopReason = iota
	// StopCancelled means that the job is cancelled, or that a minion reported the run only after the
	// job had its final state.
	StopCancelled
	// StopDuplicate means that the run is not needed any more: another run of the task is done,
	// or the job has its final state.
	StopDuplicate
	// StopUnanswered means that the order to start had no answer. A stop ensures that the start
	// is not carried out later.
	StopUnanswered
	// StopEvacuate means that the task is to be moved to another minion.
	StopEvacuate
	// StopStalled means that the run makes no progress.
	StopStalled
	// StopUnknown means that the run belongs to no known job.
	StopUnknown
	// StopInterference means that a best-effort run slows down other tasks on its minion.
	StopInterference
)
