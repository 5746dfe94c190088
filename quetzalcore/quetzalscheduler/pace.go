package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// paceHigh is the share of a serving task's target above which the filling tasks beside
	// it are slowed down, paceLow the share below which they may work faster.
	paceHigh = 0.9
	paceLow  = 0.55
	// pacePause is the time between two changes of a run's pace: a change shows in the
	// measurements of the last half second.
	pacePause = 700 * time.Millisecond
	// paceFull is the pace of a run that was not told otherwise, paceStep what it gains at once.
	paceFull quetzalunit.Percent = 100
	paceStep quetzalunit.Percent = 25
	// paceLeast is the pace below which a filling task rests.
	paceLeast quetzalunit.Percent = 20
)

// paceMinion slows the filling tasks of a minion down while a task that serves beside them is
// near its target, and lets them work faster when all are far from it.
func paceMinion(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	if m == nil || m.Misses > 0 {
		return
	}
	worst := 0.0
	for _, run := range m.Runs {
		r := w.Runs.At(run)
		spec := w.Steps.At(w.Tasks.At(r.Task).Step).Spec
		if spec.TailTarget > 0 && r.Listed {
			worst = max(worst, float64(r.Reading)/float64(spec.TailTarget.Milliseconds()))
		}
	}
	for _, run := range m.Runs {
		r := w.Runs.At(run)
		t := w.Tasks.At(r.Task)
		if !w.Steps.At(t.Step).Spec.Fills || r.State != quetzalwork.RunWorking || r.Stop != quetzalwork.StopNone {
			continue
		}
		pace := nextPace(r.Pace, worst)
		if pace == r.Pace || w.Now.Sub(r.ChangedAt) < pacePause {
			continue
		}
		r.Pace, r.ChangedAt = pace, w.Now
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Text: "A filling task changes its pace.", Task: refOf(w, t), Run: r.Number, Minion: m.ID, Version: int64(pace), Reason: "Tail", Routine: true})
		w.Emit(quetzalwork.PaceRun{Run: run, Target: targetOf(w, m), Task: nameOf(w, t), Number: r.Number, Pace: pace})
	}
}

// nextPace returns the pace of a filling task when the worst task beside it is at a share of
// its target.
func nextPace(pace quetzalunit.Percent, worst float64) quetzalunit.Percent {
	switch {
	case worst > 1:
		return 0
	case worst > paceHigh && pace/2 < paceLeast:
		return 0
	case worst > paceHigh:
		return pace / 2
	case worst < paceLow:
		return min(paceFull, pace+paceStep)
	default:
		return pace
	}
}

func hearPace(w *quetzalwork.World, in *quetzalwork.PaceAnswered) {
	r := w.Runs.At(in.Run)
	if r == nil {
		return
	}
	switch in.Result.(type) {
	case quetzalwork.OrderTaken:
	case quetzalwork.OrderFenced:
		dropPool(w, w.Minions.At(r.Minion).PoolRow, "Fenced")
	default:
		// What the run works at is not known: the next look decides anew from full pace.
		r.Pace = paceFull
	}
}
