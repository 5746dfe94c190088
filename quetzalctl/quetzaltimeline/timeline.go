// Package quetzaltimeline merges the log lines of all entries that concern one job into a timeline.
//
// A line concerns a job if it carries the job's id. Around these, the timeline also includes the lines
// about the job's minions and its pool's duty lease, and between them those about the store and
// the shutdown of entries, since they explain why the job was delayed, repeated or refused.
package quetzaltimeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	// maxLineBytes is the maximum length of a log line, in bytes. A longer line makes Read fail.
	maxLineBytes = 1 << 20
	// contextTime is the time before the first and after the last line of a job from which lines of its minions
	// and pools are included: a minion's restart or a takeover may become known late, or have its effect late.
	contextTime = 15 * time.Second
)

// Line is a parsed log line of an entry. Fields that the line lacks are zero.
type Line struct {
	Time   time.Time             `json:"time"`
	Entry  quetzalunit.EntryID   `json:"entry"`
	Job    quetzalunit.JobID     `json:"job"`
	Minion quetzalunit.MinionID  `json:"minion"`
	Pool   quetzalunit.PoolID    `json:"pool"`
	Host   quetzalunit.HostID    `json:"host"`
	Reason string                `json:"reason"`
	Run    quetzalunit.RunNumber `json:"run"`
	// TaskRef is the task; it is also zero for the first task of a job.
	quetzalwork.TaskRef
	Version int64  `json:"version"`
	AgeMs   int64  `json:"age_ms"`
	Message string `json:"message"`
	Proof
	// Omitted is the number of routine lines that the entry has left out since the last line that tells it.
	Omitted int `json:"omitted"`
}

// Timeline is what the logs of all entries tell of a job.
type Timeline struct {
	// Terms are those of the job's pools at all entries around its lines.
	Terms []Term
	// Lines are in order of time.
	Lines []Line
	// restarts are the second starts of tasks, by the index of the line of the start.
	restarts map[int]restart
	terms    map[termKey]*Term
}

// span is the time from the first to the last line of a job.
type span struct{ first, last time.Time }

func (s span) contains(t time.Time) bool {
	return !t.Before(s.first) && !t.After(s.last)
}

func (s span) extended(by time.Duration) span {
	return span{s.first.Add(-by), s.last.Add(by)}
}

// Read parses a log. It ignores text before the JSON object of a line, such as the prefix of a
// log collector, and skips lines without a JSON object that has a message.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		i := strings.IndexByte(s.Text(), '{')
		if i < 0 {
			continue
		}
		var l Line
		if err := json.Unmarshal([]byte(s.Text()[i:]), &l); err != nil || l.Message == "" {
			continue // not a log line of an entry
		}
		lines = append(lines, l)
	}
	return lines, eris.Wrap(s.Err(), "read log")
}

// ForJob returns what lines tell of a job, or of those of its tasks that are selected.
func ForJob(lines []Line, job quetzalunit.JobID, tasks Tasks) Timeline {
	mine := func(l *Line) bool { return l.Job == job && tasks.includes(l) }
	minions := make(map[quetzalunit.MinionID]bool)
	pools := make(map[quetzalunit.PoolID]bool)
	tokens := make(map[quetzalunit.FencingToken]bool)
	var during span
	for i := range lines {
		l := &lines[i]
		if !mine(l) {
			continue
		}
		minions[l.Minion], pools[l.Pool], tokens[l.Run.Token()] = true, true, true
		if during.first.IsZero() || l.Time.Before(during.first) {
			during.first = l.Time
		}
		if l.Time.After(during.last) {
			during.last = l.Time
		}
	}
	delete(minions, "")
	delete(pools, "")
	t := Timeline{terms: termsOf(lines)}
	for i := range lines {
		l := &lines[i]
		if mine(l) || l.Job == "" && isRelated(l, during, minions, pools) {
			t.Lines = append(t.Lines, *l)
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	t.Terms = termsDuring(t.terms, pools, during.extended(contextTime), tokens)
	t.findRestarts(omissionsOf(lines))
	return t
}

// isRelated reports whether a line without a job id is about the given minions or pools, the
// store or an entry's shutdown at the time of a job. The message's prefix names the component that logged it.
func isRelated(l *Line, during span, minions map[quetzalunit.MinionID]bool, pools map[quetzalunit.PoolID]bool) bool {
	component, _, _ := strings.Cut(l.Message, ":")
	switch quetzalwork.Part(component) {
	case quetzalwork.PartMinion, quetzalwork.PartHost:
		return minions[l.Minion] && during.extended(contextTime).contains(l.Time)
	case quetzalwork.PartDuty:
		return pools[l.Pool] && during.extended(contextTime).contains(l.Time)
	case quetzalwork.PartStore, quetzalwork.PartStop:
		return during.contains(l.Time)
	default:
		return false
	}
}

// String formats the timeline: the terms, and the lines, of which those of second starts are followed by what the logs
// tell of the run before.
func (t *Timeline) String() string {
	var b strings.Builder
	for i := range t.Terms {
		b.WriteString(t.Terms[i].String() + "\n")
	}
	if len(t.Terms) > 0 {
		b.WriteString("\n")
	}
	for i := range t.Lines {
		b.WriteString(t.Lines[i].String() + "\n")
		if r, ok := t.restarts[i]; ok {
			for _, text := range t.explain(&r) {
				b.WriteString("    " + text + "\n")
			}
		}
	}
	return b.String()
}

// String formats the line for the timeline.
func (l *Line) String() string {
	text := fmt.Sprintf("%s %-22s %s", clock(l.Time), l.Entry, l.Message)
	if l.Run != 0 {
		text += fmt.Sprintf(" task %s run %d", taskName(l.TaskRef), l.Run)
		if token := l.Run.Token(); token != 0 {
			text += fmt.Sprintf(" of token %d", token)
		}
	}
	if l.Minion != "" {
		text += " on " + string(l.Minion)
	}
	if l.AgeMs != 0 {
		text += fmt.Sprintf(" after %d ms", l.AgeMs)
	}
	if l.Version != 0 {
		text += fmt.Sprintf(" %s %d", versionName(l), l.Version)
	}
	if l.Reason != "" {
		text += " (" + l.Reason + ")"
	}
	return text + l.Proof.String()
}

// versionName returns what the version of a line counts.
func versionName(l *Line) string {
	switch f := factOf(l).(type) {
	case termBegan, termEnded, runStarted, startRepeated, passedOver:
		return "token"
	case runSuperfluous:
		return "run"
	case runsGivenUp:
		return "runs"
	case hostWithdrawn:
		return "incarnation"
	case workKnown, progressStored:
		return "revision"
	case endsConcerned, endsDiscarded, endsLeftOut, pollRepeated:
		return "end"
	case endAcknowledged:
		if f.stored != 0 {
			return "revision"
		}
		return "end"
	default:
		return "version"
	}
}

func clock(t time.Time) string {
	return t.Format("15:04:05.000")
}
