package quetzalscheduler

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// startupDelay is the time after its start in which an entry takes over no duty, so that
	// entries that start together share the duties.
	startupDelay = 700 * time.Millisecond
	// startupHeartbeats is the number of renewals after which an entry no longer counts as starting.
	startupHeartbeats quetzalunit.Heartbeat = 2
	// startupCostFactor multiplies the cost of a duty at an entry that is still starting.
	startupCostFactor = 1.5
	// rebalancePeriod is the minimum time between two releases of duties to balance the load, and
	// the minimum uptime of an entry before the first one.
	rebalancePeriod = 1500 * time.Millisecond
	// rebalanceFactor is the factor by which a duty must cost less at another entry before it is
	// released.
	rebalanceFactor = 1.3
	// candidateHeadStart is how long the best candidate may try to take over a free duty before the
	// other entries try as well.
	candidateHeadStart = 1500 * time.Millisecond
	// passedOverTime is how long an entry that did not take a duty over in that time is no candidate. It
	// may be slow, or its writes may be lost, while its renewals succeed; each further duty that is left to it would
	// wait for candidateHeadStart again.
	passedOverTime = 30 * time.Second
	// dutyRetryDelay is the delay after a failed takeover.
	dutyRetryDelay = 400 * time.Millisecond
)

// applyDutyRow applies the stored row of a duty unless a newer revision is known, and begins or
// ends this process's work on the duty accordingly.
func applyDutyRow(w *quetzalwork.World, id quetzalunit.PoolID, seen quetzalwork.Duty) {
	d := dutyOf(w, id)
	if seen.Revision <= d.Revision {
		return
	}
	seen.Acquiring, seen.RetryAt = d.Acquiring, d.RetryAt
	setEarlierLeasesEnd(w, &seen)
	predecessor, mayBeRunning := *d, holderMayBeRunning(w, d)
	*d = seen
	if seen.Holder == "" {
		markStopping(w, &predecessor)
	} else {
		rateCandidates(w, id, &predecessor, seen.Holder)
	}
	mine := seen.Holder == w.Self.Entry && seen.Incarnation == w.Self.Incarnation
	if id == quetzalwork.HostControlDuty {
		c := &w.HostController
		if c.Held && (!mine || seen.Revision != quetzalunit.Revision(c.Token)) {
			endHostControl(w, "Superseded")
		}
		if mine && !c.Held {
			// The takeover was stored, but its answer was lost.
			beginHostControl(w, seen.Revision, predecessor, 0)
		}
		return
	}
	row := poolRow(w, id)
	p := w.Pools.At(row)
	if p.Held && (!mine || seen.Revision != quetzalunit.Revision(p.Token)) {
		endDispatch(w, row, "Superseded")
	}
	notifyDutyDropped(w, p)
	if mine && !p.Held && !w.Stopping {
		// The takeover was stored, but its answer was lost or has not arrived yet. It was conditional on
		// the row that this process knew, and no later one can have preceded it.
		beginDispatch(w, row, seen.Revision, predecessor, mayBeRunning || predecessor.Revision == 0)
	}
}

// markStopping marks the former holder of a released duty as stopping. An entry that stops
// releases its duties, and its member row may not show the stop yet.
func markStopping(w *quetzalwork.World, d *quetzalwork.Duty) {
	if m := w.Members.At(w.MemberByID.Get(d.Holder)); m != nil && m.Incarnation == d.Incarnation {
		m.Stopping = true
	}
}

// dutyOf returns the local copy of a duty's row.
func dutyOf(w *quetzalwork.World, id quetzalunit.PoolID) *quetzalwork.Duty {
	if id == quetzalwork.HostControlDuty {
		return &w.HostController.Duty
	}
	return &w.Pools.At(poolRow(w, id)).Duty
}

// dutyKeys returns the keys of all duties, sorted. A pool that no configuration has declared has none.
func dutyKeys(w *quetzalwork.World) []quetzalunit.PoolID {
	ids := []quetzalunit.PoolID{quetzalwork.HostControlDuty}
	for _, p := range w.Pools.All() {
		if p.Configured {
			ids = append(ids, p.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// takeOverDuties takes over the free duties for which this entry is the best candidate, or whose
// best candidate has not taken them over within candidateHeadStart.
func takeOverDuties(w *quetzalwork.World) {
	m := &w.Membership
	if w.Stopping || !w.Config.Known || m.Reads == 0 || w.Now.Sub(w.StartedAt) < startupDelay || w.Now.Sub(m.ReadAt) > maxReadGap {
		return
	}
	dutyCounts := make(map[quetzalunit.EntryID]int)
	ids := dutyKeys(w)
	var free []quetzalunit.PoolID
	for _, id := range ids {
		d := dutyOf(w, id)
		if isDutyHeld(w, id, d) {
			dutyCounts[d.Holder]++
			d.FreeSince = 0
			continue
		}
		if d.FreeSince == 0 {
			d.FreeSince = w.Now
		}
		if d.Holder != "" && w.Members.At(w.MemberByID.Get(d.Holder)) == nil && w.Now.Sub(d.FreeSince) < memberTimeout {
			// The member row of the holder may not have been read yet.
			dutyCounts[d.Holder]++
			continue
		}
		free = append(free, id)
	}
	for _, id := range free {
		entry := bestCandidate(w, id, dutyCounts)
		dutyCounts[entry]++
		d := dutyOf(w, id)
		d.LeftTo = entry
		if d.FreeSince == w.Now {
			w.Log(quetzalwork.Decision{
				Part: quetzalwork.PartDuty, Message: "The duty has no live holder; an entry was selected to take it over.", Pool: id, Version: int64(d.Revision), Reason: string(entry), Routine: true,
			})
		}
		mayTakeOver := entry == w.Self.Entry || w.Now.Sub(d.FreeSince) > candidateHeadStart
		if !mayTakeOver || d.Acquiring || w.Now < d.RetryAt {
			continue
		}
		acquireDuty(w, id, d)
	}
}

// rateCandidates records that an entry has taken over a free duty. If it was left to another one for most of
// candidateHeadStart, that one did not act. If the others did not follow soon after the head start, nobody could write,
// and it is not to blame. Each entry judges by what it has seen itself.
func rateCandidates(w *quetzalwork.World, id quetzalunit.PoolID, free *quetzalwork.Duty, holder quetzalunit.EntryID) {
	waited := w.Now.Sub(free.FreeSince)
	if free.FreeSince != 0 && free.LeftTo != holder && waited > candidateHeadStart/2 && waited < candidateHeadStart+2*renewPeriod {
		passOver(w, id, free.LeftTo)
	}
	if m := w.Members.At(w.MemberByID.Get(holder)); m != nil {
		m.PassedOverUntil = 0
	}
}

// passOver excludes an entry from the candidates for duties for passedOverTime. An entry does not exclude itself:
// the others may not have seen that it was late, and leave duties to it.
func passOver(w *quetzalwork.World, id quetzalunit.PoolID, entry quetzalunit.EntryID) {
	m := w.Members.At(w.MemberByID.Get(entry))
	if m == nil || entry == w.Self.Entry {
		return
	}
	m.PassedOverUntil = w.Now.Add(passedOverTime)
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartDuty, Message: "The selected entry has not taken the duty over; it is passed over.", Pool: id, Version: int64(dutyOf(w, id).Revision), Reason: string(entry),
	})
}

// isCandidate reports whether an entry may take duties over.
func isCandidate(w *quetzalwork.World, m *quetzalwork.Member) bool {
	return !m.Stopping && isLive(w, m) && w.Membership.Standbys[m.Entry]
}

// noteFreeDuty records that a duty was released. An entry that reads the rows rarely reads them again soon if the duty
// is still free then: all standbys may be stopping.
func noteFreeDuty(w *quetzalwork.World, id quetzalunit.PoolID) {
	if d := dutyOf(w, id); d.Holder == "" && d.FreeSince == 0 {
		d.FreeSince = w.Now
	}
}

// acquireDuty writes a duty's row with this process as the holder, if the row is still the one that
// this process has seen. A takeover of the host controller's duty also requires the lease that this
// process has seen, unless the duty was released.
func acquireDuty(w *quetzalwork.World, id quetzalunit.PoolID, d *quetzalwork.Duty) {
	d.Acquiring = true
	c := quetzalwork.WriteDuty{Pool: id, OfHosts: id == quetzalwork.HostControlDuty, Expected: d.Revision, SentAt: w.Now, Duty: quetzalwork.Duty{
		Holder: w.Self.Entry, Incarnation: w.Self.Incarnation, Address: w.Self.PeerAddress, EarlierLeases: waitAtTakeover(w, id, d),
	}}
	if c.OfHosts && d.Holder != "" {
		c.CheckLease, c.ExpectedLease = true, w.HostController.Lease.Revision
	}
	w.Emit(c)
}

// waitAtTakeover returns how long this process will wait for holders before it after a takeover of a
// duty, as far as a successor of this process would not wait anyway.
func waitAtTakeover(w *quetzalwork.World, id quetzalunit.PoolID, d *quetzalwork.Duty) time.Duration {
	if id == quetzalwork.HostControlDuty {
		return max(0, predecessorOrdersEnd(w, d).Sub(w.Now))
	}
	return leasesAtTakeover(w, d)
}

// isDutyHeld reports whether a duty has a holder that may be live: it renews its member row, or as the
// host controller its lease.
func isDutyHeld(w *quetzalwork.World, id quetzalunit.PoolID, d *quetzalwork.Duty) bool {
	return isHolderLive(w, d) || id == quetzalwork.HostControlDuty && hostLeaseMayBeRenewed(w)
}

// isHolderLive reports whether the process that holds a duty is live.
func isHolderLive(w *quetzalwork.World, d *quetzalwork.Duty) bool {
	holder := w.Members.At(w.MemberByID.Get(d.Holder))
	return d.Holder != "" && holder != nil && !isReplaced(w, d, holder) && isLive(w, holder)
}

// isReplaced reports whether another process of the holder's entry has replaced the one that holds a
// duty. A member row of an earlier process shows no replacement: the store may have carried out its
// renewal late, over the row of the holder. Incarnations are taken from the wall clock, so only the
// entry itself knows for certain which of its processes runs.
func isReplaced(w *quetzalwork.World, d *quetzalwork.Duty, holder *quetzalwork.Member) bool {
	if d.Holder == w.Self.Entry {
		return d.Incarnation != w.Self.Incarnation
	}
	return holder.Incarnation > d.Incarnation
}

// dutiesPerCore returns the number of duties per core of an entry.
func dutiesPerCore(m *quetzalwork.Member, duties int) float64 {
	return float64(duties) / coresOf(m.CPUShare)
}

// coresOf converts a CPU share to cores. An unknown share counts as one core.
func coresOf(share quetzalunit.Percent) float64 {
	const core = 100
	if share <= 0 {
		return 1
	}
	return float64(share) / core
}

// releaseExhaustedPools releases the duties of the pools in which a task has no run number left.
func releaseExhaustedPools(w *quetzalwork.World) {
	for row, p := range w.Pools.All() {
		if p.Held && p.RunNumbersExhausted && !w.Stopping {
			releaseDuty(w, p.ID)
			endDispatch(w, row, "RunNumbers")
		}
	}
}

// rebalanceDuties releases one pool's duty if another entry would have sufficiently fewer duties
// per core after taking it over.
func rebalanceDuties(w *quetzalwork.World) {
	if w.Stopping || w.PendingReleases > 0 || w.Now.Sub(w.Membership.RebalancedAt) < rebalancePeriod || w.Now.Sub(w.StartedAt) < rebalancePeriod {
		return
	}
	dutyCounts := make(map[quetzalunit.EntryID]int)
	for _, id := range dutyKeys(w) {
		d := dutyOf(w, id)
		if !isHolderLive(w, d) {
			return
		}
		dutyCounts[d.Holder]++
	}
	self := w.Members.At(w.MemberByID.Get(w.Self.Entry))
	if self == nil || dutyCounts[w.Self.Entry] == 0 {
		return
	}
	lowest := dutiesPerCore(self, dutyCounts[w.Self.Entry])
	for _, m := range w.Members.All() {
		if isCandidate(w, m) && w.Now >= m.PassedOverUntil && m.Heartbeat >= startupHeartbeats {
			lowest = min(lowest, rebalanceFactor*dutiesPerCore(m, dutyCounts[m.Entry]+1))
		}
	}
	if lowest >= dutiesPerCore(self, dutyCounts[w.Self.Entry]) {
		return
	}
	for row, p := range w.Pools.All() {
		// Progress that is not stored yet is not lost: the minions report it to the successor. A pool
		// whose predecessor's work is not known yet would wait for it at the next entry, too.
		if p.Held && p.PredecessorWorkKnown {
			w.Membership.RebalancedAt = w.Now
			releaseDuty(w, p.ID)
			endDispatch(w, row, "Shared")
			return
		}
	}
}

// bestCandidate returns the live standby that would have the fewest duties per core after taking over
// one more; ties are broken by a hash, so that all entries agree. An entry that is still starting
// has its cost multiplied by startupCostFactor: it takes over no duty yet and is worth waiting for
// only if it has far more cores than the others, as after a restart of all entries. Entries that are passed
// over come after all others. The host controller's duty stays with the entry that held it last, if that entry is live.
func bestCandidate(w *quetzalwork.World, id quetzalunit.PoolID, dutyCounts map[quetzalunit.EntryID]int) quetzalunit.EntryID {
	if holder := w.Members.At(w.MemberByID.Get(dutyOf(w, id).Holder)); id == quetzalwork.HostControlDuty && holder != nil && !holder.Stopping && isLive(w, holder) {
		// Orders of two processes of the same entry do not conflict, so the entry need not wait for
		// those of its earlier process.
		return holder.Entry
	}
	var best quetzalunit.EntryID
	var bestCost float64
	var bestWeight uint64
	bestPassedOver := false
	for _, m := range w.Members.All() {
		if !isCandidate(w, m) {
			continue
		}
		cost, passedOver := dutiesPerCore(m, dutyCounts[m.Entry]+1), w.Now < m.PassedOverUntil
		if m.Heartbeat < startupHeartbeats {
			cost *= startupCostFactor
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(strings.Join([]string{string(id), string(m.Entry)}, "/"))) // never fails
		weight := h.Sum64()
		better := cost < bestCost || cost == bestCost && weight > bestWeight
		if best == "" || bestPassedOver && !passedOver || bestPassedOver == passedOver && better {
			best, bestCost, bestWeight, bestPassedOver = m.Entry, cost, weight, passedOver
		}
	}
	return best
}

// handleDutyWritten applies the result of taking over or releasing a duty.
func handleDutyWritten(w *quetzalwork.World, in *quetzalwork.DutyWritten) {
	d := dutyOf(w, in.Pool)
	d.Acquiring = false
	if in.Release {
		handleReleaseResult(w, in)
	}
	if in.Result != quetzalwork.StoreDone {
		d.RetryAt = w.Now.Add(w.Jitter(dutyRetryDelay))
		return
	}
	written := quetzalwork.Duty{Revision: in.Revision}
	switch {
	case !in.Release:
		written.Holder, written.Incarnation, written.Address = w.Self.Entry, w.Self.Incarnation, w.Self.PeerAddress
		written.EarlierLeases = waitAtTakeover(w, in.Pool, d)
	case in.Pool == quetzalwork.HostControlDuty:
		written.OrderedHosts, written.EarlierLeases = recentlyOrderedHosts(w), remainingWait(w)
	default:
		written.Leases = w.Pools.At(poolRow(w, in.Pool)).OwnRelease
		written.EarlierLeases = leasesAtRelease(written.Leases)
	}
	setEarlierLeasesEnd(w, &written)
	if in.Revision > d.Revision {
		predecessor := *d
		mayBeRunning, first := holderMayBeRunning(w, d), d.Revision == 0
		if !in.Release {
			rateCandidates(w, in.Pool, &predecessor, w.Self.Entry)
		}
		*d = written
		if !in.Release && in.Pool == quetzalwork.HostControlDuty {
			beginHostControl(w, in.Revision, predecessor, in.SentAt)
		} else if !in.Release {
			row := poolRow(w, in.Pool)
			if w.Pools.At(row).Held {
				// This process's renewals are lost: its duty looked free.
				endDispatch(w, row, "Superseded")
			}
			beginDispatch(w, row, in.Revision, predecessor, mayBeRunning)
			if first {
				p := w.Pools.At(row)
				p.PredecessorLeasesEnd, p.PredecessorProof = w.Now, quetzalwork.ProofNoDispatcher
			}
		}
	}
	announceDuty(w, in.Pool, written)
	if in.Pool != quetzalwork.HostControlDuty {
		notifyDutyDropped(w, w.Pools.At(poolRow(w, in.Pool)))
	}
	if in.Release {
		// Selects the next holder, as the others do when they get the announcement.
		takeOverDuties(w)
	}
}

// holderMayBeRunning reports whether the holder of a duty may still be running: it has not released
// the duty, and no later process of the same entry is known. A member row of an earlier process proves
// nothing: the store may have carried out its renewal late, over the row of the holder.
func holderMayBeRunning(w *quetzalwork.World, d *quetzalwork.Duty) bool {
	holder := w.Members.At(w.MemberByID.Get(d.Holder))
	return d.Holder != "" && (holder == nil || holder.Incarnation <= d.Incarnation)
}

// announceDuty sends the new row of a duty to every other live entry.
func announceDuty(w *quetzalwork.World, id quetzalunit.PoolID, d quetzalwork.Duty) {
	for _, m := range w.Members.All() {
		if m.Entry != w.Self.Entry && isLive(w, m) {
			w.Emit(quetzalwork.CallPeer{Address: m.Address, Message: quetzalwork.NotifyDuty{Pool: id, Duty: d}, Timeout: peerTimeout})
		}
	}
}
