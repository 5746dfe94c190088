package quetzalscheduler

import (
	"fmt"
	"time"

	"quetzalstair/quetzalcore/quetzalwork"
)

// overdue.go repeats calls to minions whose answer is overdue. Any call may be lost, or its answer may be. At the peak of a
// queue a minion has many calls a second, and a dispatcher that waited for their timeouts would not know of the ends on a large
// part of its minions. A second call beside the first costs little if the first one is only slow, and its connection stays.

const (
	// The answer to a call is overdue after the time that few answers of the minion take, at least minAnswerTimeout and
	// at most maxAnswerTimeout.
	minAnswerTimeout = 100 * time.Millisecond
	maxAnswerTimeout = 700 * time.Millisecond
	// busyPollWait is how long a minion that has runs which soon end may delay its answer to a poll. A lost poll shows after
	// this time.
	busyPollWait = 250 * time.Millisecond
)

// overdueAfter returns the time after which the answer of a minion to a call is overdue.
func overdueAfter(m *quetzalwork.Minion) time.Duration {
	return min(maxAnswerTimeout, max(minAnswerTimeout, m.AnswerDelay.Bound(maxAnswerTimeout)))
}

// observeAnswerDelay records how long a minion has taken to answer a call. A poll is answered at once when a run ends, so that
// only what exceeds its wait is known to be delay.
func observeAnswerDelay(m *quetzalwork.Minion, delay time.Duration) {
	if delay > 0 {
		m.AnswerDelay.Observe(delay)
	}
}

// longestPollWait returns how long a minion may delay its answer to a poll until a run ends.
func longestPollWait(w *quetzalwork.World, m *quetzalwork.Minion) time.Duration {
	for _, run := range m.Runs {
		if r := w.Runs.At(run); !w.Steps.At(w.Tasks.At(r.Task).Step).Spec.LongRunning {
			return busyPollWait
		}
	}
	return pollWait
}

// probeIfOverdue sends a probe if the answer of a minion to a poll is overdue. A probe is a poll that renews no lease and
// acknowledges no ends, whenever it is carried out. The first answer of the two counts.
func probeIfOverdue(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	if !m.PollInFlight || m.ProbeInFlight || !m.Answered || m.MissedAnswers > 0 || w.Now.Sub(m.PolledAt) < m.PollWait+overdueAfter(m) {
		return
	}
	m.ProbeInFlight, m.ProbedAt = true, w.Now
	w.Emit(quetzalwork.PollMinion{Minion: row, Target: targetOf(w, m), SeenThrough: m.Ends.SeenThrough(), SentAt: w.Now})
}

// settlePoll records that a poll or a probe of a minion has ended. It returns false if its result does not count: the other one
// of the two has been answered before, or a probe has no answer while the poll may still get one.
func settlePoll(w *quetzalwork.World, in *quetzalwork.MinionPolled) bool {
	m := w.Minions.At(in.Minion)
	_, unanswered := in.Result.(quetzalwork.OrderUnanswered)
	switch {
	case m.ProbeInFlight && in.SentAt == m.ProbedAt:
		m.ProbeInFlight = false
		if unanswered {
			return false
		}
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartMinion, Message: "A poll is overdue; the answer to the second one counts.", Minion: m.ID, Pool: m.Pool, Version: int64(m.Ends.SeenThrough()),
			Age: w.Now.Sub(m.PolledAt), Reason: fmt.Sprintf("Sent%dms", w.Now.Sub(m.ProbedAt).Milliseconds()), Routine: true,
		})
		// The minion may carry out the poll after the probe.
		m.PollInFlight, m.PollWait = false, 0
		abandonAck(w, m)
		return true
	case !m.PollInFlight || in.SentAt != m.PolledAt:
		return false
	case m.ProbeInFlight && unanswered && !m.Acknowledging:
		m.PolledAt, m.PollWait, m.ProbeInFlight = m.ProbedAt, 0, false
		return true
	}
	m.PollInFlight, m.ProbeInFlight = false, false
	return true
}

// repeatOverdueStart sends the order to start a run once more if its answer is overdue. The minion starts the run once: its
// number is the same. A task that may crash its minion is left alone, since the order might reach the next process.
func repeatOverdueStart(w *quetzalwork.World, row quetzalwork.Row) {
	r := w.Runs.At(row)
	if r == nil || w.Stopping || r.State != quetzalwork.RunStarting || r.OrdersInFlight != 1 || r.OrderedAt != r.StartedAt {
		return
	}
	m, t := w.Minions.At(r.Minion), w.Tasks.At(r.Task)
	s := w.Steps.At(t.Step)
	if w.Now.Sub(r.OrderedAt) < overdueAfter(m) || t.Suspect || t.Crashes > 0 || s.Spec.Gang || r.StartToken != orderToken(w, m) ||
		!usable(w, m) || !mayExtendLeases(w) || !listPermitsStarts(w, w.Pools.At(m.PoolRow)) {
		return
	}
	task := taskName(w, t)
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "The order to start a run is sent once more.", Job: task.Job, Task: task.TaskRef, Run: r.Number, Minion: m.ID, Pool: m.Pool,
		Version: int64(w.Pools.At(m.PoolRow).Token), Age: w.Now.Sub(r.OrderedAt), Routine: true,
	})
	r.OrderedAt, r.OrdersInFlight = w.Now, r.OrdersInFlight+1
	w.Emit(startOrder(w, row, ticketFor(w, s, r.Minion)))
}

// settleStart records that an order to start a run has ended. It returns false if its result does not decide about the run: that
// is known, or the same order was sent twice and the other one is still in flight.
func settleStart(w *quetzalwork.World, r *quetzalwork.Run, in *quetzalwork.StartAnswered) bool {
	r.OrdersInFlight--
	_, lost := in.Result.(quetzalwork.OrderUnanswered)
	if r.State != quetzalwork.RunStarting {
		if !lost {
			noteRepeatedAnswer(w, w.Minions.At(r.Minion), taskName(w, w.Tasks.At(r.Task)), r.Number)
		}
		return false
	}
	if lost {
		r.OrdersLost++
	}
	switch in.Result.(type) {
	case quetzalwork.OrderAccepted, quetzalwork.OrderOutdated:
		return true
	default:
		return r.OrdersInFlight == 0
	}
}

// startResult returns what the last answer to the orders to start a run shows. An order that is rejected does not tell what
// became of one without an answer.
func startResult(r *quetzalwork.Run, result quetzalwork.OrderResult) quetzalwork.OrderResult {
	switch result.(type) {
	case quetzalwork.OrderAccepted, quetzalwork.OrderOutdated:
		return result
	default:
		if r.OrdersLost > 0 {
			return quetzalwork.OrderUnanswered{}
		}
		return result
	}
}

// noteOtherOrder records that one of two orders to start a run is known to be carried out, by its answer or, if reported is true, by
// a report before any answer, while the other one has no answer, or none yet.
func noteOtherOrder(w *quetzalwork.World, r *quetzalwork.Run, reported bool) {
	open := r.OrdersInFlight + r.OrdersLost
	if reported {
		open--
	}
	if open > 0 {
		noteUnansweredStart(w, r, true)
	}
}
