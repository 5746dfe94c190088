package quetzalexperiment

import (
	"fmt"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzaltrial"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalload/quetzalarrival"
)

// quetzaltrialFleet is a zone with three pools and a spare pool.
var quetzaltrialFleet = quetzaltrial.FleetSpec{
	Zones: []quetzalunit.ZoneID{"a"}, EntriesPerZone: benchEntries, HostsPerRack: 4,
	Pools: []quetzaltrial.PoolSpec{
		{ID: shortTeam, HostsPerZone: benchHosts, MinHosts: 1},
		{ID: "editions", HostsPerZone: benchHosts, MinHosts: 1},
		{ID: "posters", HostsPerZone: benchHosts, MinHosts: 1},
		{ID: "leaflets", Spare: true, HostsPerZone: 4, MinHosts: 1},
	},
}

// sparePool is the name of the spare pool in experiments.
const sparePool quetzalunit.PoolID = "leaflets"

// sized returns a zone of a size. With buffers in the pools, the spare hosts are
// divided among the pools instead.
func sized(s Size, buffers bool, settings quetzalfleet.SettingValues) *quetzaltrial.FleetSpec {
	f := &quetzaltrial.FleetSpec{
		Zones: []quetzalunit.ZoneID{"a"}, EntriesPerZone: benchEntries, HostsPerRack: 4, Settings: settings,
	}
	spare := s.SpareHosts
	for n := range s.Pools {
		p := quetzaltrial.PoolSpec{ID: quetzalunit.PoolID(fmt.Sprint("pool", n)), HostsPerZone: quetzalunit.Hosts(s.HostsPerPool), MinHosts: 1}
		if buffers && spare > 1 {
			p.HostsPerZone++
			spare--
		}
		f.Pools = append(f.Pools, p)
	}
	f.Pools = append(f.Pools, quetzaltrial.PoolSpec{ID: sparePool, Spare: true, HostsPerZone: quetzalunit.Hosts(spare), MinHosts: 1})
	return f
}

const (
	moveLength   = 10 * time.Minute
	moveRun      = time.Second
	moveDeadline = 10 * time.Second
	// moveTurn is how long a queue asks for five times its mean.
	moveTurn = 20 * time.Second
	// meanLoad is the mean demand of a queue, as a share of its pool's slots.
	meanLoad = 0.3
	// sampleEvery is the time between two samples of where hosts are.
	sampleEvery = time.Second
)

// runMoves compares the move policies while each queue in turn asks for five
// times its mean and then a twentieth.
func runMoves(seed uint64, s Size) (*Table, error) {
	t := &Table{
		Measure: "late or refused, %",
		Title:   "Bursts, " + s.Name + ": 10 min, turns of 20 s, runs of 1 s, deadline 10 s",
		Columns: []string{
			"move policy", "late or refused", "wait p99", "moves an hour", "buffer host-hours an hour", "lent host-hours an hour", "budget breaches",
		},
	}
	for _, v := range []struct {
		name    string
		policy  quetzalfleet.MovePolicy
		buffers bool
	}{
		{"Fixed, spare pool unused", quetzalfleet.FixedBuffer{}, false},
		{"Fixed, buffer in the pools", quetzalfleet.FixedBuffer{}, true},
		{"Reactive", quetzalfleet.ReactiveMoves{}, false},
		{"SkiRental", quetzalfleet.SkiRentalMoves{}, false},
	} {
		b, err := newBench(seed, sized(s, v.buffers, quetzalfleet.SettingValues{Move: &v.policy}))
		if err != nil {
			return nil, err
		}
		b.addMoves(t, v.name, s, v.buffers, seed)
	}
	return t, nil
}

func (b *bench) addMoves(t *Table, name string, s Size, buffers bool, seed uint64) {
	spec := quetzalarrival.Spec{
		For: moveLength, Profile: quetzalarrival.Burst{Duration: moveTurn}, ShortRun: moveRun, Timeout: moveDeadline,
		Idempotent: 100, Seed: seed,
	}
	for n := range s.Pools {
		spec.Queues = append(spec.Queues, quetzalunit.QueueID(fmt.Sprint("pool", n)))
	}
	slots := float64(s.Pools * s.HostsPerPool * int(quetzalunit.SlotsPerMinion))
	spec.Rate = meanLoad * slots / moveRun.Seconds()
	b.submit(&spec, b.entries)
	breaches := 0
	b.OnCommit = func() { breaches += len(b.BelowBudget()) }
	spare, lent := b.samplePools(moveLength)
	b.Run(moveLength + moveDeadline)
	late := len(b.arrivals)
	wait := b.series(func(r *result) (time.Duration, bool) {
		if r.ran && r.latency <= moveDeadline {
			late--
		}
		return r.latency - r.RunTime, r.ran
	})
	buffer := spare()
	if buffers {
		buffer += float64(s.SpareHosts - 1)
	}
	t.bar(name, 100*float64(late)/float64(len(b.arrivals)))
	t.add(name, fmt.Sprintf("%.2f %%", 100*float64(late)/float64(len(b.arrivals))), wait.Quantile(99),
		float64(b.moves())*float64(time.Hour)/float64(moveLength), buffer, lent(), breaches)
}

// moves counts the moves that were begun.
func (b *bench) moves() int {
	n := 0
	for _, run := range b.Decisions {
		if run.Kind == quetzalfleet.DecisionMove && run.At > b.begin && len(run.Reason) > 6 && run.Reason[:6] == "leaves" {
			n++
		}
	}
	return n
}

// samplePools samples how many hosts the spare pool has and how many it lent;
// the functions return the means, which are host-hours an hour.
func (b *bench) samplePools(length time.Duration) (spare, lent func() float64) {
	var inSpare, away, samples int
	for at := time.Duration(0); at < length; at += sampleEvery {
		b.After(at, func() {
			samples++
			for _, h := range b.Entry(b.entries[0]).World.Hosts.All() {
				switch {
				case h.Pool == sparePool:
					inSpare++
				case h.HomePool == sparePool:
					away++
				}
			}
		})
	}
	mean := func(n *int) func() float64 {
		return func() float64 { return float64(*n) / float64(max(1, samples)) }
	}
	return mean(&inSpare), mean(&away)
}

// runWaves compares maintenance waves of different widths over a whole zone.
func runWaves(seed uint64, s Size) (*Table, error) {
	t := &Table{
		Measure: "time over the lower bound",
		Title:   "Maintenance wave over every host, " + s.Name + ": reboots of 2 s, light load",
		Columns: []string{
			waveName, "time", "lower bound", "time over bound", "moves", "budget breaches", "late or refused",
		},
	}
	for _, width := range []int{1, 2, 4, 8, 0} {
		b, err := newBench(seed, sized(s, false, quetzalfleet.SettingValues{}))
		if err != nil {
			return nil, err
		}
		b.addWave(t, s, width, seed)
	}
	return t, nil
}

// waveLimit bounds the time of a wave.
const waveLimit = 20 * time.Minute

func (b *bench) addWave(t *Table, s Size, width int, seed uint64) {
	const (
		run    = 200 * time.Millisecond
		length = time.Minute
		// step is the least time of one host: drain, reboot, and the polls that see it.
		step = 2 * time.Second
	)
	spec := quetzalarrival.Spec{
		For: length, Profile: quetzalarrival.Flat{}, ShortRun: run, Timeout: moveDeadline, Idempotent: 100, Seed: seed,
		Rate: 0.1 * float64(s.Pools*s.HostsPerPool*int(quetzalunit.SlotsPerMinion)) / run.Seconds(),
	}
	for n := range s.Pools {
		spec.Queues = append(spec.Queues, quetzalunit.QueueID(fmt.Sprint("pool", n)))
	}
	b.submit(&spec, b.entries)
	breaches := 0
	b.OnCommit = func() { breaches += len(b.BelowBudget()) }
	b.Ask(b.entries[0], quetzalfleet.CreateWave{ID: waveName, Wave: quetzalfleet.WaveSpec{ID: waveName, MaxConcurrent: quetzalunit.Hosts(width)}})
	begin := b.Now
	for !b.waveDone() && b.Now.Sub(begin) < waveLimit {
		b.Run(sampleEvery)
	}
	took := b.Now.Sub(begin)
	hosts := s.Pools*s.HostsPerPool + s.SpareHosts
	atOnce := hosts - s.Pools - 1
	if width > 0 {
		atOnce = min(atOnce, width)
	}
	bound := time.Duration((hosts+atOnce-1)/atOnce) * step
	late := 0
	b.Run(moveDeadline)
	for _, r := range b.results() {
		if !r.ran {
			late++
		}
	}
	name := fmt.Sprintf("%d at once", width)
	switch width {
	case 0:
		name = "as the budgets permit"
	case 1:
		name = "sequential"
	}
	t.bar(name, float64(took)/float64(bound))
	t.add(name, took, bound, float64(took)/float64(bound), b.moves(), breaches, late)
}

func (b *bench) waveDone() bool {
	w := b.Entry(b.entries[0]).World
	v := w.Waves.At(w.WaveByID.Get(waveName))
	return v != nil && v.State == quetzalfleet.WaveFinished
}
