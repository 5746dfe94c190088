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

// controllerPair runs the Worlds of two entries that may hold the host control duty, on one simulated
// store. The demand of a pool grows all the time, so that the holder orders a host in nearly every
// pass.
type controllerPair struct {
	now     quetzalunit.Instant
	entries []*pairEntry
	// revision is the revision of the last write. duty and members are the stored rows, lease is the
	// revision of the lease's row.
	revision quetzalunit.Revision
	duty     quetzalwork.Duty
	lease    quetzalunit.Revision
	members  map[quetzalunit.EntryID]versionedMember
	hosts    []quetzalwork.Host
	wanted   quetzalunit.MilliCores
	// renewedAt is when the last write that keeps the lease of each term was sent, of those that the
	// store has carried out. The duty's revision at the takeover identifies the term.
	renewedAt map[quetzalunit.FencingToken]quetzalunit.Instant
	orders    []pairOrder
	// violations describes the orders that an entry decided on without a permission.
	violations []string
	// beforeTakeover, if not nil, is called before the store carries out a takeover.
	beforeTakeover func()
}

// pairEntry is one of the two entries.
type pairEntry struct {
	id quetzalunit.EntryID
	w  *quetzalwork.World
	// write decides what the store does with the entry's writes.
	write writeFault
	// heldWrites are the writes that the store has accepted and not carried out yet.
	heldWrites []quetzalwork.Command
	// paused reports whether the process is paused. readsFail makes its reads of the rows fail.
	paused, readsFail bool
	// inputs are the results of its writes, which it gets in the next step in which it is not paused.
	inputs []quetzalwork.Input
}

// writeFault is what the store does with the writes of an entry.
type writeFault uint8

const (
	writeNormally writeFault = iota
	// writeRefused means that the store refuses the writes and serves the reads.
	writeRefused
	// writeHeld means that the writes wait in the store.
	writeHeld
	// memberRefused means that the store refuses the renewals of the member row alone.
	memberRefused
)

// pairOrder is an order to a host as the host service receives it.
type pairOrder struct {
	at     quetzalunit.Instant
	holder quetzalunit.EntryID
	token  quetzalunit.FencingToken
}

func newControllerPair(seed uint64) *controllerPair {
	p := &controllerPair{now: quetzalunit.InstantOf(time.Unix(1000, 0)), members: make(map[quetzalunit.EntryID]versionedMember), renewedAt: make(map[quetzalunit.FencingToken]quetzalunit.Instant)}
	for i := range 400 {
		p.hosts = append(p.hosts, upHost(quetzalunit.HostID(fmt.Sprint("s", i)), "off"))
	}
	p.hosts = append(p.hosts, upHost("b1", "busy"))
	for i := range 2 {
		e := &pairEntry{id: quetzalunit.EntryID(fmt.Sprint("e", i)), w: &quetzalwork.World{}}
		e.w.Self = quetzalwork.Identity{Entry: e.id, Incarnation: 1, PeerAddress: quetzalunit.Address(e.id), Seed: seed + uint64(i)}
		e.w.Bounds = quetzalwork.Bounds{MaintenanceTime: 2 * time.Second, MoveTime: time.Second, OrderLease: 3 * time.Second}
		quetzalscheduler.Start(e.w, p.now)
		p.entries = append(p.entries, e)
	}
	cfg := quetzalwork.FleetConfig{Version: 1, Pools: []quetzalwork.PoolSpec{{ID: "busy"}, {ID: "off", Spare: true}}}
	for _, e := range p.entries {
		p.tick(e, quetzalwork.ConfigWatched{Config: &cfg, SeenRevision: 1})
	}
	return p
}

// newOrderingPair returns a controllerPair, and which of its entries holds the duty and orders hosts.
func newOrderingPair(t *testing.T, seed uint64) (*controllerPair, *pairEntry) {
	t.Helper()
	p := newControllerPair(seed)
	p.run(4 * time.Second)
	holder := p.holder()
	require.NotNil(t, holder)
	require.NotEmpty(t, p.orders)
	return p, holder
}

// addEntry adds an entry that may hold the duty, or a new process of one.
func (p *controllerPair) addEntry(id quetzalunit.EntryID, incarnation quetzalunit.Incarnation) *pairEntry {
	e := &pairEntry{id: id, w: &quetzalwork.World{}}
	e.w.Self = quetzalwork.Identity{Entry: id, Incarnation: incarnation, PeerAddress: quetzalunit.Address(id), Seed: 77}
	e.w.Bounds = p.entries[0].w.Bounds
	quetzalscheduler.Start(e.w, p.now)
	cfg := quetzalwork.FleetConfig{Version: 1, Pools: []quetzalwork.PoolSpec{{ID: "busy"}, {ID: "off", Spare: true}}}
	p.tick(e, quetzalwork.ConfigWatched{Config: &cfg, SeenRevision: 1})
	return e
}

// run advances the clock in steps of 20 ms with a tick of each entry.
func (p *controllerPair) run(d time.Duration) {
	end := p.now.Add(d)
	for p.now < end {
		p.now = p.now.Add(20 * time.Millisecond)
		p.wanted += 32000 / 5
		for _, e := range p.entries {
			if !e.paused {
				inputs := e.inputs
				e.inputs = nil
				p.tick(e, inputs...)
			}
		}
	}
}

// tick applies inputs to an entry and performs the resulting commands until there are no more.
func (p *controllerPair) tick(e *pairEntry, inputs ...quetzalwork.Input) {
	for {
		var next []quetzalwork.Input
		for _, cmd := range quetzalscheduler.Tick(e.w, p.now, inputs) {
			if in := p.perform(e, cmd); in != nil {
				next = append(next, in)
			}
		}
		if len(next) == 0 {
			return
		}
		inputs = next
	}
}

// perform performs a command of an entry and returns the result, nil if there is none yet.
func (p *controllerPair) perform(e *pairEntry, cmd quetzalwork.Command) quetzalwork.Input {
	switch c := cmd.(type) {
	case quetzalwork.RenewMember, quetzalwork.WriteDuty, quetzalwork.RenewHostLease:
		_, member := c.(quetzalwork.RenewMember)
		switch {
		case e.write == writeHeld:
			e.heldWrites = append(e.heldWrites, c)
		case e.write == writeRefused || e.write == memberRefused && member:
			e.inputs = append(e.inputs, refusedWrite(c))
		default:
			e.inputs = append(e.inputs, p.carryOut(c))
		}
		return nil
	case quetzalwork.ReadMembers:
		if e.readsFail {
			return quetzalwork.MembersRead{Result: quetzalwork.StoreRefused, SentAt: c.SentAt}
		}
		return p.read(c)
	case quetzalwork.ListHosts:
		return quetzalwork.HostsListed{OK: true, Hosts: slices.Clone(p.hosts)}
	case quetzalwork.ReadWaves:
		return quetzalwork.WavesRead{}
	case quetzalwork.ListMinions:
		return quetzalwork.MinionsListed{Full: true, SeenRevision: 1}
	case quetzalwork.OrderHost:
		if end := p.renewedAt[c.Token].Add(1500 * time.Millisecond); p.now >= c.ValidUntil || c.ValidUntil > end {
			p.violations = append(p.violations, fmt.Sprintf("%v: %s may order until %v, not until %v", p.now, e.id, end, c.ValidUntil))
		}
		if p.now <= c.ValidUntil {
			p.orders = append(p.orders, pairOrder{at: p.now, holder: e.id, token: c.Token})
		}
		return quetzalwork.HostOrderAnswered{Order: c.Order, Token: c.Token, Host: c.Host, Pool: c.Pool, Wave: c.Wave}
	case quetzalwork.CallPeer:
		in := quetzalwork.PeerReplyReceived{Message: c.Message, Address: c.Address}
		if m, ok := c.Message.(quetzalwork.QueryLoad); ok && m.Pool == "busy" {
			in.Reply = quetzalwork.LoadReply{Load: quetzalwork.PoolLoad{Wanted: p.wanted, Usable: 32000, UsableHosts: 1}}
		}
		return in
	default:
		return nil
	}
}

// refusedWrite returns the input that reports that the store refused a write.
func refusedWrite(cmd quetzalwork.Command) quetzalwork.Input {
	switch c := cmd.(type) {
	case quetzalwork.RenewMember:
		return quetzalwork.MemberRenewed{Result: quetzalwork.StoreRefused, SentAt: c.SentAt}
	case quetzalwork.WriteDuty:
		return quetzalwork.DutyWritten{Result: quetzalwork.StoreRefused, Pool: c.Pool, Release: c.Release, SentAt: c.SentAt}
	case quetzalwork.RenewHostLease:
		return quetzalwork.HostLeaseRenewed{Result: quetzalwork.StoreRefused, Token: c.Token, SentAt: c.SentAt}
	default:
		return nil
	}
}

// carryOut carries out a write.
func (p *controllerPair) carryOut(cmd quetzalwork.Command) quetzalwork.Input {
	switch c := cmd.(type) {
	case quetzalwork.RenewMember:
		p.revision++
		p.members[c.Member.Entry] = versionedMember{c.Member, p.revision}
		return quetzalwork.MemberRenewed{SentAt: c.SentAt}
	case quetzalwork.WriteDuty:
		in := quetzalwork.DutyWritten{Result: quetzalwork.StoreConflict, Pool: c.Pool, Release: c.Release, SentAt: c.SentAt}
		if p.beforeTakeover != nil && !c.Release {
			p.beforeTakeover()
		}
		if c.Pool == quetzalwork.HostControlDuty && c.Expected == p.duty.Revision && (!c.CheckLease || c.ExpectedLease == p.lease) {
			p.revision++
			p.duty = c.Duty
			p.duty.Revision = p.revision
			if !c.Release {
				p.lease, p.renewedAt[quetzalunit.FencingToken(p.revision)] = p.revision, c.SentAt
			}
			in.Result, in.Revision = quetzalwork.StoreDone, p.revision
		}
		return in
	case quetzalwork.RenewHostLease:
		if quetzalunit.Revision(c.Token) != p.duty.Revision {
			return quetzalwork.HostLeaseRenewed{Result: quetzalwork.StoreConflict, Token: c.Token, SentAt: c.SentAt}
		}
		p.revision++
		p.lease, p.renewedAt[c.Token] = p.revision, max(p.renewedAt[c.Token], c.SentAt)
		return quetzalwork.HostLeaseRenewed{Token: c.Token, SentAt: c.SentAt}
	default:
		return nil
	}
}

// releaseWrites carries out the writes of an entry that wait in the store.
func (p *controllerPair) releaseWrites(e *pairEntry) {
	held := e.heldWrites
	e.heldWrites, e.write = nil, writeNormally
	for _, c := range held {
		e.inputs = append(e.inputs, p.carryOut(c))
	}
}

// read serves a read of the members and duties. A third entry dispatches the pools.
func (p *controllerPair) read(c quetzalwork.ReadMembers) quetzalwork.Input {
	in := quetzalwork.MembersRead{SentAt: c.SentAt, Full: true, SeenRevision: p.revision, HostLease: p.lease, Duties: make(map[quetzalunit.PoolID]quetzalwork.Duty)}
	for _, e := range p.entries {
		if m, ok := p.members[e.id]; ok {
			in.Members = append(in.Members, m.Member)
		}
	}
	in.Members = append(in.Members, quetzalwork.Member{Entry: "e9", Incarnation: 1, Address: "e9", Heartbeat: quetzalunit.Heartbeat(p.now), Stopping: true})
	for _, pool := range []quetzalunit.PoolID{"busy", "off"} {
		in.Duties[pool] = quetzalwork.Duty{Holder: "e9", Incarnation: 1, Address: "e9", Revision: 1}
	}
	if p.duty.Revision > 0 {
		in.Duties[quetzalwork.HostControlDuty] = p.duty
	}
	return in
}

// holder returns the entry that holds the duty according to the stored row.
func (p *controllerPair) holder() *pairEntry {
	i := slices.IndexFunc(p.entries, func(e *pairEntry) bool { return e.id == p.duty.Holder })
	if i < 0 {
		return nil
	}
	return p.entries[i]
}

// fenceViolations returns the orders that reached the host service after one with a higher token.
func (p *controllerPair) fenceViolations() []pairOrder {
	var late []pairOrder
	var highest quetzalunit.FencingToken
	for _, o := range p.orders {
		if o.token < highest {
			late = append(late, o)
		}
		highest = max(highest, o.token)
	}
	return late
}

// A renewal of the host controller waits in the store while a successor takes over, and is carried out
// just after the successor's read of the rows. It must not permit orders beside the successor's.
func TestRenewalCarriedOutAfterATakeoverPermitsNoOrders(t *testing.T) {
	for seed := range uint64(20) {
		p, old := newOrderingPair(t, seed)
		old.write = writeRefused
		p.run(2 * time.Second)
		old.write = writeHeld
		for p.holder() == old {
			p.run(20 * time.Millisecond)
		}
		p.run(20 * time.Millisecond)
		old.readsFail = true
		p.releaseWrites(old)
		p.run(100 * time.Millisecond)
		require.False(t, old.w.HostController.Held, "the conflict shows the takeover")
		old.readsFail = false
		p.run(6 * time.Second)
		require.Empty(t, p.fenceViolations(), "seed %d", seed)
		require.Empty(t, p.violations, "seed %d", seed)
		require.NotEqual(t, old.id, p.orders[len(p.orders)-1].holder, "the successor orders hosts")
	}
}

// A renewal of the host controller is carried out after the last read of a successor and just before
// its takeover. The takeover must fail: the successor would not wait for the end of what the renewal
// permits.
func TestTakeoverFailsAfterARenewalThatNoReadHasShown(t *testing.T) {
	for seed := range uint64(20) {
		p, old := newOrderingPair(t, seed)
		old.write = writeRefused
		p.run(2 * time.Second)
		old.write = writeHeld
		takeovers := 0
		p.beforeTakeover = func() {
			if takeovers++; takeovers == 1 {
				p.releaseWrites(old)
			}
		}
		p.run(5 * time.Second)
		require.Positive(t, takeovers, "seed %d", seed)
		require.Empty(t, p.fenceViolations(), "seed %d", seed)
		require.Empty(t, p.violations, "seed %d", seed)
		require.Equal(t, old, p.holder(), "seed %d", seed)
	}
}

// The process of the host controller is paused while the answer to a renewal is on its way, and a
// successor takes over. On waking it must not order hosts on the strength of that answer.
func TestPausedHostControllerOrdersNothingOnWaking(t *testing.T) {
	for seed := range uint64(20) {
		p, old := newOrderingPair(t, seed)
		old.write = writeHeld
		p.run(time.Second)
		old.paused = true
		p.releaseWrites(old)
		p.run(5 * time.Second)
		require.NotEqual(t, old, p.holder(), "seed %d", seed)
		old.paused, old.readsFail, old.write = false, true, writeHeld
		p.run(3 * time.Second)
		require.Empty(t, p.fenceViolations(), "seed %d", seed)
		require.Empty(t, p.violations, "seed %d", seed)
	}
}

// The host controller can renew nothing, and no other entry can take over. It must stop ordering hosts
// by itself, and go on once it can renew its lease.
func TestHostControllerThatCannotRenewStopsOrdering(t *testing.T) {
	for seed := range uint64(20) {
		p, old := newOrderingPair(t, seed)
		for _, e := range p.entries {
			e.write = writeRefused
		}
		p.run(1600 * time.Millisecond)
		before := len(p.orders)
		p.run(5 * time.Second)
		require.Len(t, p.orders, before, "seed %d", seed)
		require.Empty(t, p.violations, "seed %d", seed)
		old.write = writeNormally
		p.run(2 * time.Second)
		require.Greater(t, len(p.orders), before, "seed %d", seed)
	}
}

// The store refuses the renewals of the host controller's member row, and carries out those of its
// lease. No other entry must try to take the duty over.
func TestHostControllerThatRenewsItsLeaseStaysTheHolder(t *testing.T) {
	for seed := range uint64(20) {
		p, old := newOrderingPair(t, seed)
		old.write = memberRefused
		p.beforeTakeover = func() { t.Error("another entry tries to take over", seed) }
		p.run(6 * time.Second)
		require.Equal(t, old.id, p.orders[len(p.orders)-1].holder)
		require.Greater(t, p.orders[len(p.orders)-1].at, p.now.Add(-time.Second))
	}
}

// The answer to a renewal of an earlier term arrives after the entry has taken the duty over again. It
// says nothing about the present term.
func TestRenewalOfAnEarlierTermIsIgnored(t *testing.T) {
	p := newControllerPair(1)
	p.run(4 * time.Second)
	e := p.holder()
	require.NotNil(t, e)
	c := &e.w.HostController
	p.tick(e, quetzalwork.HostLeaseRenewed{Result: quetzalwork.StoreConflict, Token: c.Token - 1, SentAt: p.now})
	require.True(t, c.Held)
	before := c.Lease.RenewalSentAt
	p.tick(e, quetzalwork.HostLeaseRenewed{Token: c.Token - 1, SentAt: p.now})
	require.Equal(t, before, c.Lease.RenewalSentAt)
}
