package quetzaltimeline

import (
	"fmt"

	"quetzalstair/quetzalcore/quetzalunit"
)

// fact is what a line tells of the terms of a pool's dispatchers, of a run or of a minion.
type fact interface{ implementsFact() }

// Facts on the terms in which entries dispatch a pool.
type (
	termBegan struct {
		token quetzalunit.FencingToken
		from  Predecessor
	}
	termEnded struct{ token quetzalunit.FencingToken }
	// progressStored means that the dispatcher with the token has stored progress up to a revision in its term.
	progressStored struct {
		token    quetzalunit.FencingToken
		revision quetzalunit.Revision
	}
	// workKnown means that the dispatcher with the token knows the rows that earlier ones stored up to a revision.
	workKnown struct {
		token quetzalunit.FencingToken
		seen  quetzalunit.Revision
	}
)

// Facts on runs.
type (
	runStarted struct{}
	// startRepeated means that the order to start a run was sent twice, since its answer was overdue.
	startRepeated struct{}
	// runCopied means that the task starts again on purpose.
	runCopied struct{}
	// endAcknowledged means that the minion may forget the run's end. stored is the revision of the row that records
	// it, zero if none does.
	endAcknowledged struct{ stored quetzalunit.Revision }
	// runSuperfluous means that a run has ended as done that no longer counted. other is the one that counted, zero if the
	// line names none.
	runSuperfluous struct{ other quetzalunit.RunNumber }
	// runDone means that a run has completed its task.
	runDone struct{}
	// runEnded means any other end of a run, or that it no longer counts.
	runEnded struct{}
)

// jobKnown means that a dispatcher has learned of a job of an earlier term without a read of its rows.
type jobKnown struct{}

// Facts on minions.
type (
	// minionChanged means that what a dispatcher knew of a minion's runs and ends may not hold any more.
	minionChanged struct{}
	// pollRepeated means that two polls of a minion were in flight, and that the answer to the second one counts.
	pollRepeated struct{}
	// runsGivenUp means that a dispatcher no longer counts the runs of a minion, or has removed it.
	runsGivenUp struct{}
	// passedOver means that the dispatcher with the token went on without knowing the runs and ends of a minion.
	passedOver struct{ token quetzalunit.FencingToken }
	// hostWithdrawn means that the host controller has told a dispatcher that a minion's host was withdrawn.
	hostWithdrawn struct{}
	// endsDiscarded means that a dispatcher has discarded ends of a minion that it had applied and not acknowledged.
	endsDiscarded struct{}
	// endsLeftOut means that the answer of a minion to a poll lacks ends that the dispatcher has not applied.
	endsLeftOut struct{}
	// endsForgotten means that it has forgotten ends which nobody has read. The next end that is read shows it.
	endsForgotten struct{}
	// endsConcerned means the same of its ends up to a number.
	endsConcerned struct{}
)

func (termBegan) implementsFact()       {}
func (termEnded) implementsFact()       {}
func (progressStored) implementsFact()  {}
func (workKnown) implementsFact()       {}
func (runStarted) implementsFact()      {}
func (startRepeated) implementsFact()   {}
func (pollRepeated) implementsFact()    {}
func (runCopied) implementsFact()       {}
func (endAcknowledged) implementsFact() {}
func (runSuperfluous) implementsFact()  {}
func (runDone) implementsFact()         {}
func (runEnded) implementsFact()        {}
func (runsGivenUp) implementsFact()     {}
func (passedOver) implementsFact()      {}
func (hostWithdrawn) implementsFact()   {}
func (jobKnown) implementsFact()        {}
func (minionChanged) implementsFact()   {}
func (endsDiscarded) implementsFact()   {}
func (endsLeftOut) implementsFact()     {}
func (endsForgotten) implementsFact()   {}
func (endsConcerned) implementsFact()   {}

// Reasons of acknowledged ends.
const (
	// reasonStored means that a row records the end, reasonUnknownJob that its job is not known.
	reasonStored     = "Stored"
	reasonUnknownJob = "UnknownJob"
)

// messages are the messages of the lines from which facts are read.
var messages = map[string]func(l *Line) fact{
	"duty: This entry dispatches the pool.": func(l *Line) fact {
		return termBegan{quetzalunit.FencingToken(l.Version), predecessorOf(l.Reason)}
	},
	"duty: This entry no longer dispatches the pool.": func(l *Line) fact { return termEnded{quetzalunit.FencingToken(l.Version)} },
	"duty: This entry has stored progress up to a revision.": func(l *Line) fact {
		f := progressStored{revision: quetzalunit.Revision(l.Version)}
		// Without a token it belongs to no term.
		_, _ = fmt.Sscanf(l.Reason, "Token%d", &f.token)
		return f
	},
	"duty: What earlier dispatchers started and stored is known.": func(l *Line) fact {
		f := workKnown{seen: quetzalunit.Revision(l.Version)}
		// Without a token it belongs to no term.
		_, _ = fmt.Sscanf(l.Reason, "Token%d", &f.token)
		return f
	},
	"placement: A task is placed.": always(runStarted{}),
	"minion: The end of a run is acknowledged.": func(l *Line) fact {
		if l.Reason == reasonStored {
			return endAcknowledged{quetzalunit.Revision(l.Version)}
		}
		return endAcknowledged{}
	},
	"minion: The order to start a run is sent once more.":             always(startRepeated{}),
	"minion: A poll is overdue; the answer to the second one counts.": always(pollRepeated{}),
	"placement: A copy of a slow run is started.":                     always(runCopied{}),
	"placement: A run moves to another minion.":                       always(runCopied{}),
	"placement: A long-running task moves to another minion.":         always(runCopied{}),
	"minion: A task is done.":                                         always(runDone{}),
	"minion: A run has failed.":                                       always(runEnded{}),
	"minion: A run ended without a result.":                           always(runEnded{}),
	"minion: A minion has crashed under a run.":                       always(runEnded{}),
	"minion: The minion has neither an accepted run nor its end.":     always(runEnded{}),
	"minion: A run that no longer counted has ended as done.": func(l *Line) fact {
		if other := quetzalunit.RunNumber(l.Version); other != l.Run {
			return runSuperfluous{other}
		}
		return runSuperfluous{}
	},
	"minion: Ends of the minion that are not acknowledged are discarded.":    always(endsDiscarded{}),
	"minion: An answer leaves out ends that count as new.":                   always(endsLeftOut{}),
	"minion: The runs of a minion are given up.":                             always(runsGivenUp{}),
	"minion: A minion is removed from the tables with runs or ends.":         always(runsGivenUp{}),
	"minion: A minion is passed over whose runs and ends are not known.":     func(l *Line) fact { return passedOver{quetzalunit.FencingToken(l.Version)} },
	"host: The dispatcher is told that the host was withdrawn.":              always(hostWithdrawn{}),
	"store: A job of an earlier term is known without a read.":               always(jobKnown{}),
	"minion: The minion has restarted.":                                      always(minionChanged{}),
	"minion: Another process of the minion has answered an order.":           always(minionChanged{}),
	"minion: Another process of the minion may have got an acknowledgement.": always(endsConcerned{}),
	"minion: The minion has forgotten ends that this entry has not seen.":    always(endsForgotten{}),
	"minion: The minion has ends that are still to be applied.":              always(endsConcerned{}),
	"minion: All ends of the minion are applied.":                            always(endsConcerned{}),
	"minion: The lease of a minion that does not answer has expired.":        always(minionChanged{}),
}

func always(f fact) func(*Line) fact {
	return func(*Line) fact { return f }
}

// factOf returns what a line tells, nil if nothing of that kind.
func factOf(l *Line) fact {
	if read := messages[l.Message]; read != nil {
		return read(l)
	}
	return nil
}
