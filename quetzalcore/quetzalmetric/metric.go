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

// labelReason is the label with the cause of what a series counts or measures.
const labelReason = "reason"

// Metrics holds the metrics of one entry. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	handler  http.Handler
	mu       sync.Mutex
	requests map[requestKey]*requestMetrics
	outcomes map[outcomeKey]tally.Counter
}

// requestKey holds the labels of the metrics of finished requests.
type requestKey struct {
	team  quetzalunit.TeamID
	class quetzalfleet.Class
}

// outcomeKey holds the labels of the counter of finished requests.
type outcomeKey struct{ outcome, reason string }

// requestMetrics holds the metrics of finished requests of one team and class.
type requestMetrics struct {
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
		requests: make(map[requestKey]*requestMetrics), outcomes: make(map[outcomeKey]tally.Counter),
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

// ObserveRequest records a finished request.
func (m *Metrics) ObserveRequest(o *quetzalfleet.ObserveRequest) {
	r := m.requestMetricsOf(requestKey{team: o.Team, class: o.Class})
	r.wait.RecordDuration(o.Wait)
	r.run.RecordDuration(o.Run)
	r.total.RecordDuration(o.Total)
	if o.Attempts > 1 {
		r.retries.Inc(int64(o.Attempts - 1))
	}
	name, reason := quetzalcodec.OutcomeName(o.Outcome)
	m.outcomeCounter(outcomeKey{outcome: name, reason: reason}).Inc(1)
}

// SetGauge sets a gauge.
func (m *Metrics) SetGauge(name string, v float64) {
	m.scope.Gauge(name).Update(v)
}

// SetPoolGauge sets a gauge with the label pool.
func (m *Metrics) SetPoolGauge(name string, pool quetzalunit.PoolID, v float64) {
	m.scope.Tagged(map[string]string{"pool": string(pool)}).Gauge(name).Update(v)
}

// CountDecision increments the counter of a kind of decision.
func (m *Metrics) CountDecision(kind quetzalfleet.DecisionKind) {
	m.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("decisions").Inc(1)
}

func (m *Metrics) requestMetricsOf(key requestKey) *requestMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.requests[key]; r != nil {
		return r
	}
	scope := m.scope.Tagged(map[string]string{"team": string(key.team), "class": key.class.String()})
	r := &requestMetrics{
		wait:    scope.Histogram("request_wait_seconds", buckets()),
		run:     scope.Histogram("request_run_seconds", buckets()),
		total:   scope.Histogram("request_total_seconds", buckets()),
		retries: scope.Counter("request_retries"),
	}
	m.requests[key] = r
	return r
}

func (m *Metrics) outcomeCounter(key outcomeKey) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.outcomes[key]; c != nil {
		return c
	}
	c := m.scope.Tagged(map[string]string{"outcome": key.outcome, labelReason: key.reason}).Counter("requests")
	m.outcomes[key] = c
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
