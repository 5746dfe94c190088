package quetzalscheduler

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
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
)

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
	releaseFencedPools(w)
	rebalanceDuties(w)
	w.After(w.Jitter(renewPeriod), quetzalwork.MembershipDue{})
}

// readMembers reads the rows of members and duties unless a read is in flight.
func readMembers(w *quetzalwork.World) {
	if !w.Membership.ReadInFlight {
		w.Membership.ReadInFlight, w.Membership.AwaitedRevision = true, w.Membership.RenewedRevision
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
		noteStoreAnswer(w)
		w.Membership.RenewedRevision = in.Revision
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
	noteReachable(w, in.Result == quetzalwork.StoreDone || in.Result == quetzalwork.StoreCompacted)
	if in.Result == quetzalwork.StoreCompacted {
		m.SeenRevision = 0
		readMembers(w)
	}
	if in.Result != quetzalwork.StoreDone || isBehind(w, in) {
		return
	}
	m.SeenRevision = in.SeenRevision
	// No entry can renew while the store does not answer, so after a gap the time without a
	// renewal is counted anew.
	gap := w.Now.Sub(m.ReadAt) > m.ReadPeriod+maxReadGap-renewPeriod
	m.ReadPeriod = readPeriod(w)
	m.ReadAt, m.ReadSentAt = w.Now, in.SentAt
	if in.StoreNow > 0 {
		m.StoreClock = quetzalwork.StoreClock{Now: in.StoreNow, SentAt: in.SentAt, AnsweredAt: w.Now}
	}
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
	// The lease is applied after the duties: a takeover by this process that this read shows is judged
	// by the lease that the takeover was conditional on.
	applyHostLease(w, in.HostLease)
	applySettledRows(w, in.Settled)
	updateStandbys(w)
	publishRelays(w)
	takeOverDuties(w)
	for _, p := range w.Pools.All() {
		// Tasks may have waited for this read: for new minions, or for leases that could not be
		// extended during an outage of the store.
		p.NeedsPlacement = p.NeedsPlacement || len(p.ReadySteps)+len(p.LateSteps) > 0
		if p.Held && in.SentAt > p.HeldSince {
			updatePredecessorEnd(w, p)
			markSettled(w, p)
		}
	}
}

// isBehind reports whether a read lacks a renewal of this process that was answered before the read was sent. Such a read
// proves neither that this process still holds its duties nor that others do not renew their rows.
func isBehind(w *quetzalwork.World, in *quetzalwork.MembersRead) bool {
	m := &w.Membership
	own := in.SeenRevision
	if known := w.Members.At(w.MemberByID.Get(w.Self.Entry)); known != nil {
		own = known.Revision
	}
	// The rows have all changes in their order, also those that a later one has replaced.
	for i := range in.Members {
		if in.Members[i].Entry == w.Self.Entry {
			own = in.Members[i].Revision
		}
	}
	shown := min(in.SeenRevision, own)
	behind := shown < m.AwaitedRevision
	if behind != m.Behind {
		m.Behind = behind
		message := "The reads of the members are no longer behind."
		if behind {
			message = "The reads of the members are behind."
		}
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartStore, Message: message, Version: int64(in.SeenRevision), Age: ageOf(w, m.ReadAt),
			Reason: fmt.Sprintf("Shown%dRenewed%d", shown, m.AwaitedRevision),
		})
	}
	return behind
}

// noteReachable notes whether the store has answered a read of the rows of members, and logs changes.
func noteReachable(w *quetzalwork.World, reachable bool) {
	m := &w.Membership
	if reachable {
		noteStoreAnswer(w)
	}
	if reachable == m.Reachable {
		return
	}
	m.Reachable = reachable
	message := "The store does not answer."
	if reachable {
		message = "The store answers."
	}
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartStore, Message: message, Age: ageOf(w, m.ReadAt)})
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
	before := *m
	*m = *seen
	m.Listed, m.UnchangedSince, m.RenewalSeenAt = true, before.UnchangedSince, before.RenewalSeenAt
	if before.Incarnation == m.Incarnation {
		m.PassedOverUntil = before.PassedOverUntil
	}
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

// publishRelays publishes the live members through which the store can be reached: those with the most processor time
// first, since their links carry what others read beside their own, then those of this entry's zone. Members that are
// alike are ordered by a hash with this entry, so that the entries of a zone do not all ask the same one.
func publishRelays(w *quetzalwork.World) {
	type relay struct {
		address quetzalunit.Address
		cores   float64
		far     int
		weight  uint64
	}
	var relays []relay
	for _, m := range w.Members.All() {
		if m.Entry == w.Self.Entry || m.Stopping || !isLive(w, m) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(w.Self.Entry + "/" + m.Entry)) // never fails
		r := relay{address: m.Address, cores: coresOf(m.CPUShare), weight: h.Sum64()}
		if m.Zone != w.Self.Zone {
			r.far = 1
		}
		relays = append(relays, r)
	}
	slices.SortFunc(relays, func(a, b relay) int {
		return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(a.far, b.far), cmp.Compare(a.weight, b.weight))
	})
	addresses := make([]quetzalunit.Address, 0, len(relays))
	for _, r := range relays {
		addresses = append(addresses, r.address)
	}
	w.Emit(quetzalwork.SetRelays{Addresses: addresses})
}
