package quetzalwork

import (
	"slices"

	"quetzalstair/quetzalcore/quetzalunit"
)

// EndLog is what a dispatcher knows of the ends that the known process of a minion lists. Ends enter it only from reports
// that have all ends after the last one in it, and are settled only once they are recorded or need no record. So an
// acknowledgement covers no other end. The zero value knows of no end.
type EndLog struct {
	// open are the ends that have been applied and must not be acknowledged yet, in the order of their numbers.
	open []UnackedEnd
	// settledThrough is the last end before those in open. All ends up to it may be acknowledged.
	settledThrough quetzalunit.EndNumber
	// forgottenThrough is the last end that the minion is known to list no more.
	forgottenThrough quetzalunit.EndNumber
}

// SeenThrough returns the last end that has been applied.
func (l *EndLog) SeenThrough() quetzalunit.EndNumber {
	if n := len(l.open); n > 0 {
		return l.open[n-1].Number
	}
	return l.settledThrough
}

// SettledThrough returns the last end that may be acknowledged.
func (l *EndLog) SettledThrough() quetzalunit.EndNumber { return l.settledThrough }

// Acknowledgeable returns how many ends may be acknowledged that the minion may still list.
func (l *EndLog) Acknowledgeable() quetzalunit.EndNumber {
	return max(0, l.settledThrough-l.forgottenThrough)
}

// Open returns the ends that have been applied and must not be acknowledged yet.
func (l *EndLog) Open() []UnackedEnd { return l.open }

// NewEnds returns the ends of a report that are not applied yet. It returns none and false if the report leaves out such ends: open
// ones have been discarded since it was asked for.
func (l *EndLog) NewEnds(report *MinionPolled) ([]ReportedEnd, bool) {
	if report.EndsAfter > l.SeenThrough() {
		return nil, false
	}
	first := slices.IndexFunc(report.Ends, func(e ReportedEnd) bool { return e.Number > l.SeenThrough() })
	if first < 0 {
		return nil, true
	}
	return report.Ends[first:], true
}

// Append adds the next one of NewEnds.
func (l *EndLog) Append(e UnackedEnd) { l.open = append(l.open, e) }

// Settle settles the first open ends, up to one that settle returns false for.
func (l *EndLog) Settle(settle func(*UnackedEnd) bool) {
	n := 0
	for n < len(l.open) && settle(&l.open[n]) {
		l.settledThrough = l.open[n].Number
		n++
	}
	l.open = slices.Delete(l.open, 0, n)
}

// Forget records that the minion lists no ends up to a number any more.
func (l *EndLog) Forget(through quetzalunit.EndNumber) {
	l.forgottenThrough = max(l.forgottenThrough, through)
}

// Discard removes the open ends. If the minion reports them again, they count as new.
func (l *EndLog) Discard() { l.open = nil }
