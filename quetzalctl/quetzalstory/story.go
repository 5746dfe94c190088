// Package quetzalstory puts the log lines of all entries that concern one job into one story.
//
// A line concerns a job if it names it. Lines that change what an entry believes of the job's
// minions, its pool or the store are told as well, for the time in which the job was alive.
package quetzalstory

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

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Line is a log line of an entry.
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

// Read reads the lines of a log. Text before the JSON of a line, and lines without any, are
// left out.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		i := strings.IndexByte(s.Text(), '{')
		if i < 0 {
			continue
		}
		var l Line
		if err := json.Unmarshal([]byte(s.Text()[i:]), &l); err != nil || l.Message == "" {
			continue // not a line of an entry
		}
		lines = append(lines, l)
	}
	return lines, eris.Wrap(s.Err(), "read log")
}

// Tell returns the lines that concern a job, in the order of time.
func Tell(lines []Line, job string) []Line {
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
	var story []Line
	for _, l := range lines {
		within := !l.Time.Before(first) && !l.Time.After(last)
		if l.Job == job || l.Job == "" && within && concerns(&l, minions, pools) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story
}

// concerns tells whether a line without a job tells of its minions, its pool or the store.
func concerns(l *Line, minions, pools map[string]bool) bool {
	part, _, _ := strings.Cut(l.Message, ":")
	switch part {
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

// String returns the line as one sentence.
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
