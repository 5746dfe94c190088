package quetzalsystem_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsimulation"
	"quetzalstair/quetzalcore/quetzalsystem"
	"quetzalstair/quetzalcore/quetzalunit"
)

// epochRow returns the row of the duties of zone a with another holder.
func epochRow(holder quetzalunit.EntryID, epoch quetzalunit.Epoch) quetzalfleet.RowAtRevision {
	return row(quetzalfleet.TableEpochs, "a", quetzalfleet.EpochRow{Zone: "a", Holder: holder, Epoch: epoch})
}

// An entry takes the duties over and is suspended before it gets the answer. Meanwhile its lease
// expires and another entry takes over. When it resumes, the newer epoch arrives before the answer.
// It must not hold the duties at the epoch of its successor: the successor's fence would admit its
// writes.
func TestLateTakeoverAnswerDoesNotAdoptTheEpochOfASuccessor(t *testing.T) {
	s := newSingleEntry(t)
	peer := quetzalfleet.RosterEntry{Entry: "f", Incarnation: 1}
	s.scan(append(fleetRows(), rosterRow(self, peer))...)
	takeover := s.waitForWrite(quetzalfleet.TableEpochs)
	s.revision++
	committed := quetzalfleet.Committed{Revision: s.revision}
	s.revision++
	successor := epochRow("f", 2)
	successor.Revision = s.revision
	s.tick(6*time.Second,
		quetzalfleet.GossipArrived{Message: quetzalfleet.Gossip{
			From: "f", Incarnation: 1, Zone: "a", SinceRevision: s.w.SeenRevision, SeenRevision: s.revision,
			Rows: []quetzalfleet.RowAtRevision{successor},
		}},
		quetzalfleet.StoreAnswered{Call: takeover.Call, Result: committed},
	)
	for range 50 {
		for _, renewal := range s.writes(quetzalfleet.TableRenewals) {
			s.commit(renewal)
		}
		require.Empty(t, s.writes(quetzalfleet.TableHosts), "plans beside the holder of the duties")
		s.tick(100 * time.Millisecond)
	}
	require.Zero(t, s.w.HeldEpoch)
}

// Rows of renewals do not travel by gossip, and a scan leaves out the rows up to a revision that
// gossip has reported. An entry that misses renewals in this way must not take the duties over from
// a holder that renews them.
func TestRenewedDutiesStayWithTheirHolder(t *testing.T) {
	for seed := range uint64(5) {
		sim := newSimulation(t, seed, smallFleet())
		before := len(sim.Decisions)
		sim.Advance(30 * time.Minute)
		for _, d := range sim.Decisions[before:] {
			require.NotEqual(t, quetzalfleet.DecisionDuty, d.Kind, "%s: %s", d.Entry, d.Reason)
		}
	}
}

// An entry that was suspended has seen no renewal for longer than a lease. The platform's answer to
// an earlier call must not make it take the duties over from a holder that has renewed them.
func TestSuspendedEntryLeavesRenewedDutiesToTheirHolder(t *testing.T) {
	for frozen := 6 * time.Second; frozen < 9*time.Second; frozen += 100 * time.Millisecond {
		sim := newSimulation(t, 1, smallFleet())
		holder := holderOf(sim, "a")
		for n := range 3 {
			if e := sim.Entry(quetzalsimulation.EntryID("a", n)); e.ID != holder {
				e.FrozenUntil = sim.Now.Add(frozen)
			}
		}
		sim.Advance(frozen + 10*time.Second)
		require.Equal(t, holder, holderOf(sim, "a"), "frozen for %s", frozen)
	}
}

// answerJobScan answers the scan of the jobs in flight, or the next one, with a job's row at the
// next revision, which no scan of the fleet's rows has reached.
func (s *singleEntry) answerJobScan(spec quetzalfleet.JobSpec) {
	s.t.Helper()
	for range 30 {
		if call := s.w.JobScanCall; call != 0 {
			s.revision++
			job := row(quetzalfleet.TableJobs, string(spec.Request), quetzalfleet.JobRow{JobSpec: spec})
			job.Revision = s.revision
			s.tick(0, quetzalfleet.StoreAnswered{Call: call, Result: quetzalfleet.RowsRead{
				Revision: s.revision, Rows: []quetzalfleet.RowAtRevision{job},
			}})
			return
		}
		s.tick(200 * time.Millisecond)
	}
	require.Fail(s.t, "no scan of the jobs")
}

// An entry joins the roster and accepts a job. The holder of the duties reads the job before it has
// read the roster. It must not take the job over: two entries would run it.
func TestJobOfAnEntryThatHasJustJoinedIsNotTakenOver(t *testing.T) {
	s := newSingleEntry(t)
	s.scan(append(fleetRows(), rosterRow(self))...)
	s.commit(s.waitForWrite(quetzalfleet.TableEpochs))
	s.scan()
	joined := quetzalfleet.RosterEntry{Entry: "f", Incarnation: 1}
	s.answerJobScan(quetzalfleet.JobSpec{
		Request: "job", Entry: "f", Incarnation: 1, State: quetzalfleet.JobAccepted, Queue: "proofs",
		Idempotent: true, Deadline: s.w.WallTime(s.w.Now.Add(time.Hour)),
	})
	require.Empty(t, s.writes(quetzalfleet.TableJobs), "took over the job of a live entry")
	s.scan(rosterRow(self, joined))
	for range 50 {
		require.Empty(t, s.writes(quetzalfleet.TableJobs))
		s.tick(100 * time.Millisecond)
	}
}

// Jobs are taken over from entries that are not in the roster. An entry that serves as a guest must
// not accept one, or another entry runs it too.
func TestJobIsAcceptedInTheRosterOnly(t *testing.T) {
	for wait := time.Duration(0); wait < 2*time.Second; wait += 50 * time.Millisecond {
		sim := newSimulation(t, 1, smallFleet())
		sim.RunTime = func(quetzalunit.RequestID) time.Duration { return 3 * time.Second }
		guest := sim.Entries.At(sim.AddEntry("a-entry9", "a"))
		guest.PartitionedFromPlatform = true
		sim.Advance(8 * time.Second)
		guest.PartitionedFromPlatform = false
		sim.Advance(wait)
		in := request("job", true)
		in.Async, in.Timeout = true, time.Hour
		sim.Submit("a-entry9", in)
		sim.Advance(30 * time.Second)
		require.Len(t, sim.Answers, 1)
		want := 0
		if _, accepted := sim.Answers[0].Outcome.(quetzalfleet.Accepted); accepted {
			want = 1
		}
		require.Equal(t, want, sim.RunCount("job"), "submitted %s after the platform returned", wait)
	}
}

// list answers the call for the platform's list in flight, or the next one, d after it was made.
func (s *singleEntry) list(d time.Duration, hosts ...quetzalfleet.ListedHost) {
	s.t.Helper()
	for range 10 {
		if call := s.w.ListCall; call != 0 {
			s.tick(d, quetzalfleet.StoreAnswered{Call: call, Result: quetzalfleet.HostsListed{Hosts: hosts}})
			return
		}
		s.tick(time.Second)
	}
	require.Fail(s.t, "no call for the list")
}

// The list shows the host of an entry as gone, and a new process of the entry joins the roster. The
// new process must not be removed by the list of its predecessor's time: moves would not wait for it.
func TestEntryIsNotRemovedByAnOldList(t *testing.T) {
	gone := quetzalfleet.ListedHost{ID: "f", State: quetzalfleet.ListedGone}
	for _, answerAfter := range []time.Duration{0, 4 * time.Second} {
		s := newSingleEntry(t)
		s.peersSilent, s.ownLists = true, true
		s.scan(append(fleetRows(), rosterRow(self, quetzalfleet.RosterEntry{Entry: "f", Incarnation: 1}))...)
		s.commit(s.waitForWrite(quetzalfleet.TableEpochs))
		if answerAfter == 0 {
			s.list(0, gone)
		}
		s.scan(rosterRow(self, quetzalfleet.RosterEntry{Entry: "f", Incarnation: 2}))
		if answerAfter > 0 {
			s.list(answerAfter, gone)
		}
		for range 40 {
			require.Empty(t, s.writes(quetzalfleet.TableRosters), "removed the new process")
			for _, renewal := range s.writes(quetzalfleet.TableRenewals) {
				s.commit(renewal)
			}
			s.tick(100 * time.Millisecond)
		}
		require.NotZero(t, s.w.HeldEpoch)
		removed := false
		for range 40 {
			s.list(0, gone)
			s.tick(500 * time.Millisecond)
			removed = removed || len(s.writes(quetzalfleet.TableRosters)) > 0
		}
		require.True(t, removed, "a process that a new list shows as gone stays")
	}
}

// drainedHosts returns the hosts that the entry has confirmed as drained in the last tick's gossip.
func (s *singleEntry) drainedHosts() []quetzalfleet.HostGeneration {
	var confirmed []quetzalfleet.HostGeneration
	for _, c := range s.commands {
		if gossip, ok := c.(quetzalfleet.SendGossip); ok {
			confirmed = append(confirmed, gossip.Message.DrainedHosts...)
		}
	}
	return confirmed
}

// An entry that serves as a guest is restarted, is granted again, and is suspended. The list still
// shows the end of its first process. Its sponsor must go on waiting for it before it confirms a host.
func TestGuestIsNotForgottenByAnOldList(t *testing.T) {
	s := newSingleEntry(t)
	s.peersSilent, s.ownLists = true, true
	s.scan(append(fleetRows(), rosterRow(self, quetzalfleet.RosterEntry{Entry: "f", Incarnation: 1}))...)
	guest := quetzalfleet.Gossip{
		From: "guest", Incarnation: 1, Zone: "a", Address: "guest:1", Guest: true,
		KnownHosts: []quetzalfleet.HostGeneration{{Host: "host0", Generation: 1}, {Host: "host1", Generation: 1}},
	}
	s.tick(time.Millisecond, quetzalfleet.GossipArrived{Message: guest})
	s.list(0, quetzalfleet.ListedHost{ID: "guest", State: quetzalfleet.ListedGone})
	guest.Incarnation = 2
	s.tick(time.Millisecond, quetzalfleet.GossipArrived{Message: guest})
	s.scan(hostRow("host0", 2, quetzalfleet.HostLeaving))
	for range 100 {
		s.tick(100 * time.Millisecond)
		require.Empty(t, s.drainedHosts(), "confirmed without its guest")
	}
	confirmed := false
	for range 100 {
		s.list(0, quetzalfleet.ListedHost{ID: "guest", State: quetzalfleet.ListedGone})
		s.tick(100 * time.Millisecond)
		confirmed = confirmed || len(s.drainedHosts()) > 0
	}
	require.True(t, confirmed, "waits for a guest that is gone")
}

// A restarted process holds its zone's duties before the platform has answered its first call for
// the list, or when the calls have failed for some time. Until it knows which hosts are listed as
// leaving, it must not drain another one.
func TestNothingIsDrainedWithoutARecentList(t *testing.T) {
	s := newSingleEntry(t)
	s.ownLists = true
	s.scan(append(fleetRows(), rosterRow(self))...)
	s.commit(s.waitForWrite(quetzalfleet.TableEpochs))
	s.scan()
	renew := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			require.Empty(t, s.writes(quetzalfleet.TableHosts), "drained the only live host")
			for _, renewal := range s.writes(quetzalfleet.TableRenewals) {
				s.commit(renewal)
			}
			s.tick(100 * time.Millisecond)
		}
		require.NotZero(t, s.w.HeldEpoch)
	}
	renew(5 * time.Second)
	s.list(0, quetzalfleet.ListedHost{ID: "host1", State: quetzalfleet.ListedLeaving})
	renew(20 * time.Second)
	s.list(0, quetzalfleet.ListedHost{ID: "host1", State: quetzalfleet.ListedLive})
	s.tick(0)
	renew(time.Second)
	s.list(0, quetzalfleet.ListedHost{ID: "host1", State: quetzalfleet.ListedLive})
	s.waitForWrite(quetzalfleet.TableHosts)
}

// A restarted process finds a host that is drained for a wave. Without the list it does not know the
// host's boot count, with which it could tell that the host has rebooted since: a count that is too
// low would make a wave done with a host that has not rebooted.
func TestRebootWaitsForTheBootCount(t *testing.T) {
	s := newSingleEntry(t)
	s.ownLists = true
	leaving := hostRow("host0", 2, quetzalfleet.HostLeaving)
	spec := leaving.Row.(quetzalfleet.HostRow).HostSpec
	spec.Wave = "w"
	leaving.Row = quetzalfleet.HostRow{HostSpec: spec}
	s.scan(append(fleetRows(), rosterRow(self), leaving)...)
	s.commit(s.waitForWrite(quetzalfleet.TableEpochs))
	s.scan()
	for range 20 {
		require.Empty(t, s.writes(quetzalfleet.TableHosts), "rebooted a host without its boot count")
		s.tick(100 * time.Millisecond)
	}
	s.list(0, quetzalfleet.ListedHost{ID: "host0", Boot: 7})
	next := s.waitForWrite(quetzalfleet.TableHosts).Transaction.Writes[0].Row.(quetzalfleet.HostRow)
	require.Equal(t, quetzalfleet.HostRebooting, next.State)
	require.Equal(t, quetzalunit.Boot(7), next.BootBefore)
}

// A restarted process reads the rows of the fleet and joins the roster before it gets the platform's
// list. It must not send work to a host that has left.
func TestRestartedEntryWaitsForTheList(t *testing.T) {
	for _, unanswered := range []bool{false, true} {
		s := newSingleEntry(t)
		s.ownLists = true
		s.scan(append(fleetRows(), rosterRow(self))...)
		for n := range quetzalunit.CallerID(8) {
			in := request(fmt.Sprint("q~", n), true)
			in.ClaimExempt, in.Caller = true, n+1
			s.tick(time.Millisecond, in)
		}
		require.Zero(t, s.w.Attempts.Len())
		require.False(t, quetzalsystem.Ready(s.w))
		if unanswered {
			s.tick(time.Second, quetzalfleet.StoreAnswered{Call: s.w.ListCall, Result: quetzalfleet.NoAnswer{}})
		} else {
			s.list(time.Second, quetzalfleet.ListedHost{ID: "host0", State: quetzalfleet.ListedGone})
		}
		require.True(t, quetzalsystem.Ready(s.w))
		require.Equal(t, 8, s.w.Attempts.Len())
		hosts := make(map[quetzalunit.HostID]bool)
		for _, a := range s.w.Attempts.All() {
			hosts[s.w.Hosts.At(a.Host).ID] = true
		}
		require.Equal(t, unanswered, hosts["host0"])
	}
}

// During an outage of the platform an entry that starts cannot read the list. It must not send work
// to a host that its peers know as leaving from their last list.
func TestGuestAvoidsHostsThatItsPeersKnowAsLeaving(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(t, seed, smallFleet())
		sim.Minion("a-host0").ListedState = quetzalfleet.ListedLeaving
		sim.Advance(5 * time.Second)
		sim.Platform.Outage = true
		sim.Advance(20 * time.Second)
		sim.Kill("a-entry1")
		sim.AddEntry("a-entry1", "a")
		for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
			in := request(fmt.Sprint("q~fresh", at), true)
			in.ClaimExempt = true
			sim.After(at, func() { sim.Submit("a-entry1", in) })
		}
		before := sim.Runs.Len()
		sim.Advance(25 * time.Second)
		require.Greater(t, sim.Runs.Len(), before, "the guest does not serve")
		for _, run := range sim.Runs.All() {
			require.NotEqual(t, quetzalunit.HostID("a-host0"), run.Host, "seed %d", seed)
		}
	}
}

// Entries have clocks of their own, which count from the boot of their hosts. A job that another entry
// takes over keeps its deadline.
func TestJobKeepsItsDeadlineWhenItIsTakenOver(t *testing.T) {
	const timeout = 50 * time.Second
	for seed := range uint64(5) {
		sim := newSimulation(t, seed, smallFleet())
		for _, m := range sim.Minions.All() {
			m.ListedState = quetzalfleet.ListedLeaving
		}
		sim.Advance(3 * time.Second)
		in := request("job", true)
		in.Async, in.Timeout = true, timeout
		submitted := sim.Now
		sim.Submit("a-entry1", in)
		sim.Advance(time.Second)
		sim.Kill("a-entry1")
		outcome := func() quetzalfleet.Outcome {
			sim.RequestOutcome("b-entry0", "job")
			sim.Advance(500 * time.Millisecond)
			return sim.Answers[len(sim.Answers)-1].Outcome
		}
		sim.Advance(timeout - 6*time.Second - sim.Now.Sub(submitted))
		require.IsType(t, quetzalfleet.Accepted{}, outcome(), "ended before its deadline")
		sim.Advance(15 * time.Second)
		require.IsType(t, quetzalfleet.NotRun{}, outcome(), "ends after its deadline")
	}
}

// A process takes its incarnation from the wall clock, which may have been set back before a restart.
// What the earlier process confirmed must not count for the later one, which may serve the host.
func TestConfirmationOfAnEarlierProcessDoesNotCount(t *testing.T) {
	s := newSingleEntry(t)
	s.peersSilent, s.renews = true, true
	s.scan(append(fleetRows()[:4], rosterRow(self, quetzalfleet.RosterEntry{Entry: "f", Incarnation: 9}))...)
	s.commit(s.waitForWrite(quetzalfleet.TableEpochs))
	s.scan()
	confirmation := quetzalfleet.Gossip{
		From: "f", Incarnation: 9, Zone: "a", DrainedHosts: []quetzalfleet.HostGeneration{{Host: "host0", Generation: 2}},
	}
	s.tick(time.Second, quetzalfleet.GossipArrived{Message: confirmation})
	leaving := hostRow("host0", 2, quetzalfleet.HostLeaving)
	spec := leaving.Row.(quetzalfleet.HostRow).HostSpec
	spec.NextPool = "proofs"
	leaving.Row = quetzalfleet.HostRow{HostSpec: spec}
	s.scan(rosterRow(self, quetzalfleet.RosterEntry{Entry: "f", Incarnation: 5}), leaving)
	for range 40 {
		require.Empty(t, s.writes(quetzalfleet.TableHosts), "moved the host without the new process")
		s.tick(100 * time.Millisecond)
	}
	confirmation.Incarnation = 5
	s.tick(time.Second, quetzalfleet.GossipArrived{Message: confirmation})
	s.waitForWrite(quetzalfleet.TableHosts)
}

// A message that an entry sent as a guest arrives after the entry has joined the roster. Its former
// sponsor must treat it as an entry of the roster.
func TestEntryOfTheRosterIsNoGuest(t *testing.T) {
	s := newSingleEntry(t)
	s.ownLists = true
	s.scan(append(fleetRows(), rosterRow(self, quetzalfleet.RosterEntry{Entry: "f", Incarnation: 1}))...)
	s.list(0, quetzalfleet.ListedHost{ID: "host0", State: quetzalfleet.ListedLeaving})
	s.tick(time.Second, quetzalfleet.GossipArrived{Message: quetzalfleet.Gossip{
		From: "f", Incarnation: 1, Zone: "a", Address: "f:1", Guest: true,
	}})
	for range 20 {
		for _, c := range s.commands {
			if gossip, ok := c.(quetzalfleet.SendGossip); ok {
				require.Empty(t, gossip.Message.LeavingHosts, "treated as a guest")
			}
		}
		s.tick(200 * time.Millisecond)
	}
}

// An entry loses the duties while it scans for old rows. It must leave their deletion to the holder:
// the fence that it knows by then is that of its successor.
func TestFormerHolderSweepsNothing(t *testing.T) {
	s := newSingleEntry(t)
	s.renews = true
	s.w.Self.Retention = time.Minute
	s.scan(append(fleetRows()[:4], rosterRow(self, quetzalfleet.RosterEntry{Entry: "f", Incarnation: 1}))...)
	s.commit(s.waitForWrite(quetzalfleet.TableEpochs))
	s.scan()
	sweep := func() quetzalfleet.Row {
		for range 2000 {
			for _, c := range s.commands {
				if scan, ok := c.(quetzalfleet.ScanStore); ok && scan.Limit > 0 {
					return scan.Call
				}
			}
			s.tick(100 * time.Millisecond)
		}
		require.Fail(t, "no sweep")
		return 0
	}
	call := sweep()
	s.scan(epochRow("f", 2))
	old := row(quetzalfleet.TableClaims, "old", quetzalfleet.ClaimRow{Request: "old"})
	s.revision++
	old.Revision = s.revision
	s.tick(0, quetzalfleet.StoreAnswered{Call: call, Result: quetzalfleet.RowsRead{
		Revision: s.revision, Rows: []quetzalfleet.RowAtRevision{old},
	}})
	require.Empty(t, s.writes(quetzalfleet.TableClaims), "deleted under the fence of its successor")
}

// adoptedWork returns the body of a job's work at the live entry that holds it.
func adoptedWork(sim *quetzalsimulation.Simulation, id quetzalunit.RequestID) string {
	for _, e := range sim.Entries.All() {
		if r := e.World.Requests.At(e.World.RequestByID.Get(id)); r != nil && r.Work != nil && !e.Dead {
			return string(r.Work.Body)
		}
	}
	return ""
}

// Two requests with the same id and different bodies reach two entries. The work of the one that was
// accepted must stay, or an entry that takes it over runs the other one's.
func TestWorkOfAnAcceptedJobIsNotReplaced(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	sim.RunTime = func(quetzalunit.RequestID) time.Duration { return time.Minute }
	first, second := request("job", true), request("job", true)
	first.Async, first.Timeout, first.Work = true, time.Hour, &quetzalfleet.Payload{Body: []byte("first")}
	second.Async, second.Timeout, second.Work = true, time.Hour, &quetzalfleet.Payload{Body: []byte("second")}
	second.BodyDigest = "other"
	sim.Submit("a-entry1", first)
	sim.Advance(time.Second)
	sim.Submit("a-entry2", second)
	sim.Advance(time.Second)
	require.IsType(t, quetzalfleet.Accepted{}, sim.Answers[0].Outcome)
	require.IsType(t, quetzalfleet.RequestIDConflict{}, sim.Answers[1].Outcome)
	sim.Kill("a-entry1")
	sim.Advance(20 * time.Second)
	require.Equal(t, "first", adoptedWork(sim, "job"))
}

// Earlier versions stored the work of a job under its id alone.
func TestWorkOfAnEarlierVersionIsFound(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	sim.RunTime = func(quetzalunit.RequestID) time.Duration { return time.Minute }
	in := request("job", true)
	in.Async, in.Timeout, in.Work = true, time.Hour, &quetzalfleet.Payload{Body: []byte("first")}
	sim.Submit("a-entry1", in)
	sim.Advance(time.Second)
	key := quetzalfleet.WorkKey(in.ID, in.BodyDigest)
	require.Contains(t, sim.Platform.Objects, key)
	sim.Platform.Objects[quetzalfleet.FormerWorkKey(in.ID)] = sim.Platform.Objects[key]
	delete(sim.Platform.Objects, key)
	sim.Kill("a-entry1")
	sim.Advance(20 * time.Second)
	require.Equal(t, "first", adoptedWork(sim, in.ID))
}

// During an outage a restarted entry learns the rows from its peers, 200 in a message. Until it has
// all of them it must not reject a request for a queue that it does not know yet as invalid, or serve
// by the defaults of settings that it does not know yet.
func TestEntryServesOnceItHasAllRows(t *testing.T) {
	s := newSingleEntry(t)
	s.w.Self.SeedAddresses = []quetzalunit.Address{"f:1"}
	ask := func(caller quetzalunit.CallerID) quetzalfleet.Outcome {
		in := request(fmt.Sprint("q~", caller), true)
		in.ClaimExempt, in.Caller = true, caller
		s.tick(time.Millisecond, in)
		if outcomes := s.answers(caller); len(outcomes) > 0 {
			return outcomes[0]
		}
		return nil
	}
	var rows []quetzalfleet.RowAtRevision
	for n := range 200 {
		id := quetzalunit.TeamID(fmt.Sprint("team", n))
		rows = append(rows, row(quetzalfleet.TableTeams, string(id), quetzalfleet.TeamRow{ID: id, Weight: 1}))
	}
	rows = append(append(rows, fleetRows()...), rosterRow(self))
	for i := range rows {
		rows[i].Revision = quetzalunit.Revision(i + 1)
	}
	require.Equal(t, quetzalfleet.EntryStarting, ask(1).(quetzalfleet.NotRun).Reason)
	s.tick(time.Millisecond, quetzalfleet.GossipArrived{Message: quetzalfleet.Gossip{
		From: "f", Incarnation: 1, Zone: "a", SeenRevision: 199, Rows: rows[:200],
	}})
	refused := ask(2)
	require.IsType(t, quetzalfleet.NotRun{}, refused)
	require.Equal(t, quetzalfleet.EntryStarting, refused.(quetzalfleet.NotRun).Reason)
	require.False(t, quetzalsystem.Ready(s.w))
	s.tick(2 * time.Second)
	sent := false
	for _, c := range s.commands {
		if gossip, ok := c.(quetzalfleet.SendGossip); ok {
			sent = true
			require.Zero(t, gossip.Message.SeenRevision)
		}
	}
	require.True(t, sent)
	s.tick(time.Millisecond, quetzalfleet.GossipArrived{Message: quetzalfleet.Gossip{
		From: "f", Incarnation: 1, Zone: "a", SinceRevision: 199, SeenRevision: 206, Rows: rows[199:],
	}})
	require.True(t, quetzalsystem.Ready(s.w))
	require.Nil(t, ask(3))
	require.Equal(t, 1, s.w.Attempts.Len())
}

// A host that does not answer is replaced by another one with the same entry name, and then its
// process resumes. It must not take the place of its successor in the roster.
func TestReplacedProcessStaysOut(t *testing.T) {
	s := newSingleEntry(t)
	s.scan(append(fleetRows()[:4], rosterRow(self))...)
	require.True(t, quetzalsystem.Ready(s.w))
	s.scan(rosterRow(quetzalfleet.RosterEntry{Entry: "e", Incarnation: 8}))
	require.False(t, quetzalsystem.Ready(s.w))
	for range 20 {
		require.Empty(t, s.writes(quetzalfleet.TableRosters), "took the place of its successor")
		s.scan()
	}
	s.scan(rosterRow())
	s.waitForWrite(quetzalfleet.TableRosters)
}

// The host of an entry is suspended for so long that the entry is removed from the roster. When it
// resumes it must not send requests before it has asked the platform whether it is still in the roster:
// hosts may have been moved without it.
func TestResumedEntryReadsTheRosterBeforeItServes(t *testing.T) {
	for _, removed := range []bool{true, false} {
		s := newSingleEntry(t)
		s.scan(append(fleetRows()[:4], rosterRow(self))...)
		for s.w.ScanCall == 0 {
			s.tick(100 * time.Millisecond)
		}
		before := s.w.ScanCall
		in := request("q~1", true)
		in.ClaimExempt, in.Caller, in.Timeout = true, 1, time.Hour
		s.tick(10*time.Second, in)
		require.Zero(t, s.w.Attempts.Len(), "served by an old roster")
		s.tick(time.Millisecond, quetzalfleet.StoreAnswered{Call: before, Result: quetzalfleet.RowsRead{Revision: s.revision}})
		require.Zero(t, s.w.Attempts.Len(), "served by a roster read before it was suspended")
		if removed {
			s.scan(rosterRow())
			require.Zero(t, s.w.Attempts.Len())
			continue
		}
		require.NotZero(t, s.w.ScanCall, "waits for the next poll")
		s.tick(time.Millisecond, quetzalfleet.StoreAnswered{Call: s.w.ScanCall, Result: quetzalfleet.NoAnswer{}})
		require.Equal(t, 1, s.w.Attempts.Len(), "an outage of the platform stops service")
	}
}

// A peer reports that a host is leaving. A list that was requested before, or whose answer waited while
// this entry was suspended, must not end the report: it does not show that the host stays.
func TestOldListDoesNotEndALeavingReport(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		s := newSingleEntry(t)
		s.ownLists = true
		s.scan(append(fleetRows()[:4], rosterRow(self))...)
		s.list(0)
		for s.w.ListCall == 0 {
			s.tick(100 * time.Millisecond)
		}
		live := quetzalfleet.ListedHost{ID: "host0"}
		s.tick(100*time.Millisecond, quetzalfleet.GossipArrived{Message: quetzalfleet.Gossip{
			From: "f", Incarnation: 1, Zone: "a", LeavingHosts: []quetzalfleet.HostGeneration{{Host: "host0", Generation: 1}},
		}})
		if suspended {
			s.list(12*time.Second, live)
		} else {
			s.list(100*time.Millisecond, live)
			for range 105 {
				s.tick(100 * time.Millisecond)
			}
		}
		s.scan()
		s.scan() // the first one may have been sent before the suspension
		for n := range quetzalunit.CallerID(8) {
			in := request(fmt.Sprint("q~", n), true)
			in.ClaimExempt, in.Caller = true, n+1
			s.tick(time.Millisecond, in)
		}
		require.Equal(t, 8, s.w.Attempts.Len())
		for _, a := range s.w.Attempts.All() {
			require.Equal(t, quetzalunit.HostID("host1"), s.w.Hosts.At(a.Host).ID)
		}
		for range 20 {
			s.list(0, live)
			s.tick(time.Second)
		}
		require.Zero(t, s.w.Hosts.At(s.w.HostByID.Get("host0")).LeavingGeneration, "never ends")
	}
}
