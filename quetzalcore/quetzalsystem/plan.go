package quetzalsystem

import (
	"fmt"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// planPeriod is the interval at which a plan is made if nothing else requests one.
	planPeriod = 500 * time.Millisecond
	// planRetryDelay is the mean delay before the next plan after the platform has not
	// committed a step.
	planRetryDelay = 250 * time.Millisecond
	// rebootRetryInterval is the interval at which a reboot is requested again until the host
	// has rebooted.
	rebootRetryInterval = 5 * time.Second
	// waveRetryDelay is the delay before a wave tries again to drain a host whose drain
	// timed out.
	waveRetryDelay = 30 * time.Second
)

// plan starts the next step of every move, reboot and wave in the zone, if this entry
// holds the zone's duties. Without a recent host list it takes no more hosts out of service.
func plan(w *quetzalfleet.World) {
	if !w.PlanDirty || w.Now < w.PlanNotBefore {
		return
	}
	w.PlanDirty = false
	if !holdsDuty(w) || w.Stop != quetzalfleet.StopNone {
		return
	}
	removeDeadEntries(w)
	for row, h := range w.Hosts.All() {
		if h.Zone == w.Self.Zone && h.ChangeCall == 0 {
			advanceHost(w, row)
		}
	}
	if !hostListFresh(w) {
		return
	}
	replenishPools(w)
	startRequestedMoves(w)
	advanceWaves(w)
	moveHostsForDemand(w)
}

// hostListFresh reports whether this process knows the states and boot counts of the hosts from a
// list that is younger than the duties' lease. A restarted process takes every host for live until
// its first list.
func hostListFresh(w *quetzalfleet.World) bool {
	return w.HostsListedAt > 0 && w.Now.Sub(w.HostsListedAt) < w.Self.LeaseDuration
}

// advanceHost starts the next step of a host that is out of service.
func advanceHost(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	if h.ChangeInDoubt {
		// A change of the row had no answer and may still be committed. Writing the
		// row again gives it a new revision, with which that change conflicts.
		changeHost(w, row, h.HostSpec)
		return
	}
	switch h.State {
	case quetzalfleet.HostLeaving:
		advanceLeaving(w, row)
	case quetzalfleet.HostRebooting:
		advanceRebooting(w, row)
	case quetzalfleet.HostServing, quetzalfleet.HostRetired:
	}
}

// advanceLeaving moves a drained host to its next pool, or has it rebooted if there is
// none. A host that has not drained in time is returned to service.
func advanceLeaving(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	if !drained(w, h) {
		if w.Now.Sub(h.GenerationSeenAt) > settingsOf(w, h.PoolRow).DrainTimeout {
			returnToService(w, row)
		}
		return
	}
	if h.NextPool == "" && !hostListFresh(w) {
		// A reboot is recognized by a boot count above the one in the list.
		return
	}
	next := h.HostSpec
	next.Generation++
	if h.NextPool != "" {
		next.State, next.Pool, next.NextPool = quetzalfleet.HostServing, h.NextPool, ""
		changeHost(w, row, next, rosterCondition(w), poolCondition(w, h.NextPool))
		w.RecordDecision(quetzalfleet.DecisionMove, string(h.ID), fmt.Sprintf("drained; serves pool %s from generation %d", next.Pool, next.Generation))
		return
	}
	next.State, next.BootBefore = quetzalfleet.HostRebooting, h.Boot
	changeHost(w, row, next, rosterCondition(w))
	w.RecordDecision(quetzalfleet.DecisionWave, string(h.ID), "drained; reboots")
}

// drained reports whether every entry in the zone, guests included, has confirmed
// that it runs nothing on a host and will send nothing to it.
func drained(w *quetzalfleet.World, h *quetzalfleet.Host) bool {
	r := zoneRoster(w)
	if r == nil || !idleHere(w, h) || !guestsConfirmed(w, h) {
		return false
	}
	for _, e := range r.Entries {
		if e.Entry == w.Self.Entry {
			continue
		}
		c := w.DrainConfirmations.At(w.DrainConfirmationByKey.Get(quetzalfleet.DrainConfirmationKey{Entry: e.Entry, Host: h.ID}))
		// A confirmation from a newer incarnation also counts: the process in the
		// roster is then dead.
		if c == nil || c.Incarnation < e.Incarnation || c.Generation != h.Generation {
			return false
		}
	}
	return true
}

// returnToService returns a host whose drain timed out to service in its pool.
func returnToService(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	next := h.HostSpec
	next.Generation++
	next.State, next.NextPool, next.Wave = quetzalfleet.HostServing, "", ""
	h.WaveNotBefore = w.Now.Add(waveRetryDelay)
	changeHost(w, row, next)
	w.RecordDecision(quetzalfleet.DecisionMove, string(h.ID), "drain timed out; serves its pool again")
}

// advanceRebooting returns a host to service once it has rebooted and is listed as
// live, and requests the reboot until then.
func advanceRebooting(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	if h.Boot > h.BootBefore && h.ListedState == quetzalfleet.ListedLive {
		next := h.HostSpec
		next.Generation++
		next.State, next.LastWave, next.Wave = quetzalfleet.HostServing, h.Wave, ""
		changeHost(w, row, next)
		w.RecordDecision(quetzalfleet.DecisionWave, string(h.ID), "rebooted; serves again")
		return
	}
	if w.Now.Sub(h.RebootRequestedAt) < rebootRetryInterval {
		return
	}
	h.RebootRequestedAt = w.Now
	w.Emit(quetzalfleet.RebootHost{
		Call: addStoreCall(w, quetzalfleet.ForReboot{Host: row}), Host: h.ID, Before: h.BootBefore,
	})
}

// poolCondition requires that a pool's row has not changed since this entry read it.
func poolCondition(w *quetzalfleet.World, id quetzalunit.PoolID) quetzalfleet.Condition {
	c := quetzalfleet.Condition{Key: quetzalfleet.RowKey{Table: quetzalfleet.TablePools, Key: string(id)}}
	if p := w.Pools.At(w.PoolByID.Get(id)); p != nil {
		c.Revision = p.Revision
	}
	return c
}

// changeHost writes a host's row. The write is fenced, and conflicts if the row has
// changed or if one of the extra conditions does not hold.
func changeHost(w *quetzalfleet.World, row quetzalfleet.Row, next quetzalfleet.HostSpec, extra ...quetzalfleet.Condition) {
	h := w.Hosts.At(row)
	key := quetzalfleet.RowKey{Table: quetzalfleet.TableHosts, Key: string(h.ID)}
	conditions := append([]quetzalfleet.Condition{{Key: key, Revision: h.Revision}, fenceCondition(w)}, extra...)
	h.ChangeCall = writeStore(w, quetzalfleet.ForHostChange{Host: row}, quetzalfleet.Transaction{
		Conditions: conditions,
		Writes:     []quetzalfleet.Write{{Key: key, Row: quetzalfleet.HostRow{HostSpec: next}}},
	})
}

// handleHostChangeResult handles the result of changeHost.
func handleHostChangeResult(w *quetzalfleet.World, row quetzalfleet.Row, result quetzalfleet.StoreResult) {
	if h := w.Hosts.At(row); h != nil {
		h.ChangeCall = 0
		_, h.ChangeInDoubt = result.(quetzalfleet.NoAnswer)
	}
	schedulePlan(w, result)
}

// schedulePlan requests a new plan: immediately after a committed step, and otherwise
// after a delay, so that a failing platform is not called in a loop.
func schedulePlan(w *quetzalfleet.World, result quetzalfleet.StoreResult) {
	w.PlanDirty = true
	if _, ok := result.(quetzalfleet.Committed); ok {
		return
	}
	w.PlanNotBefore = w.Now.Add(w.Jitter(planRetryDelay))
	w.Timers.Push(w.PlanNotBefore, quetzalfleet.TickDue{})
}

// startMove starts draining a host that is to serve another pool.
func startMove(w *quetzalfleet.World, row quetzalfleet.Row, to, home quetzalunit.PoolID, reason string) {
	h := w.Hosts.At(row)
	next := h.HostSpec
	next.Generation++
	next.State, next.NextPool, next.HomePool, next.RequestedPool = quetzalfleet.HostLeaving, to, home, ""
	changeHost(w, row, next, poolCondition(w, h.Pool), poolCondition(w, to))
	w.RecordDecision(quetzalfleet.DecisionMove, string(h.ID), fmt.Sprintf("leaves pool %s for %s: %s", h.Pool, to, reason))
}

// startWaveDrain starts draining a host that a wave is to reboot.
func startWaveDrain(w *quetzalfleet.World, row quetzalfleet.Row, wave quetzalunit.WaveID) {
	h := w.Hosts.At(row)
	next := h.HostSpec
	next.Generation++
	next.State, next.Wave = quetzalfleet.HostLeaving, wave
	changeHost(w, row, next, poolCondition(w, h.Pool))
	w.RecordDecision(quetzalfleet.DecisionWave, string(h.ID), fmt.Sprintf("leaves pool %s for wave %s", h.Pool, wave))
}

// startRequestedMoves starts the moves that operators requested, within the budgets.
func startRequestedMoves(w *quetzalfleet.World) {
	for row, h := range w.Hosts.All() {
		if h.RequestedPool == "" || h.Zone != w.Self.Zone || h.RequestedPool == h.Pool || !mayDrain(w, row) {
			continue
		}
		startMove(w, row, h.RequestedPool, "", "requested by an operator")
	}
}

// replenishPools lends spare hosts to pools that have fewer available hosts than their
// budgets require.
func replenishPools(w *quetzalfleet.World) {
	for row, p := range w.Pools.All() {
		if p.Spare || headroom(w, row, 0)+arrivingHosts(w, p.ID) >= 0 {
			continue
		}
		if spare := findSpareHost(w, p.ID); spare != 0 {
			lendHost(w, spare, p.ID, "the pool is below its budget")
		}
	}
}

// arrivingHosts counts the zone's hosts that are being moved to a pool.
func arrivingHosts(w *quetzalfleet.World, id quetzalunit.PoolID) quetzalunit.Hosts {
	var n quetzalunit.Hosts
	for _, h := range w.Hosts.All() {
		if h.Zone != w.Self.Zone {
			continue
		}
		next := pendingSpec(w, h)
		draining := next.State == quetzalfleet.HostLeaving && next.NextPool == id
		committing := h.ChangeCall != 0 && next.State == quetzalfleet.HostServing && next.Pool == id
		if draining || committing {
			n++
		}
	}
	return n
}

// pendingSpec returns a host as the write in flight would leave it, or as it is if there
// is none.
func pendingSpec(w *quetzalfleet.World, h *quetzalfleet.Host) quetzalfleet.HostSpec {
	if call := w.StoreCalls.At(h.ChangeCall); call != nil {
		for _, wr := range call.Transaction.Writes {
			if v, ok := wr.Row.(quetzalfleet.HostRow); ok {
				return v.HostSpec
			}
		}
	}
	return h.HostSpec
}

// findSpareHost returns an available host of a spare pool whose budget allows the host to
// be drained, or zero if there is none. It prefers the rack in which the receiving pool
// has the fewest hosts.
func findSpareHost(w *quetzalfleet.World, to quetzalunit.PoolID) quetzalfleet.Row {
	racks := make(map[quetzalunit.RackID]int)
	for _, row := range w.Pools.At(w.PoolByID.Get(to)).Hosts {
		racks[w.Hosts.At(row).Rack]++
	}
	var best quetzalfleet.Row
	for _, p := range w.Pools.All() {
		if !p.Spare || p.ID == to {
			continue
		}
		for _, row := range p.Hosts {
			h := w.Hosts.At(row)
			if !available(w, h) || !mayDrain(w, row) {
				continue
			}
			if best == 0 || racks[h.Rack] < racks[w.Hosts.At(best).Rack] {
				best = row
			}
		}
	}
	return best
}

// lendHost starts the move of a host that is to return to its present pool later.
func lendHost(w *quetzalfleet.World, row quetzalfleet.Row, to quetzalunit.PoolID, reason string) {
	startMove(w, row, to, w.Hosts.At(row).Pool, reason)
}
