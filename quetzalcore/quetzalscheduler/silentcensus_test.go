package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// A minion does not answer the successor of a dispatcher that may be alive. How long its work waits depends on what
// the hosts show. A minion may start again under its id, with no token, so that a host on which nothing runs
// counts only once the predecessor grants leases no more.
func TestSuccessorWaitsForASilentMinionAsTheHostsShow(t *testing.T) {
	const otherPool = "other"
	for name, test := range map[string]struct {
		host quetzalwork.Host
		wait time.Duration
	}{
		"minion that is cut off":             {quetzalwork.Host{ID: "h0", Pool: testPool, Minion: "m0"}, extendTime + longestLease},
		"state that is not known":            {quetzalwork.Host{ID: "h0", Pool: testPool, Minion: "m0", State: quetzalwork.HostStateUnknown}, extendTime + longestLease},
		"host that names no minion":          {quetzalwork.Host{ID: "h0", Pool: testPool}, extendTime + longestLease},
		"host that is not listed":            {quetzalwork.Host{ID: "h9", Pool: testPool}, extendTime + longestLease},
		"host that is down":                  {quetzalwork.Host{ID: "h0", Pool: testPool, Minion: "m0", State: quetzalwork.HostDown}, extendTime},
		"host that moves":                    {quetzalwork.Host{ID: "h0", Pool: otherPool, Minion: "m0", State: quetzalwork.HostMoving}, extendTime},
		"host in maintenance":                {quetzalwork.Host{ID: "h0", Pool: testPool, State: quetzalwork.HostInMaintenance}, extendTime},
		"host that has moved":                {quetzalwork.Host{ID: "h0", Pool: otherPool, Minion: "m9"}, 0},
		"host that is down with a later one": {quetzalwork.Host{ID: "h0", Pool: otherPool, Minion: "m9", State: quetzalwork.HostDown}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
			s.hosts = []quetzalwork.Host{test.host, {ID: "h1", Pool: testPool, Minion: "m1"}}
			s.runUntilTakeover()
			s.other.Heartbeat++
			s.requireStartAfter(s.takenOverAt.Add(test.wait))
		})
	}
}

// The list of hosts is behind: it still shows the minion that ran on the host before the silent one. That is no proof that the
// silent one has ended.
func TestHostThatShowsTheFormerMinionEndsNoWait(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	former := s.minions[0]
	former.ID, former.Address = "m9", "m9"
	s.minions[0].Incarnation = 2
	s.minions = append([]quetzalwork.MinionRecord{former}, s.minions...)
	s.hosts = []quetzalwork.Host{{ID: "h0", Pool: testPool, Minion: "m9"}, {ID: "h1", Pool: testPool, Minion: "m1"}}
	s.start("e0", 1)
	s.runUntilTakeover()
	s.other.Heartbeat++
	s.requireStartAfter(s.takenOverAt.Add(extendTime + longestLease))
}

// A read of the hosts that was sent before the takeover shows nothing: the predecessor may have used the minion since.
func TestReadOfTheHostsBeforeATakeoverEndsNoWait(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	for s.now < quetzalunit.InstantOf(time.Unix(1020, 0)) { // long enough to know all minions that left the list
		s.run(500 * time.Millisecond)
		s.other.Heartbeat++
	}
	s.runUntilTakeover()
	s.other.Heartbeat++
	hosts := []quetzalwork.Host{{ID: "h0", Pool: "other", Minion: "m9"}, {ID: "h1", Pool: testPool, Minion: "m1"}}
	s.tick(quetzalwork.CensusRead{OK: true, SentAt: s.takenOverAt, Hosts: hosts})
	s.requireStartAfter(s.takenOverAt.Add(extendTime + longestLease))
}

// The dispatcher is cut off together with minions that it goes on using. Their hosts are up. The successor must not
// start their tasks while their leases last, and each must run again at last.
func TestTasksOfMinionsThatAreCutOffWaitForTheirLeasesAfterATakeover(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, threeZones, 6, 9, testConfig())
		f.run(4 * time.Second)
		job := f.submit(f.entries[0], longStep(9))
		f.run(3*time.Second + time.Duration(seed)*90*time.Millisecond)
		require.Equal(t, 9, f.checker.running(job))
		f.partitionedZones[f.holder().zone] = true
		f.run(14 * time.Second)
		require.Empty(t, f.checker.violations, "seed %d", seed)
		require.Equal(t, 9, f.checker.running(job), "seed %d", seed)
	}
}

// A minion is lost for good, and 3 s later the process of the dispatcher, which is back after 0.3 s. Guards against
// a wait for leases on a minion whose host is down.
func TestTasksOfALostMinionStartAgainAfterTheirDispatcherRestarts(t *testing.T) {
	const limit = 7 * time.Second
	var worst time.Duration
	for seed := range uint64(20) {
		f := newAccountFleet(seed, 6, 18, accountConfig(quetzalaccount.Spec{ID: "a", Weight: 100, Cap: quetzalunit.Resources{Cores: 24000}}))
		f.run(4 * time.Second)
		job := f.submitTo(f.entries[0], deskPrefix, "a", longStep(9))
		f.run(3*time.Second + time.Duration(seed)*37*time.Millisecond)
		lost := f.minionWithRuns(testPool)
		lost.kill()
		f.after(3*beat, func() { lost.publish(true) })
		f.run(3 * time.Second)
		holder := f.holder()
		holder.kill()
		f.run(300 * time.Millisecond)
		holder.start()
		backAt, waited := f.now, time.Duration(0)
		for f.now.Sub(backAt) < 2*limit {
			f.run(20 * time.Millisecond)
			if f.checker.running(job) < 9 {
				waited = f.now.Sub(backAt)
			}
		}
		require.Equal(t, 9, f.checker.running(job))
		require.Empty(t, f.checker.violations)
		worst = max(worst, waited)
	}
	require.LessOrEqual(t, worst, limit, "LOST: a task does not run although there is room, and all is calm since the dispatcher is back")
}
