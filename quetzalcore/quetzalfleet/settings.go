package quetzalfleet

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// SettingValues are the values set on one node of the settings tree. A nil
// field is inherited from the node above.
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

// Settings are the effective values of a pool.
type Settings struct {
	Dispatch DispatchPolicy
	Retry    RetryPolicy
	Move     MovePolicy
	Lanes    LanePolicy
	// RetryMaxAttempts counts the first attempt too.
	RetryMaxAttempts quetzalunit.Attempts
	// RetryBudget is the share of first attempts that may be added as retries.
	RetryBudget quetzalunit.Percent
	RetryBase   time.Duration
	RetryCap    time.Duration
	// LongSlots is the share of a minion's slots that long work may take.
	LongSlots quetzalunit.Percent
	// ShortRun is the run time beyond which an attempt counts as long.
	ShortRun           time.Duration
	QueueLimit         quetzalunit.Requests
	TeamQueueLimit     quetzalunit.Requests
	EjectAfterFailures quetzalunit.Attempts
	// EjectMax is the largest share of a pool's hosts that is ejected at once.
	EjectMax        quetzalunit.Percent
	EjectFor        time.Duration
	DrainTimeout    time.Duration
	SurviveRackLoss bool
}

// DefaultSettings returns the values in force where no node sets any.
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

// Override returns s with the values that v sets.
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
