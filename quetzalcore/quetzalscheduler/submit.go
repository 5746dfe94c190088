package quetzalscheduler

import (
	"fmt"
	"math"
	"time"

	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// maxSubmitBatch is the maximum number of jobs in one transaction. The store accepts at most
	// 1 MB and 100 entries, and each job needs four: the conditions and values of its row and of its entry in
	// the job index.
	maxSubmitBatch = 24
	// maxSubmitCalls is the maximum number of transactions in flight for one shard. The store
	// executes the transactions of a shard sequentially.
	maxSubmitCalls = 2
	// answerReserve is the part of a caller's timeout reserved for returning the answer.
	answerReserve = 150 * time.Millisecond
	// answerReserveDivisor limits that reserve for short timeouts to a quarter of the timeout.
	answerReserveDivisor = 4
	// storeTimeDivisor divides the difference between a measured transaction time and the
	// moving average: a new measurement counts a quarter.
	storeTimeDivisor = 4
	// storeTimeout is the timeout of a store call.
	storeTimeout = 1200 * time.Millisecond
	// slowStoreTime is the transaction time above which an entry pauses for as long as the
	// transaction took. The store executes a shard's transactions sequentially and rejects those
	// that wait for more than a second; during the pause, jobs collect into fewer transactions.
	slowStoreTime = 100 * time.Millisecond
	// submitRetryDelay is the delay before a retry after a refused or unanswered transaction.
	submitRetryDelay = 60 * time.Millisecond
	// meanRetryAfter is the mean Retry-After of a refused caller. Store outages last seconds;
	// jitter spreads the retries over half of this delay.
	meanRetryAfter = 1500 * time.Millisecond
	// defaultTimeout applies to calls that specify no timeout.
	defaultTimeout = 3 * time.Second
	// reasonStoreSilent and reasonStoreUnavailable tell callers and the log why a store call
	// failed: it had no answer, or the store refused it.
	reasonStoreSilent      = "StoreSilent"
	reasonStoreUnavailable = "StoreUnavailable"
	// maxPayloadBytes is the maximum length of a job's payload, in bytes.
	maxPayloadBytes = 4000
	// maxJobTasks is the maximum number of tasks of a job, and of all unfinished occurrences of a
	// repeating job together. The dispatcher holds them in memory.
	maxJobTasks quetzalunit.Tasks = 20000
)

// handleSubmission validates a submission and queues it for the next transaction of its pool. It
// answers at once if the job is invalid, already known, or cannot be stored in time.
func handleSubmission(w *quetzalwork.World, in *quetzalwork.JobSubmitted) {
	answer := func(a quetzalwork.Answer) {
		w.Emit(quetzalwork.AnswerCaller{Caller: in.Caller, Answer: a})
	}
	if refusal := refuseByConfig(w); refusal != nil {
		answer(refusal)
		return
	}
	queue, rest := route(w, in.HTTPHost, in.Path)
	if queue == 0 {
		answer(quetzalwork.NoSuchQueue{})
		return
	}
	account, refusal := quetzallimit.Admit(w, w.Queues.At(queue), in.Key)
	if refusal != nil {
		answer(refusal)
		return
	}
	if in.BodySize > w.Config.MaxBodyBytes && w.Config.MaxBodyBytes > 0 {
		answer(quetzalwork.BodyTooLarge{})
		return
	}
	if problem := validateSubmission(rest, in.Spec); problem != "" {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartFront, Message: "Rejected an invalid job submission.", Reason: problem, Routine: true})
		answer(quetzalwork.InvalidJob{Problem: problem})
		return
	}
	q := w.Queues.At(queue)
	pool := poolRow(w, q.Pool)
	id := quetzalunit.JobID(rest)
	if j := w.Jobs.At(w.JobByID.Get(id)); j != nil && j.Accepted {
		// The job is already stored, maybe in the pool to which the queue led before: this is a retry of the caller.
		answer(quetzalwork.JobAccepted{})
		return
	}
	if p := w.Pools.At(pool); answerTimeout(in.Timeout) < p.MeanStoreJobsTime {
		// The transaction would take longer than the caller waits.
		answer(quetzalwork.JobRefused{RetryAfter: w.Jitter(meanRetryAfter), Reason: "NoTime"})
		return
	}
	if shard := &w.Pools.At(pool).Shards[quetzalwork.ShardOf(id)]; shard.StoreSilent && (shard.StoreJobsInFlight > 0 || shard.Submissions.Len() > 0) {
		// Submissions that may be stored already try whether the store answers again.
		answer(quetzalwork.JobRefused{RetryAfter: w.Jitter(meanRetryAfter), Reason: reasonStoreSilent})
		return
	}
	row := w.Submissions.Insert(quetzalwork.Submission{
		Caller: in.Caller, Job: id, Queue: q.ID, Account: account, Pool: pool, Spec: in.Spec, ArrivedAt: w.Now,
		Deadline: w.Now.Add(answerTimeout(in.Timeout)),
	})
	w.Timers.Push(w.Submissions.At(row).Deadline, quetzalwork.SubmissionDue{Submission: row})
	w.Pools.At(pool).Shards[quetzalwork.ShardOf(id)].Submissions.Add(row)
}

// answerTimeout returns how long an answer may take so that it reaches the caller within its
// timeout d; zero stands for defaultTimeout.
func answerTimeout(d time.Duration) time.Duration {
	if d <= 0 {
		d = defaultTimeout
	}
	return d - min(answerReserve, d/answerReserveDivisor)
}

// validateSubmission returns why a submission is invalid, or "" if it is valid.
func validateSubmission(id string, spec *quetzalwork.JobSpec) string {
	switch {
	case !validJobID(id):
		return "the path names no job"
	case spec == nil:
		return "the body cannot be read"
	case len(spec.Payload) > maxPayloadBytes:
		return fmt.Sprintf("the text is longer than %d bytes", maxPayloadBytes)
	case len(spec.Steps) == 0:
		return "the job has no steps"
	case spec.Occurrences < 0 || spec.Interval < 0 || spec.FirstAt < 0:
		return "the schedule has a negative number"
	case spec.Occurrences > 1 && spec.Interval > time.Duration(math.MaxInt64-spec.FirstAt)/time.Duration(spec.Occurrences):
		return "the last occurrence is too far in the future"
	}
	return validateSteps(spec.Steps)
}

// validateSteps returns why the steps of a job are invalid, or "" if they are valid.
func validateSteps(steps []quetzalwork.StepSpec) string {
	var tasks quetzalunit.Tasks
	for i := range steps {
		s := &steps[i]
		switch {
		case s.TaskCount <= 0:
			return fmt.Sprintf("step %d has no tasks", i)
		case s.TaskCount > maxJobTasks-tasks:
			return fmt.Sprintf("the job has more than %d tasks", maxJobTasks)
		case s.Resources.Cores < 0 || s.Resources.Memory < 0 || s.Resources.Accelerators < 0 || s.Estimate < 0:
			return fmt.Sprintf("step %d has a negative requirement", i)
		}
		tasks += s.TaskCount
		for _, dependency := range s.DependsOn {
			if dependency < 0 || int(dependency) >= i {
				return fmt.Sprintf("step %d waits for step %d, which is not before it", i, dependency)
			}
		}
	}
	return ""
}

// storeSubmissions starts the transactions that store queued submissions.
func storeSubmissions(w *quetzalwork.World) {
	for _, p := range w.Pools.All() {
		for i := range p.Shards {
			shard := &p.Shards[i]
			for w.Now >= shard.StoreJobsNotBefore && shard.StoreJobsInFlight < maxSubmitCalls && shard.Submissions.Len() > 0 {
				storeBatch(w, p, quetzalunit.Shard(i))
			}
		}
	}
}

// storeBatch starts one transaction with up to maxSubmitBatch queued jobs of a shard. A second
// submission of the same job waits for a later transaction.
func storeBatch(w *quetzalwork.World, p *quetzalwork.Pool, i quetzalunit.Shard) {
	shard := &p.Shards[i]
	c := quetzalwork.StoreJobs{Pool: p.ID, Shard: i, DutyRevision: p.Duty.Revision, SentAt: w.Now, Timeout: storeTimeout}
	inBatch := make(map[quetzalunit.JobID]bool)
	var later []quetzalwork.Row
	alone := false
	for _, row := range shard.Submissions.Take() {
		s := w.Submissions.At(row)
		if s == nil || s.StoreInFlight {
			continue
		}
		if alone || len(c.Jobs) == maxSubmitBatch || inBatch[s.Job] || s.StoredAlone && len(c.Jobs) > 0 {
			later = append(later, row)
			continue
		}
		alone = s.StoredAlone
		s.StoreInFlight = true
		s.Attempts++
		inBatch[s.Job] = true
		c.Submissions = append(c.Submissions, row)
		c.Jobs = append(c.Jobs, quetzalwork.JobRow{Job: s.Job, Content: quetzalwork.AcceptedJob{Queue: s.Queue, Account: s.Account, Spec: s.Spec, DutyRevision: c.DutyRevision}})
	}
	for _, row := range later {
		shard.Submissions.Add(row)
	}
	if len(c.Jobs) == 0 {
		return
	}
	shard.StoreJobsInFlight++
	w.Emit(c)
}

// handleJobsStored applies the result of a StoreJobs transaction: it answers the submissions
// whose outcome is known and queues the others again.
func handleJobsStored(w *quetzalwork.World, in *quetzalwork.JobsStored) {
	poolRow := poolRow(w, in.Pool)
	shard := &w.Pools.At(poolRow).Shards[in.Shard]
	shard.StoreJobsInFlight--
	if in.CurrentDuty != nil {
		applyDutyRow(w, in.Pool, *in.CurrentDuty)
	}
	paceSubmissions(w, poolRow, in)
	if in.Result == quetzalwork.StoreUnanswered {
		refuseQueued(w, shard)
	}
	existing, cancelled := conflictingJobs(w, in)
	var stored []quetzalwork.JobRow
	for _, row := range in.Submissions {
		s := w.Submissions.At(row)
		if s == nil {
			continue
		}
		s.StoreInFlight = false
		switch {
		case in.Result == quetzalwork.StoreDone || existing[s.Job]:
			if !existing[s.Job] {
				stored = append(stored, quetzalwork.JobRow{Job: s.Job, Content: quetzalwork.AcceptedJob{Queue: s.Queue, Account: s.Account, Spec: s.Spec, DutyRevision: in.DutyRevision}})
			}
			answerSubmission(w, row, quetzalwork.JobAccepted{}, "Stored")
		case cancelled[s.Job] != "":
			storeCancelledJob(w, row, cancelled[s.Job])
		case in.Result == quetzalwork.StoreConflict:
			shard.Submissions.Add(row)
		case in.Result == quetzalwork.StoreRejected && len(in.Submissions) > 1:
			s.StoredAlone = true
			shard.Submissions.Add(row)
		case in.Result == quetzalwork.StoreRejected:
			answerSubmission(w, row, quetzalwork.InvalidJob{Problem: "the job cannot be stored"}, "StoreRejected")
		case in.Result == quetzalwork.StoreRefused && !s.MayBeStored:
			answerSubmission(w, row, quetzalwork.JobRefused{RetryAfter: w.Jitter(meanRetryAfter), Reason: reasonStoreUnavailable}, reasonStoreUnavailable)
		default:
			s.MayBeStored = true
			shard.Submissions.Add(row)
		}
	}
	if len(stored) > 0 {
		notifyDispatcher(w, poolRow, stored)
	}
}

// conflictingJobs returns the jobs that a conflict shows to be stored, and the pools with the cancellations of those whose
// ID was cancelled before a job had it.
func conflictingJobs(w *quetzalwork.World, in *quetzalwork.JobsStored) (existing map[quetzalunit.JobID]bool, cancelled map[quetzalunit.JobID]quetzalunit.PoolID) {
	existing, cancelled = make(map[quetzalunit.JobID]bool), make(map[quetzalunit.JobID]quetzalunit.PoolID)
	for _, id := range in.ExistingJobs {
		existing[id] = true
	}
	for i := range in.Indexed {
		e := &in.Indexed[i]
		if e.Cancelled {
			cancelled[e.Job] = e.Pool
			continue
		}
		noteIndexed(w, in.Pool, e)
		existing[e.Job] = true
	}
	return existing, cancelled
}

// noteIndexed logs that a submission was for a job that is stored in another pool.
func noteIndexed(w *quetzalwork.World, pool quetzalunit.PoolID, e *quetzalwork.JobIndexEntry) {
	if e.Pool != pool {
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartFront, Message: "A submitted job is stored in another pool.", Job: e.Job, Pool: e.Pool, Version: int64(w.Config.Version),
			Reason: "OtherPool",
		})
	}
}

// paceSubmissions updates the mean time of the transactions that store jobs, and delays the next one
// after one that was slow, failed, or met a conflict that explains nothing.
func paceSubmissions(w *quetzalwork.World, poolRow quetzalwork.Row, in *quetzalwork.JobsStored) {
	p := w.Pools.At(poolRow)
	shard := &p.Shards[in.Shard]
	took := w.Now.Sub(in.SentAt)
	shard.StoreSilent = in.Result == quetzalwork.StoreUnanswered
	switch in.Result {
	case quetzalwork.StoreDone:
		if took > slowStoreTime {
			pauseSubmissions(w, poolRow, shard, min(took, storeTimeout))
		}
		if p.MeanStoreJobsTime == 0 {
			p.MeanStoreJobsTime = took
		}
		p.MeanStoreJobsTime += (took - p.MeanStoreJobsTime) / storeTimeDivisor
	case quetzalwork.StoreRefused, quetzalwork.StoreUnanswered, quetzalwork.StoreRejected:
		pauseSubmissions(w, poolRow, shard, submitRetryDelay)
	case quetzalwork.StoreConflict:
		if in.CurrentDuty == nil && len(in.ExistingJobs) == 0 && len(in.Indexed) == 0 {
			// For example because the shard has no fence yet.
			pauseSubmissions(w, poolRow, shard, submitRetryDelay)
		}
	case quetzalwork.StoreCompacted:
		// Only reads have this result.
	}
}

// refuseQueued refuses the queued submissions of a shard that no transaction has had. The store
// does not answer, and one that was in a transaction without an answer could not be repeated by its
// caller.
func refuseQueued(w *quetzalwork.World, shard *quetzalwork.PoolShard) {
	for _, row := range shard.Submissions.Take() {
		s := w.Submissions.At(row)
		switch {
		case s == nil:
		case s.MayBeStored || s.StoreInFlight:
			shard.Submissions.Add(row)
		default:
			answerSubmission(w, row, quetzalwork.JobRefused{RetryAfter: w.Jitter(meanRetryAfter), Reason: reasonStoreSilent}, reasonStoreSilent)
		}
	}
}

// pauseSubmissions delays the next transaction that stores jobs of a shard by at least d.
func pauseSubmissions(w *quetzalwork.World, poolRow quetzalwork.Row, shard *quetzalwork.PoolShard, d time.Duration) {
	shard.StoreJobsNotBefore = max(shard.StoreJobsNotBefore, w.Now.Add(d))
	w.Timers.Push(shard.StoreJobsNotBefore, quetzalwork.StoreJobsDue{Pool: poolRow})
}

// answerSubmission answers the caller of a submission and deletes the submission.
func answerSubmission(w *quetzalwork.World, row quetzalwork.Row, a quetzalwork.Answer, reason string) {
	s := w.Submissions.At(row)
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartFront, Message: "Answered a job submission.", Job: s.Job, Pool: w.Pools.At(s.Pool).ID,
		Version: int64(w.Config.Version), Age: w.Now.Sub(s.ArrivedAt), Reason: reason, Routine: true,
	})
	w.Emit(quetzalwork.AnswerCaller{Caller: s.Caller, Answer: a})
	w.Submissions.Delete(row)
}

// expireSubmission answers a submission whose deadline has passed. The outcome is unknown if
// a transaction with the job is in flight or had no answer: either may have stored the job.
func expireSubmission(w *quetzalwork.World, row quetzalwork.Row) {
	s := w.Submissions.At(row)
	if s == nil {
		return
	}
	if s.StoreInFlight || s.MayBeStored {
		answerSubmission(w, row, quetzalwork.Indeterminate{Reason: reasonStoreSilent}, reasonStoreSilent)
		return
	}
	answerSubmission(w, row, quetzalwork.JobRefused{RetryAfter: w.Jitter(meanRetryAfter), Reason: "Busy"}, "Busy")
}

// notifyDispatcher notifies the dispatcher of a pool of newly stored jobs. If the message is lost,
// the dispatcher finds the jobs in its next read of the pool's rows.
func notifyDispatcher(w *quetzalwork.World, poolRow quetzalwork.Row, rows []quetzalwork.JobRow) {
	p := w.Pools.At(poolRow)
	if p.Held {
		for i := range rows {
			applyJobRow(w, poolRow, &rows[i], rowStored)
		}
		return
	}
	if p.Duty.Holder != "" && p.Duty.Holder != w.Self.Entry {
		w.Emit(quetzalwork.CallPeer{
			Address: p.Duty.Address, Message: quetzalwork.NotifyAccepted{Pool: p.ID, Jobs: rows}, Timeout: peerTimeout,
		})
	}
}
