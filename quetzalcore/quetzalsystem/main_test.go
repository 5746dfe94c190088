package quetzalsystem_test

import (
	"testing"

	"quetzalstair/quetzalcore/quetzalseed"
)

// searchSeed is the default seed of the property-based tests, so that every run is the
// same. make soak overrides it.
const searchSeed = "20261204"

func TestMain(m *testing.M) {
	quetzalseed.Main(m, searchSeed)
}
