package quetzalexperiment

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzaltrial"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalload/quetzalarrival"
	"quetzalstair/quetzalload/quetzalreport"
)

// Experiment is a comparison of policies.
type Experiment interface{ implementsExperiment() }

type (
	// Lanes compares the lane policies: short work behind long work.
	Lanes struct{}
	// Dispatch compares the dispatch policies at 90 % load.
	Dispatch struct{}
	// Retries compares the retry policies through an outage of the minions.
	Retries struct{}
	// Quotas measures fair sharing between 87 teams, and the start of urgent work.
	Quotas struct{}
	// Moves compares the move policies under bursts, in a zone of a size.
	Moves struct{ Size Size }
	// Waves compares maintenance waves with a sequential one and a lower bound.
	Waves struct{ Size Size }
)

func (Lanes) implementsExperiment()    {}
func (Dispatch) implementsExperiment() {}
func (Retries) implementsExperiment()  {}
func (Quotas) implementsExperiment()   {}
func (Moves) implementsExperiment()    {}
func (Waves) implementsExperiment()    {}

// Size is the size of a zone.
type Size struct {
	Name string
	// Pools without the spare pool, and the hosts of each.
	Pools, HostsPerPool int
	SpareHosts          int
}

// The sizes. A fleet of 570 hosts and 142 pools in 5 zones has 114 hosts and
// about 57 pools of 2 hosts in each zone.
var (
	Small = Size{Name: "50 hosts, 5 pools: a zone of 17", Pools: 4, HostsPerPool: 3, SpareHosts: 5}
	Large = Size{Name: "570 hosts, 142 pools: a zone of 114", Pools: 50, HostsPerPool: 2, SpareHosts: 14}
)

// Table is the result of an experiment.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
	// Measure names what the bars show.
	Measure string
	Bars    []quetzalreport.Bar
}

// bar adds a bar of the table's measure.
func (t *Table) bar(label string, value float64) {
	t.Bars = append(t.Bars, quetzalreport.Bar{Label: label, Value: value})
}

// Chart returns the table as a part of a page.
func (t *Table) Chart() quetzalreport.Chart {
	return quetzalreport.Chart{Title: t.Title, Columns: t.Columns, Rows: t.Rows, Measure: t.Measure, Bars: t.Bars}
}

// Write writes the table as text.
func (t *Table) Write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, t.Title)
	_, _ = fmt.Fprintln(out, strings.Join(t.Columns, "\t"))
	for _, row := range t.Rows {
		_, _ = fmt.Fprintln(out, strings.Join(row, "\t"))
	}
	_, _ = fmt.Fprintln(out)
	return eris.Wrap(out.Flush(), "write table")
}

func (t *Table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		switch c := c.(type) {
		case time.Duration:
			row = append(row, c.Round(100*time.Microsecond).String())
		case float64:
			row = append(row, fmt.Sprintf("%.3f", c))
		default:
			row = append(row, fmt.Sprint(c))
		}
	}
	t.Rows = append(t.Rows, row)
}

// Run runs an experiment with a seed.
func Run(e Experiment, seed uint64) (*Table, error) {
	switch e := e.(type) {
	case Lanes:
		return runLanes(seed)
	case Dispatch:
		return runDispatch(seed)
	case Retries:
		return runRetries(seed)
	case Quotas:
		return runQuotas(seed)
	case Moves:
		return runMoves(seed, e.Size)
	case Waves:
		return runWaves(seed, e.Size)
	}
	return nil, eris.New("unknown experiment")
}

// bench is a trial under load.
type bench struct {
	*quetzaltrial.Trial
	spec    *quetzaltrial.FleetSpec
	entries []quetzalunit.EntryID
	// arrivals finds the arrival of a request by its id.
	arrivals map[quetzalunit.RequestID]*quetzalarrival.Arrival
	begin    quetzalunit.Instant
}

func newBench(seed uint64, spec *quetzaltrial.FleetSpec) (*bench, error) {
	b := &bench{
		Trial: quetzaltrial.New(seed), spec: spec, arrivals: make(map[quetzalunit.RequestID]*quetzalarrival.Arrival),
	}
	b.RunTime = func(id quetzalunit.RequestID) time.Duration {
		if a := b.arrivals[id]; a != nil {
			return a.RunTime
		}
		return 0
	}
	if err := b.Build(spec); err != nil {
		return nil, eris.Wrap(err, "build fleet")
	}
	for _, z := range spec.Zones {
		for n := range int(spec.EntriesPerZone) {
			b.entries = append(b.entries, quetzaltrial.EntryName(z, n))
		}
	}
	b.begin = b.Now
	return b, nil
}

// submit schedules the arrivals of a plan, entry by entry in turn.
func (b *bench) submit(s *quetzalarrival.Spec, entries []quetzalunit.EntryID) {
	plan := quetzalarrival.Plan(s)
	b.schedule(plan, entries)
}

func (b *bench) schedule(plan *quetzaltable.Table[quetzalarrival.Arrival], entries []quetzalunit.EntryID) {
	for _, a := range plan.All() {
		n := len(b.arrivals)
		a.ID = quetzalunit.RequestID(fmt.Sprint("q~", n))
		b.arrivals[a.ID] = a
		entry := entries[n%len(entries)]
		b.After(a.At, func() {
			b.Submit(entry, quetzalfleet.RequestArrived{
				ID: a.ID, Minted: true, Queue: a.Queue, Team: a.Team, Class: a.Class, Urgent: a.Urgent,
				Idempotent: a.Idempotent, Timeout: a.Timeout,
			})
		})
	}
}

// result is what became of an arrival.
type result struct {
	*quetzalarrival.Arrival
	ran     bool
	latency time.Duration
	at      time.Duration
}

// results lists the answers in their order.
func (b *bench) results() []result {
	list := make([]result, 0, len(b.Answers))
	for _, a := range b.Answers {
		arrival := b.arrivals[a.Request]
		if arrival == nil {
			continue
		}
		ran, ok := a.Outcome.(quetzalfleet.Ran)
		at := a.At.Sub(b.begin)
		list = append(list, result{
			Arrival: arrival, ran: ok && ran.Answer.Status < 500, latency: at - arrival.At, at: at,
		})
	}
	return list
}

// series collects a latency of the results that pass a filter.
func (b *bench) series(pick func(*result) (time.Duration, bool)) *quetzalreport.Series {
	s := quetzalreport.NewSeries("")
	for _, r := range b.results() {
		if d, ok := pick(&r); ok {
			s.Record(d)
		}
	}
	return s
}

// The names in experiments: a pool, its queue and the team of its short work share one.
const (
	shortTeam = "proofs"
	longTeam  = "translations"
	hogTeam   = "hog"
	waveName  = "wave"
)

// onePool is a zone with one pool.
func onePool(settings quetzalfleet.SettingValues, teams ...quetzalunit.TeamID) *quetzaltrial.FleetSpec {
	return &quetzaltrial.FleetSpec{
		Zones: []quetzalunit.ZoneID{"a"}, EntriesPerZone: benchEntries, HostsPerRack: 4, Teams: teams, Settings: settings,
		Pools: []quetzaltrial.PoolSpec{{ID: shortTeam, HostsPerZone: benchHosts}},
	}
}

func ptr[V any](v V) *V { return &v }
