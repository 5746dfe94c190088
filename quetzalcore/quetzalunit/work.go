package quetzalunit

import "time"

// Identifiers of the work that minions run under leases.
type (
	// JobID names a job; its caller chooses it.
	JobID string
	// MinionID names one registration of a minion.
	MinionID string
	// Label is a property of a minion that a step may require, such as a kind or a rack.
	Label string
	// ImageID names what the tasks of a step run; tasks of one image behave alike.
	ImageID string
	// Checkpoint is saved progress from which a later run of the task resumes; empty without any.
	Checkpoint string
	// Ticket permits the tasks of one step on one minion.
	Ticket string
)

// Numbers of the work.
type (
	// StepIndex numbers the steps of a job from 0.
	StepIndex int32
	// TaskIndex numbers the tasks of a step from 0.
	TaskIndex int32
	// Occurrence numbers the repetitions of a job from 0.
	Occurrence int32
	// RunNumber numbers the starts of a task; it rises with each.
	RunNumber int64
	// FencingToken orders the dispatchers of a pool; a minion ignores lower ones.
	FencingToken int64
	// EndNumber numbers the ends of runs on one life of a minion, from 1.
	EndNumber int64
	// Life tells apart the lives of a minion that keeps its id; it is the instant of
	// its start in milliseconds since the Unix epoch.
	Life int64
	// Beat counts the renewals of an entry's membership.
	Beat int64
	// Tasks counts tasks.
	Tasks int32
	// Failures counts failed runs.
	Failures int32
	// Priority orders queues; 0 comes first.
	Priority int32
)

// Amounts of a minion's resources.
type (
	// MilliCores is processor capacity in thousandths of a core.
	MilliCores int64
	// Megabytes is memory.
	Megabytes int64
	// Accelerators counts accelerators.
	Accelerators int64
)

// MinionTime is a point on a minion's own steady clock, in milliseconds.
type MinionTime int64

// Add returns the point d later.
func (t MinionTime) Add(d time.Duration) MinionTime {
	return t + MinionTime(d.Milliseconds())
}

// Resources is what a task needs or a minion offers.
type Resources struct {
	Cores        MilliCores
	Memory       Megabytes
	Accelerators Accelerators
}

// Plus returns the sum.
func (r Resources) Plus(s Resources) Resources {
	return Resources{r.Cores + s.Cores, r.Memory + s.Memory, r.Accelerators + s.Accelerators}
}

// Minus returns the difference.
func (r Resources) Minus(s Resources) Resources {
	return Resources{r.Cores - s.Cores, r.Memory - s.Memory, r.Accelerators - s.Accelerators}
}

// Fits tells whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.Cores <= room.Cores && r.Memory <= room.Memory && r.Accelerators <= room.Accelerators
}
