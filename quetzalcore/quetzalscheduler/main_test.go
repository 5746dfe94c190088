package quetzalscheduler_test

import (
	"testing"

	"quetzalstair/quetzalcore/quetzalseed"
)

// searchSeed is the fixed seed of the randomized tests, which makes their runs reproducible. The
// target soak of the Makefile overrides it.
const searchSeed = "20261204"

func TestMain(m *testing.M) {
	quetzalseed.Main(m, searchSeed)
}
