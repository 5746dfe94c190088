package quetzalscheduler

import (
	"fmt"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// maxProgressBatch is the maximum number of jobs in one transaction. The store accepts at most
	// 100 entries, of which one is the condition on the duty, and a job needs up to three: the condition
	// and the value of its progress row, and its row without the specification once the job has ended.
	maxProgressBatch = 33
	// progressInterval is the delay after a transaction of a pool, in which further ends of runs
	// collect for the next one.
	progressInterval = 25 * time.Millisecond
	// progressRetryDelay is the delay before a retry after a failed transaction.
	progressRetryDelay = 80 * time.Millisecond
	// maxProgressRejections is the number of rejections in a row of a job's progress after which the job
	// is given up. One may have a passing cause.
	maxProgressRejections = 3
)

// markProgressChanged marks a job's progress as changed, so that storeProgress writes it.
func markProgressChanged(w *quetzalwork.World, row quetzalwork.Row) {
	j := w.Jobs.At(row)
	j.ProgressChanges++
	w.Pools.At(j.Pool).Shards[quetzalwork.ShardOf(j.ID)].ChangedJobs.Add(row)
}

// storeProgress starts the transactions that store the progress of changed jobs, at most one
// at a time per shard.
func storeProgress(w *quetzalwork.World) {
	for poolRow, p := range w.Pools.All() {
		if !p.Held || !p.JobsLoaded {
			continue
		}
		for i := range p.Shards {
			shard := &p.Shards[i]
			if shard.StoreProgressInFlight || shard.ChangedJobs.Len() == 0 {
				continue
			}
			if w.Now < shard.StoreProgressNotBefore {
				w.Timers.Push(shard.StoreProgressNotBefore, quetzalwork.StoreProgressDue{Pool: poolRow})
				continue
			}
			storeShardProgress(w, p, quetzalunit.Shard(i))
		}
	}
}

// progressStored reports whether the progress of all jobs of a pool is stored.
func progressStored(p *quetzalwork.Pool) bool {
	for i := range p.Shards {
		if shard := &p.Shards[i]; shard.StoreProgressInFlight || shard.ChangedJobs.Len() > 0 {
			return false
		}
	}
	return true
}

// storeShardProgress starts a transaction with the progress of up to maxProgressBatch changed jobs
// of a shard.
func storeShardProgress(w *quetzalwork.World, p *quetzalwork.Pool, i quetzalunit.Shard) {
	shard := &p.Shards[i]
	c := quetzalwork.StoreProgress{Pool: p.ID, Shard: i, Token: p.Token}
	full := false
	for _, row := range shard.ChangedJobs.Take() {
		j := w.Jobs.At(row)
		switch {
		case j == nil || j.ProgressChanges <= j.StoredChanges:
		case full || len(c.Rows) == maxProgressBatch || j.StoredAlone && len(c.Rows) > 0:
			shard.ChangedJobs.Add(row)
		default:
			full = j.StoredAlone
			j.StoringChanges, j.StoringState = j.ProgressChanges, j.Progress.State
			c.Jobs = append(c.Jobs, row)
			c.Rows = append(c.Rows, progressRow(w, row))
			if j.Progress.State.Final() {
				c.EndedJobs = append(c.EndedJobs, quetzalwork.JobRow{Job: j.ID, Content: quetzalwork.AcceptedJob{Queue: j.Queue, DutyRevision: j.DutyRevision}})
			}
		}
	}
	if len(c.Rows) > 0 {
		shard.StoreProgressInFlight = true
		w.Emit(c)
	}
}

// progressRow returns the progress row to store. The row of a job in a final state has no lists. That
// of another job leaves out the failures and crashes of tasks that are done.
func progressRow(w *quetzalwork.World, row quetzalwork.Row) quetzalwork.JobRow {
	j := w.Jobs.At(row)
	progress := quetzalwork.Progress{State: j.Progress.State}
	if !progress.State.Final() {
		progress.State = quetzalwork.JobRunning
		progress.DoneOccurrences = slices.Clone(j.Progress.DoneOccurrences)
		progress.Done = slices.Clone(j.Progress.Done)
		progress.Failures = runsOfOpenTasks(w, row, j.Progress.Failures)
		progress.Crashes = runsOfOpenTasks(w, row, j.Progress.Crashes)
	}
	return quetzalwork.JobRow{Job: j.ID, Revision: j.ProgressRevision, Content: quetzalwork.JobProgress{Progress: progress}}
}

// runsOfOpenTasks returns those runs whose task is not known to be done.
func runsOfOpenTasks(w *quetzalwork.World, job quetzalwork.Row, runs []quetzalwork.TaskFailure) []quetzalwork.TaskFailure {
	var open []quetzalwork.TaskFailure
	for _, f := range runs {
		if t := w.Tasks.At(findTask(w, job, f.TaskRef)); t == nil || t.State != quetzalwork.TaskDone {
			open = append(open, f)
		}
	}
	return open
}

// handleProgressStored applies the result of a StoreProgress transaction. Unless it succeeded,
// the jobs are marked as changed again.
func handleProgressStored(w *quetzalwork.World, in *quetzalwork.ProgressStored) {
	poolRow := poolRow(w, in.Pool)
	p := w.Pools.At(poolRow)
	if !p.Held || p.Token != in.Token {
		// The transaction was sent under an earlier duty of this process for the pool.
		return
	}
	if in.CurrentDuty != nil {
		if applyDutyRow(w, in.Pool, *in.CurrentDuty); !p.Held || p.Token != in.Token {
			return
		}
	}
	shard := &p.Shards[in.Shard]
	shard.StoreProgressInFlight = false
	if in.Result == quetzalwork.StoreDone {
		shard.StoreProgressNotBefore = w.Now.Add(progressInterval)
		p.StoredRevision, p.StoredAt = max(p.StoredRevision, in.Revision), w.Now
		for _, row := range in.Jobs {
			if j := w.Jobs.At(row); j != nil {
				recordStoredProgress(j, in.Revision)
			}
		}
		ackEnds(w, p)
		return
	}
	if in.Result == quetzalwork.StoreRejected {
		handleRejectedProgress(w, in.Jobs)
	}
	// A transaction without an answer may have been executed. The next one then fails with a
	// conflict, and the newer rows that the conflict returns are merged.
	shard.StoreProgressNotBefore = w.Now.Add(progressRetryDelay)
	if in.Result == quetzalwork.StoreConflict {
		if in.CurrentDuty == nil {
			shard.StoreProgressNotBefore = w.Now
		}
		mergeConflictRows(w, poolRow, in.CurrentRows)
	}
	for _, row := range in.Jobs {
		if j := w.Jobs.At(row); j != nil && j.ProgressChanges > j.StoredChanges {
			shard.ChangedJobs.Add(row)
		}
	}
	ackEnds(w, p)
}

// handleRejectedProgress handles the rejection of a transaction because of its contents. The jobs are
// stored one by one from then on, so that one that cannot be stored does not hold up the others. A job
// that cannot be stored by itself is given up: its progress would be lost with this process, and the ends
// of its runs, which are not acknowledged before, hold up those of all other jobs on the same minions.
func handleRejectedProgress(w *quetzalwork.World, jobs []quetzalwork.Row) {
	for _, row := range jobs {
		j := w.Jobs.At(row)
		if j == nil {
			continue
		}
		j.StoredAlone = true
		if len(jobs) > 1 {
			continue
		}
		j.Rejections++
		if j.Rejections == maxProgressRejections && !j.State.Final() {
			w.Log(quetzalwork.Decision{Part: quetzalwork.PartJob, Message: "The store rejects the progress of a job; the job is given up.", Job: j.ID, Pool: w.Pools.At(j.Pool).ID, Reason: "ProgressRejected"})
			finishJob(w, row, quetzalwork.JobFailed)
		}
	}
}

// recordStoredProgress records that the progress of a job is stored up to the changes that the
// transaction included.
func recordStoredProgress(j *quetzalwork.Job, revision quetzalunit.Revision) {
	j.ProgressRevision = max(j.ProgressRevision, revision)
	j.StoredChanges = max(j.StoredChanges, j.StoringChanges)
	j.StoredAlone, j.Rejections = false, 0
	if j.StoringState.Final() {
		j.StoredState = j.StoringState
	}
}

// mergeConflictRows merges the stored rows that a conflict returned. Progress that the rows lack
// is stored by the next transaction.
func mergeConflictRows(w *quetzalwork.World, poolRow quetzalwork.Row, rows []quetzalwork.JobRow) {
	for i := range rows {
		row := w.JobByID.Get(rows[i].Job)
		j := w.Jobs.At(row)
		progress, ok := rows[i].Content.(quetzalwork.JobProgress)
		if j == nil || !ok || j.Pool != poolRow {
			continue
		}
		mergeProgress(w, row, rows[i].Revision, &progress.Progress)
		if j.StoredState.Final() {
			j.StoredChanges = j.ProgressChanges
		}
	}
}

// ackEnds acknowledges, for each minion of a pool, the ends of runs whose progress is stored.
// Ends are acknowledged in order of their numbers, up to the first that is not stored yet. The
// acknowledgement goes out with the next poll of the minion.
func ackEnds(w *quetzalwork.World, p *quetzalwork.Pool) {
	for _, row := range p.Minions {
		m := w.Minions.At(row)
		if m == nil || len(m.Ends.Open()) == 0 {
			continue
		}
		if !ackDue(m) {
			m.AckDueSince = w.Now
		}
		before := m.Ends.SettledThrough()
		m.Ends.Settle(func(e *quetzalwork.UnackedEnd) bool {
			if !canAcknowledge(w, e) {
				return false
			}
			logAcknowledgement(w, m, e)
			return true
		})
		if open := m.Ends.Open(); len(open) > 0 && open[0].Job != 0 && w.Jobs.At(open[0].Job) == nil {
			discardOpenEnds(w, m, "UnknownJob")
			schedulePoll(w, row, 0)
			continue
		}
		if m.Ends.SettledThrough() > before {
			schedulePoll(w, row, 0)
			beginAck(w, row)
		}
	}
}

// discardOpenEnds discards the ends that must not be acknowledged yet of a minion that is taken for gone, or whose job is no
// longer known. If it reports them again, they count as new.
func discardOpenEnds(w *quetzalwork.World, m *quetzalwork.Minion, reason string) {
	open := m.Ends.Open()
	if len(open) == 0 {
		return
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "Ends of the minion that are not acknowledged are discarded.", Minion: m.ID, Pool: m.Pool, Version: int64(m.Ends.SeenThrough()),
		Age: ageOf(w, m.LastAnsweredAt), Reason: fmt.Sprintf("%sEnds%dFrom%dThrough%d", reason, len(open), open[0].Number, m.Ends.SeenThrough()),
	})
	m.Ends.Discard()
}

// canAcknowledge reports whether an end may be acknowledged: the job's progress is stored up to
// that end or no longer needed because the job's cancellation is stored, or the end concerns no job.
func canAcknowledge(w *quetzalwork.World, e *quetzalwork.UnackedEnd) bool {
	if e.Job == 0 {
		return true
	}
	j := w.Jobs.At(e.Job)
	return j != nil && (j.Cancelled || j.StoredChanges >= e.Changes)
}

// logAcknowledgement logs where the end of a run that is done is recorded as it is acknowledged, or why it is
// acknowledged without that.
func logAcknowledgement(w *quetzalwork.World, m *quetzalwork.Minion, e *quetzalwork.UnackedEnd) {
	if e.Outcome != quetzalwork.OutcomeDone {
		return
	}
	d := quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "The end of a run is acknowledged.", Job: e.Task.Job, Task: e.Task.TaskRef, Run: e.Run, Minion: m.ID,
		Pool: m.Pool, Version: int64(e.Number), Reason: e.Unrecorded,
	}
	j := w.Jobs.At(e.Job)
	switch {
	case d.Reason != "":
	case j.Cancelled:
		d.Reason = jobStateName(quetzalwork.JobCancelled)
	default:
		d.Reason, d.Version = "Stored", int64(j.ProgressRevision)
	}
	d.Routine = j != nil && (j.State.Final() || e.Unrecorded == "")
	w.Log(d)
}
