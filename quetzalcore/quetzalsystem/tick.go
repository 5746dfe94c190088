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
	finishStop,
}

// Start sets the initial timers of a new World. It must be called once, before the
// first Tick.
func Start(w *quetzalfleet.World, now quetzalunit.Instant) {
	w.Now, w.StartedAt = now, now
	w.Timers.Push(now, quetzalfleet.PollDue{})
	w.Timers.Push(now.Add(w.Self.Gossip), quetzalfleet.GossipDue{})
	w.Timers.Push(now.Add(w.Self.Poll), quetzalfleet.DutyDue{})
	w.Timers.Push(now.Add(planPeriod), quetzalfleet.PlanDue{})
	w.Timers.Push(now.Add(jobScanPeriod), quetzalfleet.JobsDue{})
	w.Timers.Push(now.Add(sweepPeriod), quetzalfleet.SweepDue{})
}

// Tick advances the World to now, applies the inputs, fires the due timers, runs
// every system and returns the commands to perform. A now before w.Now counts as w.Now.
func Tick(w *quetzalfleet.World, now quetzalunit.Instant, inputs []quetzalfleet.Input) []quetzalfleet.Command {
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
	case quetzalfleet.CancelAsked:
		cancelRequest(w, in)
	case quetzalfleet.ResultAsked:
		awaitResult(w, in.Caller, in.ID)
	case quetzalfleet.JoinArrived:
		joinFromPeer(w, in)
	case quetzalfleet.AttemptEnded:
		endAttempt(w, in)
	case quetzalfleet.StoreAnswered:
		applyStoreAnswer(w, in)
	case quetzalfleet.PeerSaid:
		hearGossip(w, in)
	case quetzalfleet.PeerAnswered:
		hearReply(w, in)
	case quetzalfleet.JoinAnswered:
		handleJoinAnswer(w, in)
	case quetzalfleet.OperatorAsked:
		answerOperator(w, in)
	case quetzalfleet.StopAsked:
		beginStop(w)
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
	case quetzalfleet.RequestDeadline:
		expireRequest(w, t.Request)
	case quetzalfleet.RetryDue:
		retryRequest(w, t.Request)
	case quetzalfleet.ShortRunOver:
		demoteAttempt(w, t.Attempt)
	case quetzalfleet.EjectionOver:
		beginProbation(w, t.Host)
	case quetzalfleet.LimitRecovers:
		recoverLimit(w, t.Host)
	case quetzalfleet.PollDue:
		pollPlatform(w)
	case quetzalfleet.GossipDue:
		gossipRound(w)
	case quetzalfleet.DutyDue:
		tendDuty(w)
	case quetzalfleet.PlanDue:
		w.PlanDirty = true
		w.After(planPeriod, quetzalfleet.PlanDue{})
	case quetzalfleet.Wake:
	case quetzalfleet.ChangeDue:
		w.ChangesToTry.Add(t.Change)
	case quetzalfleet.PoolDue:
		w.Pools.At(t.Pool).LookAgain = false
		w.DirtyPools.Add(t.Pool)
	case quetzalfleet.SweepDue:
		sweep(w)
	case quetzalfleet.SweepAgain:
		lookForOldRows(w)
	case quetzalfleet.JobsDue:
		scanJobs(w)
	case quetzalfleet.LeavingSignOver:
		expireLeaving(w, t.Host)
	case quetzalfleet.RequestForgotten:
		deleteRequest(w, t.Request)
	}
}
