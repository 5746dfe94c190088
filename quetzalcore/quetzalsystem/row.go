package quetzalsystem

import (
	"slices"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// applyRows applies the rows of FleetTables that are newer than the ones known here.
func applyRows(w *quetzalfleet.World, rows []quetzalfleet.RowAtRevision) {
	if w.FleetRows == nil {
		w.FleetRows = make(map[quetzalfleet.RowKey]quetzalfleet.RowAtRevision)
	}
	for _, row := range rows {
		if row.Row == nil || row.Revision <= w.FleetRows[row.Key].Revision {
			continue
		}
		if !applyRow(w, row) {
			continue
		}
		w.FleetRows[row.Key] = row
		if row.Key.Table != quetzalfleet.TableRenewals {
			w.NewestRevision = max(w.NewestRevision, row.Revision)
		}
	}
}

// applyRow applies one row and reports whether it belongs to FleetTables.
func applyRow(w *quetzalfleet.World, row quetzalfleet.RowAtRevision) bool {
	switch v := row.Row.(type) {
	case quetzalfleet.HostRow:
		applyHost(w, v.HostSpec, row.Revision)
	case quetzalfleet.PoolRow:
		applyPool(w, v, row.Revision)
	case quetzalfleet.QueueRow:
		applyQueue(w, v, row.Revision)
	case quetzalfleet.TeamRow:
		applyTeam(w, v, row.Revision)
	case quetzalfleet.SettingRow:
		applySetting(w, v, row.Revision)
	case quetzalfleet.SettingsHeadRow:
		w.HeadVersion, w.HeadRevision = v.Version, row.Revision
		w.GossipPending = true
	case quetzalfleet.RosterRow:
		applyRoster(w, v, row.Revision)
	case quetzalfleet.EpochRow:
		applyEpoch(w, v, row.Revision)
	case quetzalfleet.RenewalRow:
		d := dutyOf(w, v.Zone)
		d.RenewalRevision, d.RenewalCount, d.RenewalSeenAt = row.Revision, v.Count, w.Now
	case quetzalfleet.WaveRow:
		applyWave(w, v.WaveSpec, row.Revision)
	case quetzalfleet.ClaimRow, quetzalfleet.ChangeRow, quetzalfleet.JobRow:
		return false
	}
	return true
}

// advanceSeen records that every row up to a revision is applied. The newest settings
// version comes into force once every row up to the head row is applied.
func advanceSeen(w *quetzalfleet.World, seen quetzalunit.Revision) {
	w.SeenRevision = max(w.SeenRevision, seen)
	if w.HeadRevision <= w.SeenRevision {
		w.SettingsVersion = max(w.SettingsVersion, w.HeadVersion)
	}
}

// applyHost applies a host's row. A new generation resets the failures, the ejection and
// the leaving state that were recorded for the previous one.
func applyHost(w *quetzalfleet.World, spec quetzalfleet.HostSpec, rev quetzalunit.Revision) {
	row := w.HostByID.Get(spec.ID)
	if row == 0 {
		row = w.Hosts.Insert(quetzalfleet.Host{AttemptLimit: quetzalunit.SlotsPerMinion, GenerationSeenAt: w.Now})
		w.HostByID.Put(spec.ID, row)
	}
	h := w.Hosts.At(row)
	unlinkHost(w, row)
	if h.Generation != spec.Generation {
		h.GenerationSeenAt = w.Now
		h.EjectedUntil, h.PausedUntil, h.ConsecutiveFailures, h.Ejections = 0, 0, 0, 0
		h.LeavingGeneration, h.LeavingFromMinion = 0, false
		w.GossipPending = w.GossipPending || spec.Zone == w.Self.Zone
	}
	h.HostSpec = spec
	h.Revision = rev
	h.PoolRow = w.PoolByID.Get(spec.Pool)
	linkHost(w, row)
	w.PlanDirty = true
}

// unlinkHost removes a host from its pool's list of hosts.
func unlinkHost(w *quetzalfleet.World, row quetzalfleet.Row) {
	p := w.Pools.At(w.Hosts.At(row).PoolRow)
	if p == nil {
		return
	}
	if i := slices.Index(p.Hosts, row); i >= 0 {
		p.Hosts = slices.Delete(p.Hosts, i, i+1)
	}
}

// linkHost adds a host in this entry's zone to its pool's list of hosts.
func linkHost(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	p := w.Pools.At(h.PoolRow)
	if p == nil || h.Zone != w.Self.Zone {
		return
	}
	p.Hosts = append(p.Hosts, row)
	w.DirtyPools.Add(h.PoolRow)
}

// applyPool applies a pool's row.
func applyPool(w *quetzalfleet.World, v quetzalfleet.PoolRow, rev quetzalunit.Revision) {
	row := w.PoolByID.Get(v.ID)
	if row == 0 {
		row = w.Pools.Insert(quetzalfleet.Pool{ID: v.ID, RetryTokens: maxRetryTokens})
		w.PoolByID.Put(v.ID, row)
		linkHostsToPool(w, row)
		linkQueuesToPool(w, row)
	}
	p := w.Pools.At(row)
	p.Spare, p.Budgets, p.Revision = v.Spare, v.Budgets, rev
	w.PlanDirty = true
}

// linkHostsToPool links the hosts whose rows arrived before the row of their pool.
func linkHostsToPool(w *quetzalfleet.World, pool quetzalfleet.Row) {
	id := w.Pools.At(pool).ID
	for row, h := range w.Hosts.All() {
		if h.Pool == id && h.PoolRow == 0 {
			h.PoolRow = pool
			linkHost(w, row)
		}
	}
}

// linkQueuesToPool links the queues whose rows arrived before the row of their pool.
func linkQueuesToPool(w *quetzalfleet.World, pool quetzalfleet.Row) {
	p := w.Pools.At(pool)
	for row, q := range w.Queues.All() {
		if q.PoolID == p.ID && q.Pool == 0 {
			q.Pool = pool
			p.Queues = append(p.Queues, row)
		}
	}
	w.DirtyPools.Add(pool)
}

// applyQueue applies a queue's row, which may assign the queue to another pool.
func applyQueue(w *quetzalfleet.World, v quetzalfleet.QueueRow, rev quetzalunit.Revision) {
	row := w.QueueByID.Get(v.ID)
	if row == 0 {
		row = w.Queues.Insert(quetzalfleet.Queue{ID: v.ID})
		w.QueueByID.Put(v.ID, row)
	}
	q := w.Queues.At(row)
	if old := w.Pools.At(q.Pool); old != nil {
		old.Queues = slices.DeleteFunc(old.Queues, func(r quetzalfleet.Row) bool { return r == row })
		old.NextQueue = 0
	}
	q.PoolID, q.Revision = v.Pool, rev
	q.Pool = w.PoolByID.Get(v.Pool)
	if p := w.Pools.At(q.Pool); p != nil {
		p.Queues = append(p.Queues, row)
		w.DirtyPools.Add(q.Pool)
	}
}

// applyTeam applies a team's row. A team's weight is at least 1.
func applyTeam(w *quetzalfleet.World, v quetzalfleet.TeamRow, rev quetzalunit.Revision) {
	row := w.TeamByID.Get(v.ID)
	if row == 0 {
		row = w.Teams.Insert(quetzalfleet.Team{ID: v.ID})
		w.TeamByID.Put(v.ID, row)
	}
	t := w.Teams.At(row)
	w.TotalTeamWeight += max(1, v.Weight) - t.Weight
	t.Weight, t.MaxQueued, t.Revision = max(1, v.Weight), v.MaxQueued, rev
}

// applySetting applies a node of the settings tree and clears the cache of effective
// settings.
func applySetting(w *quetzalfleet.World, v quetzalfleet.SettingRow, rev quetzalunit.Revision) {
	row := w.SettingNodeByPath.Get(v.Path)
	if row == 0 {
		row = w.SettingNodes.Insert(quetzalfleet.SettingNode{})
		w.SettingNodeByPath.Put(v.Path, row)
	}
	*w.SettingNodes.At(row) = quetzalfleet.SettingNode{
		Path: v.Path, Version: v.Version, Revision: rev,
		ChangeID: v.ChangeID, Deleted: v.Deleted, Values: v.Values,
	}
	clear(w.SettingsCache)
	dirtyAllPools(w)
}

// dirtyAllPools marks every pool as dirty, so that the next run of dispatch covers it.
func dirtyAllPools(w *quetzalfleet.World) {
	for row := range w.Pools.All() {
		w.DirtyPools.Add(row)
	}
}

// applyWave applies a wave's row.
func applyWave(w *quetzalfleet.World, spec quetzalfleet.WaveSpec, rev quetzalunit.Revision) {
	row := w.WaveByID.Get(spec.ID)
	if row == 0 {
		row = w.Waves.Insert(quetzalfleet.Wave{})
		w.WaveByID.Put(spec.ID, row)
	}
	v := w.Waves.At(row)
	v.WaveSpec, v.Revision = spec, rev
	w.PlanDirty = true
}

// dutyOf returns the lease on a zone's duties, and adds an empty one if it is not known.
func dutyOf(w *quetzalfleet.World, zone quetzalunit.ZoneID) *quetzalfleet.DutyLease {
	row := w.DutyLeaseByZone.Get(zone)
	if row == 0 {
		row = w.DutyLeases.Insert(quetzalfleet.DutyLease{Zone: zone, RenewalSeenAt: w.Now})
		w.DutyLeaseByZone.Put(zone, row)
	}
	return w.DutyLeases.At(row)
}
