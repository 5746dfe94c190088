package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// peerTimeout is the timeout of a call to another entry.
	peerTimeout = 600 * time.Millisecond
	// maxPendingAge is the maximum age of a cached count of pending jobs.
	maxPendingAge = 1500 * time.Millisecond
	// maxPendingReadAge is the maximum age of the dispatcher's last read of the pool's rows for a
	// count of pending jobs. Without the read, jobs may be missing whose notification was lost.
	maxPendingReadAge = 3 * time.Second
	// maxJobRequestAttempts is the maximum number of store reads, store writes or unsuccessful
	// peer calls for one request.
	maxJobRequestAttempts = 6
)

// handleJobQuery handles a query for the state of a job, or for the pending jobs of a queue if the
// path names no job.
func handleJobQuery(w *quetzalwork.World, in *quetzalwork.JobQueried) {
	r := quetzalwork.JobRequest{Caller: in.Caller, Deadline: w.Now.Add(answerTimeout(in.Timeout))}
	rest, ok := routeJobRequest(w, &r, in.HTTPHost, in.Path, in.Key)
	if !ok {
		return
	}
	if rest == "" {
		r.Kind = quetzalwork.JobRequestKindPending
		queryPending(w, addJobRequest(w, &r))
		return
	}
	r.Job = quetzalunit.JobID(rest)
	queryState(w, addJobRequest(w, &r))
}

// routeJobRequest resolves the path of a request to a queue, whose pool it notes in the request, and a job id, which is
// empty if the path names only the queue, and to the account of the caller's key. If it cannot, it answers the
// caller and returns false.
func routeJobRequest(w *quetzalwork.World, r *quetzalwork.JobRequest, host, path string, key quetzalunit.KeyDigest) (string, bool) {
	refuse := func(a quetzalwork.Answer) (string, bool) {
		w.Emit(quetzalwork.AnswerCaller{Caller: r.Caller, Answer: a})
		return "", false
	}
	if refusal := refuseByConfig(w); refusal != nil {
		return refuse(refusal)
	}
	queue, rest := route(w, host, path)
	if queue == 0 {
		return refuse(quetzalwork.NoSuchQueue{})
	}
	q := w.Queues.At(queue)
	account, refusal := quetzallimit.Admit(w, q, key)
	if refusal != nil {
		return refuse(refusal)
	}
	if rest != "" && !validJobID(rest) {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartFront, Message: "A request names no job that can exist.", Pool: q.Pool, Reason: "InvalidJobID", Routine: true})
		return refuse(quetzalwork.NoSuchJob{})
	}
	r.Queue, r.Pool, r.Account = queue, poolRow(w, q.Pool), account
	return rest, true
}

// addJobRequest inserts a request and sets the timer for its deadline.
func addJobRequest(w *quetzalwork.World, r *quetzalwork.JobRequest) quetzalwork.Row {
	r.ArrivedAt = w.Now
	row := w.JobRequests.Insert(*r)
	w.Timers.Push(r.Deadline, quetzalwork.JobRequestDue{Request: row})
	return row
}

// answerJobRequest answers the caller of a request and deletes the request. It does nothing if the
// request has been answered before.
func answerJobRequest(w *quetzalwork.World, row quetzalwork.Row, answer quetzalwork.Answer) {
	if r := w.JobRequests.At(row); r != nil {
		w.Emit(quetzalwork.AnswerCaller{Caller: r.Caller, Answer: answer})
		w.JobRequests.Delete(row)
	}
}

// expireJobRequest answers a request whose deadline has passed.
func expireJobRequest(w *quetzalwork.World, row quetzalwork.Row) {
	if r := w.JobRequests.At(row); r != nil {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartFront, Message: "A request timed out without an answer.", Job: r.Job, Pool: w.Pools.At(r.Pool).ID, Reason: reasonStoreSilent, Routine: true})
		answerJobRequest(w, row, quetzalwork.Indeterminate{Reason: reasonStoreSilent})
	}
}

// queryState looks up the state of a job: in this process's tables if it dispatches the job's pool,
// else at the dispatcher, and in the store if the dispatcher is not live or this process does
// not know the job.
func queryState(w *quetzalwork.World, row quetzalwork.Row) {
	r := w.JobRequests.At(row)
	if j := w.Jobs.At(w.JobByID.Get(r.Job)); j != nil && j.Accepted {
		answerJobRequest(w, row, quetzalwork.JobStateAnswer{State: visibleState(j)})
		return
	}
	p := w.Pools.At(r.Pool)
	if p.Held {
		beginLookUp(w, row, quetzalwork.LookUpNotInTables)
		return
	}
	if holder := w.Members.At(w.MemberByID.Get(p.Duty.Holder)); holder == nil || !isLive(w, holder) {
		beginLookUp(w, row, quetzalwork.LookUpNoDispatcher)
		return
	}
	w.Emit(quetzalwork.CallPeer{Address: p.Duty.Address, Message: quetzalwork.QueryState{Pool: p.ID, Job: r.Job, Request: row}, Timeout: peerTimeout})
}

// visibleState returns the state reported to callers. A final state is reported only once it is
// stored.
func visibleState(j *quetzalwork.Job) quetzalwork.JobState {
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

// beginLookUp looks a request's job up in the store and records why.
func beginLookUp(w *quetzalwork.World, row quetzalwork.Row, cause quetzalwork.LookUpCause) {
	w.JobRequests.At(row).LookUpCause = cause
	lookUpJob(w, row)
}

// lookUpJob reads the rows of a request's job in the request's pool from the store.
func lookUpJob(w *quetzalwork.World, row quetzalwork.Row) {
	if countAttempt(w, row) {
		r := w.JobRequests.At(row)
		w.Emit(quetzalwork.LookUpJob{Pool: w.Pools.At(r.Pool).ID, Job: r.Job, Request: row, Timeout: storeTimeout})
	}
}

// locateJob reads the entry of a request's job in the job index.
func locateJob(w *quetzalwork.World, row quetzalwork.Row) {
	if countAttempt(w, row) {
		w.Emit(quetzalwork.LocateJob{Job: w.JobRequests.At(row).Job, Request: row, Timeout: storeTimeout})
	}
}

// countAttempt counts another attempt of a request. After maxJobRequestAttempts it answers the request and returns false.
func countAttempt(w *quetzalwork.World, row quetzalwork.Row) bool {
	r := w.JobRequests.At(row)
	r.Attempts++
	if r.Attempts > maxJobRequestAttempts {
		answerJobRequest(w, row, quetzalwork.Indeterminate{Reason: reasonStoreSilent})
		return false
	}
	return true
}

// handleJobLookUp applies the result of a LookUpJob command.
func handleJobLookUp(w *quetzalwork.World, in *quetzalwork.JobLookedUp) {
	r := w.JobRequests.At(in.Request)
	if r == nil {
		return
	}
	if in.Result != quetzalwork.StoreDone {
		if in.Result == quetzalwork.StoreUnanswered {
			lookUpJob(w, in.Request)
			return
		}
		answerJobRequest(w, in.Request, quetzalwork.Indeterminate{Reason: reasonStoreUnavailable})
		return
	}
	exists, state := storedState(in.Rows)
	switch {
	case !exists && r.Kind == quetzalwork.JobRequestKindCancel:
		storeEarlyCancellation(w, in.Request)
	case !exists && !r.Located:
		// The pool to which the queue leads now need not be the one in which the job is stored.
		locateJob(w, in.Request)
	case !exists:
		answerUnknownJob(w, in.Request)
	case r.Kind != quetzalwork.JobRequestKindCancel:
		answerJobRequest(w, in.Request, quetzalwork.JobStateAnswer{State: state})
	case state.Final():
		answerJobRequest(w, in.Request, quetzalwork.CancelAccepted{})
	default:
		storeCancellation(w, in.Request)
	}
}

// handleJobLocated applies the result of a LocateJob command: the request goes on in the pool that the index names.
func handleJobLocated(w *quetzalwork.World, in *quetzalwork.JobLocated) {
	r := w.JobRequests.At(in.Request)
	switch {
	case r == nil:
	case in.Result == quetzalwork.StoreUnanswered:
		locateJob(w, in.Request)
	case in.Result != quetzalwork.StoreDone:
		answerJobRequest(w, in.Request, quetzalwork.Indeterminate{Reason: reasonStoreUnavailable})
	case in.Entry.Pool != "":
		noteLocated(w, in.Request, &in.Entry)
		if r.Kind == quetzalwork.JobRequestKindCancel {
			lookUpJob(w, in.Request)
			return
		}
		queryState(w, in.Request)
	case r.Kind == quetzalwork.JobRequestKindCancel:
		r.Located, r.IndexRevision = true, 0
		storeEarlyCancellation(w, in.Request)
	default:
		answerUnknownJob(w, in.Request)
	}
}

// noteLocated notes the pool that the job index names for a request's job.
func noteLocated(w *quetzalwork.World, row quetzalwork.Row, e *quetzalwork.JobIndexEntry) {
	r := w.JobRequests.At(row)
	r.Located, r.Pool, r.IndexRevision = true, poolRow(w, e.Pool), e.Revision
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartFront, Message: "The job index names the pool of the requested job.", Job: r.Job, Pool: e.Pool,
		Version: int64(w.Config.Version), Age: w.Now.Sub(r.ArrivedAt), Reason: string(r.LookUpCause), Routine: true,
	})
}

// answerUnknownJob answers a request for a job that is stored in no pool.
func answerUnknownJob(w *quetzalwork.World, row quetzalwork.Row) {
	r := w.JobRequests.At(row)
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartFront, Message: "The store has no rows of the requested job.", Job: r.Job, Pool: w.Pools.At(r.Pool).ID,
		Version: int64(r.Attempts), Age: w.Now.Sub(r.ArrivedAt), Reason: string(r.LookUpCause),
	})
	answerJobRequest(w, row, quetzalwork.NoSuchJob{})
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

// queryPending answers with the number of pending jobs of a queue: counted here if this process
// dispatches the pool, else from the cache, else from the dispatcher. Without a known
// dispatcher, or while this process does not know all jobs of the pool, the request expires after
// submitRetryDelay.
func queryPending(w *quetzalwork.World, row quetzalwork.Row) {
	r := w.JobRequests.At(row)
	p, q := w.Pools.At(r.Pool), w.Queues.At(r.Queue)
	switch {
	case knowsPending(w, p):
		answerJobRequest(w, row, quetzalwork.PendingJobsAnswer{Pending: countPending(w, r.Pool, q.ID)})
	case q.PendingAt != 0 && w.Now.Sub(q.PendingAt) < maxPendingAge:
		answerJobRequest(w, row, quetzalwork.PendingJobsAnswer{Pending: q.Pending})
	case p.Duty.Holder == "" || p.Held:
		w.After(submitRetryDelay, quetzalwork.JobRequestDue{Request: row})
	default:
		w.Emit(quetzalwork.CallPeer{Address: p.Duty.Address, Message: quetzalwork.QueryPending{Pool: p.ID, Queue: q.ID, Request: row}, Timeout: peerTimeout})
	}
}

// knowsPending reports whether this process dispatches a pool and has read the pool's rows within
// maxPendingReadAge.
func knowsPending(w *quetzalwork.World, p *quetzalwork.Pool) bool {
	return p.Held && p.JobsLoaded && w.Now.Sub(p.CompletedReadSentAt) < maxPendingReadAge
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

// handleCancelRequest handles a request to cancel a job. A job that is unknown here is looked up
// in the store first.
func handleCancelRequest(w *quetzalwork.World, in *quetzalwork.CancelRequested) {
	r := quetzalwork.JobRequest{Caller: in.Caller, Kind: quetzalwork.JobRequestKindCancel, Deadline: w.Now.Add(answerTimeout(in.Timeout))}
	rest, ok := routeJobRequest(w, &r, in.HTTPHost, in.Path, in.Key)
	if !ok {
		return
	}
	if rest == "" {
		w.Emit(quetzalwork.AnswerCaller{Caller: in.Caller, Answer: quetzalwork.InvalidJob{Problem: "the path names no job"}})
		return
	}
	r.Job = quetzalunit.JobID(rest)
	row := addJobRequest(w, &r)
	if j := w.Jobs.At(w.JobByID.Get(r.Job)); j != nil && j.Accepted {
		if j.StoredState.Final() || j.Cancelled {
			answerJobRequest(w, row, quetzalwork.CancelAccepted{})
			return
		}
		// The queue may have moved to another pool since the job was accepted.
		w.JobRequests.At(row).Pool = j.Pool
		storeCancellation(w, row)
		return
	}
	beginLookUp(w, row, quetzalwork.LookUpForCancellation)
}

// storeCancellation stores the cancellation of a request's job.
func storeCancellation(w *quetzalwork.World, row quetzalwork.Row) {
	r := w.JobRequests.At(row)
	w.Emit(quetzalwork.StoreCancel{Pool: w.Pools.At(r.Pool).ID, Job: r.Job, Request: row, Timeout: storeTimeout})
}

// handleCancelStored applies the result of a StoreCancel command. Once the cancellation is
// stored, the caller is answered and the pool's dispatcher is notified.
func handleCancelStored(w *quetzalwork.World, in *quetzalwork.CancelStored) {
	r := w.JobRequests.At(in.Request)
	if r == nil {
		return
	}
	switch in.Result {
	case quetzalwork.StoreDone:
		p := w.Pools.At(r.Pool)
		job, pool := r.Job, r.Pool
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartFront, Message: "Stored a job cancellation.", Job: job, Pool: p.ID, Reason: "Cancelled", Routine: true})
		answerJobRequest(w, in.Request, quetzalwork.CancelAccepted{})
		if p.Held {
			applyJobRow(w, pool, &quetzalwork.JobRow{Job: job, Content: quetzalwork.JobCancellation{}}, rowStored)
		} else if p.Duty.Holder != "" {
			w.Emit(quetzalwork.CallPeer{Address: p.Duty.Address, Message: quetzalwork.NotifyCancelled{Pool: p.ID, Job: job}, Timeout: peerTimeout})
		}
	case quetzalwork.StoreUnanswered:
		r.Attempts++
		if r.Attempts <= maxJobRequestAttempts {
			storeCancellation(w, in.Request)
		}
	default:
		answerJobRequest(w, in.Request, quetzalwork.Indeterminate{Reason: reasonStoreUnavailable})
	}
}
