package quetzalscheduler

import (
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
	// minionListPeriod is the time between two reads of the minion list while this entry
	// dispatches a pool. A minion that begins to drain must get no new work after two seconds.
	minionListPeriod = 450 * time.Millisecond
	// shortageListPeriod replaces minionListPeriod while a dispatched pool waits for hosts.
	shortageListPeriod = 200 * time.Millisecond
	// standbyListPeriod replaces minionListPeriod at a standby that dispatches no pool.
	standbyListPeriod = 2500 * time.Millisecond
	// removedMinionRetention is how long a minion that left the list is kept in the tables for
	// a takeover. No earlier dispatcher can keep runs on such a minion alive for longer.
	removedMinionRetention = 16 * time.Second
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

// listMinions reads the changes of the minion list, unless a read is in flight or this entry is no
// standby.
func listMinions(w *quetzalwork.World) {
	if w.MinionList.ReadInFlight {
		return
	}
	if w.Membership.Standbys != nil && !isStandby(w) {
		forgetMinions(w)
		w.After(standbyListPeriod, quetzalwork.MinionListDue{})
		return
	}
	w.MinionList.ReadInFlight, w.MinionList.SentAt = true, w.Now
	w.Emit(quetzalwork.ListMinions{SinceRevision: w.MinionList.SeenRevision})
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
	l.ReadInFlight = false
	planned := l.Delay
	l.Delay = minionListDelay(w)
	w.After(l.Delay, quetzalwork.MinionListDue{})
	if in.Result == quetzalwork.StoreCompacted {
		l.SeenRevision = 0
	}
	if in.Result != quetzalwork.StoreDone {
		return
	}
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
	for row, m := range w.Minions.All() {
		if p := w.Pools.At(m.PoolRow); !m.Listed && !p.Held && w.Now.Sub(m.RemovedAt) > removedMinionRetention {
			deleteMinion(w, row)
		}
	}
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
	m.Listed, m.RemovedAt = false, w.Now
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
		if r.Incarnation <= m.Incarnation {
			// The record is stale: only a later incarnation can belong to another pool.
			return
		}
		endMinionRuns(w, row, "Moved")
		deleteMinion(w, row)
		row = 0
	}
	if row == 0 {
		row = w.Minions.Insert(quetzalwork.Minion{MinionRecord: *r, PoolRow: pool, FirstSeenAt: w.Now, Listed: true, Slowdown: 1})
		w.MinionByID.Put(r.ID, row)
		retireEarlierMinions(w, r)
		p.Minions = append(p.Minions, row)
		if p.Held {
			w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "A minion joined the pool.", Minion: r.ID, Pool: r.Pool, Host: r.Host, Version: int64(r.Incarnation)})
			schedulePoll(w, row, 0)
			// The minion gets no task before a read of the duties that follows; see usable.
			rereadMembers(w)
		}
	}
	m := w.Minions.At(row)
	if m.Incarnation != 0 && r.Incarnation != 0 && r.Incarnation > m.Incarnation {
		resetRestartedMinion(w, row, r.Incarnation)
	}
	incarnation := max(m.Incarnation, r.Incarnation)
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

// retireEarlierMinions marks earlier minions on the same host as replaced and ends their runs,
// because only one minion runs on a host at a time.
func retireEarlierMinions(w *quetzalwork.World, r *quetzalwork.MinionRecord) {
	if r.Host == "" || r.Incarnation == 0 {
		return
	}
	for row, m := range w.Minions.All() {
		if m.Host != r.Host || m.ID == r.ID || m.Replaced {
			continue
		}
		if m.Incarnation > r.Incarnation {
			w.Minions.At(w.MinionByID.Get(r.ID)).Replaced = true
			continue
		}
		m.Replaced, m.UnackedEnds = true, nil
		if m.Pool == r.Pool {
			endCrashedRuns(w, row, "Replaced")
		} else {
			// The host has moved to another pool.
			endMinionRuns(w, row, "Replaced")
		}
	}
}

// resetRestartedMinion ends the runs of a minion's earlier incarnation and clears what this
// process knew of it. The new incarnation may have carried out the orders to start the runs that no
// report has shown yet: these stay active until its first report shows whether they run.
func resetRestartedMinion(w *quetzalwork.World, row quetzalwork.Row, incarnation quetzalunit.MinionIncarnation) {
	m := w.Minions.At(row)
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "The minion has restarted.", Minion: m.ID, Pool: m.Pool, Version: int64(incarnation)})
	runs := crashedRuns(w, m)
	m.Untracked = quetzalwork.UntrackedRuns{}
	for _, run := range slices.Clone(m.Runs) {
		if r := w.Runs.At(run); r.Reported {
			endRun(w, run, quetzalwork.OutcomeLapsed, "", "Restarted")
		} else {
			// The new incarnation knows of no order to stop that the earlier one accepted.
			r.StopAnsweredAt = 0
		}
	}
	for i := range runs {
		if activeRun(w, &runs[i]) != 0 {
			m.UnconfirmedRuns = append(m.UnconfirmedRuns, runs[i])
			continue
		}
		handleCrash(w, m, &runs[i])
	}
	m.Incarnation, m.SeenThrough, m.AckedThrough, m.UnackedEnds, m.HostWithdrawn = incarnation, 0, 0, nil, false
	m.Clock, m.ClockAt, m.LeaseEnd, m.Answered = 0, w.Now, 0, false
	if len(m.Runs) > 0 {
		// Their orders to start name a time of another clock as the end of the lease. The minion
		// shortens it to the longest one.
		m.LeaseEnd = m.Clock.Add(maxLeaseDuration(w))
	}
	schedulePoll(w, row, 0)
}

// endMinionRuns ends all runs of a minion. The caller must know for certain that none of them
// continues.
func endMinionRuns(w *quetzalwork.World, row quetzalwork.Row, reason string) {
	m := w.Minions.At(row)
	m.Untracked = quetzalwork.UntrackedRuns{}
	for _, run := range slices.Clone(m.Runs) {
		endRun(w, run, quetzalwork.OutcomeLapsed, "", reason)
	}
}

// deleteMinion removes a minion and its runs from the tables.
func deleteMinion(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	for _, run := range slices.Clone(m.Runs) {
		removeRun(w, run)
	}
	if p := w.Pools.At(m.PoolRow); p != nil {
		p.Minions = slices.DeleteFunc(p.Minions, func(r quetzalwork.Row) bool { return r == row })
	}
	w.MinionByID.Delete(m.ID)
	w.Minions.Delete(row)
}

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
	return quetzalwork.MinionTarget{Minion: m.ID, Address: m.Address, Token: w.Pools.At(m.PoolRow).Token}
}

// pollMinion asks a minion which runs are active and which have ended, and acknowledges ends
// whose progress is stored. If the minion answered the previous poll, this one also renews the
// lease, provided that this process may extend leases now, and lets the minion delay its answer
// until a run ends, unless an end still waits for its acknowledgement.
func pollMinion(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	m.PollInFlight, m.PolledAt, m.NextPollAt = true, w.Now, 0
	c := quetzalwork.PollMinion{Minion: row, Target: targetOf(w, m), AckedThrough: m.AckedThrough, SentAt: w.Now}
	if m.Answered && m.MissedAnswers == 0 {
		if mayExtendLeases(w) {
			c.LeaseEnd = grantLease(w, m)
		}
		if len(m.UnackedEnds) == 0 {
			c.Wait = min(pollWait, isolationLeft(w, m))
		}
	}
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
	if !p.Held || p.Token != in.Token {
		return
	}
	m.PollInFlight = false
	switch r := in.Result.(type) {
	case quetzalwork.OrderAccepted:
		applyMinionReport(w, in, r.Clock)
	case quetzalwork.OrderFenced:
		endDispatch(w, m.PoolRow, "Fenced")
		return
	case quetzalwork.OrderMisdirected:
		endCrashedRuns(w, in.Minion, "Astray")
		m.UnackedEnds = nil
		recordMissedPoll(w, in.Minion, "Astray")
	default:
		recordMissedPoll(w, in.Minion, "Silent")
	}
	if m = w.Minions.At(in.Minion); m != nil {
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

// scheduleNextPoll schedules the next poll of a minion: soon if it missed a poll, has runs or has
// unacknowledged ends, otherwise after clockReadPeriod. It deletes a minion that has left the list and is
// no longer needed.
func scheduleNextPoll(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	switch {
	case m.Replaced:
		// A later minion has replaced it on the host.
	case m.MissedAnswers > 0 && !m.Listed && len(m.Runs) == 0 && !mayProveCrash(w, m) && (m.Answered || w.Now > w.Pools.At(m.PoolRow).PredecessorLeasesEnd):
		deleteMinion(w, row)
	case m.MissedAnswers > 0:
		schedulePoll(w, row, pollRetryDelay*time.Duration(min(m.MissedAnswers, 4)))
	case len(m.UnackedEnds) > 0:
		schedulePoll(w, row, ackPollDelay)
	case len(m.Runs) > 0 || m.Untracked.Count > 0:
		schedulePoll(w, row, 0)
	case !m.Listed && w.Now.Sub(m.RemovedAt) > removedMinionRetention:
		deleteMinion(w, row)
	default:
		schedulePoll(w, row, clockReadPeriod)
	}
}

// resetMinion discards everything that a minion has reported, because the dispatch of its pool
// by this process begins or ends. Only what the minion list says of it stays.
func resetMinion(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	for _, run := range slices.Clone(m.Runs) {
		removeRun(w, run)
	}
	*m = quetzalwork.Minion{
		MinionRecord: m.MinionRecord, RecordIncarnation: m.RecordIncarnation, PoolRow: m.PoolRow, FirstSeenAt: m.FirstSeenAt, Listed: m.Listed, Replaced: m.Replaced, RemovedAt: m.RemovedAt, DrainUntil: m.DrainUntil, Slowdown: 1,
	}
}

// applyMinionReport applies the active and ended runs that a minion reports in its answer to a
// poll.
func applyMinionReport(w *quetzalwork.World, in *quetzalwork.MinionPolled, clock quetzalunit.MinionTime) {
	m := w.Minions.At(in.Minion)
	p := w.Pools.At(m.PoolRow)
	if in.Incarnation != 0 && m.Incarnation != 0 && in.Incarnation > m.Incarnation {
		resetRestartedMinion(w, in.Minion, in.Incarnation)
	}
	m.Incarnation = max(m.Incarnation, in.Incarnation)
	if m.MissedAnswers > 0 {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "The minion answers again.", Minion: m.ID, Pool: m.Pool, Age: ageOf(w, m.LastAnsweredAt)})
	}
	if !m.Answered || m.MissedAnswers > 0 {
		p.NeedsPlacement = true
	}
	m.LeaseEnd = max(m.LeaseEnd, clock)
	if !m.Answered {
		// The minion may have a lease of the predecessor, whose token it has accepted until now.
		m.FirstAnsweredAt, m.LeaseEnd = w.Now, max(m.LeaseEnd, clock.Add(leaseDuration))
		if len(m.Runs) > 0 {
			// The minion has restarted, see resetRestartedMinion.
			m.LeaseEnd = clock.Add(maxLeaseDuration(w))
		}
	}
	m.Answered, m.MissedAnswers, m.LostRuns = true, 0, nil
	m.Clock, m.ClockAt, m.LastAnsweredAt = clock, w.Now, w.Now
	unknown := false
	for i := range in.Ends {
		if in.Ends[i].Number <= m.SeenThrough {
			continue
		}
		if !handleReportedEnd(w, in.Minion, &in.Ends[i]) {
			unknown = true
			break
		}
	}
	reported := make(map[quetzalwork.Row]bool, len(in.Running))
	p.NeedsPlacement = p.NeedsPlacement || m.Untracked.Count > 0
	m.Untracked = quetzalwork.UntrackedRuns{}
	for i := range in.Running {
		run, known := applyReportedRun(w, in.Minion, &in.Running[i])
		unknown = unknown || !known
		reported[run] = true
		if run == 0 {
			addUntrackedRun(w, m, &in.Running[i])
		}
	}
	endUnreportedRuns(w, in, reported)
	confirmCrashes(w, in)
	trackUnknownWork(w, in.Minion, unknown)
	ackEnds(w, p)
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

// trackUnknownWork records since when a minion has reported runs or ends of unknown jobs, and
// reads the pool's rows to find these jobs.
func trackUnknownWork(w *quetzalwork.World, row quetzalwork.Row, unknown bool) {
	m := w.Minions.At(row)
	if !unknown {
		m.UnknownWorkSince = 0
		return
	}
	if m.UnknownWorkSince == 0 {
		m.UnknownWorkSince = w.Now
	}
	readPool(w, m.PoolRow, w.Pools.At(m.PoolRow).Token)
}

// unknownWorkExpired reports whether a minion has reported runs or ends of unknown jobs for
// longer than unknownJobGrace.
func unknownWorkExpired(w *quetzalwork.World, m *quetzalwork.Minion) bool {
	return m.UnknownWorkSince != 0 && w.Now.Sub(m.UnknownWorkSince) > unknownJobGrace
}

// endUnreportedRuns ends the runs that a minion's answer would report if they were active, but
// does not. Their start was answered before the poll was sent, or cannot be carried out any more.
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
				endRun(w, row, quetzalwork.OutcomeLapsed, "", "Absent")
			}
		case quetzalwork.RunStartUnanswered:
			// An unanswered order to start has no effect once the minion has accepted an order to
			// stop the run, or once the start deadline has passed.
			cancelled := r.StopAnsweredAt != 0 && r.StopAnsweredAt < in.SentAt
			if cancelled || m.Clock > r.StartDeadline.Add(leaseExpiryMargin) {
				endRun(w, row, quetzalwork.OutcomeStopped, "", "NeverStarted")
			}
		case quetzalwork.RunStarting:
			// The answer to the start order is still in flight.
		}
	}
}
