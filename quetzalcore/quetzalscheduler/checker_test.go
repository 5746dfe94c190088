package quetzalscheduler_test

import (
	"fmt"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// checker checks the guarantees of the scheduler whenever a minion starts or ends a run.
type checker struct {
	f     *fleet
	specs map[quetzalunit.JobID]*quetzalwork.JobSpec
	// records lists the runs of each task in the order of their starts.
	records map[quetzalwork.TaskID][]*runRecord
	// accepted and refused are the jobs whose callers received that answer.
	accepted, refused map[quetzalunit.JobID]bool
	// violations describes the violations found so far.
	violations []string
}

// runRecord is a run that a minion started.
type runRecord struct {
	task      quetzalwork.TaskID
	run       quetzalunit.RunNumber
	minion    quetzalunit.MinionID
	startedAt quetzalunit.Instant
	endedAt   quetzalunit.Instant
	over      bool
	end       quetzalwork.RunOutcome
	number    quetzalunit.EndNumber
	// acknowledged is true if the dispatcher acknowledged the end and lapsed was false then.
	acknowledged bool
	// leaseExpired is true if the minion's lease expired after the run had ended.
	leaseExpired bool
}

// submitted records a job that is sent to an entry.
func (j *checker) submitted(id quetzalunit.JobID, spec *quetzalwork.JobSpec) {
	if j.specs == nil {
		j.specs = make(map[quetzalunit.JobID]*quetzalwork.JobSpec)
		j.records = make(map[quetzalwork.TaskID][]*runRecord)
		j.accepted = make(map[quetzalunit.JobID]bool)
		j.refused = make(map[quetzalunit.JobID]bool)
	}
	j.specs[id] = spec
}

// step returns the specification of a task's step.
func (j *checker) step(t quetzalwork.TaskID) *quetzalwork.StepSpec {
	return &j.specs[t.Job].Steps[t.Step]
}

// violationf records a violation.
func (j *checker) violationf(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf("%v: ", j.f.now)+fmt.Sprintf(format, args...))
}

// answered records the answer to a caller.
func (j *checker) answered(id quetzalunit.JobID, a quetzalwork.Answer) {
	switch a.(type) {
	case quetzalwork.JobAccepted:
		j.accepted[id] = true
	case quetzalwork.JobRefused:
		j.refused[id] = true
	default:
	}
}

// started records the start of a run and checks it: no other run of the task may be active (unless
// it is speculative) or acknowledged as done, the task must have attempts left, and the steps
// before it must be done.
func (j *checker) started(t quetzalwork.TaskID, run quetzalunit.RunNumber, m quetzalunit.MinionID) *runRecord {
	r := &runRecord{task: t, run: run, minion: m, startedAt: j.f.now}
	failed := 0
	for _, other := range j.records[t] {
		if !other.over && !j.step(t).Speculative {
			j.violationf("TWICE: %v run %d on %s beside run %d on %s", t, run, m, other.run, other.minion)
		}
		if other.over && other.end == quetzalwork.OutcomeDone && other.acknowledged {
			j.violationf("TWICE: %v run %d on %s after run %d was done and noted", t, run, m, other.run)
		}
		if other.over && other.end == quetzalwork.OutcomeFailed {
			failed++
		}
	}
	if failed >= 3 {
		j.violationf("BUDGET: %v run %d after %d failures", t, run, failed)
	}
	for _, before := range j.step(t).DependsOn {
		for n := range j.specs[t.Job].Steps[before].TaskCount {
			if !j.isDone(quetzalwork.TaskID{Job: t.Job, TaskRef: quetzalwork.TaskRef{Step: before, Task: quetzalunit.TaskIndex(n)}}) {
				j.violationf("ORDER: %v before step %d is done", t, before)
			}
		}
	}
	j.records[t] = append(j.records[t], r)
	return r
}

// isDone reports whether a run of a task has ended as done.
func (j *checker) isDone(t quetzalwork.TaskID) bool {
	for _, r := range j.records[t] {
		if r.over && r.end == quetzalwork.OutcomeDone {
			return true
		}
	}
	return false
}

// ended records the end of a run. gone is not empty if the run ended because its minion died.
func (j *checker) ended(r *runRecord, gone string) {
	r.over, r.endedAt = true, j.f.now
	if gone != "" {
		r.end = quetzalwork.OutcomeLapsed
	}
}

// leaseExpired records that the lease of a minion has expired.
func (j *checker) leaseExpired(m quetzalunit.MinionID) {
	for _, records := range j.records {
		for _, r := range records {
			r.leaseExpired = r.leaseExpired || r.minion == m && r.over
		}
	}
}

// acknowledged records that the end of a run was acknowledged, and checks that the task was not started
// again after that run had ended.
func (j *checker) acknowledged(m quetzalunit.MinionID, n quetzalunit.EndNumber) {
	for t, records := range j.records {
		for i, r := range records {
			if r.minion != m || r.number != n || !r.over || r.end != quetzalwork.OutcomeDone {
				continue
			}
			if r.leaseExpired {
				continue
			}
			r.acknowledged = true
			for _, later := range records[i+1:] {
				if later.startedAt > r.endedAt && !j.step(t).Speculative {
					j.violationf("TWICE: %v run %d was started after run %d had ended, which was noted", t, later.run, r.run)
				}
			}
		}
	}
}

// running returns the number of a job's runs that have not ended.
func (j *checker) running(id quetzalunit.JobID) int {
	n := 0
	for t, records := range j.records {
		for _, r := range records {
			if t.Job == id && !r.over {
				n++
			}
		}
	}
	return n
}

// unfinished returns the accepted jobs with a task that is not done, except for long-running jobs.
func (j *checker) unfinished() []quetzalunit.JobID {
	var ids []quetzalunit.JobID
	for id := range j.accepted {
		if j.specs[id].Steps[0].LongRunning {
			continue
		}
		done := true
		for s := range j.specs[id].Steps {
			for n := range j.specs[id].Steps[s].TaskCount {
				done = done && j.isDone(quetzalwork.TaskID{Job: id, TaskRef: quetzalwork.TaskRef{Step: quetzalunit.StepIndex(s), Task: quetzalunit.TaskIndex(n)}})
			}
		}
		if !done {
			ids = append(ids, id)
		}
	}
	return ids
}

// explain describes the dispatcher's state of a job and its pool, for the message of a failed test.
func (f *fleet) explain(id quetzalunit.JobID) string {
	h := f.holder()
	if h == nil {
		return "nobody dispatches the pool"
	}
	w := h.world
	p := w.Pools.At(w.PoolByID.Get(testPool))
	text := fmt.Sprintf("%s: loaded %t old known %t ready %d gone in %v\n", h.id, p.JobsLoaded, p.PredecessorWorkKnown, len(p.ReadySteps), p.PredecessorLeasesEnd.Sub(w.Now))
	for _, row := range p.Minions {
		m := w.Minions.At(row)
		text += fmt.Sprintf("%s listed %t heard %t misses %d runs %d used %v rest %v\n", m.ID, m.Listed, m.Answered, m.MissedAnswers, len(m.Runs), m.Used, m.FailureBackoffUntil.Sub(w.Now))
	}
	j := w.Jobs.At(w.JobByID.Get(id))
	if j == nil {
		return text + "the job is not known"
	}
	text += fmt.Sprintf("job %v stored %v progress %v\n", j.State, j.StoredState, j.Progress)
	for _, row := range j.Steps {
		s := w.Steps.At(row)
		text += fmt.Sprintf("step %d open %t listed %t done %d waiting %d\n", s.Index, s.Runnable, s.Enqueued, s.Done, s.Waiting)
	}
	return text
}
