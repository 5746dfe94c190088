package quetzalscheduler

import (
	"fmt"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// plannedWaveShare is the share of a wave's time limit that is divided among the batches of its
	// hosts. The rest is a reserve for hosts that take longer.
	plannedWaveShare = 0.8
	// neededHostWaitShare is the share of a wave's time limit during which the wave takes only hosts
	// that their pools do not need.
	neededHostWaitShare = 0.4
	// missingHostWaitShare is the share of a wave's time limit during which the wave waits for hosts
	// that are not in the list of hosts.
	missingHostWaitShare = 0.85
	// minEvacuationTime is the minimum time that a minion gets to finish its runs before a wave
	// takes its host.
	minEvacuationTime = time.Second
	// maxEvacuationTime is the maximum of that time. Discarding the work of the remaining runs
	// costs less than keeping a nearly empty host any longer.
	maxEvacuationTime = 3 * time.Second
	// hostOrderRetryDelay is the delay after an order to a host that failed.
	hostOrderRetryDelay = 300 * time.Millisecond
)

// addWave adds a wave that the operators have requested, unless it is already known.
func addWave(w *quetzalwork.World, plan *quetzalwork.WavePlan) {
	if w.WaveByID.Get(plan.ID) != 0 {
		return
	}
	row := w.Waves.Insert(quetzalwork.Wave{WavePlan: *plan, FirstSeenAt: w.Now, Maintenance: make([]quetzalwork.HostMaintenance, len(plan.Hosts))})
	w.WaveByID.Put(plan.ID, row)
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartHost, Message: "A maintenance wave was requested.", Reason: string(plan.ID), Version: int64(len(plan.Hosts)), Age: plan.TimeLimit})
}

// handleWaves applies the stored states of the waves and their hosts. If the read failed, the next pass
// of the host controller reads them again.
func handleWaves(w *quetzalwork.World, in *quetzalwork.WavesRead) {
	if in.Result != quetzalwork.StoreDone {
		w.HostController.WavesReadDue = true
		return
	}
	w.HostController.WavesLoaded = true
	for id, state := range in.States {
		if wave := w.Waves.At(w.WaveByID.Get(id)); wave != nil {
			wave.StoredState = state
		}
	}
	for id, revision := range in.HostsRevisions {
		if wave := w.Waves.At(w.WaveByID.Get(id)); wave != nil {
			wave.HostsRevision = max(wave.HostsRevision, revision)
		}
	}
	for id, done := range in.Done {
		if wave := w.Waves.At(w.WaveByID.Get(id)); wave != nil {
			mergeWaveHosts(wave, done)
		}
	}
}

// mergeWaveHosts marks the hosts of a wave whose maintenance another host controller has ordered.
func mergeWaveHosts(wave *quetzalwork.Wave, done []quetzalunit.HostID) {
	for i, host := range wave.Hosts {
		maintenance := &wave.Maintenance[i]
		known := maintenance.State == quetzalwork.MaintenanceActive || maintenance.State == quetzalwork.MaintenanceDone
		if !known && slices.Contains(done, host) {
			// The host may still be in maintenance and counts as such until it is listed as up.
			*maintenance = quetzalwork.HostMaintenance{State: quetzalwork.MaintenanceActive, DispatcherNotified: true}
		}
	}
}

// storeWaveHosts stores which hosts of a wave are in maintenance or have had it. One transaction
// per wave is in flight at a time; a change in the meantime is stored afterwards.
func storeWaveHosts(w *quetzalwork.World, wave *quetzalwork.Wave) {
	if wave.StoreInFlight {
		wave.StoreAgain = true
		return
	}
	wave.StoreInFlight, wave.StoreAgain = true, false
	c := quetzalwork.StoreWaveHosts{Wave: wave.ID, Expected: wave.HostsRevision}
	for i, host := range wave.Hosts {
		if s := wave.Maintenance[i].State; s == quetzalwork.MaintenanceActive || s == quetzalwork.MaintenanceDone {
			c.Done = append(c.Done, host)
		}
	}
	w.Emit(c)
}

// handleWaveHostsStored applies the result of storing the maintained hosts of a wave. After a conflict
// the stored hosts are merged with those that this process knows and stored again.
func handleWaveHostsStored(w *quetzalwork.World, in *quetzalwork.WaveHostsStored) {
	wave := w.Waves.At(w.WaveByID.Get(in.Wave))
	if wave == nil {
		return
	}
	wave.StoreInFlight = false
	wave.HostsRevision = max(wave.HostsRevision, in.Revision)
	switch in.Result {
	case quetzalwork.StoreConflict:
		mergeWaveHosts(wave, in.Done)
		wave.StoreAgain = true
	case quetzalwork.StoreCompacted, quetzalwork.StoreRefused, quetzalwork.StoreUnanswered, quetzalwork.StoreRejected:
		// advanceWave stores the hosts again.
		wave.StoreAgain = true
		return
	case quetzalwork.StoreDone:
	}
	if wave.StoreAgain && w.HostController.Held {
		storeWaveHosts(w, wave)
	}
}

// handleWaveStateStored applies the result of storing the state of a wave. After a conflict the wave has
// a state that another host controller stored, or this one in a transaction without an answer.
func handleWaveStateStored(w *quetzalwork.World, in *quetzalwork.WaveStateStored) {
	wave := w.Waves.At(w.WaveByID.Get(in.Wave))
	if wave == nil {
		return
	}
	wave.StoringState = quetzalwork.WaveUnstored
	if in.Result == quetzalwork.StoreConflict && w.HostController.Held {
		wave.StoredState = quetzalwork.WaveRunning
		w.Emit(quetzalwork.ReadWaves{})
	}
	if in.Result == quetzalwork.StoreDone {
		wave.StoredState = in.State
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartHost, Message: "The state of a wave was stored.", Reason: string(in.Wave) + string(in.State), Age: w.Now.Sub(wave.FirstSeenAt)})
	}
}

// advanceWave advances the maintenance of a wave's hosts, with at most MaxConcurrent of them active
// at once, and stores the state of the wave when it changes.
func advanceWave(w *quetzalwork.World, plan *hostPlan, row quetzalwork.Row) {
	wave := w.Waves.At(row)
	if wave.StoredState == quetzalwork.WaveCompleted || w.HostController.HostsReadAt <= w.HostController.HeldSince {
		return
	}
	if wave.StoreAgain {
		storeWaveHosts(w, wave)
	}
	active, done := 0, 0
	for i := range wave.Maintenance {
		maintenance := &wave.Maintenance[i]
		updateWaveHost(w, wave, i)
		switch maintenance.State {
		case quetzalwork.MaintenanceWaiting:
			switch {
			case mayOmitWaveHost(w, wave, i):
				done++
			case w.Now < w.HostController.BlockedUntil[wave.Hosts[i]]:
				// A predecessor's order to the host may still be under way.
				active++
			}
		case quetzalwork.MaintenanceDone:
			done++
		case quetzalwork.MaintenanceEvacuating, quetzalwork.MaintenanceOrdered, quetzalwork.MaintenanceActive:
			active++
		}
	}
	switch {
	case done == len(wave.Maintenance):
		storeWaveState(w, wave, quetzalwork.WaveCompleted)
		return
	case wave.StoredState == quetzalwork.WaveUnstored:
		storeWaveState(w, wave, quetzalwork.WaveRunning)
	}
	limit := waveConcurrency(w, wave, len(wave.Maintenance)-done)
	for _, i := range waveOrder(w, wave) {
		maintenance := &wave.Maintenance[i]
		if maintenance.State == quetzalwork.MaintenanceWaiting && active < limit && mayOrder(w) && mayTakeWaveHost(w, plan, wave, i) {
			maintenance.State, maintenance.Since = quetzalwork.MaintenanceEvacuating, w.Now
			plan.takeForWave(w, wave.Hosts[i])
			active++
		}
		if maintenance.State == quetzalwork.MaintenanceEvacuating {
			evacuateWaveHost(w, wave, i)
		}
	}
}

// waveConcurrency returns how many hosts of a wave may be active at once while some are left. While a pool lacks capacity these are
// as many as complete the wave in plannedWaveShare of its time limit: the spare and the idle hosts, which it takes first, are those
// that the pool can get.
func waveConcurrency(w *quetzalwork.World, wave *quetzalwork.Wave, left int) int {
	limit := max(1, wave.MaxConcurrent)
	remaining := time.Duration(plannedWaveShare*float64(wave.TimeLimit)) - w.Now.Sub(wave.FirstSeenAt)
	if remaining <= 0 || !anyPoolLacksCapacity(w) {
		return limit
	}
	hostTime := minEvacuationTime + w.Bounds.MaintenanceTime + hostListPeriod
	return min(limit, int((time.Duration(left)*hostTime+remaining-1)/remaining))
}

// anyPoolLacksCapacity reports whether the work of a pool could use more capacity than the pool has.
func anyPoolLacksCapacity(w *quetzalwork.World) bool {
	return slices.ContainsFunc(loadedPools(w), func(p *quetzalwork.Pool) bool { return p.Load.Wanted > p.Load.Usable })
}

// mayTakeWaveHost reports whether a wave may take a host now. The host must not be part of a move,
// and its pool must not need it unless neededHostWaitShare of the wave's time limit has passed.
func mayTakeWaveHost(w *quetzalwork.World, plan *hostPlan, wave *quetzalwork.Wave, i int) bool {
	h := w.Hosts.At(w.HostByID.Get(wave.Hosts[i]))
	if h == nil || w.MoveByHost.Get(wave.Hosts[i]) != 0 {
		return false
	}
	p := w.Pools.At(w.PoolByID.Get(h.Pool))
	if p == nil || p.Spare || takesNeededHosts(w, wave) {
		return true
	}
	return !plan.needsAllHosts(p)
}

// takesNeededHosts reports whether a wave also takes hosts that their pools need.
func takesNeededHosts(w *quetzalwork.World, wave *quetzalwork.Wave) bool {
	return w.Now.Sub(wave.FirstSeenAt) > time.Duration(neededHostWaitShare*float64(wave.TimeLimit))
}

// waveOrder returns the indexes of a wave's hosts in the order in which the wave takes them: spare
// hosts first, then idle ones, then the others.
func waveOrder(w *quetzalwork.World, wave *quetzalwork.Wave) []int {
	cost := make(map[quetzalunit.HostID]int, len(wave.Hosts))
	for _, id := range wave.Hosts {
		cost[id] = 2
		if h := w.Hosts.At(w.HostByID.Get(id)); h != nil {
			if p := w.Pools.At(w.PoolByID.Get(h.Pool)); p != nil && p.Spare {
				cost[id] = 0
			}
		}
	}
	for _, p := range w.Pools.All() {
		for _, idle := range p.Load.MovableHosts {
			if cost[idle.Host] == 2 {
				cost[idle.Host] = 1
			}
		}
	}
	order := make([]int, len(wave.Hosts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cost[wave.Hosts[a]] - cost[wave.Hosts[b]] })
	return order
}

// storeWaveState stores the state of a wave unless a state is already being stored.
func storeWaveState(w *quetzalwork.World, wave *quetzalwork.Wave, state quetzalwork.WaveState) {
	if wave.StoringState == quetzalwork.WaveUnstored {
		wave.StoringState = state
		w.Emit(quetzalwork.StoreWaveState{Wave: wave.ID, State: state})
	}
}

// mayOmitWaveHost reports whether a wave may leave out a host because it is not in the list of
// hosts. The host may be listed later, so the wave waits for it until missingHostWaitShare of the
// wave's time limit has passed.
func mayOmitWaveHost(w *quetzalwork.World, wave *quetzalwork.Wave, i int) bool {
	waitedLong := w.Now.Sub(wave.FirstSeenAt) > time.Duration(missingHostWaitShare*float64(wave.TimeLimit))
	return waitedLong && w.HostByID.Get(wave.Hosts[i]) == 0
}

// updateWaveHost updates the state of a wave's host from the list of hosts and repeats an order that
// failed. A host that is up again after its maintenance is done; one that is not listed starts over.
func updateWaveHost(w *quetzalwork.World, wave *quetzalwork.Wave, i int) {
	maintenance := &wave.Maintenance[i]
	h := w.Hosts.At(w.HostByID.Get(wave.Hosts[i]))
	switch {
	case maintenance.State == quetzalwork.MaintenanceDone:
	case h == nil:
		*maintenance = quetzalwork.HostMaintenance{}
	case maintenance.State == quetzalwork.MaintenanceActive:
		if h.State == quetzalwork.HostInMaintenance && !maintenance.DispatcherNotified && maintenance.Minion != "" {
			maintenance.DispatcherNotified = true
			notifyHostWithdrawn(w, &quetzalwork.NotifyHostWithdrawn{Pool: h.Pool, Host: h.ID, Minion: maintenance.Minion, Incarnation: maintenance.Incarnation})
		}
		if h.State != quetzalwork.HostInMaintenance && w.HostController.HostsReadAt.Sub(maintenance.Since) > w.Bounds.MaintenanceTime {
			maintenance.State = quetzalwork.MaintenanceDone
		}
	case h.State == quetzalwork.HostInMaintenance && maintenance.State == quetzalwork.MaintenanceWaiting:
		// The maintenance was ordered by a predecessor, or by an order whose answer was lost. The
		// order is sent again, because its answer changes the state to MaintenanceActive.
		maintenance.State, maintenance.Since = quetzalwork.MaintenanceOrdered, w.Now
		maintenance.Minion = minionBeforeTakeover(w, h)
		maintenance.Incarnation = incarnationOf(w, maintenance.Minion)
		orderMaintenance(w, wave, i)
	case maintenance.State == quetzalwork.MaintenanceOrdered && !maintenance.RequestInFlight && w.Now >= maintenance.RetryAt:
		orderMaintenance(w, wave, i)
	}
}

// minionBeforeTakeover returns the minion that a host had before this process became the host controller, empty if that is
// not known. It has ended if the host is in maintenance since.
func minionBeforeTakeover(w *quetzalwork.World, h *quetzalwork.Host) quetzalunit.MinionID {
	for _, m := range w.Minions.All() {
		if m.Host == h.ID && m.Pool == h.Pool && !m.Replaced && incarnationSeenAt(m) < w.HostController.HeldSince {
			return m.ID
		}
	}
	return ""
}

// evacuateWaveHost requests the evacuation of a host from the dispatcher of its pool. The
// maintenance is ordered once the host's minion runs nothing, or after evacuationTime once it runs
// no long-running task. A spare host needs no evacuation.
func evacuateWaveHost(w *quetzalwork.World, wave *quetzalwork.Wave, i int) {
	maintenance := &wave.Maintenance[i]
	h := w.Hosts.At(w.HostByID.Get(wave.Hosts[i]))
	if h == nil || maintenance.RequestInFlight || w.Now < maintenance.RetryAt {
		return
	}
	maintenance.RetryAt = w.Now.Add(hostControlPeriod)
	pool := w.Pools.At(w.PoolByID.Get(h.Pool))
	if waited := w.Now.Sub(maintenance.Since); waited > maxEvacuationTime {
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartHost, Message: "A host of a wave is not ready for maintenance yet.", Host: h.ID, Pool: h.Pool, Age: waited,
			Reason: fmt.Sprintf("State%dSafe%t", h.State, maintenance.SafeToInterrupt), Routine: true,
		})
	}
	if pool == nil || h.State != quetzalwork.HostUp {
		return
	}
	maintenance.Minion, maintenance.Incarnation = h.Minion, incarnationOf(w, h.Minion)
	request := quetzalwork.EvacuateHost{Pool: h.Pool, Host: h.ID, Wave: wave.ID}
	switch {
	case pool.Spare:
		beginMaintenance(w, wave, i)
	case pool.Held:
		handleWaveEvacuation(w, &request, evacuateHost(w, &request))
	case pool.Duty.Address != "":
		maintenance.RequestInFlight = true
		w.Emit(quetzalwork.CallPeer{Address: pool.Duty.Address, Message: request, Timeout: peerTimeout})
	}
}

// evacuationTime returns how long a minion may take to finish its runs before a wave takes its host.
// The time is planned as if the hosts were taken in batches of MaxConcurrent: it is the time of one
// batch less that of the maintenance itself, bounded by minEvacuationTime and maxEvacuationTime.
func evacuationTime(w *quetzalwork.World, wave *quetzalwork.Wave) time.Duration {
	batches := (len(wave.Hosts) + max(1, wave.MaxConcurrent) - 1) / max(1, wave.MaxConcurrent)
	batchTime := time.Duration(plannedWaveShare * float64(wave.TimeLimit) / float64(max(1, batches)))
	return min(maxEvacuationTime, max(minEvacuationTime, batchTime-w.Bounds.MaintenanceTime))
}

// handleWaveEvacuation applies the dispatcher's reply to a request to evacuate a host for a wave.
func handleWaveEvacuation(w *quetzalwork.World, m *quetzalwork.EvacuateHost, reply quetzalwork.PeerReply) {
	wave := w.Waves.At(w.WaveByID.Get(m.Wave))
	if wave == nil {
		return
	}
	for i := range wave.Hosts {
		maintenance := &wave.Maintenance[i]
		if wave.Hosts[i] != m.Host || maintenance.State != quetzalwork.MaintenanceEvacuating {
			continue
		}
		maintenance.RequestInFlight = false
		r, ok := reply.(quetzalwork.EvacuationReply)
		if !ok {
			return
		}
		maintenance.SafeToInterrupt = r.SafeToInterrupt
		if r.Empty || r.SafeToInterrupt && w.Now.Sub(maintenance.Since) > evacuationTime(w, wave) {
			beginMaintenance(w, wave, i)
		}
	}
}

func beginMaintenance(w *quetzalwork.World, wave *quetzalwork.Wave, i int) {
	wave.Maintenance[i].State = quetzalwork.MaintenanceOrdered
	orderMaintenance(w, wave, i)
}

// orderMaintenance orders the maintenance of a wave's host if this process may order the host. If
// not, updateWaveHost tries again in a later pass.
func orderMaintenance(w *quetzalwork.World, wave *quetzalwork.Wave, i int) {
	maintenance := &wave.Maintenance[i]
	if !mayOrderHost(w, wave.Hosts[i]) {
		return
	}
	maintenance.RequestInFlight = true
	orderHost(w, quetzalwork.OrderHost{Order: quetzalwork.HostOrderMaintain, Host: wave.Hosts[i], Wave: wave.ID})
}

// handleHostOrderResult applies the result of an order to a host, for a move or for a wave.
func handleHostOrderResult(w *quetzalwork.World, in *quetzalwork.HostOrderAnswered) {
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartHost, Message: "An order to a host was answered.", Host: in.Host, Version: int64(in.Token),
		Age: ageOf(w, w.HostController.OrderedAt[in.Host]), Reason: hostResultName(in.Result),
	})
	if in.Order == quetzalwork.HostOrderMove {
		handleMoveResult(w, in)
		return
	}
	wave := w.Waves.At(w.WaveByID.Get(in.Wave))
	if wave == nil {
		return
	}
	for i := range wave.Hosts {
		maintenance := &wave.Maintenance[i]
		if wave.Hosts[i] != in.Host || maintenance.State != quetzalwork.MaintenanceOrdered {
			continue
		}
		maintenance.RequestInFlight = false
		maintenance.RetryAt = w.Now.Add(hostOrderRetryDelay)
		switch in.Result {
		case quetzalwork.HostResultAccepted:
			maintenance.State, maintenance.Since = quetzalwork.MaintenanceActive, w.Now
			storeWaveHosts(w, wave)
		case quetzalwork.HostResultInvalid:
			maintenance.State = quetzalwork.MaintenanceDone
		case quetzalwork.HostResultFenced:
			endHostControl(w, "Fenced")
		case quetzalwork.HostResultBusy, quetzalwork.HostResultRefused, quetzalwork.HostResultExpired:
			// The order was not carried out. The host is evacuated again before the next one.
			maintenance.State, maintenance.Since = quetzalwork.MaintenanceEvacuating, w.Now
		case quetzalwork.HostResultUnanswered:
			// The order is sent again. It is idempotent: it has no effect if it was carried out.
		}
	}
}

func hostResultName(r quetzalwork.HostResult) string {
	return [...]string{"Taken", "Busy", "Fenced", "Invalid", "Refused", "Unknown", "Expired"}[r]
}

// notifyHostWithdrawn notifies the dispatcher that the runs on a host in maintenance have ended. It
// is called when the list of hosts shows the maintenance, not when the order is answered: the answer
// is the same if the order was carried out earlier, and by then a new minion may be running on the
// host. The list may be that old, too, so that the notice must name the minion whose runs have ended.
func notifyHostWithdrawn(w *quetzalwork.World, notice *quetzalwork.NotifyHostWithdrawn) {
	p := w.Pools.At(w.PoolByID.Get(notice.Pool))
	switch {
	case p == nil:
	case p.Held:
		handleHostWithdrawn(w, notice, ownOrderProof(w))
	case p.Duty.Address != "":
		tellWithdrawn(w, p, notice)
	}
}

// incarnationOf returns the incarnation of a minion by the minion list, zero if it is not known.
func incarnationOf(w *quetzalwork.World, id quetzalunit.MinionID) quetzalunit.MinionIncarnation {
	if m := w.Minions.At(w.MinionByID.Get(id)); m != nil {
		return m.Incarnation
	}
	return 0
}
