package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// flushTime is how long a planned stop waits for progress to be stored before it gives the
// duties back; their successors then learn the rest from the minions.
const flushTime = 250 * time.Millisecond

// releaseRetry is the pause after a release without success.
const releaseRetry = 150 * time.Millisecond

func beginStop(w *quetzalwork.World) {
	if w.Stopping {
		return
	}
	w.Stopping, w.StopAt = true, w.Now
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartStop, Text: "A planned stop begins."})
	tendMembership(w)
	w.After(flushTime, quetzalwork.MembershipDue{})
}

// release gives a duty back.
func release(w *quetzalwork.World, id quetzalunit.PoolID) {
	w.Releases++
	c := quetzalwork.WriteDuty{Pool: id, Expected: dutyOf(w, id).Revision, Release: true, SentAt: w.Now}
	if id == conductorDuty {
		c.Holder.Ordered = lastOrdered(w)
	}
	w.Emit(c)
}

// hearRelease gives a duty back again if that had no effect: as long as its row names this
// entry, nobody takes it over before this entry's own row is found to be silent.
func hearRelease(w *quetzalwork.World, in *quetzalwork.DutyWritten) {
	if in.Result > quetzalwork.StoreConflict && dutyOf(w, in.Pool).Holder == w.Self.Entry {
		w.After(releaseRetry, quetzalwork.ReleaseDue{Pool: in.Pool})
		return
	}
	w.Releases--
}

func retryRelease(w *quetzalwork.World, id quetzalunit.PoolID) {
	w.Releases--
	release(w, id)
}

// finishStop gives the duties of a stopping entry back.
func finishStop(w *quetzalwork.World) {
	if !w.Stopping {
		return
	}
	flushed := w.Now.Sub(w.StopAt) >= flushTime
	for row, p := range w.Pools.All() {
		if p.Held && (flushed || !p.Committing && p.DirtyJobs.Len() == 0) {
			release(w, p.ID)
			dropPool(w, row, "Stop")
		}
	}
	if w.Conductor.Held {
		release(w, conductorDuty)
		dropConductor(w, "Stop")
	}
}
