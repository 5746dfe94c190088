package quetzalscheduler

import (
	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// systems lists what every tick runs after its inputs and timers, in this order.
var systems = [...]struct {
	run   func(*quetzalwork.World)
	phase quetzalwork.Phase
}{
	{storeSubmissions, quetzalwork.PhaseSubmissions},
	{placeTasks, quetzalwork.PhasePlacement},
	{watchAbandonedPools, quetzalwork.PhaseLimits},
	{quetzallimit.Divide, quetzalwork.PhaseLimits},
	{storeProgress, quetzalwork.PhaseProgress},
	{pollMinions, quetzalwork.PhasePolls},
	{finishStop, quetzalwork.PhaseTimers},
}

// Start sets the clock and the periodic timers of a new World. It must be called once, before
// the first tick.
func Start(w *quetzalwork.World, now quetzalunit.Instant) {
	w.Now, w.StartedAt = now, now
	w.Timers.Push(now, quetzalwork.MembershipDue{})
	w.Timers.Push(now, quetzalwork.ConfigWatchDue{})
	w.Timers.Push(now, quetzalwork.MinionListDue{})
	w.Timers.Push(now.Add(hostControlPeriod), quetzalwork.HostControllerDue{})
}

// Tick applies the inputs, fires the timers due at now, runs every system and returns the
// commands that the caller must perform.
func Tick(w *quetzalwork.World, now quetzalunit.Instant, inputs []quetzalwork.Input) []quetzalwork.Command {
	w.Now = max(w.Now, now)
	w.Meter.Begin()
	for _, in := range inputs {
		applyInput(w, in)
		measureInput(w, in)
	}
	for {
		t, ok := w.Timers.PopDue(w.Now)
		if !ok {
			break
		}
		fireTimer(w, t)
	}
	w.Meter.End(quetzalwork.PhaseTimers)
	for _, system := range systems {
		system.run(w)
		w.Meter.End(system.phase)
	}
	return w.TakeCommands()
}

// measureInput adds the time since the last measurement to the phase that applies an input.
func measureInput(w *quetzalwork.World, in quetzalwork.Input) {
	switch in := in.(type) {
	case quetzalwork.MinionPolled:
		var pool quetzalunit.PoolID
		if m := w.Minions.At(in.Minion); m != nil {
			pool = m.Pool
		}
		w.Meter.EndPool(quetzalwork.PhaseReports, pool)
	case quetzalwork.StartAnswered, quetzalwork.StopAnswered:
		w.Meter.End(quetzalwork.PhaseOrders)
	case quetzalwork.MinionsListed:
		w.Meter.End(quetzalwork.PhaseMinionList)
	default:
		w.Meter.End(quetzalwork.PhaseInputs)
	}
}

// NextTick returns the instant of the next timer, at which a tick is needed even without an
// input. The result is false when no timer is set.
func NextTick(w *quetzalwork.World) (quetzalunit.Instant, bool) {
	return w.Timers.Next()
}

func applyInput(w *quetzalwork.World, in quetzalwork.Input) {
	switch in := in.(type) {
	case quetzalwork.JobSubmitted:
		handleSubmission(w, &in)
	case quetzalwork.JobQueried:
		handleJobQuery(w, &in)
	case quetzalwork.CancelRequested:
		handleCancelRequest(w, &in)
	case quetzalwork.PeerMessageReceived:
		handlePeerMessage(w, &in)
	case quetzalwork.PeerReplyReceived:
		handlePeerReply(w, &in)
	case quetzalwork.StopRequested:
		beginStop(w)
	case quetzalwork.BoundsChanged:
		w.Bounds = in.Bounds
	case quetzalwork.ConfigWatched:
		handleConfigWatch(w, &in)
	case quetzalwork.MembersRead:
		handleMembers(w, &in)
	case quetzalwork.MemberRenewed:
		handleRenewal(w, &in)
	case quetzalwork.DutyWritten:
		handleDutyWritten(w, &in)
	case quetzalwork.HostLeaseRenewed:
		handleHostLeaseRenewal(w, &in)
	case quetzalwork.MinionsListed:
		handleMinionList(w, &in)
	case quetzalwork.PoolJobsRead:
		handlePoolRead(w, &in)
	case quetzalwork.DivisionAnswered:
		quetzallimit.HandleDivision(w, &in)
	default:
		applyJobRowsAnswer(w, in)
	}
}

// applyJobRowsAnswer applies the store's answers to the commands on the rows of jobs. It continues the type switch of
// applyInput.
func applyJobRowsAnswer(w *quetzalwork.World, in quetzalwork.Input) {
	switch in := in.(type) {
	case quetzalwork.JobsStored:
		handleJobsStored(w, &in)
	case quetzalwork.ProgressStored:
		handleProgressStored(w, &in)
	case quetzalwork.CancelStored:
		handleCancelStored(w, &in)
	case quetzalwork.JobLookedUp:
		handleJobLookUp(w, &in)
	case quetzalwork.EarlyCancelStored:
		handleEarlyCancelStored(w, &in)
	case quetzalwork.CancelledJobStored:
		handleCancelledJobStored(w, &in)
	case quetzalwork.EarlyCancelRemoved:
		handleEarlyCancelRemoved(w, &in)
	case quetzalwork.JobLocated:
		handleJobLocated(w, &in)
	default:
		applyOrderAnswer(w, in)
	}
}

// applyOrderAnswer applies the inputs from minions, hosts and the advisor, and those about
// maintenance waves. It continues the type switch of applyJobRowsAnswer.
func applyOrderAnswer(w *quetzalwork.World, in quetzalwork.Input) {
	switch in := in.(type) {
	case quetzalwork.MinionPolled:
		handleMinionPoll(w, &in)
	case quetzalwork.StartAnswered:
		handleStartAnswer(w, &in)
	case quetzalwork.StopAnswered:
		handleStopAnswer(w, &in)
	case quetzalwork.PaceAnswered:
		handlePaceAnswer(w, &in)
	case quetzalwork.AdviceAnswered:
		handleAdvice(w, &in)
	case quetzalwork.HostsListed:
		handleHosts(w, &in)
	case quetzalwork.CensusRead:
		handleCensus(w, &in)
	case quetzalwork.HostOrderAnswered:
		handleHostOrderResult(w, &in)
	case quetzalwork.WavesRead:
		handleWaves(w, &in)
	case quetzalwork.WaveHostsStored:
		handleWaveHostsStored(w, &in)
	case quetzalwork.WaveStateStored:
		handleWaveStateStored(w, &in)
	default:
		// applyInput handles all other inputs.
	}
}

// fireTimer performs the work for which a timer was set.
func fireTimer(w *quetzalwork.World, t quetzalwork.Timer) {
	switch t := t.(type) {
	case quetzalwork.MembershipDue:
		maintainMembership(w)
	case quetzalwork.ConfigWatchDue:
		watchConfig(w)
	case quetzalwork.MinionListDue:
		listMinionsIfDue(w)
	case quetzalwork.PoolJobsReadDue:
		readPoolIfDue(w, t)
	case quetzalwork.PlacementDue:
		if p := w.Pools.At(t.Pool); p != nil {
			p.NextPlacementAt, p.NeedsPlacement = 0, true
		}
	case quetzalwork.StoreProgressDue, quetzalwork.StoreJobsDue, quetzalwork.MinionPollDue, quetzalwork.LimitsDue:
		// The systems that run in this tick do the work; the timer only causes the tick.
	case quetzalwork.SubmissionDue:
		expireSubmission(w, t.Submission)
	case quetzalwork.JobRequestDue:
		expireJobRequest(w, t.Request)
	case quetzalwork.EarlyCancellationDue:
		removeEarlyCancellation(w, t.Job)
	case quetzalwork.OccurrenceDue:
		createDueOccurrences(w, t.Job)
	case quetzalwork.WatchdogDue:
		watchRuns(w, t.Pool, t.Token)
	case quetzalwork.DutyReleaseDue:
		retryRelease(w, t)
	case quetzalwork.HostControllerDue:
		controlHosts(w)
	}
}
