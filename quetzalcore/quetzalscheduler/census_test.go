package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalwork"
)

// killAllEntries kills all entries at the same moment and starts them again after a pause.
func (f *fleet) killAllEntries(pause time.Duration) {
	for _, e := range f.entries {
		e.kill()
	}
	f.run(pause)
	for _, e := range f.entries {
		e.start()
	}
}

// firstStart runs the fleet until a task starts, and returns how long that took, at most limit.
func (f *fleet) firstStart(limit time.Duration) time.Duration {
	began := f.now
	for f.now < began.Add(limit) {
		f.run(10 * time.Millisecond)
		for _, records := range f.checker.records {
			if records[len(records)-1].startedAt >= began {
				return f.now.Sub(began)
			}
		}
	}
	return limit
}

// All entries are killed at the same moment while a job waits for room. New processes know no
// minion that left the list before; the hosts show that there is none, so that the job starts once
// the pool is loaded.
func TestJobsDoNotWaitForLeasesAfterAllEntriesWereKilled(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, threeZones, 3, 3, testConfig())
		f.runTime = func(quetzalwork.TaskID) time.Duration { return 1500 * time.Millisecond }
		f.run(3 * time.Second)
		for range 3 {
			f.submit(f.entries[0], testStep(4))
		}
		f.submit(f.entries[1], testStep(2))
		f.run(300 * time.Millisecond)
		f.killAllEntries(300 * time.Millisecond)
		require.Less(t, f.firstStart(8*time.Second), 2500*time.Millisecond, "seed %d", seed)
		runAndVerify(t, f, 30*time.Second)
	}
}

// As before, but a minion has left the list because it lost the store; it goes on with its tasks.
// The new processes see it on its host, and must not start its tasks before its lease has ended.
func TestUnlistedMinionsAreWaitedForAfterAllEntriesWereKilled(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, threeZones, 3, 5, testConfig())
		f.runTime = func(quetzalwork.TaskID) time.Duration { return time.Minute }
		f.run(3 * time.Second)
		for range 4 {
			f.submit(f.entries[0], testStep(4))
		}
		f.run(2 * time.Second)
		f.order[0].publish(true)
		f.run(100 * time.Millisecond)
		f.killAllEntries(300 * time.Millisecond)
		f.run(8 * time.Second)
		require.Empty(t, f.checker.violations, "seed %d", seed)
	}
}

// The hosts cannot be read. The new processes wait for the leases, and the job starts afterwards.
func TestLeasesAreWaitedForIfTheHostsCannotBeRead(t *testing.T) {
	f := newFleet(1, threeZones, 3, 3, testConfig())
	f.censusDown = true
	f.runTime = func(quetzalwork.TaskID) time.Duration { return 1500 * time.Millisecond }
	f.run(3 * time.Second)
	for range 3 {
		f.submit(f.entries[0], testStep(4))
	}
	f.submit(f.entries[1], testStep(2))
	f.run(300 * time.Millisecond)
	f.order[0].publish(true)
	f.run(100 * time.Millisecond)
	f.killAllEntries(300 * time.Millisecond)
	took := f.firstStart(15 * time.Second)
	require.Greater(t, took, 4*time.Second)
	require.Less(t, took, 8*time.Second)
	runAndVerify(t, f, 30*time.Second)
}
