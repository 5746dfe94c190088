package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Guards against progress that is never stored again: an entry whose renewals are lost takes over the pool that it
// holds, while a transaction of its former term is under way.
func TestEntryThatTakesItsOwnPoolOverStoresProgress(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, threeZones, 1, 3, testConfig())
		f.store.transactionTime = 100 * time.Millisecond
		f.store.renewalsLost = make(map[quetzalunit.EntryID]bool)
		f.run(3 * time.Second)
		e := f.entries[0]
		token := e.world.Pools.At(e.world.PoolByID.Get(testPool)).Token
		f.submitFor(2 * time.Second)
		f.store.renewalsLost[e.id] = true
		f.submitFor(7 * time.Second)
		delete(f.store.renewalsLost, e.id)
		runAndVerify(t, f, 40*time.Second)
		require.NotEqual(t, token, e.world.Pools.At(e.world.PoolByID.Get(testPool)).Token, "the entry must have taken the pool over")
		for id := range f.checker.accepted {
			require.Equal(t, quetzalwork.JobCompleted, f.storedState(id), "seed %d, job %s", seed, id)
		}
	}
}
