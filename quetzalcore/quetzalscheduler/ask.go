package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// peerTimeout is the timeout of a call to another entry.
	peerTimeout = 600 * time.Millisecond
	// maxPendingAge is the maximum age of a cached count of pending jobs.
	maxPendingAge = 1500 * time.Millisecond
	// askRetries is the maximum number of store reads, store writes or unsuccessful peer calls
	// for one request.
	askRetries = 6
)

// askJob handles a query for the state of a job, or for the pending jobs of a queue if the
// path names no job.
func askJob(w *quetzalwork.World, in *quetzalwork.JobQueried) {
	queue, rest, ok := routeAsk(w, in.Caller, in.HTTPHost, in.Path)
	if !ok {
		return
	}
	a := quetzalwork.JobRequest{Caller: in.Caller, Queue: queue, Pool: poolRow(w, w.Queues.At(queue).Pool), Deadline: w.Now.Add(answerTimeout(in.Timeout))}
	if rest == "" {
		a.Kind = quetzalwork.JobRequestKindPending
		askPending(w, addAsk(w, &a))
		return
	}
	a.Job = quetzalunit.JobID(rest)
	askState(w, addAsk(w, &a))
}

// routeAsk resolves the path of a request to a queue and a job id, which is empty if the path
// names only the queue. If it cannot, it answers the caller and returns false.
func routeAsk(w *quetzalwork.World, caller quetzalunit.CallerID, host, path string) (quetzalwork.Row, string, bool) {
	if !w.Config.Known {
		w.Emit(quetzalwork.AnswerCaller{Caller: caller, Answer: quetzalwork.JobRefused{RetryAfter: w.Jitter(meanRetryAfter), Reason: "NoConfiguration"}})
		return 0, "", false
	}
	queue, rest := route(w, host, path)
	if queue == 0 {
		w.Emit(quetzalwork.AnswerCaller{Caller: caller, Answer: quetzalwork.NoSuchQueue{}})
		return 0, "", false
	}
	if rest != "" && !validJobID(rest) {
		w.Emit(quetzalwork.AnswerCaller{Caller: caller, Answer: quetzalwork.NoSuchJob{}})
		return 0, "", false
	}
	return queue, rest, true
}

// addAsk inserts a request and sets the timer for its deadline.
func addAsk(w *quetzalwork.World, a *quetzalwork.JobRequest) quetzalwork.Row {
	row := w.JobRequests.Insert(*a)
	w.Timers.Push(a.Deadline, quetzalwork.JobRequestDue{Request: row})
	return row
}

// answerAsk answers the caller of a request and deletes the request. It does nothing if the
// request has been answered before.
func answerAsk(w *quetzalwork.World, row quetzalwork.Row, answer quetzalwork.Answer) {
	if a := w.JobRequests.At(row); a != nil {
		w.Emit(quetzalwork.AnswerCaller{Caller: a.Caller, Answer: answer})
		w.JobRequests.Delete(row)
	}
}

// expireAsk answers a request whose deadline has passed.
func expireAsk(w *quetzalwork.World, row quetzalwork.Row) {
	if a := w.JobRequests.At(row); a != nil {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartFront, Message: "A request timed out without an answer.", Job: a.Job, Pool: w.Pools.At(a.Pool).ID, Reason: reasonStoreSilent, Routine: true})
		answerAsk(w, row, quetzalwork.Indeterminate{Reason: reasonStoreSilent})
	}
}

// askState looks up the state of a job: in this process's tables if it dispatches the pool,
// else at the dispatcher, and in the store if the dispatcher is not live or this process does
// not know the job.
func askState(w *quetzalwork.World, row quetzalwork.Row) {
	a := w.JobRequests.At(row)
	p := w.Pools.At(a.Pool)
	if p.Held {
		if j := w.Jobs.At(w.JobByID.Get(a.Job)); j != nil && j.Pool == a.Pool {
			answerAsk(w, row, quetzalwork.JobStateAnswer{State: shownState(j)})
			return
		}
		lookUp(w, row)
		return
	}
	if holder := w.Members.At(w.MemberByID.Get(p.Duty.Holder)); holder == nil || !isLive(w, holder) {
		lookUp(w, row)
		return
	}
	w.Emit(quetzalwork.CallPeer{Address: p.Duty.Address, Message: quetzalwork.QueryState{Pool: p.ID, Job: a.Job, Request: row}, Timeout: peerTimeout})
}

// shownState returns the state reported to callers. A final state is reported only once it is
// stored.
func shownState(j *quetzalwork.Job) quetzalwork.JobState {
	switch {
	case j.StoredState.Final():
		return j.StoredState
	case j.Cancelled:
		return quetzalwork.JobCancelled
	case j.Started:
		return quetzalwork.JobRunning
	default:
		return quetzalwork.JobQueued
	}
}

// lookUp reads the rows of a request's job from the store.
func lookUp(w *quetzalwork.World, row quetzalwork.Row) {
	a := w.JobRequests.At(row)
	a.Attempts++
	if a.Attempts > askRetries {
		answerAsk(w, row, quetzalwork.Indeterminate{Reason: reasonStoreSilent})
		return
	}
	w.Emit(quetzalwork.LookUpJob{Pool: w.Pools.At(a.Pool).ID, Job: a.Job, Request: row, Timeout: storeTimeout})
}

// hearLookUp applies the result of a LookUpJob command.
func hearLookUp(w *quetzalwork.World, in *quetzalwork.JobLookedUp) {
	a := w.JobRequests.At(in.Request)
	if a == nil {
		return
	}
	if in.Result != quetzalwork.StoreDone {
		if in.Result == quetzalwork.StoreUnknown {
			lookUp(w, in.Request)
			return
		}
		answerAsk(w, in.Request, quetzalwork.Indeterminate{Reason: reasonStoreUnavailable})
		return
	}
	exists, state := storedState(in.Rows)
	switch {
	case !exists:
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartFront, Message: "The store has no rows of the requested job.", Job: a.Job, Reason: "NoSuchJob"})
		answerAsk(w, in.Request, quetzalwork.NoSuchJob{})
	case a.Kind != quetzalwork.JobRequestKindCancel:
		answerAsk(w, in.Request, quetzalwork.JobStateAnswer{State: state})
	case state.Final():
		answerAsk(w, in.Request, quetzalwork.CancelAccepted{})
	default:
		storeCancellation(w, in.Request)
	}
}

// storedState derives the state of a job from its stored rows. A final state in the progress
// row takes precedence over a cancellation.
func storedState(rows []quetzalwork.JobRow) (exists bool, state quetzalwork.JobState) {
	cancelled := false
	for i := range rows {
		switch c := rows[i].Content.(type) {
		case quetzalwork.AcceptedJob:
			exists = true
		case quetzalwork.JobCancellation:
			cancelled = true
		case quetzalwork.JobProgress:
			state = c.Progress.State
		}
	}
	if cancelled && !state.Final() {
		state = quetzalwork.JobCancelled
	}
	return exists, state
}

// askPending answers with the number of pending jobs of a queue: counted here if this process
// dispatches the pool, else from the cache, else from the dispatcher. Without a known
// dispatcher, or while the pool is still being loaded, the request expires after submitRetryDelay.
func askPending(w *quetzalwork.World, row quetzalwork.Row) {
	a := w.JobRequests.At(row)
	p, q := w.Pools.At(a.Pool), w.Queues.At(a.Queue)
	switch {
	case p.Held && p.JobsLoaded:
		answerAsk(w, row, quetzalwork.PendingJobsAnswer{Pending: countPending(w, a.Pool, q.ID)})
	case q.PendingAt != 0 && w.Now.Sub(q.PendingAt) < maxPendingAge:
		answerAsk(w, row, quetzalwork.PendingJobsAnswer{Pending: q.Pending})
	case p.Duty.Holder == "" || p.Held:
		w.After(submitRetryDelay, quetzalwork.JobRequestDue{Request: row})
	default:
		w.Emit(quetzalwork.CallPeer{Address: p.Duty.Address, Message: quetzalwork.QueryPending{Pool: p.ID, Queue: q.ID, Request: row}, Timeout: peerTimeout})
	}
}

// countPending counts the unfinished jobs of a queue without a started task.
func countPending(w *quetzalwork.World, pool quetzalwork.Row, queue quetzalunit.QueueID) quetzalunit.Tasks {
	var n quetzalunit.Tasks
	for _, j := range w.Jobs.All() {
		if j.Pool == pool && j.Queue == queue && !j.Started && !j.Cancelled && !j.State.Final() {
			n++
		}
	}
	return n
}

// askCancel handles a request to cancel a job. A job that is unknown here is looked up in the
// store first.
func askCancel(w *quetzalwork.World, in *quetzalwork.CancelRequested) {
	queue, rest, ok := routeAsk(w, in.Caller, in.HTTPHost, in.Path)
	if !ok {
		return
	}
	if rest == "" {
		w.Emit(quetzalwork.AnswerCaller{Caller: in.Caller, Answer: quetzalwork.InvalidJob{Problem: "the path names no job"}})
		return
	}
	row := addAsk(w, &quetzalwork.JobRequest{
		Caller: in.Caller, Kind: quetzalwork.JobRequestKindCancel, Job: quetzalunit.JobID(rest), Queue: queue,
		Pool: poolRow(w, w.Queues.At(queue).Pool), Deadline: w.Now.Add(answerTimeout(in.Timeout)),
	})
	if j := w.Jobs.At(w.JobByID.Get(quetzalunit.JobID(rest))); j != nil {
		if j.StoredState.Final() || j.Cancelled {
			answerAsk(w, row, quetzalwork.CancelAccepted{})
			return
		}
		storeCancellation(w, row)
		return
	}
	lookUp(w, row)
}

// storeCancellation stores the cancellation of a request's job.
func storeCancellation(w *quetzalwork.World, row quetzalwork.Row) {
	a := w.JobRequests.At(row)
	w.Emit(quetzalwork.StoreCancel{Pool: w.Pools.At(a.Pool).ID, Job: a.Job, Request: row, Timeout: storeTimeout})
}

// hearCancelStored applies the result of a StoreCancel command. Once the cancellation is
// stored, the caller is answered and the pool's dispatcher is notified.
func hearCancelStored(w *quetzalwork.World, in *quetzalwork.CancelStored) {
	a := w.JobRequests.At(in.Request)
	if a == nil {
		return
	}
	switch in.Result {
	case quetzalwork.StoreDone:
		p := w.Pools.At(a.Pool)
		job, pool := a.Job, a.Pool
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartFront, Message: "Stored a job cancellation.", Job: job, Pool: p.ID, Reason: "Cancelled", Routine: true})
		answerAsk(w, in.Request, quetzalwork.CancelAccepted{})
		if p.Held {
			addJobRow(w, pool, &quetzalwork.JobRow{Job: job, Content: quetzalwork.JobCancellation{}})
		} else if p.Duty.Holder != "" {
			w.Emit(quetzalwork.CallPeer{Address: p.Duty.Address, Message: quetzalwork.NotifyCancelled{Pool: p.ID, Job: job}, Timeout: peerTimeout})
		}
	case quetzalwork.StoreUnknown:
		a.Attempts++
		if a.Attempts <= askRetries {
			storeCancellation(w, in.Request)
		}
	default:
		answerAsk(w, in.Request, quetzalwork.Indeterminate{Reason: reasonStoreUnavailable})
	}
}
