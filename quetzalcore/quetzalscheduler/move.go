package quetzalscheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// This file moves hosts between pools. It is designed for queues whose peaks alternate: at its peak
// a queue needs several times its mean capacity, more than its pool has, while the other queues are
// nearly idle. A pool in need first gets idle hosts of other pools, except for those that these
// pools keep for their own next peak, and then hosts of the spare pools, which cost rent once moved.

const (
	// loadPeriod is the minimum time between two requests for the load of a pool.
	loadPeriod = 100 * time.Millisecond
	// maxLoadAge is the maximum age of a load that is used for decisions.
	maxLoadAge = time.Second
	// keptHostShare is the part of its fair share of the fleet's hosts that a pool keeps even while
	// idle. These hosts serve its next peak until others have arrived. The fair share is
	// proportional to the mean demand of the pool over demandTimeConstant.
	keptHostShare      = 0.4
	demandTimeConstant = 60 * time.Second
	// minKeptHosts is the minimum number of hosts that a pool keeps.
	minKeptHosts = 2
	// maxHostIdleTime is how long a host that its pool need not keep may be idle before it is
	// returned to the spare pool. The rent for this time is about the cost of moving it there and
	// back.
	maxHostIdleTime = 6 * time.Second
	// moveRetryDelay is the delay between two attempts to move a host, maxMoveAttempts the maximum
	// number of attempts.
	moveRetryDelay  = 250 * time.Millisecond
	maxMoveAttempts = 8
	// joinTimeout is how long after the platform's time for a move the host's new minion may take to
	// be reported as joined before the move is deleted.
	joinTimeout = 1500 * time.Millisecond
)

// requestLoads requests the loads of the pools from their dispatchers.
func requestLoads(w *quetzalwork.World) {
	for row, p := range w.Pools.All() {
		if p.Spare || p.LoadQueryInFlight || w.Now.Sub(p.LoadAt) < loadPeriod {
			continue
		}
		if p.Held && p.JobsLoaded {
			handleLoad(w, p.ID, quetzalwork.LoadReply{Load: computeLoad(w, row)})
		} else if !p.Held && p.Duty.Address != "" {
			p.LoadQueryInFlight = true
			w.Emit(quetzalwork.CallPeer{Address: p.Duty.Address, Message: quetzalwork.QueryLoad{Pool: p.ID}, Timeout: peerTimeout})
		}
	}
}

// handleLoad records the load of a pool, updates its mean demand, and ends the moves of hosts whose
// new minion has joined the pool.
func handleLoad(w *quetzalwork.World, id quetzalunit.PoolID, reply quetzalwork.PeerReply) {
	p := w.Pools.At(poolRow(w, id))
	p.LoadQueryInFlight = false
	r, ok := reply.(quetzalwork.LoadReply)
	if !ok {
		return
	}
	if p.LoadAt == 0 {
		// Without a history of its demand, the pool's present size is the best estimate.
		p.MeanWanted = float64(r.Load.Usable)
	} else {
		weight := math.Exp(-float64(w.Now.Sub(p.LoadAt)) / float64(demandTimeConstant))
		p.MeanWanted = weight*p.MeanWanted + (1-weight)*float64(r.Load.Wanted)
	}
	p.Load, p.LoadAt = r.Load, w.Now
	for _, host := range r.Load.JoinedHosts {
		if row := w.MoveByHost.Get(host); row != 0 && w.Moves.At(row).Accepted && w.Moves.At(row).To == id {
			endMove(w, row)
		}
	}
}

// balanceHosts moves hosts to the pools with waiting work, and idle ones back to a spare pool.
func balanceHosts(w *quetzalwork.World, plan *hostPlan) {
	if !mayOrder(w) {
		return
	}
	pools := loadedPools(w)
	for _, p := range pools {
		moveLabeledHosts(w, plan, p, pools)
		for plan.missingCapacity(p) > 0 {
			host, from := plan.findHostFor(w, p, pools, "")
			if host == "" {
				logShortage(w, plan, p)
				break
			}
			beginMove(w, plan, host, from, p.ID, "Demand")
		}
	}
	returnIdle(w, plan, pools)
}

// moveLabeledHosts moves a host to a pool for each required label that too few of the pool's
// minions have, unless a host with the label is already moving to the pool.
func moveLabeledHosts(w *quetzalwork.World, plan *hostPlan, p *quetzalwork.Pool, pools []*quetzalwork.Pool) {
	for _, label := range p.Load.MissingLabels {
		arriving := false
		for _, m := range w.Moves.All() {
			h := w.Hosts.At(w.HostByID.Get(m.Host))
			arriving = arriving || m.To == p.ID && h != nil && slices.Contains(h.Labels, label)
		}
		if arriving {
			continue
		}
		if host, from := plan.findHostFor(w, p, pools, label); host != "" {
			beginMove(w, plan, host, from, p.ID, "Label")
		}
	}
}

// logShortage logs that no host can be moved to a pool that needs one.
func logShortage(w *quetzalwork.World, plan *hostPlan, p *quetzalwork.Pool) {
	missing := (plan.missingCapacity(p) + plan.size - 1) / plan.size
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartHost, Message: "No host is available for the pool.", Pool: p.ID, Version: int64(missing), Age: w.Now.Sub(p.LoadAt),
		Reason: fmt.Sprintf("Wanted%dUsable%dHosts%d", p.Load.Wanted, p.Load.Usable, p.Load.UsableHosts), Routine: true,
	})
}

// loadedPools returns the pools with a recent load, sorted by the capacity that they lack, largest
// first.
func loadedPools(w *quetzalwork.World) []*quetzalwork.Pool {
	var pools []*quetzalwork.Pool
	for _, p := range w.Pools.All() {
		if !p.Spare && p.LoadAt != 0 && w.Now.Sub(p.LoadAt) < maxLoadAge {
			pools = append(pools, p)
		}
	}
	slices.SortStableFunc(pools, func(a, b *quetzalwork.Pool) int {
		return int((b.Load.Wanted - b.Load.Usable) - (a.Load.Wanted - a.Load.Usable))
	})
	return pools
}

// allLoadsKnown reports whether the loads of all pools are recent. A pool whose dispatcher was lost may have a
// backlog that its successor has not reported yet, in an outage for which the hosts of the others were idle.
func allLoadsKnown(w *quetzalwork.World) bool {
	for _, p := range w.Pools.All() {
		if p.Configured && !p.Spare && (p.LoadAt == 0 || w.Now.Sub(p.LoadAt) >= maxLoadAge) {
			return false
		}
	}
	return true
}

// returnIdle moves hosts that have been idle for maxHostIdleTime to a spare pool, unless the load
// of a pool is not known: that pool may need them.
func returnIdle(w *quetzalwork.World, plan *hostPlan, pools []*quetzalwork.Pool) {
	if !allLoadsKnown(w) {
		return
	}
	var spare quetzalunit.PoolID
	for _, p := range w.Pools.All() {
		if p.Spare {
			spare = p.ID
		}
	}
	if spare == "" {
		return
	}
	for _, p := range pools {
		for _, idle := range p.Load.MovableHosts {
			if idle.IdleFor < maxHostIdleTime || plan.needsAllHosts(p) {
				break
			}
			if plan.isMovable(w, idle.Host, p.ID) {
				beginMove(w, plan, idle.Host, p.ID, spare, "Idle")
			}
		}
	}
}

// beginMove adds a move to the table of moves and starts it.
func beginMove(w *quetzalwork.World, plan *hostPlan, host quetzalunit.HostID, from, to quetzalunit.PoolID, reason string) {
	row := w.Moves.Insert(quetzalwork.HostMove{Host: host, From: from, To: to, Minion: minionOf(w, host), Incarnation: incarnationOf(w, minionOf(w, host)), Since: w.Now})
	w.MoveByHost.Put(host, row)
	plan.arriving[to] += plan.capacityOf(w, host)
	plan.leaving[from]++
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartHost, Message: "The host is being moved to another pool.", Host: host, Pool: to, Version: int64(w.HostController.Token), Reason: reason})
	advanceMove(w, row)
}

// minionOf returns the minion of a host according to the list of hosts.
func minionOf(w *quetzalwork.World, host quetzalunit.HostID) quetzalunit.MinionID {
	if h := w.Hosts.At(w.HostByID.Get(host)); h != nil {
		return h.Minion
	}
	return ""
}

func endMove(w *quetzalwork.World, row quetzalwork.Row) {
	w.MoveByHost.Delete(w.Moves.At(row).Host)
	w.Moves.Delete(row)
}

// advanceMoves advances all moves.
func advanceMoves(w *quetzalwork.World) {
	for row := range w.Moves.All() {
		advanceMove(w, row)
	}
}

// advanceMove advances a move: the host is evacuated, then the order is sent, and then the move is
// kept until the new minion has joined or the time for that has passed. Hosts of a spare pool run
// nothing and need no evacuation.
func advanceMove(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Moves.At(row)
	switch {
	case m.Accepted:
		if w.Now.Sub(m.Since) > w.Bounds.MoveTime+joinTimeout {
			endMove(w, row)
		}
	case m.RequestInFlight || w.Now < m.RetryAt:
	case m.Attempts >= maxMoveAttempts:
		endMove(w, row)
	case m.Ordered || w.Pools.At(poolRow(w, m.From)).Spare:
		orderMove(w, row)
	default:
		m.Attempts++
		m.RetryAt = w.Now.Add(moveRetryDelay)
		requestMoveEvacuation(w, row)
	}
}

// requestMoveEvacuation requests the evacuation of a host from the dispatcher of its present pool.
func requestMoveEvacuation(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Moves.At(row)
	p := w.Pools.At(poolRow(w, m.From))
	request := quetzalwork.EvacuateHost{Pool: m.From, Host: m.Host}
	if p.Held {
		handleMoveEvacuation(w, &request, evacuateHost(w, &request))
		return
	}
	if p.Duty.Address != "" {
		m.RequestInFlight = true
		w.Emit(quetzalwork.CallPeer{Address: p.Duty.Address, Message: request, Timeout: peerTimeout})
	}
}

// handleMoveEvacuation applies the dispatcher's reply to a request to evacuate a host for a move.
func handleMoveEvacuation(w *quetzalwork.World, request *quetzalwork.EvacuateHost, reply quetzalwork.PeerReply) {
	row := w.MoveByHost.Get(request.Host)
	m := w.Moves.At(row)
	if m == nil || m.Ordered || request.Wave != "" {
		return
	}
	m.RequestInFlight = false
	if r, ok := reply.(quetzalwork.EvacuationReply); ok && r.Empty {
		m.Attempts = 0
		orderMove(w, row)
	}
}

// orderMove orders the host of a move to its new pool, if this process may order it.
func orderMove(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Moves.At(row)
	if !mayOrderHost(w, m.Host) {
		return
	}
	m.Ordered, m.RequestInFlight = true, true
	m.Attempts++
	orderHost(w, quetzalwork.OrderHost{Order: quetzalwork.HostOrderMove, Host: m.Host, Pool: m.To})
}

// handleMoveResult applies the result of an order to move a host.
func handleMoveResult(w *quetzalwork.World, in *quetzalwork.HostOrderAnswered) {
	row := w.MoveByHost.Get(in.Host)
	m := w.Moves.At(row)
	if m == nil || !m.Ordered {
		return
	}
	m.RequestInFlight = false
	m.RetryAt = w.Now.Add(moveRetryDelay)
	switch in.Result {
	case quetzalwork.HostResultAccepted:
		m.Accepted, m.Since = true, w.Now
		if p := w.Pools.At(poolRow(w, m.From)); p.Held {
			endRunsOnHost(w, m.From, m.Host, ownOrderProof(w))
		} else if p.Duty.Address != "" {
			tellWithdrawn(w, p, &quetzalwork.NotifyHostWithdrawn{Pool: m.From, Host: m.Host, Minion: m.Minion, Incarnation: m.Incarnation})
		}
	case quetzalwork.HostResultFenced:
		endHostControl(w, "Fenced")
	case quetzalwork.HostResultUnanswered:
		// The order is sent again. It is idempotent: it has no effect if it was carried out.
	case quetzalwork.HostResultBusy, quetzalwork.HostResultInvalid, quetzalwork.HostResultRefused, quetzalwork.HostResultExpired:
		endMove(w, row)
	}
}
