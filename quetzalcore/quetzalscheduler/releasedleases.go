package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// releasedleases.go passes on, with the release of a pool's duty, how long leases may last on the minions
// that the successor cannot ask. A successor that does not know it must wait for leaseExpiryTime, and
// several hand-overs in a row would each begin that wait anew.

// maxNamedMinions bounds the minions that a release names. Beyond it, the release tells less exact times.
const maxNamedMinions = 100

// releaseLeases returns what this process tells of the leases on a pool's minions as it releases the
// pool's duty. It must be called before endDispatch discards the state of the minions.
func releaseLeases(w *quetzalwork.World, row quetzalwork.Row) *quetzalwork.ReleasedLeases {
	p := w.Pools.At(row)
	if l := p.ReleasedLeases; l != nil && !p.JobsLoaded {
		// This process has not polled any minion.
		return remainingRelease(w, p)
	}
	l := &quetzalwork.ReleasedLeases{At: latestStoreTime(w), ListRevision: w.MinionList.Revision, Listed: leaseExpiryTime, UnnamedStarts: max(0, unnamedStartsEnd(p).Sub(w.Now))}
	nameLateStarts(l, lateStarts(w, p))
	if p.Predecessor.Holder != "" && !p.PredecessorWorkKnown {
		// The predecessor may still be running and use minions that join now.
		l.Listed = max(l.Listed, p.PredecessorLeasesEnd.Sub(w.Now))
	}
	if end, _ := unlistedLeasesEnd(w, row); !p.PredecessorWorkKnown && end > w.Now {
		l.Unknown = end.Sub(w.Now)
	}
	for _, minionRow := range p.Minions {
		m := w.Minions.At(minionRow)
		end := lateLeaseExpiry(w, m)
		if !m.Answered {
			earlier, _ := earlierLeaseEnd(w, p, m)
			end = max(end, earlier)
		}
		left := end.Sub(w.Now)
		if m.Replaced || m.Answered && m.MissedAnswers == 0 && m.Listed && left <= l.Listed {
			continue
		}
		if left > 0 {
			l.Minions = append(l.Minions, quetzalwork.MinionLease{Minion: m.ID, Left: left})
		}
	}
	if len(l.Minions) > maxNamedMinions {
		generalizeLeases(w, l)
	}
	return l
}

// remainingRelease returns what the predecessor told of the leases, with the times that are left.
func remainingRelease(w *quetzalwork.World, p *quetzalwork.Pool) *quetzalwork.ReleasedLeases {
	passed := w.Now.Sub(p.ReleasedFrom)
	l := &quetzalwork.ReleasedLeases{
		At: latestStoreTime(w), ListRevision: p.ReleasedLeases.ListRevision, Listed: max(0, p.ReleasedLeases.Listed-passed), Unknown: max(0, p.ReleasedLeases.Unknown-passed),
		UnnamedStarts: max(0, p.ReleasedLeases.UnnamedStarts-passed),
		LateStarts:    remainingLateStarts(w, p, func(quetzalunit.MinionID) bool { return true }),
	}
	for _, m := range p.ReleasedLeases.Minions {
		if m.Left > passed {
			l.Minions = append(l.Minions, quetzalwork.MinionLease{Minion: m.Minion, Left: m.Left - passed})
		}
	}
	return l
}

// latestStoreTime returns the latest time that the store's clock can show now, zero if it is not known.
func latestStoreTime(w *quetzalwork.World) quetzalunit.StoreTime {
	c := &w.Membership.StoreClock
	if c.Now == 0 {
		return 0
	}
	return c.Now.Add(w.Now.Sub(c.SentAt))
}

// releasedFrom returns the latest instant from which the times of a release that this process sees now can
// count.
func releasedFrom(w *quetzalwork.World, l *quetzalwork.ReleasedLeases) quetzalunit.Instant {
	c := &w.Membership.StoreClock
	if l == nil || l.At == 0 || c.Now == 0 {
		return w.Now
	}
	return w.Now.Add(-max(0, c.Now.Add(w.Now.Sub(c.AnsweredAt)).Sub(l.At)))
}

// generalizeLeases removes the names of minions that are in the list and whose leases end within Listed,
// and counts the others as unknown.
func generalizeLeases(w *quetzalwork.World, l *quetzalwork.ReleasedLeases) {
	for _, lease := range l.Minions {
		if m := w.Minions.At(w.MinionByID.Get(lease.Minion)); !m.Listed || lease.Left > l.Listed {
			l.Unknown = max(l.Unknown, lease.Left)
		}
	}
	l.Minions = nil
}

// longestLease returns the longest time that a release tells of, zero if it tells none.
func longestLease(l *quetzalwork.ReleasedLeases) time.Duration {
	if l == nil {
		return 0
	}
	longest := max(l.Listed, l.Unknown)
	for _, m := range l.Minions {
		longest = max(longest, m.Left)
	}
	return longest
}

// lastReleasedLease returns the instant after which all leases have ended of which the predecessor told.
func lastReleasedLease(p *quetzalwork.Pool) quetzalunit.Instant {
	return p.ReleasedFrom.Add(longestLease(p.ReleasedLeases))
}

// earlierLeaseEnd returns the instant after which the leases of earlier dispatchers on a minion have
// ended, and what shows it. One that did not release the duty may not have seen that the minion restarted just before this process
// learned of it.
func earlierLeaseEnd(w *quetzalwork.World, p *quetzalwork.Pool, m *quetzalwork.Minion) (quetzalunit.Instant, quetzalwork.Proof) {
	l := p.ReleasedLeases
	if l == nil {
		end, proof := p.PredecessorLeasesEnd, predecessorProof(w, p)
		if restarted := max(incarnationSeenAt(m).Add(restartedLeaseExpiry(w)), latePollLeaseEnd(w, p, m)); end > p.HeldSince && restarted > end {
			return restarted, quetzalwork.Proof{Kind: quetzalwork.ProofRestartLease, Incarnation: m.Incarnation, Age: w.Now.Sub(incarnationSeenAt(m))}
		}
		return end, proof
	}
	proof := quetzalwork.Proof{Kind: quetzalwork.ProofReleaseListed, Age: w.Now.Sub(p.ReleasedFrom)}
	if i := slices.IndexFunc(l.Minions, func(lease quetzalwork.MinionLease) bool { return lease.Minion == m.ID }); i >= 0 {
		proof.Kind = quetzalwork.ProofReleaseNamed
		return p.ReleasedFrom.Add(l.Minions[i].Left), proof
	}
	if !m.Listed && m.RemovedRevision <= l.ListRevision && w.MinionList.Revision >= l.ListRevision {
		// The predecessor knew that the minion had left the list and not returned, and would have named it.
		proof.Kind = quetzalwork.ProofReleaseRemoved
		return p.ReleasedFrom.Add(l.Unknown), proof
	}
	return p.ReleasedFrom.Add(max(l.Listed, l.Unknown)), proof
}

// predecessorProof returns what shows PredecessorLeasesEnd of a pool whose duty was not released.
func predecessorProof(w *quetzalwork.World, p *quetzalwork.Pool) quetzalwork.Proof {
	return quetzalwork.Proof{Kind: p.PredecessorProof, Age: w.Now.Sub(p.PredecessorProvenAt)}
}

// unlistedLeasesEnd returns the instant after which the leases of earlier dispatchers have ended on minions
// of a pool that this process does not know, because they left the list before it read it, and the reason
// why they may last so long.
func unlistedLeasesEnd(w *quetzalwork.World, row quetzalwork.Row) (quetzalunit.Instant, quetzalwork.WaitReason) {
	p := w.Pools.At(row)
	list := &w.MinionList
	l := p.ReleasedLeases
	if allMinionsKnown(w, p) {
		// Minions that are not known have ended. What they had acknowledged is in rows that were stored before.
		return min(w.Census.AnsweredAt, p.PredecessorLeasesEnd), waitRows
	}
	if l == nil {
		switch {
		case list.AnsweredAt < p.HeldSince || p.HeldSince.Sub(list.KnownSince) < removedMinionRetention:
			return p.PredecessorLeasesEnd, waitNoRelease
		case censusTaken(w, p):
			return p.PredecessorLeasesEnd, waitUnseen
		default:
			return p.PredecessorLeasesEnd, waitCensus
		}
	}
	end, reason := p.ReleasedFrom.Add(l.Unknown), waitUnknown
	if list.Revision < l.ListRevision || list.ContinuousFrom > l.ListRevision {
		end, reason = max(end, p.ReleasedFrom.Add(l.Listed)), waitUnseen
	}
	for _, lease := range l.Minions {
		if m := w.Minions.At(w.MinionByID.Get(lease.Minion)); m == nil || m.PoolRow != row {
			end = max(end, p.ReleasedFrom.Add(lease.Left))
		}
	}
	return end, reason
}

// needsLookBack reports whether minions may have left the list unseen since the release of a pool's duty.
func needsLookBack(w *quetzalwork.World, p *quetzalwork.Pool) bool {
	l := p.ReleasedLeases
	return p.Held && !p.PredecessorWorkKnown && !p.LookedBack && l != nil && l.ListRevision > 0 && l.ListRevision < w.MinionList.ContinuousFrom
}

// lookBack reads which minions have left the list since the duties of pools were released, unless this
// process has read it continuously since then.
func lookBack(w *quetzalwork.World) {
	var since quetzalunit.Revision
	for _, p := range w.Pools.All() {
		if needsLookBack(w, p) && (since == 0 || p.ReleasedLeases.ListRevision < since) {
			since = p.ReleasedLeases.ListRevision
		}
	}
	if since > 0 && !w.MinionList.LookBackInFlight {
		w.MinionList.LookBackInFlight = true
		w.Emit(quetzalwork.ListMinions{SinceRevision: since, LookBack: true})
	}
}

// handleLookBack applies the result of such a read. If this process knows all minions that have left or joined the
// list since, it knows the list as if it had read it then; one that has left and returned is among those that have joined. The
// read is repeated after a failure, but not if the store has no history that goes so far back. One that is older than the list
// shows nothing of what has left it in between.
func handleLookBack(w *quetzalwork.World, in *quetzalwork.MinionsListed) {
	l := &w.MinionList
	l.LookBackInFlight = false
	if in.Result != quetzalwork.StoreDone && in.Result != quetzalwork.StoreCompacted {
		return
	}
	unknown := func(id quetzalunit.MinionID) bool { return w.Minions.At(w.MinionByID.Get(id)) == nil }
	missed := slices.ContainsFunc(in.Removed, unknown) || slices.ContainsFunc(in.Minions, func(r quetzalwork.MinionRecord) bool { return unknown(r.ID) })
	if in.Result == quetzalwork.StoreDone && !missed && in.SeenRevision >= l.ContinuousFrom {
		l.ContinuousFrom = min(l.ContinuousFrom, in.SinceRevision)
	}
	for _, p := range w.Pools.All() {
		if p.ReleasedLeases != nil && p.ReleasedLeases.ListRevision >= in.SinceRevision {
			p.LookedBack, p.NeedsPlacement = true, true
		}
	}
}
