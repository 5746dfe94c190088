package quetzaltimeline

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// passedOverLog has two terms, of e1 with token 15 and of e2 with token 20. e2 goes on without the answer of m1, on which run 15361 of
// task 0.1 has ended as done, and starts run 20481. between comes before the second start.
func passedOverLog(between ...string) string {
	lines := append([]string{
		`{"time":"2026-01-01T00:00:01Z","entry":"e1","pool":"p","version":15,"message":"duty: This entry dispatches the pool."}`,
		`{"time":"2026-01-01T00:01:00Z","entry":"e1","job":"aa","pool":"p","minion":"m1","run":15361,"occurrence":0,"step":0,"task":1,"version":15,"message":"placement: A task is placed."}`,
		`{"time":"2026-01-01T00:01:03Z","entry":"e2","pool":"p","version":20,"message":"duty: This entry dispatches the pool."}`,
	}, between...)
	return strings.Join(append(lines,
		`{"time":"2026-01-01T00:01:04Z","entry":"e2","pool":"p","version":17,"age_ms":1000,"reason":"Token20Read10ms","proof":"Census","proof_age_ms":40,"message":"duty: What earlier dispatchers started and stored is known."}`,
		`{"time":"2026-01-01T00:01:05Z","entry":"e2","job":"aa","pool":"p","minion":"m2","run":20481,"occurrence":0,"step":0,"task":1,"version":20,"message":"placement: A task is placed."}`,
		`{"time":"2026-01-01T00:01:05.04Z","entry":"e2","job":"aa","minion":"m1","pool":"p","run":15361,"occurrence":0,"step":0,"task":1,"version":20481,"reason":"OtherRun","message":"minion: A run that no longer counted has ended as done."}`,
	), "\n")
}

const passedOverM1 = `{"time":"2026-01-01T00:01:04Z","entry":"e2","pool":"p","minion":"m1","host":"h1","version":20,"age_ms":300,"reason":"ListedMissed2","proof":"ReleaseListed","proof_age_ms":3400,"message":"minion: A minion is passed over whose runs and ends are not known."}`

func TestSecondStartAfterAPassOverNamesItsProof(t *testing.T) {
	_, text, _ := strings.Cut(explainedAs(t, passedOverLog(passedOverM1), ""), "run 20481 of token 20 on m2 token 20\n")
	require.Equal(t, `    second start of task 0.1; of run 15361 before it (token 15) the logs tell:
      00:01:00.000 e1                     placement: A task is placed. task 0.1 run 15361 of token 15 on m1 token 15
      00:01:04.000 e2                     minion: A minion is passed over whose runs and ends are not known. on m1 after 300 ms token 20 (ListedMissed2) by ReleaseListed of 3400 ms ago
      00:01:05.040 e2                     minion: A run that no longer counted has ended as done. task 0.1 run 15361 of token 15 on m1 run 20481 (OtherRun)
      PASSED OVER by e2 with token 20 at 00:01:04.000: m1 (ListedMissed2) by ReleaseListed of 3400 ms ago, settled 300 ms before
      possible causes: PassedOver
00:01:05.040 e2                     minion: A run that no longer counted has ended as done. task 0.1 run 15361 of token 15 on m1 run 20481 (OtherRun)
`, text)
}

// A minion that is passed over before the proof counts shows a fault of the dispatcher itself.
func TestSecondStartAfterAPassOverThatWasTooEarlyIsMarked(t *testing.T) {
	text := explainedAs(t, passedOverLog(strings.ReplaceAll(passedOverM1, `"age_ms":300`, `"age_ms":-7735`)), "")
	require.Contains(t, text, "by ReleaseListed of 3400 ms ago, TOO EARLY by 7735 ms\n")
}

// Lines of other minions and of other terms explain nothing.
func TestSecondStartWithoutAPassOverNamesWhatRulesOutUnknownMinions(t *testing.T) {
	text := explainedAs(t, passedOverLog(strings.ReplaceAll(passedOverM1, `"m1"`, `"m3"`), strings.ReplaceAll(passedOverM1, `"version":20`, `"version":15`)), "")
	require.Contains(t, text, "\n      not passed over by e2 with token 20: m1 had answered it, or was not known to it, and minions that were not known were ruled out by Census of 40 ms ago\n")
	require.NotContains(t, text, "PASSED OVER")
}

// All lines on the starts are left out at the peak. The one on the run that no longer counted names both runs.
func TestSecondStartOfWhichRoutineLinesAreLeftOutIsFound(t *testing.T) {
	var kept []string
	for line := range strings.Lines(passedOverLog(passedOverM1)) {
		if !strings.Contains(line, "A task is placed.") {
			kept = append(kept, line)
		}
	}
	text := explainedAs(t, strings.Join(kept, ""), "")
	require.Contains(t, text, `
    second start of task 0.1 as run 20481 of token 20, which no line of its own tells (e2); of run 15361 before it (token 15) the logs tell:
      00:01:04.000 e2                     minion: A minion is passed over`)
	require.Contains(t, text, "\n      PASSED OVER by e2 with token 20 at 00:01:04.000: m1 (ListedMissed2) by ReleaseListed of 3400 ms ago, settled 300 ms before\n")
}

// givenUpLog has run 15361 on m1, what lines tell of how e1 gave it up, and run 15362 of the same term.
func givenUpLog(between ...string) string {
	lines := append([]string{
		`{"time":"2026-01-01T00:01:00Z","entry":"e1","job":"aa","pool":"p","minion":"m1","run":15361,"step":0,"task":1,"message":"placement: A task is placed."}`,
	}, between...)
	return strings.Join(append(lines,
		`{"time":"2026-01-01T00:01:05Z","entry":"e1","job":"aa","pool":"p","minion":"m2","run":15362,"step":0,"task":1,"message":"placement: A task is placed."}`,
	), "\n")
}

func TestSecondStartAfterAGivenUpRunNamesItsProof(t *testing.T) {
	ofMinion := `{"time":"2026-01-01T00:01:04Z","entry":"e1","pool":"p","minion":"m1","host":"h1","version":3,"reason":"ReplacedUnacked0PendingfalseUntracked0","proof":"LaterMinion","proof_minion":"m9","proof_incarnation":7,"proof_age_ms":20,"message":"minion: The runs of a minion are given up."}`
	ofRun := `{"time":"2026-01-01T00:01:04Z","entry":"e1","job":"aa","minion":"m1","run":15361,"step":0,"task":1,"reason":"ReplacedLapsed","proof":"LaterMinion","proof_minion":"m9","proof_incarnation":7,"proof_age_ms":20,"message":"minion: A run ended without a result."}`
	const verdict = "\n      GIVEN UP by e1 at 00:01:04.000, 1000 ms before the start: Replaced"
	const proof = " by LaterMinion of m9 incarnation 7 of 20 ms ago\n"
	require.Contains(t, explainedAs(t, givenUpLog(ofMinion, ofRun), ""), verdict+"Lapsed"+proof)
	text := explainedAs(t, givenUpLog(ofMinion), "")
	require.Contains(t, text, verdict+"Unacked0PendingfalseUntracked0"+proof, "the line of the run is left out")
	require.Contains(t, text, "on m1 runs 3 (ReplacedUnacked0")
	require.NotContains(t, explainedAs(t, givenUpLog(strings.ReplaceAll(ofMinion, `"m1"`, `"m3"`)), ""), "GIVEN UP")
	require.NotContains(t, explainedAs(t, givenUpLog(strings.ReplaceAll(ofMinion, "01:04Z", "01:06Z")), ""), "GIVEN UP", "after the second start")
}

// The dispatcher knows only that it was told; who told it, and by hosts of what age, is in the log of the host controller.
func TestSecondStartAfterANoticeNamesTheHostController(t *testing.T) {
	text := explainedAs(t, givenUpLog(
		`{"time":"2026-01-01T00:01:03.9Z","entry":"e3","pool":"p","minion":"m1","host":"h1","version":7,"age_ms":580,"reason":"e1","message":"host: The dispatcher is told that the host was withdrawn."}`,
		`{"time":"2026-01-01T00:01:04Z","entry":"e1","pool":"p","minion":"m1","host":"h1","version":1,"reason":"TakenUnacked0PendingfalseUntracked0","proof":"Notice","proof_minion":"m1","proof_incarnation":7,"proof_age_ms":0,"message":"minion: The runs of a minion are given up."}`,
	), "")
	require.Contains(t, text, `
      GIVEN UP by e1 at 00:01:04.000, 1000 ms before the start: TakenUnacked0PendingfalseUntracked0 by Notice of m1 incarnation 7
        told by e3 at 00:01:03.900, by a list of hosts of 580 ms ago
`)
}

// A run that its minion has reported as ended was not given up.
func TestSecondStartAfterAReportedEndNamesNoProof(t *testing.T) {
	text := explainedAs(t, givenUpLog(`{"time":"2026-01-01T00:01:04Z","entry":"e1","job":"aa","minion":"m1","run":15361,"step":0,"task":1,"reason":"Stopped","message":"minion: A run ended without a result."}`), "")
	require.Contains(t, text, "second start of task 0.1")
	require.NotContains(t, text, "GIVEN UP")
}

func TestSecondStartOfAJobThatANoticeBroughtTellsIt(t *testing.T) {
	text := explainedAs(t, passedOverLog(`{"time":"2026-01-01T00:01:04.5Z","entry":"e2","job":"aa","pool":"p","version":14,"age_ms":1500,"reason":"NoticeToken20Seen17","message":"store: A job of an earlier term is known without a read."}`), "")
	require.Equal(t, 2, strings.Count(text, "A job of an earlier term is known without a read. after 1500 ms version 14 (NoticeToken20Seen17)\n"))
}

const (
	startRepeatedM1 = `{"time":"2026-01-01T00:01:00.2Z","entry":"e1","job":"aa","pool":"p","minion":"m1","run":15361,"occurrence":0,"step":0,"task":1,"version":15,"age_ms":200,"message":"minion: The order to start a run is sent once more."}`
	pollRepeatedM1  = `{"time":"2026-01-01T00:01:00.4Z","entry":"e1","pool":"p","minion":"m1","version":6,"age_ms":350,"reason":"Sent90ms","message":"minion: A poll is overdue; the answer to the second one counts."}`
)

func TestSecondStartShowsTheCallsThatWereRepeated(t *testing.T) {
	_, text, _ := strings.Cut(explainedAs(t, passedOverLog(startRepeatedM1, pollRepeatedM1, strings.ReplaceAll(pollRepeatedM1, `"m1"`, `"m2"`)), ""), "the logs tell:\n")
	require.Contains(t, text, "The order to start a run is sent once more. task 0.1 run 15361 of token 15 on m1 after 200 ms token 15\n")
	require.Contains(t, text, "A poll is overdue; the answer to the second one counts. on m1 after 350 ms end 6 (Sent90ms)\n")
	require.NotContains(t, text, "on m2 after")
}
