package quetzaltimeline

import (
	"fmt"
	"slices"
	"strings"

	"quetzalstair/quetzalcore/quetzalwork"
)

// givenup.go tells who no longer counted the run before a second start, by what proof and of what age.

// explainLoss tells which dispatcher gave up the run before a start, and how that of the start went on without knowing its
// minion.
func (t *Timeline) explainLoss(r *restart) []string {
	texts := r.explainDroppedEnds()
	if l := r.givenUpBy(); l != nil {
		texts = append(texts, fmt.Sprintf("  GIVEN UP by %s at %s, %d ms before the start: %s%s", l.Entry, clock(l.Time), r.startedAt.Sub(l.Time).Milliseconds(), l.Reason, &l.Proof))
		texts = append(texts, r.explainNotice(l)...)
	}
	if r.before.Token() != r.run.Token() {
		texts = append(texts, t.explainTakeover(r)...)
		texts = append(texts, t.explainPassOver(r)...)
	}
	return texts
}

// droppedEnds returns the lines that tell that ends of the minion of the run before were discarded, or left out of an answer, before
// the start. It returns none if some entry has acknowledged the end of the run.
func (r *restart) droppedEnds() []*Line {
	var dropped []*Line
	for i := range r.told {
		l := &r.told[i]
		switch factOf(l).(type) {
		case endAcknowledged:
			return nil
		case endsDiscarded, endsLeftOut:
			dropped = append(dropped, l)
		default:
			// It tells of something else.
		}
	}
	return dropped
}

// explainDroppedEnds tells that no entry has acknowledged the end of the run before, and which ends of its minion were dropped.
func (r *restart) explainDroppedEnds() []string {
	var parts []string
	for _, l := range r.droppedEnds() {
		switch factOf(l).(type) {
		case endsDiscarded:
			parts = append(parts, fmt.Sprintf("%s discarded ends of %s at %s (%s)", l.Entry, l.Minion, clock(l.Time), l.Reason))
		case endsLeftOut:
			parts = append(parts, fmt.Sprintf("an answer to %s left out ends of %s up to %d at %s (%s)", l.Entry, l.Minion, l.Version, clock(l.Time), l.Reason))
		default:
			// droppedEnds returns no others.
		}
	}
	if len(parts) == 0 {
		return nil
	}
	return []string{"  NOT ACKNOWLEDGED: no line of any entry acknowledges the end of the run; before the start, " + strings.Join(parts, ", and ")}
}

// givenUpBy returns the last line before a start that tells that the run before no longer counts without a report of its end, nil
// if there is none. Lines on the run go before those on all runs of its minion.
func (r *restart) givenUpBy() *Line {
	var ofRun, ofMinion *Line
	for i := range r.told {
		l := &r.told[i]
		if l.ProofKind == "" || l.Time.After(r.startedAt) {
			continue
		}
		switch factOf(l).(type) {
		case runEnded:
			ofRun = l
		case runsGivenUp, minionChanged:
			ofMinion = l
		default:
			// It tells of something else.
		}
	}
	if ofRun != nil {
		return ofRun
	}
	return ofMinion
}

// explainNotice tells which host controller has told a dispatcher that the host was withdrawn.
func (r *restart) explainNotice(givenUp *Line) []string {
	if givenUp.ProofKind != quetzalwork.ProofNotice {
		return nil
	}
	var texts []string
	for i := range r.told {
		l := &r.told[i]
		if _, ok := factOf(l).(hostWithdrawn); ok {
			texts = append(texts, fmt.Sprintf("    told by %s at %s, by a list of hosts of %d ms ago", l.Entry, clock(l.Time), l.AgeMs))
		}
	}
	return texts
}

// explainPassOver tells how the dispatcher of a start went on without knowing the runs and ends of the minion of the run
// before, which another dispatcher had started.
func (t *Timeline) explainPassOver(r *restart) []string {
	var texts []string
	for i := range r.told {
		l := &r.told[i]
		if f, ok := factOf(l).(passedOver); ok {
			texts = append(texts, fmt.Sprintf("  PASSED OVER by %s with token %d at %s: %s (%s)%s, %s", l.Entry, f.token, clock(l.Time), l.Minion, l.Reason, &l.Proof, settledName(l.AgeMs)))
		}
	}
	term := t.termOf(r)
	if len(texts) > 0 || term == nil || term.Unlisted.ProofKind == "" {
		return texts
	}
	minions := r.minionNames()
	if minions == "" {
		return []string{fmt.Sprintf("  no line names the minion of run %d, so none tells whether %s passed it over with token %d", r.before, term.Entry, term.Token)}
	}
	return []string{fmt.Sprintf("  not passed over by %s with token %d: %s had answered it, or was not known to it, and minions that were not known were ruled out%s", term.Entry, term.Token, minions, &term.Unlisted)}
}

// settledName tells how long a proof had counted by the time at which it was used.
func settledName(ageMs int64) string {
	if ageMs < 0 {
		return fmt.Sprintf("TOO EARLY by %d ms", -ageMs)
	}
	return fmt.Sprintf("settled %d ms before", ageMs)
}

// minionNames returns the names of the minions of the run before.
func (r *restart) minionNames() string {
	var names []string
	for m := range r.minions {
		names = append(names, string(m))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
