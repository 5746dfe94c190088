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
