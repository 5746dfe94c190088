package quetzalscheduler

import (
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// placeGang places every task of a gang at once, or none: members that wait for the others
// occupy room for nothing. It returns the instant of the next try, zero when only an event helps.
func placeGang(w *quetzalwork.World, p *quetzalwork.Pool, r *room, stepRow quetzalwork.Row) quetzalunit.Instant {
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
	minions := chooseGang(w, p, r, s)
	if minions == nil {
		return remoteFrom(w, p, r, s)
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
func chooseGang(w *quetzalwork.World, p *quetzalwork.Pool, r *room, s *quetzalwork.Step) []quetzalwork.Row {
	if s.Spec.SameRack {
		racks := make(map[quetzalunit.RackID]bool)
		for _, row := range r.minions {
			racks[w.Minions.At(row).Rack] = true
		}
		for _, row := range r.minions {
			rack := w.Minions.At(row).Rack
			if !racks[rack] {
				continue
			}
			racks[rack] = false
			if minions := chooseGangIn(w, r.inRack(w, rack), s); minions != nil {
				return minions
			}
		}
	}
	if w.Now < remoteFrom(w, p, r, s) {
		return nil
	}
	return chooseGangIn(w, r, s)
}

// chooseGangIn chooses among the minions of a room.
func chooseGangIn(w *quetzalwork.World, r *room, s *quetzalwork.Step) []quetzalwork.Row {
	reserved := make(map[quetzalwork.Row]quetzalunit.Tasks)
	minions := make([]quetzalwork.Row, 0, len(s.Tasks))
	for _, taskRow := range s.Tasks {
		row := choose(w, r, s, w.Tasks.At(taskRow), reserved)
		if row == 0 {
			return nil
		}
		reserved[row]++
		minions = append(minions, row)
	}
	return minions
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
