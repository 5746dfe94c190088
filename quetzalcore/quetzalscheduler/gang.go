package quetzalscheduler

import (
	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// placeGang places all tasks of a gang or none, since tasks that wait for the others occupy
// capacity without doing work. It returns the time of the next try, zero if an input triggers
// it.
func placeGang(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity, stepRow quetzalwork.Row) quetzalunit.Instant {
	s := w.Steps.At(stepRow)
	if s.Waiting < s.Spec.TaskCount {
		// Tasks of an earlier run of the gang are still active.
		return 0
	}
	for _, taskRow := range s.Tasks {
		t := w.Tasks.At(taskRow)
		if !mayStart(p, t) {
			return 0
		}
		if t.NotBefore > w.Now {
			return t.NotBefore
		}
	}
	if !quetzallimit.Permits(w, w.Jobs.At(s.Job), quetzallimit.Times(s.Spec.Resources, s.Spec.TaskCount)) {
		return 0
	}
	minions := chooseGangMinions(w, p, fc, s)
	if minions == nil {
		return remoteAllowedAt(w, p, fc, s)
	}
	shareCheckpoint(w, s)
	var number quetzalunit.RunNumber
	for i, taskRow := range s.Tasks {
		number = startRun(w, taskRow, minions[i], ticketFor(w, s, minions[i]), number)
	}
	s.GangRunNumber = number
	return 0
}

// chooseGangMinions returns a minion for each task of a gang, or nil if they do not all fit. A
// gang that is faster within one rack gets the first rack with enough capacity. It may be spread
// over several racks only from remoteAllowedAt on.
func chooseGangMinions(w *quetzalwork.World, p *quetzalwork.Pool, fc *freeCapacity, s *quetzalwork.Step) []quetzalwork.Row {
	if s.Spec.SameRack {
		racks := make(map[quetzalunit.RackID]bool)
		for _, row := range fc.minions {
			racks[w.Minions.At(row).Rack] = true
		}
		for _, row := range fc.minions {
			rack := w.Minions.At(row).Rack
			if !racks[rack] {
				continue
			}
			racks[rack] = false
			if minions := chooseGangMinionsIn(w, fc.inRack(w, rack), s); minions != nil {
				return minions
			}
		}
	}
	if w.Now < remoteAllowedAt(w, p, fc, s) {
		return nil
	}
	return chooseGangMinionsIn(w, fc, s)
}

// chooseGangMinionsIn returns a minion of fc for each task of a gang, or nil if they do not all
// fit.
func chooseGangMinionsIn(w *quetzalwork.World, fc *freeCapacity, s *quetzalwork.Step) []quetzalwork.Row {
	reserved := make(map[quetzalwork.Row]quetzalunit.Tasks)
	minions := make([]quetzalwork.Row, 0, len(s.Tasks))
	for _, taskRow := range s.Tasks {
		row := chooseMinion(w, fc, s, w.Tasks.At(taskRow), reserved)
		if row == 0 {
			return nil
		}
		reserved[row]++
		minions = append(minions, row)
	}
	return minions
}

// shareCheckpoint gives all tasks of a gang the newest checkpoint of any of them, which is
// valid for all, and aligns their start counts so that the gang shares one run number.
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
	// startRun counts the start of the first task and assigns the run number. The other tasks
	// are started with that number, so their starts are counted here.
	for _, taskRow := range s.Tasks[1:] {
		w.Tasks.At(taskRow).Starts++
	}
}
