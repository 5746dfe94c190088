package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// adviceMinions bounds the minions of one question.
	adviceMinions = 30
	// adviceSlack is added to the time that the advisor announces: other questions of this
	// entry may be before this one.
	adviceSlack = 2 * time.Second
	// adviceRetry is the pause after a question without an answer.
	adviceRetry = 200 * time.Millisecond
)

// needsAdvice tells whether a step must ask the advisor before it is placed.
func needsAdvice(w *quetzalwork.World, s *quetzalwork.Step) bool {
	q := w.Queues.At(w.QueueByID.Get(w.Jobs.At(s.Job).Queue))
	return q != nil && q.Advice != nil && w.Now >= s.Advice.Until
}

// askAdvice asks which minions may run a step, those with the most room first.
func askAdvice(w *quetzalwork.World, p *quetzalwork.Pool, stepRow quetzalwork.Row) quetzalunit.Instant {
	s := w.Steps.At(stepRow)
	if s.Advice.Asking || w.Now < s.Advice.RetryAt {
		return s.Advice.RetryAt
	}
	q := w.Queues.At(w.QueueByID.Get(w.Jobs.At(s.Job).Queue))
	c := quetzalwork.AskAdvice{
		Step: stepRow, Name: quetzalwork.TaskName{Job: w.Jobs.At(s.Job).ID, TaskRef: quetzalwork.TaskRef{Occurrence: s.Occurrence, Step: s.Index}},
	}
	offset := w.Rand().IntN(max(1, len(p.Minions)))
	for i := range p.Minions {
		m := w.Minions.At(p.Minions[(i+offset)%len(p.Minions)])
		if len(c.Minions) < adviceMinions && usable(w, m) && needsOf(s.Spec).Fits(m.Room) {
			c.Minions = append(c.Minions, m.ID)
		}
	}
	if len(c.Minions) == 0 {
		return 0
	}
	s.Advice.Asking = true
	c.Timeout = q.Advice.Base + time.Duration(len(c.Minions))*q.Advice.PerMinion + adviceSlack
	w.Emit(c)
	return 0
}

func hearAdvice(w *quetzalwork.World, in *quetzalwork.AdviceGiven) {
	s := w.Steps.At(in.Step)
	if s == nil {
		return
	}
	s.Advice.Asking = false
	p := w.Pools.At(w.Jobs.At(s.Job).Pool)
	if !in.OK {
		s.Advice.RetryAt = w.Now.Add(adviceRetry)
		p.Dirty = true
		return
	}
	s.Advice.Until = w.Now.Add(in.Valid)
	s.Advice.Tickets = in.Tickets
	if len(in.Tickets) == 0 {
		// None of those asked may run it; the next question names others.
		s.Advice.Until, s.Advice.RetryAt = 0, w.Now.Add(adviceRetry)
	}
	p.Dirty = true
}

// ticketFor is the advisor's ticket for a minion, empty where none is needed.
func ticketFor(w *quetzalwork.World, s *quetzalwork.Step, minion quetzalwork.Row) quetzalunit.Ticket {
	return s.Advice.Tickets[w.Minions.At(minion).ID]
}
