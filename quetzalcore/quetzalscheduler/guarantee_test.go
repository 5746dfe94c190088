package quetzalscheduler_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quetzalstair/quetzalcore/quetzalscheduler"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

var threeZones = []quetzalunit.ZoneID{"a", "b", "c"}

// runAndVerify runs the fleet for d and requires that no guarantee was violated and that every
// accepted job is finished, except for long-running ones.
func runAndVerify(t require.TestingT, f *fleet, d time.Duration) {
	f.run(d)
	require.Empty(t, f.checker.violations)
	require.Empty(t, f.checker.unfinished())
}

func TestJobsRunOnceAndAreCompleted(t *testing.T) {
	f := newFleet(1, threeZones, 3, 6, testConfig())
	f.run(3 * time.Second)
	var ids []quetzalunit.JobID
	for i := range 20 {
		ids = append(ids, f.submit(f.entries[i%3], testStep(4), testStep(2, 0)))
		f.run(50 * time.Millisecond)
	}
	runAndVerify(t, f, 20*time.Second)
	require.Len(t, f.checker.accepted, 20)
	for i, id := range ids[:3] {
		require.Equal(t, quetzalwork.JobStateAnswer{State: quetzalwork.JobCompleted}, f.state(f.entries[i], id))
	}
}

func TestSuccessorFinishesTheWorkOfAKilledDispatcher(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, threeZones, 3, 6, testConfig())
		f.run(3 * time.Second)
		for i := range 10 {
			f.submit(f.entries[i%3], testStep(4), testStep(2, 0))
		}
		f.run(time.Duration(200+100*seed) * time.Millisecond)
		f.holder().kill()
		runAndVerify(t, f, 40*time.Second)
	}
}

// A partition isolates the dispatcher together with the minions of its zone, which it still
// reaches, while a successor takes over the minions of the other zones.
func TestDispatcherInAPartitionedZoneStartsNothingTwice(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, threeZones, 6, 9, testConfig())
		f.run(3 * time.Second)
		holder := f.holder()
		f.partitionedZones[holder.zone] = true
		for i := range 60 {
			f.submit(f.entries[i%6], testStep(3), testStep(2, 0))
			f.run(100 * time.Millisecond)
		}
		delete(f.partitionedZones, holder.zone)
		runAndVerify(t, f, 40*time.Second)
	}
}

// The minions of the isolated zone are removed from the list before the takeover but keep
// running. The successor must wait until the leases on them have expired.
func TestMinionsThatLeftTheListBeforeATakeoverAreWaitedFor(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, threeZones, 6, 9, testConfig())
		f.run(3 * time.Second)
		holder := f.holder()
		for range 8 {
			f.submit(holder, testStep(6), testStep(2, 0))
		}
		f.run(300 * time.Millisecond)
		f.partitionedZones[holder.zone] = true
		for _, m := range f.order {
			if m.zone == holder.zone {
				m.publish(true)
			}
		}
		f.run(8 * time.Second)
		delete(f.partitionedZones, holder.zone)
		for _, m := range f.order {
			m.publish(false)
		}
		runAndVerify(t, f, 40*time.Second)
	}
}

func TestFailedRunCountsOnceAcrossATakeover(t *testing.T) {
	f := newFleet(1, threeZones, 3, 2, testConfig())
	f.run(3 * time.Second)
	for _, m := range f.order {
		m.failing = true
	}
	id := f.submit(f.entries[0], testStep(1))
	for len(f.checker.records) == 0 || !f.checker.records[quetzalwork.TaskID{Job: id}][0].over {
		f.run(time.Millisecond)
	}
	// The failure is stored by now, but the minion has no acknowledgement of it yet.
	f.run(12 * time.Millisecond)
	for _, m := range f.order {
		m.failing = false
	}
	f.holder().kill()
	runAndVerify(t, f, 40*time.Second)
	require.Less(t, len(f.checker.records[quetzalwork.TaskID{Job: id}]), 4)
}

func TestOutageOfTheStoreLosesNothing(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, threeZones, 3, 6, testConfig())
		f.run(3 * time.Second)
		for i := range 10 {
			f.submit(f.entries[i%3], testStep(6), testStep(2, 0))
		}
		f.run(400 * time.Millisecond)
		f.storeDown = true
		f.run(time.Duration(2+2*seed) * time.Second)
		f.storeDown = false
		runAndVerify(t, f, 40*time.Second)
	}
}

func TestCancelledJobStops(t *testing.T) {
	f := newFleet(1, threeZones, 3, 6, testConfig())
	f.run(3 * time.Second)
	step := testStep(4)
	step.LongRunning = true
	id := f.submit(f.entries[0], step)
	f.run(time.Second)
	f.callers[900] = "cancel"
	e := f.entries[1]
	e.post(e.boot, quetzalwork.CancelRequested{Caller: 900, HTTPHost: "host", Path: "/proofs/" + string(id), Timeout: 3 * time.Second})
	f.run(1500 * time.Millisecond)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.CancelAccepted{}}, f.answers["cancel"])
	for _, m := range f.order {
		require.Empty(t, m.runs)
	}
	require.Equal(t, quetzalwork.JobStateAnswer{State: quetzalwork.JobCancelled}, f.state(f.entries[2], id))
}

func TestJobThatIsNotStoredNeverRuns(t *testing.T) {
	f := newFleet(1, threeZones, 3, 6, testConfig())
	f.run(3 * time.Second)
	f.storeDown = true
	id := f.submit(f.entries[0], testStep(2))
	f.run(10 * time.Second)
	require.IsType(t, quetzalwork.Indeterminate{}, f.answers[id][0], "the transaction may have been carried out")
	require.Empty(t, f.checker.records)
}

// A submission whose timeout is shorter than a transaction of the store usually takes must be
// refused at once and must never run.
func TestSubmissionWithoutTimeIsRefusedAtOnce(t *testing.T) {
	f := newFleet(1, threeZones, 1, 1, testConfig())
	f.run(3 * time.Second)
	f.submit(f.entries[0], testStep(1))
	f.run(time.Second)
	e := f.entries[0]
	f.callers[900] = "hasty"
	e.post(e.boot, quetzalwork.JobSubmitted{
		Caller: 900, HTTPHost: "host", Path: "/proofs/00000000000000ff", Timeout: time.Millisecond,
		Spec: &quetzalwork.JobSpec{Payload: "text", Steps: []quetzalwork.StepSpec{testStep(1)}},
	})
	f.run(time.Millisecond)
	require.Len(t, f.answers["hasty"], 1)
	require.IsType(t, quetzalwork.JobRefused{}, f.answers["hasty"][0])
	f.run(10 * time.Second)
	require.NotContains(t, f.checker.records, quetzalwork.TaskID{Job: "00000000000000ff"})
}

func TestInvalidSubmissionsAreRejected(t *testing.T) {
	f := newFleet(1, threeZones, 1, 1, testConfig())
	f.run(3 * time.Second)
	self := testStep(1)
	self.DependsOn = []quetzalunit.StepIndex{0}
	negative := testStep(1)
	negative.Resources.Cores = -1
	for _, test := range []struct {
		path string
		spec *quetzalwork.JobSpec
		want quetzalwork.Answer
	}{
		{"/proofs/0123456789abcdef", nil, quetzalwork.InvalidJob{Problem: "the body cannot be read"}},
		{"/proofs/0123456789abcdef", &quetzalwork.JobSpec{}, quetzalwork.InvalidJob{Problem: "the job has no steps"}},
		{"/proofs/0123456789abcdef", &quetzalwork.JobSpec{Steps: []quetzalwork.StepSpec{{}}}, quetzalwork.InvalidJob{Problem: "step 0 has no tasks"}},
		{"/proofs/0123456789abcdef", &quetzalwork.JobSpec{Steps: []quetzalwork.StepSpec{self}}, quetzalwork.InvalidJob{Problem: "step 0 waits for step 0, which is not before it"}},
		{"/proofs/0123456789abcdef", &quetzalwork.JobSpec{Payload: string(make([]byte, 4001)), Steps: []quetzalwork.StepSpec{testStep(1)}}, quetzalwork.InvalidJob{Problem: "the text is longer than 4000 bytes"}},
		{"/proofs/0123456789abcdef", &quetzalwork.JobSpec{Steps: []quetzalwork.StepSpec{testStep(1), testStep(20000)}}, quetzalwork.InvalidJob{Problem: "the job has more than 20000 tasks"}},
		{"/proofs/0123456789abcdef", &quetzalwork.JobSpec{Steps: []quetzalwork.StepSpec{negative}}, quetzalwork.InvalidJob{Problem: "step 0 has a negative requirement"}},
		{"/proofs/0123456789abcdef", &quetzalwork.JobSpec{Steps: []quetzalwork.StepSpec{testStep(1)}, Occurrences: 3, Interval: -1}, quetzalwork.InvalidJob{Problem: "the schedule has a negative number"}},
		{"/proofs/0123456789abcdef", &quetzalwork.JobSpec{Steps: []quetzalwork.StepSpec{testStep(1)}, Occurrences: 3, Interval: math.MaxInt64 / 2}, quetzalwork.InvalidJob{Problem: "the last occurrence is too far in the future"}},
		{"/proofs/xyz", &quetzalwork.JobSpec{Steps: []quetzalwork.StepSpec{testStep(1)}}, quetzalwork.InvalidJob{Problem: "the path names no job"}},
		{"/nothing/0123456789abcdef", &quetzalwork.JobSpec{Steps: []quetzalwork.StepSpec{testStep(1)}}, quetzalwork.NoSuchQueue{}},
	} {
		caller := quetzalunit.CallerID(1000 + len(f.callers))
		key := quetzalunit.JobID(test.path + time.Duration(caller).String())
		f.callers[caller] = key
		e := f.entries[0]
		e.post(e.boot, quetzalwork.JobSubmitted{Caller: caller, HTTPHost: "host", Path: test.path, Spec: test.spec})
		f.run(100 * time.Millisecond)
		require.Equal(t, []quetzalwork.Answer{test.want}, f.answers[key])
	}
}

// TestGuaranteesUnderRandomFaults injects random faults and checks every guarantee.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkGuaranteesUnderRandomFaults(t, false) })
}

// The same, with connections to minions that outlive their processes.
func TestGuaranteesUnderRandomFaultsWhenConnectionsOutliveProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkGuaranteesUnderRandomFaults(t, true) })
}

func checkGuaranteesUnderRandomFaults(t *rapid.T, connsOutlive bool) {
	seed := rapid.Uint64().Draw(t, "seed")
	cfg := testConfig()
	unguarded := rapid.Bool().Draw(t, "unguarded")
	cfg.Pools[0].EnforcesCapacity = !unguarded
	f := newFleet(seed, threeZones, rapid.IntRange(2, 6).Draw(t, "entries"), rapid.IntRange(3, 9).Draw(t, "minions"), cfg)
	f.unguarded, f.connsOutlive = unguarded, connsOutlive
	f.lateOrders = rapid.SampledFrom([]float64{0, 0, 0.05}).Draw(t, "late")
	f.latePolls = f.lateOrders
	f.store.pageSize = rapid.SampledFrom([]int{0, 2, 8}).Draw(t, "page")
	f.newIDs = rapid.Bool().Draw(t, "new IDs")
	f.run(3 * time.Second)
	rng := rand.New(rand.NewPCG(seed, 2))
	faults := rapid.SliceOfN(rapid.IntRange(0, 16), 1, 6).Draw(t, "faults")
	f.restarting = slices.Contains(faults, restartFault)
	withdrawals, withdrawalRNG := rapid.Bool().Draw(t, "withdrawals") && !slices.Contains(faults, deadlyFault), rand.New(rand.NewPCG(seed, 6))
	longRunning := testStep(3)
	longRunning.LongRunning, longRunning.MaxUnavailable, longRunning.MaxPerMinion = true, 1, 2
	longRunningJob := f.submit(f.entries[0], longRunning)
	for i, fault := range faults {
		for range 12 {
			f.submit(f.entries[rng.IntN(len(f.entries))], testStep(quetzalunit.Tasks(1+rng.IntN(4))), testStep(2, 0))
			f.run(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		if withdrawals {
			f.slowPolls = 0.4
			f.withdrawEarly(f.entries[withdrawalRNG.IntN(len(f.entries))], withdrawalRNG)
			f.run(1200 * time.Millisecond)
			for range 6 {
				f.submit(f.entries[rng.IntN(len(f.entries))], testStep(2))
			}
			f.run(2 * time.Second)
		}
		injectFault(f, rng, fault, i)
	}
	f.loseAnswers, f.lateOrders, f.latePolls, f.slowPolls, f.storeDown, f.delayedWrites, f.store.listDown = 0, 0, 0, 0, false, false, false
	clear(f.partitionedZones)
	for _, e := range f.entries {
		if !e.up {
			e.start()
		}
	}
	for range 40 {
		f.submit(f.entries[rng.IntN(len(f.entries))], testStep(quetzalunit.Tasks(1+rng.IntN(4))))
		f.run(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
	for range 3 {
		for _, id := range f.shortLived {
			f.cancel(f.entries[0], id)
		}
		f.run(4 * time.Second)
	}
	f.run(60 * time.Second)
	if len(f.checker.violations) > 0 {
		t.Fatalf("faults %v: %v", faults, f.checker.violations)
	}
	if f.checker.accepted[longRunningJob] && f.checker.running(longRunningJob) < 3 {
		t.Fatalf("faults %v: %d long-running tasks are active\n%s", faults, f.checker.running(longRunningJob), f.explain(longRunningJob))
	}
	if ids := f.checker.unfinished(); len(ids) > 0 {
		t.Fatalf("faults %v: unfinished jobs %v\n%s", faults, ids, f.explain(ids[0]))
	}
}

const (
	// restartFault is the fault of a minion that restarts under its id.
	restartFault = 11
	// deadlyFault is the fault of a task that crashes its minions.
	deadlyFault = 12
)

// injectFault starts one of the faults 0 to 16. Faults with a duration end by themselves; a killed
// minion is replaced by a new one.
func injectFault(f *fleet, rng *rand.Rand, fault, i int) {
	e := f.entries[rng.IntN(len(f.entries))]
	if h := f.holder(); h != nil && rng.IntN(2) == 0 {
		e = h
	}
	d := time.Duration(500+rng.IntN(8000)) * time.Millisecond
	switch fault {
	case 0:
		e.kill()
		f.after(d, func() {
			if !e.up {
				e.start()
			}
		})
	case 1:
		e.pausedUntil = f.now.Add(d)
	case 2:
		f.partitionedZones[e.zone] = true
		f.after(d, func() { delete(f.partitionedZones, e.zone) })
	case 3:
		f.storeDown = true
		f.after(d, func() { f.storeDown = false })
	case 4:
		f.loseAnswers = 0.3
		f.after(d, func() { f.loseAnswers = 0 })
	case 5:
		e.post(e.boot, quetzalwork.StopRequested{})
		f.after(3*time.Second, func() {
			if e.up {
				e.kill()
				f.after(500*time.Millisecond, e.start)
			}
		})
	case 6:
		for _, m := range f.order {
			if m.up && m.zone == e.zone {
				m.kill()
				f.after(d, func() { m.publish(true) })
				f.addMinion(m.zone, 90+i)
				break
			}
		}
	case 16:
		f.restartInTurn(2+rng.IntN(8), time.Duration(100+rng.IntN(900))*time.Millisecond)
	case deadlyFault:
		step := testStep(1)
		step.Speculative = rng.IntN(2) == 0
		f.submitDeadly(f.entries[rng.IntN(len(f.entries))], step)
	case 14:
		f.leave(rng, 90+i)
	case 15:
		f.store.listDown = true
		for wait := 100 * time.Millisecond; wait < d; wait *= 4 {
			f.after(wait, func() { f.leave(rng, 90+i) })
		}
		f.after(d, func() { f.store.listDown, f.store.listCompactedThrough = false, f.store.revision })
	case 13:
		f.delayedWrites = true
		f.after(d, func() { f.delayedWrites = false })
	case 8:
		f.store.compactedThrough = f.store.revision
	case 7:
		for _, m := range f.order {
			if m.zone == e.zone {
				m.publish(true)
				f.after(d, func() {
					if m.up {
						m.publish(false)
					}
				})
			}
		}
	case 9:
		for _, m := range f.order {
			if before := m.capacity(); m.up && rng.IntN(2) == 0 {
				m.resize(quetzalunit.Resources{Cores: quetzalunit.MilliCores(rng.IntN(9) * 1000), Memory: before.Memory / quetzalunit.Megabytes(1+rng.IntN(4))})
				f.after(d, func() { m.resize(quetzalunit.Resources{Cores: 8000, Memory: 16000}) })
			}
		}
	case 10:
		// Many minions are busy with runs that are about to be cancelled.
		id := f.submit(e, longStep(8))
		f.shortLived = append(f.shortLived, id)
		f.after(d, func() { f.cancel(f.entries[rng.IntN(len(f.entries))], id) })
	case restartFault:
		if m := f.order[rng.IntN(len(f.order))]; m.up {
			m.restart(quetzalunit.Resources{Cores: quetzalunit.MilliCores(1+rng.IntN(4)) * 2000, Memory: 16000})
		}
	}
}

// Entries have different CPU shares. Dispatching a large pool needs much CPU time, so the duties
// must go to the entries with the larger shares.
func TestDutiesGoToEntriesWithMoreCPU(t *testing.T) {
	cfg := testConfig()
	cfg.Pools = append(cfg.Pools, quetzalwork.PoolSpec{ID: "other"}, quetzalwork.PoolSpec{ID: "third"})
	f := newFleet(1, threeZones, 6, 3, cfg)
	for i, e := range f.entries {
		e.world.Self.CPUShare = 20
		if i >= 4 {
			e.world.Self.CPUShare = 80
		}
	}
	f.run(10 * time.Second)
	for i, e := range f.entries {
		n := len(quetzalscheduler.Backlogs(e.world))
		if i < 4 {
			require.Zero(t, n)
			continue
		}
		require.Positive(t, n)
	}
}

// One entry starts alone and holds every duty. After others have joined, it must release duties
// until the load is balanced.
func TestDutiesAreRebalanced(t *testing.T) {
	cfg := testConfig()
	for _, id := range []quetzalunit.PoolID{"p2", "p3", "p4", "p5"} {
		cfg.Pools = append(cfg.Pools, quetzalwork.PoolSpec{ID: id})
	}
	f := newFleet(1, threeZones, 1, 3, cfg)
	f.run(3 * time.Second)
	require.Len(t, quetzalscheduler.Backlogs(f.entries[0].world), 5)
	for i := range 2 {
		e := &entry{f: f, id: quetzalunit.EntryID([]string{"x0", "x1"}[i]), zone: threeZones[i+1], config: cfg}
		f.entries = append(f.entries, e)
		e.start()
	}
	f.run(20 * time.Second)
	for _, e := range f.entries {
		require.LessOrEqual(t, len(quetzalscheduler.Backlogs(e.world)), 3)
		require.NotEmpty(t, quetzalscheduler.Backlogs(e.world))
	}
}

// leave makes a random minion leave, if it is up and reaches the store. Another one joins, and the
// leaving one is gone some seconds later.
func (f *fleet) leave(rng *rand.Rand, rack int) {
	m := f.order[rng.IntN(len(f.order))]
	if !m.up || m.drainingSince != 0 || f.storeDown || !f.reaches(m.zone, storeZone) || f.store.list[m.record.ID].removed {
		return
	}
	m.drain()
	f.addMinion(m.zone, rack)
	f.after(7*time.Second, func() {
		if m.drainingSince != 0 {
			m.kill()
			m.publish(true)
		}
	})
}
