package quetzalscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	takeoverLine       = "This entry dispatches the pool."
	passedOverLine     = "A minion is passed over whose runs and ends are not known."
	furtherPassedLine  = "Further minions are passed over whose runs and ends are not known."
	maxPassedOverLines = 24
)

// heldByE1 is the duty of a holder that may be alive, whose row is mayBeAlive.
var (
	heldByE1   = quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}
	mayBeAlive = quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"}
)

// requirePassedOver requires one line on a minion that is passed over, and returns it.
func (s *successor) requirePassedOver(minion quetzalunit.MinionID, kind quetzalwork.ProofKind) quetzalwork.Decision {
	s.t.Helper()
	s.run(9 * time.Second)
	known := s.loggedWith(workKnownLine)
	require.Len(s.t, known, 1)
	lines := s.loggedWith(passedOverLine)
	require.Len(s.t, lines, 1)
	l := lines[0]
	require.Equal(s.t, minion, l.Minion)
	require.EqualValues(s.t, testPool, l.Pool)
	require.Equal(s.t, int64(s.w.Pools.At(s.w.PoolByID.Get(testPool)).Token), l.Version)
	require.False(s.t, l.Routine)
	require.NotNil(s.t, l.Proof)
	require.Equal(s.t, kind, l.Proof.Kind)
	require.NotNil(s.t, known[0].Proof, "what rules out minions that are not known")
	return l
}

// The minion m0 does not answer the successor of a dispatcher that may be alive.
func TestSilentMinionThatIsPassedOverIsLoggedWithItsProof(t *testing.T) {
	for name, test := range map[string]struct {
		host quetzalwork.Host
		// alive means that the holder goes on renewing its row.
		alive  bool
		proof  quetzalwork.ProofKind
		by     quetzalunit.MinionID
		oldest time.Duration
	}{
		"cut off, holder alive":  {quetzalwork.Host{ID: "h0", Pool: testPool, Minion: "m0"}, true, quetzalwork.ProofTakeover, "", extendTime + longestLease + 300*time.Millisecond},
		"cut off, holder gone":   {quetzalwork.Host{ID: "h0", Pool: testPool, Minion: "m0"}, false, quetzalwork.ProofLastRenewal, "", 15 * time.Second},
		"host that has moved":    {quetzalwork.Host{ID: "h0", Pool: "other", Minion: "m9"}, true, quetzalwork.ProofHostMinion, "m9", time.Second},
		"host that is down":      {quetzalwork.Host{ID: "h0", Pool: testPool, Minion: "m0", State: quetzalwork.HostDown}, true, quetzalwork.ProofHostIdle, "", time.Second},
		"host that has no state": {quetzalwork.Host{ID: "h0", Pool: testPool}, true, quetzalwork.ProofTakeover, "", extendTime + longestLease + 300*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccessor(t, heldByE1, mayBeAlive)
			s.hosts = []quetzalwork.Host{test.host, {ID: "h1", Pool: testPool, Minion: "m1"}}
			s.runUntilTakeover()
			if test.alive {
				s.other.Heartbeat++
			}
			l := s.requirePassedOver("m0", test.proof)
			require.Equal(t, test.by, l.Proof.Minion)
			require.Less(t, l.Proof.Age, test.oldest)
			require.GreaterOrEqual(t, l.Age, time.Duration(0))
			require.Regexp(t, `^ListedMissed[1-9]\d*$`, l.Reason)
			require.EqualValues(t, "h0", l.Host)
			require.Equal(t, quetzalwork.ProofCensus, s.loggedWith(workKnownLine)[0].Proof.Kind)
		})
	}
}

// The minion m0 does not answer the successor of a dispatcher that has released the duty, as in
// TestSuccessorWaitsAsLongAsTheReleaseTells.
func TestSilentMinionThatIsPassedOverByAReleaseIsLoggedWithWhatItTells(t *testing.T) {
	m0 := []quetzalwork.MinionLease{{Minion: "m0", Left: 2 * time.Second}}
	for name, test := range map[string]struct {
		leases   quetzalwork.ReleasedLeases
		departed bool
		proof    quetzalwork.ProofKind
		reason   string
	}{
		"named":                {quetzalwork.ReleasedLeases{Minions: m0}, false, quetzalwork.ProofReleaseNamed, "Listed"},
		"not named":            {quetzalwork.ReleasedLeases{}, false, quetzalwork.ProofReleaseListed, "Listed"},
		"left the list before": {quetzalwork.ReleasedLeases{}, true, quetzalwork.ProofReleaseRemoved, "Unlisted"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccessor(t, released(testToken, test.leases), mayBeAlive)
			s.run(300 * time.Millisecond)
			if test.departed {
				s.minions = s.minions[1:]
				s.w.MinionList.NextReadAt = s.now
				s.tick()
			}
			s.runUntilTakeover()
			l := s.requirePassedOver("m0", test.proof)
			require.Contains(t, l.Reason, test.reason)
			require.Positive(t, l.Proof.Age)
			require.Equal(t, quetzalwork.ProofList, s.loggedWith(workKnownLine)[0].Proof.Kind)
		})
	}
}

// The list has a later minion of the host of m0, which nothing waits for then.
func TestReplacedMinionThatIsPassedOverIsLoggedWithTheLaterOne(t *testing.T) {
	s := newSuccessor(t, heldByE1, mayBeAlive)
	later := s.minions[0]
	later.ID, later.Address, later.Incarnation = "m9", "m9", 7
	s.minions = append(s.minions, later)
	answer := s.answerPoll
	s.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := answer(c)
		in.Incarnation = c.Target.Incarnation
		return in
	}
	s.w.MinionList.NextReadAt = s.now
	s.run(300 * time.Millisecond)
	s.runUntilTakeover()
	l := s.requirePassedOver("m0", quetzalwork.ProofLaterMinion)
	require.Equal(t, later.ID, l.Proof.Minion)
	require.Equal(t, later.Incarnation, l.Proof.Incarnation)
}

// A takeover in which all minions answer logs no such line.
func TestMinionsThatAnswerAreNotLoggedAsPassedOver(t *testing.T) {
	s := newSuccessor(t, heldByE1, mayBeAlive)
	s.answerPoll = s.idle
	s.runUntilTakeover()
	s.run(9 * time.Second)
	require.Len(t, s.loggedWith(workKnownLine), 1)
	require.Empty(t, s.loggedWith(passedOverLine))
}

// Nobody has used the minions of a new pool. The line of the end of the wait says so, once for all of them.
func TestMinionsOfANewPoolAreNotLoggedAsPassedOver(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	s.runUntilTakeover()
	s.run(9 * time.Second)
	known := s.loggedWith(workKnownLine)
	require.Len(t, known, 1)
	require.Equal(t, quetzalwork.ProofNoDispatcher, known[0].Proof.Kind)
	require.Empty(t, s.loggedWith(passedOverLine))
}

// A rack is cut off at a takeover. The lines on its minions are bounded.
func TestLinesOnPassedOverMinionsAreBounded(t *testing.T) {
	const silent = 30
	s := newSuccessor(t, heldByE1, mayBeAlive)
	for i := range silent - 1 {
		m := s.minions[0]
		m.ID, m.Host = quetzalunit.MinionID(fmt.Sprint("m", 10+i)), quetzalunit.HostID(fmt.Sprint("h", 10+i))
		s.minions = append(s.minions, m)
	}
	idle := s.idle
	s.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := idle(c)
		if c.Target.Minion != "m1" {
			in.Result = quetzalwork.OrderUnanswered{}
		}
		return in
	}
	s.runUntilTakeover()
	s.run(9 * time.Second)
	require.Len(t, s.loggedWith(passedOverLine), maxPassedOverLines)
	further := s.loggedWith(furtherPassedLine)
	require.Len(t, further, 1)
	require.EqualValues(t, silent-maxPassedOverLines, further[0].Version)
}

// The line of a takeover names the predecessor, what became of it, and what shows that.
func TestTakeoverIsLoggedWithItsPredecessor(t *testing.T) {
	unheld := released(testToken-1, quetzalwork.ReleasedLeases{})
	later := quetzalwork.Member{Entry: "e1", Incarnation: 2, Address: "e1"}
	heldBy := fmt.Sprintf("Revision%dIncarnation1Entrye1", heldByE1.Revision)
	for name, test := range map[string]struct {
		duty   quetzalwork.Duty
		member quetzalwork.Member
		reason string
		proof  quetzalwork.ProofKind
	}{
		"first":             {quetzalwork.Duty{}, mayBeAlive, "None", quetzalwork.ProofNoDispatcher},
		"released":          {unheld, mayBeAlive, fmt.Sprintf("ReleasedRevision%d", unheld.Revision), quetzalwork.ProofRelease},
		"silent":            {heldByE1, mayBeAlive, "Silent" + heldBy, quetzalwork.ProofLastRenewal},
		"killed, restarted": {heldByE1, later, "Replaced" + heldBy, quetzalwork.ProofLaterProcess},
		"killed, row gone":  {heldByE1, quetzalwork.Member{Entry: "e5", Incarnation: 1, Address: "e5"}, "Silent" + heldBy, quetzalwork.ProofTakeover},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccessor(t, test.duty, test.member)
			s.runUntilTakeover()
			lines := s.loggedWith(takeoverLine)
			require.Len(t, lines, 1)
			require.Equal(t, test.reason, lines[0].Reason)
			require.Equal(t, test.proof, lines[0].Proof.Kind)
			require.Equal(t, int64(s.w.Pools.At(s.w.PoolByID.Get(testPool)).Token), lines[0].Version)
		})
	}
}
