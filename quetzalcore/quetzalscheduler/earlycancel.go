package quetzalscheduler

import (
	"time"

	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// earlyCancelRetryDelay is the delay before another attempt to remove a cancellation, after the store refused one or did not
// answer. Nobody waits for it.
const earlyCancelRetryDelay = 10 * time.Second

// storeEarlyCancellation stores the cancellation of a job that is stored in no pool. The request with the job may still
// be under way: it may wait in another entry, or be repeated, or its transaction may be carried out late. Only the stored
// cancellation keeps the job from starting then, so the caller has no answer before.
func storeEarlyCancellation(w *quetzalwork.World, row quetzalwork.Row) {
	r := w.JobRequests.At(row)
	if !r.QuotaUsed {
		retryAfter, ok := quetzallimit.UseCancellation(w, r.Account)
		switch {
		case !ok && !r.Located:
			// The job may be stored in a pool to which its queue led before. Its cancellation needs no quota.
			locateJob(w, row)
			return
		case !ok:
			refuseEarlyCancellation(w, row, retryAfter)
			return
		}
		r.QuotaUsed = true
	}
	if countAttempt(w, row) {
		w.Emit(quetzalwork.StoreEarlyCancel{Pool: w.Pools.At(r.Pool).ID, Job: r.Job, Expected: r.IndexRevision, Request: row, Timeout: storeTimeout})
	}
}

// refuseEarlyCancellation refuses the cancellation of a job that is stored in no pool: the quota of the account is used up.
func refuseEarlyCancellation(w *quetzalwork.World, row quetzalwork.Row, retryAfter time.Duration) {
	r := w.JobRequests.At(row)
	const reason = "TooManyUnknownJobs"
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartFront, Message: "Refused to cancel an unknown job.", Job: r.Job, Pool: w.Pools.At(r.Pool).ID, Age: retryAfter, Reason: reason, Routine: true})
	answerJobRequest(w, row, quetzalwork.JobRefused{RetryAfter: retryAfter, Reason: reason})
}

// handleEarlyCancelStored applies the result of a StoreEarlyCancel command. After a conflict the job may be stored. A
// cancellation of the same ID is stored again, so that it lasts as long after this answer as after the first one.
func handleEarlyCancelStored(w *quetzalwork.World, in *quetzalwork.EarlyCancelStored) {
	r := w.JobRequests.At(in.Request)
	if r == nil {
		return
	}
	switch in.Result {
	case quetzalwork.StoreDone:
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartFront, Message: "Stored the cancellation of an unknown job.", Job: r.Job, Pool: w.Pools.At(r.Pool).ID, Version: int64(r.Attempts),
			Age: w.Now.Sub(r.ArrivedAt), Reason: "NotStored",
		})
		answerJobRequest(w, in.Request, quetzalwork.NoSuchJob{})
	case quetzalwork.StoreConflict:
		if in.Entry.Pool == "" {
			r.IndexRevision = 0
			storeEarlyCancellation(w, in.Request)
			return
		}
		quetzallimit.ReturnCancellation(w, r.Account)
		r.QuotaUsed = false
		noteLocated(w, in.Request, &in.Entry)
		lookUpJob(w, in.Request)
	case quetzalwork.StoreUnanswered:
		storeEarlyCancellation(w, in.Request)
	default:
		answerJobRequest(w, in.Request, quetzalwork.Indeterminate{Reason: reasonStoreUnavailable})
	}
}

// storeCancelledJob stores the job of a submission whose ID was cancelled before, in the pool that has the cancellation.
// It is accepted and its state is cancelled, as if the two requests had arrived in the other order.
func storeCancelledJob(w *quetzalwork.World, row quetzalwork.Row, pool quetzalunit.PoolID) {
	s := w.Submissions.At(row)
	s.StoreInFlight = true
	w.Emit(quetzalwork.StoreCancelledJob{
		Pool: pool, Job: quetzalwork.JobRow{Job: s.Job, Content: quetzalwork.AcceptedJob{Queue: s.Queue, Account: s.Account}}, Submission: row, Timeout: storeTimeout,
	})
}

// handleCancelledJobStored applies the result of a StoreCancelledJob command. Unless the job is stored, its submission starts
// over: the cancellation may have been removed.
func handleCancelledJobStored(w *quetzalwork.World, in *quetzalwork.CancelledJobStored) {
	s := w.Submissions.At(in.Submission)
	if s == nil {
		return
	}
	s.StoreInFlight = false
	switch {
	case in.Result == quetzalwork.StoreDone:
		answerSubmission(w, in.Submission, quetzalwork.JobAccepted{}, "CancelledBefore")
		return
	case in.Result == quetzalwork.StoreRefused && !s.MayBeStored:
		answerSubmission(w, in.Submission, quetzalwork.JobRefused{RetryAfter: w.Jitter(meanRetryAfter), Reason: reasonStoreUnavailable}, reasonStoreUnavailable)
		return
	case in.Result == quetzalwork.StoreUnanswered:
		s.MayBeStored = true
	}
	shard := &w.Pools.At(s.Pool).Shards[quetzalwork.ShardOf(s.Job)]
	shard.Submissions.Add(in.Submission)
	pauseSubmissions(w, s.Pool, shard, submitRetryDelay)
}

// noteCancelRevision notes the revision of a job's stored cancellation. That of an ID that no job has is removed after
// Bounds.RowRetention, by which time no request or transaction with the job can be under way.
func noteCancelRevision(w *quetzalwork.World, row quetzalwork.Row, revision quetzalunit.Revision) {
	j := w.Jobs.At(row)
	if revision <= j.CancelRevision {
		return
	}
	j.CancelRevision, j.CancelSeenAt = revision, w.Now
	if !j.Accepted {
		w.Timers.Push(w.Now.Add(w.Bounds.RowRetention()), quetzalwork.EarlyCancellationDue{Job: row})
	}
}

// removeEarlyCancellation removes the cancellation of an ID that no job has, unless it was stored again since the timer was
// set. The pool's dispatcher does this, whichever entry stored the cancellation.
func removeEarlyCancellation(w *quetzalwork.World, row quetzalwork.Row) {
	j := w.Jobs.At(row)
	if j == nil || j.Accepted || w.Now.Sub(j.CancelSeenAt) < w.Bounds.RowRetention() {
		return
	}
	w.Emit(quetzalwork.RemoveEarlyCancel{Pool: w.Pools.At(j.Pool).ID, ID: j.ID, Revision: j.CancelRevision, Job: row, Timeout: storeTimeout})
}

// handleEarlyCancelRemoved applies the result of a RemoveEarlyCancel command. After a conflict the next read of the pool's
// rows shows the newer cancellation or the job.
func handleEarlyCancelRemoved(w *quetzalwork.World, in *quetzalwork.EarlyCancelRemoved) {
	j := w.Jobs.At(in.Job)
	switch {
	case j == nil || j.Accepted || j.CancelRevision != in.Revision:
	case in.Result == quetzalwork.StoreDone:
		deleteJob(w, in.Job)
	default:
		w.Timers.Push(w.Now.Add(earlyCancelRetryDelay), quetzalwork.EarlyCancellationDue{Job: in.Job})
	}
}
