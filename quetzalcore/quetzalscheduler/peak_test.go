package quetzalscheduler_test

import (
	"testing"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// peakFleet is a pool of the grown fleet at its turn: one dispatcher and as many minions as a
// queue gets that asks for four times its mean.
func peakFleet(minions int) *fleet {
	f := newFleet(1, threeZones[:1], 1, minions, testConfig())
	for _, m := range f.order {
		m.entry.Room = quetzalunit.Resources{Cores: 32000, Memory: 128 << 10}
		m.list(false)
	}
	f.run(3 * time.Second)
	return f
}

// offerPeak submits jobs at an even rate.
func offerPeak(f *fleet, perSecond int, d time.Duration) {
	step := quetzalwork.StepSpec{Count: 8, Needs: quetzalunit.Resources{Cores: 3100, Memory: 9000}, Estimate: 540 * time.Millisecond}
	second := step
	second.After = []quetzalunit.StepIndex{0}
	n := int(d.Seconds() * float64(perSecond))
	for i := range n {
		steps := []quetzalwork.StepSpec{step}
		if i%5 < 3 {
			steps = append(steps, second)
		}
		f.submit(f.entries[0], steps...)
		f.run(d / time.Duration(n))
	}
}

// The load of a queue at its turn that asks for more than its pool holds, so that work queues up:
// the cost of a tick per task that is placed.
func BenchmarkTurnBeyondThePool(b *testing.B) {
	for b.Loop() {
		f := peakFleet(100)
		offerPeak(f, 220, 8*time.Second)
		f.run(10 * time.Second)
		b.ReportMetric(float64(f.tickTime.Microseconds())/float64(len(f.judge.records)), "µs/run")
		b.ReportMetric(float64(f.tickTime.Milliseconds()), "ms/day")
		b.ReportMetric(float64(len(f.judge.records)), "runs")
	}
}
