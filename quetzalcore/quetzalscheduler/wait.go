package quetzalscheduler

import (
	"fmt"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// wait.go tells why waiting tasks are not placed: what is still to be known of the work of earlier
// dispatchers, and for the log and the metrics what tasks wait for. The reasons follow from the functions
// that decide, or from the state that they leave.

// Reasons why a task is without a run, in the log and in the metrics. Those that concern the cap of an
// account are the values of quetzalaccount.Shortage.
const (
	// The cause is none of the others. A pass may be due.
	waitOther quetzalwork.WaitReason = "NotYet"
	// No placement pass has considered the task, and none is due.
	waitPass quetzalwork.WaitReason = "NoPlacementPass"
	// This process does not know that it still holds the pool's duty, or has not read the pool's jobs.
	waitDuty     quetzalwork.WaitReason = "DutyNotConfirmed"
	waitPoolRows quetzalwork.WaitReason = "JobsNotRead"

	waitNoMinion  quetzalwork.WaitReason = "NoUsableMinion"
	waitListAge   quetzalwork.WaitReason = "MinionListTooOld"
	waitNoRoom    quetzalwork.WaitReason = "NoRoom"
	waitExcluded  quetzalwork.WaitReason = "NoPermittedMinion"
	waitPerMinion quetzalwork.WaitReason = "LimitPerMinion"
	waitGap       quetzalwork.WaitReason = "GapForOtherTask"
	waitIsolation quetzalwork.WaitReason = "SuspectNeedsIdleMinion"
	// The minions with room get no new run before their ends have been acknowledged.
	waitAck quetzalwork.WaitReason = "AcknowledgementInProgress"

	waitRetry      quetzalwork.WaitReason = "RetryDelay"
	waitAdvice     quetzalwork.WaitReason = "AdviceOutstanding"
	waitGang       quetzalwork.WaitReason = "GangNotEnded"
	waitRunNumbers quetzalwork.WaitReason = "RunNumbersExhausted"
	// The order to start is in progress, or had no answer and may still be carried out.
	waitStart      quetzalwork.WaitReason = "StartInProgress"
	waitUnanswered quetzalwork.WaitReason = "StartUnanswered"

	// The work of earlier dispatchers is not known: a minion has ends that are still to be applied, one
	// has not answered, or the rows of the jobs must be read again.
	waitEnds   quetzalwork.WaitReason = "PredecessorEnds"
	waitMinion quetzalwork.WaitReason = "PredecessorMinionSilent"
	// A minion has not answered its first poll yet, nor missed it.
	waitFirstAnswer quetzalwork.WaitReason = "PredecessorMinionPolled"
	waitRows        quetzalwork.WaitReason = "PredecessorRows"
	// Minions that are not known may have leases: the predecessor did not release the duty, it knew of
	// such minions, or some may have left the list since.
	waitNoRelease quetzalwork.WaitReason = "PredecessorNotReleased"
	waitUnknown   quetzalwork.WaitReason = "PredecessorMinionsUnknown"
	waitUnseen    quetzalwork.WaitReason = "PredecessorMinionsUnseen"
	// The hosts are being read for minions that are not known.
	waitCensus quetzalwork.WaitReason = "PredecessorCensus"
)

const (
	// waitLinePeriod is the time after which the log repeats that a step waits.
	waitLinePeriod = 2 * time.Second
	// maxWaitLines is the number of lines on a step that may follow each other within waitLinePeriod, if the
	// reason changes.
	maxWaitLines = 4
	// stallPeriod is the time without a start after which a pool with work and free capacity is logged, and
	// the time between two such lines.
	stallPeriod = time.Second
	// maxStallSteps is the number of steps that are searched for one that has room.
	maxStallSteps = 32
)

// predecessorWait returns findPredecessorWait and records it.
func predecessorWait(w *quetzalwork.World, row quetzalwork.Row) quetzalwork.WaitReason {
	reason := findPredecessorWait(w, row)
	w.Pools.At(row).PredecessorWait = reason
	return reason
}

// findPredecessorWait returns why the work that earlier dispatchers started is not known, empty if it is. What
// runs on a minion is known once it has answered a poll with this process's token and all its ends are
// applied, or, if it has missed the first one, once no earlier dispatcher can have kept a lease on it. The outcome of runs that ended and
// were acknowledged before that is in the stored rows, which must therefore be read afterwards.
func findPredecessorWait(w *quetzalwork.World, row quetzalwork.Row) quetzalwork.WaitReason {
	p := w.Pools.At(row)
	if p.PredecessorWorkKnown {
		return ""
	}
	runsKnownAt, reason, polled := p.HeldSince, waitRows, true
	if end, unlisted := unlistedLeasesEnd(w, row); end > runsKnownAt {
		runsKnownAt, reason = end, unlisted
		requestCensus(w, p.HeldSince)
	}
	for _, minion := range p.Minions {
		switch m := w.Minions.At(minion); {
		case awaitsEnds(w, m):
			return waitEnds
		case m.Answered:
			runsKnownAt = max(runsKnownAt, m.FirstAnsweredAt)
		case !m.Replaced && m.MissedAnswers == 0 && hadDispatcher(p):
			// It may have ends that nobody has acknowledged, however long ago its leases ended or it left the list.
			polled = false
		case !m.Replaced && silentLeaseEnd(w, p, m) > runsKnownAt:
			runsKnownAt, reason = silentLeaseEnd(w, p, m), waitMinion
		}
	}
	if w.Now <= runsKnownAt {
		requestSilentCensus(w, row)
		schedulePlacement(w, row, runsKnownAt.Add(time.Millisecond))
		return reason
	}
	if !polled {
		return waitFirstAnswer
	}
	if p.CompletedReadSentAt <= runsKnownAt {
		readPool(w, row, p.Token)
		return waitRows
	}
	p.PredecessorWorkKnown = true
	logPassedOver(w, p)
	unlisted := unlistedProof(w, p)
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartDuty, Message: "What earlier dispatchers started and stored is known.", Pool: p.ID, Version: int64(p.SeenRevision), Age: w.Now.Sub(p.HeldSince),
		Reason: fmt.Sprintf("Token%dRead%dms", p.Token, w.Now.Sub(p.CompletedReadSentAt).Milliseconds()), Proof: &unlisted,
	})
	return ""
}

// hadDispatcher reports whether a pool has had an earlier dispatcher than this process.
func hadDispatcher(p *quetzalwork.Pool) bool {
	return p.PredecessorProof != quetzalwork.ProofNoDispatcher
}

// awaitsEnds reports whether a minion has ends of runs that an earlier dispatcher started and that are
// still to be applied. A minion whose lease has expired is not waited for.
func awaitsEnds(w *quetzalwork.World, m *quetzalwork.Minion) bool {
	return m.Answered && !m.EndsKnown && !m.Replaced && (m.MissedAnswers == 0 || w.Now <= leaseExpiry(m))
}

// exclusion returns why a minion with room for a task of a step may not run it, empty if it may. reserved
// counts the tasks of the step that are assigned to the minion and not started.
func exclusion(w *quetzalwork.World, fc *freeCapacity, s *quetzalwork.Step, row quetzalwork.Row, needs quetzalunit.Resources, reserved quetzalunit.Tasks) quetzalwork.WaitReason {
	switch {
	case !eligible(s, w.Minions.At(row)):
		return waitExcluded
	case s.Spec.MaxPerMinion > 0 && s.RunsPerMinion[row]+reserved >= s.Spec.MaxPerMinion:
		return waitPerMinion
	case len(fc.reservations) > 0 && !fc.permits(w, row, s, needs):
		return waitGap
	case !fitsBesideReservation(w, w.Minions.At(row), s, w.Minions.At(row).Free()):
		return waitGap
	default:
		return ""
	}
}

// unplacedReason returns why a placement pass that has considered a step has left tasks of it waiting.
func unplacedReason(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity, s *quetzalwork.Step) quetzalwork.WaitReason {
	t, _ := longestWithoutRun(w, s, isWaiting)
	if reason := waitReason(w, p, fc, s, t); reason != "" {
		return reason
	}
	return waitOther
}

// waitReason returns what keeps a task of a step that may be placed without a run, in the order in which
// placeStep and placeGang check it. It is empty if nothing does.
func waitReason(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity, s *quetzalwork.Step, t *quetzalwork.Task) quetzalwork.WaitReason {
	needs := s.Spec.Resources
	switch {
	case needsAdvice(w, s) && (s.Advice.RequestInFlight || w.Now < s.Advice.RetryAt):
		return waitAdvice
	case needsAdvice(w, s):
		return minionReason(w, p, fc, s, t)
	case s.Spec.Gang && s.Waiting < s.Spec.TaskCount:
		return waitGang
	case s.Spec.Gang:
		needs = quetzallimit.Times(needs, s.Spec.TaskCount)
	case fc.knownMisfit(s):
		return minionReason(w, p, fc, s, t)
	}
	if t.Starts >= quetzalunit.MaxStarts {
		return waitRunNumbers
	}
	if shortage := quetzallimit.Shortage(w, w.Jobs.At(s.Job), needs); shortage != quetzalaccount.ShortageNone {
		return quetzalwork.WaitReason(shortage)
	}
	if notBefore(w, s, t) > w.Now {
		return waitRetry
	}
	if !s.Spec.Gang && w.Now < remoteAllowedAt(w, p, fc, s) {
		fc = fc.inRack(w, s.Spec.DataRack)
	}
	return minionReason(w, p, fc, s, t)
}

// notBefore returns the earliest start of a task. A gang starts as a whole.
func notBefore(w *quetzalwork.World, s *quetzalwork.Step, t *quetzalwork.Task) quetzalunit.Instant {
	at := t.NotBefore
	if s.Spec.Gang {
		for _, row := range s.Tasks {
			at = max(at, w.Tasks.At(row).NotBefore)
		}
	}
	return at
}

// startReason returns what an active task of which no run is started waits for.
func startReason(w *quetzalwork.World, t *quetzalwork.Task) quetzalwork.WaitReason {
	for _, row := range t.Runs {
		if w.Runs.At(row).State == quetzalwork.RunStarting {
			return waitStart
		}
	}
	return waitUnanswered
}

// minionReason returns why no minion takes a task of a step, empty if one does. Of the reasons of several
// minions it returns the one that leaves the least to be met.
func minionReason(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity, s *quetzalwork.Step, t *quetzalwork.Task) quetzalwork.WaitReason {
	switch {
	case !listIsCurrent(w, p):
		return waitListAge
	case len(fc.minions) == 0:
		return waitNoMinion
	}
	if s.Spec.Gang && chooseGangMinions(w, p, fc, s) != nil {
		return ""
	}
	needs := needsOf(s.Spec)
	best := waitExcluded
	order := []quetzalwork.WaitReason{waitExcluded, waitNoRoom, waitPerMinion, waitGap, waitAck}
	for _, row := range fc.minions {
		m := w.Minions.At(row)
		reason := exclusion(w, fc, s, row, needs, 0)
		switch full := m.IsolatedRun != 0 || !needs.FitsIn(m.Free()); {
		case full && reason != waitExcluded:
			reason = waitNoRoom
		case !full && reason == "" && t.Suspect && w.Now < t.IsolationDeadline:
			return waitIsolation
		case !full && reason == "" && s.Spec.Gang:
			reason = waitNoRoom // for all of its tasks
		case !full && reason == "" && awaitsAck(w, w.Minions.At(row)):
			reason = waitAck
		case !full && reason == "":
			return ""
		}
		if reason != best && slices.Index(order, reason) > slices.Index(order, best) {
			best = reason
		}
	}
	return best
}

// isWaiting reports whether a task has no active run.
func isWaiting(t *quetzalwork.Task) bool {
	return t.State == quetzalwork.TaskWaiting
}

// isNotDone reports whether a task is still to run.
func isNotDone(t *quetzalwork.Task) bool {
	return t.State != quetzalwork.TaskDone
}

// longestWithoutRun returns the task of a step that has been without a run that its minion has started for
// longest, of those that match, and since when. It returns nil if all of them run.
func longestWithoutRun(w *quetzalwork.World, s *quetzalwork.Step, match func(*quetzalwork.Task) bool) (*quetzalwork.Task, quetzalunit.Instant) {
	var longest *quetzalwork.Task
	var since quetzalunit.Instant
	for _, row := range s.Tasks {
		t := w.Tasks.At(row)
		if !match(t) || hasStartedRun(w, t) {
			continue
		}
		if at := withoutRunSince(s, t); longest == nil || at < since {
			longest, since = t, at
		}
	}
	return longest, since
}

// hasStartedRun reports whether a minion has started a run of a task.
func hasStartedRun(w *quetzalwork.World, t *quetzalwork.Task) bool {
	return slices.ContainsFunc(t.Runs, func(row quetzalwork.Row) bool { return w.Runs.At(row).State == quetzalwork.RunStarted })
}

// withoutRunSince returns since when a task of a runnable step could have had a run and has none. Starts
// that failed do not change it.
func withoutRunSince(s *quetzalwork.Step, t *quetzalwork.Task) quetzalunit.Instant {
	return max(s.RunnableAt, t.LastRunEndedAt)
}

// trackWait adds a long-running step with waiting tasks to those of its pool that are checked.
func trackWait(p *quetzalwork.Pool, row quetzalwork.Row, s *quetzalwork.Step) {
	if s.Spec.LongRunning && s.Runnable && s.Waiting > 0 && !s.Wait.Tracked {
		s.Wait.Tracked = true
		p.WaitingSteps = append(p.WaitingSteps, row)
	}
}

// observeRunAfterWait records that a task runs that was without a run as far as this dispatcher knew. adopted
// tells that an earlier one started the run.
func observeRunAfterWait(w *quetzalwork.World, t *quetzalwork.Task, adopted bool) {
	s := w.Steps.At(t.Step)
	if !s.Spec.LongRunning || !s.Runnable || hasStartedRun(w, t) {
		return
	}
	waited := w.Now.Sub(withoutRunSince(s, t))
	s.Wait.Longest = max(s.Wait.Longest, waited)
	if !adopted {
		w.Emit(quetzalwork.ObserveWait{Reason: mainReason(w, s), Waited: waited})
	}
}

// setWaitReason records why tasks of a long-running step are without a run now.
func setWaitReason(w *quetzalwork.World, s *quetzalwork.Step, reason quetzalwork.WaitReason) {
	if reason == s.Wait.Reason {
		return
	}
	if lasted := w.Now.Sub(s.Wait.ReasonSince); s.Wait.Reason != "" && lasted >= s.Wait.MainTime {
		s.Wait.MainReason, s.Wait.MainTime = s.Wait.Reason, lasted
	}
	s.Wait.Reason, s.Wait.ReasonSince = reason, w.Now
}

// mainReason returns the reason that has lasted longest while tasks of a step were without a run, empty if
// none has been determined.
func mainReason(w *quetzalwork.World, s *quetzalwork.Step) quetzalwork.WaitReason {
	if s.Wait.MainReason == "" || w.Now.Sub(s.Wait.ReasonSince) >= s.Wait.MainTime {
		return s.Wait.Reason
	}
	return s.Wait.MainReason
}

// noteUnplaced records why a placement pass has left tasks of a long-running step waiting. It logs the reason
// once for each change.
func noteUnplaced(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step, reason quetzalwork.WaitReason) {
	setWaitReason(w, s, reason)
	followsClosely := w.Now.Sub(s.Wait.LoggedAt) < waitLinePeriod
	if reason == s.Wait.LoggedReason || followsClosely && s.Wait.Lines >= maxWaitLines {
		return
	}
	_, since := longestWithoutRun(w, s, isWaiting)
	logWait(w, p, s, since)
}

// watchWaits logs the long-running steps of a pool that have waited for waitLinePeriod since the last line on
// them, whether or not a placement pass has considered them, and those that run again.
func watchWaits(w *quetzalwork.World, p *quetzalwork.Pool) {
	p.WaitingSteps = slices.DeleteFunc(p.WaitingSteps, func(row quetzalwork.Row) bool {
		s := w.Steps.At(row)
		if s == nil || w.Jobs.At(s.Job).State.Final() {
			return true
		}
		t, since := longestWithoutRun(w, s, isNotDone)
		if t == nil {
			endWait(w, p, s)
			return true
		}
		if w.Now.Sub(max(since, s.Wait.LoggedAt)) >= waitLinePeriod {
			if reason := presentReason(w, p, s, t); reason != waitOther {
				setWaitReason(w, s, reason)
				logWait(w, p, s, since)
			}
		}
		return false
	})
}

// presentReason returns why a task is without a run, also if no placement pass has considered it. It is
// waitOther if nothing is known to prevent the start and a pass is due.
func presentReason(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step, t *quetzalwork.Task) quetzalwork.WaitReason {
	passIsDue := p.NeedsPlacement || p.NextPlacementAt != 0 && p.NextPlacementAt <= w.Now.Add(maxPlacementInterval)
	switch {
	case t.State == quetzalwork.TaskActive:
		return startReason(w, t)
	case !p.JobsLoaded:
		return waitPoolRows
	case !mayExtendLeases(w):
		return waitDuty
	case p.PredecessorWait != "" && !p.PredecessorWorkKnown && w.Jobs.At(s.Job).DutyRevision < quetzalunit.Revision(p.Token):
		return p.PredecessorWait
	case passIsDue && s.Wait.Reason != "":
		return s.Wait.Reason
	}
	if reason := waitReason(w, p, usableMinions(w, p), s, t); reason != "" {
		return reason
	}
	if passIsDue {
		return waitOther
	}
	return waitPass
}

// logWait logs why tasks of a long-running step are without a run, and since when the first of them is.
func logWait(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step, since quetzalunit.Instant) {
	if w.Now.Sub(s.Wait.LoggedAt) >= waitLinePeriod {
		s.Wait.Lines = 0
	}
	s.Wait.Lines++
	s.Wait.LoggedReason, s.Wait.LoggedAt = s.Wait.Reason, w.Now
	w.Log(stepDecision(w, p, s, "Long-running tasks wait.", w.Now.Sub(since), s.Wait.Reason))
}

// endWait logs that all tasks of a long-running step run again, if the log says that they wait, with the longest
// time that one of them was without a run and the reason that lasted longest.
func endWait(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step) {
	if s.Wait.LoggedReason != "" {
		w.Log(stepDecision(w, p, s, "Long-running tasks run again.", s.Wait.Longest, mainReason(w, s)))
	}
	s.Wait = quetzalwork.StepWait{}
}

// watchStall logs that a pool has started nothing for stallPeriod although tasks wait that fit on a minion,
// with the reason of the first step of which that is true.
func watchStall(w *quetzalwork.World, p *quetzalwork.Pool) {
	if w.Now.Sub(max(p.LastStartAt, p.StallLoggedAt)) < stallPeriod {
		return
	}
	for i := range min(maxStallSteps, len(p.ReadySteps)+len(p.LateSteps)) {
		late := i >= len(p.ReadySteps)
		var s *quetzalwork.Step
		if late {
			s = w.Steps.At(p.LateSteps[i-len(p.ReadySteps)].Step)
		} else {
			s = w.Steps.At(p.ReadySteps[i])
		}
		if s == nil || s.Waiting == 0 || s.Late != late || w.Jobs.At(s.Job).State.Final() {
			continue
		}
		t, since := longestWithoutRun(w, s, isWaiting)
		if w.Now.Sub(since) < stallPeriod || !hasRoom(w, p, s) {
			continue
		}
		if reason := presentReason(w, p, s, t); reason != waitOther {
			p.StallLoggedAt = w.Now
			w.Log(stepDecision(w, p, s, "No task of the pool starts although minions have room.", w.Now.Sub(since), reason))
		}
		return
	}
}

// hasRoom reports whether a minion that answers has room for a task of a step, whether or not it is usable now.
func hasRoom(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step) bool {
	return slices.ContainsFunc(p.Minions, func(row quetzalwork.Row) bool {
		m := w.Minions.At(row)
		return m.Listed && !m.Replaced && !m.Draining && !m.HostWithdrawn && m.MissedAnswers == 0 && eligible(s, m) && needsOf(s.Spec).FitsIn(m.Free())
	})
}

// stepDecision returns the log line of a decision that concerns a step.
func stepDecision(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step, message string, age time.Duration, reason quetzalwork.WaitReason) quetzalwork.Decision {
	return quetzalwork.Decision{
		Part: quetzalwork.PartPlacement, Message: message, Job: w.Jobs.At(s.Job).ID, Task: quetzalwork.TaskRef{Occurrence: s.Occurrence, Step: s.Index},
		Pool: p.ID, Version: int64(p.Token), Age: age, Reason: string(reason),
	}
}
