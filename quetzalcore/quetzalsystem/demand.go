package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// moveCost is the slot time that a move costs: the host's slots while it drains.
	moveCost = time.Duration(quetzalunit.SlotsPerMinion) * 5 * time.Second
	// returnAfter is how long a lent host must be surplus before it goes home.
	returnAfter = 20 * time.Second
	// busyShare is the load above which a pool keeps its lent hosts.
	busyShare quetzalunit.Percent = 75
)

// followDemand lends spare hosts to pools with a backlog and returns them
// afterwards, as each pool's move policy says.
func followDemand(w *quetzalfleet.World) {
	for row, p := range w.Pools.All() {
		if p.Spare {
			continue
		}
		demand := zoneDemand(w, p)
		accountBacklog(w, p, demand)
		if wantsHost(w, row, demand) {
			if spare := lendable(w, p.ID); spare != 0 {
				lend(w, spare, p.ID, "its backlog is worth a move")
				p.Backlog.Paid = 0
			}
			continue
		}
		returnSurplus(w, row, demand)
	}
}

// zoneDemand returns the requests that wait or run for a pool at all entries of the zone.
func zoneDemand(w *quetzalfleet.World, p *quetzalfleet.Pool) quetzalunit.Requests {
	own := ownLoad(w, p)
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

func zoneSlots(w *quetzalfleet.World, p *quetzalfleet.Pool) quetzalunit.Requests {
	n, _ := availableHosts(w, p, 0)
	return quetzalunit.Requests(n) * quetzalunit.Requests(quetzalunit.SlotsPerMinion)
}

// accountBacklog adds the waiting time since the last plan, and forgets it once
// the backlog is gone.
func accountBacklog(w *quetzalfleet.World, p *quetzalfleet.Pool, demand quetzalunit.Requests) {
	b := &p.Backlog
	excess := demand - zoneSlots(w, p)
	if excess <= 0 {
		b.Paid = 0
	} else if b.UpdatedAt > 0 {
		b.Paid += time.Duration(excess) * w.Now.Sub(b.UpdatedAt)
	}
	b.UpdatedAt = w.Now
}

func wantsHost(w *quetzalfleet.World, row quetzalfleet.Row, demand quetzalunit.Requests) bool {
	p := w.Pools.At(row)
	if arriving(w, p.ID) > 0 {
		return false
	}
	switch settingsOf(w, row).Move.(type) {
	case quetzalfleet.ReactiveMoves:
		return demand > zoneSlots(w, p)
	case quetzalfleet.SkiRentalMoves:
		return p.Backlog.Paid > moveCost
	case quetzalfleet.FixedBuffer:
	}
	return false
}

// returnSurplus sends a lent host home when the pool does without it.
func returnSurplus(w *quetzalfleet.World, row quetzalfleet.Row, demand quetzalunit.Requests) {
	p := w.Pools.At(row)
	lent := lentHost(w, p)
	if lent == 0 || waveNeeds(w, p.ID) || !mayTake(w, lent) {
		p.Backlog.IdleSince = 0
		return
	}
	rest := zoneSlots(w, p) - quetzalunit.Requests(quetzalunit.SlotsPerMinion)
	if int64(demand) > busyShare.Of(int64(rest)) {
		p.Backlog.IdleSince = 0
		return
	}
	if p.Backlog.IdleSince == 0 {
		p.Backlog.IdleSince = w.Now
	}
	if w.Now.Sub(p.Backlog.IdleSince) < holdTime(w, row) {
		return
	}
	p.Backlog.IdleSince = 0
	startMove(w, lent, w.Hosts.At(lent).HomePool, "", "the pool does without it")
}

// holdTime returns how long a surplus host is kept before it goes home. During a
// wave other pools wait for it.
func holdTime(w *quetzalfleet.World, row quetzalfleet.Row) time.Duration {
	if _, ok := settingsOf(w, row).Move.(quetzalfleet.SkiRentalMoves); ok && !wavesRun(w) {
		return returnAfter
	}
	return 0
}

func lentHost(w *quetzalfleet.World, p *quetzalfleet.Pool) quetzalfleet.Row {
	for _, row := range p.Hosts {
		h := w.Hosts.At(row)
		if h.HomePool != "" && h.HomePool != p.ID && h.State == quetzalfleet.HostServing {
			return row
		}
	}
	return 0
}
