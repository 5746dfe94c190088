package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// changeTimeout is how long an operator's change is retried.
	changeTimeout = 10 * time.Second
	// changeRetryDelay is the mean delay before a change is tried again after a conflict or a
	// missing answer.
	changeRetryDelay = 100 * time.Millisecond
)

// beginChange records an operator's change, which commitChanges tries in this tick.
func beginChange(
	w *quetzalfleet.World, caller quetzalunit.CallerID, id quetzalunit.ChangeID, action quetzalfleet.OperatorAction,
) {
	row := w.OperatorChanges.Insert(quetzalfleet.OperatorChange{
		Caller: caller, ID: id, Action: action, Deadline: w.Now.Add(changeTimeout),
	})
	w.ChangesToCommit.Add(row)
}

// commitChanges builds and submits the transactions of operators' changes.
func commitChanges(w *quetzalfleet.World) {
	for _, row := range w.ChangesToCommit.Take() {
		c := w.OperatorChanges.At(row)
		if c == nil {
			continue
		}
		t, problem := changeTransaction(w, c)
		if problem != nil {
			rejectChange(w, row, problem)
			continue
		}
		c.Attempts++
		t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: changeKey(c.ID)})
		writeStore(w, quetzalfleet.ForOperatorChange{Change: row}, t)
	}
}

// rejectChange rejects a change that cannot be committed. Before it does so, it reads
// the change's row once, because the operator may be repeating a change that is already
// committed.
func rejectChange(w *quetzalfleet.World, row quetzalfleet.Row, problem quetzalfleet.OperatorResult) {
	c := w.OperatorChanges.At(row)
	if c.LookedUp {
		finishChange(w, row, problem)
		return
	}
	c.LookedUp = true
	readStore(w, quetzalfleet.ForOperatorChangeRead{Change: row}, []quetzalfleet.RowKey{changeKey(c.ID)})
}

func changeKey(id quetzalunit.ChangeID) quetzalfleet.RowKey {
	return quetzalfleet.RowKey{Table: quetzalfleet.TableChanges, Key: string(id)}
}

// changeTransaction returns the transaction of a change, or the result with which the
// change is answered without a commit. The caller adds the condition that the change's
// row is absent.
func changeTransaction(
	w *quetzalfleet.World, c *quetzalfleet.OperatorChange,
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

// rowTransaction returns the transaction that replaces a row, on condition that it has
// the revision known here, and that stores the change's own row.
func rowTransaction(
	w *quetzalfleet.World, id quetzalunit.ChangeID, table quetzalfleet.TableName, name string, row quetzalfleet.StoredRow,
) quetzalfleet.Transaction {
	key := quetzalfleet.RowKey{Table: table, Key: name}
	return quetzalfleet.Transaction{
		Conditions: []quetzalfleet.Condition{{Key: key, Revision: w.FleetRows[key].Revision}},
		Writes: []quetzalfleet.Write{
			{Key: key, Row: row},
			{Key: changeKey(id), Row: quetzalfleet.ChangeRow{ID: id, Subject: string(table) + "/" + name, WrittenAt: w.WallTime(w.Now)}},
		},
	}
}

// settingTransaction writes a node of the settings tree at the next version of the
// tree. The condition on the head row serializes the changes of settings.
func settingTransaction(
	w *quetzalfleet.World, a quetzalfleet.ChangeSetting,
) (quetzalfleet.Transaction, quetzalfleet.OperatorResult) {
	node := w.SettingNodes.At(w.SettingNodeByPath.Get(a.Path))
	var actual quetzalunit.Version
	if node != nil {
		actual = node.Version
	}
	if a.IfVersion != nil && *a.IfVersion != actual {
		return quetzalfleet.Transaction{}, quetzalfleet.ChangeConflict{ExpectedVersion: *a.IfVersion, ActualVersion: actual}
	}
	version := w.HeadVersion + 1
	head := quetzalfleet.RowKey{Table: quetzalfleet.TableHeads, Key: quetzalfleet.SettingsHeadKey}
	t := rowTransaction(w, a.ID, quetzalfleet.TableSettings, string(a.Path), quetzalfleet.SettingRow{
		Path: a.Path, Version: version, ChangeID: a.ID, Deleted: a.Delete, Values: a.Values,
	})
	t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: head, Revision: w.HeadRevision})
	t.Writes = append(t.Writes, quetzalfleet.Write{Key: head, Row: quetzalfleet.SettingsHeadRow{Version: version}})
	// rowTransaction writes the change's row without a settings version.
	t.Writes[1].Row = quetzalfleet.ChangeRow{ID: a.ID, Subject: string(a.Path), Version: version, WrittenAt: w.WallTime(w.Now)}
	return t, nil
}

// registerTransaction adds a host at generation 1. A host that is already registered is
// left as it is, and the change succeeds.
func registerTransaction(
	w *quetzalfleet.World, a quetzalfleet.RegisterHost,
) (quetzalfleet.Transaction, quetzalfleet.OperatorResult) {
	if w.PoolByID.Get(a.Host.Pool) == 0 {
		return quetzalfleet.Transaction{}, quetzalfleet.ChangeRefused{Problem: quetzalfleet.ProblemUnknownPool}
	}
	if w.HostByID.Get(a.Host.ID) != 0 {
		return quetzalfleet.Transaction{}, quetzalfleet.ChangeAccepted{ID: a.ID}
	}
	host := a.Host
	host.Generation = 1
	return rowTransaction(w, a.ID, quetzalfleet.TableHosts, string(host.ID), quetzalfleet.HostRow{HostSpec: host}), nil
}

// moveTransaction stores the requested pool in the host's row. The holder of the duties
// of the host's zone then starts the move.
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
	next.RequestedPool = a.Pool
	return rowTransaction(w, a.ID, quetzalfleet.TableHosts, string(a.Host), quetzalfleet.HostRow{HostSpec: next}), nil
}

// waveStateTransaction changes the state of a wave that has not ended.
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

// handleChangeResult handles the result of a change's transaction. After a missing answer the
// change's row is read, to find out whether the change was committed.
func handleChangeResult(w *quetzalfleet.World, row quetzalfleet.Row, result quetzalfleet.StoreResult) {
	c := w.OperatorChanges.At(row)
	if c == nil {
		return
	}
	switch result := result.(type) {
	case quetzalfleet.Committed:
		w.GossipPending = true
		finishChange(w, row, quetzalfleet.ChangeAccepted{ID: c.ID, Version: committedVersion(w, c)})
	case quetzalfleet.ConditionsFailed:
		if !finishIfCommitted(w, row, result.Rows) {
			retryChange(w, row)
		}
	default:
		readStore(w, quetzalfleet.ForOperatorChangeRead{Change: row}, []quetzalfleet.RowKey{changeKey(c.ID)})
	}
}

// committedVersion returns the settings version of a committed change, or zero if the
// change is not a change of settings.
func committedVersion(w *quetzalfleet.World, c *quetzalfleet.OperatorChange) quetzalunit.Version {
	if a, ok := c.Action.(quetzalfleet.ChangeSetting); ok {
		return w.SettingNodes.At(w.SettingNodeByPath.Get(a.Path)).Version
	}
	return 0
}

// finishIfCommitted finishes a change whose own row is among the given rows, which shows
// that the change is committed. It reports whether it did.
func finishIfCommitted(w *quetzalfleet.World, row quetzalfleet.Row, rows []quetzalfleet.RowAtRevision) bool {
	c := w.OperatorChanges.At(row)
	for _, found := range rows {
		if v, ok := found.Row.(quetzalfleet.ChangeRow); ok && v.ID == c.ID {
			finishChange(w, row, quetzalfleet.ChangeAccepted{ID: c.ID, Version: v.Version})
			return true
		}
	}
	return false
}

// handleChangeReadResult handles the result of reading a change's row.
func handleChangeReadResult(w *quetzalfleet.World, row quetzalfleet.Row, result quetzalfleet.StoreResult) {
	if w.OperatorChanges.At(row) == nil {
		return
	}
	found, ok := result.(quetzalfleet.RowsRead)
	if ok && finishIfCommitted(w, row, found.Rows) {
		return
	}
	retryChange(w, row)
}

// retryChange schedules another attempt at a change until changeTimeout has passed. Every
// attempt requires that the change's row is absent, so at most one takes effect.
func retryChange(w *quetzalfleet.World, row quetzalfleet.Row) {
	c := w.OperatorChanges.At(row)
	if w.Now >= c.Deadline {
		finishChange(w, row, quetzalfleet.ChangeUnknown{ID: c.ID})
		return
	}
	w.After(w.Jitter(changeRetryDelay), quetzalfleet.ChangeRetryDue{Change: row})
}

// finishChange answers the operator and deletes the change.
func finishChange(w *quetzalfleet.World, row quetzalfleet.Row, result quetzalfleet.OperatorResult) {
	c := w.OperatorChanges.At(row)
	w.Emit(quetzalfleet.AnswerOperator{Caller: c.Caller, Result: result})
	w.OperatorChanges.Delete(row)
}
