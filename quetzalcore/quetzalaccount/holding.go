package quetzalaccount

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
)

// HoldingKey identifies a holding.
type HoldingKey struct {
	Pool    quetzalunit.PoolID
	Account quetzalunit.AccountID
}

// Holding is what an account may run in a pool, and what it runs there, at the pool's dispatcher.
type Holding struct {
	HoldingKey
	// AccountRow is the account's row, zero while the account is not known.
	AccountRow Row
	// Used are the resources of the active runs that this dispatcher started, Adopted those of the runs that
	// earlier dispatchers did.
	Used, Adopted quetzalunit.Resources
	// Inherited is the part of the cap that the pool had when this dispatcher claimed it, zero once the work of
	// earlier dispatchers is known. All of it may be in use by runs that this dispatcher does not see yet.
	Inherited quetzalunit.Resources
	// Granted is the pool's part of the cap in the last known division, zero while the pool is not claimed.
	Granted quetzalunit.Resources
	// Ceiling bounds the use while a proposal may be carried out that lowers Granted.
	Ceiling quetzalunit.Resources
	// Target is what the pool should use at most, because other pools want the rest. Starts that would exceed
	// it wait, so that the part can shrink as runs end.
	Target quetzalunit.Resources
	// Others is the sum of the parts of all other pools.
	Others quetzalunit.Resources
	// Waiting are the resources of the tasks that wait for a start and have room on the pool's minions, Largest those
	// of the largest of them that end, as of the last measurement.
	Waiting, Largest quetzalunit.Resources
	// Kept is what a long-running task waits for that the part did not permit in the last placement pass. Other tasks
	// leave it free.
	Kept quetzalunit.Resources
	// FirmUsed, FirmWaiting and FirmLargest are the same for long-running tasks: what they use, what waits, and the
	// largest that waits.
	FirmUsed, FirmWaiting, FirmLargest quetzalunit.Resources
	// Ending are the resources of the account's runs that end soon, as of the last measurement.
	Ending quetzalunit.Resources
	// Peak is the most that the account could recently use.
	Peak Peak
	// Refused reports whether the holding has kept a task from starting since the last proposal.
	Refused bool
	// TurnSince is since when the pool has had the first turn without using it, zero if it has not.
	TurnSince quetzalunit.Instant
	// AtCap reports whether the log says that the account's work waits for a larger part.
	AtCap bool

	// VirtualTime is the cost of all starts divided by the account's weight, in core-seconds.
	VirtualTime float64
	// Backlogged reports whether tasks of the account waited during the last placement pass, Ahead whether its
	// work comes after that of the other accounts in this one.
	Backlogged, Ahead bool
	// Rate is the state of the account's rate of arrivals at the pool.
	Rate RateState
}

// InUse returns what the account may be running in the pool, as far as this dispatcher can tell.
func (h *Holding) InUse() quetzalunit.Resources {
	if h.Inherited != (quetzalunit.Resources{}) {
		return h.Used.Plus(Largest(h.Inherited, h.Adopted))
	}
	return h.Used.Plus(h.Adopted)
}

// Shortage is why a holding does not permit a start, in one word for the log.
type Shortage string

const (
	// ShortageNone means that the start is permitted.
	ShortageNone Shortage = ""
	// ShortageConfigurationTooOld means that a lower cap may be in force.
	ShortageConfigurationTooOld Shortage = "ConfigurationTooOld"
	// ShortagePartUnclaimed means that this dispatcher has not claimed the pool's part of the cap.
	ShortagePartUnclaimed Shortage = "AccountPartUnclaimed"
	// ShortagePartInherited means that the part may be in use by runs of earlier dispatchers that are not
	// known yet.
	ShortagePartInherited Shortage = "AccountPartInherited"
	// ShortageCap means that the account uses its cap in this pool.
	ShortageCap Shortage = "AccountAtCap"
	// ShortageFairPart means that the pools together want more than the cap and that this one uses its part.
	ShortageFairPart Shortage = "AccountAtFairPart"
	// ShortageOtherPools means that the pool may have a larger part and that the others hold the rest of the cap.
	ShortageOtherPools Shortage = "AccountCapInOtherPools"
	// ShortagePart means that the pool has not got a larger part yet, although the other pools leave room for it.
	ShortagePart Shortage = "AccountPartTooSmall"
	// ShortagePartLowered means that a proposal that lowers the part may be carried out.
	ShortagePartLowered Shortage = "AccountPartLowered"
)

// Shortage returns why tasks with the given needs may not start under a cap, ShortageNone if they may. While a
// lowering proposal may be carried out, ceiling must be set.
func (h *Holding) Shortage(needs, limit quetzalunit.Resources, ceiling bool) Shortage {
	used := h.InUse()
	alone := used == (quetzalunit.Resources{}) && h.Others == (quetzalunit.Resources{})
	for d := range dimensions {
		most := component(limit, d)
		if most == 0 || component(needs, d) == 0 {
			continue
		}
		part := min(component(h.Granted, d), component(h.Target, d))
		if ceiling {
			part = min(part, component(h.Ceiling, d))
		}
		// Parts may add up to more than a cap that has fallen. A task beyond the cap runs alone.
		if !alone {
			part = min(part, most-component(h.Others, d))
		}
		if need := component(used, d) + component(needs, d); need > part {
			return h.explainShortage(needs, limit, ceiling, d)
		}
	}
	return ShortageNone
}

// explainShortage returns which of the bounds of Shortage keeps component d of the needs from being permitted.
func (h *Holding) explainShortage(needs, limit quetzalunit.Resources, ceiling bool, d int) Shortage {
	if h.Inherited != (quetzalunit.Resources{}) {
		known := *h
		known.Inherited = quetzalunit.Resources{}
		if known.Shortage(needs, limit, ceiling) == ShortageNone {
			return ShortagePartInherited
		}
	}
	used := h.InUse()
	alone := used == (quetzalunit.Resources{}) && h.Others == (quetzalunit.Resources{})
	need, most, target := component(used, d)+component(needs, d), component(limit, d), component(h.Target, d)
	switch {
	case !alone && need > most:
		return ShortageCap
	case !alone && target > 0 && need > target:
		return ShortageFairPart
	case !alone && need > most-component(h.Others, d):
		return ShortageOtherPools
	case need > min(component(h.Granted, d), target):
		return ShortagePart
	default:
		return ShortagePartLowered
	}
}

// HoldsFirm reports whether the part has room for long-running tasks with the given needs beside those that run, once
// all others have ended.
func (h *Holding) HoldsFirm(needs, limit quetzalunit.Resources) bool {
	for d := range dimensions {
		if component(limit, d) > 0 && component(needs, d) > 0 && component(h.FirmUsed, d)+component(needs, d) > component(h.Granted, d) {
			return false
		}
	}
	return true
}

// WithKept returns the needs of a task together with what is kept for long-running ones of the same resources.
func (h *Holding) WithKept(needs quetzalunit.Resources) quetzalunit.Resources {
	for d := range dimensions {
		if n := component(needs, d); n > 0 {
			needs = withComponent(needs, d, n+component(h.Kept, d))
		}
	}
	return needs
}

// peakTime is the time over which a Peak is taken, at least.
const peakTime = 500 * time.Millisecond

// Peak is the highest amount of the last peakTime, or up to twice as long. The room in a pool rises and falls with
// each run that starts or ends; the part of a cap must not.
type Peak struct {
	present, before quetzalunit.Resources
	since           quetzalunit.Instant
}

// Measure adds an amount and returns the peak.
func (p *Peak) Measure(now quetzalunit.Instant, amount quetzalunit.Resources) quetzalunit.Resources {
	switch elapsed := now.Sub(p.since); {
	case elapsed >= 2*peakTime:
		*p = Peak{since: now}
	case elapsed >= peakTime:
		*p = Peak{before: p.present, since: now}
	}
	p.present = Largest(p.present, amount)
	return Largest(p.present, p.before)
}

// Fits returns how many tasks with the given needs have room in what is free. It has a bound, so that tasks that
// need nothing do not count without end.
func Fits(needs, free quetzalunit.Resources) quetzalunit.Tasks {
	const most = 1 << 20
	n := int64(most)
	for d := range dimensions {
		if need := component(needs, d); need > 0 {
			n = min(n, max(0, component(free, d))/need)
		}
	}
	return quetzalunit.Tasks(n)
}

// dimensions is the number of components of quetzalunit.Resources.
const dimensions = 3

// component returns one of the components of r: cores, memory or accelerators.
func component(r quetzalunit.Resources, d int) int64 {
	switch d {
	case 0:
		return int64(r.Cores)
	case 1:
		return int64(r.Memory)
	default:
		return int64(r.Accelerators)
	}
}

// withComponent returns r with one component replaced.
func withComponent(r quetzalunit.Resources, d int, v int64) quetzalunit.Resources {
	switch d {
	case 0:
		r.Cores = quetzalunit.MilliCores(v)
	case 1:
		r.Memory = quetzalunit.Megabytes(v)
	default:
		r.Accelerators = quetzalunit.Accelerators(v)
	}
	return r
}

// Largest returns the component-wise maximum.
func Largest(a, b quetzalunit.Resources) quetzalunit.Resources {
	return quetzalunit.Resources{Cores: max(a.Cores, b.Cores), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// Smallest returns the component-wise minimum.
func Smallest(a, b quetzalunit.Resources) quetzalunit.Resources {
	return quetzalunit.Resources{Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators)}
}
