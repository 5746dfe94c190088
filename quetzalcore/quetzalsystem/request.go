package quetzalsystem

import (
	"slices"
	"strings"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// joinRetention is how long a finished request can still be joined in this entry's memory.
	joinRetention = 30 * time.Second
	// MintMark begins every id that an entry minted. Only that process may run such
	// a request, so that the id is refused once it is forgotten.
	MintMark = "q~"
	// forwardedMark begins the keys of requests that were handed over; no id of a
	// caller begins with it.
	forwardedMark quetzalunit.RequestID = "~"
	// OtherTeam is the team of callers that name no registered team.
	OtherTeam quetzalunit.TeamID = "Other"
	// refusedRetryAfter is the least wait that a NotRun outcome suggests.
	refusedRetryAfter = 200 * time.Millisecond
)

func admitRequest(w *quetzalfleet.World, in quetzalfleet.RequestArrived) {
	if row := w.RequestByID.Get(indexID(in.ID, in.Forwarded)); row != 0 {
		joinRequest(w, row, in)
		return
	}
	if in.Forwarded && poolHostless(w, w.Queues.At(w.QueueByID.Get(in.Queue))) {
		answer(w, in.Caller, in.ID, quetzalfleet.NotRun{Reason: quetzalfleet.NoHost, RetryAfter: refusedRetryAfter})
		return
	}
	if !in.Minted && !in.Idempotent && strings.HasPrefix(string(in.ID), MintMark) {
		answer(w, in.Caller, in.ID, quetzalfleet.Unknown{Reason: quetzalfleet.HolderGone})
		return
	}
	queueRow := w.QueueByID.Get(in.Queue)
	if outcome := refusal(w, queueRow, in); outcome != nil {
		answer(w, in.Caller, in.ID, outcome)
		return
	}
	row := w.Requests.Insert(quetzalfleet.Request{
		ID:         in.ID,
		Queue:      queueRow,
		Team:       teamRow(w, in.Team),
		Class:      in.Class,
		Urgent:     in.Urgent,
		Idempotent: in.Idempotent,
		Minted:     in.Minted,
		Forwarded:  in.Forwarded,
		Work:       in.Work,
		Sum:        in.Sum,
		Callers:    []quetzalunit.Caller{in.Caller},
		ArrivedAt:  w.Now,
		Deadline:   w.Now.Add(in.Timeout),
	})
	w.RequestByID.Put(indexID(in.ID, in.Forwarded), row)
	w.RequestOf.Put(in.Caller, row)
	w.Live++
	r := w.Requests.At(row)
	r.Treated = treatedClass(w, r)
	w.Timers.Push(r.Deadline, quetzalfleet.RequestDeadline{Request: row})
	if in.Async {
		r.Job = true
		storeJob(w, row)
		return
	}
	if needsClaim(w, r) {
		w.ClaimsToTake.Add(row)
		return
	}
	enqueue(w, row, false)
}

// indexID returns the key of a request in the index. A request that was handed
// over has another key than the same request of a caller, which waits for it.
func indexID(id quetzalunit.RequestID, forwarded bool) quetzalunit.RequestID {
	if forwarded {
		return forwardedMark + id
	}
	return id
}

// refusal returns why a request is not accepted, or nil.
func refusal(w *quetzalfleet.World, queueRow quetzalfleet.Row, in quetzalfleet.RequestArrived) quetzalfleet.Outcome {
	if w.Stop != quetzalfleet.StopNone {
		return quetzalfleet.NotRun{Reason: quetzalfleet.EntryStopping, RetryAfter: refusedRetryAfter}
	}
	q := w.Queues.At(queueRow)
	if q == nil && w.Seen == 0 {
		return quetzalfleet.NotRun{Reason: quetzalfleet.EntryStarting, RetryAfter: refusedRetryAfter}
	}
	if q == nil {
		return quetzalfleet.Invalid{Reason: quetzalfleet.UnknownQueue}
	}
	return overload(w, queueRow, in)
}

// overload returns why a queue takes no more of a team's requests, or nil.
func overload(w *quetzalfleet.World, queueRow quetzalfleet.Row, in quetzalfleet.RequestArrived) quetzalfleet.Outcome {
	q := w.Queues.At(queueRow)
	if q.Queued == 0 {
		return nil
	}
	team := teamRow(w, in.Team)
	t := w.Teams.At(team)
	s := settingsOf(w, q.Pool)
	limit := s.TeamQueueLimit
	if t.MaxQueued > 0 {
		limit = t.MaxQueued
	}
	wait := expectedWait(w, queueRow, team, in)
	switch {
	case t.Queued >= limit:
		return quetzalfleet.NotRun{Reason: quetzalfleet.OverQuota, RetryAfter: max(wait, refusedRetryAfter)}
	case q.Queued >= s.QueueLimit:
		return quetzalfleet.NotRun{Reason: quetzalfleet.QueueFull, RetryAfter: max(wait, refusedRetryAfter)}
	case wait > in.Timeout:
		return quetzalfleet.NotRun{Reason: quetzalfleet.DeadlineTooClose, RetryAfter: wait - in.Timeout}
	}
	return nil
}

// expectedWait estimates how long a new request of a team waits in its lane.
func expectedWait(
	w *quetzalfleet.World, queueRow, team quetzalfleet.Row, in quetzalfleet.RequestArrived,
) time.Duration {
	q := w.Queues.At(queueRow)
	lane := laneOf(in.Class, in.Urgent)
	var mine quetzalunit.Requests
	if l := w.Lines.At(w.LineByKey.Get(quetzalfleet.LineKey{Queue: queueRow, Team: team, Lane: lane})); l != nil {
		mine = l.Length
	}
	ahead := mine * quetzalunit.Requests(max(1, len(q.Lanes[lane])))
	ahead = min(ahead, q.Queued)
	slots := poolSlots(w, q.Pool)
	if slots == 0 {
		return 0
	}
	return time.Duration(ahead) * q.RunTime[in.Class] / time.Duration(slots)
}

// poolSlots returns the slots that this entry may count on in a pool.
func poolSlots(w *quetzalfleet.World, pool quetzalfleet.Row) quetzalunit.Slots {
	p := w.Pools.At(pool)
	if p == nil {
		return 0
	}
	entries, _ := rosterPosition(w)
	all := quetzalunit.Slots(len(p.Hosts)) * quetzalunit.SlotsPerMinion
	if all == 0 {
		return 0
	}
	return max(1, all/quetzalunit.Slots(entries))
}

func teamRow(w *quetzalfleet.World, id quetzalunit.TeamID) quetzalfleet.Row {
	if row := w.TeamByID.Get(id); row != 0 {
		return row
	}
	if row := w.TeamByID.Get(OtherTeam); row != 0 {
		return row
	}
	row := w.Teams.Insert(quetzalfleet.Team{ID: OtherTeam, Weight: 1})
	w.TeamByID.Put(OtherTeam, row)
	w.TeamWeight++
	return row
}

// joinRequest adds a caller to the request that has its id already.
func joinRequest(w *quetzalfleet.World, row quetzalfleet.Row, in quetzalfleet.RequestArrived) {
	r := w.Requests.At(row)
	switch {
	case r.Sum != in.Sum:
		answer(w, in.Caller, in.ID, quetzalfleet.Conflict{})
	case r.State == quetzalfleet.RequestDone:
		answer(w, in.Caller, in.ID, r.Outcome)
	case r.Job && in.Async && r.JobRevision > 0:
		answer(w, in.Caller, in.ID, quetzalfleet.Accepted{})
	default:
		addCaller(w, row, in.Caller)
	}
}

// joinFromPeer adds a peer to a request that was claimed here.
func joinFromPeer(w *quetzalfleet.World, in quetzalfleet.JoinArrived) {
	if in.Incarnation != w.Self.Incarnation || w.RequestByID.Get(in.ID) == 0 {
		answer(w, in.Caller, in.ID, quetzalfleet.Invalid{Reason: quetzalfleet.UnknownRequest})
		return
	}
	awaitResult(w, in.Caller, in.ID)
}

// awaitResult answers with the outcome of a request as soon as it has one.
func awaitResult(w *quetzalfleet.World, caller quetzalunit.Caller, id quetzalunit.RequestID) {
	row := w.RequestByID.Get(id)
	r := w.Requests.At(row)
	switch {
	case r == nil:
		findResult(w, caller, id)
	case r.State == quetzalfleet.RequestDone:
		answer(w, caller, id, r.Outcome)
	default:
		addCaller(w, row, caller)
	}
}

func addCaller(w *quetzalfleet.World, row quetzalfleet.Row, caller quetzalunit.Caller) {
	r := w.Requests.At(row)
	r.Callers = append(r.Callers, caller)
	w.RequestOf.Put(caller, row)
}

// dropCaller forgets a caller that no longer waits, and the request when nobody
// else waits for it.
func dropCaller(w *quetzalfleet.World, caller quetzalunit.Caller) {
	row := w.RequestOf.Get(caller)
	w.RequestOf.Delete(caller)
	r := w.Requests.At(row)
	if r == nil {
		return
	}
	if i := slices.Index(r.Callers, caller); i >= 0 {
		r.Callers = slices.Delete(r.Callers, i, i+1)
	}
	if len(r.Callers) == 0 && !r.Job {
		withdraw(w, row)
	}
}

// withdraw ends a request for which nobody waits, unless it may have run.
func withdraw(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	switch r.State {
	case quetzalfleet.RequestQueued, quetzalfleet.RequestWaiting, quetzalfleet.RequestClaiming,
		quetzalfleet.RequestJoining, quetzalfleet.RequestStoring:
		finish(w, row, quetzalfleet.Cancelled{})
	case quetzalfleet.RequestRunning:
		if r.Idempotent && r.Minted {
			cancelAttemptOf(w, row)
		}
	case quetzalfleet.RequestDone:
	}
}

func cancelAttemptOf(w *quetzalfleet.World, request quetzalfleet.Row) {
	r := w.Requests.At(request)
	a := w.Attempts.At(r.Attempt)
	if a == nil || a.Cancelled {
		return
	}
	a.Cancelled = true
	w.Emit(quetzalfleet.CancelAttempt{Attempt: r.Attempt})
}

// cancelRequest cancels a request by its id when it has not been sent.
func cancelRequest(w *quetzalfleet.World, in quetzalfleet.CancelAsked) {
	row := w.RequestByID.Get(in.ID)
	r := w.Requests.At(row)
	if r == nil {
		answer(w, in.Caller, in.ID, quetzalfleet.Invalid{Reason: quetzalfleet.UnknownRequest})
		return
	}
	switch r.State {
	case quetzalfleet.RequestDone:
		answer(w, in.Caller, in.ID, r.Outcome)
	case quetzalfleet.RequestRunning:
		addCaller(w, row, in.Caller)
		cancelAttemptOf(w, row)
	default:
		finish(w, row, quetzalfleet.Cancelled{})
		answer(w, in.Caller, in.ID, quetzalfleet.Cancelled{})
	}
}

// expireRequest ends a request that has not been sent by its deadline. An
// attempt in flight has the deadline as its own time-out.
func expireRequest(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r == nil {
		return
	}
	switch r.State {
	case quetzalfleet.RequestClaiming:
		finish(w, row, quetzalfleet.NotRun{Reason: quetzalfleet.ClaimUnavailable, RetryAfter: time.Second})
	case quetzalfleet.RequestJoining:
		finish(w, row, quetzalfleet.Unknown{Reason: quetzalfleet.AttemptTimedOut})
	case quetzalfleet.RequestQueued, quetzalfleet.RequestWaiting:
		finish(w, row, expired(w, r))
	case quetzalfleet.RequestRunning, quetzalfleet.RequestStoring, quetzalfleet.RequestDone:
	}
}

// expired returns the outcome of a request whose deadline passed between attempts.
func expired(w *quetzalfleet.World, r *quetzalfleet.Request) quetzalfleet.Outcome {
	if r.MayHaveRun {
		return quetzalfleet.Unknown{Reason: quetzalfleet.AttemptTimedOut}
	}
	reason := quetzalfleet.DeadlinePassed
	if p := w.Pools.At(w.Queues.At(r.Queue).Pool); p == nil || len(p.Hosts) == 0 {
		reason = quetzalfleet.NoHost
	}
	return quetzalfleet.NotRun{Reason: reason, RetryAfter: time.Second}
}

// tooLate returns the outcome of a request that has no time left to run.
func tooLate(w *quetzalfleet.World, r *quetzalfleet.Request) quetzalfleet.Outcome {
	if r.MayHaveRun {
		return expired(w, r)
	}
	return quetzalfleet.NotRun{Reason: quetzalfleet.DeadlineTooClose, RetryAfter: refusedRetryAfter}
}

// finish gives a request its outcome and answers everyone who waits for it.
func finish(w *quetzalfleet.World, row quetzalfleet.Row, outcome quetzalfleet.Outcome) {
	r := w.Requests.At(row)
	if r.State == quetzalfleet.RequestQueued {
		unlink(w, row)
	}
	endMarking(w, r)
	w.Live--
	r.State = quetzalfleet.RequestDone
	r.Outcome = outcome
	for _, caller := range r.Callers {
		w.RequestOf.Delete(caller)
		answer(w, caller, r.ID, outcome)
	}
	r.Callers = nil
	r.Work = nil
	observe(w, r)
	switch {
	case r.ClaimRevision > 0:
		w.ClaimsToWrite.Add(row)
	case r.Minted || !mayBeJoined(outcome):
		forgetRequest(w, row)
	default:
		w.After(joinRetention, quetzalfleet.RequestForgotten{Request: row})
	}
}

// mayBeJoined tells whether a later request with the same id gets this outcome.
// A request that did not run may be sent anew.
func mayBeJoined(outcome quetzalfleet.Outcome) bool {
	switch outcome.(type) {
	case quetzalfleet.Ran, quetzalfleet.Unknown:
		return true
	default:
		return false
	}
}

func forgetRequest(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r == nil {
		return
	}
	w.RequestByID.Delete(indexID(r.ID, r.Forwarded))
	w.Requests.Delete(row)
}

func answer(w *quetzalfleet.World, caller quetzalunit.Caller, id quetzalunit.RequestID, outcome quetzalfleet.Outcome) {
	if _, ok := outcome.(quetzalfleet.NotRun); ok {
		w.RefusedNotRun++
	}
	w.Emit(quetzalfleet.AnswerCaller{Caller: caller, ID: id, Outcome: outcome})
}

func observe(w *quetzalfleet.World, r *quetzalfleet.Request) {
	o := quetzalfleet.ObserveRequest{
		Team:    w.Teams.At(r.Team).ID,
		Class:   r.Class,
		Outcome: r.Outcome,
		Total:   w.Now.Sub(r.ArrivedAt),
		Tries:   r.Attempts,
	}
	o.Wait = o.Total
	if r.StartedAt > 0 {
		o.Wait = r.StartedAt.Sub(r.ArrivedAt)
		o.Run = w.Now.Sub(r.StartedAt)
	}
	w.Emit(o)
}
