package quetzalscheduler

import (
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// runorder.go sends the orders to stop runs and handles the answers to those that start and stop them.

// stopUnknownRun sends the order to stop a run that is not in the tables.
func stopUnknownRun(w *quetzalwork.World, m *quetzalwork.Minion, reported *quetzalwork.ReportedRun) {
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "A run that no task needs is stopped.", Job: reported.Task.Job, Task: reported.Task.TaskRef, Run: reported.Number, Minion: m.ID, Routine: true})
	w.Emit(quetzalwork.StopRun{Target: targetOf(w, m), Task: reported.Task, Number: reported.Number})
}

// stopRun sends the order to stop a run, unless one is in flight or accepted. The run stays
// active until the minion reports its end.
func stopRun(w *quetzalwork.World, row quetzalwork.Row, reason quetzalwork.StopReason) {
	r := w.Runs.At(row)
	if r.StopReason == quetzalwork.StopNone || r.StopReason == quetzalwork.StopUnanswered {
		r.StopReason = reason
	}
	if r.StopInFlight || r.StopAnsweredAt != 0 {
		return
	}
	m := w.Minions.At(r.Minion)
	r.StopInFlight, r.StopSentAt = true, w.Now
	w.Emit(quetzalwork.StopRun{Run: row, Target: targetOf(w, m), Task: taskName(w, w.Tasks.At(r.Task)), Number: r.Number})
}

// handleStopAnswer applies the answer to an order to stop a run.
func handleStopAnswer(w *quetzalwork.World, in *quetzalwork.StopAnswered) {
	r := w.Runs.At(in.Run)
	if r == nil {
		return
	}
	r.StopInFlight = false
	handleAnswerClock(w, r.Minion, in.Token, r.StopSentAt, in.Result)
	switch result := in.Result.(type) {
	case quetzalwork.OrderAccepted:
		if in.Token == orderToken(w, w.Minions.At(r.Minion)) {
			r.StopAnsweredAt = w.Now
		}
		schedulePoll(w, r.Minion, 0)
	case quetzalwork.OrderFenced:
		handleFenced(w, r.Minion, in.Token)
	case quetzalwork.OrderWrongIncarnation:
		handleWrongIncarnation(w, r.Minion, in.Token, result.Incarnation, restartInCall)
	default:
		// watchRuns sends the order again.
	}
}

// handleStartAnswer applies the answer to an order to start a run.
func handleStartAnswer(w *quetzalwork.World, in *quetzalwork.StartAnswered) {
	r := w.Runs.At(in.Run)
	if r == nil || !settleStart(w, r, in) {
		return
	}
	m := w.Minions.At(r.Minion)
	r.AnsweredAt = w.Now
	minion := r.Minion
	handleAnswerClock(w, minion, in.Token, r.StartedAt, in.Result)
	switch result := startResult(r, in.Result).(type) {
	case quetzalwork.OrderAccepted:
		acceptStart(w, r)
	case quetzalwork.OrderFenced:
		if handleFenced(w, minion, in.Token) {
			rejectRun(w, in.Run, "EarlierIncarnation")
		}
	case quetzalwork.OrderWrongIncarnation:
		rejectRun(w, in.Run, "WrongIncarnation")
		handleWrongIncarnation(w, minion, in.Token, result.Incarnation, restartInCall)
	case quetzalwork.OrderUnanswered:
		handleUnansweredStart(w, in.Run)
	case quetzalwork.OrderNoCapacity:
		m.RejectionBackoffUntil = w.Now.Add(rejectionBackoff)
		w.Timers.Push(m.RejectionBackoffUntil, quetzalwork.PlacementDue{Pool: m.PoolRow})
		rejectRun(w, in.Run, "NoRoom")
	case quetzalwork.OrderTicketRejected:
		w.Steps.At(w.Tasks.At(r.Task).Step).Advice.ValidUntil = 0
		rejectRun(w, in.Run, "NoTicket")
	case quetzalwork.OrderRefused:
		countMinionFailure(w, r.Minion)
		m.RejectionBackoffUntil = w.Now.Add(rejectionBackoff)
		w.Timers.Push(m.RejectionBackoffUntil, quetzalwork.PlacementDue{Pool: m.PoolRow})
		rejectRun(w, in.Run, "Refused")
	case quetzalwork.OrderMisdirected:
		if m.MissedAnswers == 0 {
			recordSilence(w, m)
		}
		m.MissedAnswers++
		schedulePoll(w, r.Minion, pollRetryDelay)
		rejectRun(w, in.Run, "Astray")
	case quetzalwork.OrderNotSent:
		rejectRun(w, in.Run, "NotSent")
	case quetzalwork.OrderOutdated:
		awaitReportOfOutdated(w, in.Run, in.Token)
	case quetzalwork.OrderExpired, quetzalwork.OrderMalformed:
		rejectRun(w, in.Run, "Rejected")
	}
}

// acceptStart records that the minion of a run has accepted an order to start it.
func acceptStart(w *quetzalwork.World, r *quetzalwork.Run) {
	if r.OrderedAt == r.StartedAt {
		observeAnswerDelay(w.Minions.At(r.Minion), w.Now.Sub(r.StartedAt))
	}
	markRunStarted(w, r)
	noteOtherOrder(w, r, false)
	w.Jobs.At(w.Steps.At(w.Tasks.At(r.Task).Step).Job).Started = true
}

// handleUnansweredStart orders a run to be stopped whose order to start had no answer, before it may be carried out late.
func handleUnansweredStart(w *quetzalwork.World, row quetzalwork.Row) {
	r := w.Runs.At(row)
	setRunState(w, r, quetzalwork.RunStartUnanswered)
	noteUnansweredStart(w, r, false)
	stopRun(w, row, quetzalwork.StopUnanswered)
	schedulePoll(w, r.Minion, 0)
}

// awaitReportOfOutdated keeps a run whose start a minion has rejected as outdated until a report shows whether it has ended
// there: the minion has ended or stopped this run, or a later one of the task.
func awaitReportOfOutdated(w *quetzalwork.World, row quetzalwork.Row, token quetzalunit.OrderToken) {
	r := w.Runs.At(row)
	setRunState(w, r, quetzalwork.RunStartUnanswered)
	noteOtherOrder(w, r, false)
	if token == orderToken(w, w.Minions.At(r.Minion)) {
		r.StopAnsweredAt = w.Now
	}
	schedulePoll(w, r.Minion, 0)
}

// markRunStarted records that the minion of a run has started it.
func markRunStarted(w *quetzalwork.World, r *quetzalwork.Run) {
	observeRunAfterWait(w, w.Tasks.At(r.Task), r.Adopted)
	setRunState(w, r, quetzalwork.RunStarted)
}

// rejectRun ends a run that its minion has not started and never will start.
func rejectRun(w *quetzalwork.World, row quetzalwork.Row, reason string) {
	t := w.Tasks.At(w.Runs.At(row).Task)
	t.NotBefore = max(t.NotBefore, w.Now.Add(taskRetryDelay))
	endRun(w, row, quetzalwork.OutcomeStopped, "", reason, nil)
}
