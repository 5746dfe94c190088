package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalfront"
	"quetzalstair/quetzalcore/quetzalsettings"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalupstream"
	"quetzalstair/quetzalcore/quetzalwire"
)

const testIncarnation = 7

// stubPlatform starts a stub of the platform, which returns the same rows for every scan
// and status 503 for every other call.
func stubPlatform(tb testing.TB, minions []string) *httptest.Server {
	tb.Helper()
	var reply quetzalwire.ScanReply
	add := func(table quetzalfleet.TableName, key string, row quetzalfleet.StoredRow) {
		value, err := quetzalcodec.EncodeRow(row)
		require.NoError(tb, err)
		reply.Revision++
		reply.Rows = append(reply.Rows, quetzalwire.Row{Table: string(table), Key: key, Value: value, Revision: reply.Revision})
	}
	add(quetzalfleet.TablePools, "rota", quetzalfleet.PoolRow{ID: "rota"})
	add(quetzalfleet.TableQueues, "rota", quetzalfleet.QueueRow{ID: "rota", Pool: "rota"})
	for i, address := range minions {
		id := fmt.Sprint("host", i)
		add(quetzalfleet.TableHosts, id, quetzalfleet.HostRow{HostSpec: quetzalfleet.HostSpec{
			ID: quetzalunit.HostID(id), Address: quetzalunit.Address(address), Zone: "a", Pool: "rota", Generation: 1,
		}})
	}
	add(quetzalfleet.TableRosters, "a", quetzalfleet.RosterRow{
		Zone: "a", Entries: []quetzalfleet.RosterEntry{{Entry: "e1", Incarnation: testIncarnation}},
	})
	response, err := json.Marshal(reply)
	require.NoError(tb, err)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/rows" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(response)
	}))
	tb.Cleanup(s.Close)
	return s
}

// echo is the handler of a minion that responds with the request body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		_, _ = w.Write(body)
	}
}

// newEngine returns an engine that is not started yet and its settings.
func newEngine(tb testing.TB, minions ...string) (*engine, *quetzalwire.EntrySettings) {
	tb.Helper()
	platform := stubPlatform(tb, minions)
	file := tb.TempDir() + "/entry.yaml"
	text := fmt.Sprintf("Entry: e1\nZone: a\nCallerAddress: 127.0.0.1:0\nOperatorAddress: 127.0.0.1:0\n"+
		"PeerAddress: 127.0.0.1:0\nPlatformURL: %s\nOperatorToken: test-token\nMaxBodyBytes: 1000\n", platform.URL)
	require.NoError(tb, os.WriteFile(file, []byte(text), 0o600))
	cfg, err := quetzalsettings.LoadEntry(file)
	require.NoError(tb, err)
	e := &engine{log: prefixLog{logger: newLogger("error"), prefix: "test: "}}
	closeClients, err := e.openClients(&cfg)
	require.NoError(tb, err)
	tb.Cleanup(closeClients)
	return e, &cfg
}

// startEntry starts an entry in this process and returns the URL of its caller interface.
func startEntry(tb testing.TB, minions ...string) string {
	tb.Helper()
	e, cfg := newEngine(tb, minions...)
	listeners, closeListeners, err := listen(cfg.CallerAddress, cfg.OperatorAddress)
	require.NoError(tb, err)
	stopEngine := e.start(identity(cfg, testIncarnation))
	s := &servers{engine: e}
	stopServers := s.start(cfg, testIncarnation, listeners)
	tb.Cleanup(func() {
		stopServers()
		stopEngine()
		closeListeners()
	})
	require.Eventually(tb, s.ready, 5*time.Second, 10*time.Millisecond)
	return "http://" + listeners[0].Addr().String()
}

func startMinion(tb testing.TB, h http.HandlerFunc) string {
	tb.Helper()
	s := httptest.NewServer(h)
	tb.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func post(tb testing.TB, url string, header http.Header, body io.Reader) (*http.Response, string) {
	tb.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, body)
	require.NoError(tb, err)
	req.Header = header
	res, err := http.DefaultClient.Do(req)
	require.NoError(tb, err)
	defer res.Body.Close() //nolint:errcheck // the body was read
	text, err := io.ReadAll(res.Body)
	require.NoError(tb, err)
	return res, string(text)
}

// Guards against mixed-up outcomes of concurrent requests.
func TestConcurrentCallersGetTheirOwnOutcomes(t *testing.T) {
	url := startEntry(t, startMinion(t, echo)) + "/queues/rota/requests"
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			body := fmt.Sprint("body ", i)
			res, text := post(t, url, http.Header{}, strings.NewReader(body))
			require.Equal(t, http.StatusOK, res.StatusCode)
			require.Equal(t, body, text)
			require.Equal(t, "Ran", res.Header.Get("Request-Outcome"))
			require.NotEmpty(t, res.Header.Get("Request-Id"))
		})
	}
	wg.Wait()
}

// Invalid requests get a 4xx status and a message that names the fault, and never reach
// a minion.
func TestInvalidRequestsAreRejected(t *testing.T) {
	var reached sync.Map
	base := startEntry(t, startMinion(t, func(w http.ResponseWriter, r *http.Request) {
		reached.Store(r.Header.Get("Test"), true)
		echo(w, r)
	}))
	tests := []struct {
		name, path string
		header     http.Header
		body       string
		status     int
		message    string
	}{
		{"oversized body", "/queues/rota/requests", http.Header{}, strings.Repeat("x", 1001), http.StatusRequestEntityTooLarge, "too large"},
		{"unknown queue", "/queues/nothing/requests", http.Header{}, "x", http.StatusNotFound, "UnknownQueue"},
		{"unknown path", "/nothing", http.Header{}, "x", http.StatusNotFound, "no such path"},
		{"bad class", "/queues/rota/requests", http.Header{"Request-Class": {"Tiny"}}, "x", http.StatusBadRequest, "Request-Class"},
		{"bad flag", "/queues/rota/requests", http.Header{"Request-Idempotent": {"yes"}}, "x", http.StatusBadRequest, "Request-Idempotent"},
		{"bad timeout", "/queues/rota/requests", http.Header{"Request-Timeout": {"-1s"}}, "x", http.StatusBadRequest, "Request-Timeout"},
		{"bad id", "/queues/rota/requests", http.Header{"Request-Id": {"a b"}}, "x", http.StatusBadRequest, "Request-Id"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.header.Set("Test", test.name)
			res, text := post(t, base+test.path, test.header, strings.NewReader(test.body))
			require.Equal(t, test.status, res.StatusCode, text)
			require.Contains(t, text, test.message)
			_, ran := reached.Load(test.name)
			require.False(t, ran, "the request reached the minion")
		})
	}
}

// A client that disconnects in the middle of the body must not cause a run. The second
// request shows that the entry still serves.
func TestTruncatedRequestIsNotDispatched(t *testing.T) {
	reached := make(chan struct{}, 1)
	base := startEntry(t, startMinion(t, func(http.ResponseWriter, *http.Request) { reached <- struct{}{} }))
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	require.NoError(t, err)
	_, err = io.WriteString(conn, "POST /queues/rota/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	_, text := post(t, base+"/queues/none/requests", http.Header{}, strings.NewReader("x"))
	require.Contains(t, text, "UnknownQueue")
	require.Empty(t, reached)
}

// A client that sends the body too slowly gets status 408, and its request is not posted.
func TestSlowRequestBodyTimesOut(t *testing.T) {
	reached := make(chan struct{}, 1)
	c := &quetzalfront.CallerAPI{
		Post: func(quetzalfleet.Input) { reached <- struct{}{} }, MaxBodyBytes: 100,
		DefaultTimeout: time.Second, BodyTimeout: 100 * time.Millisecond,
	}
	s := httptest.NewServer(c.Handler())
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close() //nolint:errcheck // the response has been read
	_, err = io.WriteString(conn, "POST /queues/rota/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nslow")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(response), "408 Request Timeout")
	require.Contains(t, string(response), "did not arrive in time")
	require.Empty(t, reached)
}

// When the only client of an idempotent request without an id disconnects, the attempt
// is cancelled instead of occupying the minion.
func TestClientDisconnectCancelsIdempotentAttempt(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	base := startEntry(t, startMinion(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/queues/rota/requests", strings.NewReader("x"))
	require.NoError(t, err)
	req.Header.Set("Request-Idempotent", "true")
	go func() {
		<-started
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the attempt was not cancelled")
	}
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// The actor library never stops this goroutine.
		goleak.IgnoreAnyFunction("github.com/asynkron/protoactor-go/actor.NewDeadLetter.NewThrottle.func4.1"),
		goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"),
	)
}

// BenchmarkRequestPath measures the latency that the entry adds: it calls a minion
// directly, and the same minion through an entry.
func BenchmarkRequestPath(b *testing.B) {
	minion := startMinion(b, echo)
	entry := startEntry(b, minion)
	b.Run("direct", func(b *testing.B) { benchPosts(b, "http://"+minion+quetzalupstream.RunPath) })
	b.Run("entry", func(b *testing.B) { benchPosts(b, entry+"/queues/rota/requests") })
}

// benchPosts posts from GOMAXPROCS goroutines and reports the median and the 99th
// percentile of the latency.
func benchPosts(b *testing.B, url string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport}
	var mu sync.Mutex
	var all []time.Duration
	b.ReportAllocs()
	b.SetParallelism(1)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		var latencies []time.Duration
		for pb.Next() {
			begin := time.Now()
			res, err := client.Post(url, "text/plain", bytes.NewReader([]byte("x")))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			latencies = append(latencies, time.Since(begin))
		}
		mu.Lock()
		defer mu.Unlock()
		all = append(all, latencies...)
	})
	b.StopTimer()
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}
