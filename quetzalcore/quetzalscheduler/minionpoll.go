package quetzalscheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// leaseDuration is the length of a minion's lease: its runs end unless the lease is renewed
	// within this time. A shorter lease frees the tasks of a crashed minion sooner; a longer
	// one outlasts a takeover of the pool.
	leaseDuration = 4500 * time.Millisecond
	// pollWait is how long a minion may delay its answer to a poll until a run ends.
	pollWait = 800 * time.Millisecond
	// minPollInterval is the shortest time between two polls of a minion. In a large pool at
	// peak load a run ends during every poll; pollRatePerCore limits the polls of a pool per
	// second for each core that this process has, so that one answer reports several ended
	// runs.
	minPollInterval = 15 * time.Millisecond
	pollRatePerCore = 3000
	// ackPollDelay is the delay before the next poll while the outcome of ended runs is being
	// stored.
	ackPollDelay = 60 * time.Millisecond
	// pollRetryDelay is the delay after a poll without an answer. It is multiplied by the
	// number of consecutive missed answers, up to 4.
	pollRetryDelay = 200 * time.Millisecond
	// clockReadPeriod is the time between two polls of a minion that runs nothing. They read its clock:
	// a lease on a minion with an exact clock is shorter by 2 % of the time since the last answer.
	clockReadPeriod = 30 * time.Second
	// leaseExpiryMargin is the margin after the end of a lease before its runs are treated as
	// ended.
	leaseExpiryMargin = 150 * time.Millisecond
	// minClockPercent is the lowest rate of a minion's clock relative to the clock of this process,
	// in hundredths. minClockRate is the same as a fraction.
	minClockPercent = 98
	minClockRate    = minClockPercent / 100.0
	// unknownJobGrace is how long a minion's runs of an unknown job may continue: another entry
	// may be about to report the job.
	unknownJobGrace = 4 * time.Second
)

// schedulePoll schedules the next poll of a minion, or brings a scheduled one forward.
func schedulePoll(w *quetzalwork.World, row quetzalwork.Row, delay time.Duration) {
	m := w.Minions.At(row)
	at := max(w.Now.Add(delay), m.PolledAt.Add(pollInterval(w, m)))
	if m.NextPollAt != 0 && m.NextPollAt <= at {
		return
	}
	m.NextPollAt = at
	w.Timers.Push(at, quetzalwork.MinionPollDue{Minion: row})
}

// pollInterval returns the shortest time between two polls of a minion. It grows with the
// number of minions per core of this process.
func pollInterval(w *quetzalwork.World, m *quetzalwork.Minion) time.Duration {
	minions := float64(len(w.Pools.At(m.PoolRow).Minions))
	return max(minPollInterval, time.Duration(minions/(coresOf(w.Self.CPUShare)*pollRatePerCore)*float64(time.Second)))
}

// pollMinions polls the minions whose next poll is due.
func pollMinions(w *quetzalwork.World) {
	for _, p := range w.Pools.All() {
		if !p.Held || !p.JobsLoaded {
			continue
		}
		for _, row := range p.Minions {
			if m := w.Minions.At(row); m.NextPollAt != 0 && m.NextPollAt <= w.Now && !m.PollInFlight {
				pollMinion(w, row)
			}
		}
	}
}

func targetOf(w *quetzalwork.World, m *quetzalwork.Minion) quetzalwork.MinionTarget {
	return quetzalwork.MinionTarget{Minion: m.ID, Address: m.Address, Token: orderToken(w, m), Incarnation: m.Incarnation}
}

// orderToken returns the token of the calls to a minion.
func orderToken(w *quetzalwork.World, m *quetzalwork.Minion) quetzalunit.OrderToken {
	return w.Pools.At(m.PoolRow).Token.Order(m.Restarts)
}

// pollMinion asks a minion which runs are active and which have ended. If the minion answered the
// previous poll, this one also acknowledges ends if beginAck has decided so, renews the lease, provided
// that this process may extend leases now, and lets the minion delay its answer until a run ends, unless
// an end still waits for its acknowledgement.
func pollMinion(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	m.PollInFlight, m.PolledAt, m.NextPollAt, m.PollWait = true, w.Now, 0, 0
	c := quetzalwork.PollMinion{Minion: row, Target: targetOf(w, m), SeenThrough: m.Ends.SeenThrough(), SentAt: w.Now}
	if m.Answered && m.MissedAnswers == 0 {
		if m.Acknowledging {
			m.AckPollThrough = m.Ends.SettledThrough()
			c.AckedThrough = m.AckPollThrough
		}
		if mayExtendLeases(w) {
			c.LeaseEnd = grantLease(w, m)
			m.LeasePolledAt = w.Now
		}
		if len(m.Ends.Open()) == 0 && !ackDue(m) {
			c.Wait = min(longestPollWait(w, m), isolationLeft(w, m))
			m.PollWait = c.Wait
		}
	}
	noteAckSent(w, m, &c)
	w.Emit(c)
}

// grantLease returns the end, on the minion's clock, of a lease that begins now, and raises the
// minion's LeaseEnd to it. The clock may have run at minClockRate since the minion's last answer. A lease
// that assumed more would last longer than leaseExpiryTime, for which a successor waits.
func grantLease(w *quetzalwork.World, m *quetzalwork.Minion) quetzalunit.MinionTime {
	elapsed := w.Now.Sub(m.ClockAt) * minClockPercent / 100
	lease := m.Clock.Add(elapsed + min(leaseDuration, maxLeaseDuration(w)))
	m.LeaseEnd = max(m.LeaseEnd, lease)
	return lease
}

func maxLeaseDuration(w *quetzalwork.World) time.Duration {
	if w.Bounds.MaxLease == 0 {
		return leaseDuration
	}
	return w.Bounds.MaxLease
}

// leaseExpiry returns the instant at which a minion's lease has certainly expired, even if the
// minion's clock is slow, unless it is renewed.
func leaseExpiry(m *quetzalwork.Minion) quetzalunit.Instant {
	left := time.Duration(m.LeaseEnd-m.Clock) * time.Millisecond
	return m.ClockAt.Add(time.Duration(float64(left)/minClockRate) + leaseExpiryMargin)
}

// handleMinionPoll applies the answer to a poll and schedules the next one.
func handleMinionPoll(w *quetzalwork.World, in *quetzalwork.MinionPolled) {
	m := w.Minions.At(in.Minion)
	if m == nil {
		return
	}
	p := w.Pools.At(m.PoolRow)
	if !p.Held || orderToken(w, m) != in.Token || !settlePoll(w, in) {
		return
	}
	switch r := in.Result.(type) {
	case quetzalwork.OrderAccepted:
		observeAnswerDelay(m, w.Now.Sub(in.SentAt)-m.PollWait)
		if m.Incarnation != 0 && in.Incarnation != 0 && in.Incarnation != m.Incarnation {
			// Late calls for the earlier incarnation count until the present one has seen a higher token.
			abandonAck(w, m)
			handlePollOfOtherIncarnation(w, in, in.Incarnation, restartInAnswer)
			return
		}
		forgetUnansweredAck(m, in.SentAt)
		applyMinionReport(w, in, r.Clock)
	case quetzalwork.OrderWrongIncarnation:
		forgetUnansweredAck(m, in.SentAt)
		abandonAck(w, m)
		handlePollOfOtherIncarnation(w, in, r.Incarnation, restartInCall)
		return
	case quetzalwork.OrderFenced:
		dropDispatch(w, m.PoolRow, "Fenced")
		return
	case quetzalwork.OrderMisdirected:
		forgetUnansweredAck(m, in.SentAt)
		abandonAck(w, m)
		endCrashedRuns(w, in.Minion, "Astray", &quetzalwork.Proof{Kind: quetzalwork.ProofOtherAnswers, Age: w.Now.Sub(in.SentAt)})
		discardOpenEnds(w, m, "Astray")
		recordMissedPoll(w, in.Minion, "Astray")
	default:
		abandonAck(w, m)
		recordMissedPoll(w, in.Minion, "Silent")
	}
	if m = w.Minions.At(in.Minion); m != nil {
		scheduleNextPoll(w, in.Minion)
	}
}

// handlePollOfOtherIncarnation handles that another incarnation of a minion than the known one answers polls. Its
// report does not count: calls to it get a higher token first.
func handlePollOfOtherIncarnation(w *quetzalwork.World, in *quetzalwork.MinionPolled, answering quetzalunit.MinionIncarnation, source string) {
	handleWrongIncarnation(w, in.Minion, in.Token, answering, source)
	if m := w.Minions.At(in.Minion); m.Incarnation != answering {
		logAcksAtRisk(w, m)
		recordMissedPoll(w, in.Minion, "EarlierIncarnation")
		scheduleNextPoll(w, in.Minion)
	}
}

// recordMissedPoll counts a poll without success and logs the first of a series.
func recordMissedPoll(w *quetzalwork.World, row quetzalwork.Row, reason string) {
	m := w.Minions.At(row)
	m.MissedAnswers++
	if m.MissedAnswers == 1 {
		recordSilence(w, m)
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "The minion does not answer.", Minion: m.ID, Pool: m.Pool, Age: ageOf(w, m.LastAnsweredAt), Reason: reason})
	}
}

// scheduleNextPoll schedules the next poll of a minion: soon if it missed a poll, has runs, or has ends
// that are not applied or acknowledged, otherwise after clockReadPeriod. It deletes a minion that has left
// the list and is no longer needed.
func scheduleNextPoll(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	switch {
	case m.Replaced:
		// A later minion has replaced it on the host.
	case m.MissedAnswers > 0 && isForgettable(w, m):
		deleteMinion(w, row)
	case m.MissedAnswers > 0:
		schedulePoll(w, row, pollRetryDelay*time.Duration(min(m.MissedAnswers, 4)))
	case len(m.Ends.Open()) > 0 || ackDue(m) || m.EndsPending:
		schedulePoll(w, row, ackPollDelay)
		beginAck(w, row)
	case len(m.Runs) > 0 || m.Untracked.Count > 0:
		schedulePoll(w, row, 0)
	case !m.Listed && w.Now.Sub(m.RemovedAt) > removedMinionRetention:
		deleteMinion(w, row)
	default:
		schedulePoll(w, row, clockReadPeriod)
	}
}

// isForgettable reports whether nothing needs to be known any more of a minion that does not answer.
func isForgettable(w *quetzalwork.World, m *quetzalwork.Minion) bool {
	switch {
	case m.Listed, len(m.Runs) > 0, mayHaveUnstoredWork(w, m), mayProveCrash(w, m), awaitsEnds(w, m):
		return false
	default:
		return m.Answered || w.Now > w.Pools.At(m.PoolRow).PredecessorLeasesEnd
	}
}

// mayHaveUnstoredWork reports whether a minion has ends that are not stored, or runs without a row in the table of runs, under
// a lease that may last. A successor learns of them from the minion alone, so that the release of the duty must name it.
func mayHaveUnstoredWork(w *quetzalwork.World, m *quetzalwork.Minion) bool {
	return (len(m.Ends.Open()) > 0 || m.EndsPending || m.Untracked.Count > 0) && w.Now <= lateLeaseExpiry(w, m)
}

// applyMinionReport applies the active and ended runs that a minion reports in its answer to a
// poll.
func applyMinionReport(w *quetzalwork.World, in *quetzalwork.MinionPolled, clock quetzalunit.MinionTime) {
	m := w.Minions.At(in.Minion)
	p := w.Pools.At(m.PoolRow)
	m.Incarnation = max(m.Incarnation, in.Incarnation)
	if m.MissedAnswers > 0 {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "The minion answers again.", Minion: m.ID, Pool: m.Pool, Age: ageOf(w, m.LastAnsweredAt)})
	}
	if !m.Answered || m.MissedAnswers > 0 {
		p.NeedsPlacement = true
	}
	m.LeaseEnd = max(m.LeaseEnd, clock)
	logForgottenEnds(w, in)
	if len(in.Ends) > 0 {
		m.Ends.Forget(in.Ends[0].Number - 1)
	}
	if !m.Answered {
		// The minion may have a lease of an order whose token it has accepted until now.
		m.EndsKnown = false
		if m.FirstAnsweredAt == 0 {
			inheritLateStarts(w, p, m)
		}
		m.FirstAnsweredAt, m.LeaseEnd = w.Now, max(m.LeaseEnd, clock.Add(longestEarlierLease(w, m)))
		logFirstAnswer(w, in, clock)
	}
	m.Answered, m.MissedAnswers, m.LostRuns = true, 0, nil
	confirmAck(w, m, in.SentAt)
	m.Clock, m.ClockAt, m.LastAnsweredAt = clock, w.Now, w.Now
	ends, complete := m.Ends.NewEnds(in)
	if !complete {
		logLeftOutEnds(w, in)
	}
	trackUnknownJobs(w, in, ends)
	pending := !applyReportedEnds(w, in.Minion, ends) || !complete
	setEndsPending(w, in.Minion, in.MoreEnds || pending)
	reported := make(map[quetzalwork.Row]bool, len(in.Running))
	p.NeedsPlacement = p.NeedsPlacement || m.Untracked.Count > 0
	m.Untracked = quetzalwork.UntrackedRuns{}
	for i := range in.Running {
		run := applyReportedRun(w, in.Minion, &in.Running[i])
		reported[run] = true
		if run == 0 {
			addUntrackedRun(w, m, &in.Running[i])
		}
	}
	if !m.EndsPending {
		endUnreportedRuns(w, in, reported)
	}
	confirmCrashes(w, in)
	ackEnds(w, p)
}

// applyReportedEnds applies the new ends of a minion in their order. It returns false if it stopped at one whose job is
// not known.
func applyReportedEnds(w *quetzalwork.World, row quetzalwork.Row, ends []quetzalwork.ReportedEnd) bool {
	for i := range ends {
		if !handleReportedEnd(w, row, &ends[i]) {
			return false
		}
	}
	return true
}

// logLeftOutEnds logs that an answer is not used for ends, since it leaves out some that are not applied.
func logLeftOutEnds(w *quetzalwork.World, in *quetzalwork.MinionPolled) {
	m := w.Minions.At(in.Minion)
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "An answer leaves out ends that count as new.", Minion: m.ID, Pool: m.Pool, Version: int64(in.EndsAfter),
		Age: w.Now.Sub(in.SentAt), Reason: fmt.Sprintf("Seen%d", m.Ends.SeenThrough()),
	})
}

// setEndsPending records whether a minion has ends that are still to be applied, and logs when that
// begins and when it is over.
func setEndsPending(w *quetzalwork.World, row quetzalwork.Row, pending bool) {
	m := w.Minions.At(row)
	switch {
	case pending && !m.EndsPending:
		m.EndsPendingSince = w.Now
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "The minion has ends that are still to be applied.", Minion: m.ID, Pool: m.Pool, Version: int64(m.Ends.SeenThrough())})
	case !pending && m.EndsPending:
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "All ends of the minion are applied.", Minion: m.ID, Pool: m.Pool, Version: int64(m.Ends.SeenThrough()), Age: w.Now.Sub(m.EndsPendingSince)})
	}
	m.EndsPending = pending
	if !pending && !m.EndsKnown {
		m.EndsKnown = true
		w.Pools.At(m.PoolRow).NeedsPlacement = true
	}
}

// addUntrackedRun adds a reported run without a row in the table of runs to a minion's Untracked.
func addUntrackedRun(w *quetzalwork.World, m *quetzalwork.Minion, reported *quetzalwork.ReportedRun) {
	u := &m.Untracked
	u.Count++
	j := w.Jobs.At(w.JobByID.Get(reported.Task.Job))
	if step := int(reported.Task.Step); j != nil && j.Spec != nil && step >= 0 && step < len(j.Spec.Steps) {
		u.Used = u.Used.Plus(needsOf(&j.Spec.Steps[step]))
		return
	}
	u.UnknownUse = true
}

// trackUnknownJobs records since when a minion has reported runs or new ends of each unknown job, and
// reads the pool's rows to find these jobs.
func trackUnknownJobs(w *quetzalwork.World, in *quetzalwork.MinionPolled, ends []quetzalwork.ReportedEnd) {
	m := w.Minions.At(in.Minion)
	var unknown map[quetzalunit.JobID]quetzalunit.Instant
	track := func(id quetzalunit.JobID) {
		if isKnown(w.Jobs.At(w.JobByID.Get(id))) {
			return
		}
		if unknown == nil {
			unknown = make(map[quetzalunit.JobID]quetzalunit.Instant)
		}
		unknown[id] = cmp.Or(m.UnknownJobs[id], w.Now)
	}
	for i := range ends {
		track(ends[i].Task.Job)
	}
	for i := range in.Running {
		track(in.Running[i].Task.Job)
	}
	if m.UnknownJobs = unknown; unknown != nil {
		readPool(w, m.PoolRow, w.Pools.At(m.PoolRow).Token)
	}
}

// isKnown reports whether the tasks of a job are known, or that it needs none any more.
func isKnown(j *quetzalwork.Job) bool {
	return j != nil && (j.Spec != nil || j.State.Final())
}

// staysUnknown reports whether a job of which a minion reports runs or ends is not stored in the minion's pool: the
// minion has reported them for longer than unknownJobGrace, and a read of the rows since then has not found the job.
func staysUnknown(w *quetzalwork.World, m *quetzalwork.Minion, id quetzalunit.JobID) bool {
	since := m.UnknownJobs[id]
	return since != 0 && w.Now.Sub(since) > unknownJobGrace && w.Pools.At(m.PoolRow).CompletedReadSentAt >= since
}

// endUnreportedRuns ends the runs that a minion's answer would report if they were active or had ended,
// but does not. Their start was answered before the poll was sent, or cannot be carried out any more.
// All ends of the minion must have been applied.
func endUnreportedRuns(w *quetzalwork.World, in *quetzalwork.MinionPolled, reported map[quetzalwork.Row]bool) {
	m := w.Minions.At(in.Minion)
	for _, row := range slices.Clone(m.Runs) {
		r := w.Runs.At(row)
		if reported[row] {
			continue
		}
		switch r.State {
		case quetzalwork.RunStarted:
			if r.AnsweredAt < in.SentAt {
				proof := quetzalwork.Proof{Kind: quetzalwork.ProofReport, Age: in.SentAt.Sub(r.AnsweredAt)}
				logAbsentRun(w, r, &proof)
				endRun(w, row, quetzalwork.OutcomeLapsed, "", "Absent", &proof)
			}
		case quetzalwork.RunStartUnanswered:
			if proof := neverStartedProof(w, in, r); proof != nil {
				endRun(w, row, quetzalwork.OutcomeStopped, "", "NeverStarted", proof)
			} else if r.StopReason == quetzalwork.StopUnanswered && r.StopAnsweredAt == 0 && w.Now.Sub(r.StopSentAt) > stopRetryDelay {
				// Now the run is not active. Later it might be, and the stop would end it at work.
				stopRun(w, row, quetzalwork.StopUnanswered)
			}
		case quetzalwork.RunStarting:
			// The answer to the start order is still in flight.
		}
	}
}

// neverStartedProof returns what shows that an unanswered order to start a run has no effect any more, nil if it may have: the
// minion has accepted an order to stop the run or one with a higher token, or the start deadline has passed.
func neverStartedProof(w *quetzalwork.World, in *quetzalwork.MinionPolled, r *quetzalwork.Run) *quetzalwork.Proof {
	switch m := w.Minions.At(in.Minion); {
	case r.StopAnsweredAt != 0 && r.StopAnsweredAt < in.SentAt:
		return &quetzalwork.Proof{Kind: quetzalwork.ProofStopAccepted, Age: in.SentAt.Sub(r.StopAnsweredAt)}
	case r.StartToken < in.Token:
		return &quetzalwork.Proof{Kind: quetzalwork.ProofLaterToken, Age: w.Now.Sub(r.StartedAt)}
	case m.Clock > r.StartDeadline.Add(leaseExpiryMargin):
		return &quetzalwork.Proof{Kind: quetzalwork.ProofStartExpired, Age: w.Now.Sub(r.StartedAt)}
	default:
		return nil
	}
}
