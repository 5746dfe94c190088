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
	// deathAfter is the time without a renewal after which an entry is considered dead. It
	// covers two missed renewals and a slow answer of the store.
	deathAfter = 2600 * time.Millisecond
	// readGap is the longest time between two reads for which a missing renewal counts against
	// an entry. After a longer gap the store was probably down, and no entry could renew.
	readGap = 2 * time.Second
	// suspendAfter is how long a dispatcher extends leases after the last read that confirmed
	// its duty. Until then it keeps working without the store.
	suspendAfter = 3 * time.Second
	// settleTime is the time after its start in which an entry takes over no duty, so that
	// entries that start together share the duties.
	settleTime = 700 * time.Millisecond
	// settledBeat is the number of renewals after which an entry no longer counts as starting.
	settledBeat quetzalunit.Beat = 2
	// startingCost multiplies the cost of a duty at an entry that is still starting.
	startingCost = 1.5
	// sharePeriod is the minimum time between two releases of duties to balance the load, and
	// the minimum uptime of an entry before the first one.
	sharePeriod = 1500 * time.Millisecond
	// shareGain is the factor by which a duty must cost less at another entry before it is
	// released.
	shareGain = 1.3
	// candidateTime is how long the best candidate may try to take over a free duty before the
	// other entries try as well.
	candidateTime = 1500 * time.Millisecond
	// dutyRetry is the delay after a failed takeover.
	dutyRetry = 400 * time.Millisecond
	// leaseEnd is the time after which a lease that is no longer extended has expired, also on a
	// minion whose clock runs 3 % slow.
	leaseEnd = leaseTime*103/100 + lapseSlack
)

// conductorDuty is the key of the duty that gives orders to hosts, which is stored among the
// duties of the pools.
const conductorDuty quetzalunit.PoolID = "(hosts)"

// tendMembership renews this entry's member row, reads the rows of the others, and takes over or
// releases duties.
func tendMembership(w *quetzalwork.World) {
	m := &w.Membership
	if !m.Renewing {
		m.Renewing = true
		m.Beat++
		w.Emit(quetzalwork.RenewMember{SentAt: w.Now, Member: quetzalwork.Member{
			Entry: w.Self.Entry, Incarnation: w.Self.Incarnation, Address: w.Self.PeerAddress, Zone: w.Self.Zone,
			Beat: m.Beat, Stopping: w.Stopping, Share: w.Self.Share,
		}})
	}
	readMembers(w)
	tendDuties(w)
	shareDuties(w)
	w.After(w.Jitter(renewPeriod), quetzalwork.MembershipDue{})
}

// readMembers reads the rows of members and duties unless a read is in flight.
func readMembers(w *quetzalwork.World) {
	if !w.Membership.Reading {
		w.Membership.Reading = true
		w.Emit(quetzalwork.ReadMembers{After: w.Membership.Seen, SentAt: w.Now})
	}
}

// readMembersAgain requests a read that starts after this call. If a read is in flight, another
// one follows it, because the one in flight may return older rows.
func readMembersAgain(w *quetzalwork.World) {
	w.Membership.ReadAgain = w.Membership.Reading
	readMembers(w)
}

func hearRenewal(w *quetzalwork.World, in *quetzalwork.MemberRenewed) {
	w.Membership.Renewing = false
	if in.Result == quetzalwork.StoreDone {
		w.Membership.RenewedAt = max(w.Membership.RenewedAt, in.SentAt)
	}
}

func hearMembers(w *quetzalwork.World, in *quetzalwork.MembersRead) {
	m := &w.Membership
	m.Reading = false
	if m.ReadAgain {
		m.ReadAgain = false
		defer readMembers(w)
	}
	if reachable := in.Result == quetzalwork.StoreDone || in.Result == quetzalwork.StoreCompacted; reachable != m.Reachable {
		m.Reachable = reachable
		text := "The store does not answer."
		if reachable {
			text = "The store answers."
		}
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartStore, Text: text, Age: ageOf(w, m.ReadAt)})
	}
	if in.Result == quetzalwork.StoreCompacted {
		m.Seen = 0
		readMembers(w)
	}
	if in.Result != quetzalwork.StoreDone {
		return
	}
	m.Seen = in.Seen
	// No entry can renew while the store does not answer, so after a gap the time without a
	// renewal is counted anew.
	gap := w.Now.Sub(m.ReadAt) > readGap
	m.ReadAt, m.ReadSentAt = w.Now, in.SentAt
	m.Reads++
	for _, old := range w.Members.All() {
		old.Listed = old.Listed && !in.Full
		if gap {
			old.ChangedAt = w.Now
		}
	}
	for i := range in.Members {
		seeMember(w, &in.Members[i])
	}
	for id, duty := range in.Duties {
		seeDuty(w, id, duty)
	}
	emitRelays(w)
	tendDuties(w)
	for _, p := range w.Pools.All() {
		// Tasks may have waited for this read: for new minions, or for leases that could not be
		// extended during an outage of the store.
		p.Dirty = p.Dirty || len(p.Ready) > 0
		if p.Held && !p.OldKnown && in.SentAt > p.TakenAt {
			watchPredecessor(w, p)
		}
	}
}

// seeMember applies the stored row of a member. ChangedAt and RenewedAt advance only if the row
// has changed.
func seeMember(w *quetzalwork.World, seen *quetzalwork.Member) {
	row := w.MemberByID.Get(seen.Entry)
	if row == 0 {
		row = w.Members.Insert(quetzalwork.Member{Entry: seen.Entry, Beat: -1})
		w.MemberByID.Put(seen.Entry, row)
	}
	m := w.Members.At(row)
	changed := m.Beat != seen.Beat || m.Incarnation != seen.Incarnation
	at, renewed := m.ChangedAt, m.RenewedAt
	*m = *seen
	m.Listed, m.ChangedAt, m.RenewedAt = true, at, renewed
	if changed {
		m.ChangedAt, m.RenewedAt = w.Now, w.Now
	}
}

// isLive reports whether an entry has renewed its row within deathAfter.
func isLive(w *quetzalwork.World, m *quetzalwork.Member) bool {
	return m.Listed && w.Now.Sub(m.ChangedAt) < deathAfter
}

// emitRelays publishes the live members through which the store can be reached, those of this
// entry's zone first.
func emitRelays(w *quetzalwork.World) {
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
	w.Emit(quetzalwork.Relays{Addresses: append(near, far...)})
}

// seeDuty applies the stored row of a duty unless a newer revision is known, and starts or ends
// this process's work on the duty accordingly.
func seeDuty(w *quetzalwork.World, id quetzalunit.PoolID, seen quetzalwork.Duty) {
	d := dutyOf(w, id)
	if seen.Revision <= d.Revision {
		return
	}
	seen.Taking, seen.RetryAt = d.Taking, d.RetryAt
	predecessor := *d
	*d = seen
	if seen.Holder == "" {
		markStopping(w, &predecessor)
	}
	mine := seen.Holder == w.Self.Entry && seen.Incarnation == w.Self.Incarnation
	if id == conductorDuty {
		c := &w.Conductor
		if c.Held && (!mine || seen.Revision != quetzalunit.Revision(c.Token)) {
			dropConductor(w, "Superseded")
		}
		if mine && !c.Held {
			beginConductor(w, seen.Revision, predecessor)
		}
		return
	}
	row := poolRow(w, id)
	p := w.Pools.At(row)
	if p.Held && (!mine || seen.Revision != quetzalunit.Revision(p.Token)) {
		dropPool(w, row, "Superseded")
	}
	if mine && !p.Held && !w.Stopping {
		// The takeover was stored, but its answer was lost.
		beginPool(w, row, seen.Revision, quetzalwork.Duty{}, true)
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
	if id == conductorDuty {
		return &w.Conductor.Duty
	}
	return &w.Pools.At(poolRow(w, id)).Duty
}

// duties returns the keys of all duties, sorted.
func duties(w *quetzalwork.World) []quetzalunit.PoolID {
	ids := []quetzalunit.PoolID{conductorDuty}
	for _, p := range w.Pools.All() {
		ids = append(ids, p.ID)
	}
	slices.Sort(ids)
	return ids
}

// tendDuties takes over the free duties for which this entry is the best candidate, or whose best
// candidate has not taken them over within candidateTime.
func tendDuties(w *quetzalwork.World) {
	m := &w.Membership
	if w.Stopping || !w.Fleet.Known || m.Reads == 0 || w.Now.Sub(w.StartedAt) < settleTime || w.Now.Sub(m.ReadAt) > readGap {
		return
	}
	load := make(map[quetzalunit.EntryID]int)
	ids := duties(w)
	var free []quetzalunit.PoolID
	for _, id := range ids {
		d := dutyOf(w, id)
		if holderLives(w, d) {
			load[d.Holder]++
			d.FreeSince = 0
			continue
		}
		if d.FreeSince == 0 {
			d.FreeSince = w.Now
		}
		if d.Holder != "" && w.Members.At(w.MemberByID.Get(d.Holder)) == nil && w.Now.Sub(d.FreeSince) < deathAfter {
			// The member row of the holder may not have been read yet.
			load[d.Holder]++
			continue
		}
		free = append(free, id)
	}
	for _, id := range free {
		entry := candidate(w, id, load)
		load[entry]++
		d := dutyOf(w, id)
		if d.FreeSince == w.Now {
			w.Log(quetzalwork.Decision{
				Part: quetzalwork.PartDuty, Text: "The duty has no live holder; an entry was selected to take it over.", Pool: id, Version: int64(d.Revision), Reason: string(entry), Routine: true,
			})
		}
		turn := entry == w.Self.Entry || w.Now.Sub(d.FreeSince) > candidateTime
		if !turn || d.Taking || w.Now < d.RetryAt {
			continue
		}
		d.Taking = true
		w.Emit(quetzalwork.WriteDuty{Pool: id, Expected: d.Revision, SentAt: w.Now, Holder: quetzalwork.Duty{
			Holder: w.Self.Entry, Incarnation: w.Self.Incarnation, Address: w.Self.PeerAddress,
		}})
	}
}

// holderLives reports whether the process that holds a duty is live.
func holderLives(w *quetzalwork.World, d *quetzalwork.Duty) bool {
	holder := w.Members.At(w.MemberByID.Get(d.Holder))
	return d.Holder != "" && holder != nil && holder.Incarnation == d.Incarnation && isLive(w, holder)
}

// burden returns the number of duties per core of an entry.
func burden(m *quetzalwork.Member, duties int) float64 {
	return float64(duties) / coresOf(m.Share)
}

// coresOf converts a CPU share to cores. An unknown share counts as one core.
func coresOf(share quetzalunit.Percent) float64 {
	const core = 100
	if share <= 0 {
		return 1
	}
	return float64(share) / core
}

// shareDuties releases one pool's duty if another entry would have sufficiently fewer duties per
// core after taking it over.
func shareDuties(w *quetzalwork.World) {
	if w.Stopping || w.Releases > 0 || w.Now.Sub(w.Membership.SharedAt) < sharePeriod || w.Now.Sub(w.StartedAt) < sharePeriod {
		return
	}
	load := make(map[quetzalunit.EntryID]int)
	for _, id := range duties(w) {
		d := dutyOf(w, id)
		if !holderLives(w, d) {
			return
		}
		load[d.Holder]++
	}
	self := w.Members.At(w.MemberByID.Get(w.Self.Entry))
	if self == nil || load[w.Self.Entry] == 0 {
		return
	}
	least := burden(self, load[w.Self.Entry])
	for _, m := range w.Members.All() {
		if !m.Stopping && isLive(w, m) && m.Beat >= settledBeat {
			least = min(least, shareGain*burden(m, load[m.Entry]+1))
		}
	}
	if least >= burden(self, load[w.Self.Entry]) {
		return
	}
	for row, p := range w.Pools.All() {
		// Progress that is not stored yet is not lost: the minions report it to the successor.
		if p.Held {
			w.Membership.SharedAt = w.Now
			release(w, p.ID)
			dropPool(w, row, "Shared")
			return
		}
	}
}

// candidate returns the live entry that would have the fewest duties per core after taking over
// one more; ties are broken by a hash, so that all entries agree. An entry that is still starting
// has its cost multiplied by startingCost: it takes over no duty yet and is worth waiting for only
// if it has far more cores than the others, as after a restart of all entries.
func candidate(w *quetzalwork.World, id quetzalunit.PoolID, load map[quetzalunit.EntryID]int) quetzalunit.EntryID {
	if holder := w.Members.At(w.MemberByID.Get(dutyOf(w, id).Holder)); id == conductorDuty && holder != nil && !holder.Stopping && isLive(w, holder) {
		// Orders of two processes of the same entry do not conflict, so that this entry need not
		// wait for those of its earlier process.
		return holder.Entry
	}
	var best quetzalunit.EntryID
	var bestCost float64
	var bestWeight uint64
	for _, m := range w.Members.All() {
		if m.Stopping || !isLive(w, m) {
			continue
		}
		cost := burden(m, load[m.Entry]+1)
		if m.Beat < settledBeat {
			cost *= startingCost
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

// hearDuty applies the result of taking over or releasing a duty.
func hearDuty(w *quetzalwork.World, in *quetzalwork.DutyWritten) {
	d := dutyOf(w, in.Pool)
	d.Taking = false
	if in.Release {
		hearRelease(w, in)
	}
	if in.Result != quetzalwork.StoreDone {
		d.RetryAt = w.Now.Add(w.Jitter(dutyRetry))
		return
	}
	taken := quetzalwork.Duty{Revision: in.Revision}
	if in.Release && in.Pool == conductorDuty {
		taken.Ordered = lastOrdered(w)
	}
	if !in.Release {
		taken.Holder, taken.Incarnation, taken.Address = w.Self.Entry, w.Self.Incarnation, w.Self.PeerAddress
	}
	if in.Revision > d.Revision {
		predecessor := *d
		mayLive, first := holderMayLive(w, d), d.Revision == 0
		*d = taken
		if !in.Release && in.Pool == conductorDuty {
			beginConductor(w, in.Revision, predecessor)
		} else if !in.Release {
			row := poolRow(w, in.Pool)
			beginPool(w, row, in.Revision, predecessor, mayLive)
			if first {
				w.Pools.At(row).PredecessorGone = w.Now
			}
		}
	}
	tellDuty(w, in.Pool, taken)
}

// holderMayLive reports whether the holder of a duty may still be running: it has not released
// the duty, and no later process of the same entry is known.
func holderMayLive(w *quetzalwork.World, d *quetzalwork.Duty) bool {
	holder := w.Members.At(w.MemberByID.Get(d.Holder))
	return d.Holder != "" && (holder == nil || holder.Incarnation == d.Incarnation)
}

// tellDuty sends the new row of a duty to every other live entry.
func tellDuty(w *quetzalwork.World, id quetzalunit.PoolID, d quetzalwork.Duty) {
	for _, m := range w.Members.All() {
		if m.Entry != w.Self.Entry && isLive(w, m) {
			w.Emit(quetzalwork.AskPeer{Address: m.Address, Message: quetzalwork.TellDuty{Pool: id, Duty: d}, Timeout: peerTimeout})
		}
	}
}

// beginPool makes this process the dispatcher of a pool. A predecessor that may still be running
// can extend leases for another suspendAfter; one that released the duty extends none.
func beginPool(w *quetzalwork.World, row quetzalwork.Row, revision quetzalunit.Revision, predecessor quetzalwork.Duty, mayLive bool) {
	p := w.Pools.At(row)
	p.Held, p.Token, p.TakenAt = true, quetzalunit.FencingToken(revision), w.Now
	p.Loaded, p.LoadFrom, p.LoadCall, p.Seen, p.OldKnown = false, "", false, 0, false
	p.Images = make(map[quetzalunit.QueueID]*quetzalwork.RunTimes)
	p.Predecessor = quetzalwork.Duty{}
	p.PredecessorGone = w.Now.Add(leaseEnd)
	if mayLive {
		p.Predecessor = predecessor
		p.PredecessorGone = w.Now.Add(suspendAfter + leaseEnd)
	}
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Text: "This entry dispatches the pool.", Pool: p.ID, Version: int64(p.Token)})
	readPool(w, row, p.Token)
	for _, minion := range p.Minions {
		resetMinion(w, minion)
		planHold(w, minion, 0)
	}
	w.Timers.Push(w.Now.Add(watchPeriod), quetzalwork.WatchdogDue{Pool: row, Token: p.Token})
}

// watchPredecessor moves PredecessorGone to an earlier instant if possible. A predecessor extends
// leases for at most suspendAfter from its last renewal, and not at all once a later process of
// the same entry runs. Only rows that were read after the takeover prove either.
func watchPredecessor(w *quetzalwork.World, p *quetzalwork.Pool) {
	m := w.Members.At(w.MemberByID.Get(p.Predecessor.Holder))
	switch {
	case m == nil:
	case m.Incarnation != p.Predecessor.Incarnation:
		p.PredecessorGone = min(p.PredecessorGone, w.Now.Add(leaseEnd))
	default:
		p.PredecessorGone = min(p.TakenAt, m.RenewedAt).Add(suspendAfter + leaseEnd)
	}
}

// hearDropped handles the predecessor's notice that it no longer dispatches the pool, after which
// its last leases expire within leaseEnd.
func hearDropped(w *quetzalwork.World, m *quetzalwork.TellDropped) {
	p := w.Pools.At(poolRow(w, m.Pool))
	if p.Held && p.Predecessor.Holder != "" && p.Predecessor.Revision == quetzalunit.Revision(m.Token) {
		p.Predecessor = quetzalwork.Duty{}
		p.PredecessorGone = min(p.PredecessorGone, w.Now.Add(leaseEnd))
		p.Dirty = true
	}
}

// dropPool ends this process's dispatch of a pool, discards the pool's jobs and minion state, and
// notifies the new holder if there is one.
func dropPool(w *quetzalwork.World, row quetzalwork.Row, reason string) {
	p := w.Pools.At(row)
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Text: "This entry no longer dispatches the pool.", Pool: p.ID, Version: int64(p.Token), Reason: reason})
	if d := &p.Duty; d.Holder != "" && d.Holder != w.Self.Entry {
		w.Emit(quetzalwork.AskPeer{Address: d.Address, Message: quetzalwork.TellDropped{Pool: p.ID, Token: p.Token}, Timeout: peerTimeout})
	}
	for jobRow, j := range w.Jobs.All() {
		if j.Pool == row {
			deleteJob(w, jobRow)
		}
	}
	for _, minionRow := range p.Minions {
		resetMinion(w, minionRow)
	}
	p.Held, p.Loaded, p.Ready, p.Committing = false, false, nil, false
	p.DirtyJobs.Take()
}

// extends reports whether this process may extend leases and start runs. Both must have succeeded
// within suspendAfter: a read of the duties, which confirms that this process still holds them,
// and a renewal of its member row, from which a successor tells when this process stopped
// extending leases. The renewal alone proves nothing, since it succeeds after a takeover as well.
func extends(w *quetzalwork.World) bool {
	return w.Now.Sub(min(w.Membership.ReadSentAt, w.Membership.RenewedAt)) < suspendAfter
}
