package quetzalupstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalupstream"
)

// A minion crashes during a run. The HTTP transport repeats a request over a new connection if its
// header has an idempotency key. It must not do so: whether a request may run again is for the entry
// to decide.
func TestAttemptIsSentOnce(t *testing.T) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key", "Other"} {
		for _, body := range []string{"", "work"} {
			var runs atomic.Int32
			var key atomic.Value
			minion := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				key.Store(r.Header.Get(name))
				if runs.Add(1) == 1 {
					return // leaves the connection open for the next request
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					_ = conn.Close()
				}
			}))
			c, closeClient := quetzalupstream.New()
			send := func() quetzalfleet.AttemptResult {
				return c.Send(context.Background(), &quetzalfleet.SendAttempt{
					Address: quetzalunit.Address(strings.TrimPrefix(minion.URL, "http://")), Timeout: 5 * time.Second,
					Work: &quetzalfleet.Payload{
						HeaderFields: []quetzalfleet.HeaderField{{Name: name, Value: "7"}}, Body: []byte(body),
					},
				})
			}
			require.IsType(t, quetzalfleet.Answered{}, send())
			require.Equal(t, "7", key.Load())
			require.IsType(t, quetzalfleet.ConnectionFailed{}, send())
			require.EqualValues(t, 2, runs.Load(), "%s, body %q", name, body)
			closeClient()
			minion.Close()
		}
	}
}
