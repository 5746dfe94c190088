package quetzalscheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalscheduler"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Guards against an acknowledgement by a successor that the next process of a minion gets behind an order to start of the
// dispatcher before.
func TestSuccessorAcknowledgesNoEndBehindALateStart(t *testing.T) {
	const left = 4 * time.Second
	holder := quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"}
	late := quetzalwork.LateStart{Minion: "m1", Task: quetzalwork.TaskID{Job: otherJob}, Number: 7, Left: left}
	elsewhere := late
	elsewhere.Minion = "m2"
	for name, test := range map[string]struct {
		duty    quetzalwork.Duty
		started bool
		// earliest is the time from the release, or from the takeover of a duty that was not released.
		earliest time.Duration
	}{
		"start that the release names":     {released(testToken, quetzalwork.ReleasedLeases{LateStarts: []quetzalwork.LateStart{late}}), false, left},
		"named start that is carried out":  {released(testToken, quetzalwork.ReleasedLeases{LateStarts: []quetzalwork.LateStart{late}}), true, 0},
		"named start on another minion":    {released(testToken, quetzalwork.ReleasedLeases{LateStarts: []quetzalwork.LateStart{elsewhere}}), false, 0},
		"starts that the release counts":   {released(testToken, quetzalwork.ReleasedLeases{UnnamedStarts: left}), true, left},
		"release without starts under way": {released(testToken, quetzalwork.ReleasedLeases{}), false, 0},
		"duty that is taken over unasked":  {quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: oldDuty}, false, 1500 * time.Millisecond},
		"release by an entry of old":       {quetzalwork.Duty{Revision: oldDuty}, false, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuccessor(t, test.duty, holder)
			from := s.now
			silent := s.answerPoll
			s.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
				in := silent(c)
				if c.Target.Minion == "m1" {
					in.Ends = s.unacked([]quetzalwork.ReportedEnd{{Number: 1000, Task: quetzalwork.TaskID{Job: testJob}, Run: 1, Outcome: quetzalwork.OutcomeStopped}})
					if test.started {
						in.Running = []quetzalwork.ReportedRun{{Task: late.Task, Number: late.Number}}
					}
				}
				return in
			}
			s.rows = append(s.rows, accepted(otherJob, oldDuty-10))
			s.runUntilTakeover()
			if test.duty.Leases == nil {
				from = s.takenOverAt
			}
			for s.acked() == 0 && s.now < from.Add(10*time.Second) {
				s.run(20 * time.Millisecond)
			}
			require.Equal(t, quetzalunit.EndNumber(1000), s.acked())
			at := s.now.Sub(from)
			require.GreaterOrEqual(t, at, test.earliest)
			require.Less(t, at, max(test.earliest, s.takenOverAt.Sub(from))+600*time.Millisecond)
		})
	}
}

// A release names the orders to start that have no answer yet.
func TestReleaseNamesStartsInProgress(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, testToken))
	d.startsInProgress, d.answerPoll = true, d.idle
	d.run(2 * time.Second)
	// The order is sent once more, since its answer is overdue.
	require.Len(t, d.starts, 2)
	require.Equal(t, d.starts[0].Number, d.starts[1].Number)
	require.Equal(t, d.starts[0].Target, d.starts[1].Target)
	d.tick(quetzalwork.StopRequested{})
	d.run(300 * time.Millisecond)
	i := slices.IndexFunc(d.releases, func(c quetzalwork.WriteDuty) bool { return c.Pool == testPool })
	require.GreaterOrEqual(t, i, 0)
	named := d.releases[i].Duty.Leases.LateStarts
	require.Len(t, named, 1)
	require.Equal(t, d.starts[0].Number, named[0].Number)
	require.Equal(t, d.starts[0].Target.Minion, named[0].Minion)
}

// A release names the orders to start that had no answer, and those of which the predecessor told.
func TestReleaseNamesLateStarts(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, testToken))
	d.unansweredStarts, d.answerPoll = true, d.idle
	d.run(2 * time.Second)
	require.NotEmpty(t, d.starts)
	d.tick(quetzalwork.StopRequested{})
	d.run(300 * time.Millisecond)
	i := slices.IndexFunc(d.releases, func(c quetzalwork.WriteDuty) bool { return c.Pool == testPool })
	require.GreaterOrEqual(t, i, 0)
	named := d.releases[i].Duty.Leases.LateStarts
	require.Len(t, named, len(d.starts))
	require.Equal(t, d.starts[0].Number, named[0].Number)
	require.Equal(t, d.starts[0].Task, named[0].Task)
	require.Greater(t, named[0].Left, 9*time.Second)
	require.LessOrEqual(t, named[0].Left, 12*time.Second)

	s := newSuccessor(t, released(testToken, quetzalwork.ReleasedLeases{LateStarts: named}), quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	from := s.now
	s.runUntilTakeover()
	s.run(time.Second)
	s.tick(quetzalwork.StopRequested{})
	s.run(300 * time.Millisecond)
	require.Empty(t, s.duty.Holder)
	passedOn := s.duty.Leases.LateStarts
	require.Len(t, passedOn, len(named))
	require.Equal(t, named[0].Number, passedOn[0].Number)
	require.LessOrEqual(t, passedOn[0].Left, named[0].Left)
	require.GreaterOrEqual(t, passedOn[0].Left, named[0].Left-s.now.Sub(from))
}

// Guards against a host that its pool does not give away to one that is short of room: its minion is idle, and its ends are
// recorded, but are not acknowledged while an order to start may be carried out late.
func TestHostIsGivenAwayWhileItsEndsAreHeldBack(t *testing.T) {
	late := quetzalwork.LateStart{Minion: "m1", Task: quetzalwork.TaskID{Job: otherJob}, Number: 7, Left: 10 * time.Second}
	s := newSuccessor(t, released(testToken, quetzalwork.ReleasedLeases{LateStarts: []quetzalwork.LateStart{late}}), quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
	silent := s.answerPoll
	ends := []quetzalwork.ReportedEnd{{Number: 1, Task: quetzalwork.TaskID{Job: testJob}, Run: 1, Outcome: quetzalwork.OutcomeFailed}}
	s.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := silent(c)
		if c.Target.Minion == "m1" {
			in.Ends = s.unacked(ends)
		}
		return in
	}
	s.recordsProgress = true
	s.runUntilTakeover()
	s.run(time.Second)
	require.NotEmpty(t, s.stored)
	require.False(t, s.evacuated("h1"), "the end is not stored")
	s.storesAll()
	require.True(t, s.evacuated("h1"))
	require.Zero(t, s.acked())
}

// evacuated requests that a host is made ready to be ordered away, and returns whether its minion runs nothing.
func (s *successor) evacuated(host quetzalunit.HostID) bool {
	in := quetzalwork.PeerMessageReceived{Message: quetzalwork.EvacuateHost{Pool: testPool, Host: host}}
	for _, cmd := range quetzalscheduler.Tick(s.w, s.now, []quetzalwork.Input{in}) {
		if c, ok := cmd.(quetzalwork.ReplyToPeer); ok {
			return c.Reply.(quetzalwork.EvacuationReply).Empty
		}
	}
	return false
}

// Guards against a host that is given away with a run or an end of a job that its pool's dispatcher does not know yet.
func TestHostIsKeptWhileItsMinionReportsUnknownJobs(t *testing.T) {
	task := quetzalwork.TaskID{Job: otherJob}
	for name, report := range map[string]func(*quetzalwork.MinionPolled){
		"run": func(in *quetzalwork.MinionPolled) { in.Running = []quetzalwork.ReportedRun{{Task: task, Number: 1}} },
		"end": func(in *quetzalwork.MinionPolled) {
			in.Ends = []quetzalwork.ReportedEnd{{Number: 1, Task: task, Run: 1, Outcome: quetzalwork.OutcomeDone}}
		},
	} {
		s := newSuccessor(t, released(testToken, quetzalwork.ReleasedLeases{}), quetzalwork.Member{Entry: "e1", Incarnation: 1, Address: "e1"})
		s.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
			in := s.idle(c)
			if c.Target.Minion == "m1" {
				report(&in)
			}
			return in
		}
		s.runUntilTakeover()
		s.run(500 * time.Millisecond)
		require.False(t, s.evacuated("h1"), name)
	}
}
