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
	// chainValid is the age up to which the expected run time of a chain is used.
	chainValid = 250 * time.Millisecond
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

// compareRanks orders ready steps: the lower one goes first.
func compareRanks(a, b *quetzalwork.Rank) int {
	return cmp.Or(
		compareFlags(b.Lasting, a.Lasting),
		compareFlags(a.Hopeless, b.Hopeless),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Due, b.Due),
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

// rankSteps puts the ready steps of a pool into the order of placement, and drops those that have
// nothing to place. The order hardly changes between two ticks, which makes sorting cheap.
func rankSteps(w *quetzalwork.World, p *quetzalwork.Pool) {
	p.Ready = slices.DeleteFunc(p.Ready, func(row quetzalwork.Row) bool {
		s := w.Steps.At(row)
		if s == nil {
			return true
		}
		if s.Waiting == 0 || w.Jobs.At(s.Job).State.Final() {
			s.Listed = false
			return true
		}
		rankStep(w, p, s)
		return false
	})
	slices.SortFunc(p.Ready, func(a, b quetzalwork.Row) int {
		return cmp.Or(compareRanks(&w.Steps.At(a).Rank, &w.Steps.At(b).Rank), cmp.Compare(a, b))
	})
}

// rankStep brings the rank of a step up to date. What is expected of its chain is worked out
// anew from time to time only.
func rankStep(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step) {
	j := w.Jobs.At(s.Job)
	r := &s.Rank
	if r.ChainAt == 0 || w.Now.Sub(r.ChainAt) > chainValid {
		r.Chain, r.ChainAt = remainingChain(w, p, j, s), w.Now
		r.Lasting = s.Spec.Lasting
		if q := w.Queues.At(w.QueueByID.Get(j.Queue)); q != nil {
			r.Priority = q.Priority
		}
	}
	r.Due = j.Objective.Add(-r.Chain)
	margin := marginTime + time.Duration(marginShare*float64(r.Chain))
	r.Hopeless = !r.Lasting && w.Now.Add(margin) > r.Due
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
