package quetzalscheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// waitSample is the time between two samples of what waits.
	waitSample = 50 * time.Millisecond
	// maxWait is how long a task may wait with room for it. A long-running task has restartTime more,
	// counted from the end of its last run, and only if nothing was disturbed for calmTime.
	maxWait     = 3 * time.Second
	restartTime = 6 * time.Second
	calmTime    = 7 * time.Second
	// roomFactor is for how many tasks of the same needs there must be room before a wait counts.
	roomFactor = 2
)

// waitCheck checks that no task waits although there is room for it. A system samples the fleet at each
// waitSample and judges the waits; it runs once watchWaits has been called.
type waitCheck struct {
	f *fleet
	// acceptedAt has when an answer showed that a job is accepted. longRunning and ending are these jobs, without
	// those known to be over, by whether their first step lasts.
	acceptedAt          map[quetzalunit.JobID]quetzalunit.Instant
	longRunning, ending []quetzalunit.JobID
	// waits has the tasks and jobs that waited with room for them in all samples since.
	waits map[waitKey]quetzalunit.Instant
	// reported are the waits that are listed as violations already.
	reported map[waitKey]bool
	// disturbedAt is when a fault was last in progress, marks what shows that one has begun since.
	disturbedAt quetzalunit.Instant
	marks       disturbanceMarks
	// trafficOver reports whether no more jobs are submitted, so that the tasks that end are judged too.
	trafficOver bool
}

// waitKey names a long-running task that waits, or, without a task, a job of which nothing runs.
type waitKey struct {
	job  quetzalunit.JobID
	task quetzalwork.TaskRef
	// wholeJob is set for a job; task is zero then.
	wholeJob bool
}

// disturbanceMarks are counts that change when a fault begins or ends between two samples.
type disturbanceMarks struct {
	boots, entriesUp, minionsUp, minions, capacities, draining, answersLost int
	incarnations                                                            quetzalunit.MinionIncarnation
	config                                                                  quetzalunit.Revision
}

// watchWaits begins to check what waits.
func (f *fleet) watchWaits() *waitCheck {
	c := &waitCheck{
		f: f, acceptedAt: make(map[quetzalunit.JobID]quetzalunit.Instant), waits: make(map[waitKey]quetzalunit.Instant),
		reported: make(map[waitKey]bool), disturbedAt: f.now, marks: f.disturbanceMarks(),
	}
	f.checker.waits = c
	for _, id := range slices.Sorted(maps.Keys(f.checker.accepted)) {
		c.accept(id)
	}
	c.schedule()
	return c
}

// accept records that a job is accepted. Jobs that repeat and those that crash their minions are not judged.
func (c *waitCheck) accept(id quetzalunit.JobID) {
	spec := c.f.checker.specs[id]
	if _, ok := c.acceptedAt[id]; ok || spec.Occurrences > 0 || c.f.deadly[id] {
		return
	}
	c.acceptedAt[id] = c.f.now
	if spec.Steps[0].LongRunning {
		c.longRunning = append(c.longRunning, id)
	} else {
		c.ending = append(c.ending, id)
	}
}

// dropFinal removes the jobs that are cancelled or stored with an outcome.
func (f *fleet) dropFinal(ids []quetzalunit.JobID) []quetzalunit.JobID {
	return slices.DeleteFunc(ids, func(id quetzalunit.JobID) bool { return f.storedCancel(id) || f.storedState(id).Final() })
}

func (c *waitCheck) schedule() {
	c.f.after(waitSample, func() {
		c.noticeDisturbances()
		c.judgeLongRunning()
		if c.trafficOver {
			c.judgeOthers()
		}
		c.schedule()
	})
}

// disturbanceMarks returns the present marks.
func (f *fleet) disturbanceMarks() disturbanceMarks {
	marks := disturbanceMarks{config: f.store.configRevision, minions: len(f.order), answersLost: f.answersLost}
	for _, e := range f.entries {
		marks.boots += e.boot
		if e.up {
			marks.entriesUp++
		}
	}
	for _, m := range f.order {
		marks.capacities += len(m.capacities)
		marks.incarnations += m.record.Incarnation
		if m.up {
			marks.minionsUp++
		}
		if m.record.Draining {
			marks.draining++
		}
	}
	return marks
}

// noticeDisturbances records a fault that is in progress or that began or ended since the last sample.
func (c *waitCheck) noticeDisturbances() {
	f := c.f
	marks := f.disturbanceMarks()
	inProgress := f.storeDown || f.loseAnswers > 0 || f.lateOrders > 0 || f.latePolls > 0 || f.delayedWrites || f.store.listDown || f.censusDown || len(f.partitionedZones) > 0
	for _, e := range f.entries {
		inProgress = inProgress || !e.up && !e.gone || e.up && (e.watchFails || e.world.Stopping || e.pausedUntil > f.now)
	}
	for _, m := range f.order {
		unlisted := m.up && m.successor == nil && f.store.list[m.record.ID].removed
		inProgress = inProgress || m.failing || m.slowdown > 1 || unlisted
	}
	if inProgress || marks != c.marks {
		c.disturbedAt = f.now
	}
	c.marks = marks
}

// judgeLongRunning judges each task of the accepted long-running jobs, at any time and however many tasks
// that end fill the pool.
func (c *waitCheck) judgeLongRunning() {
	c.longRunning = c.f.dropFinal(c.longRunning)
	for _, id := range c.longRunning {
		for s := range c.f.checker.specs[id].Steps {
			step := &c.f.checker.specs[id].Steps[s]
			if !step.LongRunning {
				continue
			}
			for n := range step.TaskCount {
				c.judgeLongRunningTask(quetzalwork.TaskID{Job: id, TaskRef: quetzalwork.TaskRef{Step: quetzalunit.StepIndex(s), Task: quetzalunit.TaskIndex(n)}}, step)
			}
		}
	}
}

func (c *waitCheck) judgeLongRunningTask(t quetzalwork.TaskID, step *quetzalwork.StepSpec) {
	f := c.f
	key := waitKey{job: t.Job, task: t.TaskRef}
	running, lastEnd := f.checker.lastRun(t)
	if running || !f.checker.dependenciesDone(t) || !f.checker.hasHalfOfCap(t.Job) || f.roomFor(t, step, true) < roomFactor {
		delete(c.waits, key)
		delete(c.reported, key)
		return
	}
	if _, ok := c.waits[key]; !ok {
		c.waits[key] = f.now
	}
	from := max(c.waits[key], max(lastEnd, c.acceptedAt[t.Job]).Add(restartTime))
	if f.now.Sub(from) <= maxWait || f.now.Sub(c.disturbedAt) <= calmTime || c.reported[key] {
		return
	}
	c.reported[key] = true
	f.checker.violationf("LOST: long-running task %v waits %v after its last run, with room for it and calm for %v; %s",
		t, f.now.Sub(max(lastEnd, c.acceptedAt[t.Job])), f.now.Sub(c.disturbedAt), f.explainWait(t))
}

// judgeOthers judges the jobs of tasks that end, once the traffic is over: some task must run while the turn of
// one has come and there is plenty of room.
func (c *waitCheck) judgeOthers() {
	f := c.f
	c.ending = f.dropFinal(c.ending)
	running := make(map[quetzalunit.JobID]bool)
	for _, m := range f.order {
		for t := range m.runs {
			running[t.Job] = true
		}
	}
	for _, id := range c.ending {
		key := waitKey{job: id, wholeJob: true}
		t, waits := f.checker.waitingTask(id)
		if !waits || running[id] || !f.checker.hasHalfOfCap(id) || !f.underHalfInUse(f.store.pools[id]) || f.roomFor(t, f.checker.step(t), false) < roomFactor {
			delete(c.waits, key)
			continue
		}
		if _, ok := c.waits[key]; !ok {
			c.waits[key] = f.now
		}
		if f.now.Sub(c.waits[key]) <= maxWait || f.now.Sub(c.disturbedAt) <= calmTime || c.reported[key] {
			continue
		}
		c.reported[key] = true
		f.checker.violationf("LOST: nothing of job %s runs for %v after the traffic, with room for it and calm for %v; %v waits; %s",
			id, f.now.Sub(c.waits[key]), f.now.Sub(c.disturbedAt), t, f.explainWait(t))
	}
}

// storedCancel reports whether a job's cancellation is stored.
func (f *fleet) storedCancel(id quetzalunit.JobID) bool {
	_, ok := f.store.stored(quetzalwork.JobRow{Job: id, Content: quetzalwork.JobCancellation{}})
	return ok
}

// lastRun reports whether a run of a task is active, and otherwise when the last one ended; zero if there was
// none.
func (c *checker) lastRun(t quetzalwork.TaskID) (active bool, end quetzalunit.Instant) {
	for _, r := range c.records[t] {
		if !r.over {
			return true, 0
		}
		end = max(end, r.endedAt)
	}
	return false, end
}

// dependenciesDone reports whether all tasks of the steps on which a task's step depends are done.
func (c *checker) dependenciesDone(t quetzalwork.TaskID) bool {
	for _, dependency := range c.step(t).DependsOn {
		for n := range c.specs[t.Job].Steps[dependency].TaskCount {
			if !c.isDone(quetzalwork.TaskID{Job: t.Job, TaskRef: quetzalwork.TaskRef{Step: dependency, Task: quetzalunit.TaskIndex(n)}}) {
				return false
			}
		}
	}
	return true
}

// waitingTask returns a task of a job that ends, has not ended as done and whose turn has come.
func (c *checker) waitingTask(id quetzalunit.JobID) (quetzalwork.TaskID, bool) {
	for s := range c.specs[id].Steps {
		step := &c.specs[id].Steps[s]
		if step.LongRunning || step.Gang {
			continue
		}
		for n := range step.TaskCount {
			t := quetzalwork.TaskID{Job: id, TaskRef: quetzalwork.TaskRef{Step: quetzalunit.StepIndex(s), Task: quetzalunit.TaskIndex(n)}}
			if !c.isDone(t) && c.dependenciesDone(t) {
				return t, true
			}
		}
	}
	return quetzalwork.TaskID{}, false
}

// hasHalfOfCap reports whether the account of a job uses less than half of each component of its cap.
func (c *checker) hasHalfOfCap(id quetzalunit.JobID) bool {
	limit, used := c.caps[c.accounts[id]], c.f.usedBy(c.accounts[id])
	return (limit.Cores == 0 || 2*used.Cores < limit.Cores) && (limit.Memory == 0 || 2*used.Memory < limit.Memory) &&
		(limit.Accelerators == 0 || 2*used.Accelerators < limit.Accelerators)
}

// sound reports whether a minion takes work of a pool.
func (m *minion) sound(pool quetzalunit.PoolID) bool {
	return m.up && m.successor == nil && m.record.Pool == pool && !m.record.Draining && !m.f.store.list[m.record.ID].removed && m.f.reaches(m.zone, storeZone)
}

// inUse returns the resources of a minion's runs, of long-running tasks only if asked for.
func (m *minion) inUse(longRunningOnly bool) quetzalunit.Resources {
	var used quetzalunit.Resources
	for t, r := range m.runs {
		if !longRunningOnly || m.f.checker.step(t).LongRunning {
			used = used.Plus(r.needs)
		}
	}
	return used
}

// roomFor returns how many tasks of a step, up to roomFactor on each minion, find room on the minions of its
// pool beside what runs there, or beside what long-running tasks use there.
func (f *fleet) roomFor(t quetzalwork.TaskID, step *quetzalwork.StepSpec, longRunningOnly bool) int {
	n := 0
	for _, m := range f.order {
		if !m.sound(f.store.pools[t.Job]) || step.RequiredLabel != "" && !slices.Contains(m.record.Labels, step.RequiredLabel) {
			continue
		}
		beside := 0
		for other := range m.runs {
			if other.Job == t.Job && other.Step == t.Step {
				beside++
			}
		}
		used := m.inUse(longRunningOnly)
		for range roomFactor {
			used = used.Plus(step.Resources)
			if !used.FitsIn(m.capacity()) || step.MaxPerMinion > 0 && beside >= int(step.MaxPerMinion) {
				break
			}
			beside++
			n++
		}
	}
	return n
}

// underHalfInUse reports whether less than half of the cores and of the memory of a pool is in use.
func (f *fleet) underHalfInUse(pool quetzalunit.PoolID) bool {
	var used, capacity quetzalunit.Resources
	for _, m := range f.order {
		if m.sound(pool) {
			used, capacity = used.Plus(m.inUse(false)), capacity.Plus(m.capacity())
		}
	}
	return 2*used.Cores < capacity.Cores && 2*used.Memory < capacity.Memory
}

// explainWait describes what the dispatcher of a task's pool and the accounts' division know of a task that waits.
func (f *fleet) explainWait(t quetzalwork.TaskID) string {
	pool, account := f.store.pools[t.Job], f.checker.accounts[t.Job]
	var text strings.Builder
	fmt.Fprintf(&text, "account %q uses %v of %v", account, f.usedBy(account), f.checker.caps[account])
	for i := range f.store.division.Pools {
		parts := &f.store.division.Pools[i]
		part := parts.Part(account)
		fmt.Fprintf(&text, ", part of %s (token %d) %v, wants %v more", parts.Pool, parts.Token, part.Held, part.Unmet)
	}
	h := f.holderOf(pool)
	if h == nil {
		return text.String() + "; no entry dispatches the pool"
	}
	w := h.world
	p := w.Pools.At(w.PoolByID.Get(pool))
	fmt.Fprintf(&text, "; %s dispatches %s with token %d since %v, loaded %t, predecessor's work known %t, configuration confirmed %v ago",
		h.id, pool, p.Token, f.now.Sub(p.HeldSince), p.JobsLoaded, p.PredecessorWorkKnown, f.now.Sub(w.Config.ConfirmedAt))
	for _, holding := range w.Accounts.Holdings.All() {
		if holding.Pool == pool && holding.Account == account {
			fmt.Fprintf(&text, ", holding: in use %v inherited %v granted %v target %v others %v waiting %v refused %t",
				holding.InUse(), holding.Inherited, holding.Granted, holding.Target, holding.Others, holding.Waiting, holding.Refused)
		}
	}
	j := w.Jobs.At(w.JobByID.Get(t.Job))
	if j == nil {
		return text.String() + "; the job is not known there"
	}
	for _, row := range j.Steps {
		if s := w.Steps.At(row); s.Index == t.Step {
			fmt.Fprintf(&text, "; step waits for %q", s.Wait.Reason)
		}
	}
	return text.String()
}

// holderOf returns the entry that dispatches a pool, nil if there is none.
func (f *fleet) holderOf(pool quetzalunit.PoolID) *entry {
	for _, e := range f.entries {
		if p := e.world.Pools.At(e.world.PoolByID.Get(pool)); e.up && p != nil && p.Held {
			return e
		}
	}
	return nil
}
