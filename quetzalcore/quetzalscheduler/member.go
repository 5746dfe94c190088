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
	// renewPeriod is the mean time between two renewals of this entry's member row, and between
	// two reads of the rows of members and duties.
	renewPeriod = 900 * time.Millisecond
	// memberTimeout is the time without a renewal after which an entry is considered dead. It
	// covers two missed renewals and a slow answer of the store.
	memberTimeout = 2600 * time.Millisecond
	// maxReadGap is the longest time between two reads for which a missing renewal counts against
	// an entry. After a longer gap the store was probably down, and no entry could renew.
	maxReadGap = 2 * time.Second
	// dutyValidity is how long a dispatcher extends leases after the last read that confirmed
	// its duty. Until then it keeps working without the store.
	dutyValidity = 3 * time.Second
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
	// dutyRetryDelay is the delay after a failed takeover.
	dutyRetryDelay = 400 * time.Millisecond
	// leaseExpiryTime is the time after which a lease that is no longer extended has expired, also
	// on a minion whose clock runs at minClockRate.
	leaseExpiryTime = leaseDuration*100/minClockPercent + leaseExpiryMargin
)

// hostControlDuty is the key of the host controller's duty, whose holder gives orders to hosts. The
// duty is stored among those of the pools.
const hostControlDuty quetzalunit.PoolID = "(hosts)"

// maintainMembership renews this entry's member row, reads the rows of members and duties, and takes
// over or releases duties.
func maintainMembership(w *quetzalwork.World) {
	m := &w.Membership
	if !m.RenewalInFlight {
		m.RenewalInFlight = true
		m.Heartbeat++
		w.Emit(quetzalwork.RenewMember{SentAt: w.Now, Member: quetzalwork.Member{
			Entry: w.Self.Entry, Incarnation: w.Self.Incarnation, Address: w.Self.PeerAddress, Zone: w.Self.Zone,
			Heartbeat: m.Heartbeat, Stopping: w.Stopping, CPUShare: w.Self.CPUShare,
		}})
	}
	if w.Now.Sub(w.Membership.ReadAt) >= readPeriod(w)-renewPeriod/4 {
		readMembers(w)
	}
	takeOverDuties(w)
	releaseExhaustedPools(w)
	rebalanceDuties(w)
	w.After(w.Jitter(renewPeriod), quetzalwork.MembershipDue{})
}

// readMembers reads the rows of members and duties unless a read is in flight.
func readMembers(w *quetzalwork.World) {
	if !w.Membership.ReadInFlight {
		w.Membership.ReadInFlight = true
		w.Emit(quetzalwork.ReadMembers{SinceRevision: w.Membership.SeenRevision, SentAt: w.Now})
	}
}

// rereadMembers requests a read that starts after this call. If a read is in flight, another
// one follows it, because the one in flight may return older rows.
func rereadMembers(w *quetzalwork.World) {
	w.Membership.ReadAgain = w.Membership.ReadInFlight
	readMembers(w)
}

func handleRenewal(w *quetzalwork.World, in *quetzalwork.MemberRenewed) {
	w.Membership.RenewalInFlight = false
	if in.Result == quetzalwork.StoreDone {
		w.Membership.RenewalSentAt = max(w.Membership.RenewalSentAt, in.SentAt)
	}
}

// handleMembers applies the rows of members and duties that were read, then takes over the duties
// that have become free.
func handleMembers(w *quetzalwork.World, in *quetzalwork.MembersRead) {
	m := &w.Membership
	m.ReadInFlight = false
	if m.ReadAgain {
		m.ReadAgain = false
		defer readMembers(w)
	}
	if reachable := in.Result == quetzalwork.StoreDone || in.Result == quetzalwork.StoreCompacted; reachable != m.Reachable {
		m.Reachable = reachable
		message := "The store does not answer."
		if reachable {
			message = "The store answers."
		}
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartStore, Message: message, Age: ageOf(w, m.ReadAt)})
	}
	if in.Result == quetzalwork.StoreCompacted {
		m.SeenRevision = 0
		readMembers(w)
	}
	if in.Result != quetzalwork.StoreDone {
		return
	}
	m.SeenRevision = in.SeenRevision
	// No entry can renew while the store does not answer, so after a gap the time without a
	// renewal is counted anew.
	gap := w.Now.Sub(m.ReadAt) > m.ReadPeriod+maxReadGap-renewPeriod
	m.ReadPeriod = readPeriod(w)
	m.ReadAt, m.ReadSentAt = w.Now, in.SentAt
	m.Reads++
	for _, old := range w.Members.All() {
		old.Listed = old.Listed && !in.Full
		if gap {
			old.UnchangedSince = w.Now
		}
	}
	for i := range in.Members {
		applyMemberRow(w, &in.Members[i])
	}
	for id, duty := range in.Duties {
		applyDutyRow(w, id, duty)
	}
	if c := &w.HostController; c.Held && c.Predecessor.Holder != "" && in.SentAt >= c.HeldSince {
		updateOrdersAllowedFrom(w)
	}
	updateStandbys(w)
	publishRelays(w)
	takeOverDuties(w)
	for _, p := range w.Pools.All() {
		// Tasks may have waited for this read: for new minions, or for leases that could not be
		// extended during an outage of the store.
		p.NeedsPlacement = p.NeedsPlacement || len(p.ReadySteps)+len(p.LateSteps) > 0
		if p.Held && !p.PredecessorWorkKnown && in.SentAt > p.HeldSince {
			updatePredecessorEnd(w, p)
		}
	}
}

// applyMemberRow applies the stored row of a member. UnchangedSince and RenewalSeenAt advance only
// if the row shows a new heartbeat or another process.
func applyMemberRow(w *quetzalwork.World, seen *quetzalwork.Member) {
	row := w.MemberByID.Get(seen.Entry)
	if row == 0 {
		row = w.Members.Insert(quetzalwork.Member{Entry: seen.Entry, Heartbeat: -1})
		w.MemberByID.Put(seen.Entry, row)
	}
	m := w.Members.At(row)
	changed := m.Heartbeat != seen.Heartbeat || m.Incarnation != seen.Incarnation
	at, renewed := m.UnchangedSince, m.RenewalSeenAt
	*m = *seen
	m.Listed, m.UnchangedSince, m.RenewalSeenAt = true, at, renewed
	if changed {
		m.UnchangedSince, m.RenewalSeenAt = w.Now, w.Now
	}
}

// isLive reports whether an entry's row is listed and has changed within the memberTimeout before
// the last read was sent. Time since then does not count: the entry may have renewed its row. A gap
// in the reads restarts that time.
func isLive(w *quetzalwork.World, m *quetzalwork.Member) bool {
	return m.Listed && w.Membership.ReadSentAt.Sub(m.UnchangedSince) < memberTimeout
}

// publishRelays publishes the live members through which the store can be reached, those of this
// entry's zone first.
func publishRelays(w *quetzalwork.World) {
	var near, far []quetzalunit.Address
	for _, m := range w.Members.All() {
		if m.Entry == w.Self.Entry || m.Stopping || !isLive(w, m) {
			continue
		}
		if m.Zone == w.Self.Zone {
			near = append(near, m.Address)
			continue
		}
		far = append(far, m.Address)
	}
	w.Emit(quetzalwork.SetRelays{Addresses: append(near, far...)})
}

// applyDutyRow applies the stored row of a duty unless a newer revision is known, and begins or
// ends this process's work on the duty accordingly.
func applyDutyRow(w *quetzalwork.World, id quetzalunit.PoolID, seen quetzalwork.Duty) {
	d := dutyOf(w, id)
	if seen.Revision <= d.Revision {
		return
	}
	seen.Acquiring, seen.RetryAt = d.Acquiring, d.RetryAt
	predecessor := *d
	*d = seen
	if seen.Holder == "" {
		markStopping(w, &predecessor)
	}
	mine := seen.Holder == w.Self.Entry && seen.Incarnation == w.Self.Incarnation
	if id == hostControlDuty {
		c := &w.HostController
		if c.Held && (!mine || seen.Revision != quetzalunit.Revision(c.Token)) {
			endHostControl(w, "Superseded")
		}
		if mine && !c.Held {
			beginHostControl(w, seen.Revision, predecessor)
		}
		return
	}
	row := poolRow(w, id)
	p := w.Pools.At(row)
	if p.Held && (!mine || seen.Revision != quetzalunit.Revision(p.Token)) {
		endDispatch(w, row, "Superseded")
	}
	if mine && !p.Held && !w.Stopping {
		// The takeover was stored, but its answer was lost.
		beginDispatch(w, row, seen.Revision, quetzalwork.Duty{}, true)
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
	if id == hostControlDuty {
		return &w.HostController.Duty
	}
	return &w.Pools.At(poolRow(w, id)).Duty
}

// dutyKeys returns the keys of all duties, sorted.
func dutyKeys(w *quetzalwork.World) []quetzalunit.PoolID {
	ids := []quetzalunit.PoolID{hostControlDuty}
	for _, p := range w.Pools.All() {
		ids = append(ids, p.ID)
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
		if isHolderLive(w, d) {
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
		if d.FreeSince == w.Now {
			w.Log(quetzalwork.Decision{
				Part: quetzalwork.PartDuty, Message: "The duty has no live holder; an entry was selected to take it over.", Pool: id, Version: int64(d.Revision), Reason: string(entry), Routine: true,
			})
		}
		mayTakeOver := entry == w.Self.Entry || w.Now.Sub(d.FreeSince) > candidateHeadStart
		if !mayTakeOver || d.Acquiring || w.Now < d.RetryAt {
			continue
		}
		d.Acquiring = true
		w.Emit(quetzalwork.WriteDuty{Pool: id, OfHosts: id == hostControlDuty, Expected: d.Revision, SentAt: w.Now, Duty: quetzalwork.Duty{
			Holder: w.Self.Entry, Incarnation: w.Self.Incarnation, Address: w.Self.PeerAddress,
		}})
	}
}

// isHolderLive reports whether the process that holds a duty is live.
func isHolderLive(w *quetzalwork.World, d *quetzalwork.Duty) bool {
	holder := w.Members.At(w.MemberByID.Get(d.Holder))
	return d.Holder != "" && holder != nil && holder.Incarnation == d.Incarnation && isLive(w, holder)
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
		if !m.Stopping && isLive(w, m) && w.Membership.Standbys[m.Entry] && m.Heartbeat >= startupHeartbeats {
			lowest = min(lowest, rebalanceFactor*dutiesPerCore(m, dutyCounts[m.Entry]+1))
		}
	}
	if lowest >= dutiesPerCore(self, dutyCounts[w.Self.Entry]) {
		return
	}
	for row, p := range w.Pools.All() {
		// Progress that is not stored yet is not lost: the minions report it to the successor.
		if p.Held {
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
// only if it has far more cores than the others, as after a restart of all entries. The host
// controller's duty stays with the entry that held it last, if that entry is live.
func bestCandidate(w *quetzalwork.World, id quetzalunit.PoolID, dutyCounts map[quetzalunit.EntryID]int) quetzalunit.EntryID {
	if holder := w.Members.At(w.MemberByID.Get(dutyOf(w, id).Holder)); id == hostControlDuty && holder != nil && !holder.Stopping && isLive(w, holder) {
		// Orders of two processes of the same entry do not conflict, so the entry need not wait for
		// those of its earlier process.
		return holder.Entry
	}
	var best quetzalunit.EntryID
	var bestCost float64
	var bestWeight uint64
	for _, m := range w.Members.All() {
		if m.Stopping || !isLive(w, m) || !w.Membership.Standbys[m.Entry] {
			continue
		}
		cost := dutiesPerCore(m, dutyCounts[m.Entry]+1)
		if m.Heartbeat < startupHeartbeats {
			cost *= startupCostFactor
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(strings.Join([]string{string(id), string(m.Entry)}, "/"))) // never fails
		weight := h.Sum64()
		if best == "" || cost < bestCost || cost == bestCost && weight > bestWeight {
			best, bestCost, bestWeight = m.Entry, cost, weight
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
	if in.Release && in.Pool == hostControlDuty {
		written.OrderedHosts = recentlyOrderedHosts(w)
	}
	if !in.Release {
		written.Holder, written.Incarnation, written.Address = w.Self.Entry, w.Self.Incarnation, w.Self.PeerAddress
	}
	if in.Revision > d.Revision {
		predecessor := *d
		mayBeRunning, first := holderMayBeRunning(w, d), d.Revision == 0
		*d = written
		if !in.Release && in.Pool == hostControlDuty {
			beginHostControl(w, in.Revision, predecessor)
		} else if !in.Release {
			row := poolRow(w, in.Pool)
			beginDispatch(w, row, in.Revision, predecessor, mayBeRunning)
			if first {
				w.Pools.At(row).PredecessorLeasesEnd = w.Now
			}
		}
	}
	announceDuty(w, in.Pool, written)
}

// holderMayBeRunning reports whether the holder of a duty may still be running: it has not released
// the duty, and no later process of the same entry is known.
func holderMayBeRunning(w *quetzalwork.World, d *quetzalwork.Duty) bool {
	holder := w.Members.At(w.MemberByID.Get(d.Holder))
	return d.Holder != "" && (holder == nil || holder.Incarnation == d.Incarnation)
}

// announceDuty sends the new row of a duty to every other live entry.
func announceDuty(w *quetzalwork.World, id quetzalunit.PoolID, d quetzalwork.Duty) {
	for _, m := range w.Members.All() {
		if m.Entry != w.Self.Entry && isLive(w, m) {
			w.Emit(quetzalwork.CallPeer{Address: m.Address, Message: quetzalwork.NotifyDuty{Pool: id, Duty: d}, Timeout: peerTimeout})
		}
	}
}

// beginDispatch makes this process the dispatcher of a pool. A predecessor that may still be running
// can extend leases for another dutyValidity; one that released the duty extends none.
func beginDispatch(w *quetzalwork.World, row quetzalwork.Row, revision quetzalunit.Revision, predecessor quetzalwork.Duty, mayBeRunning bool) {
	p := w.Pools.At(row)
	p.Held, p.Token, p.HeldSince = true, quetzalunit.FencingToken(revision), w.Now
	p.JobsLoaded, p.NextKey, p.ReadInFlight, p.SeenRevision, p.PredecessorWorkKnown = false, "", false, 0, false
	p.RunNumbersExhausted = false
	p.RunTimeStats = make(map[quetzalunit.QueueID]*quetzalwork.RunTimeStats)
	p.Predecessor = quetzalwork.Duty{}
	p.PredecessorLeasesEnd = w.Now.Add(leaseExpiryTime)
	if mayBeRunning {
		p.Predecessor = predecessor
		p.PredecessorLeasesEnd = w.Now.Add(dutyValidity + leaseExpiryTime)
	}
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Message: "This entry dispatches the pool.", Pool: p.ID, Version: int64(p.Token)})
	readPool(w, row, p.Token)
	for _, minion := range p.Minions {
		resetMinion(w, minion)
		schedulePoll(w, minion, 0)
	}
	w.Timers.Push(w.Now.Add(watchdogPeriod), quetzalwork.WatchdogDue{Pool: row, Token: p.Token})
}

// updatePredecessorEnd moves PredecessorLeasesEnd to an earlier instant if possible. A predecessor
// extends leases for at most dutyValidity from its last renewal, and not at all once a later
// process of the same entry runs. Only rows that were read after the takeover prove either.
func updatePredecessorEnd(w *quetzalwork.World, p *quetzalwork.Pool) {
	m := w.Members.At(w.MemberByID.Get(p.Predecessor.Holder))
	switch {
	case m == nil:
	case m.Incarnation != p.Predecessor.Incarnation:
		p.PredecessorLeasesEnd = min(p.PredecessorLeasesEnd, w.Now.Add(leaseExpiryTime))
	default:
		p.PredecessorLeasesEnd = min(p.HeldSince, m.RenewalSeenAt).Add(dutyValidity + leaseExpiryTime)
	}
}

// handlePredecessorDropped handles the predecessor's notice that it no longer dispatches the pool,
// after which its last leases expire within leaseExpiryTime.
func handlePredecessorDropped(w *quetzalwork.World, m *quetzalwork.NotifyDutyDropped) {
	p := w.Pools.At(poolRow(w, m.Pool))
	if p.Held && p.Predecessor.Holder != "" && p.Predecessor.Revision == quetzalunit.Revision(m.Token) {
		p.Predecessor = quetzalwork.Duty{}
		p.PredecessorLeasesEnd = min(p.PredecessorLeasesEnd, w.Now.Add(leaseExpiryTime))
		p.NeedsPlacement = true
	}
}

// endDispatch ends this process's dispatch of a pool, discards the pool's jobs and minion state,
// and notifies the new holder if there is one.
func endDispatch(w *quetzalwork.World, row quetzalwork.Row, reason string) {
	p := w.Pools.At(row)
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Message: "This entry no longer dispatches the pool.", Pool: p.ID, Version: int64(p.Token), Reason: reason})
	if d := &p.Duty; d.Holder != "" && d.Holder != w.Self.Entry {
		w.Emit(quetzalwork.CallPeer{Address: d.Address, Message: quetzalwork.NotifyDutyDropped{Pool: p.ID, Token: p.Token}, Timeout: peerTimeout})
	}
	for jobRow, j := range w.Jobs.All() {
		if j.Pool == row {
			deleteJob(w, jobRow)
		}
	}
	for _, minionRow := range p.Minions {
		resetMinion(w, minionRow)
	}
	p.Held, p.JobsLoaded, p.ReadySteps, p.LateSteps = false, false, nil, nil
	for i := range p.Shards {
		p.Shards[i].StoreProgressInFlight = false
		p.Shards[i].ChangedJobs.Take()
	}
}

// mayExtendLeases reports whether this process may extend leases and start runs. It may if both of
// these have succeeded within dutyValidity: a read of the duties, which confirms that this process
// still holds them, and a renewal of its member row, from which a successor tells when this process
// stopped extending leases. The renewal alone proves nothing, since it succeeds after a takeover as
// well.
func mayExtendLeases(w *quetzalwork.World) bool {
	return w.Now.Sub(min(w.Membership.ReadSentAt, w.Membership.RenewalSentAt)) < dutyValidity
}
