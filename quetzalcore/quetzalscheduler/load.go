package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// poolReadPeriod is the time between two reads of what changed in a pool's rows; they find
	// jobs of which no entry could tell.
	poolReadPeriod = time.Second
	// poolReadRetry is the pause after a read without an answer.
	poolReadRetry = 150 * time.Millisecond
)

// readPool reads the next rows of a pool's jobs.
func readPool(w *quetzalwork.World, row quetzalwork.Row, token quetzalunit.FencingToken) {
	p := w.Pools.At(row)
	if !p.Held || p.Token != token || p.LoadCall {
		return
	}
	p.LoadCall = true
	w.Emit(quetzalwork.ReadPool{Pool: p.ID, Token: token, Full: !p.Loaded || p.LoadFrom != "", From: p.LoadFrom, After: p.Seen, SentAt: w.Now})
}

func hearPoolRows(w *quetzalwork.World, in *quetzalwork.PoolRead) {
	row := poolRow(w, in.Pool)
	p := w.Pools.At(row)
	if !p.Held || p.Token != in.Token {
		return
	}
	p.LoadCall = false
	switch in.Result {
	case quetzalwork.StoreDone:
		for i := range in.Rows {
			addJobRow(w, row, &in.Rows[i])
			if !p.Held {
				return
			}
		}
		endPoolRead(w, row, in)
	case quetzalwork.StoreCompacted:
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartStore, Text: "The history of the pool's rows is gone; they are read in full.", Pool: p.ID})
		p.LoadFrom, p.Seen = "", 0
		p.LoadCall = true
		w.Emit(quetzalwork.ReadPool{Pool: p.ID, Token: p.Token, Full: true, SentAt: w.Now})
	default:
		planRead(w, row, poolReadRetry)
	}
}

func endPoolRead(w *quetzalwork.World, row quetzalwork.Row, in *quetzalwork.PoolRead) {
	p := w.Pools.At(row)
	if in.Full && p.LoadFrom == "" || !in.Full {
		// What changes during a load is read again from its beginning.
		p.Seen, p.LoadSentAt = in.Seen, in.SentAt
	}
	p.LoadFrom = ""
	if in.More {
		p.LoadFrom = in.From
		readPool(w, row, p.Token)
		return
	}
	if in.Full && !p.Loaded {
		p.RowsSentAt = p.TakenAt
	} else {
		p.RowsSentAt = p.LoadSentAt
	}
	p.Dirty = p.Dirty || !p.OldKnown
	if !p.Loaded {
		p.Loaded = true
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartDuty, Text: "The pool's jobs are loaded.", Pool: p.ID, Version: int64(p.Token), Age: w.Now.Sub(p.TakenAt)})
		w.MinionList.Seen = 0
		listMinions(w)
		p.Dirty = true
	}
	planRead(w, row, w.Jitter(poolReadPeriod))
}

// planRead sets the instant of the next read of a pool's rows.
func planRead(w *quetzalwork.World, row quetzalwork.Row, delay time.Duration) {
	p := w.Pools.At(row)
	p.ReadDueAt = w.Now.Add(delay)
	w.Timers.Push(p.ReadDueAt, quetzalwork.PoolReadDue{Pool: row, Token: p.Token})
}

// readDue reads a pool's rows unless they were read since the timer was set.
func readDue(w *quetzalwork.World, t quetzalwork.PoolReadDue) {
	if w.Now >= w.Pools.At(t.Pool).ReadDueAt {
		readPool(w, t.Pool, t.Token)
	}
}

// addJobRow applies a stored row of a job. A job that was stored under a later duty shows
// that this process no longer dispatches the pool.
func addJobRow(w *quetzalwork.World, pool quetzalwork.Row, r *quetzalwork.JobRow) {
	if !w.Pools.At(pool).Held {
		return
	}
	if a, ok := r.Content.(quetzalwork.AcceptedJob); ok && a.Duty > quetzalunit.Revision(w.Pools.At(pool).Token) {
		dropPool(w, pool, "Superseded")
		return
	}
	row := w.JobByID.Get(r.Job)
	if row == 0 {
		row = w.Jobs.Insert(quetzalwork.Job{ID: r.Job, Pool: pool, AcceptedAt: w.Now})
		w.JobByID.Put(r.Job, row)
	}
	j := w.Jobs.At(row)
	switch c := r.Content.(type) {
	case quetzalwork.AcceptedJob:
		if c.Spec != nil && j.Spec == nil && !j.State.Final() {
			j.Queue, j.Spec, j.Duty = c.Queue, c.Spec, c.Duty
			beginJob(w, row)
		}
	case quetzalwork.JobCancellation:
		cancelJob(w, row)
	case quetzalwork.JobProgress:
		mergeProgress(w, row, r.Revision, &c.Progress)
	}
}

// mergeProgress adds stored progress to what is known. Ends only add up, so that the order
// of writers does not matter.
func mergeProgress(w *quetzalwork.World, row quetzalwork.Row, revision quetzalunit.Revision, stored *quetzalwork.Progress) {
	j := w.Jobs.At(row)
	if revision <= j.StoredRevision {
		return
	}
	j.StoredRevision = revision
	if stored.State.Final() {
		j.Stored = stored.State
		finishJob(w, row, stored.State)
		return
	}
	known := make(map[quetzalwork.TaskRef]bool, len(j.Progress.Done))
	for _, ref := range j.Progress.Done {
		known[ref] = true
	}
	for _, ref := range stored.Done {
		if !known[ref] {
			j.Started = true
			j.Progress.Done = append(j.Progress.Done, ref)
			if task := taskOf(w, row, ref); task != 0 {
				finishTask(w, task)
			}
		}
	}
	for _, f := range stored.Failures {
		j.Started = true
		addFailure(w, row, f)
	}
}

// addFailure counts a failed run of a task, unless it is counted already.
func addFailure(w *quetzalwork.World, row quetzalwork.Row, f quetzalwork.TaskFailure) bool {
	j := w.Jobs.At(row)
	if slices.Contains(j.Progress.Failures, f) {
		return false
	}
	j.Progress.Failures = append(j.Progress.Failures, f)
	if t := w.Tasks.At(taskOf(w, row, f.TaskRef)); t != nil {
		t.Failures++
	}
	return true
}
