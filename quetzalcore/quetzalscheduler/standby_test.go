package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalwork"
)

// testStandbys is the number of standbys of a fleet with the duties of the host controller and of
// one pool.
const testStandbys = 2*2 + 2

// The bytes that a large fleet reads at the store must not grow with the square of its entries: only
// the standbys read the minion list and read the rows of members often.
func TestOnlyStandbysReadOften(t *testing.T) {
	f := newFleet(1, threeZones, 20, 6, testConfig())
	f.run(10 * time.Second)
	clear(f.store.memberReads)
	clear(f.store.minionLists)
	f.run(20 * time.Second)
	require.LessOrEqual(t, len(f.store.minionLists), testStandbys)
	often := 0
	for _, e := range f.entries {
		if f.store.memberReads[e.id] > 3 {
			often++
		}
	}
	require.LessOrEqual(t, often, testStandbys)
	for _, e := range f.entries {
		if f.store.minionLists[e.id] == 0 {
			require.Zero(t, e.world.Minions.Len(), "records that are not updated must not be used at a takeover")
		}
	}
	require.NotNil(t, f.holder())
	id := f.submit(f.entries[7], testStep(4))
	f.run(5 * time.Second)
	require.True(t, f.checker.accepted[id])
	require.Empty(t, f.checker.unfinished())
}

// All standbys are lost at once. The other entries read the rows rarely, but find out when their
// calls fail, and take the duties over.
func TestDutiesAreTakenOverAfterTheLossOfAllStandbys(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(seed, threeZones, 20, 6, testConfig())
		f.run(10 * time.Second)
		clear(f.store.minionLists)
		f.run(5 * time.Second)
		for _, e := range f.entries {
			if f.store.minionLists[e.id] > 0 {
				e.kill()
			}
		}
		lost := f.now
		for f.now < lost.Add(20*time.Second) && f.holder() == nil {
			for _, e := range f.entries {
				if e.up {
					f.submit(e, testStep(1))
					break
				}
			}
			f.run(200 * time.Millisecond)
		}
		require.NotNil(t, f.holder(), "seed %d", seed)
		t.Logf("seed %d: taken over after %v", seed, f.now.Sub(lost))
		require.Less(t, f.now, lost.Add(8*time.Second))
		runAndVerify(t, f, 30*time.Second)
	}
}

// The notification of stored jobs is lost, and the store turns the dispatcher away. It must not say
// how many jobs wait: an entry that has just accepted some knows better.
func TestPendingJobsAreNotCountedFromOldRows(t *testing.T) {
	d := newDispatcher(t)
	d.answerPoll = d.idle
	d.run(2 * time.Second)
	query := func() []quetzalwork.Answer {
		d.answers = nil
		d.tick(quetzalwork.JobQueried{Caller: 5, HTTPHost: "host", Path: "/proofs/", Timeout: time.Second})
		d.run(200 * time.Millisecond)
		return d.answers
	}
	require.Equal(t, []quetzalwork.Answer{quetzalwork.PendingJobsAnswer{}}, query())
	d.rowsFail = true
	d.run(5 * time.Second)
	require.Len(t, query(), 1)
	require.IsType(t, quetzalwork.Indeterminate{}, d.answers[0])
}
