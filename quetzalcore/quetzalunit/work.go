package quetzalunit

import "time"

// Identifiers and opaque values of jobs and minions.
type (
	// JobID identifies a job. It is chosen by the caller.
	JobID string
	// MinionID identifies a registration of a minion.
	MinionID string
	// Label is a property of a minion that a step can require, such as its kind or its rack.
	Label string
	// ImageID identifies the program that the tasks of a step run. Tasks with the same image
	// behave alike.
	ImageID string
	// Checkpoint is the saved progress of a task, from which its next run resumes; empty if
	// there is none.
	Checkpoint string
	// Ticket is the advisor's permission to run the tasks of one step on one minion.
	Ticket string
)

// Numbers and counts.
type (
	// StepIndex numbers the steps of a job from 0.
	StepIndex int32
	// Shard numbers the shards of a pool's job rows from 0.
	Shard int
	// TaskIndex numbers the tasks of a step from 0.
	TaskIndex int32
	// Occurrence numbers the occurrences of a repeating job from 0, or counts them.
	Occurrence int32
	// RunNumber numbers the runs of a task. It increases from run to run, also if another entry
	// dispatches the pool. The high bits are the FencingToken of the dispatcher that started the run, the
	// low startCountBits bits count its starts of the task.
	RunNumber int64
	// FencingToken orders the dispatchers of a pool, and the holders of the duty to order hosts.
	FencingToken int64
	// OrderToken orders the calls to a minion, which rejects those with a lower token than the highest that
	// it has seen. The high bits are the dispatcher's FencingToken, the low restartBits bits its Restarts.
	OrderToken int64
	// Restarts counts the minions that have joined a pool or restarted under its dispatcher.
	Restarts int32
	// EndNumber numbers from 1 the ends of runs within one MinionIncarnation.
	EndNumber int64
	// MinionIncarnation distinguishes the processes that have used the same MinionID. It is the
	// start time of the process, in milliseconds since the Unix epoch.
	MinionIncarnation int64
	// Heartbeat counts the renewals of an entry's membership row.
	Heartbeat int64
	// Tasks counts tasks, and the pending jobs of a queue.
	Tasks int32
	// Failures counts failed runs.
	Failures int32
	// Priority orders queues: the lowest value comes first.
	Priority int32
)

// Amounts of a minion's resources.
type (
	// MilliCores is an amount of processor time, in thousandths of a core.
	MilliCores int64
	// Megabytes is an amount of memory.
	Megabytes int64
	// Accelerators counts accelerators.
	Accelerators int64
)

// StoreTime is a point in time on the store's steady clock, in milliseconds; zero if it is not known.
type StoreTime int64

// Add returns the point in time d later.
func (t StoreTime) Add(d time.Duration) StoreTime {
	return t + StoreTime(d.Milliseconds())
}

// Sub returns the time from u to t.
func (t StoreTime) Sub(u StoreTime) time.Duration {
	return time.Duration(t-u) * time.Millisecond
}

// MinionTime is a point in time on a minion's monotonic clock, in milliseconds.
type MinionTime int64

// Add returns the time d later, with d truncated to milliseconds.
func (t MinionTime) Add(d time.Duration) MinionTime {
	return t + MinionTime(d.Milliseconds())
}

// restartBits is the number of low bits of an OrderToken that count restarts, MaxRestarts the largest count.
// With 16 bits, tokens of the first 2^37 revisions of the store stay below 2^53 and so are exact in JSON.
const (
	restartBits          = 16
	MaxRestarts Restarts = 1<<restartBits - 1
)

// Order returns the token of the calls by a dispatcher with a fencing token that has seen n restarts.
func (t FencingToken) Order(n Restarts) OrderToken {
	return OrderToken(t)<<restartBits | OrderToken(n)
}

// Resources are the resources that a task needs or that a minion has.
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

// FitsIn reports whether no component of r exceeds that of capacity.
func (r Resources) FitsIn(capacity Resources) bool {
	return r.Cores <= capacity.Cores && r.Memory <= capacity.Memory && r.Accelerators <= capacity.Accelerators
}

const (
	// startCountBits is the number of low bits of a run number that count a dispatcher's starts
	// of a task. The bits above hold the fencing token, so that no two dispatchers use the same
	// run number.
	startCountBits = 10
	// MaxStarts is the largest start count. A further start would need the bits of the fencing
	// token.
	MaxStarts RunNumber = 1<<startCountBits - 1
)

// Run returns the number of the run that a dispatcher starts as the given one of a task.
func (t FencingToken) Run(start RunNumber) RunNumber {
	return RunNumber(t)<<startCountBits | start
}

// Token returns the token of the dispatcher that started the run.
func (n RunNumber) Token() FencingToken {
	return FencingToken(n >> startCountBits)
}

// Start returns which of its dispatcher's starts of the task the run is, counted from 1.
func (n RunNumber) Start() RunNumber {
	return n & MaxStarts
}
