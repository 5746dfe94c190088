package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// takeOverFromAWorkingDispatcher makes an entry take testPool over from one whose renewals are lost, whose runs go on, and
// which hears nothing of the takeover: it reaches no other entry, and reads of changes show none for a second, as before
// the store drops its history.
func takeOverFromAWorkingDispatcher(seed uint64) *fleet {
	f := newFleet(seed, threeZones, 3, 6, testConfig())
	f.store.pageSize = 1
	f.runTime = func(t quetzalwork.TaskID) time.Duration {
		return time.Second + time.Duration(t.Task%31)*100*time.Millisecond
	}
	f.run(3 * time.Second)
	former := f.holder()
	for range 40 {
		step := smallStep(30)
		step.Resources.Cores = 250
		f.submit(former, step)
	}
	f.store.renewalsLost = map[quetzalunit.EntryID]bool{former.id: true}
	for _, e := range f.entries {
		if e != former {
			f.cutPeers(former, e, time.Minute)
		}
	}
	for f.store.duties[testPool].Holder == former.id {
		f.run(time.Millisecond)
	}
	f.store.renewalsLost, f.store.silentSince = nil, f.store.revision
	f.run(time.Second)
	f.store.silentSince, f.store.compactedThrough, f.store.membersCompactedThrough = 0, f.store.revision, f.store.revision
	return f
}

// Guards against a second run of a task whose end the former dispatcher stores and acknowledges while its successor loads the
// rows of the pool. The changes that the successor reads once the minions have answered lack it.
func TestFormerDispatcherStoresNoProgressAfterATakeover(t *testing.T) {
	for seed := range uint64(10) {
		f := takeOverFromAWorkingDispatcher(seed)
		f.run(20 * time.Second)
		require.Empty(t, f.checker.violations, "seed %d", seed)
		require.Empty(t, f.checker.unfinished(), "seed %d", seed)
	}
}
