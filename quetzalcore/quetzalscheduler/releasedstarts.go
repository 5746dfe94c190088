package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// releasedstarts.go tells a successor which orders to start of earlier dispatchers the next process of a minion may still carry
// out. That process may end such a run before an acknowledgement for the former one reaches it.

// unreleasedStartDelay is how long after a takeover from a dispatcher that did not release the duty its orders to start count
// as under way. One that has ended is taken over from memberTimeout after its last renewal. A longer delay would keep ends from
// being acknowledged in time.
const unreleasedStartDelay = 1500 * time.Millisecond

// lateStarts returns the orders to start on a pool's minions that have no answer and may still be carried out.
func lateStarts(w *quetzalwork.World, p *quetzalwork.Pool) []quetzalwork.LateStart {
	starts := remainingLateStarts(w, p, func(id quetzalunit.MinionID) bool {
		m := w.Minions.At(w.MinionByID.Get(id))
		return m == nil || m.FirstAnsweredAt == 0
	})
	add := func(m *quetzalwork.Minion, u quetzalwork.UnansweredStart) {
		if left := u.SentAt.Add(maxCallDelay).Sub(w.Now); left > 0 {
			starts = append(starts, quetzalwork.LateStart{Minion: m.ID, Task: u.Task, Number: u.Number, Left: left})
		}
	}
	for _, row := range p.Minions {
		m := w.Minions.At(row)
		for _, u := range m.UnansweredStarts {
			add(m, u)
		}
		for _, run := range m.Runs {
			if r := w.Runs.At(run); r.State == quetzalwork.RunStarting {
				add(m, quetzalwork.UnansweredStart{Task: taskName(w, w.Tasks.At(r.Task)), Number: r.Number, SentAt: r.OrderedAt})
			}
		}
	}
	return starts
}

// remainingLateStarts returns the orders of which the predecessor told, with the times that are left.
func remainingLateStarts(w *quetzalwork.World, p *quetzalwork.Pool, counts func(quetzalunit.MinionID) bool) []quetzalwork.LateStart {
	var starts []quetzalwork.LateStart
	if p.ReleasedLeases == nil {
		return nil
	}
	for _, s := range p.ReleasedLeases.LateStarts {
		if s.Left -= w.Now.Sub(p.ReleasedFrom); s.Left > 0 && counts(s.Minion) {
			starts = append(starts, s)
		}
	}
	return starts
}

// nameLateStarts lets a release name orders to start, or tell of them in general if they are many.
func nameLateStarts(l *quetzalwork.ReleasedLeases, starts []quetzalwork.LateStart) {
	if len(starts) <= maxNamedMinions {
		l.LateStarts = starts
		return
	}
	for _, s := range starts {
		l.UnnamedStarts = max(l.UnnamedStarts, s.Left)
	}
}

// inheritLateStarts records the orders to start on a minion of which the predecessor told, when the minion answers for the
// first time.
func inheritLateStarts(w *quetzalwork.World, p *quetzalwork.Pool, m *quetzalwork.Minion) {
	for _, s := range remainingLateStarts(w, p, func(id quetzalunit.MinionID) bool { return id == m.ID }) {
		u := quetzalwork.UnansweredStart{Task: s.Task, Number: s.Number, SentAt: w.Now.Add(s.Left - maxCallDelay)}
		if m.UnansweredStarts = append(m.UnansweredStarts, u); m.RestartSeenAt > u.SentAt {
			deferLateStarts(w, m)
		}
	}
}

// unnamedStartsEnd returns the instant until which orders to start of earlier dispatchers that no release names count as
// under way.
func unnamedStartsEnd(p *quetzalwork.Pool) quetzalunit.Instant {
	switch {
	case p.ReleasedLeases != nil:
		return p.ReleasedFrom.Add(p.ReleasedLeases.UnnamedStarts)
	case hadDispatcher(p):
		return p.HeldSince.Add(unreleasedStartDelay)
	}
	return p.HeldSince
}

// mayStartLate reports whether the next process of a minion may still carry out an order to start that had no answer, though
// the known one has accepted the order to stop the run, or that an earlier dispatcher has sent. With many ends the answers of
// the minion have no room for further ones, so that these must be acknowledged.
func mayStartLate(w *quetzalwork.World, m *quetzalwork.Minion) bool {
	late := func(u quetzalwork.UnansweredStart) bool { return w.Now <= u.SentAt.Add(maxCallDelay) }
	if m.Ends.Acknowledgeable() >= maxHeldEnds {
		return false
	}
	return w.Now <= unnamedStartsEnd(w.Pools.At(m.PoolRow)) || slices.ContainsFunc(m.UnansweredStarts, late)
}
