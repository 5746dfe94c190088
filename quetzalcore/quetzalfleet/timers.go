package quetzalfleet

import "quetzalstair/quetzalcore/quetzalunit"

// Timer is an action that a system performs at a set time. A timer has no effect if
// its entity was deleted or no longer is in the state that the timer is for.
type Timer interface{ implementsTimer() }

type (
	// RequestDeadline ends a request that is not running at its deadline.
	RequestDeadline struct{ Request Row }
	// RetryDue enqueues a request after its backoff, or repeats the store call that a job
	// in RequestStoring waits for.
	RetryDue struct{ Request Row }
	// ShortRunOver counts an attempt as long from then on, because its run exceeds
	// Settings.ShortRun.
	ShortRunOver struct{ Attempt Row }
	// EjectionOver puts a host on probation after its ejection or pause.
	EjectionOver struct{ Host Row }
	// LimitRecovers raises this entry's limit of attempts on a host by one slot.
	LimitRecovers struct{ Host Row }
	// PollDue reads the fleet tables and the host list.
	PollDue struct{}
	// GossipDue starts a gossip round: a message to every peer of the zone and to one
	// random peer of another zone.
	GossipDue struct{}
	// DutyDue renews the lease on the zone's duties, or takes it over if it has lapsed.
	DutyDue struct{}
	// PlanDue runs the planner of moves, reboots and waves.
	PlanDue struct{}
	// Wake only causes a tick. Systems with pending work look for it in every tick.
	Wake struct{}
	// ChangeDue retries the commit of an operator's change.
	ChangeDue struct{ Change Row }
	// PoolDue dispatches a pool's requests again after none could be forwarded.
	PoolDue struct{ Pool Row }
	// SweepDue starts a deletion of expired rows if this entry is responsible for it.
	SweepDue struct{}
	// SweepAgain deletes the next batch of expired rows.
	SweepAgain struct{}
	// JobsDue reads the jobs table if this process holds the zone's duties.
	JobsDue struct{}
	// LeavingSignOver expires the report that a host is leaving; see Host.LeavingUntil.
	LeavingSignOver struct{ Host Row }
	// RequestForgotten deletes a finished request that was kept so that later requests
	// with its id get its outcome.
	RequestForgotten struct{ Request Row }
)

func (RequestDeadline) implementsTimer()  {}
func (RetryDue) implementsTimer()         {}
func (ShortRunOver) implementsTimer()     {}
func (EjectionOver) implementsTimer()     {}
func (LimitRecovers) implementsTimer()    {}
func (PollDue) implementsTimer()          {}
func (GossipDue) implementsTimer()        {}
func (DutyDue) implementsTimer()          {}
func (PlanDue) implementsTimer()          {}
func (Wake) implementsTimer()             {}
func (ChangeDue) implementsTimer()        {}
func (PoolDue) implementsTimer()          {}
func (SweepDue) implementsTimer()         {}
func (SweepAgain) implementsTimer()       {}
func (JobsDue) implementsTimer()          {}
func (LeavingSignOver) implementsTimer()  {}
func (RequestForgotten) implementsTimer() {}

// StoreCall is a call of the platform that awaits its answer.
type StoreCall struct {
	Purpose StorePurpose
	// SentAt is the time at which the call was issued.
	SentAt quetzalunit.Instant
	// Transaction is the transaction of a WriteStore. Its rows are applied to the World
	// as soon as it is committed, without being read back.
	Transaction Transaction
}

// StorePurpose is the purpose of a store call. It selects the system that handles the
// answer.
type StorePurpose interface{ implementsStorePurpose() }

type (
	// ForScan reads the rows of FleetTables.
	ForScan struct{}
	// ForHostList reads the host list.
	ForHostList struct{}
	// ForRoster joins or leaves the zone's roster.
	ForRoster struct{ Leave bool }
	// ForRosterRemoval removes a dead entry from the roster.
	ForRosterRemoval struct{ Entry quetzalunit.EntryID }
	// ForTakeover takes over the lease on the zone's duties.
	ForTakeover struct{}
	// ForRenewal renews the lease on the zone's duties.
	ForRenewal struct{}
	// ForResignation releases the lease on the zone's duties.
	ForResignation struct{}
	// ForClaims acquires claims. Requests is in the order of the transaction's writes.
	ForClaims struct{ Requests []Row }
	// ForClaimRead reads claims, after a transaction without an answer or after the
	// holder of a claim did not answer.
	ForClaimRead struct{ Requests []Row }
	// ForClaimOutcome stores the outcomes of claimed requests.
	ForClaimOutcome struct{ Requests []Row }
	// ForWork writes the work of a job to the object store.
	ForWork struct{ Request Row }
	// ForJob writes a job's row, as accepted or as sent.
	ForJob struct{ Request Row }
	// ForJobRead reads a job's rows, to find out whether a write of them without an
	// answer took effect.
	ForJobRead struct{ Request Row }
	// ForJobScan reads the changes of the jobs table.
	ForJobScan struct{}
	// ForJobTakeover takes over a job whose entry has gone.
	ForJobTakeover struct{ Job Row }
	// ForJobWork reads the work of a job that was taken over from the object store.
	ForJobWork struct{ Request Row }
	// ForSweepScan reads the oldest rows of the tables whose rows expire.
	ForSweepScan struct{}
	// ForSweep deletes expired rows.
	ForSweep struct{}
	// ForResult reads the claim of a request of which a caller wants the outcome and
	// which this entry does not know.
	ForResult struct {
		Caller quetzalunit.CallerID
		ID     quetzalunit.RequestID
	}
	// ForHost changes the row of a host.
	ForHost struct{ Host Row }
	// ForReboot requests a host's reboot.
	ForReboot struct{ Host Row }
	// ForWave changes the row of a wave.
	ForWave struct{ Wave Row }
	// ForChange commits an operator's change.
	ForChange struct{ Change Row }
	// ForChangeRead reads the row of an operator's change, to find out whether the change
	// was committed before.
	ForChangeRead struct{ Change Row }
)

func (ForScan) implementsStorePurpose()          {}
func (ForHostList) implementsStorePurpose()      {}
func (ForRoster) implementsStorePurpose()        {}
func (ForRosterRemoval) implementsStorePurpose() {}
func (ForTakeover) implementsStorePurpose()      {}
func (ForRenewal) implementsStorePurpose()       {}
func (ForResignation) implementsStorePurpose()   {}
func (ForClaims) implementsStorePurpose()        {}
func (ForClaimRead) implementsStorePurpose()     {}
func (ForClaimOutcome) implementsStorePurpose()  {}
func (ForWork) implementsStorePurpose()          {}
func (ForJob) implementsStorePurpose()           {}
func (ForJobRead) implementsStorePurpose()       {}
func (ForJobScan) implementsStorePurpose()       {}
func (ForJobTakeover) implementsStorePurpose()   {}
func (ForJobWork) implementsStorePurpose()       {}
func (ForSweepScan) implementsStorePurpose()     {}
func (ForSweep) implementsStorePurpose()         {}
func (ForResult) implementsStorePurpose()        {}
func (ForHost) implementsStorePurpose()          {}
func (ForReboot) implementsStorePurpose()        {}
func (ForWave) implementsStorePurpose()          {}
func (ForChange) implementsStorePurpose()        {}
func (ForChangeRead) implementsStorePurpose()    {}

// Change is an operator's change that is being committed.
type Change struct {
	Caller quetzalunit.CallerID
	ID     quetzalunit.ChangeID
	Action OperatorAction
	// Tries counts the transactions that were sent for the change.
	Tries quetzalunit.Attempts
	// GiveUpAt is the time after which the change is no longer retried and the operator
	// gets ChangeUnknown.
	GiveUpAt quetzalunit.Instant
	// Looked is set once the platform was asked whether the change was committed before.
	Looked bool
}
