package quetzalscheduler

import (
	"fmt"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// restartedminion.go handles minions that start again under their ids. The new process knows nothing of the former one: its
// clock and the numbers of its ends begin anew, and it has seen no token. Calls that were meant for the former process and are
// carried out late may reach it all the same, and calls in time, too, where connections outlive the process.

// maxCallDelay is how long after it was sent a call without an answer may be carried out.
const maxCallDelay = 12 * time.Second

// How restarts become known, for the log: from the minion list, from the answer to a poll, or because a call was
// not sent to another process than the one for which it was decided.
const (
	restartInList   = "List"
	restartInAnswer = "Answer"
	restartInCall   = "Call"
)

// clockResolution is the margin for the rounding of two readings of a minion's clock, which are in whole milliseconds.
const clockResolution = 5 * time.Millisecond

// resetRestartedMinion ends the runs of a minion's earlier incarnation and clears what this
// process knew of it. The new incarnation may have carried out the orders to start the runs that no
// report has shown yet: these stay active until its first report shows whether they run. The calls to the
// new incarnation have a higher token, so that it rejects calls for the earlier one that arrive later.
// source tells how the restart became known.
func resetRestartedMinion(w *quetzalwork.World, row quetzalwork.Row, incarnation quetzalunit.MinionIncarnation, source string) {
	m := w.Minions.At(row)
	proof := restartProof(w, m, incarnation, source)
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "The minion has restarted.", Minion: m.ID, Pool: m.Pool, Version: int64(incarnation), Age: ageOf(w, m.LastAnsweredAt), Reason: source,
		Proof: proof,
	})
	runs := crashedRuns(w, m)
	m.Untracked = quetzalwork.UntrackedRuns{}
	for _, run := range slices.Clone(m.Runs) {
		switch r := w.Runs.At(run); {
		case r.Reported && hasOpenOrder(w, m, r):
			// The second order to start the run may have been for the new incarnation.
			setRunState(w, r, quetzalwork.RunStartUnanswered)
			r.Reported, r.StopAnsweredAt = false, 0
		case r.Reported:
			endRun(w, run, quetzalwork.OutcomeLapsed, "", "Restarted", proof)
		default:
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
	m.Incarnation, m.Ends, m.HostWithdrawn, m.ReportSentAt = incarnation, quetzalwork.EndLog{}, false, 0
	awaitNextProcess(w, row)
	if source != restartInList {
		notifyMinionRestarted(w, m)
	}
}

// restartProof returns what shows that a minion has restarted.
func restartProof(w *quetzalwork.World, m *quetzalwork.Minion, incarnation quetzalunit.MinionIncarnation, source string) *quetzalwork.Proof {
	switch source {
	case restartInList:
		return &quetzalwork.Proof{Kind: quetzalwork.ProofRestartInList, Incarnation: incarnation, Age: w.Now.Sub(w.MinionList.ReadSentAt)}
	case restartInAnswer:
		return &quetzalwork.Proof{Kind: quetzalwork.ProofRestartInAnswer, Incarnation: incarnation, Age: w.Now.Sub(m.PolledAt)}
	default:
		return &quetzalwork.Proof{Kind: quetzalwork.ProofRestartInCall, Incarnation: incarnation, Age: w.Now.Sub(m.PolledAt)}
	}
}

// awaitNextProcess prepares for the first answer of a minion's next process. Until then the process may have the
// longest lease. Its calls have a higher token, so that answers to earlier calls no longer count.
func awaitNextProcess(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	logAcksAtRisk(w, m)
	m.Clock, m.ClockAt, m.LeaseEnd, m.Answered = 0, w.Now, quetzalunit.MinionTime(0).Add(maxLeaseDuration(w)), false
	m.RestartSeenAt, m.PollInFlight, m.ProbeInFlight, m.Acknowledging = w.Now, false, false, false
	deferLateStarts(w, m)
	raiseOrderToken(w, m)
	schedulePoll(w, row, 0)
	if w.Pools.At(m.PoolRow).Held {
		// The process gets no task before a read of the duties that follows; see usable.
		rereadMembers(w)
	}
}

// handleAnswerClock handles the clock in the answer to an order that was decided at an instant. A clock that is behind
// the known one is that of a later process, which has carried the order out. Its incarnation is not known before it answers
// a poll, and the runs of the former one stay in the tables until then.
func handleAnswerClock(w *quetzalwork.World, row quetzalwork.Row, token quetzalunit.OrderToken, decidedAt quetzalunit.Instant, result quetzalwork.OrderResult) {
	m := w.Minions.At(row)
	clock, ok := answerClock(result)
	if !ok || !m.Answered || token != orderToken(w, m) {
		return
	}
	behind := earliestClock(m, decidedAt) - clock
	if behind <= 0 {
		return
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "Another process of the minion has answered an order.", Minion: m.ID, Pool: m.Pool, Version: int64(m.Incarnation),
		Age: ageOf(w, m.LastAnsweredAt), Reason: fmt.Sprintf("ClockBehind%dms", behind),
	})
	awaitNextProcess(w, row)
	notifyMinionRestarted(w, m)
}

// notifyMinionRestarted tells the entries that may take a pool over of a restart that the minion list may not show
// yet. If the minion is cut off before its record is stored, a successor would not know of the longest lease.
func notifyMinionRestarted(w *quetzalwork.World, m *quetzalwork.Minion) {
	for _, e := range w.Members.All() {
		if e.Entry != w.Self.Entry && isCandidate(w, e) {
			w.Emit(quetzalwork.CallPeer{Address: e.Address, Message: quetzalwork.NotifyMinionRestarted{Pool: m.Pool, Minion: m.ID}, Timeout: peerTimeout})
		}
	}
}

// handleMinionRestarted records that the dispatcher has found a minion restarted.
func handleMinionRestarted(w *quetzalwork.World, in *quetzalwork.NotifyMinionRestarted) {
	if m := w.Minions.At(w.MinionByID.Get(in.Minion)); m != nil {
		m.RestartSeenAt = w.Now
	}
}

// answerClock returns the minion's clock in the answer to an order. It returns false if there is none.
func answerClock(result quetzalwork.OrderResult) (quetzalunit.MinionTime, bool) {
	switch r := result.(type) {
	case quetzalwork.OrderAccepted:
		return r.Clock, true
	case quetzalwork.OrderOutdated:
		return r.Clock, true
	case quetzalwork.OrderExpired:
		return r.Clock, true
	case quetzalwork.OrderNoCapacity:
		return r.Clock, true
	case quetzalwork.OrderTicketRejected:
		return r.Clock, true
	case quetzalwork.OrderFenced, quetzalwork.OrderRefused, quetzalwork.OrderNotSent, quetzalwork.OrderMalformed, quetzalwork.OrderMisdirected,
		quetzalwork.OrderWrongIncarnation, quetzalwork.OrderUnanswered:
		return 0, false
	}
	return 0, false
}

// earliestClock returns the earliest time that the clock of a minion's known process can have shown after an instant.
// The last answer may be later than that.
func earliestClock(m *quetzalwork.Minion, since quetzalunit.Instant) quetzalunit.MinionTime {
	elapsed := since.Sub(m.ClockAt)
	if elapsed > 0 {
		elapsed = elapsed * minClockPercent / 100
	}
	return m.Clock.Add(elapsed - clockResolution)
}

// raiseOrderToken raises the token of the calls to a minion that has joined the pool or restarted, since this process may
// have called an earlier incarnation with the token before, or that has not answered an acknowledgement. Once the count has no larger value, it requests
// the release of the pool's duty, since a new term has a higher token.
func raiseOrderToken(w *quetzalwork.World, m *quetzalwork.Minion) {
	p := w.Pools.At(m.PoolRow)
	if !p.Held {
		return
	}
	if p.Restarts == quetzalunit.MaxRestarts {
		p.RunNumbersExhausted = true
		return
	}
	p.Restarts++
	m.Restarts = p.Restarts
}

// handleWrongIncarnation handles that another incarnation of a minion than the known one answers calls with a token.
// The present one may have the lower number if the minion's time of day was set back before it started:
// the list then names the same one. source tells how it became known.
func handleWrongIncarnation(w *quetzalwork.World, row quetzalwork.Row, token quetzalunit.OrderToken, answering quetzalunit.MinionIncarnation, source string) {
	m := w.Minions.At(row)
	switch {
	case answering == m.Incarnation:
		// The restart has become known since the call was decided.
	case answering > m.Incarnation || answering == m.RecordIncarnation && token == orderToken(w, m):
		resetRestartedMinion(w, row, answering, source)
	default:
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "An earlier process of the minion answers.", Minion: m.ID, Pool: m.Pool, Version: int64(answering), Routine: true})
	}
}

// handleFenced handles that a minion has rejected an order because it has seen a higher token. It returns true
// if that was one of this process: the order was for an earlier incarnation. Otherwise a later dispatcher uses
// the minion, and this one's dispatch ends.
func handleFenced(w *quetzalwork.World, row quetzalwork.Row, token quetzalunit.OrderToken) bool {
	m := w.Minions.At(row)
	if token < orderToken(w, m) {
		return true
	}
	dropDispatch(w, m.PoolRow, "Fenced")
	return false
}

// longestEarlierLease returns how long a lease may last that a minion has when it accepts the present token
// for the first time. A minion that has restarted measures the lease of an order for an earlier incarnation
// on another clock, and only shortens it to the longest one. Such an order may be carried out late.
func longestEarlierLease(w *quetzalwork.World, m *quetzalwork.Minion) time.Duration {
	if w.Now <= incarnationSeenAt(m).Add(maxCallDelay+restartedLeaseExpiry(w)) {
		return maxLeaseDuration(w)
	}
	return leaseDuration
}

// incarnationSeenAt returns when this process learned of a minion's present incarnation, which may have begun
// just before.
func incarnationSeenAt(m *quetzalwork.Minion) quetzalunit.Instant {
	return max(m.FirstSeenAt, m.RestartSeenAt)
}

// restartedLeaseExpiry returns the time after which the longest lease has expired that an incarnation
// may have when this process learns of it.
func restartedLeaseExpiry(w *quetzalwork.World) time.Duration {
	return maxLeaseDuration(w)*100/minClockPercent + leaseExpiryMargin
}

// logForgottenEnds logs that a minion no longer reports ends that this process has not seen. Some call must
// have acknowledged them: their runs look as if they had never ended.
func logForgottenEnds(w *quetzalwork.World, in *quetzalwork.MinionPolled) {
	m := w.Minions.At(in.Minion)
	p := w.Pools.At(m.PoolRow)
	// Of a process that an earlier dispatcher has used, this one knows no end before the first that is reported.
	known := m.Ends.SeenThrough() > 0 || m.RestartSeenAt > p.HeldSince
	if !known || len(in.Ends) == 0 || in.Ends[0].Number <= m.Ends.SeenThrough()+1 {
		return
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "The minion has forgotten ends that this entry has not seen.", Minion: m.ID, Pool: m.Pool, Version: int64(in.Incarnation),
		Reason: fmt.Sprintf("Seen%dFirst%d", m.Ends.SeenThrough(), in.Ends[0].Number),
	})
}

// logFirstAnswer logs what is known of a minion that has restarted once it has answered.
func logFirstAnswer(w *quetzalwork.World, in *quetzalwork.MinionPolled, clock quetzalunit.MinionTime) {
	m := w.Minions.At(in.Minion)
	if m.RestartSeenAt <= w.Pools.At(m.PoolRow).HeldSince {
		return
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "The restarted minion answers.", Minion: m.ID, Pool: m.Pool, Version: int64(m.Incarnation), Age: w.Now.Sub(m.RestartSeenAt),
		Reason: fmt.Sprintf("Lease%dmsRuns%dEnds%d", m.LeaseEnd-clock, len(in.Running), len(in.Ends)),
	})
}
