package quetzalscheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
)

// playLargeAmongSmall submits jobs for 8 s of which one in eight has tasks with the given cores,
// three quarters of a minion, the others a tenth. It returns the shares of both that were in time,
// as means over seeds. Estimates are off by a factor of 2.5.
func playLargeAmongSmall(t *testing.T, load float64, cores quetzalunit.MilliCores) (small, large float64) {
	t.Helper()
	const seeds, minions, duration = 4, 30, 8 * time.Second
	var met, sent [2]float64
	for seed := range uint64(seeds) {
		p := newPeakScenario(minions)
		p.entries[0].world.Bounds.KeepGaps = true
		p.fleet.rng, p.rng = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 7))
		submitted := [2]map[quetzalunit.JobID]quetzalunit.Instant{make(map[quetzalunit.JobID]quetzalunit.Instant), make(map[quetzalunit.JobID]quetzalunit.Instant)}
		n := int(load * duration.Seconds() * minions / p.kind.work() * 0.7)
		for i := range n {
			kind := 0
			p.kind.cores, p.kind.memory = smallTasks.cores, smallTasks.memory
			if i%8 == 0 {
				kind, p.kind.cores, p.kind.memory = 1, cores, 30000
			}
			p.submittedAt = submitted[kind]
			p.submitJob(1 + (i*3%5)/2)
			p.run(duration / time.Duration(n))
		}
		p.run(15 * time.Second)
		require.Empty(t, p.checker.violations)
		for kind := range submitted {
			p.submittedAt = submitted[kind]
			share, _ := p.shareInTime()
			met[kind] += share * float64(len(submitted[kind]))
			sent[kind] += float64(len(submitted[kind]))
		}
	}
	return met[0] / sent[0], met[1] / sent[1]
}

// Small tasks use each gap before it is wide enough for a large one. In a pool with room for all of
// them, the large tasks must be in time about as often as the small ones.
func TestLargeTasksGetGapsAmongSmallOnes(t *testing.T) {
	small, large := playLargeAmongSmall(t, 0.8, 24000)
	t.Logf("in time: small %.3f, large %.3f", small, large)
	require.Greater(t, small, 0.95)
	require.InDelta(t, small, large, 0.05)
}

// More work arrives than the pool has room for. Gaps for large tasks must not cost the small ones
// more than one job in twenty.
func TestGapsCostSmallTasksLittleBeyondCapacity(t *testing.T) {
	small, large := playLargeAmongSmall(t, 1.3, 16000)
	t.Logf("in time: small %.3f, large %.3f", small, large)
	require.Greater(t, small, 0.9)
}
