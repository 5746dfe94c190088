package quetzalfleet

import (
	"quetzalstair/quetzalcore/quetzalunit"
)

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
