package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalwork"
)

// Minions lose the store, but not the dispatcher, and are missing in the list for longer than other
// entries remember them. Then they are cut off together with the dispatcher. The successor must not start
// their tasks while the leases of the dispatcher last.
func TestMinionsUnlistedForLongBeforeATakeoverAreWaitedFor(t *testing.T) {
	f := newFleet(1, threeZones, 6, 9, testConfig())
	f.runTime = func(quetzalwork.TaskID) time.Duration { return time.Minute }
	f.run(20 * time.Second)
	holder := f.holder()
	for range 4 {
		f.submit(holder, testStep(6))
	}
	f.run(time.Second)
	for _, m := range f.order {
		if m.zone == holder.zone {
			m.publish(true)
		}
	}
	f.run(20 * time.Second)
	f.partitionedZones[holder.zone] = true
	f.run(12 * time.Second)
	require.Empty(t, f.checker.violations)
}

// The same, and the dispatcher is killed while the hosts cannot be read. The minions are listed again while their leases last.
func TestMinionsUnlistedForLongAreWaitedForIfTheHostsCannotBeRead(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, threeZones, 6, 9, testConfig())
		f.runTime = func(quetzalwork.TaskID) time.Duration { return time.Duration(24000+100*seed) * time.Millisecond }
		f.run(20 * time.Second)
		for range 4 {
			f.submit(f.holder(), testStep(6))
		}
		f.run(time.Second)
		for _, m := range f.order[:4] {
			m.publish(true)
		}
		f.run(20 * time.Second)
		f.censusDown = true
		f.endTerm(termKilled)
		f.run(4 * time.Second)
		for _, m := range f.order {
			m.publish(false)
		}
		f.run(8 * time.Second)
		f.censusDown = false
		runAndVerify(t, f, 60*time.Second)
	}
}
