package quetzalscheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Guards against an end that a later one acknowledges before it is stored: the minion was taken for gone in between, by
// an answer of another minion at its address, a late notice of its host or a later minion there, and reports on.
func TestEndOfAMinionThatWasTakenForGoneIsStored(t *testing.T) {
	for name, takeForGone := range map[string]func(d *dispatcher, answer *quetzalwork.OrderResult){
		"misdirected": func(d *dispatcher, answer *quetzalwork.OrderResult) {
			*answer = quetzalwork.OrderMisdirected{}
			d.run(100 * time.Millisecond)
		},
		"withdrawn": func(d *dispatcher, _ *quetzalwork.OrderResult) {
			d.tick(quetzalwork.PeerMessageReceived{Message: quetzalwork.NotifyHostWithdrawn{Pool: testPool, Host: "h0"}})
		},
		"replaced": func(d *dispatcher, _ *quetzalwork.OrderResult) {
			later := testMinions[0]
			later.ID, later.Address, later.Incarnation = "m1", "m1", 2
			d.tick(quetzalwork.MinionsListed{SeenRevision: testToken + 1, Minions: []quetzalwork.MinionRecord{later}})
		},
	} {
		d := newDispatcher(t, accepted(testJob, oldDuty))
		d.recordsProgress = true
		ends := []quetzalwork.ReportedEnd{{Number: 1, Task: quetzalwork.TaskID{Job: testJob}, Run: 1}}
		var answer quetzalwork.OrderResult
		var acked quetzalunit.EndNumber
		d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
			in := d.idle(c)
			if c.Target.Minion != "m0" {
				return in
			}
			acked = max(acked, c.AckedThrough)
			if in.Ends = ends[acked:]; answer != nil {
				in.Result, in.Ends, answer = answer, nil, nil
			}
			return in
		}
		d.run(2 * time.Second)
		require.Len(t, d.stored, 1, name)
		takeForGone(d, &answer)
		ends = append(ends, quetzalwork.ReportedEnd{Number: 2, Task: quetzalwork.TaskID{Job: testJob}, Run: 2, Outcome: quetzalwork.OutcomeStopped})
		d.run(2 * time.Second)
		require.Zero(t, acked, name)
		d.storesAll()
		require.Equal(t, quetzalunit.EndNumber(2), acked, name)
	}
}

// Guards against an end that is acknowledged unstored: the minion was taken for gone while a poll was in flight, so that its ends
// count anew, and the answer leaves out those that were applied when the poll was sent.
func TestEndThatAnAnswerLeavesOutIsNotAcknowledgedUnstored(t *testing.T) {
	later := testMinions[0]
	later.ID, later.Address, later.Incarnation = "m1", "m1", 2
	for name, takenForGone := range map[string]quetzalwork.Input{
		"withdrawn": quetzalwork.PeerMessageReceived{Message: quetzalwork.NotifyHostWithdrawn{Pool: testPool, Host: "h0"}},
		"replaced":  quetzalwork.MinionsListed{SeenRevision: testToken + 1, Minions: []quetzalwork.MinionRecord{later}},
	} {
		d := newDispatcher(t, accepted(testJob, oldDuty))
		d.recordsProgress = true
		stopped := quetzalwork.ReportedEnd{Number: 1, Task: quetzalwork.TaskID{Job: testJob}, Run: 1, Outcome: quetzalwork.OutcomeStopped}
		ends := []quetzalwork.ReportedEnd{stopped, {Number: 2, Task: quetzalwork.TaskID{Job: testJob}, Run: 2}}
		var held *quetzalwork.PollMinion
		delaysNext := false
		answer := func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
			in := d.idle(c)
			in.EndsAfter = c.SeenThrough
			in.Ends = slices.DeleteFunc(slices.Clone(ends), func(e quetzalwork.ReportedEnd) bool { return e.Number > 1 && e.Number <= c.SeenThrough })
			return in
		}
		d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
			switch {
			case c.Target.Minion != "m0":
				return d.idle(c)
			case delaysNext && held == nil:
				held = &c
				return quetzalwork.MinionPolled{}
			}
			return answer(c)
		}
		d.run(2 * time.Second)
		delaysNext = true
		d.run(100 * time.Millisecond)
		require.NotNil(t, held, name)
		require.Equal(t, quetzalunit.EndNumber(2), held.SeenThrough, name)
		d.tick(takenForGone)
		stopped.Number, stopped.Run = 3, 3
		ends = append(ends, stopped)
		d.tick(answer(*held))
		d.run(2 * time.Second)
		require.LessOrEqual(t, d.acked(), quetzalunit.EndNumber(1), name)
		d.storesAll()
		require.Equal(t, quetzalunit.EndNumber(3), d.acked(), name)
	}
}
