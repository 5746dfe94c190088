package quetzalscheduler

import (
	"slices"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// capacity.go keeps placement cheap under overload, when far more steps wait than the pool can run:
// once a search has found no minion with enough capacity, the search is skipped for all other
// steps of the same pass that need as much or more.

// freeCapacity has the usable minions of a pool during one placement pass. Placement only reduces their
// free capacity, so needs that did not fit once do not fit later in the same pass.
type freeCapacity struct {
	minions []quetzalwork.Row
	// misfits has the smallest needs found not to fit on any minion, regardless of the step's
	// other constraints.
	misfits []quetzalunit.Resources
}

// freeCapacityOf returns the room of a pool's usable minions.
func freeCapacityOf(w *quetzalwork.World, p *quetzalwork.Pool) *freeCapacity {
	r := &freeCapacity{minions: make([]quetzalwork.Row, 0, len(p.Minions))}
	for _, row := range p.Minions {
		if usable(w, w.Minions.At(row)) {
			r.minions = append(r.minions, row)
		}
	}
	return r
}

// inRack returns a room with the minions in one rack only, or r itself if rack is empty. The
// new room has no entries in full.
func (r *freeCapacity) inRack(w *quetzalwork.World, rack quetzalunit.RackID) *freeCapacity {
	if rack == "" {
		return r
	}
	within := &freeCapacity{}
	for _, row := range r.minions {
		if w.Minions.At(row).Rack == rack {
			within.minions = append(within.minions, row)
		}
	}
	return within
}

// knownMisfit reports whether an earlier search has shown that needs fit on no minion.
func (r *freeCapacity) knownMisfit(needs quetzalunit.Resources) bool {
	return slices.ContainsFunc(r.misfits, func(least quetzalunit.Resources) bool { return least.FitsIn(needs) })
}

// recordMisfit records that needs fit on no minion. Recorded needs that are at least as large
// follow from it and are dropped.
func (r *freeCapacity) recordMisfit(needs quetzalunit.Resources) {
	r.misfits = slices.DeleteFunc(r.misfits, needs.FitsIn)
	r.misfits = append(r.misfits, needs)
}
