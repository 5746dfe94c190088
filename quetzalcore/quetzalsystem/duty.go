package quetzalsystem

import (
	"fmt"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// renewalsPerLease is how often a lease is renewed before it lapses.
const renewalsPerLease = 3

func epochKey(zone quetzalunit.ZoneID) quetzalfleet.RowKey {
	return quetzalfleet.RowKey{Table: quetzalfleet.TableEpochs, Key: string(zone)}
}

func renewalKey(zone quetzalunit.ZoneID) quetzalfleet.RowKey {
	return quetzalfleet.RowKey{Table: quetzalfleet.TableRenewals, Key: string(zone)}
}

// fence requires that no other process has taken over the zone's duties.
func fence(w *quetzalfleet.World) quetzalfleet.Condition {
	return quetzalfleet.Condition{Key: epochKey(w.Self.Zone), Revision: dutyOf(w, w.Self.Zone).Revision}
}

// holdsDuty tells whether this process may plan for its zone. It stops planning
// when its lease has lapsed; its writes are fenced in any case. It begins when it
// has read what earlier holders wrote, all of which precedes its own takeover.
func holdsDuty(w *quetzalfleet.World) bool {
	return w.HeldEpoch > 0 && w.Now.Sub(w.RenewedAt) < w.Self.Lease && w.Seen >= dutyOf(w, w.Self.Zone).Revision
}

// tendDuty renews the lease on the zone's duties or takes over a lapsed one.
func tendDuty(w *quetzalfleet.World) {
	w.After(w.Jitter(w.Self.Lease/renewalsPerLease), quetzalfleet.DutyDue{})
	if w.DutyCall != 0 || w.Seen == 0 || w.Stop != quetzalfleet.StopNone || !inRoster(w) {
		return
	}
	if w.HeldEpoch > 0 {
		renewDuty(w)
		return
	}
	if dutyLapsed(w) {
		takeDuty(w)
	}
}

// dutyLapsed tells whether the lease was not renewed for its whole length while
// the platform answered.
func dutyLapsed(w *quetzalfleet.World) bool {
	d := dutyOf(w, w.Self.Zone)
	if d.Holder == "" || d.Holder == w.Self.Entry {
		return true
	}
	platformFresh := w.Now.Sub(w.PlatformAnsweredAt) < 2*w.Self.Poll
	return platformFresh && w.Now.Sub(d.RenewalSeenAt) > w.Self.Lease
}

func takeDuty(w *quetzalfleet.World) {
	d := dutyOf(w, w.Self.Zone)
	epoch := d.Epoch + 1
	w.DutyCall = write(w, quetzalfleet.ForTakeover{}, quetzalfleet.Transaction{
		Conditions: []quetzalfleet.Condition{fence(w)},
		Writes: []quetzalfleet.Write{
			{Key: epochKey(w.Self.Zone), Row: quetzalfleet.EpochRow{Zone: w.Self.Zone, Holder: w.Self.Entry, Epoch: epoch}},
			renewal(w, epoch, 0),
		},
	})
}

func renewal(w *quetzalfleet.World, epoch quetzalunit.Epoch, count int64) quetzalfleet.Write {
	return quetzalfleet.Write{Key: renewalKey(w.Self.Zone), Row: quetzalfleet.RenewalRow{
		Zone: w.Self.Zone, Holder: w.Self.Entry, Epoch: epoch, Count: count,
	}}
}

func renewDuty(w *quetzalfleet.World) {
	d := dutyOf(w, w.Self.Zone)
	w.DutyCall = write(w, quetzalfleet.ForRenewal{}, quetzalfleet.Transaction{
		Conditions: []quetzalfleet.Condition{fence(w)},
		Writes:     []quetzalfleet.Write{renewal(w, w.HeldEpoch, d.RenewalCount+1)},
	})
}

func endTakeover(w *quetzalfleet.World, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	w.DutyCall = 0
	if _, ok := result.(quetzalfleet.Committed); !ok {
		return
	}
	w.HeldEpoch = dutyOf(w, w.Self.Zone).Epoch
	w.RenewedAt = call.SentAt
	w.PlanDirty = true
	w.Decide(quetzalfleet.DecisionDuty, string(w.Self.Zone), fmt.Sprintf("took over the zone's duties at epoch %d", w.HeldEpoch))
}

func endRenewal(w *quetzalfleet.World, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	w.DutyCall = 0
	if _, ok := result.(quetzalfleet.Committed); ok {
		w.RenewedAt = call.SentAt
	}
}

func applyEpoch(w *quetzalfleet.World, v quetzalfleet.EpochRow, rev quetzalunit.Revision) {
	d := dutyOf(w, v.Zone)
	d.Holder, d.Epoch, d.Revision = v.Holder, v.Epoch, rev
	d.RenewalSeenAt = w.Now
	if v.Zone == w.Self.Zone && w.HeldEpoch > 0 && v.Epoch > w.HeldEpoch {
		w.HeldEpoch = 0
		w.Decide(quetzalfleet.DecisionDuty, string(v.Zone), fmt.Sprintf("lost the zone's duties to %s at epoch %d", v.Holder, v.Epoch))
	}
}

// resignDuty gives the zone's duties back, so that another entry takes them at once.
func resignDuty(w *quetzalfleet.World) {
	if w.DutyCall != 0 || w.HeldEpoch == 0 {
		return
	}
	w.DutyCall = write(w, quetzalfleet.ForResignation{}, quetzalfleet.Transaction{
		Conditions: []quetzalfleet.Condition{fence(w)},
		Writes: []quetzalfleet.Write{{
			Key: epochKey(w.Self.Zone), Row: quetzalfleet.EpochRow{Zone: w.Self.Zone, Epoch: w.HeldEpoch + 1},
		}},
	})
}
