package quetzalscheduler

import (
	"fmt"
	"slices"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// unansweredack.go tells of acknowledgements that the next process of a minion may have got. It counts its ends anew, so that
// it forgets those up to the acknowledged number.

// noteAckSent records that a poll carries an acknowledgement.
func noteAckSent(w *quetzalwork.World, m *quetzalwork.Minion, c *quetzalwork.PollMinion) {
	if c.AckedThrough == 0 {
		return
	}
	m.UnansweredAcks = slices.DeleteFunc(m.UnansweredAcks, func(a quetzalwork.UnansweredAck) bool { return w.Now > a.SentAt.Add(maxCallDelay) })
	m.UnansweredAcks = append(m.UnansweredAcks, quetzalwork.UnansweredAck{Through: c.AckedThrough, SentAt: c.SentAt})
}

// forgetUnansweredAck forgets the acknowledgement in a poll that the process for which it was meant has carried out, or
// that cannot be carried out any more.
func forgetUnansweredAck(m *quetzalwork.Minion, sentAt quetzalunit.Instant) {
	m.UnansweredAcks = slices.DeleteFunc(m.UnansweredAcks, func(a quetzalwork.UnansweredAck) bool { return a.SentAt == sentAt })
}

// logAcksAtRisk logs that another process of a minion may have got the acknowledgements without an answer. At risk
// are the runs that the known process has not reported: if the other one has ended any, nobody may have read its end.
func logAcksAtRisk(w *quetzalwork.World, m *quetzalwork.Minion) {
	acks := m.UnansweredAcks
	if m.UnansweredAcks = nil; len(acks) == 0 {
		return
	}
	last := acks[len(acks)-1]
	if w.Now > last.SentAt.Add(maxCallDelay) {
		return
	}
	runs := 0
	for _, row := range m.Runs {
		if !w.Runs.At(row).Reported {
			runs++
		}
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "Another process of the minion may have got an acknowledgement.", Minion: m.ID, Pool: m.Pool, Version: int64(last.Through),
		Age: w.Now.Sub(last.SentAt), Reason: fmt.Sprintf("Runs%d", runs),
	})
}

// logAbsentRun logs that a minion neither runs nor has ended a run whose order to start it has accepted. The numbers
// in the reason are those of the last end that is applied and of the last one that may be acknowledged.
func logAbsentRun(w *quetzalwork.World, r *quetzalwork.Run, proof *quetzalwork.Proof) {
	m, t := w.Minions.At(r.Minion), w.Tasks.At(r.Task)
	reason := fmt.Sprintf("Seen%dAcked%d", m.Ends.SeenThrough(), m.Ends.SettledThrough())
	if m.RestartSeenAt >= r.StartedAt {
		reason = "Restarted" + reason
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "The minion has neither an accepted run nor its end.", Job: w.Jobs.At(w.Steps.At(t.Step).Job).ID, Task: taskRef(w, t), Run: r.Number,
		Minion: m.ID, Pool: m.Pool, Version: int64(m.Incarnation), Age: w.Now.Sub(r.StartedAt), Reason: reason, Proof: proof,
	})
}
