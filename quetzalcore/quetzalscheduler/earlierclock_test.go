package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// A minion has left the list when the next one on its host joins, whose time of day was set back before it started. The
// standby remembers the first one for a takeover. The predecessor, which has forgotten it, may use the second one.
func TestMinionWithAnEarlierStartThanOneThatLeftTheListIsWaitedFor(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	first, idle := s.minions[0], s.minions[1]
	first.Incarnation = 9000
	second := first
	second.ID, second.Incarnation = "m2", 8000
	s.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		if c.Target.Minion != idle.ID {
			return quetzalwork.MinionPolled{Minion: c.Minion, Token: c.Target.Token, SentAt: c.SentAt, Result: quetzalwork.OrderUnanswered{}}
		}
		return s.idle(c)
	}
	for _, minions := range [][]quetzalwork.MinionRecord{{first, idle}, {idle}, {second, idle}} {
		s.minions = minions
		for range 6 {
			s.run(500 * time.Millisecond)
			s.other.Heartbeat++
		}
	}
	require.Zero(t, s.takenOverAt)
	s.hosts = []quetzalwork.Host{{ID: "h0", Pool: testPool, Minion: "m2"}, {ID: "h1", Pool: testPool, Minion: "m1"}}
	s.runUntilTakeover()
	s.other.Heartbeat++
	s.requireStartAfter(s.takenOverAt.Add(extendTime + longestLease))
	require.Equal(t, []quetzalunit.MinionID{"m1"}, minionsOf(s.starts)[:1])
}
