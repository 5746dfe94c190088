package quetzalscheduler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	waitMessage  = "Long-running tasks wait."
	endMessage   = "Long-running tasks run again."
	stallMessage = "No task of the pool starts although minions have room."
)

// loggedLine is a log line with the instant at which it was written.
type loggedLine struct {
	quetzalwork.Decision
	at quetzalunit.Instant
}

// recordLog returns a function that returns the lines with a message since the call of recordLog.
func (f *fleet) recordLog() func(message string) []loggedLine {
	var lines []loggedLine
	f.onLog = func(d quetzalwork.Decision) {
		lines = append(lines, loggedLine{d, f.now})
	}
	return func(message string) []loggedLine {
		return slices.DeleteFunc(slices.Clone(lines), func(l loggedLine) bool { return l.Message != message })
	}
}

// reasonsOf returns the reasons of lines, without repetitions in a row.
func reasonsOf(lines []loggedLine) []string {
	var reasons []string
	for _, l := range lines {
		reasons = append(reasons, l.Reason)
	}
	return slices.Compact(reasons)
}

// oneAccount returns a configuration with one account of a given cap.
func oneAccount(cores quetzalunit.MilliCores) quetzalwork.FleetConfig {
	return accountConfig(quetzalaccount.Spec{ID: "a", Weight: 100, Cap: quetzalunit.Resources{Cores: cores}})
}

// The account runs its cap in the pool in which its long-running task waits.
func TestLogTellsThatAnAccountIsAtItsCap(t *testing.T) {
	f := newAccountFleet(1, 3, 8, oneAccount(4000))
	lines := f.recordLog()
	f.run(3 * time.Second)
	id := f.submitTo(f.entries[0], deskPrefix, "a", longStep(3))
	f.run(3 * time.Second)
	require.Equal(t, 2, f.checker.running(id))
	require.Contains(t, reasonsOf(lines(waitMessage)), "AccountAtCap")
	require.NotContains(t, reasonsOf(lines(waitMessage)), "NotYet")
}

// Another pool runs short tasks on all of the account's cap and wants no more. The long-running task may have
// a part, but waits until they end.
func TestLogTellsThatOtherPoolsHoldTheCap(t *testing.T) {
	f := newAccountFleet(1, 3, 16, oneAccount(8000))
	f.runTime = func(quetzalwork.TaskID) time.Duration { return 5 * time.Second }
	lines := f.recordLog()
	f.run(3 * time.Second)
	f.submitTo(f.entries[0], hallPrefix, "a", testStep(4))
	f.run(time.Second)
	id := f.submitTo(f.entries[1], deskPrefix, "a", longStep(1))
	f.run(8 * time.Second)
	require.Equal(t, 1, f.checker.running(id))
	require.Equal(t, []string{"AccountPartTooSmall", "AccountCapInOtherPools", "AccountPartTooSmall"}, reasonsOf(lines(waitMessage)))
	ends := lines(endMessage)
	require.Len(t, ends, 1)
	require.Equal(t, "AccountCapInOtherPools", ends[0].Reason)
	require.InDelta(t, 4*time.Second, ends[0].Age, float64(500*time.Millisecond))
}

// Long-running tasks of an account in two pools need more than its cap. Those beyond what the other pool leaves wait.
func TestLogTellsThatAPoolUsesItsFairPart(t *testing.T) {
	f := newAccountFleet(1, 3, 16, oneAccount(8000))
	lines := f.recordLog()
	f.run(3 * time.Second)
	f.submitTo(f.entries[0], hallPrefix, "a", longStep(2))
	f.run(time.Second)
	id := f.submitTo(f.entries[1], deskPrefix, "a", longStep(4))
	f.run(5 * time.Second)
	require.Equal(t, 2, f.checker.running(id))
	waits := lines(waitMessage)
	require.Equal(t, "AccountAtFairPart", waits[len(waits)-1].Reason)
}

// Short tasks keep a long-running task waiting for room. The log repeats that each two seconds, although the
// reason does not change, with the time since the task could have run.
func TestLongWaitIsLoggedAgainAndItsEnd(t *testing.T) {
	f := newFleet(1, threeZones[:1], 2, 1, testConfig())
	f.runTime = func(quetzalwork.TaskID) time.Duration { return 7 * time.Second }
	lines := f.recordLog()
	f.run(3 * time.Second)
	f.submit(f.entries[0], testStep(4))
	f.run(time.Second)
	id := f.submit(f.entries[0], longStep(1))
	f.run(8 * time.Second)
	require.Equal(t, 1, f.checker.running(id))
	waits := lines(waitMessage)
	require.Equal(t, []string{"NoRoom"}, reasonsOf(waits))
	require.Len(t, waits, 3)
	for i, l := range waits {
		require.InDelta(t, time.Duration(i)*2*time.Second, l.Age, float64(150*time.Millisecond*time.Duration(i+1)))
		require.Equal(t, id, l.Job)
	}
	ends := lines(endMessage)
	require.Len(t, ends, 1)
	require.Equal(t, "NoRoom", ends[0].Reason)
	require.InDelta(t, 6*time.Second, ends[0].Age, float64(300*time.Millisecond))
}

// A run of a long-running task fails at once, so that the task waits between two attempts.
func TestLogTellsThatATaskWaitsAfterAFailure(t *testing.T) {
	f := newFleet(1, threeZones[:1], 2, 2, testConfig())
	lines := f.recordLog()
	f.run(3 * time.Second)
	id := f.submit(f.entries[0], longStep(1))
	f.run(time.Second)
	for _, m := range f.order {
		for _, task := range m.runningTasks() {
			m.end(task, quetzalwork.OutcomeFailed)
		}
	}
	f.run(time.Second)
	require.Equal(t, 1, f.checker.running(id))
	require.Equal(t, []string{"RetryDelay"}, reasonsOf(lines(waitMessage)))
	require.Equal(t, []string{"RetryDelay"}, reasonsOf(lines(endMessage)))
}

func TestLogTellsThatALimitPerMinionKeepsTasksWaiting(t *testing.T) {
	f := newFleet(1, threeZones[:1], 2, 2, testConfig())
	lines := f.recordLog()
	f.run(3 * time.Second)
	step := longStep(3)
	step.MaxPerMinion = 1
	f.submit(f.entries[0], step)
	f.run(time.Second)
	require.Equal(t, []string{"LimitPerMinion"}, reasonsOf(lines(waitMessage)))
}

func TestLogTellsThatNoMinionIsPermitted(t *testing.T) {
	f := newFleet(1, threeZones[:1], 2, 2, testConfig())
	lines := f.recordLog()
	f.run(3 * time.Second)
	step := longStep(1)
	step.RequiredLabel = "absent"
	f.submit(f.entries[0], step)
	f.run(time.Second)
	require.Equal(t, []string{"NoPermittedMinion"}, reasonsOf(lines(waitMessage)))
}

func TestLogTellsThatTheAdvisorHasNotAnswered(t *testing.T) {
	cfg := testConfig()
	cfg.Queues[0].Advice = &quetzalwork.AdviceSpec{}
	f := newFleet(1, threeZones[:1], 2, 2, cfg)
	lines := f.recordLog()
	f.run(3 * time.Second)
	id := f.submit(f.entries[0], longStep(1))
	f.run(time.Second)
	require.Equal(t, 1, f.checker.running(id))
	require.Equal(t, []string{"AdviceOutstanding"}, reasonsOf(lines(waitMessage)))
}

// A task that may have crashed its minion waits for one without runs, which none is.
func TestLogTellsThatASuspectTaskWaitsForAnIdleMinion(t *testing.T) {
	f := newFleet(1, threeZones[:1], 2, 2, testConfig())
	f.downtime = 500 * time.Millisecond
	lines := f.recordLog()
	f.run(3 * time.Second)
	f.submit(f.entries[0], longStep(2))
	f.run(3 * time.Second)
	f.submitDeadly(f.entries[0], longStep(1))
	f.run(12 * time.Second)
	require.Contains(t, reasonsOf(lines(waitMessage)), "SuspectNeedsIdleMinion")
}

// The orders to start have no answer and may still be carried out, so that the task counts as active.
func TestLogTellsThatAnOrderToStartIsNotAnswered(t *testing.T) {
	f := newFleet(1, threeZones[:1], 2, 2, testConfig())
	lines := f.recordLog()
	f.run(3 * time.Second)
	f.lateOrders = 1
	f.submit(f.entries[0], longStep(1))
	f.run(2500 * time.Millisecond)
	require.Contains(t, reasonsOf(lines(waitMessage)), "StartUnanswered")
	require.InDelta(t, 2*time.Second, lines(waitMessage)[0].Age, float64(200*time.Millisecond))
}

// The store is silent, so that the dispatcher may start nothing, and no placement pass runs. The log tells
// both of the long-running task and of the pool, and once a second at most of the latter.
func TestLogTellsThatAPoolStartsNothing(t *testing.T) {
	f := newFleet(1, threeZones[:1], 2, 2, testConfig())
	f.runTime = func(quetzalwork.TaskID) time.Duration { return 4 * time.Second }
	lines := f.recordLog()
	f.run(3 * time.Second)
	f.submit(f.entries[0], testStep(2), testStep(2, 0))
	long := f.submit(f.entries[0], longStep(1))
	f.run(time.Second)
	require.Empty(t, lines(stallMessage))
	f.storeDown = true
	f.run(3100 * time.Millisecond)
	for _, m := range f.order {
		for _, task := range m.runningTasks() {
			if task.Job == long {
				m.end(task, quetzalwork.OutcomeStopped)
			}
		}
	}
	f.run(3 * time.Second)
	stalls := lines(stallMessage)
	require.Equal(t, []string{"DutyNotConfirmed"}, reasonsOf(stalls))
	for i := range stalls[1:] {
		require.GreaterOrEqual(t, stalls[i+1].at.Sub(stalls[i].at), time.Second)
	}
	require.GreaterOrEqual(t, len(stalls), 2)
	require.Contains(t, reasonsOf(lines(waitMessage)), "DutyNotConfirmed")
	f.storeDown = false
}

// A pool without room, and one that has no work, are no stall.
func TestFullOrIdlePoolIsNotLoggedAsStalled(t *testing.T) {
	f := newFleet(1, threeZones[:1], 2, 1, testConfig())
	f.runTime = func(quetzalwork.TaskID) time.Duration { return 4 * time.Second }
	lines := f.recordLog()
	f.run(3 * time.Second)
	f.submit(f.entries[0], testStep(8))
	f.run(12 * time.Second)
	f.submit(f.entries[0], testStep(1))
	runAndVerify(t, f, 10*time.Second)
	require.Empty(t, lines(stallMessage))
}

// Whatever keeps a task waiting in a fleet with faults has a reason of its own, a wait of more than two
// seconds is logged again, and the lines on a step are bounded.
func TestEveryWaitHasAReason(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		f := newAccountFleet(seed, rapid.IntRange(2, 5).Draw(t, "entries"), rapid.IntRange(4, 10).Draw(t, "minions"), oneAccount(12000))
		f.lateOrders = rapid.SampledFrom([]float64{0, 0, 0.05}).Draw(t, "late")
		f.latePolls = f.lateOrders
		type stepOfJob struct {
			job   quetzalunit.JobID
			step  quetzalunit.StepIndex
			token int64
		}
		written := make(map[stepOfJob][]quetzalunit.Instant)
		f.onLog = func(d quetzalwork.Decision) {
			switch d.Message {
			case waitMessage, stallMessage:
				if d.Reason == "" || d.Reason == "NotYet" {
					t.Fatalf("%v: %s job %s for %v without a reason: %q", f.now, d.Message, d.Job, d.Age, d.Reason)
				}
			}
			if d.Message == waitMessage {
				key := stepOfJob{d.Job, d.Task.Step, d.Version}
				written[key] = append(written[key], f.now)
			}
		}
		f.run(3 * time.Second)
		rng := rand.New(rand.NewPCG(seed, 2))
		submit := func() {
			step := testStep(quetzalunit.Tasks(1 + rng.IntN(4)))
			step.LongRunning = rng.IntN(4) == 0
			f.submitTo(f.entries[rng.IntN(len(f.entries))], []string{deskPrefix, hallPrefix}[rng.IntN(2)], "a", step)
			f.run(time.Duration(rng.IntN(250)) * time.Millisecond)
		}
		for i, fault := range rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 13}), 1, 4).Draw(t, "faults") {
			for range 8 {
				submit()
			}
			injectFault(f, rng, fault, i)
		}
		f.run(15 * time.Second)
		for key, at := range written {
			const most = 6
			for i := range at {
				if i >= most && at[i].Sub(at[i-most]) < 2*time.Second {
					t.Fatalf("job %s: %d lines in %v", key.job, most, at[i].Sub(at[i-most]))
				}
			}
		}
	})
}
