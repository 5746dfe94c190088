package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// restartInTurn stops entries as planned, one after each interval, and starts them again. It begins with
// the dispatcher.
func (f *fleet) restartInTurn(n int, interval time.Duration) {
	for i := range n {
		f.after(time.Duration(i)*interval, func() {
			e := f.holder()
			if e == nil {
				e = f.entries[i%len(f.entries)]
			}
			if !e.up {
				return
			}
			boot := e.boot
			e.post(boot, quetzalwork.StopRequested{})
			f.after(500*time.Millisecond, func() {
				if e.up && e.boot == boot {
					e.kill()
					f.after(200*time.Millisecond, func() {
						if !e.up {
							e.start()
						}
					})
				}
			})
		})
	}
}

// restartedFleet returns a fleet with a job of long-running tasks, and the time at which the minions of
// one zone crash while the entries are restarted in turn.
func restartedFleet(seed uint64) (*fleet, quetzalunit.JobID) {
	f := newFleet(seed, threeZones, 6, 9, testConfig())
	f.downtime = 6 * time.Second
	f.run(4 * time.Second)
	job := f.submit(f.entries[0], longStep(9))
	f.run(2 * time.Second)
	return f, job
}

// Guards against long-running tasks that wait at each of several hand-overs in a row for leases on minions
// that the new dispatcher cannot know. Their minions crash, and there is room on others.
func TestLongRunningTasksStartAgainWhileEntriesRestartInTurn(t *testing.T) {
	for seed := range uint64(10) {
		f, job := restartedFleet(seed)
		require.Equal(t, 9, f.checker.running(job))
		f.restartInTurn(40, 600*time.Millisecond)
		f.run(time.Second)
		crashed := 0
		for _, m := range f.order {
			if m.zone == threeZones[0] && len(m.runs) > 0 {
				crashed += len(m.runs)
				m.crash()
			}
		}
		require.NotZero(t, crashed)
		f.run(9 * time.Second)
		require.Equal(t, 9, f.checker.running(job), "seed %d: a task waits longer than one lease and a hand-over take", seed)
		require.Empty(t, f.checker.violations)
	}
}

// The other side: a minion loses the store and all entries but still runs its tasks for as long as its
// lease lasts. No entry of a series may start them elsewhere before.
func TestTasksOnUnreachableMinionsWaitForTheLeaseWhileEntriesRestartInTurn(t *testing.T) {
	for seed := range uint64(20) {
		f, job := restartedFleet(seed)
		interval := time.Duration(200+50*seed) * time.Millisecond
		f.restartInTurn(int(12*time.Second/interval), interval)
		f.run(time.Duration(100*seed) * time.Millisecond)
		f.partitionedZones[threeZones[0]] = true
		for _, m := range f.order {
			if m.zone == threeZones[0] {
				f.after(time.Duration(seed)*500*time.Millisecond, func() { m.publish(true) })
			}
		}
		f.run(12 * time.Second)
		require.Empty(t, f.checker.violations, "seed %d", seed)
		delete(f.partitionedZones, threeZones[0])
		for _, m := range f.order {
			m.publish(false)
		}
		f.run(12 * time.Second)
		require.Empty(t, f.checker.violations, "seed %d", seed)
		require.Equal(t, 9, f.checker.running(job), "seed %d", seed)
	}
}
