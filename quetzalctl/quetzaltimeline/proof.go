package quetzaltimeline

import (
	"fmt"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Proof is what a decision on the runs of a minion rests on, as in quetzalwork.Proof. The zero value is none.
type Proof struct {
	ProofKind        quetzalwork.ProofKind         `json:"proof"`
	ProofMinion      quetzalunit.MinionID          `json:"proof_minion"`
	ProofIncarnation quetzalunit.MinionIncarnation `json:"proof_incarnation"`
	ProofAgeMs       int64                         `json:"proof_age_ms"`
}

// String formats the proof for the end of a line.
func (p *Proof) String() string {
	if p.ProofKind == "" {
		return ""
	}
	text := " by " + string(p.ProofKind)
	if p.ProofMinion != "" {
		text += " of " + string(p.ProofMinion)
	}
	if p.ProofIncarnation != 0 {
		text += fmt.Sprintf(" incarnation %d", p.ProofIncarnation)
	}
	if p.ProofKind != quetzalwork.ProofNotice {
		text += fmt.Sprintf(" of %d ms ago", p.ProofAgeMs)
	}
	return text
}
