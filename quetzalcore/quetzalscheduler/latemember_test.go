package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// The store carries out a renewal of an earlier process of the host controller's entry seconds late,
// one of a planned stop. The holder still renews its row and its lease, so no other entry may take over.
func TestLateRenewalOfAnEarlierProcessEndsNoHostControl(t *testing.T) {
	for seed := range uint64(20) {
		p, old := newOrderingPair(t, seed)
		p.run(time.Duration(seed) * 45 * time.Millisecond)
		p.members[old.id] = versionedMember{quetzalwork.Member{Entry: old.id, Incarnation: 0, Address: "x", Heartbeat: 99, Stopping: true}, p.revision}
		p.run(5 * time.Second)
		require.Empty(t, p.fenceViolations(), "seed %d", seed)
		require.Equal(t, old.id, p.holder().id, "seed %d", seed)
	}
}

// The same late renewal, and the successor is stopped as planned at once. Two entries must not order
// hosts at the same time.
func TestLateRenewalOfAnEarlierProcessAndAStopPermitNoOrdersOfTwo(t *testing.T) {
	for seed := range uint64(40) {
		p := newControllerPair(seed)
		p.entries = append(p.entries, p.addEntry("e2", 1))
		p.run(4 * time.Second)
		old := p.holder()
		require.NotNil(t, old)
		p.run(time.Duration(seed) * 45 * time.Millisecond)
		p.members[old.id] = versionedMember{quetzalwork.Member{Entry: old.id, Incarnation: 0, Address: "x", Heartbeat: 99, Stopping: true}, p.revision}
		for end := p.now.Add(time.Second); p.now < end && p.holder() == old; {
			p.run(20 * time.Millisecond)
		}
		successor := p.holder()
		if successor == old {
			continue
		}
		// The holder's next renewals wait in the store, so that it learns of the takeover late.
		old.write, old.readsFail = writeHeld, true
		p.tick(successor, quetzalwork.StopRequested{})
		p.run(3 * time.Second)
		require.Empty(t, p.fenceViolations(), "seed %d", seed)
	}
}

// The same for the dispatcher of a pool, which goes on extending leases.
func TestLateRenewalOfAnEarlierProcessEndsNoDispatch(t *testing.T) {
	d := newDispatcher(t)
	d.readsFail = true
	d.answerPoll = d.idle
	heartbeat := quetzalunit.Heartbeat(0)
	read := func(incarnation quetzalunit.Incarnation, stopping bool) {
		heartbeat++
		d.tick(quetzalwork.MembersRead{
			Full: true, SeenRevision: testToken, SentAt: d.now,
			Members: []quetzalwork.Member{
				{Entry: "e0", Incarnation: 1, Heartbeat: heartbeat},
				{Entry: "e1", Incarnation: incarnation, Address: "e1", Heartbeat: heartbeat, Stopping: stopping},
			},
			Duties: map[quetzalunit.PoolID]quetzalwork.Duty{testPool: {Holder: "e1", Incarnation: 2, Address: "e1", Revision: testToken + 1}, quetzalwork.HostControlDuty: {Holder: "e1", Incarnation: 2, Address: "e1", Revision: testToken + 1}},
		})
	}
	for range 6 {
		read(2, false)
		d.run(500 * time.Millisecond)
	}
	require.Empty(t, d.releases)
	read(1, true)
	d.run(500 * time.Millisecond)
	require.Empty(t, d.releases, "a duty of a live holder is taken over")
}
