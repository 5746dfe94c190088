package quetzalscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalscheduler"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// dispatcher runs a World that dispatches testPool. The test plays the store, the minions and the
// other entries.
type dispatcher struct {
	t   *testing.T
	w   *quetzalwork.World
	now quetzalunit.Instant
	// readsFail makes reads of the duties fail, rowsFail reads of the pool's rows. rows is what a
	// read of the pool's rows returns.
	readsFail, rowsFail bool
	// renewed is the revision of renewals of the member row.
	renewed quetzalunit.Revision
	rows    []quetzalwork.JobRow
	// readRows, if not nil, answers reads of the pool's rows instead of rows.
	readRows func(quetzalwork.ReadPoolJobs) quetzalwork.Input
	// minions is the list of minions. lookBack answers reads that tell which have left it before; its
	// Result is that of the first of them.
	minions  []quetzalwork.MinionRecord
	lookBack quetzalwork.MinionsListed
	// listChanges is how far the revision of the list is beyond testToken.
	listChanges quetzalunit.Revision
	// duty is the stored row of testPool's duty. If its revision is zero, this entry holds it.
	duty quetzalwork.Duty
	// submissions are the transactions that store jobs so far. The test answers them itself.
	submissions []quetzalwork.StoreJobs
	// If recordsProgress is set, the transactions that store progress are appended to stored. The
	// test answers them itself.
	recordsProgress bool
	stored          []quetzalwork.StoreProgress
	// answerPoll answers polls of minions. If nil, they get no answer.
	answerPoll func(quetzalwork.PollMinion) quetzalwork.MinionPolled
	// starts, stops and polls are the orders to minions so far.
	starts []quetzalwork.StartRun
	stops  []quetzalwork.StopRun
	polls  []quetzalwork.PollMinion
	// rejectsStarts makes minions answer that they cannot run a task. releases are the releases of
	// the duty so far.
	rejectsStarts bool
	// unansweredStarts makes the answers to orders to start get lost. startsInProgress delays them beyond the test.
	unansweredStarts, startsInProgress bool
	// logged are the decisions in the log so far.
	logged []quetzalwork.Decision
	// answers are the answers to callers so far.
	answers  []quetzalwork.Answer
	releases []quetzalwork.WriteDuty
	// hosts is what a read of the hosts returns; such reads get no answer if it is nil.
	hosts []quetzalwork.Host
	// notices are the notices that the dispatch has ended.
	notices []quetzalwork.NotifyDutyDropped
}

// testToken is the revision at which the dispatcher took over its duty, and hence its fencing token.
// oldDuty is the revision at which a predecessor took the duty over.
const (
	testToken quetzalunit.Revision = 100
	oldDuty   quetzalunit.Revision = 50
)

var testMinions = []quetzalwork.MinionRecord{{
	ID: "m0", Pool: testPool, Address: "m0", Capacity: quetzalunit.Resources{Cores: 8000, Memory: 16000}, Incarnation: 1, Host: "h0",
}}

func newDispatcher(t *testing.T, rows ...quetzalwork.JobRow) *dispatcher {
	t.Helper()
	d := &dispatcher{t: t, w: &quetzalwork.World{}, now: quetzalunit.InstantOf(time.Unix(1000, 0)), rows: rows, minions: testMinions}
	d.w.Self = quetzalwork.Identity{Entry: "e0", Incarnation: 1, PeerAddress: "e0"}
	d.w.Bounds = quetzalwork.Bounds{StopTimeout: 400 * time.Millisecond}
	quetzalscheduler.Start(d.w, d.now)
	cfg := testConfig()
	d.tick(quetzalwork.ConfigWatched{Config: &cfg, SeenRevision: 1})
	return d
}

// tick applies inputs at the current instant and performs the resulting commands until there are no
// more.
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
		return quetzalwork.MemberRenewed{Revision: d.renewed, SentAt: cmd.SentAt}
	case quetzalwork.ReadMembers:
		if d.readsFail {
			return quetzalwork.MembersRead{Result: quetzalwork.StoreUnanswered}
		}
		duty := d.duty
		if duty.Revision == 0 {
			duty = quetzalwork.Duty{Holder: "e0", Incarnation: 1, Address: "e0", Revision: testToken}
		}
		return quetzalwork.MembersRead{
			Full: true, SeenRevision: testToken, SentAt: cmd.SentAt,
			Members: []quetzalwork.Member{
				{Entry: "e0", Incarnation: 1, Heartbeat: quetzalunit.Heartbeat(d.now), Revision: testToken}, {Entry: "e1", Incarnation: 1, Address: "e1", Heartbeat: quetzalunit.Heartbeat(d.now)},
			},
			Duties: map[quetzalunit.PoolID]quetzalwork.Duty{testPool: duty},
		}
	case quetzalwork.LogDecision:
		d.logged = append(d.logged, cmd.Decision)
		return nil
	case quetzalwork.ReadCensus:
		if d.hosts == nil {
			return nil
		}
		return quetzalwork.CensusRead{OK: true, SentAt: cmd.SentAt, Hosts: d.hosts}
	case quetzalwork.AnswerCaller:
		d.answers = append(d.answers, cmd.Answer)
		return nil
	case quetzalwork.CallPeer:
		if notice, ok := cmd.Message.(quetzalwork.NotifyDutyDropped); ok {
			d.notices = append(d.notices, notice)
		}
		return nil
	case quetzalwork.WriteDuty:
		d.releases = append(d.releases, cmd)
		return nil
	case quetzalwork.StoreJobs:
		d.submissions = append(d.submissions, cmd)
		return nil
	case quetzalwork.StoreProgress:
		if d.recordsProgress {
			d.stored = append(d.stored, cmd)
		}
		return nil
	case quetzalwork.ReadPoolJobs:
		if d.readRows != nil {
			return d.readRows(cmd)
		}
		if d.rowsFail {
			return quetzalwork.PoolJobsRead{Pool: cmd.Pool, Token: cmd.Token, Result: quetzalwork.StoreUnanswered}
		}
		return quetzalwork.PoolJobsRead{
			Pool: cmd.Pool, Token: cmd.Token, Full: cmd.Full, Rows: d.rows, SeenRevision: max(testToken, quetzalunit.Revision(cmd.Token)), SentAt: cmd.SentAt,
		}
	case quetzalwork.ListMinions:
		if cmd.LookBack {
			in := d.lookBack
			in.LookBack, in.SinceRevision = true, cmd.SinceRevision
			if in.SeenRevision == 0 {
				in.SeenRevision = testToken
			}
			d.lookBack.Result = quetzalwork.StoreDone
			return in
		}
		return quetzalwork.MinionsListed{Full: true, SeenRevision: testToken + d.listChanges, Minions: d.minions}
	case quetzalwork.PollMinion:
		d.polls = append(d.polls, cmd)
		if d.answerPoll == nil {
			return quetzalwork.MinionPolled{Minion: cmd.Minion, Token: cmd.Target.Token, SentAt: cmd.SentAt, Result: quetzalwork.OrderUnanswered{}}
		}
		return d.answerPoll(cmd)
	case quetzalwork.StartRun:
		d.starts = append(d.starts, cmd)
		if d.rejectsStarts {
			return quetzalwork.StartAnswered{Run: cmd.Run, Token: cmd.Target.Token, Result: quetzalwork.OrderOutdated{Clock: d.clock()}}
		}
		if d.startsInProgress {
			return nil
		}
		if d.unansweredStarts {
			return quetzalwork.StartAnswered{Run: cmd.Run, Token: cmd.Target.Token, Result: quetzalwork.OrderUnanswered{}}
		}
		return quetzalwork.StartAnswered{Run: cmd.Run, Token: cmd.Target.Token, Result: quetzalwork.OrderAccepted{Clock: d.clock()}}
	case quetzalwork.StopRun:
		d.stops = append(d.stops, cmd)
		return quetzalwork.StopAnswered{Run: cmd.Run, Token: cmd.Target.Token, Result: quetzalwork.OrderAccepted{Clock: d.clock()}}
	default:
		return nil
	}
}

// clock returns what the minions' clocks show.
func (d *dispatcher) clock() quetzalunit.MinionTime {
	return quetzalunit.MinionTime(d.now.Milliseconds())
}

// idle answers a poll for a minion that runs nothing.
func (d *dispatcher) idle(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
	return quetzalwork.MinionPolled{Minion: c.Minion, Token: c.Target.Token, SentAt: c.SentAt, Incarnation: 1, Result: quetzalwork.OrderAccepted{Clock: d.clock()}}
}

// run advances the clock in steps of 20 ms with a tick at each.
func (d *dispatcher) run(duration time.Duration) {
	end := d.now.Add(duration)
	for d.now < end {
		d.now = d.now.Add(20 * time.Millisecond)
		d.tick()
	}
}

// accepted returns the stored row of a job with one task that was accepted under the duty of the
// given revision.
func accepted(id quetzalunit.JobID, duty quetzalunit.Revision) quetzalwork.JobRow {
	return quetzalwork.JobRow{Job: id, Revision: 60, Content: quetzalwork.AcceptedJob{
		Queue: testQueue, DutyRevision: duty, Spec: &quetzalwork.JobSpec{Payload: "text", Steps: []quetzalwork.StepSpec{testStep(1)}},
	}}
}

// progress returns the stored row of a job's progress.
func progress(id quetzalunit.JobID, p quetzalwork.Progress) quetzalwork.JobRow {
	return quetzalwork.JobRow{Job: id, Revision: 70, Content: quetzalwork.JobProgress{Progress: p}}
}

const (
	// testJob and otherJob are in one shard.
	testJob  quetzalunit.JobID = "00000000000000aa"
	otherJob quetzalunit.JobID = "00000000000000cc"
)

// A minion that rejects the token of a dispatcher as too low knows the token of a successor. The
// dispatcher must stop dispatching the pool.
func TestFencedDispatcherStopsDispatching(t *testing.T) {
	d := newDispatcher(t)
	d.answerPoll = d.idle
	d.run(2 * time.Second)
	d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		return quetzalwork.MinionPolled{Minion: c.Minion, Token: c.Target.Token, SentAt: c.SentAt, Result: quetzalwork.OrderFenced{}}
	}
	row := accepted(testJob, testToken)
	d.tick(quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.NotifyAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	require.Len(t, d.starts, 1)
	require.Empty(t, quetzalscheduler.Backlogs(d.w), "the first poll after the start was fenced")
}

// A dispatcher that can renew its member row but cannot read the duties may have a successor without
// knowing it. It must neither extend leases nor start runs.
func TestDispatcherThatCannotReadTheDutiesExtendsNoLease(t *testing.T) {
	d := newDispatcher(t)
	d.answerPoll = d.idle
	d.run(2 * time.Second)
	d.readsFail = true
	d.run(7 * time.Second)
	d.polls = nil
	row := accepted(testJob, testToken)
	d.tick(quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.NotifyAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	d.run(2 * time.Second)
	require.Empty(t, d.starts)
	for _, poll := range d.polls {
		require.Zero(t, poll.LeaseEnd)
	}
	d.readsFail = false
	d.run(2 * time.Second)
	require.NotEmpty(t, d.starts)
}

// Reads of the duties that are behind the renewals of the dispatcher's own row show no takeover.
func TestDispatcherWhoseReadsAreBehindExtendsNoLease(t *testing.T) {
	d := newDispatcher(t)
	d.answerPoll = d.idle
	d.run(2 * time.Second)
	d.renewed = testToken + 1
	d.run(7 * time.Second)
	d.polls = nil
	row := accepted(testJob, testToken)
	d.tick(quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.NotifyAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	d.run(2 * time.Second)
	require.Empty(t, d.starts)
	for _, poll := range d.polls {
		require.Zero(t, poll.LeaseEnd)
	}
	require.NotEmpty(t, d.loggedWith("The reads of the members are behind."))
	d.renewed = testToken
	d.run(2 * time.Second)
	require.NotEmpty(t, d.starts)
}

// A job that was stored under a later duty belongs to a successor that may have started it already.
func TestJobStoredUnderALaterDutyIsNotStarted(t *testing.T) {
	d := newDispatcher(t)
	d.answerPoll = d.idle
	d.run(2 * time.Second)
	row := accepted(testJob, testToken+1)
	d.tick(quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.NotifyAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	d.run(100 * time.Millisecond)
	require.Empty(t, d.starts)
}

// A predecessor may store the end of a run after the rows were loaded, and the minion then no longer
// reports it. The task must not be started again before the rows are read after the minion's answer.
func TestTaskOfAPredecessorWaitsForRowsReadAfterTheLastMinionAnswered(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, oldDuty))
	d.run(7 * time.Second)
	require.Empty(t, d.starts, "the minion has not answered")
	d.rowsFail = true
	d.answerPoll = d.idle
	d.run(6 * time.Second)
	require.Empty(t, d.starts, "the rows are not read")
	d.rowsFail = false
	d.rows = append(d.rows, progress(testJob, quetzalwork.Progress{State: quetzalwork.JobRunning, Done: []quetzalwork.TaskRef{{}}}))
	d.run(3 * time.Second)
	require.Empty(t, d.starts)
}

// The store has compacted its change history, so the rows are read in full again, in two pages. The
// minion answers after the first page was read. That page lacks what a predecessor stored in the
// meantime, so the read must count from the time at which its first page was requested.
func TestRowsOfAReloadCountFromItsFirstPage(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, oldDuty))
	d.run(2 * time.Second)
	var first quetzalwork.ReadPoolJobs
	d.readRows = func(c quetzalwork.ReadPoolJobs) quetzalwork.Input {
		in := quetzalwork.PoolJobsRead{Pool: c.Pool, Token: c.Token, Full: c.Full, SeenRevision: testToken, SentAt: c.SentAt}
		switch {
		case !c.Full && first.Token == 0:
			in.Result = quetzalwork.StoreCompacted
		case !c.Full:
			in.Rows = append(in.Rows, progress(testJob, quetzalwork.Progress{State: quetzalwork.JobRunning, Done: []quetzalwork.TaskRef{{}}}))
		case c.StartKey == "":
			first = c
			return nil
		}
		return in
	}
	d.run(2 * time.Second)
	require.NotZero(t, first.Token)
	d.answerPoll = d.idle
	d.run(10 * time.Second)
	require.Empty(t, d.starts)
	d.tick(quetzalwork.PoolJobsRead{Pool: first.Pool, Token: first.Token, Full: true, Rows: d.rows, More: true, NextKey: "next", SeenRevision: testToken, SentAt: first.SentAt})
	d.run(2 * time.Second)
	require.Empty(t, d.starts, "the task was done before the second page was read")
}

// A list entry that names another pool for the same process of a minion must not end its runs.
func TestListEntryOfAnotherPoolEndsNoRunsOfTheSameProcess(t *testing.T) {
	d := newDispatcher(t)
	row := accepted(testJob, testToken)
	var running []quetzalwork.ReportedRun
	d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := d.idle(c)
		in.Running = running
		return in
	}
	d.run(2 * time.Second)
	d.tick(quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.NotifyAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	require.Len(t, d.starts, 1)
	running = []quetzalwork.ReportedRun{{Task: d.starts[0].Task, Number: d.starts[0].Number}}
	d.tick(quetzalwork.MinionsListed{SeenRevision: testToken + 1, Minions: []quetzalwork.MinionRecord{{ID: "m0", Pool: "other", Address: "m0", Incarnation: 1}}})
	require.Equal(t, quetzalunit.Tasks(1), quetzalscheduler.Backlogs(d.w)[0].Running)
	d.run(2 * time.Second)
	require.Len(t, d.starts, 1)
}

// A minion reports failed runs whose failures are already stored. If they counted twice, the task
// would exceed its attempts and its job would fail.
func TestStoredFailureIsNotCountedAgain(t *testing.T) {
	const run = 50 << 10
	failure := quetzalwork.TaskFailure{Run: run}
	d := newDispatcher(t, accepted(testJob, oldDuty), progress(testJob, quetzalwork.Progress{
		State: quetzalwork.JobRunning, Failures: []quetzalwork.TaskFailure{failure, {Run: run + 1}},
	}))
	d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := d.idle(c)
		for i := range 2 {
			in.Ends = append(in.Ends, quetzalwork.ReportedEnd{
				Number: quetzalunit.EndNumber(i + 1), Task: quetzalwork.TaskID{Job: testJob}, Run: quetzalunit.RunNumber(run + i), Outcome: quetzalwork.OutcomeFailed,
			})
		}
		return in
	}
	d.run(14 * time.Second)
	require.NotEmpty(t, d.starts, "two of three attempts have failed")
}

// A repeating job has stored failures of its first occurrence. When a later occurrence is created,
// they must not count again: the job would fail before its attempts are used up.
func TestFailuresCountForTheirOwnOccurrence(t *testing.T) {
	row := accepted(testJob, oldDuty)
	content, ok := row.Content.(quetzalwork.AcceptedJob)
	require.True(t, ok)
	content.Spec.Occurrences, content.Spec.FirstAt, content.Spec.Interval = 3, quetzalunit.InstantOf(time.Unix(1000, 0)), 4*time.Second
	row.Content = content
	d := newDispatcher(t, row, progress(testJob, quetzalwork.Progress{State: quetzalwork.JobRunning, Failures: []quetzalwork.TaskFailure{{Run: 50 << 10}}}))
	d.answerPoll = d.idle
	d.run(9 * time.Second)
	failures := make(map[quetzalunit.Occurrence]quetzalunit.Failures)
	for _, task := range d.w.Tasks.All() {
		failures[d.w.Steps.At(task.Step).Occurrence] = task.Failures
	}
	require.Equal(t, map[quetzalunit.Occurrence]quetzalunit.Failures{0: 1, 1: 0, 2: 0}, failures)
}

// Every occurrence of a job with a short interval is due at once. The dispatcher must not create all
// of them at once, since it holds their tasks in memory.
func TestDueOccurrencesAreCreatedGradually(t *testing.T) {
	row := accepted(testJob, testToken)
	content, ok := row.Content.(quetzalwork.AcceptedJob)
	require.True(t, ok)
	content.Spec.Occurrences, content.Spec.Steps[0].TaskCount = 1<<30, 6000
	row.Content = content
	d := newDispatcher(t)
	d.answerPoll = d.idle
	d.run(2 * time.Second)
	d.tick(quetzalwork.PeerMessageReceived{Caller: 1, Message: quetzalwork.NotifyAccepted{Pool: testPool, Jobs: []quetzalwork.JobRow{row}}})
	require.Equal(t, 3*6000, d.w.Tasks.Len())
}

// A task is rejected more often than its run numbers last for one term. A further number would repeat
// one of this term, which minions reject as outdated, or be one of a successor's. The duty must be
// released instead, since a new term has new numbers.
func TestExhaustedRunNumbersEndTheTerm(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, testToken))
	d.answerPoll = d.idle
	d.rejectsStarts = true
	numbers := make(map[quetzalunit.RunNumber]bool)
	for range 800 {
		d.run(100 * time.Millisecond)
		for _, start := range d.starts {
			require.False(t, numbers[start.Number], "run number %d is used again", start.Number)
			require.Equal(t, quetzalunit.RunNumber(testToken), start.Number>>10)
			numbers[start.Number] = true
		}
		d.starts = nil
	}
	require.Len(t, numbers, 1023)
	require.NotEmpty(t, d.releases)
}

// The row of a finished job loses its specification, so that a takeover reads little. The job's ID
// stays in use: submitting it again must not run it again.
func TestRowOfAFinishedJobLosesItsSpecification(t *testing.T) {
	f := newFleet(1, threeZones, 3, 6, testConfig())
	f.run(3 * time.Second)
	id := f.submit(f.entries[0], testStep(2))
	f.run(5 * time.Second)
	stored, _ := f.store.stored(quetzalwork.JobRow{Job: id, Content: quetzalwork.AcceptedJob{}})
	row, ok := stored.Content.(quetzalwork.AcceptedJob)
	require.True(t, ok)
	require.Nil(t, row.Spec)
	f.holder().kill()
	f.run(12 * time.Second)
	require.NotNil(t, f.holder())
	f.send(f.holder(), id, &quetzalwork.JobSpec{Payload: "text", Steps: []quetzalwork.StepSpec{testStep(2)}})
	f.run(5 * time.Second)
	require.Equal(t, quetzalwork.JobStateAnswer{State: quetzalwork.JobCompleted}, f.state(f.holder(), id))
	require.Empty(t, f.checker.violations)
	require.Len(t, f.checker.records, 2, "nothing has run again")
}

// All entries restart, those with a small CPU share first. They must not take over the duties, which
// belong to the entries with a larger share that start a moment later.
func TestDutiesGoToLargeEntriesAfterARestartOfAll(t *testing.T) {
	cfg := testConfig()
	cfg.Pools = append(cfg.Pools, quetzalwork.PoolSpec{ID: "other"}, quetzalwork.PoolSpec{ID: "third"})
	f := newFleet(1, threeZones, 6, 3, cfg)
	setShares := func() {
		for i, e := range f.entries {
			e.world.Self.CPUShare = 20
			if i >= 4 {
				e.world.Self.CPUShare = 80
			}
		}
	}
	setShares()
	f.run(10 * time.Second)
	for _, e := range f.entries {
		e.kill()
	}
	f.run(time.Second)
	for _, e := range f.entries {
		e.start()
		setShares()
		f.run(60 * time.Millisecond)
	}
	for range 20 {
		f.run(100 * time.Millisecond)
		for _, e := range f.entries[:4] {
			require.Empty(t, quetzalscheduler.Backlogs(e.world))
		}
	}
}

// A dispatcher loses a pool and takes it over again while a transaction with progress is in flight.
// The answer to that transaction must not allow a second one next to that of the new term: ends
// would be acknowledged to the minion before they are stored.
func TestProgressOfAnEarlierTermIsIgnored(t *testing.T) {
	d := newDispatcher(t, accepted(testJob, oldDuty), accepted(otherJob, oldDuty))
	var ends []quetzalwork.ReportedEnd
	d.answerPoll = func(c quetzalwork.PollMinion) quetzalwork.MinionPolled {
		in := d.idle(c)
		in.Ends = ends
		return in
	}
	done := func(n quetzalunit.EndNumber, job quetzalunit.JobID) {
		ends = append(ends, quetzalwork.ReportedEnd{Number: n, Task: quetzalwork.TaskID{Job: job}, Run: 60 << 10, Outcome: quetzalwork.OutcomeDone})
	}
	d.recordsProgress = true
	done(1, testJob)
	d.run(2 * time.Second)
	require.Len(t, d.stored, 1)
	d.duty = quetzalwork.Duty{Holder: "e1", Incarnation: 1, Address: "e1", Revision: testToken + 1}
	d.run(1500 * time.Millisecond)
	require.Empty(t, quetzalscheduler.Backlogs(d.w))
	d.duty = quetzalwork.Duty{Holder: "e0", Incarnation: 1, Address: "e0", Revision: testToken + 2}
	d.run(1500 * time.Millisecond)
	require.Len(t, d.stored, 2)
	done(2, otherJob)
	d.run(300 * time.Millisecond)
	first := d.stored[0]
	d.tick(quetzalwork.ProgressStored{Pool: first.Pool, Shard: first.Shard, Token: first.Token, Jobs: first.Jobs, Result: quetzalwork.StoreUnanswered})
	d.run(300 * time.Millisecond)
	require.Len(t, d.stored, 2, "the transaction of the new term is in flight")
	for _, poll := range d.polls {
		require.Zero(t, poll.AckedThrough)
	}
}

// The store carries out the transactions of a pool one after the other. After a slow transaction,
// jobs must be collected for as long as it took and stored together.
func TestJobsAreBatchedWhileTheStoreIsSlow(t *testing.T) {
	const slow = 400 * time.Millisecond
	d := newDispatcher(t)
	d.answerPoll = d.idle
	d.run(2 * time.Second)
	oneShard := []int{0, 3, 7, 12, 16, 20}
	submit := func(n int) {
		id := quetzalunit.JobID(fmt.Sprintf("%016x", oneShard[n]))
		d.tick(quetzalwork.JobSubmitted{
			Caller: quetzalunit.CallerID(n), HTTPHost: "host", Path: "/proofs/" + string(id), Timeout: 3 * time.Second,
			Spec: &quetzalwork.JobSpec{Steps: []quetzalwork.StepSpec{testStep(1)}},
		})
	}
	answer := func(c quetzalwork.StoreJobs) {
		d.tick(quetzalwork.JobsStored{Pool: c.Pool, Shard: c.Shard, Submissions: c.Submissions, DutyRevision: c.DutyRevision, SentAt: c.SentAt})
	}
	submit(1)
	d.run(20 * time.Millisecond)
	answer(d.submissions[0])
	submit(2)
	require.Len(t, d.submissions, 2, "the store is fast")
	d.run(slow)
	answer(d.submissions[1])
	for n := 3; n <= 5; n++ {
		submit(n)
		d.run(60 * time.Millisecond)
	}
	require.Len(t, d.submissions, 2, "the jobs are collected")
	d.run(slow)
	require.Len(t, d.submissions, 3)
	require.Len(t, d.submissions[2].Jobs, 3)
}
