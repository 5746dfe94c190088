package quetzalexperiment

import (
	"fmt"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalload/quetzalarrival"
)

// The outage in the experiment on retries.
const (
	outageBegin = 10 * time.Second
	outageEnd   = 20 * time.Second
	retryLength = 40 * time.Second
)

// runRetries compares the retry policies while every minion fails every run.
func runRetries(seed uint64) (*Table, error) {
	t := &Table{
		Measure: "answered well, %",
		Title:   "Every minion fails for 10 s: 6 minions at 60 % load, runs of 40 ms, deadline 8 s",
		Columns: []string{
			"retry policy", "runs a request in the outage", "answered well", "good from (after the end)", "p99 after the end",
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
		b, err := newBench(seed, onePool(quetzalfleet.SettingValues{Retry: &v.policy}))
		if err != nil {
			return nil, err
		}
		const run = 40 * time.Millisecond
		b.submit(&quetzalarrival.Spec{
			Queues: []quetzalunit.QueueID{shortTeam}, Rate: 0.6 * float64(benchSlots) / run.Seconds(), For: retryLength,
			Profile: quetzalarrival.Flat{}, ShortRun: run, Timeout: 8 * time.Second, Idempotent: 100, Seed: seed,
		}, b.entries)
		b.After(outageBegin, func() { b.failMinions(true) })
		b.After(outageEnd, func() { b.failMinions(false) })
		b.Run(retryLength + 10*time.Second)
		b.addRetries(t, v.name)
	}
	return t, nil
}

func (b *bench) failMinions(fail bool) {
	for _, m := range b.Minions.All() {
		m.BlackHole = fail
	}
}

func (b *bench) addRetries(t *Table, name string) {
	var arrived, runs, good, all int
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
	var lastBad time.Duration
	for _, r := range b.results() {
		all++
		if r.ran {
			good++
		} else {
			lastBad = max(lastBad, r.at)
		}
	}
	after := b.series(func(r *result) (time.Duration, bool) { return r.latency, r.ran && r.At >= outageEnd })
	t.bar(name, 100*float64(good)/float64(all))
	t.add(name, float64(runs)/float64(arrived), fmt.Sprintf("%.2f %%", 100*float64(good)/float64(all)),
		max(0, lastBad-outageEnd), after.Quantile(99))
}

const quotaTeams = 87

// runQuotas measures the other teams' latency while one team asks for 20 times
// its share, and the start of urgent work in the burst profile.
func runQuotas(seed uint64) (*Table, error) {
	t := &Table{
		Measure: "the others' p99, ms",
		Title:   "87 teams: 6 minions, 3 entries, runs of 20 ms, the others at 60 % load",
		Columns: []string{"case", "others p50", "others p99", "p99 over without", "hog refused", "urgent: longest wait"},
	}
	var without time.Duration
	for _, v := range []struct {
		name string
		hog  float64
	}{{"without a hog", 0}, {"one team asks 20 times its share", 20}, {"one team asks 100 times its share", 100}} {
		b, err := quotaVariant(seed, v.hog)
		if err != nil {
			return nil, err
		}
		refused, hogs := 0, 0
		others := b.series(func(r *result) (time.Duration, bool) {
			if r.Team == hogTeam {
				hogs++
				if !r.ran {
					refused++
				}
			}
			return r.latency, r.Team != hogTeam && r.ran
		})
		if without == 0 {
			without = others.Quantile(99)
		}
		t.bar(v.name, millis(others.Quantile(99)))
		t.add(v.name, others.Quantile(50), others.Quantile(99), float64(others.Quantile(99))/float64(without),
			fmt.Sprintf("%d of %d", refused, hogs), "-")
	}
	return t, addUrgent(t, seed)
}

func teamNames() []quetzalunit.TeamID {
	names := make([]quetzalunit.TeamID, 0, quotaTeams)
	for n := range quotaTeams - 1 {
		names = append(names, quetzalunit.TeamID(fmt.Sprint("team", n)))
	}
	return names
}

func quotaVariant(seed uint64, hog float64) (*bench, error) {
	teams := teamNames()
	b, err := newBench(seed, onePool(quetzalfleet.SettingValues{}, append(teams, hogTeam)...))
	if err != nil {
		return nil, err
	}
	const (
		length = 20 * time.Second
		run    = 20 * time.Millisecond
	)
	capacity := float64(benchSlots) / run.Seconds()
	spec := quetzalarrival.Spec{
		Queues: []quetzalunit.QueueID{shortTeam}, Teams: teams, Rate: 0.6 * capacity, For: length, Profile: quetzalarrival.Flat{},
		ShortRun: run, Timeout: 5 * time.Second, Idempotent: 100, Seed: seed,
	}
	b.submit(&spec, b.entries)
	if hog > 0 {
		spec.Teams, spec.Rate, spec.Seed = []quetzalunit.TeamID{hogTeam}, hog*capacity/quotaTeams, seed+1
		b.submit(&spec, b.entries)
	}
	b.Run(length + 10*time.Second)
	return b, nil
}

// addUrgent measures the wait of urgent work while a pool gets five times its mean.
func addUrgent(t *Table, seed uint64) error {
	b, err := newBench(seed, &quetzaltrialFleet)
	if err != nil {
		return err
	}
	const run = 200 * time.Millisecond
	b.submit(&quetzalarrival.Spec{
		Queues: []quetzalunit.QueueID{shortTeam, "editions", "posters"}, Rate: 0.35 * 3 * float64(benchSlots) / run.Seconds(),
		For: time.Minute, Profile: quetzalarrival.Burst{Duration: 8 * time.Second}, Urgent: 10, ShortRun: run,
		Timeout: 20 * time.Second, Idempotent: 100, Seed: seed,
	}, b.entries)
	b.Run(90 * time.Second)
	refused := 0
	urgent := b.series(func(r *result) (time.Duration, bool) {
		if r.Urgent && !r.ran {
			refused++
		}
		return r.latency - r.RunTime, r.Urgent && r.ran
	})
	other := b.series(func(r *result) (time.Duration, bool) { return r.latency, !r.Urgent && r.ran })
	t.add(fmt.Sprintf("burst profile, 10 %% urgent (%d urgent refused)", refused), other.Quantile(50), other.Quantile(99), "-", "-", urgent.Quantile(100))
	return nil
}
