package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// flushTimeout is how long a planned stop waits for progress to be stored before it releases the
// duties. The successors learn from the minions what was not stored by then.
const flushTimeout = 250 * time.Millisecond

// releaseRetryDelay is the delay after a failed release.
const releaseRetryDelay = 150 * time.Millisecond

// beginStop begins a planned stop: it renews the member row, which then shows that this entry is
// stopping, and sets a timer for the end of flushTimeout.
func beginStop(w *quetzalwork.World) {
	if w.Stopping {
		return
	}
	w.Stopping, w.StoppingSince = true, w.Now
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartStop, Message: "A planned stop begins."})
	maintainMembership(w)
	w.After(flushTimeout, quetzalwork.MembershipDue{})
}

// releaseDuty writes a duty's row without a holder. The row of the host controller's duty lists the
// hosts that were ordered recently; that of a pool's tells how long the leases of dispatchers before
// this one may last.
func releaseDuty(w *quetzalwork.World, id quetzalunit.PoolID) {
	w.PendingReleases++
	c := quetzalwork.WriteDuty{Pool: id, OfHosts: id == quetzalwork.HostControlDuty, Expected: dutyOf(w, id).Revision, Release: true, SentAt: w.Now}
	if id == quetzalwork.HostControlDuty {
		c.Duty.OrderedHosts, c.Duty.EarlierLeases = recentlyOrderedHosts(w), remainingWait(w)
	} else {
		row := poolRow(w, id)
		if p := w.Pools.At(row); p.Held {
			p.OwnRelease = releaseLeases(w, row)
		}
		c.Duty.Leases = w.Pools.At(row).OwnRelease
		c.Duty.EarlierLeases = leasesAtRelease(c.Duty.Leases)
	}
	w.Emit(c)
}

// leasesAtRelease returns the EarlierLeases of a released duty, for a successor that holds it only for a
// short time or does not know Leases.
func leasesAtRelease(l *quetzalwork.ReleasedLeases) time.Duration {
	if left := longestLease(l); left > leaseExpiryTime {
		return left
	}
	return 0
}

// handleReleaseResult schedules another release if the row of the duty may still name this entry.
// As long as it does, other entries take the duty over only after memberTimeout without a renewal.
func handleReleaseResult(w *quetzalwork.World, in *quetzalwork.DutyWritten) {
	if in.Result > quetzalwork.StoreConflict {
		w.After(releaseRetryDelay, quetzalwork.DutyReleaseDue{Pool: in.Pool, Expected: in.Expected})
		return
	}
	w.PendingReleases--
}

// retryRelease repeats a release that failed. A later row of the duty shows that the release was carried
// out, and may name a successor or a new term of this process, which must not be released.
func retryRelease(w *quetzalwork.World, t quetzalwork.DutyReleaseDue) {
	w.PendingReleases--
	if dutyOf(w, t.Pool).Revision == t.Expected {
		releaseDuty(w, t.Pool)
	}
}

// finishStop releases the duties of a stopping entry. It releases a pool's duty once the pool's
// progress is stored or flushTimeout has passed, and the host controller's duty at once.
func finishStop(w *quetzalwork.World) {
	if !w.Stopping {
		return
	}
	flushed := w.Now.Sub(w.StoppingSince) >= flushTimeout
	for row, p := range w.Pools.All() {
		if p.Held && (flushed || progressStored(p)) {
			releaseDuty(w, p.ID)
			endDispatch(w, row, "Stop")
		}
	}
	if w.HostController.Held {
		releaseDuty(w, quetzalwork.HostControlDuty)
		endHostControl(w, "Stop")
	}
}
