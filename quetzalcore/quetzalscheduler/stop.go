package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalwork"
)

// flushTime is how long a planned stop waits for progress to be stored before it gives the
// duties back; their successors then learn the rest from the minions.
const flushTime = 250 * time.Millisecond

func beginStop(w *quetzalwork.World) {
	if w.Stopping {
		return
	}
	w.Stopping, w.StopAt = true, w.Now
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartStop, Text: "A planned stop begins."})
	w.After(flushTime, quetzalwork.MembershipDue{})
}

// finishStop gives the duties of a stopping entry back.
func finishStop(w *quetzalwork.World) {
	if !w.Stopping {
		return
	}
	flushed := w.Now.Sub(w.StopAt) >= flushTime
	for row, p := range w.Pools.All() {
		if p.Held && (flushed || !p.Committing && p.DirtyJobs.Len() == 0) {
			w.Emit(quetzalwork.WriteDuty{Pool: p.ID, Expected: p.Duty.Revision, Release: true, SentAt: w.Now})
			dropPool(w, row, "Stop")
		}
	}
	if w.Conductor.Held {
		w.Emit(quetzalwork.WriteDuty{Pool: conductorDuty, Expected: w.Conductor.Duty.Revision, Release: true, SentAt: w.Now})
		dropConductor(w, "Stop")
	}
}
