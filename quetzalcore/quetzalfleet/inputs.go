package quetzalfleet

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Input is something that happened outside the World.
type Input interface{ implementsInput() }

type (
	// RequestArrived is a caller's new request.
	RequestArrived struct {
		Caller quetzalunit.Caller
		ID     quetzalunit.RequestID
		Minted bool
		// Forwarded requests come from an entry of another zone, and go no further.
		Forwarded bool
		// Async asks for status 202 once the request is stored.
		Async      bool
		Queue      quetzalunit.QueueID
		Team       quetzalunit.TeamID
		Class      Class
		Urgent     bool
		Idempotent bool
		Timeout    time.Duration
		Work       *Payload
		Sum        quetzalunit.BodySum
	}
	// CallerGone tells that a caller no longer waits.
	CallerGone struct{ Caller quetzalunit.Caller }
	// CancelAsked asks for the cancellation of a request.
	CancelAsked struct {
		Caller quetzalunit.Caller
		ID     quetzalunit.RequestID
	}
	// ResultAsked asks for the outcome of a request, now or when it has one.
	ResultAsked struct {
		Caller quetzalunit.Caller
		ID     quetzalunit.RequestID
	}
	// JoinArrived is a peer that waits for the outcome of a request claimed here.
	JoinArrived struct {
		Caller      quetzalunit.Caller
		ID          quetzalunit.RequestID
		Incarnation quetzalunit.Incarnation
	}
	// AttemptEnded is the end of an attempt.
	AttemptEnded struct {
		Attempt Row
		Result  AttemptResult
	}
	// StoreAnswered is the end of a call of the platform.
	StoreAnswered struct {
		Call   Row
		Result StoreResult
	}
	// PeerSaid is a gossip message of a peer.
	PeerSaid struct {
		Caller  quetzalunit.Caller
		Message Gossip
	}
	// PeerAnswered is the reply to a gossip message.
	PeerAnswered struct {
		Peer            quetzalunit.EntryID
		Seen            quetzalunit.Revision
		SettingsVersion quetzalunit.Version
		// Sponsors tells that the peer lets this entry serve as its guest.
		Sponsors bool
		// Failed tells that no reply came; the other fields are zero.
		Failed bool
	}
	// JoinAnswered is the reply of the peer that holds a request's claim.
	JoinAnswered struct {
		Request Row
		// Outcome is nil when the peer did not answer or does not know the request.
		Outcome Outcome
	}
	// OperatorAsked is an operator's query or change.
	OperatorAsked struct {
		Caller quetzalunit.Caller
		Action OperatorAction
	}
	// StopAsked begins a planned stop.
	StopAsked struct{}
)

func (RequestArrived) implementsInput() {}
func (CallerGone) implementsInput()     {}
func (CancelAsked) implementsInput()    {}
func (ResultAsked) implementsInput()    {}
func (JoinArrived) implementsInput()    {}
func (AttemptEnded) implementsInput()   {}
func (StoreAnswered) implementsInput()  {}
func (PeerSaid) implementsInput()       {}
func (PeerAnswered) implementsInput()   {}
func (JoinAnswered) implementsInput()   {}
func (OperatorAsked) implementsInput()  {}
func (StopAsked) implementsInput()      {}

// AttemptResult is how an attempt ended.
type AttemptResult interface{ implementsAttemptResult() }

type (
	// Answered has the minion's whole answer.
	Answered struct{ Answer *Payload }
	// Refused has the minion's explicit word that the request did not run.
	Refused struct{ Leaving bool }
	// NotSent tells that no byte of the request reached the minion.
	NotSent struct{}
	// Broken tells that the connection failed after the first byte was sent.
	Broken struct{}
	// TimedOut tells that the deadline passed after the first byte was sent.
	TimedOut struct{}
)

func (Answered) implementsAttemptResult() {}
func (Refused) implementsAttemptResult()  {}
func (NotSent) implementsAttemptResult()  {}
func (Broken) implementsAttemptResult()   {}
func (TimedOut) implementsAttemptResult() {}

// StoreResult is how a call of the platform ended.
type StoreResult interface{ implementsStoreResult() }

type (
	// Committed tells that the transaction took effect at a revision.
	Committed struct{ Revision quetzalunit.Revision }
	// Conflicted has the rows, as they are, of the conditions that failed.
	Conflicted struct{ Rows []RevisedRow }
	// RowsRead has the rows that a read or scan found.
	RowsRead struct {
		// Revision is the revision of the snapshot.
		Revision quetzalunit.Revision
		Rows     []RevisedRow
	}
	// HostsListed has the platform's list of hosts.
	HostsListed struct{ Hosts []ListedHost }
	// RebootAccepted tells that the platform will reboot the host.
	RebootAccepted struct{}
	// ObjectStored tells that an object is stored.
	ObjectStored struct{}
	// ObjectRead has an object; nil when there is none.
	ObjectRead struct{ Object *Payload }
	// NoAnswer tells that the call may or may not have taken effect.
	NoAnswer struct{}
)

func (Committed) implementsStoreResult()      {}
func (Conflicted) implementsStoreResult()     {}
func (RowsRead) implementsStoreResult()       {}
func (HostsListed) implementsStoreResult()    {}
func (RebootAccepted) implementsStoreResult() {}
func (ObjectStored) implementsStoreResult()   {}
func (ObjectRead) implementsStoreResult()     {}
func (NoAnswer) implementsStoreResult()       {}

// ListedHost is a host in the platform's list.
type ListedHost struct {
	ID    quetzalunit.HostID
	State Listed
	Boot  quetzalunit.Boot
}

// Gossip is what an entry tells its peers.
type Gossip struct {
	From        quetzalunit.EntryID
	Incarnation quetzalunit.Incarnation
	Zone        quetzalunit.ZoneID
	// Address is where the sender is reached.
	Address quetzalunit.Address
	// Guest tells that the sender is not in the roster and asks to serve as a guest.
	Guest    bool
	Stopping bool
	// Since and Seen bound the revisions of Rows: it holds every row of the sender
	// above Since and up to Seen.
	Since, Seen     quetzalunit.Revision
	SettingsVersion quetzalunit.Version
	Rows            []RevisedRow
	// Confirmed lists hosts out of service on which the sender runs nothing.
	Confirmed []HostGeneration
	// Leaving lists hosts of which the sender saw a sign of leaving.
	Leaving []HostGeneration
	Loads   []PoolLoad
	// Known lists the zone's hosts with the generations that a guest knows.
	Known []HostGeneration
	// LongTeams are the teams whose short requests often run long.
	LongTeams []quetzalunit.TeamID
}

// HostGeneration names a generation of a host's row.
type HostGeneration struct {
	Host       quetzalunit.HostID
	Generation quetzalunit.Generation
}
