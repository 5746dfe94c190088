package quetzalscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// submitSchedule submits a job that runs a step several times.
func (f *fleet) submitSchedule(e *entry, occurrences quetzalunit.Occurrence, interval time.Duration, steps ...quetzalwork.StepSpec) quetzalunit.JobID {
	f.lastID++
	id := quetzalunit.JobID(fmt.Sprintf("%016x", f.lastID))
	f.send(e, id, &quetzalwork.JobSpec{Payload: "text", Steps: steps, Occurrences: occurrences, Interval: interval, FirstAt: f.now})
	return id
}

// Guards against the progress of a repeating job that grows with the number of its occurrences, until
// the store rejects it. The ends of its runs were then never acknowledged.
func TestProgressDoesNotGrowWithTheNumberOfOccurrences(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(seed, threeZones, 3, 4, testConfig())
		f.store.maxRowBytes = 4096
		f.run(3 * time.Second)
		const occurrences, tasks = 300, 4
		step := smallStep(tasks)
		step.Estimate = 100 * time.Millisecond
		id := f.submitSchedule(f.entries[0], occurrences, 50*time.Millisecond, step, step)
		f.run(8 * time.Second)
		f.holder().kill()
		runAndVerify(t, f, 30*time.Second)
		require.Zero(t, f.store.rejected)
		require.Equal(t, quetzalwork.JobCompleted, f.storedState(id))
		require.LessOrEqual(t, len(f.checker.records), occurrences*tasks*2)
		h := f.holder().world
		require.Zero(t, h.Steps.Len(), "the steps of finished occurrences stay in memory")
	}
}

// Guards against finished occurrences that run again: another writer's row names some that this
// dispatcher has created already, and some that are not due yet.
func TestFinishedOccurrencesOfAConflictingRowRunNoMore(t *testing.T) {
	row := accepted(testJob, testToken)
	a := row.Content.(quetzalwork.AcceptedJob)
	a.Spec.Occurrences, a.Spec.Interval, a.Spec.FirstAt = 6, time.Second, quetzalunit.InstantOf(time.Unix(1000, 0))
	a.Spec.Steps = append(a.Spec.Steps, testStep(1, 0))
	row.Content = a
	d := newDispatcher(t, row)
	d.recordsProgress = true
	d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := d.idle(c)
		for _, s := range d.starts {
			if s.Task.Occurrence > 0 {
				in.Running = append(in.Running, quetzalwork.ReportedRun{Task: s.Task, Number: s.Number})
			} else {
				in.Ends = []quetzalwork.ReportedEnd{{Number: 1, Task: s.Task, Run: s.Number}}
			}
		}
		return in
	}
	d.run(time.Second)
	require.NotEmpty(t, d.stored)
	c := d.stored[0]
	current := progress(testJob, quetzalwork.Progress{State: quetzalwork.JobRunning, DoneOccurrences: quetzalwork.OccurrenceSet{{First: 0, End: 1}, {First: 3, End: 5}}})
	d.tick(quetzalwork.ProgressStored{Result: quetzalwork.StoreConflict, Pool: c.Pool, Shard: c.Shard, Token: c.Token, Jobs: c.Jobs, CurrentRows: []quetzalwork.JobRow{current}})
	started := len(d.starts)
	d.run(7 * time.Second)
	var occurrences []quetzalunit.Occurrence
	for _, s := range d.starts[started:] {
		occurrences = append(occurrences, s.Task.Occurrence)
	}
	require.Equal(t, []quetzalunit.Occurrence{2, 5}, occurrences)
	j := d.w.Jobs.At(d.w.JobByID.Get(testJob))
	require.Equal(t, quetzalunit.Occurrence(3), j.CompletedOccurrences)
	require.Equal(t, quetzalunit.Occurrence(6), j.CreatedOccurrences)
}
