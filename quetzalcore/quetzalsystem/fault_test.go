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
	{"kill", func(trial *quetzalsimulation.Simulation) { trial.Kill("a-entry2") }},
	{"freeze past the lease", func(trial *quetzalsimulation.Simulation) {
		trial.Entry("a-entry2").FrozenUntil = trial.Now.Add(8 * time.Second)
	}},
	{"cut from peers", func(trial *quetzalsimulation.Simulation) { trial.Entry("a-entry2").PartitionedFromPeers = true }},
	{"zone cut from the platform", func(trial *quetzalsimulation.Simulation) {
		for n := range 3 {
			trial.Entry(quetzalsimulation.EntryID("a", n)).PartitionedFromPlatform = true
		}
	}},
	{"outage", func(trial *quetzalsimulation.Simulation) { trial.Platform.Outage = true }},
	{"answers lost", func(trial *quetzalsimulation.Simulation) { trial.Platform.AnswersToLose = 20 }},
	{"outage and kill", func(trial *quetzalsimulation.Simulation) {
		trial.Platform.Outage = true
		trial.Kill("a-entry2")
	}},
	{"a rack lost", func(trial *quetzalsimulation.Simulation) {
		// Rack a-rack1 consists of a-host2 and a-host3, which are in different pools.
		trial.Crash("a-host2")
		trial.Crash("a-host3")
	}},
}

// mintedLoad submits a request with a generated id every 10 ms, in turn to the entries
// of zone a.
func mintedLoad(trial *quetzalsimulation.Simulation, d time.Duration) {
	n := 0
	for at := time.Duration(0); at < d; at += 10 * time.Millisecond {
		in := request(fmt.Sprint("q~load", n), false)
		in.ClaimExempt = true
		entry := quetzalsimulation.EntryID("a", n%3)
		trial.After(at, func() { trial.Submit(entry, in) })
		n++
	}
}

// Three seconds after a minion begins to leave, no entry sends it new work. An entry
// that was frozen has three seconds from the end of the freeze.
func TestLeavingMinionUnderFaults(t *testing.T) {
	const bound = 3 * time.Second
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			trial := newTrial(t, 3, smallFleet())
			mintedLoad(trial, 20*time.Second)
			trial.Advance(2 * time.Second)
			fault.inject(trial)
			trial.Advance(200 * time.Millisecond)
			trial.Minion("a-host0").Leaving = true
			trial.Minion("a-host0").Listed = quetzalfleet.ListedLeaving
			trial.Advance(bound)
			// The minion now accepts work again, so that a late attempt shows as a run.
			trial.Minion("a-host0").Leaving = false
			cutoff := trial.Now
			trial.Advance(12 * time.Second)
			frozenUntil := trial.Entry("a-entry2").FrozenUntil
			for _, run := range trial.Runs.All() {
				frozen := run.Entry == entryRow(trial, "a-entry2") && run.Start < frozenUntil.Add(bound)
				if run.Host == "a-host0" && !frozen {
					require.Less(t, run.Start, cutoff, "request %s of %s", run.Request, trial.Entries.At(run.Entry).ID)
				}
			}
			require.Empty(t, trial.Violations())
		})
	}
}

func entryRow(trial *quetzalsimulation.Simulation, id quetzalunit.EntryID) quetzalfleet.Row {
	for row, e := range trial.Entries.All() {
		if e == trial.Entry(id) {
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
			trial := newTrial(t, 4, smallFleet())
			trial.RunTime = func(quetzalunit.RequestID) time.Duration { return 700 * time.Millisecond }
			for n := range 20 {
				trial.Submit("a-entry0", request(fmt.Sprint("r", n), n%2 == 0))
			}
			trial.Advance(50 * time.Millisecond)
			fault.inject(trial)
			trial.Stop("a-entry0")
			trial.Advance(20 * time.Second)
			require.True(t, trial.Entry("a-entry0").Finished)
			require.Len(t, trial.Answers, 20)
			for _, a := range trial.Answers {
				require.IsType(t, quetzalfleet.Ran{}, a.Outcome)
			}
			require.Empty(t, trial.Violations())
		})
	}
}

// At most 17 s after the fault has ended, a settings change is in force at every live
// entry. The version in force at an entry never decreases.
func TestSettingsUnderFaults(t *testing.T) {
	const bound = 17 * time.Second
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			trial := newTrial(t, 5, smallFleet())
			highest := make(map[quetzalunit.Incarnation]quetzalunit.Version)
			trial.OnTick = func(e *quetzalsimulation.Entry) {
				self := e.World.Self.Incarnation
				require.GreaterOrEqual(t, e.World.SettingsVersion, highest[self])
				highest[self] = e.World.SettingsVersion
			}
			fault.inject(trial)
			limit := quetzalunit.Requests(77)
			c := trial.SendOperatorAction("b-entry0", quetzalfleet.ChangeSetting{
				ID: "c", Path: "Fleet", Values: quetzalfleet.SettingValues{QueueLimit: &limit},
			})
			trial.Advance(8 * time.Second)
			trial.Platform.Outage = false
			for _, e := range trial.Entries.All() {
				e.PartitionedFromPeers, e.PartitionedFromPlatform = false, false
			}
			trial.Advance(bound)
			changed, ok := trial.OperatorResult(c).(quetzalfleet.ChangeAccepted)
			require.True(t, ok, "%#v", trial.OperatorResult(c))
			for _, e := range trial.Entries.All() {
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
			trial := newTrial(t, 6, smallFleet())
			for n := range 300 {
				in := request(fmt.Sprint("r", n), n%3 == 0)
				in.Queue = []quetzalunit.QueueID{"proofs", "editions", "posters"}[n%3]
				at := time.Duration(n) * 10 * time.Millisecond
				trial.After(at, func() { trial.Submit(quetzalsimulation.EntryID("a", n%3), in) })
				trial.After(at+1500*time.Millisecond, func() { trial.Submit(quetzalsimulation.EntryID("a", (n+1)%3), in) })
			}
			trial.After(time.Second, func() { fault.inject(trial) })
			trial.Advance(20 * time.Second)
			require.Empty(t, trial.Violations())
			require.Empty(t, trial.Unanswered())
			require.NotEmpty(t, trial.Answers)
		})
	}
}

// A wave keeps all availability budgets during each fault and finishes after it. The
// loss of a rack breaks a budget by itself, so the budgets are not checked for it.
func TestWaveUnderFaults(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			trial := newTrial(t, 7, smallFleet())
			mintedLoad(trial, 10*time.Second)
			trial.SendOperatorAction("a-entry0", quetzalfleet.CreateWave{ID: "w", Wave: quetzalfleet.WaveSpec{ID: "w", MaxConcurrent: 2}})
			trial.Advance(time.Second)
			if fault.name != "a rack lost" {
				trial.OnCommit = func() { require.Empty(t, trial.BudgetViolations()) }
			}
			fault.inject(trial)
			trial.Advance(10 * time.Second)
			trial.Platform.Outage = false
			for _, e := range trial.Entries.All() {
				e.PartitionedFromPeers, e.PartitionedFromPlatform = false, false
			}
			for _, m := range trial.Minions.All() {
				m.Down = false
			}
			trial.Advance(3 * time.Minute)
			w := trial.Entry("b-entry0").World
			require.Equal(t, quetzalfleet.WaveFinished, w.Waves.At(w.WaveByID.Get("w")).State)
			require.Empty(t, trial.Violations())
		})
	}
}
