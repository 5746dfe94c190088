package quetzalscheduler

import (
	"cmp"
	"fmt"
	"slices"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// passover.go logs on which proofs a new dispatcher goes on without the answers of minions. A proof that was wrong for an
// instant shows when the minion answers with ends of runs that have been started again meanwhile.

// maxPassedOverLines bounds the lines on the minions that a new dispatcher passes over.
const maxPassedOverLines = 24

// passedOver is a minion whose runs and ends are not known when the wait for the work of earlier dispatchers ends, and the
// proof that none of their runs is at work there. settledAt is since when it counts.
type passedOver struct {
	minion    *quetzalwork.Minion
	proof     quetzalwork.Proof
	settledAt quetzalunit.Instant
}

// logPassedOver logs the minions of a pool that are passed over as the wait for the work of earlier dispatchers ends: those
// in the list first, and those of the youngest proofs. There are none in the first term of a pool.
func logPassedOver(w *quetzalwork.World, p *quetzalwork.Pool) {
	if unlistedProof(w, p).Kind == quetzalwork.ProofNoDispatcher {
		return
	}
	var passed []passedOver
	for _, row := range p.Minions {
		m := w.Minions.At(row)
		if m.Answered && m.EndsKnown || m.Replaced && !m.Listed && w.Now.Sub(m.Replacement.SentAt) > removedMinionRetention {
			continue
		}
		o := passedOver{minion: m}
		o.settledAt, o.proof = passedOverProof(w, p, m)
		passed = append(passed, o)
	}
	slices.SortStableFunc(passed, func(a, b passedOver) int {
		return cmp.Or(cmp.Compare(listedName(a.minion), listedName(b.minion)), cmp.Compare(a.proof.Age, b.proof.Age))
	})
	for i := range passed[:min(len(passed), maxPassedOverLines)] {
		o := &passed[i]
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartMinion, Message: "A minion is passed over whose runs and ends are not known.", Minion: o.minion.ID, Pool: p.ID, Host: o.minion.Host,
			Version: int64(p.Token), Age: w.Now.Sub(o.settledAt), Reason: fmt.Sprintf("%sMissed%d", listedName(o.minion), o.minion.MissedAnswers), Proof: &o.proof,
		})
	}
	if more := len(passed) - maxPassedOverLines; more > 0 {
		w.Log(quetzalwork.Decision{
			Part: quetzalwork.PartDuty, Message: "Further minions are passed over whose runs and ends are not known.", Pool: p.ID, Version: int64(more), Reason: fmt.Sprintf("Token%d", p.Token),
		})
	}
}

// passedOverProof returns since when the runs of earlier dispatchers on a minion count as ended that is passed over, and the
// proof. It follows findPredecessorWait.
func passedOverProof(w *quetzalwork.World, p *quetzalwork.Pool, m *quetzalwork.Minion) (quetzalunit.Instant, quetzalwork.Proof) {
	switch {
	case m.Replaced:
		return m.Replacement.SentAt, replacementProof(w, m)
	case m.Answered:
		// It has ends that are still to be applied, and its lease has expired.
		return leaseExpiry(m), quetzalwork.Proof{Kind: quetzalwork.ProofLeaseLapsed, Age: w.Now.Sub(leaseExpiry(m))}
	default:
		return silentLeaseProof(w, p, m)
	}
}

// replacementProof returns what shows that a later minion of its host replaces a minion.
func replacementProof(w *quetzalwork.World, m *quetzalwork.Minion) quetzalwork.Proof {
	r := &m.Replacement
	return quetzalwork.Proof{Kind: quetzalwork.ProofLaterMinion, Minion: r.By, Incarnation: r.Incarnation, Age: w.Now.Sub(r.SentAt)}
}

// unlistedProof returns what shows that no minions which this process does not know run tasks of earlier dispatchers. It
// follows unlistedLeasesEnd.
func unlistedProof(w *quetzalwork.World, p *quetzalwork.Pool) quetzalwork.Proof {
	l, list := p.ReleasedLeases, &w.MinionList
	switch {
	case l == nil && p.PredecessorProof == quetzalwork.ProofNoDispatcher:
		return predecessorProof(w, p)
	case allMinionsKnown(w, p):
		return quetzalwork.Proof{Kind: quetzalwork.ProofCensus, Age: w.Now.Sub(w.Census.ReadSentAt)}
	case l == nil:
		return predecessorProof(w, p)
	case list.Revision >= l.ListRevision && list.ContinuousFrom <= l.ListRevision:
		return quetzalwork.Proof{Kind: quetzalwork.ProofList, Age: w.Now.Sub(list.ReadSentAt)}
	default:
		return quetzalwork.Proof{Kind: quetzalwork.ProofRelease, Age: w.Now.Sub(p.ReleasedFrom)}
	}
}

func listedName(m *quetzalwork.Minion) string {
	if m.Listed {
		return "Listed"
	}
	return "Unlisted"
}
