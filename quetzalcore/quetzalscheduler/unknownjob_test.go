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
