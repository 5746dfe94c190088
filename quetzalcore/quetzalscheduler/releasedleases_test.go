package quetzalscheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// released returns the row of a duty whose last holder knew the list of minions up to a revision.
func released(listRevision quetzalunit.Revision, l quetzalwork.ReleasedLeases) quetzalwork.Duty {
	l.ListRevision, l.Listed = listRevision, longestLease
	return quetzalwork.Duty{Revision: oldDuty, Leases: &l}
}

// The row of a released duty tells how long leases may last on minions that the successor cannot ask. It
// must wait that long and no longer. The minion m0 does not answer, m1 does; the successor has read the
// list of minions at testToken for the first time.
func TestSuccessorWaitsAsLongAsTheReleaseTells(t *testing.T) {
	const left = 2 * time.Second
	none := quetzalwork.MinionsListed{}
	m0 := []quetzalwork.MinionLease{{Minion: "m0", Left: left}}
	for name, test := range map[string]struct {
		listRevision quetzalunit.Revision
		leases       quetzalwork.ReleasedLeases
		// unlisted means that m0 is not in the list, departed that it leaves the list before the takeover.
		unlisted, departed bool
		// changes is how far the revision of the list is then beyond testToken.
		changes  quetzalunit.Revision
		lookBack quetzalwork.MinionsListed
		wait     time.Duration
	}{
		"minion that is named":                       {testToken, quetzalwork.ReleasedLeases{Minions: m0}, false, false, 0, none, left},
		"minion that is not named":                   {testToken, quetzalwork.ReleasedLeases{}, false, false, 0, none, longestLease},
		"named minion that is not in the list":       {testToken, quetzalwork.ReleasedLeases{Minions: m0}, true, false, 0, none, left},
		"named minion that leaves the list":          {testToken, quetzalwork.ReleasedLeases{Minions: m0}, false, true, 0, none, left},
		"minion that leaves the list later":          {testToken, quetzalwork.ReleasedLeases{}, false, true, 1, none, longestLease},
		"minion that the predecessor saw leave":      {testToken, quetzalwork.ReleasedLeases{}, false, true, 0, none, 0},
		"minion that left the list unseen":           {testToken - 1, quetzalwork.ReleasedLeases{}, true, false, 0, quetzalwork.MinionsListed{Removed: []quetzalunit.MinionID{"m0"}}, longestLease},
		"history that does not go back so far":       {testToken - 1, quetzalwork.ReleasedLeases{}, true, false, 0, quetzalwork.MinionsListed{Result: quetzalwork.StoreCompacted}, longestLease},
		"no minion left the list unseen":             {testToken - 1, quetzalwork.ReleasedLeases{}, true, false, 0, none, 0},
		"departures that are read again":             {testToken - 1, quetzalwork.ReleasedLeases{}, true, false, 0, quetzalwork.MinionsListed{Result: quetzalwork.StoreUnanswered}, 0},
		"dispatcher that never read the list":        {0, quetzalwork.ReleasedLeases{}, true, false, 0, none, longestLease},
		"list that is older than the predecessor's":  {testToken + 1, quetzalwork.ReleasedLeases{}, true, false, 0, none, longestLease},
		"minions that the predecessor does not know": {testToken, quetzalwork.ReleasedLeases{Unknown: left}, true, false, 0, none, left},
		"nothing to wait for":                        {testToken, quetzalwork.ReleasedLeases{}, true, false, 0, none, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccessor(t, released(test.listRevision, test.leases), quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
			seen, all := s.now, s.minions
			s.lookBack = test.lookBack
			if test.unlisted {
				s.start("e0", 2)
				s.minions = all[1:]
				s.start("e0", 3)
			}
			s.run(300 * time.Millisecond)
			require.Zero(t, s.takenOverAt)
			if test.departed {
				s.minions, s.listChanges = all[1:], test.changes
				s.w.MinionList.NextReadAt = s.now
				s.tick()
			}
			s.runUntilTakeover()
			s.requireStartAfter(seen.Add(test.wait))
		})
	}
}

// The times of a release count from a time on the store's clock, if the process that reads it knows the
// clock, and otherwise from when it first sees the row.
func TestTimesOfAReleaseCountFromTheStoresClock(t *testing.T) {
	const passed = 1500 * time.Millisecond
	for name, test := range map[string]struct {
		at, now time.Duration
		wait    time.Duration
	}{
		"time that has passed since":        {10 * time.Second, 10*time.Second + passed, longestLease - passed},
		"clock that is behind":              {10 * time.Second, 9 * time.Second, longestLease},
		"release without a time":            {0, 10 * time.Second, longestLease},
		"store that does not tell the time": {10 * time.Second, 0, longestLease},
	} {
		t.Run(name, func(t *testing.T) {
			duty := released(testToken, quetzalwork.ReleasedLeases{At: quetzalunit.StoreTime(0).Add(test.at)})
			s := newSuccessor(t, quetzalwork.Duty{}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
			s.duty = duty
			if test.now > 0 {
				s.storeBegin = s.now.Add(-test.now)
			}
			s.start("e0", 2)
			seen := s.now
			s.runUntilTakeover()
			s.requireStartAfter(seen.Add(test.wait))
			require.Less(t, s.startedAt.Sub(seen), test.wait+time.Second)
		})
	}
}

// A dispatcher that releases the duty again passes on what is left of the time, whether it has asked the
// minions or not, instead of letting the wait begin anew.
func TestReleaseOfASuccessorDoesNotRestartTheWait(t *testing.T) {
	for name, test := range map[string]struct {
		hold    time.Duration
		minions int
	}{"without the jobs": {0, 2}, "without the jobs of a large pool": {0, 150}, "after some time": {1500 * time.Millisecond, 2}} {
		t.Run(name, func(t *testing.T) {
			hold := test.hold
			s := newSuccessor(t, released(testToken, quetzalwork.ReleasedLeases{}), quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
			seen := s.now
			for i := len(s.minions); i < test.minions; i++ {
				m := s.minions[1]
				m.ID, m.Host = quetzalunit.MinionID(fmt.Sprint("m", i)), quetzalunit.HostID(fmt.Sprint("h", i))
				s.minions = append(s.minions, m)
			}
			s.rowsFail = hold == 0
			s.runUntilTakeover()
			s.run(hold)
			require.Zero(t, s.startedAt)
			s.tick(quetzalwork.StopRequested{})
			s.run(300 * time.Millisecond)
			require.Empty(t, s.duty.Holder)
			s.rowsFail = false
			s.start("e2", 1)
			s.runUntilTakeover()
			s.requireStartAfter(seen.Add(longestLease))
			require.Less(t, s.startedAt.Sub(seen), longestLease+900*time.Millisecond)
		})
	}
}

// A release names the minions that do not answer and those that answer but have left the list, and the
// times that are left of their leases. A release that got no answer is repeated with the same times.
func TestReleaseNamesMinionsThatASuccessorMayNotReach(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, testToken))
	minions := slices.Clone(testMinions)
	for _, id := range []quetzalunit.MinionID{"silent", "unlisted"} {
		m := testMinions[0]
		m.ID, m.Address, m.Host = id, quetzalunit.Address(id), quetzalunit.HostID(id)
		minions = append(minions, m)
	}
	d.minions = minions
	silent := false
	d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := d.idle(c)
		if c.Target.Minion == "silent" && silent {
			in.Result = quetzalwork.OrderUnanswered{}
		}
		for _, s := range d.starts {
			if s.Target.Minion == c.Target.Minion {
				in.Running = append(in.Running, quetzalwork.ReportedRun{Task: s.Task, Number: s.Number})
			}
		}
		return in
	}
	d.run(8 * time.Second)
	for _, row := range d.w.Pools.At(d.w.PoolByID.Get(testPool)).Minions {
		d.w.Minions.At(row).NextPollAt = d.now
	}
	d.run(time.Second)
	silent, d.minions = true, minions[:2]
	for _, row := range d.w.Pools.At(d.w.PoolByID.Get(testPool)).Minions {
		d.w.Minions.At(row).NextPollAt = d.now
	}
	d.run(time.Second)
	// The lease of a minion that has restarted may last longer than those that this process grants.
	d.w.Minions.At(d.w.MinionByID.Get("m0")).LeaseEnd = d.clock().Add(10 * time.Second)
	d.tick(quetzalwork.StopRequested{})
	d.run(300 * time.Millisecond)
	i := slices.IndexFunc(d.releases, func(c quetzalwork.WriteDuty) bool { return c.Pool == testPool })
	require.GreaterOrEqual(t, i, 0)
	first := d.releases[i]
	named := make(map[quetzalunit.MinionID]time.Duration)
	for _, m := range first.Duty.Leases.Minions {
		named[m.Minion] = m.Left
	}
	require.Len(t, named, 3)
	require.Greater(t, named["m0"], longestLease)
	require.Positive(t, named["silent"])
	require.LessOrEqual(t, named["silent"], longestLease-800*time.Millisecond)
	require.Positive(t, named["unlisted"])
	d.tick(quetzalwork.DutyWritten{Result: quetzalwork.StoreUnanswered, Pool: testPool, Release: true, Expected: first.Expected})
	d.run(500 * time.Millisecond)
	last := d.releases[len(d.releases)-1]
	require.Equal(t, testPool, string(last.Pool))
	require.Equal(t, first.Duty.Leases, last.Duty.Leases)
}

// Guards against a second run beside one of a holder that may still be running: a minion joins the list
// after e0, which took the duty over from it, has released it again. The holder may have used that minion,
// which does not answer e2.
func TestReleaseTellsOfAPredecessorThatMayBeRunning(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	for s.now < quetzalunit.InstantOf(time.Unix(1020, 0)) { // long enough to know all minions that left the list
		s.run(500 * time.Millisecond)
		s.other.Heartbeat++
	}
	require.Zero(t, s.takenOverAt)
	silent := s.answerPoll
	s.answerPoll = s.idle
	s.rowsFail = true
	s.runUntilTakeover()
	first := s.takenOverAt
	s.run(200 * time.Millisecond)
	s.tick(quetzalwork.StopRequested{})
	s.run(300 * time.Millisecond)
	require.Empty(t, s.duty.Holder)
	s.rowsFail, s.answerPoll = false, func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		if c.Target.Minion == "joined" {
			c.Target.Minion = "m0"
		} else {
			c.Target.Minion = "m1"
		}
		return silent(c)
	}
	joined := s.minions[0]
	joined.ID, joined.Host = "joined", "h9"
	s.minions = append(s.minions, joined)
	s.start("e2", 1)
	s.runUntilTakeover()
	s.requireStartAfter(first.Add(extendTime + longestLease))
}
