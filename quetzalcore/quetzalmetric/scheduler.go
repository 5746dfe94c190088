package quetzalmetric

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// jobKey holds the labels of the counter of finished jobs.
type jobKey struct {
	queue quetzalunit.QueueID
	state quetzalwork.JobState
	late  bool
}

// SchedulerMetrics exports the metrics of the scheduler. Only ObserveStart is safe for concurrent use.
type SchedulerMetrics struct {
	Metrics *Metrics

	jobs      map[jobKey]tally.Counter
	jobTotals map[quetzalunit.QueueID]tally.Histogram
	decisions map[quetzalwork.Part]tally.Counter

	refusals map[string]tally.Counter
	waits    map[quetzalwork.WaitReason]tally.Histogram

	// startsOnce guards the creation of the histograms of ObserveStart.
	startsOnce               sync.Once
	startDelay, startListAge tally.Histogram
}

// ObserveJob records a finished job. The number of time series is bounded by the
// number of queues.
func (m *SchedulerMetrics) ObserveJob(o *quetzalwork.ObserveJob) {
	if m.jobs == nil {
		m.jobs = make(map[jobKey]tally.Counter)
		m.jobTotals = make(map[quetzalunit.QueueID]tally.Histogram)
	}
	key := jobKey{queue: o.Queue, state: o.State, late: o.Late}
	c := m.jobs[key]
	if c == nil {
		c = m.Metrics.scope.Tagged(map[string]string{
			"queue": string(o.Queue), "state": strconv.Itoa(int(o.State)), "late": strconv.FormatBool(o.Late),
		}).Counter("jobs")
		m.jobs[key] = c
	}
	c.Inc(1)
	h := m.jobTotals[o.Queue]
	if h == nil {
		h = m.Metrics.scope.Tagged(map[string]string{"queue": string(o.Queue)}).Histogram("job_total_seconds", buckets())
		m.jobTotals[o.Queue] = h
	}
	h.RecordDuration(o.Total)
}

// CountDecision increments the decision counter of a component of the scheduler.
func (m *SchedulerMetrics) CountDecision(part quetzalwork.Part) {
	if m.decisions == nil {
		m.decisions = make(map[quetzalwork.Part]tally.Counter)
	}
	c := m.decisions[part]
	if c == nil {
		c = m.Metrics.scope.Tagged(map[string]string{"part": string(part)}).Counter("scheduler_decisions")
		m.decisions[part] = c
	}
	c.Inc(1)
}

// CountRefusal increments the counter of the calls that are refused for a reason.
func (m *SchedulerMetrics) CountRefusal(reason string) {
	if m.refusals == nil {
		m.refusals = make(map[string]tally.Counter)
	}
	c := m.refusals[reason]
	if c == nil {
		c = m.Metrics.scope.Tagged(map[string]string{labelReason: reason}).Counter("refused_calls")
		m.refusals[reason] = c
	}
	c.Inc(1)
}

// reasonPlacedAtOnce labels the waits of tasks that a placement pass found a minion for at the first try.
const reasonPlacedAtOnce = "PlacedAtOnce"

// ObserveWait records how long a long-running task was without a run. The number of time series is
// bounded by the number of reasons.
func (m *SchedulerMetrics) ObserveWait(o *quetzalwork.ObserveWait) {
	if m.waits == nil {
		m.waits = make(map[quetzalwork.WaitReason]tally.Histogram)
	}
	h := m.waits[o.Reason]
	if h == nil {
		reason := string(o.Reason)
		if reason == "" {
			reason = reasonPlacedAtOnce
		}
		h = m.Metrics.scope.Tagged(map[string]string{labelReason: reason}).Histogram("long_running_wait_seconds", buckets())
		m.waits[o.Reason] = h
	}
	h.RecordDuration(o.Waited)
}

// maxAccountSeries is the number of accounts with metrics of their own.
const maxAccountSeries = 100

// SetUsages sets the gauges of what the accounts use, hold and want, and of their caps, in cores.
func (m *SchedulerMetrics) SetUsages(usages []quetzallimit.Usage) {
	const milli = 1000
	for i := range usages[:min(len(usages), maxAccountSeries)] {
		u := &usages[i]
		scope := m.Metrics.scope.Tagged(map[string]string{"account": string(u.Account)})
		scope.Gauge("account_running_cores").Update(float64(u.Used.Cores) / milli)
		scope.Gauge("account_held_cores").Update(float64(u.Held.Cores) / milli)
		scope.Gauge("account_waiting_cores").Update(float64(u.Waiting.Cores) / milli)
		scope.Gauge("account_cap_cores").Update(float64(u.Cap.Cores) / milli)
	}
}

// SetAge sets the gauge name_age_seconds: the time since the data called name was last
// read from the platform.
func (m *SchedulerMetrics) SetAge(name string, age time.Duration) {
	m.Metrics.SetGauge(name+"_age_seconds", age.Seconds())
}

// ObserveStart records the ages of an order to start that leaves: the time since the decision, and
// since the read of the minion list on which that was based.
func (m *SchedulerMetrics) ObserveStart(decisionAge, listAge time.Duration) {
	m.startsOnce.Do(func() {
		m.startDelay = m.Metrics.scope.Histogram("start_delay_seconds", buckets())
		m.startListAge = m.Metrics.scope.Histogram("start_list_age_seconds", buckets())
	})
	m.startDelay.RecordDuration(decisionAge)
	m.startListAge.RecordDuration(listAge)
}

// SetTickTimes sets the gauges of the time that the ticks have spent by phase and by pool.
func (m *SchedulerMetrics) SetTickTimes(meter *quetzalwork.Meter) {
	for phase := range quetzalwork.PhaseCount {
		m.Metrics.scope.Tagged(map[string]string{"phase": phase.String()}).Gauge("tick_phase_seconds").Update(meter.Phases[phase].Seconds())
	}
	for pool, spent := range meter.Pools {
		m.Metrics.SetPoolGauge("tick_pool_seconds", pool, spent.Seconds())
	}
}
