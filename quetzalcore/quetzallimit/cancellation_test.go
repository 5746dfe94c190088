package quetzallimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// useCancellations takes cancellations of unknown jobs from an account's quota and returns how many there were, and the
// time until the next.
func useCancellations(w *quetzalwork.World, account quetzalunit.AccountID) (int, time.Duration) {
	for n := 0; ; n++ {
		if retryAfter, ok := quetzallimit.UseCancellation(w, account); !ok {
			return n, retryAfter
		}
	}
}

// A caller that cancels random IDs must neither fill the store nor keep other accounts from cancelling. Its entries share the quota.
func TestCancellationsOfUnknownJobsAreBoundedByAccount(t *testing.T) {
	w := &quetzalwork.World{Now: quetzalunit.InstantOf(time.Unix(1000, 0))}
	for range 10 {
		w.Members.Insert(quetzalwork.Member{Listed: true})
	}
	n, retryAfter := useCancellations(w, "a")
	require.Equal(t, 100, n)
	require.InDelta(t, w.Bounds.RowRetention().Seconds()/100, retryAfter.Seconds(), 0.01)
	w.Now = w.Now.Add(retryAfter + time.Millisecond)
	n, _ = useCancellations(w, "a")
	require.Equal(t, 1, n)
	quetzallimit.ReturnCancellation(w, "a")
	n, _ = useCancellations(w, "a")
	require.Equal(t, 1, n)
	n, _ = useCancellations(w, "b")
	require.Equal(t, 100, n)
	w.Now = w.Now.Add(10 * w.Bounds.RowRetention())
	n, _ = useCancellations(w, "a")
	require.Equal(t, 100, n)
}
