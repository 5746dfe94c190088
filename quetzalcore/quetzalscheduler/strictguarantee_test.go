package quetzalscheduler_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestGuaranteesUnderStrictFaults checks every guarantee in short scenarios with a store, a minion list, entries and
// clocks that are as unkind as the platform may be.
func TestGuaranteesUnderStrictFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if s := playStrictly(seed, allStrict); len(s.f.checker.violations) > 0 {
			mask := neededFeatures(seed)
			least := playStrictly(seed, mask)
			t.Fatalf("features %b suffice:\n%s\n%v", mask, strings.Join(least.trace, "\n"), least.f.checker.violations)
		}
	})
}

// playStrictly plays a scenario with the features of a mask.
func playStrictly(seed, mask uint64) *strictScenario {
	s := newStrictScenario(seed, mask)
	s.play()
	return s
}

// neededFeatures returns a mask with which the scenario of a seed still violates a guarantee, and does not without any of
// its features.
func neededFeatures(seed uint64) uint64 {
	mask := uint64(allStrict)
	for x := range strictFeatures {
		if without := mask &^ (1 << x); len(playStrictly(seed, without).f.checker.violations) > 0 {
			mask = without
		}
	}
	return mask
}
