package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalscheduler"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// successor runs the World of entry e0, which can take over testPool from e1. The minion m0 never
// answers e0; m1 does and runs nothing. testJob was accepted under an earlier duty, so its task may
// run on m0 and must not start on m1 before the leases that e1 can have granted to m0 have expired.
type successor struct {
	*dispatcher
	// other is the stored row of e1, duty that of the pool's duty.
	other quetzalwork.Member
	duty  quetzalwork.Duty
	// takenOverAt is when the store carried out the last takeover by e0. Its answer arrives
	// answerDelay later, at answerAt.
	takenOverAt, answerAt quetzalunit.Instant
	answerDelay           time.Duration
	answer                quetzalwork.DutyWritten
	// startedAt is when the task was started, zero if it was not.
	startedAt quetzalunit.Instant
	// settled is the revision of the duty's row that is stored as settled.
	settled quetzalunit.Revision
	// storeBegin is when the store's clock began, zero if the store does not tell its time.
	storeBegin quetzalunit.Instant
	// renewalsFail makes the renewals of this entry's row fail.
	renewalsFail bool
}

const (
	// extendTime is how long after a takeover the predecessor may extend leases, if it learns nothing
	// of the takeover.
	extendTime = 3 * time.Second
	// longestLease is the duration of a lease on a minion whose clock is 2 % slow.
	longestLease = 4500 * time.Millisecond * 100 / 98
	// startsWithin is the time after the end of the last lease within which the task must start.
	startsWithin = 1500 * time.Millisecond
)

// storeNow returns what the store's clock shows.
func (s *successor) storeNow() quetzalunit.StoreTime {
	if s.storeBegin == 0 {
		return 0
	}
	return quetzalunit.StoreTime(0).Add(s.now.Sub(s.storeBegin))
}

func newSuccessor(t *testing.T, duty quetzalwork.Duty, other quetzalwork.Member) *successor {
	t.Helper()
	s := &successor{duty: duty, other: other}
	s.dispatcher = &dispatcher{t: t, now: quetzalunit.InstantOf(time.Unix(1000, 0)), rows: []quetzalwork.JobRow{accepted(testJob, oldDuty-10)}}
	silent, idle := testMinions[0], testMinions[0]
	idle.ID, idle.Address, idle.Host = "m1", "m1", "h1"
	s.minions = []quetzalwork.MinionRecord{silent, idle}
	s.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		if c.Target.Minion == silent.ID {
			return quetzalwork.MinionPolled{Minion: c.Minion, Token: c.Target.Token, SentAt: c.SentAt, Result: quetzalwork.OrderUnanswered{}}
		}
		return s.idle(c)
	}
	s.start("e0", 1)
	return s
}

// start starts the process of an entry, which replaces the one that ran before.
func (s *successor) start(id quetzalunit.EntryID, incarnation quetzalunit.Incarnation) {
	s.w = &quetzalwork.World{}
	s.w.Self = quetzalwork.Identity{Entry: id, Incarnation: incarnation, PeerAddress: quetzalunit.Address(id)}
	s.w.Bounds = quetzalwork.Bounds{StopTimeout: 400 * time.Millisecond}
	s.takenOverAt = 0
	quetzalscheduler.Start(s.w, s.now)
	cfg := testConfig()
	s.tick(quetzalwork.ConfigWatched{Config: &cfg, SeenRevision: 1})
}

// tick is dispatcher.tick with the rows of the successor.
func (s *successor) tick(inputs ...quetzalwork.Input) {
	for {
		var next []quetzalwork.Input
		for _, cmd := range quetzalscheduler.Tick(s.w, s.now, inputs) {
			if in := s.perform(cmd); in != nil {
				next = append(next, in)
			}
		}
		if len(next) == 0 {
			return
		}
		inputs = next
	}
}

func (s *successor) perform(cmd quetzalwork.Command) quetzalwork.Input {
	hosts := quetzalwork.Duty{Holder: "e3", Incarnation: 1, Address: "e3", Revision: 5}
	switch cmd := cmd.(type) {
	case quetzalwork.RenewMember:
		if s.renewalsFail {
			return quetzalwork.MemberRenewed{Result: quetzalwork.StoreUnanswered, SentAt: cmd.SentAt}
		}
		return s.dispatcher.perform(cmd)
	case quetzalwork.ReadMembers:
		if s.readsFail {
			return quetzalwork.MembersRead{Result: quetzalwork.StoreUnanswered}
		}
		return quetzalwork.MembersRead{
			Full: true, SeenRevision: testToken, SentAt: cmd.SentAt, StoreNow: s.storeNow(),
			Members: []quetzalwork.Member{
				{Entry: s.w.Self.Entry, Incarnation: s.w.Self.Incarnation, Heartbeat: quetzalunit.Heartbeat(s.now)}, s.other, {Entry: "e3", Incarnation: 1, Address: "e3", Heartbeat: quetzalunit.Heartbeat(s.now)},
			},
			Duties:  map[quetzalunit.PoolID]quetzalwork.Duty{testPool: s.duty, "(hosts)": hosts},
			Settled: map[quetzalunit.PoolID]quetzalunit.Revision{testPool: s.settled},
		}
	case quetzalwork.SettleDuty:
		s.settled = cmd.Revision
		return nil
	case quetzalwork.WriteDuty:
		if cmd.Pool != testPool || cmd.Expected != s.duty.Revision {
			return s.dispatcher.perform(cmd)
		}
		s.duty = cmd.Duty
		s.duty.Revision = max(testToken, cmd.Expected+1)
		answer := quetzalwork.DutyWritten{Pool: cmd.Pool, Release: cmd.Release, SentAt: cmd.SentAt, Revision: s.duty.Revision}
		if cmd.Release {
			return answer
		}
		s.takenOverAt = s.now
		if s.answerDelay == 0 {
			return answer
		}
		s.answer, s.answerAt = answer, s.now.Add(s.answerDelay)
		return nil
	case quetzalwork.StartRun:
		if s.startedAt == 0 {
			s.startedAt = s.now
		}
		return s.dispatcher.perform(cmd)
	default:
		return s.dispatcher.perform(cmd)
	}
}

// run advances the clock in steps of 20 ms with a tick at each.
func (s *successor) run(duration time.Duration) {
	end := s.now.Add(duration)
	for s.now < end {
		s.now = s.now.Add(20 * time.Millisecond)
		if s.answerAt != 0 && s.now >= s.answerAt {
			s.answerAt = 0
			s.tick(s.answer)
			continue
		}
		s.tick()
	}
}

// runUntilTakeover runs until the store has carried out a takeover and e0 knows it.
func (s *successor) runUntilTakeover() {
	s.t.Helper()
	for range 500 {
		if s.run(20 * time.Millisecond); s.takenOverAt != 0 && s.answerAt == 0 {
			return
		}
	}
	s.t.Fatal("no takeover")
}

// requireStartAfter requires that the task starts after an instant and soon after it.
func (s *successor) requireStartAfter(end quetzalunit.Instant) {
	s.t.Helper()
	s.run(end.Add(startsWithin).Sub(s.now))
	require.NotZero(s.t, s.startedAt)
	require.Greater(s.t, s.startedAt.Sub(s.takenOverAt), end.Sub(s.takenOverAt), "the predecessor may have extended a lease up to this time")
}

// e1 has renewed nothing for a while when e0 takes over. Its next renewal is carried out after e0 has
// read the rows, and the reads of e0 fail from then on. With that renewal e1 may extend leases until
// 3 s after its last read of the duties, which can be as late as the takeover.
func TestSuccessorWaitsForLeasesAfterARenewalThatItCannotSee(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	s.answerDelay = 900 * time.Millisecond
	s.runUntilTakeover()
	s.run(1100 * time.Millisecond)
	s.other.Heartbeat++
	s.readsFail = true
	s.run(3500 * time.Millisecond)
	s.readsFail = false
	s.requireStartAfter(s.takenOverAt.Add(extendTime + longestLease))
}

// The member row of e1 is not renewed before or after the takeover. From the last renewal on, e1 may
// have extended leases for 3 s, so the task need not wait as long as after a takeover from a process
// that may be alive.
func TestSuccessorOfADeadDispatcherWaitsFromItsLastRenewal(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	started := s.now
	s.runUntilTakeover()
	s.requireStartAfter(started.Add(extendTime + longestLease))
}

// A renewal of an earlier process of e1 is carried out late, over the row of the process that holds the
// duty. The holder may be alive and extend leases, so e0 must wait as after any other takeover.
func TestRowOfAnEarlierProcessDoesNotEndTheLeasesOfTheHolder(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 2, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 2, Address: "e1"})
	for range 100 {
		s.run(20 * time.Millisecond)
		s.other.Heartbeat++
	}
	require.Zero(t, s.takenOverAt)
	s.other = quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1", Heartbeat: 7}
	s.runUntilTakeover()
	s.requireStartAfter(s.takenOverAt.Add(extendTime + longestLease))
}

// A later process of e1 shows that the holder has ended, which extends no more leases.
func TestRowOfALaterProcessEndsTheLeasesOfTheHolder(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 2, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 2, Address: "e1"})
	for range 100 {
		s.run(20 * time.Millisecond)
		s.other.Heartbeat++
	}
	s.other = quetzalwork.Member{Entry: "e1", Incarnation: 3, Address: "e1"}
	s.runUntilTakeover()
	s.requireStartAfter(s.takenOverAt.Add(longestLease))
}

// e1 may be alive when e0 takes over, and e0 releases the duty a moment later. The next holder must wait
// for the leases that e1 can still grant, which the release does not end.
func TestSuccessorOfAReleaseWaitsForEarlierHolders(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	s.runUntilTakeover()
	first := s.takenOverAt
	s.run(200 * time.Millisecond)
	s.tick(quetzalwork.StopRequested{})
	s.run(300 * time.Millisecond)
	require.Empty(t, s.duty.Holder)
	s.start("e2", 1)
	s.runUntilTakeover()
	s.requireStartAfter(first.Add(extendTime + longestLease))
}

// e1 may be alive when e0 takes over, and the process of e0 restarts a moment later. The second process
// must wait for the leases that e1 can still grant, although the first one has ended.
func TestRestartedSuccessorWaitsForEarlierHolders(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	s.runUntilTakeover()
	first := s.takenOverAt
	s.run(200 * time.Millisecond)
	s.start("e0", 2)
	s.runUntilTakeover()
	s.requireStartAfter(first.Add(extendTime + longestLease))
}

// Whatever shows that the predecessor extends no more leases proves nothing of the dispatchers before it.
func TestEarlierLeasesOutlastThoseOfThePredecessor(t *testing.T) {
	const earlier = 12 * time.Second
	for name, end := range map[string]func(s *successor){
		"no renewal":    func(*successor) {},
		"later process": func(s *successor) { s.other.Incarnation++ },
		"notice": func(s *successor) {
			s.tick(quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.NotifyDutyDropped{Pool: testPool, Token: quetzalunit.FencingToken(oldDuty)}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", EarlierLeases: earlier, Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
			seen := s.now
			s.runUntilTakeover()
			end(s)
			s.requireStartAfter(seen.Add(earlier))
		})
	}
}

// A dispatcher releases its duty and takes it over again while leases of its predecessor may last.
func TestNextTermOfTheSameProcessWaitsForEarlierHolders(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	s.runUntilTakeover()
	first := s.takenOverAt
	s.takenOverAt = 0
	s.w.Pools.At(s.w.PoolByID.Get(testPool)).RunNumbersExhausted = true
	s.runUntilTakeover()
	require.Less(t, s.takenOverAt.Sub(first), extendTime-startsWithin/10, "the wait for the last holder alone must end too early")
	s.requireStartAfter(first.Add(extendTime + longestLease))
}

// The pool was taken over from a process that might be alive, and its leases have ended since. A process
// that starts then must not wait for them again.
func TestRestartLongAfterATakeoverWaitsForTheLastHolderOnly(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	s.runUntilTakeover()
	s.run(extendTime)
	require.Zero(t, s.settled, "leases may last")
	s.run(longestLease + time.Second)
	require.Equal(t, testToken, s.settled)
	s.start("e0", 2)
	s.startedAt = 0
	s.runUntilTakeover()
	s.requireStartAfter(s.takenOverAt.Add(longestLease))
}

// The minion m0 answers once after the takeover, reports a run of the predecessor and falls silent. This
// process may not extend its lease, since its own renewals fail. The run lasts until the lease of the
// predecessor ends, which the answer does not tell.
func TestRunOfAPredecessorLastsAsLongAsItsLease(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	for s.now < quetzalunit.InstantOf(time.Unix(1020, 0)) { // long enough to know all minions that left the list
		s.run(500 * time.Millisecond)
		s.other.Heartbeat++
	}
	require.Zero(t, s.takenOverAt)
	s.renewalsFail = true
	var answeredAt quetzalunit.Instant
	silent := s.answerPoll
	s.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		if c.Target.Minion != "m0" || answeredAt != 0 {
			return silent(c)
		}
		answeredAt = s.now
		in := s.idle(c)
		in.Running = []quetzalwork.ReportedRun{{Task: quetzalwork.TaskID{Job: testJob}, Number: quetzalunit.RunNumber(oldDuty)<<10 | 1}}
		return in
	}
	s.run(4 * time.Second)
	require.NotZero(t, s.takenOverAt)
	require.NotZero(t, answeredAt)
	s.renewalsFail = false
	s.requireStartAfter(answeredAt.Add(longestLease))
}
