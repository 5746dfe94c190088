package quetzalfleet

import "quetzalstair/quetzalcore/quetzalunit"

// StoredRow is the value of one row of the platform's table service.
type StoredRow interface{ implementsStoredRow() }

// TableName names a table of the table service.
type TableName string

// The tables. FleetTables lists those that every entry holds in full.
const (
	TableHosts    TableName = "Hosts"
	TablePools    TableName = "Pools"
	TableQueues   TableName = "Queues"
	TableTeams    TableName = "Teams"
	TableSettings TableName = "Settings"
	TableHeads    TableName = "Heads"
	TableRosters  TableName = "Rosters"
	TableEpochs   TableName = "Epochs"
	TableRenewals TableName = "Renewals"
	TableWaves    TableName = "Waves"
	TableClaims   TableName = "Claims"
	TableChanges  TableName = "Changes"
	TableJobs     TableName = "Jobs"
)

// FleetTables are the tables that entries read in full and pass on to peers.
func FleetTables() []TableName {
	return []TableName{
		TableHosts, TablePools, TableQueues, TableTeams, TableSettings,
		TableHeads, TableRosters, TableEpochs, TableRenewals, TableWaves,
	}
}

// SettingsHead is the key of the settings' row in TableHeads.
const SettingsHead = "Settings"

// RowKey names a row of the table service.
type RowKey struct {
	Table TableName
	Key   string
}

type (
	// HostRow stores a HostSpec in TableHosts.
	HostRow struct{ HostSpec }
	// PoolRow stores a pool in TablePools.
	PoolRow struct {
		ID      quetzalunit.PoolID
		Spare   bool
		Budgets []ZoneBudget
	}
	// QueueRow stores a queue in TableQueues.
	QueueRow struct {
		ID   quetzalunit.QueueID
		Pool quetzalunit.PoolID
	}
	// TeamRow stores a team in TableTeams.
	TeamRow struct {
		ID        quetzalunit.TeamID
		Weight    quetzalunit.Weight
		MaxQueued quetzalunit.Requests
	}
	// SettingRow stores a node in TableSettings.
	SettingRow struct {
		Path     quetzalunit.NodePath
		Version  quetzalunit.Version
		ChangeID quetzalunit.ChangeID
		Deleted  bool
		Values   SettingValues
	}
	// HeadRow stores the settings' version in TableHeads.
	HeadRow struct{ Version quetzalunit.Version }
	// RosterRow stores a zone's roster in TableRosters.
	RosterRow struct {
		Zone    quetzalunit.ZoneID
		Entries []RosterEntry
	}
	// EpochRow stores the holder of a zone's duties in TableEpochs.
	EpochRow struct {
		Zone   quetzalunit.ZoneID
		Holder quetzalunit.EntryID
		Epoch  quetzalunit.Epoch
	}
	// RenewalRow stores the heartbeat of a zone's duties in TableRenewals.
	RenewalRow struct {
		Zone   quetzalunit.ZoneID
		Holder quetzalunit.EntryID
		Epoch  quetzalunit.Epoch
		Count  int64
	}
	// WaveRow stores a WaveSpec in TableWaves.
	WaveRow struct{ WaveSpec }
	// ClaimRow stores a claim in TableClaims.
	ClaimRow struct {
		Request     quetzalunit.RequestID
		Entry       quetzalunit.EntryID
		Incarnation quetzalunit.Incarnation
		State       ClaimState
		Sum         quetzalunit.BodySum
		// Answer is set in ClaimDone.
		Answer *Payload
		At     quetzalunit.Instant
	}
	// JobRow stores a job in TableJobs.
	JobRow struct{ JobSpec }
	// ChangeRow stores an accepted change in TableChanges.
	ChangeRow struct {
		ID      quetzalunit.ChangeID
		Subject string
		Version quetzalunit.Version
		At      quetzalunit.Instant
	}
)

func (HostRow) implementsStoredRow()    {}
func (PoolRow) implementsStoredRow()    {}
func (QueueRow) implementsStoredRow()   {}
func (TeamRow) implementsStoredRow()    {}
func (SettingRow) implementsStoredRow() {}
func (HeadRow) implementsStoredRow()    {}
func (RosterRow) implementsStoredRow()  {}
func (EpochRow) implementsStoredRow()   {}
func (RenewalRow) implementsStoredRow() {}
func (WaveRow) implementsStoredRow()    {}
func (ClaimRow) implementsStoredRow()   {}
func (JobRow) implementsStoredRow()     {}
func (ChangeRow) implementsStoredRow()  {}

// ClaimState is the state of a claim.
type ClaimState uint8

// The states of a claim.
const (
	// ClaimHeld permits the holder alone to run the request.
	ClaimHeld ClaimState = iota
	// ClaimDone has the answer.
	ClaimDone
	// ClaimUnknown may have run; it is not run again.
	ClaimUnknown
	// ClaimReleased did not run and may be claimed again.
	ClaimReleased
)

// String returns the state as stored.
func (s ClaimState) String() string {
	return [...]string{"Claimed", "Done", "Unknown", "Released"}[s]
}

// JobState is the state of a job.
type JobState uint8

// The states of a job.
const (
	// JobAccepted was not sent: whoever holds it may run it.
	JobAccepted JobState = iota
	// JobSent may have run: only an idempotent job may be run by another holder.
	JobSent
	// JobEnded has its outcome in the claim.
	JobEnded
)

// String returns the state as stored.
func (s JobState) String() string {
	return [...]string{"Accepted", "Sent", "Ended"}[s]
}

// JobSpec is a request that was accepted with status 202. Its work is an object
// of the object store; the claim has its outcome.
type JobSpec struct {
	Request     quetzalunit.RequestID
	Entry       quetzalunit.EntryID
	Incarnation quetzalunit.Incarnation
	State       JobState
	Queue       quetzalunit.QueueID
	Team        quetzalunit.TeamID
	Class       Class
	Urgent      bool
	Idempotent  bool
	Deadline    quetzalunit.Instant
	Sum         quetzalunit.BodySum
	// At is when the row was written, by the writer's clock.
	At quetzalunit.Instant
}

// RevisedRow is a stored row with its key and the revision of its last write.
type RevisedRow struct {
	Key      RowKey
	Revision quetzalunit.Revision
	// Row is nil when the row is absent.
	Row StoredRow
}

// Condition requires that a row still has a revision; zero requires its absence.
type Condition struct {
	Key      RowKey
	Revision quetzalunit.Revision
}

// Write sets a row, or deletes it when Row is nil.
type Write struct {
	Key RowKey
	Row StoredRow
}

// Transaction applies all writes when every condition holds, and none otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}
