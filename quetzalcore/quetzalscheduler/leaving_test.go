package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drainOdd makes every second minion leave.
func (f *fleet) drainOdd() {
	for i, m := range f.order {
		if i%2 == 1 {
			m.drain()
		}
	}
}

// submitFor submits small jobs to all live entries in turn for d.
func (f *fleet) submitFor(d time.Duration) {
	const period = 50 * time.Millisecond
	for i := range int(d / period) {
		if e := f.entries[i%len(f.entries)]; e.up {
			f.submit(e, testStep(3))
		}
		f.run(period)
	}
}

// The store answers the reads of members, but not those of the minion list, while minions leave.
func TestLeavingMinionsGetNoWorkByAnOldList(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, threeZones[:1], 2, 6, testConfig())
		f.run(5 * time.Second)
		f.store.listDown = true
		f.run(100 * time.Millisecond)
		f.drainOdd()
		f.submitFor(6 * time.Second)
		f.store.listDown = false
		runAndVerify(t, f, 60*time.Second)
	}
}

// A dispatcher is suspended while minions leave. Before its next read of the list it has the answers
// to polls, which free capacity.
func TestLeavingMinionsGetNoWorkFromASuspendedDispatcher(t *testing.T) {
	for i := range 8 {
		f := newFleet(uint64(i), threeZones[:1], 1, 6, testConfig())
		f.run(5 * time.Second)
		f.submitFor(time.Second)
		h := f.holder()
		h.pausedUntil = f.now.Add(time.Duration(1900+100*i) * time.Millisecond)
		f.run(10 * time.Millisecond)
		f.drainOdd()
		f.submitFor(5 * time.Second)
		runAndVerify(t, f, 60*time.Second)
	}
}

// Minions leave while the store drops its history and a pool is taken over. The successor has read the
// list as a standby, before that, and gets answers of minions before the whole list, which is read in
// pages.
func TestLeavingMinionsGetNoWorkAfterATakeover(t *testing.T) {
	for i := range 30 {
		f := newFleet(uint64(i), threeZones[:1], 3, 6, testConfig())
		f.run(8 * time.Second)
		f.store.fullListTime = 300 * time.Millisecond
		f.holder().kill()
		f.run(time.Duration(i) * 100 * time.Millisecond)
		f.drainOdd()
		f.store.listCompactedThrough = f.store.revision
		f.submitFor(8 * time.Second)
		runAndVerify(t, f, 60*time.Second)
	}
}

// The store has dropped the history of the minion list. An entry that does not read the whole list at
// once knows it later than the others, and may take a pool over meanwhile.
func TestWholeListIsReadAtOnceAfterACompaction(t *testing.T) {
	f := newFleet(1, threeZones[:1], 3, 6, testConfig())
	f.run(8 * time.Second)
	f.drainOdd()
	f.store.listCompactedThrough = f.store.revision
	f.run(4 * time.Second)
	for _, e := range f.entries {
		require.Less(t, f.now.Sub(e.world.MinionList.ReadSentAt), 3*time.Second, e.id)
		require.Greater(t, e.world.MinionList.SeenRevision, f.store.listCompactedThrough-1, e.id)
	}
}

// A dispatcher reads the list at its takeover, beside the reads that it has scheduled as a standby. It
// must go on with one read a period.
func TestTakeoverDoesNotDoubleTheReadsOfTheMinionList(t *testing.T) {
	f := newFleet(1, threeZones[:1], 3, 6, testConfig())
	f.run(8 * time.Second)
	f.holder().kill()
	f.run(10 * time.Second)
	clear(f.store.minionLists)
	f.run(9 * time.Second)
	require.LessOrEqual(t, f.store.minionLists[f.holder().id], 20)
}
