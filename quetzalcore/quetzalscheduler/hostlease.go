package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// This file keeps the lease of the host controller, which permits orders to hosts. Hosts do not check
// fencing tokens, so the lease alone keeps two processes from ordering the same host.
//
// The lease is a row beside the duty's row. The holder renews it on the condition that the duty's row
// is still its own, and a successor takes over on the condition that the lease is still the one that it
// has seen. A renewal that the store carries out late therefore either comes before the takeover, which
// then fails, or fails itself. Neither depends on how old a read is.

const (
	// hostOrderValidity is how long after sending a successful renewal the holder may order hosts. It
	// must be less than memberTimeout, after which others consider the holder dead.
	hostOrderValidity = 1500 * time.Millisecond
	// hostOrderTimeout is the longest time from sending an order until it is answered or its
	// connection is reset.
	hostOrderTimeout = 900 * time.Millisecond
	// leaseRenewalPeriod is the minimum time between two renewals, which are sent in the passes of the
	// host controller. A failed one can be repeated before hostOrderValidity has passed.
	leaseRenewalPeriod = 500 * time.Millisecond
)

// renewHostLease renews the lease if this process holds the duty and the next renewal is due.
func renewHostLease(w *quetzalwork.World) {
	l := &w.HostController.Lease
	if l.RenewalInFlight || w.Now.Sub(l.RenewalAttemptAt) < leaseRenewalPeriod {
		return
	}
	l.RenewalInFlight, l.RenewalAttemptAt = true, w.Now
	w.Emit(quetzalwork.RenewHostLease{Token: w.HostController.Token, SentAt: w.Now})
}

// handleHostLeaseRenewal applies the result of a renewal. A conflict means that another entry has taken
// the duty over.
func handleHostLeaseRenewal(w *quetzalwork.World, in *quetzalwork.HostLeaseRenewed) {
	c := &w.HostController
	if !c.Held || in.Token != c.Token {
		return
	}
	c.Lease.RenewalInFlight = false
	switch in.Result {
	case quetzalwork.StoreDone:
		c.Lease.RenewalSentAt = max(c.Lease.RenewalSentAt, in.SentAt)
	case quetzalwork.StoreConflict:
		endHostControl(w, "Superseded")
		readMembers(w)
	case quetzalwork.StoreCompacted, quetzalwork.StoreRefused, quetzalwork.StoreUnanswered, quetzalwork.StoreRejected:
		// controlHosts renews again.
	}
}

// applyHostLease records the revision of the lease that a read has shown; zero if it has shown none.
func applyHostLease(w *quetzalwork.World, revision quetzalunit.Revision) {
	if l := &w.HostController.Lease; revision > l.Revision {
		l.Revision, l.SeenAt = revision, w.Now
	}
}

// hostLeaseMayBeRenewed reports whether the process that holds the host controller's duty has renewed
// its lease within the memberTimeout before the last read was sent, although it does not renew its
// member row.
func hostLeaseMayBeRenewed(w *quetzalwork.World) bool {
	c := &w.HostController
	holder := w.Members.At(w.MemberByID.Get(c.Duty.Holder))
	return c.Duty.Holder != "" && holder != nil && !isReplaced(w, &c.Duty, holder) &&
		c.Lease.Revision >= c.Duty.Revision && w.Membership.ReadSentAt.Sub(c.Lease.SeenAt) < memberTimeout
}

// predecessorOrdersEnd returns when the last orders of the holder that this process has superseded have
// been carried out or lost.
//
//   - A predecessor that released the duty has stored the hosts that it ordered recently; they are
//     blocked one by one.
//   - An earlier process of this entry is the same holder to the hosts.
//   - Any other orders hosts for hostOrderValidity after its last renewal, which is the one that the
//     takeover was conditional on.
//   - One whose duty is newer than the lease keeps none, as programs before the lease. It may order
//     hosts until its next read.
//
// Holders before it may have been waited for by the predecessor; its row of the duty tells how long.
func predecessorOrdersEnd(w *quetzalwork.World, predecessor *quetzalwork.Duty) quetzalunit.Instant {
	l := &w.HostController.Lease
	end := w.Now
	switch {
	case predecessor.Holder == "" || predecessor.Holder == w.Self.Entry:
	case l.Revision >= predecessor.Revision:
		end = l.SeenAt.Add(hostOrderValidity + hostOrderTimeout)
	default:
		end = w.Now.Add(max(w.Bounds.OrderLease, hostOrderValidity+hostOrderTimeout))
	}
	return max(end, predecessor.EarlierLeasesEnd)
}

// hostOrderDeadline returns when this process must stop ordering hosts unless it renews the lease.
func hostOrderDeadline(w *quetzalwork.World) quetzalunit.Instant {
	return w.HostController.Lease.RenewalSentAt.Add(hostOrderValidity)
}

// permissionAge returns the age of what permits this process to order hosts. At hostOrderValidity the
// permission ends.
func permissionAge(w *quetzalwork.World) time.Duration {
	return ageOf(w, w.HostController.Lease.RenewalSentAt)
}

// logPermission logs when the permission of the host controller to order hosts ends and when it is
// back.
func logPermission(w *quetzalwork.World) {
	c := &w.HostController
	if ended := w.Now >= hostOrderDeadline(w); ended != c.PermissionEnded {
		c.PermissionEnded = ended
		message := "This entry may order hosts again."
		if ended {
			message = "The permission to order hosts has ended."
		}
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Message: message, Version: int64(c.Token), Age: permissionAge(w)})
	}
}
