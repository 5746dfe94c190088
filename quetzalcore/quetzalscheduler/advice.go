package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// maxAdviceMinions is the maximum number of minions in one request to the advisor.
	maxAdviceMinions = 30
	// adviceTimeoutMargin is added to the response time that the advisor declares, since the
	// request may queue behind other requests of this entry.
	adviceTimeoutMargin = 2 * time.Second
	// adviceRetryDelay is the delay before a retry after a failed request, or after an answer that
	// permits no minion.
	adviceRetryDelay = 200 * time.Millisecond
)

// needsAdvice reports whether the advisor must be asked before the step can be placed: its
// queue requires advice, and the step has no valid answer that permits a minion that could run it.
func needsAdvice(w *quetzalwork.World, s *quetzalwork.Step) bool {
	q := w.Queues.At(w.QueueByID.Get(w.Jobs.At(s.Job).Queue))
	return q != nil && q.Advice != nil && (w.Now >= s.Advice.ValidUntil || !fitsTicketed(w, s))
}

// fitsTicketed reports whether a task of a step fits on a minion for which the step has a ticket, now
// or when other runs have ended. The minion may have shrunk or left since the advisor answered.
func fitsTicketed(w *quetzalwork.World, s *quetzalwork.Step) bool {
	for id := range s.Advice.Tickets {
		m := w.Minions.At(w.MinionByID.Get(id))
		if m != nil && m.Listed && !m.Replaced && !m.Draining && needsOf(s.Spec).FitsIn(m.Capacity) {
			return true
		}
	}
	return false
}

// requestAdvice asks the advisor which minions may run a step. It names up to maxAdviceMinions
// usable minions whose total capacity is large enough, starting at a random one, so that a retry
// is likely to name others. It returns the time of the next try, zero if an input triggers it.
func requestAdvice(w *quetzalwork.World, p *quetzalwork.Pool, stepRow quetzalwork.Row) quetzalunit.Instant {
	s := w.Steps.At(stepRow)
	if s.Advice.RequestInFlight || w.Now < s.Advice.RetryAt {
		return s.Advice.RetryAt
	}
	q := w.Queues.At(w.QueueByID.Get(w.Jobs.At(s.Job).Queue))
	c := quetzalwork.RequestAdvice{
		Step: stepRow, Name: quetzalwork.TaskID{Job: w.Jobs.At(s.Job).ID, TaskRef: quetzalwork.TaskRef{Occurrence: s.Occurrence, Step: s.Index}},
	}
	offset := w.Rand().IntN(max(1, len(p.Minions)))
	for i := range p.Minions {
		m := w.Minions.At(p.Minions[(i+offset)%len(p.Minions)])
		if len(c.Minions) < maxAdviceMinions && usable(w, m) && needsOf(s.Spec).FitsIn(m.Capacity) {
			c.Minions = append(c.Minions, m.ID)
		}
	}
	if len(c.Minions) == 0 {
		return 0
	}
	s.Advice.RequestInFlight = true
	c.Timeout = q.Advice.Base + time.Duration(len(c.Minions))*q.Advice.PerMinion + adviceTimeoutMargin
	w.Emit(c)
	return 0
}

// handleAdvice applies the advisor's answer to a step and requests a placement pass.
func handleAdvice(w *quetzalwork.World, in *quetzalwork.AdviceAnswered) {
	s := w.Steps.At(in.Step)
	if s == nil {
		return
	}
	s.Advice.RequestInFlight = false
	p := w.Pools.At(w.Jobs.At(s.Job).Pool)
	if !in.OK {
		s.Advice.RetryAt = w.Now.Add(adviceRetryDelay)
		p.NeedsPlacement = true
		return
	}
	s.Advice.ValidUntil = w.Now.Add(in.ValidFor)
	s.Advice.Tickets = in.Tickets
	if len(in.Tickets) == 0 {
		// None of these minions may run the step: ask again about others.
		s.Advice.ValidUntil, s.Advice.RetryAt = 0, w.Now.Add(adviceRetryDelay)
	}
	p.NeedsPlacement = true
}

// ticketFor returns the advisor's ticket to run a step on a minion, or "" if none is needed.
func ticketFor(w *quetzalwork.World, s *quetzalwork.Step, minion quetzalwork.Row) quetzalunit.Ticket {
	return s.Advice.Tickets[w.Minions.At(minion).ID]
}
