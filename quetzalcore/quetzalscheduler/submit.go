package quetzalscheduler

import (
	"fmt"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// submitBatch bounds the jobs of one transaction: the store takes 1 MB and 100 entries, and
	// each job is two, its condition and its value.
	submitBatch = 40
	// submitCalls bounds the transactions in flight for one pool; the store carries out those
	// of one pool one after the other.
	submitCalls = 2
	// answerSlack is kept of a caller's time for the way back of the answer.
	answerSlack = 150 * time.Millisecond
	// answerShare is the part of a short time that is kept.
	answerShare = 4
	// storeTimeWeight is the weight of a new measurement in the mean time of a transaction.
	storeTimeWeight = 4
	// storeTimeout bounds the wait for an answer of the store.
	storeTimeout = 1200 * time.Millisecond
	// slowStore is the time of a transaction from which on an entry pauses as long as it took: the
	// store carries out those of a pool one after the other, and turns away what waits for over
	// a second, while the entries' jobs can gather into fewer of them.
	slowStore = 100 * time.Millisecond
	// submitRetry is the pause after a transaction without an answer.
	submitRetry = 60 * time.Millisecond
	// refusalDelay is the mean time after which a refused caller is asked to come back: the
	// store's outages last seconds, and callers that come back spread over half of it.
	refusalDelay = 1500 * time.Millisecond
	// defaultTimeout is the time of a call that names none.
	defaultTimeout = 3 * time.Second
	// reasonSilent and reasonUnavailable tell callers and the log why the store did not help.
	reasonSilent      = "StoreSilent"
	reasonUnavailable = "StoreUnavailable"
	// maxText bounds a job's text, in bytes.
	maxText = 4000
)

func submitJob(w *quetzalwork.World, in *quetzalwork.JobSubmitted) {
	answer := func(a quetzalwork.Answer) {
		w.Emit(quetzalwork.AnswerCaller{Caller: in.Caller, Answer: a})
	}
	if !w.Fleet.Known {
		answer(quetzalwork.JobRefused{RetryAfter: w.Jitter(refusalDelay), Reason: "NoConfiguration"})
		return
	}
	queue, rest := route(w, in.Host, in.Path)
	if queue == 0 {
		answer(quetzalwork.NoSuchQueue{})
		return
	}
	if in.Size > w.Fleet.MaxBody && w.Fleet.MaxBody > 0 {
		answer(quetzalwork.TooLarge{})
		return
	}
	if problem := jobProblem(rest, in.Spec); problem != "" {
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartFront, Text: "A submission cannot be read.", Reason: problem, Routine: true})
		answer(quetzalwork.BadJob{Problem: problem})
		return
	}
	q := w.Queues.At(queue)
	pool := poolRow(w, q.Pool)
	id := quetzalunit.JobID(rest)
	if j := w.Jobs.At(w.JobByID.Get(id)); j != nil && j.Pool == pool {
		// The job is stored: the caller repeats itself.
		answer(quetzalwork.JobAccepted{})
		return
	}
	if p := w.Pools.At(pool); timeLeft(in.Timeout) < p.StoreTime {
		// It would be stored, if at all, after its caller has left.
		answer(quetzalwork.JobRefused{RetryAfter: w.Jitter(refusalDelay), Reason: "NoTime"})
		return
	}
	row := w.Submissions.Insert(quetzalwork.Submission{
		Caller: in.Caller, Job: id, Queue: q.ID, Pool: pool, Spec: in.Spec, ArrivedAt: w.Now,
		Deadline: w.Now.Add(timeLeft(in.Timeout)),
	})
	w.Timers.Push(w.Submissions.At(row).Deadline, quetzalwork.SubmissionDue{Submission: row})
	w.Pools.At(pool).Submissions.Add(row)
}

// timeLeft is the time in which a caller has to be answered.
func timeLeft(d time.Duration) time.Duration {
	if d <= 0 {
		d = defaultTimeout
	}
	return d - min(answerSlack, d/answerShare)
}

// jobProblem tells what makes a submission invalid; empty when nothing does.
func jobProblem(id string, spec *quetzalwork.JobSpec) string {
	switch {
	case !validJobID(id):
		return "the path names no job"
	case spec == nil:
		return "the body cannot be read"
	case len(spec.Text) > maxText:
		return fmt.Sprintf("the text is longer than %d bytes", maxText)
	case len(spec.Steps) == 0:
		return "the job has no steps"
	}
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if s.Count <= 0 {
			return fmt.Sprintf("step %d has no tasks", i)
		}
		for _, before := range s.After {
			if before < 0 || int(before) >= i {
				return fmt.Sprintf("step %d waits for step %d, which is not before it", i, before)
			}
		}
	}
	return ""
}

// storeSubmissions begins the transactions that store waiting jobs.
func storeSubmissions(w *quetzalwork.World) {
	for _, p := range w.Pools.All() {
		if w.Now < p.SubmitNotBefore {
			continue
		}
		for p.SubmitCalls < submitCalls && p.Submissions.Len() > 0 {
			storeBatch(w, p)
		}
	}
}

func storeBatch(w *quetzalwork.World, p *quetzalwork.Pool) {
	c := quetzalwork.StoreJobs{Pool: p.ID, Duty: p.Duty.Revision, SentAt: w.Now, Timeout: storeTimeout}
	inBatch := make(map[quetzalunit.JobID]bool)
	var later []quetzalwork.Row
	for _, row := range p.Submissions.Take() {
		s := w.Submissions.At(row)
		if s == nil || s.Storing {
			continue
		}
		if len(c.Jobs) == submitBatch || inBatch[s.Job] {
			later = append(later, row)
			continue
		}
		s.Storing = true
		s.Tries++
		inBatch[s.Job] = true
		c.Submissions = append(c.Submissions, row)
		c.Jobs = append(c.Jobs, quetzalwork.JobRow{Job: s.Job, Content: quetzalwork.AcceptedJob{Queue: s.Queue, Spec: s.Spec, Duty: c.Duty}})
	}
	for _, row := range later {
		p.Submissions.Add(row)
	}
	if len(c.Jobs) == 0 {
		return
	}
	p.SubmitCalls++
	w.Emit(c)
}

func hearJobsStored(w *quetzalwork.World, in *quetzalwork.JobsStored) {
	poolRow := poolRow(w, in.Pool)
	p := w.Pools.At(poolRow)
	p.SubmitCalls--
	took := w.Now.Sub(in.SentAt)
	if took > slowStore && in.Result == quetzalwork.StoreDone {
		pauseSubmissions(w, poolRow, min(took, storeTimeout))
	}
	if in.Result == quetzalwork.StoreDone && p.StoreTime == 0 {
		p.StoreTime = took
	} else if in.Result == quetzalwork.StoreDone {
		p.StoreTime += (took - p.StoreTime) / storeTimeWeight
	}
	if in.Result == quetzalwork.StoreRefused || in.Result == quetzalwork.StoreUnknown {
		pauseSubmissions(w, poolRow, submitRetry)
	}
	if in.Duty != nil {
		seeDuty(w, in.Pool, *in.Duty)
	}
	existing := make(map[quetzalunit.JobID]bool, len(in.Existing))
	for _, id := range in.Existing {
		existing[id] = true
	}
	var stored []quetzalwork.JobRow
	for _, row := range in.Submissions {
		s := w.Submissions.At(row)
		if s == nil {
			continue
		}
		s.Storing = false
		switch {
		case in.Result == quetzalwork.StoreDone || existing[s.Job]:
			if !existing[s.Job] {
				stored = append(stored, quetzalwork.JobRow{Job: s.Job, Content: quetzalwork.AcceptedJob{Queue: s.Queue, Spec: s.Spec, Duty: in.StoredUnder}})
			}
			endSubmission(w, row, quetzalwork.JobAccepted{}, "Stored")
		case in.Result == quetzalwork.StoreConflict:
			p.Submissions.Add(row)
		case in.Result == quetzalwork.StoreRefused && !s.MayBeStored:
			endSubmission(w, row, quetzalwork.JobRefused{RetryAfter: w.Jitter(refusalDelay), Reason: reasonUnavailable}, reasonUnavailable)
		default:
			s.MayBeStored = true
			p.Submissions.Add(row)
		}
	}
	if len(stored) > 0 {
		tellAccepted(w, poolRow, stored)
	}
}

// pauseSubmissions begins no transaction with jobs of a pool for a time.
func pauseSubmissions(w *quetzalwork.World, poolRow quetzalwork.Row, d time.Duration) {
	p := w.Pools.At(poolRow)
	p.SubmitNotBefore = max(p.SubmitNotBefore, w.Now.Add(d))
	w.Timers.Push(p.SubmitNotBefore, quetzalwork.SubmitDue{Pool: poolRow})
}

// endSubmission answers the caller of a submission.
func endSubmission(w *quetzalwork.World, row quetzalwork.Row, a quetzalwork.Answer, reason string) {
	s := w.Submissions.At(row)
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartFront, Text: "A submission is answered.", Job: s.Job, Pool: w.Pools.At(s.Pool).ID,
		Version: int64(w.Fleet.Version), Age: w.Now.Sub(s.ArrivedAt), Reason: reason, Routine: true,
	})
	w.Emit(quetzalwork.AnswerCaller{Caller: s.Caller, Answer: a})
	w.Submissions.Delete(row)
}

// expireSubmission answers a submission whose time is over. A transaction that is in
// flight, or that had no answer, may have stored the job.
func expireSubmission(w *quetzalwork.World, row quetzalwork.Row) {
	s := w.Submissions.At(row)
	if s == nil {
		return
	}
	if s.Storing || s.MayBeStored {
		endSubmission(w, row, quetzalwork.Unsettled{Reason: reasonSilent}, reasonSilent)
		return
	}
	endSubmission(w, row, quetzalwork.JobRefused{RetryAfter: w.Jitter(refusalDelay), Reason: "Busy"}, "Busy")
}

// tellAccepted tells the dispatcher of a pool of stored jobs. One that is not reached finds
// them when it reads the pool's rows.
func tellAccepted(w *quetzalwork.World, poolRow quetzalwork.Row, rows []quetzalwork.JobRow) {
	p := w.Pools.At(poolRow)
	if p.Held {
		for i := range rows {
			addJobRow(w, poolRow, &rows[i])
		}
		return
	}
	if p.Duty.Holder != "" && p.Duty.Holder != w.Self.Entry {
		w.Emit(quetzalwork.AskPeer{
			Address: p.Duty.Address, Message: quetzalwork.TellAccepted{Pool: p.ID, Jobs: rows}, Timeout: peerTimeout,
		})
	}
}
