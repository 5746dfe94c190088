package quetzalscheduler

import (
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// watchAbandonedPools keeps track of the pools that no configuration names and nobody dispatches, as after a
// restart of all entries since they were removed. Their runs end with the leases, and with them what they use of the
// accounts' caps. An entry that has seen the pool's configuration goes on dispatching it.
func watchAbandonedPools(w *quetzalwork.World) {
	if !w.Accounts.InUse || !w.Config.Known || w.Membership.Reads == 0 {
		return
	}
	for _, p := range w.Pools.All() {
		d := &p.Duty
		switch {
		case p.Configured || p.Held || d.Revision == 0 || isHolderLive(w, d):
			p.Abandoned = quetzalwork.Abandoned{}
		case p.Abandoned.Duty != d.Revision:
			p.Abandoned = quetzalwork.Abandoned{Duty: d.Revision, RunsEnd: abandonedRunsEnd(w, d)}
		}
	}
}

// abandonedRunsEnd returns the instant after which no run goes on under the leases of the last holder of a duty,
// which may still extend them if it is running, or of earlier ones.
func abandonedRunsEnd(w *quetzalwork.World, d *quetzalwork.Duty) quetzalunit.Instant {
	end := w.Now.Add(leaseExpiryTime)
	if holderMayBeRunning(w, d) {
		end = end.Add(dutyValidity)
	}
	return max(end, d.EarlierLeasesEnd, w.Now.Add(longestLease(d.Leases)))
}
