package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
)

// leaveTimeout is how long a planned stop waits for the platform to store the outcomes
// and to release the duties and the place in the roster.
const leaveTimeout = 5 * time.Second

// handleStopRequest starts a planned stop: new requests are rejected, accepted ones run to
// their end, and jobs that were not sent are left to other entries.
func handleStopRequest(w *quetzalfleet.World) {
	if w.Stop != quetzalfleet.StopNone {
		return
	}
	w.Stop = quetzalfleet.StopDraining
	w.GossipPending = true
	abandonUnsentJobs(w)
}

// advanceStop advances a planned stop: it waits until nothing is in flight, stores the
// outcomes, releases the duties and leaves the roster.
func advanceStop(w *quetzalfleet.World) {
	switch w.Stop {
	case quetzalfleet.StopDraining:
		if w.LiveRequests > 0 || w.Attempts.Len() > 0 {
			return
		}
		w.Stop = quetzalfleet.StopLeaving
		w.StopDeadline = w.Now.Add(leaveTimeout)
		w.After(leaveTimeout, quetzalfleet.TickDue{})
		leaveFleet(w)
	case quetzalfleet.StopLeaving:
		leaveFleet(w)
	case quetzalfleet.StopNone, quetzalfleet.StopFinished:
	}
}

// leaveFleet waits until the outcomes are stored, then releases the duties, then leaves
// the roster. It ends the stop when that is done, or when leaveTimeout has passed.
func leaveFleet(w *quetzalfleet.World) {
	late := w.Now >= w.StopDeadline
	if !late && (w.OutcomesToCommit.Len() > 0 || w.OutcomeCall != 0) {
		return
	}
	if !late && (w.HeldEpoch > 0 || inRoster(w)) {
		releaseDuty(w)
		if w.HeldEpoch == 0 {
			leaveRoster(w)
		}
		return
	}
	w.Stop = quetzalfleet.StopFinished
	w.Emit(quetzalfleet.FinishStop{})
}
