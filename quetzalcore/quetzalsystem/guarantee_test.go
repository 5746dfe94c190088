package quetzalsystem_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsimulation"
	"quetzalstair/quetzalcore/quetzalunit"
)

// smallFleet returns two zones with three entries each, and four pools of which one is
// spare and one has hosts only in zone b.
func smallFleet() *quetzalsimulation.FleetSpec {
	drain := 3 * time.Second
	return &quetzalsimulation.FleetSpec{
		Zones:          []quetzalunit.ZoneID{"a", "b"},
		EntriesPerZone: 3,
		HostsPerRack:   2,
		Pools: []quetzalsimulation.PoolSpec{
			{ID: "proofs", HostsPerZone: 2, MinHosts: 1},
			{ID: "editions", HostsPerZone: 1, MinHosts: 1},
			{ID: "leaflets", Spare: true, HostsPerZone: 3, MinHosts: 1},
			{ID: "posters", HostsPerZone: 1, MinHosts: 1, Zones: []quetzalunit.ZoneID{"b"}},
		},
		Settings: quetzalfleet.SettingValues{DrainTimeout: &drain},
	}
}

func newTrial(t require.TestingT, seed uint64, spec *quetzalsimulation.FleetSpec) *quetzalsimulation.Simulation {
	trial := quetzalsimulation.New(seed)
	require.NoError(t, trial.BuildFleet(spec))
	return trial
}

// request returns a request for the queue proofs with a timeout of 4 s.
func request(id string, idempotent bool) quetzalfleet.RequestArrived {
	return quetzalfleet.RequestArrived{
		ID: quetzalunit.RequestID(id), Queue: "proofs", Timeout: 4 * time.Second, Idempotent: idempotent, BodyDigest: "same",
	}
}

// outcomesOf returns the outcomes of a request in the order of the answers.
func outcomesOf(trial *quetzalsimulation.Simulation, id string) []quetzalfleet.Outcome {
	var list []quetzalfleet.Outcome
	for _, a := range trial.Answers {
		if a.Request == quetzalunit.RequestID(id) {
			list = append(list, a.Outcome)
		}
	}
	return list
}

// Guards against a second run of a request that is sent again with the same ID, to the
// same entry or to another one.
func TestSameIDRunsOnceAtAnyEntry(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	for _, entry := range []quetzalunit.EntryID{"a-entry0", "a-entry1", "b-entry0", "a-entry0"} {
		trial.Submit(entry, request("order", false))
	}
	trial.Advance(5 * time.Second)
	outcomes := outcomesOf(trial, "order")
	require.Len(t, outcomes, 4)
	for _, o := range outcomes {
		require.IsType(t, quetzalfleet.Ran{}, o)
	}
	require.Equal(t, 1, trial.Runs.Len())
}

// Guards against answering a request with the outcome of another one that has the same
// ID.
func TestSameIDWithAnotherBodyIsAConflict(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	trial.Submit("a-entry0", request("order", false))
	trial.Advance(time.Second)
	other := request("order", false)
	other.BodyDigest = "other"
	trial.Submit("a-entry1", other)
	trial.Advance(time.Second)
	require.IsType(t, quetzalfleet.RequestIDConflict{}, outcomesOf(trial, "order")[1])
}

// The platform commits a claim, but its answer is lost. The entry must find out that it
// holds the claim, and run the request once.
func TestLostAnswerOfAClaimRunsOnce(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	trial.Platform.AnswersToLose = 1
	trial.Submit("a-entry0", request("order", false))
	trial.Advance(time.Second)
	require.Equal(t, 1, trial.Runs.Len())
	require.IsType(t, quetzalfleet.Ran{}, outcomesOf(trial, "order")[0])
}

// During an outage of the platform only requests that need a claim may be rejected.
// Idempotent requests and requests whose ID the entry generated run without one.
func TestOutageRefusesOnlyWhatNeedsAClaim(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	trial.Platform.Outage = true
	trial.Advance(5 * time.Second)
	trial.Submit("a-entry0", request("order", false))
	trial.Submit("a-entry0", request("proof", true))
	minted := request("q~a-entry0~1~1", false)
	minted.ClaimExempt = true
	trial.Submit("a-entry0", minted)
	trial.Advance(5 * time.Second)
	require.Equal(t, quetzalfleet.ClaimUnavailable, outcomesOf(trial, "order")[0].(quetzalfleet.NotRun).Reason)
	require.IsType(t, quetzalfleet.Ran{}, outcomesOf(trial, "proof")[0])
	require.IsType(t, quetzalfleet.Ran{}, outcomesOf(trial, "q~a-entry0~1~1")[0])
	require.Empty(t, trial.Violations())
}

// Guards against a pool that does not recover after all its minions failed, because
// they spend their time on queued requests that are about to expire.
func TestPoolRecoversAfterEveryMinionFailed(t *testing.T) {
	spec := smallFleet()
	spec.Pools[0].HostsPerZone = 6
	trial := newTrial(t, 1, spec)
	trial.RunTime = func(quetzalunit.RequestID) time.Duration { return 40 * time.Millisecond }
	const length = 20 * time.Second
	n := 0
	for at := time.Duration(0); at < length; at += 1400 * time.Microsecond {
		in := request(fmt.Sprint("q~r", n), true)
		in.ClaimExempt = true
		entry := quetzalsimulation.EntryID("a", n%3)
		trial.After(at, func() { trial.Submit(entry, in) })
		n++
	}
	fail := func(blackHole bool) func() {
		return func() {
			for _, m := range trial.Minions.All() {
				m.BlackHole = blackHole
			}
		}
	}
	trial.After(2*time.Second, fail(true))
	trial.After(8*time.Second, fail(false))
	trial.Advance(16 * time.Second)
	before := len(trial.Answers)
	trial.Advance(3 * time.Second)
	require.Greater(t, len(trial.Answers), before)
	for _, a := range trial.Answers[before:] {
		require.IsType(t, quetzalfleet.Ran{}, a.Outcome)
		require.Less(t, a.Outcome.(quetzalfleet.Ran).Answer.Status, quetzalunit.HTTPStatus(500))
	}
}

// A job that was accepted with status 202 survives the death of the entry that holds
// it and runs once. Jobs that the entry had marked as sent but had not sent yet, at most
// 4 at a time, may end as Unknown without a run.
func TestJobIsTakenOver(t *testing.T) {
	for kill := range 8 {
		t.Run(fmt.Sprint("killed after ", kill*7, " ms"), func(t *testing.T) {
			trial := newTrial(t, uint64(kill)+1, smallFleet())
			trial.RunTime = func(quetzalunit.RequestID) time.Duration { return 300 * time.Millisecond }
			for n := range 30 {
				in := request(fmt.Sprint("job", n), n%2 == 0)
				in.Async, in.Timeout = true, time.Hour
				trial.Submit("a-entry1", in)
			}
			trial.Advance(time.Duration(kill) * 7 * time.Millisecond)
			trial.Kill("a-entry1")
			accepted := make(map[quetzalunit.RequestID]bool)
			for _, a := range trial.Answers {
				require.IsType(t, quetzalfleet.Accepted{}, a.Outcome)
				accepted[a.Request] = true
			}
			trial.Advance(time.Minute)
			known := len(trial.Answers)
			for id := range accepted {
				trial.RequestResult("b-entry0", id)
			}
			trial.Advance(time.Second)
			require.Len(t, trial.Answers, known+len(accepted))
			neverSent := 0
			for _, a := range trial.Answers[known:] {
				switch a.Outcome.(type) {
				case quetzalfleet.Ran:
				case quetzalfleet.Unknown:
					if trial.RunCount(a.Request) == 0 {
						neverSent++
					}
				default:
					require.Fail(t, "not ended", "%s: %T", a.Request, a.Outcome)
				}
			}
			const maxMarkedUnsent = 4
			require.LessOrEqual(t, neverSent, maxMarkedUnsent)
			require.Empty(t, trial.Violations())
		})
	}
}

// A planned stop leaves waiting jobs to the other entries instead of running them
// first.
func TestPlannedStopHandsJobsOver(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	trial.RunTime = func(quetzalunit.RequestID) time.Duration { return 3 * time.Second }
	for n := range 60 {
		in := request(fmt.Sprint("job", n), true)
		in.Async, in.Timeout, in.Class = true, time.Hour, quetzalfleet.ClassLong
		trial.Submit("a-entry1", in)
	}
	trial.Advance(time.Second)
	trial.Stop("a-entry1")
	trial.Advance(10 * time.Second)
	require.True(t, trial.Entry("a-entry1").Finished)
	trial.Advance(2 * time.Minute)
	for n := range 60 {
		require.Equal(t, 1, trial.RunCount(quetzalunit.RequestID(fmt.Sprint("job", n))))
	}
}

// A request whose pool has no host in the zone is forwarded to an entry of a zone that
// has one.
func TestRequestIsForwardedToAZoneWithHosts(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	for n := range 20 {
		in := request(fmt.Sprint("poster", n), false)
		in.Queue = "posters"
		trial.Submit("a-entry0", in)
		trial.Submit("a-entry1", in)
	}
	trial.Advance(500 * time.Millisecond) // less than a move to the pool takes
	require.Len(t, trial.Answers, 40)
	for _, a := range trial.Answers {
		require.IsType(t, quetzalfleet.Ran{}, a.Outcome)
	}
	require.Equal(t, 20, trial.Runs.Len())
}

// Guards against a second run of a request whose claim is held by an entry that cannot
// be reached. The holder may have run it, so the outcome is Unknown even if the
// platform answers again later.
func TestUnreachableHolderIsNotReplaced(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	trial.Entry("b-entry1").PartitionedFromPeers = true
	trial.Submit("b-entry1", request("order", false))
	trial.Advance(100 * time.Millisecond)
	trial.Entry("b-entry1").PartitionedFromPlatform = true
	trial.Submit("a-entry0", request("order", false))
	trial.Advance(500 * time.Millisecond)
	trial.Platform.Outage = true
	trial.Advance(time.Second)
	trial.Platform.Outage = false
	trial.Advance(10 * time.Second)
	require.Equal(t, 1, trial.Runs.Len())
	require.IsType(t, quetzalfleet.Unknown{}, outcomesOf(trial, "order")[1])
}

// Guards against a busy loop of failing calls when the platform goes out during a move:
// the rate of calls stays bounded.
func TestOutageDuringAMoveDoesNotSpin(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	trial.SendOperatorAction("a-entry0", quetzalfleet.MoveHost{ID: "move", Host: "a-host5", Pool: "proofs"})
	trial.After(12*time.Millisecond, func() { trial.Platform.Outage = true })
	trial.Advance(20 * time.Millisecond)
	before := trial.Platform.Calls
	trial.Advance(20 * time.Second)
	const callsPerEntrySecond = 10
	require.Less(t, trial.Platform.Calls-before, int64(6*20*callsPerEntrySecond))
	trial.Platform.Outage = false
	trial.Advance(20 * time.Second)
	require.Equal(t, quetzalunit.PoolID("proofs"), hostSpec(trial, "a-host5").Pool)
}

// hostSpec returns a host as known at a-entry0.
func hostSpec(trial *quetzalsimulation.Simulation, id quetzalunit.HostID) quetzalfleet.HostSpec {
	w := trial.Entry("a-entry0").World
	return w.Hosts.At(w.HostByID.Get(id)).HostSpec
}

// holderOf returns the holder of a zone's duties as known at the zone's first entry.
func holderOf(trial *quetzalsimulation.Simulation, zone quetzalunit.ZoneID) quetzalunit.EntryID {
	w := trial.Entry(quetzalsimulation.EntryID(zone, 0)).World
	return w.DutyLeases.At(w.DutyLeaseByZone.Get(zone)).Holder
}

// An entry may freeze after it has decided to send a request to a host and before it
// sends it. A move of the host must wait until that entry has confirmed, or the request
// would reach the host in its new pool.
func TestFrozenEntryHoldsUpAMove(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	trial.RunTime = func(quetzalunit.RequestID) time.Duration { return 50 * time.Millisecond }
	id := quetzalunit.EntryID("a-entry1")
	if holderOf(trial, "a") == id {
		id = "a-entry2"
	}
	frozen := trial.Entry(id)
	for n := range 12 {
		in := request(fmt.Sprint("late", n), true)
		in.ClaimExempt = true
		trial.Submit(id, in)
	}
	frozen.FrozenUntil = trial.Now.Add(2 * time.Second)
	trial.SendOperatorAction("a-entry0", quetzalfleet.MoveHost{ID: "m0", Host: "a-host0", Pool: "editions"})
	trial.Advance(1500 * time.Millisecond)
	require.Equal(t, quetzalunit.PoolID("proofs"), hostSpec(trial, "a-host0").Pool)
	require.Equal(t, quetzalfleet.HostLeaving, hostSpec(trial, "a-host0").State)
	trial.Advance(10 * time.Second)
	require.Equal(t, quetzalunit.PoolID("editions"), hostSpec(trial, "a-host0").Pool)
	require.Empty(t, trial.Violations())
}

// An entry that starts during an outage of the platform cannot join the roster. It
// serves as a guest of its peers instead.
func TestFreshEntryServesDuringAnOutage(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	// A host's row changes after the last scan that any entry made.
	trial.SendOperatorAction("a-entry0", quetzalfleet.MoveHost{ID: "m", Host: "a-host5", Pool: "editions"})
	trial.Advance(12 * time.Millisecond)
	trial.Platform.Outage = true
	trial.Advance(time.Second)
	trial.Kill("a-entry1")
	trial.AddEntry("a-entry1", "a")
	trial.Advance(5 * time.Second)
	for n := range 20 {
		in := request(fmt.Sprint("q~fresh", n), false)
		in.ClaimExempt = true
		trial.Submit("a-entry1", in)
	}
	trial.Advance(time.Second)
	require.Len(t, trial.Answers, 20)
	for _, a := range trial.Answers {
		require.IsType(t, quetzalfleet.Ran{}, a.Outcome)
	}
}

// Guards against a move that does not wait for the work of an entry that serves as a
// guest, outside the roster.
func TestGuestHoldsUpAMove(t *testing.T) {
	spec := smallFleet()
	drain := 20 * time.Second
	spec.Settings.DrainTimeout = &drain
	trial := newTrial(t, 1, spec)
	trial.RunTime = func(quetzalunit.RequestID) time.Duration { return 2500 * time.Millisecond }
	guest := trial.Entries.At(trial.AddEntry("a-entry9", "a"))
	guest.PartitionedFromPlatform = true
	trial.Advance(8 * time.Second)
	for n := range 10 {
		in := request(fmt.Sprint("q~guest", n), false)
		in.ClaimExempt = true
		trial.Submit("a-entry9", in)
	}
	trial.Advance(10 * time.Millisecond)
	require.Equal(t, 10, guest.World.Attempts.Len(), "the guest does not serve")
	trial.SendOperatorAction("a-entry0", quetzalfleet.MoveHost{ID: "m", Host: "a-host0", Pool: "editions"})
	trial.Advance(2 * time.Second)
	require.Equal(t, quetzalunit.PoolID("proofs"), hostSpec(trial, "a-host0").Pool)
	trial.Advance(20 * time.Second)
	require.Equal(t, quetzalunit.PoolID("editions"), hostSpec(trial, "a-host0").Pool)
	require.Empty(t, trial.Violations())
}

// Guards against a wave that stops, breaks a budget or reboots a host twice when the
// holder of a zone's duties dies during it.
func TestWaveFinishesWhenItsHolderDies(t *testing.T) {
	for kill := range 12 {
		t.Run(fmt.Sprint("after ", kill*400, " ms"), func(t *testing.T) {
			trial := newTrial(t, uint64(kill)+1, smallFleet())
			trial.OnCommit = func() { require.Empty(t, trial.BudgetViolations()) }
			trial.SendOperatorAction("a-entry0", quetzalfleet.CreateWave{ID: "w", Wave: quetzalfleet.WaveSpec{ID: "spring", MaxConcurrent: 2}})
			trial.Advance(time.Duration(kill) * 400 * time.Millisecond)
			holder := holderOf(trial, "a")
			trial.Kill(holder)
			trial.After(3*time.Second, func() { trial.AddEntry(holder, "a") })
			trial.Advance(3 * time.Minute)
			w := trial.Entry("b-entry0").World
			require.Equal(t, quetzalfleet.WaveFinished, w.Waves.At(w.WaveByID.Get("spring")).State)
			for _, h := range w.Hosts.All() {
				require.Equal(t, quetzalunit.WaveID("spring"), h.LastWave)
				require.Equal(t, quetzalunit.Boot(2), trial.Minion(h.ID).Boot, "one reboot each")
			}
		})
	}
}

// With SurviveRackLoss a wave leaves a pool within its budget even if any one rack fails
// during it.
func TestWaveLeavesRoomForARackLoss(t *testing.T) {
	for _, survive := range []bool{false, true} {
		t.Run(fmt.Sprint("SurviveRackLoss ", survive), func(t *testing.T) {
			spec := smallFleet()
			spec.Pools = []quetzalsimulation.PoolSpec{{ID: "proofs", HostsPerZone: 6, MinHosts: 2}}
			spec.Settings.SurviveRackLoss = &survive
			trial := newTrial(t, 1, spec)
			fewest := 6
			trial.OnCommit = func() { fewest = min(fewest, servingAfterRackLoss(trial)) }
			trial.SendOperatorAction("a-entry0", quetzalfleet.CreateWave{ID: "w", Wave: quetzalfleet.WaveSpec{ID: "w"}})
			trial.Advance(2 * time.Minute)
			require.Equal(t, survive, fewest >= 2, "after the worst rack's loss %d hosts were left", fewest)
			w := trial.Entry("a-entry0").World
			require.Equal(t, quetzalfleet.WaveFinished, w.Waves.At(w.WaveByID.Get("w")).State)
		})
	}
}

// servingAfterRackLoss returns how many hosts in zone a are still serving, according to
// the committed rows, if the rack with most of them fails.
func servingAfterRackLoss(trial *quetzalsimulation.Simulation) int {
	all, worst := 0, 0
	racks := make(map[quetzalunit.RackID]int)
	for _, h := range trial.StoredHosts() {
		if h.Zone == "a" && h.State == quetzalfleet.HostServing {
			all++
			racks[h.Rack]++
			worst = max(worst, racks[h.Rack])
		}
	}
	return all - worst
}

// Guards against new work on a minion that is leaving, first while it refuses requests
// itself, then while only the platform's list shows it as leaving.
func TestLeavingMinionGetsNoNewWork(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	trial.Minion("a-host0").Leaving = true
	for n := range 400 {
		trial.After(time.Duration(n)*10*time.Millisecond, func() {
			in := request(fmt.Sprint("r", n), true)
			in.ClaimExempt = true
			trial.Submit(quetzalunit.EntryID(fmt.Sprint("a-entry", n%3)), in)
		})
	}
	const limit = 3 * time.Second
	trial.Advance(limit)
	trial.Minion("a-host0").Leaving = false
	trial.Minion("a-host0").Listed = quetzalfleet.ListedLeaving
	runs := trial.Runs.Len()
	trial.Advance(3 * time.Second)
	for _, run := range trial.Runs.All() {
		require.NotEqual(t, quetzalunit.HostID("a-host0"), run.Host)
	}
	require.Greater(t, trial.Runs.Len(), runs)
}

// A planned stop must not cut off requests in flight, and must remove the entry from the
// roster.
func TestPlannedStopCompletesRequestsInFlight(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	trial.RunTime = func(quetzalunit.RequestID) time.Duration { return 700 * time.Millisecond }
	for n := range 20 {
		trial.Submit("a-entry0", request(fmt.Sprint("r", n), false))
	}
	trial.Advance(50 * time.Millisecond)
	trial.Stop("a-entry0")
	trial.Advance(10 * time.Second)
	require.True(t, trial.Entry("a-entry0").Finished)
	require.Len(t, trial.Answers, 20)
	for _, a := range trial.Answers {
		require.IsType(t, quetzalfleet.Ran{}, a.Outcome)
	}
	w := trial.Entry("a-entry1").World
	require.Len(t, w.Rosters.At(w.RosterByZone.Get("a")).Entries, 2)
}

// A zone without a connection to the platform receives changed settings from other
// zones through gossip, within 17 s.
func TestSettingsReachAZoneThroughOtherZones(t *testing.T) {
	const limit = 17 * time.Second
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			spec := smallFleet()
			spec.Zones = []quetzalunit.ZoneID{"a", "b", "c", "d", "e"}
			trial := newTrial(t, seed, spec)
			for n := range 3 {
				trial.Entry(quetzalsimulation.EntryID("e", n)).PartitionedFromPlatform = true
			}
			trial.Advance(30 * time.Second)
			three := quetzalunit.Attempts(3)
			c := trial.SendOperatorAction("a-entry0", quetzalfleet.ChangeSetting{
				ID: "c1", Path: "Fleet", Values: quetzalfleet.SettingValues{RetryMaxAttempts: &three},
			})
			trial.Advance(limit)
			version := trial.OperatorResult(c).(quetzalfleet.ChangeAccepted).Version
			for _, e := range trial.Entries.All() {
				require.Equal(t, version, e.World.SettingsVersion, e.ID)
			}
		})
	}
}

// Guards against a lost update when two operators change a setting from the same
// version: one of them must get a conflict.
func TestRacingOperatorsLoseNoChange(t *testing.T) {
	trial := newTrial(t, 1, smallFleet())
	first := quetzalunit.Version(0)
	three, four := quetzalunit.Attempts(3), quetzalunit.Attempts(4)
	a := trial.SendOperatorAction("a-entry0", quetzalfleet.ChangeSetting{
		ID: "c1", Path: "Fleet/a", IfVersion: &first, Values: quetzalfleet.SettingValues{RetryMaxAttempts: &three},
	})
	b := trial.SendOperatorAction("b-entry0", quetzalfleet.ChangeSetting{
		ID: "c2", Path: "Fleet/a", IfVersion: &first, Values: quetzalfleet.SettingValues{RetryMaxAttempts: &four},
	})
	trial.Advance(5 * time.Second)
	results := []quetzalfleet.OperatorResult{trial.OperatorResult(a), trial.OperatorResult(b)}
	conflicts := 0
	for _, r := range results {
		if c, ok := r.(quetzalfleet.ChangeConflict); ok {
			conflicts++
			require.Positive(t, c.ActualVersion)
		}
	}
	require.Equal(t, 1, conflicts, "%v", results)
	again := trial.SendOperatorAction("b-entry1", quetzalfleet.ChangeSetting{
		ID: "c1", Path: "Fleet/a", IfVersion: &first, Values: quetzalfleet.SettingValues{RetryMaxAttempts: &three},
	})
	trial.Advance(time.Second)
	if _, ok := results[0].(quetzalfleet.ChangeAccepted); ok {
		require.Equal(t, results[0], trial.OperatorResult(again), "the same change is applied once")
	}
}

// TestPromisesUnderRandomFaults runs random sequences of requests, faults and operators'
// changes and checks the system's guarantees.
func TestPromisesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		trial := newTrial(rt, rapid.Uint64Range(1, 1<<20).Draw(rt, "seed"), smallFleet())
		hostsFailed := false
		inForce := make(map[quetzalunit.Incarnation]quetzalunit.Version)
		trial.OnTick = func(e *quetzalsimulation.Entry) {
			self := e.World.Self.Incarnation
			require.GreaterOrEqual(rt, e.World.SettingsVersion, inForce[self], "settings never revert")
			inForce[self] = e.World.SettingsVersion
		}
		trial.OnCommit = func() {
			if !hostsFailed {
				require.Empty(rt, trial.BudgetViolations(), "%v", trial.Decisions)
			}
		}
		n := 0
		for range rapid.IntRange(5, 25).Draw(rt, "steps") {
			randomStep(rt, trial, &n, &hostsFailed)
			trial.Advance(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
		}
		trial.Platform.Outage = false
		for _, e := range trial.Entries.All() {
			e.PartitionedFromPeers, e.PartitionedFromPlatform = false, false
		}
		trial.Advance(30 * time.Second)
		require.Empty(rt, trial.Violations(), "%v", trial.Decisions)
		require.Empty(rt, trial.Unanswered())
	})
}

// randomStep performs one random request, fault or operator's change.
func randomStep(rt *rapid.T, trial *quetzalsimulation.Simulation, n *int, hostsFailed *bool) {
	*n++
	zone := rapid.SampledFrom([]quetzalunit.ZoneID{"a", "b"}).Draw(rt, "zone")
	entry := quetzalsimulation.EntryID(zone, rapid.IntRange(0, 2).Draw(rt, "entry"))
	host := quetzalunit.HostID(fmt.Sprintf("%s-host%d", zone, rapid.IntRange(0, 5).Draw(rt, "host")))
	e := trial.Entry(entry)
	switch rapid.IntRange(0, 14).Draw(rt, "step") {
	case 0, 1, 2, 3:
		for i := range rapid.IntRange(1, 30).Draw(rt, "burst") {
			in := request(fmt.Sprintf("r%d-%d", *n, i), rapid.Bool().Draw(rt, "idempotent"))
			if i%3 == 0 {
				in.Queue = "posters"
			}
			if i%7 == 6 {
				in.Async = true
			}
			trial.Submit(entry, in)
		}
	case 4:
		in := request(fmt.Sprintf("r%d-0", rapid.IntRange(1, *n).Draw(rt, "again")), false)
		for _, s := range trial.Submissions {
			if s.ID == in.ID {
				in.Queue = s.Queue
				in.Idempotent = s.Idempotent
			}
		}
		trial.Submit(entry, in)
	case 5:
		trial.Kill(entry)
		id := entry
		if rapid.Bool().Draw(rt, "another name") {
			id = quetzalunit.EntryID(fmt.Sprintf("%s-new%d", zone, *n))
		}
		trial.After(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "down"))*time.Millisecond, func() {
			if e := trial.Entry(id); e == nil || e.Dead {
				trial.AddEntry(id, zone)
			}
		})
	case 6:
		e.FrozenUntil = trial.Now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "frozen")) * time.Millisecond)
	case 7:
		trial.Platform.Outage = !trial.Platform.Outage
	case 8:
		trial.Platform.AnswersToLose = rapid.IntRange(1, 5).Draw(rt, "lose")
	case 9:
		e.PartitionedFromPeers = !e.PartitionedFromPeers
	case 10:
		e.PartitionedFromPlatform = !e.PartitionedFromPlatform
	case 11:
		pool := rapid.SampledFrom([]quetzalunit.PoolID{"proofs", "editions", "leaflets"}).Draw(rt, "pool")
		trial.SendOperatorAction(entry, quetzalfleet.MoveHost{ID: quetzalunit.ChangeID(fmt.Sprint("m", *n)), Host: host, Pool: pool})
	case 12:
		trial.SendOperatorAction(entry, quetzalfleet.CreateWave{
			ID:   quetzalunit.ChangeID(fmt.Sprint("w", *n)),
			Wave: quetzalfleet.WaveSpec{ID: quetzalunit.WaveID(fmt.Sprint("wave", *n)), MaxConcurrent: 2},
		})
	case 13:
		limit := quetzalunit.Requests(1000 + *n)
		trial.SendOperatorAction(entry, quetzalfleet.ChangeSetting{
			ID: quetzalunit.ChangeID(fmt.Sprint("s", *n)), Path: "Fleet/a", Values: quetzalfleet.SettingValues{QueueLimit: &limit},
		})
	case 14:
		*hostsFailed = true
		trial.Crash(host)
		trial.After(4*time.Second, func() { trial.Minion(host).Down = false })
	}
}
