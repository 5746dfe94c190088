package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// watchPeriod is the time between two looks at a pool's runs.
	watchPeriod = 100 * time.Millisecond
	// stopRetry is the pause after an order to stop without an answer.
	stopRetry = 150 * time.Millisecond
	// stopPatience is how long after its answer a stop may take beyond the promised time.
	stopPatience = 400 * time.Millisecond
	// copyFactor and copySlack tell by how much a run must exceed what is usual before a copy
	// of it is started.
	copyFactor = 1.7
	copySlack  = 150 * time.Millisecond
	// longerBy is by how much a run must exceed the longest of its step to count anew.
	longerBy = 300 * time.Millisecond
	// copyMeasured is the number of measured runs of a step from which its mean is trusted.
	copyMeasured = 2
	// copyGuess multiplies the estimate of a step without measured runs.
	copyGuess = 2.5
)

// watchRuns looks after the runs of a pool.
func watchRuns(w *quetzalwork.World, poolRow quetzalwork.Row, token quetzalunit.FencingToken) {
	p := w.Pools.At(poolRow)
	if !p.Held || p.Token != token {
		return
	}
	w.After(watchPeriod, quetzalwork.WatchdogDue{Pool: poolRow, Token: token})
	for _, row := range slices.Clone(p.Minions) {
		m := w.Minions.At(row)
		if m == nil {
			continue
		}
		if m.Misses > 0 && m.Heard && len(m.Runs) > 0 && w.Now > lapsesAt(m) {
			lapseMinion(w, row)
			m = w.Minions.At(row)
		}
		for _, run := range slices.Clone(m.Runs) {
			watchRun(w, p, run)
		}
		evacuate(w, p, row)
		paceMinion(w, row)
	}
}

// lapseMinion ends the runs of a silent minion whose lease is over. A successor may have
// renewed the lease: only a read that was sent afterwards shows that there was none.
func lapseMinion(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	if w.Membership.ReadSentAt <= lapsesAt(m) {
		readMembers(w)
		return
	}
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Text: "The lease of a silent minion is over.", Minion: m.ID, Pool: m.Pool, Age: w.Now.Sub(m.AnsweredAt), Reason: "Lapsed"})
	loseRuns(w, row, "Silent")
}

func watchRun(w *quetzalwork.World, p *quetzalwork.Pool, row quetzalwork.Row) {
	r := w.Runs.At(row)
	if r == nil {
		return
	}
	if r.Stop != quetzalwork.StopNone {
		repeatStop(w, row)
		return
	}
	s := w.Steps.At(w.Tasks.At(r.Task).Step)
	if r.State == quetzalwork.RunWorking && !s.Spec.Lasting {
		if took := w.Now.Sub(r.StartedAt); took > s.Longest+longerBy {
			lengthen(w, s, took)
		}
	}
	if r.State == quetzalwork.RunWorking && s.Spec.Speculative && !s.Spec.Gang {
		copyStraggler(w, p, row)
	}
}

// repeatStop sends an order to stop again that had no effect.
func repeatStop(w *quetzalwork.World, row quetzalwork.Row) {
	r := w.Runs.At(row)
	if r.StopCall {
		return
	}
	late := r.StopAnsweredAt != 0 && w.Now.Sub(r.StopAnsweredAt) > w.Bounds.StopTimeout+stopPatience && r.State == quetzalwork.RunWorking
	lost := r.StopAnsweredAt == 0 && w.Now.Sub(r.StopSentAt) > stopRetry
	if late || lost {
		r.StopAnsweredAt = 0
		stopRun(w, row, r.Stop)
	}
}

// copyStraggler starts a copy of a run that takes longer than the runs beside it, where room
// is left.
func copyStraggler(w *quetzalwork.World, p *quetzalwork.Pool, row quetzalwork.Row) {
	r := w.Runs.At(row)
	t := w.Tasks.At(r.Task)
	s := w.Steps.At(t.Step)
	if len(t.Runs) > 1 || t.State != quetzalwork.TaskActive || !extends(w) {
		return
	}
	usual := time.Duration(copyGuess * float64(expectedSpan(p, w.Jobs.At(s.Job).Queue, s)))
	if s.Measured >= copyMeasured {
		usual = time.Duration(copyFactor * float64(s.RunTime))
	}
	if w.Now.Sub(r.StartedAt) < usual+copySlack || needsAdvice(w, s) {
		return
	}
	avoid := t.Avoid
	t.Avoid = r.Minion
	minion := choose(w, roomOf(w, p), s, t, nil)
	t.Avoid = avoid
	if minion == 0 || minion == r.Minion {
		return
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartPlacement, Text: "A copy of a slow run is started.", Job: w.Jobs.At(s.Job).ID, Task: refOf(w, t), Run: r.Number,
		Minion: w.Minions.At(minion).ID, Age: w.Now.Sub(r.StartedAt), Reason: "Straggler", Routine: true,
	})
	startRun(w, r.Task, minion, ticketFor(w, s, minion), 0)
}

// evacuate moves lasting tasks away from a minion that leaves or is to be emptied, as far as
// the budget of each step allows and another minion has room.
func evacuate(w *quetzalwork.World, p *quetzalwork.Pool, row quetzalwork.Row) {
	m := w.Minions.At(row)
	if m == nil || !m.Draining && w.Now >= m.CordonedUntil || m.Misses > 0 {
		return
	}
	for _, run := range slices.Clone(m.Runs) {
		r := w.Runs.At(run)
		t := w.Tasks.At(r.Task)
		s := w.Steps.At(t.Step)
		if r.Stop != quetzalwork.StopNone || r.State != quetzalwork.RunWorking {
			continue
		}
		if !p.OldKnown && w.Jobs.At(s.Job).Duty < quetzalunit.Revision(p.Token) {
			// It could not be placed again yet.
			continue
		}
		if !s.Spec.Lasting {
			evacuateSaved(w, p, run)
			continue
		}
		if away(w, s, r.Task) >= max(s.Spec.MayMiss, leastMiss(s)) || !fitsElsewhere(w, p, s, r.Minion) {
			continue
		}
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartPlacement, Text: "A lasting task moves to another minion.", Job: w.Jobs.At(s.Job).ID, Task: refOf(w, t), Run: r.Number,
			Minion: m.ID, Version: int64(s.Spec.MayMiss), Reason: "Evacuation",
		})
		stopRun(w, run, quetzalwork.StopEvacuate)
	}
}

// fitsElsewhere tells whether another minion could run a lasting task once room is free there;
// such tasks are placed before all others.
func fitsElsewhere(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step, but quetzalwork.Row) bool {
	for _, row := range p.Minions {
		m := w.Minions.At(row)
		full := s.Spec.MaxPerMinion > 0 && s.OnMinion[row] >= s.Spec.MaxPerMinion
		if row != but && usable(w, m) && allows(s, m) && !full && needsOf(s.Spec).Fits(m.Room) {
			return true
		}
	}
	return false
}

// evacuateSaved stops a run that resumes elsewhere from its checkpoint.
func evacuateSaved(w *quetzalwork.World, p *quetzalwork.Pool, row quetzalwork.Row) {
	r := w.Runs.At(row)
	t := w.Tasks.At(r.Task)
	s := w.Steps.At(t.Step)
	if !s.Spec.Checkpoints || s.Spec.Gang || needsAdvice(w, s) || choose(w, roomOf(w, p), s, t, nil) == 0 {
		return
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartPlacement, Text: "A run moves to another minion.", Job: w.Jobs.At(s.Job).ID, Task: refOf(w, t), Run: r.Number,
		Minion: w.Minions.At(r.Minion).ID, Reason: "Evacuation", Routine: true,
	})
	stopRun(w, row, quetzalwork.StopEvacuate)
}

// leastMiss is how many tasks of a step without a budget may be away at once.
func leastMiss(s *quetzalwork.Step) quetzalunit.Tasks {
	if s.Spec.MayMiss > 0 {
		return 0
	}
	return 1
}

// away counts the tasks of a step, but for one, that are not at work.
func away(w *quetzalwork.World, s *quetzalwork.Step, but quetzalwork.Row) quetzalunit.Tasks {
	const atWork = 100
	var n quetzalunit.Tasks
	for _, row := range s.Tasks {
		if row == but {
			continue
		}
		t := w.Tasks.At(row)
		working := false
		for _, run := range t.Runs {
			r := w.Runs.At(run)
			working = working || r.State == quetzalwork.RunWorking && r.Stop == quetzalwork.StopNone && r.Listed && r.Percent >= atWork && w.Minions.At(r.Minion).Misses == 0
		}
		if !working {
			n++
		}
	}
	return n
}
