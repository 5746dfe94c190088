package quetzalfleet

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// SettingValues are the values that are set on one node of the settings tree. A nil
// field is inherited from the parent node. Settings describes the fields.
type SettingValues struct {
	Dispatch           *DispatchPolicy
	Retry              *RetryPolicy
	Move               *MovePolicy
	Lanes              *LanePolicy
	RetryMaxAttempts   *quetzalunit.Attempts
	RetryBudget        *quetzalunit.Percent
	RetryBase          *time.Duration
	RetryCap           *time.Duration
	LongSlots          *quetzalunit.Percent
	ShortRun           *time.Duration
	QueueLimit         *quetzalunit.Requests
	TeamQueueLimit     *quetzalunit.Requests
	EjectAfterFailures *quetzalunit.Attempts
	EjectMax           *quetzalunit.Percent
	EjectFor           *time.Duration
	DrainTimeout       *time.Duration
	SurviveRackLoss    *bool
}

// Settings are the effective settings of a pool in a zone.
type Settings struct {
	Dispatch DispatchPolicy
	Retry    RetryPolicy
	Move     MovePolicy
	Lanes    LanePolicy
	// RetryMaxAttempts is the maximum number of attempts, including the first.
	RetryMaxAttempts quetzalunit.Attempts
	// RetryBudget is the number of retries that a pool may make, as a share of its first
	// attempts.
	RetryBudget quetzalunit.Percent
	// RetryBase and RetryCap are the initial and the maximum backoff.
	RetryBase time.Duration
	RetryCap  time.Duration
	// LongSlots is the share of a minion's slots that long requests may use.
	LongSlots quetzalunit.Percent
	// ShortRun is the run time from which on an attempt counts as long.
	ShortRun time.Duration
	// QueueLimit is the maximum number of queued requests of a queue at one entry.
	QueueLimit quetzalunit.Requests
	// TeamQueueLimit is the maximum number of queued requests of a team at one entry,
	// unless Team.MaxQueued is set.
	TeamQueueLimit quetzalunit.Requests
	// EjectAfterFailures is the number of consecutive failures that ejects a host.
	EjectAfterFailures quetzalunit.Attempts
	// EjectMax is the largest share of a pool's hosts that may be ejected at once.
	EjectMax quetzalunit.Percent
	// EjectFor is the duration of a host's first ejection; repeated ones last longer.
	EjectFor time.Duration
	// DrainTimeout is the time after which a host that has not drained returns to its pool.
	DrainTimeout time.Duration
	// SurviveRackLoss requires that the availability budget is still met if the rack with
	// most of the pool's hosts fails.
	SurviveRackLoss bool
}

// DefaultSettings returns the settings that apply where no node sets a value.
func DefaultSettings() Settings {
	return Settings{
		Dispatch:           SharedDispatch{},
		Retry:              ExponentialRetry{},
		Move:               SkiRentalMoves{},
		Lanes:              DemoteLanes{},
		RetryMaxAttempts:   4,
		RetryBudget:        20,
		RetryBase:          50 * time.Millisecond,
		RetryCap:           2 * time.Second,
		LongSlots:          50,
		ShortRun:           500 * time.Millisecond,
		QueueLimit:         20_000,
		TeamQueueLimit:     10_000,
		EjectAfterFailures: 5,
		EjectMax:           34,
		EjectFor:           5 * time.Second,
		DrainTimeout:       time.Minute,
		SurviveRackLoss:    false,
	}
}

// Override returns s with its fields replaced by the values that v sets.
func (s Settings) Override(v *SettingValues) Settings {
	override(&s.Dispatch, v.Dispatch)
	override(&s.Retry, v.Retry)
	override(&s.Move, v.Move)
	override(&s.Lanes, v.Lanes)
	override(&s.RetryMaxAttempts, v.RetryMaxAttempts)
	override(&s.RetryBudget, v.RetryBudget)
	override(&s.RetryBase, v.RetryBase)
	override(&s.RetryCap, v.RetryCap)
	override(&s.LongSlots, v.LongSlots)
	override(&s.ShortRun, v.ShortRun)
	override(&s.QueueLimit, v.QueueLimit)
	override(&s.TeamQueueLimit, v.TeamQueueLimit)
	override(&s.EjectAfterFailures, v.EjectAfterFailures)
	override(&s.EjectMax, v.EjectMax)
	override(&s.EjectFor, v.EjectFor)
	override(&s.DrainTimeout, v.DrainTimeout)
	override(&s.SurviveRackLoss, v.SurviveRackLoss)
	return s
}

func override[V any](dst, src *V) {
	if src != nil {
		*dst = *src
	}
}
