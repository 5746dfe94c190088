package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// The store is silent for some seconds while callers submit jobs. Once a transaction has had no
// answer, further submissions must be refused at once, which says truly that they have not run,
// instead of ending without a known result. After the outage jobs are accepted again.
func TestSubmissionsAreRefusedWhileTheStoreIsSilent(t *testing.T) {
	f := newFleet(1, threeZones, 1, 4, testConfig())
	f.run(3 * time.Second)
	f.storeDown = true
	sentAt := make(map[quetzalunit.JobID]quetzalunit.Instant)
	unknown, refused := 0, 0
	for range 45 {
		id := f.submit(f.entries[0], testStep(1))
		sentAt[id] = f.now
		f.run(100 * time.Millisecond)
		if a := f.answers[id]; len(a) > 0 {
			require.IsType(t, quetzalwork.JobRefused{}, a[0])
			refused++
		}
	}
	f.storeDown = false
	f.run(4 * time.Second)
	for id := range sentAt {
		if _, ok := f.answers[id][0].(quetzalwork.Indeterminate); ok {
			unknown++
		}
		if _, ok := f.answers[id][0].(quetzalwork.JobRefused); ok {
			require.Empty(t, f.checker.records[quetzalwork.TaskID{Job: id}])
		}
	}
	require.GreaterOrEqual(t, refused, 25, "refused at once")
	require.LessOrEqual(t, unknown, 16, "without a known result: those of the time until the first answer is missing")
	id := f.submit(f.entries[0], testStep(1))
	f.run(200 * time.Millisecond)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.JobAccepted{}}, f.answers[id])
	require.Empty(t, f.checker.violations)
}
