package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// A predecessor that was cut off stores the failures of runs, and acknowledges their ends, after its successor has taken the pool over. With
// the failure that a minion reported to the successor they use up the attempts of the task, which must not start again.
func TestFailuresThatAPredecessorStoredLateUseUpTheAttempts(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, oldDuty))
	failure := func(run quetzalunit.RunNumber) quetzalwork.TaskFailure { return quetzalwork.TaskFailure{Run: run} }
	d.minions = append(d.minions, quetzalwork.MinionRecord{
		ID: "m1", Pool: testPool, Address: "m1", Capacity: quetzalunit.Resources{Cores: 8000, Memory: 16000}, Incarnation: 1, Host: "h1",
	})
	silent := true
	d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := d.idle(c)
		switch {
		case c.Target.Minion == "m1" && silent:
			in.Result = quetzalwork.OrderUnanswered{}
		case c.Target.Minion == "m0" && c.AckedThrough == 0:
			in.Ends = []quetzalwork.ReportedEnd{{Number: 1, Task: quetzalwork.TaskID{Job: testJob}, Run: 3, Outcome: quetzalwork.OutcomeFailed}}
		}
		return in
	}
	d.run(2 * time.Second)
	require.Empty(t, d.starts, "one minion has not answered")
	d.rows = append(d.rows, progress(testJob, quetzalwork.Progress{State: quetzalwork.JobRunning, Failures: []quetzalwork.TaskFailure{failure(1), failure(2)}}))
	silent = false
	d.run(8 * time.Second)
	require.Empty(t, d.starts, "three runs have failed, as many as the queue permits")
}

// The progress that a successor loads may have as many failures as the queue permits, when the predecessor counted fewer because each of
// the two knew some of them.
func TestLoadedFailuresUseUpTheAttempts(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, oldDuty), progress(testJob, quetzalwork.Progress{
		State: quetzalwork.JobRunning, Failures: []quetzalwork.TaskFailure{{Run: 1}, {Run: 2}, {Run: 3}},
	}))
	d.answerPoll = d.idle
	d.run(8 * time.Second)
	require.Empty(t, d.starts, "three runs have failed, as many as the queue permits")
}
