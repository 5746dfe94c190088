package quetzalscheduler_test

import (
	"fmt"
	"slices"
	"time"

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
	// accounts has the accounts that submitted jobs, caps the largest caps that may be in force.
	accounts map[quetzalunit.JobID]quetzalunit.AccountID
	caps     map[quetzalunit.AccountID]quetzalunit.Resources
	// stops are the orders to stop that arrived in time at an active run.
	stops []stopRecord
	// waits, if not nil, checks what waits.
	waits *waitCheck
	// violations describes the violations found so far.
	violations []string
	// unread describes the ends that were acknowledged before any answer had listed them.
	unread []string
}

// runRecord is a run that a minion started.
type runRecord struct {
	task   quetzalwork.TaskID
	run    quetzalunit.RunNumber
	minion quetzalunit.MinionID
	// incarnation is that of the minion's process, in which number is unique.
	incarnation quetzalunit.MinionIncarnation
	startedAt   quetzalunit.Instant
	endedAt     quetzalunit.Instant
	over        bool
	end         quetzalwork.RunOutcome
	number      quetzalunit.EndNumber
	// acknowledged is true if the dispatcher acknowledged the end and leaseExpired was false then.
	acknowledged bool
	// leaseExpired is true if the minion's lease expired after the run had ended.
	leaseExpired bool
	// crashed is true if the minion went down under the run.
	crashed bool
}

// submitted records a job that is sent to an entry.
func (c *checker) submitted(id quetzalunit.JobID, spec *quetzalwork.JobSpec) {
	if c.specs == nil {
		c.specs = make(map[quetzalunit.JobID]*quetzalwork.JobSpec)
		c.records = make(map[quetzalwork.TaskID][]*runRecord)
		c.accepted = make(map[quetzalunit.JobID]bool)
		c.refused = make(map[quetzalunit.JobID]bool)
	}
	c.specs[id] = spec
}

// step returns the specification of a task's step.
func (c *checker) step(t quetzalwork.TaskID) *quetzalwork.StepSpec {
	return &c.specs[t.Job].Steps[t.Step]
}

// violationf records a violation.
func (c *checker) violationf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.f.now)+fmt.Sprintf(format, args...))
}

// answered records an answer to a caller.
func (c *checker) answered(id quetzalunit.JobID, a quetzalwork.Answer) {
	switch a.(type) {
	case quetzalwork.JobAccepted:
		c.accepted[id] = true
		if c.waits != nil {
			c.waits.accept(id)
		}
	case quetzalwork.JobRefused:
		c.refused[id] = true
	default:
	}
}

// started records the start of a run and checks it: no other run of the task may be active (unless
// the step is speculative) or acknowledged as done, the task must have attempts left, and the steps
// on which its step depends must be done.
func (c *checker) started(t quetzalwork.TaskID, run quetzalunit.RunNumber, on *minion) *runRecord {
	m := on.record.ID
	r := &runRecord{task: t, run: run, minion: m, incarnation: on.record.Incarnation, startedAt: c.f.now}
	failed := 0
	for _, other := range c.records[t] {
		if !other.over && !c.step(t).Speculative {
			c.violationf("TWICE: %v run %d on %s next to run %d on %s", t, run, m, other.run, other.minion)
		}
		if other.over && other.end == quetzalwork.OutcomeDone && other.acknowledged {
			c.violationf("TWICE: %v run %d on %s after run %d was done and acknowledged", t, run, m, other.run)
		}
		if other.over && other.end == quetzalwork.OutcomeFailed {
			failed++
		}
	}
	if failed >= 3 {
		c.violationf("BUDGET: %v run %d after %d failures", t, run, failed)
	}
	if n := c.startsAfterCrashes(t) + 1; c.f.deadly[t.Job] && n >= maxDeadlyStarts {
		c.violationf("BUDGET: %v run %d is start %d after three minions had crashed under it", t, run, n)
	}
	for _, dependency := range c.step(t).DependsOn {
		for n := range c.specs[t.Job].Steps[dependency].TaskCount {
			if !c.isDone(quetzalwork.TaskID{Job: t.Job, TaskRef: quetzalwork.TaskRef{Occurrence: t.Occurrence, Step: dependency, Task: quetzalunit.TaskIndex(n)}}) {
				c.violationf("ORDER: %v before step %d is done", t, dependency)
			}
		}
	}
	c.records[t] = append(c.records[t], r)
	return r
}

// checkCap checks that what an account runs on all minions, with a new run, does not exceed its cap. A single
// task may.
func (c *checker) checkCap(started quetzalwork.TaskID) {
	account := c.accounts[started.Job]
	limit := c.caps[account]
	if limit == (quetzalunit.Resources{}) {
		return
	}
	var used quetzalunit.Resources
	for _, m := range c.f.order {
		for task := range m.runs {
			if c.accounts[task.Job] == account {
				used = used.Plus(c.step(task).Resources)
			}
		}
	}
	needs := c.step(started).Resources
	total := used.Plus(needs)
	if (total.Cores > limit.Cores && limit.Cores > 0 || total.Memory > limit.Memory && limit.Memory > 0) && used != (quetzalunit.Resources{}) {
		c.violationf("QUOTA: %v brings %s to %v of %v", started, account, total, limit)
	}
}

// checkLimit checks that a start does not bring a minion over its capacity. used are the resources
// of all runs on the minion, with those of the new one and of those that are being stopped. An order
// that is carried out late is judged by the capacity at the time at which it was sent.
func (c *checker) checkLimit(m *minion, start quetzalwork.StartRun, used quetzalunit.Resources, sent quetzalunit.Instant) {
	if limit := m.limit(sent); !used.FitsIn(limit) {
		c.violationf("LIMIT: %v run %d brings %s to %v of %v", start.Task, start.Number, m.record.ID, used, limit)
	}
}

// drainNotice is the time after which a minion whose record says that it leaves must get no more
// work.
const drainNotice = 2 * time.Second

// checkDrain checks that an order to start a run was not sent to a minion that has been leaving for
// longer than drainNotice.
func (c *checker) checkDrain(m *minion, start quetzalwork.StartRun, sent quetzalunit.Instant) {
	if m.drainingSince != 0 && sent.Sub(m.drainingSince) > drainNotice {
		c.violationf("DRAIN: %v run %d was sent to %s %v after its record said that it leaves", start.Task, start.Number, m.record.ID, sent.Sub(m.drainingSince))
	}
}

// stopRecord is an order to stop a run that had been active for a while.
type stopRecord struct {
	task   quetzalwork.TaskID
	run    quetzalunit.RunNumber
	minion quetzalunit.MinionID
	ranFor time.Duration
}

// recordStop records an order to stop that was sent at an instant, if it arrives in time at an active run.
func (c *checker) recordStop(m *minion, stop quetzalwork.StopRun, sent quetzalunit.Instant) {
	r := m.runs[stop.Task]
	if r != nil && r.number == stop.Number && c.f.now.Sub(sent) <= answerTime {
		c.stops = append(c.stops, stopRecord{stop.Task, stop.Number, m.record.ID, c.f.now.Sub(r.record.startedAt)})
	}
}

// stopsAfter returns the recorded stops of runs that had been active for longer than d.
func (c *checker) stopsAfter(d time.Duration) []stopRecord {
	return slices.DeleteFunc(slices.Clone(c.stops), func(s stopRecord) bool { return s.ranFor <= d })
}

// maxDeadlyStarts is the number of starts, after the crash of three minions under a task that
// crashes each of them, from which on the task has been started too often.
const maxDeadlyStarts = 3

// startsAfterCrashes returns how often a task has been started since the third minion crashed under
// it.
func (c *checker) startsAfterCrashes(t quetzalwork.TaskID) int {
	var crashes []quetzalunit.Instant
	for _, r := range c.records[t] {
		if r.crashed {
			crashes = append(crashes, r.endedAt)
		}
	}
	if len(crashes) < 3 {
		return 0
	}
	slices.Sort(crashes)
	n := 0
	for _, r := range c.records[t] {
		if r.startedAt > crashes[2] {
			n++
		}
	}
	return n
}

// isDone reports whether a run of a task has ended as done.
func (c *checker) isDone(t quetzalwork.TaskID) bool {
	for _, r := range c.records[t] {
		if r.over && r.end == quetzalwork.OutcomeDone {
			return true
		}
	}
	return false
}

// ended records the end of a run. cause is not empty if the run ended because its minion died.
func (c *checker) ended(r *runRecord, cause string) {
	r.over, r.endedAt = true, c.f.now
	if cause != "" {
		r.end = quetzalwork.OutcomeLapsed
		r.crashed = true
	}
}

// leaseExpired records that the lease of a minion has expired.
func (c *checker) leaseExpired(m quetzalunit.MinionID) {
	for _, records := range c.records {
		for _, r := range records {
			r.leaseExpired = r.leaseExpired || r.minion == m && r.over
		}
	}
}

// acknowledged records that the present process of a minion got the acknowledgement of the end of a run, and
// checks that the task was not started again after that run had ended.
func (c *checker) acknowledged(m *minion, n quetzalunit.EndNumber) {
	for t, records := range c.records {
		for i, r := range records {
			if r.minion != m.record.ID || r.incarnation != m.record.Incarnation || r.number != n || !r.over || r.end != quetzalwork.OutcomeDone {
				continue
			}
			if r.leaseExpired {
				continue
			}
			r.acknowledged = true
			if !c.f.store.records(t) {
				c.violationf("UNSTORED: the end of %v run %d on %s was acknowledged and is not stored", t, r.run, r.minion)
			}
			for _, later := range records[i+1:] {
				if later.startedAt > r.endedAt && !c.step(t).Speculative {
					c.violationf("TWICE: %v run %d was started after run %d had ended, which was acknowledged", t, later.run, r.run)
				}
			}
		}
	}
}

// records reports whether the stored rows of a job show that a task needs no further run: it is done, or its job is over, cancelled or
// not stored.
func (s *store) records(t quetzalwork.TaskID) bool {
	_, accepted := s.stored(quetzalwork.JobRow{Job: t.Job, Content: quetzalwork.AcceptedJob{}})
	_, cancelled := s.stored(quetzalwork.JobRow{Job: t.Job, Content: quetzalwork.JobCancellation{}})
	row, ok := s.stored(quetzalwork.JobRow{Job: t.Job, Content: quetzalwork.JobProgress{}})
	if !accepted || cancelled || !ok {
		return !accepted || cancelled
	}
	p := row.Content.(quetzalwork.JobProgress).Progress
	return p.State.Final() || p.DoneOccurrences.Contains(t.Occurrence) || slices.Contains(p.Done, t.TaskRef)
}

// running returns the number of a job's runs that have not ended.
func (c *checker) running(id quetzalunit.JobID) int {
	n := 0
	for t, records := range c.records {
		for _, r := range records {
			if t.Job == id && !r.over {
				n++
			}
		}
	}
	return n
}

// unfinished returns the accepted jobs with a task that is not done, except for long-running jobs,
// and those whose tasks crash their minions and that are not stored as failed.
func (c *checker) unfinished() []quetzalunit.JobID {
	var ids []quetzalunit.JobID
	for id := range c.accepted {
		if c.f.deadly[id] {
			if c.f.storedState(id) != quetzalwork.JobFailed {
				ids = append(ids, id)
			}
			continue
		}
		if c.specs[id].Steps[0].LongRunning {
			continue
		}
		done := true
		for s := range c.specs[id].Steps {
			for n := range c.specs[id].Steps[s].TaskCount {
				done = done && c.isDone(quetzalwork.TaskID{Job: id, TaskRef: quetzalwork.TaskRef{Step: quetzalunit.StepIndex(s), Task: quetzalunit.TaskIndex(n)}})
			}
		}
		if mayFail := c.f.restarting && c.mayBeGivenUp(id); !done && !mayFail {
			ids = append(ids, id)
		}
	}
	return ids
}

// mayBeGivenUp reports whether a job that has failed has a task under which two minions have crashed.
func (c *checker) mayBeGivenUp(id quetzalunit.JobID) bool {
	for t, records := range c.records {
		crashes := 0
		for _, r := range records {
			if r.crashed {
				crashes++
			}
		}
		if t.Job == id && crashes > 1 {
			return c.f.storedState(id) == quetzalwork.JobFailed
		}
	}
	return false
}

// storedState returns the state in the stored progress of a job, JobQueued if there is none.
func (f *fleet) storedState(id quetzalunit.JobID) quetzalwork.JobState {
	if row, ok := f.store.stored(quetzalwork.JobRow{Job: id, Content: quetzalwork.JobProgress{}}); ok {
		return row.Content.(quetzalwork.JobProgress).Progress.State
	}
	return quetzalwork.JobQueued
}

// explain describes the dispatcher's state of a job and its pool, for the message of a failed test.
func (f *fleet) explain(id quetzalunit.JobID) string {
	h := f.holder()
	if h == nil {
		return "no entry dispatches the pool"
	}
	w := h.world
	p := w.Pools.At(w.PoolByID.Get(testPool))
	text := fmt.Sprintf("%s: loaded %t predecessor work known %t ready %d predecessor leases end in %v\n", h.id, p.JobsLoaded, p.PredecessorWorkKnown, len(p.ReadySteps), p.PredecessorLeasesEnd.Sub(w.Now))
	for _, row := range p.Minions {
		m := w.Minions.At(row)
		text += fmt.Sprintf("%s listed %t answered %t missed %d runs %d used %v backoff %v\n", m.ID, m.Listed, m.Answered, m.MissedAnswers, len(m.Runs), m.Used, m.FailureBackoffUntil.Sub(w.Now))
	}
	j := w.Jobs.At(w.JobByID.Get(id))
	if j == nil {
		return text + "the job is not known"
	}
	text += fmt.Sprintf("job %v stored %v progress %v\n", j.State, j.StoredState, j.Progress)
	for _, row := range j.Steps {
		s := w.Steps.At(row)
		text += fmt.Sprintf("step %d runnable %t enqueued %t done %d waiting %d\n", s.Index, s.Runnable, s.Enqueued, s.Done, s.Waiting)
	}
	return text
}
