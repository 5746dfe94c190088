package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// changeTimeout is how long an operator's change is tried.
	changeTimeout = 10 * time.Second
	// changeRetry is the wait after a conflict or an answer that did not come.
	changeRetry = 100 * time.Millisecond
)

func beginChange(
	w *quetzalfleet.World, caller quetzalunit.Caller, id quetzalunit.ChangeID, action quetzalfleet.OperatorAction,
) {
	row := w.Changes.Insert(quetzalfleet.Change{
		Caller: caller, ID: id, Action: action, GiveUpAt: w.Now.Add(changeTimeout),
	})
	w.ChangesToTry.Add(row)
}

// commitChanges builds and commits the transactions of operators' changes.
func commitChanges(w *quetzalfleet.World) {
	for _, row := range w.ChangesToTry.Take() {
		c := w.Changes.At(row)
		if c == nil {
			continue
		}
		t, problem := changeTransaction(w, c)
		if problem != nil {
			refuseChange(w, row, problem)
			continue
		}
		c.Tries++
		t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: changeKey(c.ID)})
		write(w, quetzalfleet.ForChange{Change: row}, t)
	}
}

// refuseChange answers a change that cannot be committed, unless it is one that
// was committed before and is sent again.
func refuseChange(w *quetzalfleet.World, row quetzalfleet.Row, problem quetzalfleet.OperatorResult) {
	c := w.Changes.At(row)
	if c.Looked {
		endOperator(w, row, problem)
		return
	}
	c.Looked = true
	read(w, quetzalfleet.ForChangeRead{Change: row}, []quetzalfleet.RowKey{changeKey(c.ID)})
}

func changeKey(id quetzalunit.ChangeID) quetzalfleet.RowKey {
	return quetzalfleet.RowKey{Table: quetzalfleet.TableChanges, Key: string(id)}
}

// changeTransaction returns the transaction of a change, or the result that
// refuses it. The caller adds the condition that the change is new.
func changeTransaction(
	w *quetzalfleet.World, c *quetzalfleet.Change,
) (quetzalfleet.Transaction, quetzalfleet.OperatorResult) {
	switch a := c.Action.(type) {
	case quetzalfleet.ChangeSetting:
		return settingTransaction(w, a)
	case quetzalfleet.ChangePool:
		return rowTransaction(w, c.ID, quetzalfleet.TablePools, string(a.Pool.ID), a.Pool), nil
	case quetzalfleet.ChangeQueue:
		if w.PoolByID.Get(a.Queue.Pool) == 0 {
			return quetzalfleet.Transaction{}, quetzalfleet.ChangeRefused{Problem: quetzalfleet.ProblemUnknownPool}
		}
		return rowTransaction(w, c.ID, quetzalfleet.TableQueues, string(a.Queue.ID), a.Queue), nil
	case quetzalfleet.ChangeTeam:
		return rowTransaction(w, c.ID, quetzalfleet.TableTeams, string(a.Team.ID), a.Team), nil
	case quetzalfleet.RegisterHost:
		return registerTransaction(w, a)
	case quetzalfleet.MoveHost:
		return moveTransaction(w, a)
	case quetzalfleet.CreateWave:
		return rowTransaction(w, c.ID, quetzalfleet.TableWaves, string(a.Wave.ID), quetzalfleet.WaveRow{WaveSpec: a.Wave}), nil
	case quetzalfleet.SetWaveState:
		return waveStateTransaction(w, a)
	default:
		return quetzalfleet.Transaction{}, nil
	}
}

// rowTransaction replaces a row as this entry knows it.
func rowTransaction(
	w *quetzalfleet.World, id quetzalunit.ChangeID, table quetzalfleet.TableName, name string, row quetzalfleet.StoredRow,
) quetzalfleet.Transaction {
	key := quetzalfleet.RowKey{Table: table, Key: name}
	return quetzalfleet.Transaction{
		Conditions: []quetzalfleet.Condition{{Key: key, Revision: w.Rows[key].Revision}},
		Writes: []quetzalfleet.Write{
			{Key: key, Row: row},
			{Key: changeKey(id), Row: quetzalfleet.ChangeRow{ID: id, Subject: string(table) + "/" + name, At: w.Now}},
		},
	}
}

func settingTransaction(
	w *quetzalfleet.World, a quetzalfleet.ChangeSetting,
) (quetzalfleet.Transaction, quetzalfleet.OperatorResult) {
	node := w.Settings.At(w.SettingByPath.Get(a.Path))
	var found quetzalunit.Version
	if node != nil {
		found = node.Version
	}
	if a.IfVersion != nil && *a.IfVersion != found {
		return quetzalfleet.Transaction{}, quetzalfleet.ChangeConflict{Asked: *a.IfVersion, Found: found}
	}
	version := w.Head + 1
	head := quetzalfleet.RowKey{Table: quetzalfleet.TableHeads, Key: quetzalfleet.SettingsHead}
	t := rowTransaction(w, a.ID, quetzalfleet.TableSettings, string(a.Path), quetzalfleet.SettingRow{
		Path: a.Path, Version: version, ChangeID: a.ID, Deleted: a.Delete, Values: a.Values,
	})
	t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: head, Revision: w.HeadRevision})
	t.Writes = append(t.Writes, quetzalfleet.Write{Key: head, Row: quetzalfleet.HeadRow{Version: version}})
	t.Writes[1].Row = quetzalfleet.ChangeRow{ID: a.ID, Subject: string(a.Path), Version: version, At: w.Now}
	return t, nil
}

func registerTransaction(
	w *quetzalfleet.World, a quetzalfleet.RegisterHost,
) (quetzalfleet.Transaction, quetzalfleet.OperatorResult) {
	if w.PoolByID.Get(a.Host.Pool) == 0 {
		return quetzalfleet.Transaction{}, quetzalfleet.ChangeRefused{Problem: quetzalfleet.ProblemUnknownPool}
	}
	if w.HostByID.Get(a.Host.ID) != 0 {
		return quetzalfleet.Transaction{}, quetzalfleet.Changed{ID: a.ID}
	}
	host := a.Host
	host.Generation = 1
	return rowTransaction(w, a.ID, quetzalfleet.TableHosts, string(host.ID), quetzalfleet.HostRow{HostSpec: host}), nil
}

// moveTransaction records the wish; the holder of the zone's duties fulfils it.
func moveTransaction(
	w *quetzalfleet.World, a quetzalfleet.MoveHost,
) (quetzalfleet.Transaction, quetzalfleet.OperatorResult) {
	h := w.Hosts.At(w.HostByID.Get(a.Host))
	switch {
	case h == nil:
		return quetzalfleet.Transaction{}, quetzalfleet.ChangeRefused{Problem: quetzalfleet.ProblemUnknownHost}
	case w.PoolByID.Get(a.Pool) == 0:
		return quetzalfleet.Transaction{}, quetzalfleet.ChangeRefused{Problem: quetzalfleet.ProblemUnknownPool}
	}
	next := h.HostSpec
	next.MoveTo = a.Pool
	return rowTransaction(w, a.ID, quetzalfleet.TableHosts, string(a.Host), quetzalfleet.HostRow{HostSpec: next}), nil
}

func waveStateTransaction(
	w *quetzalfleet.World, a quetzalfleet.SetWaveState,
) (quetzalfleet.Transaction, quetzalfleet.OperatorResult) {
	v := w.Waves.At(w.WaveByID.Get(a.Wave))
	if v == nil {
		return quetzalfleet.Transaction{}, quetzalfleet.ChangeRefused{Problem: quetzalfleet.ProblemUnknownWave}
	}
	if v.State == quetzalfleet.WaveCancelled || v.State == quetzalfleet.WaveFinished {
		return quetzalfleet.Transaction{}, quetzalfleet.ChangeRefused{Problem: quetzalfleet.ProblemWaveEnded}
	}
	next := v.WaveSpec
	next.State = a.State
	return rowTransaction(w, a.ID, quetzalfleet.TableWaves, string(a.Wave), quetzalfleet.WaveRow{WaveSpec: next}), nil
}

func endChange(w *quetzalfleet.World, row quetzalfleet.Row, result quetzalfleet.StoreResult) {
	c := w.Changes.At(row)
	if c == nil {
		return
	}
	switch result := result.(type) {
	case quetzalfleet.Committed:
		w.GossipNow = true
		endOperator(w, row, quetzalfleet.Changed{ID: c.ID, Version: versionOf(w, c)})
	case quetzalfleet.Conflicted:
		if !endIfApplied(w, row, result.Rows) {
			tryAgain(w, row)
		}
	default:
		read(w, quetzalfleet.ForChangeRead{Change: row}, []quetzalfleet.RowKey{changeKey(c.ID)})
	}
}

// versionOf returns the version that a committed settings change has.
func versionOf(w *quetzalfleet.World, c *quetzalfleet.Change) quetzalunit.Version {
	if a, ok := c.Action.(quetzalfleet.ChangeSetting); ok {
		return w.Settings.At(w.SettingByPath.Get(a.Path)).Version
	}
	return 0
}

// endIfApplied answers a change whose row exists: it was applied before.
func endIfApplied(w *quetzalfleet.World, row quetzalfleet.Row, rows []quetzalfleet.RevisedRow) bool {
	c := w.Changes.At(row)
	for _, found := range rows {
		if v, ok := found.Row.(quetzalfleet.ChangeRow); ok && v.ID == c.ID {
			endOperator(w, row, quetzalfleet.Changed{ID: c.ID, Version: v.Version})
			return true
		}
	}
	return false
}

func endChangeRead(w *quetzalfleet.World, row quetzalfleet.Row, result quetzalfleet.StoreResult) {
	if w.Changes.At(row) == nil {
		return
	}
	found, ok := result.(quetzalfleet.RowsRead)
	if ok && endIfApplied(w, row, found.Rows) {
		return
	}
	tryAgain(w, row)
}

// tryAgain repeats a change until its time is up. Every try requires that the
// change is new, so that at most one of them takes effect.
func tryAgain(w *quetzalfleet.World, row quetzalfleet.Row) {
	c := w.Changes.At(row)
	if w.Now >= c.GiveUpAt {
		endOperator(w, row, quetzalfleet.ChangeUnknown{ID: c.ID})
		return
	}
	w.After(w.Jitter(changeRetry), quetzalfleet.ChangeDue{Change: row})
}

func endOperator(w *quetzalfleet.World, row quetzalfleet.Row, result quetzalfleet.OperatorResult) {
	c := w.Changes.At(row)
	w.Emit(quetzalfleet.AnswerOperator{Caller: c.Caller, Result: result})
	w.Changes.Delete(row)
}
