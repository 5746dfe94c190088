package quetzalscheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// movingQueue stores configurations in which the test queue leads to one of two pools, has another name, or is removed.
type movingQueue struct {
	f   *fleet
	cfg quetzalwork.FleetConfig
}

func (q *movingQueue) move(rng *rand.Rand) {
	q.cfg.Version++
	cfg := q.cfg
	queue := cfg.Queues[0]
	queue.Pool = []quetzalunit.PoolID{testPool, hallPool}[rng.IntN(2)]
	queue.ID = []quetzalunit.QueueID{testQueue, "renamed"}[rng.IntN(2)]
	cfg.Queues = append([]quetzalwork.QueueSpec{queue}, q.cfg.Queues[1:]...)
	if rng.IntN(4) == 0 {
		cfg.Queues = cfg.Queues[1:]
	}
	q.f.putConfig(cfg)
}

// restore stores a configuration in which the test queue is as it was first.
func (q *movingQueue) restore() {
	q.cfg.Version++
	q.f.putConfig(q.cfg)
}

// Guards against jobs that run twice (TWICE), are not found (LOST) or are not completed: their queue moves between two
// pools, is renamed and removed, while their requests wait for the store and arrive again at entries with other
// configurations, and while entries are killed, freeze, and lose answers of the store.
func TestJobsOfMovingQueuesRunOnce(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 8))
		cfg := accountConfig()
		f := newAccountFleet(seed, 3, 8, cfg)
		queue := movingQueue{f: f, cfg: cfg}
		f.run(4 * time.Second)
		f.strict.rng = rand.New(rand.NewPCG(seed, 9))
		f.strict.lateWrites, f.loseAnswers = 0.03, 0.03
		anyEntry := func() *entry { return f.entries[rng.IntN(len(f.entries))] }
		var ids []quetzalunit.JobID
		for range 80 {
			switch n := rng.IntN(12); {
			case n == 0:
				queue.move(rng)
			case n == 1 && rng.IntN(3) == 0:
				e := anyEntry()
				e.kill()
				f.after(500*time.Millisecond, e.start)
			case n == 2:
				e := anyEntry()
				e.watchFails = !e.watchFails
			case n == 3:
				anyEntry().pausedUntil = f.now.Add(time.Duration(rng.IntN(2500)) * time.Millisecond)
			case n < 8 || len(ids) == 0:
				ids = append(ids, f.submit(anyEntry(), testStep(quetzalunit.Tasks(1+rng.IntN(2))), testStep(1, 0)))
			default:
				id := ids[rng.IntN(len(ids))]
				f.send(anyEntry(), id, f.checker.specs[id])
			}
			f.run(time.Duration(rng.IntN(250)) * time.Millisecond)
		}
		f.strict.lateWrites, f.loseAnswers = 0, 0
		for _, e := range f.entries {
			e.watchFails = false
		}
		queue.restore()
		f.run(30 * time.Second)
		require.Empty(t, f.checker.violations, seed)
		for _, id := range ids {
			if f.checker.accepted[id] {
				require.Equal(t, quetzalwork.JobStateAnswer{State: quetzalwork.JobCompleted}, f.state(anyEntry(), id), "seed %d, job %s", seed, id)
			}
		}
	}
}

// Guards against a count of pending jobs (MIXED) without those that wait in the pool to which their queue led before.
func TestPendingJobsOfAMovedQueueAreCounted(t *testing.T) {
	const jobs = 60
	cfg := accountConfig()
	f := newAccountFleet(1, 3, 8, cfg)
	f.runTime = func(quetzalwork.TaskID) time.Duration { return time.Minute }
	f.run(4 * time.Second)
	for i := range jobs {
		f.submit(f.entries[i%3], testStep(4))
	}
	f.run(2 * time.Second)
	before := f.pending(t, f.entries[0])
	require.Greater(t, before, quetzalunit.Tasks(jobs/2))
	f.moveQueue(cfg)
	f.run(5 * time.Second)
	for _, e := range f.entries {
		require.GreaterOrEqual(t, f.pending(t, e), before/2, e.id)
	}
}

// pending asks an entry for the pending jobs of the test queue.
func (f *fleet) pending(t *testing.T, e *entry) quetzalunit.Tasks {
	t.Helper()
	answer := f.state(e, "")
	require.IsType(t, quetzalwork.PendingJobsAnswer{}, answer)
	return answer.(quetzalwork.PendingJobsAnswer).Pending
}
