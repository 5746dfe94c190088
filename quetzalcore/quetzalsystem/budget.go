package quetzalsystem

import (
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// available tells whether a host counts towards its pool's availability budget.
// A host that is being taken out no longer counts, even before the platform
// has confirmed it, nor does one whose change may still take effect.
func available(w *quetzalfleet.World, h *quetzalfleet.Host) bool {
	return takesWork(w, h) && h.ChangeCall == 0 && !h.Doubt
}

// availableHosts counts the available hosts of a pool in the zone, and those in
// the rack with most of them.
func availableHosts(w *quetzalfleet.World, p *quetzalfleet.Pool, without quetzalfleet.Row) (n, worstRack quetzalunit.Hosts) {
	racks := make(map[quetzalunit.RackID]quetzalunit.Hosts)
	for _, row := range p.Hosts {
		h := w.Hosts.At(row)
		if row == without || !available(w, h) {
			continue
		}
		n++
		racks[h.Rack]++
		worstRack = max(worstRack, racks[h.Rack])
	}
	return n, worstRack
}

// minHosts returns the zone's escrow share of a pool's budget.
func minHosts(w *quetzalfleet.World, p *quetzalfleet.Pool) quetzalunit.Hosts {
	for _, b := range p.Budgets {
		if b.Zone == w.Self.Zone {
			return b.MinHosts
		}
	}
	return 0
}

// headroom returns the number of available hosts beyond a pool's budget, as it
// is after a host has been taken. It is negative when the budget would break.
func headroom(w *quetzalfleet.World, pool, without quetzalfleet.Row) quetzalunit.Hosts {
	p := w.Pools.At(pool)
	n, worstRack := availableHosts(w, p, without)
	if settingsOf(w, pool).SurviveRackLoss {
		n -= worstRack
	}
	return n - minHosts(w, p)
}

// mayTake tells whether a host may be taken from its pool within the budget. A
// host that does not seem available is no exception: the list lags, and it may
// serve already.
func mayTake(w *quetzalfleet.World, row quetzalfleet.Row) bool {
	h := w.Hosts.At(row)
	if h.State != quetzalfleet.HostServing || h.ChangeCall != 0 || h.Doubt {
		return false
	}
	if w.Pools.At(h.PoolRow) == nil {
		return false
	}
	return headroom(w, h.PoolRow, row) >= 0
}
