package quetzalproof

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/platform/quetzalplatformstandin"
	"quetzalstair/quetzalcore/quetzalunit"
)

// processorTime is the time that a process has used, in user mode and in the kernel.
type processorTime struct{ user, system time.Duration }

func (p processorTime) total() time.Duration { return p.user + p.system }

// processorTimeOf reads the processor time of a process from /proc, where it stands in ticks of 10 ms.
func processorTimeOf(t testing.TB, pid int) processorTime {
	const userField, systemField, tick = 11, 12, 10 * time.Millisecond
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	// The second field, the name of the program, may have spaces.
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	at := func(i int) time.Duration {
		n, err := strconv.Atoi(string(fields[i]))
		require.NoError(t, err)
		return time.Duration(n) * tick
	}
	return processorTime{at(userField), at(systemField)}
}

// dispatchLoad is the load of a dispatcher: jobs of short tasks at a steady rate.
type dispatchLoad struct {
	startsPerSecond int
	cores           quetzalunit.MilliCores
}

const (
	dispatchMinions  = 240
	dispatchTasks    = 16
	dispatchPool     = quetzalunit.PoolID("desk")
	dispatchShortest = 300 * time.Millisecond
	dispatchLongest  = 700 * time.Millisecond
)

// submitFor submits jobs for a time to the entry that does not dispatch the pool.
func (l *dispatchLoad) submitFor(r *rig, front quetzalunit.Address, source *jobSource, length time.Duration) {
	const callsAtOnce = 64
	pause := time.Second * dispatchTasks / time.Duration(l.startsPerSecond)
	slots := make(chan struct{}, callsAtOnce)
	var open sync.WaitGroup
	for begin, n := time.Now(), time.Duration(0); time.Since(begin) < length; n++ {
		time.Sleep(time.Until(begin.Add(n * pause)))
		j := &quetzalplatformstandin.JobSpec{
			ID: source.id(), Queue: quetzalunit.QueueID(dispatchPool), Shortest: dispatchShortest, Longest: dispatchLongest,
			Steps: []quetzalplatformstandin.StepSpec{{Count: dispatchTasks, Cores: l.cores}},
		}
		slots <- struct{}{}
		open.Go(func() {
			r.caller.Submit(front, j)
			<-slots
		})
	}
	open.Wait()
}

// runsStarted returns the number of runs that have started.
func runsStarted(r *rig) int { return len(r.fleet.Runs()) }

// BenchmarkDispatcher measures the processor time of the process that dispatches a pool of 240 minions, for each run, at up
// to 5,000 starts a second: while all work finds room, and while more work arrives than the pool has room for.
func BenchmarkDispatcher(b *testing.B) {
	for name, load := range map[string]dispatchLoad{
		"Room":     {startsPerSecond: 5000, cores: 2000},
		"Overload": {startsPerSecond: 6000, cores: 3300},
	} {
		b.Run(name, func(b *testing.B) { benchmarkDispatcher(b, &load) })
	}
}

func benchmarkDispatcher(b *testing.B, load *dispatchLoad) {
	const warmUp, measured = 3 * time.Second, 6 * time.Second
	b.StopTimer()
	for range b.N {
		r := newRig(b, &rigSpec{
			shape: siteShape, Options: quetzalplatformstandin.Options{Seed: 1}, dir: b.TempDir(), zones: 1, entries: 2, minions: dispatchMinions,
			pools: []quetzalunit.PoolID{dispatchPool}, cores: 32000, direct: true, cpuShare: 0.8,
		})
		r.caller.Client.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
		dispatcher, other := r.entries[0], r.entries[1]
		require.Eventually(b, func() bool { return r.fleet.Dispatcher(dispatchPool) != "" }, 20*time.Second, 50*time.Millisecond)
		if r.fleet.Dispatcher(dispatchPool) == other.Entry {
			dispatcher, other = other, dispatcher
		}
		source := &jobSource{rng: rand.New(rand.NewPCG(1, 0))}
		load.submitFor(r, other.Front, source, warmUp)
		used, runs, begin := processorTimeOf(b, dispatcher.cmd.Process.Pid), runsStarted(r), time.Now()
		b.StartTimer()
		load.submitFor(r, other.Front, source, measured)
		b.StopTimer()
		after, started, took := processorTimeOf(b, dispatcher.cmd.Process.Pid), runsStarted(r)-runs, time.Since(begin)
		require.Equal(b, dispatcher.Entry, r.fleet.Dispatcher(dispatchPool), "the pool has changed hands")
		require.Empty(b, r.fleet.Violations())
		perRun := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(started) }
		b.ReportMetric(perRun(after.total()-used.total()), "µs/run")
		b.ReportMetric(perRun(after.user-used.user), "user-µs/run")
		b.ReportMetric(perRun(after.system-used.system), "system-µs/run")
		b.ReportMetric(float64(started)/took.Seconds(), "runs/s")
		b.ReportMetric((after.total()-used.total()).Seconds()/took.Seconds(), "cores")
		r.endAll()
	}
}
