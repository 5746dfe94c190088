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

// singleEntry is the World of one entry. The test supplies the answers of the platform
// and the peers.
type singleEntry struct {
	t *testing.T
	w *quetzalfleet.World
	// commands are the commands of the last tick.
	commands []quetzalfleet.Command
	revision quetzalunit.Revision
	// peersSilent makes every message to a peer fail.
	peersSilent bool
	// ownLists leaves the calls for the platform's list to the test. Otherwise they are answered with
	// an empty list, which leaves every host live.
	ownLists bool
	// renews commits every renewal of the duties.
	renews bool
}

func newSingleEntry(t *testing.T) *singleEntry {
	s := &singleEntry{t: t, w: &quetzalfleet.World{Self: quetzalfleet.Identity{
		Entry: "e", Zone: "a", Incarnation: 7, LeaseDuration: 5 * time.Second, PollPeriod: time.Second, GossipPeriod: time.Second,
	}}}
	quetzalsystem.Start(s.w, quetzalunit.Instant(time.Hour))
	return s
}

// tick advances the time and runs a tick with the inputs. Replies of the peers to the
// messages of the last tick, and of the platform to its calls for the list, are added.
func (s *singleEntry) tick(d time.Duration, inputs ...quetzalfleet.Input) {
	for _, c := range s.commands {
		switch c := c.(type) {
		case quetzalfleet.SendGossip:
			inputs = append(inputs, quetzalfleet.GossipAnswered{Peer: c.Peer, Failed: s.peersSilent})
		case quetzalfleet.ListHosts:
			if !s.ownLists {
				inputs = append(inputs, quetzalfleet.StoreAnswered{Call: c.Call, Result: quetzalfleet.HostsListed{}})
			}
		case quetzalfleet.WriteStore:
			if s.renews && c.Transaction.Writes[0].Key.Table == quetzalfleet.TableRenewals {
				s.revision++
				inputs = append(inputs, quetzalfleet.StoreAnswered{Call: c.Call, Result: quetzalfleet.Committed{Revision: s.revision}})
			}
		}
	}
	s.commands = quetzalsystem.Tick(s.w, s.w.Now.Add(d), inputs)
}

// scan answers the scan in flight, or the next one, with rows at new revisions.
func (s *singleEntry) scan(rows ...quetzalfleet.RowAtRevision) {
	s.t.Helper()
	for i := range rows {
		s.revision++
		rows[i].Revision = s.revision
	}
	for range 10 {
		if call := s.w.ScanCall; call != 0 {
			s.tick(0, quetzalfleet.StoreAnswered{Call: call, Result: quetzalfleet.RowsRead{Revision: s.revision, Rows: rows}})
			return
		}
		s.tick(time.Second)
	}
	require.Fail(s.t, "no scan")
}

func row(table quetzalfleet.TableName, key string, v quetzalfleet.StoredRow) quetzalfleet.RowAtRevision {
	return quetzalfleet.RowAtRevision{Key: quetzalfleet.RowKey{Table: table, Key: key}, Row: v}
}

func hostRow(id string, g quetzalunit.Generation, s quetzalfleet.HostState) quetzalfleet.RowAtRevision {
	return row(quetzalfleet.TableHosts, id, quetzalfleet.HostRow{HostSpec: quetzalfleet.HostSpec{
		ID: quetzalunit.HostID(id), Zone: "a", Pool: "proofs", Generation: g, State: s,
	}})
}

func rosterRow(entries ...quetzalfleet.RosterEntry) quetzalfleet.RowAtRevision {
	return row(quetzalfleet.TableRosters, "a", quetzalfleet.RosterRow{Zone: "a", Entries: entries})
}

var self = quetzalfleet.RosterEntry{Entry: "e", Incarnation: 7}

func fleetRows() []quetzalfleet.RowAtRevision {
	return []quetzalfleet.RowAtRevision{
		row(quetzalfleet.TablePools, "proofs", quetzalfleet.PoolRow{
			ID: "proofs", Budgets: []quetzalfleet.ZoneBudget{{Zone: "a", MinHosts: 1}},
		}),
		row(quetzalfleet.TableQueues, "proofs", quetzalfleet.QueueRow{ID: "proofs", Pool: "proofs"}),
		hostRow("host0", 1, quetzalfleet.HostServing),
		hostRow("host1", 1, quetzalfleet.HostServing),
		row(quetzalfleet.TableWaves, "w", quetzalfleet.WaveRow{WaveSpec: quetzalfleet.WaveSpec{ID: "w"}}),
	}
}

// writes returns the calls of the last tick that write rows of a table.
func (s *singleEntry) writes(table quetzalfleet.TableName) []quetzalfleet.WriteStore {
	var found []quetzalfleet.WriteStore
	for _, c := range s.commands {
		if w, ok := c.(quetzalfleet.WriteStore); ok && w.Transaction.Writes[0].Key.Table == table {
			found = append(found, w)
		}
	}
	return found
}

// waitForWrite ticks until the entry writes a row of a table.
func (s *singleEntry) waitForWrite(table quetzalfleet.TableName) quetzalfleet.WriteStore {
	s.t.Helper()
	for range 20 {
		if found := s.writes(table); len(found) > 0 {
			return found[0]
		}
		s.tick(200 * time.Millisecond)
	}
	require.Fail(s.t, "no write to "+string(table))
	return quetzalfleet.WriteStore{}
}

// commit answers a write as committed.
func (s *singleEntry) commit(w quetzalfleet.WriteStore) {
	s.revision++
	s.tick(0, quetzalfleet.StoreAnswered{Call: w.Call, Result: quetzalfleet.Committed{Revision: s.revision}})
}

// Guards against a new holder of the duties that plans before it has read what its
// predecessor wrote, and drains a pool's last host.
func TestNewHolderReadsBeforeItPlans(t *testing.T) {
	s := newSingleEntry(t)
	s.scan(append(fleetRows(), rosterRow(self))...)
	s.commit(s.waitForWrite(quetzalfleet.TableEpochs))
	for range 5 {
		require.Empty(t, s.writes(quetzalfleet.TableHosts), "planned before it had read")
		s.tick(100 * time.Millisecond)
	}
	s.scan(hostRow("host0", 2, quetzalfleet.HostLeaving))
	s.tick(time.Second)
	require.Empty(t, s.writes(quetzalfleet.TableHosts), "drained the pool's last host")
}

// Guards against a second host being drained while the change of the first had no answer.
// That change may be committed at any time until the row has a new revision, so the
// entry rewrites the row first.
func TestHostWithUnansweredChangeIsNotAvailable(t *testing.T) {
	s := newSingleEntry(t)
	s.scan(append(fleetRows(), rosterRow(self))...)
	s.commit(s.waitForWrite(quetzalfleet.TableEpochs))
	s.scan()
	drain := s.waitForWrite(quetzalfleet.TableHosts)
	leaving := drain.Transaction.Writes[0].Row.(quetzalfleet.HostRow)
	require.Equal(t, quetzalfleet.HostLeaving, leaving.State)
	s.tick(0, quetzalfleet.StoreAnswered{Call: drain.Call, Result: quetzalfleet.NoAnswer{}})
	rewrite := s.waitForWrite(quetzalfleet.TableHosts)
	require.Len(t, s.writes(quetzalfleet.TableHosts), 1, "drained another host")
	rewritten := rewrite.Transaction.Writes[0].Row.(quetzalfleet.HostRow)
	require.Equal(t, leaving.ID, rewritten.ID)
	require.Equal(t, quetzalfleet.HostServing, rewritten.State)
	require.Equal(t, quetzalunit.Generation(1), rewritten.Generation)
}

// Moves wait only for the entries in the roster and their guests, so an entry that is
// neither must not send work. Here the roster has an earlier process with the same id.
func TestEntryOutsideTheRosterSendsNothing(t *testing.T) {
	s := newSingleEntry(t)
	s.scan(append(fleetRows(), rosterRow(quetzalfleet.RosterEntry{Entry: "e", Incarnation: 6}))...)
	in := request("q~1", true)
	in.ClaimExempt, in.Caller = true, 1
	s.tick(time.Millisecond, in)
	require.Zero(t, s.w.Attempts.Len())
	s.scan(rosterRow(self))
	require.Equal(t, 1, s.w.Attempts.Len())
}

// A host that this entry has confirmed may be moved at any time, so a guest must not
// serve before it knows the generation of every host. The rows can be newer than the
// last completed scan, for example when an outage of the platform begins right after a
// change, so the check compares the hosts' generations.
func TestGuestMayServeOnceItKnowsTheHosts(t *testing.T) {
	s := newSingleEntry(t)
	s.scan(append(fleetRows(), rosterRow(self))...)
	s.scan(hostRow("host0", 2, quetzalfleet.HostLeaving))
	sponsored := func(known ...quetzalfleet.HostGeneration) bool {
		s.tick(time.Millisecond, quetzalfleet.GossipArrived{Message: quetzalfleet.Gossip{
			From: "guest", Incarnation: 1, Zone: "a", Address: "guest:1", Guest: true, KnownHosts: known,
		}})
		for _, c := range s.commands {
			if a, ok := c.(quetzalfleet.AnswerGossip); ok {
				return a.Sponsors
			}
		}
		require.Fail(t, "no reply")
		return false
	}
	old, current := quetzalfleet.HostGeneration{Host: "host0", Generation: 1}, quetzalfleet.HostGeneration{Host: "host0", Generation: 2}
	other := quetzalfleet.HostGeneration{Host: "host1", Generation: 1}
	require.False(t, sponsored(current, other), "before it was told which hosts are leaving")
	s.tick(time.Second)
	s.tick(time.Millisecond)
	require.False(t, sponsored())
	require.False(t, sponsored(old, other))
	require.False(t, sponsored(current))
	require.True(t, sponsored(current, other))
}

// Guards against a move of a host on which a run still goes on: a minion may take up to
// 2 s to stop a run whose attempt timed out.
func TestHostIsNotConfirmedWhileWorkMayLinger(t *testing.T) {
	s := newSingleEntry(t)
	peer := quetzalfleet.RosterEntry{Entry: "f", Incarnation: 1}
	rows := append(fleetRows(), rosterRow(self, peer))
	s.scan(rows[0], rows[1], rows[2], rows[5])
	in := request("q~1", false)
	in.ClaimExempt, in.Caller = true, 1
	s.tick(time.Millisecond, in)
	var attempt quetzalfleet.Row
	for row := range s.w.Attempts.All() {
		attempt = row
	}
	s.tick(time.Second, quetzalfleet.AttemptEnded{Attempt: attempt, Result: quetzalfleet.TimedOut{}})
	ended := s.w.Now
	s.scan(hostRow("host0", 2, quetzalfleet.HostLeaving))
	const grace = 2 * time.Second
	confirmed := false
	for range 50 {
		for _, c := range s.commands {
			if gossip, ok := c.(quetzalfleet.SendGossip); ok {
				confirmed = len(gossip.Message.DrainedHosts) > 0
				require.False(t, confirmed && s.w.Now.Sub(ended) < grace, "confirmed after %s", s.w.Now.Sub(ended))
			}
		}
		s.tick(100 * time.Millisecond)
	}
	require.True(t, confirmed)
}

// A change that an operator sends again, for example after a lost answer, is applied
// once.
func TestRepeatedChangeIsAppliedOnce(t *testing.T) {
	sim := newSimulation(t, 1, smallFleet())
	three := quetzalunit.Attempts(3)
	change := quetzalfleet.ChangeSetting{ID: "c1", Path: "Fleet/a", Values: quetzalfleet.SettingValues{RetryMaxAttempts: &three}}
	first := sim.SendOperatorAction("a-entry0", change)
	sim.Advance(time.Second)
	again := sim.SendOperatorAction("b-entry1", change)
	sim.Advance(3 * time.Second)
	require.IsType(t, quetzalfleet.ChangeAccepted{}, sim.OperatorResult(first))
	require.Equal(t, sim.OperatorResult(first), sim.OperatorResult(again))
	require.Equal(t, sim.OperatorResult(first).(quetzalfleet.ChangeAccepted).Version, sim.Entry("b-entry1").World.HeadVersion)
}

// Rows of claims, jobs and changes are deleted at the retention age; younger ones stay.
func TestOldRowsAreSwept(t *testing.T) {
	sim := quetzalsimulation.New(1)
	sim.Retention = 10 * time.Minute
	require.NoError(t, sim.BuildFleet(smallFleet()))
	for n := range 1200 {
		in := request(fmt.Sprint("old", n), false)
		in.Async = n%4 == 0
		sim.After(time.Duration(n)*10*time.Millisecond, func() { sim.Submit(quetzalsimulation.EntryID("a", n%3), in) })
	}
	sim.Advance(9 * time.Minute)
	tables := []string{string(quetzalfleet.TableClaims), string(quetzalfleet.TableJobs), string(quetzalfleet.TableChanges)}
	before, _ := sim.Platform.Tables.Scan(tables, 0, 0)
	require.Greater(t, len(before), 1200)
	sim.Submit("a-entry0", request("young", false))
	sim.Advance(5 * time.Minute)
	after, _ := sim.Platform.Tables.Scan(tables, 0, 0)
	require.Len(t, after, 1)
	require.Equal(t, "young", after[0].Key)
	sim.Submit("a-entry1", request("young", false))
	sim.Advance(time.Second)
	require.Equal(t, 1, sim.RunCount("young"))
	require.Empty(t, sim.Violations())
}

// Guards against results that depend on the iteration order of maps: the same script
// and seed give the same run.
func TestSimulationIsDeterministic(t *testing.T) {
	run := func() string {
		sim := newSimulation(t, 9, smallFleet())
		for n := range 300 {
			in := request(fmt.Sprint("r", n), n%2 == 0)
			in.Queue = []quetzalunit.QueueID{"proofs", "editions", "posters"}[n%3]
			sim.After(time.Duration(n)*7*time.Millisecond, func() { sim.Submit(quetzalsimulation.EntryID("a", n%3), in) })
		}
		sim.SendOperatorAction("a-entry0", quetzalfleet.CreateWave{ID: "w", Wave: quetzalfleet.WaveSpec{ID: "w", MaxConcurrent: 2}})
		sim.After(time.Second, func() { sim.Kill("a-entry2") })
		sim.Advance(time.Minute)
		return fmt.Sprint(sim.Decisions, len(sim.Answers), sim.Runs.Len())
	}
	first := run()
	second := run()
	require.Equal(t, first, second)
}

// Guards against settings that revert to older values when a peer that lags behind
// sends older rows.
func TestOlderSettingsFromAPeerChangeNothing(t *testing.T) {
	s := newSingleEntry(t)
	setting := func(v quetzalunit.Version, limit quetzalunit.Requests) quetzalfleet.RowAtRevision {
		return row(quetzalfleet.TableSettings, "Fleet", quetzalfleet.SettingRow{
			Path: "Fleet", Version: v, Values: quetzalfleet.SettingValues{QueueLimit: &limit},
		})
	}
	s.scan(setting(1, 10))
	s.scan(setting(2, 20))
	old := setting(1, 10)
	old.Revision = 1
	s.tick(time.Millisecond, quetzalfleet.GossipArrived{Message: quetzalfleet.Gossip{
		From: "f", Incarnation: 1, Zone: "a", Rows: []quetzalfleet.RowAtRevision{old},
	}})
	s.tick(time.Millisecond, quetzalfleet.OperatorRequested{Caller: 1, Action: quetzalfleet.GetSetting{Path: "Fleet"}})
	for _, c := range s.commands {
		if a, ok := c.(quetzalfleet.AnswerOperator); ok {
			view := a.Result.(quetzalfleet.SettingView)
			require.EqualValues(t, 2, view.Node.Version)
			require.EqualValues(t, 20, view.Effective.QueueLimit)
			return
		}
	}
	require.Fail(t, "no view")
}

// answers returns the outcomes that a caller got in the last tick.
func (s *singleEntry) answers(caller quetzalunit.CallerID) []quetzalfleet.Outcome {
	var outcomes []quetzalfleet.Outcome
	for _, c := range s.commands {
		if a, ok := c.(quetzalfleet.AnswerCaller); ok && a.Caller == caller {
			outcomes = append(outcomes, a.Outcome)
		}
	}
	return outcomes
}

// A job is cancelled while the transaction that stores it is in flight. It must be answered as
// cancelled only with its rows in their final state: otherwise an entry that takes the job over
// later runs it.
func TestCancelledJobIsStoredAsEnded(t *testing.T) {
	s := newSingleEntry(t)
	s.scan(append(fleetRows(), rosterRow(self))...)
	in := request("job", false)
	in.Async, in.Timeout, in.Caller = true, time.Hour, 1
	s.tick(time.Millisecond, in)
	for _, c := range s.commands {
		if put, ok := c.(quetzalfleet.PutObject); ok {
			s.tick(0, quetzalfleet.StoreAnswered{Call: put.Call, Result: quetzalfleet.ObjectStored{}})
			break
		}
	}
	write := s.waitForWrite(quetzalfleet.TableJobs)
	s.tick(time.Millisecond, quetzalfleet.CancelRequested{Caller: 2, ID: "job"})
	require.Empty(t, s.answers(2), "the job may be stored yet")
	s.commit(write)
	require.Equal(t, []quetzalfleet.Outcome{quetzalfleet.Cancelled{}}, s.answers(2))
	ended := s.waitForWrite(quetzalfleet.TableJobs).Transaction.Writes[0].Row.(quetzalfleet.JobRow)
	require.Equal(t, quetzalfleet.JobEnded, ended.State)
	require.Zero(t, s.w.Attempts.Len())
}

// A request may have run before it is cancelled between two attempts. Its caller must not be told
// that it was cancelled before it ran.
func TestCancelBetweenAttemptsIsUnknownIfTheRequestMayHaveRun(t *testing.T) {
	s := newSingleEntry(t)
	s.scan(append(fleetRows(), rosterRow(self))...)
	in := request("q~1", true)
	in.ClaimExempt, in.Caller, in.Timeout = true, 1, time.Hour
	s.tick(time.Millisecond, in)
	for row := range s.w.Attempts.All() {
		s.tick(time.Millisecond, quetzalfleet.AttemptEnded{Attempt: row, Result: quetzalfleet.ConnectionFailed{}})
		break
	}
	s.tick(0, quetzalfleet.CancelRequested{Caller: 2, ID: "q~1"})
	require.Len(t, s.answers(2), 1)
	require.IsType(t, quetzalfleet.Unknown{}, s.answers(2)[0])
}

// No host of the zone accepts work. A request that another zone has forwarded to this entry is not
// forwarded again; it must be refused at once, or it would hold up every request behind it.
func TestForwardedRequestDoesNotHoldUpItsLane(t *testing.T) {
	s := newSingleEntry(t)
	s.scan(append(fleetRows(), rosterRow(self))...)
	for _, h := range s.w.Hosts.All() {
		h.EjectedUntil = s.w.Now.Add(time.Hour)
	}
	in := request("job", false)
	in.Forwarded, in.ClaimExempt, in.Caller = true, true, 1
	s.tick(time.Millisecond, in)
	require.Len(t, s.answers(1), 1)
	require.IsType(t, quetzalfleet.NotRun{}, s.answers(1)[0])
}
