package quetzalscheduler

import (
	"slices"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// unansweredstart.go keeps tasks from being started again while a later process of a minion may carry out an earlier order
// to start them. What a process of the minion has accepted since, an order to stop that run or a higher token, is unknown to
// the next one. Only the restart of a minion shows that there may be another.

// noteUnansweredStart records that an order to start a run had no answer. repeated tells that another order to start it had one.
func noteUnansweredStart(w *quetzalwork.World, r *quetzalwork.Run, repeated bool) {
	m := w.Minions.At(r.Minion)
	m.UnansweredStarts = slices.DeleteFunc(m.UnansweredStarts, func(u quetzalwork.UnansweredStart) bool { return w.Now > u.SentAt.Add(maxCallDelay) })
	m.UnansweredStarts = append(m.UnansweredStarts, quetzalwork.UnansweredStart{
		Task: taskName(w, w.Tasks.At(r.Task)), Number: r.Number, SentAt: r.OrderedAt, Repeated: repeated,
	})
	if m.RestartSeenAt > r.StartedAt {
		deferLateStarts(w, m)
	}
}

// forgetUnansweredStart forgets an order to start a run that a minion has carried out.
func forgetUnansweredStart(m *quetzalwork.Minion, task quetzalwork.TaskID, number quetzalunit.RunNumber) {
	m.UnansweredStarts = slices.DeleteFunc(m.UnansweredStarts, func(u quetzalwork.UnansweredStart) bool { return !u.Repeated && u.Task == task && u.Number == number })
}

// hasOpenOrder reports whether a second order to start a run, which has been carried out, may still be carried out by the next process
// of its minion.
func hasOpenOrder(w *quetzalwork.World, m *quetzalwork.Minion, r *quetzalwork.Run) bool {
	task := taskName(w, w.Tasks.At(r.Task))
	return slices.ContainsFunc(m.UnansweredStarts, func(u quetzalwork.UnansweredStart) bool {
		return u.Repeated && u.Task == task && u.Number == r.Number && w.Now <= u.SentAt.Add(maxCallDelay)
	})
}

// noteRepeatedAnswer records that the second one of two orders to start a run has been answered as well, by the known process of the
// minion or by a later one.
func noteRepeatedAnswer(w *quetzalwork.World, m *quetzalwork.Minion, task quetzalwork.TaskID, number quetzalunit.RunNumber) {
	for i := range m.UnansweredStarts {
		if u := &m.UnansweredStarts[i]; u.Repeated && u.Task == task && u.Number == number {
			u.AnsweredAt = w.Now
		}
	}
}

// forgetAnsweredStarts forgets the orders to start that the known process of a minion has carried out: it has answered a poll
// that was sent after their answer.
func forgetAnsweredStarts(m *quetzalwork.Minion, pollSentAt quetzalunit.Instant) {
	m.UnansweredStarts = slices.DeleteFunc(m.UnansweredStarts, func(u quetzalwork.UnansweredStart) bool { return u.AnsweredAt != 0 && u.AnsweredAt < pollSentAt })
}

// deferLateStarts makes the tasks wait that a later process of a minion that has restarted may still start by an order without
// an answer. A long-running task must not be unavailable for so long.
func deferLateStarts(w *quetzalwork.World, m *quetzalwork.Minion) {
	for _, u := range m.UnansweredStarts {
		t := w.Tasks.At(findTask(w, w.JobByID.Get(u.Task.Job), u.Task.TaskRef))
		if t == nil {
			continue
		}
		if spec := w.Steps.At(t.Step).Spec; !spec.Speculative && !spec.LongRunning {
			t.NotBefore = max(t.NotBefore, u.SentAt.Add(maxCallDelay))
		}
	}
}

// latePollLeaseEnd returns the instant after which the longest lease has expired that a minion which is known to have restarted
// may get by a poll of an earlier dispatcher that is carried out late. That one learns of the restart within dutyValidity,
// and then polls with a higher token.
func latePollLeaseEnd(w *quetzalwork.World, p *quetzalwork.Pool, m *quetzalwork.Minion) quetzalunit.Instant {
	if m.RestartSeenAt == 0 {
		return 0
	}
	return min(grantsEnd(p), m.RestartSeenAt.Add(dutyValidity)).Add(maxCallDelay + restartedLeaseExpiry(w))
}

// lateLeaseExpiry returns the instant at which the lease of a minion has expired that does not answer. The next process of
// one that has restarted may get the longest lease with each order to start and with a poll that are carried out late.
func lateLeaseExpiry(w *quetzalwork.World, m *quetzalwork.Minion) quetzalunit.Instant {
	expiry := leaseExpiry(m)
	if m.Answered {
		return expiry
	}
	if m.LeasePolledAt != 0 {
		expiry = max(expiry, m.LeasePolledAt.Add(maxCallDelay+restartedLeaseExpiry(w)))
	}
	for _, u := range m.UnansweredStarts {
		expiry = max(expiry, u.SentAt.Add(maxCallDelay+restartedLeaseExpiry(w)))
	}
	return expiry
}
