package quetzalscheduler

import (
	"fmt"
	"time"

	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// dutyValidity is how long a dispatcher extends leases after the last read that confirmed
	// its duty. Until then it keeps working without the store.
	dutyValidity = 3 * time.Second
	// leaseExpiryTime is the time after which a lease that is no longer extended has expired, also
	// on a minion whose clock runs at minClockRate.
	leaseExpiryTime = leaseDuration*100/minClockPercent + leaseExpiryMargin
)

// leasesAtTakeover returns how long leases of dispatchers before this process may last after it has
// taken a duty over, zero if every successor of this process waits as long anyway.
func leasesAtTakeover(w *quetzalwork.World, d *quetzalwork.Duty) time.Duration {
	if holderMayBeRunning(w, d) {
		return dutyValidity + leaseExpiryTime
	}
	return remainingLeases(w, d.EarlierLeasesEnd)
}

// remainingLeases returns how long leases last that end at an instant, zero if that is no more than
// leaseExpiryTime.
func remainingLeases(w *quetzalwork.World, end quetzalunit.Instant) time.Duration {
	if left := end.Sub(w.Now); left > leaseExpiryTime {
		return left
	}
	return 0
}

// setEarlierLeasesEnd sets the LeasesFrom and the EarlierLeasesEnd of a row of a duty that this process sees
// now. The row was written before.
func setEarlierLeasesEnd(w *quetzalwork.World, d *quetzalwork.Duty) {
	d.LeasesFrom, d.EarlierLeasesEnd = releasedFrom(w, d.Leases), 0
	if d.EarlierLeases > 0 {
		d.EarlierLeasesEnd = w.Now.Add(d.EarlierLeases)
	}
}

// applySettledRows applies the stored rows that tell that the leases of earlier dispatchers have ended.
// Such a row counts only for the revision of the duty's row that it names.
func applySettledRows(w *quetzalwork.World, settled map[quetzalunit.PoolID]quetzalunit.Revision) {
	for id, revision := range settled {
		if d := dutyOf(w, id); d.Revision == revision {
			d.EarlierLeases, d.EarlierLeasesEnd = 0, 0
		}
	}
}

// markSettled stores that the leases of the dispatchers before this one have ended. Otherwise a process
// that starts later, and cannot know when the duty was taken over, would wait for them again.
func markSettled(w *quetzalwork.World, p *quetzalwork.Pool) {
	if p.Duty.EarlierLeases > 0 && (p.PredecessorWorkKnown || w.Now > p.PredecessorLeasesEnd) {
		w.Emit(quetzalwork.SettleDuty{Pool: p.ID, Revision: p.Duty.Revision})
	}
}

// beginDispatch makes this process the dispatcher of a pool. A predecessor that may still be running
// can extend leases for another dutyValidity; one that released the duty extends none. Dispatchers
// before the predecessor may extend leases for as long as its row of the duty says.
func beginDispatch(w *quetzalwork.World, row quetzalwork.Row, revision quetzalunit.Revision, predecessor quetzalwork.Duty, mayBeRunning bool) {
	p := w.Pools.At(row)
	p.Held, p.Token, p.Restarts, p.HeldSince = true, quetzalunit.FencingToken(revision), 0, w.Now
	p.JobsLoaded, p.NextKey, p.ReadInFlight, p.SeenRevision, p.PredecessorWorkKnown = false, "", false, 0, false
	p.StoredRevision, p.StoredAt = 0, 0
	p.RunNumbersExhausted, p.ReadFailingSince, p.UntoldToken, p.DroppedAt = false, 0, 0, 0
	quetzallimit.ForgetPool(w, p)
	p.RunTimeStats = make(map[quetzalunit.QueueID]*quetzalwork.RunTimeStats)
	p.Predecessor = quetzalwork.Duty{}
	p.EarlierLeasesEnd = predecessor.EarlierLeasesEnd
	p.PredecessorLeasesEnd = max(p.EarlierLeasesEnd, w.Now.Add(leaseExpiryTime))
	p.PredecessorProof, p.PredecessorProvenAt = quetzalwork.ProofTakeover, w.Now
	p.ReleasedLeases, p.ReleasedFrom, p.LookedBack = nil, predecessor.LeasesFrom, false
	switch {
	case mayBeRunning:
		p.Predecessor = predecessor
		p.PredecessorLeasesEnd = w.Now.Add(dutyValidity + leaseExpiryTime)
	case predecessor.Leases != nil:
		p.ReleasedLeases = predecessor.Leases
		p.PredecessorLeasesEnd = lastReleasedLease(p)
	}
	logTakeover(w, p, &predecessor, mayBeRunning)
	readPool(w, row, p.Token)
	listMinions(w)
	lookBack(w)
	for _, minion := range p.Minions {
		resetMinion(w, minion)
		schedulePoll(w, minion, 0)
	}
	w.Timers.Push(w.Now.Add(watchdogPeriod), quetzalwork.WatchdogDue{Pool: row, Token: p.Token})
}

// logTakeover logs from whom this process has taken over a pool, and what shows that nobody else dispatches it.
func logTakeover(w *quetzalwork.World, p *quetzalwork.Pool, d *quetzalwork.Duty, mayBeRunning bool) {
	reason, proof := "Silent", quetzalwork.Proof{Kind: quetzalwork.ProofTakeover, Age: ageOf(w, d.FreeSince)}
	holder := w.Members.At(w.MemberByID.Get(d.Holder))
	switch {
	case d.Revision == 0 && mayBeRunning:
		reason = "Unknown"
	case d.Revision == 0:
		reason, proof = "None", quetzalwork.Proof{Kind: quetzalwork.ProofNoDispatcher, Age: ageOf(w, w.Membership.ReadSentAt)}
	case d.Holder == "":
		reason, proof = "Released", quetzalwork.Proof{Kind: quetzalwork.ProofRelease, Age: ageOf(w, d.LeasesFrom)}
	case !mayBeRunning:
		reason, proof = "Replaced", quetzalwork.Proof{Kind: quetzalwork.ProofLaterProcess, Age: ageOf(w, w.Membership.ReadSentAt)}
	case holder != nil && holder.Incarnation == d.Incarnation:
		proof = quetzalwork.Proof{Kind: quetzalwork.ProofLastRenewal, Age: ageOf(w, holder.RenewalSeenAt)}
	}
	if d.Revision != 0 {
		reason += fmt.Sprintf("Revision%d", d.Revision)
	}
	if d.Holder != "" {
		reason += fmt.Sprintf("Incarnation%dEntry%s", d.Incarnation, d.Holder)
	}
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Message: "This entry dispatches the pool.", Pool: p.ID, Version: int64(p.Token), Reason: reason, Proof: &proof})
}

// updatePredecessorEnd moves PredecessorLeasesEnd to an earlier instant if possible. A predecessor
// extends leases for at most dutyValidity from its last renewal, and not at all once a later
// process of the same entry runs. Only rows that were read after the takeover prove either. A renewal
// may be carried out after such a read and still permit the predecessor to extend leases until
// dutyValidity after the takeover, so only a read that was sent later shows the last one that counts.
// A row of an earlier process proves neither.
func updatePredecessorEnd(w *quetzalwork.World, p *quetzalwork.Pool) {
	m := w.Members.At(w.MemberByID.Get(p.Predecessor.Holder))
	switch {
	case p.PredecessorWorkKnown || m == nil:
	case m.Incarnation > p.Predecessor.Incarnation:
		setPredecessorEnd(p, min(p.PredecessorLeasesEnd, w.Now.Add(leaseExpiryTime)), quetzalwork.ProofLaterProcess, w.Now)
	case m.Incarnation == p.Predecessor.Incarnation && w.Membership.ReadSentAt >= p.HeldSince.Add(dutyValidity):
		renewedAt := min(p.HeldSince, m.RenewalSeenAt)
		setPredecessorEnd(p, renewedAt.Add(dutyValidity+leaseExpiryTime), quetzalwork.ProofLastRenewal, renewedAt)
	}
}

// setPredecessorEnd sets PredecessorLeasesEnd by what is known of the predecessor since an instant.
func setPredecessorEnd(p *quetzalwork.Pool, end quetzalunit.Instant, proof quetzalwork.ProofKind, since quetzalunit.Instant) {
	if end = max(p.EarlierLeasesEnd, end); end != p.PredecessorLeasesEnd {
		p.PredecessorLeasesEnd, p.PredecessorProof, p.PredecessorProvenAt = end, proof, since
	}
}

// handlePredecessorDropped handles the predecessor's notice that it no longer dispatches the pool,
// after which its last leases expire within leaseExpiryTime.
func handlePredecessorDropped(w *quetzalwork.World, m *quetzalwork.NotifyDutyDropped) {
	p := w.Pools.At(poolRow(w, m.Pool))
	if p.Held && p.Predecessor.Holder != "" && p.Predecessor.Revision == quetzalunit.Revision(m.Token) {
		p.Predecessor = quetzalwork.Duty{}
		setPredecessorEnd(p, min(p.PredecessorLeasesEnd, w.Now.Add(leaseExpiryTime)), quetzalwork.ProofDropped, w.Now)
		p.NeedsPlacement = true
	}
}

// endDispatch ends this process's dispatch of a pool, discards the pool's jobs and minion state,
// and notifies the new holder if it is known.
func endDispatch(w *quetzalwork.World, row quetzalwork.Row, reason string) {
	p := w.Pools.At(row)
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Message: "This entry no longer dispatches the pool.", Pool: p.ID, Version: int64(p.Token), Reason: reason})
	if p.StoredRevision != 0 {
		// The lines of acknowledgements are routine, and most are left out at the peak.
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartDuty, Message: "This entry has stored progress up to a revision.", Pool: p.ID, Version: int64(p.StoredRevision), Age: ageOf(w, p.StoredAt),
			Reason: fmt.Sprintf("Token%d", p.Token),
		})
	}
	for jobRow, j := range w.Jobs.All() {
		if j.Pool == row {
			deleteJob(w, jobRow)
		}
	}
	quetzallimit.ForgetPool(w, p)
	for _, minionRow := range p.Minions {
		resetMinion(w, minionRow)
	}
	p.Held, p.JobsLoaded, p.ReadySteps, p.LateSteps = false, false, nil, nil
	p.UntoldToken = p.Token
	notifyDutyDropped(w, p)
	for i := range p.Shards {
		p.Shards[i].StoreProgressInFlight = false
		p.Shards[i].ChangedJobs.Take()
	}
}

// dropDispatch ends the dispatch of a pool that another process has taken over, and reads who holds the duty
// unless that is known.
func dropDispatch(w *quetzalwork.World, row quetzalwork.Row, reason string) {
	endDispatch(w, row, reason)
	w.Pools.At(row).DroppedAt = w.Now
	if w.Pools.At(row).UntoldToken != 0 {
		rereadMembers(w)
	}
}

// releaseFencedPools releases the duties of pools whose dispatch this process has ended, although a read that was sent
// after that shows that it still holds them: a minion had a higher token from elsewhere, such as a former pool. The next
// term has a higher token.
func releaseFencedPools(w *quetzalwork.World) {
	for _, p := range w.Pools.All() {
		d := &p.Duty
		mine := d.Holder == w.Self.Entry && d.Incarnation == w.Self.Incarnation && d.Revision == quetzalunit.Revision(p.UntoldToken)
		if p.Held || p.DroppedAt == 0 || !mine || w.Membership.ReadSentAt <= p.DroppedAt {
			continue
		}
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Message: "Minions reject the token of this entry, which holds the pool: releasing it.", Pool: p.ID, Version: int64(p.UntoldToken)})
		p.UntoldToken, p.DroppedAt, p.OwnRelease = 0, 0, nil
		releaseDuty(w, p.ID)
	}
}

// notifyDutyDropped tells the holder after this process that its dispatch has ended, once that holder is known. A
// minion that has accepted an order of the holder ends the dispatch before the row of the duty is read. The row of
// a released duty tells as much.
func notifyDutyDropped(w *quetzalwork.World, p *quetzalwork.Pool) {
	d := &p.Duty
	if p.Held || p.UntoldToken == 0 || d.Holder == w.Self.Entry {
		return
	}
	if d.Holder != "" {
		w.Emit(quetzalwork.CallPeer{Address: d.Address, Message: quetzalwork.NotifyDutyDropped{Pool: p.ID, Token: p.UntoldToken}, Timeout: peerTimeout})
	}
	p.UntoldToken = 0
}

// mayExtendLeases reports whether this process may extend leases and start runs. It may if both of
// these have succeeded within dutyValidity: a read of the duties, which confirms that this process
// still holds them, and a renewal of its member row, from which a successor tells when this process
// stopped extending leases. The renewal alone proves nothing, since it succeeds after a takeover as
// well.
func mayExtendLeases(w *quetzalwork.World) bool {
	return w.Now.Sub(min(w.Membership.ReadSentAt, w.Membership.RenewalSentAt)) < dutyValidity
}
