package quetzalaccount

import (
	"cmp"
	"slices"

	"quetzalstair/quetzalcore/quetzalunit"
)

// This file divides the caps of accounts between pools whose demand rises and falls by turns: a
// part follows the demand of its pool, and pools that together want more than the cap get equal
// parts of it.

const (
	// headroomDivisor: a pool asks for a quarter more than it needs, so that not every arrival needs a
	// transaction of the store before it can start.
	headroomDivisor = 4
	// releaseFactor is by how much a part may exceed the need before the pool gives it back. Less
	// would cost a transaction each time that a few tasks end.
	releaseFactor = 2
	// A pool keeps a part of up to 1/keptDivisor of the cap also when it needs none of it, so that an
	// account with single jobs now and then does not wait for a transaction with each.
	keptDivisor = 8
)

// Division is the stored division of the accounts' caps between pools. A transaction changes it as a whole.
type Division struct {
	// Revision is that of the stored row, zero if there is none.
	Revision quetzalunit.Revision
	// Pools are in the order of their ids.
	Pools []PoolParts
}

// PoolParts are the parts of a pool.
type PoolParts struct {
	Pool quetzalunit.PoolID
	// Token is that of the dispatcher that wrote the parts last. A later one claims them before it starts
	// anything.
	Token quetzalunit.FencingToken
	// Accounts are in the order of their ids.
	Accounts []AccountPart
}

// AccountPart is a pool's part of an account's cap.
type AccountPart struct {
	Account quetzalunit.AccountID
	// Held is the part, Unmet what the pool could use beyond it.
	Held, Unmet quetzalunit.Resources
	// Firm is what long-running tasks use and want of these. It is met before the rest of the cap is divided. The
	// sum over the pools exceeds the cap only if it has fallen.
	Firm quetzalunit.Resources
	// Task has the largest components of the tasks that wait, or up to twice as much. It is zero if none waits or
	// the pools do not want more than the cap.
	Task quetzalunit.Resources
	// Turn orders the pools that have a Task. It is the revision at which this pool got one, or had its turn last.
	Turn quetzalunit.Revision
}

// DivisionState is what a process knows of the stored division, and its proposal in progress.
type DivisionState struct {
	Known Division
	// KnownAt is when the last answer with the division was received.
	KnownAt quetzalunit.Instant
	// Proposed is the division that the transaction in flight writes.
	Proposed Division
	// InFlight reports whether a transaction or a read is in flight.
	InFlight bool
	// Unanswered reports whether a proposal for the revision UnansweredAt had no answer. It may be
	// carried out until a later revision is seen.
	Unanswered   bool
	UnansweredAt quetzalunit.Revision
	// Reading reports whether the call in flight is a read.
	Reading bool
	// NextAt is the earliest next call, TimerAt the instant of the pending timer.
	NextAt, TimerAt quetzalunit.Instant
}

// CeilingHolds reports whether a proposal may be carried out whose parts are not known to be in force.
func (s *DivisionState) CeilingHolds() bool {
	return s.InFlight && !s.Reading || s.Unanswered
}

// Parts returns the parts of a pool, and false if it has none.
func (d *Division) Parts(pool quetzalunit.PoolID) (PoolParts, bool) {
	i, ok := d.find(pool)
	if !ok {
		return PoolParts{Pool: pool}, false
	}
	return d.Pools[i], true
}

// With returns the division with the parts of a pool replaced. It shares the parts of the other pools.
func (d *Division) With(parts PoolParts) Division {
	next := Division{Revision: d.Revision, Pools: slices.Clone(d.Pools)}
	i, ok := d.find(parts.Pool)
	if ok {
		next.Pools[i] = parts
		return next
	}
	next.Pools = slices.Insert(next.Pools, i, parts)
	return next
}

func (d *Division) find(pool quetzalunit.PoolID) (int, bool) {
	return slices.BinarySearchFunc(d.Pools, pool, func(p PoolParts, id quetzalunit.PoolID) int { return cmp.Compare(p.Pool, id) })
}

// Part returns the part of an account, zero if it has none.
func (p *PoolParts) Part(account quetzalunit.AccountID) AccountPart {
	i, ok := slices.BinarySearchFunc(p.Accounts, account, func(a AccountPart, id quetzalunit.AccountID) int { return cmp.Compare(a.Account, id) })
	if !ok {
		return AccountPart{Account: account}
	}
	return p.Accounts[i]
}

// HeldByOthers returns the sum of the parts of an account in all pools but one.
func (d *Division) HeldByOthers(pool quetzalunit.PoolID, account quetzalunit.AccountID) quetzalunit.Resources {
	var sum quetzalunit.Resources
	for i := range d.Pools {
		if d.Pools[i].Pool != pool {
			sum = sum.Plus(d.Pools[i].Part(account).Held)
		}
	}
	return sum
}

// wantedByOthers returns the sum of what all pools but one hold and want of an account's cap.
func (d *Division) wantedByOthers(pool quetzalunit.PoolID, account quetzalunit.AccountID) quetzalunit.Resources {
	var sum quetzalunit.Resources
	for i := range d.Pools {
		if d.Pools[i].Pool != pool {
			part := d.Pools[i].Part(account)
			sum = sum.Plus(part.Held).Plus(part.Unmet)
		}
	}
	return sum
}

// Demand is what an account uses and wants in a pool.
type Demand struct {
	// Used is what may be running, Waiting what could start now, Largest the largest task that waits and ends.
	Used, Waiting, Largest quetzalunit.Resources
	// FirmUsed, FirmWaiting and FirmLargest are the same for long-running tasks. The first two are part of Used and
	// Waiting.
	FirmUsed, FirmWaiting, FirmLargest quetzalunit.Resources
	// FirmKept is what they use at least, because not all of them may be known.
	FirmKept quetzalunit.Resources
	Cap      quetzalunit.Resources
	// PassTurn tells that the pool has had its turn for long and has not used it.
	PassTurn bool
}

// Proposal is what a pool should do about its part of an account's cap.
type Proposal struct {
	Part AccountPart
	// Target is what the pool should use at most.
	Target quetzalunit.Resources
	// HasTurn reports whether the pool has the first turn and the room for it, but does not use it, while others
	// wait for theirs.
	HasTurn bool
	// Changed reports whether Part differs enough from the present one to be worth a transaction.
	Changed bool
}

// Propose returns the part of an account that a pool should have.
func Propose(d *Division, pool quetzalunit.PoolID, account quetzalunit.AccountID, demand *Demand) Proposal {
	parts, _ := d.Parts(pool)
	now := parts.Part(account)
	next := Proposal{Part: AccountPart{Account: account, Firm: firmOf(d, pool, account, demand)}, Target: demand.Cap}
	others, wanted := d.HeldByOthers(pool, account), d.wantedByOthers(pool, account)
	alone := false
	if total := limited(demand.Used.Plus(demand.Waiting).Plus(wanted), demand.Cap); !total.FitsIn(demand.Cap) {
		hasRoom := contend(d, pool, &now, demand, &next)
		alone = hasRoom && demand.Used == (quetzalunit.Resources{}) && others == (quetzalunit.Resources{})
	}
	for i := range dimensions {
		limit := component(demand.Cap, i)
		if limit == 0 {
			next.Changed = next.Changed || component(now.Held, i) != 0
			continue
		}
		need := component(demand.Used, i) + component(demand.Waiting, i)
		target := component(next.Target, i)
		held := limit - component(wanted, i)
		if need > held {
			held = min(need, target, max(0, limit-component(others, i)))
		} else {
			held = spareOf(need, component(now.Held, i), held, limit)
		}
		held = max(component(demand.Used, i), held)
		if alone {
			// A task beyond the cap runs if nothing else of the account does.
			held = max(held, min(max(component(demand.Largest, i), component(demand.FirmLargest, i)), need))
			target = max(target, held)
		}
		unmet := max(0, min(need, limit)-held)
		next.Part.Held, next.Part.Unmet = withComponent(next.Part.Held, i, held), withComponent(next.Part.Unmet, i, unmet)
		next.Target = withComponent(next.Target, i, target)
		next.Changed = next.Changed || held != component(now.Held, i) || differs(unmet, component(now.Unmet, i))
		firm, before := component(next.Part.Firm, i), component(now.Firm, i)
		next.Changed = next.Changed || firm > before || differs(firm, before)
	}
	return next
}

// firmOf returns what long-running tasks use and want in a pool. What they want counts as far as it fits beside the
// firm parts of the other pools: long-running tasks free nothing for those that come later.
func firmOf(d *Division, pool quetzalunit.PoolID, account quetzalunit.AccountID, demand *Demand) quetzalunit.Resources {
	left := demand.Cap.Minus(demand.FirmUsed)
	for i := range d.Pools {
		if d.Pools[i].Pool != pool {
			left = left.Minus(d.Pools[i].Part(account).Firm)
		}
	}
	left = beyond(left, quetzalunit.Resources{})
	wanted := quetzalunit.Resources{}
	if largest := limited(demand.FirmLargest, demand.Cap); largest.FitsIn(left) {
		wanted = Smallest(demand.FirmWaiting, left)
	}
	return limited(Largest(demand.FirmKept, demand.FirmUsed.Plus(wanted)), demand.Cap)
}

// spareOf returns one component of the part of a pool that needs less than the most that it may have. What other pools
// want is not part of that, so that the spare part does not keep it from them.
func spareOf(need, now, most, limit int64) int64 {
	if need <= now && now <= most && (now <= releaseFactor*need || now <= limit/keptDivisor) {
		return now
	}
	return min(most, need+need/headroomDivisor)
}

// contend sets the pool's turn and what it should use at most, while the pools want more than the cap. It reports
// whether the pool should have room for its largest task, or for as much of it as the cap has.
func contend(d *Division, pool quetzalunit.PoolID, now *AccountPart, demand *Demand, next *Proposal) bool {
	part := &next.Part
	part.Task = demand.Largest
	if !limited(demand.FirmUsed.Plus(demand.FirmWaiting), demand.Cap).FitsIn(part.Firm) {
		part.Task = Largest(part.Task, demand.FirmLargest)
	}
	if part.Task = limited(part.Task, demand.Cap); part.Task != (quetzalunit.Resources{}) {
		part.Turn = now.Turn
		if now.Task == (quetzalunit.Resources{}) {
			part.Turn = d.Revision + 1
		}
		if part.Task.FitsIn(now.Task) && now.Task.FitsIn(part.Task.Plus(part.Task)) {
			part.Task = now.Task
		}
	}
	own := claimant{
		pool: pool, turn: part.Turn, task: Smallest(part.Task, demand.Cap), firm: part.Firm,
		want: beyond(limited(demand.Used.Plus(demand.Waiting), demand.Cap), part.Firm),
	}
	claimants := d.claimantsOf(&own, part.Account, demand.Cap)
	i := divide(demand.Cap, claimants, pool)
	if hasFirstTurn(claimants, i) {
		need := Smallest(own.task, own.want)
		if need.FitsIn(beyond(demand.Used, part.Firm)) || demand.PassTurn {
			part.Turn = d.Revision + 1
			claimants[i].turn = part.Turn
			i = divide(demand.Cap, claimants, pool)
		} else {
			next.HasTurn = need.FitsIn(beyond(now.Held, part.Firm))
		}
	}
	for d := range dimensions {
		if wantedOf(claimants, d) > component(demand.Cap, d) {
			next.Target = withComponent(next.Target, d, component(claimants[i].firm, d)+component(claimants[i].part, d))
		}
	}
	next.Changed = part.Turn != now.Turn || part.Task != now.Task
	return Smallest(own.task, own.want).FitsIn(claimants[i].part)
}

// differs reports whether an unmet need has changed enough to tell the other pools.
func differs(a, b int64) bool {
	return (a == 0) != (b == 0) || a > releaseFactor*b || b > releaseFactor*a
}
