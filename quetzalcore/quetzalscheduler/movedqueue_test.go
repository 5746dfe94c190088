package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
