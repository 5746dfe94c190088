package quetzalscheduler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
)

// Guards against entries that all make their calls through the same entry, and through one with a small link while a
// larger one is there: its link would carry what all others read.
func TestEntriesMakeCallsThroughDifferentEntriesAndLargeOnesFirst(t *testing.T) {
	f, big := newUnequalFleet(t, 1)
	second := make(map[quetzalunit.Address]int)
	small := 0
	for _, e := range f.entries {
		require.Len(t, e.relays, len(f.entries)-1)
		if e == big {
			continue
		}
		small++
		require.Equal(t, big.world.Self.PeerAddress, e.relays[0])
		second[e.relays[1]]++
	}
	for address, n := range second {
		require.LessOrEqual(t, n, small/4, address)
	}
}
