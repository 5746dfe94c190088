package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// moveOverhead is the duration of a move without the time that the host drains.
	moveOverhead = time.Second
	// surplusHold is how long a pool must have had a surplus before it returns a lent
	// host under SkiRentalMoves, unless a wave is running.
	surplusHold = 20 * time.Second
	// maxSurplusLoad is the load, with one host less, above which a pool keeps its lent
	// hosts.
	maxSurplusLoad quetzalunit.Percent = 75
)

// moveHostsForDemand lends hosts to pools with a backlog and returns lent hosts that are
// surplus, according to each pool's move policy.
func moveHostsForDemand(w *quetzalfleet.World) {
	for row, p := range w.Pools.All() {
		if p.Spare {
			continue
		}
		demand := zoneDemand(w, p)
		updateBacklog(w, p, demand)
		if n := wantedHosts(w, row, demand); n > 0 {
			lendForDemand(w, row, n)
			continue
		}
		returnSurplus(w, row, demand)
	}
}

// lendForDemand lends up to n hosts to a pool: spare hosts first, then hosts lent to
// pools that have a surplus.
func lendForDemand(w *quetzalfleet.World, row quetzalfleet.Row, n quetzalunit.Requests) {
	p := w.Pools.At(row)
	for range n {
		donor := findSpareHost(w, p.ID)
		if donor == 0 {
			donor = surplusHost(w, row)
		}
		if donor == 0 {
			return
		}
		home := w.Hosts.At(donor).HomePool
		if home == "" {
			home = w.Hosts.At(donor).Pool
		}
		startMove(w, donor, p.ID, home, "the receiving pool's backlog justifies the move")
		p.Backlog.AccruedWait = max(0, p.Backlog.AccruedWait-moveCost(w, p))
	}
}

// moveCost returns the cost of a move to a pool in slot time: the time for which the
// host's slots are out of service, including the drain.
func moveCost(w *quetzalfleet.World, p *quetzalfleet.Pool) time.Duration {
	drain := moveOverhead
	for _, row := range p.Queues {
		drain += w.Queues.At(row).MeanRunTime[quetzalfleet.ClassShort]
	}
	return time.Duration(quetzalunit.SlotsPerMinion) * drain
}

// surplusHost returns a lent host of another pool that has a surplus, or zero. Moving
// it directly saves one move compared with a return through the spare pool.
func surplusHost(w *quetzalfleet.World, receiver quetzalfleet.Row) quetzalfleet.Row {
	for row, p := range w.Pools.All() {
		if row == receiver || p.Spare {
			continue
		}
		lent := lentHost(w, p)
		if lent != 0 && !wavePendingInPool(w, p.ID) && mayDrain(w, lent) && isSurplus(w, p, zoneDemand(w, p)) {
			return lent
		}
	}
	return 0
}

// isSurplus reports whether a pool's load with one host less would be at most
// maxSurplusLoad.
func isSurplus(w *quetzalfleet.World, p *quetzalfleet.Pool, demand quetzalunit.Requests) bool {
	rest := zoneSlots(w, p) - quetzalunit.Requests(quetzalunit.SlotsPerMinion)
	return int64(demand) <= maxSurplusLoad.Of(int64(rest))
}

// zoneDemand returns the number of requests queued or running for a pool at all
// entries of the zone, as known from gossip.
func zoneDemand(w *quetzalfleet.World, p *quetzalfleet.Pool) quetzalunit.Requests {
	own := localLoad(w, p)
	n := own.Queued + own.Running
	for _, peer := range w.Peers.All() {
		if peer.Zone != w.Self.Zone {
			continue
		}
		for _, l := range peer.Loads {
			if l.Pool == p.ID {
				n += l.Queued + l.Running
			}
		}
	}
	return n
}

// zoneSlots returns the slots of a pool's available hosts in the zone.
func zoneSlots(w *quetzalfleet.World, p *quetzalfleet.Pool) quetzalunit.Requests {
	n, _ := availableHosts(w, p, 0)
	return quetzalunit.Requests(n) * quetzalunit.Requests(quetzalunit.SlotsPerMinion)
}

// updateBacklog adds to a pool's AccruedWait the time since the last plan for each request
// beyond the pool's slots, and resets it when there is no such request.
func updateBacklog(w *quetzalfleet.World, p *quetzalfleet.Pool, demand quetzalunit.Requests) {
	b := &p.Backlog
	excess := demand - zoneSlots(w, p)
	if excess <= 0 {
		b.AccruedWait = 0
	} else if b.UpdatedAt > 0 {
		b.AccruedWait += time.Duration(excess) * w.Now.Sub(b.UpdatedAt)
	}
	b.UpdatedAt = w.Now
}

// wantedHosts returns how many more hosts the move policy grants a pool for its demand.
func wantedHosts(w *quetzalfleet.World, row quetzalfleet.Row, demand quetzalunit.Requests) quetzalunit.Requests {
	p := w.Pools.At(row)
	perHost := quetzalunit.Requests(quetzalunit.SlotsPerMinion)
	excess := demand - zoneSlots(w, p) - quetzalunit.Requests(arrivingHosts(w, p.ID))*perHost
	if excess <= 0 {
		return 0
	}
	hosts := (excess + perHost - 1) / perHost
	switch settingsOf(w, row).Move.(type) {
	case quetzalfleet.ReactiveMoves:
		return hosts
	case quetzalfleet.SkiRentalMoves:
		return min(hosts, quetzalunit.Requests(p.Backlog.AccruedWait/moveCost(w, p)))
	case quetzalfleet.NoDemandMoves:
	}
	return 0
}

// returnSurplus returns a lent host to its home pool after the pool has had a surplus
// for requiredSurplusTime.
func returnSurplus(w *quetzalfleet.World, row quetzalfleet.Row, demand quetzalunit.Requests) {
	p := w.Pools.At(row)
	lent := lentHost(w, p)
	if lent == 0 || wavePendingInPool(w, p.ID) || !mayDrain(w, lent) {
		p.Backlog.SurplusSince = 0
		return
	}
	if !isSurplus(w, p, demand) {
		p.Backlog.SurplusSince = 0
		return
	}
	if p.Backlog.SurplusSince == 0 {
		p.Backlog.SurplusSince = w.Now
	}
	if w.Now.Sub(p.Backlog.SurplusSince) < requiredSurplusTime(w, row) {
		return
	}
	p.Backlog.SurplusSince = 0
	startMove(w, lent, w.Hosts.At(lent).HomePool, "", "surplus in its pool")
}

// requiredSurplusTime returns how long a surplus must last before a lent host is
// returned. During a wave it is returned at once, because other pools may need a host.
func requiredSurplusTime(w *quetzalfleet.World, row quetzalfleet.Row) time.Duration {
	if _, ok := settingsOf(w, row).Move.(quetzalfleet.SkiRentalMoves); ok && !anyWaveRunning(w) {
		return surplusHold
	}
	return 0
}

// lentHost returns a serving host of a pool that another pool lent, or zero.
func lentHost(w *quetzalfleet.World, p *quetzalfleet.Pool) quetzalfleet.Row {
	for _, row := range p.Hosts {
		h := w.Hosts.At(row)
		if h.HomePool != "" && h.HomePool != p.ID && h.State == quetzalfleet.HostServing {
			return row
		}
	}
	return 0
}
