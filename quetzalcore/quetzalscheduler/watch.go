package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// watchdogPeriod is the time between two checks of a pool's runs.
	watchdogPeriod = 100 * time.Millisecond
	// stopRetryDelay is the time after which an unanswered order to stop is sent again.
	stopRetryDelay = 150 * time.Millisecond
	// stopTimeoutMargin is added to Bounds.StopTimeout, the longest time that a minion takes to stop
	// a run, before an order to stop that the minion accepted is sent again.
	stopTimeoutMargin = 400 * time.Millisecond
	// A run is a straggler when it takes longer than stragglerFactor times the mean run time of
	// its step, plus stragglerMargin. A copy of it is then started.
	stragglerFactor = 1.7
	stragglerMargin = 150 * time.Millisecond
	// longestMargin is by how much an active run must exceed the longest run time of its step
	// before that time is raised.
	longestMargin = 300 * time.Millisecond
	// minMeasuredRuns is the minimum number of measured runs of a step for its mean run time to
	// be used.
	minMeasuredRuns = 2
	// estimateFactor replaces stragglerFactor for a step with fewer measured runs; it
	// multiplies the expected run time.
	estimateFactor = 2.5
)

// watchRuns checks the minions of a pool and their runs, and sets the timer of the next check.
// It ends runs whose lease has expired, repeats orders to stop, copies stragglers, evacuates
// minions and adjusts the pace of runs.
func watchRuns(w *quetzalwork.World, poolRow quetzalwork.Row, token quetzalunit.FencingToken) {
	p := w.Pools.At(poolRow)
	if !p.Held || p.Token != token {
		return
	}
	w.After(watchdogPeriod, quetzalwork.WatchdogDue{Pool: poolRow, Token: token})
	for _, row := range slices.Clone(p.Minions) {
		m := w.Minions.At(row)
		if m == nil {
			continue
		}
		if m.MissedAnswers > 0 && len(m.Runs) > 0 && w.Now > lateLeaseExpiry(w, m) {
			expireMinionLease(w, row)
			m = w.Minions.At(row)
		}
		probeIfOverdue(w, row)
		for _, run := range slices.Clone(m.Runs) {
			repeatOverdueStart(w, run)
			watchRun(w, p, run)
		}
		evacuate(w, p, row)
		adjustPace(w, row)
	}
	watchWaits(w, p)
	watchStall(w, p)
}

// expireMinionLease ends the runs of a minion that does not answer and whose lease has expired.
// A successor may have renewed the lease: only a read of the duties that was sent after the
// expiry shows that there is no successor.
func expireMinionLease(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	if w.Membership.ReadSentAt <= lateLeaseExpiry(w, m) {
		readMembers(w)
		return
	}
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "The lease of a minion that does not answer has expired.", Minion: m.ID, Pool: m.Pool, Age: w.Now.Sub(m.LastAnsweredAt), Reason: "Lapsed"})
	keepLostRuns(w, row)
	endMinionRuns(w, row, "Silent", &quetzalwork.Proof{Kind: quetzalwork.ProofLeaseLapsed, Age: w.Now.Sub(lateLeaseExpiry(w, m))})
}

// watchRun repeats the order to stop a run if necessary. For a run that is not being stopped, it
// records how long the run has taken and, if the step is speculative, copies a straggler.
func watchRun(w *quetzalwork.World, p *quetzalwork.Pool, row quetzalwork.Row) {
	r := w.Runs.At(row)
	if r == nil {
		return
	}
	if r.StopReason != quetzalwork.StopNone {
		retryStop(w, row)
		return
	}
	s := w.Steps.At(w.Tasks.At(r.Task).Step)
	if r.State == quetzalwork.RunStarted && !s.Spec.LongRunning {
		if took := w.Now.Sub(r.StartedAt); took > s.LongestRunTime+longestMargin {
			recordLongestRun(w, s, took)
		}
	}
	if r.State == quetzalwork.RunStarted && s.Spec.Speculative && !s.Spec.Gang {
		startSpeculativeCopy(w, p, row)
	}
}

// retryStop sends an order to stop again if it had no answer or no effect, and is still wanted.
func retryStop(w *quetzalwork.World, row quetzalwork.Row) {
	r := w.Runs.At(row)
	if r.StopInFlight {
		return
	}
	if r.StopReason == quetzalwork.StopUnanswered && r.StopAnsweredAt == 0 {
		if r.Reported {
			// The order to start has been carried out: the stop, which was to prevent that, would only end the run.
			r.StopReason = quetzalwork.StopNone
		}
		// Otherwise a report without the run sends the order again; see endUnreportedRuns.
		return
	}
	late := r.StopAnsweredAt != 0 && w.Now.Sub(r.StopAnsweredAt) > w.Bounds.StopTimeout+stopTimeoutMargin && r.State == quetzalwork.RunStarted
	lost := r.StopAnsweredAt == 0 && w.Now.Sub(r.StopSentAt) > stopRetryDelay
	if late || lost {
		r.StopAnsweredAt = 0
		stopRun(w, row, r.StopReason)
	}
}

// startSpeculativeCopy starts a copy of a run that takes longer than is usual for its step, if
// another minion has enough free capacity.
func startSpeculativeCopy(w *quetzalwork.World, p *quetzalwork.Pool, row quetzalwork.Row) {
	r := w.Runs.At(row)
	t := w.Tasks.At(r.Task)
	s := w.Steps.At(t.Step)
	if len(t.Runs) > 1 || t.State != quetzalwork.TaskActive || !mayStart(p, t) || !mayExtendLeases(w) || !mayCopy(w, p, row) {
		return
	}
	usual := time.Duration(estimateFactor * float64(expectedRunTime(p, w.Jobs.At(s.Job).Queue, s)))
	if s.MeasuredRuns >= minMeasuredRuns {
		usual = time.Duration(stragglerFactor * float64(s.MeanRunTime))
	}
	if w.Now.Sub(r.StartedAt) < usual+stragglerMargin || needsAdvice(w, s) {
		return
	}
	avoid := t.AvoidMinion
	t.AvoidMinion = r.Minion
	minion := chooseMinion(w, freeCapacityOf(w, p), s, t, nil)
	t.AvoidMinion = avoid
	if minion == 0 || minion == r.Minion || !quetzallimit.Permits(w, w.Jobs.At(s.Job), s.Spec.Resources) {
		return
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartPlacement, Message: "A copy of a slow run is started.", Job: w.Jobs.At(s.Job).ID, Task: taskRef(w, t), Run: r.Number,
		Minion: w.Minions.At(minion).ID, Age: w.Now.Sub(r.StartedAt), Reason: "Straggler", Routine: true,
	})
	if !r.SurvivedStart {
		t.EarlyCopies++
	}
	startRun(w, r.Task, minion, ticketFor(w, s, minion), 0)
}

// evacuate stops the runs of a draining or cordoned minion that can continue on another one. A
// long-running task is stopped only if fewer tasks of its step are unavailable than
// MaxUnavailable allows and another minion has room for it, or could hold it if this one shuts down.
func evacuate(w *quetzalwork.World, p *quetzalwork.Pool, row quetzalwork.Row) {
	m := w.Minions.At(row)
	if m == nil || !m.Draining && w.Now >= m.CordonedUntil || m.MissedAnswers > 0 {
		return
	}
	for _, run := range slices.Clone(m.Runs) {
		r := w.Runs.At(run)
		t := w.Tasks.At(r.Task)
		s := w.Steps.At(t.Step)
		if r.StopReason != quetzalwork.StopNone || r.State != quetzalwork.RunStarted {
			continue
		}
		if !p.PredecessorWorkKnown && w.Jobs.At(s.Job).DutyRevision < quetzalunit.Revision(p.Token) {
			// Before the predecessor's work is known, the task could not be placed again.
			continue
		}
		if !s.Spec.LongRunning {
			evacuateCheckpointed(w, p, run)
			continue
		}
		if unavailableTasks(w, s, r.Task) >= max(s.Spec.MaxUnavailable, defaultMaxUnavailable(s)) {
			continue
		}
		if m.Draining && !fitsElsewhere(w, p, s, r.Minion) || !m.Draining && !prepareMove(w, p, t) {
			continue
		}
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartPlacement, Message: "A long-running task moves to another minion.", Job: w.Jobs.At(s.Job).ID, Task: taskRef(w, t), Run: r.Number,
			Minion: m.ID, Version: int64(s.Spec.MaxUnavailable), Reason: "Evacuation",
		})
		stopRun(w, run, quetzalwork.StopEvacuate)
	}
}

// fitsElsewhere reports whether another minion has the capacity for a long-running task, whatever runs there now. It
// decides for a minion that shuts down, on which the task would end anyway, later and without notice.
func fitsElsewhere(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step, except quetzalwork.Row) bool {
	if !listPermitsStarts(w, p) {
		return false
	}
	for _, row := range p.Minions {
		m := w.Minions.At(row)
		full := s.Spec.MaxPerMinion > 0 && s.RunsPerMinion[row] >= s.Spec.MaxPerMinion
		if row != except && usable(w, m) && eligible(s, m) && !full && needsOf(s.Spec).FitsIn(m.Capacity) {
			return true
		}
	}
	return false
}

// evacuateCheckpointed stops a run that can resume from its checkpoint on another minion.
func evacuateCheckpointed(w *quetzalwork.World, p *quetzalwork.Pool, row quetzalwork.Row) {
	r := w.Runs.At(row)
	t := w.Tasks.At(r.Task)
	s := w.Steps.At(t.Step)
	if !s.Spec.Checkpointing || s.Spec.Gang || needsAdvice(w, s) || chooseMinion(w, freeCapacityOf(w, p), s, t, nil) == 0 {
		return
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartPlacement, Message: "A run moves to another minion.", Job: w.Jobs.At(s.Job).ID, Task: taskRef(w, t), Run: r.Number,
		Minion: w.Minions.At(r.Minion).ID, Reason: "Evacuation", Routine: true,
	})
	stopRun(w, row, quetzalwork.StopEvacuate)
}

// defaultMaxUnavailable returns the number of tasks that may be unavailable at once in a step that
// sets no MaxUnavailable. It is zero for a step that sets one.
func defaultMaxUnavailable(s *quetzalwork.Step) quetzalunit.Tasks {
	if s.Spec.MaxUnavailable > 0 {
		return 0
	}
	return 1
}

// unavailableTasks counts the tasks of a step, without the given one, that have no run that is
// fully ready, not being stopped, and on a minion that answers.
func unavailableTasks(w *quetzalwork.World, s *quetzalwork.Step, except quetzalwork.Row) quetzalunit.Tasks {
	const fullyReady = 100
	var n quetzalunit.Tasks
	for _, row := range s.Tasks {
		if row == except {
			continue
		}
		t := w.Tasks.At(row)
		working := false
		for _, run := range t.Runs {
			r := w.Runs.At(run)
			working = working || r.State == quetzalwork.RunStarted && r.StopReason == quetzalwork.StopNone && r.Reported && r.Percent >= fullyReady && w.Minions.At(r.Minion).MissedAnswers == 0
		}
		if !working {
			n++
		}
	}
	return n
}
