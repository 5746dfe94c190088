package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalclock"
	"quetzalstair/quetzalcore/quetzalunit"
)

// An entry judges its lease, its grant as a guest and the time for which work may linger by the
// clock of its World. It must not be the wall clock, whose steps would extend or end them.
func TestWorldDoesNotReadTheWallClock(t *testing.T) {
	e, cfg := newEngine(t)
	before, wallBefore := quetzalclock.Now(), quetzalunit.WallTimeOf(time.Now())
	stop := e.start(identity(cfg, testIncarnation))
	require.Eventually(t, e.ready.Load, 5*time.Second, 10*time.Millisecond)
	stop()
	require.GreaterOrEqual(t, e.world.Now, before)
	require.LessOrEqual(t, e.world.Now, quetzalclock.Now())
	wall := e.world.WallTime(e.world.Now)
	const tolerance = 50 * time.Millisecond
	require.GreaterOrEqual(t, wall, wallBefore.Add(-tolerance))
	require.LessOrEqual(t, wall, quetzalunit.WallTimeOf(time.Now()).Add(tolerance))
}
