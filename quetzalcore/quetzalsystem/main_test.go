package quetzalsystem_test

import (
	"testing"

	"quetzalstair/quetzalcore/quetzalsearch"
)

// searchSeed makes the random search the same in every run; make soak overrides it.
const searchSeed = "20261204"

func TestMain(m *testing.M) {
	quetzalsearch.Main(m, searchSeed)
}
