package quetzalmemory

import (
	"cmp"
	"slices"
	"sync"

	"quetzalstair/quetzalcore/quetzalunit"
)

// RowID identifies a row by table and key.
type RowID struct {
	Table string
	Key   string
}

// Row is a row with the revision of its last write.
type Row struct {
	RowID
	Value    string
	Revision quetzalunit.Revision
}

// Condition requires that a row has the given revision; zero requires that the row is absent.
type Condition struct {
	RowID
	Revision quetzalunit.Revision
}

// Write sets the value of a row, or deletes it.
type Write struct {
	RowID
	Value  string
	Delete bool
}

// Tables is a transactional table service. The zero value is empty. It is safe
// for concurrent use.
type Tables struct {
	mu   sync.Mutex
	rows map[RowID]Row
	// revision is the revision of the last commit.
	revision quetzalunit.Revision
	// commits counts transactions, writes counts rows written or deleted, reads counts calls of
	// Read and Scan.
	commits, writes, reads int64
}

// Commit applies all writes if every condition holds and returns the new revision. Otherwise
// it applies none and returns the current rows of the failed conditions; an absent row has
// revision zero.
func (t *Tables) Commit(conditions []Condition, writes []Write) (quetzalunit.Revision, []Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicts []Row
	for _, c := range conditions {
		row := t.rows[c.RowID]
		if row.Revision != c.Revision {
			row.RowID = c.RowID
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return 0, conflicts
	}
	if t.rows == nil {
		t.rows = make(map[RowID]Row)
	}
	t.revision++
	t.commits++
	t.writes += int64(len(writes))
	for _, w := range writes {
		if w.Delete {
			delete(t.rows, w.RowID)
			continue
		}
		t.rows[w.RowID] = Row{RowID: w.RowID, Value: w.Value, Revision: t.revision}
	}
	return t.revision, nil
}

// Read returns the rows with the given ids, without those that do not exist, and the revision of
// the snapshot, which is at least 1.
func (t *Tables) Read(ids []RowID) ([]Row, quetzalunit.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var rows []Row
	for _, id := range ids {
		if row, ok := t.rows[id]; ok {
			rows = append(rows, row)
		}
	}
	return rows, max(1, t.revision)
}

// Scan returns the rows of the given tables with a revision above after, ordered by revision,
// and the revision of the snapshot, which is at least 1. It returns at most limit rows; zero
// means no limit.
func (t *Tables) Scan(tables []string, after quetzalunit.Revision, limit int) ([]Row, quetzalunit.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var rows []Row
	for id, row := range t.rows {
		if row.Revision > after && slices.Contains(tables, id.Table) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Table, b.Table), cmp.Compare(a.Key, b.Key))
	})
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, max(1, t.revision)
}

// Stats counts the operations of a table service.
type Stats struct {
	Commits, Writes, Reads int64
}

// Stats returns the number of operations so far.
func (t *Tables) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Commits: t.commits, Writes: t.writes, Reads: t.reads}
}
