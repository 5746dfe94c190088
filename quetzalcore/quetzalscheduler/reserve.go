package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalreserve"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// reserve.go keeps gaps for large tasks that wait while small ones arrive, by the decisions of
// package quetzalreserve.

const (
	// A task is large if it needs at least 1/largeTaskDivisor of a minion's cores or memory.
	// Smaller ones find a gap among the runs that end next.
	largeTaskDivisor = 4
	// At most 1/reservedMinionsDivisor of a pool's minions are reserved at once, and at least one.
	reservedMinionsDivisor = 8
	// overdueDivisor: a run that has taken longer than expected is taken to need another
	// 1/overdueDivisor of the expected time.
	overdueDivisor = 4
)

// gapReservation is a reservation for a task of a step, which may use it.
type gapReservation struct {
	quetzalreserve.Reservation
	step *quetzalwork.Step
}

// permits reports whether a task of a step may use a minion beside the gap that is kept there for another step.
func (fc *freeCapacity) permits(w *quetzalwork.World, row quetzalwork.Row, s *quetzalwork.Step, needs quetzalunit.Resources) bool {
	r := fc.reservations[row]
	if r == nil || r.step == s {
		return true
	}
	p := w.Pools.At(w.Minions.At(row).PoolRow)
	return r.Permits(needs, w.Now.Add(expectedRunTime(p, w.Jobs.At(s.Job).Queue, s)))
}

// countStart counts the start of a task on a minion. A task that had a gap needs it no longer,
// wherever it was placed.
func (fc *freeCapacity) countStart(s *quetzalwork.Step, minion quetzalwork.Row, endsAt quetzalunit.Instant) {
	r := fc.reservations[minion]
	if r != nil && r.step != s {
		r.Take(needsOf(s.Spec), endsAt)
	}
	if r != nil && r.step == s {
		delete(fc.reservations, minion)
		return
	}
	for row, other := range fc.reservations {
		if other.step == s {
			delete(fc.reservations, row)
			return
		}
	}
}

// reserveGaps keeps gaps for the large tasks that wait, in the order of their rank. While more work
// arrives than the pool has room for it keeps none: a gap then costs small jobs their time.
func reserveGaps(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity) {
	// With many ready steps the search would take the time of a large pool's dispatcher at its peak.
	if len(p.ReadySteps) >= minSpacedSteps || expectedLoad(w, p) > float64(usableCores(w, fc)) {
		return
	}
	most := max(1, len(fc.minions)/reservedMinionsDivisor)
	largest := largestCapacity(w, p)
	// The rooms are computed once, and only if a large task waits: a pass of a large pool at its
	// peak must stay cheap.
	var rooms []quetzalreserve.Room
	for _, row := range p.ReadySteps {
		s := w.Steps.At(row)
		if s == nil || s.Spec.LongRunning || s.Spec.Gang || s.Rank.ObjectiveUnreachable || !isLarge(needsOf(s.Spec), largest) {
			continue
		}
		if rooms == nil {
			rooms = roomsOf(w, p, fc)
		}
		for range s.Waiting {
			if !reserveFor(w, fc, rooms, s) {
				// Later steps have less time left, or find no more room.
				return
			}
			if len(fc.reservations) == most {
				return
			}
		}
	}
}

// reserveFor keeps a gap for a waiting task of a step, on the minion that is expected to have room
// for it first. It returns false if none will in time for the step's job.
func reserveFor(w *quetzalwork.World, fc *freeCapacity, rooms []quetzalreserve.Room, s *quetzalwork.Step) bool {
	needs := needsOf(s.Spec)
	var best quetzalwork.Row
	var found quetzalreserve.Reservation
	for i, row := range fc.minions {
		m := w.Minions.At(row)
		if fc.reservations[row] != nil || m.IsolatedRun != 0 || m.Slowdown > slowdownThreshold || !eligible(s, m) || s.Spec.MaxPerMinion > 0 && s.RunsPerMinion[row] >= s.Spec.MaxPerMinion {
			continue
		}
		if at, beside, ok := rooms[i].FitsAt(needs, w.Now); ok && at <= s.Rank.LatestStart && (best == 0 || at < found.At) {
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

// roomsOf returns, for each usable minion, what is free and when its runs are expected to end.
func roomsOf(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity) []quetzalreserve.Room {
	rooms := make([]quetzalreserve.Room, 0, len(fc.minions))
	for _, row := range fc.minions {
		rooms = append(rooms, roomOf(w, p, w.Minions.At(row)))
	}
	return rooms
}

// expectedEnd returns when a run is expected to end.
func expectedEnd(w *quetzalwork.World, r *quetzalwork.Run, runTime time.Duration) quetzalunit.Instant {
	if end := r.StartedAt.Add(runTime); end > w.Now {
		return end
	}
	return w.Now.Add(runTime / overdueDivisor)
}
