package quetzalaccount

import (
	"math"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// This file orders the work of accounts in a full pool, for example while one account sends many
// times its usual or while all send more than the pool holds.

const (
	// aheadTolerance is how much of the time of the whole pool, divided by weight, an account may have had
	// more than another one that waits. Within it the order is that of the jobs' latest starts.
	aheadTolerance = 500 * time.Millisecond
	// rateBurst is the time over which the rate of an account is measured: as much may arrive at once. Callers
	// arrive at random; over a second, an account with few of them often exceeds its rate by chance.
	rateBurst = 2 * time.Second
)

// RateState is the state of an account's rate of arrivals: the instant at which arrivals at exactly the
// account's rate would have reached the present number.
type RateState struct{ ExpectedAt quetzalunit.Instant }

// Arrive counts an arrival and reports whether it is beyond the account's rate of weight jobs per second.
func (s *RateState) Arrive(now quetzalunit.Instant, weight quetzalunit.AccountWeight) bool {
	interval := time.Duration(float64(time.Second) / float64(max(weight, MinWeight)))
	expected := max(s.ExpectedAt, now.Add(-max(rateBurst, interval)))
	if expected.Add(interval) > now {
		return true
	}
	s.ExpectedAt = expected.Add(interval)
	return false
}

// SharePolicy decides which accounts come after the others in a pool that has not enough room for all.
type SharePolicy interface{ implementsSharePolicy() }

type (
	// ByArrival orders no account after another one.
	ByArrival struct{}
	// ByVirtualTime orders accounts after the others that have had more of the pool, by weight, than the
	// one that waits and has had least.
	ByVirtualTime struct{}
	// ByDominantShare orders accounts after the others that use more of the pool now, by weight, than the
	// one that waits and uses least.
	ByDominantShare struct{}
)

func (ByArrival) implementsSharePolicy()       {}
func (ByVirtualTime) implementsSharePolicy()   {}
func (ByDominantShare) implementsSharePolicy() {}

// Contender is an account with work in a pool.
type Contender struct {
	Holding *Holding
	Weight  quetzalunit.AccountWeight
	// Using are the cores of the account's active runs, or what its share of memory amounts to.
	Using quetzalunit.MilliCores
}

// MarkAhead sets Ahead of the holdings of all accounts that wait for room in a pool with the given cores.
func MarkAhead(policy SharePolicy, contenders []Contender, cores quetzalunit.MilliCores) {
	const milli = 1000
	least, weights := math.Inf(1), 0.0
	for i := range contenders {
		h := contenders[i].Holding
		h.Ahead = false
		if h.Backlogged {
			least = min(least, standing(policy, &contenders[i]))
			weights += float64(contenders[i].Weight)
		}
	}
	if weights == 0 {
		return
	}
	tolerance := 0.0
	switch policy.(type) {
	case ByArrival:
		return
	case ByVirtualTime:
		tolerance = aheadTolerance.Seconds() * float64(cores) / milli / weights
	case ByDominantShare:
	}
	for i := range contenders {
		h := contenders[i].Holding
		h.Ahead = h.Backlogged && standing(policy, &contenders[i]) > least+tolerance
		if !h.Backlogged {
			// An account that did not wait gains no claim to what it has not used.
			h.VirtualTime = max(h.VirtualTime, least)
		}
	}
}

// standing returns how much of a pool an account has had, or has, in relation to its weight.
func standing(policy SharePolicy, c *Contender) float64 {
	switch policy.(type) {
	case ByDominantShare:
		return float64(c.Using) / float64(c.Weight)
	default:
		return c.Holding.VirtualTime
	}
}

// Charge advances the virtual time of an account by the cost of a start, in cores times seconds.
func (h *Holding) Charge(cores quetzalunit.MilliCores, runTime time.Duration, weight quetzalunit.AccountWeight) {
	const milli = 1000
	h.VirtualTime += float64(cores) / milli * runTime.Seconds() / float64(max(weight, MinWeight))
}
