package quetzalsimulation

import (
	"time"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalmemory"
	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// rebootTime is the duration of a reboot.
const rebootTime = 2 * time.Second

// sendStoreCall sends a store call to the platform. It fails without an answer if the
// platform is unreachable.
func (sim *Simulation) sendStoreCall(row quetzaltable.Row, call quetzalfleet.Row, c quetzalfleet.Command) {
	sim.Platform.Calls++
	if sim.Platform.Outage || sim.Entries.At(row).PartitionedFromPlatform {
		sim.answerStoreCall(row, call, quetzalfleet.NoAnswer{}, MessageLatency)
		return
	}
	sim.events.Push(sim.Now.Add(PlatformLatency/2), storeCallArrival{entry: row, call: call, command: c})
}

func (sim *Simulation) answerStoreCall(row quetzaltable.Row, call quetzalfleet.Row, result quetzalfleet.StoreResult, after time.Duration) {
	sim.events.Push(sim.Now.Add(after), inputDelivery{
		entry: row, in: quetzalfleet.StoreAnswered{Call: call, Result: result},
	})
}

// serveStoreCall executes a store call that has reached the platform and answers it,
// unless its answer is to be lost.
func (sim *Simulation) serveStoreCall(e storeCallArrival) {
	result := sim.executeStoreCall(e.command)
	if _, ok := e.command.(quetzalfleet.WriteStore); ok && sim.Platform.AnswersToLose > 0 {
		sim.Platform.AnswersToLose--
		result = quetzalfleet.NoAnswer{}
	}
	sim.answerStoreCall(e.entry, e.call, result, PlatformLatency/2)
}

// executeStoreCall executes a store call and returns its result.
func (sim *Simulation) executeStoreCall(c quetzalfleet.Command) quetzalfleet.StoreResult {
	switch c := c.(type) {
	case quetzalfleet.WriteStore:
		return sim.commit(&c.Transaction)
	case quetzalfleet.ReadStore:
		ids := make([]quetzalmemory.RowID, 0, len(c.Keys))
		for _, key := range c.Keys {
			ids = append(ids, rowID(key))
		}
		rows, revision := sim.Platform.Tables.Read(ids)
		return quetzalfleet.RowsRead{Revision: revision, Rows: decodeRows(rows)}
	case quetzalfleet.ScanStore:
		names := make([]string, 0, len(c.Tables))
		for _, name := range c.Tables {
			names = append(names, string(name))
		}
		rows, revision := sim.Platform.Tables.Scan(names, c.SinceRevision, c.Limit)
		return quetzalfleet.RowsRead{Revision: revision, Rows: decodeRows(rows)}
	case quetzalfleet.PutObject:
		sim.Platform.Objects[c.Key] = c.Object
		return quetzalfleet.ObjectStored{}
	case quetzalfleet.GetObject:
		return quetzalfleet.ObjectRead{Object: sim.Platform.Objects[c.Key]}
	case quetzalfleet.ListHosts:
		return sim.listHosts()
	case quetzalfleet.RebootHost:
		sim.reboot(c.Host, c.Before)
		return quetzalfleet.RebootAccepted{}
	default:
		return quetzalfleet.NoAnswer{}
	}
}

func rowID(key quetzalfleet.RowKey) quetzalmemory.RowID {
	return quetzalmemory.RowID{Table: string(key.Table), Key: key.Key}
}

func (sim *Simulation) commit(tx *quetzalfleet.Transaction) quetzalfleet.StoreResult {
	conditions := make([]quetzalmemory.Condition, 0, len(tx.Conditions))
	for _, c := range tx.Conditions {
		conditions = append(conditions, quetzalmemory.Condition{RowID: rowID(c.Key), Revision: c.Revision})
	}
	writes := make([]quetzalmemory.Write, 0, len(tx.Writes))
	for _, w := range tx.Writes {
		if w.Row == nil {
			writes = append(writes, quetzalmemory.Write{RowID: rowID(w.Key), Delete: true})
			continue
		}
		value, err := quetzalcodec.EncodeRow(w.Row)
		if err != nil {
			panic(err) // the systems write only rows that can be encoded
		}
		writes = append(writes, quetzalmemory.Write{RowID: rowID(w.Key), Value: value})
	}
	revision, conflicts := sim.Platform.Tables.Commit(conditions, writes)
	if len(conflicts) > 0 {
		return quetzalfleet.ConditionsFailed{Rows: decodeRows(conflicts)}
	}
	if sim.OnCommit != nil {
		sim.OnCommit()
	}
	return quetzalfleet.Committed{Revision: revision}
}

func decodeRows(rows []quetzalmemory.Row) []quetzalfleet.RowAtRevision {
	decoded := make([]quetzalfleet.RowAtRevision, 0, len(rows))
	for _, row := range rows {
		if row.Revision == 0 {
			continue
		}
		key := quetzalfleet.RowKey{Table: quetzalfleet.TableName(row.Table), Key: row.Key}
		v, err := quetzalcodec.DecodeRow(key, row.Value)
		if err != nil {
			panic(err) // every row was encoded by commit
		}
		decoded = append(decoded, quetzalfleet.RowAtRevision{Key: key, Revision: row.Revision, Row: v})
	}
	return decoded
}

// listHosts returns the host list: the minions and the hosts of the entries. For an entry that was
// restarted it contains only the current process.
func (sim *Simulation) listHosts() quetzalfleet.HostsListed {
	var l quetzalfleet.HostsListed
	for _, m := range sim.Minions.All() {
		l.Hosts = append(l.Hosts, quetzalfleet.ListedHost{ID: m.ID, State: m.ListedState, Boot: m.Boot})
	}
	for _, e := range sim.Entries.All() {
		h := quetzalfleet.ListedHost{ID: quetzalunit.HostID(e.ID)}
		if sim.Entry(e.ID) != e {
			continue
		}
		if e.Dead {
			h.State = quetzalfleet.ListedGone
		}
		l.Hosts = append(l.Hosts, h)
	}
	return l
}

// reboot starts a host's reboot. A request with an outdated boot count is ignored.
func (sim *Simulation) reboot(id quetzalunit.HostID, before quetzalunit.Boot) {
	m := sim.Minion(id)
	if m == nil || m.Boot != before || m.rebooting {
		return
	}
	m.rebooting = true
	m.ListedState = quetzalfleet.ListedLeaving
	sim.breakRuns(id)
	sim.events.Push(sim.Now.Add(rebootTime), rebootEnd{minion: sim.minionByID.Get(id)})
}

func (sim *Simulation) finishReboot(row quetzaltable.Row) {
	m := sim.Minions.At(row)
	m.Boot++
	m.rebooting = false
	m.ListedState = quetzalfleet.ListedLive
}
