package quetzalcodec

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// taskRefLength is the number of integers that identify a task: occurrence, step and task.
	taskRefLength = 3
	// rangeLength is the number of integers of a range: gap and length.
	rangeLength = 2
	// maxListedTasks bounds the tasks that a list names, so that an invalid row cannot exhaust the memory.
	// It is well above the unfinished tasks of a job.
	maxListedTasks = 1 << 20
)

// DecodeProgress decodes the row of a job's progress.
func DecodeProgress(data []byte) (quetzalwork.JobProgress, error) {
	var d quetzalwire.WorkProgressDoc
	if err := json.Unmarshal(data, &d); err != nil {
		return quetzalwork.JobProgress{}, eris.Wrap(err, "decode progress")
	}
	p := quetzalwork.Progress{State: quetzalwork.JobRunning}
	switch d.State {
	case quetzalwire.WorkProgressDocStateCompleted:
		p.State = quetzalwork.JobCompleted
	case quetzalwire.WorkProgressDocStateFailed:
		p.State = quetzalwork.JobFailed
	case quetzalwire.WorkProgressDocStateRunning:
	}
	if err := decodeTaskLists(&p, &d); err != nil {
		return quetzalwork.JobProgress{}, err
	}
	return quetzalwork.JobProgress{Progress: p}, nil
}

// decodeTaskLists decodes the lists of a document in their present form and in that of earlier versions.
func decodeTaskLists(p *quetzalwork.Progress, d *quetzalwire.WorkProgressDoc) error {
	occurrences, err := decodeRanges("DoneOccurrences", d.DoneOccurrences)
	if err != nil {
		return err
	}
	for _, r := range occurrences {
		p.DoneOccurrences.Add(quetzalwork.OccurrenceRange{First: quetzalunit.Occurrence(r.first), End: quetzalunit.Occurrence(r.end)})
	}
	if p.Done, err = decodeTaskRanges("DoneTasks", d.DoneTasks); err != nil {
		return err
	}
	if p.Failures, err = decodeRunRanges("FailedRuns", d.FailedRuns); err != nil {
		return err
	}
	if p.Crashes, err = decodeRunRanges("CrashedRuns", d.CrashedRuns); err != nil {
		return err
	}
	for _, n := range d.Done {
		if len(n) != taskRefLength {
			return &FieldError{Field: "Done", Problem: "row does not have 3 integers"}
		}
		p.Done = append(p.Done, decodeTaskRef(n))
	}
	for _, list := range []struct {
		field string
		rows  [][]int
		runs  *[]quetzalwork.TaskFailure
	}{{"Failures", d.Failures, &p.Failures}, {"Crashes", d.Crashes, &p.Crashes}} {
		for _, n := range list.rows {
			if len(n) != taskRefLength+1 {
				return &FieldError{Field: list.field, Problem: "row does not have 4 integers"}
			}
			*list.runs = append(*list.runs, quetzalwork.TaskFailure{TaskRef: decodeTaskRef(n), Run: quetzalunit.RunNumber(n[taskRefLength])})
		}
	}
	return nil
}

func decodeTaskRef(n []int) quetzalwork.TaskRef {
	return quetzalwork.TaskRef{
		Occurrence: quetzalunit.Occurrence(n[0]), Step: quetzalunit.StepIndex(n[1]), Task: quetzalunit.TaskIndex(n[2]),
	}
}

func encodeProgress(p *quetzalwork.Progress) quetzalwire.WorkProgressDoc {
	d := quetzalwire.WorkProgressDoc{State: quetzalwire.WorkProgressDocStateRunning}
	switch p.State {
	case quetzalwork.JobCompleted:
		d.State = quetzalwire.WorkProgressDocStateCompleted
	case quetzalwork.JobFailed:
		d.State = quetzalwire.WorkProgressDocStateFailed
	case quetzalwork.JobQueued, quetzalwork.JobRunning, quetzalwork.JobCancelled:
	}
	var occurrences rangeEncoder
	for _, r := range p.DoneOccurrences {
		occurrences.add(int(r.First), int(r.End))
	}
	d.DoneOccurrences = occurrences.pairs
	d.DoneTasks = encodeTaskRanges(p.Done)
	d.FailedRuns, d.CrashedRuns = encodeRunRanges(p.Failures), encodeRunRanges(p.Crashes)
	return d
}

// numberRange is a range of numbers from first up to but not including end.
type numberRange struct{ first, end int }

// rangeEncoder encodes ascending ranges as pairs of a gap since the end of the range before and a
// length. It joins adjacent ranges.
type rangeEncoder struct {
	pairs []int
	end   int
}

func (e *rangeEncoder) add(first, end int) {
	if n := len(e.pairs); n > 0 && first == e.end {
		e.pairs[n-1] += end - first
	} else {
		e.pairs = append(e.pairs, first-e.end, end-first)
	}
	e.end = end
}

// decodeRanges decodes what a rangeEncoder has encoded.
func decodeRanges(field string, pairs []int) ([]numberRange, error) {
	if len(pairs)%rangeLength != 0 {
		return nil, &FieldError{Field: field, Problem: "odd number of integers"}
	}
	var ranges []numberRange
	end := 0
	for i := 0; i < len(pairs); i += rangeLength {
		gap, length := pairs[i], pairs[i+1]
		if gap < 0 || length < 1 || end+gap < 0 || end+gap+length < 0 {
			return nil, &FieldError{Field: field, Problem: "range is negative or empty"}
		}
		ranges = append(ranges, numberRange{end + gap, end + gap + length})
		end += gap + length
	}
	return ranges, nil
}

// compareTasks orders references by occurrence, step and task.
func compareTasks(a, b quetzalwork.TaskRef) int {
	return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task))
}

// encodeTaskRanges encodes references to different tasks as ranges, in a row for each step of an
// occurrence.
func encodeTaskRanges(refs []quetzalwork.TaskRef) [][]int {
	refs = slices.Clone(refs)
	slices.SortFunc(refs, compareTasks)
	var rows [][]int
	var occurrence quetzalunit.Occurrence
	for len(refs) > 0 {
		first, n := refs[0], 0
		var tasks rangeEncoder
		for ; n < len(refs) && refs[n].Occurrence == first.Occurrence && refs[n].Step == first.Step; n++ {
			tasks.add(int(refs[n].Task), int(refs[n].Task)+1)
		}
		rows = append(rows, append([]int{int(first.Occurrence - occurrence), int(first.Step)}, tasks.pairs...))
		occurrence, refs = first.Occurrence, refs[n:]
	}
	return rows
}

// decodeTaskRanges decodes what encodeTaskRanges has encoded.
func decodeTaskRanges(field string, rows [][]int) ([]quetzalwork.TaskRef, error) {
	var refs []quetzalwork.TaskRef
	occurrence := 0
	for _, n := range rows {
		const occurrenceAndStep = 2
		if len(n) < occurrenceAndStep {
			return nil, &FieldError{Field: field, Problem: "row has no step"}
		}
		ranges, err := decodeRanges(field, n[occurrenceAndStep:])
		if err != nil {
			return nil, err
		}
		occurrence += n[0]
		for _, r := range ranges {
			if r.end-r.first > maxListedTasks-len(refs) {
				return nil, &FieldError{Field: field, Problem: "too many tasks"}
			}
			for task := r.first; task < r.end; task++ {
				refs = append(refs, decodeTaskRef([]int{occurrence, n[1], task}))
			}
		}
	}
	return refs, nil
}

// encodeRunRanges encodes different runs, in a row for each number of a run and step of an occurrence.
// Most tasks of a step fail under the same few numbers.
func encodeRunRanges(runs []quetzalwork.TaskFailure) [][]int {
	tasksByRun := make(map[quetzalunit.RunNumber][]quetzalwork.TaskRef)
	for _, f := range runs {
		tasksByRun[f.Run] = append(tasksByRun[f.Run], f.TaskRef)
	}
	numbers := make([]quetzalunit.RunNumber, 0, len(tasksByRun))
	for run := range tasksByRun {
		numbers = append(numbers, run)
	}
	slices.Sort(numbers)
	var rows [][]int
	var before quetzalunit.RunNumber
	for _, run := range numbers {
		for _, tasks := range encodeTaskRanges(tasksByRun[run]) {
			rows = append(rows, append([]int{int(run - before)}, tasks...))
			before = run
		}
	}
	return rows
}

// decodeRunRanges decodes what encodeRunRanges has encoded.
func decodeRunRanges(field string, rows [][]int) ([]quetzalwork.TaskFailure, error) {
	var runs []quetzalwork.TaskFailure
	run := quetzalunit.RunNumber(0)
	for len(rows) > 0 {
		// The rows of a run follow the first one, which names its number.
		var tasks [][]int
		for i, n := range rows {
			if len(n) == 0 {
				return nil, &FieldError{Field: field, Problem: "row has no number of a run"}
			}
			if i > 0 && n[0] != 0 {
				break
			}
			tasks = append(tasks, n[1:])
		}
		refs, err := decodeTaskRanges(field, tasks)
		if err != nil {
			return nil, err
		}
		if len(refs) > maxListedTasks-len(runs) {
			return nil, &FieldError{Field: field, Problem: "too many runs"}
		}
		run += quetzalunit.RunNumber(rows[0][0])
		for _, ref := range refs {
			runs = append(runs, quetzalwork.TaskFailure{TaskRef: ref, Run: run})
		}
		rows = rows[len(tasks):]
	}
	return runs, nil
}
