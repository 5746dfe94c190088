package quetzaltimeline

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// repeatsIn returns the formatted repeats in a log.
func repeatsIn(t *testing.T, log string) string {
	t.Helper()
	lines, err := Read(strings.NewReader(log))
	require.NoError(t, err)
	repeats := FindRepeats(lines)
	return repeats.String()
}

// One command over all logs names each task that ran twice, whatever its job, with the cause.
func TestRepeatsOfAllJobsAreExplained(t *testing.T) {
	log := passedOverLog(passedOverM1)
	for line := range strings.Lines(log) {
		if strings.Contains(line, `"job"`) {
			log += "\n" + strings.NewReplacer(`"job":"aa"`, `"job":"bb"`, `"task":1`, `"task":7`).Replace(strings.TrimSpace(line))
		}
	}
	text := repeatsIn(t, log)
	require.True(t, strings.HasPrefix(text, "2 tasks were started again although a run of them has ended as done\n\njob aa task 0.1\n00:01:05.000 e2"), text)
	require.Contains(t, text, "\njob bb task 0.7\n")
	require.Equal(t, 2, strings.Count(text, "PASSED OVER by e2 with token 20 at 00:01:04.000: m1"))
	require.Equal(t, 2, strings.Count(text, "second start of task"))
	require.True(t, strings.HasSuffix(text, `

second starts by cause, as far as the logs tell; several may fit one:
     0 EndsDropped
     0 StoredNotRead
     0 StoredAndRead
     0 StoredReadsUnknown
     0 NotAllRead
     0 StoredItself
     2 PassedOver
     0 GivenUp
     0 RepeatedCall
     0 NoDispatcher
     0 UnknownJob
     0 NotRecorded
     0 NoRecord
`), text)
}

// A start after an end that was read, as in TestSecondStartAfterAnEndThatTheSuccessorHadNotRead.
func TestRepeatAfterAnAcknowledgedEndIsExplained(t *testing.T) {
	text := repeatsIn(t, takeoverLog(`{"time":"2026-01-01T00:01:02Z","entry":"e1","job":"aa","pool":"p","minion":"m1","run":15361,"occurrence":0,"step":0,"task":1,"version":18,"reason":"Stored","message":"minion: The end of a run is acknowledged."}`))
	require.Contains(t, text, "1 tasks were")
	require.Contains(t, text, "NOT READ")
}

// Starts after failed and lost runs, and copies that start before an end, repeat nothing that was done.
func TestStartsThatRepeatNothingAreNotNamed(t *testing.T) {
	const none = "0 tasks were started again although a run of them has ended as done\n"
	require.Equal(t, none, repeatsIn(t, `{"time":"2026-01-01T00:01:05.04Z","entry":"e2","job":"aa","minion":"m1","run":15361,"step":0,"task":1,"reason":"SilentLapsed","message":"minion: A run that no longer counted has ended as done."}`),
		"heard before it was started again")
	require.Equal(t, none, repeatsIn(t, givenUpLog(
		`{"time":"2026-01-01T00:01:04Z","entry":"e1","job":"aa","minion":"m1","run":15361,"step":0,"task":1,"reason":"SilentLapsed","message":"minion: A run ended without a result."}`,
		`{"time":"2026-01-01T00:01:06Z","entry":"e1","job":"aa","minion":"m1","run":15361,"step":0,"task":1,"reason":"Done","message":"minion: A task is done."}`,
	)))
}
