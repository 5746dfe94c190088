package quetzalscheduler

import (
	"math"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// demand.go tells what a pool's work could use now. Work that arrives faster than before shows in
// the offered work first, before it queues up; what waits shows in the backlog.

const (
	// drainTime is the time in which the waiting work of a pool is to be started.
	drainTime = 400 * time.Millisecond
	// offeredTime is the time over which the work that arrives is averaged, and offeredShare
	// what a pool wants for each core of it, so that rising work does not queue up.
	offeredTime  = 350 * time.Millisecond
	offeredShare = 1.3
	// trendTime is the longer time over which it is averaged, too: by how much the short mean is
	// above the long one shows how fast work rises. moveLead is how long hosts take to arrive,
	// and trendMost bounds what is expected by then, in multiples of the present work.
	trendTime = time.Second
	moveLead  = 1500 * time.Millisecond
	trendMost = 1.6
	// lightShare is the share of its cores up to which a host counts as light, lightLasting and
	// lightBound how many lasting tasks and tasks without saved progress it may run.
	lightShare   = 0.3
	lightLasting = 1
	lightBound   = 2
	// joinedLately is the age up to which a minion is reported as one that has joined: some
	// reports may be lost.
	joinedLately = 3 * time.Second
	// labelLeast is the number of minions that a pool keeps for each label that its steps require.
	labelLeast = 2
)

// loadOf works out what a pool needs and what it could give away.
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

// waitingCores is what the waiting steps that can still meet their objective could use.
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

// lastingCores is what the lasting tasks on a minion occupy.
func lastingCores(w *quetzalwork.World, m *quetzalwork.Minion) quetzalunit.MilliCores {
	var cores quetzalunit.MilliCores
	for _, run := range m.Runs {
		if r := w.Runs.At(run); w.Steps.At(w.Tasks.At(r.Task).Step).Spec.Lasting {
			cores += r.Needs.Cores
		}
	}
	return cores
}

// offer adds the host of a minion to those that the pool could give away.
func offer(w *quetzalwork.World, l *quetzalwork.PoolLoad, m *quetzalwork.Minion, use map[quetzalunit.Label]int) {
	switch {
	case m.Host == "" || bindsLabel(use, m):
	case len(m.Runs) == 0 && len(m.Ends) == 0:
		l.Idle = append(l.Idle, quetzalwork.IdleHost{Host: m.Host, Since: w.Now.Sub(max(m.IdleSince, m.JoinedAt))})
	case isLight(w, m):
		l.Idle = append(l.Idle, quetzalwork.IdleHost{Host: m.Host})
	}
}

// spreadCores is the size of the hosts over which the pool's lasting steps must spread, and of
// one more, without which none of them could be emptied.
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

// labelUse tells how many usable minions have each label that an unfinished step requires.
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

// missingLabels are the required labels that too few usable minions have.
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

// bindsLabel tells whether a minion is one of the few with a label that is required.
func bindsLabel(use map[quetzalunit.Label]int, m *quetzalwork.Minion) bool {
	for label, n := range use {
		if n <= labelLeast && slices.Contains(m.Labels, label) {
			return true
		}
	}
	return false
}

// isLight tells whether a minion runs so little that it can soon be empty: what saves its
// progress, lasting tasks, and few others.
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

// countOffered adds the work of a job that has arrived to the mean of what is offered.
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

// decay is what is left of a mean over a span after a time without anything new.
func decay(passed, span time.Duration) float64 {
	return math.Exp(-float64(passed) / float64(span))
}

// expectedWork is the mean work that will arrive when hosts that are ordered now can work, in
// thousandths of the cores that it keeps busy.
func expectedWork(w *quetzalwork.World, p *quetzalwork.Pool) float64 {
	passed := w.Now.Sub(p.OfferedAt)
	now, before := p.Offered*decay(passed, offeredTime), p.OfferedLong*decay(passed, trendTime)
	rise := max(0, now-before) / (trendTime - offeredTime).Seconds()
	return min(trendMost*now, now+rise*moveLead.Seconds())
}

// wantedBy is what a step's waiting tasks could use so that they are started within drainTime.
func wantedBy(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step) quetzalunit.MilliCores {
	all := needsOf(s.Spec).Cores * quetzalunit.MilliCores(s.Waiting)
	if s.Spec.Lasting || s.Spec.Gang {
		return all
	}
	span := expectedSpan(p, w.Jobs.At(s.Job).Queue, s)
	return min(all, quetzalunit.MilliCores(float64(all)*float64(span)/float64(drainTime)))
}
