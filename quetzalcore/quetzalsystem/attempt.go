package quetzalsystem

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// attemptCost is what a retry costs of a pool's retry tokens.
	attemptCost quetzalunit.Percent = 100
	// maxRetryTokens bounds the retries that a pool saves up.
	maxRetryTokens = 100 * attemptCost
	// cancelGrace is the time in which a minion stops work whose connection was closed.
	cancelGrace = 2 * time.Second
	// leavingSign is how long a sign of leaving holds without being repeated.
	leavingSign = 10 * time.Second
	// parkAfterHosts is the number of hosts on which a request fails before it is given up.
	parkAfterHosts = 3
	// averageWeight is the weight of the newest value in moving averages, as a divisor.
	averageWeight = 8
	// wholeShare is a share of everything.
	wholeShare quetzalunit.Percent = 100
	// statusServerError is the least status that blames the minion.
	statusServerError quetzalunit.Status = 500
)

func endAttempt(w *quetzalfleet.World, in quetzalfleet.AttemptEnded) {
	a := w.Attempts.At(in.Attempt)
	if a == nil {
		return
	}
	attempt := *a
	w.Attempts.Delete(in.Attempt)
	releaseSlot(w, &attempt)
	blameHost(w, &attempt, in.Result)
	r := w.Requests.At(attempt.Request)
	if r == nil || r.State != quetzalfleet.RequestRunning {
		return
	}
	r.Attempt = 0
	r.LastHost = attempt.Host
	settle(w, attempt, in.Result)
}

func releaseSlot(w *quetzalfleet.World, a *quetzalfleet.Attempt) {
	q := w.Queues.At(a.Queue)
	q.Running--
	w.Teams.At(a.Team).Running--
	if l := w.Lines.At(a.Line); l != nil {
		l.Running--
	}
	if p := w.Peers.At(a.Peer); p != nil {
		p.Forwarded--
	}
	if h := w.Hosts.At(a.Host); h != nil {
		h.Running--
		if a.Long {
			h.RunningLong--
		}
		if h.State != quetzalfleet.HostServing {
			w.PlanDirty = true
			w.GossipNow = w.GossipNow || h.Running == 0
		}
		w.DirtyPools.Add(h.PoolRow)
	}
	w.DirtyPools.Add(q.Pool)
}

// settle decides what follows the end of a request's attempt.
func settle(w *quetzalfleet.World, a quetzalfleet.Attempt, result quetzalfleet.AttemptResult) {
	r := w.Requests.At(a.Request)
	switch result := result.(type) {
	case quetzalfleet.Answered:
		if result.Answer.Status < statusServerError {
			learnRunTime(w, &a)
		}
		if result.Answer.Status >= statusServerError && r.Idempotent && retryLater(w, a.Request, a.Host) {
			return
		}
		finish(w, a.Request, quetzalfleet.Ran(result))
	case quetzalfleet.Refused:
		sendBack(w, a.Request)
	case quetzalfleet.NotSent:
		if a.Cancelled {
			finish(w, a.Request, quetzalfleet.Cancelled{})
			return
		}
		if !retryLater(w, a.Request, a.Host) {
			finish(w, a.Request, exhausted(r))
		}
	case quetzalfleet.Broken:
		settleAmbiguous(w, &a, quetzalfleet.ConnectionBroken)
	case quetzalfleet.TimedOut:
		settleAmbiguous(w, &a, quetzalfleet.AttemptTimedOut)
	}
}

// settleAmbiguous ends a request that may have run, or tries it again when it
// is idempotent.
func settleAmbiguous(w *quetzalfleet.World, a *quetzalfleet.Attempt, reason quetzalfleet.UnknownReason) {
	r := w.Requests.At(a.Request)
	r.MayHaveRun = true
	if r.Idempotent && !a.Cancelled && retryLater(w, a.Request, a.Host) {
		return
	}
	finish(w, a.Request, quetzalfleet.Unknown{Reason: reason})
}

func exhausted(r *quetzalfleet.Request) quetzalfleet.Outcome {
	if r.MayHaveRun {
		return quetzalfleet.Unknown{Reason: quetzalfleet.ConnectionBroken}
	}
	return quetzalfleet.NotRun{Reason: quetzalfleet.RetriesExhausted, RetryAfter: time.Second}
}

// sendBack queues a request again that a minion refused to run.
func sendBack(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r.Deadline <= w.Now {
		finish(w, row, expired(w, r))
		return
	}
	r.Attempts--
	enqueue(w, row, true)
}

// retryLater schedules another attempt, and tells whether it did.
func retryLater(w *quetzalfleet.World, row, hostRow quetzalfleet.Row) bool {
	r := w.Requests.At(row)
	if h := w.Hosts.At(hostRow); h != nil && !slices.Contains(r.FailedHosts, h.ID) {
		r.FailedHosts = append(r.FailedHosts, h.ID)
	}
	if len(r.Callers) == 0 && !r.Job {
		return false
	}
	if len(r.FailedHosts) >= parkAfterHosts && r.MayHaveRun {
		w.Decide(quetzalfleet.DecisionPark, string(r.ID), "failed on several hosts")
		return false
	}
	s := settingsOf(w, w.Queues.At(r.Queue).Pool)
	delay, ok := retryDelay(w, r, s)
	if !ok || w.Now.Add(delay) >= r.Deadline {
		return false
	}
	r.State = quetzalfleet.RequestWaiting
	w.After(delay, quetzalfleet.RetryDue{Request: row})
	return true
}

// retryDelay returns the wait before the next attempt and whether there is one.
func retryDelay(w *quetzalfleet.World, r *quetzalfleet.Request, s quetzalfleet.Settings) (time.Duration, bool) {
	switch s.Retry.(type) {
	case quetzalfleet.ExponentialRetry:
		p := w.Pools.At(w.Queues.At(r.Queue).Pool)
		if r.Attempts >= s.RetryMaxAttempts || p.RetryTokens < attemptCost {
			return 0, false
		}
		p.RetryTokens -= attemptCost
		top := backoff(s, int(r.Attempts)-1)
		return time.Duration(w.Rand().Int64N(int64(top) + 1)), true
	case quetzalfleet.FourPhaseRetry:
		return fourPhaseDelay(w, r, s)
	case quetzalfleet.NoRetry:
	}
	return 0, false
}

// earnRetries adds a first attempt's share to the pool's retry tokens.
func earnRetries(w *quetzalfleet.World, pool quetzalfleet.Row) {
	if p := w.Pools.At(pool); p != nil {
		p.RetryTokens = min(maxRetryTokens, p.RetryTokens+settingsOf(w, pool).RetryBudget)
	}
}

// The attempts in the phases of FourPhaseRetry.
const (
	immediateRetries = 3
	preBackoff       = 2
	backoffRetries   = 10
	postBackoff      = 35
)

func fourPhaseDelay(w *quetzalfleet.World, r *quetzalfleet.Request, s quetzalfleet.Settings) (time.Duration, bool) {
	n := int(r.Attempts) - 1
	switch {
	case n < immediateRetries:
		return 0, true
	case n < immediateRetries+preBackoff:
		return w.Jitter(s.RetryBase), true
	case n < immediateRetries+preBackoff+backoffRetries:
		return w.Jitter(backoff(s, n-immediateRetries-preBackoff)), true
	case n < immediateRetries+preBackoff+backoffRetries+postBackoff:
		return w.Jitter(s.RetryCap), true
	}
	return 0, false
}

// backoff returns RetryBase doubled n times, at most RetryCap.
func backoff(s quetzalfleet.Settings, n int) time.Duration {
	const maxDoublings = 20
	return min(s.RetryCap, s.RetryBase<<min(n, maxDoublings))
}

func retryRequest(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r != nil && r.State == quetzalfleet.RequestStoring {
		resumeStoring(w, row)
		return
	}
	if r == nil || r.State != quetzalfleet.RequestWaiting {
		return
	}
	enqueue(w, row, false)
}

// learnRunTime updates the averages that admission and demotion use.
func learnRunTime(w *quetzalfleet.World, a *quetzalfleet.Attempt) {
	r := w.Requests.At(a.Request)
	run := w.Now.Sub(a.StartedAt)
	q := w.Queues.At(a.Queue)
	mean := &q.RunTime[r.Class]
	*mean += (run - *mean) / averageWeight
	if r.Class != quetzalfleet.Short {
		return
	}
	if run <= settingsOf(w, q.Pool).ShortRun {
		learnLongShare(w, a.Team, 0)
	}
}

// learnLongShare updates a team's share of short-declared runs that ran long. A
// long run counts when it outlasts the short run time, not at its end.
func learnLongShare(w *quetzalfleet.World, team quetzalfleet.Row, sample quetzalunit.Percent) {
	t := w.Teams.At(team)
	if sample > t.LongShare {
		// Each wrong declaration costs a slot for a whole long run: learn at once.
		before := t.LongShare
		t.LongShare = (sample + t.LongShare + 1) / 2
		w.GossipNow = w.GossipNow || (before < longShareLimit && t.LongShare >= longShareLimit)
		return
	}
	t.LongShare += (sample - t.LongShare) / averageWeight
}
