package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// maxForwarded is the maximum number of attempts in flight at one entry of another
	// zone.
	maxForwarded quetzalunit.Requests = 256
	// forwardRetryDelay is the mean delay before the next attempt to forward when no peer qualified.
	forwardRetryDelay = 200 * time.Millisecond
)

// anyHostAcceptsWork reports whether any of a pool's hosts in the zone accepts new work.
func anyHostAcceptsWork(w *quetzalfleet.World, p *quetzalfleet.Pool) bool {
	for _, row := range p.Hosts {
		if acceptsWork(w, w.Hosts.At(row)) {
			return true
		}
	}
	return false
}

// poolHasNoHost reports whether the pool of a known queue has no host in the zone.
func poolHasNoHost(w *quetzalfleet.World, q *quetzalfleet.Queue) bool {
	if q == nil {
		return false
	}
	p := w.Pools.At(q.Pool)
	return p == nil || len(p.Hosts) == 0
}

// forwardPool forwards the queued requests of a pool that has no usable host in the
// zone to entries of zones that have one.
func forwardPool(w *quetzalfleet.World, pool quetzalfleet.Row) {
	p := w.Pools.At(pool)
	var peers []quetzalfleet.Row
	for _, row := range p.Queues {
		for lane := range quetzalfleet.LaneCount {
			if len(w.Queues.At(row).Lanes[lane]) == 0 {
				continue
			}
			if peers == nil {
				peers = peersWithHosts(w, p.ID)
			}
			forwardLane(w, row, lane, peers)
		}
	}
}

// peersWithHosts returns the reachable entries of other zones in which a pool has
// hosts that accept work.
func peersWithHosts(w *quetzalfleet.World, pool quetzalunit.PoolID) []quetzalfleet.Row {
	zones := make(map[quetzalunit.ZoneID]bool)
	for _, h := range w.Hosts.All() {
		if h.Pool == pool && h.Zone != w.Self.Zone && acceptsWork(w, h) {
			zones[h.Zone] = true
		}
	}
	var peers []quetzalfleet.Row
	for row, p := range w.Peers.All() {
		if zones[p.Zone] && !p.Stopping && p.ListedState == quetzalfleet.ListedLive && w.Now.Sub(p.LastHeardAt) < unreachableAfter(w) {
			peers = append(peers, row)
		}
	}
	return peers
}

// forwardLane forwards the requests of one lane to random peers, taking the teams in
// turn. A request that was itself forwarded to this entry is refused instead, so that
// its entry can try another zone.
func forwardLane(w *quetzalfleet.World, queue quetzalfleet.Row, lane quetzalfleet.Lane, peers []quetzalfleet.Row) {
	q := w.Queues.At(queue)
	for n := len(q.Lanes[lane]); n > 0; n = len(q.Lanes[lane]) {
		fifoRow := q.Lanes[lane][0]
		row := w.TeamFIFOs.At(fifoRow).Head
		if r := w.Requests.At(row); r.Forwarded {
			finishRequest(w, row, unforwardableOutcome(r))
			continue
		}
		if len(peers) == 0 {
			scheduleForwardRetry(w, q.Pool)
			return
		}
		peer := peers[w.Rand().IntN(len(peers))]
		if w.Peers.At(peer).ForwardedInFlight >= maxForwarded {
			scheduleForwardRetry(w, q.Pool)
			return
		}
		if needsSentMark(w.Requests.At(row)) {
			if !writeSentMark(w, row) {
				return
			}
			continue
		}
		unlinkRequest(w, row)
		advanceRoundRobin(w, queue, fifoRow)
		forwardRequest(w, row, peer)
	}
}

// unforwardableOutcome returns the outcome of a forwarded request that no host of the zone can run.
func unforwardableOutcome(r *quetzalfleet.Request) quetzalfleet.Outcome {
	if r.MayHaveRun {
		return quetzalfleet.Unknown{Reason: quetzalfleet.ConnectionBroken}
	}
	return quetzalfleet.NotRun{Reason: quetzalfleet.NoHost, RetryAfter: refusedRetryAfter}
}

// scheduleForwardRetry schedules another dispatch of a pool, unless one is scheduled.
func scheduleForwardRetry(w *quetzalfleet.World, pool quetzalfleet.Row) {
	p := w.Pools.At(pool)
	if p.ForwardRetryScheduled {
		return
	}
	p.ForwardRetryScheduled = true
	w.After(w.Jitter(forwardRetryDelay), quetzalfleet.PoolDispatchDue{Pool: pool})
}

// forwardRequest sends a request to an entry of another zone.
func forwardRequest(w *quetzalfleet.World, row, peer quetzalfleet.Row) {
	r, p := w.Requests.At(row), w.Peers.At(peer)
	attempt := beginAttempt(w, row, quetzalfleet.Attempt{Peer: peer})
	p.ForwardedInFlight++
	w.Emit(quetzalfleet.ForwardAttempt{
		Attempt: attempt, Address: p.Address, ID: r.ID, Queue: w.Queues.At(r.Queue).ID, Team: w.Teams.At(r.Team).ID,
		Class: r.Class, Urgent: r.Urgent, Idempotent: r.Idempotent, Work: r.Work, Timeout: r.Deadline.Sub(w.Now),
	})
}
