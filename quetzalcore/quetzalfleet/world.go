package quetzalfleet

import (
	"math/rand/v2"
	"time"

	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Identity holds the name of an entry process and the fixed parameters that it is
// started with.
type Identity struct {
	Entry       quetzalunit.EntryID
	Zone        quetzalunit.ZoneID
	Incarnation quetzalunit.Incarnation
	// PeerAddress is the address at which other entries reach this one.
	PeerAddress quetzalunit.Address
	// SeedAddresses are addresses of entries in the zone. They are contacted while no peer of the
	// zone is known, so that an entry can start while the platform is unreachable.
	SeedAddresses []quetzalunit.Address
	// LeaseDuration is the duration of the lease on a zone's duties. Another entry takes the
	// duties over when the lease was not renewed for that long.
	LeaseDuration time.Duration
	// PollPeriod is the mean interval between reads of the platform's tables.
	PollPeriod time.Duration
	// GossipPeriod is the mean interval between gossip rounds.
	GossipPeriod time.Duration
	// Retention is the age at which rows of claims, jobs and changes are deleted. It
	// must exceed every deadline. Zero keeps the rows forever.
	Retention time.Duration
	// Seed initializes the World's random number generator.
	Seed uint64
}

// World owns all state of one entry. The zero value is an empty World.
type World struct {
	Self Identity
	// StartedAt is the time at which the process started.
	StartedAt quetzalunit.Instant
	// Now is the time of the current tick. It never decreases.
	Now quetzalunit.Instant
	// WallClockOffset is the offset of the wall clock from Now.
	WallClockOffset time.Duration

	Requests           quetzaltable.Table[Request]
	TeamFIFOs          quetzaltable.Table[TeamFIFO]
	Attempts           quetzaltable.Table[Attempt]
	Queues             quetzaltable.Table[Queue]
	Pools              quetzaltable.Table[Pool]
	Hosts              quetzaltable.Table[Host]
	Teams              quetzaltable.Table[Team]
	Peers              quetzaltable.Table[Peer]
	Waves              quetzaltable.Table[Wave]
	Rosters            quetzaltable.Table[Roster]
	DutyLeases         quetzaltable.Table[DutyLease]
	SettingNodes       quetzaltable.Table[SettingNode]
	DrainConfirmations quetzaltable.Table[DrainConfirmation]
	StoreCalls         quetzaltable.Table[StoreCall]
	OperatorChanges    quetzaltable.Table[OperatorChange]
	PendingJobs        quetzaltable.Table[PendingJob]

	RequestByID            quetzaltable.Index[quetzalunit.RequestID]
	RequestByCaller        quetzaltable.Index[quetzalunit.CallerID]
	TeamFIFOByKey          quetzaltable.Index[TeamFIFOKey]
	QueueByID              quetzaltable.Index[quetzalunit.QueueID]
	PoolByID               quetzaltable.Index[quetzalunit.PoolID]
	HostByID               quetzaltable.Index[quetzalunit.HostID]
	TeamByID               quetzaltable.Index[quetzalunit.TeamID]
	PeerByID               quetzaltable.Index[quetzalunit.EntryID]
	WaveByID               quetzaltable.Index[quetzalunit.WaveID]
	RosterByZone           quetzaltable.Index[quetzalunit.ZoneID]
	DutyLeaseByZone        quetzaltable.Index[quetzalunit.ZoneID]
	SettingNodeByPath      quetzaltable.Index[quetzalunit.SettingsPath]
	DrainConfirmationByKey quetzaltable.Index[DrainConfirmationKey]
	PendingJobByID         quetzaltable.Index[quetzalunit.RequestID]

	// Timers holds the pending timers, ordered by due time.
	Timers quetzaltable.Timers[Timer]
	// TotalTeamWeight is the sum of the weights of all teams.
	TotalTeamWeight quetzalunit.Weight
	// DirtyPools are the pools in which a change may allow a queued request to start.
	DirtyPools quetzaltable.Set
	// ClaimsToCommit are the requests whose claims the next claim transaction acquires.
	ClaimsToCommit quetzaltable.Set
	// OutcomesToCommit are the requests whose outcomes the next outcome transaction stores.
	OutcomesToCommit quetzaltable.Set
	// ChangesToCommit are the operators' changes to commit in this tick.
	ChangesToCommit quetzaltable.Set
	// PlanDirty requests a run of the planner if this process holds the zone's duties.
	PlanDirty bool
	// PlanNotBefore is the earliest time of the next run of the planner after a step that was not
	// committed.
	PlanNotBefore quetzalunit.Instant

	// GossipPending requests gossip to the zone's peers as soon as the minimum spacing allows.
	GossipPending bool
	// GossipScheduled is set while a timer for the requested gossip is pending.
	GossipScheduled bool
	// LastGossipAt is the time of the last gossip to the zone's peers.
	LastGossipAt quetzalunit.Instant
	// GuestUntil is the time until which this entry may serve although it is not in the
	// roster, as granted by an entry that is; zero if none granted it.
	GuestUntil quetzalunit.Instant
	// ScanCall is the read of the fleet tables in flight, ListCall that of the host list;
	// zero if none.
	ScanCall, ListCall Row
	// HostsListedAt is the time at which the newest host list that was answered was requested; zero
	// before the first answer.
	HostsListedAt quetzalunit.Instant
	// HostListTried is set once the first call for the host list has ended, with or without an
	// answer.
	HostListTried bool
	// WasInRoster is set once this process has been in its zone's roster.
	WasInRoster bool
	// ResumedAt is the time at which this process last resumed after it had not run for so long that it
	// may have been removed from the roster; zero if it never did. RosterOutdated is set from then
	// until a scan that was sent later has ended, with or without an answer.
	ResumedAt      quetzalunit.Instant
	RosterOutdated bool
	// RosterCall is the call in flight that joins or leaves the roster; zero if none.
	RosterCall Row
	// DutyCall is the call in flight that takes over, renews or releases the lease on the
	// zone's duties; zero if none.
	DutyCall Row
	// HeldEpoch is the epoch in which this process holds its zone's duties; zero if it
	// does not hold them.
	HeldEpoch quetzalunit.Epoch
	// RenewalSentAt is the time at which the last successful takeover or renewal was sent.
	// The lease counts from the sending, so that it ends here before it ends for others.
	RenewalSentAt quetzalunit.Instant
	// LiveRequests counts the requests that have no outcome yet.
	LiveRequests quetzalunit.Requests
	// JobsSeenRevision is the revision up to which the jobs table was read.
	JobsSeenRevision quetzalunit.Revision
	// JobScanCall is the read of the jobs table in flight; zero if none.
	JobScanCall Row
	// ClaimCallsInFlight counts the claim transactions in flight.
	ClaimCallsInFlight int
	// OutcomeCall is the transaction in flight that stores outcomes; zero if none.
	OutcomeCall Row
	// OutcomesNotBefore is the earliest time of the next outcome transaction after one
	// that had no answer.
	OutcomesNotBefore quetzalunit.Instant
	// OutcomesDueAt is the time at which the batch of outcomes that is being collected is
	// stored; zero if there is none.
	OutcomesDueAt quetzalunit.Instant
	// ClaimsPacedUntil is the state of the rate limiter of claim transactions: the time up to
	// which the permitted rate is used up. It may run ahead of Now by a burst.
	ClaimsPacedUntil quetzalunit.Instant
	// ClaimsNotBefore is the earliest time of the next claim transaction, after one that
	// had no answer or when the rate limit was reached.
	ClaimsNotBefore quetzalunit.Instant

	// SeenRevision is the revision up to which every row of FleetTables has been applied.
	SeenRevision quetzalunit.Revision
	// FleetLoaded is set once every row of FleetTables that existed at some revision was applied: after
	// a scan, or after a message of a peer that was not cut off at its limit of rows.
	FleetLoaded bool
	// FleetRows holds the latest applied rows of FleetTables, to be sent to peers that lack them.
	FleetRows map[RowKey]RowAtRevision
	// HeadVersion is the newest settings version known.
	HeadVersion quetzalunit.Version
	// HeadRevision is the revision of the row that stores it.
	HeadRevision quetzalunit.Revision
	// SettingsVersion is the settings version in effect: every change of the settings up to it
	// has been applied. It never decreases.
	SettingsVersion quetzalunit.Version
	// NewestRevision is the greatest revision of an applied row, renewals of leases excepted.
	NewestRevision quetzalunit.Revision
	// SettingsCache caches the effective settings of each pool; a change of any node clears it.
	SettingsCache map[quetzalunit.PoolID]Settings

	// PlatformAnsweredAt is the time of the platform's last answer.
	PlatformAnsweredAt quetzalunit.Instant
	// PlatformUnreachable is set while the most recent store call had no answer.
	PlatformUnreachable bool
	Stop                StopState
	// StopDeadline is the time at which a planned stop ends even if the platform has not
	// answered.
	StopDeadline quetzalunit.Instant
	// RefusedNotRun counts the NotRun outcomes returned to callers.
	RefusedNotRun int64
	// Decisions holds a limited number of the most recent decisions, oldest first.
	Decisions []Decision

	commands []Command
	rand     *rand.Rand
}

// MaxDecisions is the number of decisions kept for operators' queries.
const MaxDecisions = 256

// StopState is the progress of a planned stop.
type StopState uint8

// The states of a planned stop.
const (
	// StopNone means that no stop was requested.
	StopNone StopState = iota
	// StopDraining rejects new requests and waits for those in flight.
	StopDraining
	// StopLeaving stores the remaining outcomes, releases the duties and leaves the roster.
	StopLeaving
	// StopFinished means that nothing is in flight any more.
	StopFinished
)

// TeamFIFOKey identifies the FIFO of a team in a lane of a queue.
type TeamFIFOKey struct {
	Queue Row
	Team  Row
	Lane  Lane
}

// Emit appends a command to those that the current tick returns.
func (w *World) Emit(c Command) {
	w.commands = append(w.commands, c)
}

// TakeCommands returns the commands emitted since the last call and clears them.
func (w *World) TakeCommands() []Command {
	commands := w.commands
	w.commands = nil
	return commands
}

// Rand returns the World's random number generator, which is seeded on first use.
func (w *World) Rand() *rand.Rand {
	if w.rand == nil {
		w.rand = rand.New(rand.NewPCG(w.Self.Seed, uint64(len(w.Self.Entry)))) //nolint:gosec // not used for secrets
	}
	return w.rand
}

// Jitter returns a random duration between 0.5*d and 1.5*d.
func (w *World) Jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.Rand().Int64N(int64(d)+1))
}

// WallTime converts an instant of the World's clock.
func (w *World) WallTime(t quetzalunit.Instant) quetzalunit.WallTime {
	return quetzalunit.WallTime(t.Add(w.WallClockOffset))
}

// InstantOf converts a wall time to the World's clock.
func (w *World) InstantOf(t quetzalunit.WallTime) quetzalunit.Instant {
	return quetzalunit.Instant(t.Add(-w.WallClockOffset))
}

// After sets a timer that fires d from now.
func (w *World) After(d time.Duration, t Timer) {
	w.Timers.Push(w.Now.Add(d), t)
}

// RecordDecision records a decision for operators' queries and emits it to the log.
func (w *World) RecordDecision(kind DecisionKind, subject, reason string) {
	d := Decision{At: w.WallTime(w.Now), Kind: kind, Subject: subject, Reason: reason}
	if len(w.Decisions) == MaxDecisions {
		w.Decisions = append(w.Decisions[:0], w.Decisions[1:]...)
	}
	w.Decisions = append(w.Decisions, d)
	w.Emit(LogDecision{Decision: d})
}
