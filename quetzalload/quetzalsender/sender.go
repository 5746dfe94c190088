// Package quetzalsender sends the arrivals of a plan to entries, as callers
// behind a balancer do, and records how each was answered.
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

// HeaderRunMs tells a stand-in minion the run time of the work.
const HeaderRunMs = "Standin-Run-Ms"

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes. NoAnswer is the caller's own: no entry answered.
const (
	Ran       Outcome = "Ran"
	NotRun    Outcome = "NotRun"
	Unknown   Outcome = "Unknown"
	Cancelled Outcome = "Cancelled"
	Invalid   Outcome = "Invalid"
	Conflict  Outcome = "Conflict"
	NoAnswer  Outcome = "NoAnswer"
)

// Shot is one arrival with its answer.
type Shot struct {
	quetzalarrival.Arrival
	// Sent is the id under which the request was answered.
	Sent    quetzalunit.RequestID
	Outcome Outcome
	// Reason is the entry's reason for an outcome other than Ran.
	Reason string
	// Entry is the base URL of the last entry that was asked.
	Entry  string
	Status quetzalunit.Status
	// Latency is the time from the planned arrival to the whole answer.
	Latency time.Duration
	// Answered is the time from the last sending to the whole answer.
	Answered time.Duration
	// Whole tells that the answer was the one to this very request.
	Whole bool
	// Tries counts the entries that were asked.
	Tries int
}

const (
	maxConnections = 2048
	// retryPause is the wait before a request is sent to the next entry.
	retryPause = 50 * time.Millisecond
	// slack is added to a request's own time-out.
	slack = 2 * time.Second
	// progressPeriod is the time between two lines of progress.
	progressPeriod = 2 * time.Second
)

// Sender sends arrivals to entries in turn.
type Sender struct {
	// Entries are the base URLs of the entries.
	Entries []string
	// Direct sends to minions' run paths instead of entries' queues.
	Direct bool
	// BodyBytes is the size of each body; it begins with the request's number.
	BodyBytes int
	// Progress receives a line now and then; nil for none.
	Progress io.Writer

	client http.Client
	next   atomic.Int64
	done   atomic.Int64
}

// New returns a sender and a function that closes its connections.
func New(entries []string) (*Sender, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections}
	return &Sender{Entries: entries, client: http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Send sends a plan and returns when every request has its outcome. Each tick
// sends the arrivals that are due and sleeps until the next.
func (s *Sender) Send(plan *quetzaltable.Table[quetzalarrival.Arrival]) *quetzaltable.Table[Shot] {
	var shots quetzaltable.Table[Shot]
	var due quetzaltable.Timers[quetzaltable.Row]
	for _, a := range plan.All() {
		due.Push(quetzalunit.Instant(a.At), shots.Insert(Shot{Arrival: *a}))
	}
	stop := s.reportProgress(shots.Len())
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
			shot := shots.At(row)
			wg.Go(func() {
				s.fire(shot, row, start)
				s.done.Add(1)
			})
		}
	}
	wg.Wait()
	return &shots
}

func (s *Sender) reportProgress(all int) func() {
	if s.Progress == nil {
		return func() {}
	}
	ticker := time.NewTicker(progressPeriod)
	quit := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				_, _ = fmt.Fprintf(s.Progress, "load: %d of %d requests answered\n", s.done.Load(), all)
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

// fire sends one request. A request with an id of its own is sent again, to
// another entry, until one answers.
func (s *Sender) fire(shot *Shot, row quetzaltable.Row, start time.Time) {
	planned := start.Add(shot.At)
	ctx, cancel := context.WithDeadline(context.Background(), planned.Add(shot.Timeout+slack))
	defer cancel()
	body := s.body(row)
	shot.Outcome = NoAnswer
	for {
		shot.Tries++
		answered := s.try(ctx, shot, body)
		if answered || shot.ID == "" || ctx.Err() != nil {
			break
		}
		pause := time.NewTimer(retryPause)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
		}
	}
	shot.Latency = time.Since(planned)
}

func (s *Sender) body(row quetzaltable.Row) []byte {
	body := strconv.AppendUint(nil, uint64(row), 10)
	for len(body) < s.BodyBytes {
		body = append(body, '.')
	}
	return body
}

func (s *Sender) try(ctx context.Context, shot *Shot, body []byte) bool {
	entry := s.Entries[int(s.next.Add(1))%len(s.Entries)]
	shot.Entry = entry
	url := entry + "/queues/" + string(shot.Queue) + "/requests"
	if s.Direct {
		url = entry + quetzalupstream.RunPath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	setHeader(req.Header, shot)
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
	shot.Answered = time.Since(begin)
	shot.Status = quetzalunit.Status(res.StatusCode)
	shot.Sent = quetzalunit.RequestID(res.Header.Get(quetzalfront.HeaderRequestID))
	shot.Reason = res.Header.Get(quetzalfront.HeaderReason)
	shot.Outcome = Outcome(res.Header.Get(quetzalfront.HeaderOutcome))
	if s.Direct && shot.Outcome == "" {
		shot.Outcome = Ran
	}
	shot.Whole = shot.Outcome != Ran || shot.Status >= http.StatusInternalServerError || bytes.Equal(answer, body)
	return true
}

func setHeader(h http.Header, shot *Shot) {
	if shot.ID != "" {
		h.Set(quetzalfront.HeaderRequestID, string(shot.ID))
	}
	if shot.Team != "" {
		h.Set(quetzalfront.HeaderTeam, string(shot.Team))
	}
	h.Set(quetzalfront.HeaderClass, shot.Class.String())
	h.Set(quetzalfront.HeaderIdempotent, strconv.FormatBool(shot.Idempotent))
	if shot.Urgent {
		h.Set(quetzalfront.HeaderUrgent, "true")
	}
	h.Set(quetzalfront.HeaderTimeout, shot.Timeout.String())
	h.Set(HeaderRunMs, strconv.FormatFloat(float64(shot.RunTime)/float64(time.Millisecond), 'f', -1, 64))
}
