package quetzalsystem

import (
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// available reports whether a host counts towards its pool's availability budget. A
// host with a change in flight does not count, nor does one with a change that had no
// answer and may still be committed.
func available(w *quetzalfleet.World, h *quetzalfleet.Host) bool {
	return acceptsWork(w, h) && h.ChangeCall == 0 && !h.ChangeInDoubt
}

// availableHosts returns the number of available hosts that a pool has in the zone,
// and the number in the rack that has most of them. One host, or none if the row is
// zero, is left out.
func availableHosts(w *quetzalfleet.World, p *quetzalfleet.Pool, excluded quetzalfleet.Row) (n, worstRack quetzalunit.Hosts) {
	racks := make(map[quetzalunit.RackID]quetzalunit.Hosts)
	for _, row := range p.Hosts {
		h := w.Hosts.At(row)
		if row == excluded || !available(w, h) {
			continue
		}
		n++
		racks[h.Rack]++
		worstRack = max(worstRack, racks[h.Rack])
	}
	return n, worstRack
}

// minHosts returns the zone's escrow share of a pool's budget: the number of available
// hosts that the zone must keep on its own.
func minHosts(w *quetzalfleet.World, p *quetzalfleet.Pool) quetzalunit.Hosts {
	for _, b := range p.Budgets {
		if b.Zone == w.Self.Zone {
			return b.MinHosts
		}
	}
	return 0
}

// headroom returns how many more hosts a pool has available than its budget requires,
// once one host, or none if the row is zero, has been removed. With SurviveRackLoss the
// rack with the most available hosts does not count. A negative number means that the
// budget would not be met.
func headroom(w *quetzalfleet.World, pool, excluded quetzalfleet.Row) quetzalunit.Hosts {
	p := w.Pools.At(pool)
	n, worstRack := availableHosts(w, p, excluded)
	if settingsOf(w, pool).SurviveRackLoss {
		n -= worstRack
	}
	return n - minHosts(w, p)
}

// mayDrain reports whether the budget allows a host to be taken out of service. This
// also applies to a host that does not count as available: the platform's list lags,
// and the host may already be serving.
func mayDrain(w *quetzalfleet.World, row quetzalfleet.Row) bool {
	h := w.Hosts.At(row)
	if h.State != quetzalfleet.HostServing || h.ChangeCall != 0 || h.ChangeInDoubt {
		return false
	}
	if w.Pools.At(h.PoolRow) == nil {
		return false
	}
	return headroom(w, h.PoolRow, row) >= 0
}
