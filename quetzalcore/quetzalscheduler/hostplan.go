package quetzalscheduler

import (
	"slices"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// hostPlan sums up the hosts, moves and waves for one pass of the host controller. At the peak of a
// queue a pass looks for hundreds of hosts. The sums are computed once, so that the work of a pass
// grows with the number of hosts, moves and waves and not with their product.
type hostPlan struct {
	// hosts is the number of hosts in the fleet, size their mean number of millicores.
	hosts int
	size  quetzalunit.MilliCores
	// arriving is the capacity of the hosts that are moving to each pool. Hosts may differ in size, and
	// that of a minion may shrink.
	arriving map[quetzalunit.PoolID]quetzalunit.MilliCores
	// leaving is the number of hosts that are about to leave each pool for a move or a wave.
	leaving map[quetzalunit.PoolID]int
	// inMaintenance are the hosts that waves have taken or are about to take.
	inMaintenance map[quetzalunit.HostID]bool
	// spare are the hosts of the spare pools that have not been considered yet.
	spare []quetzalwork.Row
	// nextMovable is the index of the first of each pool's Load.MovableHosts that has not been
	// considered yet.
	nextMovable map[quetzalunit.PoolID]int
	// meanWanted is the sum of the pools' MeanWanted.
	meanWanted float64
}

func newHostPlan(w *quetzalwork.World) *hostPlan {
	plan := &hostPlan{
		hosts: w.Hosts.Len(), arriving: make(map[quetzalunit.PoolID]quetzalunit.MilliCores), leaving: make(map[quetzalunit.PoolID]int),
		inMaintenance: make(map[quetzalunit.HostID]bool), nextMovable: make(map[quetzalunit.PoolID]int),
	}
	for _, p := range w.Pools.All() {
		plan.meanWanted += p.MeanWanted
	}
	var cores quetzalunit.MilliCores
	for row, h := range w.Hosts.All() {
		cores += h.Capacity.Cores
		if p := w.Pools.At(w.PoolByID.Get(h.Pool)); p != nil && p.Spare {
			plan.spare = append(plan.spare, row)
		}
	}
	plan.size = cores / quetzalunit.MilliCores(max(1, plan.hosts))
	for _, m := range w.Moves.All() {
		plan.arriving[m.To] += plan.capacityOf(w, m.Host)
		if p := w.Pools.At(w.PoolByID.Get(m.From)); p != nil && (!m.Accepted || p.LoadAt <= m.Since) {
			plan.leaving[m.From]++
		}
	}
	for _, wave := range w.Waves.All() {
		if wave.StoredState != quetzalwork.WaveCompleted {
			plan.addWave(w, wave)
		}
	}
	return plan
}

// addWave adds the hosts that a wave has taken or is about to take.
func (plan *hostPlan) addWave(w *quetzalwork.World, wave *quetzalwork.Wave) {
	for i := range wave.Maintenance {
		switch wave.Maintenance[i].State {
		case quetzalwork.MaintenanceWaiting, quetzalwork.MaintenanceDone:
		case quetzalwork.MaintenanceActive:
			plan.inMaintenance[wave.Hosts[i]] = true
		case quetzalwork.MaintenanceEvacuating, quetzalwork.MaintenanceOrdered:
			plan.takeForWave(w, wave.Hosts[i])
		}
	}
}

// takeForWave counts a host as one that is about to leave its pool for a wave.
func (plan *hostPlan) takeForWave(w *quetzalwork.World, host quetzalunit.HostID) {
	plan.inMaintenance[host] = true
	if h := w.Hosts.At(w.HostByID.Get(host)); h != nil {
		plan.leaving[h.Pool]++
	}
}

// capacityOf returns the capacity of a host, or the mean capacity if the host is not listed.
func (plan *hostPlan) capacityOf(w *quetzalwork.World, id quetzalunit.HostID) quetzalunit.MilliCores {
	if h := w.Hosts.At(w.HostByID.Get(id)); h != nil {
		return h.Capacity.Cores
	}
	return plan.size
}

// missingCapacity returns the capacity that a pool needs in addition to that of the hosts that it has
// or that are moving to it.
func (plan *hostPlan) missingCapacity(p *quetzalwork.Pool) quetzalunit.MilliCores {
	if plan.size == 0 {
		return 0
	}
	return max(0, p.Load.Wanted-p.Load.Usable-plan.arriving[p.ID])
}

// needsAllHosts reports whether a pool needs all hosts that it has. Hosts that are about to leave it
// for a move or a wave do not count as its hosts.
func (plan *hostPlan) needsAllHosts(p *quetzalwork.Pool) bool {
	left := p.Load.UsableHosts - plan.leaving[p.ID] - 1
	if left < minKeptHosts || float64(left) < keptHostShare*plan.fairHostCount(p) {
		return true
	}
	return p.Load.Usable*quetzalunit.MilliCores(left) < p.Load.Wanted*quetzalunit.MilliCores(p.Load.UsableHosts)
}

// fairHostCount returns the number of the fleet's hosts that is proportional to a pool's mean
// demand.
func (plan *hostPlan) fairHostCount(p *quetzalwork.Pool) float64 {
	if plan.meanWanted == 0 {
		return 0
	}
	return float64(plan.hosts) * p.MeanWanted / plan.meanWanted
}

// findHostFor returns a host that can be moved to a pool, and the host's present pool: an idle host
// that its pool need not keep, or else a spare one. A label that is not empty must be one of the
// host's. The results are empty when there is no such host.
func (plan *hostPlan) findHostFor(w *quetzalwork.World, to *quetzalwork.Pool, pools []*quetzalwork.Pool, label quetzalunit.Label) (quetzalunit.HostID, quetzalunit.PoolID) {
	for i := len(pools) - 1; i >= 0; i-- {
		if p := pools[i]; p != to && !plan.needsAllHosts(p) {
			if host := plan.nextMovableHost(w, p, label); host != "" {
				return host, p.ID
			}
		}
	}
	for i := 0; i < len(plan.spare); i++ {
		h := w.Hosts.At(plan.spare[i])
		switch {
		case !plan.isMovable(w, h.ID, h.Pool):
			plan.spare = slices.Delete(plan.spare, i, i+1)
			i--
		case label == "" || slices.Contains(h.Labels, label):
			return h.ID, h.Pool
		}
	}
	return "", ""
}

// nextMovableHost returns the first movable host of a pool that has the label, if one is given. It
// skips the hosts that earlier calls without a label have considered.
func (plan *hostPlan) nextMovableHost(w *quetzalwork.World, p *quetzalwork.Pool, label quetzalunit.Label) quetzalunit.HostID {
	for i := plan.nextMovable[p.ID]; i < len(p.Load.MovableHosts); i++ {
		id := p.Load.MovableHosts[i].Host
		movable := plan.isMovable(w, id, p.ID)
		if label == "" {
			plan.nextMovable[p.ID] = i + 1
		}
		if h := w.Hosts.At(w.HostByID.Get(id)); movable && (label == "" || slices.Contains(h.Labels, label)) {
			return id
		}
	}
	return ""
}

// isMovable reports whether a host may be moved: it is up, listed in the given pool, part of no
// move, not blocked by a predecessor's recent order, and not being taken by a wave.
func (plan *hostPlan) isMovable(w *quetzalwork.World, id quetzalunit.HostID, pool quetzalunit.PoolID) bool {
	h := w.Hosts.At(w.HostByID.Get(id))
	return h != nil && h.State == quetzalwork.HostUp && h.Pool == pool && w.MoveByHost.Get(id) == 0 &&
		w.Now >= w.HostController.BlockedUntil[id] && !plan.inMaintenance[id]
}
