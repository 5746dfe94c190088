package quetzalsystem

import (
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

const (
	// jobScanPeriod is the mean interval between scans of the job table.
	jobScanPeriod = 2 * time.Second
	// maxSentMarks is the maximum number of a pool's jobs that are being marked as sent,
	// or are marked and not sent yet.
	maxSentMarks = 4
	// jobStoreTimeout is how long an entry tries to find out whether a job was stored.
	jobStoreTimeout = 10 * time.Second
)

func jobKey(id quetzalunit.RequestID) quetzalfleet.RowKey {
	return quetzalfleet.RowKey{Table: quetzalfleet.TableJobs, Key: string(id)}
}

// storeJobWork stores the work of a request that is to be accepted as a job. The job's rows
// follow once the work is stored.
func storeJobWork(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	r.State = quetzalfleet.RequestStoring
	w.Emit(quetzalfleet.PutObject{
		Call: addStoreCall(w, quetzalfleet.ForJobWorkWrite{Request: row}),
		Key:  quetzalfleet.WorkKey(r.ID, r.BodyDigest), Object: r.Work,
	})
}

func handleWorkStored(w *quetzalfleet.World, row quetzalfleet.Row, result quetzalfleet.StoreResult) {
	r := w.Requests.At(row)
	if r == nil || r.State != quetzalfleet.RequestStoring {
		return
	}
	if _, ok := result.(quetzalfleet.ObjectStored); !ok {
		// Without a job row no entry runs the work, even if the object was stored.
		finishRequest(w, row, quetzalfleet.NotRun{Reason: quetzalfleet.ClaimUnavailable, RetryAfter: time.Second})
		return
	}
	if r.CancelRequested {
		finishRequest(w, row, cancelledOutcome(r))
		return
	}
	writeJob(w, row, quetzalfleet.JobAccepted)
}

// jobRows returns the writes of a job's row, in state s with this process as its
// holder, and of its claim.
func jobRows(w *quetzalfleet.World, r *quetzalfleet.Request, s quetzalfleet.JobState, claim quetzalfleet.ClaimRow) []quetzalfleet.Write {
	return []quetzalfleet.Write{
		{Key: jobKey(r.ID), Row: quetzalfleet.JobRow{JobSpec: quetzalfleet.JobSpec{
			Request: r.ID, Entry: w.Self.Entry, Incarnation: w.Self.Incarnation, State: s,
			Queue: w.Queues.At(r.Queue).ID, Team: w.Teams.At(r.Team).ID, Class: r.Class, Urgent: r.Urgent,
			Idempotent: r.Idempotent, Deadline: w.WallTime(r.Deadline), BodyDigest: r.BodyDigest,
			WrittenAt: w.WallTime(w.Now),
		}}},
		{Key: claimKey(r.ID), Row: claim},
	}
}

// writeJob commits the rows of a job with state s.
func writeJob(w *quetzalfleet.World, row quetzalfleet.Row, s quetzalfleet.JobState) {
	r := w.Requests.At(row)
	t := quetzalfleet.Transaction{
		Conditions: []quetzalfleet.Condition{{Key: jobKey(r.ID), Revision: r.JobRevision}},
		Writes:     jobRows(w, r, s, claimRow(w, r, quetzalfleet.ClaimHeld, nil)),
	}
	if r.JobRevision == 0 {
		t.Conditions = append(t.Conditions, quetzalfleet.Condition{Key: claimKey(r.ID)})
	}
	writeStore(w, quetzalfleet.ForJobWrite{Request: row}, t)
}

func handleJobResult(w *quetzalfleet.World, row quetzalfleet.Row, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	r := w.Requests.At(row)
	if r == nil || r.State != quetzalfleet.RequestStoring {
		return
	}
	switch result := result.(type) {
	case quetzalfleet.Committed:
		confirmJob(w, row, call.Transaction.Writes[0].Row.(quetzalfleet.JobRow).State, result.Revision)
	case quetzalfleet.ConditionsFailed:
		handleJobConflict(w, row, result.Rows)
	default:
		readStore(w, quetzalfleet.ForJobRead{Request: row}, []quetzalfleet.RowKey{jobKey(r.ID), claimKey(r.ID)})
	}
}

// confirmJob accepts and queues a job whose rows are committed. A job that was just
// marked as sent goes back to the head of its FIFO.
func confirmJob(w *quetzalfleet.World, row quetzalfleet.Row, s quetzalfleet.JobState, rev quetzalunit.Revision) {
	r := w.Requests.At(row)
	r.JobRevision, r.ClaimRevision = rev, rev
	r.JobSent = s == quetzalfleet.JobSent
	if r.CancelRequested {
		finishRequest(w, row, cancelledOutcome(r))
		return
	}
	acceptCallers(w, row)
	enqueue(w, row, r.JobSent)
}

// acceptCallers answers all callers of a job with Accepted. Callers get the outcome by
// a separate query.
func acceptCallers(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	for _, caller := range r.Callers {
		w.RequestByCaller.Delete(caller)
		answerCaller(w, caller, r.ID, quetzalfleet.Accepted{})
	}
	r.Callers = nil
}

// handleJobConflict handles a job whose rows differ from those that this process knew: the
// job's id is in use, or another entry has taken over the job.
func handleJobConflict(w *quetzalfleet.World, row quetzalfleet.Row, rows []quetzalfleet.RowAtRevision) {
	r := w.Requests.At(row)
	if r.JobRevision > 0 {
		abandonJob(w, row)
		return
	}
	for _, found := range rows {
		claim, ok := found.Row.(quetzalfleet.ClaimRow)
		if !ok {
			continue
		}
		if claim.BodyDigest != r.BodyDigest {
			finishRequest(w, row, quetzalfleet.RequestIDConflict{})
			return
		}
		acceptCallers(w, row)
		abandonJob(w, row)
		return
	}
	finishRequest(w, row, quetzalfleet.Unknown{Reason: quetzalfleet.NotStored})
}

// handleJobReadResult handles the read of a job's rows that follows an unanswered
// write. A job that may have been stored must not end as NotRun, because another entry
// could still run it.
func handleJobReadResult(w *quetzalfleet.World, row quetzalfleet.Row, result quetzalfleet.StoreResult) {
	r := w.Requests.At(row)
	if r == nil || r.State != quetzalfleet.RequestStoring {
		return
	}
	found, ok := result.(quetzalfleet.RowsRead)
	if !ok {
		if w.Now.Sub(r.ArrivedAt) > jobStoreTimeout && r.JobRevision == 0 {
			finishRequest(w, row, quetzalfleet.Unknown{Reason: quetzalfleet.NotStored})
			return
		}
		w.After(storeRetryDelay, quetzalfleet.RetryDue{Request: row})
		return
	}
	for _, f := range found.Rows {
		job, ok := f.Row.(quetzalfleet.JobRow)
		held := ok && job.Entry == w.Self.Entry && job.Incarnation == w.Self.Incarnation
		if held && f.Revision > r.JobRevision {
			confirmJob(w, row, job.State, f.Revision)
			return
		}
	}
	writeJob(w, row, nextJobState(r))
}

// nextJobState returns the state in which a job's row is written next.
func nextJobState(r *quetzalfleet.Request) quetzalfleet.JobState {
	if r.JobRevision > 0 {
		return quetzalfleet.JobSent
	}
	return quetzalfleet.JobAccepted
}

// abandonJob deletes a job that is left to another entry, without an outcome.
func abandonJob(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r.State == quetzalfleet.RequestQueued {
		unlinkRequest(w, row)
	}
	for _, caller := range r.Callers {
		w.RequestByCaller.Delete(caller)
		answerCaller(w, caller, r.ID, quetzalfleet.Accepted{})
	}
	releaseSentMark(w, r)
	w.LiveRequests--
	r.State = quetzalfleet.RequestDone
	deleteRequest(w, row)
}

// needsSentMark reports whether a request may be sent only after its job's row says that it
// may have run. Otherwise an entry that takes over the job could run it twice.
func needsSentMark(r *quetzalfleet.Request) bool {
	return r.IsJob && !r.Idempotent && !r.JobSent
}

// writeSentMark takes a job out of its FIFO and writes a row that says that the job may have
// run. It returns false if maxSentMarks of the pool's jobs are marked but not sent yet. These
// end as Unknown without having run if this entry dies now, so the limit keeps them few.
func writeSentMark(w *quetzalfleet.World, row quetzalfleet.Row) bool {
	r := w.Requests.At(row)
	p := w.Pools.At(w.Queues.At(r.Queue).Pool)
	if p.SentMarks >= maxSentMarks {
		return false
	}
	p.SentMarks++
	r.HoldsSentMark = true
	unlinkRequest(w, row)
	r.State = quetzalfleet.RequestStoring
	writeJob(w, row, quetzalfleet.JobSent)
	return true
}

// releaseSentMark stops counting a job towards maxSentMarks when the job is sent or has
// ended.
func releaseSentMark(w *quetzalfleet.World, r *quetzalfleet.Request) {
	if !r.HoldsSentMark {
		return
	}
	r.HoldsSentMark = false
	pool := w.Queues.At(r.Queue).Pool
	w.Pools.At(pool).SentMarks--
	w.DirtyPools.Add(pool)
}

// scanJobs reads the jobs that changed since the last scan. Only the holder of the
// zone's duties does so.
func scanJobs(w *quetzalfleet.World) {
	w.After(w.Jitter(jobScanPeriod), quetzalfleet.JobScanDue{})
	if !holdsDuty(w) || w.JobScanCall != 0 || w.Stop != quetzalfleet.StopNone {
		return
	}
	w.JobScanCall = addStoreCall(w, quetzalfleet.ForJobScan{})
	w.Emit(quetzalfleet.ScanStore{
		Call: w.JobScanCall, Tables: []quetzalfleet.TableName{quetzalfleet.TableJobs}, SinceRevision: w.JobsSeenRevision,
	})
}

func handleJobScanResult(w *quetzalfleet.World, result quetzalfleet.StoreResult) {
	w.JobScanCall = 0
	found, ok := result.(quetzalfleet.RowsRead)
	if !ok {
		return
	}
	w.JobsSeenRevision = max(w.JobsSeenRevision, found.Revision)
	for _, f := range found.Rows {
		if job, ok := f.Row.(quetzalfleet.JobRow); ok {
			updatePendingJob(w, job.JobSpec, f.Revision)
		}
	}
	for row, job := range w.PendingJobs.All() {
		if job.TakeoverCall == 0 && job.Revision <= w.SeenRevision && !holderInRoster(w, &job.JobSpec) {
			takeOverJob(w, row)
		}
	}
}

// updatePendingJob updates the table of pending jobs from a job's row.
func updatePendingJob(w *quetzalfleet.World, spec quetzalfleet.JobSpec, rev quetzalunit.Revision) {
	row := w.PendingJobByID.Get(spec.Request)
	if spec.State == quetzalfleet.JobEnded {
		w.PendingJobByID.Delete(spec.Request)
		w.PendingJobs.Delete(row)
		return
	}
	if row == 0 {
		row = w.PendingJobs.Insert(quetzalfleet.PendingJob{})
		w.PendingJobByID.Put(spec.Request, row)
	}
	job := w.PendingJobs.At(row)
	job.JobSpec, job.Revision = spec, rev
}

// holderInRoster reports whether the process that holds a job is in the roster of any zone. A holder
// writes the job's row after it has joined, so the rosters show whether it has left only once they
// are read up to the revision of that row.
func holderInRoster(w *quetzalfleet.World, job *quetzalfleet.JobSpec) bool {
	for _, r := range w.Rosters.All() {
		if processInRoster(r, job.Entry, job.Incarnation) {
			return true
		}
	}
	return false
}

// takeOverJob takes over a job whose holder is in no roster. A job that may have run and is
// not idempotent ends as Unknown instead.
func takeOverJob(w *quetzalfleet.World, row quetzalfleet.Row) {
	job := w.PendingJobs.At(row)
	next := job.JobSpec
	next.WrittenAt = w.WallTime(w.Now)
	next.Entry, next.Incarnation, next.State = w.Self.Entry, w.Self.Incarnation, quetzalfleet.JobAccepted
	claim := quetzalfleet.ClaimRow{
		Request: job.Request, Entry: w.Self.Entry, Incarnation: w.Self.Incarnation, BodyDigest: job.BodyDigest,
		WrittenAt: w.WallTime(w.Now),
	}
	if job.State == quetzalfleet.JobSent && !job.Idempotent {
		next.State, claim.State = quetzalfleet.JobEnded, quetzalfleet.ClaimUnknown
	}
	w.RecordDecision(quetzalfleet.DecisionJob, string(job.Request), "taken over: its entry left the roster")
	job.TakeoverCall = writeStore(w, quetzalfleet.ForJobTakeover{Job: row}, quetzalfleet.Transaction{
		Conditions: []quetzalfleet.Condition{{Key: jobKey(job.Request), Revision: job.Revision}},
		Writes: []quetzalfleet.Write{
			{Key: jobKey(job.Request), Row: quetzalfleet.JobRow{JobSpec: next}},
			{Key: claimKey(job.Request), Row: claim},
		},
	})
}

func handleJobTakeoverResult(w *quetzalfleet.World, row quetzalfleet.Row, call *quetzalfleet.StoreCall, result quetzalfleet.StoreResult) {
	job := w.PendingJobs.At(row)
	if job == nil {
		return
	}
	job.TakeoverCall = 0
	committed, ok := result.(quetzalfleet.Committed)
	if !ok {
		return
	}
	spec := call.Transaction.Writes[0].Row.(quetzalfleet.JobRow).JobSpec
	updatePendingJob(w, spec, committed.Revision)
	if spec.State == quetzalfleet.JobAccepted {
		adoptJob(w, &spec, committed.Revision)
	}
}

// adoptJob inserts a request for a job that was taken over and reads its work.
func adoptJob(w *quetzalfleet.World, spec *quetzalfleet.JobSpec, rev quetzalunit.Revision) {
	row := w.Requests.Insert(quetzalfleet.Request{
		ID: spec.Request, Queue: w.QueueByID.Get(spec.Queue), Team: resolveTeam(w, spec.Team), Class: spec.Class,
		Urgent: spec.Urgent, Idempotent: spec.Idempotent, BodyDigest: spec.BodyDigest, ArrivedAt: w.Now, Deadline: w.InstantOf(spec.Deadline),
		State: quetzalfleet.RequestStoring, IsJob: true, JobRevision: rev, ClaimRevision: rev,
	})
	w.LiveRequests++
	w.RequestByID.Put(spec.Request, row)
	r := w.Requests.At(row)
	r.EffectiveClass = effectiveClass(w, r)
	w.Timers.Push(max(w.Now, r.Deadline), quetzalfleet.RequestDeadlineReached{Request: row})
	readJobWork(w, row)
}

func readJobWork(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	w.Emit(quetzalfleet.GetObject{
		Call: addStoreCall(w, quetzalfleet.ForJobWorkRead{Request: row}), Key: quetzalfleet.WorkKey(r.ID, r.BodyDigest),
	})
}

func handleJobWorkRead(w *quetzalfleet.World, p quetzalfleet.ForJobWorkRead, result quetzalfleet.StoreResult) {
	row := p.Request
	r := w.Requests.At(row)
	if r == nil || r.State != quetzalfleet.RequestStoring {
		return
	}
	object, ok := result.(quetzalfleet.ObjectRead)
	if !ok {
		w.After(storeRetryDelay, quetzalfleet.RetryDue{Request: row})
		return
	}
	if object.Object == nil && !p.FormerKey {
		w.Emit(quetzalfleet.GetObject{
			Call: addStoreCall(w, quetzalfleet.ForJobWorkRead{Request: row, FormerKey: true}), Key: quetzalfleet.FormerWorkKey(r.ID),
		})
		return
	}
	if object.Object == nil {
		finishRequest(w, row, quetzalfleet.Unknown{Reason: quetzalfleet.NotStored})
		return
	}
	r.Work = object.Object
	if r.CancelRequested {
		finishRequest(w, row, cancelledOutcome(r))
		return
	}
	enqueue(w, row, false)
}

// retryJobStorage repeats the platform call that a job waits for: the read of its work,
// or of its rows after a write that had no answer.
func retryJobStorage(w *quetzalfleet.World, row quetzalfleet.Row) {
	r := w.Requests.At(row)
	if r.Work == nil {
		readJobWork(w, row)
		return
	}
	readStore(w, quetzalfleet.ForJobRead{Request: row}, []quetzalfleet.RowKey{jobKey(r.ID), claimKey(r.ID)})
}

// abandonUnsentJobs abandons the stored jobs that were not sent, at the start of a planned
// stop. Another entry takes them over once this one has left the roster.
func abandonUnsentJobs(w *quetzalfleet.World) {
	for row, r := range w.Requests.All() {
		waiting := r.State == quetzalfleet.RequestQueued || r.State == quetzalfleet.RequestAwaitingRetry
		if r.IsJob && waiting && r.JobRevision > 0 && !r.JobSent {
			abandonJob(w, row)
		}
	}
}

// readOutcome reads the claim of a request that is not in this entry's memory.
func readOutcome(w *quetzalfleet.World, caller quetzalunit.CallerID, id quetzalunit.RequestID) {
	readStore(w, quetzalfleet.ForOutcomeRead{Caller: caller, ID: id}, []quetzalfleet.RowKey{claimKey(id)})
}

func handleOutcomeRead(w *quetzalfleet.World, p quetzalfleet.ForOutcomeRead, result quetzalfleet.StoreResult) {
	found, ok := result.(quetzalfleet.RowsRead)
	if !ok {
		answerCaller(w, p.Caller, p.ID, quetzalfleet.Unknown{Reason: quetzalfleet.HolderGone})
		return
	}
	var outcome quetzalfleet.Outcome = quetzalfleet.Invalid{Reason: quetzalfleet.UnknownRequest}
	for _, f := range found.Rows {
		if claim, ok := f.Row.(quetzalfleet.ClaimRow); ok {
			outcome = claimOutcome(&claim)
		}
	}
	answerCaller(w, p.Caller, p.ID, outcome)
}

// claimOutcome returns the outcome that a claim implies for its request.
func claimOutcome(claim *quetzalfleet.ClaimRow) quetzalfleet.Outcome {
	switch claim.State {
	case quetzalfleet.ClaimDone:
		return quetzalfleet.Ran{Answer: claim.Answer}
	case quetzalfleet.ClaimUnknown:
		return quetzalfleet.Unknown{Reason: quetzalfleet.HolderGone}
	case quetzalfleet.ClaimReleased:
		return quetzalfleet.NotRun{Reason: quetzalfleet.DeadlinePassed}
	case quetzalfleet.ClaimHeld:
	}
	return quetzalfleet.Accepted{}
}
