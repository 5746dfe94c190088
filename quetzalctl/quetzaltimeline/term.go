package quetzaltimeline

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Term is a term in which an entry dispatches a pool, as far as the logs show it.
type Term struct {
	Pool  quetzalunit.PoolID
	Token quetzalunit.FencingToken
	Entry quetzalunit.EntryID
	// From tells from whom the entry has taken over the pool, and TakenBy what shows that nobody else dispatches it. Both are
	// zero if no line tells them.
	From    Predecessor
	TakenBy Proof
	// Began and Ended are zero if no line shows them. EndReason is why it ended.
	Began, Ended time.Time
	EndReason    string
	// WorkKnownAt is when all work of earlier dispatchers was known, zero if no line shows it. Seen is the revision up
	// to which the rows were known then.
	WorkKnownAt time.Time
	Seen        quetzalunit.Revision
	// Stored is the revision up to which the entry stored progress in the term, zero if no line tells it.
	Stored quetzalunit.Revision
	// Unlisted is what rules out then that minions which the entry did not know had work of earlier ones.
	Unlisted Proof
}

// termKey identifies a term.
type termKey struct {
	pool  quetzalunit.PoolID
	token quetzalunit.FencingToken
}

// termsOf returns the terms that lines show.
func termsOf(lines []Line) map[termKey]*Term {
	terms := make(map[termKey]*Term)
	at := func(l *Line, token quetzalunit.FencingToken) *Term {
		key := termKey{l.Pool, token}
		if terms[key] == nil {
			terms[key] = &Term{Pool: l.Pool, Token: token, Entry: l.Entry}
		}
		return terms[key]
	}
	for i := range lines {
		l := &lines[i]
		switch f := factOf(l).(type) {
		case termBegan:
			t := at(l, f.token)
			t.Began, t.From, t.TakenBy = l.Time, f.from, l.Proof
		case termEnded:
			t := at(l, f.token)
			t.Ended, t.EndReason = l.Time, l.Reason
		case progressStored:
			at(l, f.token).Stored = f.revision
		case workKnown:
			t := at(l, f.token)
			t.WorkKnownAt, t.Seen, t.Unlisted = l.Time, f.seen, l.Proof
		default:
			// It tells nothing of a term.
		}
	}
	return terms
}

// overlaps reports whether a term was, or may have been, in progress between two instants.
func (t *Term) overlaps(first, last time.Time) bool {
	return !t.Began.After(last) && (t.Ended.IsZero() || !t.Ended.Before(first))
}

// termsDuring returns the terms of pools between two instants, and those of the given runs, by pool and token.
func termsDuring(terms map[termKey]*Term, pools map[quetzalunit.PoolID]bool, span span, tokens map[quetzalunit.FencingToken]bool) []Term {
	var during []Term
	for _, t := range terms {
		if pools[t.Pool] && (t.overlaps(span.first, span.last) || tokens[t.Token]) {
			during = append(during, *t)
		}
	}
	slices.SortFunc(during, func(a, b Term) int {
		if a.Pool != b.Pool {
			return cmp.Compare(a.Pool, b.Pool)
		}
		return cmp.Compare(a.Token, b.Token)
	})
	return during
}

// contradicts reports whether the proofs of the term rule out an earlier one, of which a run is.
func (t *Term) contradicts(run quetzalunit.RunNumber) bool {
	first := t.TakenBy.ProofKind == quetzalwork.ProofNoDispatcher || t.Unlisted.ProofKind == quetzalwork.ProofNoDispatcher
	return first && run.Token() != 0 && run.Token() != t.Token
}

// String formats the term.
func (t *Term) String() string {
	text := fmt.Sprintf("pool %s token %d: %s", t.Pool, t.Token, t.Entry)
	if !t.Began.IsZero() {
		text += " from " + clock(t.Began)
	}
	if !t.Ended.IsZero() {
		text += " to " + clock(t.Ended)
	}
	if t.EndReason != "" {
		text += " (" + t.EndReason + ")"
	}
	if t.WorkKnownAt.IsZero() {
		return text + ", no line tells when earlier work was known"
	}
	return text + fmt.Sprintf(", earlier work known at %s, rows up to revision %d", clock(t.WorkKnownAt), t.Seen)
}
