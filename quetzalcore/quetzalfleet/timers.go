package quetzalfleet

import "quetzalstair/quetzalcore/quetzalunit"

// Timer is what a system does when an instant has come. A timer whose entity
// has gone or changed meanwhile has no effect.
type Timer interface{ implementsTimer() }

type (
	// RequestDeadline ends a request that has not been sent by its deadline.
	RequestDeadline struct{ Request Row }
	// RetryDue puts a waiting request back into its lane.
	RetryDue struct{ Request Row }
	// ShortRunOver counts an attempt as long from now on.
	ShortRunOver struct{ Attempt Row }
	// EjectionOver puts a host on probation.
	EjectionOver struct{ Host Row }
	// LimitRecovers raises a host's limit by one slot.
	LimitRecovers struct{ Host Row }
	// PollDue reads the platform's tables and list.
	PollDue struct{}
	// GossipDue sends gossip to the peers.
	GossipDue struct{}
	// DutyDue renews or takes over the zone's duties.
	DutyDue struct{}
	// PlanDue runs the plan of moves and waves.
	PlanDue struct{}
	// Wake runs the systems, which look at their sets in every tick.
	Wake struct{}
	// ChangeDue tries an operator's change again.
	ChangeDue struct{ Change Row }
	// PoolDue dispatches a pool's requests again.
	PoolDue struct{ Pool Row }
	// SweepDue deletes old rows, as the holder of the zone's duties.
	SweepDue struct{}
	// SweepAgain deletes further old rows.
	SweepAgain struct{}
	// JobsDue reads the jobs, as the holder of the zone's duties.
	JobsDue struct{}
	// LeavingSignOver ends the effect of a sign of leaving.
	LeavingSignOver struct{ Host Row }
	// RequestForgotten deletes a finished request that could still be joined.
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

// StoreCall is a call of the platform that waits for its answer.
type StoreCall struct {
	Purpose StorePurpose
	// SentAt is the instant at which the call was issued.
	SentAt quetzalunit.Instant
	// Transaction is what a write was to do, so that a commit can be applied at once.
	Transaction Transaction
}

// StorePurpose says what an answer of the platform is for.
type StorePurpose interface{ implementsStorePurpose() }

type (
	// ForScan applies the rows of FleetTables.
	ForScan struct{}
	// ForHostList applies the list of hosts.
	ForHostList struct{}
	// ForRoster joins or leaves the zone's roster.
	ForRoster struct{ Leave bool }
	// ForRosterRemoval removes a dead entry from the roster.
	ForRosterRemoval struct{ Entry quetzalunit.EntryID }
	// ForTakeover takes over the zone's duties.
	ForTakeover struct{}
	// ForRenewal renews the zone's duties.
	ForRenewal struct{}
	// ForResignation gives the zone's duties back.
	ForResignation struct{}
	// ForClaims takes claims; the requests are in the order of the writes.
	ForClaims struct{ Requests []Row }
	// ForClaimRead finds out whether unanswered claims took effect.
	ForClaimRead struct{ Requests []Row }
	// ForClaimOutcome writes the outcomes of claimed requests.
	ForClaimOutcome struct{ Requests []Row }
	// ForWork stores the work of a job.
	ForWork struct{ Request Row }
	// ForJob commits a job's row as accepted, or as sent.
	ForJob struct{ Request Row }
	// ForJobRead finds out whether an unanswered acceptance took effect.
	ForJobRead struct{ Request Row }
	// ForJobScan reads the jobs.
	ForJobScan struct{}
	// ForJobTakeover takes over a job whose holder has gone.
	ForJobTakeover struct{ Job Row }
	// ForJobWork reads the work of a job that was taken over.
	ForJobWork struct{ Request Row }
	// ForSweepScan reads the oldest rows of a table that is swept.
	ForSweepScan struct{}
	// ForSweep deletes old rows.
	ForSweep struct{}
	// ForResult reads the claim of a request that somebody asks for.
	ForResult struct {
		Caller quetzalunit.Caller
		ID     quetzalunit.RequestID
	}
	// ForHost changes the row of a host.
	ForHost struct{ Host Row }
	// ForReboot asks for a host's reboot.
	ForReboot struct{ Host Row }
	// ForWave changes the row of a wave.
	ForWave struct{ Wave Row }
	// ForChange commits an operator's change.
	ForChange struct{ Change Row }
	// ForChangeRead finds out whether an unanswered change took effect.
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
	Caller quetzalunit.Caller
	ID     quetzalunit.ChangeID
	Action OperatorAction
	// Tries counts the transactions that were built for it.
	Tries quetzalunit.Attempts
	// GiveUpAt is when the operator gets ChangeUnknown or a conflict.
	GiveUpAt quetzalunit.Instant
	// Looked tells that the platform was asked whether the change was committed before.
	Looked bool
}
