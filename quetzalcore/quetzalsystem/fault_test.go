package quetzalsystem_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsimulation"
	"quetzalstair/quetzalcore/quetzalunit"
)

// faults are the faults under which each guarantee is tested. They affect entry
// a-entry2, zone a, a rack of it or the platform.
var faults = []struct {
	name   string
	inject func(*quetzalsimulation.Simulation)
}{
	{"none", func(*quetzalsimulation.Simulation) {}},
	{"kill", func(sim *quetzalsimulation.Simulation) { sim.Kill("a-entry2") }},
	{"freeze past the lease", func(sim *quetzalsimulation.Simulation) {
		sim.Entry("a-entry2").FrozenUntil = sim.Now.Add(8 * time.Second)
	}},
	{"partitioned from peers", func(sim *quetzalsimulation.Simulation) { sim.Entry("a-entry2").PartitionedFromPeers = true }},
	{"zone partitioned from the platform", func(sim *quetzalsimulation.Simulation) {
		for n := range 3 {
			sim.Entry(quetzalsimulation.EntryID("a", n)).PartitionedFromPlatform = true
		}
	}},
	{"outage", func(sim *quetzalsimulation.Simulation) { sim.Platform.Outage = true }},
	{"answers lost", func(sim *quetzalsimulation.Simulation) { sim.Platform.AnswersToLose = 20 }},
	{"outage and kill", func(sim *quetzalsimulation.Simulation) {
		sim.Platform.Outage = true
		sim.Kill("a-entry2")
	}},
	{"a rack lost", func(sim *quetzalsimulation.Simulation) {
		// Rack a-rack1 consists of a-host2 and a-host3, which are in different pools.
		sim.Crash("a-host2")
		sim.Crash("a-host3")
	}},
}

// submitGeneratedIDs submits a request with a generated id every 10 ms, in turn to the entries
// of zone a.
func submitGeneratedIDs(sim *quetzalsimulation.Simulation, d time.Duration) {
	n := 0
	for at := time.Duration(0); at < d; at += 10 * time.Millisecond {
		in := request(fmt.Sprint("q~load", n), false)
		in.ClaimExempt = true
		entry := quetzalsimulation.EntryID("a", n%3)
		sim.After(at, func() { sim.Submit(entry, in) })
		n++
	}
}

// Three seconds after a minion begins to leave, no entry sends it new work. An entry
// that was frozen has three seconds from the end of the freeze.
func TestLeavingMinionUnderFaults(t *testing.T) {
	const bound = 3 * time.Second
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			sim := newSimulation(t, 3, smallFleet())
			submitGeneratedIDs(sim, 20*time.Second)
			sim.Advance(2 * time.Second)
			fault.inject(sim)
			sim.Advance(200 * time.Millisecond)
			sim.Minion("a-host0").Leaving = true
			sim.Minion("a-host0").ListedState = quetzalfleet.ListedLeaving
			sim.Advance(bound)
			// The minion now accepts work again, so that a late attempt shows as a run.
			sim.Minion("a-host0").Leaving = false
			cutoff := sim.Now
			sim.Advance(12 * time.Second)
			frozenUntil := sim.Entry("a-entry2").FrozenUntil
			for _, run := range sim.Runs.All() {
				frozen := run.Entry == entryRow(sim, "a-entry2") && run.Start < frozenUntil.Add(bound)
				if run.Host == "a-host0" && !frozen {
					require.Less(t, run.Start, cutoff, "request %s of %s", run.Request, sim.Entries.At(run.Entry).ID)
				}
			}
			require.Empty(t, sim.Violations())
		})
	}
}

func entryRow(sim *quetzalsimulation.Simulation, id quetzalunit.EntryID) quetzalfleet.Row {
	for row, e := range sim.Entries.All() {
		if e == sim.Entry(id) {
			return row
		}
	}
	return 0
}

// An entry that stops as planned answers every request that it accepted, also while a
// fault affects another entry or the platform.
func TestPlannedStopUnderFaults(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			sim := newSimulation(t, 4, smallFleet())
			sim.RunTime = func(quetzalunit.RequestID) time.Duration { return 700 * time.Millisecond }
			for n := range 20 {
				sim.Submit("a-entry0", request(fmt.Sprint("r", n), n%2 == 0))
			}
			sim.Advance(50 * time.Millisecond)
			fault.inject(sim)
			sim.Stop("a-entry0")
			sim.Advance(20 * time.Second)
			require.True(t, sim.Entry("a-entry0").Finished)
			require.Len(t, sim.Answers, 20)
			for _, a := range sim.Answers {
				require.IsType(t, quetzalfleet.Ran{}, a.Outcome)
			}
			require.Empty(t, sim.Violations())
		})
	}
}

// At most 17 s after the fault has ended, a settings change is in force at every live
// entry. The version in force at an entry never decreases.
func TestSettingsUnderFaults(t *testing.T) {
	const bound = 17 * time.Second
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			sim := newSimulation(t, 5, smallFleet())
			highest := make(map[quetzalunit.Incarnation]quetzalunit.Version)
			sim.OnTick = func(e *quetzalsimulation.Entry) {
				self := e.World.Self.Incarnation
				require.GreaterOrEqual(t, e.World.SettingsVersion, highest[self])
				highest[self] = e.World.SettingsVersion
			}
			fault.inject(sim)
			limit := quetzalunit.Requests(77)
			c := sim.SendOperatorAction("b-entry0", quetzalfleet.ChangeSetting{
				ID: "c", Path: "Fleet", Values: quetzalfleet.SettingValues{QueueLimit: &limit},
			})
			sim.Advance(8 * time.Second)
			sim.Platform.Outage = false
			for _, e := range sim.Entries.All() {
				e.PartitionedFromPeers, e.PartitionedFromPlatform = false, false
			}
			sim.Advance(bound)
			changed, ok := sim.OperatorResult(c).(quetzalfleet.ChangeAccepted)
			require.True(t, ok, "%#v", sim.OperatorResult(c))
			for _, e := range sim.Entries.All() {
				if !e.Dead {
					require.Equal(t, changed.Version, e.World.SettingsVersion, e.ID)
				}
			}
		})
	}
}

// A request that is sent again to another entry gets the answer of the same run, or an
// outcome that agrees with what the minions ran.
func TestRequestsUnderFaults(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			sim := newSimulation(t, 6, smallFleet())
			for n := range 300 {
				in := request(fmt.Sprint("r", n), n%3 == 0)
				in.Queue = []quetzalunit.QueueID{"proofs", "editions", "posters"}[n%3]
				at := time.Duration(n) * 10 * time.Millisecond
				sim.After(at, func() { sim.Submit(quetzalsimulation.EntryID("a", n%3), in) })
				sim.After(at+1500*time.Millisecond, func() { sim.Submit(quetzalsimulation.EntryID("a", (n+1)%3), in) })
			}
			sim.After(time.Second, func() { fault.inject(sim) })
			sim.Advance(20 * time.Second)
			require.Empty(t, sim.Violations())
			require.Empty(t, sim.Unanswered())
			require.NotEmpty(t, sim.Answers)
		})
	}
}

// A wave keeps all availability budgets during each fault and finishes after it. The
// loss of a rack breaks a budget by itself, so the budgets are not checked for it.
func TestWaveUnderFaults(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			sim := newSimulation(t, 7, smallFleet())
			submitGeneratedIDs(sim, 10*time.Second)
			sim.SendOperatorAction("a-entry0", quetzalfleet.CreateWave{ID: "w", Wave: quetzalfleet.WaveSpec{ID: "w", MaxConcurrent: 2}})
			sim.Advance(time.Second)
			if fault.name != "a rack lost" {
				sim.OnCommit = func() { require.Empty(t, sim.BudgetViolations()) }
			}
			fault.inject(sim)
			sim.Advance(10 * time.Second)
			sim.Platform.Outage = false
			for _, e := range sim.Entries.All() {
				e.PartitionedFromPeers, e.PartitionedFromPlatform = false, false
			}
			for _, m := range sim.Minions.All() {
				m.Down = false
			}
			sim.Advance(3 * time.Minute)
			w := sim.Entry("b-entry0").World
			require.Equal(t, quetzalfleet.WaveFinished, w.Waves.At(w.WaveByID.Get("w")).State)
			require.Empty(t, sim.Violations())
		})
	}
}
