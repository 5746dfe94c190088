package quetzalscheduler_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// peak is a pool at the turn of its queue: one dispatcher, and jobs whose estimates are far off
// and whose tasks straggle now and then.
type peak struct {
	*fleet
	rng *rand.Rand
	// spans are the true run times of the steps, sent the instants of submission.
	spans map[quetzalunit.JobID][]time.Duration
	sent  map[quetzalunit.JobID]quetzalunit.Instant
}

const (
	peakStretch  = 1.6
	peakTarget   = 600 * time.Millisecond
	peakSpan     = 540 * time.Millisecond
	peakCores    = 3100
	peakMinion   = 32000
	peakWidth    = 8
	peakStraggle = 0.03
)

func newPeak(minions int) *peak {
	cfg := testConfig()
	cfg.Queues[0].Stretch, cfg.Queues[0].Target = peakStretch, peakTarget
	p := &peak{
		fleet: newFleet(1, threeZones[:1], 1, minions, cfg), rng: rand.New(rand.NewPCG(1, 2)),
		spans: make(map[quetzalunit.JobID][]time.Duration), sent: make(map[quetzalunit.JobID]quetzalunit.Instant),
	}
	for _, m := range p.order {
		m.entry.Room = quetzalunit.Resources{Cores: peakMinion, Memory: 128 << 10}
		m.list(false)
	}
	p.runTime = func(t quetzalwork.TaskName) time.Duration {
		span := float64(p.spans[t.Job][t.Step]) * p.around(0.15)
		if p.rng.Float64() < peakStraggle {
			span *= 7
		}
		return time.Duration(span)
	}
	p.run(3 * time.Second)
	return p
}

// around is a random factor whose logarithm has a spread.
func (p *peak) around(spread float64) float64 {
	return math.Exp(spread * p.rng.NormFloat64())
}

// offer submits jobs for a time at a multiple of what the pool can do.
func (p *peak) offer(load float64, d time.Duration) {
	const steps = 1.6
	jobWork := steps * peakWidth * peakCores * peakSpan.Seconds() * math.Exp(0.5*0.5/2) * (1 + 6*peakStraggle)
	n := int(load * d.Seconds() * float64(len(p.order)) * peakMinion / jobWork)
	for i := range n {
		p.submitJob(1 + (i*3%5)/2)
		p.run(d / time.Duration(n))
	}
}

func (p *peak) submitJob(steps int) {
	var spans []time.Duration
	var specs []quetzalwork.StepSpec
	for i := range min(steps, 2) {
		span := time.Duration(float64(peakSpan) * p.around(0.5))
		spec := quetzalwork.StepSpec{
			Count: peakWidth, Needs: quetzalunit.Resources{Cores: peakCores, Memory: 9000}, Estimate: time.Duration(float64(span) * p.around(0.9)),
			Speculative: p.rng.Float64() < 0.3,
		}
		if i > 0 {
			spec.After = []quetzalunit.StepIndex{quetzalunit.StepIndex(i - 1)}
		}
		spans, specs = append(spans, span), append(specs, spec)
	}
	id := p.submit(p.entries[0], specs...)
	p.spans[id], p.sent[id] = spans, p.now
}

// inTime is the share of the jobs that met their objective, and of those within three times it.
func (p *peak) inTime() (met, late float64) {
	ends := make(map[quetzalunit.JobID]quetzalunit.Instant)
	chains := make(map[quetzalunit.JobID]time.Duration)
	for id, spans := range p.spans {
		for step := range spans {
			longest := time.Duration(0)
			for task := range quetzalunit.TaskIndex(peakWidth) {
				name := quetzalwork.TaskName{Job: id, TaskRef: quetzalwork.TaskRef{Step: quetzalunit.StepIndex(step), Task: task}}
				for _, r := range p.judge.records[name] {
					if r.over && r.end == quetzalwork.EndDone {
						longest = max(longest, r.endedAt.Sub(r.startedAt))
						ends[id] = max(ends[id], r.endedAt)
						break
					}
				}
			}
			chains[id] += longest
		}
	}
	for id, sent := range p.sent {
		objective := time.Duration(peakStretch*float64(chains[id])) + peakTarget
		took := ends[id].Sub(sent)
		if took <= objective {
			met++
		}
		if took <= 3*objective {
			late++
		}
	}
	return met / float64(len(p.sent)), late / float64(len(p.sent))
}

// The load of a queue at its turn that asks for more than its pool holds, so that work queues up:
// the cost of a tick for each run.
func BenchmarkTurnBeyondThePool(b *testing.B) {
	for b.Loop() {
		p := newPeak(100)
		p.offer(1.5, 8*time.Second)
		p.run(10 * time.Second)
		b.ReportMetric(float64(p.tickTime.Microseconds())/float64(len(p.judge.records)), "µs/run")
		b.ReportMetric(float64(len(p.judge.records)), "runs")
	}
}

// The load of a queue at its turn, up to 1.5 times what its pool holds: as large a share of the jobs
// is in time as the pool has room for in that time, less one in twenty for stragglers.
func TestInTimeAtThePeak(t *testing.T) {
	const stragglers = 0.05
	for _, load := range []float64{0.7, 1.0, 1.2, 1.5} {
		p := newPeak(30)
		p.offer(load, 8*time.Second)
		p.run(15 * time.Second)
		met, late := p.inTime()
		t.Logf("load %.1f: %d jobs, %.3f in time, %.3f within three times", load, len(p.sent), met, late)
		require.Empty(t, p.judge.broken)
		require.GreaterOrEqual(t, met, min(1, 1/load)-stragglers)
	}
}

// The rise of a queue at its turn: the mean of the work lags behind it, but the pool wants hosts
// for the rate that the queue will have when they have arrived.
func TestPoolWantsHostsForTheRiseOfItsQueue(t *testing.T) {
	const window = 300 * time.Millisecond
	wanted := func(p *peak) float64 {
		var load quetzalwork.PoolLoad
		e := p.entries[0]
		e.replies[1] = func(r quetzalwork.PeerReply) { load = r.(quetzalwork.LoadReply).Load }
		e.post(e.boot, quetzalwork.PeerAsked{Caller: 1, Message: quetzalwork.AskLoad{Pool: testPool}})
		p.run(time.Millisecond)
		return float64(load.Wanted)
	}
	rising := newPeak(30)
	for i := range 4 {
		rising.offer(0.15*float64(i+1), window)
	}
	atRise := wanted(rising)
	even := newPeak(30)
	even.offer(0.6, 3*time.Second)
	require.Greater(t, atRise, 0.9*wanted(even))
}
