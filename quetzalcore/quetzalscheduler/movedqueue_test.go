package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Guards against a cancellation that is stored with another pool than the job, whose queue has moved there. The
// dispatcher acknowledged the ends of its tasks, and a successor that did not find the cancellation started them again.
func TestCancelledJobOfAMovedQueueStartsNoMore(t *testing.T) {
	f := newAccountFleet(1, 1, 4, accountConfig())
	f.run(4 * time.Second)
	f.runTime = func(quetzalwork.TaskID) time.Duration { return 2 * time.Second }
	id := f.submit(f.entries[0], testStep(4))
	cfg := accountConfig()
	cfg.Version, cfg.Queues[0].Pool = 2, hallPool
	f.putConfig(cfg)
	f.run(1900 * time.Millisecond)
	f.cancel(f.entries[0], id)
	f.run(20 * time.Millisecond)
	require.Contains(t, f.answers[id], quetzalwork.Answer(quetzalwork.CancelAccepted{}))
	f.storeDown = true
	f.run(time.Second)
	require.Len(t, f.checker.records, 4)
	f.entries[0].kill()
	f.storeDown = false
	f.entries[0].start()
	f.run(20 * time.Second)
	require.Empty(t, f.checker.violations)
	for _, runs := range f.checker.records {
		require.Len(t, runs, 1)
	}
}

// Guards against rows of a job of the same ID in another pool, to which its queue has moved and where it was submitted
// again: its progress and its cancellation there say nothing of the job here.
func TestRowsOfAnotherPoolDoNotApplyToAJob(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, testToken))
	d.recordsProgress = true
	d.reports(nil)
	d.run(2 * time.Second)
	require.Len(t, d.starts, 1)
	d.readRows = func(c quetzalwork.ReadPoolJobs) quetzalwork.Input {
		in := quetzalwork.PoolJobsRead{Pool: c.Pool, Token: c.Token, Full: c.Full, SeenRevision: testToken, SentAt: c.SentAt}
		if c.Pool == hallPool {
			in.Rows = []quetzalwork.JobRow{
				accepted(testJob, testToken), {Job: testJob, Content: quetzalwork.JobCancellation{}}, progress(testJob, quetzalwork.Progress{State: quetzalwork.JobRunning}),
			}
		}
		return in
	}
	duty := quetzalwork.Duty{Holder: "e0", Incarnation: 1, Address: "e0", Revision: testToken}
	d.tick(quetzalwork.MembersRead{SentAt: d.now, Duties: map[quetzalunit.PoolID]quetzalwork.Duty{hallPool: duty}})
	require.True(t, d.w.Pools.At(d.w.PoolByID.Get(hallPool)).JobsLoaded)
	d.reportEnds(quetzalwork.ReportedEnd{Number: 1, Task: quetzalwork.TaskID{Job: testJob}, Run: d.starts[0].Number})
	d.run(2 * time.Second)
	require.Zero(t, d.acked(), "the end is not stored")
	require.Len(t, d.stored, 1)
	require.Zero(t, d.stored[0].Rows[0].Revision, "the job has no progress in its pool")
}
