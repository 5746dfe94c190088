package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// correlatedWindow is the window within which failures of several hosts count as
	// correlated.
	correlatedWindow = 5 * time.Second
	// correlatedShare is the share of a zone's serving hosts above which failures are
	// correlated: hosts are then paused instead of ejected.
	correlatedShare quetzalunit.Percent = 30
	// correlatedMinimum is the minimum number of failing hosts for a correlated failure.
	correlatedMinimum = 3
	// timeoutBlameFactor is the multiple of the mean run time that an attempt must have
	// lasted for its timeout to count as a failure of the host.
	timeoutBlameFactor = 2
	// hostPause is the mean pause of a host after a failure that is part of a
	// correlated failure.
	hostPause = 200 * time.Millisecond
	// hostListLag is how much later the platform's list shows that a host is leaving.
	hostListLag = 2 * time.Second
	// maxEjectionDoublings limits the exponential growth of the ejection time.
	maxEjectionDoublings = 5
)

// recordAttemptResult updates the health state of a host from the result of an attempt.
// A success ends its ejection or pause.
func recordAttemptResult(w *quetzalfleet.World, a *quetzalfleet.Attempt, result quetzalfleet.AttemptResult) {
	h := w.Hosts.At(a.Host)
	if h == nil {
		return
	}
	switch result := result.(type) {
	case quetzalfleet.Answered:
		if result.Answer.Status >= minServerErrorStatus {
			countFailure(w, a.Host)
			return
		}
		h.ConsecutiveFailures = 0
		h.EjectedUntil, h.PausedUntil = 0, 0
		h.Ejections = max(0, h.Ejections-1)
	case quetzalfleet.Refused:
		if result.Leaving {
			h.LeavingFromMinion = true
			recordLeaving(w, a.Host, a.Generation)
			return
		}
		lowerLimit(w, a.Host)
	case quetzalfleet.NotSent:
		if !a.Cancelled {
			countFailure(w, a.Host)
		}
	case quetzalfleet.ConnectionFailed:
		h.LingerUntil = w.Now.Add(cancelGrace)
		if !a.Cancelled {
			countFailure(w, a.Host)
		}
	case quetzalfleet.TimedOut:
		h.LingerUntil = w.Now.Add(cancelGrace)
		if hadTimeToRun(w, a) {
			countFailure(w, a.Host)
		}
	}
}

// hadTimeToRun reports whether an attempt that timed out had enough time to run. The
// timeout of a request that was sent close to its deadline is not the host's failure.
func hadTimeToRun(w *quetzalfleet.World, a *quetzalfleet.Attempt) bool {
	mean := w.Queues.At(a.Queue).MeanRunTime
	return w.Now.Sub(a.StartedAt) > timeoutBlameFactor*max(mean[quetzalfleet.ClassShort], mean[quetzalfleet.ClassLong])
}

// lowerLimit lowers a host's limit to this entry's attempts in flight after the host has
// refused an attempt for lack of a free slot: other entries use the remaining slots.
func lowerLimit(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	recovering := h.AttemptLimit < quetzalunit.SlotsPerMinion
	h.AttemptLimit = min(h.AttemptLimit, h.Running)
	if !recovering {
		w.After(w.Jitter(limitRecoveryInterval), quetzalfleet.LimitRecoveryDue{Host: row})
	}
}

// recordLeaving records that a host was observed to leave at generation g. The first such
// observation of a generation is gossiped without waiting for the next round.
func recordLeaving(w *quetzalfleet.World, row quetzalfleet.Row, g quetzalunit.Generation) {
	h := w.Hosts.At(row)
	if g < h.Generation {
		return
	}
	if h.LeavingGeneration != g {
		w.GossipPending = true
	}
	h.LeavingGeneration = g
	h.LeavingUntil = w.Now.Add(leavingTTL)
	w.After(leavingTTL, quetzalfleet.LeavingExpired{Host: row})
}

// expireLeaving clears the leaving state of a host that was not observed to leave again
// within leavingTTL. The state is kept while no list has been requested since that could show it.
func expireLeaving(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	if h == nil || h.LeavingUntil > w.Now || h.LeavingGeneration == 0 {
		return
	}
	if observedAt := h.LeavingUntil.Add(-leavingTTL); h.ListedAt.Sub(observedAt) < hostListLag {
		// Without a newer list nothing shows that the host is not leaving.
		h.LeavingUntil = w.Now.Add(leavingTTL)
		w.After(leavingTTL, quetzalfleet.LeavingExpired{Host: row})
		return
	}
	h.LeavingGeneration = 0
	h.LeavingFromMinion = false
	w.DirtyPools.Add(h.PoolRow)
}

// countFailure counts a failed attempt on a host, and ejects or pauses the host after
// EjectAfterFailures consecutive failures or one failure on probation.
func countFailure(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	h.ConsecutiveFailures++
	h.LastFailureAt = w.Now
	s := settingsOf(w, h.PoolRow)
	failedProbation := h.EjectedUntil > 0 || h.PausedUntil > 0
	if h.EjectedUntil > w.Now || (h.ConsecutiveFailures < s.EjectAfterFailures && !failedProbation) {
		return
	}
	if correlatedFailure(w) {
		pauseHost(w, row)
		return
	}
	if !ejectionPermitted(w, h, s) {
		h.EjectedUntil = 0
		return
	}
	d := s.EjectFor << min(h.Ejections, maxEjectionDoublings)
	h.Ejections++
	h.EjectedUntil = w.Now.Add(d)
	w.After(d, quetzalfleet.ProbationDue{Host: row})
	w.RecordDecision(quetzalfleet.DecisionEject, string(h.ID), "ejected after consecutive failures")
}

// pauseHost pauses a host that is part of a correlated failure. The host stays in its pool
// and counts as available, so that requests wait in the queue instead of failing on
// host after host.
func pauseHost(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	d := w.Jitter(hostPause)
	h.EjectedUntil = 0
	h.PausedUntil = w.Now.Add(d)
	w.After(d, quetzalfleet.ProbationDue{Host: row})
}

// ejectionPermitted reports whether a host may be ejected without exceeding the pool's
// EjectMax, so that the other hosts can carry the pool's work. One host may always be
// ejected, except the only host of a pool.
func ejectionPermitted(w *quetzalfleet.World, h *quetzalfleet.Host, s quetzalfleet.Settings) bool {
	p := w.Pools.At(h.PoolRow)
	if p == nil {
		return false
	}
	var ejected quetzalunit.Hosts = 1
	for _, row := range p.Hosts {
		if other := w.Hosts.At(row); other != h && other.EjectedUntil > w.Now {
			ejected++
		}
	}
	if len(p.Hosts) < 2 {
		return false
	}
	return int64(ejected) <= max(1, s.EjectMax.Of(int64(len(p.Hosts))))
}

// correlatedFailure reports whether so many of the zone's hosts fail at once that they
// are likely to have a common cause.
func correlatedFailure(w *quetzalfleet.World) bool {
	var failing, serving int64
	for _, h := range w.Hosts.All() {
		if h.Zone != w.Self.Zone || h.State != quetzalfleet.HostServing {
			continue
		}
		serving++
		if h.ConsecutiveFailures > 0 && w.Now.Sub(h.LastFailureAt) < correlatedWindow {
			failing++
		}
	}
	return failing >= correlatedMinimum && failing > correlatedShare.Of(serving)
}

// beginProbation dispatches the pool of a host whose ejection or pause has ended. Until
// an attempt succeeds, the host takes probationSlots attempts at a time.
func beginProbation(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	if h == nil || h.EjectedUntil > w.Now || h.PausedUntil > w.Now {
		return
	}
	w.DirtyPools.Add(h.PoolRow)
}
