package quetzalfleet

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Pool is a set of hosts that serve the same queues, with an availability budget.
type Pool struct {
	ID quetzalunit.PoolID
	// Spare is set for a pool whose hosts are lent to other pools.
	Spare    bool
	Revision quetzalunit.Revision
	// Budgets are the zones' parts of the availability budget. Each zone enforces its
	// own part without asking the others.
	Budgets []ZoneBudget
	// Hosts lists the pool's hosts in this entry's zone.
	Hosts []Row
	// Queues lists the queues that the pool serves, in round-robin order.
	Queues []Row
	// NextQueue is the index in Queues of the queue to serve next.
	NextQueue int
	// RetryTokens is the token bucket of the retry budget, in hundredths of an attempt.
	RetryTokens quetzalunit.Percent
	// SentMarks counts the jobs that have left their FIFO to be sent, from the write that marks
	// their rows as sent until they are sent or have ended.
	SentMarks int
	// ForwardRetryScheduled is set while a timer is pending that retries forwarding.
	ForwardRetryScheduled bool
	// Backlog is the state of the move policy.
	Backlog PoolBacklog
}

// ZoneBudget is the minimum number of available hosts that a zone keeps in a pool.
type ZoneBudget struct {
	Zone     quetzalunit.ZoneID
	MinHosts quetzalunit.Hosts
}

// PoolBacklog is the state that the move policy keeps for a pool.
type PoolBacklog struct {
	// AccruedWait is the total time that requests in excess of the pool's slots have waited
	// since the backlog began, less the cost of the moves that it has caused.
	AccruedWait time.Duration
	// SurplusSince is the time since which the pool could do without a lent host; zero if
	// it could not.
	SurplusSince quetzalunit.Instant
	// UpdatedAt is the time up to which waiting has been counted.
	UpdatedAt quetzalunit.Instant
}

// HostState is the state of a host, as stored in the table service.
type HostState uint8

// The states of a host.
const (
	// HostServing accepts work of its pool.
	HostServing HostState = iota
	// HostLeaving is draining: it accepts no new work but still belongs to its pool.
	HostLeaving
	// HostRebooting has been drained and is being rebooted by the platform.
	HostRebooting
	// HostRetired is permanently out of service.
	HostRetired
)

// String returns the name of the state in stored rows.
func (s HostState) String() string {
	return [...]string{"Serving", "Leaving", "Rebooting", "Retired"}[s]
}

// ListedState is the state of a host in the platform's host list.
type ListedState uint8

// The states in the platform's host list.
const (
	ListedLive ListedState = iota
	ListedLeaving
	ListedGone
)

// String returns the name of the state in the platform's host list.
func (l ListedState) String() string {
	return [...]string{"Live", "Leaving", "Gone"}[l]
}

// HostSpec is the part of a host that is stored in the table service.
type HostSpec struct {
	ID      quetzalunit.HostID
	Address quetzalunit.Address
	Zone    quetzalunit.ZoneID
	Rack    quetzalunit.RackID
	// Pool is the pool that the host belongs to at Generation.
	Pool  quetzalunit.PoolID
	State HostState
	// Generation is incremented by each change of Pool or State.
	Generation quetzalunit.Generation
	// NextPool is the target of a move in HostLeaving; empty otherwise.
	NextPool quetzalunit.PoolID
	// RequestedPool is the pool to which an operator requested a move; empty if none.
	RequestedPool quetzalunit.PoolID
	// HomePool is the spare pool that lent the host; empty if it is not lent.
	HomePool quetzalunit.PoolID
	// Wave is the maintenance wave for which the host is in HostLeaving or
	// HostRebooting; empty otherwise.
	Wave quetzalunit.WaveID
	// LastWave is the last maintenance wave that the host completed.
	LastWave quetzalunit.WaveID
	// BootBefore is the boot count before the reboot of the wave. The reboot has
	// happened once the host list shows a greater one.
	BootBefore quetzalunit.Boot
}

// Host is a host with this entry's view of its load and health.
type Host struct {
	HostSpec
	Revision quetzalunit.Revision
	// PoolRow is the row of Pool in World.Pools; zero while the pool is not known.
	PoolRow     Row
	ListedState ListedState
	Boot        quetzalunit.Boot
	// ListedAt is the time at which the last host list that contains the host was requested; zero
	// if none did.
	ListedAt quetzalunit.Instant
	// LeavingGeneration is the generation of the host that is known to be leaving, from a
	// minion's refusal or a peer; zero if none. A host that leaves is sent no new work.
	LeavingGeneration quetzalunit.Generation
	// LeavingFromMinion is set if the minion itself told this entry. Only then does this
	// entry report it in gossip; otherwise entries would keep renewing one another's
	// reports.
	LeavingFromMinion bool
	// LeavingUntil is the time at which the report that the host is leaving expires,
	// unless it is repeated or the host list cannot be read.
	LeavingUntil quetzalunit.Instant

	// Running counts this entry's attempts on the host, and RunningLong those that are
	// treated as long.
	Running     quetzalunit.Slots
	RunningLong quetzalunit.Slots
	// AttemptLimit is the maximum number of this entry's attempts on the host. It falls to the
	// number in flight when the minion refuses an attempt because its slots are taken,
	// and rises again by one slot at a time. Dispatch policies may lower it further.
	AttemptLimit quetzalunit.Slots
	LimitAt      quetzalunit.Instant
	// LingerUntil is the time by which a minion has stopped work whose attempt ended
	// without an answer. The host is not reported as drained before.
	LingerUntil quetzalunit.Instant

	// ConsecutiveFailures counts the failed attempts since the last success.
	ConsecutiveFailures quetzalunit.Attempts
	// LastFailureAt is the time of the last failed attempt.
	LastFailureAt quetzalunit.Instant
	// EjectedUntil is the end of the host's ejection. It stays set, in the past, while
	// the host is on probation, and is zero otherwise.
	EjectedUntil quetzalunit.Instant
	// Ejections counts ejections, less one for every success; each one doubles the
	// duration of the next ejection.
	Ejections quetzalunit.Attempts
	// PausedUntil is the end of the pause of a host that failed together with many others.
	// From then until the next success, one attempt at a time probes the host. Zero
	// otherwise.
	PausedUntil quetzalunit.Instant

	// ChangeCall is the store call in flight that changes the host's row; zero if none.
	ChangeCall Row
	// ChangeInDoubt is set if a change of the host's row had no answer and may still take effect.
	ChangeInDoubt bool
	// GenerationSeenAt is the time at which this entry learned of the current generation.
	GenerationSeenAt quetzalunit.Instant
	// WaveNotBefore is the earliest time at which a wave takes the host again after it did
	// not drain in time.
	WaveNotBefore quetzalunit.Instant
	// RebootRequestedAt is the time of this entry's last reboot request to the platform.
	RebootRequestedAt quetzalunit.Instant
}
