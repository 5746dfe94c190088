package quetzalaccount_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
)

func TestArrivalsBeyondTheRateAreSurplus(t *testing.T) {
	var s quetzalaccount.RateState
	now := quetzalunit.InstantOf(time.Unix(1000, 0))
	surplus := 0
	for range 600 {
		if s.Arrive(now, 10) {
			surplus++
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.InDelta(t, 600-6*10-20, surplus, 2, "ten a second for six seconds, and two seconds' worth at once")
	now = now.Add(time.Minute)
	for range 20 {
		require.False(t, s.Arrive(now, 10))
	}
	require.True(t, s.Arrive(now, 10))
}

// load is the work of one account in TestSharePoliciesOnTheSameLoad: jobs of one task, each with a
// limit for its end.
type load struct {
	account quetzalunit.AccountID
	weight  quetzalunit.AccountWeight
	every   time.Duration
	runTime time.Duration
}

// job is a job of a load.
type job struct {
	load      int
	arrivedAt time.Duration
	latest    time.Duration
}

// playPolicy serves the loads with 20 servers for 20 s, in the order of a policy and of the latest
// starts. It returns the share of each load's jobs that were in time.
func playPolicy(policy quetzalaccount.SharePolicy, loads []load) []float64 {
	const servers, limit = 20, 1500 * time.Millisecond
	holdings := make([]quetzalaccount.Holding, len(loads))
	inTime, sent := make([]float64, len(loads)), make([]float64, len(loads))
	var waiting []job
	var busyUntil [servers]time.Duration
	using := make([][]time.Duration, len(loads))
	for now := time.Duration(0); now < 20*time.Second; now += 5 * time.Millisecond {
		for i, l := range loads {
			for at := now; at < now+5*time.Millisecond; at += 100 * time.Microsecond {
				if at%l.every == 0 {
					waiting = append(waiting, job{i, at, at + limit - l.runTime})
					sent[i]++
				}
			}
		}
		waiting = slices.DeleteFunc(waiting, func(j job) bool { return j.latest < now })
		var contenders []quetzalaccount.Contender
		for i, l := range loads {
			using[i] = slices.DeleteFunc(using[i], func(end time.Duration) bool { return end <= now })
			holdings[i].Backlogged = slices.ContainsFunc(waiting, func(j job) bool { return j.load == i })
			contenders = append(contenders, quetzalaccount.Contender{Holding: &holdings[i], Weight: l.weight, Using: quetzalunit.MilliCores(1000 * len(using[i]))})
		}
		quetzalaccount.MarkAhead(policy, contenders, servers*1000)
		ahead := func(j job) int {
			if holdings[j.load].Ahead {
				return 1
			}
			return 0
		}
		slices.SortStableFunc(waiting, func(a, b job) int { return cmp.Or(cmp.Compare(ahead(a), ahead(b)), cmp.Compare(a.latest, b.latest)) })
		for i := range busyUntil {
			if busyUntil[i] > now || len(waiting) == 0 {
				continue
			}
			j := waiting[0]
			waiting = waiting[1:]
			l := loads[j.load]
			busyUntil[i] = now + l.runTime
			using[j.load] = append(using[j.load], busyUntil[i])
			holdings[j.load].Charge(1000, l.runTime, l.weight)
			inTime[j.load]++
		}
	}
	for i := range inTime {
		inTime[i] /= max(1, sent[i])
	}
	return inTime
}

// An account sends ten times its share beside three that keep to theirs; one of these has short
// tasks, one is small.
func TestSharePoliciesOnTheSameLoad(t *testing.T) {
	loads := []load{
		{"hot", 10, 5 * time.Millisecond, 500 * time.Millisecond},
		{"steady", 10, 50 * time.Millisecond, 300 * time.Millisecond},
		{"short", 10, 20 * time.Millisecond, 100 * time.Millisecond},
		{"small", 2, 200 * time.Millisecond, 200 * time.Millisecond},
	}
	arrival := playPolicy(quetzalaccount.ByArrival{}, loads)
	virtual := playPolicy(quetzalaccount.ByVirtualTime{}, loads)
	dominant := playPolicy(quetzalaccount.ByDominantShare{}, loads)
	t.Logf("in time (hot, steady, short, small): by arrival %.2f, by virtual time %.2f, by dominant share %.2f", arrival, virtual, dominant)
	for i := 1; i < len(loads); i++ {
		require.Greater(t, virtual[i], 0.95, loads[i].account)
		require.Greater(t, virtual[i], arrival[i], loads[i].account)
	}
	require.Greater(t, virtual[0], 0.05, "the rest goes to the hot account")
}
