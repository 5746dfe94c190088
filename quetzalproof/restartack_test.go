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

// Half of the minions restart at one instant every 3 s, behind connections that stay open, and polls reach them up to
// 0.6 s late, while orders to start pass at once. An acknowledgement of ends of the former process must not count for
// the ends of the next one, which nobody has read. The clocks of the processes are near each other, so that the answers
// to orders do not show the restart.
func TestLatePollsAcknowledgeNoEndsOfALaterProcess(t *testing.T) {
	t.Parallel()
	const (
		rounds     = 6
		period     = 3 * time.Second
		jobPeriod  = 70 * time.Millisecond
		tasksOfJob = 8
		// longestDelay is shorter than the time for which an entry waits for an answer. It gives a minion that misses one no
		// new tasks.
		longestDelay = 600 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(64, 0))
	r := newRig(t, &rigSpec{
		dir: t.TempDir(), Options: quetzalplatformstandin.Options{Seed: 64, ConnsOutlive: true, NearClocks: 1}, zones: 3, entries: 3, minions: 10,
		pools: []quetzalunit.PoolID{"desk"}, cores: 8000,
	})
	minions := r.fleet.Minions()
	endDelays := r.fleet.BeginMinionFault(quetzalplatformstandin.LatePolls{Share: 1, Delay: quetzalplatformstandin.Delay{Most: longestDelay}}, minions...)
	source := jobSource{rng: rng}
	var submissions sync.WaitGroup
	end := time.Now().Add(rounds * period)
	restart := time.Now().Add(period)
	for time.Now().Before(end) {
		j := &quetzalplatformstandin.JobSpec{
			ID: source.id(), Queue: "desk", Steps: []quetzalplatformstandin.StepSpec{{Count: tasksOfJob, Cores: 500, MaxPerMinion: 1}},
			Shortest: 20 * time.Millisecond, Longest: 100 * time.Millisecond,
		}
		attempts := rng.Perm(len(r.entries))
		submissions.Go(func() { r.submitUntilAccepted(j, attempts) })
		if time.Now().After(restart) {
			restart = restart.Add(period)
			var half []quetzalunit.MinionID
			for _, n := range rng.Perm(len(minions))[:len(minions)/2] {
				half = append(half, minions[n])
			}
			r.fleet.RestartMinions(half, quetzalplatformstandin.Delay{Least: 20 * time.Millisecond, Most: 200 * time.Millisecond},
				quetzalplatformstandin.Delay{Most: 1500 * time.Millisecond})
		}
		time.Sleep(jobPeriod)
	}
	submissions.Wait()
	endDelays()
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
