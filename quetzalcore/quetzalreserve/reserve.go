package quetzalreserve

import (
	"cmp"
	"slices"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Run is an active run on a minion.
type Run struct {
	Resources quetzalunit.Resources
	// EndsAt is when the run is expected to end.
	EndsAt quetzalunit.Instant
}

// Room is what is free on a minion, now and as its runs end.
type Room struct {
	free quetzalunit.Resources
	// runs are in the order of their ends.
	runs []Run
}

// NewRoom returns the room of a minion. Runs that do not end are left out.
func NewRoom(free quetzalunit.Resources, runs []Run) Room {
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(a.EndsAt, b.EndsAt) })
	return Room{free: free, runs: runs}
}

// FitsAt returns when needs are expected to fit on the minion, and what is free beside them then. It returns
// false if they do not fit even after all runs have ended.
func (r *Room) FitsAt(needs quetzalunit.Resources, now quetzalunit.Instant) (at quetzalunit.Instant, beside quetzalunit.Resources, ok bool) {
	free := r.free
	if needs.FitsIn(free) {
		return now, free.Minus(needs), true
	}
	for i := range r.runs {
		free = free.Plus(r.runs[i].Resources)
		if needs.FitsIn(free) {
			return max(now, r.runs[i].EndsAt), free.Minus(needs), true
		}
	}
	return 0, quetzalunit.Resources{}, false
}

// Reservation keeps a gap on a minion for a task from the instant At on.
type Reservation struct {
	At quetzalunit.Instant
	// Beside is what others may use at the same time and after At.
	Beside quetzalunit.Resources
}

// Permits reports whether a task may start on the minion now: it is expected to be over when the reservation
// begins, or fits beside it.
func (r *Reservation) Permits(needs quetzalunit.Resources, endsAt quetzalunit.Instant) bool {
	return endsAt <= r.At || needs.FitsIn(r.Beside)
}

// Take counts a task that was started on the minion.
func (r *Reservation) Take(needs quetzalunit.Resources, endsAt quetzalunit.Instant) {
	if endsAt > r.At {
		r.Beside = r.Beside.Minus(needs)
	}
}
