package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
)

// leaveTimeout is how long a planned stop waits for the platform.
const leaveTimeout = 5 * time.Second

// beginStop refuses new requests and lets the accepted ones end.
func beginStop(w *quetzalfleet.World) {
	if w.Stop != quetzalfleet.StopNone {
		return
	}
	w.Stop = quetzalfleet.StopDraining
	w.GossipNow = true
	handOverJobs(w)
}

// finishStop takes the steps of a planned stop: nothing in flight, outcomes
// stored, duties and roster given back.
func finishStop(w *quetzalfleet.World) {
	switch w.Stop {
	case quetzalfleet.StopDraining:
		if w.Live > 0 || w.Attempts.Len() > 0 {
			return
		}
		w.Stop = quetzalfleet.StopLeaving
		w.StopGiveUpAt = w.Now.Add(leaveTimeout)
		w.After(leaveTimeout, quetzalfleet.Wake{})
		leave(w)
	case quetzalfleet.StopLeaving:
		leave(w)
	case quetzalfleet.StopNone, quetzalfleet.StopFinished:
	}
}

func leave(w *quetzalfleet.World) {
	late := w.Now >= w.StopGiveUpAt
	if !late && (w.ClaimsToWrite.Len() > 0 || w.OutcomeCall != 0) {
		return
	}
	if !late && (w.HeldEpoch > 0 || inRoster(w)) {
		resignDuty(w)
		if w.HeldEpoch == 0 {
			leaveRoster(w)
		}
		return
	}
	w.Stop = quetzalfleet.StopFinished
	w.Emit(quetzalfleet.FinishStop{})
}
