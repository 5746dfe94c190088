package quetzalscheduler

import (
	"fmt"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// census.go finds out after a takeover whether minions are alive that this process does not know,
// for example since they lost the store and left its list before this process started. They may run
// tasks until their leases end. The platform's list of hosts names the minion of each host, whether
// or not it reaches the store: if this process knows all of them, there is nothing to wait for. The same
// list shows that a minion which is known, but does not answer, has ended.

// censusRetryDelay is the delay before another read of the hosts after one that failed.
const censusRetryDelay = 200 * time.Millisecond

// requestCensus reads the list of hosts unless it has been read since an instant or a read is in flight.
func requestCensus(w *quetzalwork.World, since quetzalunit.Instant) {
	c := &w.Census
	if c.InFlight || c.ReadSentAt > since || w.Now < c.RetryAt || w.Now <= since {
		return
	}
	c.InFlight = true
	w.Emit(quetzalwork.ReadCensus{SentAt: w.Now})
}

// handleCensus records which minions the hosts have that this process does not know, and which of those that it
// knows have ended.
func handleCensus(w *quetzalwork.World, in *quetzalwork.CensusRead) {
	c := &w.Census
	c.InFlight = false
	if in.OK {
		c.ReadSentAt, c.AnsweredAt = in.SentAt, w.Now
		c.Unseen = make(map[quetzalunit.PoolID][]quetzalunit.MinionID)
		for i := range in.Hosts {
			h := &in.Hosts[i]
			if h.Minion != "" && h.State != quetzalwork.HostMoving && h.State != quetzalwork.HostInMaintenance && !knowsMinion(w, h.Pool, h.Minion) {
				c.Unseen[h.Pool] = append(c.Unseen[h.Pool], h.Minion)
			}
		}
		recordEndedMinions(w, in)
	} else {
		c.RetryAt = w.Now.Add(censusRetryDelay)
	}
	for row, p := range w.Pools.All() {
		if !p.Held || p.PredecessorWorkKnown {
			continue
		}
		p.NeedsPlacement = true
		schedulePlacement(w, row, max(c.RetryAt, w.Now.Add(time.Millisecond)))
		if in.OK {
			w.Log(quetzalwork.Decision{
				Part: quetzalwork.PartDuty, Message: "Read which minions the hosts have.", Pool: p.ID, Version: int64(len(c.Unseen[p.ID])), Age: w.Now.Sub(in.SentAt),
			})
		}
	}
}

// recordEndedMinions records which minions that have not answered since the takeover of their pool had ended. A
// host has one minion at a time, and nothing runs on one that moves, is in maintenance or is down. A host that is
// not in the list shows nothing: the list is read page by page.
func recordEndedMinions(w *quetzalwork.World, in *quetzalwork.CensusRead) {
	hosts := make(map[quetzalunit.HostID]*quetzalwork.Host, len(in.Hosts))
	for i := range in.Hosts {
		hosts[in.Hosts[i].ID] = &in.Hosts[i]
	}
	for _, m := range w.Minions.All() {
		h := hosts[m.Host]
		if p := w.Pools.At(m.PoolRow); h == nil || !p.Held || p.PredecessorWorkKnown || in.SentAt <= p.HeldSince || m.Answered || m.HostSeen.Replaced {
			continue
		}
		// A minion that was not known when the read was sent may be later than the one that the read shows.
		replaced := h.Minion != "" && h.Minion != m.ID && m.FirstSeenAt < in.SentAt && !precedes(w, h.Minion, m)
		idle := h.State == quetzalwork.HostMoving || h.State == quetzalwork.HostInMaintenance || h.State == quetzalwork.HostDown
		if !replaced && !idle {
			continue
		}
		m.HostSeen = quetzalwork.HostSighting{SentAt: in.SentAt, AnsweredAt: w.Now, Replaced: replaced, By: h.Minion}
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartMinion, Message: "The hosts show that a silent minion has ended.", Minion: m.ID, Pool: m.Pool, Host: m.Host,
			Age: w.Now.Sub(in.SentAt), Reason: fmt.Sprintf("State%dReplaced%t", h.State, replaced),
		})
	}
}

// precedes reports whether another minion is known to have run on a minion's host before it.
func precedes(w *quetzalwork.World, id quetzalunit.MinionID, m *quetzalwork.Minion) bool {
	other := w.Minions.At(w.MinionByID.Get(id))
	return other != nil && other.Host == m.Host && other.Incarnation < m.Incarnation
}

// grantsEnd returns the instant after which no earlier dispatcher of a pool grants leases any more.
func grantsEnd(p *quetzalwork.Pool) quetzalunit.Instant {
	return max(p.HeldSince, max(p.PredecessorLeasesEnd, p.EarlierLeasesEnd).Add(-leaseExpiryTime))
}

// silentLeaseEnd returns the instant after which nothing of earlier dispatchers runs on a minion that has not
// answered: their leases have ended, or the hosts show that the minion has. If it may start again under its id, an
// earlier dispatcher could use it anew, so that the hosts count only once none of them grants leases.
func silentLeaseEnd(w *quetzalwork.World, p *quetzalwork.Pool, m *quetzalwork.Minion) quetzalunit.Instant {
	end, _ := silentLeaseProof(w, p, m)
	return end
}

// silentLeaseProof is silentLeaseEnd with what shows it.
func silentLeaseProof(w *quetzalwork.World, p *quetzalwork.Pool, m *quetzalwork.Minion) (quetzalunit.Instant, quetzalwork.Proof) {
	end, proof := earlierLeaseEnd(w, p, m)
	switch seen := &m.HostSeen; {
	case !seen.Replaced && seen.SentAt <= grantsEnd(p) || seen.AnsweredAt > end:
		return end, proof
	case seen.Replaced:
		return seen.AnsweredAt, quetzalwork.Proof{Kind: quetzalwork.ProofHostMinion, Minion: seen.By, Age: w.Now.Sub(seen.SentAt)}
	default:
		return seen.AnsweredAt, quetzalwork.Proof{Kind: quetzalwork.ProofHostIdle, Age: w.Now.Sub(seen.SentAt)}
	}
}

// requestSilentCensus reads the hosts for the minions of a pool that do not answer: once, and once more if nothing
// ran on the host of one while earlier dispatchers could still grant leases.
func requestSilentCensus(w *quetzalwork.World, row quetzalwork.Row) {
	p := w.Pools.At(row)
	for _, minion := range p.Minions {
		m := w.Minions.At(minion)
		if m.Answered || m.MissedAnswers == 0 || m.Replaced || silentLeaseEnd(w, p, m) < w.Now {
			continue
		}
		requestCensus(w, p.HeldSince)
		if again := grantsEnd(p).Add(time.Millisecond); m.HostSeen.SentAt != 0 && w.Now >= again {
			requestCensus(w, grantsEnd(p))
		} else if m.HostSeen.SentAt != 0 {
			schedulePlacement(w, row, again)
		}
	}
}

// censusTaken reports whether the hosts have been read since a pool was taken over.
func censusTaken(w *quetzalwork.World, p *quetzalwork.Pool) bool {
	return w.Census.ReadSentAt > p.HeldSince
}

// allMinionsKnown reports whether this process knows the minions of all hosts of a pool that were
// alive after it took the pool over. Of minions that joined later it knows from the list, which it
// has read continuously since.
func allMinionsKnown(w *quetzalwork.World, p *quetzalwork.Pool) bool {
	c := &w.Census
	if !censusTaken(w, p) || w.MinionList.AnsweredAt < p.HeldSince {
		return false
	}
	if unseen := c.Unseen[p.ID]; len(unseen) > 0 {
		c.Unseen[p.ID] = slices.DeleteFunc(unseen, func(id quetzalunit.MinionID) bool { return knowsMinion(w, p.ID, id) })
	}
	return len(c.Unseen[p.ID]) == 0
}

// knowsMinion reports whether this process knows a minion as one of a pool. Another writer may have written over its record.
func knowsMinion(w *quetzalwork.World, pool quetzalunit.PoolID, id quetzalunit.MinionID) bool {
	m := w.Minions.At(w.MinionByID.Get(id))
	return m != nil && m.Pool == pool
}
