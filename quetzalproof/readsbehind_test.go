package quetzalproof

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/platform/quetzalplatformstandin"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Reads of changes show none for 4.5 s, then the store drops its history. The entries take the pool over from a dispatcher that works on.
// What it stores and acknowledges meanwhile must not run again.
func TestTakeoversWhileReadsAreBehindStartNoTaskTwice(t *testing.T) {
	t.Parallel()
	const (
		rounds     = 4
		period     = 9 * time.Second
		behind     = 4500 * time.Millisecond
		jobPeriod  = 50 * time.Millisecond
		tasksOfJob = 8
	)
	rng := rand.New(rand.NewPCG(73, 0))
	r := newRig(t, &rigSpec{
		dir: t.TempDir(), Options: quetzalplatformstandin.Options{Seed: 73, ConnsOutlive: true, NearClocks: 1}, zones: 3, entries: 6, minions: 10,
		pools: []quetzalunit.PoolID{"desk"}, cores: 8000,
	})
	source := jobSource{rng: rng}
	var submissions sync.WaitGroup
	submissions.Go(func() {
		for range rounds {
			time.Sleep(period - behind)
			end := r.fleet.BeginStoreFault(quetzalplatformstandin.FeedBehind{Reads: true})
			time.Sleep(behind)
			end()
			r.fleet.CompactStore()
		}
	})
	for end := time.Now().Add(rounds * period); time.Now().Before(end); time.Sleep(jobPeriod) {
		j := &quetzalplatformstandin.JobSpec{
			ID: source.id(), Queue: "desk", Steps: []quetzalplatformstandin.StepSpec{{Count: tasksOfJob, Cores: 500, MaxPerMinion: 1}},
			Shortest: 20 * time.Millisecond, Longest: 100 * time.Millisecond,
		}
		attempts := rng.Perm(len(r.entries))
		submissions.Go(func() { r.submitUntilAccepted(j, attempts) })
	}
	submissions.Wait()
	r.finish(20 * time.Second)
	t.Log(r.fleet)
	repeated := 0
	rules := []quetzalplatformstandin.Rule{quetzalplatformstandin.StartAfterDone, quetzalplatformstandin.DoneAfterStart, quetzalplatformstandin.RunsAtOnce}
	for _, v := range r.fleet.Violations() {
		t.Log(v.String())
		if slices.Contains(rules, v.Rule) {
			repeated++
		}
	}
	require.Zero(t, repeated, "starts of tasks that were done or active")
}
