package quetzaltimeline

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Tasks selects tasks of a job. The zero value selects all.
type Tasks struct {
	// one reports whether only the task with the step and number of ref is selected, of all occurrences unless
	// inOccurrence is set.
	one, inOccurrence bool
	ref               quetzalwork.TaskRef
}

// UnmarshalText parses STEP.TASK or OCCURRENCE.STEP.TASK.
func (t *Tasks) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ".")
	numbers := make([]int32, len(parts))
	for i, part := range parts {
		n, err := strconv.ParseInt(part, 10, 32)
		if err != nil || n < 0 {
			return eris.Errorf("invalid number %q in task %q", part, text)
		}
		numbers[i] = int32(n)
	}
	*t = Tasks{one: true}
	switch len(numbers) {
	case 3:
		t.inOccurrence, t.ref.Occurrence = true, quetzalunit.Occurrence(numbers[0])
		numbers = numbers[1:]
	case 2:
	default:
		return eris.Errorf("task %q is not STEP.TASK or OCCURRENCE.STEP.TASK", text)
	}
	t.ref.Step, t.ref.Task = quetzalunit.StepIndex(numbers[0]), quetzalunit.TaskIndex(numbers[1])
	return nil
}

// includes reports whether a line of the job concerns a selected task or the job as a whole.
func (t *Tasks) includes(l *Line) bool {
	if !t.one || l.Run == 0 && l.TaskRef == (quetzalwork.TaskRef{}) {
		return true
	}
	ref := l.TaskRef
	if !t.inOccurrence {
		ref.Occurrence = 0
	}
	return ref == t.ref
}

// taskName formats a task as STEP.TASK, with its occurrence in front unless that is the first.
func taskName(ref quetzalwork.TaskRef) string {
	if ref.Occurrence != 0 {
		return fmt.Sprintf("%d.%d.%d", ref.Occurrence, ref.Step, ref.Task)
	}
	return fmt.Sprintf("%d.%d", ref.Step, ref.Task)
}
