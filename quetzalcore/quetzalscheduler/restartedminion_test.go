package quetzalscheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// newLongTaskFleet returns a fleet of three zones whose tasks run for 15 s, with an entry that dispatches the
// pool.
func newLongTaskFleet(seed uint64) *fleet {
	f := newFleet(seed, threeZones, 6, 9, testConfig())
	f.restarting = true
	f.runTime = func(quetzalwork.TaskID) time.Duration { return 15 * time.Second }
	f.run(3 * time.Second)
	return f
}

// otherZone returns a zone without the dispatcher of the test pool.
func (f *fleet) otherZone(rng *rand.Rand) quetzalunit.ZoneID {
	i := rng.IntN(len(threeZones))
	if h := f.holder(); h != nil && h.zone == threeZones[i] {
		i = (i + 1) % len(threeZones)
	}
	return threeZones[i]
}

// restartZone makes the minions of a zone go down. They are back under their ids after a while.
func (f *fleet) restartZone(zone quetzalunit.ZoneID, downtime time.Duration) {
	for _, m := range f.order {
		if m.zone == zone {
			m.kill()
			f.after(downtime, m.recover)
		}
	}
}

// submitEach50ms submits a job of one task each 50 ms to entries that are up. The pool has room for all tasks, so that
// orders to start are sent at any time.
func (f *fleet) submitEach50ms(rng *rand.Rand, d time.Duration) {
	const interval = 50 * time.Millisecond
	step := testStep(1)
	step.Resources = quetzalunit.Resources{Cores: 200, Memory: 100}
	for end := f.now.Add(d); f.now < end; {
		if e := f.entries[rng.IntN(len(f.entries))]; e.up {
			f.submit(e, step)
		}
		f.run(min(interval, end.Sub(f.now)))
	}
}

// cutOff partitions a zone for a while.
func (f *fleet) cutOff(rng *rand.Rand, zone quetzalunit.ZoneID, d time.Duration) {
	f.partitionedZones[zone] = true
	f.submitEach50ms(rng, d)
	delete(f.partitionedZones, zone)
}

// Guards against a successor that starts tasks beside their runs on restarted minions: an order for the former
// process gave the later one the longest lease, for which the successor did not wait.
func TestKilledDispatcherOfRestartedMinionsStartsNoTaskTwice(t *testing.T) {
	for seed := range uint64(60) {
		f := newLongTaskFleet(seed)
		rng := rand.New(rand.NewPCG(seed, 2))
		f.submitEach50ms(rng, 2*time.Second)
		for range 3 {
			zone := f.otherZone(rng)
			f.restartZone(zone, 600*time.Millisecond)
			f.submitEach50ms(rng, 600*time.Millisecond+500*time.Millisecond+time.Duration(rng.Int64N(int64(1800*time.Millisecond))))
			f.endTerm(termKilled)
			f.submitEach50ms(rng, 600*time.Millisecond)
			f.cutOff(rng, zone, 9*time.Second)
			f.submitEach50ms(rng, 3*time.Second)
		}
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// Guards against a successor that trusts what a release tells of the leases on minions that had restarted under
// the entry that releases the pool.
func TestReleaseAfterRestartsOfMinionsStartsNoTaskTwice(t *testing.T) {
	for seed := range uint64(40) {
		f := newLongTaskFleet(seed)
		rng := rand.New(rand.NewPCG(seed, 2))
		f.submitEach50ms(rng, 2*time.Second)
		for range 3 {
			zone := f.otherZone(rng)
			f.restartZone(zone, 600*time.Millisecond)
			f.submitEach50ms(rng, 600*time.Millisecond+500*time.Millisecond+time.Duration(rng.Int64N(int64(1800*time.Millisecond))))
			f.endTerm(termReleased)
			f.submitEach50ms(rng, time.Duration(rng.Int64N(int64(600*time.Millisecond))))
			f.cutOff(rng, zone, 9*time.Second)
			f.submitEach50ms(rng, 3*time.Second)
		}
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// Guards against polls for the former process of a minion that acknowledge ends of the later one, whose tasks
// then run again.
func TestLatePollOfARestartedMinionLosesNoEnd(t *testing.T) {
	for seed := range uint64(100) {
		f := newFleet(seed, threeZones[:1], 1, 3, testConfig())
		f.restarting, f.latePolls = true, 0.1
		f.run(5 * time.Second)
		for i := range 100 {
			f.submit(f.entries[0], testStep(3))
			f.run(80 * time.Millisecond)
			if i%20 == 10 {
				f.order[i/20%3].restart(resources(8000))
			}
		}
		f.latePolls = 0
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// Guards against orders for a minion's process before the last one, which a second restart within one lease
// leaves in flight. In half of the cases a successor takes over.
func TestMinionThatRestartsTwiceWithinALeaseRunsNoTaskTwice(t *testing.T) {
	for seed := range uint64(40) {
		f := newLongTaskFleet(seed)
		rng := rand.New(rand.NewPCG(seed, 2))
		f.submitEach50ms(rng, 2*time.Second)
		for range 3 {
			zone := f.otherZone(rng)
			for range 2 {
				f.restartZone(zone, 50*time.Millisecond+time.Duration(rng.Int64N(int64(400*time.Millisecond))))
				f.submitEach50ms(rng, 500*time.Millisecond+time.Duration(rng.Int64N(int64(600*time.Millisecond))))
			}
			f.endTerm(termEnd(seed % 2))
			f.cutOff(rng, zone, 9*time.Second)
			f.submitEach50ms(rng, 3*time.Second)
		}
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// Guards against a dispatcher that does not count with the lease that a restarted minion took from an order to
// start that it had no room for.
func TestStartWithoutRoomOnARestartedMinionStartsNoTaskTwice(t *testing.T) {
	for seed := range uint64(40) {
		f := newLongTaskFleet(seed)
		rng := rand.New(rand.NewPCG(seed, 2))
		f.submitEach50ms(rng, 2*time.Second)
		for range 3 {
			zone := f.otherZone(rng)
			for _, m := range f.order {
				if m.zone == zone {
					m.kill()
					f.after(600*time.Millisecond, func() { m.restart(resources(100)) })
					f.after(900*time.Millisecond, func() { m.resize(resources(8000)) })
				}
			}
			f.submitEach50ms(rng, 2500*time.Millisecond+time.Duration(rng.Int64N(int64(1500*time.Millisecond))))
			f.cutOff(rng, zone, 9*time.Second)
			f.submitEach50ms(rng, 3*time.Second)
		}
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// latePoll makes a minion carry out a poll for its present process after a while, whatever process runs then.
func (m *minion) latePoll(d time.Duration) {
	late := quetzalwork.PollMinion{Target: quetzalwork.MinionTarget{Token: m.process.token}, LeaseEnd: m.clock().Add(24 * time.Hour)}
	m.f.after(d, func() { m.acceptPoll(late) })
}

// latePollAfterRestart makes the minions of a zone go down and, as soon as they are back under their ids, carry
// out a poll for their former process.
func (f *fleet) latePollAfterRestart(zone quetzalunit.ZoneID, downtime time.Duration) {
	for _, m := range f.order {
		if m.zone == zone {
			m.latePoll(downtime + time.Millisecond)
		}
	}
	f.restartZone(zone, downtime)
}

// restartZoneUnannounced is restartZone, and the records of the minions show the restart up to a beat later.
func (f *fleet) restartZoneUnannounced(zone quetzalunit.ZoneID, downtime time.Duration) {
	for _, m := range f.order {
		if m.zone == zone {
			m.kill()
			f.after(downtime, func() { m.restart(m.capacity()) })
		}
	}
}

// termEnd is how the term of the pool's dispatcher ends.
type termEnd int

const (
	termGoesOn termEnd = iota
	termKilled
	termReleased
)

// endTerm ends the term of the pool's dispatcher, which starts again later.
func (f *fleet) endTerm(how termEnd) {
	h := f.holder()
	if h == nil {
		return
	}
	switch how {
	case termKilled:
		h.kill()
	case termReleased:
		h.post(h.boot, quetzalwork.StopRequested{})
		f.after(3*time.Second, h.kill)
	default:
		return
	}
	f.after(8*time.Second, h.start)
}

// requireGuaranteesAndEnds runs the fleet until its long tasks have ended.
func requireGuaranteesAndEnds(t *testing.T, f *fleet, seed uint64) {
	t.Helper()
	f.run(50 * time.Second)
	require.Empty(t, f.checker.violations, "seed %d", seed)
	require.Empty(t, f.checker.unfinished(), "seed %d", seed)
}

// Guards against the lease that a late poll for the former process gave a restarted minion before it got any other
// call, for which neither the dispatcher nor a successor waits.
func TestLeaseOfALatePollOfARestartedMinionIsWaitedFor(t *testing.T) {
	for seed := range uint64(40) {
		f := newLongTaskFleet(seed)
		rng := rand.New(rand.NewPCG(seed, 2))
		f.submitEach50ms(rng, 2*time.Second)
		for range 3 {
			zone := f.otherZone(rng)
			f.latePollAfterRestart(zone, 300*time.Millisecond)
			f.submitEach50ms(rng, 2*time.Second+time.Duration(rng.Int64N(int64(time.Second))))
			f.endTerm(termEnd(seed % 3))
			f.cutOff(rng, zone, 9*time.Second)
			f.submitEach50ms(rng, 3*time.Second)
		}
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// As above, and the successor started after the restart, so that it has not seen it.
func TestSuccessorThatStartedAfterARestartWaitsForTheLongestLease(t *testing.T) {
	for seed := range uint64(30) {
		f := newLongTaskFleet(seed)
		rng := rand.New(rand.NewPCG(seed, 2))
		f.submitEach50ms(rng, 2*time.Second)
		for range 3 {
			zone := f.otherZone(rng)
			f.latePollAfterRestart(zone, 300*time.Millisecond)
			h := f.holder()
			for _, e := range f.entries {
				if e != h {
					e.kill()
					f.after(400*time.Millisecond, e.start)
				}
			}
			f.submitEach50ms(rng, 2*time.Second+time.Duration(rng.Int64N(int64(time.Second))))
			f.endTerm(termKilled + termEnd(seed%2))
			f.submitEach50ms(rng, time.Duration(rng.Int64N(int64(600*time.Millisecond))))
			f.cutOff(rng, zone, 9*time.Second)
			f.submitEach50ms(rng, 3*time.Second)
		}
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// The late poll is carried out while the minion is cut off, over 10 s after its restart became known.
func TestLeaseOfAPollThatIsSecondsLateIsWaitedFor(t *testing.T) {
	for seed := range uint64(30) {
		f := newLongTaskFleet(seed)
		rng := rand.New(rand.NewPCG(seed, 2))
		f.submitEach50ms(rng, 2*time.Second)
		for range 2 {
			zone := f.otherZone(rng)
			for _, m := range f.order {
				if m.zone == zone {
					m.latePoll(11700 * time.Millisecond)
				}
			}
			f.restartZone(zone, 100*time.Millisecond)
			f.submitEach50ms(rng, 110*time.Millisecond)
			f.cutOff(rng, zone, 11500*time.Millisecond)
			f.submitEach50ms(rng, 1500*time.Millisecond)
			f.cutOff(rng, zone, 9*time.Second)
			f.submitEach50ms(rng, 3*time.Second)
		}
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// The dispatcher forgets a minion that has left the list, which then starts again under its id.
func TestLatePollOfAMinionThatRejoinsLosesNoEnd(t *testing.T) {
	for seed := range uint64(100) {
		f := newFleet(seed, threeZones[:1], 1, 3, testConfig())
		f.restarting, f.latePolls = true, 0.1
		submitEach80ms := func(n int) {
			for range n {
				f.submit(f.entries[0], testStep(3))
				f.run(80 * time.Millisecond)
			}
		}
		f.run(5 * time.Second)
		for round := range 5 {
			submitEach80ms(20)
			f.run(4 * time.Second)
			m := f.order[round%3]
			m.kill()
			f.run(3100 * time.Millisecond)
			m.publish(true)
			f.run(1500 * time.Millisecond)
			m.recover()
			submitEach80ms(60)
		}
		f.latePolls = 0
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// restartSetBack starts a later process with an earlier time of day.
func (m *minion) restartSetBack() {
	m.begin()
	m.record.Incarnation--
	m.capacities = append(m.capacities, timedCapacity{m.f.now, m.record.Incarnation, m.capacity()})
	m.announce()
}

// As TestLeaseOfALatePollOfARestartedMinionIsWaitedFor, and the later process has the lower incarnation.
func TestSuccessorSeesARestartWithAnEarlierTimeOfDay(t *testing.T) {
	for seed := range uint64(30) {
		f := newLongTaskFleet(seed)
		rng := rand.New(rand.NewPCG(seed, 2))
		for _, m := range f.order {
			m.record.Incarnation = 100
			m.publish(false)
		}
		f.submitEach50ms(rng, 3*time.Second)
		for range 3 {
			zone := f.otherZone(rng)
			for _, m := range f.order {
				if m.zone == zone {
					m.latePoll(301 * time.Millisecond)
					m.kill()
					f.after(300*time.Millisecond, m.restartSetBack)
				}
			}
			f.submitEach50ms(rng, 2*time.Second+time.Duration(rng.Int64N(int64(time.Second))))
			f.endTerm(termKilled)
			f.cutOff(rng, zone, 9*time.Second)
			f.submitEach50ms(rng, 3*time.Second)
		}
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// Late polls, restarts, killed and stopped dispatchers and cuts together.
func TestLatePollsRestartsAndTakeoversStartNoTaskTwice(t *testing.T) {
	for seed := range uint64(30) {
		f := newLongTaskFleet(seed)
		f.latePolls = 0.15
		rng := rand.New(rand.NewPCG(seed, 2))
		f.submitEach50ms(rng, 2*time.Second)
		for range 3 {
			zone := f.otherZone(rng)
			f.restartZone(zone, time.Duration(rng.Int64N(int64(3*time.Second))))
			f.submitEach50ms(rng, 3*time.Second+time.Duration(rng.Int64N(int64(4*time.Second))))
			f.endTerm(termEnd(rng.IntN(3)))
			f.cutOff(rng, zone, 9*time.Second)
			f.submitEach50ms(rng, 3*time.Second)
		}
		f.latePolls = 0
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// The time of day of a minion is set back before it restarts, so that the later process has the lower incarnation.
func TestMinionThatRestartsWithAnEarlierTimeOfDayIsUsed(t *testing.T) {
	f := newFleet(1, threeZones[:1], 2, 1, testConfig())
	m := f.order[0]
	m.record.Incarnation = 10
	m.publish(false)
	f.run(3 * time.Second)
	f.submit(f.entries[0], testStep(3))
	f.run(3 * time.Second)
	m.kill()
	m.begin()
	m.record.Incarnation = 4
	m.publish(false)
	f.run(time.Second)
	f.submit(f.entries[0], testStep(3))
	runAndVerify(t, f, 20*time.Second)
}

// Ends that a successor never had to read, since its predecessor has acknowledged them, are not forgotten ones.
func TestForgottenEndsAreLogged(t *testing.T) {
	f := newFleet(1, threeZones[:1], 2, 1, testConfig())
	lines := 0
	f.onLog = func(d quetzalwork.Decision) {
		if d.Message == "The minion has forgotten ends that this entry has not seen." {
			lines++
		}
	}
	runJobs := func() {
		for _, e := range f.entries {
			if e.up {
				f.submit(e, testStep(3))
			}
		}
		f.run(5 * time.Second)
	}
	f.run(3 * time.Second)
	runJobs()
	f.holder().kill()
	f.run(15 * time.Second)
	runJobs()
	require.Zero(t, lines)
	f.order[0].process.lastEnd += 3
	runJobs()
	require.Equal(t, 1, lines)
}

// The minions have seen a higher token than that of the entry that holds the pool, as after a move from another pool.
func TestPoolWhoseMinionsHaveSeenAHigherTokenIsDispatched(t *testing.T) {
	f := newFleet(1, threeZones, 3, 6, testConfig())
	f.run(5 * time.Second)
	for _, m := range f.order {
		m.process.token = quetzalunit.FencingToken(f.store.duties[testPool].Revision + 50).Order(0)
	}
	for range 20 {
		f.submit(f.entries[0], testStep(2))
		f.run(100 * time.Millisecond)
	}
	runAndVerify(t, f, 60*time.Second)
}

// restartAndCutOff makes the minions of a zone restart three times, on connections that outlive their processes.
// Their records show it late. Soon after, the term of the dispatcher ends, and the zone is cut off.
func (f *fleet) restartAndCutOff(rng *rand.Rand, end termEnd) {
	f.connsOutlive = true
	f.submitEach50ms(rng, 2*time.Second)
	for range 3 {
		zone := f.otherZone(rng)
		f.restartZoneUnannounced(zone, 600*time.Millisecond)
		f.submitEach50ms(rng, 600*time.Millisecond+time.Duration(rng.Int64N(int64(800*time.Millisecond))))
		if end != termGoesOn {
			f.endTerm(end)
			f.submitEach50ms(rng, time.Duration(rng.Int64N(int64(600*time.Millisecond))))
		}
		f.cutOff(rng, zone, 9*time.Second)
		f.submitEach50ms(rng, 3*time.Second)
	}
}

// Guards against a dispatcher that takes the answer to a start for that of the process that it knows: a later one, on
// a connection that outlives the former one, has granted the longest lease.
func TestStartOnALaterProcessThatIsNotKnownYetStartsNoTaskTwice(t *testing.T) {
	for seed := range uint64(40) {
		f := newLongTaskFleet(seed)
		f.restartAndCutOff(rand.New(rand.NewPCG(seed, 2)), termGoesOn)
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// As above, and the dispatcher is killed: its successor must know of the restart, too.
func TestSuccessorKnowsOfARestartThatOnlyItsPredecessorFound(t *testing.T) {
	for seed := range uint64(60) {
		f := newLongTaskFleet(seed)
		f.restartAndCutOff(rand.New(rand.NewPCG(seed, 2)), termKilled)
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// Guards against acknowledgements for the former process that a later one gets on a connection that outlives it:
// the ends that they acknowledge are not read, and their tasks run again.
func TestAcknowledgementForAFormerProcessLosesNoEnd(t *testing.T) {
	step := testStep(1)
	step.Estimate = 60 * time.Millisecond
	for seed := range uint64(60) {
		f := newFleet(seed, threeZones[:1], 1, 3, testConfig())
		f.restarting, f.connsOutlive = true, true
		f.run(5 * time.Second)
		for i := range 300 {
			f.submit(f.entries[0], step)
			f.run(40 * time.Millisecond)
			if i%50 == 25 {
				f.order[i/50%3].restart(resources(8000))
			}
		}
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// As TestSuccessorSeesARestartWithAnEarlierTimeOfDay, on connections that outlive the former process.
func TestPollOfAProcessWithAnEarlierTimeOfDayStartsNoTaskTwice(t *testing.T) {
	for seed := range uint64(30) {
		f := newLongTaskFleet(seed)
		f.connsOutlive = true
		rng := rand.New(rand.NewPCG(seed, 2))
		for _, m := range f.order {
			m.record.Incarnation = 100
			m.publish(false)
		}
		f.submitEach50ms(rng, 3*time.Second)
		for range 3 {
			zone := f.otherZone(rng)
			for _, m := range f.order {
				if m.zone == zone {
					m.kill()
					f.after(300*time.Millisecond, m.restartSetBack)
				}
			}
			f.submitEach50ms(rng, 2*time.Second+time.Duration(rng.Int64N(int64(time.Second))))
			f.endTerm(termKilled)
			f.cutOff(rng, zone, 9*time.Second)
			f.submitEach50ms(rng, 3*time.Second)
		}
		requireGuaranteesAndEnds(t, f, seed)
	}
}

// Guards against a dispatcher that does not wait for the lease of a start that the next process of a minion, which is
// cut off by then, carries out late.
func TestLeaseOfALateStartOnARestartedMinionIsWaitedFor(t *testing.T) {
	for seed := range uint64(20) {
		f := newLongTaskFleet(seed)
		rng := rand.New(rand.NewPCG(seed, 2))
		f.submitEach50ms(rng, 2*time.Second)
		for range 2 {
			zone := f.otherZone(rng)
			f.lateOrders = 0.5
			f.submitEach50ms(rng, 400*time.Millisecond)
			f.lateOrders = 0
			f.restartZone(zone, 300*time.Millisecond)
			f.cutOff(rng, zone, 14*time.Second)
			f.submitEach50ms(rng, 3*time.Second)
		}
		requireGuaranteesAndEnds(t, f, seed)
	}
}
