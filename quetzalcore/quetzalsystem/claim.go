package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// claimBatch is the maximum number of claims in one transaction.
	claimBatch = 256
	// claimRate is the number of claim transactions per second of the whole fleet when
	// all entries are busy.
	claimRate = 360
	// claimBurst is how many transactions an entry may be ahead of its part of claimRate.
	claimBurst = 10
	// outcomeDelay is how long outcomes are collected before one transaction stores them.
	outcomeDelay = 500 * time.Millisecond
	// maxClaimCalls is the maximum number of claim transactions in flight. Meanwhile
	// new claims are collected for the next transaction (group commit).
	maxClaimCalls = 2
	// maxStoredAnswer is the size in bytes of the largest answer body that is stored with
	// a claim. A larger one is stored as an unknown outcome.
	maxStoredAnswer = 64 << 10
)

func claimKey(id quetzalunit.RequestID) quetzalfleet.RowKey {
	return quetzalfleet.RowKey{Table: quetzalfleet.TableClaims, Key: string(id)}
}

// needsClaim reports whether a request needs a claim, which keeps other entries from
// running it too. A request with a generated id needs none, as no other entry can run
// it. An idempotent request does without a claim while the platform fails.
func needsClaim(w *quetzalfleet.World, r *quetzalfleet.Request) bool {
	return !r.ClaimExempt && (!r.Idempotent || !w.PlatformUnreachable)
}

// commitClaims commits the claims of up to claimBatch waiting requests in one transaction.
// Apart from bursts of claimBurst, it limits the rate of transactions to the entry's
// part of claimRate.
func commitClaims(w *quetzalfleet.World) {
	if w.ClaimsToCommit.Len() == 0 || w.ClaimCallsInFlight >= maxClaimCalls || w.Now < w.ClaimsNotBefore {
		return
	}
	spacing := claimSpacing(w)
	if ahead := w.ClaimsPacedUntil.Sub(w.Now); ahead > claimBurst*spacing {
		w.ClaimsNotBefore = w.Now.Add(ahead - claimBurst*spacing)
		w.Timers.Push(w.ClaimsNotBefore, quetzalfleet.TickDue{})
		return
	}
	var t quetzalfleet.Transaction
	var requests []quetzalfleet.Row
	for _, row := range w.ClaimsToCommit.Take() {
		r := w.Requests.At(row)
		if r == nil || r.State != quetzalfleet.RequestClaiming {
			continue
		}
		if len(requests) == claimBatch {
			w.ClaimsToCommit.Add(row)
			continue
		}
		requests = append(requests, row)
		t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: claimKey(r.ID), Revision: r.ReplacedClaimRevision})
		t.Writes = append(t.Writes, quetzalfleet.Write{
			Key: claimKey(r.ID), Row: claimRow(w, r, quetzalfleet.ClaimHeld, nil),
		})
	}
	if len(requests) == 0 {
		return
	}
	w.ClaimCallsInFlight++
	w.ClaimsPacedUntil = max(w.ClaimsPacedUntil, w.Now).Add(spacing)
	writeStore(w, quetzalfleet.ForClaimWrite{Requests: requests}, t)
}

// claimSpacing returns the mean interval between claim transactions that gives this
// entry an equal part of claimRate.
func claimSpacing(w *quetzalfleet.World) time.Duration {
	return time.Duration(w.Peers.Len()+1) * time.Second / claimRate
}

func claimRow(
	w *quetzalfleet.World, r *quetzalfleet.Request, s quetzalfleet.ClaimState, a *quetzalfleet.Payload,
) quetzalfleet.ClaimRow {
	return quetzalfleet.ClaimRow{
		Request: r.ID, Entry: w.Self.Entry, Incarnation: w.Self.Incarnation, State: s, BodyDigest: r.BodyDigest, Answer: a,
		WrittenAt: w.WallTime(w.Now),
	}
}

func handleClaimsResult(w *quetzalfleet.World, requests []quetzalfleet.Row, result quetzalfleet.StoreResult) {
	w.ClaimCallsInFlight--
	switch result := result.(type) {
	case quetzalfleet.Committed:
		for _, row := range requests {
			confirmClaim(w, row, result.Revision)
		}
	case quetzalfleet.ConditionsFailed:
		conflicts := rowsByKey(result.Rows)
		for _, row := range requests {
			settleClaim(w, row, conflicts)
		}
	default:
		handleUnansweredClaims(w, requests)
	}
}

func rowsByKey(rows []quetzalfleet.RowAtRevision) map[quetzalfleet.RowKey]quetzalfleet.RowAtRevision {
	found := make(map[quetzalfleet.RowKey]quetzalfleet.RowAtRevision, len(rows))
	for _, row := range rows {
		found[row.Key] = row
	}
	return found
}

// confirmClaim queues a request whose claim is committed. A request that finished
// meanwhile without having run is no longer in the table: its claim stays held until
// the sweep deletes it.
func confirmClaim(w *quetzalfleet.World, row quetzalfleet.Row, rev quetzalunit.Revision) {
	r := w.Requests.At(row)
	if r == nil {
		return
	}
	r.ClaimRevision = rev
	if r.State == quetzalfleet.RequestClaiming {
		enqueue(w, row, false)
	}
}

// handleUnansweredClaims handles a claim transaction that may or may not have taken effect.
// Idempotent requests are queued without a claim; the claims of the others are read.
func handleUnansweredClaims(w *quetzalfleet.World, requests []quetzalfleet.Row) {
	var unconfirmed []quetzalfleet.Row
	var keys []quetzalfleet.RowKey
	for _, row := range requests {
		r := w.Requests.At(row)
		switch {
		case r == nil || r.State != quetzalfleet.RequestClaiming:
		case r.Idempotent:
			enqueue(w, row, false)
		default:
			unconfirmed = append(unconfirmed, row)
			keys = append(keys, claimKey(r.ID))
		}
	}
	if len(unconfirmed) > 0 {
		readStore(w, quetzalfleet.ForClaimRead{Requests: unconfirmed}, keys)
	}
}

func handleClaimReadResult(w *quetzalfleet.World, requests []quetzalfleet.Row, result quetzalfleet.StoreResult) {
	found, ok := result.(quetzalfleet.RowsRead)
	if !ok {
		w.After(storeRetryDelay, quetzalfleet.TickDue{})
		w.ClaimsNotBefore = w.Now.Add(storeRetryDelay)
		for _, row := range requests {
			w.ClaimsToCommit.Add(row)
		}
		return
	}
	rows := rowsByKey(found.Rows)
	for _, row := range requests {
		settleClaim(w, row, rows)
	}
}

// settleClaim decides how a request continues, from the stored row of its claim, after
// a transaction that conflicted or was not answered.
func settleClaim(
	w *quetzalfleet.World, row quetzalfleet.Row, rows map[quetzalfleet.RowKey]quetzalfleet.RowAtRevision,
) {
	r := w.Requests.At(row)
	if r == nil || r.State != quetzalfleet.RequestClaiming {
		return
	}
	found, present := rows[claimKey(r.ID)]
	claim, ok := found.Row.(quetzalfleet.ClaimRow)
	if !present || !ok {
		w.ClaimsToCommit.Add(row)
		return
	}
	if claim.BodyDigest != r.BodyDigest {
		finishRequest(w, row, quetzalfleet.RequestIDConflict{})
		return
	}
	switch claim.State {
	case quetzalfleet.ClaimDone:
		finishRequest(w, row, quetzalfleet.Ran{Answer: claim.Answer})
	case quetzalfleet.ClaimUnknown:
		finishRequest(w, row, quetzalfleet.Unknown{Reason: quetzalfleet.HolderGone})
	case quetzalfleet.ClaimReleased:
		replaceClaim(w, row, found.Revision)
	case quetzalfleet.ClaimHeld:
		joinHolder(w, row, claim, found.Revision)
	}
}

// replaceClaim schedules a claim that replaces the row at revision base.
func replaceClaim(w *quetzalfleet.World, row quetzalfleet.Row, base quetzalunit.Revision) {
	w.Requests.At(row).ReplacedClaimRevision = base
	w.ClaimsToCommit.Add(row)
}

// joinHolder asks the entry that holds the claim for the outcome. A claim held by this
// process is the request's own, from a transaction without an answer: an earlier
// request with the id would still be in the table, and this one would have joined it.
func joinHolder(
	w *quetzalfleet.World, row quetzalfleet.Row, claim quetzalfleet.ClaimRow, rev quetzalunit.Revision,
) {
	r := w.Requests.At(row)
	if claim.Entry == w.Self.Entry && claim.Incarnation == w.Self.Incarnation {
		confirmClaim(w, row, rev)
		return
	}
	r.HolderClaimRevision = rev
	p := w.Peers.At(w.PeerByID.Get(claim.Entry))
	if p == nil || p.Incarnation != claim.Incarnation {
		handleHolderGone(w, row)
		return
	}
	r.State = quetzalfleet.RequestJoining
	w.Emit(quetzalfleet.SendJoin{
		Request: row, ID: r.ID, Address: p.Address, Incarnation: p.Incarnation, Timeout: r.Deadline.Sub(w.Now),
	})
}

// handleHolderGone handles a request whose claim is held by an entry that cannot be asked
// for the outcome. An idempotent request replaces the claim and runs again; any other
// ends as Unknown.
func handleHolderGone(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r.Idempotent {
		r.State = quetzalfleet.RequestClaiming
		replaceClaim(w, row, r.HolderClaimRevision)
		return
	}
	finishRequest(w, row, quetzalfleet.Unknown{Reason: quetzalfleet.HolderGone})
}

func handleJoinAnswer(w *quetzalfleet.World, in quetzalfleet.JoinAnswered) {
	r := w.Requests.At(in.Request)
	if r == nil || r.State != quetzalfleet.RequestJoining {
		return
	}
	switch in.Outcome.(type) {
	case nil, quetzalfleet.Invalid:
		r.State = quetzalfleet.RequestClaiming
		rereadClaim(w, in.Request)
	default:
		finishRequest(w, in.Request, in.Outcome)
	}
}

// rereadClaim reads the claim once more, in case the holder that did not answer has
// stored the outcome meanwhile.
func rereadClaim(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r.ClaimReread {
		handleHolderGone(w, row)
		return
	}
	r.ClaimReread = true
	readStore(w, quetzalfleet.ForClaimRead{Requests: []quetzalfleet.Row{row}}, []quetzalfleet.RowKey{claimKey(r.ID)})
}

// commitOutcomes stores the outcomes of up to claimBatch claimed requests in one
// transaction. Until then peers get an outcome from this entry's memory.
func commitOutcomes(w *quetzalfleet.World) {
	if w.OutcomesToCommit.Len() == 0 || w.OutcomeCall != 0 || !outcomesDue(w) {
		return
	}
	var t quetzalfleet.Transaction
	var requests []quetzalfleet.Row
	for _, row := range w.OutcomesToCommit.Take() {
		r := w.Requests.At(row)
		if r == nil {
			continue
		}
		if len(requests) == claimBatch {
			w.OutcomesToCommit.Add(row)
			continue
		}
		requests = append(requests, row)
		t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: claimKey(r.ID), Revision: r.ClaimRevision})
		if r.IsJob {
			t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: jobKey(r.ID), Revision: r.JobRevision})
			t.Writes = append(t.Writes, jobRows(w, r, quetzalfleet.JobEnded, outcomeClaimRow(w, r))...)
			continue
		}
		t.Writes = append(t.Writes, quetzalfleet.Write{Key: claimKey(r.ID), Row: outcomeClaimRow(w, r)})
	}
	w.OutcomesDueAt = 0
	if len(requests) == 0 {
		return
	}
	w.OutcomeCall = writeStore(w, quetzalfleet.ForOutcomeWrite{Requests: requests}, t)
}

// outcomesDue reports whether the collected outcomes are to be stored now: after
// outcomeDelay, with a full batch, or during a planned stop.
func outcomesDue(w *quetzalfleet.World) bool {
	if w.Now < w.OutcomesNotBefore {
		return false
	}
	if w.Stop != quetzalfleet.StopNone || w.OutcomesToCommit.Len() >= claimBatch {
		return true
	}
	if w.OutcomesDueAt == 0 {
		w.OutcomesDueAt = w.Now.Add(outcomeDelay)
		w.Timers.Push(w.OutcomesDueAt, quetzalfleet.TickDue{})
	}
	return w.Now >= w.OutcomesDueAt
}

// outcomeClaimRow returns the claim's row with the outcome of a finished request. The claim
// of a request that did not run is released.
func outcomeClaimRow(w *quetzalfleet.World, r *quetzalfleet.Request) quetzalfleet.ClaimRow {
	switch o := r.Outcome.(type) {
	case quetzalfleet.Ran:
		if len(o.Answer.Body) > maxStoredAnswer {
			return claimRow(w, r, quetzalfleet.ClaimUnknown, nil)
		}
		return claimRow(w, r, quetzalfleet.ClaimDone, o.Answer)
	case quetzalfleet.Unknown:
		return claimRow(w, r, quetzalfleet.ClaimUnknown, nil)
	default:
		return claimRow(w, r, quetzalfleet.ClaimReleased, nil)
	}
}

func handleOutcomesResult(w *quetzalfleet.World, requests []quetzalfleet.Row, result quetzalfleet.StoreResult) {
	w.OutcomeCall = 0
	switch result := result.(type) {
	case quetzalfleet.Committed:
		for _, row := range requests {
			retainForJoin(w, row)
		}
	case quetzalfleet.ConditionsFailed:
		conflicts := rowsByKey(result.Rows)
		for _, row := range requests {
			handleOutcomeConflict(w, row, conflicts)
		}
	default:
		w.After(storeRetryDelay, quetzalfleet.TickDue{})
		w.OutcomesNotBefore = w.Now.Add(storeRetryDelay)
		for _, row := range requests {
			w.OutcomesToCommit.Add(row)
		}
	}
}

// handleOutcomeConflict handles an outcome whose transaction conflicted. If the claim's row
// changed, the outcome is not stored: an earlier, unanswered transaction has stored it
// already, or another entry took over the idempotent request. Otherwise the outcome
// shared a batch with one that conflicted, and is stored again.
func handleOutcomeConflict(
	w *quetzalfleet.World, row quetzalfleet.Row, conflicts map[quetzalfleet.RowKey]quetzalfleet.RowAtRevision,
) {
	r := w.Requests.At(row)
	if r == nil {
		return
	}
	if _, changed := conflicts[claimKey(r.ID)]; !changed {
		w.OutcomesToCommit.Add(row)
		return
	}
	retainForJoin(w, row)
}

// retainForJoin keeps a request for joinRetention after its outcome was stored. A request
// that did not run is deleted at once.
func retainForJoin(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r == nil {
		return
	}
	if !isJoinable(r.Outcome) {
		deleteRequest(w, row)
		return
	}
	w.After(joinRetention, quetzalfleet.RequestRetentionExpired{Request: row})
}
