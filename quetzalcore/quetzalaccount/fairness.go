package quetzalaccount

import (
	"cmp"
	"slices"

	"quetzalstair/quetzalcore/quetzalunit"
)

// This file divides a cap that pools together want more of. All dispatchers derive the same parts from the
// same row.

// claimant is a pool that wants a part of a cap. All resources are zero where the cap has no limit.
type claimant struct {
	pool quetzalunit.PoolID
	turn quetzalunit.Revision
	// firm is what the pool gets before all others. held is the present part beyond it, want what the pool uses and
	// wants beyond it.
	firm, held, want quetzalunit.Resources
	// task is the largest task that waits, at most the cap; zero if none does.
	task quetzalunit.Resources
	// floor is the least part beyond firm, part the result.
	floor, part quetzalunit.Resources
}

// waits reports whether the pool waits for room for a task.
func (c *claimant) waits() bool {
	return c.task != (quetzalunit.Resources{})
}

// limited returns r without the components that the cap does not limit.
func limited(r, limit quetzalunit.Resources) quetzalunit.Resources {
	for d := range dimensions {
		if component(limit, d) == 0 {
			r = withComponent(r, d, 0)
		}
	}
	return r
}

// claimantsOf returns the pools that want a part of an account's cap: the given one and all others.
func (d *Division) claimantsOf(own *claimant, account quetzalunit.AccountID, limit quetzalunit.Resources) []claimant {
	claimants := []claimant{*own}
	for i := range d.Pools {
		p := &d.Pools[i]
		if p.Pool == own.pool {
			continue
		}
		part := p.Part(account)
		claimants = append(claimants, claimant{
			pool: p.Pool, turn: part.Turn, task: Smallest(part.Task, limit), firm: limited(part.Firm, limit),
			held: beyond(limited(part.Held, limit), part.Firm), want: beyond(limited(part.Held.Plus(part.Unmet), limit), part.Firm),
		})
	}
	return claimants
}

// beyond returns by how much the components of r exceed those of s.
func beyond(r, s quetzalunit.Resources) quetzalunit.Resources {
	return Largest(r.Minus(s), quetzalunit.Resources{})
}

// divide sets the parts of the claimants, in the order of their turns, beyond what they get before. Each gets room
// for its largest task as long as what is left of total holds all of it, since parts of less than a task would let
// none start. Beyond that the parts are max-min fair. It returns the index of a pool.
func divide(total quetzalunit.Resources, claimants []claimant, pool quetzalunit.PoolID) int {
	slices.SortFunc(claimants, func(a, b claimant) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.pool, b.pool))
	})
	for i := range claimants {
		total = beyond(total, claimants[i].firm)
	}
	left := total
	for i := range claimants {
		c := &claimants[i]
		c.floor = quetzalunit.Resources{}
		if floor := Smallest(c.task, c.want); floor.FitsIn(left) {
			c.floor, left = floor, left.Minus(floor)
		}
	}
	for d := range dimensions {
		level := fairLevel(component(total, d), claimants, d)
		for i := range claimants {
			c := &claimants[i]
			c.part = withComponent(c.part, d, c.partAt(level, d))
		}
	}
	return slices.IndexFunc(claimants, func(c claimant) bool { return c.pool == pool })
}

// hasFirstTurn reports whether the i-th claimant has the first turn while others wait for theirs, if the
// claimants are in the order of their turns. Since the others wait for room that they do not hold, turns
// stop at the first pool that does not use its own.
func hasFirstTurn(claimants []claimant, i int) bool {
	if !claimants[i].waits() || slices.ContainsFunc(claimants[:i], func(c claimant) bool { return c.waits() }) {
		return false
	}
	return slices.ContainsFunc(claimants[i+1:], func(c claimant) bool { return !Smallest(c.task, c.want).FitsIn(c.held) })
}

// wantedOf returns one component of what the claimants want.
func wantedOf(claimants []claimant, d int) int64 {
	var sum int64
	for i := range claimants {
		sum += component(claimants[i].firm, d) + component(claimants[i].want, d)
	}
	return sum
}

// partAt returns one component of the part that the claimant gets if those who want more get level.
func (c *claimant) partAt(level int64, d int) int64 {
	return max(component(c.floor, d), min(level, component(c.want, d)))
}

// fairLevel returns the largest level at which the parts add up to at most total.
func fairLevel(total int64, claimants []claimant, d int) int64 {
	low, high := int64(0), total
	for low < high {
		level := high - (high-low)/2
		var sum int64
		for i := range claimants {
			sum += claimants[i].partAt(level, d)
		}
		if sum <= total {
			low = level
		} else {
			high = level - 1
		}
	}
	return low
}
