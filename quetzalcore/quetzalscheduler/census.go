package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// census.go finds out after a takeover whether minions are alive that this process does not know,
// for example since they lost the store and left its list before this process started. They may run
// tasks until their leases end. The platform's list of hosts names the minion of each host, whether
// or not it reaches the store: if this process knows all of them, there is nothing to wait for.

const (
	// censusRetryDelay is the delay before another read of the hosts after one that failed.
	censusRetryDelay = 200 * time.Millisecond
	// censusPatience is how long a process that has known the list of minions for long waits for a census.
	censusPatience = time.Second
)

// requestCensus reads the list of hosts for a pool that this process has taken over, unless such a
// read is in flight.
func requestCensus(w *quetzalwork.World, p *quetzalwork.Pool) {
	c := &w.Census
	if c.InFlight || c.ReadSentAt > p.HeldSince || w.Now < c.RetryAt || w.Now <= p.HeldSince {
		return
	}
	c.InFlight = true
	w.Emit(quetzalwork.ReadCensus{SentAt: w.Now})
}

// handleCensus records which minions the hosts have that this process does not know. Nothing runs
// on a host that moves or is in maintenance.
func handleCensus(w *quetzalwork.World, in *quetzalwork.CensusRead) {
	c := &w.Census
	c.InFlight = false
	if in.OK {
		c.ReadSentAt, c.AnsweredAt = in.SentAt, w.Now
		c.Unseen = make(map[quetzalunit.PoolID][]quetzalunit.MinionID)
		for i := range in.Hosts {
			h := &in.Hosts[i]
			if h.Minion != "" && h.State != quetzalwork.HostMoving && h.State != quetzalwork.HostInMaintenance && w.MinionByID.Get(h.Minion) == 0 {
				c.Unseen[h.Pool] = append(c.Unseen[h.Pool], h.Minion)
			}
		}
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
		c.Unseen[p.ID] = slices.DeleteFunc(unseen, func(id quetzalunit.MinionID) bool { return w.MinionByID.Get(id) != 0 })
	}
	return len(c.Unseen[p.ID]) == 0
}
