package quetzalscheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalscheduler"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// conductor is a World that gives orders to hosts, with a test in the place of everything else.
type conductor struct {
	t     *testing.T
	w     *quetzalwork.World
	now   quetzalunit.Instant
	hosts []quetzalwork.Host
	// orders are the orders given so far; said the states of waves that were stored.
	orders []quetzalwork.OrderHost
	said   []quetzalwork.WaveState
	loads  map[quetzalunit.PoolID]quetzalwork.PoolLoad
	// duty is the stored row of the duty; without a revision, this entry holds it.
	duty quetzalwork.Duty
}

func newConductor(t *testing.T, hosts []quetzalwork.Host, plan quetzalwork.WavePlan) *conductor {
	t.Helper()
	return newConductorAfter(t, quetzalwork.Duty{}, hosts, plan)
}

// newConductorAfter returns a conductor that finds the row of the duty as a predecessor left it.
func newConductorAfter(t *testing.T, duty quetzalwork.Duty, hosts []quetzalwork.Host, plan quetzalwork.WavePlan) *conductor {
	t.Helper()
	c := &conductor{t: t, duty: duty, w: &quetzalwork.World{}, now: quetzalunit.InstantOf(time.Unix(1000, 0)), hosts: hosts, loads: make(map[quetzalunit.PoolID]quetzalwork.PoolLoad)}
	c.w.Self = quetzalwork.Identity{Entry: "e0", Incarnation: 1, PeerAddress: "e0"}
	c.w.Bounds = quetzalwork.Bounds{MaintenanceTime: 2 * time.Second, MoveTime: time.Second, OrderLease: time.Second}
	quetzalscheduler.Start(c.w, c.now)
	cfg := quetzalwork.FleetConfig{Version: 1, Pools: []quetzalwork.PoolSpec{{ID: "busy"}, {ID: "calm"}, {ID: "off", Spare: true}}}
	c.tick(quetzalwork.FleetWatched{Config: &cfg, Waves: []quetzalwork.WavePlan{plan}, Seen: 1})
	return c
}

// tick performs what follows from inputs at the present instant.
func (c *conductor) tick(inputs ...quetzalwork.Input) {
	for {
		var next []quetzalwork.Input
		for _, cmd := range quetzalscheduler.Tick(c.w, c.now, inputs) {
			next = append(next, c.perform(cmd)...)
		}
		if len(next) == 0 {
			return
		}
		inputs = next
	}
}

func (c *conductor) perform(cmd quetzalwork.Command) []quetzalwork.Input {
	conductor := c.duty
	if conductor.Revision == 0 {
		conductor = quetzalwork.Duty{Holder: "e0", Incarnation: 1, Address: "e0", Revision: 7}
	}
	switch cmd := cmd.(type) {
	case quetzalwork.RenewMember:
		return []quetzalwork.Input{quetzalwork.MemberRenewed{SentAt: cmd.SentAt}}
	case quetzalwork.ReadMembers:
		other := quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: 5}
		return []quetzalwork.Input{quetzalwork.MembersRead{
			Full: true, Seen: 9, SentAt: cmd.SentAt,
			Members: []quetzalwork.Member{
				{Entry: "e0", Incarnation: 1, Beat: quetzalunit.Beat(c.now)}, {Entry: "e1", Incarnation: 1, Address: "e1", Beat: quetzalunit.Beat(c.now)},
			},
			Duties: map[quetzalunit.PoolID]quetzalwork.Duty{"(hosts)": conductor, "busy": other, "calm": other, "off": other},
		}}
	case quetzalwork.WriteDuty:
		c.duty = cmd.Holder
		c.duty.Revision = cmd.Expected + 1
		return []quetzalwork.Input{quetzalwork.DutyWritten{Pool: cmd.Pool, Revision: c.duty.Revision, SentAt: cmd.SentAt}}
	case quetzalwork.ListHosts:
		return []quetzalwork.Input{quetzalwork.HostsListed{OK: true, Hosts: c.hosts}}
	case quetzalwork.ReadWaves:
		return []quetzalwork.Input{quetzalwork.WavesRead{}}
	case quetzalwork.SayWave:
		c.said = append(c.said, cmd.State)
		return []quetzalwork.Input{quetzalwork.WaveSaid{Wave: cmd.Wave, State: cmd.State}}
	case quetzalwork.OrderHost:
		c.orders = append(c.orders, cmd)
		return []quetzalwork.Input{quetzalwork.HostOrdered{Order: cmd.Order, Host: cmd.Host, Wave: cmd.Wave, Pool: cmd.Pool}}
	case quetzalwork.AskPeer:
		return []quetzalwork.Input{quetzalwork.PeerAnswered{Message: cmd.Message, Address: cmd.Address, Reply: c.reply(cmd.Message)}}
	default:
		return nil
	}
}

func (c *conductor) reply(m quetzalwork.PeerMessage) quetzalwork.PeerReply {
	switch m := m.(type) {
	case quetzalwork.AskLoad:
		l := c.loads[m.Pool]
		for _, o := range c.orders {
			n := len(l.Idle)
			l.Idle = slices.DeleteFunc(slices.Clone(l.Idle), func(h quetzalwork.IdleHost) bool { return h.Host == o.Host })
			l.Hosts -= n - len(l.Idle)
		}
		return quetzalwork.LoadReply{Load: l}
	case quetzalwork.AskEmpty:
		return quetzalwork.EmptyReply{Empty: true, Safe: true}
	default:
		return quetzalwork.Heard{}
	}
}

// run advances the clock tick by tick.
func (c *conductor) run(d time.Duration) {
	end := c.now.Add(d)
	for c.now < end {
		c.now = c.now.Add(50 * time.Millisecond)
		c.tick()
	}
}

func upHost(id quetzalunit.HostID, pool quetzalunit.PoolID) quetzalwork.Host {
	return quetzalwork.Host{ID: id, Pool: pool, Room: quetzalunit.Resources{Cores: 32000}}
}

// A host of a wave that is listed late is not left out: the wave is not said to be completed.
func TestWaveWaitsForHostsThatAreListedLate(t *testing.T) {
	plan := quetzalwork.WavePlan{ID: "1", Hosts: []quetzalunit.HostID{"h1", "h2"}, Within: 20 * time.Second, Cap: 1}
	c := newConductor(t, []quetzalwork.Host{upHost("h1", "off")}, plan)
	c.run(8 * time.Second)
	require.NotContains(t, c.said, quetzalwork.WaveCompleted)
	c.hosts = append(c.hosts, upHost("h2", "off"))
	c.run(6 * time.Second)
	require.Contains(t, c.said, quetzalwork.WaveCompleted)
	require.Len(t, c.orders, 2)
}

// A host that never comes back does not keep its wave from being completed in time.
func TestWaveLeavesOutHostsThatAreGone(t *testing.T) {
	plan := quetzalwork.WavePlan{ID: "1", Hosts: []quetzalunit.HostID{"h1", "h2"}, Within: 10 * time.Second, Cap: 2}
	c := newConductor(t, []quetzalwork.Host{upHost("h1", "off")}, plan)
	c.run(10 * time.Second)
	require.Contains(t, c.said, quetzalwork.WaveCompleted)
}

func TestWaveTakesNoMoreHostsAtOnceThanItMay(t *testing.T) {
	plan := quetzalwork.WavePlan{ID: "1", Hosts: []quetzalunit.HostID{"h1", "h2", "h3"}, Within: 30 * time.Second, Cap: 1}
	c := newConductor(t, []quetzalwork.Host{upHost("h1", "off"), upHost("h2", "off"), upHost("h3", "off")}, plan)
	for range 300 {
		before := len(c.orders)
		c.run(50 * time.Millisecond)
		require.LessOrEqual(t, len(c.orders)-before, 1)
	}
	require.Contains(t, c.said, quetzalwork.WaveCompleted)
}

// The load of a queue at its turn: one pool wants several times what it has, the other is idle,
// and spare hosts are off.
func TestHostsFollowTheTurnsOfTheQueues(t *testing.T) {
	var hosts []quetzalwork.Host
	var idle []quetzalwork.IdleHost
	for _, id := range []quetzalunit.HostID{"c1", "c2", "c3", "c4", "c5", "c6"} {
		hosts = append(hosts, upHost(id, "calm"))
		idle = append(idle, quetzalwork.IdleHost{Host: id, Since: time.Second})
	}
	hosts = append(hosts, upHost("s1", "off"), upHost("s2", "off"), upHost("b1", "busy"))
	c := newConductor(t, hosts, quetzalwork.WavePlan{ID: "1"})
	c.loads["calm"] = quetzalwork.PoolLoad{Wanted: 5000, Usable: 6 * 32000, Idle: idle, Hosts: 6}
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 1000, Usable: 32000, Hosts: 1}
	c.run(3 * time.Second)
	require.Empty(t, c.orders)
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 10 * 32000, Usable: 32000, Hosts: 1}
	c.run(time.Second)
	moved := make(map[quetzalunit.HostID]bool)
	for _, o := range c.orders {
		require.Equal(t, quetzalwork.OrderMove, o.Order)
		require.Equal(t, quetzalunit.PoolID("busy"), o.Pool)
		moved[o.Host] = true
	}
	require.True(t, moved["s1"] && moved["s2"], "spare hosts are used")
	require.GreaterOrEqual(t, len(moved), 3, "idle hosts of the other pool are used")
	require.LessOrEqual(t, len(moved), 6, "the calm pool keeps hosts for its own next rise")
}

// The load of a queue that rises further while hosts are on their way to it: those that have
// joined no longer count as on their way, so that the next ones are ordered at once.
func TestHostsThatJoinedNoLongerCountAsMoving(t *testing.T) {
	var hosts []quetzalwork.Host
	for _, id := range []quetzalunit.HostID{"s1", "s2", "s3", "s4"} {
		hosts = append(hosts, upHost(id, "off"))
	}
	c := newConductor(t, append(hosts, upHost("b1", "busy")), quetzalwork.WavePlan{ID: "1"})
	c.loads["calm"] = quetzalwork.PoolLoad{}
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 3 * 32000, Usable: 32000, Hosts: 1}
	c.run(2 * time.Second)
	require.Len(t, c.orders, 2)
	joined := []quetzalunit.HostID{c.orders[0].Host, c.orders[1].Host}
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 5 * 32000, Usable: 3 * 32000, Hosts: 3, Joined: joined}
	c.run(400 * time.Millisecond)
	require.Len(t, c.orders, 4)
}

// A minion gets work only after a read of the duties, which follows its joining at once.
func TestJoinedMinionWorksSoon(t *testing.T) {
	d := newDispatcher(t)
	d.held = d.idle
	d.minions = nil
	d.run(3 * time.Second)
	row := accepted(testJob, testToken)
	d.tick(quetzalwork.PeerAsked{Caller: 1, Message: quetzalwork.TellAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	d.run(100 * time.Millisecond)
	require.Less(t, d.w.Membership.ReadSentAt, d.now)
	joined := testMinions[0]
	joined.ID, joined.Address, joined.Host = "m1", "m1", "h1"
	d.minions = []quetzalwork.MinionEntry{joined}
	d.tick(quetzalwork.MinionsListed{Seen: testToken + 1, Entries: d.minions})
	require.NotEmpty(t, d.starts)
}

// A planned stop in the rise of a queue: the successor orders the hosts that the last holder has
// not ordered at once, and the others after the time in which orders would take turns.
func TestSuccessorOfAPlannedStopOrdersOtherHostsAtOnce(t *testing.T) {
	c := newConductorAfter(t, quetzalwork.Duty{Revision: 6, Ordered: []quetzalunit.HostID{"s1"}},
		[]quetzalwork.Host{upHost("s1", "off"), upHost("s2", "off"), upHost("b1", "busy")}, quetzalwork.WavePlan{ID: "1"})
	c.w.Bounds.OrderLease = 4 * time.Second
	c.loads["calm"] = quetzalwork.PoolLoad{}
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 3 * 32000, Usable: 32000, Hosts: 1}
	c.run(2500 * time.Millisecond)
	require.Len(t, c.orders, 1)
	require.Equal(t, quetzalunit.HostID("s2"), c.orders[0].Host)
	c.run(4 * time.Second)
	require.Contains(t, hostsOf(c.orders), quetzalunit.HostID("s1"))
}

// All entries restart in the rise of a queue: the entry that gave the orders before is the same
// holder and goes on at once.
func TestRestartedConductorOrdersAtOnce(t *testing.T) {
	for _, test := range []struct {
		holder quetzalunit.EntryID
		orders bool
	}{{"e0", true}, {"e2", false}} {
		c := newConductorAfter(t, quetzalwork.Duty{Holder: test.holder, Incarnation: 9, Revision: 6},
			[]quetzalwork.Host{upHost("s1", "off"), upHost("b1", "busy")}, quetzalwork.WavePlan{ID: "1"})
		c.w.Bounds.OrderLease = 4 * time.Second
		c.loads["calm"] = quetzalwork.PoolLoad{}
		c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 3 * 32000, Usable: 32000, Hosts: 1}
		c.run(2500 * time.Millisecond)
		require.Equal(t, test.orders, len(c.orders) > 0, test.holder)
	}
}

func hostsOf(orders []quetzalwork.OrderHost) []quetzalunit.HostID {
	var hosts []quetzalunit.HostID
	for _, o := range orders {
		hosts = append(hosts, o.Host)
	}
	return hosts
}
