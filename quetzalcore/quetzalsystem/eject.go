package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// correlatedWindow is the time within which failures of several hosts count as correlated.
	correlatedWindow = 5 * time.Second
	// correlatedShare is the share of a zone's hosts whose failure stops ejection.
	correlatedShare quetzalunit.Percent = 30
	// correlatedMinimum is the number of failing hosts below which nothing is correlated.
	correlatedMinimum = 3
	// blameFactor is how many mean run times an attempt must have had before its
	// time-out counts against the host.
	blameFactor = 2
	// holdPause is the mean time between two attempts on a host during a failure that
	// is shared by many hosts.
	holdPause = 200 * time.Millisecond
	// maxEjectionDoublings bounds the growth of the time of ejection.
	maxEjectionDoublings = 5
)

// blameHost learns from the end of an attempt about its host.
func blameHost(w *quetzalfleet.World, a *quetzalfleet.Attempt, result quetzalfleet.AttemptResult) {
	h := w.Hosts.At(a.Host)
	if h == nil {
		return
	}
	switch result := result.(type) {
	case quetzalfleet.Answered:
		if result.Answer.Status >= statusServerError {
			countFailure(w, a.Host)
			return
		}
		h.Failures = 0
		h.EjectedUntil, h.HeldUntil = 0, 0
		h.Ejections = max(0, h.Ejections-1)
	case quetzalfleet.Refused:
		if result.Leaving {
			h.LeavingFirstHand = true
			seeLeaving(w, a.Host, a.Generation)
			return
		}
		lowerLimit(w, a.Host)
	case quetzalfleet.NotSent:
		if !a.Cancelled {
			countFailure(w, a.Host)
		}
	case quetzalfleet.Broken:
		h.LingerUntil = w.Now.Add(cancelGrace)
		if !a.Cancelled {
			countFailure(w, a.Host)
		}
	case quetzalfleet.TimedOut:
		h.LingerUntil = w.Now.Add(cancelGrace)
		if hadTime(w, a) {
			countFailure(w, a.Host)
		}
	}
}

// hadTime tells whether an attempt that timed out had the time that runs take.
// A request that was sent late says nothing about its host.
func hadTime(w *quetzalfleet.World, a *quetzalfleet.Attempt) bool {
	mean := w.Queues.At(a.Queue).RunTime
	return w.Now.Sub(a.StartedAt) > blameFactor*max(mean[quetzalfleet.Short], mean[quetzalfleet.Long])
}

// lowerLimit learns that other entries hold the host's remaining slots.
func lowerLimit(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	recovering := h.Limit < quetzalunit.SlotsPerMinion
	h.Limit = min(h.Limit, h.Running)
	if !recovering {
		w.After(w.Jitter(limitRecovery), quetzalfleet.LimitRecovers{Host: row})
	}
}

// seeLeaving records a sign that a host is leaving and passes it on.
func seeLeaving(w *quetzalfleet.World, row quetzalfleet.Row, g quetzalunit.Generation) {
	h := w.Hosts.At(row)
	if g < h.Generation {
		return
	}
	if h.LeavingSeen != g {
		w.GossipNow = true
	}
	h.LeavingSeen = g
	h.LeavingUntil = w.Now.Add(leavingSign)
	w.After(leavingSign, quetzalfleet.LeavingSignOver{Host: row})
}

func endLeavingSign(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	if h == nil || h.LeavingUntil > w.Now || h.LeavingSeen == 0 {
		return
	}
	if w.Now.Sub(h.ListedAt) > leavingSign {
		// Without the list nothing says that the host stays.
		h.LeavingUntil = w.Now.Add(leavingSign)
		w.After(leavingSign, quetzalfleet.LeavingSignOver{Host: row})
		return
	}
	h.LeavingSeen = 0
	h.LeavingFirstHand = false
	w.DirtyPools.Add(h.PoolRow)
}

func countFailure(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	h.Failures++
	h.LastFailure = w.Now
	s := settingsOf(w, h.PoolRow)
	failedProbation := h.EjectedUntil > 0 || h.HeldUntil > 0
	if h.EjectedUntil > w.Now || (h.Failures < s.EjectAfterFailures && !failedProbation) {
		return
	}
	if correlatedFailure(w) {
		hold(w, row)
		return
	}
	if !ejectionPermitted(w, h, s) {
		h.EjectedUntil = 0
		return
	}
	d := s.EjectFor << min(h.Ejections, maxEjectionDoublings)
	h.Ejections++
	h.EjectedUntil = w.Now.Add(d)
	w.After(d, quetzalfleet.EjectionOver{Host: row})
	w.Decide(quetzalfleet.DecisionEject, string(h.ID), "ejected after consecutive failures")
}

// hold pauses a host that fails together with many others. It stays in its pool
// and counts as available: work waits in the queue instead of failing everywhere.
func hold(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	d := w.Jitter(holdPause)
	h.EjectedUntil = 0
	h.HeldUntil = w.Now.Add(d)
	w.After(d, quetzalfleet.EjectionOver{Host: row})
}

// ejectionPermitted tells whether the pool's other hosts can carry its work.
func ejectionPermitted(w *quetzalfleet.World, h *quetzalfleet.Host, s quetzalfleet.Settings) bool {
	p := w.Pools.At(h.PoolRow)
	if p == nil {
		return false
	}
	var out quetzalunit.Hosts = 1
	for _, row := range p.Hosts {
		if other := w.Hosts.At(row); other != h && other.EjectedUntil > w.Now {
			out++
		}
	}
	if len(p.Hosts) < 2 {
		return false
	}
	return int64(out) <= max(1, s.EjectMax.Of(int64(len(p.Hosts))))
}

// correlatedFailure tells whether so many of the zone's hosts fail at once that
// the cause is not one host.
func correlatedFailure(w *quetzalfleet.World) bool {
	var failing, all int64
	for _, h := range w.Hosts.All() {
		if h.Zone != w.Self.Zone || h.State != quetzalfleet.HostServing {
			continue
		}
		all++
		if h.Failures > 0 && w.Now.Sub(h.LastFailure) < correlatedWindow {
			failing++
		}
	}
	return failing >= correlatedMinimum && failing > correlatedShare.Of(all)
}

// beginProbation lets one attempt at a time prove an ejected host.
func beginProbation(w *quetzalfleet.World, row quetzalfleet.Row) {
	h := w.Hosts.At(row)
	if h == nil || h.EjectedUntil > w.Now || h.HeldUntil > w.Now {
		return
	}
	w.DirtyPools.Add(h.PoolRow)
}
