package quetzaltimeline

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// takenOver returns passedOverLog with a reason and a proof in the line of the second takeover.
func takenOver(reason, proof string) string {
	const line = `"entry":"e2","pool":"p","version":20,`
	return strings.Replace(passedOverLog(passedOverM1), line, fmt.Sprintf(`%s"reason":%q,"proof":%q,"proof_age_ms":40,`, line, reason, proof), 1)
}

func TestSecondStartNamesThePredecessorOfItsDispatcher(t *testing.T) {
	for reason, test := range map[string]struct{ proof, text string }{
		"None":               {"NoDispatcher", "nobody had dispatched it, by NoDispatcher of 40 ms ago, ALTHOUGH run 15361 is of token 15"},
		"Unknown":            {"Takeover", "its row before was not known, by Takeover of 40 ms ago"},
		"ReleasedRevision19": {"Release", "it was released at revision 19, by Release of 40 ms ago"},
		"ReplacedRevision15Incarnation3Entryfront-new-town-1": {"LaterProcess", "from front-new-town-1 incarnation 3 with token 15, which had restarted, by LaterProcess of 40 ms ago"},
		"SilentRevision15Incarnation3Entrye1":                 {"LastRenewal", "from e1 incarnation 3 with token 15, which had not released it, by LastRenewal of 40 ms ago"},
	} {
		text := explainedAs(t, takenOver(reason, test.proof), "")
		require.Contains(t, text, "\n      TAKEN OVER by e2 with token 20 at 00:01:03.000: "+test.text+"\n")
	}
	require.NotContains(t, explainedAs(t, passedOverLog(), ""), "TAKEN OVER", "a line of an earlier version")
	stored := `{"time":"2026-01-01T00:01:03Z","entry":"e1","pool":"p","version":18,"reason":"Token15","message":"duty: This entry has stored progress up to a revision."}`
	require.Contains(t, explainedAs(t, passedOverLog(stored), ""), "\n      NOT ALL READ: e1 stored progress up to revision 18 with token 15; e2 had read up to revision 17 at 00:01:04.000\n")
}
