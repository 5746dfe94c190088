package quetzalfleet

import "quetzalstair/quetzalcore/quetzalunit"

// Timer is an action that a system performs at a set time. A timer has no effect if its entity was
// deleted or is no longer in the state that the timer is for.
type Timer interface{ implementsTimer() }

type (
	// RequestDeadlineReached ends a request that is not running at its deadline.
	RequestDeadlineReached struct{ Request Row }
	// RetryDue enqueues a request after its backoff, or repeats the store call that a job
	// in RequestStoring waits for.
	RetryDue struct{ Request Row }
	// ShortRunExceeded counts an attempt as long from then on, because its run exceeds
	// Settings.ShortRun.
	ShortRunExceeded struct{ Attempt Row }
	// ProbationDue puts a host on probation after its ejection or pause.
	ProbationDue struct{ Host Row }
	// LimitRecoveryDue raises this entry's limit of attempts on a host by one slot.
	LimitRecoveryDue struct{ Host Row }
	// PollDue reads the fleet tables and the host list.
	PollDue struct{}
	// GossipDue starts a gossip round: a message to every peer of the zone and to one
	// random peer of another zone.
	GossipDue struct{}
	// DutyLeaseDue renews the lease on the zone's duties, or takes it over if it has lapsed.
	DutyLeaseDue struct{}
	// PlanDue runs the planner of moves, reboots and waves.
	PlanDue struct{}
	// TickDue only causes a tick. Systems with pending work look for it in every tick.
	TickDue struct{}
	// ChangeRetryDue retries the commit of an operator's change.
	ChangeRetryDue struct{ Change Row }
	// PoolDispatchDue dispatches a pool's requests again after none could be forwarded.
	PoolDispatchDue struct{ Pool Row }
	// SweepDue starts a deletion of expired rows if this entry is responsible for it.
	SweepDue struct{}
	// SweepBatchDue deletes the next batch of expired rows.
	SweepBatchDue struct{}
	// JobScanDue reads the jobs table if this process holds the zone's duties.
	JobScanDue struct{}
	// LeavingExpired expires the report that a host is leaving; see Host.LeavingUntil.
	LeavingExpired struct{ Host Row }
	// RequestRetentionExpired deletes a finished request that was kept so that later requests
	// with its id get its outcome.
	RequestRetentionExpired struct{ Request Row }
)

func (RequestDeadlineReached) implementsTimer()  {}
func (RetryDue) implementsTimer()                {}
func (ShortRunExceeded) implementsTimer()        {}
func (ProbationDue) implementsTimer()            {}
func (LimitRecoveryDue) implementsTimer()        {}
func (PollDue) implementsTimer()                 {}
func (GossipDue) implementsTimer()               {}
func (DutyLeaseDue) implementsTimer()            {}
func (PlanDue) implementsTimer()                 {}
func (TickDue) implementsTimer()                 {}
func (ChangeRetryDue) implementsTimer()          {}
func (PoolDispatchDue) implementsTimer()         {}
func (SweepDue) implementsTimer()                {}
func (SweepBatchDue) implementsTimer()           {}
func (JobScanDue) implementsTimer()              {}
func (LeavingExpired) implementsTimer()          {}
func (RequestRetentionExpired) implementsTimer() {}

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
	// ForFleetScan reads the rows of FleetTables.
	ForFleetScan struct{}
	// ForHostList reads the host list.
	ForHostList struct{}
	// ForRosterChange joins or leaves the zone's roster.
	ForRosterChange struct{ Leave bool }
	// ForRosterRemoval removes a dead entry from the roster.
	ForRosterRemoval struct{ Entry quetzalunit.EntryID }
	// ForDutyTakeover takes over the lease on the zone's duties.
	ForDutyTakeover struct{}
	// ForDutyRenewal renews the lease on the zone's duties.
	ForDutyRenewal struct{}
	// ForDutyRelease releases the lease on the zone's duties.
	ForDutyRelease struct{}
	// ForClaimWrite acquires claims. Requests is in the order of the transaction's writes.
	ForClaimWrite struct{ Requests []Row }
	// ForClaimRead reads claims, after a transaction without an answer or after the
	// holder of a claim did not answer.
	ForClaimRead struct{ Requests []Row }
	// ForOutcomeWrite stores the outcomes of claimed requests.
	ForOutcomeWrite struct{ Requests []Row }
	// ForJobWorkWrite writes the work of a job to the object store.
	ForJobWorkWrite struct{ Request Row }
	// ForJobWrite writes a job's row, as accepted or as sent.
	ForJobWrite struct{ Request Row }
	// ForJobRead reads a job's rows, to find out whether a write of them without an
	// answer took effect.
	ForJobRead struct{ Request Row }
	// ForJobScan reads the changes of the jobs table.
	ForJobScan struct{}
	// ForJobTakeover takes over a job whose entry has gone.
	ForJobTakeover struct{ Job Row }
	// ForJobWorkRead reads the work of a job that was taken over from the object store. FormerKey is
	// set if it reads FormerWorkKey, since there is no object under WorkKey.
	ForJobWorkRead struct {
		Request   Row
		FormerKey bool
	}
	// ForSweepScan reads the oldest rows of the tables whose rows expire.
	ForSweepScan struct{}
	// ForSweepDelete deletes expired rows.
	ForSweepDelete struct{}
	// ForOutcomeRead reads the claim of a request of which a caller wants the outcome and
	// which this entry does not know.
	ForOutcomeRead struct {
		Caller quetzalunit.CallerID
		ID     quetzalunit.RequestID
	}
	// ForHostChange changes the row of a host.
	ForHostChange struct{ Host Row }
	// ForReboot requests a host's reboot.
	ForReboot struct{ Host Row }
	// ForWaveChange changes the row of a wave.
	ForWaveChange struct{ Wave Row }
	// ForOperatorChange commits an operator's change.
	ForOperatorChange struct{ Change Row }
	// ForOperatorChangeRead reads the row of an operator's change, to find out whether the change
	// was committed before.
	ForOperatorChangeRead struct{ Change Row }
)

func (ForFleetScan) implementsStorePurpose()          {}
func (ForHostList) implementsStorePurpose()           {}
func (ForRosterChange) implementsStorePurpose()       {}
func (ForRosterRemoval) implementsStorePurpose()      {}
func (ForDutyTakeover) implementsStorePurpose()       {}
func (ForDutyRenewal) implementsStorePurpose()        {}
func (ForDutyRelease) implementsStorePurpose()        {}
func (ForClaimWrite) implementsStorePurpose()         {}
func (ForClaimRead) implementsStorePurpose()          {}
func (ForOutcomeWrite) implementsStorePurpose()       {}
func (ForJobWorkWrite) implementsStorePurpose()       {}
func (ForJobWrite) implementsStorePurpose()           {}
func (ForJobRead) implementsStorePurpose()            {}
func (ForJobScan) implementsStorePurpose()            {}
func (ForJobTakeover) implementsStorePurpose()        {}
func (ForJobWorkRead) implementsStorePurpose()        {}
func (ForSweepScan) implementsStorePurpose()          {}
func (ForSweepDelete) implementsStorePurpose()        {}
func (ForOutcomeRead) implementsStorePurpose()        {}
func (ForHostChange) implementsStorePurpose()         {}
func (ForReboot) implementsStorePurpose()             {}
func (ForWaveChange) implementsStorePurpose()         {}
func (ForOperatorChange) implementsStorePurpose()     {}
func (ForOperatorChangeRead) implementsStorePurpose() {}

// OperatorChange is an operator's change that is being committed.
type OperatorChange struct {
	Caller quetzalunit.CallerID
	ID     quetzalunit.ChangeID
	Action OperatorAction
	// Attempts counts the transactions that were sent for the change.
	Attempts quetzalunit.Attempts
	// Deadline is the time after which the change is no longer retried and the operator
	// gets ChangeUnknown.
	Deadline quetzalunit.Instant
	// LookedUp is set once the platform was asked whether the change was committed before.
	LookedUp bool
}
