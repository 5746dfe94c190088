package quetzalscheduler

import (
	"math"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// demand.go estimates the capacity that a pool's work could use now, from the rate at which work
// arrives and from the backlog. A rising rate shows before a backlog has built up.

const (
	// drainTime is the time within which the backlog of a pool should be started.
	drainTime = 400 * time.Millisecond
	// offeredTime is the time constant of the mean of the arriving work. offeredShare is the
	// capacity wanted per core of that work; the excess keeps rising work from queueing up.
	offeredTime  = 350 * time.Millisecond
	offeredShare = 1.3
	// trendTime is the time constant of a second, slower mean. The difference between the two
	// means shows how fast the load rises. The load is extrapolated over moveLead, the time that a
	// host takes to arrive, to at most trendMost times the present load.
	trendTime = time.Second
	moveLead  = 1500 * time.Millisecond
	trendMost = 1.6
	// A minion counts as lightly loaded up to lightShare of its cores, lightLasting long-running
	// tasks and lightBound tasks that save no progress.
	lightShare   = 0.3
	lightLasting = 1
	lightBound   = 2
	// joinedLately is how long a minion is reported as joined. The report is repeated because a
	// reply may be lost.
	joinedLately = 3 * time.Second
	// labelLeast is the number of minions that a pool keeps for each label that its steps require.
	labelLeast = 2
)

// loadOf computes the capacity that a pool needs and the hosts that it could give away.
func loadOf(w *quetzalwork.World, row quetzalwork.Row) quetzalwork.PoolLoad {
	p := w.Pools.At(row)
	l := quetzalwork.PoolLoad{Wanted: waitingCores(w, p)}
	var lasting quetzalunit.MilliCores
	use := labelUse(w, p)
	for _, minionRow := range p.Minions {
		m := w.Minions.At(minionRow)
		l.Wanted += m.Used.Cores
		lasting += lastingCores(w, m)
		if usable(w, m) {
			l.Usable += m.Room.Cores
			l.Hosts++
			if w.Now.Sub(m.JoinedAt) < joinedLately && m.Host != "" {
				l.Joined = append(l.Joined, m.Host)
			}
			offer(w, &l, m, use)
		}
	}
	l.Wanted = max(l.Wanted, spreadCores(w, p), lasting+quetzalunit.MilliCores(offeredShare*expectedWork(w, p)))
	l.Missing = missingLabels(use)
	p.Short = l.Wanted > l.Usable
	slices.SortStableFunc(l.Idle, func(a, b quetzalwork.IdleHost) int { return int(b.Since - a.Since) })
	return l
}

// waitingCores returns the capacity for the waiting tasks of the ready steps, without those of jobs
// that cannot meet their objective any more.
func waitingCores(w *quetzalwork.World, p *quetzalwork.Pool) quetzalunit.MilliCores {
	var cores quetzalunit.MilliCores
	for _, row := range p.Ready {
		s := w.Steps.At(row)
		if s == nil || s.Waiting == 0 || w.Jobs.At(s.Job).State.Final() {
			continue
		}
		if rankStep(w, p, s); !s.Rank.Hopeless {
			cores += wantedBy(w, p, s)
		}
	}
	return cores
}

// lastingCores returns the capacity that the long-running tasks on a minion occupy.
func lastingCores(w *quetzalwork.World, m *quetzalwork.Minion) quetzalunit.MilliCores {
	var cores quetzalunit.MilliCores
	for _, run := range m.Runs {
		if r := w.Runs.At(run); w.Steps.At(w.Tasks.At(r.Task).Step).Spec.Lasting {
			cores += r.Needs.Cores
		}
	}
	return cores
}

// offer adds a minion's host to the hosts that the pool could give away, if the minion is idle or
// lightly loaded and not needed for its labels.
func offer(w *quetzalwork.World, l *quetzalwork.PoolLoad, m *quetzalwork.Minion, use map[quetzalunit.Label]int) {
	switch {
	case m.Host == "" || bindsLabel(use, m):
	case len(m.Runs) == 0 && len(m.Ends) == 0:
		l.Idle = append(l.Idle, quetzalwork.IdleHost{Host: m.Host, Since: w.Now.Sub(max(m.IdleSince, m.JoinedAt))})
	case isLight(w, m):
		l.Idle = append(l.Idle, quetzalwork.IdleHost{Host: m.Host})
	}
}

// spreadCores returns the capacity of the hosts that the pool's long-running steps require because
// of MaxPerMinion, and of one more host. Without that one, none of the others could be emptied.
func spreadCores(w *quetzalwork.World, p *quetzalwork.Pool) quetzalunit.MilliCores {
	var hosts quetzalunit.Tasks
	var size quetzalunit.MilliCores
	seen := make(map[quetzalwork.Row]bool)
	look := func(stepRow quetzalwork.Row) {
		s := w.Steps.At(stepRow)
		if s == nil || seen[stepRow] || !s.Spec.Lasting || s.Spec.MaxPerMinion == 0 {
			return
		}
		seen[stepRow] = true
		hosts = max(hosts, (s.Spec.Count+s.Spec.MaxPerMinion-1)/s.Spec.MaxPerMinion)
	}
	for _, row := range p.Ready {
		look(row)
	}
	for _, row := range p.Minions {
		m := w.Minions.At(row)
		size = max(size, m.Room.Cores)
		for _, run := range m.Runs {
			look(w.Tasks.At(w.Runs.At(run).Task).Step)
		}
	}
	if hosts == 0 {
		return 0
	}
	return quetzalunit.MilliCores(hosts+1) * size
}

// labelUse counts the usable minions for each label that a ready or running step requires.
func labelUse(w *quetzalwork.World, p *quetzalwork.Pool) map[quetzalunit.Label]int {
	use := make(map[quetzalunit.Label]int)
	look := func(s *quetzalwork.Step) {
		if s != nil && s.Spec.Label != "" {
			use[s.Spec.Label] += 0
		}
	}
	for _, row := range p.Ready {
		look(w.Steps.At(row))
	}
	for _, row := range p.Minions {
		for _, run := range w.Minions.At(row).Runs {
			look(w.Steps.At(w.Tasks.At(w.Runs.At(run).Task).Step))
		}
	}
	for _, row := range p.Minions {
		if m := w.Minions.At(row); usable(w, m) {
			for _, label := range m.Labels {
				if _, ok := use[label]; ok {
					use[label]++
				}
			}
		}
	}
	return use
}

// missingLabels returns the required labels that fewer than labelLeast usable minions have, sorted.
func missingLabels(use map[quetzalunit.Label]int) []quetzalunit.Label {
	var missing []quetzalunit.Label
	for label, n := range use {
		if n < labelLeast {
			missing = append(missing, label)
		}
	}
	slices.Sort(missing)
	return missing
}

// bindsLabel reports whether a minion has a required label of which the pool has no more than
// labelLeast minions.
func bindsLabel(use map[quetzalunit.Label]int, m *quetzalwork.Minion) bool {
	for label, n := range use {
		if n <= labelLeast && slices.Contains(m.Labels, label) {
			return true
		}
	}
	return false
}

// isLight reports whether a minion is loaded so lightly that it can be emptied soon. Tasks that
// save progress do not count, because they can resume elsewhere.
func isLight(w *quetzalwork.World, m *quetzalwork.Minion) bool {
	if float64(m.Used.Cores) > lightShare*float64(m.Room.Cores) {
		return false
	}
	lasting, bound := 0, 0
	for _, run := range m.Runs {
		spec := w.Steps.At(w.Tasks.At(w.Runs.At(run).Task).Step).Spec
		switch {
		case spec.Lasting:
			lasting++
		case !spec.Checkpoints:
			bound++
		}
	}
	return lasting <= lightLasting && bound <= lightBound
}

// countOffered adds the work of a new job to the pool's means of arriving work. Long-running tasks do
// not count.
func countOffered(w *quetzalwork.World, row quetzalwork.Row) {
	j := w.Jobs.At(row)
	p := w.Pools.At(j.Pool)
	work := 0.0
	for i := range j.Spec.Steps {
		if s := &j.Spec.Steps[i]; !s.Lasting {
			work += float64(s.Count) * float64(s.Needs.Cores) * correctedSpan(p, j.Queue, s.Estimate).Seconds()
		}
	}
	passed := w.Now.Sub(p.OfferedAt)
	p.Offered = p.Offered*decay(passed, offeredTime) + work/offeredTime.Seconds()
	p.OfferedLong = p.OfferedLong*decay(passed, trendTime) + work/trendTime.Seconds()
	p.OfferedAt = w.Now
}

// decay returns the factor by which an exponentially weighted mean with the time constant span
// shrinks over the time passed.
func decay(passed, span time.Duration) float64 {
	return math.Exp(-float64(passed) / float64(span))
}

// expectedWork extrapolates the arriving work, in millicores that it keeps busy, to the time at
// which a host that is ordered now can run tasks.
func expectedWork(w *quetzalwork.World, p *quetzalwork.Pool) float64 {
	passed := w.Now.Sub(p.OfferedAt)
	now, before := p.Offered*decay(passed, offeredTime), p.OfferedLong*decay(passed, trendTime)
	rise := max(0, now-before) / (trendTime - offeredTime).Seconds()
	return min(trendMost*now, now+rise*moveLead.Seconds())
}

// wantedBy returns the capacity that a step's waiting tasks need to be started within drainTime.
// Long-running tasks and gangs need the capacity for all tasks at once.
func wantedBy(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step) quetzalunit.MilliCores {
	all := needsOf(s.Spec).Cores * quetzalunit.MilliCores(s.Waiting)
	if s.Spec.Lasting || s.Spec.Gang {
		return all
	}
	span := expectedSpan(p, w.Jobs.At(s.Job).Queue, s)
	return min(all, quetzalunit.MilliCores(float64(all)*float64(span)/float64(drainTime)))
}
