// Package quetzalclock reads the clock of a World.
package quetzalclock

import (
	"time"

	"golang.org/x/sys/unix"

	"quetzalstair/quetzalcore/quetzalunit"
)

// origin is the instant at which the host booted. It is far from zero, which stands for a time that
// is not set.
const origin = quetzalunit.Instant(1_000_000 * time.Second)

// Now reads the boot-time clock. Steps of the wall clock do not affect it, and it keeps running while
// the host is suspended, so that a lease that expired during a suspension is seen as expired.
func Now() quetzalunit.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return quetzalunit.InstantOf(time.Now())
	}
	return origin + quetzalunit.Instant(ts.Nano())
}

// WallClockOffset returns the offset of the wall clock from an instant that Now has just returned.
func WallClockOffset(now quetzalunit.Instant) time.Duration {
	return quetzalunit.InstantOf(time.Now()).Sub(now)
}
