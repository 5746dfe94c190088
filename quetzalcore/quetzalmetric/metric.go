// Package quetzalmetric exports the metrics of an entry to Prometheus through tally.
//
// The histograms of waiting, running and total time have the labels team and
// class. All unregistered teams share one label value, so that the number of time
// series is bounded by the number of registered teams.
package quetzalmetric

import (
	"net/http"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// reportInterval is the period at which tally passes its values to the Prometheus reporter.
const reportInterval = time.Second

// Metrics holds the metrics of one entry. It is safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
	mu      sync.Mutex
	series  map[seriesKey]*series
	counts  map[countKey]tally.Counter
}

// seriesKey holds the labels of a series.
type seriesKey struct {
	team  quetzalunit.TeamID
	class quetzalfleet.Class
}

// countKey holds the labels of the counter of requests.
type countKey struct{ outcome, reason string }

// series holds the request metrics of one team and class.
type series struct {
	wait, run, total tally.Histogram
	retries          tally.Counter
}

// New returns metrics and a function that stops reporting.
func New() (*Metrics, func(), error) {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "quetzalstair", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, CardinalityMetricsTags: nil, OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{
		scope: scope, handler: reporter.HTTPHandler(),
		series: make(map[seriesKey]*series), counts: make(map[countKey]tally.Counter),
	}
	cleanup := func() { _ = closer.Close() }
	if m.handler == nil {
		cleanup()
		return nil, nil, eris.New("the metrics reporter has no handler")
	}
	return m, cleanup, nil
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Observe records a finished request.
func (m *Metrics) Observe(o *quetzalfleet.ObserveRequest) {
	s := m.seriesOf(seriesKey{team: o.Team, class: o.Class})
	s.wait.RecordDuration(o.Wait)
	s.run.RecordDuration(o.Run)
	s.total.RecordDuration(o.Total)
	if o.Tries > 1 {
		s.retries.Inc(int64(o.Tries - 1))
	}
	name, reason := quetzalcodec.OutcomeName(o.Outcome)
	m.countOf(countKey{outcome: name, reason: reason}).Inc(1)
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name string, v float64) {
	m.scope.Gauge(name).Update(v)
}

// PoolGauge sets a gauge with the label pool.
func (m *Metrics) PoolGauge(name string, pool quetzalunit.PoolID, v float64) {
	m.scope.Tagged(map[string]string{"pool": string(pool)}).Gauge(name).Update(v)
}

// Count increments the counter of a kind of decision.
func (m *Metrics) Count(kind quetzalfleet.DecisionKind) {
	m.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("decisions").Inc(1)
}

func (m *Metrics) seriesOf(key seriesKey) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.series[key]; s != nil {
		return s
	}
	scope := m.scope.Tagged(map[string]string{"team": string(key.team), "class": key.class.String()})
	s := &series{
		wait:    scope.Histogram("request_wait_seconds", buckets()),
		run:     scope.Histogram("request_run_seconds", buckets()),
		total:   scope.Histogram("request_total_seconds", buckets()),
		retries: scope.Counter("request_retries"),
	}
	m.series[key] = s
	return s
}

func (m *Metrics) countOf(key countKey) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.counts[key]; c != nil {
		return c
	}
	c := m.scope.Tagged(map[string]string{"outcome": key.outcome, "reason": key.reason}).Counter("requests")
	m.counts[key] = c
	return c
}

// buckets returns exponential buckets: 20 upper bounds that double from 0.25 ms to
// about 2 minutes.
func buckets() tally.Buckets {
	const (
		first = 250 * time.Microsecond
		count = 20
	)
	return tally.MustMakeExponentialDurationBuckets(first, 2, count)
}
