package quetzalfleet

import "quetzalstair/quetzalcore/quetzalunit"

// StoredRow is the value of a row in the platform's table service.
type StoredRow interface{ implementsStoredRow() }

// TableName is the name of a table in the table service.
type TableName string

// The tables of the table service. Every entry holds a copy of those in FleetTables.
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

// FleetTables returns the tables that entries read in full and pass on to peers in
// gossip.
func FleetTables() []TableName {
	return []TableName{
		TableHosts, TablePools, TableQueues, TableTeams, TableSettings,
		TableHeads, TableRosters, TableEpochs, TableRenewals, TableWaves,
	}
}

// SettingsHeadKey is the key of the row in TableHeads that holds the newest settings version.
const SettingsHeadKey = "Settings"

// RowKey is the key of a row in the table service.
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
	// SettingRow stores a node of the settings tree in TableSettings.
	SettingRow struct {
		Path     quetzalunit.SettingsPath
		Version  quetzalunit.Version
		ChangeID quetzalunit.ChangeID
		Deleted  bool
		Values   SettingValues
	}
	// SettingsHeadRow stores the newest settings version in TableHeads.
	SettingsHeadRow struct{ Version quetzalunit.Version }
	// RosterRow stores a zone's roster in TableRosters.
	RosterRow struct {
		Zone    quetzalunit.ZoneID
		Entries []RosterEntry
	}
	// EpochRow stores the holder of a zone's duties and its epoch in TableEpochs. It is
	// written by takeovers and releases only, so that its revision serves as the fence.
	EpochRow struct {
		Zone   quetzalunit.ZoneID
		Holder quetzalunit.EntryID
		Epoch  quetzalunit.Epoch
	}
	// RenewalRow stores the latest renewal of the lease on a zone's duties in
	// TableRenewals.
	RenewalRow struct {
		Zone   quetzalunit.ZoneID
		Holder quetzalunit.EntryID
		Epoch  quetzalunit.Epoch
		Count  int64
	}
	// WaveRow stores a maintenance wave in TableWaves.
	WaveRow struct{ WaveSpec }
	// ClaimRow stores a claim in TableClaims: the right of one entry process to run a
	// request, and later the request's outcome.
	ClaimRow struct {
		Request     quetzalunit.RequestID
		Entry       quetzalunit.EntryID
		Incarnation quetzalunit.Incarnation
		State       ClaimState
		BodyDigest  quetzalunit.BodyDigest
		// Answer is set in ClaimDone.
		Answer *Payload
		// WrittenAt is the time of the write by the writer's clock.
		WrittenAt quetzalunit.WallTime
	}
	// JobRow stores a job in TableJobs.
	JobRow struct{ JobSpec }
	// ChangeRow records a committed operator's change in TableChanges, so that the change
	// is applied at most once.
	ChangeRow struct {
		ID      quetzalunit.ChangeID
		Subject string
		Version quetzalunit.Version
		// WrittenAt is the time of the write by the writer's clock.
		WrittenAt quetzalunit.WallTime
	}
)

func (HostRow) implementsStoredRow()         {}
func (PoolRow) implementsStoredRow()         {}
func (QueueRow) implementsStoredRow()        {}
func (TeamRow) implementsStoredRow()         {}
func (SettingRow) implementsStoredRow()      {}
func (SettingsHeadRow) implementsStoredRow() {}
func (RosterRow) implementsStoredRow()       {}
func (EpochRow) implementsStoredRow()        {}
func (RenewalRow) implementsStoredRow()      {}
func (WaveRow) implementsStoredRow()         {}
func (ClaimRow) implementsStoredRow()        {}
func (JobRow) implementsStoredRow()          {}
func (ChangeRow) implementsStoredRow()       {}

// ClaimState is the state of a claim.
type ClaimState uint8

// The states of a claim.
const (
	// ClaimHeld permits only its holder to run the request.
	ClaimHeld ClaimState = iota
	// ClaimDone means that the request ran and its answer is stored.
	ClaimDone
	// ClaimUnknown means that the request may have run, or ran with an answer too large
	// to be stored. It is not run again.
	ClaimUnknown
	// ClaimReleased means that the request did not run. It may be claimed again.
	ClaimReleased
)

// String returns the name of the state in stored rows.
func (s ClaimState) String() string {
	return [...]string{"Claimed", "Done", "Unknown", "Released"}[s]
}

// JobState is the state of a job.
type JobState uint8

// The states of a job.
const (
	// JobAccepted means that the job was not sent. Whichever entry holds it may run it.
	JobAccepted JobState = iota
	// JobSent means that the job may have run. Another holder may run it only if it is
	// idempotent.
	JobSent
	// JobEnded means that the job's claim has its outcome.
	JobEnded
)

// String returns the name of the state in stored rows.
func (s JobState) String() string {
	return [...]string{"Accepted", "Sent", "Ended"}[s]
}

// JobSpec is a request that was accepted with status 202. Its work is in the object
// store under WorkKey, its outcome in its claim.
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
	Deadline    quetzalunit.WallTime
	BodyDigest  quetzalunit.BodyDigest
	// WrittenAt is the time of the write by the writer's clock.
	WrittenAt quetzalunit.WallTime
}

// RowAtRevision is a row of the table service with its key and the revision of its last
// write.
type RowAtRevision struct {
	Key      RowKey
	Revision quetzalunit.Revision
	// Row is nil if the row does not exist.
	Row StoredRow
}

// Condition requires that a row has a revision. Zero requires that it does not exist.
type Condition struct {
	Key      RowKey
	Revision quetzalunit.Revision
}

// Write sets a row, or deletes it if Row is nil.
type Write struct {
	Key RowKey
	Row StoredRow
}

// Transaction applies all of its writes atomically if every condition holds, and none
// otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}
