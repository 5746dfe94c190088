package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// createLoadedOccurrences creates the due occurrences of the repeating jobs of a pool that has been
// loaded. Before that, it is not known which of them are finished.
func createLoadedOccurrences(w *quetzalwork.World, poolRow quetzalwork.Row) {
	for row, j := range w.Jobs.All() {
		if j.Pool == poolRow && j.Spec != nil && j.Spec.Occurrences > 0 {
			createDueOccurrences(w, row)
		}
	}
}

// createDueOccurrences creates the steps and tasks of the due occurrences of a repeating job, and
// sets a timer for the next occurrence. Occurrences are deferred while the unfinished ones have
// maxJobTasks tasks together.
func createDueOccurrences(w *quetzalwork.World, row quetzalwork.Row) {
	j := w.Jobs.At(row)
	if j == nil || j.Spec == nil || j.State.Final() {
		return
	}
	tasks := tasksPerOccurrence(j.Spec)
	for j.CreatedOccurrences < j.Spec.Occurrences {
		if skipDoneOccurrences(j) {
			continue
		}
		unfinished := quetzalunit.Tasks(j.CreatedOccurrences - j.CompletedOccurrences)
		if unfinished > 0 && unfinished*tasks > maxJobTasks-tasks {
			j.OccurrencesDeferred = true
			return
		}
		due := j.Spec.FirstAt.Add(time.Duration(j.CreatedOccurrences) * j.Spec.Interval).Add(-w.WallClockOffset)
		if due > w.Now {
			w.Timers.Push(due, quetzalwork.OccurrenceDue{Job: row})
			return
		}
		createOccurrence(w, row, j.CreatedOccurrences)
		if j.State.Final() {
			return
		}
	}
	if j.CompletedOccurrences >= j.Spec.Occurrences {
		finishJob(w, row, quetzalwork.JobCompleted)
	}
}

// tasksPerOccurrence returns the number of tasks of each occurrence of a job.
func tasksPerOccurrence(spec *quetzalwork.JobSpec) quetzalunit.Tasks {
	var n quetzalunit.Tasks
	for i := range spec.Steps {
		n += spec.Steps[i].TaskCount
	}
	return n
}

// skipDoneOccurrences counts the next occurrences of a repeating job as created and completed if they are finished. It
// returns false if the next one is not.
func skipDoneOccurrences(j *quetzalwork.Job) bool {
	end, done := j.Progress.DoneOccurrences.EndOf(j.CreatedOccurrences)
	if done {
		j.CompletedOccurrences += end - j.CreatedOccurrences
		j.CreatedOccurrences = end
	}
	return done
}

// createReportedOccurrences creates the occurrences of a repeating job up to one of which a minion reports a run. An
// earlier dispatcher has started it whose wall clock was ahead of that of this process, or that knew of more finished
// occurrences. One that is so far ahead that no dispatcher can have created it does not count.
func createReportedOccurrences(w *quetzalwork.World, row quetzalwork.Row, reported quetzalunit.Occurrence) {
	j := w.Jobs.At(row)
	if j.Spec == nil || reported < j.CreatedOccurrences || reported >= j.Spec.Occurrences {
		return
	}
	if quetzalunit.Tasks(reported-j.CreatedOccurrences) > maxJobTasks/tasksPerOccurrence(j.Spec) {
		return
	}
	for j.CreatedOccurrences <= reported && !j.State.Final() {
		if !skipDoneOccurrences(j) {
			createOccurrence(w, row, j.CreatedOccurrences)
		}
	}
}

// createOccurrence creates the steps and tasks of an occurrence, and marks the tasks done that are
// stored as done.
func createOccurrence(w *quetzalwork.World, row quetzalwork.Row, occurrence quetzalunit.Occurrence) {
	j := w.Jobs.At(row)
	j.CreatedOccurrences = occurrence + 1
	for i := range j.Spec.Steps {
		spec := &j.Spec.Steps[i]
		s := quetzalwork.Step{Job: row, Occurrence: occurrence, Index: quetzalunit.StepIndex(i), Spec: spec, Waiting: spec.TaskCount}
		stepRow := w.Steps.Insert(s)
		w.StepByKey.Put(quetzalwork.StepKey{Job: row, Occurrence: occurrence, Step: s.Index}, stepRow)
		step := w.Steps.At(stepRow)
		step.Tasks = make([]quetzalwork.Row, spec.TaskCount)
		for n := range spec.TaskCount {
			step.Tasks[n] = w.Tasks.Insert(quetzalwork.Task{Step: stepRow, Index: quetzalunit.TaskIndex(n), UnavailableSince: w.Now})
		}
		j.Steps = append(j.Steps, stepRow)
	}
	for _, f := range j.Progress.Failures {
		if f.Occurrence != occurrence {
			continue
		}
		if t := w.Tasks.At(findTask(w, row, f.TaskRef)); t != nil {
			t.Failures++
		}
	}
	for _, c := range j.Progress.Crashes {
		if c.Occurrence == occurrence {
			countCrash(w, row, c.TaskRef)
		}
	}
	for _, ref := range slices.Clone(j.Progress.Done) {
		if ref.Occurrence == occurrence {
			if task := findTask(w, row, ref); task != 0 {
				finishTask(w, task)
			}
		}
	}
	if !failExhaustedJob(w, row) {
		markRunnableSteps(w, row, occurrence)
	}
}

// finishOccurrence counts a finished occurrence and completes the job after the last one.
func finishOccurrence(w *quetzalwork.World, row quetzalwork.Row, occurrence quetzalunit.Occurrence) {
	j := w.Jobs.At(row)
	j.CompletedOccurrences++
	if j.CompletedOccurrences == max(1, j.Spec.Occurrences) {
		finishJob(w, row, quetzalwork.JobCompleted)
		return
	}
	recordDoneOccurrences(j, quetzalwork.OccurrenceRange{First: occurrence, End: occurrence + 1})
	pruneOccurrence(w, row, occurrence)
	if j.OccurrencesDeferred {
		j.OccurrencesDeferred = false
		createDueOccurrences(w, row)
	}
}

// recordDoneOccurrences adds finished occurrences to a job's progress, in the place of what it holds of
// their tasks.
func recordDoneOccurrences(j *quetzalwork.Job, r quetzalwork.OccurrenceRange) {
	p := &j.Progress
	p.DoneOccurrences.Add(r)
	within := func(ref quetzalwork.TaskRef) bool { return r.First <= ref.Occurrence && ref.Occurrence < r.End }
	p.Done = slices.DeleteFunc(p.Done, within)
	ofRun := func(f quetzalwork.TaskFailure) bool { return within(f.TaskRef) }
	p.Failures, p.Crashes = slices.DeleteFunc(p.Failures, ofRun), slices.DeleteFunc(p.Crashes, ofRun)
}

// pruneOccurrence frees the steps of a finished occurrence of a repeating job once none of its runs is
// active.
func pruneOccurrence(w *quetzalwork.World, row quetzalwork.Row, occurrence quetzalunit.Occurrence) {
	j := w.Jobs.At(row)
	if j == nil || j.Spec == nil || j.State.Final() || !j.Progress.DoneOccurrences.Contains(occurrence) {
		return
	}
	var steps []quetzalwork.Row
	for i := range j.Spec.Steps {
		stepRow := w.StepByKey.Get(quetzalwork.StepKey{Job: row, Occurrence: occurrence, Step: quetzalunit.StepIndex(i)})
		if s := w.Steps.At(stepRow); s == nil || hasActiveRuns(w, s) {
			return
		}
		steps = append(steps, stepRow)
	}
	i := slices.Index(j.Steps, steps[0])
	j.Steps = slices.Delete(j.Steps, i, i+len(steps))
	for _, stepRow := range steps {
		deleteStep(w, stepRow)
	}
}
