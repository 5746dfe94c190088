package quetzalscheduler

import (
	"fmt"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// minionListPeriod is the time between two reads of the minion list while this entry
	// dispatches a pool. A minion that begins to drain must get no new work after two seconds.
	minionListPeriod = 450 * time.Millisecond
	// shortageListPeriod replaces minionListPeriod while a dispatched pool waits for hosts.
	shortageListPeriod = 200 * time.Millisecond
	// standbyListPeriod replaces minionListPeriod at a standby that dispatches no pool.
	standbyListPeriod = 2500 * time.Millisecond
	// removedMinionRetention is how long a minion that left the list is kept in the tables for
	// a takeover. A dispatcher that still reaches such a minion keeps its runs alive for longer, which
	// a successor then does not know.
	removedMinionRetention = 16 * time.Second
)

// listMinions reads the changes of the minion list, unless a read is in flight or this entry is no
// standby.
func listMinions(w *quetzalwork.World) {
	if w.MinionList.ReadInFlight {
		return
	}
	if w.Membership.Standbys != nil && !isStandby(w) {
		forgetMinions(w)
		scheduleMinionList(w, standbyListPeriod)
		return
	}
	w.MinionList.ReadInFlight, w.MinionList.SentAt = true, w.Now
	w.Emit(quetzalwork.ListMinions{SinceRevision: w.MinionList.SeenRevision})
}

// scheduleMinionList schedules the next read of the minion list.
func scheduleMinionList(w *quetzalwork.World, delay time.Duration) {
	w.MinionList.NextReadAt = w.Now.Add(delay)
	w.After(delay, quetzalwork.MinionListDue{})
}

// listMinionsIfDue reads the minion list when a timer fires, unless the next read has been scheduled
// for a later time since the timer was set.
func listMinionsIfDue(w *quetzalwork.World) {
	if w.Now >= w.MinionList.NextReadAt {
		listMinions(w)
	}
}

// forgetMinions deletes all minions of an entry that dispatches no pool and no longer reads their list.
// At a later takeover a minion that has begun to drain meanwhile would get work, and minions that left
// the list meanwhile would count as known.
func forgetMinions(w *quetzalwork.World) {
	w.MinionList = quetzalwork.MinionList{}
	for row := range w.Minions.All() {
		deleteMinion(w, row)
	}
}

// handleMinionList applies the result of a read of the minion list and sets the timer of the next
// one.
func handleMinionList(w *quetzalwork.World, in *quetzalwork.MinionsListed) {
	l := &w.MinionList
	if in.LookBack {
		handleLookBack(w, in)
		return
	}
	l.ReadInFlight = false
	planned := l.Delay
	l.Delay = minionListDelay(w)
	scheduleMinionList(w, l.Delay)
	if in.Result == quetzalwork.StoreCompacted && l.SeenRevision != 0 {
		l.SeenRevision = 0
		listMinions(w)
	}
	if in.Result != quetzalwork.StoreDone {
		logFailedListRead(w, in.Result)
		return
	}
	l.Failing = false
	if l.AnsweredAt == 0 || l.SentAt.Sub(l.ReadSentAt) > maxListGap {
		l.ContinuousFrom = in.SeenRevision
	}
	l.Revision = in.SeenRevision
	recordListRead(w, planned)
	l.AnsweredAt = w.Now
	if l.KnownSince == 0 {
		l.KnownSince = w.Now
	}
	if in.Full {
		removeUnlistedMinions(w, in.Minions)
	}
	for i := range in.Minions {
		applyMinionRecord(w, &in.Minions[i])
	}
	for _, id := range in.Removed {
		markMinionRemoved(w, w.MinionByID.Get(id))
	}
	l.SeenRevision = in.SeenRevision
	restoreReplaced(w)
	for row, m := range w.Minions.All() {
		p := w.Pools.At(m.PoolRow)
		p.NeedsPlacement = p.NeedsPlacement || p.Held && !p.PredecessorWorkKnown
		if !m.Listed && !p.Held && w.Now.Sub(m.RemovedAt) > removedMinionRetention {
			deleteMinion(w, row)
		}
	}
	lookBack(w)
}

// logFailedListRead logs the first of several failed reads of the minion list.
func logFailedListRead(w *quetzalwork.World, result quetzalwork.StoreResult) {
	l := &w.MinionList
	if l.Failing {
		return
	}
	l.Failing = true
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartStore, Message: "The minion list cannot be read.", Age: ageOf(w, l.ReadSentAt), Reason: result.String()})
}

// minionListDelay returns the time until the next read of the minion list. A standby that
// dispatches no pool reads the list, too: at a takeover it must know the minions that the
// predecessor used and that have left the list since.
func minionListDelay(w *quetzalwork.World) time.Duration {
	delay := standbyListPeriod
	for _, p := range w.Pools.All() {
		switch {
		case p.Held && p.ShortOfCapacity:
			return shortageListPeriod
		case p.Held:
			delay = minionListPeriod
		}
	}
	return delay
}

// removeUnlistedMinions marks as removed every minion that a full list does not contain.
func removeUnlistedMinions(w *quetzalwork.World, records []quetzalwork.MinionRecord) {
	listed := make(map[quetzalunit.MinionID]bool, len(records))
	for i := range records {
		listed[records[i].ID] = true
	}
	for row, m := range w.Minions.All() {
		if !listed[m.ID] {
			markMinionRemoved(w, row)
		}
	}
}

// markMinionRemoved marks a minion as removed from the list. It gets no new work.
func markMinionRemoved(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	if m == nil || !m.Listed {
		return
	}
	m.Listed, m.RemovedAt, m.RemovedRevision = false, w.Now, w.MinionList.Revision
	if p := w.Pools.At(m.PoolRow); p.Held {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "The minion left the list.", Minion: m.ID, Pool: m.Pool, Age: ageOf(w, m.LastAnsweredAt)})
		schedulePoll(w, row, 0)
	}
}

// applyMinionRecord inserts or updates a minion from its record in the minion list.
func applyMinionRecord(w *quetzalwork.World, r *quetzalwork.MinionRecord) {
	pool := poolRow(w, r.Pool)
	p := w.Pools.At(pool)
	row := w.MinionByID.Get(r.ID)
	if m := w.Minions.At(row); m != nil && m.PoolRow != pool {
		if !leaveFormerPool(w, row, r) {
			return
		}
		row = 0
	}
	if row == 0 {
		row = w.Minions.Insert(quetzalwork.Minion{MinionRecord: *r, PoolRow: pool, FirstSeenAt: w.Now, Listed: true, Slowdown: 1})
		w.MinionByID.Put(r.ID, row)
		retireEarlierMinions(w, r)
		p.Minions = append(p.Minions, row)
		raiseOrderToken(w, w.Minions.At(row))
		if p.Held {
			w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "A minion joined the pool.", Minion: r.ID, Pool: r.Pool, Host: r.Host, Version: int64(r.Incarnation)})
			schedulePoll(w, row, 0)
			// The minion gets no task before a read of the duties that follows; see usable.
			rereadMembers(w)
		}
	}
	m := w.Minions.At(row)
	if m.Incarnation != 0 && r.Incarnation != 0 && r.Incarnation > m.Incarnation {
		resetRestartedMinion(w, row, r.Incarnation, restartInList)
	}
	incarnation := max(m.Incarnation, r.Incarnation)
	if r.Incarnation != 0 && r.Incarnation < m.RecordIncarnation {
		// The minion has restarted with an earlier time of day, unless the record comes from another writer.
		m.RestartSeenAt = w.Now
		if p.Held {
			schedulePoll(w, row, 0)
		}
	}
	if r.Draining && !m.Draining {
		m.DrainUntil = w.Now.Add(r.DrainRemaining)
	}
	if r.Draining && !m.Draining && p.Held {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "The minion is draining.", Minion: r.ID, Pool: r.Pool, Age: r.DrainRemaining})
	}
	if r.Capacity != m.Capacity && p.Held {
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartMinion, Message: "The minion's capacity has changed.", Minion: r.ID, Pool: r.Pool,
			Reason: fmt.Sprintf("Cores%dMemory%dAccelerators%d", r.Capacity.Cores, r.Capacity.Memory, r.Capacity.Accelerators),
		})
	}
	m.MinionRecord = *r
	m.Incarnation, m.RecordIncarnation, m.Listed = incarnation, r.Incarnation, true
	p.NeedsPlacement = true
}

// leaveFormerPool deletes a minion whose record is of another pool now. It returns false if that record does not count:
// only a later incarnation can belong to another pool, and a record of a pool that no configuration declares may come
// from another writer. Nobody may use the minion then, but its runs continue.
func leaveFormerPool(w *quetzalwork.World, row quetzalwork.Row, r *quetzalwork.MinionRecord) bool {
	if r.Incarnation <= w.Minions.At(row).Incarnation {
		return false
	}
	if w.Config.Known && !isConfigured(w, r.Pool) {
		markMinionRemoved(w, row)
		return false
	}
	endMinionRuns(w, row, "Moved", &quetzalwork.Proof{Kind: quetzalwork.ProofLaterRecord, Incarnation: r.Incarnation, Age: w.Now.Sub(w.MinionList.ReadSentAt)})
	deleteMinion(w, row)
	return true
}

// retireEarlierMinions marks earlier minions on the same host as replaced and ends their runs,
// because only one minion runs on a host at a time. Minions of pools that no configuration declares do not count.
func retireEarlierMinions(w *quetzalwork.World, r *quetzalwork.MinionRecord) {
	if r.Host == "" || r.Incarnation == 0 || !isConfigured(w, r.Pool) {
		return
	}
	for row, m := range w.Minions.All() {
		if m.Host != r.Host || m.ID == r.ID || m.Replaced || !isConfigured(w, m.Pool) {
			continue
		}
		if m.Incarnation > r.Incarnation {
			// One that joins after the other has left the list is the later one: the time of day was set back before its start.
			if m.Listed {
				markReplaced(w, w.Minions.At(w.MinionByID.Get(r.ID)), m.ID, m.Incarnation)
			}
			continue
		}
		markReplaced(w, m, r.ID, r.Incarnation)
		discardOpenEnds(w, m, "Replaced")
		proof := replacementProof(w, m)
		if m.Pool == r.Pool {
			endCrashedRuns(w, row, "Replaced", &proof)
		} else {
			// The host has moved to another pool.
			endMinionRuns(w, row, "Replaced", &proof)
		}
	}
}

// markReplaced records which later minion of its host replaces a minion, by the list that was read last.
func markReplaced(w *quetzalwork.World, m *quetzalwork.Minion, by quetzalunit.MinionID, incarnation quetzalunit.MinionIncarnation) {
	m.Replaced, m.Replacement = true, quetzalwork.Replacement{By: by, Incarnation: incarnation, SentAt: w.MinionList.ReadSentAt}
}

// restoreReplaced lets minions that seemed replaced be used again if they alone of their hosts are listed. The time of day was
// set back before they started, and the minions with later starts have ended.
func restoreReplaced(w *quetzalwork.World) {
	for row, m := range w.Minions.All() {
		if !m.Replaced || !m.Listed || !isConfigured(w, m.Pool) || hasListedMinion(w, m.Host) {
			continue
		}
		m.Replaced = false
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "A minion that seemed replaced is the only one of its host.", Minion: m.ID, Pool: m.Pool, Host: m.Host, Version: int64(m.Incarnation)})
		if w.Pools.At(m.PoolRow).Held {
			schedulePoll(w, row, 0)
		}
	}
}

// hasListedMinion reports whether a minion that is not replaced is listed for a host.
func hasListedMinion(w *quetzalwork.World, host quetzalunit.HostID) bool {
	for _, m := range w.Minions.All() {
		if m.Host == host && m.Listed && !m.Replaced && isConfigured(w, m.Pool) {
			return true
		}
	}
	return false
}

// endMinionRuns ends all runs of a minion. The caller must know for certain that none of them
// continues, by a proof for the log.
func endMinionRuns(w *quetzalwork.World, row quetzalwork.Row, reason string, proof *quetzalwork.Proof) {
	m := w.Minions.At(row)
	logGivenUp(w, m, reason, proof)
	m.Untracked = quetzalwork.UntrackedRuns{}
	for _, run := range slices.Clone(m.Runs) {
		endRun(w, run, quetzalwork.OutcomeLapsed, "", reason, proof)
	}
}

// logGivenUp logs that the runs of a minion are given up, and what else this process may not hear of. The lines on its
// runs are routine, and left out at the peak.
func logGivenUp(w *quetzalwork.World, m *quetzalwork.Minion, reason string, proof *quetzalwork.Proof) {
	if len(m.Runs) == 0 && len(m.Ends.Open()) == 0 && m.Untracked.Count == 0 {
		return
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "The runs of a minion are given up.", Minion: m.ID, Pool: m.Pool, Host: m.Host, Version: int64(len(m.Runs)),
		Age: ageOf(w, m.LastAnsweredAt), Reason: reason + openWork(m), Proof: proof,
	})
}

// openWork tells, beside its runs, how many ends and runs a minion has reported that are neither acknowledged nor in the tables.
func openWork(m *quetzalwork.Minion) string {
	return fmt.Sprintf("Unacked%dPending%tUntracked%d", len(m.Ends.Open()), m.EndsPending, m.Untracked.Count)
}

// logDeleted logs that a minion is removed from the tables although this process may not have heard of all that it has run.
func logDeleted(w *quetzalwork.World, m *quetzalwork.Minion) {
	if len(m.Runs) == 0 && len(m.Ends.Open()) == 0 && !m.EndsPending && m.Untracked.Count == 0 && (!m.Answered || m.EndsKnown) {
		return
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "A minion is removed from the tables with runs or ends.", Minion: m.ID, Pool: m.Pool, Host: m.Host, Version: int64(len(m.Runs)),
		Age: ageOf(w, m.LastAnsweredAt), Reason: openWork(m),
	})
}

// deleteMinion removes a minion and its runs from the tables.
func deleteMinion(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	logDeleted(w, m)
	for _, run := range slices.Clone(m.Runs) {
		removeRun(w, run)
	}
	if p := w.Pools.At(m.PoolRow); p != nil {
		p.Minions = slices.DeleteFunc(p.Minions, func(r quetzalwork.Row) bool { return r == row })
	}
	w.MinionByID.Delete(m.ID)
	w.Minions.Delete(row)
}

// resetMinion discards everything that a minion has reported, because the dispatch of its pool
// by this process begins or ends. Only what the minion list says of it stays.
func resetMinion(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	for _, run := range slices.Clone(m.Runs) {
		removeRun(w, run)
	}
	*m = quetzalwork.Minion{
		MinionRecord: m.MinionRecord, RecordIncarnation: m.RecordIncarnation, PoolRow: m.PoolRow, FirstSeenAt: m.FirstSeenAt, RestartSeenAt: m.RestartSeenAt, Listed: m.Listed, Replaced: m.Replaced,
		Replacement: m.Replacement, RemovedAt: m.RemovedAt, RemovedRevision: m.RemovedRevision, DrainUntil: m.DrainUntil, Slowdown: 1,
	}
}
