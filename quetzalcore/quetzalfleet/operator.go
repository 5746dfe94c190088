package quetzalfleet

import "quetzalstair/quetzalcore/quetzalunit"

// OperatorAction is an operator's query or change.
type OperatorAction interface{ implementsOperatorAction() }

type (
	// ChangeSetting sets, or deletes, the values of a node of the settings tree.
	ChangeSetting struct {
		ID   quetzalunit.ChangeID
		Path quetzalunit.NodePath
		// IfVersion is the node's version that the operator saw, nil for any.
		IfVersion *quetzalunit.Version
		Delete    bool
		Values    SettingValues
	}
	// ChangePool creates or changes a pool.
	ChangePool struct {
		ID   quetzalunit.ChangeID
		Pool PoolRow
	}
	// ChangeQueue creates or changes a queue.
	ChangeQueue struct {
		ID    quetzalunit.ChangeID
		Queue QueueRow
	}
	// ChangeTeam creates or changes a team.
	ChangeTeam struct {
		ID   quetzalunit.ChangeID
		Team TeamRow
	}
	// RegisterHost adds a host to the fleet; an existing host is left as it is.
	RegisterHost struct {
		ID   quetzalunit.ChangeID
		Host HostSpec
	}
	// MoveHost starts a host's move to a pool.
	MoveHost struct {
		ID   quetzalunit.ChangeID
		Host quetzalunit.HostID
		Pool quetzalunit.PoolID
	}
	// CreateWave creates a maintenance wave.
	CreateWave struct {
		ID   quetzalunit.ChangeID
		Wave WaveSpec
	}
	// SetWaveState pauses, resumes or cancels a wave.
	SetWaveState struct {
		ID    quetzalunit.ChangeID
		Wave  quetzalunit.WaveID
		State WaveState
	}
	// PlanWave tells what a wave would do, without doing it.
	PlanWave struct{ Wave WaveSpec }
	// GetSetting reads a node of the settings tree and its effective values.
	GetSetting struct{ Path quetzalunit.NodePath }
	// GetVersions reads the settings versions in force.
	GetVersions struct{}
	// GetPools reads the pools.
	GetPools struct{}
	// GetQueues reads the queues.
	GetQueues struct{}
	// GetHosts reads the hosts.
	GetHosts struct{}
	// GetWaves reads the waves.
	GetWaves struct{}
	// GetTeams reads the teams.
	GetTeams struct{}
	// GetDecisions reads the recent decisions.
	GetDecisions struct{}
	// GetStatus reads the state of the entry.
	GetStatus struct{}
)

func (ChangeSetting) implementsOperatorAction() {}
func (ChangePool) implementsOperatorAction()    {}
func (ChangeQueue) implementsOperatorAction()   {}
func (ChangeTeam) implementsOperatorAction()    {}
func (RegisterHost) implementsOperatorAction()  {}
func (MoveHost) implementsOperatorAction()      {}
func (CreateWave) implementsOperatorAction()    {}
func (SetWaveState) implementsOperatorAction()  {}
func (PlanWave) implementsOperatorAction()      {}
func (GetSetting) implementsOperatorAction()    {}
func (GetVersions) implementsOperatorAction()   {}
func (GetPools) implementsOperatorAction()      {}
func (GetQueues) implementsOperatorAction()     {}
func (GetHosts) implementsOperatorAction()      {}
func (GetWaves) implementsOperatorAction()      {}
func (GetTeams) implementsOperatorAction()      {}
func (GetDecisions) implementsOperatorAction()  {}
func (GetStatus) implementsOperatorAction()     {}

// OperatorResult is the result of an action.
type OperatorResult interface{ implementsOperatorResult() }

type (
	// Changed tells that a change is accepted; Version is zero except for settings.
	Changed struct {
		ID      quetzalunit.ChangeID
		Version quetzalunit.Version
	}
	// ChangeConflict tells that a node has another version than the operator saw.
	ChangeConflict struct {
		Asked quetzalunit.Version
		Found quetzalunit.Version
	}
	// ChangeRefused tells that a change would break a promise or names something unknown.
	ChangeRefused struct{ Problem ChangeProblem }
	// ChangeUnknown tells that the platform did not say whether the change took
	// effect; sending it again with its ChangeID is safe.
	ChangeUnknown struct{ ID quetzalunit.ChangeID }
	// SettingView is a node and its effective values with their origins.
	SettingView struct {
		Node      SettingNode
		Effective Settings
		// Origins are the nodes that set values, from the root down.
		Origins []SettingOrigin
	}
	// VersionsView lists the versions in force.
	VersionsView struct {
		Head  quetzalunit.Version
		Peers []PeerView
	}
	// PoolsView lists pools as seen in a zone.
	PoolsView struct {
		Zone  quetzalunit.ZoneID
		Pools []PoolView
	}
	// QueuesView lists queues.
	QueuesView struct{ Queues []QueueView }
	// HostsView lists hosts.
	HostsView struct{ Hosts []HostView }
	// WavesView lists waves.
	WavesView struct{ Waves []WaveView }
	// TeamsView lists teams.
	TeamsView struct{ Teams []Team }
	// DecisionsView lists decisions, newest first.
	DecisionsView struct{ Decisions []Decision }
	// StatusView is the state of the entry.
	StatusView struct {
		Entry             quetzalunit.EntryID
		Zone              quetzalunit.ZoneID
		Holder            quetzalunit.EntryID
		Epoch             quetzalunit.Epoch
		HoldsDuty         bool
		Ready             bool
		PlatformReachable bool
		SettingsVersion   quetzalunit.Version
		Queued            quetzalunit.Requests
		Running           quetzalunit.Requests
		Hosts             quetzalunit.Hosts
		Peers             int
		RefusedNotRun     int64
	}
)

func (Changed) implementsOperatorResult()        {}
func (ChangeConflict) implementsOperatorResult() {}
func (ChangeRefused) implementsOperatorResult()  {}
func (ChangeUnknown) implementsOperatorResult()  {}
func (SettingView) implementsOperatorResult()    {}
func (VersionsView) implementsOperatorResult()   {}
func (PoolsView) implementsOperatorResult()      {}
func (QueuesView) implementsOperatorResult()     {}
func (HostsView) implementsOperatorResult()      {}
func (WavesView) implementsOperatorResult()      {}
func (TeamsView) implementsOperatorResult()      {}
func (DecisionsView) implementsOperatorResult()  {}
func (StatusView) implementsOperatorResult()     {}

// ChangeProblem says why a change was refused.
type ChangeProblem string

// The problems of ChangeRefused.
const (
	ProblemUnknownHost   ChangeProblem = "the host is not registered: register it with PUT /hosts/{Host}"
	ProblemUnknownPool   ChangeProblem = "the pool does not exist: create it with PUT /pools/{Pool}"
	ProblemUnknownWave   ChangeProblem = "the wave does not exist: create it with PUT /waves/{Wave}"
	ProblemWaveEnded     ChangeProblem = "the wave has ended: create another"
	ProblemHostBusy      ChangeProblem = "the host is not serving: wait until its move or reboot has ended"
	ProblemOverBudget    ChangeProblem = "the pool's availability budget leaves no headroom: add hosts or lower MinHosts"
	ProblemHostElsewhere ChangeProblem = "the host is in another zone: ask an entry of that zone"
)

type (
	// SettingOrigin is a node on the way from the root to a path.
	SettingOrigin struct{ Node SettingNode }
	// PeerView is an entry and the settings version in force there.
	PeerView struct {
		Entry   quetzalunit.EntryID
		Zone    quetzalunit.ZoneID
		Version quetzalunit.Version
		HeardAt quetzalunit.Instant
	}
	// PoolView is a pool as seen in the entry's zone.
	PoolView struct {
		ID        quetzalunit.PoolID
		Spare     bool
		Hosts     quetzalunit.Hosts
		Available quetzalunit.Hosts
		MinHosts  quetzalunit.Hosts
		Headroom  quetzalunit.Hosts
	}
	// QueueView is a queue as seen by the entry.
	QueueView struct {
		ID      quetzalunit.QueueID
		Pool    quetzalunit.PoolID
		Queued  quetzalunit.Requests
		Running quetzalunit.Requests
	}
	// HostView is a host as seen by the entry.
	HostView struct {
		HostSpec
		Running quetzalunit.Slots
		Listed  Listed
		Ejected bool
	}
	// WaveView is a wave and its progress.
	WaveView struct {
		WaveSpec
		Total, Done, Active quetzalunit.Hosts
		Blocked             []quetzalunit.HostID
	}
)
