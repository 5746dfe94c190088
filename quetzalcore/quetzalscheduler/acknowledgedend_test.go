package quetzalscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const acknowledgedLine = "The end of a run is acknowledged."

// loggedWith returns the logged decisions with a message.
func (d *dispatcher) loggedWith(message string) []quetzalwork.Decision {
	var lines []quetzalwork.Decision
	for _, l := range d.logged {
		if l.Message == message {
			lines = append(lines, l)
		}
	}
	return lines
}

// reportEnds makes the minions run nothing and report ends until they are acknowledged.
func (d *dispatcher) reportEnds(ends ...quetzalwork.ReportedEnd) {
	d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := d.idle(c)
		in.Ends = d.unacked(ends)
		return in
	}
}

func TestAcknowledgedEndIsLoggedWithItsRecord(t *testing.T) {
	f := newFleet(1, threeZones, 3, 6, testConfig())
	var lines []quetzalwork.Decision
	f.onLog = func(d quetzalwork.Decision) {
		if d.Message == acknowledgedLine {
			lines = append(lines, d)
		}
	}
	f.run(3 * time.Second)
	id := f.submit(f.entries[0], testStep(1), testStep(1, 0))
	runAndVerify(t, f, 10*time.Second)
	require.Len(t, lines, 2)
	row, _ := f.store.stored(quetzalwork.JobRow{Job: id, Content: quetzalwork.JobProgress{}})
	require.Equal(t, "Stored", lines[0].Reason)
	require.Less(t, lines[0].Version, int64(row.Revision))
	require.Equal(t, "Stored", lines[1].Reason)
	require.Equal(t, int64(row.Revision), lines[1].Version)
}

func TestAcknowledgedEndOfAnUnknownJobIsLogged(t *testing.T) {
	d := newDispatcher(t)
	d.reportEnds(quetzalwork.ReportedEnd{Number: 1, Task: quetzalwork.TaskID{Job: otherJob}, Run: 7})
	d.run(6 * time.Second)
	lines := d.loggedWith(acknowledgedLine)
	require.Len(t, lines, 1)
	require.Equal(t, "UnknownJob", lines[0].Reason)
	require.False(t, lines[0].Routine)
}

// A successor that has read the rows up to a lower revision does not know all ends that were acknowledged.
func TestEndOfDispatchIsLoggedWithWhatWasStored(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, testToken))
	d.answerPoll, d.recordsProgress = d.idle, true
	for range 100 {
		if len(d.starts) == 0 {
			d.run(20 * time.Millisecond)
		}
	}
	require.Len(t, d.starts, 1)
	d.reportEnds(quetzalwork.ReportedEnd{Number: 1, Task: d.starts[0].Task, Run: d.starts[0].Number, Outcome: quetzalwork.OutcomeDone})
	d.run(time.Second)
	require.Len(t, d.stored, 1)
	c := d.stored[0]
	d.tick(quetzalwork.ProgressStored{Pool: c.Pool, Shard: c.Shard, Token: c.Token, Jobs: c.Jobs, Revision: testToken + 5})
	d.tick(quetzalwork.StopRequested{})
	d.run(300 * time.Millisecond)
	lines := d.loggedWith("This entry has stored progress up to a revision.")
	require.Len(t, lines, 1)
	require.EqualValues(t, testToken+5, lines[0].Version)
	require.Equal(t, fmt.Sprintf("Token%d", testToken), lines[0].Reason)
	require.False(t, lines[0].Routine)
}

func TestDoneRunThatNoLongerCountedIsLogged(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, testToken))
	d.answerPoll = d.idle
	d.run(2 * time.Second)
	require.Greater(t, len(d.starts), 1, "no report shows the run")
	d.reportEnds(quetzalwork.ReportedEnd{Number: 1, Task: d.starts[0].Task, Run: d.starts[0].Number})
	d.run(time.Second)
	placed := d.loggedWith("A task is placed.")
	require.Empty(t, placed[0].Reason)
	require.Equal(t, "AbsentLapsed", placed[1].Reason)
	lines := d.loggedWith("A run that no longer counted has ended as done.")
	require.Len(t, lines, 1)
	require.Equal(t, d.starts[0].Number, lines[0].Run)
	require.Equal(t, int64(d.starts[len(d.starts)-1].Number), lines[0].Version, "the run that is at work meanwhile")
}

// Guards against a run that goes on although a row that becomes known after its start shows its task as done. The task of
// a job that has further ones is not stopped with the job.
func TestRunOfATaskThatARowShowsAsDoneIsStopped(t *testing.T) {
	row := accepted(testJob, testToken)
	row.Content.(quetzalwork.AcceptedJob).Spec.Steps[0] = smallStep(2)
	d := newDispatcher(t, row)
	d.reports(nil)
	d.run(2 * time.Second)
	require.Len(t, d.starts, 2)
	require.Empty(t, d.stops)
	d.rows = append(d.rows, progress(testJob, quetzalwork.Progress{State: quetzalwork.JobRunning, Done: []quetzalwork.TaskRef{{Task: 1}}}))
	d.run(2 * time.Second)
	require.NotEmpty(t, d.stops)
	require.Equal(t, quetzalunit.TaskIndex(1), d.stops[0].Task.Task)
	require.Len(t, d.starts, 2)
}
