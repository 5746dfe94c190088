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

// Pool is a set of hosts with an availability budget.
type Pool struct {
	ID       quetzalunit.PoolID
	Spare    bool
	Revision quetzalunit.Revision
	// Budgets are the zones' escrow shares of the budget.
	Budgets []ZoneBudget
	// Hosts lists the pool's hosts in this entry's zone.
	Hosts []Row
	// Queues lists the queues that the pool serves.
	Queues []Row
	// NextQueue is the position in Queues whose turn it is.
	NextQueue int
	// RetryTokens is the retry budget in hundredths of an attempt.
	RetryTokens quetzalunit.Percent
	// Marking counts the jobs that were taken out of their lines to be marked as sent
	// and are not sent yet.
	Marking int
	// LookAgain tells that a PoolDue timer is set.
	LookAgain bool
	// Backlog smooths the demand for the move policy.
	Backlog PoolBacklog
}

// ZoneBudget is the number of available hosts that one zone owes a pool.
type ZoneBudget struct {
	Zone     quetzalunit.ZoneID
	MinHosts quetzalunit.Hosts
}

// PoolBacklog is what the move policy remembers of a pool.
type PoolBacklog struct {
	// Paid is the waiting time that requests beyond the pool's slots have spent.
	Paid time.Duration
	// IdleSince is the start of the pool's present surplus, zero without one.
	IdleSince quetzalunit.Instant
	// UpdatedAt is the instant up to which Paid is counted.
	UpdatedAt quetzalunit.Instant
}

// HostState is the state of a host's row in the table service.
type HostState uint8

// The states of a host.
const (
	// HostServing takes the work of its pool.
	HostServing HostState = iota
	// HostLeaving takes no new work; its pool still owns it.
	HostLeaving
	// HostRebooting is with the platform.
	HostRebooting
	// HostRetired takes no work any more.
	HostRetired
)

// String returns the state as stored.
func (s HostState) String() string {
	return [...]string{"Serving", "Leaving", "Rebooting", "Retired"}[s]
}

// Listed is a host's state in the platform's list.
type Listed uint8

// The states in the list.
const (
	ListedLive Listed = iota
	ListedLeaving
	ListedGone
)

// String returns the state as listed.
func (l Listed) String() string {
	return [...]string{"Live", "Leaving", "Gone"}[l]
}

// HostSpec is the part of a host that the table service stores.
type HostSpec struct {
	ID      quetzalunit.HostID
	Address quetzalunit.Address
	Zone    quetzalunit.ZoneID
	Rack    quetzalunit.RackID
	// Pool is the one pool that owns the host at Generation.
	Pool  quetzalunit.PoolID
	State HostState
	// Generation grows by one with each change of Pool or State.
	Generation quetzalunit.Generation
	// NextPool is the target of a move while HostLeaving, empty otherwise.
	NextPool quetzalunit.PoolID
	// MoveTo is the pool that an operator wants the host in, empty without a wish.
	MoveTo quetzalunit.PoolID
	// HomePool is the spare pool that lent the host, empty when it was not lent.
	HomePool quetzalunit.PoolID
	// Wave is the wave that takes the host while HostLeaving or HostRebooting.
	Wave quetzalunit.WaveID
	// WaveDone is the last wave that the host went through.
	WaveDone quetzalunit.WaveID
	// BootBefore is the boot count before the wave's reboot.
	BootBefore quetzalunit.Boot
}

// Host is a host as this entry sees it.
type Host struct {
	HostSpec
	Revision quetzalunit.Revision
	// PoolRow is the row of Pool in the table of pools, zero while it is unknown.
	PoolRow Row
	Listed  Listed
	Boot    quetzalunit.Boot
	// ListedAt is when the list last showed the host, zero before.
	ListedAt quetzalunit.Instant
	// LeavingSeen is the generation at which a sign of leaving was seen, zero without one.
	LeavingSeen quetzalunit.Generation
	// LeavingFirstHand tells that a minion itself gave the sign to this entry.
	LeavingFirstHand bool
	// LeavingUntil ends the effect of LeavingSeen unless the sign is repeated.
	LeavingUntil quetzalunit.Instant

	// Running counts this entry's attempts on the host; RunningLong those treated as long.
	Running     quetzalunit.Slots
	RunningLong quetzalunit.Slots
	// Limit is the most attempts that this entry has in flight under the shared
	// dispatch policy: it falls with not-run answers and recovers with time.
	Limit   quetzalunit.Slots
	LimitAt quetzalunit.Instant
	// LingerUntil is when work whose attempt ended without an answer has stopped on
	// the minion; the host is not confirmed as idle before.
	LingerUntil quetzalunit.Instant

	// Failures counts failed attempts since the last success.
	Failures quetzalunit.Attempts
	// LastFailure is the instant of the last failed attempt.
	LastFailure quetzalunit.Instant
	// EjectedUntil is zero unless the host is ejected or on probation.
	EjectedUntil quetzalunit.Instant
	Ejections    quetzalunit.Attempts
	// HeldUntil ends the pause after a failure that is shared by many hosts; from then
	// until the next success one attempt at a time tries the host. Zero otherwise.
	HeldUntil quetzalunit.Instant

	// ChangeCall is the store call that is changing the host's row, zero without one.
	ChangeCall Row
	// Doubt tells that a change of the row had no answer and may still take effect.
	Doubt bool
	// ChangedAt is when this entry first saw the present generation.
	ChangedAt quetzalunit.Instant
	// WaveRetryAt is the earliest next try of a wave's step that was taken back.
	WaveRetryAt quetzalunit.Instant
	// RebootAskedAt is when the holder last asked the platform for the reboot.
	RebootAskedAt quetzalunit.Instant
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

// Peer is another entry.
type Peer struct {
	ID          quetzalunit.EntryID
	Zone        quetzalunit.ZoneID
	Incarnation quetzalunit.Incarnation
	Address     quetzalunit.Address
	// Seen is the revision up to which the peer holds every row.
	Seen            quetzalunit.Revision
	SettingsVersion quetzalunit.Version
	// HeardAt is when the peer last said or answered something.
	HeardAt quetzalunit.Instant
	// Guest tells that the peer is not in the roster and serves on this entry's word:
	// this entry confirms no host that the guest has not confirmed.
	Guest bool
	// ToldAt is when the message in flight was sent.
	ToldAt quetzalunit.Instant
	// Told is the greatest revision of a row that was sent to the peer.
	Told quetzalunit.Revision
	// InFlight tells that a gossip message waits for its reply.
	InFlight bool
	Stopping bool
	// Forwarded counts the attempts in flight at the peer.
	Forwarded quetzalunit.Requests
	// Listed is the state of the peer's own host in the platform's list.
	Listed Listed
	Loads  []PoolLoad
}

// PoolLoad is the demand that an entry sees for a pool in its zone.
type PoolLoad struct {
	Pool    quetzalunit.PoolID
	Queued  quetzalunit.Requests
	Running quetzalunit.Requests
}

// Confirmation records that an entry runs nothing on a host any more and has
// seen the generation that takes the host out of service.
type Confirmation struct {
	Entry       quetzalunit.EntryID
	Incarnation quetzalunit.Incarnation
	Host        quetzalunit.HostID
	Generation  quetzalunit.Generation
}

// ConfirmationKey finds a Confirmation.
type ConfirmationKey struct {
	Entry quetzalunit.EntryID
	Host  quetzalunit.HostID
}

// WaveState is the state of a maintenance wave.
type WaveState uint8

// The states of a wave.
const (
	WaveRunning WaveState = iota
	WavePaused
	WaveCancelled
	WaveFinished
)

// String returns the state as stored.
func (s WaveState) String() string {
	return [...]string{"Running", "Paused", "Cancelled", "Finished"}[s]
}

// WaveSpec is the part of a wave that the table service stores.
type WaveSpec struct {
	ID    quetzalunit.WaveID
	State WaveState
	// Zones and Pools restrict the wave; empty means all.
	Zones []quetzalunit.ZoneID
	Pools []quetzalunit.PoolID
	// MaxConcurrent limits the hosts out of service for the wave in each zone.
	MaxConcurrent quetzalunit.Hosts
}

// Wave is a maintenance wave.
type Wave struct {
	WaveSpec
	Revision quetzalunit.Revision
	// Blocked names the hosts that the last plan could not take, for operators.
	Blocked []quetzalunit.HostID
	// ChangeCall is the store call that is changing the wave's row, zero without one.
	ChangeCall Row
}

// RosterEntry is one entry process of a zone's roster.
type RosterEntry struct {
	Entry       quetzalunit.EntryID
	Incarnation quetzalunit.Incarnation
	Address     quetzalunit.Address
}

// Roster lists the entries of a zone.
type Roster struct {
	Zone     quetzalunit.ZoneID
	Revision quetzalunit.Revision
	// Entries are sorted by name, each name once.
	Entries []RosterEntry
}

// Duty is the lease on a zone's duties.
type Duty struct {
	Zone     quetzalunit.ZoneID
	Revision quetzalunit.Revision
	Holder   quetzalunit.EntryID
	// Epoch grows with each takeover; every write of the holder is conditional on its row.
	Epoch quetzalunit.Epoch
	// RenewalRevision and RenewalSeenAt are the last renewal seen and when this entry saw it.
	RenewalRevision quetzalunit.Revision
	RenewalSeenAt   quetzalunit.Instant
	RenewalCount    int64
}

// SettingNode is one node of the settings tree.
type SettingNode struct {
	Path     quetzalunit.NodePath
	Version  quetzalunit.Version
	Revision quetzalunit.Revision
	ChangeID quetzalunit.ChangeID
	Deleted  bool
	Values   SettingValues
}

// Decision records why the system did something.
type Decision struct {
	At      quetzalunit.Instant
	Kind    DecisionKind
	Subject string
	Reason  string
}

// DecisionKind names the kind of a decision.
type DecisionKind string

// The kinds of decisions.
const (
	DecisionMove   DecisionKind = "Move"
	DecisionWave   DecisionKind = "Wave"
	DecisionEject  DecisionKind = "Eject"
	DecisionDuty   DecisionKind = "Duty"
	DecisionPark   DecisionKind = "Park"
	DecisionRoster DecisionKind = "Roster"
	DecisionJob    DecisionKind = "Job"
)
