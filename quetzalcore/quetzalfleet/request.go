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
	// Fields are the header fields that are passed on with the body.
	Fields []Field
	Body   []byte
}

// Field is one header field of a payload.
type Field struct {
	Name  string
	Value string
}

// Class is the expected run time that a caller declares for a request.
type Class uint8

// The classes. The zero value is the default.
const (
	Short Class = iota
	Long
)

// String returns the name of the class in the API.
func (c Class) String() string {
	if c == Long {
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
	// RequestWaiting waits for the backoff before its next attempt to end.
	RequestWaiting
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
	// Treated is the class that the request is scheduled by. It may be long for a request
	// declared short if such requests of its team often run long.
	Treated Class
	Urgent  bool
	// Idempotent permits another attempt even if an earlier one may have run.
	Idempotent bool
	// Forwarded is set if an entry of another zone forwarded the request to this one.
	Forwarded bool
	// Minted is set if the request needs no claim, because no other entry can run it:
	// this entry generated ID, or the entry that forwarded the request holds the claim.
	Minted bool
	State  RequestState
	Work   *Payload
	Sum    quetzalunit.BodyDigest
	// Callers are those who wait for the outcome; empty if all have disconnected.
	Callers []quetzalunit.CallerID

	ArrivedAt quetzalunit.Instant
	// StartedAt is the start of the first attempt; zero before it.
	StartedAt quetzalunit.Instant
	Deadline  quetzalunit.Instant
	Attempts  quetzalunit.Attempts
	// Attempt is the attempt in flight in RequestRunning; zero otherwise.
	Attempt Row
	// MayHaveRun is set once an attempt was sent and ended without an answer.
	MayHaveRun bool
	// LastHost is the host of the last attempt. The next attempt avoids it if another
	// host has a free slot.
	LastHost Row
	// FailedHosts lists the hosts on which an attempt failed.
	FailedHosts []quetzalunit.HostID

	// Line contains the request in RequestQueued; zero otherwise.
	Line Row
	// Prev and Next are its neighbours there; zero at the ends.
	Prev, Next Row

	// ClaimBase is the revision of the earlier claim row that this request's claim
	// replaces; zero if there must be none.
	ClaimBase quetzalunit.Revision
	// ClaimRevision is the revision of the request's own claim row; zero if it has none.
	ClaimRevision quetzalunit.Revision
	// HolderRevision is the revision of the claim row that another entry holds.
	HolderRevision quetzalunit.Revision
	// Rejoined is set once the claim was read again because its holder did not answer.
	Rejoined bool
	// Job is set for a request that is accepted with status 202. It runs even if no
	// caller waits.
	Job bool
	// JobRevision is the revision of the job's row; zero before it is committed.
	JobRevision quetzalunit.Revision
	// Marking is set while the request is one of the jobs of its pool that are being
	// marked as sent but were not sent yet. Their number is limited.
	Marking bool
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

// Line is the FIFO of one team's requests in one lane of a queue. Within
// a lane, the teams are served by weighted round robin.
type Line struct {
	Queue Row
	Team  Row
	Lane  Lane
	// Head and Tail are zero if and only if Length is zero.
	Head, Tail Row
	Length     quetzalunit.Requests
	// Running counts the attempts in flight of requests that were taken from this FIFO.
	Running quetzalunit.Requests
	// Turns is the number of requests that the team may still start in this round.
	Turns quetzalunit.Weight
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
	// RunTime is the moving average of the run time, indexed by Class.
	RunTime [2]time.Duration
}

// PendingJob is a job without an outcome. The holder of a zone's duties tracks these
// in order to take over jobs whose entry has gone.
type PendingJob struct {
	JobSpec
	Revision quetzalunit.Revision
	// Call is the takeover of the job in flight; zero if none.
	Call Row
}

// Attempt is one execution attempt of a request, on a host or by an entry of another
// zone.
type Attempt struct {
	Request Row
	// Exactly one of Host and Peer is set. Peer is the entry of another zone to which
	// the request was forwarded.
	Host Row
	Peer Row
	// Line is where the request was queued; zero if it was forwarded.
	Line      Row
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
