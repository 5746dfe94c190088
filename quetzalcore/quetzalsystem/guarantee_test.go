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

func newSimulation(t require.TestingT, seed uint64, spec *quetzalsimulation.FleetSpec) *quetzalsimulation.Simulation {
	sim := quetzalsimulation.New(seed)
	require.NoError(t, sim.BuildFleet(spec))
	return sim
}

// request returns a request for the queue proofs with a timeout of 4 s.
func request(id string, idempotent bool) quetzalfleet.RequestArrived {
	return quetzalfleet.RequestArrived{
		ID: quetzalunit.RequestID(id), Queue: "proofs", Timeout: 4 * time.Second, Idempotent: idempotent, BodyDigest: "same",
	}
}

// outcomesOf returns the outcomes of a request in the order of the answers.
func outcomesOf(sim *quetzalsimulation.Simulation, id string) []quetzalfleet.Outcome {
	var list []quetzalfleet.Outcome
	for _, a := range sim.Answers {
		if a.Request == quetzalunit.RequestID(id) {
			list = append(list, a.Outcome)
		}
	}
	return list
}

// Guards against a second run of a request that is sent again with the same id, to the
// same entry or to another one.
func TestSameIDRunsOnceAtAnyEntry(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	for _, entry := range []quetzalunit.EntryID{"a-entry0", "a-entry1", "b-entry0", "a-entry0"} {
		sim.Submit(entry, request("order", false))
	}
	sim.Advance(5 * time.Second)
	outcomes := outcomesOf(sim, "order")
	require.Len(t, outcomes, 4)
	for _, o := range outcomes {
		require.IsType(t, quetzalfleet.Ran{}, o)
	}
	require.Equal(t, 1, sim.Runs.Len())
}

// Guards against answering a request with the outcome of another one that has the same
// id.
func TestSameIDWithAnotherBodyIsAConflict(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	sim.Submit("a-entry0", request("order", false))
	sim.Advance(time.Second)
	other := request("order", false)
	other.BodyDigest = "other"
	sim.Submit("a-entry1", other)
	sim.Advance(time.Second)
	require.IsType(t, quetzalfleet.RequestIDConflict{}, outcomesOf(sim, "order")[1])
}

// The platform commits a claim, but its answer is lost. The entry must find out that it
// holds the claim and run the request once.
func TestLostAnswerOfAClaimRunsOnce(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	sim.Platform.AnswersToLose = 1
	sim.Submit("a-entry0", request("order", false))
	sim.Advance(time.Second)
	require.Equal(t, 1, sim.Runs.Len())
	require.IsType(t, quetzalfleet.Ran{}, outcomesOf(sim, "order")[0])
}

// During an outage of the platform only requests that need a claim may be rejected.
// Idempotent requests and requests whose id the entry generated run without one.
func TestOutageRefusesOnlyWhatNeedsAClaim(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	sim.Platform.Outage = true
	sim.Advance(5 * time.Second)
	sim.Submit("a-entry0", request("order", false))
	sim.Submit("a-entry0", request("proof", true))
	generated := request("q~a-entry0~1~1", false)
	generated.ClaimExempt = true
	sim.Submit("a-entry0", generated)
	sim.Advance(5 * time.Second)
	require.Equal(t, quetzalfleet.ClaimUnavailable, outcomesOf(sim, "order")[0].(quetzalfleet.NotRun).Reason)
	require.IsType(t, quetzalfleet.Ran{}, outcomesOf(sim, "proof")[0])
	require.IsType(t, quetzalfleet.Ran{}, outcomesOf(sim, "q~a-entry0~1~1")[0])
	require.Empty(t, sim.Violations())
}

// Guards against a pool that does not recover after all its minions failed, because
// they spend their time on queued requests that are about to expire.
func TestPoolRecoversAfterEveryMinionFailed(t *testing.T) {
	spec := smallFleet()
	spec.Pools[0].HostsPerZone = 6
	sim := newSimulation(t, 1, spec)
	sim.RunTime = func(quetzalunit.RequestID) time.Duration { return 40 * time.Millisecond }
	const duration = 20 * time.Second
	n := 0
	for at := time.Duration(0); at < duration; at += 1400 * time.Microsecond {
		in := request(fmt.Sprint("q~r", n), true)
		in.ClaimExempt = true
		entry := quetzalsimulation.EntryID("a", n%3)
		sim.After(at, func() { sim.Submit(entry, in) })
		n++
	}
	setBlackHole := func(blackHole bool) func() {
		return func() {
			for _, m := range sim.Minions.All() {
				m.BlackHole = blackHole
			}
		}
	}
	sim.After(2*time.Second, setBlackHole(true))
	sim.After(8*time.Second, setBlackHole(false))
	sim.Advance(16 * time.Second)
	before := len(sim.Answers)
	sim.Advance(3 * time.Second)
	require.Greater(t, len(sim.Answers), before)
	for _, a := range sim.Answers[before:] {
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
			sim := newSimulation(t, uint64(kill)+1, smallFleet())
			sim.RunTime = func(quetzalunit.RequestID) time.Duration { return 300 * time.Millisecond }
			for n := range 30 {
				in := request(fmt.Sprint("job", n), n%2 == 0)
				in.Async, in.Timeout = true, time.Hour
				sim.Submit("a-entry1", in)
			}
			sim.Advance(time.Duration(kill) * 7 * time.Millisecond)
			sim.Kill("a-entry1")
			accepted := make(map[quetzalunit.RequestID]bool)
			for _, a := range sim.Answers {
				require.IsType(t, quetzalfleet.Accepted{}, a.Outcome)
				accepted[a.Request] = true
			}
			sim.Advance(time.Minute)
			before := len(sim.Answers)
			for id := range accepted {
				sim.RequestOutcome("b-entry0", id)
			}
			sim.Advance(time.Second)
			require.Len(t, sim.Answers, before+len(accepted))
			neverSent := 0
			for _, a := range sim.Answers[before:] {
				switch a.Outcome.(type) {
				case quetzalfleet.Ran:
				case quetzalfleet.Unknown:
					if sim.RunCount(a.Request) == 0 {
						neverSent++
					}
				default:
					require.Fail(t, "not ended", "%s: %T", a.Request, a.Outcome)
				}
			}
			const maxMarkedUnsent = 4
			require.LessOrEqual(t, neverSent, maxMarkedUnsent)
			require.Empty(t, sim.Violations())
		})
	}
}

// A planned stop leaves waiting jobs to the other entries instead of running them
// first.
func TestPlannedStopHandsJobsOver(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	sim.RunTime = func(quetzalunit.RequestID) time.Duration { return 3 * time.Second }
	for n := range 60 {
		in := request(fmt.Sprint("job", n), true)
		in.Async, in.Timeout, in.Class = true, time.Hour, quetzalfleet.ClassLong
		sim.Submit("a-entry1", in)
	}
	sim.Advance(time.Second)
	sim.Stop("a-entry1")
	sim.Advance(10 * time.Second)
	require.True(t, sim.Entry("a-entry1").Finished)
	sim.Advance(2 * time.Minute)
	for n := range 60 {
		require.Equal(t, 1, sim.RunCount(quetzalunit.RequestID(fmt.Sprint("job", n))))
	}
}

// A request whose pool has no host in the zone is forwarded to an entry of a zone that
// has one.
func TestRequestIsForwardedToAZoneWithHosts(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	for n := range 20 {
		in := request(fmt.Sprint("poster", n), false)
		in.Queue = "posters"
		sim.Submit("a-entry0", in)
		sim.Submit("a-entry1", in)
	}
	sim.Advance(500 * time.Millisecond) // less than a move to the pool takes
	require.Len(t, sim.Answers, 40)
	for _, a := range sim.Answers {
		require.IsType(t, quetzalfleet.Ran{}, a.Outcome)
	}
	require.Equal(t, 20, sim.Runs.Len())
}

// Guards against a second run of a request whose claim is held by an entry that cannot
// be reached. The holder may have run it, so the outcome is Unknown even if the
// platform answers again later.
func TestUnreachableHolderIsNotReplaced(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	sim.Entry("b-entry1").PartitionedFromPeers = true
	sim.Submit("b-entry1", request("order", false))
	sim.Advance(100 * time.Millisecond)
	sim.Entry("b-entry1").PartitionedFromPlatform = true
	sim.Submit("a-entry0", request("order", false))
	sim.Advance(500 * time.Millisecond)
	sim.Platform.Outage = true
	sim.Advance(time.Second)
	sim.Platform.Outage = false
	sim.Advance(10 * time.Second)
	require.Equal(t, 1, sim.Runs.Len())
	require.IsType(t, quetzalfleet.Unknown{}, outcomesOf(sim, "order")[1])
}

// Guards against a busy loop of failing calls when an outage of the platform begins
// during a move: the rate of calls stays bounded.
func TestOutageDuringAMoveDoesNotSpin(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	sim.SendOperatorAction("a-entry0", quetzalfleet.MoveHost{ID: "move", Host: "a-host5", Pool: "proofs"})
	sim.After(12*time.Millisecond, func() { sim.Platform.Outage = true })
	sim.Advance(20 * time.Millisecond)
	before := sim.Platform.Calls
	sim.Advance(20 * time.Second)
	const callsPerEntrySecond = 10
	require.Less(t, sim.Platform.Calls-before, int64(6*20*callsPerEntrySecond))
	sim.Platform.Outage = false
	sim.Advance(20 * time.Second)
	require.Equal(t, quetzalunit.PoolID("proofs"), hostSpec(sim, "a-host5").Pool)
}

// hostSpec returns a host as known at a-entry0.
func hostSpec(sim *quetzalsimulation.Simulation, id quetzalunit.HostID) quetzalfleet.HostSpec {
	w := sim.Entry("a-entry0").World
	return w.Hosts.At(w.HostByID.Get(id)).HostSpec
}

// holderOf returns the holder of a zone's duties as known at the zone's first entry.
func holderOf(sim *quetzalsimulation.Simulation, zone quetzalunit.ZoneID) quetzalunit.EntryID {
	w := sim.Entry(quetzalsimulation.EntryID(zone, 0)).World
	return w.DutyLeases.At(w.DutyLeaseByZone.Get(zone)).Holder
}

// An entry may freeze after it has decided to send a request to a host and before it
// sends it. A move of the host must wait until that entry has confirmed, or the request
// would reach the host in its new pool.
func TestFrozenEntryHoldsUpAMove(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	sim.RunTime = func(quetzalunit.RequestID) time.Duration { return 50 * time.Millisecond }
	id := quetzalunit.EntryID("a-entry1")
	if holderOf(sim, "a") == id {
		id = "a-entry2"
	}
	frozen := sim.Entry(id)
	for n := range 12 {
		in := request(fmt.Sprint("late", n), true)
		in.ClaimExempt = true
		sim.Submit(id, in)
	}
	frozen.FrozenUntil = sim.Now.Add(2 * time.Second)
	sim.SendOperatorAction("a-entry0", quetzalfleet.MoveHost{ID: "m0", Host: "a-host0", Pool: "editions"})
	sim.Advance(1500 * time.Millisecond)
	require.Equal(t, quetzalunit.PoolID("proofs"), hostSpec(sim, "a-host0").Pool)
	require.Equal(t, quetzalfleet.HostLeaving, hostSpec(sim, "a-host0").State)
	sim.Advance(10 * time.Second)
	require.Equal(t, quetzalunit.PoolID("editions"), hostSpec(sim, "a-host0").Pool)
	require.Empty(t, sim.Violations())
}

// An entry that starts during an outage of the platform cannot join the roster. It
// serves as a guest of its peers instead.
func TestFreshEntryServesDuringAnOutage(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	// A host's row changes after the last scan that any entry made.
	sim.SendOperatorAction("a-entry0", quetzalfleet.MoveHost{ID: "m", Host: "a-host5", Pool: "editions"})
	sim.Advance(12 * time.Millisecond)
	sim.Platform.Outage = true
	sim.Advance(time.Second)
	sim.Kill("a-entry1")
	sim.AddEntry("a-entry1", "a")
	sim.Advance(5 * time.Second)
	for n := range 20 {
		in := request(fmt.Sprint("q~fresh", n), false)
		in.ClaimExempt = true
		sim.Submit("a-entry1", in)
	}
	sim.Advance(time.Second)
	require.Len(t, sim.Answers, 20)
	for _, a := range sim.Answers {
		require.IsType(t, quetzalfleet.Ran{}, a.Outcome)
	}
}

// Guards against a move that does not wait for the work of an entry that serves as a
// guest, outside the roster.
func TestGuestHoldsUpAMove(t *testing.T) {
	spec := smallFleet()
	drain := 20 * time.Second
	spec.Settings.DrainTimeout = &drain
	sim := newSimulation(t, 1, spec)
	sim.RunTime = func(quetzalunit.RequestID) time.Duration { return 2500 * time.Millisecond }
	guest := sim.Entries.At(sim.AddEntry("a-entry9", "a"))
	guest.PartitionedFromPlatform = true
	sim.Advance(8 * time.Second)
	for n := range 10 {
		in := request(fmt.Sprint("q~guest", n), false)
		in.ClaimExempt = true
		sim.Submit("a-entry9", in)
	}
	sim.Advance(10 * time.Millisecond)
	require.Equal(t, 10, guest.World.Attempts.Len(), "the guest does not serve")
	sim.SendOperatorAction("a-entry0", quetzalfleet.MoveHost{ID: "m", Host: "a-host0", Pool: "editions"})
	sim.Advance(2 * time.Second)
	require.Equal(t, quetzalunit.PoolID("proofs"), hostSpec(sim, "a-host0").Pool)
	sim.Advance(20 * time.Second)
	require.Equal(t, quetzalunit.PoolID("editions"), hostSpec(sim, "a-host0").Pool)
	require.Empty(t, sim.Violations())
}

// Guards against a wave that stops, breaks a budget or reboots a host twice when the
// holder of a zone's duties dies during it.
func TestWaveFinishesWhenItsHolderDies(t *testing.T) {
	for kill := range 12 {
		t.Run(fmt.Sprint("after ", kill*400, " ms"), func(t *testing.T) {
			sim := newSimulation(t, uint64(kill)+1, smallFleet())
			sim.OnCommit = func() { require.Empty(t, sim.BudgetViolations()) }
			sim.SendOperatorAction("a-entry0", quetzalfleet.CreateWave{ID: "w", Wave: quetzalfleet.WaveSpec{ID: "spring", MaxConcurrent: 2}})
			sim.Advance(time.Duration(kill) * 400 * time.Millisecond)
			holder := holderOf(sim, "a")
			sim.Kill(holder)
			sim.After(3*time.Second, func() { sim.AddEntry(holder, "a") })
			sim.Advance(3 * time.Minute)
			w := sim.Entry("b-entry0").World
			require.Equal(t, quetzalfleet.WaveFinished, w.Waves.At(w.WaveByID.Get("spring")).State)
			for _, h := range w.Hosts.All() {
				require.Equal(t, quetzalunit.WaveID("spring"), h.LastWave)
				require.Equal(t, quetzalunit.Boot(2), sim.Minion(h.ID).Boot, "one reboot each")
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
			sim := newSimulation(t, 1, spec)
			fewest := 6
			sim.OnCommit = func() { fewest = min(fewest, servingAfterRackLoss(sim)) }
			sim.SendOperatorAction("a-entry0", quetzalfleet.CreateWave{ID: "w", Wave: quetzalfleet.WaveSpec{ID: "w"}})
			sim.Advance(2 * time.Minute)
			require.Equal(t, survive, fewest >= 2, "after the worst rack's loss %d hosts were left", fewest)
			w := sim.Entry("a-entry0").World
			require.Equal(t, quetzalfleet.WaveFinished, w.Waves.At(w.WaveByID.Get("w")).State)
		})
	}
}

// servingAfterRackLoss returns how many hosts in zone a are still serving, according to
// the committed rows, if the rack with most of them fails.
func servingAfterRackLoss(sim *quetzalsimulation.Simulation) int {
	all, worst := 0, 0
	racks := make(map[quetzalunit.RackID]int)
	for _, h := range sim.StoredHosts() {
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
	sim := newSimulation(t, 1, smallFleet())
	sim.Minion("a-host0").Leaving = true
	for n := range 400 {
		sim.After(time.Duration(n)*10*time.Millisecond, func() {
			in := request(fmt.Sprint("r", n), true)
			in.ClaimExempt = true
			sim.Submit(quetzalunit.EntryID(fmt.Sprint("a-entry", n%3)), in)
		})
	}
	const limit = 3 * time.Second
	sim.Advance(limit)
	sim.Minion("a-host0").Leaving = false
	sim.Minion("a-host0").ListedState = quetzalfleet.ListedLeaving
	runs := sim.Runs.Len()
	sim.Advance(3 * time.Second)
	for _, run := range sim.Runs.All() {
		require.NotEqual(t, quetzalunit.HostID("a-host0"), run.Host)
	}
	require.Greater(t, sim.Runs.Len(), runs)
}

// A planned stop must not cut off requests in flight, and must remove the entry from the
// roster.
func TestPlannedStopCompletesRequestsInFlight(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	sim.RunTime = func(quetzalunit.RequestID) time.Duration { return 700 * time.Millisecond }
	for n := range 20 {
		sim.Submit("a-entry0", request(fmt.Sprint("r", n), false))
	}
	sim.Advance(50 * time.Millisecond)
	sim.Stop("a-entry0")
	sim.Advance(10 * time.Second)
	require.True(t, sim.Entry("a-entry0").Finished)
	require.Len(t, sim.Answers, 20)
	for _, a := range sim.Answers {
		require.IsType(t, quetzalfleet.Ran{}, a.Outcome)
	}
	w := sim.Entry("a-entry1").World
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
			sim := newSimulation(t, seed, spec)
			for n := range 3 {
				sim.Entry(quetzalsimulation.EntryID("e", n)).PartitionedFromPlatform = true
			}
			sim.Advance(30 * time.Second)
			three := quetzalunit.Attempts(3)
			c := sim.SendOperatorAction("a-entry0", quetzalfleet.ChangeSetting{
				ID: "c1", Path: "Fleet", Values: quetzalfleet.SettingValues{RetryMaxAttempts: &three},
			})
			sim.Advance(limit)
			version := sim.OperatorResult(c).(quetzalfleet.ChangeAccepted).Version
			for _, e := range sim.Entries.All() {
				require.Equal(t, version, e.World.SettingsVersion, e.ID)
			}
		})
	}
}

// Guards against a lost update when two operators change a setting from the same
// version: one of them must get a conflict.
func TestRacingOperatorsLoseNoChange(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	first := quetzalunit.Version(0)
	three, four := quetzalunit.Attempts(3), quetzalunit.Attempts(4)
	a := sim.SendOperatorAction("a-entry0", quetzalfleet.ChangeSetting{
		ID: "c1", Path: "Fleet/a", IfVersion: &first, Values: quetzalfleet.SettingValues{RetryMaxAttempts: &three},
	})
	b := sim.SendOperatorAction("b-entry0", quetzalfleet.ChangeSetting{
		ID: "c2", Path: "Fleet/a", IfVersion: &first, Values: quetzalfleet.SettingValues{RetryMaxAttempts: &four},
	})
	sim.Advance(5 * time.Second)
	results := []quetzalfleet.OperatorResult{sim.OperatorResult(a), sim.OperatorResult(b)}
	conflicts := 0
	for _, r := range results {
		if c, ok := r.(quetzalfleet.ChangeConflict); ok {
			conflicts++
			require.Positive(t, c.ActualVersion)
		}
	}
	require.Equal(t, 1, conflicts, "%v", results)
	again := sim.SendOperatorAction("b-entry1", quetzalfleet.ChangeSetting{
		ID: "c1", Path: "Fleet/a", IfVersion: &first, Values: quetzalfleet.SettingValues{RetryMaxAttempts: &three},
	})
	sim.Advance(time.Second)
	if _, ok := results[0].(quetzalfleet.ChangeAccepted); ok {
		require.Equal(t, results[0], sim.OperatorResult(again), "the same change is applied once")
	}
}

// TestGuaranteesUnderRandomFaults runs random sequences of requests, faults and operators'
// changes and checks the system's guarantees.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, rapid.Uint64Range(1, 1<<20).Draw(rt, "seed"), smallFleet())
		hostsFailed := false
		inForce := make(map[quetzalunit.Incarnation]quetzalunit.Version)
		sim.OnTick = func(e *quetzalsimulation.Entry) {
			self := e.World.Self.Incarnation
			require.GreaterOrEqual(rt, e.World.SettingsVersion, inForce[self], "settings never revert")
			inForce[self] = e.World.SettingsVersion
		}
		sim.OnCommit = func() {
			if !hostsFailed {
				require.Empty(rt, sim.BudgetViolations(), "%v", sim.Decisions)
			}
		}
		n := 0
		for range rapid.IntRange(5, 25).Draw(rt, "steps") {
			randomStep(rt, sim, &n, &hostsFailed)
			sim.Advance(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
		}
		sim.Platform.Outage = false
		for _, e := range sim.Entries.All() {
			e.PartitionedFromPeers, e.PartitionedFromPlatform = false, false
		}
		sim.Advance(30 * time.Second)
		require.Empty(rt, sim.Violations(), "%v", sim.Decisions)
		require.Empty(rt, sim.Unanswered())
	})
}

// randomStep performs one random request, fault or operator's change.
func randomStep(rt *rapid.T, sim *quetzalsimulation.Simulation, n *int, hostsFailed *bool) {
	*n++
	zone := rapid.SampledFrom([]quetzalunit.ZoneID{"a", "b"}).Draw(rt, "zone")
	entry := quetzalsimulation.EntryID(zone, rapid.IntRange(0, 2).Draw(rt, "entry"))
	host := quetzalunit.HostID(fmt.Sprintf("%s-host%d", zone, rapid.IntRange(0, 5).Draw(rt, "host")))
	e := sim.Entry(entry)
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
			sim.Submit(entry, in)
		}
	case 4:
		in := request(fmt.Sprintf("r%d-0", rapid.IntRange(1, *n).Draw(rt, "again")), false)
		for _, s := range sim.Submissions {
			if s.ID == in.ID {
				in.Queue = s.Queue
				in.Idempotent = s.Idempotent
			}
		}
		sim.Submit(entry, in)
	case 5:
		sim.Kill(entry)
		id := entry
		if rapid.Bool().Draw(rt, "another name") {
			id = quetzalunit.EntryID(fmt.Sprintf("%s-new%d", zone, *n))
		}
		sim.After(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "down"))*time.Millisecond, func() {
			if e := sim.Entry(id); e == nil || e.Dead {
				sim.AddEntry(id, zone)
			}
		})
	case 6:
		e.FrozenUntil = sim.Now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "frozen")) * time.Millisecond)
	case 7:
		sim.Platform.Outage = !sim.Platform.Outage
	case 8:
		sim.Platform.AnswersToLose = rapid.IntRange(1, 5).Draw(rt, "lose")
	case 9:
		e.PartitionedFromPeers = !e.PartitionedFromPeers
	case 10:
		e.PartitionedFromPlatform = !e.PartitionedFromPlatform
	case 11:
		pool := rapid.SampledFrom([]quetzalunit.PoolID{"proofs", "editions", "leaflets"}).Draw(rt, "pool")
		sim.SendOperatorAction(entry, quetzalfleet.MoveHost{ID: quetzalunit.ChangeID(fmt.Sprint("m", *n)), Host: host, Pool: pool})
	case 12:
		sim.SendOperatorAction(entry, quetzalfleet.CreateWave{
			ID:   quetzalunit.ChangeID(fmt.Sprint("w", *n)),
			Wave: quetzalfleet.WaveSpec{ID: quetzalunit.WaveID(fmt.Sprint("wave", *n)), MaxConcurrent: 2},
		})
	case 13:
		limit := quetzalunit.Requests(1000 + *n)
		sim.SendOperatorAction(entry, quetzalfleet.ChangeSetting{
			ID: quetzalunit.ChangeID(fmt.Sprint("s", *n)), Path: "Fleet/a", Values: quetzalfleet.SettingValues{QueueLimit: &limit},
		})
	case 14:
		*hostsFailed = true
		sim.Crash(host)
		sim.After(4*time.Second, func() { sim.Minion(host).Down = false })
	}
}
