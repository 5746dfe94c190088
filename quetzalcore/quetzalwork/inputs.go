package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Input is something that happened outside the World.
type Input interface{ implementsInput() }

// Inputs of callers and peers.
type (
	// JobSubmitted is a caller's job. Host and Path name the queue and the job.
	JobSubmitted struct {
		Caller     quetzalunit.Caller
		Host, Path string
		Spec       *JobSpec
		// Size is that of the body, in bytes.
		Size    int64
		Timeout time.Duration
	}
	// JobAsked asks for the state of a job, or for the pending jobs of a queue when the
	// path names no job.
	JobAsked struct {
		Caller     quetzalunit.Caller
		Host, Path string
		Timeout    time.Duration
	}
	// CancelAsked asks for the cancellation of a job.
	CancelAsked struct {
		Caller     quetzalunit.Caller
		Host, Path string
		Timeout    time.Duration
	}
	// PeerAsked is a message of another entry that waits for a reply.
	PeerAsked struct {
		Caller  quetzalunit.Caller
		Message PeerMessage
	}
	// PeerAnswered is the reply to a message; nil when there was none.
	PeerAnswered struct {
		Message PeerMessage
		Address quetzalunit.Address
		Reply   PeerReply
	}
	// StopAsked begins a planned stop.
	StopAsked struct{}
	// BoundsChanged follows a change of the settings file.
	BoundsChanged struct{ Bounds Bounds }
)

// Inputs of the store. Each is the end of a command of the same subject.
type (
	// FleetWatched is the end of WatchFleet.
	FleetWatched struct {
		Result StoreResult
		// Config is the newest configuration, nil when it did not change.
		Config *FleetConfig
		Waves  []WavePlan
		Seen   quetzalunit.Revision
	}
	// MembersRead is the end of ReadMembers.
	MembersRead struct {
		Result  StoreResult
		Members []Member
		Duties  map[quetzalunit.PoolID]Duty
		// Full tells that the rows are all there are; otherwise they are those that changed.
		Full   bool
		Seen   quetzalunit.Revision
		SentAt quetzalunit.Instant
	}
	// MemberRenewed is the end of RenewMember.
	MemberRenewed struct {
		Result StoreResult
		SentAt quetzalunit.Instant
	}
	// DutyWritten is the end of WriteDuty.
	DutyWritten struct {
		Result  StoreResult
		Pool    quetzalunit.PoolID
		Release bool
		// Revision is that of the written row.
		Revision quetzalunit.Revision
		SentAt   quetzalunit.Instant
	}
	// MinionsListed is the end of ListMinions.
	MinionsListed struct {
		Result  StoreResult
		Entries []MinionEntry
		// Removed entries have left the list. Full tells that Entries is the whole list.
		Removed []quetzalunit.MinionID
		Full    bool
		Seen    quetzalunit.Revision
	}
	// PoolRead is the end of ReadPool.
	PoolRead struct {
		Result StoreResult
		Pool   quetzalunit.PoolID
		Token  quetzalunit.FencingToken
		Rows   []JobRow
		// Full tells that the rows come from a load; More that the load goes on at From.
		Full, More bool
		From       string
		Seen       quetzalunit.Revision
		SentAt     quetzalunit.Instant
	}
	// JobsStored is the end of StoreJobs.
	JobsStored struct {
		Result StoreResult
		Pool   quetzalunit.PoolID
		SentAt quetzalunit.Instant
		// StoredUnder is the revision of the duty that the transaction named.
		StoredUnder quetzalunit.Revision
		Submissions []Row
		// Existing has the jobs that the store had before.
		Existing []quetzalunit.JobID
		// Duty is the pool's present duty after a conflict, nil when it did not change.
		Duty *Duty
	}
	// ProgressStored is the end of StoreProgress.
	ProgressStored struct {
		Result   StoreResult
		Pool     quetzalunit.PoolID
		Token    quetzalunit.FencingToken
		Jobs     []Row
		Revision quetzalunit.Revision
		// Current has the stored rows after a conflict.
		Current []JobRow
	}
	// CancelStored is the end of StoreCancel.
	CancelStored struct {
		Result StoreResult
		Ask    Row
	}
	// JobLookedUp is the end of LookUpJob; Rows is empty when there is no such job.
	JobLookedUp struct {
		Result StoreResult
		Ask    Row
		Rows   []JobRow
	}
	// WavesRead is the end of ReadWaves.
	WavesRead struct {
		Result StoreResult
		States map[quetzalunit.WaveID]WaveState
		// Done are the hosts that have had their maintenance.
		Done map[quetzalunit.WaveID][]quetzalunit.HostID
	}
	// WaveStored is the end of StoreWave.
	WaveStored struct {
		Result StoreResult
		Wave   quetzalunit.WaveID
	}
	// WaveSaid is the end of SayWave.
	WaveSaid struct {
		Result StoreResult
		Wave   quetzalunit.WaveID
		State  WaveState
	}
)

// Inputs of minions, hosts and the advisor.
type (
	// MinionHeld is the end of HoldMinion.
	MinionHeld struct {
		Minion  Row
		Token   quetzalunit.FencingToken
		SentAt  quetzalunit.Instant
		Result  OrderResult
		Life    quetzalunit.Life
		Running []ListedRun
		Ends    []ListedEnd
	}
	// RunAnswered is the end of StartRun.
	RunAnswered struct {
		Run    Row
		Result OrderResult
	}
	// StopAnswered is the end of StopRun.
	StopAnswered struct {
		Run    Row
		Result OrderResult
	}
	// PaceAnswered is the end of PaceRun.
	PaceAnswered struct {
		Run    Row
		Result OrderResult
	}
	// AdviceGiven is the end of AskAdvice.
	AdviceGiven struct {
		Step    Row
		OK      bool
		Valid   time.Duration
		Tickets map[quetzalunit.MinionID]quetzalunit.Ticket
	}
	// HostsListed is the end of ListHosts.
	HostsListed struct {
		OK    bool
		Hosts []Host
	}
	// HostOrdered is the end of an order to a host.
	HostOrdered struct {
		Order  HostOrder
		Host   quetzalunit.HostID
		Wave   quetzalunit.WaveID
		Pool   quetzalunit.PoolID
		Result HostResult
	}
)

func (JobSubmitted) implementsInput()   {}
func (JobAsked) implementsInput()       {}
func (CancelAsked) implementsInput()    {}
func (PeerAsked) implementsInput()      {}
func (PeerAnswered) implementsInput()   {}
func (StopAsked) implementsInput()      {}
func (BoundsChanged) implementsInput()  {}
func (FleetWatched) implementsInput()   {}
func (MembersRead) implementsInput()    {}
func (MemberRenewed) implementsInput()  {}
func (DutyWritten) implementsInput()    {}
func (MinionsListed) implementsInput()  {}
func (PoolRead) implementsInput()       {}
func (JobsStored) implementsInput()     {}
func (ProgressStored) implementsInput() {}
func (CancelStored) implementsInput()   {}
func (JobLookedUp) implementsInput()    {}
func (WavesRead) implementsInput()      {}
func (WaveStored) implementsInput()     {}
func (WaveSaid) implementsInput()       {}
func (MinionHeld) implementsInput()     {}
func (RunAnswered) implementsInput()    {}
func (StopAnswered) implementsInput()   {}
func (PaceAnswered) implementsInput()   {}
func (AdviceGiven) implementsInput()    {}
func (HostsListed) implementsInput()    {}
func (HostOrdered) implementsInput()    {}

// StoreResult is how a call of the store ended.
type StoreResult uint8

// The ends of a call of the store.
const (
	// StoreDone was carried out.
	StoreDone StoreResult = iota
	// StoreConflict was not: a condition did not hold.
	StoreConflict
	// StoreCompacted has lost the history that was asked for.
	StoreCompacted
	// StoreRefused was not carried out and never will be.
	StoreRefused
	// StoreUnknown had no answer; it may have been carried out, or may be yet.
	StoreUnknown
)

// OrderResult is how an order to a minion ended.
type OrderResult interface{ implementsOrderResult() }

type (
	// OrderTaken tells that the minion did it, when its clock showed Clock.
	OrderTaken struct{ Clock quetzalunit.MinionTime }
	// OrderFenced tells that the minion knows a higher token.
	OrderFenced struct{}
	// OrderOutdated tells that the run's number is not above one that ended there.
	OrderOutdated struct{ Clock quetzalunit.MinionTime }
	// OrderLate tells that the deadline had passed.
	OrderLate struct{ Clock quetzalunit.MinionTime }
	// OrderNoRoom tells that the run does not fit.
	OrderNoRoom struct{ Clock quetzalunit.MinionTime }
	// OrderNoTicket tells that the advisor's ticket does not hold.
	OrderNoTicket struct{ Clock quetzalunit.MinionTime }
	// OrderRefused tells that the minion did nothing, being unhealthy.
	OrderRefused struct{}
	// OrderInvalid tells that the minion could not read the order.
	OrderInvalid struct{}
	// OrderAstray tells that another life answers at the address.
	OrderAstray struct{}
	// OrderUnanswered had no answer; it may be carried out late.
	OrderUnanswered struct{}
)

func (OrderTaken) implementsOrderResult()      {}
func (OrderFenced) implementsOrderResult()     {}
func (OrderOutdated) implementsOrderResult()   {}
func (OrderLate) implementsOrderResult()       {}
func (OrderNoRoom) implementsOrderResult()     {}
func (OrderNoTicket) implementsOrderResult()   {}
func (OrderRefused) implementsOrderResult()    {}
func (OrderInvalid) implementsOrderResult()    {}
func (OrderAstray) implementsOrderResult()     {}
func (OrderUnanswered) implementsOrderResult() {}

// HostOrder is an order to a host.
type HostOrder uint8

// The orders to a host.
const (
	// OrderMove moves the host to another pool.
	OrderMove HostOrder = iota
	// OrderMaintain takes the host away for maintenance.
	OrderMaintain
)

// HostResult is how an order to a host ended.
type HostResult uint8

// The ends of an order to a host.
const (
	// HostTaken is under way or done.
	HostTaken HostResult = iota
	// HostBusy is not up or about to leave.
	HostBusy
	// HostFenced tells that a higher token is known.
	HostFenced
	// HostInvalid can never be done.
	HostInvalid
	// HostRefused was not carried out; try later.
	HostRefused
	// HostUnknown had no answer.
	HostUnknown
)

// JobRow is a stored row of a job, or one of what belongs to it.
type JobRow struct {
	Job      quetzalunit.JobID
	Revision quetzalunit.Revision
	Content  JobContent
}

// JobContent is what a stored row of a job holds.
type JobContent interface{ implementsJobContent() }

type (
	// AcceptedJob is the job itself. Its specification is dropped when its outcome is stored, so
	// that a takeover reads little of what is over; the row stays, for its id is taken.
	AcceptedJob struct {
		Queue quetzalunit.QueueID
		// Spec is nil once the outcome is stored.
		Spec *JobSpec
		// Duty is the revision of the pool's duty when the job was stored. A dispatcher with
		// a lower token never starts the job.
		Duty quetzalunit.Revision
	}
	// JobCancellation marks the job as cancelled.
	JobCancellation struct{}
	// JobProgress has the job's ends.
	JobProgress struct{ Progress Progress }
)

func (AcceptedJob) implementsJobContent()     {}
func (JobCancellation) implementsJobContent() {}
func (JobProgress) implementsJobContent()     {}
