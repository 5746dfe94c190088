package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// acknowledgement.go decides when a poll may acknowledge ends. A poll names the last of them by its number, and each
// process of a minion numbers its ends anew. Where connections outlive processes, a poll for the process that listed the
// ends may be carried out by the next one, which would forget ends that nobody has read. The next process can have ends only
// of orders to start that it has carried out. A poll therefore acknowledges ends only if the known process has carried out
// all orders to start so far, and no further order has the same token before the poll is answered.

// ackPatience is how long ends wait for a moment in which the known process has carried out all orders to start. After
// that the minion gets no new run until they are acknowledged.
const ackPatience = 300 * time.Millisecond

// maxHeldEnds is the number of ends from which on they are acknowledged beside orders to start that may be carried out
// late. An answer has room for 500 ends.
const maxHeldEnds quetzalunit.EndNumber = 250

// ackDue reports whether a minion lists ends that may be acknowledged.
func ackDue(m *quetzalwork.Minion) bool {
	return m.Ends.Acknowledgeable() > 0
}

// beginAck lets the next poll of a minion acknowledge ends if there are any and it is permitted. The poll is sent in this
// tick, before any further order to start.
func beginAck(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	if m.PollInFlight || m.MissedAnswers > 0 || !m.Answered || !ackDue(m) {
		return
	}
	if slices.ContainsFunc(m.Runs, func(run quetzalwork.Row) bool { return mayRunOnLaterProcess(w, m, w.Runs.At(run)) }) || mayStartLate(w, m) {
		return
	}
	m.Acknowledging, m.NextPollAt = true, w.Now
}

// mayRunOnLaterProcess reports whether a later process than the known one may have carried out the order to start a run. The known
// one has if it has reported the run, or if it has answered a poll that was sent after the answer to the order.
func mayRunOnLaterProcess(w *quetzalwork.World, m *quetzalwork.Minion, r *quetzalwork.Run) bool {
	switch r.State {
	case quetzalwork.RunStarted:
		return !r.Reported && r.AnsweredAt >= m.ReportSentAt
	case quetzalwork.RunStartUnanswered:
		return w.Now <= r.OrderedAt.Add(maxCallDelay)
	case quetzalwork.RunStarting:
		return true
	}
	return true
}

// confirmAck records that the known process of a minion has answered a poll that was sent at an instant, with the ends
// that the poll has acknowledged.
func confirmAck(w *quetzalwork.World, m *quetzalwork.Minion, sentAt quetzalunit.Instant) {
	m.ReportSentAt = sentAt
	forgetAnsweredStarts(m, sentAt)
	if sentAt >= m.LeasePolledAt {
		m.LeasePolledAt = 0
	}
	if m.Acknowledging {
		m.Ends.Forget(m.AckPollThrough)
		m.Acknowledging, m.AckDueSince = false, w.Now
		w.Pools.At(m.PoolRow).NeedsPlacement = true
	}
}

// abandonAck ends the wait for the answer to a poll that acknowledges ends. The poll may be carried out later, so that
// calls after it have a higher token.
func abandonAck(w *quetzalwork.World, m *quetzalwork.Minion) {
	if m.Acknowledging {
		m.Acknowledging = false
		raiseOrderToken(w, m)
	}
}

// awaitsAck reports whether a minion gets no new run because ends are being acknowledged, or have waited for that for
// longer than ackPatience. Orders to start that may be carried out late would take too long.
func awaitsAck(w *quetzalwork.World, m *quetzalwork.Minion) bool {
	return m.Acknowledging || ackDue(m) && w.Now.Sub(m.AckDueSince) > ackPatience && !mayStartLate(w, m)
}
