package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Command is something to be done outside the World.
type Command interface{ implementsCommand() }

// Commands to callers and peers.
type (
	// AnswerCaller answers a caller.
	AnswerCaller struct {
		Caller quetzalunit.Caller
		Answer Answer
	}
	// AnswerPeer replies to another entry.
	AnswerPeer struct {
		Caller quetzalunit.Caller
		Reply  PeerReply
	}
	// AskPeer sends a message to another entry.
	AskPeer struct {
		Address quetzalunit.Address
		Message PeerMessage
		Timeout time.Duration
	}
	// LogDecision reports a decision to the log.
	LogDecision struct{ Decision Decision }
	// Relays names the peers through which the store may be reached, nearest first.
	Relays struct{ Addresses []quetzalunit.Address }
	// ObserveJob records a finished job.
	ObserveJob struct {
		Queue quetzalunit.QueueID
		State JobState
		Total time.Duration
		Late  bool
	}
)

// Commands to the store.
type (
	// WatchFleet waits for a change of the operators' rows.
	WatchFleet struct {
		After quetzalunit.Revision
		Wait  time.Duration
	}
	// ReadMembers reads the rows of members and duties: all, or what changed after a revision.
	ReadMembers struct {
		After  quetzalunit.Revision
		SentAt quetzalunit.Instant
	}
	// RenewMember writes this entry's row.
	RenewMember struct {
		Member Member
		SentAt quetzalunit.Instant
	}
	// WriteDuty takes over a duty, or gives it back, if its row has the expected revision.
	WriteDuty struct {
		Pool     quetzalunit.PoolID
		Expected quetzalunit.Revision
		Holder   Duty
		Release  bool
		SentAt   quetzalunit.Instant
	}
	// ListMinions reads what changed in the list of minions, or the whole list when After is 0.
	ListMinions struct{ After quetzalunit.Revision }
	// ReadPool reads the rows of a pool's jobs: all from a key, or what changed after a revision.
	ReadPool struct {
		Pool   quetzalunit.PoolID
		Token  quetzalunit.FencingToken
		Full   bool
		From   string
		After  quetzalunit.Revision
		SentAt quetzalunit.Instant
	}
	// StoreJobs stores jobs, all or none, if none is there yet and the pool's duty has the
	// revision that is known here.
	StoreJobs struct {
		Pool        quetzalunit.PoolID
		Duty        quetzalunit.Revision
		Submissions []Row
		Jobs        []JobRow
		Timeout     time.Duration
		SentAt      quetzalunit.Instant
	}
	// StoreProgress stores progress, all or none, if each row has its expected revision.
	StoreProgress struct {
		Pool  quetzalunit.PoolID
		Token quetzalunit.FencingToken
		Jobs  []Row
		// Rows have the expected revisions.
		Rows []JobRow
		// Ended are the rows of the jobs whose outcome is stored, without their specifications.
		Ended []JobRow
	}
	// StoreCancel stores a cancellation.
	StoreCancel struct {
		Pool    quetzalunit.PoolID
		Job     quetzalunit.JobID
		Ask     Row
		Timeout time.Duration
	}
	// LookUpJob reads the rows of one job.
	LookUpJob struct {
		Pool    quetzalunit.PoolID
		Job     quetzalunit.JobID
		Ask     Row
		Timeout time.Duration
	}
	// ReadWaves reads the stored states of the waves.
	ReadWaves struct{}
	// StoreWave stores which hosts of a wave have had their maintenance, for a later conductor.
	StoreWave struct {
		Wave quetzalunit.WaveID
		Done []quetzalunit.HostID
	}
	// SayWave stores the state of a wave.
	SayWave struct {
		Wave  quetzalunit.WaveID
		State WaveState
	}
)

// Commands to minions, hosts and the advisor.
type (
	// HoldMinion renews the lease and asks what runs and what ended.
	HoldMinion struct {
		Minion Row
		Target MinionTarget
		// Lease is the end of the lease; 0 leaves it as it is.
		Lease  quetzalunit.MinionTime
		Noted  quetzalunit.EndNumber
		Wait   time.Duration
		SentAt quetzalunit.Instant
	}
	// StartRun starts a run.
	StartRun struct {
		Run        Row
		Target     MinionTarget
		Task       TaskName
		Number     quetzalunit.RunNumber
		Text       string
		Lease      quetzalunit.MinionTime
		Checkpoint quetzalunit.Checkpoint
		Ticket     quetzalunit.Ticket
	}
	// StopRun stops a run.
	StopRun struct {
		Run    Row
		Target MinionTarget
		Task   TaskName
		Number quetzalunit.RunNumber
	}
	// PaceRun sets the share of its speed at which a run works.
	PaceRun struct {
		Run    Row
		Target MinionTarget
		Task   TaskName
		Number quetzalunit.RunNumber
		Pace   quetzalunit.Percent
	}
	// AskAdvice asks which minions may run a step.
	AskAdvice struct {
		Step    Row
		Name    TaskName
		Minions []quetzalunit.MinionID
		Timeout time.Duration
	}
	// ListHosts reads the list of hosts.
	ListHosts struct{}
	// OrderHost gives an order to a host.
	OrderHost struct {
		Order HostOrder
		Host  quetzalunit.HostID
		Wave  quetzalunit.WaveID
		Pool  quetzalunit.PoolID
		Token quetzalunit.FencingToken
		// Until ends the right to give the order.
		Until quetzalunit.Instant
	}
)

// MinionTarget is where an order goes and the token that it carries.
type MinionTarget struct {
	Minion  quetzalunit.MinionID
	Address quetzalunit.Address
	Token   quetzalunit.FencingToken
}

func (AnswerCaller) implementsCommand()  {}
func (AnswerPeer) implementsCommand()    {}
func (AskPeer) implementsCommand()       {}
func (LogDecision) implementsCommand()   {}
func (Relays) implementsCommand()        {}
func (ObserveJob) implementsCommand()    {}
func (WatchFleet) implementsCommand()    {}
func (ReadMembers) implementsCommand()   {}
func (RenewMember) implementsCommand()   {}
func (WriteDuty) implementsCommand()     {}
func (ListMinions) implementsCommand()   {}
func (ReadPool) implementsCommand()      {}
func (StoreJobs) implementsCommand()     {}
func (StoreProgress) implementsCommand() {}
func (StoreCancel) implementsCommand()   {}
func (LookUpJob) implementsCommand()     {}
func (ReadWaves) implementsCommand()     {}
func (StoreWave) implementsCommand()     {}
func (SayWave) implementsCommand()       {}
func (HoldMinion) implementsCommand()    {}
func (StartRun) implementsCommand()      {}
func (StopRun) implementsCommand()       {}
func (PaceRun) implementsCommand()       {}
func (AskAdvice) implementsCommand()     {}
func (ListHosts) implementsCommand()     {}
func (OrderHost) implementsCommand()     {}

// Answer is the answer to a caller.
type Answer interface{ implementsAnswer() }

type (
	// JobAccepted tells that the job is stored.
	JobAccepted struct{}
	// JobRefused tells that the job was not accepted and never runs unless it is submitted again.
	JobRefused struct {
		RetryAfter time.Duration
		Reason     string
	}
	// Unsettled tells that nothing is known for certain; ask again.
	Unsettled struct{ Reason string }
	// NoSuchQueue tells that no queue has the path.
	NoSuchQueue struct{}
	// NoSuchJob tells that the queue has no such job.
	NoSuchJob struct{}
	// BadJob tells what is wrong with a submission.
	BadJob struct{ Problem string }
	// TooLarge tells that the body exceeds the limit.
	TooLarge struct{}
	// StateIs is the state of a job.
	StateIs struct{ State JobState }
	// PendingIs is the number of jobs of which no task has started.
	PendingIs struct{ Pending quetzalunit.Tasks }
	// Cancelled tells that a cancellation is stored.
	Cancelled struct{}
)

func (JobAccepted) implementsAnswer() {}
func (JobRefused) implementsAnswer()  {}
func (Unsettled) implementsAnswer()   {}
func (NoSuchQueue) implementsAnswer() {}
func (NoSuchJob) implementsAnswer()   {}
func (BadJob) implementsAnswer()      {}
func (TooLarge) implementsAnswer()    {}
func (StateIs) implementsAnswer()     {}
func (PendingIs) implementsAnswer()   {}
func (Cancelled) implementsAnswer()   {}
