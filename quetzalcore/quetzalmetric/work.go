package quetzalmetric

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// jobSeries holds the labels of the counter of finished jobs.
type jobSeries struct {
	queue quetzalunit.QueueID
	state quetzalwork.JobState
	late  bool
}

// Work exports the metrics of the scheduler. It is not safe for concurrent use.
type Work struct {
	Metrics *Metrics

	counts map[jobSeries]tally.Counter
	totals map[quetzalunit.QueueID]tally.Histogram
	lines  map[quetzalwork.Part]tally.Counter
}

// ObserveJob records a finished job. The number of time series is bounded by the
// number of queues.
func (m *Work) ObserveJob(o *quetzalwork.ObserveJob) {
	if m.counts == nil {
		m.counts = make(map[jobSeries]tally.Counter)
		m.totals = make(map[quetzalunit.QueueID]tally.Histogram)
	}
	key := jobSeries{queue: o.Queue, state: o.State, late: o.Late}
	c := m.counts[key]
	if c == nil {
		c = m.Metrics.scope.Tagged(map[string]string{
			"queue": string(o.Queue), "state": strconv.Itoa(int(o.State)), "late": strconv.FormatBool(o.Late),
		}).Counter("jobs")
		m.counts[key] = c
	}
	c.Inc(1)
	h := m.totals[o.Queue]
	if h == nil {
		h = m.Metrics.scope.Tagged(map[string]string{"queue": string(o.Queue)}).Histogram("job_total_seconds", buckets())
		m.totals[o.Queue] = h
	}
	h.RecordDuration(o.Total)
}

// CountDecision increments the decision counter of a part of the scheduler.
func (m *Work) CountDecision(part quetzalwork.Part) {
	if m.lines == nil {
		m.lines = make(map[quetzalwork.Part]tally.Counter)
	}
	c := m.lines[part]
	if c == nil {
		c = m.Metrics.scope.Tagged(map[string]string{"part": string(part)}).Counter("scheduler_decisions")
		m.lines[part] = c
	}
	c.Inc(1)
}

// Age sets the gauge name_age_seconds: the time since the data called name was last
// read from the platform.
func (m *Work) Age(name string, age time.Duration) {
	m.Metrics.Gauge(name+"_age_seconds", age.Seconds())
}
