package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// claimBatch is the number of claims in one transaction.
	claimBatch = 256
	// claimRate is the number of claim transactions a second that the busy entries of
	// the whole fleet share.
	claimRate = 360
	// claimBurst is how many transactions an entry may run ahead of its part.
	claimBurst = 10
	// outcomeDelay is how long outcomes gather before they are stored together.
	outcomeDelay = 500 * time.Millisecond
	// maxClaimCalls is the number of claim transactions in flight. While they are,
	// new claims gather for the next one.
	maxClaimCalls = 2
	// maxStoredAnswer is the largest answer, in bytes, that is stored with a claim.
	maxStoredAnswer = 64 << 10
)

func claimKey(id quetzalunit.RequestID) quetzalfleet.RowKey {
	return quetzalfleet.RowKey{Table: quetzalfleet.TableClaims, Key: string(id)}
}

// needsClaim tells whether another entry might run the same request. The id of
// a minted request is known to nobody else. An idempotent request does not wait
// for a platform that fails.
func needsClaim(w *quetzalfleet.World, r *quetzalfleet.Request) bool {
	return !r.Minted && (!r.Idempotent || !w.PlatformFailing)
}

// takeClaims commits the waiting claims, many in one transaction.
func takeClaims(w *quetzalfleet.World) {
	if w.ClaimsToTake.Len() == 0 || w.ClaimCalls >= maxClaimCalls || w.Now < w.RetryClaimsAt {
		return
	}
	spacing := claimSpacing(w)
	if ahead := w.ClaimPace.Sub(w.Now); ahead > claimBurst*spacing {
		w.RetryClaimsAt = w.Now.Add(ahead - claimBurst*spacing)
		w.Timers.Push(w.RetryClaimsAt, quetzalfleet.Wake{})
		return
	}
	var t quetzalfleet.Transaction
	var requests []quetzalfleet.Row
	for _, row := range w.ClaimsToTake.Take() {
		r := w.Requests.At(row)
		if r == nil || r.State != quetzalfleet.RequestClaiming {
			continue
		}
		if len(requests) == claimBatch {
			w.ClaimsToTake.Add(row)
			continue
		}
		requests = append(requests, row)
		t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: claimKey(r.ID), Revision: r.ClaimBase})
		t.Writes = append(t.Writes, quetzalfleet.Write{
			Key: claimKey(r.ID), Row: claimRow(w, r, quetzalfleet.ClaimHeld, nil),
		})
	}
	if len(requests) == 0 {
		return
	}
	w.ClaimCalls++
	w.ClaimPace = max(w.ClaimPace, w.Now).Add(spacing)
	write(w, quetzalfleet.ForClaims{Requests: requests}, t)
}

// claimSpacing returns the mean time between two claim transactions of this entry
// when all entries are busy.
func claimSpacing(w *quetzalfleet.World) time.Duration {
	return time.Duration(w.Peers.Len()+1) * time.Second / claimRate
}

func claimRow(
	w *quetzalfleet.World, r *quetzalfleet.Request, s quetzalfleet.ClaimState, a *quetzalfleet.Payload,
) quetzalfleet.ClaimRow {
	return quetzalfleet.ClaimRow{
		Request: r.ID, Entry: w.Self.Entry, Incarnation: w.Self.Incarnation, State: s, Sum: r.Sum, Answer: a,
		At: w.Now,
	}
}

func endClaims(w *quetzalfleet.World, requests []quetzalfleet.Row, result quetzalfleet.StoreResult) {
	w.ClaimCalls--
	switch result := result.(type) {
	case quetzalfleet.Committed:
		for _, row := range requests {
			claimTaken(w, row, result.Revision)
		}
	case quetzalfleet.Conflicted:
		conflicts := claimRows(result.Rows)
		for _, row := range requests {
			settleClaim(w, row, conflicts)
		}
	default:
		claimUnanswered(w, requests)
	}
}

func claimRows(rows []quetzalfleet.RevisedRow) map[quetzalfleet.RowKey]quetzalfleet.RevisedRow {
	found := make(map[quetzalfleet.RowKey]quetzalfleet.RevisedRow, len(rows))
	for _, row := range rows {
		found[row.Key] = row
	}
	return found
}

// claimTaken queues a request whose claim is confirmed. A request that ended
// meanwhile has its claim released, because it did not run.
func claimTaken(w *quetzalfleet.World, row quetzalfleet.Row, rev quetzalunit.Revision) {
	r := w.Requests.At(row)
	if r == nil {
		return
	}
	r.ClaimRevision = rev
	if r.State == quetzalfleet.RequestClaiming {
		enqueue(w, row, false)
	}
}

// claimUnanswered reads claims that may have taken effect. Idempotent requests
// go on without.
func claimUnanswered(w *quetzalfleet.World, requests []quetzalfleet.Row) {
	var unsure []quetzalfleet.Row
	var keys []quetzalfleet.RowKey
	for _, row := range requests {
		r := w.Requests.At(row)
		switch {
		case r == nil || r.State != quetzalfleet.RequestClaiming:
		case r.Idempotent:
			enqueue(w, row, false)
		default:
			unsure = append(unsure, row)
			keys = append(keys, claimKey(r.ID))
		}
	}
	if len(unsure) > 0 {
		read(w, quetzalfleet.ForClaimRead{Requests: unsure}, keys)
	}
}

func endClaimRead(w *quetzalfleet.World, requests []quetzalfleet.Row, result quetzalfleet.StoreResult) {
	found, ok := result.(quetzalfleet.RowsRead)
	if !ok {
		w.After(claimRetry, quetzalfleet.Wake{})
		w.RetryClaimsAt = w.Now.Add(claimRetry)
		for _, row := range requests {
			w.ClaimsToTake.Add(row)
		}
		return
	}
	rows := claimRows(found.Rows)
	for _, row := range requests {
		settleClaim(w, row, rows)
	}
}

// settleClaim decides on a claim that was not committed, or may not have been,
// from the rows as the platform has them.
func settleClaim(
	w *quetzalfleet.World, row quetzalfleet.Row, rows map[quetzalfleet.RowKey]quetzalfleet.RevisedRow,
) {
	r := w.Requests.At(row)
	if r == nil || r.State != quetzalfleet.RequestClaiming {
		return
	}
	found, present := rows[claimKey(r.ID)]
	claim, ok := found.Row.(quetzalfleet.ClaimRow)
	if !present || !ok {
		w.ClaimsToTake.Add(row)
		return
	}
	if claim.Sum != r.Sum {
		finish(w, row, quetzalfleet.Conflict{})
		return
	}
	switch claim.State {
	case quetzalfleet.ClaimDone:
		finish(w, row, quetzalfleet.Ran{Answer: claim.Answer})
	case quetzalfleet.ClaimUnknown:
		finish(w, row, quetzalfleet.Unknown{Reason: quetzalfleet.HolderGone})
	case quetzalfleet.ClaimReleased:
		reclaim(w, row, found.Revision)
	case quetzalfleet.ClaimHeld:
		joinHolder(w, row, claim, found.Revision)
	}
}

// reclaim takes a claim that replaces the row of an older one.
func reclaim(w *quetzalfleet.World, row quetzalfleet.Row, base quetzalunit.Revision) {
	w.Requests.At(row).ClaimBase = base
	w.ClaimsToTake.Add(row)
}

// joinHolder waits for the outcome at the entry that holds the claim. A claim of
// this very process belongs to this request: every other one that it sent is
// still in the table, where the request would have joined it.
func joinHolder(
	w *quetzalfleet.World, row quetzalfleet.Row, claim quetzalfleet.ClaimRow, rev quetzalunit.Revision,
) {
	r := w.Requests.At(row)
	if claim.Entry == w.Self.Entry && claim.Incarnation == w.Self.Incarnation {
		claimTaken(w, row, rev)
		return
	}
	r.HolderRevision = rev
	p := w.Peers.At(w.PeerByID.Get(claim.Entry))
	if p == nil || p.Incarnation != claim.Incarnation {
		holderGone(w, row)
		return
	}
	r.State = quetzalfleet.RequestJoining
	w.Emit(quetzalfleet.AskPeer{
		Request: row, ID: r.ID, Address: p.Address, Incarnation: p.Incarnation, Timeout: r.Deadline.Sub(w.Now),
	})
}

// holderGone ends a request whose claim's holder cannot be asked. Only an
// idempotent request is run again, with a claim that replaces the holder's.
func holderGone(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r.Idempotent {
		r.State = quetzalfleet.RequestClaiming
		reclaim(w, row, r.HolderRevision)
		return
	}
	finish(w, row, quetzalfleet.Unknown{Reason: quetzalfleet.HolderGone})
}

func endJoin(w *quetzalfleet.World, in quetzalfleet.JoinAnswered) {
	r := w.Requests.At(in.Request)
	if r == nil || r.State != quetzalfleet.RequestJoining {
		return
	}
	switch in.Outcome.(type) {
	case nil, quetzalfleet.Invalid:
		r.State = quetzalfleet.RequestClaiming
		rereadClaim(w, in.Request)
	default:
		finish(w, in.Request, in.Outcome)
	}
}

// rereadClaim looks whether the holder that could not be asked has stored the outcome.
func rereadClaim(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r.Rejoined {
		holderGone(w, row)
		return
	}
	r.Rejoined = true
	read(w, quetzalfleet.ForClaimRead{Requests: []quetzalfleet.Row{row}}, []quetzalfleet.RowKey{claimKey(r.ID)})
}

// writeClaims stores the outcomes of claimed requests, many in one transaction.
// Until then a peer gets them from this entry's memory.
func writeClaims(w *quetzalfleet.World) {
	if w.ClaimsToWrite.Len() == 0 || w.OutcomeCall != 0 || !outcomesDue(w) {
		return
	}
	var t quetzalfleet.Transaction
	var requests []quetzalfleet.Row
	for _, row := range w.ClaimsToWrite.Take() {
		r := w.Requests.At(row)
		if r == nil {
			continue
		}
		if len(requests) == claimBatch {
			w.ClaimsToWrite.Add(row)
			continue
		}
		requests = append(requests, row)
		t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: claimKey(r.ID), Revision: r.ClaimRevision})
		if r.Job {
			t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: jobKey(r.ID), Revision: r.JobRevision})
			t.Writes = append(t.Writes, jobRows(w, r, quetzalfleet.JobEnded, outcomeRow(w, r))...)
			continue
		}
		t.Writes = append(t.Writes, quetzalfleet.Write{Key: claimKey(r.ID), Row: outcomeRow(w, r)})
	}
	w.OutcomesAt = 0
	if len(requests) == 0 {
		return
	}
	w.OutcomeCall = write(w, quetzalfleet.ForClaimOutcome{Requests: requests}, t)
}

// outcomesDue tells whether the outcomes have gathered long enough.
func outcomesDue(w *quetzalfleet.World) bool {
	if w.Now < w.RetryOutcomesAt {
		return false
	}
	if w.Stop != quetzalfleet.StopNone || w.ClaimsToWrite.Len() >= claimBatch {
		return true
	}
	if w.OutcomesAt == 0 {
		w.OutcomesAt = w.Now.Add(outcomeDelay)
		w.Timers.Push(w.OutcomesAt, quetzalfleet.Wake{})
	}
	return w.Now >= w.OutcomesAt
}

func outcomeRow(w *quetzalfleet.World, r *quetzalfleet.Request) quetzalfleet.ClaimRow {
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

func endClaimOutcome(w *quetzalfleet.World, requests []quetzalfleet.Row, result quetzalfleet.StoreResult) {
	w.OutcomeCall = 0
	switch result := result.(type) {
	case quetzalfleet.Committed:
		for _, row := range requests {
			keepForJoin(w, row)
		}
	case quetzalfleet.Conflicted:
		conflicts := claimRows(result.Rows)
		for _, row := range requests {
			outcomeConflict(w, row, conflicts)
		}
	default:
		w.After(claimRetry, quetzalfleet.Wake{})
		w.RetryOutcomesAt = w.Now.Add(claimRetry)
		for _, row := range requests {
			w.ClaimsToWrite.Add(row)
		}
	}
}

// outcomeConflict drops an outcome whose row changed: an earlier transaction
// without an answer stored it, or another entry took the idempotent request over.
func outcomeConflict(
	w *quetzalfleet.World, row quetzalfleet.Row, conflicts map[quetzalfleet.RowKey]quetzalfleet.RevisedRow,
) {
	r := w.Requests.At(row)
	if r == nil {
		return
	}
	if _, changed := conflicts[claimKey(r.ID)]; !changed {
		w.ClaimsToWrite.Add(row)
		return
	}
	keepForJoin(w, row)
}

// keepForJoin keeps a stored outcome for a while, or forgets a request that did not run.
func keepForJoin(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r == nil {
		return
	}
	if !mayBeJoined(r.Outcome) {
		forgetRequest(w, row)
		return
	}
	w.After(joinRetention, quetzalfleet.RequestForgotten{Request: row})
}
