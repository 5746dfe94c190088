package quetzalarrival

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
)

func burstSpec() *Spec {
	return &Spec{
		Queues: []quetzalunit.QueueID{"a", "b", "c"}, Rate: 300, Duration: 30 * time.Second, Profile: Burst{Duration: 10 * time.Second},
		Long: 10, Idempotent: 50, ShortRun: time.Millisecond, LongRun: time.Second, Timeout: time.Second, OwnIDs: true, Seed: 5,
	}
}

func TestBurstsTakeTurns(t *testing.T) {
	counts := make(map[quetzalunit.QueueID][3]int)
	for _, a := range Plan(burstSpec()).All() {
		c := counts[a.Queue]
		c[int(a.At/(10*time.Second))]++
		counts[a.Queue] = c
	}
	// The base rate of a queue is 100 per second: about 5000 arrivals in the 10 s of
	// its burst and 50 in the 10 s after it.
	for i, q := range []quetzalunit.QueueID{"a", "b", "c"} {
		require.InDelta(t, 5000, counts[q][i], 400)
	}
	require.InDelta(t, 50, counts["a"][1], 30)
}

func TestRecordedPlanIsReplayed(t *testing.T) {
	plan := Plan(burstSpec())
	var trace bytes.Buffer
	require.NoError(t, Record(&trace, plan))
	replayed, err := Replay(&trace)
	require.NoError(t, err)
	require.Equal(t, plan.Len(), replayed.Len())
	var second bytes.Buffer
	require.NoError(t, Record(&second, replayed))
	var first bytes.Buffer
	require.NoError(t, Record(&first, plan))
	require.Equal(t, first.String(), second.String())
}
