package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Guards against a successor that has read the list while the record of a minion had lapsed: the record has returned before the
// read of the changes since the release, which therefore shows no removal.
func TestSuccessorWaitsForAMinionThatReturnsBeforeTheChangesSinceTheReleaseAreRead(t *testing.T) {
	s := newSuccessor(t, released(testToken-1, quetzalwork.ReleasedLeases{}), quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	all := s.minions
	s.lookBack = quetzalwork.MinionsListed{Minions: all}
	s.start("e0", 2)
	s.minions = all[1:]
	s.start("e0", 3)
	s.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := s.idle(c)
		if c.Target.Minion == "m0" {
			in.Ends = []quetzalwork.ReportedEnd{{Number: 1, Task: quetzalwork.TaskID{Job: testJob}, Run: 7, Outcome: quetzalwork.OutcomeDone}}
		}
		return in
	}
	s.run(300 * time.Millisecond)
	require.Zero(t, s.takenOverAt)
	s.runUntilTakeover()
	s.run(300 * time.Millisecond)
	s.minions = all
	s.run(2 * time.Second)
	require.NotZero(t, s.w.MinionByID.Get(quetzalunit.MinionID("m0")))
	require.Empty(t, s.starts, "the task is done")
}

// A read of the changes since the release that is older than the list shows nothing of what has left it in between. Guards against
// a start beside the work on a minion that has: the release tells how long that may last.
func TestChangesSinceTheReleaseCountOnlyUpToTheList(t *testing.T) {
	s := newSuccessor(t, released(testToken-20, quetzalwork.ReleasedLeases{}), quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	s.minions = s.minions[1:]
	s.lookBack = quetzalwork.MinionsListed{SeenRevision: testToken - 20}
	s.start("e0", 2)
	s.runUntilTakeover()
	s.run(2 * time.Second)
	require.Empty(t, s.starts)
	require.NotZero(t, s.w.Pools.At(s.w.PoolByID.Get(testPool)).PredecessorWait)
}
