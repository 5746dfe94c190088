package quetzalsystem

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// retryTokenCost is the number of a pool's retry tokens that one retry consumes.
	retryTokenCost quetzalunit.Percent = 100
	// maxRetryTokens is the capacity of a pool's token bucket for retries.
	maxRetryTokens = 100 * retryTokenCost
	// cancelGrace is how long a minion may take to stop work after its connection closed.
	cancelGrace = 2 * time.Second
	// leavingTTL is how long an observation that a host is leaving stays valid unless
	// it is repeated.
	leavingTTL = 10 * time.Second
	// maxFailedHosts is the number of different hosts on which a request that may have
	// run fails before it is no longer retried.
	maxFailedHosts = 3
	// averageDivisor is the inverse of the weight of a new sample in exponential moving
	// averages.
	averageDivisor = 8
	// fullShare is 100 percent, the LongShare sample of a run that was longer than
	// declared.
	fullShare quetzalunit.Percent = 100
	// minServerErrorStatus is the lowest status that counts as a failure of the host.
	minServerErrorStatus quetzalunit.HTTPStatus = 500
)

func endAttempt(w *quetzalfleet.World, in quetzalfleet.AttemptEnded) {
	a := w.Attempts.At(in.Attempt)
	if a == nil {
		return
	}
	attempt := *a
	w.Attempts.Delete(in.Attempt)
	releaseSlot(w, &attempt)
	recordAttemptResult(w, &attempt, in.Result)
	r := w.Requests.At(attempt.Request)
	if r == nil || r.State != quetzalfleet.RequestRunning {
		return
	}
	r.Attempt = 0
	r.LastHost = attempt.Host
	settleAttempt(w, attempt, in.Result)
}

func releaseSlot(w *quetzalfleet.World, a *quetzalfleet.Attempt) {
	q := w.Queues.At(a.Queue)
	q.Running--
	w.Teams.At(a.Team).Running--
	if f := w.TeamFIFOs.At(a.FIFO); f != nil {
		f.Running--
	}
	if p := w.Peers.At(a.Peer); p != nil {
		p.ForwardedInFlight--
	}
	if h := w.Hosts.At(a.Host); h != nil {
		h.Running--
		if a.Long {
			h.RunningLong--
		}
		if h.State != quetzalfleet.HostServing {
			w.PlanDirty = true
			w.GossipPending = w.GossipPending || h.Running == 0
		}
		w.DirtyPools.Add(h.PoolRow)
	}
	w.DirtyPools.Add(q.Pool)
}

// settleAttempt finishes, requeues or retries a request according to the result of its
// attempt.
func settleAttempt(w *quetzalfleet.World, a quetzalfleet.Attempt, result quetzalfleet.AttemptResult) {
	r := w.Requests.At(a.Request)
	switch result := result.(type) {
	case quetzalfleet.Answered:
		if result.Answer.Status < minServerErrorStatus {
			updateRunTime(w, &a)
		}
		if result.Answer.Status >= minServerErrorStatus && r.Idempotent && scheduleRetry(w, a.Request, a.Host) {
			return
		}
		finishRequest(w, a.Request, quetzalfleet.Ran(result))
	case quetzalfleet.Refused:
		requeueRefused(w, a.Request)
	case quetzalfleet.NotSent:
		if a.Cancelled {
			finishRequest(w, a.Request, cancelledOutcome(r))
			return
		}
		if !scheduleRetry(w, a.Request, a.Host) {
			finishRequest(w, a.Request, exhaustedOutcome(r))
		}
	case quetzalfleet.ConnectionFailed:
		settleAmbiguous(w, &a, quetzalfleet.ConnectionBroken)
	case quetzalfleet.TimedOut:
		settleAmbiguous(w, &a, quetzalfleet.AttemptTimedOut)
	}
}

// settleAmbiguous handles an attempt that may have run: it retries an idempotent
// request and finishes any other one as Unknown.
func settleAmbiguous(w *quetzalfleet.World, a *quetzalfleet.Attempt, reason quetzalfleet.UnknownReason) {
	r := w.Requests.At(a.Request)
	r.MayHaveRun = true
	if r.Idempotent && !a.Cancelled && scheduleRetry(w, a.Request, a.Host) {
		return
	}
	finishRequest(w, a.Request, quetzalfleet.Unknown{Reason: reason})
}

// exhaustedOutcome returns the outcome of a request that could not be sent and is not
// retried.
func exhaustedOutcome(r *quetzalfleet.Request) quetzalfleet.Outcome {
	if r.MayHaveRun {
		return quetzalfleet.Unknown{Reason: quetzalfleet.ConnectionBroken}
	}
	return quetzalfleet.NotRun{Reason: quetzalfleet.RetriesExhausted, RetryAfter: time.Second}
}

// requeueRefused puts a request that a minion refused to run back at the head of its FIFO.
// The refused attempt does not count against the retry limits.
func requeueRefused(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r.Deadline <= w.Now {
		finishRequest(w, row, expiredOutcome(w, r))
		return
	}
	r.Attempts--
	enqueue(w, row, true)
}

// scheduleRetry schedules another attempt and reports whether it did. It records the
// host of the failed attempt in either case.
func scheduleRetry(w *quetzalfleet.World, row, hostRow quetzalfleet.Row) bool {
	r := w.Requests.At(row)
	if h := w.Hosts.At(hostRow); h != nil && !slices.Contains(r.FailedHosts, h.ID) {
		r.FailedHosts = append(r.FailedHosts, h.ID)
	}
	if len(r.Callers) == 0 && !r.IsJob {
		return false
	}
	if len(r.FailedHosts) >= maxFailedHosts && r.MayHaveRun {
		w.RecordDecision(quetzalfleet.DecisionNotRetried, string(r.ID), "not retried: failed on several hosts and may have run")
		return false
	}
	s := settingsOf(w, w.Queues.At(r.Queue).Pool)
	delay, ok := retryDelay(w, r, s)
	if !ok || w.Now.Add(delay) >= r.Deadline {
		return false
	}
	r.State = quetzalfleet.RequestAwaitingRetry
	w.After(delay, quetzalfleet.RetryDue{Request: row})
	return true
}

// retryDelay returns the delay before the next attempt, or false if the retry policy
// permits none.
func retryDelay(w *quetzalfleet.World, r *quetzalfleet.Request, s quetzalfleet.Settings) (time.Duration, bool) {
	switch s.Retry.(type) {
	case quetzalfleet.ExponentialRetry:
		p := w.Pools.At(w.Queues.At(r.Queue).Pool)
		if r.Attempts >= s.RetryMaxAttempts || p.RetryTokens < retryTokenCost {
			return 0, false
		}
		p.RetryTokens -= retryTokenCost
		maxDelay := backoff(s, int(r.Attempts)-1)
		return time.Duration(w.Rand().Int64N(int64(maxDelay) + 1)), true
	case quetzalfleet.FourPhaseRetry:
		return fourPhaseDelay(w, r, s)
	case quetzalfleet.NoRetry:
	}
	return 0, false
}

// addRetryTokens adds the tokens for one first attempt to the pool's retry budget.
func addRetryTokens(w *quetzalfleet.World, pool quetzalfleet.Row) {
	if p := w.Pools.At(pool); p != nil {
		p.RetryTokens = min(maxRetryTokens, p.RetryTokens+settingsOf(w, pool).RetryBudget)
	}
}

// The number of retries in each phase of FourPhaseRetry.
const (
	immediateRetries   = 3
	preBackoffRetries  = 2
	backoffRetries     = 10
	postBackoffRetries = 35
)

func fourPhaseDelay(w *quetzalfleet.World, r *quetzalfleet.Request, s quetzalfleet.Settings) (time.Duration, bool) {
	n := int(r.Attempts) - 1
	switch {
	case n < immediateRetries:
		return 0, true
	case n < immediateRetries+preBackoffRetries:
		return w.Jitter(s.RetryBase), true
	case n < immediateRetries+preBackoffRetries+backoffRetries:
		return w.Jitter(backoff(s, n-immediateRetries-preBackoffRetries)), true
	case n < immediateRetries+preBackoffRetries+backoffRetries+postBackoffRetries:
		return w.Jitter(s.RetryCap), true
	}
	return 0, false
}

// backoff returns RetryBase doubled n times, capped at RetryCap.
func backoff(s quetzalfleet.Settings, n int) time.Duration {
	const maxDoublings = 20
	return min(s.RetryCap, s.RetryBase<<min(n, maxDoublings))
}

func retryRequest(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r != nil && r.State == quetzalfleet.RequestStoring {
		retryJobStorage(w, row)
		return
	}
	if r == nil || r.State != quetzalfleet.RequestAwaitingRetry {
		return
	}
	enqueue(w, row, false)
}

// updateRunTime updates the queue's mean run time, on which admission and dispatch rely,
// and lowers the team's LongShare for a run that was short as declared.
func updateRunTime(w *quetzalfleet.World, a *quetzalfleet.Attempt) {
	r := w.Requests.At(a.Request)
	run := w.Now.Sub(a.StartedAt)
	q := w.Queues.At(a.Queue)
	mean := &q.MeanRunTime[r.Class]
	*mean += (run - *mean) / averageDivisor
	if r.Class != quetzalfleet.ClassShort {
		return
	}
	if run <= settingsOf(w, q.Pool).ShortRun {
		updateLongShare(w, a.Team, 0)
	}
}

// updateLongShare updates the moving average LongShare of a team. A run that is longer
// than declared is counted when it outlasts Settings.ShortRun, not when it ends.
func updateLongShare(w *quetzalfleet.World, team quetzalfleet.Row, sample quetzalunit.Percent) {
	t := w.Teams.At(team)
	if sample > t.LongShare {
		// Each wrong declaration occupies a short slot for a whole long run, so the
		// average rises faster than it falls.
		before := t.LongShare
		t.LongShare = (sample + t.LongShare + 1) / 2
		w.GossipPending = w.GossipPending || (before < longShareLimit && t.LongShare >= longShareLimit)
		return
	}
	t.LongShare += (sample - t.LongShare) / averageDivisor
}
