package quetzalfleet

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Command is something that the entry program must do after a tick.
type Command interface{ implementsCommand() }

type (
	// SendAttempt sends a request to a minion; it ends with AttemptEnded.
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
	// CancelAttempt ends an attempt early; AttemptEnded still follows.
	CancelAttempt struct{ Attempt Row }
	// ForwardAttempt hands a request to an entry of another zone; it ends with AttemptEnded.
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
	// AnswerCaller gives a caller the outcome of its request.
	AnswerCaller struct {
		Caller  quetzalunit.Caller
		ID      quetzalunit.RequestID
		Outcome Outcome
	}
	// WriteStore commits a transaction; it ends with StoreAnswered.
	WriteStore struct {
		Call        Row
		Transaction Transaction
	}
	// ReadStore reads rows; it ends with StoreAnswered.
	ReadStore struct {
		Call Row
		Keys []RowKey
	}
	// ScanStore reads the rows of tables above a revision; it ends with StoreAnswered.
	ScanStore struct {
		Call   Row
		Tables []TableName
		// Limit bounds the rows, oldest first; zero for all.
		Limit int
		After quetzalunit.Revision
	}
	// PutObject stores an object; it ends with StoreAnswered.
	PutObject struct {
		Call   Row
		Key    ObjectKey
		Object *Payload
	}
	// GetObject reads an object; it ends with StoreAnswered.
	GetObject struct {
		Call Row
		Key  ObjectKey
	}
	// ListHosts reads the platform's list of hosts; it ends with StoreAnswered.
	ListHosts struct{ Call Row }
	// RebootHost asks the platform for a reboot; it ends with StoreAnswered.
	RebootHost struct {
		Call Row
		Host quetzalunit.HostID
		// Before is the boot count that the reboot must follow; repeating it has no effect.
		Before quetzalunit.Boot
	}
	// TellPeer sends gossip; it ends with PeerAnswered.
	TellPeer struct {
		Peer    quetzalunit.EntryID
		Address quetzalunit.Address
		Message Gossip
	}
	// AnswerGossip replies to a gossip message.
	AnswerGossip struct {
		Caller          quetzalunit.Caller
		Seen            quetzalunit.Revision
		SettingsVersion quetzalunit.Version
		Sponsors        bool
	}
	// AskPeer asks the holder of a claim for the outcome; it ends with JoinAnswered.
	AskPeer struct {
		Request     Row
		ID          quetzalunit.RequestID
		Address     quetzalunit.Address
		Incarnation quetzalunit.Incarnation
		Timeout     time.Duration
	}
	// AnswerOperator gives an operator the result of an action.
	AnswerOperator struct {
		Caller quetzalunit.Caller
		Result OperatorResult
	}
	// ObserveRequest reports a finished request to the histograms.
	ObserveRequest struct {
		Team    quetzalunit.TeamID
		Class   Class
		Outcome Outcome
		Wait    time.Duration
		Run     time.Duration
		Total   time.Duration
		Tries   quetzalunit.Attempts
	}
	// LogDecision reports a decision to the log.
	LogDecision struct{ Decision Decision }
	// FinishStop tells that nothing is in flight any more.
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
func (TellPeer) implementsCommand()       {}
func (AnswerGossip) implementsCommand()   {}
func (AskPeer) implementsCommand()        {}
func (AnswerOperator) implementsCommand() {}
func (ObserveRequest) implementsCommand() {}
func (LogDecision) implementsCommand()    {}
func (FinishStop) implementsCommand()     {}

// CallOf returns the call that a command makes of the platform, or zero.
func CallOf(c Command) Row {
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

// ObjectKey names an object of the object store.
type ObjectKey string

// WorkKey names the object with the work of a job.
func WorkKey(id quetzalunit.RequestID) ObjectKey {
	return ObjectKey("work/" + id)
}

// Outcome is the final outcome of a request.
type Outcome interface{ implementsOutcome() }

type (
	// Ran has the minion's whole answer.
	Ran struct{ Answer *Payload }
	// Accepted tells that the request is stored and will be run.
	Accepted struct{}
	// NotRun tells that the request did not run and will not.
	NotRun struct {
		Reason     NotRunReason
		RetryAfter time.Duration
	}
	// Unknown tells that the request may have run and will not run again.
	Unknown struct{ Reason UnknownReason }
	// Cancelled tells that the request was cancelled before it was sent.
	Cancelled struct{}
	// Invalid tells that the request names something that does not exist.
	Invalid struct{ Reason InvalidReason }
	// Conflict tells that the request's id belongs to a request with another body.
	Conflict struct{}
)

func (Ran) implementsOutcome()       {}
func (Accepted) implementsOutcome()  {}
func (NotRun) implementsOutcome()    {}
func (Unknown) implementsOutcome()   {}
func (Cancelled) implementsOutcome() {}
func (Invalid) implementsOutcome()   {}
func (Conflict) implementsOutcome()  {}

// NotRunReason says why a request did not run.
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

// UnknownReason says why it is not known whether a request ran.
type UnknownReason string

// The reasons of Unknown.
const (
	ConnectionBroken UnknownReason = "ConnectionBroken"
	AttemptTimedOut  UnknownReason = "AttemptTimedOut"
	HolderGone       UnknownReason = "HolderGone"
	NotStored        UnknownReason = "NotStored"
)

// InvalidReason says what is wrong with a request.
type InvalidReason string

// The reasons of Invalid.
const (
	UnknownQueue   InvalidReason = "UnknownQueue"
	UnknownRequest InvalidReason = "UnknownRequest"
)
