package quetzalscheduler

import (
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// placeGang places every task of a gang at once, or none: members that wait for the others
// occupy room for nothing. It returns the instant of the next try, zero when only an event helps.
func placeGang(w *quetzalwork.World, p *quetzalwork.Pool, stepRow quetzalwork.Row) quetzalunit.Instant {
	s := w.Steps.At(stepRow)
	if s.Waiting < s.Spec.Count {
		// Members of an earlier run are still there.
		return 0
	}
	for _, taskRow := range s.Tasks {
		if t := w.Tasks.At(taskRow); t.NotBefore > w.Now {
			return t.NotBefore
		}
	}
	minions := chooseGang(w, p, s)
	if minions == nil {
		return remoteFrom(w, p, s)
	}
	shareCheckpoint(w, s)
	var number quetzalunit.RunNumber
	for i, taskRow := range s.Tasks {
		number = startRun(w, taskRow, minions[i], ticketFor(w, s, minions[i]), number)
	}
	s.GangRun = number
	return 0
}

// chooseGang returns a minion for each task of a gang, nil when they do not all fit. A gang
// that works faster on one rack gets one if any rack has room.
func chooseGang(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step) []quetzalwork.Row {
	if s.Spec.SameRack {
		racks := make(map[quetzalunit.RackID]bool)
		for _, row := range p.Minions {
			racks[w.Minions.At(row).Rack] = true
		}
		for _, row := range p.Minions {
			rack := w.Minions.At(row).Rack
			if !racks[rack] {
				continue
			}
			racks[rack] = false
			if minions := chooseGangIn(w, p, s, rack); minions != nil {
				return minions
			}
		}
	}
	if w.Now < remoteFrom(w, p, s) {
		return nil
	}
	return chooseGangIn(w, p, s, "")
}

// chooseGangIn chooses within a rack; an empty one stands for all.
func chooseGangIn(w *quetzalwork.World, p *quetzalwork.Pool, s *quetzalwork.Step, rack quetzalunit.RackID) []quetzalwork.Row {
	within := inRack(w, p, rack)
	reserved := make(map[quetzalwork.Row]quetzalunit.Tasks)
	minions := make([]quetzalwork.Row, 0, len(s.Tasks))
	for _, taskRow := range s.Tasks {
		row := choose(w, within, s, w.Tasks.At(taskRow), reserved)
		if row == 0 {
			return nil
		}
		reserved[row]++
		minions = append(minions, row)
	}
	return minions
}

// inRack returns a pool with the minions of one rack; an empty rack stands for all.
func inRack(w *quetzalwork.World, p *quetzalwork.Pool, rack quetzalunit.RackID) *quetzalwork.Pool {
	if rack == "" {
		return p
	}
	within := *p
	within.Minions = nil
	for _, row := range p.Minions {
		if w.Minions.At(row).Rack == rack {
			within.Minions = append(within.Minions, row)
		}
	}
	return &within
}

// shareCheckpoint gives every member of a gang the same checkpoint; any member's is valid.
func shareCheckpoint(w *quetzalwork.World, s *quetzalwork.Step) {
	var newest quetzalunit.Checkpoint
	var starts quetzalunit.RunNumber
	for _, taskRow := range s.Tasks {
		t := w.Tasks.At(taskRow)
		newest = max(newest, t.Checkpoint)
		starts = max(starts, t.Starts)
	}
	for _, taskRow := range s.Tasks {
		t := w.Tasks.At(taskRow)
		t.Checkpoint = newest
		t.Starts = starts
	}
	// The first member's start takes the next number, and the others share it.
	for _, taskRow := range s.Tasks[1:] {
		w.Tasks.At(taskRow).Starts++
	}
}
