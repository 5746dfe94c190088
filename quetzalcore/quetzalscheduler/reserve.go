package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalreserve"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// reserve.go keeps gaps for large tasks that wait while small ones arrive, by the decisions of package quetzalreserve.

const (
	// A task is large if it needs at least 1/largeTaskDivisor of a minion's cores or memory. Smaller ones find a gap
	// among the runs that end next.
	largeTaskDivisor = 4
	// At most 1/reservedMinionsDivisor of a pool's minions are reserved at once, and at least one.
	reservedMinionsDivisor = 8
	// maxGapSearches bounds the time of a placement pass while many large tasks wait. A search looks at all runs of the
	// pool.
	maxGapSearches = 24
	// overdueDivisor: a run that has taken longer than expected is taken to need another 1/overdueDivisor of the
	// expected time.
	overdueDivisor = 4
)

// gapReservation is a reservation for a task of a step, which may use it.
type gapReservation struct {
	quetzalreserve.Reservation
	step *quetzalwork.Step
}

// reserveGaps keeps gaps for the large tasks that wait, in the order of their rank. While more work arrives than the pool has
// room for it keeps none: a gap then costs small jobs their time.
func reserveGaps(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity) {
	if expectedLoad(w, p) > float64(usableCores(w, fc)) {
		return
	}
	most := max(1, len(fc.minions)/reservedMinionsDivisor)
	largest := largestCapacity(w, p)
	searches := 0
	for _, row := range p.ReadySteps {
		s := w.Steps.At(row)
		if s == nil || s.Spec.LongRunning || s.Spec.Gang || s.Rank.ObjectiveUnreachable || !isLarge(needsOf(s.Spec), largest) {
			continue
		}
		for range s.Waiting {
			if searches++; len(fc.reservations) == most || searches > maxGapSearches {
				return
			}
			if !reserveFor(w, p, fc, s) {
				break
			}
		}
	}
}

// reserveFor keeps a gap for a waiting task of a step, on the minion that is expected to have room for it first. It returns false
// if none will in time for the step's job.
func reserveFor(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity, s *quetzalwork.Step) bool {
	needs := needsOf(s.Spec)
	var best quetzalwork.Row
	var found quetzalreserve.Reservation
	for _, row := range fc.minions {
		m := w.Minions.At(row)
		if fc.reservations[row] != nil || m.IsolatedRun != 0 || m.Slowdown > slowdownThreshold || !eligible(s, m) || s.Spec.MaxPerMinion > 0 && s.RunsPerMinion[row] >= s.Spec.MaxPerMinion {
			continue
		}
		room := roomOf(w, p, m)
		if at, beside, ok := room.FitsAt(needs, w.Now); ok && at <= s.Rank.LatestStart && (best == 0 || at < found.At) {
			best, found = row, quetzalreserve.Reservation{At: at, Beside: beside}
		}
	}
	if best == 0 {
		return false
	}
	if fc.reservations == nil {
		fc.reservations = make(map[quetzalwork.Row]*gapReservation)
	}
	fc.reservations[best] = &gapReservation{found, s}
	return true
}

// isLarge reports whether needs are a large share of a minion's capacity.
func isLarge(needs, capacity quetzalunit.Resources) bool {
	return needs.Cores*largeTaskDivisor >= capacity.Cores && capacity.Cores > 0 || needs.Memory*largeTaskDivisor >= capacity.Memory && capacity.Memory > 0
}

// roomOf returns what is free on a minion and when its runs are expected to end.
func roomOf(w *quetzalwork.World, p *quetzalwork.Pool, m *quetzalwork.Minion) quetzalreserve.Room {
	room := quetzalreserve.Room{Free: m.Free(), Runs: make([]quetzalreserve.Run, 0, len(m.Runs))}
	for _, run := range m.Runs {
		r := w.Runs.At(run)
		s := w.Steps.At(w.Tasks.At(r.Task).Step)
		if !s.Spec.LongRunning {
			room.Runs = append(room.Runs, quetzalreserve.Run{Resources: r.Resources, EndsAt: expectedEnd(w, r, expectedRunTime(p, w.Jobs.At(s.Job).Queue, s))})
		}
	}
	return room
}

// expectedEnd returns when a run is expected to end.
func expectedEnd(w *quetzalwork.World, r *quetzalwork.Run, runTime time.Duration) quetzalunit.Instant {
	if end := r.StartedAt.Add(runTime); end > w.Now {
		return end
	}
	return w.Now.Add(runTime / overdueDivisor)
}
