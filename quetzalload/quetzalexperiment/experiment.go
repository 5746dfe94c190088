package quetzalexperiment

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsimulation"
	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalload/quetzalarrival"
	"quetzalstair/quetzalload/quetzalreport"
)

// Experiment is a comparison of policies or settings.
type Experiment interface{ implementsExperiment() }

type (
	// Lanes compares how the lane policies protect short requests from a backlog of
	// long ones.
	Lanes struct{}
	// Dispatch compares the dispatch policies at 90 % load on all entries and at 60 %
	// load on one.
	Dispatch struct{}
	// Retries compares the retry policies during an outage of all minions.
	Retries struct{}
	// Quotas measures the fairness between 87 teams while one exceeds its share, and
	// the waiting time of urgent requests.
	Quotas struct{}
	// Moves compares the move policies under bursts, in a zone of the given size.
	Moves struct{ Size Size }
	// Waves compares maintenance waves of different concurrency with a lower bound of
	// their duration.
	Waves struct{ Size Size }
)

func (Lanes) implementsExperiment()    {}
func (Dispatch) implementsExperiment() {}
func (Retries) implementsExperiment()  {}
func (Quotas) implementsExperiment()   {}
func (Moves) implementsExperiment()    {}
func (Waves) implementsExperiment()    {}

// Size is the number of pools and hosts of a zone.
type Size struct {
	Name string
	// Pools is the number of pools without the spare pool; each has HostsPerPool hosts.
	Pools, HostsPerPool int
	SpareHosts          int
}

// The sizes that the experiments use. A fleet of 570 hosts and 142 pools in 5 zones has
// 114 hosts and about 57 pools of 2 hosts in each zone.
var (
	Small = Size{Name: "50 hosts, 5 pools: a zone of 17", Pools: 4, HostsPerPool: 3, SpareHosts: 5}
	Large = Size{Name: "570 hosts, 142 pools: a zone of 114", Pools: 50, HostsPerPool: 2, SpareHosts: 14}
)

// Table is the result of an experiment.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
	// Measure is the quantity that the bars show, with its unit.
	Measure string
	Bars    []quetzalreport.Bar
}

// addBar adds a bar to the chart of the table.
func (t *Table) addBar(label string, value float64) {
	t.Bars = append(t.Bars, quetzalreport.Bar{Label: label, Value: value})
}

// Chart returns the table and its bars for an HTML page.
func (t *Table) Chart() quetzalreport.Chart {
	return quetzalreport.Chart{Title: t.Title, Columns: t.Columns, Rows: t.Rows, Measure: t.Measure, Bars: t.Bars}
}

// Write writes the table as aligned text.
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

// addRow formats the cells of a row: durations are rounded to 0.1 ms, and floats have
// three decimals.
func (t *Table) addRow(cells ...any) {
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

// Run runs an experiment. The seed determines the arrivals and the random decisions.
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

// benchmark is a simulated fleet with planned arrivals.
type benchmark struct {
	*quetzalsimulation.Simulation
	spec    *quetzalsimulation.FleetSpec
	entries []quetzalunit.EntryID
	// arrivals contains the planned arrivals by request id.
	arrivals map[quetzalunit.RequestID]*quetzalarrival.Arrival
	// begin is the time at which the fleet was ready.
	begin quetzalunit.Instant
}

// newBenchmark builds the fleet and waits until it is ready.
func newBenchmark(seed uint64, spec *quetzalsimulation.FleetSpec) (*benchmark, error) {
	b := &benchmark{
		Simulation: quetzalsimulation.New(seed), spec: spec, arrivals: make(map[quetzalunit.RequestID]*quetzalarrival.Arrival),
	}
	b.RunTime = func(id quetzalunit.RequestID) time.Duration {
		if a := b.arrivals[id]; a != nil {
			return a.RunTime
		}
		return 0
	}
	if err := b.BuildFleet(spec); err != nil {
		return nil, eris.Wrap(err, "build fleet")
	}
	for _, z := range spec.Zones {
		for n := range int(spec.EntriesPerZone) {
			b.entries = append(b.entries, quetzalsimulation.EntryID(z, n))
		}
	}
	b.begin = b.Now
	return b, nil
}

// submit generates a plan and schedules its arrivals.
func (b *benchmark) submit(s *quetzalarrival.Spec, entries []quetzalunit.EntryID) {
	plan := quetzalarrival.Plan(s)
	b.schedule(plan, entries)
}

// schedule distributes the arrivals of a plan over the entries round robin.
func (b *benchmark) schedule(plan *quetzaltable.Table[quetzalarrival.Arrival], entries []quetzalunit.EntryID) {
	for _, a := range plan.All() {
		n := len(b.arrivals)
		a.ID = quetzalunit.RequestID(fmt.Sprint("q~", n))
		b.arrivals[a.ID] = a
		entry := entries[n%len(entries)]
		b.After(a.At, func() {
			b.Submit(entry, quetzalfleet.RequestArrived{
				ID: a.ID, ClaimExempt: true, Queue: a.Queue, Team: a.Team, Class: a.Class, Urgent: a.Urgent,
				Idempotent: a.Idempotent, Timeout: a.Timeout,
			})
		})
	}
}

// result is an answered arrival.
type result struct {
	*quetzalarrival.Arrival
	// succeeded reports an outcome Ran with a status below 500.
	succeeded bool
	latency   time.Duration
	// answeredAt is the time of the answer, since the fleet was ready.
	answeredAt time.Duration
}

// results returns the answers in the order in which they arrived.
func (b *benchmark) results() []result {
	list := make([]result, 0, len(b.Answers))
	for _, a := range b.Answers {
		arrival := b.arrivals[a.Request]
		if arrival == nil {
			continue
		}
		ran, ok := a.Outcome.(quetzalfleet.Ran)
		at := a.At.Sub(b.begin)
		list = append(list, result{
			Arrival: arrival, succeeded: ok && ran.Answer.Status < 500, latency: at - arrival.At, answeredAt: at,
		})
	}
	return list
}

// series collects the durations that pick returns, from the results for which it
// returns true.
func (b *benchmark) series(pick func(*result) (time.Duration, bool)) *quetzalreport.Series {
	s := quetzalreport.NewSeries("")
	for _, r := range b.results() {
		if d, ok := pick(&r); ok {
			s.Record(d)
		}
	}
	return s
}

// Names in the experiments. shortTeam is the team of short requests, and also the name
// of its pool and queue; hogTeam is the team that exceeds its share.
const (
	shortTeam = "proofs"
	longTeam  = "translations"
	hogTeam   = "hog"
	waveName  = "wave"
)

// onePool returns a zone with one pool.
func onePool(settings quetzalfleet.SettingValues, teams ...quetzalunit.TeamID) *quetzalsimulation.FleetSpec {
	return &quetzalsimulation.FleetSpec{
		Zones: []quetzalunit.ZoneID{"a"}, EntriesPerZone: zoneEntries, HostsPerRack: 4, Teams: teams, Settings: settings,
		Pools: []quetzalsimulation.PoolSpec{{ID: shortTeam, HostsPerZone: poolHosts}},
	}
}

// ptr returns a pointer to a copy of v.
func ptr[V any](v V) *V { return &v }
