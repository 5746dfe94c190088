package quetzalscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// The ranking is designed for overload, when a queue's jobs need several times the capacity of
// its pool: steps that can still meet their job's objective go before those that cannot, so that
// no capacity is spent on work that is late anyway. Among them, the step with the least slack
// goes first.

const (
	// relativeMargin (a fraction of the critical path) and fixedMargin are the safety margin for
	// what the expected run time leaves out: stragglers, and the latency of orders and ends.
	relativeMargin = 0.15
	fixedMargin    = 100 * time.Millisecond
	// maxCriticalPathAge is the maximum age of a step's cached critical path.
	maxCriticalPathAge = 250 * time.Millisecond
	// minRunTimeWeight is the minimum weight of a new measurement in a queue's mean run time.
	minRunTimeWeight = 0.02
	// estimateWeight is the weight of an estimate against the queue's mean run time.
	// minMeanRuns is the number of runs from which that mean is used.
	estimateWeight = 0.4
	minMeanRuns    = 10
	// slowdownWeight is the weight of a new measurement in the moving average of a minion's
	// slowdown.
	slowdownWeight = 0.2
	// maxSlowdownSample caps the slowdown that a single run contributes, as a multiple of the mean
	// run time of its step.
	maxSlowdownSample = 4.0
)

// compareRanks orders ready steps for placement: long-running steps first, steps of jobs that
// cannot meet their objective last and before them those beyond their account's rate, then by priority, lowest
// value first, by the shares of accounts, and by the latest start that meets the objective.
func compareRanks(a, b *quetzalwork.Rank) int {
	return cmp.Or(
		compareBools(b.LongRunning, a.LongRunning),
		compareBools(a.ObjectiveUnreachable, b.ObjectiveUnreachable),
		compareBools(a.Surplus, b.Surplus),
		cmp.Compare(a.Priority, b.Priority),
		compareBools(a.Ahead, b.Ahead),
		cmp.Compare(a.LatestStart, b.LatestStart),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// rankSteps sorts the ready steps of a pool into placement order, removes those that have nothing to
// place, and moves those whose objective is out of reach to the late steps. The order hardly
// changes between two ticks, which makes sorting cheap.
func rankSteps(w *quetzalwork.World, p *quetzalwork.Pool) {
	p.ReadySteps = slices.DeleteFunc(p.ReadySteps, func(row quetzalwork.Row) bool {
		s := w.Steps.At(row)
		if s == nil {
			return true
		}
		if s.Waiting == 0 || w.Jobs.At(s.Job).State.Final() {
			s.Enqueued = false
			return true
		}
		if rankStep(w, p, s); s.Rank.ObjectiveUnreachable {
			addLateStep(p, row, s)
			return true
		}
		return false
	})
	slices.SortFunc(p.ReadySteps, func(a, b quetzalwork.Row) int {
		return cmp.Or(compareRanks(&w.Steps.At(a).Rank, &w.Steps.At(b).Rank), cmp.Compare(a, b))
	})
}

// addLateStep inserts a step into the late steps of its pool. Under overload these are many and are
// rarely placed, so they keep their order instead of being ranked in each pass.
func addLateStep(p *quetzalwork.Pool, row quetzalwork.Row, s *quetzalwork.Step) {
	s.Late = true
	late := quetzalwork.LateStep{Step: row, Rank: s.Rank}
	i, _ := slices.BinarySearchFunc(p.LateSteps, late, func(a, b quetzalwork.LateStep) int {
		return cmp.Or(compareRanks(&a.Rank, &b.Rank), cmp.Compare(a.Step, b.Step))
	})
	p.LateSteps = slices.Insert(p.LateSteps, i, late)
}

// restoreLateSteps returns the late steps of a job to the ready steps, because its objective has
// been extended.
func restoreLateSteps(w *quetzalwork.World, j *quetzalwork.Job) {
	p := w.Pools.At(j.Pool)
	for _, row := range j.Steps {
		if s := w.Steps.At(row); s.Late {
			s.Late = false
			p.ReadySteps = append(p.ReadySteps, row)
		}
	}
}

// rankStep updates the rank of a step. The run time of its critical path is cached for
// maxCriticalPathAge, not computed in every pass.
func rankStep(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step) {
	j := w.Jobs.At(s.Job)
	r := &s.Rank
	if r.CriticalPathAt == 0 || w.Now.Sub(r.CriticalPathAt) > maxCriticalPathAge {
		r.CriticalPath, r.CriticalPathAt = remainingCriticalPath(w, p, j, s), w.Now
		r.LongRunning = s.Spec.LongRunning
		if q := w.Queues.At(w.QueueByID.Get(j.Queue)); q != nil {
			r.Priority = q.Priority
		}
	}
	r.Surplus, r.Ahead = j.Surplus, false
	if h := quetzallimit.HoldingOfJob(w, j); h != nil {
		r.Ahead = h.Ahead
	}
	r.LatestStart = j.ObjectiveAt.Add(-r.CriticalPath)
	margin := fixedMargin + time.Duration(relativeMargin*float64(r.CriticalPath))
	r.ObjectiveUnreachable = !r.LongRunning && w.Now.Add(margin) > r.LatestStart
}

// expectedRunTime returns the expected run time of a task of a step: the mean of the step's
// completed runs, or, before the first, the corrected estimate.
func expectedRunTime(p *quetzalwork.Pool, queue quetzalunit.QueueID, s *quetzalwork.Step) time.Duration {
	if s.MeasuredRuns > 0 {
		return s.MeanRunTime
	}
	return correctedEstimate(p, queue, s.Spec.Estimate)
}

// correctedEstimate returns an estimate corrected towards the mean run time of the queue, as their
// weighted geometric mean. Callers' estimates are often far off.
func correctedEstimate(p *quetzalwork.Pool, queue quetzalunit.QueueID, estimate time.Duration) time.Duration {
	t := p.RunTimeStats[queue]
	if t == nil || t.Count < minMeanRuns || estimate <= 0 {
		return estimate
	}
	return time.Duration(math.Pow(float64(estimate), estimateWeight) * math.Pow(float64(t.Mean), 1-estimateWeight))
}

// remainingCriticalPath returns the expected run time of the critical path that begins with step s.
func remainingCriticalPath(w *quetzalwork.World, p *quetzalwork.Pool, j *quetzalwork.Job, s *quetzalwork.Step) time.Duration {
	dependsOnIt := func(next quetzalwork.StepSpec) bool { return slices.Contains(next.DependsOn, s.Index) }
	if !slices.ContainsFunc(j.Spec.Steps[s.Index+1:], dependsOnIt) {
		return expectedRunTime(p, j.Queue, s)
	}
	return pathsOfOccurrence(w, s, func(s *quetzalwork.Step) time.Duration { return expectedRunTime(p, j.Queue, s) })[s.Index]
}

// observedCriticalPath returns the run time of the critical path of the occurrence of step s, where each
// step counts its longest observed run if that exceeds the expected run time. A straggler thus extends
// the objective of its job, so that the other tasks of the job are less urgent.
func observedCriticalPath(w *quetzalwork.World, p *quetzalwork.Pool, j *quetzalwork.Job, s *quetzalwork.Step) time.Duration {
	return slices.Max(pathsOfOccurrence(w, s, func(s *quetzalwork.Step) time.Duration {
		return max(expectedRunTime(p, j.Queue, s), s.LongestRunTime)
	}))
}

// pathsOfOccurrence returns, for each step of the occurrence of step s, the run time of the critical path
// that begins with it.
func pathsOfOccurrence(w *quetzalwork.World, s *quetzalwork.Step, runTime func(*quetzalwork.Step) time.Duration) []time.Duration {
	return criticalPathsFrom(w.Jobs.At(s.Job).Spec.Steps, func(i int) time.Duration {
		key := quetzalwork.StepKey{Job: s.Job, Occurrence: s.Occurrence, Step: quetzalunit.StepIndex(i)}
		return runTime(w.Steps.At(w.StepByKey.Get(key)))
	})
}

// recordLongestRun records how long a run of a step has taken so far, and updates the job's
// objective if no run of the step has taken longer.
func recordLongestRun(w *quetzalwork.World, s *quetzalwork.Step, took time.Duration) {
	if took > s.LongestRunTime {
		s.LongestRunTime = took
		updateObjective(w, s)
	}
}

// updateObjective recomputes when a job counts as late, from the observed run times of the steps of an
// occurrence. The objective of a repeating job follows the longest path of any occurrence so far.
func updateObjective(w *quetzalwork.World, s *quetzalwork.Step) {
	j := w.Jobs.At(s.Job)
	p := w.Pools.At(j.Pool)
	q := w.Queues.At(w.QueueByID.Get(j.Queue))
	if q == nil || j.Spec == nil {
		return
	}
	longest := observedCriticalPath(w, p, j, s)
	if j.Spec.Occurrences > 0 {
		longest = max(longest, j.LongestPath)
		j.LongestPath = longest
	}
	before := j.ObjectiveAt
	j.ObjectiveAt = j.FirstSeenAt.Add(time.Duration(q.Stretch*float64(longest)) + q.TargetDuration)
	if j.ObjectiveAt > before {
		restoreLateSteps(w, j)
	}
}

// recordRunTime updates the mean run times of the step and the queue, and the slowdown of the
// minion, with a run that is done. It also resets the minion's streak of failures.
func recordRunTime(w *quetzalwork.World, minionRow, runRow quetzalwork.Row) {
	r := w.Runs.At(runRow)
	if r == nil || r.StartedAt == 0 {
		return
	}
	s := w.Steps.At(w.Tasks.At(r.Task).Step)
	m := w.Minions.At(minionRow)
	m.ConsecutiveFailures, m.FailureBackoffs = 0, 0
	took := w.Now.Sub(r.StartedAt)
	s.MeanRunTime = (s.MeanRunTime*time.Duration(s.MeasuredRuns) + took) / time.Duration(s.MeasuredRuns+1)
	s.MeasuredRuns++
	if s.MeasuredRuns > 1 && s.MeanRunTime > 0 {
		m.Slowdown += slowdownWeight * (min(maxSlowdownSample, float64(took)/float64(s.MeanRunTime)) - m.Slowdown)
	}
	j := w.Jobs.At(s.Job)
	p := w.Pools.At(j.Pool)
	t := p.RunTimeStats[j.Queue]
	if t == nil {
		t = &quetzalwork.RunTimeStats{}
		p.RunTimeStats[j.Queue] = t
	}
	t.Count++
	weight := max(minRunTimeWeight, 1/float64(t.Count))
	t.Mean += time.Duration(weight * float64(took-t.Mean))
	recordLongestRun(w, s, took)
}
