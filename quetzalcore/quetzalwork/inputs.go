package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Input is an event from outside the World: a call, a message, or the result of a Command.
type Input interface{ implementsInput() }

// Inputs from callers, from peers and from the process itself.
type (
	// JobSubmitted submits a job. The HTTP host and the path identify the queue and the job.
	JobSubmitted struct {
		Caller         quetzalunit.CallerID
		HTTPHost, Path string
		// Key is the digest of the caller's key, zero if the call has none.
		Key quetzalunit.KeyDigest
		// Spec is nil if the body could not be decoded.
		Spec *JobSpec
		// BodySize is the length of the body, in bytes.
		BodySize int64
		Timeout  time.Duration
	}
	// JobQueried queries the state of a job, or the number of pending jobs of a queue if the
	// path names no job.
	JobQueried struct {
		Caller         quetzalunit.CallerID
		HTTPHost, Path string
		Key            quetzalunit.KeyDigest
		Timeout        time.Duration
	}
	// CancelRequested requests the cancellation of a job.
	CancelRequested struct {
		Caller         quetzalunit.CallerID
		HTTPHost, Path string
		Key            quetzalunit.KeyDigest
		Timeout        time.Duration
	}
	// PeerMessageReceived is a message from another entry, which waits for a reply.
	PeerMessageReceived struct {
		Caller  quetzalunit.CallerID
		Message PeerMessage
	}
	// PeerReplyReceived is the result of CallPeer. Reply is nil if the call failed.
	PeerReplyReceived struct {
		Message PeerMessage
		Address quetzalunit.Address
		Reply   PeerReply
	}
	// StopRequested begins a graceful shutdown.
	StopRequested struct{}
	// BoundsChanged delivers new bounds after a change of the settings file.
	BoundsChanged struct{ Bounds Bounds }
)

// Results of the commands to the store. SentAt is copied from the command: a read reflects
// the store at some instant after it.
type (
	// ConfigWatched is the result of WatchConfig.
	ConfigWatched struct {
		Result StoreResult
		// Config is the newest configuration, nil if it did not change.
		Config *FleetConfig
		Waves  []WavePlan
		// SeenRevision is the revision up to which the rows are known.
		SeenRevision quetzalunit.Revision
		SentAt       quetzalunit.Instant
		// HeldFor is how long the store held the call because nothing changed; zero for an answer with changes.
		HeldFor time.Duration
		// More reports whether more changes may follow; SeenRevision is the revision from which to read on.
		More bool
		// Unreadable reports whether there is a configuration that could not be decoded.
		Unreadable bool
	}
	// MembersRead is the result of ReadMembers.
	MembersRead struct {
		Result  StoreResult
		Members []Member
		// Duties has the duties by pool. The duty of the host controller has a reserved id.
		Duties map[quetzalunit.PoolID]Duty
		// HostLease is the revision of the host controller's lease, 0 if it did not change.
		HostLease quetzalunit.Revision
		// Settled has, by pool, the revision of the duty's row for which SettleDuty was carried out.
		Settled map[quetzalunit.PoolID]quetzalunit.Revision
		// Full reports whether Members and Duties are complete; otherwise they hold only what
		// changed.
		Full         bool
		SeenRevision quetzalunit.Revision
		SentAt       quetzalunit.Instant
		// StoreNow is the store's time between SentAt and the answer.
		StoreNow quetzalunit.StoreTime
	}
	// MemberRenewed is the result of RenewMember.
	MemberRenewed struct {
		Result StoreResult
		// Revision is that of the renewed row.
		Revision quetzalunit.Revision
		SentAt   quetzalunit.Instant
	}
	// DutyWritten is the result of WriteDuty.
	DutyWritten struct {
		Result  StoreResult
		Pool    quetzalunit.PoolID
		Release bool
		// Expected is the revision that the row was to have.
		Expected quetzalunit.Revision
		// Revision is the revision of the written row.
		Revision quetzalunit.Revision
		SentAt   quetzalunit.Instant
	}
	// HostLeaseRenewed is the result of RenewHostLease.
	HostLeaseRenewed struct {
		Result StoreResult
		Token  quetzalunit.FencingToken
		SentAt quetzalunit.Instant
	}
	// MinionsListed is the result of ListMinions.
	MinionsListed struct {
		Result  StoreResult
		Minions []MinionRecord
		// Removed are the minions that have left the list.
		Removed []quetzalunit.MinionID
		// Full reports whether Minions is the complete list; otherwise it holds only what
		// changed. LookBack is that of the command, SinceRevision its revision.
		Full, LookBack              bool
		SeenRevision, SinceRevision quetzalunit.Revision
	}
	// PoolJobsRead is the result of ReadPoolJobs.
	PoolJobsRead struct {
		Result StoreResult
		Pool   quetzalunit.PoolID
		Token  quetzalunit.FencingToken
		Rows   []JobRow
		// Full reports whether Rows is a page of all rows; otherwise it is a page of what changed. More reports
		// whether a further page follows: of all rows from the key NextKey on, of changes after SeenRevision.
		Full, More   bool
		NextKey      string
		SeenRevision quetzalunit.Revision
		SentAt       quetzalunit.Instant
	}
	// JobsStored is the result of StoreJobs.
	JobsStored struct {
		Result StoreResult
		Pool   quetzalunit.PoolID
		Shard  quetzalunit.Shard
		SentAt quetzalunit.Instant
		// DutyRevision is the revision of the pool's duty that the transaction required.
		DutyRevision quetzalunit.Revision
		Submissions  []Row
		// ExistingJobs are the jobs that caused a conflict because the pool has rows of them, Indexed the
		// entries of those that caused one because they are in the job index.
		ExistingJobs []quetzalunit.JobID
		Indexed      []JobIndexEntry
		// CurrentDuty is the pool's current duty after a conflict, nil if it did not change or if
		// its row could not be read.
		CurrentDuty *Duty
	}
	// ProgressStored is the result of StoreProgress.
	ProgressStored struct {
		Result StoreResult
		Pool   quetzalunit.PoolID
		Shard  quetzalunit.Shard
		Token  quetzalunit.FencingToken
		Jobs   []Row
		// Revision is the new revision of the written rows.
		Revision quetzalunit.Revision
		// CurrentRows are the stored rows that caused a conflict.
		CurrentRows []JobRow
		// CurrentDuty is the pool's duty if a conflict shows that its revision is not Token, nil otherwise. Its revision is
		// zero if it could not be read.
		CurrentDuty *Duty
	}
	// CancelStored is the result of StoreCancel.
	CancelStored struct {
		Result  StoreResult
		Request Row
	}
	// EarlyCancelStored is the result of StoreEarlyCancel. Entry is the entry of the ID that caused a conflict, zero if
	// there is none.
	EarlyCancelStored struct {
		Result  StoreResult
		Request Row
		Entry   JobIndexEntry
	}
	// CancelledJobStored is the result of StoreCancelledJob. After a conflict, the cancellation is removed or has changed.
	CancelledJobStored struct {
		Result     StoreResult
		Submission Row
	}
	// EarlyCancelRemoved is the result of RemoveEarlyCancel. It is StoreDone if the cancellation is removed, by whichever
	// attempt. Revision is that of the command.
	EarlyCancelRemoved struct {
		Result   StoreResult
		Job      Row
		Revision quetzalunit.Revision
	}
	// JobLookedUp is the result of LookUpJob. Rows is empty if the pool has no such job.
	JobLookedUp struct {
		Result  StoreResult
		Request Row
		Rows    []JobRow
	}
	// JobLocated is the result of LocateJob. Entry is zero if the index has no such job.
	JobLocated struct {
		Result  StoreResult
		Request Row
		Entry   JobIndexEntry
	}
	// WavesRead is the result of ReadWaves.
	WavesRead struct {
		Result StoreResult
		States map[quetzalunit.WaveID]WaveState
		// Done has, for each wave, the hosts whose maintenance order was accepted; they may still
		// be out of service.
		Done map[quetzalunit.WaveID][]quetzalunit.HostID
		// HostsRevisions has the revisions of the rows with Done.
		HostsRevisions map[quetzalunit.WaveID]quetzalunit.Revision
	}
	// WaveHostsStored is the result of StoreWaveHosts. Revision is that of the row after a success or
	// a conflict; after a conflict Done has the stored hosts.
	WaveHostsStored struct {
		Result   StoreResult
		Wave     quetzalunit.WaveID
		Revision quetzalunit.Revision
		Done     []quetzalunit.HostID
	}
	// DivisionAnswered is the result of StoreDivision and ReadDivision. Division is the stored one after a
	// success or a conflict, with revision 0 if there is none.
	DivisionAnswered struct {
		Result   StoreResult
		Division quetzalaccount.Division
	}
	// WaveStateStored is the result of StoreWaveState.
	WaveStateStored struct {
		Result StoreResult
		Wave   quetzalunit.WaveID
		State  WaveState
	}
)

// Results of the commands to minions, hosts and the advisor.
type (
	// MinionPolled is the result of PollMinion: the active runs of the minion and the ends that
	// are not acknowledged yet.
	MinionPolled struct {
		Minion      Row
		Token       quetzalunit.OrderToken
		SentAt      quetzalunit.Instant
		Result      OrderResult
		Incarnation quetzalunit.MinionIncarnation
		Running     []ReportedRun
		// Ends are the first ends that are not acknowledged, in ascending order. MoreEnds reports whether others may follow
		// that the answer has no room for: a run that the answer does not show may have ended.
		Ends     []ReportedEnd
		MoreEnds bool
		// EndsAfter is the end up to which Ends leaves out all but the first.
		EndsAfter quetzalunit.EndNumber
	}
	// StartAnswered is the result of StartRun.
	StartAnswered struct {
		Run    Row
		Token  quetzalunit.OrderToken
		Result OrderResult
	}
	// StopAnswered is the result of StopRun. An accepted order only begins the stop: the run has
	// ended once the minion reports its end.
	StopAnswered struct {
		Run    Row
		Token  quetzalunit.OrderToken
		Result OrderResult
	}
	// PaceAnswered is the result of PaceRun.
	PaceAnswered struct {
		Run    Row
		Token  quetzalunit.OrderToken
		Result OrderResult
	}
	// AdviceAnswered is the result of RequestAdvice. OK is false if there was no valid answer.
	AdviceAnswered struct {
		Step Row
		OK   bool
		// ValidFor is how long the tickets are valid.
		ValidFor time.Duration
		// Tickets has the minions that may run the step.
		Tickets map[quetzalunit.MinionID]quetzalunit.Ticket
	}
	// HostsListed is the result of ListHosts. OK is false if the list could not be read in full.
	HostsListed struct {
		OK    bool
		Hosts []Host
	}
	// CensusRead is the result of ReadCensus. OK is false if the list could not be read in full.
	CensusRead struct {
		OK     bool
		Hosts  []Host
		SentAt quetzalunit.Instant
	}
	// HostOrderAnswered is the result of OrderHost.
	HostOrderAnswered struct {
		Order  HostOrder
		Token  quetzalunit.FencingToken
		Host   quetzalunit.HostID
		Wave   quetzalunit.WaveID
		Pool   quetzalunit.PoolID
		Result HostResult
	}
)

func (JobSubmitted) implementsInput()        {}
func (JobQueried) implementsInput()          {}
func (CancelRequested) implementsInput()     {}
func (PeerMessageReceived) implementsInput() {}
func (PeerReplyReceived) implementsInput()   {}
func (StopRequested) implementsInput()       {}
func (BoundsChanged) implementsInput()       {}
func (ConfigWatched) implementsInput()       {}
func (MembersRead) implementsInput()         {}
func (MemberRenewed) implementsInput()       {}
func (DutyWritten) implementsInput()         {}
func (HostLeaseRenewed) implementsInput()    {}
func (MinionsListed) implementsInput()       {}
func (PoolJobsRead) implementsInput()        {}
func (JobsStored) implementsInput()          {}
func (ProgressStored) implementsInput()      {}
func (CancelStored) implementsInput()        {}
func (EarlyCancelStored) implementsInput()   {}
func (CancelledJobStored) implementsInput()  {}
func (EarlyCancelRemoved) implementsInput()  {}
func (JobLocated) implementsInput()          {}
func (JobLookedUp) implementsInput()         {}
func (WavesRead) implementsInput()           {}
func (WaveHostsStored) implementsInput()     {}
func (WaveStateStored) implementsInput()     {}
func (DivisionAnswered) implementsInput()    {}
func (MinionPolled) implementsInput()        {}
func (StartAnswered) implementsInput()       {}
func (StopAnswered) implementsInput()        {}
func (PaceAnswered) implementsInput()        {}
func (AdviceAnswered) implementsInput()      {}
func (HostsListed) implementsInput()         {}
func (CensusRead) implementsInput()          {}
func (HostOrderAnswered) implementsInput()   {}

// StoreResult is the result of a call to the store.
type StoreResult uint8

// Results of a call to the store.
const (
	// StoreDone means that the call succeeded.
	StoreDone StoreResult = iota
	// StoreConflict means that nothing was written because a condition did not hold.
	StoreConflict
	// StoreCompacted means that the changes since the requested revision are no longer kept:
	// the rows must be read in full.
	StoreCompacted
	// StoreRefused means that the call was not carried out and never will be.
	StoreRefused
	// StoreUnanswered means that there was no answer: the call may have been carried out, or may
	// still be.
	StoreUnanswered
	// StoreRejected means that the store did not carry out the call because of its contents, for example
	// a row that is too large. The same call will be rejected again.
	StoreRejected
)

// String returns the name of the result in the log.
func (r StoreResult) String() string {
	return [...]string{"Done", "Conflict", "Compacted", "Refused", "Unanswered", "Rejected"}[r]
}

// OrderResult is the result of an order to a minion. Clock is the time on the minion's clock
// when it answered.
type OrderResult interface{ implementsOrderResult() }

type (
	// OrderAccepted means that the minion accepted the order.
	OrderAccepted struct{ Clock quetzalunit.MinionTime }
	// OrderFenced means that the minion rejected the order because it has seen a higher token.
	OrderFenced struct{}
	// OrderOutdated means that the minion rejected a start because a run of the task with the
	// same or a higher number has ended there.
	OrderOutdated struct{ Clock quetzalunit.MinionTime }
	// OrderExpired means that the minion rejected the order because its deadline had passed.
	OrderExpired struct{ Clock quetzalunit.MinionTime }
	// OrderNoCapacity means that the minion rejected a start because the run does not fit.
	OrderNoCapacity struct{ Clock quetzalunit.MinionTime }
	// OrderTicketRejected means that the minion rejected a start because its ticket is not valid.
	OrderTicketRejected struct{ Clock quetzalunit.MinionTime }
	// OrderRefused means that the order was not carried out: the minion is overloaded or
	// unhealthy, or the order was not sent.
	OrderRefused struct{}
	// OrderNotSent means that the order was not sent, because the permission to send it had ended.
	OrderNotSent struct{}
	// OrderMalformed means that the minion could not decode the order.
	OrderMalformed struct{}
	// OrderMisdirected means that another minion answers at the address.
	OrderMisdirected struct{}
	// OrderWrongIncarnation means that the order was not sent, because another process of the minion than
	// the one for which it was meant answers at the address.
	OrderWrongIncarnation struct{ Incarnation quetzalunit.MinionIncarnation }
	// OrderUnanswered means that there was no answer: the order may have been carried out, or
	// may still be.
	OrderUnanswered struct{}
)

func (OrderAccepted) implementsOrderResult()         {}
func (OrderFenced) implementsOrderResult()           {}
func (OrderOutdated) implementsOrderResult()         {}
func (OrderExpired) implementsOrderResult()          {}
func (OrderNoCapacity) implementsOrderResult()       {}
func (OrderTicketRejected) implementsOrderResult()   {}
func (OrderRefused) implementsOrderResult()          {}
func (OrderNotSent) implementsOrderResult()          {}
func (OrderMalformed) implementsOrderResult()        {}
func (OrderMisdirected) implementsOrderResult()      {}
func (OrderWrongIncarnation) implementsOrderResult() {}
func (OrderUnanswered) implementsOrderResult()       {}

// HostOrder is the kind of an order to a host.
type HostOrder uint8

// Kinds of orders to a host.
const (
	// HostOrderMove moves the host to another pool.
	HostOrderMove HostOrder = iota
	// HostOrderMaintain takes the host out of service for maintenance.
	HostOrderMaintain
)

// HostResult is the result of an order to a host.
type HostResult uint8

// Results of an order to a host.
const (
	// HostResultAccepted means that the order is being carried out or is done.
	HostResultAccepted HostResult = iota
	// HostResultBusy means that the host is not up or is about to leave.
	HostResultBusy
	// HostResultFenced means that the order was rejected because a higher token has been seen.
	HostResultFenced
	// HostResultInvalid means that the order can never be carried out.
	HostResultInvalid
	// HostResultRefused means that the order was not carried out but may be repeated later.
	HostResultRefused
	// HostResultUnanswered means that there was no answer: the order may have been carried out.
	HostResultUnanswered
	// HostResultExpired means that the order was not sent, because the permission to send it had
	// ended.
	HostResultExpired
)

// JobRow is one of the stored rows of a job.
type JobRow struct {
	Job quetzalunit.JobID
	// Revision is that of the row's last write. In a command that stores rows on a condition, it is
	// the revision that the row must still have, 0 if the row must not exist.
	Revision quetzalunit.Revision
	Content  JobContent
}

// JobIndexEntry tells in which pool a job is stored. The job index has at most one entry of an ID, whatever the
// configuration, so that entries with different configurations find the same job.
type JobIndexEntry struct {
	Job  quetzalunit.JobID
	Pool quetzalunit.PoolID
	// Cancelled reports whether the ID was cancelled while no job had it. A job that gets the ID later is stored in Pool and
	// does not start.
	Cancelled bool
	// Revision is that of the entry's last write.
	Revision quetzalunit.Revision
}

// JobContent is the content of a JobRow.
type JobContent interface{ implementsJobContent() }

type (
	// AcceptedJob is the job itself. The specification is dropped when the final state is stored,
	// so that a takeover need not read those of finished jobs. The row stays, so that the job's id
	// cannot be used again.
	AcceptedJob struct {
		Queue quetzalunit.QueueID
		// Account is the client account that submitted the job, empty if none did.
		Account quetzalunit.AccountID
		// Spec is nil once the final state is stored.
		Spec *JobSpec
		// DutyRevision is the revision of the pool's duty when the job was stored. A dispatcher
		// with a lower token never starts the job.
		DutyRevision quetzalunit.Revision
	}
	// JobCancellation marks the job as cancelled.
	JobCancellation struct{}
	// JobProgress is the job's state with its completed tasks and failed runs.
	JobProgress struct{ Progress Progress }
)

func (AcceptedJob) implementsJobContent()     {}
func (JobCancellation) implementsJobContent() {}
func (JobProgress) implementsJobContent()     {}
