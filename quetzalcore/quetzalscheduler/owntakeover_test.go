package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalwork"
)

// Guards against a wait for a holder that may be running although the duty was released: the store carries
// out the takeover, and a read of the duties shows it before its answer arrives.
func TestTakeoverThatAReadShowsFirstIsThatOfAReleasedDuty(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	s.answerDelay = 3 * time.Second
	for s.takenOverAt == 0 {
		s.run(20 * time.Millisecond)
	}
	s.run(1200 * time.Millisecond)
	require.NotZero(t, s.answerAt, "the answer must not have arrived")
	require.True(t, s.w.Pools.At(s.w.PoolByID.Get(testPool)).Held)
	s.requireStartAfter(s.takenOverAt.Add(longestLease))
}

// The other side: the holder before that takeover had not released the duty.
func TestTakeoverThatAReadShowsFirstIsThatOfAHolder(t *testing.T) {
	s := newSuccessor(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	s.answerDelay = 3 * time.Second
	for s.takenOverAt == 0 {
		s.run(20 * time.Millisecond)
		s.other.Heartbeat = 1
	}
	s.other.Heartbeat = 2
	s.requireStartAfter(s.takenOverAt.Add(extendTime + longestLease))
}
