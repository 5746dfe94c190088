package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Reads of the members show no change for a while, as before the store drops its history. Guards against the end of a term: the
// reads lack the renewals of the readers, too, and show nothing of the others.
func TestDispatcherIsNotReplacedWhileReadsOfTheMembersShowNoChange(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, threeZones, 3, 6, testConfig())
		f.run(3*time.Second + time.Duration(seed)*90*time.Millisecond)
		holder, duty := f.holder(), f.store.duties[testPool]
		f.submit(holder, smallStep(30))
		f.store.silentSince = f.store.revision
		f.run(4 * time.Second)
		f.store.silentSince, f.store.membersCompactedThrough = 0, f.store.revision
		f.run(3 * time.Second)
		require.Equal(t, duty, f.store.duties[testPool], "seed %d", seed)
		require.Empty(t, f.checker.violations, "seed %d", seed)
	}
}
