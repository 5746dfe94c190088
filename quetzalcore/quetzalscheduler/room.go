package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalreserve"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// room.go keeps room for long-running tasks that wait while a backlog of short ones fills the pool. Each short
// task that ends frees less than a larger one needs, and the next short one would use it at once. A minion that is
// reserved for a step gets no other task that does not fit beside it, so that the step waits for the runs
// that the minion has, and for none that come after them.

// maxReservation is how long a minion stays reserved without room for the task. Its runs then take longer than
// expected, and another minion may have room first.
const maxReservation = 2500 * time.Millisecond

// keepRoom reserves as many minions for a long-running step as it awaits, if it finds so many. A reservation lasts until
// a task of the step starts on the minion or none is awaited any more. Nothing is kept for best-effort tasks.
func keepRoom(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity, stepRow quetzalwork.Row) {
	s := w.Steps.At(stepRow)
	if !s.Spec.LongRunning || s.Spec.BestEffort {
		return
	}
	awaited, reserved := awaitedStarts(w, s), quetzalunit.Tasks(0)
	for _, row := range fc.minions {
		m := w.Minions.At(row)
		if m.ReservedFor != stepRow {
			continue
		}
		room := roomOf(w, p, m)
		_, _, fits := room.FitsAt(needsOf(s.Spec), w.Now)
		if reserved == awaited || !fits || w.Now.Sub(m.ReservedAt) > maxReservation {
			m.ReservedFor = 0
			continue
		}
		reserved++
	}
	for reserved < awaited && reserveRoom(w, p, fc, stepRow) {
		reserved++
	}
}

// reserveRoom reserves a minion for a task of a step. It returns false if none will have room for it.
func reserveRoom(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity, stepRow quetzalwork.Row) bool {
	row := earliestRoom(w, p, fc, w.Steps.At(stepRow))
	if row == 0 {
		return false
	}
	m := w.Minions.At(row)
	m.ReservedFor, m.ReservedAt = stepRow, w.Now
	return true
}

// moveInterval is how long room is kept for a step after a check whether one of its tasks can move. It covers the time
// between two checks.
const moveInterval = 3 * watchdogPeriod

// prepareMove reports whether another minion has room for a task that is to leave its minion. Until then it keeps room
// for it, so that the task goes on where it is while the runs of the other minion end.
func prepareMove(w *quetzalwork.World, p *quetzalwork.Pool, t *quetzalwork.Task) bool {
	s := w.Steps.At(t.Step)
	s.MovingUntil = w.Now.Add(moveInterval)
	fc := freeCapacityOf(w, p)
	if row := chooseMinion(w, fc, s, t, nil); row != 0 {
		if m := w.Minions.At(row); reservedStep(w, m) == nil {
			m.ReservedFor, m.ReservedAt = t.Step, w.Now
		}
		return true
	}
	keepRoom(w, p, fc, t.Step)
	return false
}

// awaitedStarts returns how many tasks of a step wait, are being stopped to start on another minion, or are to be.
func awaitedStarts(w *quetzalwork.World, s *quetzalwork.Step) quetzalunit.Tasks {
	n := s.Waiting
	if w.Now < s.MovingUntil {
		n++
	}
	for _, row := range s.Tasks {
		for _, run := range w.Tasks.At(row).Runs {
			if w.Runs.At(run).StopReason == quetzalwork.StopEvacuate {
				n++
			}
		}
	}
	return n
}

// releaseRoom removes the reservations of a step.
func releaseRoom(w *quetzalwork.World, fc *freeCapacity, stepRow quetzalwork.Row) {
	for _, row := range fc.minions {
		if m := w.Minions.At(row); m.ReservedFor == stepRow {
			m.ReservedFor = 0
		}
	}
}

// earliestRoom returns the minion without a reservation that is expected to have room for a task of a step first, zero
// if none will. Runs of long-running tasks do not end. Slow minions come last, since their runs end later than expected.
func earliestRoom(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity, s *quetzalwork.Step) quetzalwork.Row {
	var best quetzalwork.Row
	var bestAt quetzalunit.Instant
	bestSlow := false
	needs := needsOf(s.Spec)
	for _, row := range fc.minions {
		m := w.Minions.At(row)
		if reservedStep(w, m) != nil || m.IsolatedRun != 0 || !eligible(s, m) || s.Spec.MaxPerMinion > 0 && s.RunsPerMinion[row] >= s.Spec.MaxPerMinion {
			continue
		}
		room := roomOf(w, p, m)
		at, _, ok := room.FitsAt(needs, w.Now)
		slow := m.Slowdown > slowdownThreshold && at > w.Now
		if ok && (best == 0 || bestSlow && !slow || bestSlow == slow && at < bestAt) {
			best, bestAt, bestSlow = row, at, slow
		}
	}
	return best
}

// reservedStep returns the step that a minion is reserved for, nil if there is none.
func reservedStep(w *quetzalwork.World, m *quetzalwork.Minion) *quetzalwork.Step {
	s := w.Steps.At(m.ReservedFor)
	if s == nil || w.Jobs.At(s.Job).State.Final() || awaitedStarts(w, s) == 0 {
		return nil
	}
	return s
}

// fitsBesideReservation reports whether a task of a step fits on a minion with the given free resources, beside what
// the minion is reserved for.
func fitsBesideReservation(w *quetzalwork.World, m *quetzalwork.Minion, s *quetzalwork.Step, free quetzalunit.Resources) bool {
	if m.ReservedFor == 0 {
		return true
	}
	other := reservedStep(w, m)
	return other == nil || other == s || needsOf(s.Spec).FitsIn(free.Minus(needsOf(other.Spec)))
}

// roomOf returns what is free on a minion and when its runs are expected to end.
func roomOf(w *quetzalwork.World, p *quetzalwork.Pool, m *quetzalwork.Minion) quetzalreserve.Room {
	runs := make([]quetzalreserve.Run, 0, len(m.Runs))
	for _, run := range m.Runs {
		r := w.Runs.At(run)
		s := w.Steps.At(w.Tasks.At(r.Task).Step)
		if !s.Spec.LongRunning {
			runs = append(runs, quetzalreserve.Run{Resources: r.Resources, EndsAt: expectedEnd(w, r, expectedRunTime(p, w.Jobs.At(s.Job).Queue, s))})
		}
	}
	return quetzalreserve.NewRoom(m.Free(), runs)
}
