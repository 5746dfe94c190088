// Package quetzalsender sends the requests of a plan to the entries round robin, as
// callers behind a load balancer do, and records the answer to each.
package quetzalsender

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"quetzalstair/quetzalcore/quetzalfront"
	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalupstream"
	"quetzalstair/quetzalload/quetzalarrival"
)

// HeaderRunMs sets how long a stand-in minion works on the request, in milliseconds.
const HeaderRunMs = "Standin-Run-Ms"

// Outcome is the result of a request as its caller sees it.
type Outcome string

// The outcomes, as the entries report them in a header. NoAnswer is set by the
// sender when no entry answered.
const (
	Ran       Outcome = "Ran"
	NotRun    Outcome = "NotRun"
	Unknown   Outcome = "Unknown"
	Cancelled Outcome = "Cancelled"
	Invalid   Outcome = "Invalid"
	Conflict  Outcome = "Conflict"
	NoAnswer  Outcome = "NoAnswer"
)

// Result is a planned request and the answer to it.
type Result struct {
	quetzalarrival.Arrival
	// AnsweredID is the request id in the answer.
	AnsweredID quetzalunit.RequestID
	Outcome    Outcome
	// Reason is the reason that the entry gave for an outcome other than Ran.
	Reason string
	// Entry is the base URL of the entry that got the last attempt.
	Entry  string
	Status quetzalunit.HTTPStatus
	// Latency is the time from the planned arrival to the end of the answer. It
	// includes the delay before a late send, so that coordinated omission does not
	// hide a stall.
	Latency time.Duration
	// ResponseTime is the time from the start of the last attempt to the end of the answer.
	ResponseTime time.Duration
	// Correct reports whether the answer is complete and belongs to this request: a
	// stand-in minion returns the request body. It is true for outcomes other than
	// Ran and for statuses from 500 on, whose bodies are not compared.
	Correct bool
	// Attempts counts the times that the request was sent.
	Attempts int
}

const (
	// maxConnections is the limit on connections to one entry.
	maxConnections = 2048
	// retryDelay is the delay before a request is sent to the next entry.
	retryDelay = 50 * time.Millisecond
	// timeoutMargin is the time after a request's deadline for which the sender still
	// waits for an answer.
	timeoutMargin = 2 * time.Second
	// progressPeriod is the interval between two lines of progress output.
	progressPeriod = 2 * time.Second
)

// Sender sends requests to entries round robin.
type Sender struct {
	// Entries are the base URLs of the entries.
	Entries []string
	// Direct sends to the run path of minions, whose URLs are then in Entries,
	// instead of to a queue.
	Direct bool
	// BodyBytes is the size of each body. A body begins with the row of its request
	// and is padded with dots.
	BodyBytes int
	// Progress receives a line of progress every progressPeriod; nil disables it.
	Progress io.Writer

	client    http.Client
	nextEntry atomic.Int64
	answered  atomic.Int64
}

// New returns a sender and a function that closes its idle connections.
func New(entries []string) (*Sender, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections}
	return &Sender{Entries: entries, client: http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Send sends the requests of a plan at their planned times and returns when every
// one has its outcome. It sleeps until the next arrival is due, and sends each due
// request in its own goroutine, so that a slow answer delays no other request.
func (s *Sender) Send(plan *quetzaltable.Table[quetzalarrival.Arrival]) *quetzaltable.Table[Result] {
	var results quetzaltable.Table[Result]
	var due quetzaltable.Timers[quetzaltable.Row]
	for _, a := range plan.All() {
		due.Push(quetzalunit.Instant(a.At), results.Insert(Result{Arrival: *a}))
	}
	stop := s.reportProgress(results.Len())
	defer stop()
	start := time.Now()
	var wg sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	for due.Len() > 0 {
		at, _ := due.Next()
		timer.Reset(max(0, time.Duration(at)-time.Since(start)))
		<-timer.C
		now := quetzalunit.Instant(time.Since(start))
		for row, ok := due.PopDue(now); ok; row, ok = due.PopDue(now) {
			result := results.At(row)
			wg.Go(func() {
				s.sendWithRetries(result, row, start)
				s.answered.Add(1)
			})
		}
	}
	wg.Wait()
	return &results
}

// reportProgress prints how many requests are finished, until the returned function is
// called.
func (s *Sender) reportProgress(total int) func() {
	if s.Progress == nil {
		return func() {}
	}
	ticker := time.NewTicker(progressPeriod)
	quit := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				_, _ = fmt.Fprintf(s.Progress, "load: %d of %d requests answered\n", s.answered.Load(), total)
			case <-quit:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(quit)
	}
}

// sendWithRetries sends one request. A request whose id the caller chose is sent
// again, to the next entry, until one answers or the time is up. The entries find the
// claim of the first attempt by the id, and so do not run a non-idempotent request
// twice.
func (s *Sender) sendWithRetries(result *Result, row quetzaltable.Row, start time.Time) {
	planned := start.Add(result.At)
	ctx, cancel := context.WithDeadline(context.Background(), planned.Add(result.Timeout+timeoutMargin))
	defer cancel()
	body := s.body(row)
	result.Outcome = NoAnswer
	for {
		result.Attempts++
		answered := s.sendOnce(ctx, result, body)
		if answered || result.ID == "" || ctx.Err() != nil {
			break
		}
		timer := time.NewTimer(retryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	result.Latency = time.Since(planned)
}

// body returns the request body for a row. The row makes each body unique, so that
// an answer that belongs to another request is detected.
func (s *Sender) body(row quetzaltable.Row) []byte {
	body := strconv.AppendUint(nil, uint64(row), 10)
	for len(body) < s.BodyBytes {
		body = append(body, '.')
	}
	return body
}

// sendOnce sends the request once, and reports whether an answer arrived.
func (s *Sender) sendOnce(ctx context.Context, result *Result, body []byte) bool {
	entry := s.Entries[int(s.nextEntry.Add(1))%len(s.Entries)]
	result.Entry = entry
	url := entry + "/queues/" + string(result.Queue) + "/requests"
	if s.Direct {
		url = entry + quetzalupstream.RunPath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	setHeaders(req.Header, result)
	begin := time.Now()
	res, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close() //nolint:errcheck // the body was read
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return false
	}
	result.ResponseTime = time.Since(begin)
	result.Status = quetzalunit.HTTPStatus(res.StatusCode)
	result.AnsweredID = quetzalunit.RequestID(res.Header.Get(quetzalfront.HeaderRequestID))
	result.Reason = res.Header.Get(quetzalfront.HeaderReason)
	result.Outcome = Outcome(res.Header.Get(quetzalfront.HeaderOutcome))
	if s.Direct && result.Outcome == "" {
		result.Outcome = Ran
	}
	result.Correct = result.Outcome != Ran || result.Status >= http.StatusInternalServerError || bytes.Equal(answer, body)
	return true
}

// setHeaders sets the attributes of the request as headers.
func setHeaders(h http.Header, result *Result) {
	if result.ID != "" {
		h.Set(quetzalfront.HeaderRequestID, string(result.ID))
	}
	if result.Team != "" {
		h.Set(quetzalfront.HeaderTeam, string(result.Team))
	}
	h.Set(quetzalfront.HeaderClass, result.Class.String())
	h.Set(quetzalfront.HeaderIdempotent, strconv.FormatBool(result.Idempotent))
	if result.Urgent {
		h.Set(quetzalfront.HeaderUrgent, "true")
	}
	h.Set(quetzalfront.HeaderTimeout, result.Timeout.String())
	h.Set(HeaderRunMs, strconv.FormatFloat(float64(result.RunTime)/float64(time.Millisecond), 'f', -1, 64))
}
