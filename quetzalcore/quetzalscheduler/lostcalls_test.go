package quetzalscheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalwork"
)

// A share of the calls to minions is lost, and carried out late, while a queue has its peak. A lost poll must not keep
// the ends of a minion unknown, nor a lost order to start a task, for longer than the jobs can wait.
func TestJobsMeetObjectivesAtPeakLoadWhileCallsAreLost(t *testing.T) {
	const (
		lost, load = 0.055, 0.7
		seeds      = 4
		// least leaves one job in ten for those of which several calls are lost.
		least = 0.9
	)
	mean := 0.0
	for seed := range uint64(seeds) {
		p := newPeakScenario(30)
		p.fleet.rng = rand.New(rand.NewPCG(seed, 1))
		p.lateOrders, p.latePolls = lost, lost
		p.submitLoad(load, 8*time.Second)
		p.lateOrders, p.latePolls = 0, 0
		p.run(15 * time.Second)
		met, withinTriple := p.shareInTime()
		t.Logf("%d jobs, %.3f in time, %.3f within three times", len(p.submittedAt), met, withinTriple)
		require.Empty(t, p.checker.violations)
		mean += met / seeds
	}
	require.Greater(t, mean, least)
}

// The first order to start a run is still on its way when the second one is answered, and reaches the next process of the minion. The
// task must not start elsewhere beside it, although a later process has answered that order.
func TestSecondOrderToStartOfARestartedMinionStartsNoTaskTwice(t *testing.T) {
	const seed = 0xdc87
	require.Empty(t, playStrictly(seed, allStrict&^(1<<strictWithdrawals)).problems())
}

// An order to start and a poll beside it have no answer. The log tells that both were sent once more.
func TestRepeatedCallsAreLogged(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, testToken))
	d.startsInProgress = true
	lost := false
	d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := d.idle(c)
		if len(d.starts) > 0 && !lost {
			// The answer to a poll that was not sent is ignored.
			lost, in.SentAt = true, 0
		}
		return in
	}
	d.run(2 * time.Second)
	starts := d.loggedWith("The order to start a run is sent once more.")
	require.Len(t, starts, 1)
	require.Equal(t, d.starts[1].Number, starts[0].Run)
	require.Equal(t, testJob, starts[0].Job)
	polls := d.loggedWith("A poll is overdue; the answer to the second one counts.")
	require.Len(t, polls, 1)
	require.Regexp(t, `^Sent\d+ms$`, polls[0].Reason)
	for _, l := range append(starts, polls...) {
		require.EqualValues(t, "m0", l.Minion)
		require.Positive(t, l.Age)
		require.True(t, l.Routine)
	}
}
