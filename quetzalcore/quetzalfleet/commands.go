package quetzalfleet

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Command is an action that the entry program executes after a tick. For a command
// with an answer, the comment names the Input that carries it.
type Command interface{ implementsCommand() }

type (
	// SendAttempt sends a request to a minion. AttemptEnded follows.
	SendAttempt struct {
		Attempt    Row
		ID         quetzalunit.RequestID
		Host       quetzalunit.HostID
		Address    quetzalunit.Address
		Pool       quetzalunit.PoolID
		Generation quetzalunit.Generation
		Work       *Payload
		Timeout    time.Duration
	}
	// CancelAttempt aborts the attempt of a SendAttempt. Its AttemptEnded still follows. It has no
	// effect on a ForwardAttempt.
	CancelAttempt struct{ Attempt Row }
	// ForwardAttempt forwards a request to an entry of another zone. AttemptEnded follows.
	ForwardAttempt struct {
		Attempt    Row
		Address    quetzalunit.Address
		ID         quetzalunit.RequestID
		Queue      quetzalunit.QueueID
		Team       quetzalunit.TeamID
		Class      Class
		Urgent     bool
		Idempotent bool
		Work       *Payload
		Timeout    time.Duration
	}
	// AnswerCaller returns the outcome of a request to a caller.
	AnswerCaller struct {
		Caller  quetzalunit.CallerID
		ID      quetzalunit.RequestID
		Outcome Outcome
	}
	// WriteStore commits a transaction to the table service. StoreAnswered follows.
	WriteStore struct {
		Call        Row
		Transaction Transaction
	}
	// ReadStore reads rows of the table service by key. StoreAnswered follows.
	ReadStore struct {
		Call Row
		Keys []RowKey
	}
	// ScanStore reads the rows of tables that are newer than revision SinceRevision.
	// StoreAnswered follows.
	ScanStore struct {
		Call   Row
		Tables []TableName
		// Limit is the maximum number of rows, which are returned oldest first; zero
		// means no limit.
		Limit         int
		SinceRevision quetzalunit.Revision
	}
	// PutObject writes an object to the object store. StoreAnswered follows.
	PutObject struct {
		Call   Row
		Key    ObjectKey
		Object *Payload
	}
	// GetObject reads an object from the object store. StoreAnswered follows.
	GetObject struct {
		Call Row
		Key  ObjectKey
	}
	// ListHosts reads the platform's host list. StoreAnswered follows.
	ListHosts struct{ Call Row }
	// RebootHost requests a host's reboot from the platform. StoreAnswered follows.
	RebootHost struct {
		Call Row
		Host quetzalunit.HostID
		// Before is the host's boot count before the reboot. A repeated request has no
		// effect, because the platform ignores one whose count is outdated.
		Before quetzalunit.Boot
	}
	// SendGossip sends a gossip message. GossipAnswered follows.
	SendGossip struct {
		Peer    quetzalunit.EntryID
		Address quetzalunit.Address
		Message Gossip
	}
	// AnswerGossip replies to a gossip message.
	AnswerGossip struct {
		Caller          quetzalunit.CallerID
		SeenRevision    quetzalunit.Revision
		SettingsVersion quetzalunit.Version
		Sponsors        bool
	}
	// SendJoin requests the outcome of a request from the entry that holds its claim.
	// JoinAnswered follows.
	SendJoin struct {
		Request     Row
		ID          quetzalunit.RequestID
		Address     quetzalunit.Address
		Incarnation quetzalunit.Incarnation
		Timeout     time.Duration
	}
	// AnswerOperator returns the result of an action to an operator.
	AnswerOperator struct {
		Caller quetzalunit.CallerID
		Result OperatorResult
	}
	// ObserveRequest records a finished request in the metrics.
	ObserveRequest struct {
		Team     quetzalunit.TeamID
		Class    Class
		Outcome  Outcome
		Wait     time.Duration
		Run      time.Duration
		Total    time.Duration
		Attempts quetzalunit.Attempts
	}
	// LogDecision writes a decision to the log.
	LogDecision struct{ Decision Decision }
	// FinishStop completes a planned stop: nothing is in flight any more and the process
	// may exit.
	FinishStop struct{}
)

func (SendAttempt) implementsCommand()    {}
func (CancelAttempt) implementsCommand()  {}
func (ForwardAttempt) implementsCommand() {}
func (AnswerCaller) implementsCommand()   {}
func (WriteStore) implementsCommand()     {}
func (ReadStore) implementsCommand()      {}
func (ScanStore) implementsCommand()      {}
func (PutObject) implementsCommand()      {}
func (GetObject) implementsCommand()      {}
func (ListHosts) implementsCommand()      {}
func (RebootHost) implementsCommand()     {}
func (SendGossip) implementsCommand()     {}
func (AnswerGossip) implementsCommand()   {}
func (SendJoin) implementsCommand()       {}
func (AnswerOperator) implementsCommand() {}
func (ObserveRequest) implementsCommand() {}
func (LogDecision) implementsCommand()    {}
func (FinishStop) implementsCommand()     {}

// StoreCallOf returns the StoreCall of a command, or zero if the command makes none.
func StoreCallOf(c Command) Row {
	switch c := c.(type) {
	case WriteStore:
		return c.Call
	case ReadStore:
		return c.Call
	case ScanStore:
		return c.Call
	case PutObject:
		return c.Call
	case GetObject:
		return c.Call
	case ListHosts:
		return c.Call
	case RebootHost:
		return c.Call
	default:
		return 0
	}
}

// ObjectKey is the key of an object in the object store.
type ObjectKey string

// WorkKey returns the key of the object that holds the work of a job. The digest is part of the key,
// so that a request with the same id and another body does not replace the work before it is found
// to conflict.
func WorkKey(id quetzalunit.RequestID, digest quetzalunit.BodyDigest) ObjectKey {
	return FormerWorkKey(id) + "/" + ObjectKey(digest)
}

// FormerWorkKey returns the key of the object that holds the work of a job stored by an earlier
// version.
func FormerWorkKey(id quetzalunit.RequestID) ObjectKey {
	return ObjectKey("work/" + id)
}

// Outcome is the final result of a request, as returned to its callers.
type Outcome interface{ implementsOutcome() }

type (
	// Ran means that a minion answered; Answer is its complete answer.
	Ran struct{ Answer *Payload }
	// Accepted means that the request is stored as a job and will be run.
	Accepted struct{}
	// NotRun means that the request did not run and will not. It may be sent again.
	NotRun struct {
		Reason     NotRunReason
		RetryAfter time.Duration
	}
	// Unknown means that the request may have run. It will not run again.
	Unknown struct{ Reason UnknownReason }
	// Cancelled means that the request was cancelled before it was sent to a minion.
	Cancelled struct{}
	// Invalid means that the request refers to something that does not exist.
	Invalid struct{ Reason InvalidReason }
	// RequestIDConflict means that the request's id was already used with another queue or body.
	RequestIDConflict struct{}
)

func (Ran) implementsOutcome()               {}
func (Accepted) implementsOutcome()          {}
func (NotRun) implementsOutcome()            {}
func (Unknown) implementsOutcome()           {}
func (Cancelled) implementsOutcome()         {}
func (Invalid) implementsOutcome()           {}
func (RequestIDConflict) implementsOutcome() {}

// NotRunReason is the reason for which a request did not run.
type NotRunReason string

// The reasons of NotRun.
const (
	OverQuota        NotRunReason = "OverQuota"
	QueueFull        NotRunReason = "QueueFull"
	DeadlineTooClose NotRunReason = "DeadlineTooClose"
	DeadlinePassed   NotRunReason = "DeadlinePassed"
	NoHost           NotRunReason = "NoHost"
	ClaimUnavailable NotRunReason = "ClaimUnavailable"
	RetriesExhausted NotRunReason = "RetriesExhausted"
	EntryStopping    NotRunReason = "EntryStopping"
	EntryStarting    NotRunReason = "EntryStarting"
)

// UnknownReason is the reason for which it is not known whether a request ran.
type UnknownReason string

// The reasons of Unknown.
const (
	ConnectionBroken UnknownReason = "ConnectionBroken"
	AttemptTimedOut  UnknownReason = "AttemptTimedOut"
	HolderGone       UnknownReason = "HolderGone"
	NotStored        UnknownReason = "NotStored"
)

// InvalidReason is what a request refers to that does not exist.
type InvalidReason string

// The reasons of Invalid.
const (
	UnknownQueue   InvalidReason = "UnknownQueue"
	UnknownRequest InvalidReason = "UnknownRequest"
)
