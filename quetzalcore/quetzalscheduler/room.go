package quetzalscheduler

import (
	"slices"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// room.go answers the load in which far more steps wait than the pool has room for: a search
// that failed once is not repeated for every other step that needs as much.

// room is what a pool's usable minions have left during one pass over its steps. Placement only
// takes from it, so that what did not fit once does not fit later in the same pass.
type room struct {
	minions []quetzalwork.Row
	// full has needs for which no minion has room, whatever else a step requires.
	full []quetzalunit.Resources
}

// roomOf returns the room of a pool.
func roomOf(w *quetzalwork.World, p *quetzalwork.Pool) *room {
	r := &room{minions: make([]quetzalwork.Row, 0, len(p.Minions))}
	for _, row := range p.Minions {
		if usable(w, w.Minions.At(row)) {
			r.minions = append(r.minions, row)
		}
	}
	return r
}

// inRack returns the room of the minions of one rack; an empty rack stands for all.
func (r *room) inRack(w *quetzalwork.World, rack quetzalunit.RackID) *room {
	if rack == "" {
		return r
	}
	within := &room{}
	for _, row := range r.minions {
		if w.Minions.At(row).Rack == rack {
			within.minions = append(within.minions, row)
		}
	}
	return within
}

// isFull tells whether a search has shown that no minion has room for needs.
func (r *room) isFull(needs quetzalunit.Resources) bool {
	return slices.ContainsFunc(r.full, func(least quetzalunit.Resources) bool { return least.Fits(needs) })
}

// noteFull notes that no minion has room for needs.
func (r *room) noteFull(needs quetzalunit.Resources) {
	r.full = slices.DeleteFunc(r.full, needs.Fits)
	r.full = append(r.full, needs)
}
