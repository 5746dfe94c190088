package quetzalfleet

import (
	"time"

	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Row identifies an entity of a table.
type Row = quetzaltable.Row

// Payload is the work of a request or the answer of a minion. The systems pass
// it on and never look inside.
type Payload struct {
	// Status is zero for the work of a request.
	Status quetzalunit.Status
	// Fields are the header fields that travel with the body.
	Fields []Field
	Body   []byte
}

// Field is one header field of a payload.
type Field struct {
	Name  string
	Value string
}

// Class is the run time that a caller declares.
type Class uint8

// The classes. The zero value is the default of a request.
const (
	Short Class = iota
	Long
)

// String returns the class as the API writes it.
func (c Class) String() string {
	if c == Long {
		return "Long"
	}
	return "Short"
}

// RequestState is the state of a request.
type RequestState uint8

// The states of a request, in the order in which they are passed through.
const (
	// RequestClaiming waits for the table service to confirm the claim.
	RequestClaiming RequestState = iota
	// RequestStoring waits until its work and its job's row are stored.
	RequestStoring
	// RequestJoining waits for another entry that holds the claim.
	RequestJoining
	// RequestQueued is linked into a lane.
	RequestQueued
	// RequestRunning has one attempt in flight.
	RequestRunning
	// RequestWaiting waits to be tried again.
	RequestWaiting
	// RequestDone has its outcome.
	RequestDone
)

// Request is a caller's request.
type Request struct {
	ID    quetzalunit.RequestID
	Queue Row
	Team  Row
	// Class is the declared class; Treated may differ when the declaration proved wrong.
	Class   Class
	Treated Class
	Urgent  bool
	// Idempotent permits more than one attempt after the first byte was sent.
	Idempotent bool
	// Forwarded tells that an entry of another zone handed the request over.
	Forwarded bool
	// Minted tells that this entry chose ID, so that no other entry can run it.
	Minted bool
	State  RequestState
	Work   *Payload
	Sum    quetzalunit.BodySum
	// Callers wait for the outcome; empty when all of them have gone.
	Callers []quetzalunit.Caller

	ArrivedAt quetzalunit.Instant
	// StartedAt is the start of the first attempt, zero before.
	StartedAt quetzalunit.Instant
	Deadline  quetzalunit.Instant
	Attempts  quetzalunit.Attempts
	// Attempt is the attempt in flight while RequestRunning, zero otherwise.
	Attempt Row
	// MayHaveRun tells that an earlier attempt ended without an answer.
	MayHaveRun bool
	// LastHost is avoided by the next attempt when another host has a free slot.
	LastHost Row
	// FailedHosts lists the hosts on which an attempt failed.
	FailedHosts []quetzalunit.HostID

	// Line is the line that the request is linked into while RequestQueued.
	Line Row
	// Prev and Next are its neighbours there.
	Prev, Next Row

	// ClaimBase is the revision of the claim row that is to be replaced, zero if absent.
	ClaimBase quetzalunit.Revision
	// ClaimRevision is the revision of the request's own claim, zero without one.
	ClaimRevision quetzalunit.Revision
	// HolderRevision is the revision of another entry's claim on the request.
	HolderRevision quetzalunit.Revision
	// Rejoined tells that the claim was read again after its holder did not answer.
	Rejoined bool
	// Job tells that the request is accepted with status 202 and outlives its caller.
	Job bool
	// JobRevision is the revision of the job's row, zero before it is committed.
	JobRevision quetzalunit.Revision
	// Marking tells that the request counts in its pool's Marking.
	Marking bool
	// JobSent tells that the job's row says that the request may have run.
	JobSent bool
	// Outcome is set in RequestDone.
	Outcome Outcome
}

// Lane is the priority of a line within its queue; lower values go first.
type Lane uint8

// The lanes of a queue.
const (
	UrgentLane Lane = iota
	ShortLane
	LongLane
	// LaneCount is the number of lanes.
	LaneCount
)

// Line is the first-in-first-out list of one team's requests in one lane.
type Line struct {
	Queue Row
	Team  Row
	Lane  Lane
	// Head and Tail are zero exactly when Length is zero.
	Head, Tail Row
	Length     quetzalunit.Requests
	// Running counts the attempts in flight that were started from the line.
	Running quetzalunit.Requests
	// Turns is how many more requests the team may start before the next team's turn.
	Turns quetzalunit.Weight
}

// Queue is a work queue, fed by callers and served by one pool.
type Queue struct {
	ID     quetzalunit.QueueID
	PoolID quetzalunit.PoolID
	// Pool is the row of PoolID in the table of pools, zero while it is unknown.
	Pool     Row
	Revision quetzalunit.Revision
	// Lanes holds the non-empty lines of each lane in the order of their turns.
	Lanes   [LaneCount][]Row
	Queued  quetzalunit.Requests
	Running quetzalunit.Requests
	// RunTime is the moving average of the run time by class.
	RunTime [2]time.Duration
}

// PendingJob is a job without an outcome, as the holder of a zone's duties knows it.
type PendingJob struct {
	JobSpec
	Revision quetzalunit.Revision
	// Call is the takeover under way, zero without one.
	Call Row
}

// Attempt is one try of a request on a host.
type Attempt struct {
	Request Row
	// Host is zero when Peer, an entry of another zone, was handed the request.
	Host Row
	Peer Row
	// Line is the line that the request was started from, zero when it was handed over.
	Line      Row
	Queue     Row
	Team      Row
	StartedAt quetzalunit.Instant
	// Long tells that the attempt counts towards RunningLong.
	Long bool
	// Cancelled tells that a CancelAttempt was issued.
	Cancelled bool
	// Generation is the host's generation at the start.
	Generation quetzalunit.Generation
}

// Team is a tenant with quotas.
type Team struct {
	ID       quetzalunit.TeamID
	Weight   quetzalunit.Weight
	Revision quetzalunit.Revision
	// MaxQueued limits the team's queued requests; zero leaves it to the settings.
	MaxQueued quetzalunit.Requests
	Queued    quetzalunit.Requests
	Running   quetzalunit.Requests
	// LongShare is the moving average, in percent, of runs declared short that ran long.
	LongShare quetzalunit.Percent
}
