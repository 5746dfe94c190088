package quetzalscheduler

import (
	"slices"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// room.go keeps placement cheap under overload, when far more steps wait than the pool can run:
// once a search has found no minion with enough capacity, the search is skipped for all other
// steps of the same pass that need as much or more.

// room has the usable minions of a pool during one placement pass. Placement only reduces their
// free capacity, so needs that did not fit once do not fit later in the same pass.
type room struct {
	minions []quetzalwork.Row
	// full has the smallest needs found not to fit on any minion, regardless of the step's
	// other constraints.
	full []quetzalunit.Resources
}

// roomOf returns the room of a pool's usable minions.
func roomOf(w *quetzalwork.World, p *quetzalwork.Pool) *room {
	r := &room{minions: make([]quetzalwork.Row, 0, len(p.Minions))}
	for _, row := range p.Minions {
		if usable(w, w.Minions.At(row)) {
			r.minions = append(r.minions, row)
		}
	}
	return r
}

// inRack returns a room with the minions in one rack only, or r itself if rack is empty. The
// new room has no entries in full.
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

// isFull reports whether an earlier search has shown that needs fit on no minion.
func (r *room) isFull(needs quetzalunit.Resources) bool {
	return slices.ContainsFunc(r.full, func(least quetzalunit.Resources) bool { return least.FitsIn(needs) })
}

// noteFull records that needs fit on no minion. Recorded needs that are at least as large
// follow from it and are dropped.
func (r *room) noteFull(needs quetzalunit.Resources) {
	r.full = slices.DeleteFunc(r.full, needs.FitsIn)
	r.full = append(r.full, needs)
}
