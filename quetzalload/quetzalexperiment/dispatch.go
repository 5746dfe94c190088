package quetzalexperiment

import (
	"fmt"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalload/quetzalarrival"
	"quetzalstair/quetzalload/quetzalreport"
)

// The hosts and slots of a pool in the experiments without a Size, and the number of
// entries in all experiments.
const (
	poolHosts   = 6
	zoneEntries = 3
	poolSlots   = poolHosts * int(quetzalunit.SlotsPerMinion)
)

// lanesDuration is the duration of the arrivals in the experiment Lanes.
const lanesDuration = 2 * time.Minute

// runLanes measures the latency of short requests without long requests, and with a
// backlog of long requests, a fifth of which declare the class Short.
func runLanes(seed uint64) (*Table, error) {
	t := &Table{
		Title:   "Short requests behind long ones: 6 minions, 3 entries, 100 short/s of 20 ms, a backlog of long ones of 20 s, 20 % of them declared short",
		Measure: "short p99, ms",
		Columns: []string{"lane policy", "short p50", "short p99", "p99 relative to first row", "long done", "long relative to Open"},
	}
	baseline, _, err := runLanesVariant(seed, quetzalfleet.OpenLanes{}, 0, false)
	if err != nil {
		return nil, err
	}
	t.addRow("without long work", baseline.Percentile(50), baseline.Percentile(99), 1.0, 0, "-")
	var openLong int
	for _, v := range []struct {
		name   string
		policy quetzalfleet.LanePolicy
		slots  quetzalunit.Percent
	}{
		{"Open", quetzalfleet.OpenLanes{}, 100},
		{"Reserve, long slots 88 %", quetzalfleet.ReserveLanes{}, 88},
		{"Demote, long slots 88 %", quetzalfleet.DemoteLanes{}, 88},
		{"Demote, long slots 75 %", quetzalfleet.DemoteLanes{}, 75},
	} {
		short, long, err := runLanesVariant(seed, v.policy, v.slots, true)
		if err != nil {
			return nil, err
		}
		if openLong == 0 {
			openLong = long
		}
		t.addBar(v.name, milliseconds(short.Percentile(99)))
		t.addRow(v.name, short.Percentile(50), short.Percentile(99), float64(short.Percentile(99))/float64(baseline.Percentile(99)),
			long, float64(long)/float64(openLong))
	}
	return t, nil
}

// milliseconds converts a duration to milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// runLanesVariant returns the latencies of the short requests and the number of long
// requests that had run when the arrivals ended. The latencies of the first sixth of
// the time are left out as warm-up.
func runLanesVariant(
	seed uint64, policy quetzalfleet.LanePolicy, slots quetzalunit.Percent, withLong bool,
) (*quetzalreport.Series, int, error) {
	settings := quetzalfleet.SettingValues{Lanes: &policy, LongSlots: ptr(max(1, slots))}
	b, err := newBenchmark(seed, onePool(settings, shortTeam, longTeam))
	if err != nil {
		return nil, 0, err
	}
	queues := []quetzalunit.QueueID{shortTeam}
	b.submit(&quetzalarrival.Spec{
		Queues: queues, Teams: []quetzalunit.TeamID{shortTeam}, Rate: 100, Duration: lanesDuration, Profile: quetzalarrival.Flat{},
		ShortRun: 20 * time.Millisecond, Timeout: 10 * time.Minute, Idempotent: 100, Seed: seed,
	}, b.entries)
	if withLong {
		b.submit(&quetzalarrival.Spec{
			Queues: queues, Teams: []quetzalunit.TeamID{longTeam}, Rate: 3.5, Duration: lanesDuration, Profile: quetzalarrival.Flat{},
			Long: 100, Misdeclared: 20, LongRun: 20 * time.Second, Timeout: 10 * time.Minute, Idempotent: 100, Seed: seed + 1,
		}, b.entries)
	}
	b.Advance(lanesDuration)
	long := 0
	short := b.series(func(r *result) (time.Duration, bool) {
		if r.Team == longTeam && r.succeeded {
			long++
		}
		return r.latency, r.Team == shortTeam && r.succeeded && r.At > lanesDuration/6
	})
	return short, long, nil
}

// runDispatch compares the policies by which the entries share the slots of minions.
func runDispatch(seed uint64) (*Table, error) {
	t := &Table{
		Measure: "wait p99, ms",
		Title:   "Slots shared by 3 entries: 6 minions, runs of 20 ms, load for 20 s",
		Columns: []string{
			"dispatch policy", "load", "callers", "wait p50", "wait p99", "not-run answers per request", "idle slots while requests wait",
		},
	}
	for _, load := range []struct {
		share  float64
		skewed bool
	}{{0.9, false}, {0.6, true}} {
		for _, v := range []struct {
			name   string
			policy quetzalfleet.DispatchPolicy
		}{
			{"Shared", quetzalfleet.SharedDispatch{}},
			{"Fixed", quetzalfleet.FixedDispatch{}},
			{"Borrow", quetzalfleet.BorrowDispatch{}},
		} {
			if err := runDispatchVariant(t, seed, v.name, v.policy, load.share, load.skewed); err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}

// runDispatchVariant measures one policy at a load, given as a share of the slots. With
// skewed set, all requests arrive at one entry.
func runDispatchVariant(
	t *Table, seed uint64, name string, policy quetzalfleet.DispatchPolicy, share float64, skewed bool,
) error {
	b, err := newBenchmark(seed, onePool(quetzalfleet.SettingValues{Dispatch: &policy}))
	if err != nil {
		return err
	}
	const (
		duration = 20 * time.Second
		run      = 20 * time.Millisecond
	)
	entries, callers := b.entries, "at all entries"
	if skewed {
		entries, callers = b.entries[:1], "at one entry"
	}
	b.submit(&quetzalarrival.Spec{
		Queues: []quetzalunit.QueueID{shortTeam}, Rate: share * float64(poolSlots) / run.Seconds(), Duration: duration,
		Profile: quetzalarrival.Flat{}, ShortRun: run, Timeout: time.Minute, Idempotent: 100, Seed: seed,
	}, entries)
	idle := b.sampleIdleSlots(duration)
	b.Advance(duration + 5*time.Second)
	wait := b.series(func(r *result) (time.Duration, bool) { return r.latency - r.RunTime, r.succeeded })
	t.addBar(fmt.Sprintf("%s, %.0f %%, %s", name, share*100, callers), milliseconds(wait.Percentile(99)))
	t.addRow(name, fmt.Sprintf("%.0f %%", share*100), callers, wait.Percentile(50), wait.Percentile(99),
		float64(b.Refusals)/float64(len(b.arrivals)), idle())
	return nil
}

// sampleIdleSlots samples every 10 ms how many slots are idle, and skips samples at
// which no request is queued. The returned function formats the mean share of idle slots.
func (b *benchmark) sampleIdleSlots(duration time.Duration) func() string {
	var idle, all int
	for at := time.Second; at < duration; at += 10 * time.Millisecond {
		b.After(at, func() {
			queued := quetzalunit.Requests(0)
			for _, e := range b.Entries.All() {
				for _, q := range e.World.Queues.All() {
					queued += q.Queued
				}
			}
			if queued == 0 {
				return
			}
			for _, m := range b.Minions.All() {
				idle += int(quetzalunit.SlotsPerMinion - m.Running)
				all += int(quetzalunit.SlotsPerMinion)
			}
		})
	}
	return func() string {
		if all == 0 {
			return "never waited"
		}
		return fmt.Sprintf("%.1f %%", 100*float64(idle)/float64(all))
	}
}
