package quetzaltimeline

import (
	"fmt"
	"regexp"
	"strconv"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Predecessor is from whom an entry has taken over a pool, as the line of the takeover tells it.
type Predecessor struct {
	// State is what became of the former holder, empty if no line tells it.
	State PredecessorState
	// Revision is that of the row of the duty before the takeover: the token of the holder, or that of a release.
	Revision quetzalunit.Revision
	// Entry and Incarnation are those of the holder, zero if there was none.
	Entry       quetzalunit.EntryID
	Incarnation quetzalunit.Incarnation
}

// PredecessorState is what became of the former holder of a pool's duty, in one word.
type PredecessorState string

const (
	// PredecessorNone means that the duty had no row.
	PredecessorNone PredecessorState = "None"
	// PredecessorUnknown means that the row before was not known.
	PredecessorUnknown PredecessorState = "Unknown"
	// PredecessorReleased means that the duty was released.
	PredecessorReleased PredecessorState = "Released"
	// PredecessorReplaced means that a later process of the holder's entry was known.
	PredecessorReplaced PredecessorState = "Replaced"
	// PredecessorSilent means that the holder did not renew its row.
	PredecessorSilent PredecessorState = "Silent"
)

var predecessorPattern = regexp.MustCompile(`^([A-Z][a-z]+?)(?:Revision(\d+))?(?:Incarnation(\d+)Entry(.+))?$`)

// predecessorOf parses the reason of the line of a takeover. It returns the zero value for that of an earlier version.
func predecessorOf(reason string) Predecessor {
	m := predecessorPattern.FindStringSubmatch(reason)
	if m == nil {
		return Predecessor{}
	}
	p := Predecessor{State: PredecessorState(m[1]), Entry: quetzalunit.EntryID(m[4])}
	// Groups without a match stay zero.
	revision, _ := strconv.ParseInt(m[2], 10, 64)
	incarnation, _ := strconv.ParseInt(m[3], 10, 64)
	p.Revision, p.Incarnation = quetzalunit.Revision(revision), quetzalunit.Incarnation(incarnation)
	return p
}

// String formats the predecessor for the explanation of a takeover.
func (p *Predecessor) String() string {
	holder := fmt.Sprintf("from %s incarnation %d with token %d", p.Entry, p.Incarnation, p.Revision)
	switch p.State {
	case PredecessorNone:
		return "nobody had dispatched it"
	case PredecessorUnknown:
		return "its row before was not known"
	case PredecessorReleased:
		return fmt.Sprintf("it was released at revision %d", p.Revision)
	case PredecessorReplaced:
		return holder + ", which had restarted"
	case PredecessorSilent:
		return holder + ", which had not released it"
	default:
		return string(p.State)
	}
}

// explainTakeover tells from whom the dispatcher of a start had taken over the pool, and whether it had read all that was stored in
// the term of the run before, if another one started that.
func (t *Timeline) explainTakeover(r *restart) []string {
	term := t.termOf(r)
	if term == nil || r.before.Token() == r.run.Token() {
		return nil
	}
	var texts []string
	if term.From.State != "" {
		text := fmt.Sprintf("  TAKEN OVER by %s with token %d at %s: %s,%s", term.Entry, term.Token, clock(term.Began), &term.From, &term.TakenBy)
		if term.contradicts(r.before) {
			text += fmt.Sprintf(", ALTHOUGH run %d is of token %d", r.before, r.before.Token())
		}
		texts = append(texts, text)
	}
	if before := t.unreadTerm(r); before != nil {
		texts = append(texts, fmt.Sprintf("  NOT ALL READ: %s stored progress up to revision %d with token %d; %s had read up to revision %d at %s",
			before.Entry, before.Stored, before.Token, term.Entry, term.Seen, clock(term.WorkKnownAt)))
	}
	return texts
}

// unreadTerm returns the term of the run before a start if progress was stored in it at a higher revision than that up to which the
// dispatcher of the start had read the rows, nil if not or if no line tells it.
func (t *Timeline) unreadTerm(r *restart) *Term {
	term := t.termOf(r)
	if term == nil || term.WorkKnownAt.IsZero() {
		return nil
	}
	if before := t.terms[termKey{term.Pool, r.before.Token()}]; before != nil && before.Stored > term.Seen {
		return before
	}
	return nil
}
