package quetzalfleet

import (
	"time"

	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Row identifies an entity in one of the World's tables.
type Row = quetzaltable.Row

// Payload is the work of a request or the answer of a minion: an HTTP message
// without its request line. The systems pass it on and never interpret Body.
type Payload struct {
	// Status is the HTTP status code of an answer, zero for the work of a request.
	Status quetzalunit.HTTPStatus
	// HeaderFields are the header fields that are passed on with the body.
	HeaderFields []HeaderField
	Body         []byte
}

// HeaderField is one header field of a payload.
type HeaderField struct {
	Name  string
	Value string
}

// Class is the expected run time that a caller declares for a request.
type Class uint8

// The classes. The zero value is the default.
const (
	ClassShort Class = iota
	ClassLong
)

// String returns the name of the class in the API.
func (c Class) String() string {
	if c == ClassLong {
		return "Long"
	}
	return "Short"
}

// RequestState is the stage of processing that a request has reached.
type RequestState uint8

// The states of a request. Which of the first three it passes through depends on
// whether it needs a claim or is a job.
const (
	// RequestClaiming waits until the table service has committed the request's claim.
	RequestClaiming RequestState = iota
	// RequestStoring is a job that waits for the platform: to store its work or its row,
	// or to return the work of a job that was taken over.
	RequestStoring
	// RequestJoining waits for the outcome from the entry that holds the claim.
	RequestJoining
	// RequestQueued waits in its queue.
	RequestQueued
	// RequestRunning has one attempt in flight.
	RequestRunning
	// RequestAwaitingRetry waits for the backoff before its next attempt to end.
	RequestAwaitingRetry
	// RequestDone has its final outcome.
	RequestDone
)

// Request is a caller's request.
type Request struct {
	ID    quetzalunit.RequestID
	Queue Row
	Team  Row
	// Class is the class that the caller declared.
	Class Class
	// EffectiveClass is the class that the request is scheduled by. It may be long for a request
	// declared short if such requests of its team often run long.
	EffectiveClass Class
	Urgent         bool
	// Idempotent permits another attempt even if an earlier one may have run.
	Idempotent bool
	// Forwarded is set if an entry of another zone forwarded the request to this one.
	Forwarded bool
	// ClaimExempt is set if the request needs no claim, because no other entry can run it:
	// this entry generated ID, or the entry that forwarded the request holds the claim.
	ClaimExempt bool
	State       RequestState
	Work        *Payload
	BodyDigest  quetzalunit.BodyDigest
	// Callers are those who wait for the outcome; empty if all have disconnected.
	Callers []quetzalunit.CallerID

	ArrivedAt quetzalunit.Instant
	// StartedAt is the start of the first attempt; zero before it.
	StartedAt quetzalunit.Instant
	Deadline  quetzalunit.Instant
	Attempts  quetzalunit.Attempts
	// Attempt is the attempt in flight in RequestRunning; zero otherwise.
	Attempt Row
	// CancelRequested is set when the request was cancelled while the write of its job was in flight.
	CancelRequested bool
	// MayHaveRun is set once an attempt was sent and ended without an answer.
	MayHaveRun bool
	// LastHost is the host of the last attempt. The next attempt avoids it if another
	// host has a free slot.
	LastHost Row
	// FailedHosts lists the hosts on which an attempt failed.
	FailedHosts []quetzalunit.HostID

	// FIFO is the TeamFIFO that contains the request in RequestQueued; zero otherwise.
	FIFO Row
	// Prev and Next are the requests before and after it in FIFO; zero at the ends.
	Prev, Next Row

	// ReplacedClaimRevision is the revision of the earlier claim row that this request's claim
	// replaces; zero if there must be none.
	ReplacedClaimRevision quetzalunit.Revision
	// ClaimRevision is the revision of the request's own claim row; zero if it has none.
	ClaimRevision quetzalunit.Revision
	// HolderClaimRevision is the revision of the claim row that another entry holds.
	HolderClaimRevision quetzalunit.Revision
	// ClaimReread is set once the claim was read again because its holder did not answer.
	ClaimReread bool
	// IsJob is set for a request that is accepted with status 202. It runs even if no
	// caller waits.
	IsJob bool
	// JobRevision is the revision of the job's row; zero before it is committed.
	JobRevision quetzalunit.Revision
	// HoldsSentMark is set while Pool.SentMarks counts the request. The count is limited.
	HoldsSentMark bool
	// JobSent is set once the job's row has state JobSent, which is stored before the
	// request is sent.
	JobSent bool
	// Outcome is set in RequestDone.
	Outcome Outcome
}

// Lane is a priority level within a queue; lower values are served first.
type Lane uint8

// The lanes of a queue.
const (
	UrgentLane Lane = iota
	ShortLane
	LongLane
	// LaneCount is the number of lanes of a queue.
	LaneCount
)

// TeamFIFO is the FIFO of one team's requests in one lane of a queue. Within
// a lane, the teams are served by weighted round robin.
type TeamFIFO struct {
	Queue Row
	Team  Row
	Lane  Lane
	// Head and Tail are zero if and only if Length is zero.
	Head, Tail Row
	Length     quetzalunit.Requests
	// Running counts the attempts in flight of requests that were taken from this FIFO.
	Running quetzalunit.Requests
	// RemainingTurns is the number of requests that the team may still start in this round.
	RemainingTurns quetzalunit.Weight
}

// Queue is a work queue. Callers submit requests to it and the hosts of one pool serve it.
type Queue struct {
	ID     quetzalunit.QueueID
	PoolID quetzalunit.PoolID
	// Pool is the row of PoolID in World.Pools; zero while the pool is not known.
	Pool     Row
	Revision quetzalunit.Revision
	// Lanes holds the non-empty FIFOs of each lane in round-robin order.
	Lanes   [LaneCount][]Row
	Queued  quetzalunit.Requests
	Running quetzalunit.Requests
	// MeanRunTime is the moving average of the run time, indexed by Class.
	MeanRunTime [2]time.Duration
}

// PendingJob is a job without an outcome. The holder of a zone's duties tracks these
// in order to take over jobs whose entry has gone.
type PendingJob struct {
	JobSpec
	Revision quetzalunit.Revision
	// TakeoverCall is the takeover of the job in flight; zero if none.
	TakeoverCall Row
}

// Attempt is one execution attempt of a request, on a host or by an entry of another
// zone.
type Attempt struct {
	Request Row
	// Exactly one of Host and Peer is set. Peer is the entry of another zone to which
	// the request was forwarded.
	Host Row
	Peer Row
	// FIFO is where the request was queued; zero if it was forwarded.
	FIFO      Row
	Queue     Row
	Team      Row
	StartedAt quetzalunit.Instant
	// Long is set if the attempt is counted in Host.RunningLong.
	Long bool
	// Cancelled is set once a CancelAttempt was emitted.
	Cancelled bool
	// Generation is the host's generation when the attempt started.
	Generation quetzalunit.Generation
}

// Team is a client account that has a quota.
type Team struct {
	ID       quetzalunit.TeamID
	Weight   quetzalunit.Weight
	Revision quetzalunit.Revision
	// MaxQueued limits the team's queued requests; if zero, Settings.TeamQueueLimit applies.
	MaxQueued quetzalunit.Requests
	Queued    quetzalunit.Requests
	Running   quetzalunit.Requests
	// LongShare is the moving average of the share of the team's short requests that ran
	// long.
	LongShare quetzalunit.Percent
}
