package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalscheduler"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// The store turns the holder's writes away for a while, and then the other entry's reads, while the holder
// renews again. The other entry must not take over on its last read.
func TestHostControlIsNotTakenOverWhileReadsFail(t *testing.T) {
	for seed := range uint64(40) {
		p, old := newOrderingPair(t, seed)
		other := p.entries[0]
		if other == old {
			other = p.entries[1]
		}
		old.write = writeRefused
		p.run(1600 * time.Millisecond)
		old.write, other.readsFail = writeNormally, true
		p.run(1900 * time.Millisecond)
		require.Equal(t, old.id, p.holder().id, "seed %d", seed)
		other.readsFail = false
		p.run(4 * time.Second)
		require.Empty(t, p.fenceViolations(), "seed %d", seed)
	}
}

// The answer to a takeover is lost, a read shows it, and the store refuses the renewals of the lease. It
// is not known when the takeover was carried out, so it must not permit orders by itself.
func TestTakeoverShownByAReadPermitsNoOrders(t *testing.T) {
	c := &hostController{
		t: t, w: &quetzalwork.World{}, now: quetzalunit.InstantOf(time.Unix(1000, 0)), hosts: []quetzalwork.Host{upHost("s1", "off"), upHost("b1", "busy")},
		loads: map[quetzalunit.PoolID]quetzalwork.PoolLoad{"calm": {}, "busy": {Wanted: 3 * 32000, Usable: 32000, UsableHosts: 1}},
	}
	c.w.Self = quetzalwork.Identity{Entry: "e0", Incarnation: 1, PeerAddress: "e0"}
	c.w.Bounds = quetzalwork.Bounds{MaintenanceTime: 2 * time.Second, MoveTime: time.Second, OrderLease: time.Second}
	quetzalscheduler.Start(c.w, c.now)
	cfg := quetzalwork.FleetConfig{Version: 1, Pools: []quetzalwork.PoolSpec{{ID: "busy"}, {ID: "calm"}, {ID: "off", Spare: true}}}
	inputs := []quetzalwork.Input{quetzalwork.ConfigWatched{Config: &cfg, SeenRevision: 1}}
	for end := c.now.Add(3 * time.Second); c.now < end; c.now = c.now.Add(50 * time.Millisecond) {
		for {
			var next []quetzalwork.Input
			for _, cmd := range quetzalscheduler.Tick(c.w, c.now, inputs) {
				if r, ok := cmd.(quetzalwork.RenewHostLease); ok {
					next = append(next, quetzalwork.HostLeaseRenewed{Result: quetzalwork.StoreRefused, Token: r.Token, SentAt: r.SentAt})
					continue
				}
				next = append(next, c.perform(cmd)...)
			}
			if inputs = next; len(inputs) == 0 {
				break
			}
		}
	}
	require.True(t, c.w.HostController.Held)
	require.Empty(t, c.orders)
}
