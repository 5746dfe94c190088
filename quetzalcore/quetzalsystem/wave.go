package quetzalsystem

import (
	"cmp"
	"slices"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// advanceWaves starts draining the next hosts of the running waves and finishes the waves
// whose hosts are all done.
func advanceWaves(w *quetzalfleet.World) {
	for row, v := range w.Waves.All() {
		if v.State != quetzalfleet.WaveRunning || v.ChangeCall != 0 {
			continue
		}
		if waveFinished(w, v) {
			finishWave(w, row)
			continue
		}
		advanceWave(w, v)
	}
}

// waveCovers reports whether a wave covers a host. A host that is lent to another pool
// belongs to its home pool.
func waveCovers(v *quetzalfleet.WaveSpec, h *quetzalfleet.Host) bool {
	if h.State == quetzalfleet.HostRetired {
		return false
	}
	home := cmp.Or(h.HomePool, h.Pool)
	return (len(v.Zones) == 0 || slices.Contains(v.Zones, h.Zone)) &&
		(len(v.Pools) == 0 || slices.Contains(v.Pools, home))
}

// waveFinished reports whether every host that a wave covers, in all zones, is done.
func waveFinished(w *quetzalfleet.World, v *quetzalfleet.Wave) bool {
	for _, h := range w.Hosts.All() {
		if waveCovers(&v.WaveSpec, h) && h.LastWave != v.ID {
			return false
		}
	}
	return true
}

// finishWave stores a wave's state as finished.
func finishWave(w *quetzalfleet.World, row quetzalfleet.Row) {
	v := w.Waves.At(row)
	next := v.WaveSpec
	next.State = quetzalfleet.WaveFinished
	key := quetzalfleet.RowKey{Table: quetzalfleet.TableWaves, Key: string(v.ID)}
	v.ChangeCall = writeStore(w, quetzalfleet.ForWaveChange{Wave: row}, quetzalfleet.Transaction{
		Conditions: []quetzalfleet.Condition{{Key: key, Revision: v.Revision}, fenceCondition(w)},
		Writes:     []quetzalfleet.Write{{Key: key, Row: quetzalfleet.WaveRow{WaveSpec: next}}},
	})
	w.RecordDecision(quetzalfleet.DecisionWave, string(v.ID), "all hosts are done")
}

// handleWaveChangeResult handles the result of finishWave.
func handleWaveChangeResult(w *quetzalfleet.World, row quetzalfleet.Row, result quetzalfleet.StoreResult) {
	if v := w.Waves.At(row); v != nil {
		v.ChangeCall = 0
	}
	schedulePlan(w, result)
}

// advanceWave starts draining hosts for one wave, up to its limit of concurrent hosts and
// within the budgets. Hosts that a budget holds back are listed as blocked.
func advanceWave(w *quetzalfleet.World, v *quetzalfleet.Wave) {
	active := activeWaveHosts(w, v)
	v.Blocked = v.Blocked[:0]
	for _, row := range waveCandidates(w, v) {
		if v.MaxConcurrent > 0 && active >= v.MaxConcurrent {
			return
		}
		h := w.Hosts.At(row)
		if mayDrain(w, row) {
			startWaveDrain(w, row, v.ID)
			active++
			continue
		}
		v.Blocked = append(v.Blocked, h.ID)
		lendForWave(w, h.Pool)
	}
}

// lendForWave lends a spare host to a pool whose budget leaves no headroom, unless
// one is already being moved there.
func lendForWave(w *quetzalfleet.World, pool quetzalunit.PoolID) {
	p := w.Pools.At(w.PoolByID.Get(pool))
	if p == nil || p.Spare || arrivingHosts(w, pool) > 0 || headroom(w, w.PoolByID.Get(pool), 0) > 0 {
		return
	}
	if spare := findSpareHost(w, pool); spare != 0 {
		lendHost(w, spare, pool, "replaces a host during a wave")
	}
}

// activeWaveHosts counts the zone's hosts that are out of service for a wave.
func activeWaveHosts(w *quetzalfleet.World, v *quetzalfleet.Wave) quetzalunit.Hosts {
	var n quetzalunit.Hosts
	for _, h := range w.Hosts.All() {
		if h.Zone == w.Self.Zone && pendingSpec(w, h).Wave == v.ID {
			n++
		}
	}
	return n
}

// waveCandidates lists the zone's serving hosts that a wave has yet to reboot: spare pools
// first, then by rack, so that the hosts of one rack are out of service together.
func waveCandidates(w *quetzalfleet.World, v *quetzalfleet.Wave) []quetzalfleet.Row {
	var rows []quetzalfleet.Row
	for row, h := range w.Hosts.All() {
		if h.Zone != w.Self.Zone || h.State != quetzalfleet.HostServing || h.ChangeCall != 0 {
			continue
		}
		if waveCovers(&v.WaveSpec, h) && h.LastWave != v.ID && h.WaveNotBefore <= w.Now {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b quetzalfleet.Row) int {
		ha, hb := w.Hosts.At(a), w.Hosts.At(b)
		return cmp.Or(compareSpareFirst(w, ha, hb), cmp.Compare(ha.Rack, hb.Rack), cmp.Compare(ha.ID, hb.ID))
	})
	return rows
}

// compareSpareFirst orders hosts of spare pools before the others.
func compareSpareFirst(w *quetzalfleet.World, a, b *quetzalfleet.Host) int {
	rank := func(h *quetzalfleet.Host) int {
		if p := w.Pools.At(h.PoolRow); p != nil && p.Spare {
			return 0
		}
		return 1
	}
	return cmp.Compare(rank(a), rank(b))
}

// anyWaveRunning reports whether any wave is running.
func anyWaveRunning(w *quetzalfleet.World) bool {
	for _, v := range w.Waves.All() {
		if v.State == quetzalfleet.WaveRunning {
			return true
		}
	}
	return false
}

// wavePendingInPool reports whether a running wave has yet to reboot one of a pool's own hosts
// in the zone. The pool then keeps the hosts that are lent to it.
func wavePendingInPool(w *quetzalfleet.World, pool quetzalunit.PoolID) bool {
	for _, v := range w.Waves.All() {
		if v.State != quetzalfleet.WaveRunning {
			continue
		}
		for _, h := range w.Hosts.All() {
			if h.Zone == w.Self.Zone && h.Pool == pool && h.HomePool == "" && waveCovers(&v.WaveSpec, h) && h.LastWave != v.ID {
				return true
			}
		}
	}
	return false
}
