// Package quetzalcheck checks the answers that callers received against the run
// logs of the minions, which are the ground truth.
package quetzalcheck

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

// Summary counts the outcomes of the requests and the violations of guarantees.
type Summary struct {
	Sent     int
	Outcomes map[quetzalsender.Outcome]int
	// Reasons counts the outcomes other than Ran by outcome and reason.
	Reasons map[string]int
	// Lost counts requests that were answered with Ran and a status below 500 but of
	// which no minion completed a run.
	Lost int
	// Duplicates counts non-idempotent requests that were started more than once.
	Duplicates int
	// FalseNotRun counts requests that were answered with NotRun but that a minion started.
	FalseNotRun int
	// WrongAnswer counts answers that were incomplete or belonged to another request.
	WrongAnswer int
	// NoAnswer counts requests that no entry answered.
	NoAnswer int
	// PoolOverlaps counts pairs of runs for different pools that overlapped in time on
	// one host.
	PoolOverlaps int
	// BudgetViolations counts the budgets that were not met, summed over all snapshots
	// of the platform.
	BudgetViolations int
	// Reruns counts repeated runs of idempotent requests, which are allowed.
	Reruns int
}

// ViolationError reports that a guarantee was violated.
type ViolationError struct{ Summary Summary }

// Error implements error.
func (e *ViolationError) Error() string {
	return "a guarantee was violated: " + e.Summary.String()
}

// String formats the counts as one line.
func (s *Summary) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "sent %d", s.Sent)
	for _, o := range []quetzalsender.Outcome{
		quetzalsender.Ran, quetzalsender.NotRun, quetzalsender.Unknown, quetzalsender.Cancelled,
		quetzalsender.Invalid, quetzalsender.Conflict,
	} {
		if n := s.Outcomes[o]; n > 0 {
			_, _ = fmt.Fprintf(&b, ", %s %d", o, n)
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
		_, _ = fmt.Fprintf(&b, " (%s: %d)", reason, s.Reasons[reason])
	}
	_, _ = fmt.Fprintf(&b, "; lost %d, duplicates %d, false NotRun %d, wrong answers %d, no answer %d, pool overlaps %d, budget violations %d, reruns %d",
		s.Lost, s.Duplicates, s.FalseNotRun, s.WrongAnswer, s.NoAnswer, s.PoolOverlaps, s.BudgetViolations, s.Reruns)
	return b.String()
}

// Err returns a ViolationError when a guarantee was violated, and nil otherwise. A
// request without an answer is a violation, also when its caller could not repeat it.
func (s *Summary) Err() error {
	if s.Lost+s.Duplicates+s.FalseNotRun+s.WrongAnswer+s.NoAnswer+s.PoolOverlaps+s.BudgetViolations > 0 {
		return &ViolationError{Summary: *s}
	}
	return nil
}

// Check compares the results with the runs that the minions logged.
func Check(results *quetzaltable.Table[quetzalsender.Result], runs []quetzalwire.RunRecord) Summary {
	started := make(map[quetzalunit.RequestID]int)
	completed := make(map[quetzalunit.RequestID]int)
	for _, r := range runs {
		started[quetzalunit.RequestID(r.Request)]++
		if r.Completed {
			completed[quetzalunit.RequestID(r.Request)]++
		}
	}
	s := Summary{Sent: results.Len(), Outcomes: make(map[quetzalsender.Outcome]int), Reasons: make(map[string]int)}
	for _, r := range results.All() {
		s.Outcomes[r.Outcome]++
		if r.Outcome != quetzalsender.Ran {
			s.Reasons[string(r.Outcome)+" "+r.Reason]++
		}
		id := r.AnsweredID
		if r.ID != "" {
			id = r.ID
		}
		countViolations(&s, r, started[id], completed[id])
	}
	s.PoolOverlaps = countPoolOverlaps(runs)
	return s
}

// countViolations counts the violations of one request, for which the minions logged
// the given numbers of started and completed runs.
func countViolations(s *Summary, r *quetzalsender.Result, started, completed int) {
	if started > 1 {
		if r.Idempotent {
			s.Reruns += started - 1
		} else {
			s.Duplicates++
		}
	}
	switch r.Outcome {
	case quetzalsender.Ran:
		if completed == 0 && r.Status < http.StatusInternalServerError {
			s.Lost++
		}
		if !r.Correct {
			s.WrongAnswer++
		}
	case quetzalsender.NotRun:
		if started > 0 {
			s.FalseNotRun++
		}
	case quetzalsender.NoAnswer:
		s.NoAnswer++
	default:
	}
}

// countPoolOverlaps counts the pairs of runs for different pools that overlapped in
// time on one host.
func countPoolOverlaps(runs []quetzalwire.RunRecord) int {
	byHost := make(map[string][]quetzalwire.RunRecord)
	for _, r := range runs {
		byHost[r.Host] = append(byHost[r.Host], r)
	}
	n := 0
	for _, list := range byHost {
		for i := range list {
			n += countOverlapsWith(list[i], list[i+1:])
		}
	}
	return n
}

// countOverlapsWith counts the runs in later that overlap with a and are for another
// pool. The runs must be ordered by start time, as in the log. A run with the end
// time 0 has not ended.
func countOverlapsWith(a quetzalwire.RunRecord, later []quetzalwire.RunRecord) int {
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

// ReadRuns reads the run logs of the minions from their admin URLs.
func ReadRuns(ctx context.Context, admins []string) ([]quetzalwire.RunRecord, error) {
	var runs []quetzalwire.RunRecord
	for _, base := range admins {
		var log quetzalwire.RunLog
		if err := getJSON(ctx, base+"/log", &log); err != nil {
			return nil, err
		}
		runs = append(runs, log.Runs...)
	}
	return runs, nil
}

// getJSON decodes the JSON document at a URL into v.
func getJSON(ctx context.Context, url string, v any) error {
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
