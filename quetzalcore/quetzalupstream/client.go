package quetzalupstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// The HTTP protocol between entries and minions.
const (
	HeaderRequestID      = "Request-Id"
	HeaderPool           = "Pool"
	HeaderPoolGeneration = "Pool-Generation"
	HeaderOutcome        = "Request-Outcome"
	HeaderReason         = "Request-Reason"
	// RunPath is the URL path to which an attempt is posted.
	RunPath = "/run"
	// OutcomeNotRun is the value of HeaderOutcome when the request did not run.
	OutcomeNotRun = "NotRun"
	// ReasonLeaving is the value of HeaderReason when the minion takes no more requests because
	// it is leaving.
	ReasonLeaving = "Leaving"
)

const (
	// maxConnections is the number of connections that a minion accepts.
	maxConnections = 64
	// maxAnswerBytes limits the size of an answer's body, in bytes.
	maxAnswerBytes = 64 << 20
	dialTimeout    = time.Second
	// idleTimeout is shorter than that of minions, so that no request is sent on a connection
	// that the minion is closing.
	idleTimeout = 20 * time.Second
)

// Client sends attempts. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// New returns a client and a function that closes its idle connections.
func New() (*Client, func()) {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{transport: transport}, transport.CloseIdleConnections
}

// Send sends an attempt to its minion, waits for the answer and returns how the attempt ended.
func (c *Client) Send(ctx context.Context, s *quetzalfleet.SendAttempt) quetzalfleet.AttemptResult {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), s)
	if err != nil {
		return quetzalfleet.NotSent{}
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return failedResult(ctx, connected)
	}
	defer res.Body.Close() //nolint:errcheck // the body has been read
	if res.Header.Get(HeaderOutcome) == OutcomeNotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswerBytes))
		return quetzalfleet.Refused{Leaving: res.Header.Get(HeaderReason) == ReasonLeaving}
	}
	body, err := readBody(res)
	if err != nil {
		return failedResult(ctx, true)
	}
	return quetzalfleet.Answered{Answer: &quetzalfleet.Payload{
		Status:       quetzalunit.HTTPStatus(res.StatusCode),
		HeaderFields: endToEndFields(res.Header),
		Body:         body,
	}}
}

func newRequest(ctx context.Context, s *quetzalfleet.SendAttempt) (*http.Request, error) {
	u := "http://" + string(s.Address) + RunPath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(s.Work.Body))
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller needs no more than that it failed
	}
	for _, f := range s.Work.HeaderFields {
		name := fieldName(f.Name)
		req.Header[name] = append(req.Header[name], f.Value)
	}
	req.Header[HeaderRequestID] = []string{string(s.ID)}
	req.Header[HeaderPool] = []string{string(s.Pool)}
	req.Header[HeaderPoolGeneration] = []string{strconv.FormatInt(int64(s.Generation), 10)}
	return req, nil
}

// fieldName returns the name under which a header field is sent. The HTTP transport repeats a POST
// over a new connection if it finds an idempotency key under its canonical name. The request may have
// run by then, and whether it may run again is for the entry to decide. Names are case-insensitive to
// the minion.
func fieldName(name string) string {
	switch name {
	case "Idempotency-Key", "X-Idempotency-Key":
		return strings.ToLower(name)
	}
	return name
}

// failedResult returns the result of a failed attempt. Without a connection nothing was sent;
// with one the minion may have run the request.
func failedResult(ctx context.Context, connected bool) quetzalfleet.AttemptResult {
	switch {
	case !connected:
		return quetzalfleet.NotSent{}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return quetzalfleet.TimedOut{}
	}
	return quetzalfleet.ConnectionFailed{}
}

// readBody reads the body of a response. When the length is known it allocates the buffer once.
func readBody(res *http.Response) ([]byte, error) {
	if n := res.ContentLength; n >= 0 && n <= maxAnswerBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(res.Body, body)
		return body, err //nolint:wrapcheck // the caller needs no more than that it failed
	}
	return io.ReadAll(http.MaxBytesReader(nil, res.Body, maxAnswerBytes)) //nolint:wrapcheck // as above
}

// endToEndFields returns the header fields that are not hop-by-hop.
func endToEndFields(h http.Header) []quetzalfleet.HeaderField {
	list := make([]quetzalfleet.HeaderField, 0, len(h))
	for name, values := range h {
		if IsHopByHop(name) {
			continue
		}
		for _, v := range values {
			list = append(list, quetzalfleet.HeaderField{Name: name, Value: v})
		}
	}
	return list
}

// IsHopByHop reports whether a header field applies to a single connection and must not be
// forwarded. Names are in canonical form.
func IsHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host":
		return true
	}
	return false
}
