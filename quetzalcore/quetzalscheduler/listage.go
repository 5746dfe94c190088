package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// listage.go bounds the age of the minion list by which tasks start.

// A minion whose record says that it leaves must get no work after DrainNotice. Starts are therefore
// permitted only for that time after a read of the list was sent, less orderTransitMargin. The bound
// holds on every path to a start: freeCapacityOf has no minions without a permission.
const (
	// defaultDrainNotice is the DrainNotice of a World whose Bounds have none.
	defaultDrainNotice = 2 * time.Second
	// orderTransitMargin is the longest time from sending an order to its arrival at the minion.
	orderTransitMargin = 300 * time.Millisecond
)

// Minions of a pool without EnforcesCapacity start whatever they are ordered to start. Their records
// must therefore show a capacity that has shrunk within 4.5 s.
const (
	// maxMinionListAge is the maximum age of the minion list for starts on such minions, and the
	// longest gap between two reads that counts as no outage. It leaves time for a beat that the
	// outage has delayed and for the next read.
	maxMinionListAge = 2500 * time.Millisecond
	// standbyListMargin is the margin on the period of a standby's reads before a gap counts as an
	// outage.
	standbyListMargin = 500 * time.Millisecond
	// recordPeriod is the time between two beats of a minion, in which it writes its record, with a
	// margin.
	recordPeriod = 1700 * time.Millisecond
	// maxListGap is the longest time between two reads of the list in which no minion can have joined it
	// and left it again by falling silent, which takes three beats.
	maxListGap = 2 * recordPeriod
)

// recordListRead records a successful read of the minion list that followed the one before after the
// planned delay or later. During a longer gap the store may have been unavailable to the minions, too:
// each writes its record within recordPeriod after the first answer.
func recordListRead(w *quetzalwork.World, planned time.Duration) {
	l := &w.MinionList
	if gap := l.SentAt.Sub(l.ReadSentAt); l.AnsweredAt == 0 || gap > max(maxMinionListAge, planned+standbyListMargin) {
		l.CurrentFrom = w.Now.Add(recordPeriod)
		if l.AnsweredAt != 0 {
			w.Log(quetzalwork.Decision{Part: quetzalwork.PartStore, Message: "The minion list can be read again. Minions that do not enforce their capacity get no work before their next records.", Age: gap})
		}
	}
	l.ReadSentAt = l.SentAt
	for _, p := range w.Pools.All() {
		p.NeedsPlacement = p.NeedsPlacement || !p.EnforcesCapacity || p.ListTooOld
		p.ListTooOld = false
	}
}

// startDeadline returns the instant until which orders to start may be sent by the minion list that is
// known.
func startDeadline(w *quetzalwork.World) quetzalunit.Instant {
	notice := w.Bounds.DrainNotice
	if notice == 0 {
		notice = defaultDrainNotice
	}
	return w.MinionList.ReadSentAt.Add(notice - orderTransitMargin)
}

// listPermitsStarts reports whether the records of a pool's minions are recent enough for starts. It
// marks the pool for placement at the next read if they are not.
func listPermitsStarts(w *quetzalwork.World, p *quetzalwork.Pool) bool {
	if listIsCurrent(w, p) {
		return true
	}
	if w.Now < startDeadline(w) {
		return false
	}
	if !p.ListTooOld && len(p.ReadySteps)+len(p.LateSteps) > 0 {
		p.ListTooOld = true
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartPlacement, Message: "The minion list is too old for starts.", Pool: p.ID, Age: w.Now.Sub(w.MinionList.ReadSentAt)})
	}
	return false
}

// listIsCurrent is listPermitsStarts without an effect.
func listIsCurrent(w *quetzalwork.World, p *quetzalwork.Pool) bool {
	return w.Now < startDeadline(w) && capacitiesKnown(w, p)
}

// capacitiesKnown reports whether the records of a pool's minions show their present capacities. A
// minion that enforces its capacity rejects a start that exceeds it.
func capacitiesKnown(w *quetzalwork.World, p *quetzalwork.Pool) bool {
	l := &w.MinionList
	return p.EnforcesCapacity || w.Now.Sub(l.ReadSentAt) <= maxMinionListAge && l.ReadSentAt >= l.CurrentFrom
}
