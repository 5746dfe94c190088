package quetzaltimeline

import (
	"fmt"
	"slices"
	"strings"
)

// cause.go names possible causes of a second start after an end as done, by what the logs tell of the run before.

// cause is a possible cause of a second start, in one word.
type cause string

const (
	// causeEndsDropped means that ends of the minion were discarded, or left out of an answer, and no entry has acknowledged the
	// end of the run before.
	causeEndsDropped cause = "EndsDropped"
	// causeNotRead means that another dispatcher had stored the end, at a revision up to which the one of the start had not read
	// the rows; causeRead that it had; and causeReadsUnknown that no line tells that.
	causeNotRead      cause = "StoredNotRead"
	causeRead         cause = "StoredAndRead"
	causeReadsUnknown cause = "StoredReadsUnknown"
	// causeNotAllRead means that no line tells of an acknowledgement, and that the dispatcher of the start had not read all that was
	// stored in the term of the run before.
	causeNotAllRead cause = "NotAllRead"
	// causeStoredItself means that the dispatcher of the start had stored the end before.
	causeStoredItself cause = "StoredItself"
	// causeUnknownJob means that the end was acknowledged for a job that was not known, or that the dispatcher of the start
	// learned of the job without a read of its rows; causeNotRecorded that it was acknowledged without a record otherwise.
	causeUnknownJob  cause = "UnknownJob"
	causeNotRecorded cause = "NotRecorded"
	// causePassedOver means that the dispatcher of the start went on without knowing the ends of the minion.
	causePassedOver cause = "PassedOver"
	// causeNoDispatcher means that it took the pool for one that nobody had dispatched.
	causeNoDispatcher cause = "NoDispatcher"
	// causeRepeatedCall means that the order to start the run before, or a poll of its minion, was sent twice.
	causeRepeatedCall cause = "RepeatedCall"
	// causeGivenUp means that the run before was given up without a report of its end.
	causeGivenUp cause = "GivenUp"
	// causeNoRecord means that the logs show none of the others.
	causeNoRecord cause = "NoRecord"
)

// causes are all causes in the order of the table.
var causes = []cause{
	causeEndsDropped, causeNotRead, causeRead, causeReadsUnknown, causeNotAllRead, causeStoredItself, causePassedOver, causeGivenUp, causeRepeatedCall, causeNoDispatcher, causeUnknownJob, causeNotRecorded, causeNoRecord,
}

// causeCounts counts second starts by their possible causes.
type causeCounts map[cause]int

// add counts a start under each of its causes.
func (n causeCounts) add(found []cause) {
	for _, c := range found {
		n[c]++
	}
}

// String formats the counts as a table.
func (n causeCounts) String() string {
	var b strings.Builder
	b.WriteString("second starts by cause, as far as the logs tell; several may fit one:\n")
	for _, c := range causes {
		fmt.Fprintf(&b, "%6d %s\n", n[c], c)
	}
	return b.String()
}

// causeNames formats causes for a line.
func causeNames(found []cause) string {
	names := make([]string, len(found))
	for i, c := range found {
		names[i] = string(c)
	}
	return strings.Join(names, ", ")
}

// isRepeat reports whether a start repeats a run that has ended as done, or of whose end nothing is known. Copies and starts after
// failed or lost runs repeat none.
func (r *restart) isRepeat() bool {
	repeat := true
	for i := range r.told {
		switch factOf(&r.told[i]).(type) {
		case runDone, endAcknowledged, runSuperfluous:
			return true
		case runCopied, runEnded:
			repeat = false
		default:
			// It tells of no end.
		}
	}
	return repeat
}

// causesOf returns the possible causes of a second start. What became of an end that was acknowledged before rules out that it was lost
// on its way.
func (t *Timeline) causesOf(r *restart) []cause {
	var found []cause
	term := t.termOf(r)
	passed, repeated, unknown := false, false, false
	for i := range r.told {
		l := &r.told[i]
		switch f := factOf(l).(type) {
		case endAcknowledged:
			if c := t.causeOfEnd(r, l, f); c != "" {
				found = append(found, c)
			}
		case passedOver:
			passed = true
		case startRepeated, pollRepeated:
			repeated = true
		case jobKnown:
			unknown = unknown || term == nil || l.Entry == term.Entry
		default:
			// It tells of no cause.
		}
	}
	if len(found) == 0 {
		found = appendIf(found, r.before.Token() != r.run.Token() && t.unreadTerm(r) != nil, causeNotAllRead)
		found = appendIf(found, len(r.droppedEnds()) > 0, causeEndsDropped)
		found = appendIf(found, passed, causePassedOver)
		found = appendIf(found, r.givenUpBy() != nil, causeGivenUp)
		found = appendIf(found, repeated, causeRepeatedCall)
	}
	found = appendIf(found, term != nil && term.contradicts(r.before), causeNoDispatcher)
	found = appendIf(found, unknown, causeUnknownJob)
	if len(found) == 0 {
		return []cause{causeNoRecord}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// causeOfEnd returns what the acknowledgement of the end of the run before tells of a start, empty if it came from the same dispatcher
// after the start.
func (t *Timeline) causeOfEnd(r *restart, l *Line, f endAcknowledged) cause {
	term := t.termOf(r)
	switch {
	case r.acknowledgedItself(l, term) && l.Time.After(r.startedAt):
		return ""
	case l.Reason == reasonUnknownJob:
		return causeUnknownJob
	case f.stored == 0:
		return causeNotRecorded
	case r.acknowledgedItself(l, term):
		return causeStoredItself
	case term == nil || term.WorkKnownAt.IsZero():
		return causeReadsUnknown
	case term.Seen < f.stored:
		return causeNotRead
	default:
		return causeRead
	}
}

func appendIf(found []cause, fits bool, c cause) []cause {
	if fits {
		return append(found, c)
	}
	return found
}
