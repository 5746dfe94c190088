package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// sweepPeriod is the mean interval between two scans for old rows.
	sweepPeriod = time.Minute
	// sweepContinueDelay is the mean delay before the next scan after a full batch was
	// deleted.
	sweepContinueDelay = 2 * time.Second
	// sweepBatch is the maximum number of rows in one scan and one deletion.
	sweepBatch = 500
)

// sweptTables returns the tables whose rows are deleted at the age Identity.Retention.
func sweptTables() []quetzalfleet.TableName {
	return []quetzalfleet.TableName{quetzalfleet.TableClaims, quetzalfleet.TableJobs, quetzalfleet.TableChanges}
}

// sweep starts a scan for old rows.
func sweep(w *quetzalfleet.World) {
	w.After(w.Jitter(sweepPeriod), quetzalfleet.SweepDue{})
	scanOldRows(w)
}

// maySweep reports whether this entry deletes old rows. Only one entry in the fleet does so: the
// holder of the duties of the first zone, by name, that has entries in its roster.
func maySweep(w *quetzalfleet.World) bool {
	return w.Self.Retention > 0 && holdsDuty(w) && inFirstZone(w) && w.Stop == quetzalfleet.StopNone
}

// scanOldRows reads the oldest rows of the tables that are swept.
func scanOldRows(w *quetzalfleet.World) {
	if !maySweep(w) {
		return
	}
	w.Emit(quetzalfleet.ScanStore{
		Call: addStoreCall(w, quetzalfleet.ForSweepScan{}), Tables: sweptTables(), Limit: sweepBatch,
	})
}

// inFirstZone reports whether no zone before this entry's, by name, has entries in its
// roster.
func inFirstZone(w *quetzalfleet.World) bool {
	for _, r := range w.Rosters.All() {
		if len(r.Entries) > 0 && r.Zone < w.Self.Zone {
			return false
		}
	}
	return true
}

// handleSweepScanResult deletes the old rows that a scan found. The transaction is conditional on
// the revision of each row, so that none is deleted that has been written since.
func handleSweepScanResult(w *quetzalfleet.World, result quetzalfleet.StoreResult) {
	found, ok := result.(quetzalfleet.RowsRead)
	if !ok || !maySweep(w) {
		return
	}
	var t quetzalfleet.Transaction
	for _, f := range found.Rows {
		at, known := writtenAt(f.Row)
		if !known || w.WallTime(w.Now).Sub(at) < w.Self.Retention {
			continue
		}
		t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: f.Key, Revision: f.Revision})
		t.Writes = append(t.Writes, quetzalfleet.Write{Key: f.Key})
	}
	if len(t.Writes) > 0 {
		t.Conditions = append(t.Conditions, fenceCondition(w))
		writeStore(w, quetzalfleet.ForSweepDelete{}, t)
	}
}

// handleSweepResult schedules the next scan soon after a full batch was deleted.
func handleSweepResult(w *quetzalfleet.World, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	_, committed := result.(quetzalfleet.Committed)
	if committed && len(call.Transaction.Writes) == sweepBatch {
		w.After(w.Jitter(sweepContinueDelay), quetzalfleet.SweepBatchDue{})
	}
}

// writtenAt returns when a row was written, and false if its table is not swept.
func writtenAt(row quetzalfleet.StoredRow) (quetzalunit.WallTime, bool) {
	switch v := row.(type) {
	case quetzalfleet.ClaimRow:
		return v.WrittenAt, true
	case quetzalfleet.JobRow:
		return v.WrittenAt, true
	case quetzalfleet.ChangeRow:
		return v.WrittenAt, true
	default:
		return 0, false
	}
}
