package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// A store whose reads are behind shows rows as they were before the takeover, or before an earlier read. However late such a
// read was sent, it lacks what the predecessor stored last.
func TestOutdatedReadsShowNothingOfAPredecessor(t *testing.T) {
	done := progress(testJob, quetzalwork.Progress{State: quetzalwork.JobRunning, Done: []quetzalwork.TaskRef{{}}})
	first := func(c quetzalwork.ReadPoolJobs) bool { return c.Full && c.StartKey == "" }
	page := func(c quetzalwork.ReadPoolJobs) bool { return c.StartKey != "" }
	changes := func(c quetzalwork.ReadPoolJobs) bool { return !c.Full }
	for name, test := range map[string]struct {
		outdated func(quetzalwork.ReadPoolJobs) bool
		shown    quetzalunit.Revision
	}{
		"load before the takeover": {first, testToken - 10}, "page before the takeover": {page, testToken - 10}, "page before the one before": {page, testToken + 5},
		"changes before the takeover": {changes, testToken - 10}, "changes before the load": {changes, testToken + 5},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(t)
			d.answerPoll = d.idle
			behind, compacted := true, false
			d.readRows = func(c quetzalwork.ReadPoolJobs) quetzalwork.Input {
				in := quetzalwork.PoolJobsRead{Pool: c.Pool, Token: c.Token, Full: c.Full, SeenRevision: testToken + 10, SentAt: c.SentAt}
				if !c.Full && !compacted {
					compacted, in.Result = true, quetzalwork.StoreCompacted
					return in
				}
				if c.StartKey == "" {
					in.Rows = []quetzalwork.JobRow{accepted(testJob, oldDuty)}
				}
				if c.Full && c.StartKey == "" {
					in.More, in.NextKey = true, "next"
				}
				switch {
				case test.outdated(c) && behind:
					in.SeenRevision = test.shown
				case test.outdated(c):
					in.Rows = append(in.Rows, done)
				}
				return in
			}
			d.run(12 * time.Second)
			require.Empty(t, d.starts)
			behind = false
			d.run(2 * time.Second)
			require.Empty(t, d.starts)
			p := d.w.Pools.At(d.w.PoolByID.Get(testPool))
			require.True(t, p.JobsLoaded && p.PredecessorWorkKnown)
			require.GreaterOrEqual(t, p.SeenRevision, testToken+quetzalunit.Revision(10))
		})
	}
}
