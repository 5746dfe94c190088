package quetzalscheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// The renewals of a dispatcher fail until another entry takes the pool over, and the reads of the duties after that. A minion that
// both have used starts again under its id, and only the predecessor reaches it. The process has seen no token of the successor.
func TestPredecessorStartsNothingOnAMinionThatRestartsAfterATakeover(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(seed, threeZones, 3, 3, testConfig())
		f.run(4 * time.Second)
		predecessor, onEach := f.holder(), longStep(3)
		onEach.MaxPerMinion = 1
		f.submit(f.entries[0], onEach)
		f.run(time.Second)
		job := f.submit(f.entries[0], longStep(1))
		f.run(3*time.Second + time.Duration(seed)*37*time.Millisecond)
		f.store.renewalsLost = map[quetzalunit.EntryID]bool{predecessor.id: true}
		for i := 0; i < 2000 && f.store.duties[testPool].Holder == predecessor.id; i++ {
			f.run(5 * time.Millisecond)
		}
		f.store.renewalsLost = nil
		f.strict = strictness{rng: rand.New(rand.NewPCG(seed, 9)), latePeers: 1, partDown: func(c quetzalwork.Command) bool {
			_, members := c.(quetzalwork.ReadMembers)
			return members
		}}
		m, _ := f.minionOf(job)
		for _, other := range f.order {
			if other != m {
				f.cutLink(predecessor, other, 8*time.Second)
			}
		}
		f.after(time.Duration(300+10*seed)*time.Millisecond, func() {
			m.restart(m.capacity())
			for _, e := range f.entries {
				if e != predecessor {
					f.cutLink(e, m, 3*time.Second)
				}
			}
		})
		f.run(3 * time.Second)
		f.strict.partDown, f.strict.latePeers = nil, 0
		f.run(10 * time.Second)
		require.Empty(t, f.checker.violations, "seed %d", seed)
		require.Equal(t, 1, f.checker.running(job), "seed %d", seed)
	}
}
