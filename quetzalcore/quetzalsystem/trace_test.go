package quetzalsystem_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsimulation"
	"quetzalstair/quetzalcore/quetzalunit"
)

// trace is a recorded sequence of events with the expected results.
type trace struct {
	Seed  uint64
	RunMs int64
	Steps []traceStep
	// ForMs is the time from the start to the checks.
	ForMs int64
	// Outcomes has the expected outcomes of each request, in the order of the answers.
	Outcomes map[quetzalunit.RequestID][]string
	// Runs has the expected number of runs of each request on minions.
	Runs map[quetzalunit.RequestID]int
	// Pools has the expected pool of each host at the end.
	Pools map[quetzalunit.HostID]quetzalunit.PoolID
}

// traceStep is one event. Do names it and determines which of the other fields are used.
type traceStep struct {
	AtMs       int64
	Do         string
	Entry      quetzalunit.EntryID
	Zone       quetzalunit.ZoneID
	Host       quetzalunit.HostID
	Pool       quetzalunit.PoolID
	Request    quetzalunit.RequestID
	Queue      quetzalunit.QueueID
	Idempotent bool
	On         bool
	ForMs      int64
	Count      int
}

// perform carries out the step.
func (s *traceStep) perform(t *testing.T, sim *quetzalsimulation.Simulation) {
	t.Helper()
	switch s.Do {
	case "Submit":
		in := request(string(s.Request), s.Idempotent)
		if s.Queue != "" {
			in.Queue = s.Queue
		}
		sim.Submit(s.Entry, in)
	case "Kill":
		sim.Kill(s.Entry)
	case "Start":
		sim.AddEntry(s.Entry, s.Zone)
	case "Stop":
		sim.Stop(s.Entry)
	case "Freeze":
		sim.Entry(s.Entry).FrozenUntil = sim.Now.Add(time.Duration(s.ForMs) * time.Millisecond)
	case "CutPeers":
		sim.Entry(s.Entry).PartitionedFromPeers = s.On
	case "CutPlatform":
		sim.Entry(s.Entry).PartitionedFromPlatform = s.On
	case "Outage":
		sim.Platform.Outage = s.On
	case "LoseAnswers":
		sim.Platform.AnswersToLose = s.Count
	case "Crash":
		sim.Crash(s.Host)
	case "BlackHole":
		sim.Minion(s.Host).BlackHole = s.On
	case "Move":
		sim.SendOperatorAction(s.Entry, quetzalfleet.MoveHost{ID: quetzalunit.ChangeID("move-" + s.Host), Host: s.Host, Pool: s.Pool})
	case "Wave":
		sim.SendOperatorAction(s.Entry, quetzalfleet.CreateWave{ID: "wave", Wave: quetzalfleet.WaveSpec{ID: "wave", MaxConcurrent: 2}})
	default:
		require.Fail(t, "unknown step "+s.Do)
	}
}

// TestTraces replays every recorded trace and checks the expected results.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			var tr trace
			require.NoError(t, json.Unmarshal(data, &tr))
			replay(t, &tr)
		})
	}
}

// replay runs the steps of a trace and checks its results and the system's guarantees.
func replay(t *testing.T, tr *trace) {
	t.Helper()
	sim := newSimulation(t, tr.Seed, smallFleet())
	if tr.RunMs > 0 {
		sim.RunTime = func(quetzalunit.RequestID) time.Duration { return time.Duration(tr.RunMs) * time.Millisecond }
	}
	sim.OnCommit = func() { require.Empty(t, sim.BudgetViolations()) }
	for i := range tr.Steps {
		s := &tr.Steps[i]
		sim.After(time.Duration(s.AtMs)*time.Millisecond, func() { s.perform(t, sim) })
	}
	sim.Advance(time.Duration(tr.ForMs) * time.Millisecond)
	require.Empty(t, sim.Violations())
	require.Empty(t, sim.Unanswered())
	runs := make(map[quetzalunit.RequestID]int)
	for _, run := range sim.Runs.All() {
		runs[run.Request]++
	}
	for id, want := range tr.Outcomes {
		var got []string
		for _, o := range outcomesOf(sim, string(id)) {
			name, _ := quetzalcodec.OutcomeName(o)
			got = append(got, name)
		}
		require.Equal(t, want, got, "outcomes of %s", id)
	}
	for id, want := range tr.Runs {
		require.Equal(t, want, runs[id], "runs of %s", id)
	}
	for host, want := range tr.Pools {
		require.Equal(t, want, hostSpec(sim, host).Pool, "pool of %s", host)
	}
}
