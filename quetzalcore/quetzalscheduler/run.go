package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// taskRetryDelay is the delay before a failed or rejected task may start again.
	taskRetryDelay = 50 * time.Millisecond
	// rejectionBackoff is how long a minion gets no new work after it rejected a run that
	// does not fit, or refused one because it is overloaded or unhealthy.
	rejectionBackoff = 250 * time.Millisecond
	// failureBackoffThreshold is the number of consecutive failures after which a minion gets no
	// new work for a time, its failure backoff.
	failureBackoffThreshold = 3
	// firstFailureBackoff is the length of a minion's first failure backoff; each further one is
	// twice as long.
	firstFailureBackoff = 1500 * time.Millisecond
	// maxFailureBackoffDoublings limits the doubling.
	maxFailureBackoffDoublings = 3
	// maxFailureBackoffShare is the largest share of a pool's minions in failure backoff at once.
	maxFailureBackoffShare = 0.34
)

// startRun sends the order to start a task on a minion and returns the run number. If number is
// zero, the task's next one is used; the tasks of a gang share one number.
func startRun(w *quetzalwork.World, taskRow, minionRow quetzalwork.Row, ticket quetzalunit.Ticket, number quetzalunit.RunNumber) quetzalunit.RunNumber {
	t, m := w.Tasks.At(taskRow), w.Minions.At(minionRow)
	s := w.Steps.At(t.Step)
	j := w.Jobs.At(s.Job)
	p := w.Pools.At(m.PoolRow)
	if number == 0 {
		t.Starts++
		number = p.Token.Run(t.Starts)
	}
	lease := grantLease(w, m)
	if j.Account != "" {
		quetzallimit.ChargeStart(w, j, equivalentCores(needsOf(s.Spec), m.Capacity), expectedRunTime(p, j.Queue, s))
	}
	row := addRun(w, taskRow, minionRow, quetzalwork.Run{
		Number: number, State: quetzalwork.RunStarting, StartedAt: w.Now, OrderedAt: w.Now, OrdersInFlight: 1, StartToken: orderToken(w, m), StartDeadline: lease, Pace: 100,
	})
	t.IsolationDeadline = 0
	if m.ReservedFor == t.Step {
		m.ReservedFor = 0
	}
	if t.Suspect && !s.Spec.Gang && mayIsolate(w, p, t) {
		m.IsolatedRun = row
	}
	w.Emit(startOrder(w, row, ticket))
	p.LastStartAt = w.Now
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartPlacement, Message: "A task is placed.", Job: j.ID, Task: taskRef(w, t), Run: number, Minion: m.ID,
		Pool: p.ID, Version: int64(p.Token), Age: w.Now.Sub(s.RunnableAt), Reason: t.LossReason, Routine: true,
	})
	schedulePoll(w, minionRow, 0)
	return number
}

// startOrder returns the order to start a run.
func startOrder(w *quetzalwork.World, row quetzalwork.Row, ticket quetzalunit.Ticket) quetzalwork.StartRun {
	r := w.Runs.At(row)
	t := w.Tasks.At(r.Task)
	return quetzalwork.StartRun{
		Run: row, Target: targetOf(w, w.Minions.At(r.Minion)), Task: taskName(w, t), Number: r.Number, Payload: w.Jobs.At(w.Steps.At(t.Step).Job).Spec.Payload,
		LeaseEnd: r.StartDeadline, Checkpoint: t.Checkpoint, Ticket: ticket, DecidedAt: w.Now, ListedAt: w.MinionList.ReadSentAt, ValidUntil: startDeadline(w),
	}
}

// mayStart reports whether a task has a run number left. Otherwise it requests the release of the
// pool's duty, since a new term has new run numbers.
func mayStart(p *quetzalwork.Pool, t *quetzalwork.Task) bool {
	if t.Starts < quetzalunit.MaxStarts {
		return true
	}
	p.RunNumbersExhausted = true
	return false
}

// needsOf returns the resources that a task of a step reserves. A best-effort task reserves no
// cores, because it uses those that others leave idle.
func needsOf(spec *quetzalwork.StepSpec) quetzalunit.Resources {
	needs := spec.Resources
	if spec.BestEffort {
		needs.Cores = 0
	}
	return needs
}

// addRun inserts an active run of a task and reserves its resources on the minion.
func addRun(w *quetzalwork.World, taskRow, minionRow quetzalwork.Row, r quetzalwork.Run) quetzalwork.Row {
	t, m := w.Tasks.At(taskRow), w.Minions.At(minionRow)
	s := w.Steps.At(t.Step)
	r.Task, r.Minion, r.Resources, r.ChangedAt = taskRow, minionRow, needsOf(s.Spec), w.Now
	r.Adopted = r.Number.Token() != w.Pools.At(m.PoolRow).Token
	quetzallimit.AddUse(w, w.Jobs.At(s.Job), s.Spec.Resources, r.Adopted)
	if r.State == quetzalwork.RunStarting {
		w.StartsInProgress++
	}
	row := w.Runs.Insert(r)
	w.RunByKey.Put(quetzalwork.RunKey{Task: taskRow, Number: r.Number}, row)
	if t.State == quetzalwork.TaskWaiting {
		s.Waiting--
		t.State = quetzalwork.TaskActive
	}
	t.Runs = append(t.Runs, row)
	m.Runs = append(m.Runs, row)
	m.Used = m.Used.Plus(r.Resources)
	if s.Spec.MaxPerMinion > 0 {
		if s.RunsPerMinion == nil {
			s.RunsPerMinion = make(map[quetzalwork.Row]quetzalunit.Tasks)
		}
		s.RunsPerMinion[minionRow]++
	}
	return row
}

// removeRun removes a run from the tables. Its task waits again unless it is done or has another
// run.
func removeRun(w *quetzalwork.World, row quetzalwork.Row) {
	r := w.Runs.At(row)
	t := w.Tasks.At(r.Task)
	s := w.Steps.At(t.Step)
	quetzallimit.RemoveUse(w, w.Jobs.At(s.Job), s.Spec.Resources, r.Adopted)
	if r.State == quetzalwork.RunStarted {
		t.LastRunEndedAt = w.Now
	}
	isRow := func(x quetzalwork.Row) bool { return x == row }
	t.Runs = slices.DeleteFunc(t.Runs, isRow)
	if m := w.Minions.At(r.Minion); m != nil {
		m.Runs = slices.DeleteFunc(m.Runs, isRow)
		m.Used = m.Used.Minus(r.Resources)
		m.IdleSince = w.Now
		if m.IsolatedRun == row {
			m.IsolatedRun = 0
		}
		w.Pools.At(m.PoolRow).NeedsPlacement = true
	}
	if s.Spec.MaxPerMinion > 0 {
		s.RunsPerMinion[r.Minion]--
	}
	w.RunByKey.Delete(quetzalwork.RunKey{Task: r.Task, Number: r.Number})
	if r.State == quetzalwork.RunStarting {
		w.StartsInProgress--
	}
	w.Runs.Delete(row)
	if t.State == quetzalwork.TaskActive && len(t.Runs) == 0 {
		t.State = quetzalwork.TaskWaiting
		t.UnavailableSince = w.Now
		s.Waiting++
		enqueueStep(w, t.Step)
	}
}

// endRun removes a run that ended without a result, and keeps its checkpoint. Results and
// failures are recorded in the job's progress by completeTask and failTask. proof is nil if the minion has reported the end.
func endRun(w *quetzalwork.World, row quetzalwork.Row, outcome quetzalwork.RunOutcome, checkpoint quetzalunit.Checkpoint, reason string, proof *quetzalwork.Proof) {
	r := w.Runs.At(row)
	t := w.Tasks.At(r.Task)
	s := w.Steps.At(t.Step)
	job, occurrence := s.Job, s.Occurrence
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	t.LostRun, t.LossReason = r.Number, reason+outcomeName(outcome)
	// A run that is given up while its end may be among those that are still to be applied may start again beside it.
	endPending := outcome == quetzalwork.OutcomeLapsed && w.Minions.At(r.Minion).EndsPending
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "A run ended without a result.", Job: w.Jobs.At(job).ID, Task: taskRef(w, t), Run: r.Number,
		Minion: w.Minions.At(r.Minion).ID, Age: w.Now.Sub(r.StartedAt), Reason: t.LossReason, Proof: proof, Routine: !endPending,
	})
	removeRun(w, row)
	pruneOccurrence(w, job, occurrence)
	pruneFinishedJob(w, job)
}

func outcomeName(o quetzalwork.RunOutcome) string {
	return [...]string{"Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone"}[o]
}

// handleReportedEnd applies the end of a run that a minion reports. It returns false, and neither
// applies nor acknowledges the end, if the job is unknown and may still become known.
func handleReportedEnd(w *quetzalwork.World, minionRow quetzalwork.Row, e *quetzalwork.ReportedEnd) bool {
	m := w.Minions.At(minionRow)
	jobRow := w.JobByID.Get(e.Task.Job)
	j := w.Jobs.At(jobRow)
	if !isKnown(j) && !staysUnknown(w, m, e.Task.Job) {
		return false
	}
	unacked := quetzalwork.UnackedEnd{ReportedEnd: *e, Unrecorded: "UnknownJob"}
	if j != nil {
		unacked.Unrecorded = applyEnd(w, minionRow, jobRow, e)
		if e.Outcome == quetzalwork.OutcomeDone || e.Outcome == quetzalwork.OutcomeFailed {
			unacked.Job, unacked.Changes = jobRow, j.ProgressChanges
		}
	}
	m.Ends.Append(unacked)
	return true
}

// applyEnd applies the end of a run of a known job. It returns why the job's progress does not record the end,
// "" if it does.
func applyEnd(w *quetzalwork.World, minionRow, jobRow quetzalwork.Row, e *quetzalwork.ReportedEnd) string {
	createReportedOccurrences(w, jobRow, e.Task.Occurrence)
	taskRow := findTask(w, jobRow, e.Task.TaskRef)
	if taskRow == 0 {
		return unknownTaskReason(w.Jobs.At(jobRow), e)
	}
	runRow := w.RunByKey.Get(quetzalwork.RunKey{Task: taskRow, Number: e.Run})
	forgetUnansweredStart(w.Minions.At(minionRow), e.Task, e.Run)
	if r := w.Runs.At(runRow); r != nil && r.State != quetzalwork.RunStarted {
		noteOtherOrder(w, r, true)
	}
	switch e.Outcome {
	case quetzalwork.OutcomeDone:
		logSuperfluousRun(w, minionRow, taskRow, e)
		recordRunTime(w, minionRow, runRow)
		completeTask(w, jobRow, taskRow, runRow, e)
	case quetzalwork.OutcomeFailed:
		failTask(w, minionRow, jobRow, taskRow, e)
		if r := w.Runs.At(runRow); r != nil {
			endRun(w, runRow, e.Outcome, e.Checkpoint, "", nil)
		}
	default:
		if r := w.Runs.At(runRow); r != nil {
			endRun(w, runRow, e.Outcome, e.Checkpoint, "", nil)
		} else if e.Checkpoint != "" && len(w.Tasks.At(taskRow).Runs) == 0 {
			w.Tasks.At(taskRow).Checkpoint = e.Checkpoint
		}
	}
	return ""
}

// unknownTaskReason returns why a job has no task for a reported end. Those of finished jobs and occurrences are freed.
func unknownTaskReason(j *quetzalwork.Job, e *quetzalwork.ReportedEnd) string {
	switch {
	case j.State.Final():
		return jobStateName(j.State)
	case j.Progress.DoneOccurrences.Contains(e.Task.Occurrence):
		return "" // recorded with its occurrence
	default:
		return "UnknownTask"
	}
}

// logSuperfluousRun logs a run that has ended as done beside or after another one that this process has started
// because it no longer counted the first.
func logSuperfluousRun(w *quetzalwork.World, minionRow, taskRow quetzalwork.Row, e *quetzalwork.ReportedEnd) {
	t := w.Tasks.At(taskRow)
	s := w.Steps.At(t.Step)
	other := t.DoneBy
	if len(t.Runs) > 0 {
		other = w.Runs.At(t.Runs[0]).Number
	}
	d := quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "A run that no longer counted has ended as done.", Job: e.Task.Job, Task: e.Task.TaskRef, Run: e.Run,
		Minion: w.Minions.At(minionRow).ID, Pool: w.Minions.At(minionRow).Pool, Version: int64(other), Reason: t.LossReason,
	}
	switch {
	case w.RunByKey.Get(quetzalwork.RunKey{Task: taskRow, Number: e.Run}) != 0 || s.Spec.Speculative || s.Spec.Gang:
		return
	case t.LostRun == e.Run:
	case len(t.Runs) > 0:
		d.Reason = "OtherRun"
	case t.DoneBy != 0 && t.DoneBy != e.Run:
		d.Reason = "DoneBefore"
	default:
		return
	}
	w.Log(d)
}

// completeTask marks a task as done, or every task of a gang. It stops the task's other runs,
// unless it belongs to a gang.
func completeTask(w *quetzalwork.World, jobRow, taskRow, runRow quetzalwork.Row, e *quetzalwork.ReportedEnd) {
	j, t := w.Jobs.At(jobRow), w.Tasks.At(taskRow)
	s := w.Steps.At(t.Step)
	j.Started = true
	t.DoneBy = e.Run
	done := []quetzalwork.Row{taskRow}
	if s.Spec.Gang {
		done = slices.Clone(s.Tasks)
	}
	if w.Runs.At(runRow) != nil {
		removeRun(w, runRow)
	}
	changed := false
	var others []quetzalwork.Row
	for _, row := range done {
		d := w.Tasks.At(row)
		others = append(others, d.Runs...)
		if d.State != quetzalwork.TaskDone {
			changed = true
			j.Progress.Done = append(j.Progress.Done, taskRef(w, d))
		}
	}
	if !s.Spec.Gang {
		for _, row := range others {
			stopRun(w, row, quetzalwork.StopDuplicate)
		}
	}
	if changed {
		markProgressChanged(w, jobRow)
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "A task is done.", Job: j.ID, Task: e.Task.TaskRef, Run: e.Run, Reason: "Done", Routine: true,
	})
	for _, row := range done {
		if w.Tasks.At(row) != nil {
			finishTask(w, row)
		}
	}
	pruneOccurrence(w, jobRow, e.Task.Occurrence)
	pruneFinishedJob(w, jobRow)
}

// failTask counts a failed run, and fails the job when the task has used up the attempts that
// the queue allows. A long-running task is started again without a limit. Only the first
// failure of a task counts as a failure of the minion.
func failTask(w *quetzalwork.World, minionRow, jobRow, taskRow quetzalwork.Row, e *quetzalwork.ReportedEnd) {
	j, t := w.Jobs.At(jobRow), w.Tasks.At(taskRow)
	s := w.Steps.At(t.Step)
	j.Started = true
	if t.State == quetzalwork.TaskDone || j.State.Final() {
		return
	}
	t.AvoidMinion, t.NotBefore = minionRow, max(t.NotBefore, w.Now.Add(taskRetryDelay))
	if s.Spec.LongRunning {
		t.Failures++
	} else if !recordFailure(w, jobRow, quetzalwork.TaskFailure{TaskRef: e.Task.TaskRef, Run: e.Run}) {
		return
	}
	if t.Failures == 1 {
		countMinionFailure(w, minionRow)
	}
	w.Log(quetzalwork.Decision{
		Part: quetzalwork.PartMinion, Message: "A run has failed.", Job: j.ID, Task: e.Task.TaskRef, Run: e.Run,
		Minion: w.Minions.At(minionRow).ID, Version: int64(t.Failures), Reason: outcomeName(e.Outcome),
	})
	if s.Spec.LongRunning {
		return
	}
	markProgressChanged(w, jobRow)
	failExhaustedJob(w, jobRow)
}

// failExhaustedJob fails a job if the recorded failures of a task use up the attempts that the queue allows, whichever
// dispatchers have recorded them. It returns whether it does.
func failExhaustedJob(w *quetzalwork.World, row quetzalwork.Row) bool {
	j := w.Jobs.At(row)
	q := w.Queues.At(w.QueueByID.Get(j.Queue))
	if j.State.Final() || q == nil || q.MaxAttempts <= 0 {
		return false
	}
	exhausted := slices.ContainsFunc(j.Progress.Failures, func(f quetzalwork.TaskFailure) bool {
		t := w.Tasks.At(findTask(w, row, f.TaskRef))
		return t != nil && t.State != quetzalwork.TaskDone && t.Failures >= q.MaxAttempts
	})
	if exhausted {
		finishJob(w, row, quetzalwork.JobFailed)
	}
	return exhausted
}

// countMinionFailure counts a failure on a minion. After several in a row the minion gets no
// new work for a while, unless too many minions of the pool are in failure backoff already.
func countMinionFailure(w *quetzalwork.World, row quetzalwork.Row) {
	m := w.Minions.At(row)
	m.ConsecutiveFailures++
	if m.ConsecutiveFailures < failureBackoffThreshold || w.Now < m.FailureBackoffUntil {
		return
	}
	p := w.Pools.At(m.PoolRow)
	inBackoff := 1
	for _, other := range p.Minions {
		if w.Now < w.Minions.At(other).FailureBackoffUntil {
			inBackoff++
		}
	}
	if float64(inBackoff) > maxFailureBackoffShare*float64(len(p.Minions)) {
		return
	}
	backoff := firstFailureBackoff << min(m.FailureBackoffs, maxFailureBackoffDoublings)
	m.FailureBackoffs++
	m.ConsecutiveFailures = failureBackoffThreshold - 1
	m.FailureBackoffUntil = w.Now.Add(backoff)
	w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "The minion gets no new work for a while.", Minion: m.ID, Pool: m.Pool, Age: backoff, Reason: "Failures"})
	w.Timers.Push(m.FailureBackoffUntil, quetzalwork.PlacementDue{Pool: m.PoolRow})
}

// applyReportedRun applies an active run that a minion reports. It returns the run's row, zero
// when the job is unknown or no task needs the run.
func applyReportedRun(w *quetzalwork.World, minionRow quetzalwork.Row, reported *quetzalwork.ReportedRun) quetzalwork.Row {
	m := w.Minions.At(minionRow)
	jobRow := w.JobByID.Get(reported.Task.Job)
	j := w.Jobs.At(jobRow)
	if !isKnown(j) {
		if staysUnknown(w, m, reported.Task.Job) {
			stopUnknownRun(w, m, reported)
		}
		return 0
	}
	createReportedOccurrences(w, jobRow, reported.Task.Occurrence)
	taskRow := findTask(w, jobRow, reported.Task.TaskRef)
	if taskRow == 0 || w.Tasks.At(taskRow).State == quetzalwork.TaskDone && w.RunByKey.Get(quetzalwork.RunKey{Task: taskRow, Number: reported.Number}) == 0 {
		stopUnknownRun(w, m, reported)
		return 0
	}
	row := w.RunByKey.Get(quetzalwork.RunKey{Task: taskRow, Number: reported.Number})
	if row == 0 {
		t := w.Tasks.At(taskRow)
		if !mayAdopt(w, t) {
			stopUnknownRun(w, m, reported)
			return 0
		}
		others := slices.Clone(t.Runs)
		row = addRun(w, taskRow, minionRow, quetzalwork.Run{
			Number: reported.Number, StartedAt: w.Now, Pace: 100,
		})
		w.Log(quetzalwork.Decision{Part: quetzalwork.PartMinion, Message: "A run that an earlier dispatcher started continues.", Job: j.ID, Task: reported.Task.TaskRef, Run: reported.Number, Minion: m.ID, Routine: true})
		if !w.Steps.At(t.Step).Spec.Speculative {
			for _, other := range others {
				stopRun(w, other, quetzalwork.StopDuplicate)
			}
		}
	}
	updateRun(w, row, reported)
	if j.State.Final() {
		stopRun(w, row, quetzalwork.StopCancelled)
	}
	return row
}

// mayAdopt reports whether a reported run of a task that is not in the tables is to continue. It is stopped if the task has
// another run, unless that has not been shown to run: once that has ended, the task would start again beside the reported one.
func mayAdopt(w *quetzalwork.World, t *quetzalwork.Task) bool {
	s := w.Steps.At(t.Step)
	if s.Spec.Speculative || len(t.Runs) == 0 {
		return true
	}
	counts := func(row quetzalwork.Row) bool { return w.Runs.At(row).State != quetzalwork.RunStartUnanswered }
	return !s.Spec.Gang && !slices.ContainsFunc(t.Runs, counts)
}

func updateRun(w *quetzalwork.World, row quetzalwork.Row, reported *quetzalwork.ReportedRun) {
	r := w.Runs.At(row)
	t := w.Tasks.At(r.Task)
	s := w.Steps.At(t.Step)
	w.Jobs.At(s.Job).Started = true
	if r.State != quetzalwork.RunStarted {
		forgetUnansweredStart(w.Minions.At(r.Minion), reported.Task, r.Number)
		noteOtherOrder(w, r, true)
		r.AnsweredAt = w.Now
		markRunStarted(w, r)
	}
	r.Reported = true
	if w.Now.Sub(r.StartedAt) >= crashWindow {
		markStartSurvived(w, row)
	}
	if reported.Percent != r.Percent {
		r.Percent, r.ChangedAt = reported.Percent, w.Now
	}
	r.Measurement = reported.Measurement
	if reported.Checkpoint != "" {
		t.Checkpoint = reported.Checkpoint
	}
	if s.Spec.Gang {
		s.GangRunNumber = r.Number
	}
}
