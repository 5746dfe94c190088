package quetzalreserve_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalreserve"
	"quetzalstair/quetzalcore/quetzalunit"
)

func cores(n int) quetzalunit.Resources {
	return quetzalunit.Resources{Cores: quetzalunit.MilliCores(n)}
}

func TestGapOpensWhenEnoughRunsHaveEnded(t *testing.T) {
	room := quetzalreserve.NewRoom(cores(2), []quetzalreserve.Run{{cores(3), 300}, {cores(1), 100}, {cores(4), 200}})
	at, beside, ok := room.FitsAt(cores(2), 50)
	require.True(t, ok)
	require.Equal(t, quetzalunit.Instant(50), at, "it fits now")
	require.Equal(t, cores(0), beside)
	at, beside, ok = room.FitsAt(cores(6), 50)
	require.True(t, ok)
	require.Equal(t, quetzalunit.Instant(200), at)
	require.Equal(t, cores(1), beside)
	_, _, ok = room.FitsAt(cores(11), 50)
	require.False(t, ok, "not even after all runs have ended")
}

func TestRoomIsUsedUntilTheReservationBegins(t *testing.T) {
	r := quetzalreserve.Reservation{At: 200, Beside: cores(1)}
	require.True(t, r.Permits(cores(5), 200), "over by then")
	require.False(t, r.Permits(cores(5), 201))
	require.True(t, r.Permits(cores(1), 900), "fits beside it")
	r.Take(cores(5), 150)
	require.True(t, r.Permits(cores(1), 900))
	r.Take(cores(1), 900)
	require.False(t, r.Permits(cores(1), 900))
}
