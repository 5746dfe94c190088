package quetzalscheduler

import (
	"slices"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// capacity.go keeps placement cheap under overload, when far more steps wait than the pool can run:
// once a search has found no minion with enough capacity, the search is skipped for all other
// steps of the same pass that need as much or more.

// freeCapacity has the usable minions of a pool during one placement pass. Placement only reduces
// their free capacity, so needs that did not fit once do not fit later in the same pass.
type freeCapacity struct {
	minions []quetzalwork.Row
	// misfits has the smallest needs of short tasks found not to fit on any minion beside the room that is kept for
	// long-running ones, regardless of the step's other constraints.
	misfits []quetzalunit.Resources
	// startsLeft is how many more short tasks the pass may start.
	startsLeft int
	// reservations has the minions on which a gap is kept for a large task.
	reservations map[quetzalwork.Row]*gapReservation
}

// freeCapacityOf returns the free capacity of a pool's usable minions, none while the list does not
// permit starts.
func freeCapacityOf(w *quetzalwork.World, p *quetzalwork.Pool) *freeCapacity {
	if !listPermitsStarts(w, p) {
		return &freeCapacity{}
	}
	return usableMinions(w, p)
}

// usableMinions returns the free capacity of a pool's usable minions, whatever the age of the list.
func usableMinions(w *quetzalwork.World, p *quetzalwork.Pool) *freeCapacity {
	fc := &freeCapacity{minions: make([]quetzalwork.Row, 0, len(p.Minions))}
	for _, row := range p.Minions {
		if usable(w, w.Minions.At(row)) {
			fc.minions = append(fc.minions, row)
		}
	}
	return fc
}

// MaxStartsInProgress is the number of orders to start that an entry sends at once. Placement starts no more short tasks
// than that without an answer: an order that waits behind others outlives its permission, and its task is placed
// again behind still more.
const MaxStartsInProgress = 256

// startsLeft returns how many more orders to start this process may have in progress.
func startsLeft(w *quetzalwork.World) int {
	return MaxStartsInProgress - w.StartsInProgress
}

// setRunState sets the state of a run in the tables.
func setRunState(w *quetzalwork.World, r *quetzalwork.Run, state quetzalwork.RunState) {
	if r.State == quetzalwork.RunStarting {
		w.StartsInProgress--
	}
	if state == quetzalwork.RunStarting {
		w.StartsInProgress++
	}
	r.State = state
}

// usableCores returns the cores of the usable minions, whether free or not.
func usableCores(w *quetzalwork.World, fc *freeCapacity) quetzalunit.MilliCores {
	var cores quetzalunit.MilliCores
	for _, row := range fc.minions {
		cores += w.Minions.At(row).Capacity.Cores
	}
	return cores
}

// inRack returns the minions in one rack only, or fc itself if rack is empty. The result has no
// recorded misfits.
func (fc *freeCapacity) inRack(w *quetzalwork.World, rack quetzalunit.RackID) *freeCapacity {
	if rack == "" {
		return fc
	}
	subset := &freeCapacity{reservations: fc.reservations}
	for _, row := range fc.minions {
		if w.Minions.At(row).Rack == rack {
			subset.minions = append(subset.minions, row)
		}
	}
	return subset
}

// knownMisfit reports whether an earlier search has shown that a task of a step fits on no minion. Of long-running
// steps it is not known: each may use the room that is kept for it.
func (fc *freeCapacity) knownMisfit(s *quetzalwork.Step) bool {
	needs := needsOf(s.Spec)
	return !s.Spec.LongRunning && slices.ContainsFunc(fc.misfits, func(misfit quetzalunit.Resources) bool { return misfit.FitsIn(needs) })
}

// recordMisfit records that needs fit on no minion. Recorded needs that are at least as large
// follow from it and are dropped.
func (fc *freeCapacity) recordMisfit(needs quetzalunit.Resources) {
	fc.misfits = slices.DeleteFunc(fc.misfits, needs.FitsIn)
	fc.misfits = append(fc.misfits, needs)
}
