// Package quetzaltimeline merges the log lines of all entries that concern one job into a timeline.
//
// A line concerns a job if it carries the job's id. Between the first and the last of these, the
// timeline also includes the lines about the job's minions, its pool's duty lease, the store and
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
)

// maxLineBytes is the maximum length of a log line, in bytes. A longer line makes Read fail.
const maxLineBytes = 1 << 20

// Line is a parsed log line of an entry. Fields that the line lacks are zero.
type Line struct {
	Time    time.Time `json:"time"`
	Entry   string    `json:"entry"`
	Job     string    `json:"job"`
	Minion  string    `json:"minion"`
	Pool    string    `json:"pool"`
	Reason  string    `json:"reason"`
	Run     int64     `json:"run"`
	Step    int       `json:"step"`
	Task    int       `json:"task"`
	Version int64     `json:"version"`
	AgeMs   int64     `json:"age_ms"`
	Message string    `json:"message"`
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

// ForJob returns the lines that concern a job, in order of time.
func ForJob(lines []Line, job string) []Line {
	minions := make(map[string]bool)
	pools := make(map[string]bool)
	var first, last time.Time
	for i := range lines {
		l := &lines[i]
		if l.Job != job {
			continue
		}
		minions[l.Minion], pools[l.Pool] = true, true
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	delete(minions, "")
	delete(pools, "")
	var timeline []Line
	for _, l := range lines {
		inSpan := !l.Time.Before(first) && !l.Time.After(last)
		if l.Job == job || l.Job == "" && inSpan && isRelated(&l, minions, pools) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return timeline
}

// isRelated reports whether a line without a job id is about the given minions or pools, the
// store or an entry's shutdown. The message's prefix names the component that logged it.
func isRelated(l *Line, minions, pools map[string]bool) bool {
	component, _, _ := strings.Cut(l.Message, ":")
	switch component {
	case "minion":
		return minions[l.Minion]
	case "duty":
		return pools[l.Pool]
	case "store", "stop":
		return true
	default:
		return false
	}
}

// String formats the line for the timeline.
func (l *Line) String() string {
	text := fmt.Sprintf("%s %-22s %s", l.Time.Format("15:04:05.000"), l.Entry, l.Message)
	if l.Run != 0 {
		text += fmt.Sprintf(" task %d.%d run %d", l.Step, l.Task, l.Run)
	}
	if l.Minion != "" {
		text += " on " + l.Minion
	}
	if l.AgeMs != 0 {
		text += fmt.Sprintf(" after %d ms", l.AgeMs)
	}
	if l.Reason != "" {
		text += " (" + l.Reason + ")"
	}
	return text
}
