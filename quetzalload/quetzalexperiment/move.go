package quetzalexperiment

import (
	"fmt"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsimulation"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalload/quetzalarrival"
)

// threePoolFleet is a zone with three pools and a spare pool.
var threePoolFleet = quetzalsimulation.FleetSpec{
	Zones: []quetzalunit.ZoneID{"a"}, EntriesPerZone: zoneEntries, HostsPerRack: 4,
	Pools: []quetzalsimulation.PoolSpec{
		{ID: shortTeam, HostsPerZone: poolHosts, MinHosts: 1},
		{ID: "editions", HostsPerZone: poolHosts, MinHosts: 1},
		{ID: "posters", HostsPerZone: poolHosts, MinHosts: 1},
		{ID: "leaflets", Spare: true, HostsPerZone: 4, MinHosts: 1},
	},
}

// sparePool is the spare pool in the experiments.
const sparePool quetzalunit.PoolID = "leaflets"

// zoneOfSize returns a zone of the given size. With buffers set, the pools get an
// additional host each as far as the spare hosts suffice; one stays in the spare pool.
func zoneOfSize(s Size, buffers bool, settings quetzalfleet.SettingValues) *quetzalsimulation.FleetSpec {
	f := &quetzalsimulation.FleetSpec{
		Zones: []quetzalunit.ZoneID{"a"}, EntriesPerZone: zoneEntries, HostsPerRack: 4, Settings: settings,
	}
	spare := s.SpareHosts
	for n := range s.Pools {
		p := quetzalsimulation.PoolSpec{ID: quetzalunit.PoolID(fmt.Sprint("pool", n)), HostsPerZone: quetzalunit.Hosts(s.HostsPerPool), MinHosts: 1}
		if buffers && spare > 1 {
			p.HostsPerZone++
			spare--
		}
		f.Pools = append(f.Pools, p)
	}
	f.Pools = append(f.Pools, quetzalsimulation.PoolSpec{ID: sparePool, Spare: true, HostsPerZone: quetzalunit.Hosts(spare), MinHosts: 1})
	return f
}

const (
	moveDuration = 10 * time.Minute
	moveRun      = time.Second
	moveDeadline = 10 * time.Second
	// moveBurst is the duration of the burst of each queue.
	moveBurst = 20 * time.Second
	// baseLoad is the base rate of a queue, as a share of its pool's slots.
	baseLoad = 0.3
	// sampleInterval is the time between two samples of the hosts' pools.
	sampleInterval = time.Second
)

// runMoves compares the move policies while each queue in turn gets five times its base
// rate and then a twentieth of it.
func runMoves(seed uint64, s Size) (*Table, error) {
	t := &Table{
		Measure: "late or refused, %",
		Title:   "Bursts, " + s.Name + ": 10 min, bursts of 20 s, runs of 1 s, deadline 10 s",
		Columns: []string{
			"move policy", "late or refused", "wait p99", "moves per hour", "buffer host-hours per hour", "lent host-hours per hour", "budget violations",
		},
	}
	for _, v := range []struct {
		name    string
		policy  quetzalfleet.MovePolicy
		buffers bool
	}{
		{"Fixed, spare pool unused", quetzalfleet.NoDemandMoves{}, false},
		{"Fixed, buffer in the pools", quetzalfleet.NoDemandMoves{}, true},
		{"Reactive", quetzalfleet.ReactiveMoves{}, false},
		{"SkiRental", quetzalfleet.SkiRentalMoves{}, false},
	} {
		b, err := newBenchmark(seed, zoneOfSize(s, v.buffers, quetzalfleet.SettingValues{Move: &v.policy}))
		if err != nil {
			return nil, err
		}
		b.addMoveRow(t, v.name, s, v.buffers, seed)
	}
	return t, nil
}

// addMoveRow runs the load of one policy and adds its row.
func (b *benchmark) addMoveRow(t *Table, name string, s Size, buffers bool, seed uint64) {
	spec := quetzalarrival.Spec{
		Duration: moveDuration, Profile: quetzalarrival.Burst{Duration: moveBurst}, ShortRun: moveRun, Timeout: moveDeadline,
		Idempotent: 100, Seed: seed,
	}
	for n := range s.Pools {
		spec.Queues = append(spec.Queues, quetzalunit.QueueID(fmt.Sprint("pool", n)))
	}
	slots := float64(s.Pools * s.HostsPerPool * int(quetzalunit.SlotsPerMinion))
	spec.Rate = baseLoad * slots / moveRun.Seconds()
	b.submit(&spec, b.entries)
	violations := 0
	b.OnCommit = func() { violations += len(b.BudgetViolations()) }
	spare, lent := b.sampleSparePool(moveDuration)
	b.Advance(moveDuration + moveDeadline)
	late := len(b.arrivals)
	wait := b.series(func(r *result) (time.Duration, bool) {
		if r.succeeded && r.latency <= moveDeadline {
			late--
		}
		return r.latency - r.RunTime, r.succeeded
	})
	buffer := spare()
	if buffers {
		buffer += float64(s.SpareHosts - 1)
	}
	t.addBar(name, 100*float64(late)/float64(len(b.arrivals)))
	t.addRow(name, fmt.Sprintf("%.2f %%", 100*float64(late)/float64(len(b.arrivals))), wait.Percentile(99),
		float64(b.moveCount())*float64(time.Hour)/float64(moveDuration), buffer, lent(), violations)
}

// moveCount returns the number of moves that the entries started. The decision that
// starts a move has a reason that begins with "leaves".
func (b *benchmark) moveCount() int {
	n := 0
	for _, d := range b.Decisions {
		if d.Kind == quetzalfleet.DecisionMove && quetzalunit.Instant(d.At) > b.begin && len(d.Reason) > 6 && d.Reason[:6] == "leaves" {
			n++
		}
	}
	return n
}

// sampleSparePool samples how many hosts are in the spare pool and how many it has
// lent to other pools. The returned functions return the means, in host-hours per hour.
func (b *benchmark) sampleSparePool(duration time.Duration) (spare, lent func() float64) {
	var inSpare, onLoan, samples int
	for at := time.Duration(0); at < duration; at += sampleInterval {
		b.After(at, func() {
			samples++
			for _, h := range b.Entry(b.entries[0]).World.Hosts.All() {
				switch {
				case h.Pool == sparePool:
					inSpare++
				case h.HomePool == sparePool:
					onLoan++
				}
			}
		})
	}
	mean := func(n *int) func() float64 {
		return func() float64 { return float64(*n) / float64(max(1, samples)) }
	}
	return mean(&inSpare), mean(&onLoan)
}

// runWaves compares maintenance waves over a whole zone with different limits on the
// hosts that leave at once. With the limit 0, only the budgets limit a wave.
func runWaves(seed uint64, s Size) (*Table, error) {
	t := &Table{
		Measure: "time over the lower bound",
		Title:   "Maintenance wave over every host, " + s.Name + ": reboots of 2 s, light load",
		Columns: []string{
			waveName, "time", "lower bound", "time over bound", "moves", "budget violations", "late or refused",
		},
	}
	for _, concurrency := range []int{1, 2, 4, 8, 0} {
		b, err := newBenchmark(seed, zoneOfSize(s, false, quetzalfleet.SettingValues{}))
		if err != nil {
			return nil, err
		}
		b.addWaveRow(t, s, concurrency, seed)
	}
	return t, nil
}

// waveTimeout ends the run of a wave that does not finish.
const waveTimeout = 20 * time.Minute

// addWaveRow runs a wave under light load and adds its row.
func (b *benchmark) addWaveRow(t *Table, s Size, concurrency int, seed uint64) {
	const (
		run      = 200 * time.Millisecond
		duration = time.Minute
		// hostTime is the least time that one host takes: draining, rebooting and the
		// polls that detect both.
		hostTime = 2 * time.Second
	)
	spec := quetzalarrival.Spec{
		Duration: duration, Profile: quetzalarrival.Flat{}, ShortRun: run, Timeout: moveDeadline, Idempotent: 100, Seed: seed,
		Rate: 0.1 * float64(s.Pools*s.HostsPerPool*int(quetzalunit.SlotsPerMinion)) / run.Seconds(),
	}
	for n := range s.Pools {
		spec.Queues = append(spec.Queues, quetzalunit.QueueID(fmt.Sprint("pool", n)))
	}
	b.submit(&spec, b.entries)
	violations := 0
	b.OnCommit = func() { violations += len(b.BudgetViolations()) }
	b.SendOperatorAction(b.entries[0], quetzalfleet.CreateWave{ID: waveName, Wave: quetzalfleet.WaveSpec{ID: waveName, MaxConcurrent: quetzalunit.Hosts(concurrency)}})
	begin := b.Now
	for !b.waveFinished() && b.Now.Sub(begin) < waveTimeout {
		b.Advance(sampleInterval)
	}
	elapsed := b.Now.Sub(begin)
	hosts := s.Pools*s.HostsPerPool + s.SpareHosts
	// The budgets keep one host in each pool and in the spare pool.
	parallel := hosts - s.Pools - 1
	if concurrency > 0 {
		parallel = min(parallel, concurrency)
	}
	bound := time.Duration((hosts+parallel-1)/parallel) * hostTime
	late := 0
	b.Advance(moveDeadline)
	for _, r := range b.results() {
		if !r.succeeded {
			late++
		}
	}
	name := fmt.Sprintf("%d at once", concurrency)
	switch concurrency {
	case 0:
		name = "as the budgets permit"
	case 1:
		name = "sequential"
	}
	t.addBar(name, float64(elapsed)/float64(bound))
	t.addRow(name, elapsed, bound, float64(elapsed)/float64(bound), b.moveCount(), violations, late)
}

// waveFinished reports whether the wave has finished, as the first entry sees it.
func (b *benchmark) waveFinished() bool {
	w := b.Entry(b.entries[0]).World
	v := w.Waves.At(w.WaveByID.Get(waveName))
	return v != nil && v.State == quetzalfleet.WaveFinished
}
