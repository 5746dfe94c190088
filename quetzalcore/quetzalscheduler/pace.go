package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// slowDownRatio and speedUpRatio are fractions of the tail latency target of a serving task.
	// Above slowDownRatio, the best-effort tasks on the same minion are slowed down; below
	// speedUpRatio they may run faster.
	slowDownRatio = 0.9
	speedUpRatio  = 0.55
	// minPaceInterval is the minimum time between two changes of a run's pace. Latency is measured
	// over the last 500 ms, so the effect of a change is not visible earlier.
	minPaceInterval = 700 * time.Millisecond
	// fullPace is the initial pace of a run, paceIncrement the increment when it may run faster.
	fullPace      quetzalunit.Percent = 100
	paceIncrement quetzalunit.Percent = 25
	// minPace is the pace below which a best-effort task is suspended.
	minPace quetzalunit.Percent = 20
)

// adjustPace sets the pace of the best-effort tasks on a minion: it slows them down while a
// serving task on the minion is close to its tail latency target or above it, and speeds them
// up once all serving tasks are well below their targets. A minion that has missed answers is
// skipped, because its measurements are outdated.
func adjustPace(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	if m == nil || m.MissedAnswers > 0 {
		return
	}
	worst := 0.0
	for _, run := range m.Runs {
		r := w.Runs.At(run)
		spec := w.Steps.At(w.Tasks.At(r.Task).Step).Spec
		if spec.TailLatencyTarget > 0 && r.Reported {
			worst = max(worst, float64(r.Measurement)/float64(spec.TailLatencyTarget.Milliseconds()))
		}
	}
	for _, run := range m.Runs {
		r := w.Runs.At(run)
		t := w.Tasks.At(r.Task)
		if !w.Steps.At(t.Step).Spec.BestEffort || r.State != quetzalwork.RunStarted || r.StopReason != quetzalwork.StopNone {
			continue
		}
		pace := nextPace(r.Pace, worst)
		if pace == r.Pace || w.Now.Sub(r.ChangedAt) < minPaceInterval {
			continue
		}
		r.Pace, r.ChangedAt = pace, w.Now
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "Changed the pace of a best-effort task.", Task: taskRef(w, t), Run: r.Number, Minion: m.ID, Version: int64(pace), Reason: "Tail", Routine: true})
		w.Emit(quetzalwork.PaceRun{Run: run, Target: targetOf(w, m), Task: taskName(w, t), Number: r.Number, Pace: pace})
	}
}

// nextPace returns the new pace of a best-effort task. worst is the highest ratio of measured
// tail latency to target among the serving tasks on the minion.
func nextPace(pace quetzalunit.Percent, worst float64) quetzalunit.Percent {
	switch {
	case worst > 1:
		return 0
	case worst > slowDownRatio && pace/2 < minPace:
		return 0
	case worst > slowDownRatio:
		return pace / 2
	case worst < speedUpRatio:
		return min(fullPace, pace+paceIncrement)
	default:
		return pace
	}
}

// handlePaceAnswer applies the result of a PaceRun command.
func handlePaceAnswer(w *quetzalwork.World, in *quetzalwork.PaceAnswered) {
	r := w.Runs.At(in.Run)
	if r == nil {
		return
	}
	switch result := in.Result.(type) {
	case quetzalwork.OrderAccepted:
	case quetzalwork.OrderFenced:
		handleFenced(w, r.Minion, in.Token)
	case quetzalwork.OrderWrongIncarnation:
		handleWrongIncarnation(w, r.Minion, in.Token, result.Incarnation, restartInCall)
	default:
		// The actual pace is unknown. Assuming full pace makes the next check send a new order
		// if the run has to be slowed down.
		r.Pace = fullPace
	}
}
