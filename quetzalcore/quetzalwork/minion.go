package quetzalwork

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// MinionRecord is a minion's entry in the list of minions, which the minions maintain themselves.
type MinionRecord struct {
	ID      quetzalunit.MinionID
	Pool    quetzalunit.PoolID
	Address quetzalunit.Address
	Zone    quetzalunit.ZoneID
	// Draining reports whether the minion is about to shut down: it takes no new runs, and shuts
	// down after DrainRemaining at the earliest.
	Draining       bool
	DrainRemaining time.Duration
	// Capacity is the capacity of the minion, whether in use or not.
	Capacity    quetzalunit.Resources
	Labels      []quetzalunit.Label
	Rack        quetzalunit.RackID
	Incarnation quetzalunit.MinionIncarnation
	Host        quetzalunit.HostID
	// WarmupRemaining is the remaining time in which the minion runs slower after its start.
	WarmupRemaining time.Duration
}

// Minion is a minion of a pool. The fields from Used to IdleSince are maintained only by the
// pool's dispatcher.
type Minion struct {
	MinionRecord
	PoolRow Row
	// FirstSeenAt is when this process first saw the minion.
	FirstSeenAt quetzalunit.Instant
	// RecordIncarnation is the incarnation that wrote the record, zero if the record names none. The
	// minion itself may have reported a later one.
	RecordIncarnation quetzalunit.MinionIncarnation
	// RestartSeenAt is when this process learned that the minion had restarted under its ID, zero if it has not.
	RestartSeenAt quetzalunit.Instant
	// Listed reports whether the minion is in the list. One that has left it gets no new runs.
	Listed bool
	// RemovedAt is when the minion left the list, RemovedRevision the revision of the read that showed it.
	RemovedAt       quetzalunit.Instant
	RemovedRevision quetzalunit.Revision
	// DrainUntil is the earliest time at which a draining minion shuts down.
	DrainUntil quetzalunit.Instant

	// Used are the resources that the active runs reserve.
	Used quetzalunit.Resources
	// Runs are the active runs.
	Runs []Row
	// Untracked are the runs of the last report that have no row in the table of runs.
	Untracked UntrackedRuns
	// IsolatedRun is the run of a suspect task next to which the minion gets no others; zero if there
	// is none.
	IsolatedRun Row
	// ReservedFor is the long-running step for which room is kept on the minion since ReservedAt, zero if there is none.
	// It counts only while tasks of the step wait or are to move from another minion.
	ReservedFor Row
	ReservedAt  quetzalunit.Instant
	// LostRuns are the runs that were active when the lease expired. They are kept until the minion
	// answers again or turns out to have crashed.
	LostRuns []LostRun
	// UnconfirmedRuns are runs of an earlier incarnation that crashed. The present one may have carried
	// out their orders to start; its first report shows whether it has.
	UnconfirmedRuns []LostRun
	// LeasePolledAt is when the last poll was sent that renewed the lease, zero if the known process has answered it.
	LeasePolledAt quetzalunit.Instant
	// UnansweredStarts are the orders to start runs that had no answer and that no report has shown to be carried
	// out. Those that can no longer be carried out may be among them.
	UnansweredStarts []UnansweredStart
	// UnansweredAcks are the acknowledgements of the last maxCallDelay in polls that the known process has not answered, in
	// the order in which they were sent.
	UnansweredAcks []UnansweredAck

	// Restarts is the Restarts of the pool when the minion's order token was raised last. Its calls carry it in
	// their token, so that the present incarnation rejects late calls for earlier ones.
	Restarts quetzalunit.Restarts
	// Answered reports whether the minion has accepted an order with the present token. It then
	// accepts none of earlier dispatchers, and its active runs are known. FirstAnsweredAt is when it
	// first did.
	Answered        bool
	FirstAnsweredAt quetzalunit.Instant
	// Clock is the time on the minion's clock at ClockAt.
	Clock   quetzalunit.MinionTime
	ClockAt quetzalunit.Instant
	// LeaseEnd is the latest end of the lease that any order has granted.
	LeaseEnd quetzalunit.MinionTime
	// LastAnsweredAt is when the minion last answered a poll.
	LastAnsweredAt quetzalunit.Instant
	// Ends is what is known of the ends that the known process lists. AckDueSince is when it last began to list ends that
	// may be acknowledged.
	Ends        EndLog
	AckDueSince quetzalunit.Instant
	// ReportSentAt is when the last poll was sent that the known process has answered.
	ReportSentAt quetzalunit.Instant
	// Acknowledging is set from the decision that the next poll acknowledges ends until this poll has ended. The minion
	// gets no new run meanwhile. AckPollThrough is the last end that the poll acknowledges.
	Acknowledging  bool
	AckPollThrough quetzalunit.EndNumber
	// EndsPending reports whether the minion may have ends that are not applied, by its last answer: the
	// answer had no room for them or left them out, or they follow one of an unknown job. Until they are applied, a run
	// that the minion does not report may have ended. EndsPendingSince is when this began.
	EndsPending      bool
	EndsPendingSince quetzalunit.Instant
	// EndsKnown reports whether EndsPending has been false since FirstAnsweredAt: all ends of runs that
	// earlier dispatchers started are applied.
	EndsKnown bool
	// PollInFlight reports whether a poll is in flight. PolledAt is when the last one was sent, PollWait how long the minion
	// may delay its answer.
	PollInFlight bool
	PolledAt     quetzalunit.Instant
	PollWait     time.Duration
	// ProbeInFlight reports whether a probe is in flight beside a poll whose answer is overdue, ProbedAt when it was sent.
	ProbeInFlight bool
	ProbedAt      quetzalunit.Instant
	// AnswerDelay estimates how long the minion takes to answer a call.
	AnswerDelay DelayEstimate
	// UnknownJobs are the unknown jobs of which the minion reports runs or ends, with the time since which it does.
	UnknownJobs map[quetzalunit.JobID]quetzalunit.Instant
	// NextPollAt is the instant of the next poll, zero if none is scheduled.
	NextPollAt quetzalunit.Instant
	// MissedAnswers counts the calls in a row that had no answer.
	MissedAnswers int
	// Silence is the begin of these.
	Silence Silence

	// ConsecutiveFailures counts the failures in a row: refused starts, and the first failed run of
	// each task.
	ConsecutiveFailures int
	// FailureBackoffUntil is the time until which the minion gets no new runs after too many
	// failures in a row. FailureBackoffs counts these backoffs since the last successful run. Each
	// doubles the next one, up to a limit.
	FailureBackoffUntil quetzalunit.Instant
	FailureBackoffs     int
	// RejectionBackoffUntil is the time until which the minion gets no new runs after it rejected
	// one that does not fit, or refused one.
	RejectionBackoffUntil quetzalunit.Instant
	// Slowdown is the moving average of the run times relative to those of other runs of the same
	// step; 1 is normal.
	Slowdown float64
	// IdleSince is when the last run ended.
	IdleSince quetzalunit.Instant
	// Replaced reports whether a later minion runs on the host: nothing runs on this one any more. Replacement tells how
	// this is known.
	Replaced    bool
	Replacement Replacement
	// HostSeen is what a read of the hosts since the takeover shows of the minion's end.
	HostSeen HostSighting
	// HostWithdrawn reports whether the host has been ordered to move or into maintenance. The
	// minion gets no new runs until it has restarted.
	HostWithdrawn bool
	// CordonedUntil is the time up to which the minion gets no new runs, because its host is to be
	// ordered away. The host controller extends it by repeated requests.
	CordonedUntil quetzalunit.Instant
}

// Free returns the resources that no run uses.
func (m *Minion) Free() quetzalunit.Resources {
	return m.Capacity.Minus(m.Used).Minus(m.Untracked.Used)
}

// HostSighting is a read of the hosts that shows that a minion had ended. The zero value shows nothing.
type HostSighting struct {
	// SentAt is when the read was sent, AnsweredAt when it was answered. The minion had ended in between, or before.
	SentAt, AnsweredAt quetzalunit.Instant
	// Replaced reports whether the host had another minion then, which is By. If not, nothing ran on it, and the minion
	// may have started again since under its id.
	Replaced bool
	By       quetzalunit.MinionID
}

// Replacement tells which later minion of its host replaces a minion, and when the read of the list was sent that shows it.
type Replacement struct {
	By          quetzalunit.MinionID
	Incarnation quetzalunit.MinionIncarnation
	SentAt      quetzalunit.Instant
}

// UntrackedRuns sums up the runs that a minion reports and that have no row in the table of runs,
// because no task needs them or their job is unknown. They use capacity until they have ended.
type UntrackedRuns struct {
	// Count is their number, Used the resources of those whose specification is known.
	Count int
	Used  quetzalunit.Resources
	// UnknownUse reports whether the specification of any of them is not known.
	UnknownUse bool
}

// LostRun is what remains to be known of a run whose minion may have crashed.
type LostRun struct {
	Task      TaskID
	Number    quetzalunit.RunNumber
	StartedAt quetzalunit.Instant
	// SurvivedStart is that of the run.
	SurvivedStart bool
	// Latest reports whether the run is one of those that the minion started last, Alone whether the
	// minion had no other active run.
	Latest, Alone bool
	// OthersSilent reports whether another minion may have crashed at the same time.
	OthersSilent bool
}

// UnansweredStart is an order to start a run that had no answer.
type UnansweredStart struct {
	Task   TaskID
	Number quetzalunit.RunNumber
	SentAt quetzalunit.Instant
	// Repeated reports whether the same order was sent twice and one has been carried out, so that no report shows whether the other
	// one has. AnsweredAt is when that one was answered as well, zero if it was not.
	Repeated   bool
	AnsweredAt quetzalunit.Instant
}

// DelayEstimate is a moving average of delays and of their deviation from it, as the retransmission timer of TCP keeps them
// (RFC 6298). The zero value has no measurement.
type DelayEstimate struct {
	Mean, Deviation time.Duration
}

// Observe adds a measurement.
func (e *DelayEstimate) Observe(delay time.Duration) {
	const meanDivisor, deviationDivisor = 8, 4
	if e.Mean == 0 {
		e.Mean, e.Deviation = max(1, delay), delay/2
		return
	}
	difference := delay - e.Mean
	e.Deviation += (max(difference, -difference) - e.Deviation) / deviationDivisor
	e.Mean = max(1, e.Mean+difference/meanDivisor)
}

// Bound returns the delay that few measurements exceed, or otherwise without any.
func (e *DelayEstimate) Bound(otherwise time.Duration) time.Duration {
	const deviations = 4
	if e.Mean == 0 {
		return otherwise
	}
	return e.Mean + deviations*e.Deviation
}

// UnansweredAck is an acknowledgement of the ends up to a number in a poll without an answer. It may still be carried out.
type UnansweredAck struct {
	Through quetzalunit.EndNumber
	SentAt  quetzalunit.Instant
}

// Silence is the begin of a time in which a minion does not answer. It lies between the last answer
// and the first one that is missed.
type Silence struct {
	Minion                    quetzalunit.MinionID
	AnsweredAt, FirstMissedAt quetzalunit.Instant
}

// UnackedEnd is an end that is applied but not acknowledged. The acknowledgement must wait until
// the job's progress is stored: the minion forgets the end with it, and another dispatcher would
// run the task again.
type UnackedEnd struct {
	ReportedEnd
	// Changes is the number of changes of the progress of Job that must be stored. Job is zero
	// if the end can be acknowledged at once.
	Job     Row
	Changes int
	// Unrecorded is why the progress of the job does not record the end, empty if it does.
	Unrecorded string
}

// RunOutcome is how a run ended, in the terms of the platform. OutcomeDone completes the task, and
// OutcomeFailed counts as a failed run. The others count as neither: the task is started again if it
// is still needed.
type RunOutcome uint8

// Outcomes of a run.
const (
	OutcomeDone RunOutcome = iota
	OutcomeFailed
	OutcomeStopped
	// OutcomeLapsed means that the lease expired. The scheduler also uses it for runs that were lost
	// with their minion or host.
	OutcomeLapsed
	// OutcomeGangBroken means that the run was ended because another member of its gang had ended.
	OutcomeGangBroken
	// OutcomeGangTimeout means that the run waited for the other members of its gang until the
	// gang's timeout, and they did not come.
	OutcomeGangTimeout
)

// TaskID identifies a task within the fleet.
type TaskID struct {
	Job quetzalunit.JobID
	TaskRef
}

// ReportedRun is a run that a minion reports as active. Percent and Measurement are as in Run.
type ReportedRun struct {
	Task        TaskID
	Number      quetzalunit.RunNumber
	Checkpoint  quetzalunit.Checkpoint
	Percent     int
	Measurement int64
}

// ReportedEnd is the end of a run. The minion reports it until it is acknowledged.
type ReportedEnd struct {
	// Number numbers the ends that the minion reports. Run is the number of the run that ended.
	Number     quetzalunit.EndNumber
	Task       TaskID
	Run        quetzalunit.RunNumber
	Outcome    RunOutcome
	Checkpoint quetzalunit.Checkpoint
}

// HostState is the state of a host according to the platform.
type HostState uint8

// States of a host.
const (
	HostUp HostState = iota
	HostMoving
	HostInMaintenance
	HostDown
	// HostStateUnknown is a state that this version does not know.
	HostStateUnknown
)

// Host is a machine, on which one minion runs at a time. Only the table of the host controller is
// current.
type Host struct {
	ID       quetzalunit.HostID
	Pool     quetzalunit.PoolID
	State    HostState
	Zone     quetzalunit.ZoneID
	Rack     quetzalunit.RackID
	Labels   []quetzalunit.Label
	Capacity quetzalunit.Resources
	Minion   quetzalunit.MinionID
}

// WavePlan is the operators' request for a maintenance wave: the maintenance of a set of hosts.
type WavePlan struct {
	ID    quetzalunit.WaveID
	Hosts []quetzalunit.HostID
	// TimeLimit is the time in which the wave is to be completed.
	TimeLimit time.Duration
	// MaxConcurrent is how many of the hosts may be in maintenance, or be evacuated for it, at
	// once.
	MaxConcurrent int
}

// Wave is a maintenance wave with its progress.
type Wave struct {
	WavePlan
	// FirstSeenAt is when this process first saw the plan.
	FirstSeenAt quetzalunit.Instant
	// Maintenance has the maintenance of each host, in the order of Hosts.
	Maintenance []HostMaintenance
	// StoreInFlight reports whether a transaction with the maintained hosts is in flight, StoreAgain
	// whether another one must follow because more hosts were added since.
	StoreInFlight, StoreAgain bool
	// HostsRevision is the revision of the row with the maintained hosts, zero if none is known.
	HostsRevision quetzalunit.Revision
	// StoredState is the stored state, StoringState the state that is being stored. WaveUnstored
	// stands for none.
	StoredState, StoringState WaveState
}

// WaveState is the stored state of a wave.
type WaveState string

// States of a wave.
const (
	WaveUnstored  WaveState = ""
	WaveRunning   WaveState = "Running"
	WaveCompleted WaveState = "Completed"
)

// MaintenanceState is the state of the maintenance of one host.
type MaintenanceState uint8

// States of the maintenance of one host.
const (
	// MaintenanceWaiting means that the host's turn has not come yet.
	MaintenanceWaiting MaintenanceState = iota
	// MaintenanceEvacuating means that the dispatcher of the host's pool is moving work off the
	// host.
	MaintenanceEvacuating
	// MaintenanceOrdered means that the maintenance is to be ordered, or that the order has no
	// answer yet.
	MaintenanceOrdered
	// MaintenanceActive means that the order was accepted and the host is not up again.
	MaintenanceActive
	// MaintenanceDone means that the host has had its maintenance.
	MaintenanceDone
)

// HostMaintenance is the maintenance of one host.
type HostMaintenance struct {
	State MaintenanceState
	// RequestInFlight reports whether a request to the dispatcher, or an order to the host, is in
	// flight.
	RequestInFlight bool
	// Minion is the minion of the host when its evacuation was requested, or before this process took the duty over, empty
	// if neither is known. Incarnation is the one that ran then, zero if it is not known.
	Minion      quetzalunit.MinionID
	Incarnation quetzalunit.MinionIncarnation
	// DispatcherNotified reports whether the dispatcher was told that the host is in maintenance.
	DispatcherNotified bool
	// SafeToInterrupt reports whether the host's minion runs no long-running task: its other runs
	// may be interrupted.
	SafeToInterrupt bool
	// Since is when the state began, RetryAt the earliest next request or order.
	Since, RetryAt quetzalunit.Instant
}

// HostMove is the move of a host to another pool. The host is evacuated first, and then ordered to
// move.
type HostMove struct {
	Host     quetzalunit.HostID
	From, To quetzalunit.PoolID
	// Minion is the minion of the host when the move began, Incarnation the one that ran then, zero if it is not known.
	Minion      quetzalunit.MinionID
	Incarnation quetzalunit.MinionIncarnation
	// Ordered reports whether the host has been ordered to move, RequestInFlight whether a request
	// to the dispatcher or the order is in flight.
	Ordered, RequestInFlight bool
	// Accepted reports whether the order was accepted.
	Accepted bool
	// Since is when the order was accepted, and before that when the move began. RetryAt is the
	// earliest next request or order.
	Since, RetryAt quetzalunit.Instant
	// Attempts counts the requests to evacuate the host, and once it is empty the orders.
	Attempts int
}

// HostLease is what an entry knows of the host controller's lease.
type HostLease struct {
	// Revision is the highest revision of the stored row that this process has read, and SeenAt when
	// it did. The store carried out that renewal before SeenAt.
	Revision quetzalunit.Revision
	SeenAt   quetzalunit.Instant
	// RenewalSentAt is when the holder sent its last successful renewal.
	RenewalSentAt quetzalunit.Instant
	// RenewalAttemptAt is when the holder last sent a renewal, RenewalInFlight whether it has no
	// answer yet.
	RenewalAttemptAt quetzalunit.Instant
	RenewalInFlight  bool
}

// HostController is the state of the host controller: the holder of the duty to give orders to
// hosts, which moves them and takes them into maintenance. One entry at a time holds this duty.
type HostController struct {
	// Duty is the stored row that names the holder.
	Duty Duty
	// Held reports whether this process holds the duty.
	Held bool
	// Token is this process's fencing token, HeldSince the instant when it acquired the duty.
	Token     quetzalunit.FencingToken
	HeldSince quetzalunit.Instant
	// Lease is the lease that permits orders to hosts.
	Lease HostLease
	// OrdersAllowedFrom is when the orders of the previous holder have been carried out or lost, so
	// that this process may give orders.
	OrdersAllowedFrom quetzalunit.Instant
	// PermissionEnded reports whether the log says that the permission to order hosts has ended.
	PermissionEnded bool
	// BlockedUntil are the hosts that a previous holder ordered shortly before it released the duty,
	// each with the end of the time in which another holder must not order it.
	BlockedUntil map[quetzalunit.HostID]quetzalunit.Instant
	// OrderedAt are the hosts that this process has ordered, each with the instant of the last
	// order.
	OrderedAt map[quetzalunit.HostID]quetzalunit.Instant
	// HostsReadAt is when the hosts were last read.
	HostsReadAt quetzalunit.Instant
	// HostsReadInFlight reports whether a read of the hosts is in flight.
	HostsReadInFlight bool
	// WavesLoaded reports whether the stored states of the waves are known, WavesReadDue whether the
	// last read of them failed and must be repeated.
	WavesLoaded, WavesReadDue bool
}
