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

// peakScenario is a pool under the peak load of its queue, with one dispatcher, jobs whose
// estimates are far off, and occasional stragglers.
type peakScenario struct {
	*fleet
	rng  *rand.Rand
	kind peakKind
	// runTimes are the true run times of the steps of each job, submittedAt the instants of
	// submission.
	runTimes    map[quetzalunit.JobID][]time.Duration
	submittedAt map[quetzalunit.JobID]quetzalunit.Instant
}

const (
	peakStretch        = 1.6
	peakTarget         = 600 * time.Millisecond
	peakMinionCores    = 32000
	peakMinionMemory   = 128 << 10
	peakStepTasks      = 8
	peakStragglerShare = 0.03
)

// peakKind is a kind of job: the mean run time, cores and memory of its tasks, and the spread of the
// cores and the memory between steps.
type peakKind struct {
	runTime                  time.Duration
	cores                    quetzalunit.MilliCores
	memory                   quetzalunit.Megabytes
	coreSpread, memorySpread float64
}

var (
	// smallTasks are short and all alike. largeTasks fill a third of a minion each, with its cores or
	// its memory.
	smallTasks = peakKind{runTime: 540 * time.Millisecond, cores: 3100, memory: 9000}
	largeTasks = peakKind{runTime: 1400 * time.Millisecond, cores: 9700, memory: 36000, coreSpread: 0.45, memorySpread: 0.6}
)

// resources returns the resources of the tasks of one step.
func (k *peakKind) resources(p *peakScenario) quetzalunit.Resources {
	if k.coreSpread == 0 {
		return quetzalunit.Resources{Cores: k.cores, Memory: k.memory}
	}
	return quetzalunit.Resources{
		Cores:  min(29000, quetzalunit.MilliCores(float64(k.cores)*p.lognormal(k.coreSpread))),
		Memory: min(110000, quetzalunit.Megabytes(float64(k.memory)*p.lognormal(k.memorySpread))),
	}
}

// work returns the mean work of a job in minion seconds: each task occupies its larger share of a
// minion's cores and memory.
func (k *peakKind) work() float64 {
	p := &peakScenario{rng: rand.New(rand.NewPCG(3, 4))}
	const samples, steps = 10000, 1.6
	share := 0.0
	for range samples {
		r := k.resources(p)
		share += max(float64(r.Cores)/peakMinionCores, float64(r.Memory)/peakMinionMemory) / samples
	}
	return steps * peakStepTasks * share * k.runTime.Seconds() * math.Exp(0.5*0.5/2) * (1 + 6*peakStragglerShare)
}

func newPeakScenario(minions int) *peakScenario {
	return newPeakScenarioOf(smallTasks, minions)
}

func newPeakScenarioOf(kind peakKind, minions int) *peakScenario {
	cfg := testConfig()
	cfg.Queues[0].Stretch, cfg.Queues[0].TargetDuration = peakStretch, peakTarget
	p := &peakScenario{
		kind: kind, fleet: newFleet(1, threeZones[:1], 1, minions, cfg), rng: rand.New(rand.NewPCG(1, 2)),
		runTimes: make(map[quetzalunit.JobID][]time.Duration), submittedAt: make(map[quetzalunit.JobID]quetzalunit.Instant),
	}
	for _, m := range p.order {
		m.setCapacity(quetzalunit.Resources{Cores: peakMinionCores, Memory: peakMinionMemory})
		m.publish(false)
	}
	p.runTime = func(t quetzalwork.TaskID) time.Duration {
		runTime := float64(p.runTimes[t.Job][t.Step]) * p.lognormal(0.15)
		if p.rng.Float64() < peakStragglerShare {
			runTime *= 7
		}
		return time.Duration(runTime)
	}
	p.run(3 * time.Second)
	return p
}

// lognormal returns a random factor whose logarithm has a mean of 0 and the given standard
// deviation.
func (p *peakScenario) lognormal(spread float64) float64 {
	return math.Exp(spread * p.rng.NormFloat64())
}

// submitLoad submits jobs for d at a rate at which they need load times the capacity of the pool.
func (p *peakScenario) submitLoad(load float64, d time.Duration) {
	n := int(load * d.Seconds() * float64(len(p.order)) / p.kind.work())
	for i := range n {
		p.submitJob(1 + (i*3%5)/2)
		p.run(d / time.Duration(n))
	}
}

func (p *peakScenario) submitJob(steps int) {
	var runTimes []time.Duration
	var specs []quetzalwork.StepSpec
	for i := range min(steps, 2) {
		runTime := time.Duration(float64(p.kind.runTime) * p.lognormal(0.5))
		spec := quetzalwork.StepSpec{
			TaskCount: peakStepTasks, Resources: p.kind.resources(p), Estimate: time.Duration(float64(runTime) * p.lognormal(0.9)),
			Speculative: p.rng.Float64() < 0.3,
		}
		if i > 0 {
			spec.DependsOn = []quetzalunit.StepIndex{quetzalunit.StepIndex(i - 1)}
		}
		runTimes, specs = append(runTimes, runTime), append(specs, spec)
	}
	id := p.submit(p.entries[0], specs...)
	p.runTimes[id], p.submittedAt[id] = runTimes, p.now
}

// shareInTime returns the share of the jobs that met their objective, and the share of the jobs
// that took at most three times their objective.
func (p *peakScenario) shareInTime() (met, withinTriple float64) {
	ends := make(map[quetzalunit.JobID]quetzalunit.Instant)
	done := make(map[quetzalunit.JobID]int)
	paths := make(map[quetzalunit.JobID]time.Duration)
	for id, runTimes := range p.runTimes {
		for step := range runTimes {
			longest := time.Duration(0)
			for task := range quetzalunit.TaskIndex(peakStepTasks) {
				name := quetzalwork.TaskID{Job: id, TaskRef: quetzalwork.TaskRef{Step: quetzalunit.StepIndex(step), Task: task}}
				for _, r := range p.checker.records[name] {
					if r.over && r.end == quetzalwork.OutcomeDone {
						longest = max(longest, r.endedAt.Sub(r.startedAt))
						ends[id] = max(ends[id], r.endedAt)
						done[id]++
						break
					}
				}
			}
			paths[id] += longest
		}
	}
	for id, sent := range p.submittedAt {
		if done[id] < len(p.runTimes[id])*peakStepTasks {
			continue // unfinished
		}
		objective := time.Duration(peakStretch*float64(paths[id])) + peakTarget
		took := ends[id].Sub(sent)
		if took <= objective {
			met++
		}
		if took <= 3*objective {
			withinTriple++
		}
	}
	return met / float64(len(p.submittedAt)), withinTriple / float64(len(p.submittedAt))
}

// BenchmarkOverloadedPool measures the time of the ticks per run while the peak load of a queue
// exceeds the capacity of its pool, so that work queues up.
func BenchmarkOverloadedPool(b *testing.B) {
	for b.Loop() {
		p := newPeakScenario(100)
		p.submitLoad(1.5, 8*time.Second)
		p.run(10 * time.Second)
		b.ReportMetric(float64(p.tickTime.Microseconds())/float64(len(p.checker.records)), "µs/run")
		b.ReportMetric(float64(len(p.checker.records)), "runs")
	}
}

// Under a load of up to 1.5 times the pool's capacity, the share of jobs that meet their
// objective must be at least the share for which the pool has capacity, less one in twenty for
// stragglers.
func TestJobsMeetObjectivesAtPeakLoad(t *testing.T) {
	const (
		stragglers = 0.05
		seeds      = 4
	)
	for _, load := range []float64{0.7, 1.0, 1.2, 1.5} {
		mean := 0.0
		for seed := range uint64(seeds) {
			p := newPeakScenario(30)
			p.fleet.rng = rand.New(rand.NewPCG(seed, 1))
			p.submitLoad(load, 8*time.Second)
			p.run(15 * time.Second)
			met, withinTriple := p.shareInTime()
			t.Logf("load %.1f: %d jobs, %.3f in time, %.3f within three times", load, len(p.submittedAt), met, withinTriple)
			require.Empty(t, p.checker.violations)
			mean += met / seeds
		}
		require.GreaterOrEqual(t, mean, min(1, 1/load)-stragglers, "load %.1f", load)
	}
}

// The tasks of a queue fill a third of a minion each, some because of their memory. Under a load
// beyond the pool's capacity, the share of jobs that meet their objective must be at least the share
// for which the pool has capacity, less one in twenty for stragglers.
func TestLargeTasksMeetObjectivesBeyondCapacity(t *testing.T) {
	const stragglers = 0.05
	for _, load := range []float64{1.5, 2, 3} {
		p := newPeakScenarioOf(largeTasks, 30)
		p.submitLoad(load, 8*time.Second)
		p.run(25 * time.Second)
		met, withinTriple := p.shareInTime()
		t.Logf("load %.1f: %d jobs, %.3f in time, %.3f within three times", load, len(p.submittedAt), met, withinTriple)
		require.Empty(t, p.checker.violations)
		require.GreaterOrEqual(t, met, 1/load-stragglers)
	}
}

// At its peak a queue gets 400 jobs a second through many entries, each of which stores its own. The
// store executes the transactions on a part one after the other, in 4 ms each. Jobs must be accepted
// at once all the same.
func TestPeakOfManyEntriesIsStoredWithoutDelay(t *testing.T) {
	const entries, jobs, duration = 20, 1600, 4 * time.Second
	f := newFleet(1, threeZones, entries, 40, testConfig())
	f.store.transactionTime = 4 * time.Millisecond
	f.run(6 * time.Second)
	var latest time.Duration
	for i := range jobs {
		e := f.entries[i%entries]
		id := f.submit(e, testStep(1))
		sentAt := f.now
		var check func()
		check = func() {
			if len(f.answers[id]) == 0 {
				f.after(5*time.Millisecond, check)
				return
			}
			latest = max(latest, f.now.Sub(sentAt))
		}
		f.after(5*time.Millisecond, check)
		f.run(duration / jobs)
	}
	f.run(3 * time.Second)
	require.Len(t, f.checker.accepted, jobs)
	t.Logf("the slowest of %d jobs was accepted after %v", jobs, latest)
	require.Less(t, latest, 200*time.Millisecond)
	require.Empty(t, f.checker.violations)
}

// Jobs whose tasks are larger than any minion wait forever. They must not hold up other jobs that have
// missed their objective as well: those run once there is room.
func TestOversizedLateJobsHoldUpNoOthers(t *testing.T) {
	f := newFleet(1, threeZones[:1], 1, 1, testConfig())
	f.runTime = func(quetzalwork.TaskID) time.Duration { return 5 * time.Second }
	f.run(3 * time.Second)
	f.submit(f.entries[0], testStep(4))
	f.run(200 * time.Millisecond)
	for range 50 {
		step := testStep(1)
		step.Resources.Cores = 1 << 20
		f.submit(f.entries[0], step)
	}
	f.run(200 * time.Millisecond)
	id := f.submit(f.entries[0], testStep(1))
	f.run(4 * time.Second)
	require.Empty(t, f.checker.records[quetzalwork.TaskID{Job: id}], "the minion is full")
	f.run(3 * time.Second)
	require.Len(t, f.checker.records[quetzalwork.TaskID{Job: id}], 1)
}

// load returns the load that the first entry reports for the test pool.
func (f *fleet) load() quetzalwork.PoolLoad {
	var load quetzalwork.PoolLoad
	e := f.entries[0]
	e.replies[1] = func(r quetzalwork.PeerReply) { load = r.(quetzalwork.LoadReply).Load }
	e.post(e.boot, quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.QueryLoad{Pool: testPool}})
	f.run(time.Millisecond)
	return load
}

// Between two peaks a pool runs little but long-running tasks, which fill the memory of their minions
// and few cores. If it gave hosts away by its cores alone, a task that is evacuated for a wave would
// find no room until the next peak.
func TestLongRunningTasksKeepTheMemoryThatTheyFill(t *testing.T) {
	f := newFleet(1, threeZones[:1], 1, 4, testConfig())
	f.run(3 * time.Second)
	step := testStep(8)
	step.LongRunning, step.Resources = true, quetzalunit.Resources{Cores: 500, Memory: 8000}
	f.submit(f.entries[0], step)
	f.run(2 * time.Second)
	require.GreaterOrEqual(t, f.load().Wanted, quetzalunit.MilliCores(4*8000), "each of four minions is full with two tasks")
}

// While the load of a queue rises, the moving average of its load lags behind. The pool must
// request hosts for the load that the queue will have when they have arrived.
func TestPoolRequestsHostsForRisingLoad(t *testing.T) {
	const window = 300 * time.Millisecond
	wanted := func(p *peakScenario) float64 { return float64(p.load().Wanted) }
	rising := newPeakScenario(30)
	for i := range 4 {
		rising.submitLoad(0.15*float64(i+1), window)
	}
	atRise := wanted(rising)
	steady := newPeakScenario(30)
	steady.submitLoad(0.6, 3*time.Second)
	require.Greater(t, atRise, 0.9*wanted(steady))
}
