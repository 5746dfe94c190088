package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// processor.go is designed for an entry whose machine is slow for some seconds while it dispatches a pool at its peak. Its tasks
// would wait with free minions beside them. The entry notices that it does not get its share of the processor, and names a
// smaller one in its member row: the duties then move as they do between entries of different size.

const (
	// shortShareDivisor divides the share of an entry that is short of processor time. It is the same for all, so that
	// duties stay where they are if all are short.
	shortShareDivisor = 4
	// shortTime is how long an entry counts as short after the last measurement that shows it. An entry without
	// duties cannot tell whether its machine is still slow.
	shortTime = 15 * time.Second
	// freshShortTime is how long after such a measurement the entry releases pools.
	freshShortTime = 2 * time.Second
	// minTermOfShort is how long an entry that is short keeps a pool at least. It bounds how often a pool changes hands while
	// all entries are short.
	minTermOfShort = 10 * time.Second
)

// handleProcessorMeasured records whether this entry gets its processor time. The others learn of it at once.
func handleProcessorMeasured(w *quetzalwork.World, in *quetzalwork.ProcessorMeasured) {
	if !in.Short {
		return
	}
	was := isShort(w)
	w.ShortUntil = w.Now.Add(shortTime)
	if was {
		return
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartDuty, Message: "This entry does not get its processor time; others may take its duties over.", Version: int64(availableShare(w)),
	})
	renewMember(w)
	rereadMembers(w)
}

// isShort reports whether this entry gets less processor time than its share.
func isShort(w *quetzalwork.World) bool { return w.Now < w.ShortUntil }

// availableShare returns the share of the processor that this entry counts on.
func availableShare(w *quetzalwork.World) quetzalunit.Percent {
	if !isShort(w) || w.Self.CPUShare <= 0 {
		return w.Self.CPUShare
	}
	return max(1, w.Self.CPUShare/shortShareDivisor)
}

// mayGiveAway reports whether this entry may release a pool to balance the duties.
func mayGiveAway(w *quetzalwork.World, p *quetzalwork.Pool) bool {
	return !isShort(w) || w.Now.Sub(p.HeldSince) >= minTermOfShort && w.Now < w.ShortUntil.Add(freshShortTime-shortTime)
}
