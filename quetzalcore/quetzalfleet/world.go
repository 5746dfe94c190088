package quetzalfleet

import (
	"math/rand/v2"
	"time"

	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Identity tells an entry who it is; it comes from the entry's settings.
type Identity struct {
	Entry       quetzalunit.EntryID
	Zone        quetzalunit.ZoneID
	Incarnation quetzalunit.Incarnation
	// PeerAddress is where the other entries reach this one.
	PeerAddress quetzalunit.Address
	// Seeds are entries of the zone from which this one starts without the platform.
	Seeds []quetzalunit.Address
	// Lease is the time without renewal after which a zone's duties are taken over.
	Lease time.Duration
	// Poll is the mean time between reads of the platform's tables.
	Poll time.Duration
	// Gossip is the mean time between messages to a peer.
	Gossip time.Duration
	// Retention is the age at which rows of claims, jobs and changes are deleted; it is
	// longer than any deadline. Zero keeps them.
	Retention time.Duration
	// Seed starts the World's source of random numbers.
	Seed uint64
}

// World owns the tables of one entry. The zero value is an empty world.
type World struct {
	Self Identity
	// StartedAt is when the process started.
	StartedAt quetzalunit.Instant
	// Now is the instant of the present tick; it never decreases.
	Now quetzalunit.Instant

	Requests   quetzaltable.Table[Request]
	Lines      quetzaltable.Table[Line]
	Attempts   quetzaltable.Table[Attempt]
	Queues     quetzaltable.Table[Queue]
	Pools      quetzaltable.Table[Pool]
	Hosts      quetzaltable.Table[Host]
	Teams      quetzaltable.Table[Team]
	Peers      quetzaltable.Table[Peer]
	Waves      quetzaltable.Table[Wave]
	Rosters    quetzaltable.Table[Roster]
	Duties     quetzaltable.Table[Duty]
	Settings   quetzaltable.Table[SettingNode]
	Confirmed  quetzaltable.Table[Confirmation]
	StoreCalls quetzaltable.Table[StoreCall]
	Changes    quetzaltable.Table[Change]
	Jobs       quetzaltable.Table[PendingJob]

	RequestByID   quetzaltable.Index[quetzalunit.RequestID]
	RequestOf     quetzaltable.Index[quetzalunit.Caller]
	LineByKey     quetzaltable.Index[LineKey]
	QueueByID     quetzaltable.Index[quetzalunit.QueueID]
	PoolByID      quetzaltable.Index[quetzalunit.PoolID]
	HostByID      quetzaltable.Index[quetzalunit.HostID]
	TeamByID      quetzaltable.Index[quetzalunit.TeamID]
	PeerByID      quetzaltable.Index[quetzalunit.EntryID]
	WaveByID      quetzaltable.Index[quetzalunit.WaveID]
	RosterByZone  quetzaltable.Index[quetzalunit.ZoneID]
	DutyByZone    quetzaltable.Index[quetzalunit.ZoneID]
	SettingByPath quetzaltable.Index[quetzalunit.NodePath]
	ConfirmedBy   quetzaltable.Index[ConfirmationKey]
	JobByID       quetzaltable.Index[quetzalunit.RequestID]

	// Timers wakes the systems.
	Timers quetzaltable.Timers[Timer]
	// TeamWeight is the sum of the weights of all teams.
	TeamWeight quetzalunit.Weight
	// DirtyPools have requests that a changed slot or queue may start.
	DirtyPools quetzaltable.Set
	// ClaimsToTake and ClaimsToWrite wait for the next group commit.
	ClaimsToTake  quetzaltable.Set
	ClaimsToWrite quetzaltable.Set
	// ChangesToTry are operators' changes whose transaction is to be built.
	ChangesToTry quetzaltable.Set
	// PlanDirty asks the holder of the zone's duties for a new plan.
	PlanDirty bool
	// PlanNotBefore is the earliest next plan after a step that was not committed.
	PlanNotBefore quetzalunit.Instant

	// GossipNow asks for a message to the zone's peers in this tick.
	GossipNow bool
	// GossipWaiting tells that a timer for a message to the zone's peers is set.
	GossipWaiting bool
	// GossipedAt is the instant of the last message to the zone's peers.
	GossipedAt quetzalunit.Instant
	// GuestUntil ends the right to serve without a place in the roster, which an entry
	// of the roster gave; zero without one.
	GuestUntil quetzalunit.Instant
	// ScanCall and ListCall are the reads in flight, zero without one.
	ScanCall, ListCall Row
	// RosterCall is the call that joins or leaves the roster, zero without one.
	RosterCall Row
	// DutyCall is the call that takes, renews or gives back the duties, zero without one.
	DutyCall Row
	// HeldEpoch is the epoch at which this process holds its zone's duties, zero without.
	HeldEpoch quetzalunit.Epoch
	// RenewedAt is when the last successful takeover or renewal was sent.
	RenewedAt quetzalunit.Instant
	// Live counts the requests without an outcome.
	Live quetzalunit.Requests
	// JobsSeen is the revision up to which the jobs were read, and JobScan the read
	// in flight, zero without one.
	JobsSeen quetzalunit.Revision
	JobScan  Row
	// ClaimCalls counts the claim transactions in flight.
	ClaimCalls int
	// OutcomeCall is the transaction that stores outcomes, zero without one.
	OutcomeCall Row
	// RetryOutcomesAt is the earliest next transaction after one without an answer.
	RetryOutcomesAt quetzalunit.Instant
	// OutcomesAt is when the outcomes that gather are stored, zero without any.
	OutcomesAt quetzalunit.Instant
	// ClaimPace is when the claim transactions so far are paid for at their mean pace.
	ClaimPace quetzalunit.Instant
	// RetryClaimsAt is the same for the transactions that take claims.
	RetryClaimsAt quetzalunit.Instant

	// Seen is the revision up to which every row of FleetTables is applied.
	Seen quetzalunit.Revision
	// Rows are the last applied rows of FleetTables, for peers that lack them.
	Rows map[RowKey]RevisedRow
	// Head and HeadRevision are the newest known settings version and its row's revision.
	Head         quetzalunit.Version
	HeadRevision quetzalunit.Revision
	// InForce is the settings version of which every node is applied; it never decreases.
	InForce quetzalunit.Version
	// NewestRow is the greatest revision in Rows.
	NewestRow quetzalunit.Revision
	// SettingsCache holds the effective settings by pool until a node changes.
	SettingsCache map[quetzalunit.PoolID]Settings

	// PlatformAnsweredAt is the instant of the last answer of the platform.
	PlatformAnsweredAt quetzalunit.Instant
	// PlatformFailing tells that the last call of the platform had no answer.
	PlatformFailing bool
	Stop            StopState
	// StopGiveUpAt is when a planned stop ends without the platform's answer.
	StopGiveUpAt quetzalunit.Instant
	// RefusedNotRun counts the outcomes NotRun.
	RefusedNotRun int64
	// Decisions holds the most recent decisions, oldest first, at most DecisionLimit.
	Decisions []Decision

	commands []Command
	rand     *rand.Rand
}

// DecisionLimit is the number of decisions that are kept for operators.
const DecisionLimit = 256

// StopState is how far a planned stop has come.
type StopState uint8

// The states of a planned stop.
const (
	// StopNone serves.
	StopNone StopState = iota
	// StopDraining takes no new request and waits for those in flight.
	StopDraining
	// StopLeaving gives back the duties and the place in the roster.
	StopLeaving
	// StopFinished has nothing in flight.
	StopFinished
)

// LineKey finds a Line.
type LineKey struct {
	Queue Row
	Team  Row
	Lane  Lane
}

// Emit appends a command.
func (w *World) Emit(c Command) {
	w.commands = append(w.commands, c)
}

// TakeCommands returns the commands since the last call.
func (w *World) TakeCommands() []Command {
	commands := w.commands
	w.commands = nil
	return commands
}

// Rand returns the World's source of random numbers.
func (w *World) Rand() *rand.Rand {
	if w.rand == nil {
		w.rand = rand.New(rand.NewPCG(w.Self.Seed, uint64(len(w.Self.Entry)))) //nolint:gosec // not used for secrets
	}
	return w.rand
}

// Jitter returns a random span between half of d and one and a half of d.
func (w *World) Jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.Rand().Int64N(int64(d)+1))
}

// After sets a timer.
func (w *World) After(d time.Duration, t Timer) {
	w.Timers.Push(w.Now.Add(d), t)
}

// Decide records a decision and reports it to the log.
func (w *World) Decide(kind DecisionKind, subject, reason string) {
	d := Decision{At: w.Now, Kind: kind, Subject: subject, Reason: reason}
	if len(w.Decisions) == DecisionLimit {
		w.Decisions = append(w.Decisions[:0], w.Decisions[1:]...)
	}
	w.Decisions = append(w.Decisions, d)
	w.Emit(LogDecision{Decision: d})
}
