package quetzaltimeline

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// takeoverLog has two terms: of e1 with token 15, in which run 15361 of task 0.1 starts, and of e2 with token 20, in which
// run 20481 does. What the logs tell of the first run comes in between.
func takeoverLog(between ...string) string {
	lines := append([]string{
		`{"time":"2026-01-01T00:00:01Z","entry":"e1","pool":"p","version":15,"message":"duty: This entry dispatches the pool."}`,
		`{"time":"2026-01-01T00:00:02Z","entry":"e1","pool":"p","version":14,"age_ms":1000,"reason":"Token15Read10ms","message":"duty: What earlier dispatchers started and stored is known."}`,
		`{"time":"2026-01-01T00:01:00Z","entry":"e1","job":"aa","pool":"p","minion":"m1","run":15361,"occurrence":0,"step":0,"task":1,"version":15,"message":"placement: A task is placed."}`,
	}, between...)
	return strings.Join(append(lines,
		`{"time":"2026-01-01T00:01:03Z","entry":"e1","pool":"p","version":15,"reason":"Superseded","message":"duty: This entry no longer dispatches the pool."}`,
		`{"time":"2026-01-01T00:01:03Z","entry":"e2","pool":"p","version":20,"message":"duty: This entry dispatches the pool."}`,
		`{"time":"2026-01-01T00:01:04Z","entry":"e2","pool":"p","version":17,"age_ms":1000,"reason":"Token20Read10ms","message":"duty: What earlier dispatchers started and stored is known."}`,
		`{"time":"2026-01-01T00:01:05Z","entry":"e2","job":"aa","pool":"p","minion":"m2","run":20481,"occurrence":0,"step":0,"task":1,"version":20,"message":"placement: A task is placed."}`,
	), "\n")
}

// explainedAs returns the formatted timeline of job aa.
func explainedAs(t *testing.T, log, task string) string {
	t.Helper()
	lines, err := Read(strings.NewReader(log))
	require.NoError(t, err)
	var tasks Tasks
	if task != "" {
		require.NoError(t, tasks.UnmarshalText([]byte(task)))
	}
	timeline := ForJob(lines, "aa", tasks)
	return timeline.String()
}

func TestSecondStartAfterAnEndThatTheSuccessorHadNotRead(t *testing.T) {
	log := takeoverLog(`{"time":"2026-01-01T00:01:02Z","entry":"e1","job":"aa","pool":"p","minion":"m1","run":15361,"occurrence":0,"step":0,"task":1,"version":18,"reason":"Stored","message":"minion: The end of a run is acknowledged."}`)
	require.Equal(t, `pool p token 15: e1 from 00:00:01.000 to 00:01:03.000 (Superseded), earlier work known at 00:00:02.000, rows up to revision 14
pool p token 20: e2 from 00:01:03.000, earlier work known at 00:01:04.000, rows up to revision 17

00:01:00.000 e1                     placement: A task is placed. task 0.1 run 15361 of token 15 on m1 token 15
00:01:02.000 e1                     minion: The end of a run is acknowledged. task 0.1 run 15361 of token 15 on m1 revision 18 (Stored)
00:01:03.000 e1                     duty: This entry no longer dispatches the pool. token 15 (Superseded)
00:01:03.000 e2                     duty: This entry dispatches the pool. token 20
00:01:04.000 e2                     duty: What earlier dispatchers started and stored is known. after 1000 ms revision 17 (Token20Read10ms)
00:01:05.000 e2                     placement: A task is placed. task 0.1 run 20481 of token 20 on m2 token 20
    second start of task 0.1; of run 15361 before it (token 15) the logs tell:
      00:01:00.000 e1                     placement: A task is placed. task 0.1 run 15361 of token 15 on m1 token 15
      00:01:02.000 e1                     minion: The end of a run is acknowledged. task 0.1 run 15361 of token 15 on m1 revision 18 (Stored)
        NOT READ: stored at revision 18 by e1; e2 had read up to revision 17 with token 20 at 00:01:04.000, 1000 ms before it placed the task: 17 < 18
      possible causes: StoredNotRead
`, explainedAs(t, log, ""))
	require.Contains(t, explainedAs(t, strings.ReplaceAll(log, `"version":18`, `"version":16`), ""), "        stored at revision 16 by e1; e2 had read up to revision 17 with token 20 at 00:01:04.000, 1000 ms before it placed the task: 17 >= 16, so this one, too\n")
	withoutRead := strings.ReplaceAll(log, "What earlier dispatchers", "")
	require.Contains(t, explainedAs(t, withoutRead, ""), "stored at revision 18 by e1; no line tells which rows the dispatcher with token 20 had read")
	require.Contains(t, explainedAs(t, withoutRead, ""), "pool p token 20: e2 from 00:01:03.000, no line tells when earlier work was known")
	itself := strings.ReplaceAll(log, `02Z","entry":"e1","job"`, `04Z","entry":"e2","job"`)
	require.Contains(t, explainedAs(t, itself, ""), "stored at revision 18 by e2, by the dispatcher with token 20 itself")
}

func TestSecondStartAfterAnEndWithoutARecord(t *testing.T) {
	log := takeoverLog(`{"time":"2026-01-01T00:01:02Z","entry":"e1","job":"aa","pool":"p","minion":"m1","run":15361,"occurrence":0,"step":0,"task":1,"version":7,"reason":"UnknownJob","message":"minion: The end of a run is acknowledged."}`)
	text := explainedAs(t, log, "")
	require.Contains(t, text, "on m1 end 7 (UnknownJob)\n")
	require.NotContains(t, text, "stored at revision")
	require.NotContains(t, text, "had read up to")
	require.NotContains(t, text, "nothing of how it ended")
}

func TestSecondStartAfterARunWhoseEndNoLineTells(t *testing.T) {
	text := explainedAs(t, takeoverLog(
		`{"time":"2026-01-01T00:01:02Z","entry":"e1","omitted":310,"message":"log: Routine lines were omitted."}`,
		`{"time":"2026-01-01T00:01:02.9Z","entry":"e1","omitted":5,"message":"log: Routine lines were omitted."}`,
		`{"time":"2026-01-01T00:00:02Z","entry":"e3","omitted":9,"message":"log: Routine lines were omitted."}`,
	), "")
	require.Contains(t, text, "      nothing of how it ended\n      e1 left out 315 routine lines meanwhile\n")
	require.NotContains(t, text, "e3")
}

func TestSecondStartOnPurpose(t *testing.T) {
	text := explainedAs(t, `
{"time":"2026-01-01T00:01:00Z","entry":"e1","job":"aa","minion":"m1","run":15361,"step":0,"task":1,"message":"placement: A task is placed."}
{"time":"2026-01-01T00:01:09Z","entry":"e1","job":"aa","minion":"m2","run":15361,"step":0,"task":1,"reason":"Straggler","message":"placement: A copy of a slow run is started."}
{"time":"2026-01-01T00:01:09Z","entry":"e1","job":"aa","minion":"m2","run":15362,"step":0,"task":1,"message":"placement: A task is placed."}`, "")
	require.Contains(t, text, "(Straggler)\n      nothing of how it ended\n")
}

// A start in the same term whose earlier ones no line names, as its count shows.
func TestSecondStartWithoutALineOfTheFirst(t *testing.T) {
	text := explainedAs(t, `{"time":"2026-01-01T00:01:00Z","entry":"e1","job":"aa","pool":"p","minion":"m1","run":15362,"step":0,"task":1,"version":15,"message":"placement: A task is placed."}`, "")
	require.Contains(t, text, "second start of task 0.1; of run 15361 before it (token 15) the logs tell:\n      nothing of how it ended\n")
}

// The lines of the first run's minion are among what the logs tell, also those shortly after the second start.
func TestSecondStartAfterAnAcknowledgementForAFormerProcess(t *testing.T) {
	text := explainedAs(t, `
{"time":"2026-01-01T00:01:00Z","entry":"e1","job":"aa","pool":"p","minion":"m1","run":15361,"step":0,"task":1,"message":"placement: A task is placed."}
{"time":"2026-01-01T00:01:01Z","entry":"e1","pool":"p","minion":"m1","version":1700,"reason":"Answer","message":"minion: The minion has restarted."}
{"time":"2026-01-01T00:01:01Z","entry":"e1","pool":"p","minion":"m1","version":4,"reason":"Runs1","message":"minion: Another process of the minion may have got an acknowledgement."}
{"time":"2026-01-01T00:01:01Z","entry":"e1","pool":"p","minion":"m2","version":4,"reason":"Runs1","message":"minion: Another process of the minion may have got an acknowledgement."}
{"time":"2026-01-01T00:01:02Z","entry":"e1","job":"aa","pool":"p","minion":"m1","run":15361,"step":0,"task":1,"reason":"RestartedSeen0Acked0","message":"minion: The minion has neither an accepted run nor its end."}
{"time":"2026-01-01T00:01:02Z","entry":"e1","job":"aa","pool":"p","minion":"m2","run":15362,"step":0,"task":1,"reason":"AbsentLapsed","message":"placement: A task is placed."}
{"time":"2026-01-01T00:01:08Z","entry":"e1","pool":"p","minion":"m1","version":1800,"reason":"Answer","message":"minion: The minion has restarted."}
{"time":"2026-01-01T00:01:09Z","entry":"e1","pool":"p","minion":"m1","version":1700,"reason":"Seen0First2","message":"minion: The minion has forgotten ends that this entry has not seen."}`, "")
	require.Contains(t, text, `
    second start of task 0.1; of run 15361 before it (token 15) the logs tell:
      00:01:00.000 e1                     placement: A task is placed. task 0.1 run 15361 of token 15 on m1
      00:01:01.000 e1                     minion: The minion has restarted. on m1 version 1700 (Answer)
      00:01:01.000 e1                     minion: Another process of the minion may have got an acknowledgement. on m1 end 4 (Runs1)
      00:01:02.000 e1                     minion: The minion has neither an accepted run nor its end. task 0.1 run 15361 of token 15 on m1 (RestartedSeen0Acked0)
      00:01:09.000 e1                     minion: The minion has forgotten ends that this entry has not seen. on m1 version 1700 (Seen0First2)
`)
	require.Contains(t, text, "m2 end 4 (Runs1)", "the minion of the second run is in the timeline")
}

func TestTaskSelectsItsLinesAndThoseOfTheJob(t *testing.T) {
	log := takeoverLog(
		`{"time":"2026-01-01T00:01:01Z","entry":"e1","job":"aa","message":"front: Answered a job submission."}`,
		`{"time":"2026-01-01T00:01:01Z","entry":"e1","job":"aa","minion":"m3","run":15361,"occurrence":0,"step":0,"task":2,"message":"minion: A task is done."}`,
		`{"time":"2026-01-01T00:01:01Z","entry":"e1","minion":"m3","message":"minion: The minion has restarted."}`,
		`{"time":"2026-01-01T00:01:01Z","entry":"e1","job":"aa","minion":"m4","run":15361,"occurrence":2,"step":0,"task":1,"message":"minion: A task is done."}`,
	)
	text := explainedAs(t, log, "0.1")
	require.Contains(t, text, "front: Answered")
	require.Contains(t, text, "task 0.1 run 15361")
	require.Contains(t, text, "task 2.0.1 run 15361")
	require.NotContains(t, text, "m3")
	text = explainedAs(t, log, "2.0.1")
	require.Contains(t, text, "task 2.0.1 run 15361")
	require.NotContains(t, text, "task 0.1")
	for _, invalid := range []string{"", "1", "a.1", "1.2.3.4", "-1.2"} {
		require.Error(t, new(Tasks).UnmarshalText([]byte(invalid)), invalid)
	}
}

// Guards against messages that are worded differently where they are logged: the lines would no longer be found.
func TestMessagesAreThoseOfTheScheduler(t *testing.T) {
	files, err := filepath.Glob("../../quetzalcore/quetzalscheduler/*.go")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	var source strings.Builder
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name) //nolint:gosec // a source file of the project
		require.NoError(t, err)
		source.Write(text)
	}
	for message := range messages {
		_, text, _ := strings.Cut(message, ": ")
		require.Contains(t, source.String(), `Message: "`+text+`"`)
	}
}

// The term in which a run was started is listed however long ago it ended.
func TestTermsAreThoseOfTheTimeAndOfTheRuns(t *testing.T) {
	text := explainedAs(t, `
{"time":"2026-01-01T00:00:01Z","entry":"e1","pool":"p","version":14,"reason":"Shared","message":"duty: This entry no longer dispatches the pool."}
{"time":"2026-01-01T00:00:02Z","entry":"e1","pool":"p","version":15,"reason":"Shared","message":"duty: This entry no longer dispatches the pool."}
{"time":"2026-01-01T00:00:03Z","entry":"e1","pool":"p","version":20,"message":"duty: This entry dispatches the pool."}
{"time":"2026-01-01T00:00:03Z","entry":"e1","pool":"q","version":21,"message":"duty: This entry dispatches the pool."}
{"time":"2026-01-01T00:01:00Z","entry":"e1","job":"aa","pool":"p","minion":"m1","run":15361,"step":0,"task":1,"reason":"Stored","version":30,"message":"minion: The end of a run is acknowledged."}
{"time":"2026-01-01T00:01:30Z","entry":"e1","pool":"p","version":40,"message":"duty: This entry dispatches the pool."}`, "")
	terms, _, _ := strings.Cut(text, "\n\n")
	require.Equal(t, `pool p token 15: e1 to 00:00:02.000 (Shared), no line tells when earlier work was known
pool p token 20: e1 from 00:00:03.000, no line tells when earlier work was known`, terms)
}
