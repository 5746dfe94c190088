package quetzalfleet

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Pool is a set of hosts with an availability budget.
type Pool struct {
	ID       quetzalunit.PoolID
	Spare    bool
	Revision quetzalunit.Revision
	// Budgets are the zones' escrow shares of the budget.
	Budgets []ZoneBudget
	// Hosts lists the pool's hosts in this entry's zone.
	Hosts []Row
	// Queues lists the queues that the pool serves.
	Queues []Row
	// NextQueue is the position in Queues whose turn it is.
	NextQueue int
	// RetryTokens is the retry budget in hundredths of an attempt.
	RetryTokens quetzalunit.Percent
	// Marking counts the jobs that were taken out of their lines to be marked as sent
	// and are not sent yet.
	Marking int
	// LookAgain tells that a PoolDue timer is set.
	LookAgain bool
	// Backlog smooths the demand for the move policy.
	Backlog PoolBacklog
}

// ZoneBudget is the number of available hosts that one zone owes a pool.
type ZoneBudget struct {
	Zone     quetzalunit.ZoneID
	MinHosts quetzalunit.Hosts
}

// PoolBacklog is what the move policy remembers of a pool.
type PoolBacklog struct {
	// Paid is the waiting time that requests beyond the pool's slots have spent.
	Paid time.Duration
	// IdleSince is the start of the pool's present surplus, zero without one.
	IdleSince quetzalunit.Instant
	// UpdatedAt is the instant up to which Paid is counted.
	UpdatedAt quetzalunit.Instant
}

// HostState is the state of a host's row in the table service.
type HostState uint8

// The states of a host.
const (
	// HostServing takes the work of its pool.
	HostServing HostState = iota
	// HostLeaving takes no new work; its pool still owns it.
	HostLeaving
	// HostRebooting is with the platform.
	HostRebooting
	// HostRetired takes no work any more.
	HostRetired
)

// String returns the state as stored.
func (s HostState) String() string {
	return [...]string{"Serving", "Leaving", "Rebooting", "Retired"}[s]
}

// Listed is a host's state in the platform's list.
type Listed uint8

// The states in the list.
const (
	ListedLive Listed = iota
	ListedLeaving
	ListedGone
)

// String returns the state as listed.
func (l Listed) String() string {
	return [...]string{"Live", "Leaving", "Gone"}[l]
}

// HostSpec is the part of a host that the table service stores.
type HostSpec struct {
	ID      quetzalunit.HostID
	Address quetzalunit.Address
	Zone    quetzalunit.ZoneID
	Rack    quetzalunit.RackID
	// Pool is the one pool that owns the host at Generation.
	Pool  quetzalunit.PoolID
	State HostState
	// Generation grows by one with each change of Pool or State.
	Generation quetzalunit.Generation
	// NextPool is the target of a move while HostLeaving, empty otherwise.
	NextPool quetzalunit.PoolID
	// MoveTo is the pool that an operator wants the host in, empty without a wish.
	MoveTo quetzalunit.PoolID
	// HomePool is the spare pool that lent the host, empty when it was not lent.
	HomePool quetzalunit.PoolID
	// Wave is the wave that takes the host while HostLeaving or HostRebooting.
	Wave quetzalunit.WaveID
	// WaveDone is the last wave that the host went through.
	WaveDone quetzalunit.WaveID
	// BootBefore is the boot count before the wave's reboot.
	BootBefore quetzalunit.Boot
}

// Host is a host as this entry sees it.
type Host struct {
	HostSpec
	Revision quetzalunit.Revision
	// PoolRow is the row of Pool in the table of pools, zero while it is unknown.
	PoolRow Row
	Listed  Listed
	Boot    quetzalunit.Boot
	// ListedAt is when the list last showed the host, zero before.
	ListedAt quetzalunit.Instant
	// LeavingSeen is the generation at which a sign of leaving was seen, zero without one.
	LeavingSeen quetzalunit.Generation
	// LeavingFirstHand tells that a minion itself gave the sign to this entry.
	LeavingFirstHand bool
	// LeavingUntil ends the effect of LeavingSeen unless the sign is repeated or the
	// list cannot be read.
	LeavingUntil quetzalunit.Instant

	// Running counts this entry's attempts on the host; RunningLong those treated as long.
	Running     quetzalunit.Slots
	RunningLong quetzalunit.Slots
	// Limit is the most attempts that this entry has in flight under the shared
	// dispatch policy: it falls with not-run answers and recovers with time.
	Limit   quetzalunit.Slots
	LimitAt quetzalunit.Instant
	// LingerUntil is when work whose attempt ended without an answer has stopped on
	// the minion; the host is not confirmed as idle before.
	LingerUntil quetzalunit.Instant

	// Failures counts failed attempts since the last success.
	Failures quetzalunit.Attempts
	// LastFailure is the instant of the last failed attempt.
	LastFailure quetzalunit.Instant
	// EjectedUntil is zero unless the host is ejected or on probation.
	EjectedUntil quetzalunit.Instant
	Ejections    quetzalunit.Attempts
	// HeldUntil ends the pause after a failure that is shared by many hosts; from then
	// until the next success one attempt at a time tries the host. Zero otherwise.
	HeldUntil quetzalunit.Instant

	// ChangeCall is the store call that is changing the host's row, zero without one.
	ChangeCall Row
	// Doubt tells that a change of the row had no answer and may still take effect.
	Doubt bool
	// ChangedAt is when this entry first saw the present generation.
	ChangedAt quetzalunit.Instant
	// WaveRetryAt is the earliest next try of a wave's step that was taken back.
	WaveRetryAt quetzalunit.Instant
	// RebootAskedAt is when the holder last asked the platform for the reboot.
	RebootAskedAt quetzalunit.Instant
}
