package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// moveQueue stores a configuration without the test queue, and then one with the queue again, for another pool.
func (f *fleet) moveQueue(cfg quetzalwork.FleetConfig) {
	cfg.Version++
	removed := cfg
	removed.Queues = cfg.Queues[1:]
	f.putConfig(removed)
	f.run(time.Second)
	cfg.Version++
	returned := cfg
	returned.Queues = append([]quetzalwork.QueueSpec{}, cfg.Queues...)
	returned.Queues[0].Pool = hallPool
	f.putConfig(returned)
	f.run(2 * time.Second)
}

// newMovedQueueFleet returns a fleet with a job of a long task that runs in the pool to which its queue led before.
func newMovedQueueFleet(t *testing.T) (*fleet, quetzalunit.JobID) {
	t.Helper()
	cfg := accountConfig()
	f := newAccountFleet(1, 3, 8, cfg)
	f.runTime = func(quetzalwork.TaskID) time.Duration { return 30 * time.Second }
	f.run(4 * time.Second)
	id := f.submit(f.entries[0], testStep(1))
	f.run(time.Second)
	require.Equal(t, 1, f.checker.running(id))
	f.moveQueue(cfg)
	return f, id
}

// Guards against a second run of an accepted job (TWICE): its request arrives again after its queue was removed and
// added again for another pool.
func TestJobOfAMovedQueueIsAcceptedOnce(t *testing.T) {
	f, id := newMovedQueueFleet(t)
	for _, e := range f.entries {
		f.send(e, id, &quetzalwork.JobSpec{Payload: "text", Steps: []quetzalwork.StepSpec{testStep(1)}})
	}
	f.run(10 * time.Second)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.JobAccepted{}, quetzalwork.JobAccepted{}, quetzalwork.JobAccepted{}, quetzalwork.JobAccepted{}}, f.answers[id])
	require.Empty(t, f.checker.violations)
	for _, runs := range f.checker.records {
		require.Len(t, runs, 1)
	}
}

// Guards against a query that is answered as if an accepted job did not exist (LOST), since its queue leads to another pool now.
func TestJobOfAMovedQueueIsFoundByEachEntry(t *testing.T) {
	f, id := newMovedQueueFleet(t)
	for _, e := range f.entries {
		require.Equal(t, quetzalwork.JobStateAnswer{State: quetzalwork.JobRunning}, f.state(e, id), e.id)
	}
}

// Guards against a cancellation that does not reach a job (UNASKED), since its queue leads to another pool now. Each
// entry is asked in turn, so that one that does not dispatch the job's pool is among them.
func TestJobOfAMovedQueueIsCancelledByEachEntry(t *testing.T) {
	for i := range 3 {
		f, id := newMovedQueueFleet(t)
		f.cancel(f.entries[i], id)
		f.run(2 * time.Second)
		require.Equal(t, []quetzalwork.Answer{quetzalwork.JobAccepted{}, quetzalwork.CancelAccepted{}}, f.answers[id], i)
		require.Zero(t, f.checker.running(id), i)
	}
}

// Guards against two jobs of one ID (TWICE): requests reach entries of which one does not know the newest configuration
// yet. One arrives while the other waits for the store.
func TestJobIsAcceptedOnceByEntriesWithDifferentConfigurations(t *testing.T) {
	for seed := range uint64(20) {
		cfg := accountConfig()
		f := newAccountFleet(seed, 3, 8, cfg)
		f.run(4 * time.Second)
		cfg.Version++
		cfg.Queues[0].Pool = hallPool
		f.entries[0].watchFails = true
		f.putConfig(cfg)
		f.run(time.Second)
		id := f.submit(f.entries[0], testStep(1))
		for _, e := range f.entries[1:] {
			f.send(e, id, f.checker.specs[id])
		}
		f.run(10 * time.Second)
		require.Empty(t, f.checker.violations, seed)
		require.Len(t, f.answers[id], 3, seed)
		for _, runs := range f.checker.records {
			require.Len(t, runs, 1, seed)
		}
	}
}

// Guards against two jobs of one ID (TWICE) that are submitted to queues of different pools.
func TestJobIsAcceptedOnceInTwoQueues(t *testing.T) {
	f := newAccountFleet(1, 3, 8, accountConfig())
	f.run(4 * time.Second)
	id := f.submit(f.entries[0], testStep(1))
	f.sendTo(f.entries[1], hallPrefix+string(id), id, "", f.checker.specs[id])
	f.run(10 * time.Second)
	require.Empty(t, f.checker.violations)
	for _, runs := range f.checker.records {
		require.Len(t, runs, 1)
	}
}
