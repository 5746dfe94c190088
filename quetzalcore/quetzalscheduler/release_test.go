package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// releasesOf returns the revisions of testPool's duty that the dispatcher has released.
func releasesOf(d *dispatcher) []quetzalunit.Revision {
	var revisions []quetzalunit.Revision
	for _, c := range d.releases {
		if c.Release && c.Pool == testPool {
			revisions = append(revisions, c.Expected)
		}
	}
	return revisions
}

// read applies a read of the duty's row.
func (d *dispatcher) read(duty quetzalwork.Duty) {
	d.duty = duty
	d.tick(quetzalwork.MembersRead{SeenRevision: duty.Revision, SentAt: d.now, Duties: map[quetzalunit.PoolID]quetzalwork.Duty{testPool: duty}})
}

// The answer to a release is lost, and another entry has taken the duty over by the time at which the
// release is repeated. The repeated release must not take the duty from the successor, which would go on
// dispatching beside the next holder.
func TestRepeatedReleaseSparesASuccessor(t *testing.T) {
	d := newDispatcher(t)
	d.answerPoll = d.idle
	d.run(2 * time.Second)
	d.tick(quetzalwork.StopRequested{})
	d.run(40 * time.Millisecond)
	require.Equal(t, []quetzalunit.Revision{testToken}, releasesOf(d))
	d.tick(quetzalwork.DutyWritten{Pool: testPool, Release: true, Expected: testToken, Result: quetzalwork.StoreUnanswered})
	d.read(quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: testToken + 2})
	d.run(time.Second)
	require.Equal(t, []quetzalunit.Revision{testToken}, releasesOf(d))
	require.Zero(t, d.w.PendingReleases)
}

// The answer to a release is lost, and the same process has taken the duty over again before the loss is
// known. The duty of the new term must not be released while the process dispatches the pool.
func TestLostReleaseDoesNotEndTheNextTerm(t *testing.T) {
	d := newDispatcher(t)
	d.answerPoll = d.idle
	d.run(2 * time.Second)
	d.w.Pools.At(d.w.PoolByID.Get(testPool)).RunNumbersExhausted = true
	d.run(2 * time.Second)
	require.Equal(t, []quetzalunit.Revision{testToken}, releasesOf(d))
	d.read(quetzalwork.Duty{Holder: "e0", Incarnation: 1, Address: "e0", Revision: testToken + 2})
	d.tick(quetzalwork.DutyWritten{Pool: testPool, Release: true, Expected: testToken, Result: quetzalwork.StoreUnanswered})
	d.run(time.Second)
	require.Equal(t, []quetzalunit.Revision{testToken}, releasesOf(d))
	require.True(t, d.w.Pools.At(d.w.PoolByID.Get(testPool)).Held)
}

// The answer to a release is lost, and the row still names this process. The release must be repeated.
func TestLostReleaseIsRepeated(t *testing.T) {
	d := newDispatcher(t)
	d.answerPoll = d.idle
	d.run(2 * time.Second)
	d.tick(quetzalwork.StopRequested{})
	d.run(40 * time.Millisecond)
	d.tick(quetzalwork.DutyWritten{Pool: testPool, Release: true, Expected: testToken, Result: quetzalwork.StoreUnanswered})
	d.run(time.Second)
	require.Equal(t, []quetzalunit.Revision{testToken, testToken}, releasesOf(d))
}
