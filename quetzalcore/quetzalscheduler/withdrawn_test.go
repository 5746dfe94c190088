package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// The notice that a host was taken into maintenance is held up by a network cut. When it arrives, the host
// is back and its new minion runs a task, which must neither be given up nor started again.
func TestLateNoticeOfAWithdrawnHostSparesItsNextMinion(t *testing.T) {
	d := newDispatcher(t)
	var running []quetzalwork.ReportedRun
	d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := d.idle(c)
		in.Incarnation = 0
		if c.Target.Minion == "m1" {
			in.Running = running
		}
		return in
	}
	d.run(2 * time.Second)
	next, other := testMinions[0], testMinions[0]
	next.ID, next.Address, next.Incarnation = "m1", "m1", 2
	d.minions = []quetzalwork.MinionRecord{next}
	d.run(2 * time.Second)
	row := accepted(testJob, testToken)
	d.tick(quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.NotifyAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	require.Len(t, d.starts, 1)
	require.Equal(t, quetzalunit.MinionID("m1"), d.starts[0].Target.Minion)
	running = []quetzalwork.ReportedRun{{Task: d.starts[0].Task, Number: d.starts[0].Number}}
	other.ID, other.Address, other.Host = "m2", "m2", "h2"
	d.minions = []quetzalwork.MinionRecord{next, other}
	d.run(2 * time.Second)
	d.tick(quetzalwork.PeerMessageReceived{Caller: 2, Message: quetzalwork.NotifyHostWithdrawn{Pool: testPool, Host: "h0", Minion: "m0"}})
	d.run(2 * time.Second)
	require.Len(t, d.starts, 1)
}

// The notice arrives in time, and names the minion that runs on the host or none. The runs of the minion
// have ended and must start again elsewhere at once.
func TestNoticeOfAWithdrawnHostEndsItsRuns(t *testing.T) {
	for _, named := range []quetzalunit.MinionID{"m0", ""} {
		d := newDispatcher(t)
		var running []quetzalwork.ReportedRun
		d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
			in := d.idle(c)
			if c.Target.Minion == "m0" {
				in.Running = running
			}
			return in
		}
		d.run(2 * time.Second)
		row := accepted(testJob, testToken)
		d.tick(quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.NotifyAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
		require.Len(t, d.starts, 1)
		running = []quetzalwork.ReportedRun{{Task: d.starts[0].Task, Number: d.starts[0].Number}}
		other := testMinions[0]
		other.ID, other.Address, other.Host = "m1", "m1", "h1"
		d.minions = append(d.minions[:1:1], other)
		d.run(2 * time.Second)
		d.tick(quetzalwork.PeerMessageReceived{Caller: 2, Message: quetzalwork.NotifyHostWithdrawn{Pool: testPool, Host: "h0", Minion: named}})
		require.Equal(t, []quetzalunit.MinionID{"m0", "m1"}, minionsOf(d.starts), named)
	}
}

// The notice is late, and the host's next minion has started under the id of the one that the notice names.
func TestLateNoticeOfAWithdrawnHostSparesAMinionThatIsBackUnderItsID(t *testing.T) {
	d := newDispatcher(t)
	var running []quetzalwork.ReportedRun
	d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := d.idle(c)
		in.Incarnation = c.Target.Incarnation
		if c.Target.Minion == "m0" {
			in.Running = running
		}
		return in
	}
	d.run(2 * time.Second)
	back, other := testMinions[0], testMinions[0]
	back.Incarnation = testMinions[0].Incarnation + 1000
	d.minions = []quetzalwork.MinionRecord{back}
	d.run(2 * time.Second)
	row := accepted(testJob, testToken)
	d.tick(quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.NotifyAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	require.Len(t, d.starts, 1)
	running = []quetzalwork.ReportedRun{{Task: d.starts[0].Task, Number: d.starts[0].Number}}
	other.ID, other.Address, other.Host = "m1", "m1", "h1"
	d.minions = []quetzalwork.MinionRecord{back, other}
	d.run(2 * time.Second)
	d.tick(quetzalwork.PeerMessageReceived{Caller: 2, Message: quetzalwork.NotifyHostWithdrawn{Pool: testPool, Host: "h0", Minion: "m0", Incarnation: testMinions[0].Incarnation}})
	d.run(2 * time.Second)
	require.Equal(t, []quetzalunit.MinionID{"m0"}, minionsOf(d.starts))
}

func minionsOf(starts []quetzalwork.StartRun) []quetzalunit.MinionID {
	var minions []quetzalunit.MinionID
	for i := range starts {
		minions = append(minions, starts[i].Target.Minion)
	}
	return minions
}

// The list of hosts does not show the earlier minion any more when the dispatcher is notified.
func TestNoticesOfWithdrawnHostsNameTheEarlierMinion(t *testing.T) {
	h1 := upHost("h1", "calm")
	h1.Minion = "i-1"
	plan := quetzalwork.WavePlan{ID: "1", Hosts: []quetzalunit.HostID{"h1"}, TimeLimit: 20 * time.Second, MaxConcurrent: 1}
	c := newHostController(t, []quetzalwork.Host{h1}, plan)
	for range 200 {
		if c.run(50 * time.Millisecond); len(c.orders) > 0 {
			break
		}
	}
	c.hosts[0].State, c.hosts[0].Minion = quetzalwork.HostInMaintenance, ""
	c.run(time.Second)
	require.Equal(t, []quetzalwork.NotifyHostWithdrawn{{Pool: "calm", Host: "h1", Minion: "i-1"}}, c.notices)

	hosts := []quetzalwork.Host{upHost("b1", "busy")}
	var idle []quetzalwork.MovableHost
	for _, id := range []quetzalunit.HostID{"c1", "c2", "c3", "c4", "c5", "c6"} {
		h := upHost(id, "calm")
		h.Minion = quetzalunit.MinionID("minion of " + id)
		hosts = append(hosts, h)
		idle = append(idle, quetzalwork.MovableHost{Host: id, IdleFor: time.Second})
	}
	c = newHostController(t, hosts, quetzalwork.WavePlan{ID: "1"})
	c.loads["calm"] = quetzalwork.PoolLoad{Wanted: 5000, Usable: 6 * 32000, MovableHosts: idle, UsableHosts: 6}
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 10 * 32000, Usable: 32000, UsableHosts: 1}
	c.run(4 * time.Second)
	require.NotEmpty(t, c.notices)
	for _, notice := range c.notices {
		require.Equal(t, quetzalunit.MinionID("minion of "+notice.Host), notice.Minion)
	}
}

// A host controller finds a host in maintenance as it takes the duty over, and its list is up to 0.6 s old when the answer to
// its order makes it notify the dispatcher. By then the host may have its next minion, whose runs must go on.
func TestNoticeAfterATakeoverOfHostControlSparesTheNextMinion(t *testing.T) {
	plan := quetzalwork.WavePlan{ID: "1", Hosts: []quetzalunit.HostID{"h1"}, TimeLimit: 40 * time.Second, MaxConcurrent: 1}
	for _, known := range []bool{false, true} {
		h1 := upHost("h1", "calm")
		h1.State = quetzalwork.HostInMaintenance
		c := newHostControllerAfter(t, quetzalwork.Duty{Revision: 6}, []quetzalwork.Host{h1}, plan)
		var want []quetzalwork.NotifyHostWithdrawn
		if known {
			c.tick(quetzalwork.MinionsListed{Full: true, SeenRevision: 1, Minions: []quetzalwork.MinionRecord{{ID: "i-1", Pool: "calm", Host: "h1", Incarnation: 1}}})
			want = []quetzalwork.NotifyHostWithdrawn{{Pool: "calm", Host: "h1", Minion: "i-1", Incarnation: 1}}
		}
		for len(c.takeovers) == 0 {
			c.run(50 * time.Millisecond)
		}
		c.run(100 * time.Millisecond)
		c.hosts[0].State, c.hosts[0].Minion = quetzalwork.HostUp, "i-2"
		c.run(2 * time.Second)
		require.NotEmpty(t, c.orders)
		require.Equal(t, want, c.notices)
	}
}
