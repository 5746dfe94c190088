package quetzalsimulation

import (
	"time"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// executeCommand executes a command of an entry. Commands of a frozen entry are postponed
// until it resumes.
func (t *Simulation) executeCommand(row quetzaltable.Row, c quetzalfleet.Command) {
	e := t.Entries.At(row)
	if e.Dead {
		return
	}
	if t.Now < e.FrozenUntil {
		t.events.Push(e.FrozenUntil, commandExecution{entry: row, command: c})
		return
	}
	switch c := c.(type) {
	case quetzalfleet.SendAttempt:
		t.startRun(row, &c)
	case quetzalfleet.CancelAttempt:
		t.cancelAttempt(row, c.Attempt)
	case quetzalfleet.ForwardAttempt:
		t.forwardAttempt(row, &c)
	case quetzalfleet.AnswerCaller:
		t.answerCaller(e.World.Self.Incarnation, &c)
	case quetzalfleet.WriteStore, quetzalfleet.ReadStore, quetzalfleet.ScanStore, quetzalfleet.PutObject,
		quetzalfleet.GetObject, quetzalfleet.ListHosts, quetzalfleet.RebootHost:
		t.sendStoreCall(row, quetzalfleet.StoreCallOf(c), c)
	case quetzalfleet.SendGossip:
		t.sendGossip(row, &c)
	case quetzalfleet.AnswerGossip:
		t.answerGossip(&c)
	case quetzalfleet.SendJoin:
		t.sendJoin(row, &c)
	case quetzalfleet.AnswerOperator:
		t.operatorResults[c.Caller] = c.Result
	case quetzalfleet.FinishStop:
		e.Finished = true
	case quetzalfleet.ObserveRequest:
	case quetzalfleet.LogDecision:
		t.Decisions = append(t.Decisions, EntryDecision{Entry: e.ID, Decision: c.Decision})
	}
}

// answerCaller returns an outcome to the script or to the peer that waits for it.
func (t *Simulation) answerCaller(incarnation quetzalunit.Incarnation, c *quetzalfleet.AnswerCaller) {
	row := quetzaltable.Row(c.Caller)
	waiting := t.callers.At(row)
	if waiting == nil {
		return
	}
	switch waiting := (*waiting).(type) {
	case scriptCaller:
		t.Answers = append(t.Answers, Answer{Request: c.ID, Incarnation: incarnation, Outcome: c.Outcome, At: t.Now})
	case joiningPeer:
		t.events.Push(t.Now.Add(MessageLatency), inputDelivery{
			entry: waiting.entry, in: quetzalfleet.JoinAnswered{Request: waiting.request, Outcome: c.Outcome},
		})
	case forwardingPeer:
		t.events.Push(t.Now.Add(MessageLatency), inputDelivery{
			entry: waiting.entry, in: quetzalfleet.AttemptEnded{Attempt: waiting.attempt, Result: forwardResult(c.Outcome)},
		})
	case gossipingPeer:
	}
	t.callers.Delete(row)
}

// forwardResult converts an outcome by way of its message, as the real peers do.
func forwardResult(o quetzalfleet.Outcome) quetzalfleet.AttemptResult {
	reply := quetzalcodec.EncodeJoinReply(o)
	return quetzalcodec.DecodeForwardReply(&reply)
}

// forwardAttempt delivers a request to an entry of another zone. Without an answer in
// time the attempt ends as one that may have run.
func (t *Simulation) forwardAttempt(row quetzaltable.Row, c *quetzalfleet.ForwardAttempt) {
	to := t.reachableEntry(row, c.Address)
	if to == 0 {
		t.events.Push(t.Now.Add(MessageLatency), inputDelivery{
			entry: row, in: quetzalfleet.AttemptEnded{Attempt: c.Attempt, Result: quetzalfleet.NotSent{}},
		})
		return
	}
	in, err := quetzalcodec.DecodeForward(quetzalcodec.EncodeForward(c))
	if err != nil {
		panic(err) // the message comes from EncodeForward
	}
	callerRow := t.callers.Insert(forwardingPeer{entry: row, attempt: c.Attempt})
	in.Caller = quetzalunit.CallerID(callerRow)
	t.events.Push(t.Now.Add(MessageLatency), inputDelivery{entry: to, in: in})
	t.After(c.Timeout+peerCallTimeout, func() {
		if t.callers.At(callerRow) != nil {
			t.callers.Delete(callerRow)
			t.deliver(row, quetzalfleet.AttemptEnded{Attempt: c.Attempt, Result: quetzalfleet.ConnectionFailed{}})
		}
	})
}

// reachableEntry returns the entry at an address, or zero if the entry from cannot reach
// it.
func (t *Simulation) reachableEntry(from quetzaltable.Row, to quetzalunit.Address) quetzaltable.Row {
	row := t.entryByAddr.Get(to)
	e := t.Entries.At(row)
	if e == nil || e.Dead || e.Finished || e.PartitionedFromPeers || t.Entries.At(from).PartitionedFromPeers {
		return 0
	}
	return row
}

func (t *Simulation) sendGossip(row quetzaltable.Row, c *quetzalfleet.SendGossip) {
	to := t.reachableEntry(row, c.Address)
	if to == 0 {
		t.events.Push(t.Now.Add(peerCallTimeout), inputDelivery{
			entry: row, in: quetzalfleet.GossipAnswered{Peer: c.Peer, Failed: true},
		})
		return
	}
	callerRow := t.callers.Insert(gossipingPeer{entry: row, peer: c.Peer})
	t.events.Push(t.Now.Add(MessageLatency), inputDelivery{
		entry: to, in: quetzalfleet.GossipArrived{Caller: quetzalunit.CallerID(callerRow), Message: c.Message},
	})
	t.After(peerCallTimeout, func() {
		if t.callers.At(callerRow) != nil {
			t.callers.Delete(callerRow)
			t.deliver(row, quetzalfleet.GossipAnswered{Peer: c.Peer, Failed: true})
		}
	})
}

func (t *Simulation) answerGossip(c *quetzalfleet.AnswerGossip) {
	row := quetzaltable.Row(c.Caller)
	waiting := t.callers.At(row)
	if waiting == nil {
		return
	}
	g, ok := (*waiting).(gossipingPeer)
	t.callers.Delete(row)
	if ok {
		t.events.Push(t.Now.Add(MessageLatency), inputDelivery{entry: g.entry, in: quetzalfleet.GossipAnswered{
			Peer: g.peer, SeenRevision: c.SeenRevision, SettingsVersion: c.SettingsVersion, Sponsors: c.Sponsors,
		}})
	}
}

func (t *Simulation) sendJoin(row quetzaltable.Row, c *quetzalfleet.SendJoin) {
	to := t.reachableEntry(row, c.Address)
	if to == 0 {
		t.events.Push(t.Now.Add(peerCallTimeout), inputDelivery{entry: row, in: quetzalfleet.JoinAnswered{Request: c.Request}})
		return
	}
	callerRow := t.callers.Insert(joiningPeer{entry: row, request: c.Request})
	t.events.Push(t.Now.Add(MessageLatency), inputDelivery{entry: to, in: quetzalfleet.JoinArrived{
		Caller: quetzalunit.CallerID(callerRow), ID: c.ID, Incarnation: c.Incarnation,
	}})
	t.After(max(c.Timeout, time.Millisecond), func() {
		if t.callers.At(callerRow) != nil {
			t.callers.Delete(callerRow)
			t.deliver(row, quetzalfleet.JoinAnswered{Request: c.Request})
		}
	})
}

// startRun delivers a request to a minion, which runs or refuses it.
func (t *Simulation) startRun(row quetzaltable.Row, c *quetzalfleet.SendAttempt) {
	m := t.Minion(c.Host)
	end := func(after time.Duration, result quetzalfleet.AttemptResult) {
		t.events.Push(t.Now.Add(after), inputDelivery{
			entry: row, in: quetzalfleet.AttemptEnded{Attempt: c.Attempt, Result: result},
		})
	}
	switch {
	case m == nil || m.Down || m.rebooting:
		end(2*MessageLatency, quetzalfleet.NotSent{})
		return
	case m.Leaving:
		t.Refusals++
		end(2*MessageLatency, quetzalfleet.Refused{Leaving: true})
		return
	case m.Running >= quetzalunit.SlotsPerMinion:
		t.Refusals++
		end(2*MessageLatency, quetzalfleet.Refused{})
		return
	}
	m.Running++
	run := t.Runs.Insert(Run{
		Request: c.ID, Host: c.Host, Pool: c.Pool, Generation: c.Generation,
		Entry: row, Attempt: c.Attempt, Start: t.Now.Add(MessageLatency),
	})
	d := t.RunTime(c.ID)
	if m.BlackHole {
		d = 0
	}
	t.events.Push(t.Now.Add(2*MessageLatency+min(d, c.Timeout)), runEnd{run: run})
}

// finishRun ends a run that was not aborted: with an answer, or with a timeout if the
// attempt's timeout was shorter than the run time.
func (t *Simulation) finishRun(row quetzaltable.Row) {
	run := t.Runs.At(row)
	if run.End > 0 {
		return
	}
	m := t.Minion(run.Host)
	status := quetzalunit.HTTPStatus(200)
	if m.BlackHole {
		status = 500
	}
	if t.Now.Sub(run.Start) < t.RunTime(run.Request) && !m.BlackHole {
		t.endRun(row, false)
		t.deliver(run.Entry, quetzalfleet.AttemptEnded{Attempt: run.Attempt, Result: quetzalfleet.TimedOut{}})
		return
	}
	t.endRun(row, status == 200)
	t.deliver(run.Entry, quetzalfleet.AttemptEnded{
		Attempt: run.Attempt, Result: quetzalfleet.Answered{Answer: &quetzalfleet.Payload{Status: status}},
	})
}

// endRun records the end of a run and frees its slot.
func (t *Simulation) endRun(row quetzaltable.Row, completed bool) {
	run := t.Runs.At(row)
	run.End = t.Now
	run.Completed = completed
	t.Minion(run.Host).Running--
}

func (t *Simulation) cancelAttempt(entry quetzaltable.Row, attempt quetzalfleet.Row) {
	for row, run := range t.Runs.All() {
		if run.Entry == entry && run.Attempt == attempt && run.End == 0 {
			t.endRun(row, false)
			t.deliver(entry, quetzalfleet.AttemptEnded{Attempt: attempt, Result: quetzalfleet.ConnectionFailed{}})
			return
		}
	}
}

// Crash takes a host down and breaks the connections of its runs.
func (t *Simulation) Crash(id quetzalunit.HostID) {
	t.Minion(id).Down = true
	t.breakRuns(id)
}

// breakRuns ends the runs on a host without an answer.
func (t *Simulation) breakRuns(id quetzalunit.HostID) {
	for row, run := range t.Runs.All() {
		if run.Host == id && run.End == 0 {
			t.endRun(row, false)
			t.deliver(run.Entry, quetzalfleet.AttemptEnded{Attempt: run.Attempt, Result: quetzalfleet.ConnectionFailed{}})
		}
	}
}
