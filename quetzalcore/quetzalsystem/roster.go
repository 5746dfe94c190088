package quetzalsystem

import (
	"cmp"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// peerRemovalSilence is how long a peer whose host the platform lists as gone must have
// been silent before it is removed from the roster.
const peerRemovalSilence = 3 * time.Second

func rosterKey(zone quetzalunit.ZoneID) quetzalfleet.RowKey {
	return quetzalfleet.RowKey{Table: quetzalfleet.TableRosters, Key: string(zone)}
}

// zoneRoster returns the roster of this entry's zone, or nil if it is not known.
func zoneRoster(w *quetzalfleet.World) *quetzalfleet.Roster {
	return w.Rosters.At(w.RosterByZone.Get(w.Self.Zone))
}

// inRoster reports whether this process is in its zone's roster. Moves wait only for
// the entries in the roster and their guests, so a process that is neither must not
// send work to minions.
func inRoster(w *quetzalfleet.World) bool {
	r := zoneRoster(w)
	return r != nil && processInRoster(r, w.Self.Entry, w.Self.Incarnation)
}

// processInRoster reports whether a process of an entry is in a roster.
func processInRoster(r *quetzalfleet.Roster, id quetzalunit.EntryID, n quetzalunit.Incarnation) bool {
	return slices.ContainsFunc(r.Entries, func(e quetzalfleet.RosterEntry) bool {
		return e.Entry == id && e.Incarnation == n
	})
}

// rosterPosition returns the number of entries in the zone's roster and the index of
// this one. Without a roster it returns 1 and 0.
func rosterPosition(w *quetzalfleet.World) (entries, position int) {
	r := zoneRoster(w)
	if r == nil || len(r.Entries) == 0 {
		return 1, 0
	}
	i := slices.IndexFunc(r.Entries, func(e quetzalfleet.RosterEntry) bool { return e.Entry == w.Self.Entry })
	return len(r.Entries), max(0, i)
}

// replacedInRoster reports whether another process of this entry has taken the place that this one had
// in the roster. The order of the incarnations does not show it: the wall clock may be set back.
func replacedInRoster(w *quetzalfleet.World) bool {
	r := zoneRoster(w)
	return w.WasInRoster && r != nil && !inRoster(w) &&
		slices.ContainsFunc(r.Entries, func(e quetzalfleet.RosterEntry) bool { return e.Entry == w.Self.Entry })
}

// joinRoster adds this process to its zone's roster, unless it has been replaced there.
func joinRoster(w *quetzalfleet.World) {
	if w.RosterCall != 0 || w.Stop != quetzalfleet.StopNone || inRoster(w) || replacedInRoster(w) {
		return
	}
	self := quetzalfleet.RosterEntry{
		Entry: w.Self.Entry, Incarnation: w.Self.Incarnation, Address: w.Self.PeerAddress,
	}
	entries := append(rosterWithout(w, w.Self.Entry), self)
	slices.SortFunc(entries, func(a, b quetzalfleet.RosterEntry) int { return cmp.Compare(a.Entry, b.Entry) })
	w.RosterCall = writeStore(w, quetzalfleet.ForRosterChange{}, rosterTransaction(w, entries))
}

// rosterWithout returns the entries of the zone's roster except one.
func rosterWithout(w *quetzalfleet.World, id quetzalunit.EntryID) []quetzalfleet.RosterEntry {
	r := zoneRoster(w)
	if r == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.Entries), func(e quetzalfleet.RosterEntry) bool { return e.Entry == id })
}

// rosterTransaction returns the transaction that replaces the zone's roster.
func rosterTransaction(w *quetzalfleet.World, entries []quetzalfleet.RosterEntry) quetzalfleet.Transaction {
	return quetzalfleet.Transaction{
		Conditions: []quetzalfleet.Condition{rosterCondition(w)},
		Writes: []quetzalfleet.Write{{
			Key: rosterKey(w.Self.Zone),
			Row: quetzalfleet.RosterRow{Zone: w.Self.Zone, Entries: entries},
		}},
	}
}

// rosterCondition requires that the zone's roster has not changed since this entry
// read it.
func rosterCondition(w *quetzalfleet.World) quetzalfleet.Condition {
	c := quetzalfleet.Condition{Key: rosterKey(w.Self.Zone)}
	if r := zoneRoster(w); r != nil {
		c.Revision = r.Revision
	}
	return c
}

// handleRosterResult handles the result of joining or leaving the roster. A join that
// conflicted is repeated at once; leaveRoster is called again every tick during a stop.
func handleRosterResult(w *quetzalfleet.World, p quetzalfleet.ForRosterChange, result quetzalfleet.StoreResult) {
	w.RosterCall = 0
	_, conflicted := result.(quetzalfleet.ConditionsFailed)
	if conflicted && !p.Leave {
		joinRoster(w)
	}
}

// leaveRoster removes this process from its zone's roster.
func leaveRoster(w *quetzalfleet.World) {
	if w.RosterCall != 0 || !inRoster(w) {
		return
	}
	w.RosterCall = writeStore(w, quetzalfleet.ForRosterChange{Leave: true}, rosterTransaction(w, rosterWithout(w, w.Self.Entry)))
}

// removeDeadEntries removes from the roster the first entry that is silent and whose host the
// platform lists as gone since, so at most one entry per plan.
func removeDeadEntries(w *quetzalfleet.World) {
	r := zoneRoster(w)
	if r == nil {
		return
	}
	for _, e := range r.Entries {
		p := w.Peers.At(w.PeerByID.Get(e.Entry))
		if p == nil || !listedGone(p, peerRemovalSilence) {
			continue
		}
		t := rosterTransaction(w, rosterWithout(w, e.Entry))
		t.Conditions = append(t.Conditions, fenceCondition(w))
		writeStore(w, quetzalfleet.ForRosterRemoval{Entry: e.Entry}, t)
		// Delays the next attempt by peerRemovalSilence.
		p.LastHeardAt = w.Now
		w.RecordDecision(quetzalfleet.DecisionRoster, string(e.Entry), "removed from the roster: the platform lists its host as gone")
		return
	}
}

// listedGone reports whether the platform lists the host of a peer as gone, in a list that was
// requested after the peer had been silent for the given time. An older list may show the end of an
// earlier process with the same entry id.
func listedGone(p *quetzalfleet.Peer, silence time.Duration) bool {
	return p.ListedState == quetzalfleet.ListedGone && p.ListedAt.Sub(p.LastHeardAt) >= silence
}

// applyRoster applies the row of a zone's roster and updates the peers in that zone.
func applyRoster(w *quetzalfleet.World, v quetzalfleet.RosterRow, rev quetzalunit.Revision) {
	row := w.RosterByZone.Get(v.Zone)
	if row == 0 {
		row = w.Rosters.Insert(quetzalfleet.Roster{Zone: v.Zone})
		w.RosterByZone.Put(v.Zone, row)
	}
	r := w.Rosters.At(row)
	wasIn := inRoster(w)
	r.Entries, r.Revision = v.Entries, rev
	w.WasInRoster = w.WasInRoster || inRoster(w)
	if wasIn && replacedInRoster(w) {
		w.RecordDecision(quetzalfleet.DecisionRoster, string(w.Self.Entry), "another process has taken this one's place in the roster; no longer serves")
	}
	for _, e := range v.Entries {
		upsertPeer(w, v.Zone, e)
	}
	deleteDepartedPeers(w, r)
	w.PlanDirty = true
	dirtyAllPools(w)
}

// upsertPeer adds or updates the peer of a roster entry. State that an earlier process
// with the same entry id reported is reset.
func upsertPeer(w *quetzalfleet.World, zone quetzalunit.ZoneID, e quetzalfleet.RosterEntry) {
	if e.Entry == w.Self.Entry {
		return
	}
	row := w.PeerByID.Get(e.Entry)
	if row == 0 {
		row = w.Peers.Insert(quetzalfleet.Peer{ID: e.Entry, LastHeardAt: w.Now})
		w.PeerByID.Put(e.Entry, row)
	}
	p := w.Peers.At(row)
	if p.Incarnation != e.Incarnation {
		p.SeenRevision, p.Stopping, p.Loads = 0, false, nil
		p.LastHeardAt = w.Now
		deleteConfirmations(w, e)
	}
	p.Zone, p.Incarnation, p.Address, p.Guest = zone, e.Incarnation, e.Address, false
}

// deleteConfirmations deletes what other processes of a roster entry have confirmed. They need not
// have lower incarnations: incarnations are taken from the wall clock, which may be set back.
func deleteConfirmations(w *quetzalfleet.World, e quetzalfleet.RosterEntry) {
	for row, c := range w.DrainConfirmations.All() {
		if c.Entry == e.Entry && c.Incarnation != e.Incarnation {
			w.DrainConfirmationByKey.Delete(quetzalfleet.DrainConfirmationKey{Entry: c.Entry, Host: c.Host})
			w.DrainConfirmations.Delete(row)
		}
	}
}

// deleteDepartedPeers deletes the peers that are no longer in a zone's roster. Guests and
// seeds are kept, as they are never in the roster.
func deleteDepartedPeers(w *quetzalfleet.World, r *quetzalfleet.Roster) {
	for row, p := range w.Peers.All() {
		if p.Zone != r.Zone || p.Guest || isSeed(p) || slices.ContainsFunc(r.Entries, func(e quetzalfleet.RosterEntry) bool { return e.Entry == p.ID }) {
			continue
		}
		w.PeerByID.Delete(p.ID)
		w.Peers.Delete(row)
	}
}

// countIdlePeers counts the zone's other entries that report no load on a pool.
func countIdlePeers(w *quetzalfleet.World, pool quetzalunit.PoolID) int {
	r := zoneRoster(w)
	if r == nil {
		return 0
	}
	idle := 0
	for _, e := range r.Entries {
		p := w.Peers.At(w.PeerByID.Get(e.Entry))
		if p != nil && !slices.ContainsFunc(p.Loads, func(l quetzalfleet.PoolLoad) bool { return l.Pool == pool }) {
			idle++
		}
	}
	return idle
}
