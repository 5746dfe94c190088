package quetzalfleet

import (
	"quetzalstair/quetzalcore/quetzalunit"
)

// Peer is another entry, of this or another zone.
type Peer struct {
	ID          quetzalunit.EntryID
	Zone        quetzalunit.ZoneID
	Incarnation quetzalunit.Incarnation
	Address     quetzalunit.Address
	// SeenRevision is the revision up to which the peer is known to hold every row of FleetTables.
	SeenRevision    quetzalunit.Revision
	SettingsVersion quetzalunit.Version
	// LastHeardAt is the time of the last gossip or reply from the peer.
	LastHeardAt quetzalunit.Instant
	// Guest is set if the peer is not in the roster and serves with this entry as its
	// sponsor. This entry confirms no host as drained before the guest has.
	Guest bool
	// LeavingSent is set once a message to the guest has listed the hosts that are not live,
	// LeavingKnown once the guest has replied to such a message.
	LeavingSent, LeavingKnown bool
	// GossipSentAt is the time at which the last gossip was sent to the peer.
	GossipSentAt quetzalunit.Instant
	// SentRevision is the revision up to which rows were sent to the peer, acknowledged or not;
	// a failed message resets it to zero.
	SentRevision quetzalunit.Revision
	// GossipInFlight is set while a gossip message awaits its reply.
	GossipInFlight bool
	// Stopping is set once the peer has begun a planned stop.
	Stopping bool
	// ForwardedInFlight counts the requests in flight that were forwarded to the peer.
	ForwardedInFlight quetzalunit.Requests
	// ListedState is the state of the peer's own host in the platform's host list.
	ListedState ListedState
	// ListedAt is the time at which the list that shows ListedState was requested.
	ListedAt quetzalunit.Instant
	// Loads is the load that the peer last reported.
	Loads []PoolLoad
}

// PoolLoad is the load of a pool at one entry: the requests that wait there and the
// attempts in flight.
type PoolLoad struct {
	Pool    quetzalunit.PoolID
	Queued  quetzalunit.Requests
	Running quetzalunit.Requests
}

// DrainConfirmation records that an entry has no work left on a host that is leaving and
// will send it none at Generation. A host is drained when every entry of the zone's
// roster has confirmed it.
type DrainConfirmation struct {
	Entry       quetzalunit.EntryID
	Incarnation quetzalunit.Incarnation
	Host        quetzalunit.HostID
	Generation  quetzalunit.Generation
}

// DrainConfirmationKey identifies the confirmation of an entry for a host.
type DrainConfirmationKey struct {
	Entry quetzalunit.EntryID
	Host  quetzalunit.HostID
}

// WaveState is the state of a maintenance wave.
type WaveState uint8

// The states of a maintenance wave.
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

// WaveSpec is the part of a maintenance wave that is stored in the table service.
type WaveSpec struct {
	ID    quetzalunit.WaveID
	State WaveState
	// Zones and Pools restrict the wave; empty means all.
	Zones []quetzalunit.ZoneID
	Pools []quetzalunit.PoolID
	// MaxConcurrent limits the hosts of each zone that are out of service for the wave
	// at the same time; zero means no limit.
	MaxConcurrent quetzalunit.Hosts
}

// Wave is a maintenance wave, which reboots every host that it covers once, within
// the availability budgets.
type Wave struct {
	WaveSpec
	Revision quetzalunit.Revision
	// Blocked lists the hosts that the last plan could not take, to be shown to operators.
	Blocked []quetzalunit.HostID
	// ChangeCall is the store call in flight that changes the wave's row; zero if none.
	ChangeCall Row
}

// RosterEntry is one entry process in a zone's roster.
type RosterEntry struct {
	Entry       quetzalunit.EntryID
	Incarnation quetzalunit.Incarnation
	Address     quetzalunit.Address
}

// Roster is the membership list of a zone: the entries that may send work to its
// minions, besides guests. A host is drained only when every entry in it has confirmed.
type Roster struct {
	Zone     quetzalunit.ZoneID
	Revision quetzalunit.Revision
	// Entries is sorted by name and contains each name once.
	Entries []RosterEntry
}

// DutyLease is the lease on a zone's duties. Its holder, one entry of the zone, plans the
// zone's moves, reboots and waves and takes over orphaned jobs.
type DutyLease struct {
	Zone     quetzalunit.ZoneID
	Revision quetzalunit.Revision
	Holder   quetzalunit.EntryID
	// Epoch is incremented by each takeover and release. Every write of the holder is
	// conditional on the epoch's row, which fences out former holders.
	Epoch quetzalunit.Epoch
	// RenewalRevision is the revision of the last renewal that this entry has seen, and
	// RenewalSeenAt the time at which it saw it. Expiry is measured by this entry's
	// clock alone.
	RenewalRevision quetzalunit.Revision
	RenewalSeenAt   quetzalunit.Instant
	RenewalCount    int64
}

// SettingNode is a node of the settings tree with the values set on it.
type SettingNode struct {
	Path     quetzalunit.SettingsPath
	Version  quetzalunit.Version
	Revision quetzalunit.Revision
	ChangeID quetzalunit.ChangeID
	Deleted  bool
	Values   SettingValues
}

// Decision records an action that an entry took on its own and the reason for it.
type Decision struct {
	At      quetzalunit.WallTime
	Kind    DecisionKind
	Subject string
	Reason  string
}

// DecisionKind is the kind of a decision, as shown to operators.
type DecisionKind string

// The kinds of decisions.
const (
	DecisionMove  DecisionKind = "Move"
	DecisionWave  DecisionKind = "Wave"
	DecisionEject DecisionKind = "Eject"
	DecisionDuty  DecisionKind = "Duty"
	// DecisionNotRetried means that a request is not retried although the retry policy might permit
	// it: it has failed on several hosts and may have run.
	DecisionNotRetried DecisionKind = "Park"
	DecisionRoster     DecisionKind = "Roster"
	DecisionJob        DecisionKind = "Job"
)
