package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Another writer has left records of pools that no configuration declares. Duties for them would take
// entries' time, and could not be stored under an odd name: all entries would try for ever.
func TestRecordOfAnUnknownPoolCreatesNoDuty(t *testing.T) {
	const unknown quetzalunit.PoolID = "nobody"
	f := newFleet(1, threeZones, 3, 6, testConfig())
	f.order[5].record.Pool = unknown
	f.order[5].publish(false)
	f.run(5 * time.Second)
	require.NotContains(t, f.store.duties, unknown)
	id := f.submit(f.entries[0], testStep(4))
	runAndVerify(t, f, 10*time.Second)
	require.True(t, f.checker.accepted[id])
}
