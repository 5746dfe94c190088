package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalwork"
)

// An answer that a job does not exist is preceded by a line with the pool whose rows were read and with why
// the store was asked: what was known of the job without it.
func TestLogTellsHowTheAbsenceOfAJobWasConcluded(t *testing.T) {
	f := newFleet(1, threeZones, 3, 6, testConfig())
	lines := f.recordLog()
	f.run(3 * time.Second)
	holder := f.holder()
	other := f.entries[0]
	if other == holder {
		other = f.entries[1]
	}
	const unknown = "00000000000000ff"
	const message = "The store has no rows of the requested job."
	require.Equal(t, quetzalwork.NoSuchJob{}, f.state(holder, unknown))
	require.Equal(t, []string{"NotInTables"}, reasonsOf(lines(message)))
	require.Equal(t, quetzalwork.NoSuchJob{}, f.state(other, unknown))
	require.Equal(t, []string{"NotInTables", "UnknownToDispatcher"}, reasonsOf(lines(message)))
	holder.kill()
	require.Equal(t, quetzalwork.NoSuchJob{}, f.state(other, unknown))
	require.Equal(t, []string{"NotInTables", "UnknownToDispatcher", "DispatcherSilent"}, reasonsOf(lines(message)))
	for _, l := range lines(message) {
		require.EqualValues(t, unknown, l.Job)
		require.EqualValues(t, testPool, l.Pool)
		require.Positive(t, l.Age)
		require.EqualValues(t, 2, l.Version, "one read of the pool, one of the job index")
	}
	require.Equal(t, quetzalwork.NoSuchJob{}, f.state(other, "not-an-id"))
	require.Equal(t, []string{"InvalidJobID"}, reasonsOf(lines("A request names no job that can exist.")))
}
