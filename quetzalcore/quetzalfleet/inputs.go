package quetzalfleet

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Input is an event from outside the World: a message, the result of a command or a request to
// stop.
type Input interface{ implementsInput() }

type (
	// RequestArrived is a new request from a caller, or one that another entry forwarded.
	RequestArrived struct {
		Caller quetzalunit.CallerID
		ID     quetzalunit.RequestID
		// ClaimExempt is set if the request needs no claim, because this entry generated ID or
		// the entry that forwarded the request holds the claim.
		ClaimExempt bool
		// Forwarded is set if an entry of another zone forwarded the request. It is not
		// forwarded again.
		Forwarded bool
		// Async requests an answer with status 202 as soon as the request is stored.
		Async      bool
		Queue      quetzalunit.QueueID
		Team       quetzalunit.TeamID
		Class      Class
		Urgent     bool
		Idempotent bool
		Timeout    time.Duration
		Work       *Payload
		BodyDigest quetzalunit.BodyDigest
	}
	// CallerGone means that a caller disconnected.
	CallerGone struct{ Caller quetzalunit.CallerID }
	// CancelRequested requests the cancellation of a request.
	CancelRequested struct {
		Caller quetzalunit.CallerID
		ID     quetzalunit.RequestID
	}
	// OutcomeRequested requests the outcome of a request, and waits for it if need be.
	OutcomeRequested struct {
		Caller quetzalunit.CallerID
		ID     quetzalunit.RequestID
	}
	// JoinArrived means that a peer waits for the outcome of a request whose claim this
	// entry holds.
	JoinArrived struct {
		Caller      quetzalunit.CallerID
		ID          quetzalunit.RequestID
		Incarnation quetzalunit.Incarnation
	}
	// AttemptEnded is the result of a SendAttempt or ForwardAttempt.
	AttemptEnded struct {
		Attempt Row
		Result  AttemptResult
	}
	// StoreAnswered is the result of a store call.
	StoreAnswered struct {
		Call   Row
		Result StoreResult
	}
	// GossipArrived is a gossip message from a peer.
	GossipArrived struct {
		Caller  quetzalunit.CallerID
		Message Gossip
	}
	// GossipAnswered is the reply to a gossip message.
	GossipAnswered struct {
		Peer            quetzalunit.EntryID
		SeenRevision    quetzalunit.Revision
		SettingsVersion quetzalunit.Version
		// Sponsors is set if the peer permits this entry to serve as its guest.
		Sponsors bool
		// Failed is set if there was no reply; all other fields except Peer are then zero.
		Failed bool
	}
	// JoinAnswered is the reply of the entry that holds a request's claim.
	JoinAnswered struct {
		Request Row
		// Outcome is nil if the peer did not answer. If the peer does not know the request, it
		// is nil or Invalid.
		Outcome Outcome
	}
	// OperatorRequested is a query or change requested by an operator.
	OperatorRequested struct {
		Caller quetzalunit.CallerID
		Action OperatorAction
	}
	// StopRequested requests a planned stop of the entry.
	StopRequested struct{}
)

func (RequestArrived) implementsInput()    {}
func (CallerGone) implementsInput()        {}
func (CancelRequested) implementsInput()   {}
func (OutcomeRequested) implementsInput()  {}
func (JoinArrived) implementsInput()       {}
func (AttemptEnded) implementsInput()      {}
func (StoreAnswered) implementsInput()     {}
func (GossipArrived) implementsInput()     {}
func (GossipAnswered) implementsInput()    {}
func (JoinAnswered) implementsInput()      {}
func (OperatorRequested) implementsInput() {}
func (StopRequested) implementsInput()     {}

// AttemptResult is the result of an attempt.
type AttemptResult interface{ implementsAttemptResult() }

type (
	// Answered has the minion's complete answer.
	Answered struct{ Answer *Payload }
	// Refused means that the minion did not run the request, either because it is leaving or
	// because its slots are taken.
	Refused struct{ Leaving bool }
	// NotSent means that no byte of the request reached the minion, or that the peer to
	// which it was forwarded did not run it.
	NotSent struct{}
	// ConnectionFailed means that the connection failed after the first byte was sent, or that the
	// peer to which the request was forwarded does not know whether it ran. The request may have
	// run.
	ConnectionFailed struct{}
	// TimedOut means that the deadline passed after the first byte was sent. The request
	// may have run.
	TimedOut struct{}
)

func (Answered) implementsAttemptResult()         {}
func (Refused) implementsAttemptResult()          {}
func (NotSent) implementsAttemptResult()          {}
func (ConnectionFailed) implementsAttemptResult() {}
func (TimedOut) implementsAttemptResult()         {}

// StoreResult is the result of a store call.
type StoreResult interface{ implementsStoreResult() }

type (
	// Committed means that the transaction took effect, and at which revision.
	Committed struct{ Revision quetzalunit.Revision }
	// ConditionsFailed means that a transaction had no effect because conditions failed. Rows
	// are the current rows of those conditions.
	ConditionsFailed struct{ Rows []RowAtRevision }
	// RowsRead has the rows that a read or a scan found.
	RowsRead struct {
		// Revision is the revision of the snapshot that was read.
		Revision quetzalunit.Revision
		Rows     []RowAtRevision
	}
	// HostsListed has the platform's host list.
	HostsListed struct{ Hosts []ListedHost }
	// RebootAccepted means that the platform will reboot the host.
	RebootAccepted struct{}
	// ObjectStored means that the object is stored.
	ObjectStored struct{}
	// ObjectRead has the object; nil if there is none.
	ObjectRead struct{ Object *Payload }
	// NoAnswer means that the call failed without an answer: it may or may not have
	// taken effect, now or later.
	NoAnswer struct{}
)

func (Committed) implementsStoreResult()        {}
func (ConditionsFailed) implementsStoreResult() {}
func (RowsRead) implementsStoreResult()         {}
func (HostsListed) implementsStoreResult()      {}
func (RebootAccepted) implementsStoreResult()   {}
func (ObjectStored) implementsStoreResult()     {}
func (ObjectRead) implementsStoreResult()       {}
func (NoAnswer) implementsStoreResult()         {}

// ListedHost is a host in the platform's host list.
type ListedHost struct {
	ID    quetzalunit.HostID
	State ListedState
	Boot  quetzalunit.Boot
}

// Gossip is a message with which an entry reports its state to a peer.
type Gossip struct {
	From        quetzalunit.EntryID
	Incarnation quetzalunit.Incarnation
	Zone        quetzalunit.ZoneID
	// Address is the address at which the sender is reached.
	Address quetzalunit.Address
	// Guest is set if the sender is not in the roster and asks the receiver to sponsor it.
	Guest bool
	// Stopping is set once the sender has begun a planned stop.
	Stopping bool
	// SinceRevision and SeenRevision bound the revisions of Rows, which contains every row of the
	// sender that is newer than SinceRevision and not newer than SeenRevision.
	SinceRevision, SeenRevision quetzalunit.Revision
	SettingsVersion             quetzalunit.Version
	Rows                        []RowAtRevision
	// DrainedHosts lists the leaving hosts on which neither the sender nor its guests have
	// work left.
	DrainedHosts []HostGeneration
	// LeavingHosts lists the hosts whose minions told the sender that they are leaving.
	LeavingHosts []HostGeneration
	// Loads lists the pools that have any load at the sender.
	Loads []PoolLoad
	// KnownHosts lists the hosts of the zone at the generations known to the sender, if it is a
	// guest. A sponsor requires that its guest knows every host at a generation at least as new as
	// its own.
	KnownHosts []HostGeneration
	// LongTeams lists the teams whose short requests often run long.
	LongTeams []quetzalunit.TeamID
}

// HostGeneration identifies a host at one generation.
type HostGeneration struct {
	Host       quetzalunit.HostID
	Generation quetzalunit.Generation
}
