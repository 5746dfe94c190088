// Package quetzalverdict compares what callers were told with what the minions
// logged, which is the ground truth.
package quetzalverdict

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
	"quetzalstair/quetzalload/quetzalsender"
)

// Verdict counts what became of the requests and which promises broke.
type Verdict struct {
	Sent     int
	Outcomes map[quetzalsender.Outcome]int
	// Reasons counts the outcomes other than Ran by their reasons.
	Reasons map[string]int
	// Lost counts requests answered with Ran of which no minion completed a run.
	Lost int
	// Doubled counts non-idempotent requests that a minion started more than once.
	Doubled int
	// FalseNotRun counts requests answered with NotRun that a minion started.
	FalseNotRun int
	// WrongAnswer counts answers that were not the whole answer to their request.
	WrongAnswer int
	// NoAnswer counts callers that no entry answered.
	NoAnswer int
	// Overlaps counts pairs of runs for different pools on one host at one time.
	Overlaps int
	// Breaches counts the times at which a pool was seen below its budget.
	Breaches int
	// Reruns counts additional runs of idempotent requests, which are permitted.
	Reruns int
}

// BrokenError tells that a promise broke.
type BrokenError struct{ Verdict Verdict }

// Error implements error.
func (e *BrokenError) Error() string {
	return "a promise broke: " + e.Verdict.String()
}

// String returns the counts in one line.
func (v *Verdict) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "sent %d", v.Sent)
	for _, o := range []quetzalsender.Outcome{
		quetzalsender.Ran, quetzalsender.NotRun, quetzalsender.Unknown, quetzalsender.Cancelled,
		quetzalsender.Invalid, quetzalsender.Conflict,
	} {
		if n := v.Outcomes[o]; n > 0 {
			_, _ = fmt.Fprintf(&b, ", %s %d", o, n)
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(v.Reasons)) {
		_, _ = fmt.Fprintf(&b, " (%s: %d)", reason, v.Reasons[reason])
	}
	_, _ = fmt.Fprintf(&b, "; lost %d, doubled %d, false NotRun %d, wrong answer %d, no answer %d, pools overlapping %d, budget breaches %d, reruns %d",
		v.Lost, v.Doubled, v.FalseNotRun, v.WrongAnswer, v.NoAnswer, v.Overlaps, v.Breaches, v.Reruns)
	return b.String()
}

// Broken returns an error when a promise broke. A caller without an answer is
// an error only when the caller could ask again.
func (v *Verdict) Broken() error {
	if v.Lost+v.Doubled+v.FalseNotRun+v.WrongAnswer+v.NoAnswer+v.Overlaps+v.Breaches > 0 {
		return &BrokenError{Verdict: *v}
	}
	return nil
}

// Judge compares shots with the minions' runs.
func Judge(shots *quetzaltable.Table[quetzalsender.Shot], runs []quetzalwire.RunRecord) Verdict {
	started := make(map[quetzalunit.RequestID]int)
	completed := make(map[quetzalunit.RequestID]int)
	for _, r := range runs {
		started[quetzalunit.RequestID(r.Request)]++
		if r.Completed {
			completed[quetzalunit.RequestID(r.Request)]++
		}
	}
	v := Verdict{Sent: shots.Len(), Outcomes: make(map[quetzalsender.Outcome]int), Reasons: make(map[string]int)}
	for _, s := range shots.All() {
		v.Outcomes[s.Outcome]++
		if s.Outcome != quetzalsender.Ran {
			v.Reasons[string(s.Outcome)+" "+s.Reason]++
		}
		id := s.Sent
		if s.ID != "" {
			id = s.ID
		}
		judgeOne(&v, s, started[id], completed[id])
	}
	v.Overlaps = overlaps(runs)
	return v
}

func judgeOne(v *Verdict, s *quetzalsender.Shot, started, completed int) {
	if started > 1 {
		if s.Idempotent {
			v.Reruns += started - 1
		} else {
			v.Doubled++
		}
	}
	switch s.Outcome {
	case quetzalsender.Ran:
		if completed == 0 && s.Status < http.StatusInternalServerError {
			v.Lost++
		}
		if !s.Whole {
			v.WrongAnswer++
		}
	case quetzalsender.NotRun:
		if started > 0 {
			v.FalseNotRun++
		}
	case quetzalsender.NoAnswer:
		v.NoAnswer++
	default:
	}
}

// overlaps counts pairs of runs for different pools at one time on one host.
func overlaps(runs []quetzalwire.RunRecord) int {
	byHost := make(map[string][]quetzalwire.RunRecord)
	for _, r := range runs {
		byHost[r.Host] = append(byHost[r.Host], r)
	}
	n := 0
	for _, list := range byHost {
		for i := range list {
			n += overlapsWith(list[i], list[i+1:])
		}
	}
	return n
}

// overlapsWith relies on the log's order by start.
func overlapsWith(a quetzalwire.RunRecord, later []quetzalwire.RunRecord) int {
	n := 0
	for _, b := range later {
		if a.EndMs > 0 && b.StartMs >= a.EndMs {
			break
		}
		if b.Pool != a.Pool {
			n++
		}
	}
	return n
}

// Runs reads the logs of minions at their admin URLs.
func Runs(ctx context.Context, admins []string) ([]quetzalwire.RunRecord, error) {
	var runs []quetzalwire.RunRecord
	for _, base := range admins {
		var log quetzalwire.RunLog
		if err := get(ctx, base+"/log", &log); err != nil {
			return nil, err
		}
		runs = append(runs, log.Runs...)
	}
	return runs, nil
}

func get(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "read log")
	}
	defer res.Body.Close() //nolint:errcheck // the body was read
	return eris.Wrap(json.NewDecoder(res.Body).Decode(v), "decode log")
}
