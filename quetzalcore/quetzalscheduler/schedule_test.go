package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against ticks whose work grows with the square of a job's unfinished occurrences: entries that
// took such a job over did not answer for many seconds.
func TestManyUnfinishedOccurrencesKeepTicksShort(t *testing.T) {
	f := newFleet(1, threeZones, 3, 4, testConfig())
	f.run(3 * time.Second)
	step := smallStep(2)
	f.submitSchedule(f.entries[0], 4500, time.Millisecond, step, smallStep(1))
	f.run(6 * time.Second)
	h := f.holder()
	before := f.tickTime
	const duration = 5 * time.Second
	f.run(duration)
	require.Same(t, h, f.holder())
	t.Logf("ticks of %v of the fleet took %v", duration, f.tickTime-before)
	require.Less(t, f.tickTime-before, duration, "the entry has no processor time for anything else")
}
