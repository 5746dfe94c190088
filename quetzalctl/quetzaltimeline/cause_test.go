package quetzaltimeline

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// doneM1 tells that run 15361 has ended as done, ackedM1 how its end was acknowledged, by an entry at a time, with a version and a reason.
const doneM1 = `{"time":"2026-01-01T00:01:00.9Z","entry":"e1","job":"aa","pool":"p","minion":"m1","run":15361,"occurrence":0,"step":0,"task":1,"version":1,"message":"minion: A task is done."}`

func ackedM1(entry, time string, version int, reason string) string {
	return fmt.Sprintf(`{"time":"2026-01-01T00:%sZ","entry":%q,"job":"aa","pool":"p","minion":"m1","run":15361,"occurrence":0,"step":0,"task":1,"version":%d,"reason":%q,"message":"minion: The end of a run is acknowledged."}`, time, entry, version, reason)
}

const (
	discardedM1 = `{"time":"2026-01-01T00:01:02Z","entry":"e1","pool":"p","minion":"m1","version":4,"age_ms":30,"reason":"WithdrawnEnds2From3Through4","message":"minion: Ends of the minion that are not acknowledged are discarded."}`
	leftOutM1   = `{"time":"2026-01-01T00:01:02.1Z","entry":"e1","pool":"p","minion":"m1","version":4,"age_ms":70,"reason":"Seen2","message":"minion: An answer leaves out ends that count as new."}`
)

// countedIn returns the causes that the table of repeats counts in a log, each with its count.
func countedIn(t *testing.T, log string) string {
	t.Helper()
	_, table, found := strings.Cut(repeatsIn(t, log), "\nsecond starts by cause, as far as the logs tell; several may fit one:\n")
	require.True(t, found)
	var counted []string
	for line := range strings.Lines(table) {
		if n, name, _ := strings.Cut(strings.TrimSpace(line), " "); n != "0" {
			counted = append(counted, n+" "+name)
		}
	}
	return strings.Join(counted, ", ")
}

func TestRepeatsAreCountedByTheirCauses(t *testing.T) {
	earlierJob := `{"time":"2026-01-01T00:01:04.5Z","entry":"e2","job":"aa","pool":"p","version":14,"age_ms":1500,"reason":"NoticeToken20Seen17","message":"store: A job of an earlier term is known without a read."}`
	given := `{"time":"2026-01-01T00:01:04Z","entry":"e2","job":"aa","minion":"m1","run":15361,"step":0,"task":1,"reason":"AbsentLapsed","proof":"Report","proof_age_ms":20,"message":"minion: A run ended without a result."}`
	// Run 20482 follows the loss of 20481.
	lost := `
{"time":"2026-01-01T00:01:08Z","entry":"e2","job":"aa","pool":"p","minion":"m2","run":20481,"step":0,"task":1,"reason":"SilentLapsed","message":"minion: A run ended without a result."}
{"time":"2026-01-01T00:01:09Z","entry":"e2","job":"aa","pool":"p","minion":"m3","run":20482,"step":0,"task":1,"message":"placement: A task is placed."}`
	stored := `{"time":"2026-01-01T00:01:03Z","entry":"e1","pool":"p","version":18,"age_ms":20,"reason":"Token15","message":"duty: This entry has stored progress up to a revision."}`
	for log, expected := range map[string]string{
		takeoverLog(ackedM1("e1", "01:02", 18, "Stored")):                                             "1 StoredNotRead",
		takeoverLog(ackedM1("e1", "01:02", 17, "Stored"), passedOverM1):                               "1 StoredAndRead",
		strings.ReplaceAll(takeoverLog(ackedM1("e1", "01:02", 17, "Stored")), "What earlier", "what"): "1 StoredReadsUnknown",
		takeoverLog(ackedM1("e2", "01:04.5", 18, "Stored")):                                           "1 StoredItself",
		takeoverLog(doneM1, ackedM1("e2", "01:06", 18, "Stored")):                                     "1 NoRecord",
		takeoverLog(doneM1, discardedM1):                                                              "1 EndsDropped",
		takeoverLog(doneM1, discardedM1, ackedM1("e2", "01:06", 18, "Stored")):                        "1 NoRecord",
		takeoverLog(doneM1, strings.ReplaceAll(discardedM1, "m1", "m2")):                              "1 NoRecord",
		takeoverLog(doneM1, leftOutM1, passedOverM1):                                                  "1 EndsDropped, 1 PassedOver",
		takeoverLog(doneM1):                                                 "1 NoRecord",
		takeoverLog(doneM1, passedOverM1):                                   "1 PassedOver",
		passedOverLog(passedOverM1):                                         "1 PassedOver",
		takeoverLog(doneM1, given):                                          "1 GivenUp",
		takeoverLog(doneM1, stored):                                         "1 NotAllRead",
		takeoverLog(doneM1, strings.Replace(stored, "18", "17", 1)):         "1 NoRecord",
		takeoverLog(doneM1, startRepeatedM1):                                "1 RepeatedCall",
		takeoverLog(doneM1, pollRepeatedM1):                                 "1 RepeatedCall",
		takenOver("None", "NoDispatcher"):                                   "1 PassedOver, 1 NoDispatcher",
		takeoverLog(ackedM1("e1", "01:02", 18, "Stored")) + lost:            "1 StoredNotRead",
		strings.Replace(passedOverLog(doneM1), "Census", "NoDispatcher", 1): "1 NoDispatcher",
		takenOver("Unknown", "Takeover"):                                    "1 PassedOver",
		takeoverLog(doneM1, earlierJob):                                     "1 UnknownJob",
		takeoverLog(ackedM1("e1", "01:02", 7, "UnknownJob"), earlierJob):    "1 UnknownJob",
		takeoverLog(doneM1, strings.Replace(earlierJob, "e2", "e3", 1)):     "1 NoRecord",
		takeoverLog(ackedM1("e1", "01:02", 7, "UnknownTask")):               "1 NotRecorded",
	} {
		require.Equal(t, expected, countedIn(t, log), log)
	}
}

// An acknowledgement that is missing may be among the lines that were left out.
func TestSecondStartAfterDroppedEndsTellsThatNoneWasAcknowledged(t *testing.T) {
	omitted := `{"time":"2026-01-01T00:01:02.9Z","entry":"e1","omitted":5,"message":"log: Routine lines were omitted."}`
	text := explainedAs(t, takeoverLog(doneM1, discardedM1, leftOutM1, omitted), "")
	require.Contains(t, text, `
      00:01:02.000 e1                     minion: Ends of the minion that are not acknowledged are discarded. on m1 after 30 ms end 4 (WithdrawnEnds2From3Through4)
      00:01:02.100 e1                     minion: An answer leaves out ends that count as new. on m1 after 70 ms end 4 (Seen2)
      NOT ACKNOWLEDGED: no line of any entry acknowledges the end of the run; before the start, e1 discarded ends of m1 at 00:01:02.000 (WithdrawnEnds2From3Through4), and an answer to e1 left out ends of m1 up to 4 at 00:01:02.100 (Seen2)
      e1 left out 5 routine lines meanwhile
      possible causes: EndsDropped
`)
	text = explainedAs(t, takeoverLog(doneM1, discardedM1, ackedM1("e1", "01:02.5", 18, "Stored")), "")
	require.NotContains(t, text, "NOT ACKNOWLEDGED")
}
