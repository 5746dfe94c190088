package quetzalexperiment

import (
	"fmt"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalload/quetzalarrival"
	"quetzalstair/quetzalload/quetzalreport"
)

const (
	benchHosts   = 6
	benchEntries = 3
	benchSlots   = benchHosts * int(quetzalunit.SlotsPerMinion)
)

// lanesLength is the length of the arrivals in the experiment on lanes.
const lanesLength = 2 * time.Minute

// runLanes compares short requests alone with short requests beside a backlog of
// long ones, a fifth of which declare themselves short.
func runLanes(seed uint64) (*Table, error) {
	t := &Table{
		Title:   "Short behind long: 6 minions, 3 entries, 100 short/s of 20 ms, long backlog of 20 s each, 20 % of it declared short",
		Measure: "short p99, ms",
		Columns: []string{"lane policy", "short p50", "short p99", "p99 over without", "long done", "long over Open"},
	}
	alone, _, err := lanesVariant(seed, quetzalfleet.OpenLanes{}, 0, false)
	if err != nil {
		return nil, err
	}
	t.add("without long work", alone.Quantile(50), alone.Quantile(99), 1.0, 0, "-")
	var unprotected int
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
		short, long, err := lanesVariant(seed, v.policy, v.slots, true)
		if err != nil {
			return nil, err
		}
		if unprotected == 0 {
			unprotected = long
		}
		t.bar(v.name, millis(short.Quantile(99)))
		t.add(v.name, short.Quantile(50), short.Quantile(99), float64(short.Quantile(99))/float64(alone.Quantile(99)),
			long, float64(long)/float64(unprotected))
	}
	return t, nil
}

// millis returns a span of time in ms.
func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// lanesVariant returns the latencies of the proofs and the number of long
// requests that ended in time.
func lanesVariant(
	seed uint64, policy quetzalfleet.LanePolicy, slots quetzalunit.Percent, withLong bool,
) (*quetzalreport.Series, int, error) {
	settings := quetzalfleet.SettingValues{Lanes: &policy, LongSlots: ptr(max(1, slots))}
	b, err := newBench(seed, onePool(settings, shortTeam, longTeam))
	if err != nil {
		return nil, 0, err
	}
	queues := []quetzalunit.QueueID{shortTeam}
	b.submit(&quetzalarrival.Spec{
		Queues: queues, Teams: []quetzalunit.TeamID{shortTeam}, Rate: 100, For: lanesLength, Profile: quetzalarrival.Flat{},
		ShortRun: 20 * time.Millisecond, Timeout: 10 * time.Minute, Idempotent: 100, Seed: seed,
	}, b.entries)
	if withLong {
		b.submit(&quetzalarrival.Spec{
			Queues: queues, Teams: []quetzalunit.TeamID{longTeam}, Rate: 3.5, For: lanesLength, Profile: quetzalarrival.Flat{},
			Long: 100, Misdeclared: 20, LongRun: 20 * time.Second, Timeout: 10 * time.Minute, Idempotent: 100, Seed: seed + 1,
		}, b.entries)
	}
	b.Run(lanesLength)
	long := 0
	short := b.series(func(r *result) (time.Duration, bool) {
		if r.Team == longTeam && r.ran {
			long++
		}
		return r.latency, r.Team == shortTeam && r.ran && r.At > lanesLength/6
	})
	return short, long, nil
}

// runDispatch compares how entries share the slots of minions.
func runDispatch(seed uint64) (*Table, error) {
	t := &Table{
		Measure: "wait p99, ms",
		Title:   "Slots shared by 3 entries: 6 minions, runs of 20 ms, 20 s",
		Columns: []string{
			"dispatch policy", "load", "callers", "wait p50", "wait p99", "not-run answers a request", "idle slots while requests wait",
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
			if err := dispatchVariant(t, seed, v.name, v.policy, load.share, load.skewed); err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}

func dispatchVariant(
	t *Table, seed uint64, name string, policy quetzalfleet.DispatchPolicy, share float64, skewed bool,
) error {
	b, err := newBench(seed, onePool(quetzalfleet.SettingValues{Dispatch: &policy}))
	if err != nil {
		return err
	}
	const (
		length = 20 * time.Second
		run    = 20 * time.Millisecond
	)
	entries, callers := b.entries, "at all entries"
	if skewed {
		entries, callers = b.entries[:1], "at one entry"
	}
	b.submit(&quetzalarrival.Spec{
		Queues: []quetzalunit.QueueID{shortTeam}, Rate: share * float64(benchSlots) / run.Seconds(), For: length,
		Profile: quetzalarrival.Flat{}, ShortRun: run, Timeout: time.Minute, Idempotent: 100, Seed: seed,
	}, entries)
	idle := b.sampleIdle(length)
	b.Run(length + 5*time.Second)
	wait := b.series(func(r *result) (time.Duration, bool) { return r.latency - r.RunTime, r.ran })
	t.bar(fmt.Sprintf("%s, %.0f %%, %s", name, share*100, callers), millis(wait.Quantile(99)))
	t.add(name, fmt.Sprintf("%.0f %%", share*100), callers, wait.Quantile(50), wait.Quantile(99),
		float64(b.Refusals)/float64(len(b.arrivals)), idle())
	return nil
}

// sampleIdle samples the share of idle slots at the moments at which requests wait.
func (b *bench) sampleIdle(length time.Duration) func() string {
	var idle, all int
	for at := time.Second; at < length; at += 10 * time.Millisecond {
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
