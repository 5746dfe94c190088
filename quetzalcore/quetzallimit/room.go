package quetzallimit

import (
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// This file estimates what a pool has room for. A part of a cap is of use only where tasks can start.

const (
	// soonTime is the time within which room that runs leave counts as present.
	soonTime = time.Second
	// A run that is overdue by more than its expected time and overdueTime does not count as ending.
	overdueTime = 5 * time.Second
)

// roomKey is what the room for the tasks of a step depends on.
type roomKey struct {
	needs       quetzalunit.Resources
	label       quetzalunit.Label
	longRunning bool
}

// room is the room on the usable minions of a pool.
type room struct {
	minions []minionRoom
	// soon is the sum of the room on the minions.
	soon quetzalunit.Resources
	// tasks caches what tasksFor returns.
	tasks map[roomKey]quetzalunit.Tasks
}

// minionRoom is the room on a minion: once the runs have ended that end soon, and beside long-running tasks only.
// Long-running tasks are placed first, so that all others make room for them.
type minionRoom struct {
	row          quetzalwork.Row
	minion       *quetzalwork.Minion
	soon, firmly quetzalunit.Resources
}

// roomOf returns the room in a pool, and adds up in the holdings what ends soon of each account, and what its
// long-running tasks use.
func roomOf(w *quetzalwork.World, p *quetzalwork.Pool) *room {
	r := &room{tasks: make(map[roomKey]quetzalunit.Tasks)}
	for _, row := range p.Minions {
		m := w.Minions.At(row)
		usable := m.Listed && m.Answered && !m.HostWithdrawn && !m.Replaced && !m.Draining && m.MissedAnswers == 0 && w.Now >= m.CordonedUntil && m.IsolatedRun == 0
		soon, firmly := m.Free(), m.Free()
		for _, runRow := range m.Runs {
			run := w.Runs.At(runRow)
			s := w.Steps.At(w.Tasks.At(run.Task).Step)
			h := HoldingOfJob(w, w.Jobs.At(s.Job))
			if s.Spec.LongRunning {
				if h != nil {
					h.FirmUsed = h.FirmUsed.Plus(s.Spec.Resources)
				}
				continue
			}
			firmly = firmly.Plus(run.Resources)
			if !usable || !endsSoon(w, s, run) {
				continue
			}
			soon = soon.Plus(run.Resources)
			if h != nil {
				h.Ending = h.Ending.Plus(run.Resources)
			}
		}
		if !usable {
			continue
		}
		soon = positive(soon)
		r.minions = append(r.minions, minionRoom{row: row, minion: m, soon: soon, firmly: firmly})
		r.soon = r.soon.Plus(soon)
	}
	return r
}

// endsSoon reports whether a run of a task that ends is expected to end within soonTime.
func endsSoon(w *quetzalwork.World, s *quetzalwork.Step, run *quetzalwork.Run) bool {
	expected := max(s.Spec.Estimate, s.MeanRunTime)
	left := expected - w.Now.Sub(run.StartedAt)
	return left < soonTime && -left < expected+overdueTime
}

// tasksFor returns how many more tasks of a step have room soon.
func (r *room) tasksFor(s *quetzalwork.Step) quetzalunit.Tasks {
	key := roomKey{needs: s.Spec.Resources, label: s.Spec.RequiredLabel, longRunning: s.Spec.LongRunning}
	if s.Spec.BestEffort {
		key.needs.Cores = 0
	}
	// Steps with such limits are few.
	shared := s.Spec.MaxPerMinion == 0 && s.Advice.Tickets == nil
	n, ok := r.tasks[key]
	if ok && shared {
		return n
	}
	n = 0
	for i := range r.minions {
		n += r.minions[i].tasksFor(s, key)
	}
	if shared {
		r.tasks[key] = n
	}
	return n
}

// tasksFor returns how many more tasks of a step have room on the minion soon.
func (m *minionRoom) tasksFor(s *quetzalwork.Step, key roomKey) quetzalunit.Tasks {
	if key.label != "" && !slices.Contains(m.minion.Labels, key.label) {
		return 0
	}
	if s.Advice.Tickets != nil {
		if _, ok := s.Advice.Tickets[m.minion.ID]; !ok {
			return 0
		}
	}
	free := m.soon
	if key.longRunning {
		free = m.firmly
	}
	n := quetzalaccount.Fits(key.needs, free)
	if s.Spec.MaxPerMinion > 0 {
		n = min(n, max(0, s.Spec.MaxPerMinion-s.RunsPerMinion[m.row]))
	}
	return n
}

// positive returns r with zero for its negative components.
func positive(r quetzalunit.Resources) quetzalunit.Resources {
	return quetzalunit.Resources{Cores: max(0, r.Cores), Memory: max(0, r.Memory), Accelerators: max(0, r.Accelerators)}
}
