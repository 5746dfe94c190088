package quetzalsystem

import (
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// systems lists the systems in the order in which every tick runs them.
var systems = [...]func(*quetzalfleet.World){
	commitClaims,
	commitOutcomes,
	dispatch,
	commitChanges,
	plan,
	gossip,
	advanceStop,
}

// Start sets the initial timers of a new World. It must be called once, before the
// first Tick.
func Start(w *quetzalfleet.World, now quetzalunit.Instant) {
	w.Now, w.StartedAt = now, now
	w.Timers.Push(now, quetzalfleet.PollDue{})
	w.Timers.Push(now.Add(w.Self.GossipPeriod), quetzalfleet.GossipDue{})
	w.Timers.Push(now.Add(w.Self.PollPeriod), quetzalfleet.DutyLeaseDue{})
	w.Timers.Push(now.Add(planPeriod), quetzalfleet.PlanDue{})
	w.Timers.Push(now.Add(jobScanPeriod), quetzalfleet.JobScanDue{})
	w.Timers.Push(now.Add(sweepPeriod), quetzalfleet.SweepDue{})
}

// Tick advances the World to now, applies the inputs, fires the due timers, runs
// every system and returns the commands to perform. A now before w.Now counts as w.Now.
func Tick(w *quetzalfleet.World, now quetzalunit.Instant, inputs []quetzalfleet.Input) []quetzalfleet.Command {
	if now.Sub(w.Now) >= peerRemovalSilence {
		w.ResumedAt, w.RosterOutdated = now, true
	}
	w.Now = max(w.Now, now)
	for _, in := range inputs {
		applyInput(w, in)
	}
	fireTimers(w)
	for _, system := range systems {
		system(w)
	}
	return w.TakeCommands()
}

// NextTick returns the instant of the earliest timer, at which a tick is needed even
// if no input arrives. It returns false when no timer is set.
func NextTick(w *quetzalfleet.World) (quetzalunit.Instant, bool) {
	return w.Timers.Next()
}

func applyInput(w *quetzalfleet.World, in quetzalfleet.Input) {
	switch in := in.(type) {
	case quetzalfleet.RequestArrived:
		admitRequest(w, in)
	case quetzalfleet.CallerGone:
		removeCaller(w, in.Caller)
	case quetzalfleet.CancelRequested:
		cancelRequest(w, in)
	case quetzalfleet.OutcomeRequested:
		awaitOutcome(w, in.Caller, in.ID)
	case quetzalfleet.JoinArrived:
		joinFromPeer(w, in)
	case quetzalfleet.AttemptEnded:
		endAttempt(w, in)
	case quetzalfleet.StoreAnswered:
		applyStoreAnswer(w, in)
	case quetzalfleet.GossipArrived:
		handleGossip(w, in)
	case quetzalfleet.GossipAnswered:
		handleGossipReply(w, in)
	case quetzalfleet.JoinAnswered:
		handleJoinAnswer(w, in)
	case quetzalfleet.OperatorRequested:
		handleOperatorRequest(w, in)
	case quetzalfleet.StopRequested:
		handleStopRequest(w)
	}
}

func fireTimers(w *quetzalfleet.World) {
	for {
		t, ok := w.Timers.PopDue(w.Now)
		if !ok {
			return
		}
		fireTimer(w, t)
	}
}

func fireTimer(w *quetzalfleet.World, t quetzalfleet.Timer) {
	switch t := t.(type) {
	case quetzalfleet.RequestDeadlineReached:
		expireRequest(w, t.Request)
	case quetzalfleet.RetryDue:
		retryRequest(w, t.Request)
	case quetzalfleet.ShortRunExceeded:
		demoteAttempt(w, t.Attempt)
	case quetzalfleet.ProbationDue:
		beginProbation(w, t.Host)
	case quetzalfleet.LimitRecoveryDue:
		recoverLimit(w, t.Host)
	case quetzalfleet.PollDue:
		pollPlatform(w)
	case quetzalfleet.GossipDue:
		gossipRound(w)
	case quetzalfleet.DutyLeaseDue:
		maintainDutyLease(w)
	case quetzalfleet.PlanDue:
		w.PlanDirty = true
		w.After(planPeriod, quetzalfleet.PlanDue{})
	case quetzalfleet.TickDue:
	case quetzalfleet.ChangeRetryDue:
		w.ChangesToCommit.Add(t.Change)
	case quetzalfleet.PoolDispatchDue:
		w.Pools.At(t.Pool).ForwardRetryScheduled = false
		w.DirtyPools.Add(t.Pool)
	case quetzalfleet.SweepDue:
		sweep(w)
	case quetzalfleet.SweepBatchDue:
		scanOldRows(w)
	case quetzalfleet.JobScanDue:
		scanJobs(w)
	case quetzalfleet.LeavingExpired:
		expireLeaving(w, t.Host)
	case quetzalfleet.RequestRetentionExpired:
		deleteRequest(w, t.Request)
	}
}
