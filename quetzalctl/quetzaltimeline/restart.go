package quetzaltimeline

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// restart is a start of a task after an earlier one.
type restart struct {
	task quetzalwork.TaskRef
	// run is the number of the run, before that of the run before. startedAt is the time of the line that shows the start.
	run, before quetzalunit.RunNumber
	pool        quetzalunit.PoolID
	startedAt   time.Time
	// seen reports whether a line of the run itself shows the start.
	seen bool
	// minions are those on which the lines show the run before.
	minions map[quetzalunit.MinionID]bool
	// told are the lines of the run before, of changes of its minion until the start, and of ends that the minion has
	// forgotten until soon after.
	told []Line
	// omitted are the routine lines that entries have left out meanwhile.
	omitted []omission
}

// omission is that an entry has left out routine lines before an instant.
type omission struct {
	at    time.Time
	entry quetzalunit.EntryID
	count int
}

func omissionsOf(lines []Line) []omission {
	var omissions []omission
	for i := range lines {
		if l := &lines[i]; l.Omitted > 0 {
			omissions = append(omissions, omission{l.Time, l.Entry, l.Omitted})
		}
	}
	return omissions
}

// runLines are the lines of a run, as indexes.
type runLines struct {
	number quetzalunit.RunNumber
	lines  []int
}

// findRestarts finds the second starts of tasks among the lines.
func (t *Timeline) findRestarts(omissions []omission) {
	tasks := make(map[quetzalwork.TaskRef][]runLines)
	for i := range t.Lines {
		l := &t.Lines[i]
		if l.Run == 0 {
			continue
		}
		tasks[l.TaskRef] = addLine(tasks[l.TaskRef], l.Run, i)
		if f, ok := factOf(l).(runSuperfluous); ok && f.other != 0 {
			// Often the only line that names the other run: those of starts are routine.
			tasks[l.TaskRef] = addLine(tasks[l.TaskRef], f.other, i)
		}
	}
	t.restarts = make(map[int]restart)
	for task, runs := range tasks {
		for i := range runs {
			before := runLines{number: numberBefore(runs[i].number)}
			if i > 0 && runs[i-1].number >= before.number {
				before = runs[i-1]
			}
			if before.number == 0 {
				continue
			}
			at := t.startOf(&runs[i])
			r := restart{task: task, run: runs[i].number, before: before.number, pool: t.Lines[at].Pool, startedAt: t.Lines[at].Time, seen: t.Lines[at].Run == runs[i].number}
			t.collect(&r, &before, omissions)
			t.restarts[at] = r
		}
	}
}

// addLine adds the index of a line to those of a run. The runs are sorted by their numbers.
func addLine(runs []runLines, number quetzalunit.RunNumber, line int) []runLines {
	at, known := slices.BinarySearchFunc(runs, number, func(r runLines, n quetzalunit.RunNumber) int { return cmp.Compare(r.number, n) })
	if !known {
		runs = slices.Insert(runs, at, runLines{number: number})
	}
	runs[at].lines = append(runs[at].lines, line)
	return runs
}

// numberBefore returns the number of the last run that the dispatcher of a run started of its task before, zero if there
// is none.
func numberBefore(n quetzalunit.RunNumber) quetzalunit.RunNumber {
	if n.Token() != 0 && n.Start() > 1 {
		return n - 1
	}
	return 0
}

// startOf returns the line of a run's start, its first one if there is none.
func (t *Timeline) startOf(r *runLines) int {
	for _, i := range r.lines {
		if _, ok := factOf(&t.Lines[i]).(runStarted); ok {
			return i
		}
	}
	return r.lines[0]
}

// collect sets what the logs tell of the run before a start.
func (t *Timeline) collect(r *restart, before *runLines, omissions []omission) {
	since := r.startedAt.Add(-contextTime)
	r.minions = make(map[quetzalunit.MinionID]bool)
	for n, i := range before.lines {
		if l := &t.Lines[i]; n == 0 && l.Time.Before(r.startedAt) {
			since = l.Time
		}
		if l := &t.Lines[i]; l.Run == r.before {
			r.minions[l.Minion] = true
		}
	}
	delete(r.minions, "")
	meanwhile := span{since, r.startedAt.Add(contextTime)}
	for i := range t.Lines {
		if l := &t.Lines[i]; r.concernedBy(l, meanwhile) {
			r.told = append(r.told, *l)
		}
	}
	for _, o := range omissions {
		if meanwhile.contains(o.at) {
			r.omitted = append(r.omitted, o)
		}
	}
}

// concernedBy reports whether a line tells something of the run before, or of a minion of it.
func (r *restart) concernedBy(l *Line, meanwhile span) bool {
	switch f := factOf(l).(type) {
	case runStarted, startRepeated, runCopied, endAcknowledged, runSuperfluous, runDone, runEnded:
		return l.Run == r.before && l.TaskRef == r.task
	case minionChanged, endsConcerned, endsDiscarded, endsLeftOut, runsGivenUp, hostWithdrawn:
		return r.minions[l.Minion] && meanwhile.contains(l.Time) && !l.Time.After(r.startedAt)
	case pollRepeated:
		// There may be many during a long run.
		return r.minions[l.Minion] && span{r.startedAt.Add(-contextTime), r.startedAt}.contains(l.Time)
	case passedOver:
		return r.minions[l.Minion] && f.token == r.run.Token() && f.token != r.before.Token()
	case jobKnown:
		return !l.Time.After(r.startedAt)
	case endsForgotten:
		return r.minions[l.Minion] && meanwhile.contains(l.Time)
	default:
		return false
	}
}

// explain tells what the logs say of the run before a start.
func (t *Timeline) explain(r *restart) []string {
	texts := []string{fmt.Sprintf("second start of task %s%s; of run %d before it (token %d) the logs tell:", taskName(r.task), t.unseenStart(r), r.before, r.before.Token())}
	ended := false
	for i := range r.told {
		l := &r.told[i]
		texts = append(texts, "  "+l.String())
		switch f := factOf(l).(type) {
		case endAcknowledged:
			ended = true
			texts = append(texts, t.explainStored(r, l, f)...)
		case runSuperfluous, runDone, runEnded:
			ended = true
		default:
			// The run may go on.
		}
	}
	texts = append(texts, t.explainLoss(r)...)
	if !ended {
		texts = append(texts, "  nothing of how it ended")
	}
	if !ended || len(r.droppedEnds()) > 0 {
		// The line that would tell it may be among them.
		texts = append(texts, r.explainOmissions()...)
	}
	if r.isRepeat() {
		texts = append(texts, "  possible causes: "+causeNames(t.causesOf(r)))
	}
	return texts
}

// unseenStart names the run of a second start whose own lines are missing.
func (t *Timeline) unseenStart(r *restart) string {
	if r.seen {
		return ""
	}
	text := fmt.Sprintf(" as run %d of token %d, which no line of its own tells", r.run, r.run.Token())
	if term := t.termOf(r); term != nil {
		text += fmt.Sprintf(" (%s)", term.Entry)
	}
	return text
}

// termOf returns the term of a second start, nil if no line shows it. Tokens differ also between pools.
func (t *Timeline) termOf(r *restart) *Term {
	if r.pool != "" {
		return t.terms[termKey{r.pool, r.run.Token()}]
	}
	for key, term := range t.terms {
		if key.token == r.run.Token() {
			return term
		}
	}
	return nil
}

// explainStored tells whether the dispatcher of a start had read the row that records the end of the run before.
func (t *Timeline) explainStored(r *restart, l *Line, f endAcknowledged) []string {
	term := t.termOf(r)
	stored := fmt.Sprintf("stored at revision %d by %s", f.stored, l.Entry)
	switch {
	case f.stored == 0:
		return nil
	case r.acknowledgedItself(l, term):
		return []string{fmt.Sprintf("    %s, by the dispatcher with token %d itself", stored, term.Token)}
	case term == nil || term.WorkKnownAt.IsZero():
		return []string{fmt.Sprintf("    %s; no line tells which rows the dispatcher with token %d had read", stored, r.run.Token())}
	}
	read := fmt.Sprintf("%s; %s had read up to revision %d with token %d at %s, %d ms before it placed the task",
		stored, term.Entry, term.Seen, term.Token, clock(term.WorkKnownAt), r.startedAt.Sub(term.WorkKnownAt).Milliseconds())
	if term.Seen < f.stored {
		return []string{fmt.Sprintf("    NOT READ: %s: %d < %d", read, term.Seen, f.stored)}
	}
	return []string{fmt.Sprintf("    %s: %d >= %d, so this one, too", read, term.Seen, f.stored)}
}

// acknowledgedItself reports whether the dispatcher of a start has acknowledged the end of the run before.
func (r *restart) acknowledgedItself(l *Line, term *Term) bool {
	return term != nil && term.Entry == l.Entry && !l.Time.Before(term.Began)
}

// explainOmissions tells which entries have left out routine lines.
func (r *restart) explainOmissions() []string {
	counts := make(map[quetzalunit.EntryID]int)
	for _, o := range r.omitted {
		counts[o.entry] += o.count
	}
	var texts []string
	for entry, n := range counts {
		texts = append(texts, fmt.Sprintf("  %s left out %d routine lines meanwhile", entry, n))
	}
	slices.Sort(texts)
	return texts
}
