package quetzalscheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Guards against a job whose progress the store rejects and that holds up the others: their progress was
// in the same transactions, and the ends of their runs followed its ends.
func TestJobWithRejectedProgressHoldsUpNoOther(t *testing.T) {
	f := newFleet(1, threeZones, 3, 2, testConfig())
	f.store.maxRowBytes = 300
	f.maxReportedEnds = 20
	f.run(3 * time.Second)
	// Each second task of the large job runs on and on, so that its done tasks are many ranges.
	var large quetzalunit.JobID
	f.runTime = func(task quetzalwork.TaskID) time.Duration {
		if task.Job == large && task.Task%2 == 0 {
			return time.Hour
		}
		return 300 * time.Millisecond
	}
	wide := smallStep(200)
	wide.Resources.Cores = 50
	large = f.submit(f.entries[0], wide)
	f.run(100 * time.Millisecond)
	var others []quetzalunit.JobID
	for range 5 * quetzalwork.ShardCount {
		others = append(others, f.submit(f.entries[0], smallStep(2)))
	}
	f.run(6 * time.Second)
	require.Empty(t, f.checker.violations)
	require.NotZero(t, f.store.rejected)
	for _, id := range others {
		require.Equal(t, quetzalwork.JobCompleted, f.storedState(id))
	}
	require.Equal(t, quetzalwork.JobFailed, f.storedState(large), "a job whose progress cannot be stored is given up")
	require.Zero(t, f.checker.running(large))
}

// Guards against a large submission that makes the store reject those that are stored with it.
func TestSubmissionThatCannotBeStoredHoldsUpNoOther(t *testing.T) {
	f := newFleet(1, threeZones, 3, 2, testConfig())
	f.store.maxRowBytes = 2000
	f.run(3 * time.Second)
	var ids []quetzalunit.JobID
	for i := range 8 * quetzalwork.ShardCount {
		f.lastID++
		id := quetzalunit.JobID(fmt.Sprintf("%016x", f.lastID))
		spec := &quetzalwork.JobSpec{Payload: "text", Steps: []quetzalwork.StepSpec{smallStep(1)}}
		if i == 0 {
			spec.Payload = strings.Repeat("x", 3000)
		}
		f.send(f.entries[0], id, spec)
		ids = append(ids, id)
	}
	f.run(2 * time.Second)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.InvalidJob{Problem: "the job cannot be stored"}}, f.answers[ids[0]])
	for _, id := range ids[1:] {
		require.Equal(t, []quetzalwork.Answer{quetzalwork.JobAccepted{}}, f.answers[id])
	}
	runAndVerify(t, f, 5*time.Second)
}

// A minion answers that a start is outdated also if it has carried the order out before, as on a connection that broke, and the
// run has ended there. Its next report is late.
func TestOutdatedStartWhoseRunHasEndedIsNotRepeated(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, testToken))
	d.rejectsStarts, d.recordsProgress = true, true
	other := testMinions[0]
	other.ID, other.Address, other.Host = "m1", "m1", "h1"
	d.minions = append(d.minions[:1:1], other)
	var silentUntil quetzalunit.Instant
	d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := d.idle(c)
		if len(d.starts) > 0 && c.Target.Minion == d.starts[0].Target.Minion {
			in.Ends = []quetzalwork.ReportedEnd{{Number: 1, Task: d.starts[0].Task, Run: d.starts[0].Number}}
			if d.now < silentUntil {
				in = quetzalwork.MinionPolled{Minion: c.Minion, Token: c.Target.Token, SentAt: c.SentAt, Result: quetzalwork.OrderUnanswered{}}
			}
		}
		return in
	}
	silentUntil = d.now.Add(time.Second)
	d.run(3 * time.Second)
	require.Len(t, d.starts, 1)
	require.NotEmpty(t, d.stored)
}
