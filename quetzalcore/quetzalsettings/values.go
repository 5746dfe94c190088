package quetzalsettings

import (
	"fmt"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

// FieldError reports a field with an invalid value.
type FieldError struct {
	Field   string
	Value   string
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s %s", e.Field, e.Value, e.Problem)
}

// checker keeps the first error found while fields are parsed.
type checker struct {
	err error
}

func (c *checker) fail(field, value, problem string) {
	if c.err == nil {
		c.err = &FieldError{Field: field, Value: value, Problem: problem}
	}
}

// parseNumber converts an optional number and checks that it is between low and high.
func parseNumber[T ~int32 | ~int64](c *checker, field string, v *int, low, high int) *T {
	if v == nil {
		return nil
	}
	if *v < low || *v > high {
		c.fail(field, fmt.Sprint(*v), fmt.Sprintf("is not between %d and %d", low, high))
	}
	n := T(*v)
	return &n
}

// parseMillis converts an optional duration of 1 to high milliseconds.
func parseMillis(c *checker, field string, v *int, high int) *time.Duration {
	n := parseNumber[int64](c, field, v, 1, high)
	if n == nil {
		return nil
	}
	d := time.Duration(*n) * time.Millisecond
	return &d
}

// parsePolicy converts the optional name of a policy.
func parsePolicy[S ~string, P any](c *checker, field string, v *S, policies map[S]P) *P {
	if v == nil {
		return nil
	}
	p, ok := policies[*v]
	if !ok {
		c.fail(field, fmt.Sprintf("%q", string(*v)), "is not one of the policies of the settings reference")
	}
	return &p
}

// Upper bounds of the values; wire.yaml documents the same numbers.
const (
	maxPercent   = 100
	maxAttempts  = 100
	maxFailures  = 1000
	maxQueued    = 1_000_000
	minuteMs     = 60_000
	tenMinutesMs = 600_000
	hourMs       = 3_600_000
	dayMs        = 86_400_000
)

// ParseValues validates and converts the values of a settings node. It returns the
// first error.
func ParseValues(v *quetzalwire.SettingValues) (quetzalfleet.SettingValues, error) {
	var c checker
	parsed := quetzalfleet.SettingValues{
		Dispatch:           parsePolicy(&c, "DispatchPolicy", v.DispatchPolicy, dispatchPolicies),
		Retry:              parsePolicy(&c, "RetryPolicy", v.RetryPolicy, retryPolicies),
		Move:               parsePolicy(&c, "MovePolicy", v.MovePolicy, movePolicies),
		Lanes:              parsePolicy(&c, "LanePolicy", v.LanePolicy, lanePolicies),
		RetryMaxAttempts:   parseNumber[quetzalunit.Attempts](&c, "RetryMaxAttempts", v.RetryMaxAttempts, 1, maxAttempts),
		RetryBudget:        parseNumber[quetzalunit.Percent](&c, "RetryBudgetPercent", v.RetryBudgetPercent, 0, maxPercent),
		RetryBase:          parseMillis(&c, "RetryBaseMs", v.RetryBaseMs, minuteMs),
		RetryCap:           parseMillis(&c, "RetryCapMs", v.RetryCapMs, tenMinutesMs),
		LongSlots:          parseNumber[quetzalunit.Percent](&c, "LongSlotsPercent", v.LongSlotsPercent, 1, maxPercent),
		ShortRun:           parseMillis(&c, "ShortRunMs", v.ShortRunMs, hourMs),
		QueueLimit:         parseNumber[quetzalunit.Requests](&c, "QueueLimit", v.QueueLimit, 1, maxQueued),
		TeamQueueLimit:     parseNumber[quetzalunit.Requests](&c, "TeamQueueLimit", v.TeamQueueLimit, 1, maxQueued),
		EjectAfterFailures: parseNumber[quetzalunit.Attempts](&c, "EjectAfterFailures", v.EjectAfterFailures, 1, maxFailures),
		EjectMax:           parseNumber[quetzalunit.Percent](&c, "EjectMaxPercent", v.EjectMaxPercent, 0, maxPercent),
		EjectFor:           parseMillis(&c, "EjectMs", v.EjectMs, hourMs),
		DrainTimeout:       parseMillis(&c, "DrainTimeoutMs", v.DrainTimeoutMs, dayMs),
		SurviveRackLoss:    v.SurviveRackLoss,
	}
	return parsed, c.err
}

var (
	dispatchPolicies = map[quetzalwire.SettingValuesDispatchPolicy]quetzalfleet.DispatchPolicy{
		quetzalwire.SettingValuesDispatchPolicyShared: quetzalfleet.SharedDispatch{},
		quetzalwire.SettingValuesDispatchPolicyFixed:  quetzalfleet.FixedDispatch{},
		quetzalwire.SettingValuesDispatchPolicyBorrow: quetzalfleet.BorrowDispatch{},
	}
	retryPolicies = map[quetzalwire.SettingValuesRetryPolicy]quetzalfleet.RetryPolicy{
		quetzalwire.SettingValuesRetryPolicyNone:        quetzalfleet.NoRetry{},
		quetzalwire.SettingValuesRetryPolicyExponential: quetzalfleet.ExponentialRetry{},
		quetzalwire.SettingValuesRetryPolicyFourPhase:   quetzalfleet.FourPhaseRetry{},
	}
	movePolicies = map[quetzalwire.SettingValuesMovePolicy]quetzalfleet.MovePolicy{
		quetzalwire.SettingValuesMovePolicyFixed:     quetzalfleet.NoDemandMoves{},
		quetzalwire.SettingValuesMovePolicyReactive:  quetzalfleet.ReactiveMoves{},
		quetzalwire.SettingValuesMovePolicySkiRental: quetzalfleet.SkiRentalMoves{},
	}
	lanePolicies = map[quetzalwire.SettingValuesLanePolicy]quetzalfleet.LanePolicy{
		quetzalwire.SettingValuesLanePolicyOpen:    quetzalfleet.OpenLanes{},
		quetzalwire.SettingValuesLanePolicyReserve: quetzalfleet.ReserveLanes{},
		quetzalwire.SettingValuesLanePolicyDemote:  quetzalfleet.DemoteLanes{},
	}
)

func dispatchName(p quetzalfleet.DispatchPolicy) quetzalwire.SettingValuesDispatchPolicy {
	switch p.(type) {
	case quetzalfleet.FixedDispatch:
		return quetzalwire.SettingValuesDispatchPolicyFixed
	case quetzalfleet.BorrowDispatch:
		return quetzalwire.SettingValuesDispatchPolicyBorrow
	default:
		return quetzalwire.SettingValuesDispatchPolicyShared
	}
}

func retryName(p quetzalfleet.RetryPolicy) quetzalwire.SettingValuesRetryPolicy {
	switch p.(type) {
	case quetzalfleet.NoRetry:
		return quetzalwire.SettingValuesRetryPolicyNone
	case quetzalfleet.FourPhaseRetry:
		return quetzalwire.SettingValuesRetryPolicyFourPhase
	default:
		return quetzalwire.SettingValuesRetryPolicyExponential
	}
}

func moveName(p quetzalfleet.MovePolicy) quetzalwire.SettingValuesMovePolicy {
	switch p.(type) {
	case quetzalfleet.NoDemandMoves:
		return quetzalwire.SettingValuesMovePolicyFixed
	case quetzalfleet.ReactiveMoves:
		return quetzalwire.SettingValuesMovePolicyReactive
	default:
		return quetzalwire.SettingValuesMovePolicySkiRental
	}
}

func laneName(p quetzalfleet.LanePolicy) quetzalwire.SettingValuesLanePolicy {
	switch p.(type) {
	case quetzalfleet.OpenLanes:
		return quetzalwire.SettingValuesLanePolicyOpen
	case quetzalfleet.ReserveLanes:
		return quetzalwire.SettingValuesLanePolicyReserve
	default:
		return quetzalwire.SettingValuesLanePolicyDemote
	}
}

// FormatValues converts the values of a settings node to their JSON form; it is the
// inverse of ParseValues.
func FormatValues(v *quetzalfleet.SettingValues) quetzalwire.SettingValues {
	return quetzalwire.SettingValues{
		DispatchPolicy:     formatOptional(v.Dispatch, dispatchName),
		RetryPolicy:        formatOptional(v.Retry, retryName),
		MovePolicy:         formatOptional(v.Move, moveName),
		LanePolicy:         formatOptional(v.Lanes, laneName),
		RetryMaxAttempts:   formatOptional(v.RetryMaxAttempts, toInt),
		RetryBudgetPercent: formatOptional(v.RetryBudget, toInt),
		RetryBaseMs:        formatOptional(v.RetryBase, toMillis),
		RetryCapMs:         formatOptional(v.RetryCap, toMillis),
		LongSlotsPercent:   formatOptional(v.LongSlots, toInt),
		ShortRunMs:         formatOptional(v.ShortRun, toMillis),
		QueueLimit:         formatOptional(v.QueueLimit, toInt),
		TeamQueueLimit:     formatOptional(v.TeamQueueLimit, toInt),
		EjectAfterFailures: formatOptional(v.EjectAfterFailures, toInt),
		EjectMaxPercent:    formatOptional(v.EjectMax, toInt),
		EjectMs:            formatOptional(v.EjectFor, toMillis),
		DrainTimeoutMs:     formatOptional(v.DrainTimeout, toMillis),
		SurviveRackLoss:    v.SurviveRackLoss,
	}
}

// FormatEffective converts effective settings to their JSON form, with every field set.
func FormatEffective(s *quetzalfleet.Settings) quetzalwire.SettingValues {
	return FormatValues(&quetzalfleet.SettingValues{
		Dispatch: &s.Dispatch, Retry: &s.Retry, Move: &s.Move, Lanes: &s.Lanes,
		RetryMaxAttempts: &s.RetryMaxAttempts, RetryBudget: &s.RetryBudget,
		RetryBase: &s.RetryBase, RetryCap: &s.RetryCap, LongSlots: &s.LongSlots, ShortRun: &s.ShortRun,
		QueueLimit: &s.QueueLimit, TeamQueueLimit: &s.TeamQueueLimit,
		EjectAfterFailures: &s.EjectAfterFailures, EjectMax: &s.EjectMax, EjectFor: &s.EjectFor,
		DrainTimeout: &s.DrainTimeout, SurviveRackLoss: &s.SurviveRackLoss,
	})
}

// formatOptional converts an optional value.
func formatOptional[V, W any](v *V, convert func(V) W) *W {
	if v == nil {
		return nil
	}
	converted := convert(*v)
	return &converted
}

func toInt[N ~int32](n N) int {
	return int(n)
}

func toMillis(d time.Duration) int {
	return int(d.Milliseconds())
}
