package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// hostControlPeriod is the time between two passes over the waves and moves.
	hostControlPeriod = 120 * time.Millisecond
	// hostListPeriod is the time between two reads of the list of hosts.
	hostListPeriod = 600 * time.Millisecond
	// cordonTime is how long a minion stays cordoned after a request to evacuate its host.
	cordonTime = 2500 * time.Millisecond
)

// beginHostControl makes this process the host controller, which gives orders to hosts. It gives none
// before predecessorOrdersEnd, and for OrderLease none to the hosts that a predecessor ordered shortly
// before it released the duty: orders of two holders within that time conflict. takeoverSentAt is when
// the takeover was sent, which counts as the first renewal of the lease; zero if that is not known.
func beginHostControl(w *quetzalwork.World, revision quetzalunit.Revision, predecessor quetzalwork.Duty, takeoverSentAt quetzalunit.Instant) {
	c := &w.HostController
	c.BlockedUntil, c.OrderedAt = make(map[quetzalunit.HostID]quetzalunit.Instant), make(map[quetzalunit.HostID]quetzalunit.Instant)
	for _, host := range predecessor.OrderedHosts {
		c.BlockedUntil[host] = w.Now.Add(w.Bounds.OrderLease)
	}
	c.Held, c.Token, c.HeldSince = true, quetzalunit.FencingToken(revision), w.Now
	c.OrdersAllowedFrom = predecessorOrdersEnd(w, &predecessor)
	c.Lease.RenewalSentAt, c.Lease.RenewalAttemptAt, c.Lease.RenewalInFlight = takeoverSentAt, takeoverSentAt, false
	c.HostsReadAt, c.HostsReadInFlight, c.WavesLoaded, c.PermissionEnded = 0, false, false, false
	for _, wave := range w.Waves.All() {
		wave.Maintenance = make([]quetzalwork.HostMaintenance, len(wave.Hosts))
		wave.StoringState, wave.StoreInFlight = quetzalwork.WaveUnstored, false
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartDuty, Message: "This entry now gives the orders to hosts.", Version: int64(c.Token),
		Age: c.OrdersAllowedFrom.Sub(w.Now), Reason: string(predecessor.Holder),
	})
	c.WavesReadDue = false
	w.Emit(quetzalwork.ReadWaves{})
	renewHostLease(w)
}

// endHostControl ends this process's term as the host controller and deletes the moves in progress.
func endHostControl(w *quetzalwork.World, reason string) {
	w.HostController.Held = false
	for row := range w.Moves.All() {
		endMove(w, row)
	}
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Message: "This entry no longer gives orders to hosts.", Version: int64(w.HostController.Token), Reason: reason})
}

// mayOrder reports whether this process may order hosts: it holds the duty, hostOrderDeadline has
// not passed, the predecessor's orders have ended, and the hosts were listed since the takeover.
func mayOrder(w *quetzalwork.World) bool {
	c := &w.HostController
	return c.Held && w.Now < hostOrderDeadline(w) && w.Now > c.OrdersAllowedFrom && c.HostsReadAt > c.HeldSince
}

// mayOrderHost reports whether this process may order a host. It must not while an order of a
// predecessor to the same host may be in force.
func mayOrderHost(w *quetzalwork.World, host quetzalunit.HostID) bool {
	return mayOrder(w) && w.Now >= w.HostController.BlockedUntil[host]
}

// orderHost sends an order to a host and records its time for a successor.
func orderHost(w *quetzalwork.World, order quetzalwork.OrderHost) {
	order.Token, order.ValidUntil = w.HostController.Token, hostOrderDeadline(w)
	w.HostController.OrderedAt[order.Host] = w.Now
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartHost, Message: "An order to a host is issued.", Host: order.Host, Pool: order.Pool, Version: int64(order.Token),
		Age: permissionAge(w), Reason: hostOrderName(order.Order),
	})
	w.Emit(order)
}

// remainingWait returns how long this process still waits for the orders of holders before it.
func remainingWait(w *quetzalwork.World) time.Duration {
	return max(0, w.HostController.OrdersAllowedFrom.Sub(w.Now))
}

// recentlyOrderedHosts returns the hosts that this process or its predecessor has ordered within the
// last OrderLease. A successor must not order them yet.
func recentlyOrderedHosts(w *quetzalwork.World) []quetzalunit.HostID {
	var hosts []quetzalunit.HostID
	for host, at := range w.HostController.OrderedAt {
		if w.Now.Sub(at) < w.Bounds.OrderLease {
			hosts = append(hosts, host)
		}
	}
	for host, until := range w.HostController.BlockedUntil {
		if w.Now < until {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

func hostOrderName(o quetzalwork.HostOrder) string {
	return [...]string{"Move", "Maintain"}[o]
}

// controlHosts refreshes the list of hosts and advances the waves and the moves, if this process is
// the host controller.
func controlHosts(w *quetzalwork.World) {
	w.After(hostControlPeriod, quetzalwork.HostControllerDue{})
	c := &w.HostController
	if !c.Held || w.Stopping {
		return
	}
	renewHostLease(w)
	logPermission(w)
	if !c.HostsReadInFlight && (c.HostsReadAt == 0 || w.Now.Sub(c.HostsReadAt) > hostListPeriod) {
		c.HostsReadInFlight = true
		w.Emit(quetzalwork.ListHosts{})
	}
	if c.WavesReadDue {
		c.WavesReadDue = false
		w.Emit(quetzalwork.ReadWaves{})
	}
	advanceMoves(w)
	requestLoads(w)
	plan := newHostPlan(w)
	if c.WavesLoaded {
		for row := range w.Waves.All() {
			advanceWave(w, plan, row)
		}
	}
	balanceHosts(w, plan)
}

// handleHosts updates the table of hosts to the list that was read.
func handleHosts(w *quetzalwork.World, in *quetzalwork.HostsListed) {
	c := &w.HostController
	c.HostsReadInFlight = false
	if !in.OK {
		return
	}
	c.HostsReadAt = w.Now
	listed := make(map[quetzalunit.HostID]bool, len(in.Hosts))
	for _, h := range in.Hosts {
		listed[h.ID] = true
		row := w.HostByID.Get(h.ID)
		if row == 0 {
			row = w.Hosts.Insert(quetzalwork.Host{})
			w.HostByID.Put(h.ID, row)
		}
		*w.Hosts.At(row) = h
	}
	for row, h := range w.Hosts.All() {
		if !listed[h.ID] {
			w.HostByID.Delete(h.ID)
			w.Hosts.Delete(row)
		}
	}
}

// evacuateHost cordons a host's minion, so that it gets no new work, and replies whether it runs
// nothing, or at least no long-running task. Ends that are recorded, and only wait for orders to start that may be carried
// out late, may be lost with the minion. The reply is NotHolder if this process does not
// dispatch the pool or does not know all of the pool's work yet.
func evacuateHost(w *quetzalwork.World, m *quetzalwork.EvacuateHost) quetzalwork.PeerReply {
	p := w.Pools.At(w.PoolByID.Get(m.Pool))
	if p == nil || !p.Held || !p.JobsLoaded || w.MinionList.AnsweredAt < p.HeldSince {
		return quetzalwork.NotHolder{}
	}
	reply := quetzalwork.EvacuationReply{Empty: true, SafeToInterrupt: true}
	for _, row := range p.Minions {
		minion := w.Minions.At(row)
		if minion.Host != m.Host || minion.Replaced || minion.HostWithdrawn {
			continue
		}
		minion.CordonedUntil = w.Now.Add(cordonTime)
		hasEnds := len(minion.Ends.Open()) > 0 || minion.EndsPending || ackDue(minion) && !mayStartLate(w, minion)
		if !minion.Answered || len(minion.Runs) > 0 || minion.Untracked.Count > 0 || hasEnds {
			reply.Empty = false
		}
		if !minion.Answered {
			reply.SafeToInterrupt = false
		}
		for _, run := range minion.Runs {
			if w.Steps.At(w.Tasks.At(w.Runs.At(run).Task).Step).Spec.LongRunning {
				reply.SafeToInterrupt = false
			}
		}
	}
	return reply
}

// tellWithdrawn tells the dispatcher of a host's pool that the host was withdrawn.
func tellWithdrawn(w *quetzalwork.World, p *quetzalwork.Pool, notice *quetzalwork.NotifyHostWithdrawn) {
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartHost, Message: "The dispatcher is told that the host was withdrawn.", Minion: notice.Minion, Pool: notice.Pool, Host: notice.Host,
		Version: int64(notice.Incarnation), Age: w.Now.Sub(w.HostController.HostsReadAt), Reason: string(p.Duty.Holder),
	})
	w.Emit(quetzalwork.CallPeer{Address: p.Duty.Address, Message: *notice, Timeout: peerTimeout})
}

// ownOrderProof returns what shows this process, as the host controller, that a host was withdrawn.
func ownOrderProof(w *quetzalwork.World) *quetzalwork.Proof {
	return &quetzalwork.Proof{Kind: quetzalwork.ProofOwnOrder, Age: w.Now.Sub(w.HostController.HostsReadAt)}
}

// endRunsOnHost ends the runs on a host that was withdrawn by a move or for maintenance.
func endRunsOnHost(w *quetzalwork.World, pool quetzalunit.PoolID, host quetzalunit.HostID, proof *quetzalwork.Proof) {
	for row, m := range w.Minions.All() {
		if m.Host == host && m.Pool == pool && w.Pools.At(m.PoolRow).Held {
			endMinionRuns(w, row, "Taken", proof)
			m.HostWithdrawn = true
			discardOpenEnds(w, m, "Withdrawn")
		}
	}
}
