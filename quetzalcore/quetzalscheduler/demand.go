package quetzalscheduler

import (
	"math"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// This file estimates the capacity that a pool's work could use now, from the offered load (the work
// that arrives per time) and from the backlog. A rising load shows before a backlog has built up.

const (
	// backlogStartTime is the time within which the backlog of a pool should be started.
	backlogStartTime = 400 * time.Millisecond
	// offeredTimeConstant is the time constant of the moving average of the offered load.
	// offeredHeadroom is the capacity wanted per core of that load; the excess over 1 keeps work from
	// queueing up while the load rises.
	offeredTimeConstant = 350 * time.Millisecond
	offeredHeadroom     = 1.3
	// trendTimeConstant is the time constant of a second, slower average. The difference between the
	// two averages shows how fast the load rises. The load is extrapolated over moveLeadTime, the
	// time that a host takes to arrive, to at most maxTrendFactor times the present load.
	trendTimeConstant = time.Second
	moveLeadTime      = 1500 * time.Millisecond
	maxTrendFactor    = 1.6
	// A minion counts as lightly loaded up to lightCoreShare of its cores, lightLongRunningTasks
	// long-running tasks and lightUnsavedTasks other tasks that write no checkpoints.
	lightCoreShare        = 0.3
	lightLongRunningTasks = 1
	lightUnsavedTasks     = 2
	// joinReportTime is how long a minion is reported as joined. The report is repeated because a
	// reply may be lost.
	joinReportTime = 3 * time.Second
	// minLabelMinions is the number of minions that a pool keeps for each label that its steps
	// require.
	minLabelMinions = 2
)

// computeLoad computes the capacity that a pool needs and the hosts that it could give away.
func computeLoad(w *quetzalwork.World, row quetzalwork.Row) quetzalwork.PoolLoad {
	p := w.Pools.At(row)
	l := quetzalwork.PoolLoad{Wanted: waitingCores(w, p)}
	var longRunning quetzalunit.MilliCores
	labelCounts := countLabels(w, p)
	for _, minionRow := range p.Minions {
		m := w.Minions.At(minionRow)
		l.Wanted += equivalentCores(m.Used, m.Capacity)
		longRunning += longRunningCores(w, m)
		if usable(w, m) {
			l.Usable += m.Capacity.Cores
			l.UsableHosts++
			if w.Now.Sub(m.FirstSeenAt) < joinReportTime && m.Host != "" {
				l.JoinedHosts = append(l.JoinedHosts, m.Host)
			}
			addMovableHost(w, &l, m, labelCounts)
		}
	}
	l.Wanted = max(l.Wanted, spreadCores(w, p), longRunning+quetzalunit.MilliCores(offeredHeadroom*expectedLoad(w, p)))
	l.MissingLabels = missingLabels(labelCounts)
	p.ShortOfCapacity = l.Wanted > l.Usable
	slices.SortStableFunc(l.MovableHosts, func(a, b quetzalwork.MovableHost) int { return int(b.IdleFor - a.IdleFor) })
	return l
}

// waitingCores returns the capacity for the waiting tasks of the ready steps, without those of jobs
// that can no longer meet their objective and those beyond the caps of their accounts.
func waitingCores(w *quetzalwork.World, p *quetzalwork.Pool) quetzalunit.MilliCores {
	var cores quetzalunit.MilliCores
	headroom := quetzallimit.Headroom{}
	for _, row := range p.ReadySteps {
		s := w.Steps.At(row)
		if s == nil || s.Waiting == 0 || w.Jobs.At(s.Job).State.Final() {
			continue
		}
		if rankStep(w, p, s); !s.Rank.ObjectiveUnreachable {
			cores += headroom.Take(w, w.Jobs.At(s.Job), wantedCores(w, p, s))
		}
	}
	return cores
}

// largestCapacity returns the capacity of the largest minion of a pool.
func largestCapacity(w *quetzalwork.World, p *quetzalwork.Pool) quetzalunit.Resources {
	var capacity quetzalunit.Resources
	for _, row := range p.Minions {
		if m := w.Minions.At(row); m.Capacity.Cores > capacity.Cores {
			capacity = m.Capacity
		}
	}
	return capacity
}

// equivalentCores returns how many cores of a minion with the given capacity others cannot use next
// to tasks with the given needs: the largest of their shares of cores, memory and accelerators.
func equivalentCores(needs, capacity quetzalunit.Resources) quetzalunit.MilliCores {
	cores := needs.Cores
	if capacity.Memory > 0 {
		cores = max(cores, quetzalunit.MilliCores(int64(capacity.Cores)*int64(needs.Memory)/int64(capacity.Memory)))
	}
	if capacity.Accelerators > 0 {
		cores = max(cores, quetzalunit.MilliCores(int64(capacity.Cores)*int64(needs.Accelerators)/int64(capacity.Accelerators)))
	}
	return cores
}

// longRunningCores returns the capacity that the long-running tasks on a minion occupy.
func longRunningCores(w *quetzalwork.World, m *quetzalwork.Minion) quetzalunit.MilliCores {
	var cores quetzalunit.MilliCores
	for _, run := range m.Runs {
		if r := w.Runs.At(run); w.Steps.At(w.Tasks.At(r.Task).Step).Spec.LongRunning {
			cores += equivalentCores(r.Resources, m.Capacity)
		}
	}
	return cores
}

// addMovableHost adds a minion's host to the hosts that the pool could give away, if the minion is
// idle or lightly loaded and not needed for its labels.
func addMovableHost(w *quetzalwork.World, l *quetzalwork.PoolLoad, m *quetzalwork.Minion, labelCounts map[quetzalunit.Label]int) {
	switch {
	case m.Host == "" || isNeededForLabel(labelCounts, m):
	case len(m.Runs) == 0 && len(m.Ends.Open()) == 0:
		l.MovableHosts = append(l.MovableHosts, quetzalwork.MovableHost{Host: m.Host, IdleFor: w.Now.Sub(max(m.IdleSince, m.FirstSeenAt))})
	case isLightlyLoaded(w, m):
		l.MovableHosts = append(l.MovableHosts, quetzalwork.MovableHost{Host: m.Host})
	}
}

// spreadCores returns the capacity of the hosts that the pool's long-running steps require because
// of MaxPerMinion, and of one more host. Without that one, none of the others could be evacuated.
func spreadCores(w *quetzalwork.World, p *quetzalwork.Pool) quetzalunit.MilliCores {
	var hosts quetzalunit.Tasks
	var size quetzalunit.MilliCores
	seen := make(map[quetzalwork.Row]bool)
	addStep := func(stepRow quetzalwork.Row) {
		s := w.Steps.At(stepRow)
		if s == nil || seen[stepRow] || !s.Spec.LongRunning || s.Spec.MaxPerMinion == 0 {
			return
		}
		seen[stepRow] = true
		hosts = max(hosts, (s.Spec.TaskCount+s.Spec.MaxPerMinion-1)/s.Spec.MaxPerMinion)
	}
	for _, row := range p.ReadySteps {
		addStep(row)
	}
	for _, row := range p.Minions {
		m := w.Minions.At(row)
		size = max(size, m.Capacity.Cores)
		for _, run := range m.Runs {
			addStep(w.Tasks.At(w.Runs.At(run).Task).Step)
		}
	}
	if hosts == 0 {
		return 0
	}
	return quetzalunit.MilliCores(hosts+1) * size
}

// countLabels counts the usable minions for each label that a ready or running step requires.
func countLabels(w *quetzalwork.World, p *quetzalwork.Pool) map[quetzalunit.Label]int {
	counts := make(map[quetzalunit.Label]int)
	addLabel := func(s *quetzalwork.Step) {
		if s != nil && s.Spec.RequiredLabel != "" {
			counts[s.Spec.RequiredLabel] += 0
		}
	}
	for _, row := range p.ReadySteps {
		addLabel(w.Steps.At(row))
	}
	for _, late := range p.LateSteps {
		addLabel(w.Steps.At(late.Step))
	}
	for _, row := range p.Minions {
		for _, run := range w.Minions.At(row).Runs {
			addLabel(w.Steps.At(w.Tasks.At(w.Runs.At(run).Task).Step))
		}
	}
	for _, row := range p.Minions {
		if m := w.Minions.At(row); usable(w, m) {
			for _, label := range m.Labels {
				if _, ok := counts[label]; ok {
					counts[label]++
				}
			}
		}
	}
	return counts
}

// missingLabels returns the required labels that fewer than minLabelMinions usable minions have,
// sorted.
func missingLabels(labelCounts map[quetzalunit.Label]int) []quetzalunit.Label {
	var missing []quetzalunit.Label
	for label, n := range labelCounts {
		if n < minLabelMinions {
			missing = append(missing, label)
		}
	}
	slices.Sort(missing)
	return missing
}

// isNeededForLabel reports whether a minion has a required label of which the pool has no more than
// minLabelMinions minions.
func isNeededForLabel(labelCounts map[quetzalunit.Label]int, m *quetzalwork.Minion) bool {
	for label, n := range labelCounts {
		if n <= minLabelMinions && slices.Contains(m.Labels, label) {
			return true
		}
	}
	return false
}

// isLightlyLoaded reports whether a minion is loaded so lightly that its host can be evacuated soon.
// Tasks that write checkpoints do not count, because they can resume elsewhere.
func isLightlyLoaded(w *quetzalwork.World, m *quetzalwork.Minion) bool {
	if float64(m.Used.Cores) > lightCoreShare*float64(m.Capacity.Cores) {
		return false
	}
	longRunning, unsaved := 0, 0
	for _, run := range m.Runs {
		spec := w.Steps.At(w.Tasks.At(w.Runs.At(run).Task).Step).Spec
		switch {
		case spec.LongRunning:
			longRunning++
		case !spec.Checkpointing:
			unsaved++
		}
	}
	return longRunning <= lightLongRunningTasks && unsaved <= lightUnsavedTasks
}

// addOfferedLoad adds the work of a new job to the two moving averages of the pool's offered load.
// Long-running tasks do not count.
func addOfferedLoad(w *quetzalwork.World, row quetzalwork.Row) {
	j := w.Jobs.At(row)
	p := w.Pools.At(j.Pool)
	work := 0.0
	for i := range j.Spec.Steps {
		if s := &j.Spec.Steps[i]; !s.LongRunning {
			work += float64(s.TaskCount) * float64(s.Resources.Cores) * correctedEstimate(p, j.Queue, s.Estimate).Seconds()
		}
	}
	elapsed := w.Now.Sub(p.OfferedLoadAt)
	p.OfferedLoad = p.OfferedLoad*decayFactor(elapsed, offeredTimeConstant) + work/offeredTimeConstant.Seconds()
	p.OfferedLoadLong = p.OfferedLoadLong*decayFactor(elapsed, trendTimeConstant) + work/trendTimeConstant.Seconds()
	p.OfferedLoadAt = w.Now
}

// decayFactor returns the factor by which an exponentially weighted average with the given time
// constant shrinks over the elapsed time.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

// expectedLoad extrapolates the offered load, in millicores, to the time at which a host that is
// ordered now can run tasks.
func expectedLoad(w *quetzalwork.World, p *quetzalwork.Pool) float64 {
	elapsed := w.Now.Sub(p.OfferedLoadAt)
	fast, slow := p.OfferedLoad*decayFactor(elapsed, offeredTimeConstant), p.OfferedLoadLong*decayFactor(elapsed, trendTimeConstant)
	rise := max(0, fast-slow) / (trendTimeConstant - offeredTimeConstant).Seconds()
	return min(maxTrendFactor*fast, fast+rise*moveLeadTime.Seconds())
}

// wantedCores returns the capacity that a step's waiting tasks need to be started within
// backlogStartTime. Long-running tasks and gangs need the capacity for all tasks at once.
func wantedCores(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step) quetzalunit.MilliCores {
	needs := needsOf(s.Spec)
	if s.Spec.LongRunning || s.Spec.Gang {
		return equivalentCores(needs, largestCapacity(w, p)) * quetzalunit.MilliCores(s.Waiting)
	}
	all := needs.Cores * quetzalunit.MilliCores(s.Waiting)
	runTime := expectedRunTime(p, w.Jobs.At(s.Job).Queue, s)
	return min(all, quetzalunit.MilliCores(float64(all)*float64(runTime)/float64(backlogStartTime)))
}
