package quetzaltimeline

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Repeats are the tasks of all jobs that were started again although a run of them has ended as done, before or after that.
type Repeats struct {
	tasks []quetzalwork.TaskID
	lines []Line
}

// doneRun is the first run of a task that has ended as done, as far as lines show it.
type doneRun struct {
	number quetzalunit.RunNumber
	at     time.Time
}

// FindRepeats finds the tasks that were started again, in lines of all entries.
func FindRepeats(lines []Line) Repeats {
	done := make(map[quetzalwork.TaskID]doneRun)
	repeated := make(map[quetzalwork.TaskID]bool)
	for i := range lines {
		l := &lines[i]
		task := quetzalwork.TaskID{Job: l.Job, TaskRef: l.TaskRef}
		switch f := factOf(l).(type) {
		case runSuperfluous:
			if f.other != 0 {
				repeated[task] = true
			}
		case runDone, endAcknowledged:
			if first, known := done[task]; !known || l.Time.Before(first.at) {
				done[task] = doneRun{l.Run, l.Time}
			}
		default:
			// It tells of no end.
		}
	}
	for i := range lines {
		l := &lines[i]
		task := quetzalwork.TaskID{Job: l.Job, TaskRef: l.TaskRef}
		_, started := factOf(l).(runStarted)
		if first, known := done[task]; started && known && l.Run != first.number && l.Time.After(first.at) {
			repeated[task] = true
		}
	}
	r := Repeats{lines: lines}
	for task := range repeated {
		r.tasks = append(r.tasks, task)
	}
	slices.SortFunc(r.tasks, func(a, b quetzalwork.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task))
	})
	return r
}

// String formats the second starts of the tasks, each with what the logs tell of the run before, and a table of their causes.
func (r *Repeats) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d tasks were started again although a run of them has ended as done\n", len(r.tasks))
	counts := make(causeCounts)
	for _, task := range r.tasks {
		t := ForJob(r.lines, task.Job, Tasks{one: true, inOccurrence: true, ref: task.TaskRef})
		fmt.Fprintf(&b, "\njob %s task %s\n", task.Job, taskName(task.TaskRef))
		for i := range t.Lines {
			again, ok := t.restarts[i]
			if !ok || again.task != task.TaskRef {
				continue
			}
			b.WriteString(t.Lines[i].String() + "\n")
			for _, text := range t.explain(&again) {
				b.WriteString("    " + text + "\n")
			}
			if again.isRepeat() {
				counts.add(t.causesOf(&again))
			}
		}
	}
	if len(r.tasks) > 0 {
		b.WriteString("\n" + counts.String())
	}
	return b.String()
}
