package quetzalwork_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// TestOccurrenceSet adds random ranges and compares the set with one of single numbers.
func TestOccurrenceSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 30
		var s quetzalwork.OccurrenceSet
		var want [limit]bool
		for range rapid.IntRange(1, 12).Draw(t, "ranges") {
			r := quetzalwork.OccurrenceRange{
				First: quetzalunit.Occurrence(rapid.IntRange(0, limit).Draw(t, "first")), End: quetzalunit.Occurrence(rapid.IntRange(0, limit).Draw(t, "end")),
			}
			s.Add(r)
			for o := r.First; o < r.End; o++ {
				want[o] = true
			}
		}
		for i, r := range s {
			require.Less(t, r.First, r.End)
			if i > 0 {
				require.Greater(t, r.First, s[i-1].End, "ranges must be ascending and not adjacent")
			}
		}
		for o := range quetzalunit.Occurrence(limit) {
			end, ok := s.EndOf(o)
			require.Equal(t, want[o], ok)
			if ok {
				require.True(t, end == limit || !want[end])
			}
		}
	})
}
