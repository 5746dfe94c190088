package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// inTime returns how many of the given jobs were done within a limit after they were submitted.
func (f *fleet) inTime(submitted map[quetzalunit.JobID]quetzalunit.Instant, limit time.Duration) int {
	n := 0
	for id, at := range submitted {
		last := quetzalunit.Instant(0)
		for i := range f.checker.specs[id].Steps[0].TaskCount {
			task := quetzalwork.TaskID{Job: id, TaskRef: quetzalwork.TaskRef{Task: quetzalunit.TaskIndex(i)}}
			if !f.checker.isDone(task) {
				last = f.now.Add(time.Hour)
				break
			}
			for _, r := range f.checker.records[task] {
				last = max(last, r.endedAt)
			}
		}
		if last.Sub(at) <= limit {
			n++
		}
	}
	return n
}

// playHotAccount sends jobs of two steady accounts for six seconds, which use two thirds of the
// pool, and jobs of a hot one at a rate of its own. It returns how many jobs of the steady accounts
// were in time, and their number.
func playHotAccount(t *testing.T, hotEvery time.Duration) (inTime, sent int) {
	t.Helper()
	f := newAccountFleet(1, 3, 16, accountConfig(
		quetzalaccount.Spec{ID: "one", Weight: 12}, quetzalaccount.Spec{ID: "two", Weight: 12}, quetzalaccount.Spec{ID: "hot", Weight: 6},
	))
	f.runTime = func(quetzalwork.TaskID) time.Duration { return 400 * time.Millisecond }
	f.run(3 * time.Second)
	steady := make(map[quetzalunit.JobID]quetzalunit.Instant)
	begin := f.now
	for f.now < begin.Add(6*time.Second) {
		for i, account := range []quetzalunit.AccountID{"one", "two"} {
			steady[f.submitTo(f.entries[i], deskPrefix, account, testStep(3))] = f.now
		}
		for range int(100 * time.Millisecond / hotEvery) {
			f.submitTo(f.entries[2], deskPrefix, "hot", testStep(3))
		}
		f.run(100 * time.Millisecond)
	}
	f.run(40 * time.Second)
	require.Empty(t, f.checker.violations)
	require.Empty(t, f.checker.unfinished())
	return f.inTime(steady, 1700*time.Millisecond), len(steady)
}

// One account sends ten times its rate. It must cost the others nothing beyond a few jobs of its first burst.
func TestHotAccountCostsTheOthersNothing(t *testing.T) {
	calm, n := playHotAccount(t, 100*time.Millisecond)
	hot, _ := playHotAccount(t, time.Second/60)
	t.Logf("of %d jobs of the other accounts %d are in time beside an account within its rate, %d beside one far beyond", n, calm, hot)
	require.GreaterOrEqual(t, calm, n*95/100)
	require.GreaterOrEqual(t, hot, calm-n*5/100)
}

// Three accounts send more than the pool holds, all within their rates. What they get must follow
// their weights.
func TestFullPoolIsSharedByWeight(t *testing.T) {
	weights := map[quetzalunit.AccountID]quetzalunit.AccountWeight{"one": 100, "two": 200, "four": 400}
	var specs []quetzalaccount.Spec
	for id, weight := range weights {
		specs = append(specs, quetzalaccount.Spec{ID: id, Weight: weight})
	}
	cfg := accountConfig(specs...)
	cfg.Queues[0].TargetDuration = time.Minute
	f := newAccountFleet(1, 3, 16, cfg)
	f.runTime = func(quetzalwork.TaskID) time.Duration { return 400 * time.Millisecond }
	f.run(3 * time.Second)
	// The account with the smallest weight sends first and most.
	for range 60 {
		for id := range weights {
			f.submitTo(f.entries[0], deskPrefix, id, testStep(4))
		}
		f.submitTo(f.entries[1], deskPrefix, "one", testStep(4))
	}
	f.run(4 * time.Second)
	done := make(map[quetzalunit.AccountID]float64)
	for task, records := range f.checker.records {
		for _, r := range records {
			if r.over && r.end == quetzalwork.OutcomeDone {
				done[f.checker.accounts[task.Job]]++
			}
		}
	}
	total := done["one"] + done["two"] + done["four"]
	t.Logf("tasks done: %v", done)
	for id, weight := range weights {
		require.InDelta(t, float64(weight)/700, done[id]/total, 0.05, id)
	}
	// The 8 minions run 32 tasks at a time.
	require.Greater(t, total, 0.8*32*4/0.4, "the pool is not left idle")
}
