package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// activateJob sets the objective of a job whose specification has become known, and creates the
// steps and tasks of the occurrences that are due.
func activateJob(w *quetzalwork.World, row quetzalwork.Row) {
	j := w.Jobs.At(row)
	if j.Cancelled {
		j.State = quetzalwork.JobCancelled
		j.Spec = nil
		return
	}
	j.ObjectiveAt = j.FirstSeenAt.Add(objectiveDuration(w, j))
	if p := w.Pools.At(j.Pool); p.JobsLoaded {
		j.Surplus = quetzallimit.CountArrival(w, j)
		addOfferedLoad(w, row)
	}
	switch {
	case j.Spec.Occurrences == 0:
		createOccurrence(w, row, 0)
	case w.Pools.At(j.Pool).JobsLoaded:
		createDueOccurrences(w, row)
	}
}

// objectiveDuration returns the time in which a job should complete, from the estimates of its
// steps: the queue's Stretch times the critical path, plus its TargetDuration.
func objectiveDuration(w *quetzalwork.World, j *quetzalwork.Job) time.Duration {
	q := w.Queues.At(w.QueueByID.Get(j.Queue))
	if q == nil {
		return 0
	}
	return time.Duration(q.Stretch*float64(criticalPath(j.Spec.Steps))) + q.TargetDuration
}

// criticalPath returns the estimated run time of the critical path through steps.
func criticalPath(steps []quetzalwork.StepSpec) time.Duration {
	return slices.Max(criticalPathsFrom(steps, func(i int) time.Duration { return steps[i].Estimate }))
}

// criticalPathsFrom returns, for each step, the run time of the critical path that begins with it.
// runTime returns the run time of a single step. Steps are in topological order: a step's predecessors
// have lower indices.
func criticalPathsFrom(steps []quetzalwork.StepSpec, runTime func(int) time.Duration) []time.Duration {
	paths := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		paths[i] += runTime(i)
		for _, dependency := range steps[i].DependsOn {
			paths[dependency] = max(paths[dependency], paths[i])
		}
	}
	return paths
}

// findTask returns the row of a task of a job, or zero if its steps have not been created, have
// been deleted, or have no such task.
func findTask(w *quetzalwork.World, job quetzalwork.Row, ref quetzalwork.TaskRef) quetzalwork.Row {
	s := w.Steps.At(w.StepByKey.Get(quetzalwork.StepKey{Job: job, Occurrence: ref.Occurrence, Step: ref.Step}))
	if s == nil || ref.Task < 0 || int(ref.Task) >= len(s.Tasks) {
		return 0
	}
	return s.Tasks[ref.Task]
}

// taskRef returns the reference to a task within its job.
func taskRef(w *quetzalwork.World, t *quetzalwork.Task) quetzalwork.TaskRef {
	s := w.Steps.At(t.Step)
	return quetzalwork.TaskRef{Occurrence: s.Occurrence, Step: s.Index, Task: t.Index}
}

// taskName returns the fleet-wide name of a task.
func taskName(w *quetzalwork.World, t *quetzalwork.Task) quetzalwork.TaskID {
	return quetzalwork.TaskID{Job: w.Jobs.At(w.Steps.At(t.Step).Job).ID, TaskRef: taskRef(w, t)}
}

// markRunnableSteps marks the steps of an occurrence as runnable whose predecessors are done, and
// finishes the occurrence once all its steps are done.
func markRunnableSteps(w *quetzalwork.World, row quetzalwork.Row, occurrence quetzalunit.Occurrence) {
	j := w.Jobs.At(row)
	finished := true
	for i := range j.Spec.Steps {
		stepRow := w.StepByKey.Get(quetzalwork.StepKey{Job: row, Occurrence: occurrence, Step: quetzalunit.StepIndex(i)})
		s := w.Steps.At(stepRow)
		if s == nil {
			continue
		}
		finished = finished && s.Done == s.Spec.TaskCount
		if s.Runnable || !predecessorsDone(w, row, s) {
			continue
		}
		s.Runnable, s.RunnableAt = true, w.Now
		enqueueStep(w, stepRow)
	}
	if finished {
		finishOccurrence(w, row, occurrence)
	}
}

// predecessorsDone reports whether every task of the steps that s depends on is done.
func predecessorsDone(w *quetzalwork.World, job quetzalwork.Row, s *quetzalwork.Step) bool {
	for _, dependency := range s.Spec.DependsOn {
		d := w.Steps.At(w.StepByKey.Get(quetzalwork.StepKey{Job: job, Occurrence: s.Occurrence, Step: dependency}))
		if d == nil || d.Done < d.Spec.TaskCount {
			return false
		}
	}
	return true
}

// enqueueStep adds a step to its pool's ready steps if it is runnable and has waiting tasks, and
// requests a placement pass.
func enqueueStep(w *quetzalwork.World, stepRow quetzalwork.Row) {
	s := w.Steps.At(stepRow)
	p := w.Pools.At(w.Jobs.At(s.Job).Pool)
	p.NeedsPlacement = true
	trackWait(p, stepRow, s)
	if !s.Enqueued && s.Runnable && s.Waiting > 0 {
		s.Enqueued = true
		p.ReadySteps = append(p.ReadySteps, stepRow)
	}
}

// finishTask marks a task as done. If it was the last task of its step, the steps that depend
// on that step can become runnable. The caller must stop the runs of the task that have not
// ended.
func finishTask(w *quetzalwork.World, taskRow quetzalwork.Row) {
	t := w.Tasks.At(taskRow)
	if t.State == quetzalwork.TaskDone {
		return
	}
	s := w.Steps.At(t.Step)
	if t.State == quetzalwork.TaskWaiting {
		s.Waiting--
	}
	t.State = quetzalwork.TaskDone
	s.Done++
	if s.Done == s.Spec.TaskCount && s.Runnable {
		markRunnableSteps(w, s.Job, s.Occurrence)
	}
}

// hasActiveRuns reports whether a task of a step has an active run.
func hasActiveRuns(w *quetzalwork.World, s *quetzalwork.Step) bool {
	return slices.ContainsFunc(s.Tasks, func(taskRow quetzalwork.Row) bool { return len(w.Tasks.At(taskRow).Runs) > 0 })
}

// finishJob sets the final state of a job and stops its remaining runs.
func finishJob(w *quetzalwork.World, row quetzalwork.Row, state quetzalwork.JobState) {
	j := w.Jobs.At(row)
	if j.State.Final() {
		return
	}
	j.State = state
	j.Progress.State = state
	if j.Accepted {
		late := j.ObjectiveAt != 0 && w.Now > j.ObjectiveAt
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartJob, Message: "A job reached its final state.", Job: j.ID, Pool: w.Pools.At(j.Pool).ID,
			Age: w.Now.Sub(j.FirstSeenAt), Reason: jobStateName(state), Routine: true,
		})
		w.Emit(quetzalwork.ObserveJob{Queue: j.Queue, State: state, Total: w.Now.Sub(j.FirstSeenAt), Late: late})
	}
	if state != quetzalwork.JobCancelled && j.StoredState != state {
		markProgressChanged(w, row)
	}
	reason := quetzalwork.StopDuplicate
	if state == quetzalwork.JobCancelled {
		reason = quetzalwork.StopCancelled
	}
	for _, stepRow := range j.Steps {
		s := w.Steps.At(stepRow)
		if s == nil {
			continue
		}
		for _, taskRow := range s.Tasks {
			for _, run := range slices.Clone(w.Tasks.At(taskRow).Runs) {
				stopRun(w, run, reason)
			}
		}
	}
	pruneFinishedJob(w, row)
}

// jobStateName returns the name of a state as it appears in the log.
func jobStateName(s quetzalwork.JobState) string {
	return [...]string{"Queued", "Running", "Completed", "Failed", "Cancelled"}[s]
}

// cancelJob applies a stored cancellation. It has no effect once a final state is stored.
func cancelJob(w *quetzalwork.World, row quetzalwork.Row) {
	j := w.Jobs.At(row)
	if j.Cancelled || j.StoredState.Final() {
		return
	}
	j.Cancelled = true
	finishJob(w, row, quetzalwork.JobCancelled)
}

// pruneFinishedJob frees the steps, specification and progress details of a job once its state is
// final and it has no active runs. The job's row stays in the table.
func pruneFinishedJob(w *quetzalwork.World, row quetzalwork.Row) {
	j := w.Jobs.At(row)
	if j == nil || !j.State.Final() {
		return
	}
	for _, stepRow := range j.Steps {
		if hasActiveRuns(w, w.Steps.At(stepRow)) {
			return
		}
	}
	deleteSteps(w, row)
	j.Spec = nil
	j.Progress = quetzalwork.Progress{State: j.Progress.State}
}

// deleteSteps deletes the steps of a job with their tasks and runs.
func deleteSteps(w *quetzalwork.World, row quetzalwork.Row) {
	j := w.Jobs.At(row)
	for _, stepRow := range j.Steps {
		deleteStep(w, stepRow)
	}
	j.Steps = nil
}

// deleteStep deletes a step with its tasks and runs.
func deleteStep(w *quetzalwork.World, row quetzalwork.Row) {
	s := w.Steps.At(row)
	for _, taskRow := range s.Tasks {
		for _, run := range slices.Clone(w.Tasks.At(taskRow).Runs) {
			removeRun(w, run)
		}
		w.Tasks.Delete(taskRow)
	}
	w.StepByKey.Delete(quetzalwork.StepKey{Job: s.Job, Occurrence: s.Occurrence, Step: s.Index})
	w.Steps.Delete(row)
}

// deleteJob deletes a job of a pool that this process no longer dispatches, or one that was cancelled and never accepted.
func deleteJob(w *quetzalwork.World, row quetzalwork.Row) {
	j := w.Jobs.At(row)
	deleteSteps(w, row)
	w.JobByID.Delete(j.ID)
	w.Jobs.Delete(row)
}
