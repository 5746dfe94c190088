package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// storeRetryDelay is the delay before an unanswered platform call for a claim or job is
// repeated.
const storeRetryDelay = 250 * time.Millisecond

// pollPlatform reads the changed rows of FleetTables and the list of hosts from the platform,
// each unless such a read is in flight.
func pollPlatform(w *quetzalfleet.World) {
	w.After(w.Jitter(w.Self.PollPeriod), quetzalfleet.PollDue{})
	if w.ScanCall == 0 {
		scanFleet(w)
	}
	if w.ListCall == 0 {
		w.ListCall = addStoreCall(w, quetzalfleet.ForHostList{})
		w.Emit(quetzalfleet.ListHosts{Call: w.ListCall})
	}
}

// scanFleet reads the rows of FleetTables that changed.
func scanFleet(w *quetzalfleet.World) {
	w.ScanCall = addStoreCall(w, quetzalfleet.ForFleetScan{})
	w.Emit(quetzalfleet.ScanStore{Call: w.ScanCall, Tables: quetzalfleet.FleetTables(), SinceRevision: w.SeenRevision})
}

func addStoreCall(w *quetzalfleet.World, purpose quetzalfleet.StorePurpose) quetzalfleet.Row {
	return w.StoreCalls.Insert(quetzalfleet.StoreCall{Purpose: purpose, SentAt: w.Now})
}

// writeStore issues a transaction and returns the row of its call.
func writeStore(
	w *quetzalfleet.World, purpose quetzalfleet.StorePurpose, t quetzalfleet.Transaction,
) quetzalfleet.Row {
	call := addStoreCall(w, purpose)
	w.StoreCalls.At(call).Transaction = t
	w.Emit(quetzalfleet.WriteStore{Call: call, Transaction: t})
	return call
}

func readStore(w *quetzalfleet.World, purpose quetzalfleet.StorePurpose, keys []quetzalfleet.RowKey) {
	w.Emit(quetzalfleet.ReadStore{Call: addStoreCall(w, purpose), Keys: keys})
}

func applyStoreAnswer(w *quetzalfleet.World, in quetzalfleet.StoreAnswered) {
	c := w.StoreCalls.At(in.Call)
	if c == nil {
		return
	}
	call := *c
	w.StoreCalls.Delete(in.Call)
	_, failed := in.Result.(quetzalfleet.NoAnswer)
	w.PlatformUnreachable = failed
	if !failed {
		w.PlatformAnsweredAt = w.Now
	}
	applyAnswerRows(w, &call, in.Result)
	routeAnswer(w, &call, in.Result)
}

// applyAnswerRows applies the rows of FleetTables in an answer, whatever the call was for.
func applyAnswerRows(w *quetzalfleet.World, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	switch result := result.(type) {
	case quetzalfleet.Committed:
		rows := make([]quetzalfleet.RowAtRevision, 0, len(call.Transaction.Writes))
		for _, wr := range call.Transaction.Writes {
			rows = append(rows, quetzalfleet.RowAtRevision{Key: wr.Key, Revision: result.Revision, Row: wr.Row})
		}
		applyRows(w, rows)
	case quetzalfleet.ConditionsFailed:
		applyRows(w, result.Rows)
	case quetzalfleet.RowsRead:
		applyRows(w, result.Rows)
	case quetzalfleet.HostsListed, quetzalfleet.RebootAccepted, quetzalfleet.ObjectStored,
		quetzalfleet.ObjectRead, quetzalfleet.NoAnswer:
	}
}

// routeAnswer passes an answer to the handler of the call's purpose.
func routeAnswer(w *quetzalfleet.World, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	switch p := call.Purpose.(type) {
	case quetzalfleet.ForFleetScan:
		handleScanResult(w, call, result)
	case quetzalfleet.ForHostList:
		handleHostListResult(w, call, result)
	case quetzalfleet.ForRosterChange:
		handleRosterResult(w, p, result)
	case quetzalfleet.ForRosterRemoval:
		schedulePlan(w, result)
	case quetzalfleet.ForDutyTakeover:
		handleTakeoverResult(w, call, result)
	case quetzalfleet.ForDutyRenewal:
		handleRenewalResult(w, call, result)
	case quetzalfleet.ForDutyRelease:
		w.DutyCall, w.HeldEpoch = 0, 0
	case quetzalfleet.ForClaimWrite:
		handleClaimsResult(w, p.Requests, result)
	case quetzalfleet.ForClaimRead:
		handleClaimReadResult(w, p.Requests, result)
	case quetzalfleet.ForOutcomeWrite:
		handleOutcomesResult(w, p.Requests, result)
	case quetzalfleet.ForHostChange:
		handleHostChangeResult(w, p.Host, result)
	case quetzalfleet.ForReboot:
		w.PlanDirty = true
	case quetzalfleet.ForWaveChange:
		handleWaveChangeResult(w, p.Wave, result)
	case quetzalfleet.ForOperatorChange:
		handleChangeResult(w, p.Change, result)
	case quetzalfleet.ForOperatorChangeRead:
		handleChangeReadResult(w, p.Change, result)
	default:
		routeJobAnswer(w, call, result)
	}
}

// routeJobAnswer is the part of routeAnswer for jobs, results and the deletion of old rows.
func routeJobAnswer(w *quetzalfleet.World, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	switch p := call.Purpose.(type) {
	case quetzalfleet.ForJobWorkWrite:
		handleWorkStored(w, p.Request, result)
	case quetzalfleet.ForJobWrite:
		handleJobResult(w, p.Request, call, result)
	case quetzalfleet.ForJobRead:
		handleJobReadResult(w, p.Request, result)
	case quetzalfleet.ForJobScan:
		handleJobScanResult(w, result)
	case quetzalfleet.ForJobTakeover:
		handleJobTakeoverResult(w, p.Job, call, result)
	case quetzalfleet.ForJobWorkRead:
		handleJobWorkRead(w, p, result)
	case quetzalfleet.ForSweepScan:
		handleSweepScanResult(w, result)
	case quetzalfleet.ForSweepDelete:
		handleSweepResult(w, call, result)
	case quetzalfleet.ForOutcomeRead:
		handleOutcomeRead(w, p, result)
	default:
	}
}

func handleScanResult(w *quetzalfleet.World, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	w.ScanCall = 0
	if w.RosterOutdated {
		w.RosterOutdated = call.SentAt < w.ResumedAt
		if w.RosterOutdated {
			scanFleet(w)
		}
	}
	if read, ok := result.(quetzalfleet.RowsRead); ok {
		advanceSeen(w, read.Revision)
		w.FleetLoaded = true
		joinRoster(w)
	}
}

func handleHostListResult(w *quetzalfleet.World, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	w.ListCall = 0
	w.HostListTried = true
	listed, ok := result.(quetzalfleet.HostsListed)
	if !ok {
		return
	}
	w.HostsListedAt = call.SentAt
	for _, l := range listed.Hosts {
		if h := w.Hosts.At(w.HostByID.Get(l.ID)); h != nil {
			applyListedHost(w, h, l, call.SentAt)
			continue
		}
		if p := w.Peers.At(w.PeerByID.Get(quetzalunit.EntryID(l.ID))); p != nil {
			p.ListedState, p.ListedAt = l.State, call.SentAt
		}
	}
}

func applyListedHost(w *quetzalfleet.World, h *quetzalfleet.Host, l quetzalfleet.ListedHost, requestedAt quetzalunit.Instant) {
	h.ListedAt = requestedAt
	if h.ListedState == l.State && h.Boot == l.Boot {
		return
	}
	h.ListedState, h.Boot = l.State, l.Boot
	w.PlanDirty = true
	w.DirtyPools.Add(h.PoolRow)
}
