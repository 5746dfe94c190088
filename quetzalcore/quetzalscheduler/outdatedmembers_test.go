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

// An entry that is no standby renews its row some ten times between two reads, and the answers have all these changes. Guards
// against reads that count as behind because of the first of them, for ever, as each of them begins where the last one that
// counted ended.
func TestReadsWithSeveralOwnRenewalsCount(t *testing.T) {
	f := newFleet(1, threeZones, 12, 6, testConfig())
	for range 40 {
		f.run(time.Second)
		for _, e := range f.entries {
			require.Less(t, f.now.Sub(e.world.Membership.ReadAt), 15*time.Second, "%s at %v", e.id, f.now)
		}
	}
}
