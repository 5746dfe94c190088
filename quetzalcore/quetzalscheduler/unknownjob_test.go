package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Guards against an end that is acknowledged unrecorded: its job is not known yet, and the pool's rows cannot be read.
func TestEndOfAnUnknownJobWaitsForARead(t *testing.T) {
	d := newDispatcher(t)
	d.run(2 * time.Second)
	d.rowsFail = true
	d.reportEnds(quetzalwork.ReportedEnd{Number: 1, Task: quetzalwork.TaskID{Job: testJob}, Run: 1})
	d.run(15 * time.Second)
	require.Zero(t, d.acked())
	d.rowsFail = false
	d.run(2 * time.Second)
	require.Equal(t, quetzalunit.EndNumber(1), d.acked())
}

// Guards against an end that is acknowledged unrecorded because its minion has reported a run of another unknown job
// for a while.
func TestEndsOfUnknownJobsWaitEachForItself(t *testing.T) {
	d := newDispatcher(t)
	d.recordsProgress = true
	running := []quetzalwork.ReportedRun{{Task: quetzalwork.TaskID{Job: otherJob}, Number: 1}}
	d.reports(running)
	d.run(8 * time.Second)
	d.reports(running, quetzalwork.ReportedEnd{Number: 1, Task: quetzalwork.TaskID{Job: testJob}, Run: 1})
	d.run(2 * time.Second)
	require.Zero(t, d.acked())
	d.rows = []quetzalwork.JobRow{accepted(testJob, testToken)}
	d.run(2 * time.Second)
	require.Zero(t, d.acked())
	require.Len(t, d.stored, 1)
	d.storesAll()
	require.Equal(t, quetzalunit.EndNumber(1), d.acked())
}

// Guards against an end that is acknowledged unrecorded because its job is no longer known: it was one of another pool,
// whose dispatch has ended.
func TestEndOfAJobThatIsNoLongerKnownIsNotAcknowledged(t *testing.T) {
	d := newDispatcher(t)
	d.recordsProgress = true
	rows := []quetzalwork.JobRow{accepted(testJob, testToken)}
	d.readRows = func(c quetzalwork.ReadPoolJobs) quetzalwork.Input {
		in := quetzalwork.PoolJobsRead{Pool: c.Pool, Token: c.Token, Full: c.Full, SeenRevision: testToken, SentAt: c.SentAt}
		if c.Pool == hallPool {
			in.Rows = rows
		}
		return in
	}
	duty := quetzalwork.Duty{Holder: "e0", Incarnation: 1, Address: "e0", Revision: testToken}
	d.tick(quetzalwork.MembersRead{SentAt: d.now, Duties: map[quetzalunit.PoolID]quetzalwork.Duty{hallPool: duty}})
	d.reportEnds(quetzalwork.ReportedEnd{Number: 1, Task: quetzalwork.TaskID{Job: testJob}, Run: 1})
	d.run(2 * time.Second)
	require.Zero(t, d.acked())
	duty.Holder, duty.Revision = "e1", testToken+1
	d.tick(quetzalwork.MembersRead{SentAt: d.now, Duties: map[quetzalunit.PoolID]quetzalwork.Duty{hallPool: duty}})
	require.Zero(t, d.w.JobByID.Get(testJob))
	d.run(2 * time.Second)
	require.Zero(t, d.acked())
	d.run(4 * time.Second)
	require.Equal(t, quetzalunit.EndNumber(1), d.acked(), "no later end waits for it for ever")
}
