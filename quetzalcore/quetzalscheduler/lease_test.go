package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// A minion runs nothing for minutes, so its clock is known from an old answer. If the clock is slow, a
// lease that assumes the elapsed time on it lasts longer than a successor waits for. If it is exact, the
// lease must still be long enough to be extended in time.
func TestLeaseAfterALongIdleTimeIsBoundedOnASlowClock(t *testing.T) {
	const lease = 4500 * time.Millisecond
	for rate, shortest := range map[float64]time.Duration{0.98: lease - 20*time.Millisecond, 1: 3700 * time.Millisecond} {
		d := newDispatcher(t)
		d.w.Bounds.MaxLease = 10 * time.Second
		started := d.now
		clock := func() quetzalunit.MinionTime {
			return quetzalunit.MinionTime(float64(d.now.Sub(started).Milliseconds()) * rate)
		}
		d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
			in := d.idle(c)
			in.Result = quetzalwork.OrderAccepted{Clock: clock()}
			return in
		}
		d.run(149 * time.Second)
		row := accepted(testJob, testToken)
		d.tick(quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.NotifyAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
		require.Len(t, d.starts, 1)
		granted := time.Duration(d.starts[0].LeaseEnd-clock()) * time.Millisecond
		require.LessOrEqual(t, granted, lease, "rate %v", rate)
		require.GreaterOrEqual(t, granted, shortest, "rate %v", rate)
	}
}
