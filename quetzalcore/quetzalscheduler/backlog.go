package quetzalscheduler

import (
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Backlog has the numbers of waiting and running tasks of a pool that this entry dispatches.
type Backlog struct {
	Pool             quetzalunit.PoolID
	Waiting, Running quetzalunit.Tasks
	// Minions is the number of minions that accept new tasks.
	Minions int
}

// Backlogs returns the backlog of each pool that this entry dispatches.
func Backlogs(w *quetzalwork.World) []Backlog {
	var list []Backlog
	for _, p := range w.Pools.All() {
		if !p.Held {
			continue
		}
		b := Backlog{Pool: p.ID}
		for _, row := range p.ReadySteps {
			if s := w.Steps.At(row); s != nil {
				b.Waiting += s.Waiting
			}
		}
		for _, late := range p.LateSteps {
			if s := w.Steps.At(late.Step); s != nil && s.Late {
				b.Waiting += s.Waiting
			}
		}
		for _, row := range p.Minions {
			m := w.Minions.At(row)
			b.Running += quetzalunit.Tasks(len(m.Runs))
			if usable(w, m) {
				b.Minions++
			}
		}
		list = append(list, b)
	}
	return list
}

// DutiesReleased reports whether a stopping entry has released all its duties: that of the host
// controller and those of the pools.
func DutiesReleased(w *quetzalwork.World) bool {
	if !w.Stopping || w.HostController.Held || w.PendingReleases > 0 {
		return false
	}
	for _, p := range w.Pools.All() {
		if p.Held {
			return false
		}
	}
	return true
}
