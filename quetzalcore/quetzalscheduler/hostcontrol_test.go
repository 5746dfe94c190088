package quetzalscheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalscheduler"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// hostController runs a World that holds the host control duty. The test plays the store, the
// platform and the other entries.
type hostController struct {
	t     *testing.T
	w     *quetzalwork.World
	now   quetzalunit.Instant
	hosts []quetzalwork.Host
	// orders are the orders to hosts so far, waveStates the states of waves that were stored. loads
	// are the loads that the dispatchers report.
	orders     []quetzalwork.OrderHost
	waveStates []quetzalwork.WaveState
	loads      map[quetzalunit.PoolID]quetzalwork.PoolLoad
	// duty is the stored row of the host control duty. If its revision is zero, this entry holds it.
	duty quetzalwork.Duty
	// heartbeat, if not nil, is the heartbeat in the stored row of e1. By default it grows with each
	// read.
	heartbeat *quetzalunit.Heartbeat
	// lease is the revision of the stored row of the host controller's lease.
	lease quetzalunit.Revision
	// e1Restarted makes the stored row of e1 that of a later process, which is stopping.
	e1Restarted bool
	// holdsReads keeps the reads of members and duties unanswered; heldReads are these reads.
	holdsReads bool
	heldReads  []quetzalwork.ReadMembers
	// takeovers are the attempts to acquire the duty so far. onTakeover, if not nil, is called before
	// each.
	takeovers  []quetzalwork.WriteDuty
	onTakeover func()
	// unknownLoad is a pool that has no dispatcher, empty if all have one.
	unknownLoad quetzalunit.PoolID
	// notices are the notices of withdrawn hosts so far.
	notices []quetzalwork.NotifyHostWithdrawn
	// logged are the logged decisions so far.
	logged []quetzalwork.Decision
	// refusedWaveReads is the number of reads of the waves that are still refused. waveReads counts the
	// reads at each instant.
	refusedWaveReads int
	waveReads        map[quetzalunit.Instant]int
	// onStoreWaveHosts, if not nil, answers the transactions that store the maintained hosts of a wave.
	onStoreWaveHosts func(quetzalwork.StoreWaveHosts) quetzalwork.WaveHostsStored
}

func newHostController(t *testing.T, hosts []quetzalwork.Host, plan quetzalwork.WavePlan) *hostController {
	t.Helper()
	return newHostControllerAfter(t, quetzalwork.Duty{}, hosts, plan)
}

// newHostControllerAfter returns a hostController that starts with the row of the host control duty
// that a predecessor stored.
func newHostControllerAfter(t *testing.T, duty quetzalwork.Duty, hosts []quetzalwork.Host, plan quetzalwork.WavePlan) *hostController {
	t.Helper()
	c := &hostController{t: t, duty: duty, w: &quetzalwork.World{}, now: quetzalunit.InstantOf(time.Unix(1000, 0)), hosts: hosts, loads: make(map[quetzalunit.PoolID]quetzalwork.PoolLoad)}
	c.w.Self = quetzalwork.Identity{Entry: "e0", Incarnation: 1, PeerAddress: "e0"}
	c.w.Bounds = quetzalwork.Bounds{MaintenanceTime: 2 * time.Second, MoveTime: time.Second, OrderLease: time.Second}
	quetzalscheduler.Start(c.w, c.now)
	cfg := quetzalwork.FleetConfig{Version: 1, Pools: []quetzalwork.PoolSpec{{ID: "busy"}, {ID: "calm"}, {ID: "off", Spare: true}}}
	c.tick(quetzalwork.ConfigWatched{Config: &cfg, Waves: []quetzalwork.WavePlan{plan}, SeenRevision: 1})
	return c
}

// tick applies inputs at the current instant and performs the resulting commands until there are no
// more.
func (c *hostController) tick(inputs ...quetzalwork.Input) {
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

func (c *hostController) perform(cmd quetzalwork.Command) []quetzalwork.Input {
	duty := c.duty
	if duty.Revision == 0 {
		duty = quetzalwork.Duty{Holder: "e0", Incarnation: 1, Address: "e0", Revision: 7}
	}
	switch cmd := cmd.(type) {
	case quetzalwork.LogDecision:
		c.logged = append(c.logged, cmd.Decision)
		return nil
	case quetzalwork.RenewMember:
		return []quetzalwork.Input{quetzalwork.MemberRenewed{SentAt: cmd.SentAt}}
	case quetzalwork.RenewHostLease:
		return []quetzalwork.Input{quetzalwork.HostLeaseRenewed{Token: cmd.Token, SentAt: cmd.SentAt}}
	case quetzalwork.ReadMembers:
		if c.holdsReads {
			c.heldReads = append(c.heldReads, cmd)
			return nil
		}
		return []quetzalwork.Input{c.answerRead(cmd, duty)}
	case quetzalwork.WriteDuty:
		c.takeovers = append(c.takeovers, cmd)
		if c.onTakeover != nil {
			c.onTakeover()
		}
		c.duty = cmd.Duty
		c.duty.Revision = cmd.Expected + 1
		return []quetzalwork.Input{quetzalwork.DutyWritten{Pool: cmd.Pool, Revision: c.duty.Revision, SentAt: cmd.SentAt}}
	case quetzalwork.ListHosts:
		return []quetzalwork.Input{quetzalwork.HostsListed{OK: true, Hosts: c.hosts}}
	case quetzalwork.ReadWaves:
		if c.waveReads == nil {
			c.waveReads = make(map[quetzalunit.Instant]int)
		}
		c.waveReads[c.now]++
		if c.refusedWaveReads > 0 {
			c.refusedWaveReads--
			return []quetzalwork.Input{quetzalwork.WavesRead{Result: quetzalwork.StoreRefused}}
		}
		return []quetzalwork.Input{quetzalwork.WavesRead{}}
	case quetzalwork.StoreWaveHosts:
		if c.onStoreWaveHosts == nil {
			return nil
		}
		return []quetzalwork.Input{c.onStoreWaveHosts(cmd)}
	case quetzalwork.StoreWaveState:
		c.waveStates = append(c.waveStates, cmd.State)
		return []quetzalwork.Input{quetzalwork.WaveStateStored{Wave: cmd.Wave, State: cmd.State}}
	case quetzalwork.OrderHost:
		c.orders = append(c.orders, cmd)
		return []quetzalwork.Input{quetzalwork.HostOrderAnswered{Order: cmd.Order, Host: cmd.Host, Wave: cmd.Wave, Pool: cmd.Pool}}
	case quetzalwork.CallPeer:
		return []quetzalwork.Input{quetzalwork.PeerReplyReceived{Message: cmd.Message, Address: cmd.Address, Reply: c.reply(cmd.Message)}}
	default:
		return nil
	}
}

// answerRead answers a read of members and duties.
func (c *hostController) answerRead(cmd quetzalwork.ReadMembers, duty quetzalwork.Duty) quetzalwork.MembersRead {
	other := quetzalwork.Duty{Holder: "e3", Incarnation: 1, Address: "e3", Revision: 5}
	heartbeat := quetzalunit.Heartbeat(c.now)
	if c.heartbeat != nil {
		heartbeat = *c.heartbeat
	}
	e1 := quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1", Heartbeat: heartbeat}
	if c.e1Restarted {
		e1.Incarnation, e1.Stopping = 2, true
	}
	return quetzalwork.MembersRead{
		Full: true, SeenRevision: 9, SentAt: cmd.SentAt, HostLease: c.lease,
		Members: []quetzalwork.Member{
			{Entry: "e0", Incarnation: 1, Heartbeat: quetzalunit.Heartbeat(c.now)},
			e1,
			{Entry: "e3", Incarnation: 1, Address: "e3", Heartbeat: quetzalunit.Heartbeat(c.now)},
		},
		Duties: map[quetzalunit.PoolID]quetzalwork.Duty{"(hosts)": duty, "busy": other, "calm": other, "off": other},
	}
}

func (c *hostController) reply(m quetzalwork.PeerMessage) quetzalwork.PeerReply {
	switch m := m.(type) {
	case quetzalwork.QueryLoad:
		if m.Pool == c.unknownLoad {
			return quetzalwork.NotHolder{}
		}
		l := c.loads[m.Pool]
		for _, o := range c.orders {
			n := len(l.MovableHosts)
			l.MovableHosts = slices.DeleteFunc(slices.Clone(l.MovableHosts), func(h quetzalwork.MovableHost) bool { return h.Host == o.Host })
			l.UsableHosts -= n - len(l.MovableHosts)
		}
		return quetzalwork.LoadReply{Load: l}
	case quetzalwork.EvacuateHost:
		return quetzalwork.EvacuationReply{Empty: true, SafeToInterrupt: true}
	case quetzalwork.NotifyHostWithdrawn:
		c.notices = append(c.notices, m)
		return quetzalwork.Acknowledged{}
	default:
		return quetzalwork.Acknowledged{}
	}
}

// run advances the clock in steps of 50 ms with a tick at each.
func (c *hostController) run(d time.Duration) {
	end := c.now.Add(d)
	for c.now < end {
		c.now = c.now.Add(50 * time.Millisecond)
		c.tick()
	}
}

func upHost(id quetzalunit.HostID, pool quetzalunit.PoolID) quetzalwork.Host {
	return quetzalwork.Host{ID: id, Pool: pool, Capacity: quetzalunit.Resources{Cores: 32000}}
}

// A wave must not be completed without a host that is missing from the list of hosts at first and
// listed later, well within the wave's time.
func TestWaveWaitsForHostsThatAreListedLate(t *testing.T) {
	plan := quetzalwork.WavePlan{ID: "1", Hosts: []quetzalunit.HostID{"h1", "h2"}, TimeLimit: 20 * time.Second, MaxConcurrent: 1}
	c := newHostController(t, []quetzalwork.Host{upHost("h1", "off")}, plan)
	c.run(8 * time.Second)
	require.NotContains(t, c.waveStates, quetzalwork.WaveCompleted)
	c.hosts = append(c.hosts, upHost("h2", "off"))
	c.run(6 * time.Second)
	require.Contains(t, c.waveStates, quetzalwork.WaveCompleted)
	require.Len(t, c.orders, 2)
}

// A host that is never listed must not keep its wave from being completed in time.
func TestWaveOmitsHostsThatAreNeverListed(t *testing.T) {
	plan := quetzalwork.WavePlan{ID: "1", Hosts: []quetzalunit.HostID{"h1", "h2"}, TimeLimit: 10 * time.Second, MaxConcurrent: 2}
	c := newHostController(t, []quetzalwork.Host{upHost("h1", "off")}, plan)
	c.run(10 * time.Second)
	require.Contains(t, c.waveStates, quetzalwork.WaveCompleted)
}

func TestWaveRespectsMaxConcurrent(t *testing.T) {
	plan := quetzalwork.WavePlan{ID: "1", Hosts: []quetzalunit.HostID{"h1", "h2", "h3"}, TimeLimit: 30 * time.Second, MaxConcurrent: 1}
	c := newHostController(t, []quetzalwork.Host{upHost("h1", "off"), upHost("h2", "off"), upHost("h3", "off")}, plan)
	for range 300 {
		before := len(c.orders)
		c.run(50 * time.Millisecond)
		require.LessOrEqual(t, len(c.orders)-before, 1)
	}
	require.Contains(t, c.waveStates, quetzalwork.WaveCompleted)
}

// One pool is at its peak and needs several times the hosts that it has, another is idle, and there
// are spare hosts. Both sources must be used, but the idle pool keeps some hosts.
func TestHostsMoveToThePoolAtItsPeak(t *testing.T) {
	var hosts []quetzalwork.Host
	var idle []quetzalwork.MovableHost
	for _, id := range []quetzalunit.HostID{"c1", "c2", "c3", "c4", "c5", "c6"} {
		hosts = append(hosts, upHost(id, "calm"))
		idle = append(idle, quetzalwork.MovableHost{Host: id, IdleFor: time.Second})
	}
	hosts = append(hosts, upHost("s1", "off"), upHost("s2", "off"), upHost("b1", "busy"))
	c := newHostController(t, hosts, quetzalwork.WavePlan{ID: "1"})
	c.loads["calm"] = quetzalwork.PoolLoad{Wanted: 5000, Usable: 6 * 32000, MovableHosts: idle, UsableHosts: 6}
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 1000, Usable: 32000, UsableHosts: 1}
	c.run(3 * time.Second)
	require.Empty(t, c.orders)
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 10 * 32000, Usable: 32000, UsableHosts: 1}
	c.run(time.Second)
	moved := make(map[quetzalunit.HostID]bool)
	for _, o := range c.orders {
		require.Equal(t, quetzalwork.HostOrderMove, o.Order)
		require.Equal(t, quetzalunit.PoolID("busy"), o.Pool)
		moved[o.Host] = true
	}
	require.True(t, moved["s1"] && moved["s2"], "spare hosts are used")
	require.GreaterOrEqual(t, len(moved), 3, "idle hosts of the other pool are used")
	require.LessOrEqual(t, len(moved), 6, "the idle pool keeps hosts for its own next peak")
}

// The dispatcher of a pool is lost while the other pool is idle. Its successor reports a backlog
// two seconds later, which gets the idle hosts at once. They must not have been sent to the spare
// pool meanwhile.
func TestIdleHostsAreKeptWhileALoadIsNotKnown(t *testing.T) {
	var hosts []quetzalwork.Host
	var idle []quetzalwork.MovableHost
	for _, id := range []quetzalunit.HostID{"c1", "c2", "c3", "c4", "c5", "c6"} {
		hosts = append(hosts, upHost(id, "calm"))
		idle = append(idle, quetzalwork.MovableHost{Host: id, IdleFor: 5500 * time.Millisecond})
	}
	c := newHostController(t, append(hosts, upHost("b1", "busy")), quetzalwork.WavePlan{ID: "1"})
	c.loads["calm"] = quetzalwork.PoolLoad{Wanted: 5000, Usable: 6 * 32000, MovableHosts: idle, UsableHosts: 6}
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 1000, Usable: 32000, UsableHosts: 1}
	c.run(2 * time.Second)
	require.Empty(t, c.orders)
	c.unknownLoad = "busy"
	c.run(time.Second)
	for i := range idle {
		idle[i].IdleFor = 8 * time.Second
	}
	c.run(time.Second)
	require.Empty(t, c.orders)
	c.unknownLoad = ""
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 10 * 32000, Usable: 32000, UsableHosts: 1}
	c.run(300 * time.Millisecond)
	require.NotEmpty(t, c.orders)
	for _, o := range c.orders {
		require.Equal(t, quetzalunit.PoolID("busy"), o.Pool)
	}
}

// The demand of a pool rises again after the first hosts have joined it. If these still counted as
// moving, the next hosts would be ordered too late.
func TestHostsThatJoinedNoLongerCountAsMoving(t *testing.T) {
	var hosts []quetzalwork.Host
	for _, id := range []quetzalunit.HostID{"s1", "s2", "s3", "s4"} {
		hosts = append(hosts, upHost(id, "off"))
	}
	c := newHostController(t, append(hosts, upHost("b1", "busy")), quetzalwork.WavePlan{ID: "1"})
	c.loads["calm"] = quetzalwork.PoolLoad{}
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 3 * 32000, Usable: 32000, UsableHosts: 1}
	c.run(2 * time.Second)
	require.Len(t, c.orders, 2)
	joined := []quetzalunit.HostID{c.orders[0].Host, c.orders[1].Host}
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 5 * 32000, Usable: 3 * 32000, UsableHosts: 3, JoinedHosts: joined}
	c.run(400 * time.Millisecond)
	require.Len(t, c.orders, 4)
}

// A minion gets no work before a read of the duties that was sent after the minion joined. That read
// must follow at once and not wait for the next periodic one.
func TestJoinedMinionGetsWorkAtOnce(t *testing.T) {
	d := newDispatcher(t)
	d.answerPoll = d.idle
	d.minions = nil
	d.run(3 * time.Second)
	row := accepted(testJob, testToken)
	d.tick(quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.NotifyAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	d.run(100 * time.Millisecond)
	require.Less(t, d.w.Membership.ReadSentAt, d.now)
	joined := testMinions[0]
	joined.ID, joined.Address, joined.Host = "m1", "m1", "h1"
	d.minions = []quetzalwork.MinionRecord{joined}
	d.tick(quetzalwork.MinionsListed{SeenRevision: testToken + 1, Minions: d.minions})
	require.NotEmpty(t, d.starts)
}

// After a planned stop of the last holder, its successor must order hosts at once. A host that the
// last holder has ordered must wait for OrderLease, since orders of two holders would conflict.
func TestSuccessorOfAPlannedStopOrdersOtherHostsAtOnce(t *testing.T) {
	c := newHostControllerAfter(t, quetzalwork.Duty{Revision: 6, OrderedHosts: []quetzalunit.HostID{"s1"}},
		[]quetzalwork.Host{upHost("s1", "off"), upHost("s2", "off"), upHost("b1", "busy")}, quetzalwork.WavePlan{ID: "1"})
	c.w.Bounds.OrderLease = 4 * time.Second
	c.loads["calm"] = quetzalwork.PoolLoad{}
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 3 * 32000, Usable: 32000, UsableHosts: 1}
	c.run(2500 * time.Millisecond)
	require.Len(t, c.orders, 1)
	require.Equal(t, quetzalunit.HostID("s2"), c.orders[0].Host)
	c.run(4 * time.Second)
	require.Contains(t, hostsOf(c.orders), quetzalunit.HostID("s1"))
}

// All entries restart while a pool lacks hosts. The entry that held the duty before is the same
// holder to the hosts and must order them at once; any other entry waits for OrderLease.
func TestRestartedHostControllerOrdersAtOnce(t *testing.T) {
	for _, test := range []struct {
		holder quetzalunit.EntryID
		orders bool
	}{{"e0", true}, {"e2", false}} {
		c := newHostControllerAfter(t, quetzalwork.Duty{Holder: test.holder, Incarnation: 9, Revision: 6},
			[]quetzalwork.Host{upHost("s1", "off"), upHost("b1", "busy")}, quetzalwork.WavePlan{ID: "1"})
		c.w.Bounds.OrderLease = 4 * time.Second
		c.loads["calm"] = quetzalwork.PoolLoad{}
		c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 3 * 32000, Usable: 32000, UsableHosts: 1}
		c.run(2500 * time.Millisecond)
		require.Equal(t, test.orders, len(c.orders) > 0, test.holder)
	}
}

// The store answers a read late, and the holder of the duty renews its row after that read was sent.
// The duty must not be taken over before a later read shows that the holder has stopped renewing:
// the holder still orders hosts.
func TestDutyIsNotTakenOverOnAnOldRead(t *testing.T) {
	c := newHostControllerAfter(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Revision: 6}, nil, quetzalwork.WavePlan{ID: "1"})
	c.run(3 * time.Second)
	heartbeat := quetzalunit.Heartbeat(1)
	c.heartbeat = &heartbeat
	c.run(1200 * time.Millisecond)
	renewedAt := c.w.Members.At(c.w.MemberByID.Get("e1")).RenewalSeenAt
	c.holdsReads = true
	c.run(1200 * time.Millisecond)
	require.Len(t, c.heldReads, 1)
	c.run(renewedAt.Add(2200 * time.Millisecond).Sub(c.now))
	c.tick(c.answerRead(c.heldReads[0], c.duty))
	c.run(renewedAt.Add(3500 * time.Millisecond).Sub(c.now))
	require.Empty(t, c.takeovers, "the answered read was sent long before")
	c.holdsReads = false
	c.tick(c.answerRead(quetzalwork.ReadMembers{SentAt: c.now}, c.duty))
	c.run(time.Second)
	require.NotEmpty(t, c.takeovers)
}

// The holder of the duty keeps no lease, as programs before the lease. It was cut off from the store and
// renews its member row again just before the takeover, which permits it to order hosts. The successor
// must wait for the end of these orders.
func TestSuccessorWaitsForOrdersAfterALastRenewal(t *testing.T) {
	c := newHostControllerAfter(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Revision: 6},
		[]quetzalwork.Host{upHost("s1", "off"), upHost("b1", "busy")}, quetzalwork.WavePlan{ID: "1"})
	c.loads["calm"] = quetzalwork.PoolLoad{}
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 3 * 32000, Usable: 32000, UsableHosts: 1}
	heartbeat := quetzalunit.Heartbeat(1)
	c.heartbeat, c.onTakeover = &heartbeat, func() { heartbeat = 2 }
	for range 200 {
		if c.run(50 * time.Millisecond); len(c.takeovers) > 0 {
			break
		}
	}
	require.NotEmpty(t, c.takeovers)
	c.run(2200 * time.Millisecond)
	require.Empty(t, c.orders, "the predecessor may order for 1.5 s, and an order is lost after 0.9 s at the latest")
	c.run(time.Second)
	require.NotEmpty(t, c.orders)
}

// The process of the host controller is replaced by one that does not take the duty over. The orders of
// the first may still be under way, so that another entry must wait for their end.
func TestSuccessorWaitsForTheOrdersOfAReplacedProcess(t *testing.T) {
	c := newHostControllerAfter(t, quetzalwork.Duty{Holder: "e1", Incarnation: 1, Revision: 6},
		[]quetzalwork.Host{upHost("s1", "off"), upHost("b1", "busy")}, quetzalwork.WavePlan{ID: "1"})
	c.loads["calm"] = quetzalwork.PoolLoad{}
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 3 * 32000, Usable: 32000, UsableHosts: 1}
	c.lease = 6
	for range 60 {
		c.lease++
		c.run(50 * time.Millisecond)
	}
	renewedAt := c.now
	c.e1Restarted = true
	for len(c.takeovers) == 0 {
		c.run(50 * time.Millisecond)
	}
	require.Less(t, c.now.Sub(renewedAt), 2*time.Second)
	c.run(renewedAt.Add(1700 * time.Millisecond).Sub(c.now))
	require.Empty(t, c.orders, "the predecessor may order for 1.5 s, and an order is lost after 0.9 s at the latest")
	c.run(3 * time.Second)
	require.NotEmpty(t, c.orders)
}

func hostsOf(orders []quetzalwork.OrderHost) []quetzalunit.HostID {
	var hosts []quetzalunit.HostID
	for _, o := range orders {
		hosts = append(hosts, o.Host)
	}
	return hosts
}

// A predecessor that was stopped as planned has ordered the maintenance of h2, and the order is still
// under way when its successor reads the list of hosts. The wave allows one host at a time, so h1 must
// not be ordered beside it.
func TestHostOrderedByAPredecessorCountsAsActiveInItsWave(t *testing.T) {
	plan := quetzalwork.WavePlan{ID: "1", Hosts: []quetzalunit.HostID{"h1", "h2"}, TimeLimit: 40 * time.Second, MaxConcurrent: 1}
	c := newHostControllerAfter(t, quetzalwork.Duty{Revision: 6, OrderedHosts: []quetzalunit.HostID{"h2"}},
		[]quetzalwork.Host{upHost("h1", "off"), upHost("h2", "off"), upHost("b1", "busy")}, plan)
	c.w.Bounds.OrderLease = 3 * time.Second
	for len(c.takeovers) == 0 {
		c.run(50 * time.Millisecond)
	}
	c.run(400 * time.Millisecond)
	c.hosts[1].State = quetzalwork.HostInMaintenance // the order of the predecessor has arrived
	c.run(1500 * time.Millisecond)
	require.NotContains(t, hostsOf(c.orders), quetzalunit.HostID("h1"), "two hosts are in maintenance")
}

// The store refuses the list of a wave's maintained hosts, or does not answer. The list must be stored
// later: without it the next host controller orders the maintenance of these hosts again.
func TestWaveHostsAreStoredAfterAFailure(t *testing.T) {
	for _, result := range []quetzalwork.StoreResult{quetzalwork.StoreRefused, quetzalwork.StoreUnanswered} {
		plan := quetzalwork.WavePlan{ID: "1", Hosts: []quetzalunit.HostID{"h1"}, TimeLimit: 20 * time.Second, MaxConcurrent: 1}
		c := newHostController(t, []quetzalwork.Host{upHost("h1", "off")}, plan)
		stored := 0
		c.onStoreWaveHosts = func(cmd quetzalwork.StoreWaveHosts) quetzalwork.WaveHostsStored {
			require.Equal(t, []quetzalunit.HostID{"h1"}, cmd.Done)
			if stored++; stored < 3 {
				return quetzalwork.WaveHostsStored{Wave: cmd.Wave, Result: result}
			}
			return quetzalwork.WaveHostsStored{Wave: cmd.Wave, Revision: 9}
		}
		c.run(6 * time.Second)
		require.Equal(t, 3, stored)
	}
}

// The store refuses reads of the waves at once. They must be repeated in the passes of the host
// controller, not without a pause.
func TestWavesAreReadAgainAfterAPause(t *testing.T) {
	c := newHostControllerAfter(t, quetzalwork.Duty{Revision: 6}, []quetzalwork.Host{upHost("h1", "off")}, quetzalwork.WavePlan{ID: "1"})
	c.refusedWaveReads = 5
	c.run(3 * time.Second)
	require.Zero(t, c.refusedWaveReads)
	require.True(t, c.w.HostController.WavesLoaded)
	for at, n := range c.waveReads {
		require.Equal(t, 1, n, "reads at %v", at)
	}
}

// A wave over all spare hosts begins while the load of a pool rises. Most of these hosts must go to the pool that needs them at
// once; the wave has time enough for them afterwards.
func TestWaveLeavesSpareHostsToAPoolAtItsPeak(t *testing.T) {
	const spare, size = 40, 32000
	plan := quetzalwork.WavePlan{ID: "1", TimeLimit: 30 * time.Second, MaxConcurrent: spare}
	var hosts []quetzalwork.Host
	for i := range spare {
		id := quetzalunit.HostID(fmt.Sprintf("h%02d", i))
		hosts, plan.Hosts = append(hosts, upHost(id, "off")), append(plan.Hosts, id)
	}
	c := newHostController(t, hosts, plan)
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 3 * size, Usable: 2 * size, UsableHosts: 2}
	c.run(time.Second)
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 32 * size, Usable: 2 * size, UsableHosts: 2}
	c.run(time.Second)
	moved := 0
	for _, o := range c.orders {
		if o.Order == quetzalwork.HostOrderMove && o.Pool == "busy" {
			moved++
		}
	}
	require.Greater(t, moved, spare*2/3)
	c.loads["busy"] = quetzalwork.PoolLoad{Wanted: 2 * size, Usable: 2 * size, UsableHosts: 2}
	c.run(27 * time.Second)
	require.Contains(t, c.waveStates, quetzalwork.WaveCompleted)
}
