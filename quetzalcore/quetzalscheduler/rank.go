package quetzalscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// rank.go answers the load in which a queue asks for several times what its pool holds: what
// can still meet its objective goes before what cannot, so that the pool's room is not spent
// on work that is late anyway. Among the former the one with the least time left goes first.

const (
	// marginShare and marginTime are kept of a job's time for what its estimate leaves out:
	// stragglers, and the way of orders and ends.
	marginShare = 0.15
	marginTime  = 100 * time.Millisecond
	// learnWeight is the weight of a new measurement in a running mean.
	learnWeight = 0.02
	// estimateWeight is the weight of an estimate against the queue's mean, and meanTrusted
	// the number of runs from which that mean is used.
	estimateWeight = 0.4
	meanTrusted    = 10
	// slowWeight is the weight of a new measurement in a minion's slowness.
	slowWeight = 0.2
	// stragglerLimit bounds what one run can add to a mean, in multiples of the estimate.
	stragglerLimit = 4.0
)

// rank orders ready steps: lower goes first.
type rank struct {
	row quetzalwork.Row
	// lasting work goes first: each second that it is away is lost.
	lasting bool
	// hopeless jobs cannot meet their objective and go last.
	hopeless bool
	priority quetzalunit.Priority
	// due is the latest instant at which the step has to begin.
	due quetzalunit.Instant
}

func compareRanks(a, b rank) int {
	return cmp.Or(
		compareFlags(b.lasting, a.lasting),
		compareFlags(a.hopeless, b.hopeless),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.due, b.due),
	)
}

func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// rankSteps returns the ready steps of a pool in the order of placement, and drops from the
// pool's list those that have nothing to place.
func rankSteps(w *quetzalwork.World, p *quetzalwork.Pool) []rank {
	ranks := make([]rank, 0, len(p.Ready))
	p.Ready = slices.DeleteFunc(p.Ready, func(row quetzalwork.Row) bool {
		s := w.Steps.At(row)
		if s == nil {
			return true
		}
		if s.Waiting == 0 || w.Jobs.At(s.Job).State.Final() {
			s.Listed = false
			return true
		}
		ranks = append(ranks, rankOf(w, p, row))
		return false
	})
	slices.SortStableFunc(ranks, compareRanks)
	return ranks
}

func rankOf(w *quetzalwork.World, p *quetzalwork.Pool, row quetzalwork.Row) rank {
	s := w.Steps.At(row)
	j := w.Jobs.At(s.Job)
	r := rank{row: row, lasting: s.Spec.Lasting}
	if q := w.Queues.At(w.QueueByID.Get(j.Queue)); q != nil {
		r.priority = q.Priority
	}
	chain := remainingChain(w, p, j, s)
	r.due = j.Objective.Add(-chain)
	margin := marginTime + time.Duration(marginShare*float64(chain))
	r.hopeless = !s.Spec.Lasting && w.Now.Add(margin) > r.due
	return r
}

// expectedSpan is the expected run time of a task of a step: the mean of those that are done,
// or else its estimate, which is often far off, corrected towards the mean of the queue.
func expectedSpan(p *quetzalwork.Pool, queue quetzalunit.QueueID, s *quetzalwork.Step) time.Duration {
	if s.Measured > 0 {
		return s.RunTime
	}
	return correctedSpan(p, queue, s.Spec.Estimate)
}

func correctedSpan(p *quetzalwork.Pool, queue quetzalunit.QueueID, estimate time.Duration) time.Duration {
	t := p.Images[queue]
	if t == nil || t.Count < meanTrusted || estimate <= 0 {
		return estimate
	}
	return time.Duration(math.Pow(float64(estimate), estimateWeight) * math.Pow(float64(t.Mean), 1-estimateWeight))
}

// remainingChain is the expected run time of the longest chain of steps from one on.
func remainingChain(w *quetzalwork.World, p *quetzalwork.Pool, j *quetzalwork.Job, s *quetzalwork.Step) time.Duration {
	var rest time.Duration
	for _, row := range j.Steps {
		next := w.Steps.At(row)
		if next.Occurrence == s.Occurrence && slices.Contains(next.Spec.After, s.Index) {
			rest = max(rest, remainingChain(w, p, j, next))
		}
	}
	return expectedSpan(p, j.Queue, s) + rest
}

// longestFrom is the run time of the longest chain of tasks from a step on, as far as it is
// known. A straggler makes it longer, and with it the objective: the rest of its job has time.
func longestFrom(w *quetzalwork.World, p *quetzalwork.Pool, j *quetzalwork.Job, s *quetzalwork.Step) time.Duration {
	var rest time.Duration
	for _, row := range j.Steps {
		next := w.Steps.At(row)
		if next.Occurrence == s.Occurrence && slices.Contains(next.Spec.After, s.Index) {
			rest = max(rest, longestFrom(w, p, j, next))
		}
	}
	return max(expectedSpan(p, j.Queue, s), s.Longest) + rest
}

// lengthen notes how long a run of a step has taken so far.
func lengthen(w *quetzalwork.World, s *quetzalwork.Step, took time.Duration) {
	if took > s.Longest {
		s.Longest = took
		refreshObjective(w, s.Job)
	}
}

// refreshObjective works out anew when a job counts as late, from what its steps have taken.
func refreshObjective(w *quetzalwork.World, row quetzalwork.Row) {
	j := w.Jobs.At(row)
	p := w.Pools.At(j.Pool)
	q := w.Queues.At(w.QueueByID.Get(j.Queue))
	if q == nil || j.Spec == nil {
		return
	}
	var chain time.Duration
	for _, stepRow := range j.Steps {
		if s := w.Steps.At(stepRow); len(s.Spec.After) == 0 {
			chain = max(chain, longestFrom(w, p, j, s))
		}
	}
	j.Objective = j.AcceptedAt.Add(time.Duration(q.Stretch*float64(chain)) + q.Target)
}

// learnRunTime learns from a run that is done.
func learnRunTime(w *quetzalwork.World, minionRow, runRow quetzalwork.Row) {
	r := w.Runs.At(runRow)
	if r == nil || r.StartedAt == 0 {
		return
	}
	s := w.Steps.At(w.Tasks.At(r.Task).Step)
	m := w.Minions.At(minionRow)
	m.Streak, m.Rests = 0, 0
	took := w.Now.Sub(r.StartedAt)
	s.RunTime = (s.RunTime*time.Duration(s.Measured) + took) / time.Duration(s.Measured+1)
	s.Measured++
	if s.Measured > 1 && s.RunTime > 0 {
		m.Slowness += slowWeight * (min(stragglerLimit, float64(took)/float64(s.RunTime)) - m.Slowness)
	}
	j := w.Jobs.At(s.Job)
	p := w.Pools.At(j.Pool)
	t := p.Images[j.Queue]
	if t == nil {
		t = &quetzalwork.RunTimes{}
		p.Images[j.Queue] = t
	}
	t.Count++
	weight := max(learnWeight, 1/float64(t.Count))
	t.Mean += time.Duration(weight * float64(took-t.Mean))
	lengthen(w, s, took)
}
