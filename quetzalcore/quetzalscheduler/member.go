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
	// renewPeriod is the mean time between two renewals of an entry's row, and between two
	// reads of all rows.
	renewPeriod = 900 * time.Millisecond
	// deathAfter is the time without a renewal after which an entry is taken for dead: two
	// renewals and a slow answer.
	deathAfter = 2600 * time.Millisecond
	// readGap is the longest time between two reads over which the silence of an entry counts;
	// while the store is away nobody can renew.
	readGap = 2 * time.Second
	// suspendAfter is the time without a read that confirms its duty after which a dispatcher
	// extends no lease; until then it goes on without the store.
	suspendAfter = 3 * time.Second
	// settleTime is the time after its start in which an entry takes no duty, so that entries
	// that start together share the duties.
	settleTime = 700 * time.Millisecond
	// settledBeat is the renewal from which on an entry has settled.
	settledBeat quetzalunit.Beat = 2
	// startingCost is how much more a duty burdens an entry that has not settled yet.
	startingCost = 1.5
	// sharePeriod is the time between two duties that an entry gives back to share the load, and
	// the age from which on it does so.
	sharePeriod = 1500 * time.Millisecond
	// shareGain is by how much less a duty must burden another entry to be given back.
	shareGain = 1.3
	// candidateTime is how long the first candidate for a free duty goes before the others.
	candidateTime = 1500 * time.Millisecond
	// dutyRetry is the pause after a takeover without success.
	dutyRetry = 400 * time.Millisecond
	// leaseEnd is the time in which a lease that is not extended is over on the slowest clock.
	leaseEnd = leaseTime*103/100 + lapseSlack
)

// conductorDuty names the duty that gives orders to hosts, among those of the pools.
const conductorDuty quetzalunit.PoolID = "(hosts)"

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

// readMembers reads the rows of members and duties.
func readMembers(w *quetzalwork.World) {
	if !w.Membership.Reading {
		w.Membership.Reading = true
		w.Emit(quetzalwork.ReadMembers{After: w.Membership.Seen, SentAt: w.Now})
	}
}

// readMembersAgain reads the rows of members and duties as they are now: a read in flight may
// have been made before.
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
	// While the store does not answer nobody can renew: silence counts from now on.
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
		// The read permits what may have waited for it: new minions, and leases after an outage.
		p.Dirty = p.Dirty || len(p.Ready) > 0
		if p.Held && !p.OldKnown && in.SentAt > p.TakenAt {
			watchPredecessor(w, p)
		}
	}
}

// seeMember applies a member's row.
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

func isLive(w *quetzalwork.World, m *quetzalwork.Member) bool {
	return m.Listed && w.Now.Sub(m.ChangedAt) < deathAfter
}

// emitRelays names the live members through which the store may be reached.
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

// seeDuty applies a duty's row unless a newer one is known.
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
		// The answer to the takeover was lost.
		beginPool(w, row, seen.Revision, quetzalwork.Duty{}, true)
	}
}

// markStopping marks an entry that has given a duty back: it is about to stop, and its row may
// not say so yet.
func markStopping(w *quetzalwork.World, d *quetzalwork.Duty) {
	if m := w.Members.At(w.MemberByID.Get(d.Holder)); m != nil && m.Incarnation == d.Incarnation {
		m.Stopping = true
	}
}

func dutyOf(w *quetzalwork.World, id quetzalunit.PoolID) *quetzalwork.Duty {
	if id == conductorDuty {
		return &w.Conductor.Duty
	}
	return &w.Pools.At(poolRow(w, id)).Duty
}

// duties returns the duties of the fleet in a fixed order.
func duties(w *quetzalwork.World) []quetzalunit.PoolID {
	ids := []quetzalunit.PoolID{conductorDuty}
	for _, p := range w.Pools.All() {
		ids = append(ids, p.ID)
	}
	slices.Sort(ids)
	return ids
}

// tendDuties takes over the duties that are free and fall to this entry.
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
			// The holder's own row may be about to appear.
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
				Part: quetzalwork.PartDuty, Text: "A duty has no holder; it falls to an entry.", Pool: id, Version: int64(d.Revision), Reason: string(entry), Routine: true,
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

func holderLives(w *quetzalwork.World, d *quetzalwork.Duty) bool {
	holder := w.Members.At(w.MemberByID.Get(d.Holder))
	return d.Holder != "" && holder != nil && holder.Incarnation == d.Incarnation && isLive(w, holder)
}

// burden is what a number of duties means to an entry: less to one with more processor.
func burden(m *quetzalwork.Member, duties int) float64 {
	return float64(duties) / coresOf(m.Share)
}

// coresOf is the processor that a share stands for, in cores.
func coresOf(share quetzalunit.Percent) float64 {
	const core = 100
	if share <= 0 {
		return 1
	}
	return float64(share) / core
}

// shareDuties gives a duty back that another entry would better have.
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
		// What is not stored yet is listed by the minions again.
		if p.Held {
			w.Membership.SharedAt = w.Now
			release(w, p.ID)
			dropPool(w, row, "Shared")
			return
		}
	}
}

// candidate returns the live entry that a further duty burdens least, the same at every entry. One
// that has just started takes no duty yet: it is chosen only if it has far more processor than the
// others, as after the restart of all entries.
func candidate(w *quetzalwork.World, id quetzalunit.PoolID, load map[quetzalunit.EntryID]int) quetzalunit.EntryID {
	if holder := w.Members.At(w.MemberByID.Get(dutyOf(w, id).Holder)); id == conductorDuty && holder != nil && !holder.Stopping && isLive(w, holder) {
		// A later process of the same entry need not wait for the orders of the earlier one.
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

// holderMayLive tells whether the holder of a duty may still act: it has not given the duty
// back, and no later process has used its name.
func holderMayLive(w *quetzalwork.World, d *quetzalwork.Duty) bool {
	holder := w.Members.At(w.MemberByID.Get(d.Holder))
	return d.Holder != "" && (holder == nil || holder.Incarnation == d.Incarnation)
}

// tellDuty announces a duty to every live entry.
func tellDuty(w *quetzalwork.World, id quetzalunit.PoolID, d quetzalwork.Duty) {
	for _, m := range w.Members.All() {
		if m.Entry != w.Self.Entry && isLive(w, m) {
			w.Emit(quetzalwork.AskPeer{Address: m.Address, Message: quetzalwork.TellDuty{Pool: id, Duty: d}, Timeout: peerTimeout})
		}
	}
}

// beginPool makes this process the dispatcher of a pool. A predecessor that may live can
// extend leases for suspendAfter; one that gave the duty back extends none.
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

// watchPredecessor brings the end of a predecessor's work forward: one whose row has not been
// renewed since then extends leases for suspendAfter at most, and one whose name a later
// process uses extends none. Only rows that were read after the takeover show that.
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

// hearDropped brings the end of the predecessor's work forward once it says that it is over.
func hearDropped(w *quetzalwork.World, m *quetzalwork.TellDropped) {
	p := w.Pools.At(poolRow(w, m.Pool))
	if p.Held && p.Predecessor.Holder != "" && p.Predecessor.Revision == quetzalunit.Revision(m.Token) {
		p.Predecessor = quetzalwork.Duty{}
		p.PredecessorGone = min(p.PredecessorGone, w.Now.Add(leaseEnd))
		p.Dirty = true
	}
}

// dropPool ends this process's dispatch of a pool and forgets what it knew of it.
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

// extends tells whether this process may extend leases and start runs: a read of the duties
// has confirmed a short time ago that it holds those that it holds. A renewal of its own row
// does not show that, since it succeeds after a takeover, too; but it must have succeeded, so
// that a successor can tell from the row since when this process extends nothing.
func extends(w *quetzalwork.World) bool {
	return w.Now.Sub(min(w.Membership.ReadSentAt, w.Membership.RenewedAt)) < suspendAfter
}
