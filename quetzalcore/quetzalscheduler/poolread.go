package quetzalscheduler

import (
	"fmt"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// poolReadInterval is the interval between reads of the changes to a pool's rows. They find
	// the jobs whose notification to the dispatcher was lost.
	poolReadInterval = time.Second
	// poolReadRetryDelay is the delay before a retry after a failed read.
	poolReadRetryDelay = 150 * time.Millisecond
)

// readPool reads a pool's job rows: the next page until the pool is loaded, later the rows that
// changed since the last read. It does nothing if the token is outdated or a read is in flight.
func readPool(w *quetzalwork.World, row quetzalwork.Row, token quetzalunit.FencingToken) {
	p := w.Pools.At(row)
	if !p.Held || p.Token != token || p.ReadInFlight {
		return
	}
	p.ReadInFlight = true
	w.Emit(quetzalwork.ReadPoolJobs{Pool: p.ID, Token: token, Full: p.SeenRevision == 0 || p.NextKey != "", StartKey: p.NextKey, SinceRevision: p.SeenRevision, SentAt: w.Now})
}

// handlePoolRead applies a page of a pool's job rows. Applying a row can end this process's
// dispatch of the pool (see applyJobRow). A page counts only if it is as new as the takeover, which all that earlier
// dispatchers have stored precedes, and as the pages before it.
func handlePoolRead(w *quetzalwork.World, in *quetzalwork.PoolJobsRead) {
	row := poolRow(w, in.Pool)
	p := w.Pools.At(row)
	if !p.Held || p.Token != in.Token {
		return
	}
	p.ReadInFlight = false
	result, reason := in.Result, in.Result.String()
	if result == quetzalwork.StoreDone && in.SeenRevision < max(quetzalunit.Revision(p.Token), p.SeenRevision) {
		// The read was sent after the takeover and after the reads before it, and the store has answered with earlier rows.
		result, reason = quetzalwork.StoreUnanswered, fmt.Sprintf("OutdatedToken%dSeen%dRead%d", p.Token, p.SeenRevision, in.SeenRevision)
	}
	logPoolRead(w, p, result, reason)
	switch result {
	case quetzalwork.StoreDone:
		for i := range in.Rows {
			applyJobRow(w, row, &in.Rows[i], rowRead)
			if !p.Held {
				return
			}
		}
		finishPoolRead(w, row, in)
	case quetzalwork.StoreCompacted:
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartStore, Message: "The store has compacted the change history of the pool's rows; reading all rows again.", Pool: p.ID})
		p.NextKey, p.SeenRevision = "", 0
		readPool(w, row, p.Token)
	default:
		schedulePoolRead(w, row, poolReadRetryDelay)
	}
}

// logPoolRead logs the first of several failed reads of a pool's rows, and the first one after them that succeeds.
// Without these reads the dispatcher does not learn of jobs and cancellations whose notification was lost.
func logPoolRead(w *quetzalwork.World, p *quetzalwork.Pool, result quetzalwork.StoreResult, reason string) {
	failed := result != quetzalwork.StoreDone && result != quetzalwork.StoreCompacted
	switch {
	case failed && p.ReadFailingSince == 0:
		p.ReadFailingSince = w.Now
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartStore, Message: "The pool's rows cannot be read.", Pool: p.ID, Age: ageOf(w, p.CompletedReadSentAt), Reason: reason})
	case !failed && p.ReadFailingSince != 0:
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartStore, Message: "The pool's rows can be read again.", Pool: p.ID, Age: w.Now.Sub(p.ReadFailingSince), Reason: reason})
		p.ReadFailingSince = 0
	}
}

// finishPoolRead continues a load with its next page, or completes the read and schedules the
// next one.
func finishPoolRead(w *quetzalwork.World, row quetzalwork.Row, in *quetzalwork.PoolJobsRead) {
	p := w.Pools.At(row)
	if in.Full && p.NextKey == "" || !in.Full {
		// The revision of the first page counts for the whole load, so that the next read
		// returns every change made while the load was running. Each page of changes counts for itself: it follows
		// those before it.
		p.SeenRevision, p.FirstPageSentAt = in.SeenRevision, in.SentAt
	}
	p.NextKey = ""
	if in.More {
		if in.Full {
			p.NextKey = in.NextKey
		}
		readPool(w, row, p.Token)
		return
	}
	if in.Full && !p.JobsLoaded {
		p.CompletedReadSentAt = p.HeldSince
	} else {
		p.CompletedReadSentAt = p.FirstPageSentAt
	}
	p.NeedsPlacement = p.NeedsPlacement || !p.PredecessorWorkKnown
	if !p.JobsLoaded {
		p.JobsLoaded = true
		createLoadedOccurrences(w, row)
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Message: "Loaded the pool's jobs.", Pool: p.ID, Version: int64(p.Token), Age: w.Now.Sub(p.HeldSince)})
		w.MinionList.SeenRevision = 0
		listMinions(w)
		p.NeedsPlacement = true
	}
	schedulePoolRead(w, row, w.Jitter(poolReadInterval))
}

// schedulePoolRead schedules the next read of a pool's rows.
func schedulePoolRead(w *quetzalwork.World, row quetzalwork.Row, delay time.Duration) {
	p := w.Pools.At(row)
	p.NextReadAt = w.Now.Add(delay)
	w.Timers.Push(p.NextReadAt, quetzalwork.PoolJobsReadDue{Pool: row, Token: p.Token})
}

// readPoolIfDue reads a pool's rows when a timer fires, unless the next read has been scheduled
// for a later time since the timer was set.
func readPoolIfDue(w *quetzalwork.World, t quetzalwork.PoolJobsReadDue) {
	if w.Now >= w.Pools.At(t.Pool).NextReadAt {
		readPool(w, t.Pool, t.Token)
	}
}

// rowSource is how a row of a job became known, for the log.
type rowSource string

const (
	// rowRead is a read of the pool's rows, rowNotice a notice of another entry, and rowStored a transaction of this one.
	rowRead   rowSource = "Read"
	rowNotice rowSource = "Notice"
	rowStored rowSource = "Stored"
)

// applyJobRow applies a stored row of a job. A job stored under a duty revision above this
// process's token shows that another process has taken the pool over: the dispatch of the pool
// by this process ends.
func applyJobRow(w *quetzalwork.World, pool quetzalwork.Row, r *quetzalwork.JobRow, source rowSource) {
	if !w.Pools.At(pool).Held {
		return
	}
	if a, ok := r.Content.(quetzalwork.AcceptedJob); ok && a.DutyRevision > quetzalunit.Revision(w.Pools.At(pool).Token) {
		dropDispatch(w, pool, "Superseded")
		return
	}
	row := w.JobByID.Get(r.Job)
	if _, accepted := r.Content.(quetzalwork.AcceptedJob); accepted && row != 0 {
		// A cancellation without a job may have been removed from the other pool since.
		if j := w.Jobs.At(row); j.Pool != pool && !j.Accepted {
			deleteJob(w, row)
			row = 0
		}
	}
	if row == 0 {
		row = w.Jobs.Insert(quetzalwork.Job{ID: r.Job, Pool: pool, FirstSeenAt: w.Now})
		w.JobByID.Put(r.Job, row)
	}
	j := w.Jobs.At(row)
	if j.Pool != pool {
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartStore, Message: "A row of a job that is known from another pool is ignored.", Job: r.Job, Pool: w.Pools.At(pool).ID, Version: int64(r.Revision),
			Reason: "OtherPool", Routine: true,
		})
		return
	}
	switch c := r.Content.(type) {
	case quetzalwork.AcceptedJob:
		j.Accepted = true
		if c.Spec != nil && j.Spec == nil && !j.State.Final() {
			j.Queue, j.Account, j.Spec, j.DutyRevision = c.Queue, c.Account, c.Spec, c.DutyRevision
			logEarlierJob(w, j, source)
			activateJob(w, row)
		}
	case quetzalwork.JobCancellation:
		cancelJob(w, row)
		noteCancelRevision(w, row, r.Revision)
	case quetzalwork.JobProgress:
		mergeProgress(w, row, r.Revision, &c.Progress)
	}
}

// logEarlierJob logs that a job which was stored in an earlier term becomes known without a read of the rows, after all that
// were stored before this term have been read. What is stored of its progress may have been read before.
func logEarlierJob(w *quetzalwork.World, j *quetzalwork.Job, source rowSource) {
	p := w.Pools.At(j.Pool)
	if source == rowRead || !p.JobsLoaded || j.DutyRevision >= quetzalunit.Revision(p.Token) {
		return
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartStore, Message: "A job of an earlier term is known without a read.", Job: j.ID, Pool: p.ID, Version: int64(j.DutyRevision),
		Age: w.Now.Sub(p.HeldSince), Reason: fmt.Sprintf("%sToken%dSeen%d", source, p.Token, p.SeenRevision), Routine: true,
	})
}

// mergeProgress merges stored progress into a job. Completed tasks, failed runs and crashes are
// only ever added, so the result does not depend on the order of the writers.
func mergeProgress(w *quetzalwork.World, row quetzalwork.Row, revision quetzalunit.Revision, stored *quetzalwork.Progress) {
	j := w.Jobs.At(row)
	if revision <= j.ProgressRevision {
		return
	}
	j.ProgressRevision = revision
	if stored.State.Final() {
		j.StoredState = stored.State
		finishJob(w, row, stored.State)
		return
	}
	for _, r := range stored.DoneOccurrences {
		j.Started = true
		mergeDoneOccurrences(w, row, r)
	}
	known := make(map[quetzalwork.TaskRef]bool, len(j.Progress.Done))
	for _, ref := range j.Progress.Done {
		known[ref] = true
	}
	for _, ref := range stored.Done {
		if !known[ref] && !j.Progress.DoneOccurrences.Contains(ref.Occurrence) {
			j.Started = true
			j.Progress.Done = append(j.Progress.Done, ref)
			if task := findTask(w, row, ref); task != 0 {
				finishStoredTask(w, task)
			}
		}
	}
	for _, f := range stored.Failures {
		j.Started = true
		recordFailure(w, row, f)
	}
	for _, c := range stored.Crashes {
		j.Started = true
		recordCrash(w, row, c)
	}
	failExhaustedJob(w, row)
}

// mergeDoneOccurrences merges finished occurrences into a job. Those that are created already are
// finished task by task, which may create further ones.
func mergeDoneOccurrences(w *quetzalwork.World, row quetzalwork.Row, r quetzalwork.OccurrenceRange) {
	j := w.Jobs.At(row)
	recordDoneOccurrences(j, quetzalwork.OccurrenceRange{First: max(r.First, j.CreatedOccurrences), End: r.End})
	for _, stepRow := range slices.Clone(j.Steps) {
		s := w.Steps.At(stepRow)
		if s == nil || s.Occurrence < r.First || s.Occurrence >= r.End {
			continue
		}
		for _, taskRow := range slices.Clone(s.Tasks) {
			if w.Tasks.At(taskRow) != nil {
				finishStoredTask(w, taskRow)
			}
		}
	}
}

// finishStoredTask finishes a task that a row shows as done. Its runs, which were started or adopted without that
// knowledge, are stopped.
func finishStoredTask(w *quetzalwork.World, taskRow quetzalwork.Row) {
	t := w.Tasks.At(taskRow)
	if t.State == quetzalwork.TaskDone {
		return
	}
	for _, run := range slices.Clone(t.Runs) {
		stopRun(w, run, quetzalwork.StopDuplicate)
	}
	finishTask(w, taskRow)
}

// recordFailure records a failed run of a task. It returns false if the run is recorded already.
func recordFailure(w *quetzalwork.World, row quetzalwork.Row, f quetzalwork.TaskFailure) bool {
	j := w.Jobs.At(row)
	if slices.Contains(j.Progress.Failures, f) || j.Progress.DoneOccurrences.Contains(f.Occurrence) {
		return false
	}
	j.Progress.Failures = append(j.Progress.Failures, f)
	if t := w.Tasks.At(findTask(w, row, f.TaskRef)); t != nil {
		t.Failures++
	}
	return true
}
