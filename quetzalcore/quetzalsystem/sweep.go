package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// sweepPeriod is the mean time between two looks for old rows.
	sweepPeriod = time.Minute
	// sweepAgain is the mean time after a look that found a whole batch of old rows.
	sweepAgain = 2 * time.Second
	// sweepBatch is the number of rows that are read, and deleted, at once.
	sweepBatch = 500
)

// sweptTables are the tables whose rows lose their meaning with age.
func sweptTables() []quetzalfleet.TableName {
	return []quetzalfleet.TableName{quetzalfleet.TableClaims, quetzalfleet.TableJobs, quetzalfleet.TableChanges}
}

// sweep reads the oldest rows, as the holder of the duties of the first zone that
// has a roster: one entry of the fleet sweeps.
func sweep(w *quetzalfleet.World) {
	w.After(w.Jitter(sweepPeriod), quetzalfleet.SweepDue{})
	if w.Self.Retention == 0 || !holdsDuty(w) || !firstZone(w) || w.Stop != quetzalfleet.StopNone {
		return
	}
	lookForOldRows(w)
}

func lookForOldRows(w *quetzalfleet.World) {
	w.Emit(quetzalfleet.ScanStore{
		Call: addCall(w, quetzalfleet.ForSweepScan{}), Tables: sweptTables(), Limit: sweepBatch,
	})
}

func firstZone(w *quetzalfleet.World) bool {
	for _, r := range w.Rosters.All() {
		if len(r.Entries) > 0 && r.Zone < w.Self.Zone {
			return false
		}
	}
	return true
}

// endSweepScan deletes the rows that are old. Each deletion is conditional on its
// row's revision: a row that was written anew stays.
func endSweepScan(w *quetzalfleet.World, result quetzalfleet.StoreResult) {
	found, ok := result.(quetzalfleet.RowsRead)
	if !ok {
		return
	}
	var t quetzalfleet.Transaction
	for _, f := range found.Rows {
		at, known := writtenAt(f.Row)
		if !known || w.Now.Sub(at) < w.Self.Retention {
			continue
		}
		t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: f.Key, Revision: f.Revision})
		t.Writes = append(t.Writes, quetzalfleet.Write{Key: f.Key})
	}
	if len(t.Writes) > 0 {
		t.Conditions = append(t.Conditions, fence(w))
		write(w, quetzalfleet.ForSweep{}, t)
	}
}

// endSweep looks again soon after a whole batch was deleted.
func endSweep(w *quetzalfleet.World, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	_, committed := result.(quetzalfleet.Committed)
	if committed && len(call.Transaction.Writes) == sweepBatch {
		w.After(w.Jitter(sweepAgain), quetzalfleet.SweepAgain{})
	}
}

// writtenAt returns when a row of a swept table was written.
func writtenAt(row quetzalfleet.StoredRow) (quetzalunit.Instant, bool) {
	switch v := row.(type) {
	case quetzalfleet.ClaimRow:
		return v.At, true
	case quetzalfleet.JobRow:
		return v.At, true
	case quetzalfleet.ChangeRow:
		return v.At, true
	default:
		return 0, false
	}
}
