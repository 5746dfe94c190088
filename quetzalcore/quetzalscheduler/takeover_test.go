package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalscheduler"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// dispatcher is a World that dispatches testPool, with a test in the place of everything else.
type dispatcher struct {
	t   *testing.T
	w   *quetzalwork.World
	now quetzalunit.Instant
	// readsFail lets reads of the duties fail, rowsFail those of the pool's rows; rows is what a read of the pool's rows returns.
	readsFail, rowsFail bool
	rows                []quetzalwork.JobRow
	// held answers holds; nil leaves them without an answer.
	held func(quetzalwork.HoldMinion) quetzalwork.MinionHeld
	// starts and holds are the orders so far.
	starts []quetzalwork.StartRun
	holds  []quetzalwork.HoldMinion
}

// testToken is the token of the dispatcher; oldDuty is that of a predecessor.
const (
	testToken quetzalunit.Revision = 100
	oldDuty   quetzalunit.Revision = 50
)

func newDispatcher(t *testing.T, rows ...quetzalwork.JobRow) *dispatcher {
	t.Helper()
	d := &dispatcher{t: t, w: &quetzalwork.World{}, now: quetzalunit.InstantOf(time.Unix(1000, 0)), rows: rows}
	d.w.Self = quetzalwork.Identity{Entry: "e0", Incarnation: 1, PeerAddress: "e0"}
	d.w.Bounds = quetzalwork.Bounds{StopTimeout: 400 * time.Millisecond}
	quetzalscheduler.Start(d.w, d.now)
	cfg := testConfig()
	d.tick(quetzalwork.FleetWatched{Config: &cfg, Seen: 1})
	return d
}

// tick performs what follows from inputs at the present instant.
func (d *dispatcher) tick(inputs ...quetzalwork.Input) {
	for {
		var next []quetzalwork.Input
		for _, cmd := range quetzalscheduler.Tick(d.w, d.now, inputs) {
			if in := d.perform(cmd); in != nil {
				next = append(next, in)
			}
		}
		if len(next) == 0 {
			return
		}
		inputs = next
	}
}

func (d *dispatcher) perform(cmd quetzalwork.Command) quetzalwork.Input {
	switch cmd := cmd.(type) {
	case quetzalwork.RenewMember:
		return quetzalwork.MemberRenewed{SentAt: cmd.SentAt}
	case quetzalwork.ReadMembers:
		if d.readsFail {
			return quetzalwork.MembersRead{Result: quetzalwork.StoreUnknown}
		}
		return quetzalwork.MembersRead{
			Full: true, Seen: testToken, SentAt: cmd.SentAt, Members: []quetzalwork.Member{{Entry: "e0", Incarnation: 1, Beat: quetzalunit.Beat(d.now)}},
			Duties: map[quetzalunit.PoolID]quetzalwork.Duty{testPool: {Holder: "e0", Incarnation: 1, Address: "e0", Revision: testToken}},
		}
	case quetzalwork.ReadPool:
		if d.rowsFail {
			return quetzalwork.PoolRead{Pool: cmd.Pool, Token: cmd.Token, Result: quetzalwork.StoreUnknown}
		}
		return quetzalwork.PoolRead{Pool: cmd.Pool, Token: cmd.Token, Full: cmd.Full, Rows: d.rows, Seen: testToken, SentAt: cmd.SentAt}
	case quetzalwork.ListMinions:
		return quetzalwork.MinionsListed{Full: true, Seen: testToken, Entries: []quetzalwork.MinionEntry{{
			ID: "m0", Pool: testPool, Address: "m0", Room: quetzalunit.Resources{Cores: 8000, Memory: 16000}, Life: 1, Host: "h0",
		}}}
	case quetzalwork.HoldMinion:
		d.holds = append(d.holds, cmd)
		if d.held == nil {
			return quetzalwork.MinionHeld{Minion: cmd.Minion, Token: cmd.Target.Token, SentAt: cmd.SentAt, Result: quetzalwork.OrderUnanswered{}}
		}
		return d.held(cmd)
	case quetzalwork.StartRun:
		d.starts = append(d.starts, cmd)
		return quetzalwork.RunAnswered{Run: cmd.Run, Result: quetzalwork.OrderTaken{Clock: d.clock()}}
	default:
		return nil
	}
}

func (d *dispatcher) clock() quetzalunit.MinionTime {
	return quetzalunit.MinionTime(d.now.Milliseconds())
}

// idle answers a hold of a minion that runs nothing.
func (d *dispatcher) idle(c quetzalwork.HoldMinion) quetzalwork.MinionHeld {
	return quetzalwork.MinionHeld{Minion: c.Minion, Token: c.Target.Token, SentAt: c.SentAt, Life: 1, Result: quetzalwork.OrderTaken{Clock: d.clock()}}
}

func (d *dispatcher) run(span time.Duration) {
	end := d.now.Add(span)
	for d.now < end {
		d.now = d.now.Add(20 * time.Millisecond)
		d.tick()
	}
}

func accepted(id quetzalunit.JobID, duty quetzalunit.Revision) quetzalwork.JobRow {
	return quetzalwork.JobRow{Job: id, Revision: 60, Content: quetzalwork.AcceptedJob{
		Queue: testQueue, Duty: duty, Spec: &quetzalwork.JobSpec{Text: "text", Steps: []quetzalwork.StepSpec{testStep(1)}},
	}}
}

func progress(id quetzalunit.JobID, p quetzalwork.Progress) quetzalwork.JobRow {
	return quetzalwork.JobRow{Job: id, Revision: 70, Content: quetzalwork.JobProgress{Progress: p}}
}

const testJob quetzalunit.JobID = "00000000000000aa"

func TestFencedDispatcherDropsThePool(t *testing.T) {
	d := newDispatcher(t)
	d.held = d.idle
	d.run(2 * time.Second)
	d.held = func(c quetzalwork.HoldMinion) quetzalwork.MinionHeld {
		return quetzalwork.MinionHeld{Minion: c.Minion, Token: c.Target.Token, SentAt: c.SentAt, Result: quetzalwork.OrderFenced{}}
	}
	row := accepted(testJob, testToken)
	d.tick(quetzalwork.PeerAsked{Caller: 1, Message: quetzalwork.TellAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	require.Len(t, d.starts, 1)
	require.Empty(t, quetzalscheduler.Backlogs(d.w), "the first hold after the start was fenced")
}

// A dispatcher whose own row is renewed, but which cannot read the duties, may have a successor.
func TestDispatcherThatCannotReadTheDutiesExtendsNoLease(t *testing.T) {
	d := newDispatcher(t)
	d.held = d.idle
	d.run(2 * time.Second)
	d.readsFail = true
	d.run(7 * time.Second)
	d.holds = nil
	row := accepted(testJob, testToken)
	d.tick(quetzalwork.PeerAsked{Caller: 1, Message: quetzalwork.TellAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	d.run(2 * time.Second)
	require.Empty(t, d.starts)
	for _, h := range d.holds {
		require.Zero(t, h.Lease)
	}
	d.readsFail = false
	d.run(2 * time.Second)
	require.NotEmpty(t, d.starts)
}

func TestJobStoredUnderALaterDutyIsNotStarted(t *testing.T) {
	d := newDispatcher(t)
	d.held = d.idle
	d.run(2 * time.Second)
	row := accepted(testJob, testToken+1)
	d.tick(quetzalwork.PeerAsked{Caller: 1, Message: quetzalwork.TellAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	d.run(100 * time.Millisecond)
	require.Empty(t, d.starts)
}

// A predecessor stored an end after the rows were loaded, and the minion no longer lists it.
func TestOldWorkWaitsForRowsReadAfterTheLastMinionAnswered(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, oldDuty))
	d.run(9 * time.Second)
	require.Empty(t, d.starts, "the minion has not answered")
	d.rowsFail = true
	d.held = d.idle
	d.run(6 * time.Second)
	require.Empty(t, d.starts, "the rows are not read")
	d.rowsFail = false
	d.rows = append(d.rows, progress(testJob, quetzalwork.Progress{State: quetzalwork.JobRunning, Done: []quetzalwork.TaskRef{{}}}))
	d.run(3 * time.Second)
	require.Empty(t, d.starts)
}

// An entry that names another pool for the same life of a minion is not the minion's own.
func TestEntryOfAnotherPoolEndsNothingOfTheSameLife(t *testing.T) {
	d := newDispatcher(t)
	row := accepted(testJob, testToken)
	var running []quetzalwork.ListedRun
	d.held = func(c quetzalwork.HoldMinion) quetzalwork.MinionHeld {
		in := d.idle(c)
		in.Running = running
		return in
	}
	d.run(2 * time.Second)
	d.tick(quetzalwork.PeerAsked{Caller: 1, Message: quetzalwork.TellAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	require.Len(t, d.starts, 1)
	running = []quetzalwork.ListedRun{{Task: d.starts[0].Task, Number: d.starts[0].Number}}
	d.tick(quetzalwork.MinionsListed{Seen: testToken + 1, Entries: []quetzalwork.MinionEntry{{ID: "m0", Pool: "other", Address: "m0", Life: 1}}})
	require.Equal(t, quetzalunit.Tasks(1), quetzalscheduler.Backlogs(d.w)[0].Running)
	d.run(2 * time.Second)
	require.Len(t, d.starts, 1)
}

func TestStoredFailureIsNotCountedAgain(t *testing.T) {
	const run = 50 << 10
	failure := quetzalwork.TaskFailure{Run: run}
	d := newDispatcher(t, accepted(testJob, oldDuty), progress(testJob, quetzalwork.Progress{
		State: quetzalwork.JobRunning, Failures: []quetzalwork.TaskFailure{failure, {Run: run + 1}},
	}))
	d.held = func(c quetzalwork.HoldMinion) quetzalwork.MinionHeld {
		in := d.idle(c)
		for i := range 2 {
			in.Ends = append(in.Ends, quetzalwork.ListedEnd{
				Number: quetzalunit.EndNumber(i + 1), Task: quetzalwork.TaskName{Job: testJob}, Run: quetzalunit.RunNumber(run + i), End: quetzalwork.EndFailed,
			})
		}
		return in
	}
	d.run(14 * time.Second)
	require.NotEmpty(t, d.starts, "two of three attempts have failed")
}
