package quetzalexperiment

import (
	"fmt"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalload/quetzalarrival"
)

// The times of the experiment Retries, since the fleet was ready.
const (
	outageBegin   = 10 * time.Second
	outageEnd     = 20 * time.Second
	retryDuration = 40 * time.Second
)

// runRetries compares the retry policies during and after an outage in which every
// minion fails every run.
func runRetries(seed uint64) (*Table, error) {
	t := &Table{
		Measure: "succeeded, %",
		Title:   "Every minion fails for 10 s: 6 minions at 60 % load, runs of 40 ms, deadline 8 s",
		Columns: []string{
			"retry policy", "runs per request in the outage", "succeeded", "last failure (after the end)", "p99 after the end",
		},
	}
	for _, v := range []struct {
		name   string
		policy quetzalfleet.RetryPolicy
	}{
		{"None", quetzalfleet.NoRetry{}},
		{"Exponential, full jitter, budget 20 %", quetzalfleet.ExponentialRetry{}},
		{"FourPhase", quetzalfleet.FourPhaseRetry{}},
	} {
		b, err := newBenchmark(seed, onePool(quetzalfleet.SettingValues{Retry: &v.policy}))
		if err != nil {
			return nil, err
		}
		const run = 40 * time.Millisecond
		b.submit(&quetzalarrival.Spec{
			Queues: []quetzalunit.QueueID{shortTeam}, Rate: 0.6 * float64(poolSlots) / run.Seconds(), Duration: retryDuration,
			Profile: quetzalarrival.Flat{}, ShortRun: run, Timeout: 8 * time.Second, Idempotent: 100, Seed: seed,
		}, b.entries)
		b.After(outageBegin, func() { b.failMinions(true) })
		b.After(outageEnd, func() { b.failMinions(false) })
		b.Advance(retryDuration + 10*time.Second)
		b.addRetryRow(t, v.name)
	}
	return t, nil
}

// failMinions starts or ends the outage.
func (b *benchmark) failMinions(fail bool) {
	for _, m := range b.Minions.All() {
		m.BlackHole = fail
	}
}

// addRetryRow adds the row of a policy when its simulation has ended.
func (b *benchmark) addRetryRow(t *Table, name string) {
	var arrived, runs, succeeded, all int
	for _, a := range b.arrivals {
		if a.At >= outageBegin && a.At < outageEnd {
			arrived++
		}
	}
	for _, r := range b.Runs.All() {
		if at := r.Start.Sub(b.begin); at >= outageBegin && at < outageEnd {
			runs++
		}
	}
	var lastFailure time.Duration
	for _, r := range b.results() {
		all++
		if r.succeeded {
			succeeded++
		} else {
			lastFailure = max(lastFailure, r.answeredAt)
		}
	}
	after := b.series(func(r *result) (time.Duration, bool) { return r.latency, r.succeeded && r.At >= outageEnd })
	t.addBar(name, 100*float64(succeeded)/float64(all))
	t.addRow(name, float64(runs)/float64(arrived), fmt.Sprintf("%.2f %%", 100*float64(succeeded)/float64(all)),
		max(0, lastFailure-outageEnd), after.Percentile(99))
}

// quotaTeams is the number of teams in the experiment Quotas, including hogTeam.
const quotaTeams = 87

// runQuotas measures the latency of the other teams while one team sends a multiple of
// its share, and the waiting time of urgent requests with the burst profile.
func runQuotas(seed uint64) (*Table, error) {
	t := &Table{
		Measure: "the others' p99, ms",
		Title:   "87 teams: 6 minions, 3 entries, runs of 20 ms, the others at 60 % load",
		Columns: []string{"case", "others p50", "others p99", "p99 relative to first row", "hog refused", "urgent: longest wait"},
	}
	var baseline time.Duration
	for _, v := range []struct {
		name string
		hog  float64
	}{{"without a hog", 0}, {"one team asks 20 times its share", 20}, {"one team asks 100 times its share", 100}} {
		b, err := runQuotaVariant(seed, v.hog)
		if err != nil {
			return nil, err
		}
		refused, hogSent := 0, 0
		others := b.series(func(r *result) (time.Duration, bool) {
			if r.Team == hogTeam {
				hogSent++
				if !r.succeeded {
					refused++
				}
			}
			return r.latency, r.Team != hogTeam && r.succeeded
		})
		if baseline == 0 {
			baseline = others.Percentile(99)
		}
		t.addBar(v.name, milliseconds(others.Percentile(99)))
		t.addRow(v.name, others.Percentile(50), others.Percentile(99), float64(others.Percentile(99))/float64(baseline),
			fmt.Sprintf("%d of %d", refused, hogSent), "-")
	}
	return t, addUrgentRow(t, seed)
}

// teamNames returns the teams without hogTeam.
func teamNames() []quetzalunit.TeamID {
	names := make([]quetzalunit.TeamID, 0, quotaTeams)
	for n := range quotaTeams - 1 {
		names = append(names, quetzalunit.TeamID(fmt.Sprint("team", n)))
	}
	return names
}

// runQuotaVariant runs the load of all teams. hogTeam sends hog times its equal share
// of the capacity; 0 turns its load off.
func runQuotaVariant(seed uint64, hog float64) (*benchmark, error) {
	teams := teamNames()
	b, err := newBenchmark(seed, onePool(quetzalfleet.SettingValues{}, append(teams, hogTeam)...))
	if err != nil {
		return nil, err
	}
	const (
		duration = 20 * time.Second
		run      = 20 * time.Millisecond
	)
	capacity := float64(poolSlots) / run.Seconds()
	spec := quetzalarrival.Spec{
		Queues: []quetzalunit.QueueID{shortTeam}, Teams: teams, Rate: 0.6 * capacity, Duration: duration, Profile: quetzalarrival.Flat{},
		ShortRun: run, Timeout: 5 * time.Second, Idempotent: 100, Seed: seed,
	}
	b.submit(&spec, b.entries)
	if hog > 0 {
		spec.Teams, spec.Rate, spec.Seed = []quetzalunit.TeamID{hogTeam}, hog*capacity/quotaTeams, seed+1
		b.submit(&spec, b.entries)
	}
	b.Advance(duration + 10*time.Second)
	return b, nil
}

// addUrgentRow measures the waiting time of urgent requests while each queue in turn
// gets five times its base rate.
func addUrgentRow(t *Table, seed uint64) error {
	b, err := newBenchmark(seed, &threePoolFleet)
	if err != nil {
		return err
	}
	const run = 200 * time.Millisecond
	b.submit(&quetzalarrival.Spec{
		Queues: []quetzalunit.QueueID{shortTeam, "editions", "posters"}, Rate: 0.35 * 3 * float64(poolSlots) / run.Seconds(),
		Duration: time.Minute, Profile: quetzalarrival.Burst{Duration: 8 * time.Second}, Urgent: 10, ShortRun: run,
		Timeout: 20 * time.Second, Idempotent: 100, Seed: seed,
	}, b.entries)
	b.Advance(90 * time.Second)
	refused := 0
	urgent := b.series(func(r *result) (time.Duration, bool) {
		if r.Urgent && !r.succeeded {
			refused++
		}
		return r.latency - r.RunTime, r.Urgent && r.succeeded
	})
	other := b.series(func(r *result) (time.Duration, bool) { return r.latency, !r.Urgent && r.succeeded })
	t.addRow(fmt.Sprintf("burst profile, 10 %% urgent (%d urgent refused)", refused), other.Percentile(50), other.Percentile(99), "-", "-", urgent.Percentile(100))
	return nil
}
