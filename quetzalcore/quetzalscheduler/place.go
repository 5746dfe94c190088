package quetzalscheduler

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// place.go chooses the minion of each task. It prefers the minion that keeps the least free
// capacity, so that large tasks still fit later (best fit), and one in the rack of the step's
// data. It avoids slow minions and the one on which the task failed last.

const (
	// localityWaitFactor times the additional run time away from the data is how long a step
	// waits for a minion in the rack of its data.
	localityWaitFactor = 0.6
	// remotePenalty is added to the score of a minion outside the rack of the step's data.
	remotePenalty = 4.0
	// avoidPenalty is added to the score of the minion on which the task failed last.
	avoidPenalty = 8.0
	// When a long-running task is placed, unsharedPenalty is added to the score of a minion
	// that has no long-running task yet, and rackPenalty for each task of the same step in the
	// minion's rack.
	unsharedPenalty = 1.0
	rackPenalty     = 0.7
	// sharedPenalty is added to the score of a minion for each of its runs when a suspect task is
	// placed. It outweighs the other penalties.
	sharedPenalty = 100.0
	// slowdownPenalty times the slowdown is added to the score of a minion above
	// slowdownThreshold.
	slowdownPenalty = 2.0
	// slowdownThreshold is the slowdown up to which minions are treated as equally fast.
	slowdownThreshold = 1.4
	// From minSpacedSteps on, placementIntervalPerStep times the number of ready steps is the time
	// between two placement passes, up to maxPlacementInterval.
	minSpacedSteps           = 32
	placementIntervalPerStep = 20 * time.Microsecond
	maxPlacementInterval     = 20 * time.Millisecond
)

// placeTasks places the waiting tasks of the pools that have NeedsPlacement set. In a pool with many
// ready steps, the passes are at least placementInterval apart.
func placeTasks(w *quetzalwork.World) {
	for row, p := range w.Pools.All() {
		if !p.NeedsPlacement || !p.Held || !p.JobsLoaded || !mayExtendLeases(w) {
			continue
		}
		p.NeedsPlacement = false
		if next := p.PlacedAt.Add(placementInterval(p)); w.Now < next {
			schedulePlacement(w, row, next)
			continue
		}
		p.PlacedAt = w.Now
		placePool(w, row)
		w.Meter.EndPool(quetzalwork.PhasePlacement, p.ID)
	}
}

// placementInterval returns the time between two placement passes. At its peak a large pool has
// thousands of ready steps, and a run ends in nearly every tick. A pass in each tick would need more
// processor time than the entry has.
func placementInterval(p *quetzalwork.Pool) time.Duration {
	if len(p.ReadySteps) < minSpacedSteps {
		return 0
	}
	return min(maxPlacementInterval, time.Duration(len(p.ReadySteps))*placementIntervalPerStep)
}

// schedulePlacement sets the timer for the next placement pass of a pool unless it is set for an
// earlier instant.
func schedulePlacement(w *quetzalwork.World, poolRow quetzalwork.Row, at quetzalunit.Instant) {
	if p := w.Pools.At(poolRow); p.NextPlacementAt == 0 || at < p.NextPlacementAt {
		p.NextPlacementAt = at
		w.Timers.Push(at, quetzalwork.PlacementDue{Pool: poolRow})
	}
}

// placePool places the waiting tasks of a pool in the order of their rank. It sets a timer for
// the earliest instant at which a task that was not placed may be tried again.
func placePool(w *quetzalwork.World, poolRow quetzalwork.Row) {
	p := w.Pools.At(poolRow)
	pass := placementPass{w: w, pool: p, fc: freeCapacityOf(w, p), predecessorWait: predecessorWait(w, poolRow)}
	pass.fc.startsLeft = startsLeft(w)
	if pass.predecessorWait != "" {
		pass.retryAt = p.PredecessorLeasesEnd
	}
	if w.Accounts.InUse {
		quetzallimit.MarkAhead(w, p, usableCores(w, pass.fc))
	}
	rankSteps(w, p)
	if w.Bounds.KeepGaps {
		reserveGaps(w, p, pass.fc)
	}
	for _, row := range p.ReadySteps {
		pass.place(row)
	}
	pass.placeLateSteps()
	if pass.retryAt > w.Now {
		schedulePlacement(w, poolRow, pass.retryAt)
	}
}

// placementPass places the tasks of one pool within one tick.
type placementPass struct {
	w    *quetzalwork.World
	pool *quetzalwork.Pool
	fc   *freeCapacity
	// predecessorWait, if not empty, excludes the jobs that were stored before the takeover. It is the
	// reason.
	predecessorWait quetzalwork.WaitReason
	// retryAt is the earliest instant at which a task that was not placed may be tried again; zero
	// if there is none.
	retryAt quetzalunit.Instant
}

// place places as many tasks of a step as it can.
func (pass *placementPass) place(row quetzalwork.Row) {
	s := pass.w.Steps.At(row)
	if s == nil {
		return
	}
	longRunning := s.Spec.LongRunning
	if pass.predecessorWait != "" && pass.w.Jobs.At(s.Job).DutyRevision < quetzalunit.Revision(pass.pool.Token) {
		if longRunning {
			noteUnplaced(pass.w, pass.pool, s, pass.predecessorWait)
		}
		return
	}
	pass.retryAt = earliest(pass.retryAt, placeStep(pass.w, pass.pool, pass.fc, row))
	if longRunning && s.Waiting > 0 {
		noteUnplaced(pass.w, pass.pool, s, unplacedReason(pass.w, pass.pool, pass.fc, s))
		if !s.Spec.BestEffort && earliestRoom(pass.w, pass.pool, pass.fc, s) != 0 {
			quetzallimit.KeepIfShort(pass.w, pass.w.Jobs.At(s.Job), s.Spec.Resources)
		}
	}
}

// earliest returns the earlier of two instants, of which zero ones do not count.
func earliest(a, b quetzalunit.Instant) quetzalunit.Instant {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// placeLateSteps places the late steps for which there is room.
func (pass *placementPass) placeLateSteps() {
	pass.pool.LateSteps = slices.DeleteFunc(pass.pool.LateSteps, func(late quetzalwork.LateStep) bool {
		s := pass.w.Steps.At(late.Step)
		switch {
		case s == nil || !s.Late:
			return true
		case s.Waiting == 0 || pass.w.Jobs.At(s.Job).State.Final():
			s.Enqueued, s.Late = false, false
			return true
		case !pass.fc.knownMisfit(s):
			pass.place(late.Step)
		}
		return false
	})
}

// placeStep places as many tasks of a step as it can. It returns the instant of the next try,
// zero if an input triggers it.
func placeStep(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity, stepRow quetzalwork.Row) quetzalunit.Instant {
	s := w.Steps.At(stepRow)
	if needsAdvice(w, s) {
		return requestAdvice(w, p, stepRow)
	}
	if s.Spec.Gang {
		return placeGang(w, p, fc, stepRow)
	}
	if fc.knownMisfit(s) {
		return 0
	}
	all := fc
	retryAt := remoteAllowedAt(w, p, fc, s)
	if w.Now < retryAt {
		fc = fc.inRack(w, s.Spec.DataRack)
	} else {
		retryAt = 0
	}
	for _, taskRow := range s.Tasks {
		t := w.Tasks.At(taskRow)
		if t.State != quetzalwork.TaskWaiting {
			continue
		}
		if !mayStart(p, t) {
			continue
		}
		if !limitsPermit(w, p, all, stepRow) {
			break
		}
		if t.NotBefore > w.Now {
			retryAt = earliest(retryAt, t.NotBefore)
			continue
		}
		minion := chooseMinion(w, fc, s, t, nil)
		if minion == 0 {
			keepRoom(w, p, fc, stepRow)
			break
		}
		if at := isolationWait(w, p, t, minion); at != 0 {
			retryAt = earliest(retryAt, at)
			continue
		}
		startRun(w, taskRow, minion, ticketFor(w, s, minion), 0)
		all.startsLeft--
		if len(fc.reservations) > 0 {
			fc.countStart(s, minion, w.Now.Add(expectedRunTime(p, w.Jobs.At(s.Job).Queue, s)))
		}
	}
	return retryAt
}

// limitsPermit reports whether the cap of the job's account and the orders in progress permit the start of another task
// of a step.
func limitsPermit(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity, stepRow quetzalwork.Row) bool {
	s := w.Steps.At(stepRow)
	if !quetzallimit.Permits(w, w.Jobs.At(s.Job), s.Spec.Resources) {
		releaseRoom(w, fc, stepRow)
		return false
	}
	if fc.startsLeft <= 0 && !s.Spec.LongRunning {
		p.StartsLimited = true
		return false
	}
	return true
}

// remoteAllowedAt returns the instant from which on a step may run outside the rack of its data,
// or a gang on several racks; zero means at once. Such a run takes several times as long, so that
// waiting for capacity in the rack for a while pays off.
func remoteAllowedAt(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity, s *quetzalwork.Step) quetzalunit.Instant {
	prefersRack := s.Spec.SameRack && s.Spec.Gang
	if s.Spec.DataRack != "" {
		prefersRack = prefersRack || slices.ContainsFunc(fc.minions, func(row quetzalwork.Row) bool {
			m := w.Minions.At(row)
			return m.Rack == s.Spec.DataRack && eligible(s, m)
		})
	}
	if !prefersRack || s.Spec.LongRunning || w.Bounds.RemoteFactor <= 1 {
		return 0
	}
	runTime := expectedRunTime(p, w.Jobs.At(s.Job).Queue, s)
	return s.RunnableAt.Add(time.Duration(localityWaitFactor * (w.Bounds.RemoteFactor - 1) * float64(runTime)))
}

// chooseMinion returns the best minion for a task of a step, zero if none can run it now. For a
// gang, reserved counts the tasks that are already assigned to each minion but not started.
func chooseMinion(w *quetzalwork.World, fc *freeCapacity, s *quetzalwork.Step, t *quetzalwork.Task, reserved map[quetzalwork.Row]quetzalunit.Tasks) quetzalwork.Row {
	var best quetzalwork.Row
	var bestScore float64
	needs := needsOf(s.Spec)
	if fc.knownMisfit(s) {
		return 0
	}
	fits := false
	for _, row := range fc.minions {
		m := w.Minions.At(row)
		free := m.Free()
		for range reserved[row] {
			free = free.Minus(needs)
		}
		if m.IsolatedRun != 0 || awaitsAck(w, m) || !needs.FitsIn(free) || !fitsBesideReservation(w, m, s, free) {
			continue
		}
		fits = true
		if exclusion(w, fc, s, row, needs, reserved[row]) != "" {
			continue
		}
		if score := scoreOf(w, s, t, row, free); best == 0 || score < bestScore {
			best, bestScore = row, score
		}
	}
	if !fits && reserved == nil && !s.Spec.LongRunning {
		fc.recordMisfit(needs)
	}
	return best
}

// usable reports whether a minion takes new work.
func usable(w *quetzalwork.World, m *quetzalwork.Minion) bool {
	if m.Untracked.UnknownUse && !w.Pools.At(m.PoolRow).EnforcesCapacity {
		// The free capacity is not known, and the minion rejects nothing.
		return false
	}
	if m.RecordIncarnation != 0 && m.RecordIncarnation < m.Incarnation {
		// Capacity and labels of the present incarnation are not known.
		return false
	}
	// A read of the duties that was sent after the minion joined or restarted shows that no successor as the
	// pool's dispatcher has used the minion.
	return m.Listed && m.Answered && !m.HostWithdrawn && !m.Replaced && w.Membership.ReadSentAt >= incarnationSeenAt(m) && m.MissedAnswers == 0 && !m.Draining && w.Now >= m.CordonedUntil && w.Now >= m.FailureBackoffUntil && w.Now >= m.RejectionBackoffUntil
}

// eligible reports whether the step's label and the advisor's tickets permit a minion.
func eligible(s *quetzalwork.Step, m *quetzalwork.Minion) bool {
	if s.Spec.RequiredLabel != "" && !slices.Contains(m.Labels, s.Spec.RequiredLabel) {
		return false
	}
	if s.Advice.Tickets != nil {
		_, ok := s.Advice.Tickets[m.ID]
		return ok
	}
	return true
}

// scoreOf rates a minion for a task; lower is better.
func scoreOf(w *quetzalwork.World, s *quetzalwork.Step, t *quetzalwork.Task, row quetzalwork.Row, free quetzalunit.Resources) float64 {
	m := w.Minions.At(row)
	score := freeShare(m, free)
	if s.Spec.LongRunning {
		score = longRunningScore(w, s, m, score)
	}
	if s.Spec.DataRack != "" && s.Spec.DataRack != m.Rack {
		score += remotePenalty
	}
	if t.AvoidMinion == row {
		score += avoidPenalty
	}
	if t.Suspect && !s.Spec.Gang {
		score += sharedPenalty * float64(len(m.Runs))
	}
	if m.Slowdown > slowdownThreshold {
		score += slowdownPenalty * m.Slowdown
	}
	return score + float64(m.ConsecutiveFailures)
}

// longRunningScore rates a minion for a long-running task. Tasks that serve requests
// (TailLatencyTarget) and best-effort tasks go to the minions with the fewest runs, because other
// runs on the same minion slow them down. All others are packed on few minions, so that the
// remaining hosts can move to pools with waiting work; the tasks of one step are still spread
// over the racks.
func longRunningScore(w *quetzalwork.World, s *quetzalwork.Step, m *quetzalwork.Minion, free float64) float64 {
	longRunning := 0
	for _, run := range m.Runs {
		if other := w.Steps.At(w.Tasks.At(w.Runs.At(run).Task).Step); other.Spec.LongRunning {
			longRunning++
		}
	}
	if s.Spec.TailLatencyTarget > 0 || s.Spec.BestEffort {
		return float64(len(m.Runs)+longRunning) - free
	}
	score := free
	if longRunning == 0 {
		score += unsharedPenalty
	}
	for _, row := range s.Tasks {
		for _, run := range w.Tasks.At(row).Runs {
			if w.Minions.At(w.Runs.At(run).Minion).Rack == m.Rack {
				score += rackPenalty
			}
		}
	}
	return score
}

// freeShare returns the share of a minion's capacity that is free: the larger of the shares of
// cores and memory.
func freeShare(m *quetzalwork.Minion, free quetzalunit.Resources) float64 {
	share := 0.0
	if m.Capacity.Cores > 0 {
		share = float64(free.Cores) / float64(m.Capacity.Cores)
	}
	if m.Capacity.Memory > 0 {
		share = max(share, float64(free.Memory)/float64(m.Capacity.Memory))
	}
	return share
}
