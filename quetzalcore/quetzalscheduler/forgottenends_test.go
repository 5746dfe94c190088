package quetzalscheduler_test

import (
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
