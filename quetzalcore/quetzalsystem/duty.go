package quetzalsystem

import (
	"fmt"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// renewalsPerLease is the mean number of renewals within the duration of a lease.
const renewalsPerLease = 3

func epochKey(zone quetzalunit.ZoneID) quetzalfleet.RowKey {
	return quetzalfleet.RowKey{Table: quetzalfleet.TableEpochs, Key: string(zone)}
}

func renewalKey(zone quetzalunit.ZoneID) quetzalfleet.RowKey {
	return quetzalfleet.RowKey{Table: quetzalfleet.TableRenewals, Key: string(zone)}
}

// fenceCondition requires that no other process has taken over the zone's duties: every
// takeover writes the epoch row.
func fenceCondition(w *quetzalfleet.World) quetzalfleet.Condition {
	return quetzalfleet.Condition{Key: epochKey(w.Self.Zone), Revision: dutyOf(w, w.Self.Zone).Revision}
}

// holdsDuty reports whether this process may plan for its zone: its lease has not
// expired, and it has read every row up to its own takeover, which includes
// everything that earlier holders wrote. Writes are fenced against a newer holder
// even if the lease has expired.
func holdsDuty(w *quetzalfleet.World) bool {
	return w.HeldEpoch > 0 && w.Now.Sub(w.RenewalSentAt) < w.Self.LeaseDuration && w.SeenRevision >= dutyOf(w, w.Self.Zone).Revision
}

// maintainDutyLease renews the lease on the zone's duties, or takes it over if it has expired.
func maintainDutyLease(w *quetzalfleet.World) {
	w.After(w.Jitter(w.Self.LeaseDuration/renewalsPerLease), quetzalfleet.DutyLeaseDue{})
	if w.DutyCall != 0 || w.SeenRevision == 0 || w.Stop != quetzalfleet.StopNone || !inRoster(w) {
		return
	}
	if w.HeldEpoch > 0 {
		renewDuty(w)
		return
	}
	if dutyExpired(w) {
		takeOverDuty(w)
	}
}

// dutyExpired reports whether the lease is free or has not been renewed for its whole
// duration. If the platform has not answered lately, this entry could have missed
// renewals, and the lease of another holder counts as valid.
func dutyExpired(w *quetzalfleet.World) bool {
	d := dutyOf(w, w.Self.Zone)
	if d.Holder == "" || d.Holder == w.Self.Entry {
		return true
	}
	platformFresh := w.Now.Sub(w.PlatformAnsweredAt) < 2*w.Self.PollPeriod
	return platformFresh && w.Now.Sub(d.RenewalSeenAt) > w.Self.LeaseDuration
}

// takeOverDuty takes over the zone's duties at the next epoch. The transaction conflicts if the
// holder has made a renewal that this entry has not seen: gossip carries no renewals, and the entry
// may have been suspended since its last read. The conflict returns the row of that renewal.
func takeOverDuty(w *quetzalfleet.World) {
	d := dutyOf(w, w.Self.Zone)
	epoch := d.Epoch + 1
	conditions := []quetzalfleet.Condition{fenceCondition(w)}
	if d.Holder != "" && d.Holder != w.Self.Entry {
		conditions = append(conditions, quetzalfleet.Condition{Key: renewalKey(w.Self.Zone), Revision: d.RenewalRevision})
	}
	w.DutyCall = writeStore(w, quetzalfleet.ForDutyTakeover{}, quetzalfleet.Transaction{
		Conditions: conditions,
		Writes: []quetzalfleet.Write{
			{Key: epochKey(w.Self.Zone), Row: quetzalfleet.EpochRow{Zone: w.Self.Zone, Holder: w.Self.Entry, Epoch: epoch}},
			renewalWrite(w, epoch, 0),
		},
	})
}

// renewalWrite returns the write that renews the lease.
func renewalWrite(w *quetzalfleet.World, epoch quetzalunit.Epoch, count int64) quetzalfleet.Write {
	return quetzalfleet.Write{Key: renewalKey(w.Self.Zone), Row: quetzalfleet.RenewalRow{
		Zone: w.Self.Zone, Holder: w.Self.Entry, Epoch: epoch, Count: count,
	}}
}

// renewDuty renews the lease that this process holds.
func renewDuty(w *quetzalfleet.World) {
	d := dutyOf(w, w.Self.Zone)
	w.DutyCall = writeStore(w, quetzalfleet.ForDutyRenewal{}, quetzalfleet.Transaction{
		Conditions: []quetzalfleet.Condition{fenceCondition(w)},
		Writes:     []quetzalfleet.Write{renewalWrite(w, w.HeldEpoch, d.RenewalCount+1)},
	})
}

// handleTakeoverResult handles the result of takeOverDuty. The lease counts from the time the
// call was sent, which is no later than the commit. An epoch row that is newer than the commit
// shows that another entry has taken the duties over since.
func handleTakeoverResult(w *quetzalfleet.World, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	w.DutyCall = 0
	committed, ok := result.(quetzalfleet.Committed)
	d := dutyOf(w, w.Self.Zone)
	if !ok || d.Revision != committed.Revision {
		return
	}
	w.HeldEpoch = d.Epoch
	w.RenewalSentAt = call.SentAt
	w.PlanDirty = true
	w.RecordDecision(quetzalfleet.DecisionDuty, string(w.Self.Zone), fmt.Sprintf("took over the zone's duties at epoch %d", w.HeldEpoch))
}

// handleRenewalResult handles the result of renewDuty.
func handleRenewalResult(w *quetzalfleet.World, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	w.DutyCall = 0
	if _, ok := result.(quetzalfleet.Committed); ok {
		w.RenewalSentAt = call.SentAt
	}
}

// applyEpoch applies the epoch row of a zone's duties, which may show that another
// process has taken them over.
func applyEpoch(w *quetzalfleet.World, v quetzalfleet.EpochRow, rev quetzalunit.Revision) {
	d := dutyOf(w, v.Zone)
	d.Holder, d.Epoch, d.Revision = v.Holder, v.Epoch, rev
	d.RenewalSeenAt = w.Now
	if v.Zone == w.Self.Zone && w.HeldEpoch > 0 && v.Epoch > w.HeldEpoch {
		w.HeldEpoch = 0
		w.RecordDecision(quetzalfleet.DecisionDuty, string(v.Zone), fmt.Sprintf("lost the zone's duties to %s at epoch %d", v.Holder, v.Epoch))
	}
}

// releaseDuty releases the zone's duties, so that another entry can take them over
// without waiting for the lease to expire.
func releaseDuty(w *quetzalfleet.World) {
	if w.DutyCall != 0 || w.HeldEpoch == 0 {
		return
	}
	w.DutyCall = writeStore(w, quetzalfleet.ForDutyRelease{}, quetzalfleet.Transaction{
		Conditions: []quetzalfleet.Condition{fenceCondition(w)},
		Writes: []quetzalfleet.Write{{
			Key: epochKey(w.Self.Zone), Row: quetzalfleet.EpochRow{Zone: w.Self.Zone, Epoch: w.HeldEpoch + 1},
		}},
	})
}
