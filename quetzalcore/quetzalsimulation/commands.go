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
func (sim *Simulation) executeCommand(row quetzaltable.Row, c quetzalfleet.Command) {
	e := sim.Entries.At(row)
	if e.Dead {
		return
	}
	if sim.Now < e.FrozenUntil {
		sim.events.Push(e.FrozenUntil, commandExecution{entry: row, command: c})
		return
	}
	switch c := c.(type) {
	case quetzalfleet.SendAttempt:
		sim.startRun(row, &c)
	case quetzalfleet.CancelAttempt:
		sim.cancelAttempt(row, c.Attempt)
	case quetzalfleet.ForwardAttempt:
		sim.forwardAttempt(row, &c)
	case quetzalfleet.AnswerCaller:
		sim.answerCaller(e.World.Self.Incarnation, &c)
	case quetzalfleet.WriteStore, quetzalfleet.ReadStore, quetzalfleet.ScanStore, quetzalfleet.PutObject,
		quetzalfleet.GetObject, quetzalfleet.ListHosts, quetzalfleet.RebootHost:
		sim.sendStoreCall(row, quetzalfleet.StoreCallOf(c), c)
	case quetzalfleet.SendGossip:
		sim.sendGossip(row, &c)
	case quetzalfleet.AnswerGossip:
		sim.answerGossip(&c)
	case quetzalfleet.SendJoin:
		sim.sendJoin(row, &c)
	case quetzalfleet.AnswerOperator:
		sim.operatorResults[c.Caller] = c.Result
	case quetzalfleet.FinishStop:
		e.Finished = true
	case quetzalfleet.ObserveRequest:
	case quetzalfleet.LogDecision:
		sim.Decisions = append(sim.Decisions, EntryDecision{Entry: e.ID, Decision: c.Decision})
	}
}

// answerCaller returns an outcome to the script or to the peer that waits for it.
func (sim *Simulation) answerCaller(incarnation quetzalunit.Incarnation, c *quetzalfleet.AnswerCaller) {
	row := quetzaltable.Row(c.Caller)
	waiting := sim.callers.At(row)
	if waiting == nil {
		return
	}
	switch waiting := (*waiting).(type) {
	case scriptCaller:
		sim.Answers = append(sim.Answers, Answer{Request: c.ID, Incarnation: incarnation, Outcome: c.Outcome, At: sim.Now})
	case joiningPeer:
		sim.events.Push(sim.Now.Add(MessageLatency), inputDelivery{
			entry: waiting.entry, in: quetzalfleet.JoinAnswered{Request: waiting.request, Outcome: c.Outcome},
		})
	case forwardingPeer:
		sim.events.Push(sim.Now.Add(MessageLatency), inputDelivery{
			entry: waiting.entry, in: quetzalfleet.AttemptEnded{Attempt: waiting.attempt, Result: forwardResult(c.Outcome)},
		})
	case gossipingPeer:
	}
	sim.callers.Delete(row)
}

// forwardResult converts an outcome by way of its message, as the real peers do.
func forwardResult(o quetzalfleet.Outcome) quetzalfleet.AttemptResult {
	reply := quetzalcodec.EncodeJoinReply(o)
	return quetzalcodec.DecodeForwardReply(&reply)
}

// forwardAttempt delivers a request to an entry of another zone. Without an answer in
// time the attempt ends as one that may have run.
func (sim *Simulation) forwardAttempt(row quetzaltable.Row, c *quetzalfleet.ForwardAttempt) {
	to := sim.reachableEntry(row, c.Address)
	if to == 0 {
		sim.events.Push(sim.Now.Add(MessageLatency), inputDelivery{
			entry: row, in: quetzalfleet.AttemptEnded{Attempt: c.Attempt, Result: quetzalfleet.NotSent{}},
		})
		return
	}
	in, err := quetzalcodec.DecodeForward(quetzalcodec.EncodeForward(c))
	if err != nil {
		panic(err) // the message comes from EncodeForward
	}
	callerRow := sim.callers.Insert(forwardingPeer{entry: row, attempt: c.Attempt})
	in.Caller = quetzalunit.CallerID(callerRow)
	sim.events.Push(sim.Now.Add(MessageLatency), inputDelivery{entry: to, in: in})
	sim.After(c.Timeout+peerCallTimeout, func() {
		if sim.callers.At(callerRow) != nil {
			sim.callers.Delete(callerRow)
			sim.deliver(row, quetzalfleet.AttemptEnded{Attempt: c.Attempt, Result: quetzalfleet.ConnectionFailed{}})
		}
	})
}

// reachableEntry returns the entry at an address, or zero if the entry from cannot reach
// it.
func (sim *Simulation) reachableEntry(from quetzaltable.Row, to quetzalunit.Address) quetzaltable.Row {
	row := sim.entryByAddr.Get(to)
	e := sim.Entries.At(row)
	if e == nil || e.Dead || e.Finished || e.PartitionedFromPeers || sim.Entries.At(from).PartitionedFromPeers {
		return 0
	}
	return row
}

func (sim *Simulation) sendGossip(row quetzaltable.Row, c *quetzalfleet.SendGossip) {
	to := sim.reachableEntry(row, c.Address)
	if to == 0 {
		sim.events.Push(sim.Now.Add(peerCallTimeout), inputDelivery{
			entry: row, in: quetzalfleet.GossipAnswered{Peer: c.Peer, Failed: true},
		})
		return
	}
	callerRow := sim.callers.Insert(gossipingPeer{entry: row, peer: c.Peer})
	sim.events.Push(sim.Now.Add(MessageLatency), inputDelivery{
		entry: to, in: quetzalfleet.GossipArrived{Caller: quetzalunit.CallerID(callerRow), Message: c.Message},
	})
	sim.After(peerCallTimeout, func() {
		if sim.callers.At(callerRow) != nil {
			sim.callers.Delete(callerRow)
			sim.deliver(row, quetzalfleet.GossipAnswered{Peer: c.Peer, Failed: true})
		}
	})
}

func (sim *Simulation) answerGossip(c *quetzalfleet.AnswerGossip) {
	row := quetzaltable.Row(c.Caller)
	waiting := sim.callers.At(row)
	if waiting == nil {
		return
	}
	g, ok := (*waiting).(gossipingPeer)
	sim.callers.Delete(row)
	if ok {
		sim.events.Push(sim.Now.Add(MessageLatency), inputDelivery{entry: g.entry, in: quetzalfleet.GossipAnswered{
			Peer: g.peer, SeenRevision: c.SeenRevision, SettingsVersion: c.SettingsVersion, Sponsors: c.Sponsors,
		}})
	}
}

func (sim *Simulation) sendJoin(row quetzaltable.Row, c *quetzalfleet.SendJoin) {
	to := sim.reachableEntry(row, c.Address)
	if to == 0 {
		sim.events.Push(sim.Now.Add(peerCallTimeout), inputDelivery{entry: row, in: quetzalfleet.JoinAnswered{Request: c.Request}})
		return
	}
	callerRow := sim.callers.Insert(joiningPeer{entry: row, request: c.Request})
	sim.events.Push(sim.Now.Add(MessageLatency), inputDelivery{entry: to, in: quetzalfleet.JoinArrived{
		Caller: quetzalunit.CallerID(callerRow), ID: c.ID, Incarnation: c.Incarnation,
	}})
	sim.After(max(c.Timeout, time.Millisecond), func() {
		if sim.callers.At(callerRow) != nil {
			sim.callers.Delete(callerRow)
			sim.deliver(row, quetzalfleet.JoinAnswered{Request: c.Request})
		}
	})
}

// startRun delivers a request to a minion, which runs or refuses it.
func (sim *Simulation) startRun(row quetzaltable.Row, c *quetzalfleet.SendAttempt) {
	m := sim.Minion(c.Host)
	end := func(after time.Duration, result quetzalfleet.AttemptResult) {
		sim.events.Push(sim.Now.Add(after), inputDelivery{
			entry: row, in: quetzalfleet.AttemptEnded{Attempt: c.Attempt, Result: result},
		})
	}
	switch {
	case m == nil || m.Down || m.rebooting:
		end(2*MessageLatency, quetzalfleet.NotSent{})
		return
	case m.Leaving:
		sim.Refusals++
		end(2*MessageLatency, quetzalfleet.Refused{Leaving: true})
		return
	case m.Running >= quetzalunit.SlotsPerMinion:
		sim.Refusals++
		end(2*MessageLatency, quetzalfleet.Refused{})
		return
	}
	m.Running++
	run := sim.Runs.Insert(Run{
		Request: c.ID, Host: c.Host, Pool: c.Pool, Generation: c.Generation,
		Entry: row, Attempt: c.Attempt, Start: sim.Now.Add(MessageLatency),
	})
	d := sim.RunTime(c.ID)
	if m.BlackHole {
		d = 0
	}
	sim.events.Push(sim.Now.Add(2*MessageLatency+min(d, c.Timeout)), runEnd{run: run})
}

// finishRun ends a run that was not aborted: with an answer, or with a timeout if the
// attempt's timeout was shorter than the run time.
func (sim *Simulation) finishRun(row quetzaltable.Row) {
	run := sim.Runs.At(row)
	if run.End > 0 {
		return
	}
	m := sim.Minion(run.Host)
	status := quetzalunit.HTTPStatus(200)
	if m.BlackHole {
		status = 500
	}
	if sim.Now.Sub(run.Start) < sim.RunTime(run.Request) && !m.BlackHole {
		sim.endRun(row, false)
		sim.deliver(run.Entry, quetzalfleet.AttemptEnded{Attempt: run.Attempt, Result: quetzalfleet.TimedOut{}})
		return
	}
	sim.endRun(row, status == 200)
	sim.deliver(run.Entry, quetzalfleet.AttemptEnded{
		Attempt: run.Attempt, Result: quetzalfleet.Answered{Answer: &quetzalfleet.Payload{Status: status}},
	})
}

// endRun records the end of a run and frees its slot.
func (sim *Simulation) endRun(row quetzaltable.Row, completed bool) {
	run := sim.Runs.At(row)
	run.End = sim.Now
	run.Completed = completed
	sim.Minion(run.Host).Running--
}

func (sim *Simulation) cancelAttempt(entry quetzaltable.Row, attempt quetzalfleet.Row) {
	for row, run := range sim.Runs.All() {
		if run.Entry == entry && run.Attempt == attempt && run.End == 0 {
			sim.endRun(row, false)
			sim.deliver(entry, quetzalfleet.AttemptEnded{Attempt: attempt, Result: quetzalfleet.ConnectionFailed{}})
			return
		}
	}
}

// Crash takes a host down and breaks the connections of its runs.
func (sim *Simulation) Crash(id quetzalunit.HostID) {
	sim.Minion(id).Down = true
	sim.breakRuns(id)
}

// breakRuns ends the runs on a host without an answer.
func (sim *Simulation) breakRuns(id quetzalunit.HostID) {
	for row, run := range sim.Runs.All() {
		if run.Host == id && run.End == 0 {
			sim.endRun(row, false)
			sim.deliver(run.Entry, quetzalfleet.AttemptEnded{Attempt: run.Attempt, Result: quetzalfleet.ConnectionFailed{}})
		}
	}
}
