package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// measureShort tells an entry every 500 ms that it does not get its processor time, while short returns true.
func (f *fleet) measureShort(e *entry, short func() bool) {
	var measure func()
	measure = func() {
		if short() {
			e.post(e.boot, quetzalwork.ProcessorMeasured{Short: true})
		}
		f.after(500*time.Millisecond, measure)
	}
	measure()
}

// newProcessorFleet returns a fleet of entries with the same share of the processor, in which a pool has had its dispatcher for a while.
func newProcessorFleet(seed uint64) *fleet {
	f := newFleet(seed, threeZones, 6, 6, testConfig())
	for _, e := range f.entries {
		e.world.Self.CPUShare = 80
	}
	f.run(15 * time.Second)
	return f
}

// The machine of a dispatcher becomes slow, so that its tasks wait beside free minions. Another entry must have the pool soon.
func TestPoolLeavesADispatcherThatDoesNotGetItsProcessorTime(t *testing.T) {
	const bound = 4 * time.Second
	for seed := range uint64(20) {
		f := newProcessorFleet(seed)
		slow := f.holder()
		require.NotNil(t, slow)
		f.measureShort(slow, func() bool { return f.holder() == slow })
		f.run(bound)
		require.NotNil(t, f.holder(), "seed %d", seed)
		require.NotEqual(t, slow.id, f.holder().id, "seed %d", seed)
		for range 20 {
			f.submit(f.entries[0], testStep(4))
			f.run(500 * time.Millisecond)
			require.NotEqual(t, slow.id, f.holder().id, "seed %d", seed)
		}
		f.run(5 * time.Second)
		require.Empty(t, f.checker.violations, "seed %d", seed)
		require.Empty(t, f.checker.unfinished(), "seed %d", seed)
	}
}

// All entries are short of processor time, and each notices it only while it dispatches a pool. The pool must not change hands again
// and again.
func TestPoolStaysWhileAllEntriesAreShortOfProcessorTime(t *testing.T) {
	const length, mostChanges = 30 * time.Second, 3
	for seed := range uint64(10) {
		f := newProcessorFleet(seed)
		for _, e := range f.entries {
			f.measureShort(e, func() bool { return f.holder() == e })
		}
		changes, holder := 0, quetzalunit.EntryID("")
		for end := f.now.Add(length); f.now < end; f.run(50 * time.Millisecond) {
			if h := f.holder(); h != nil && h.id != holder {
				changes, holder = changes+1, h.id
			}
		}
		require.LessOrEqual(t, changes-1, mostChanges, "seed %d", seed)
		require.Empty(t, f.checker.violations, "seed %d", seed)
	}
}
