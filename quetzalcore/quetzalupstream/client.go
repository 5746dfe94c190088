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
	"time"

	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Header fields of the protocol between entries and minions.
const (
	HeaderRequestID  = "Request-Id"
	HeaderPool       = "Pool"
	HeaderGeneration = "Pool-Generation"
	HeaderOutcome    = "Request-Outcome"
	HeaderReason     = "Request-Reason"
	// RunPath is the path of a run.
	RunPath = "/run"
	// OutcomeNotRun is the value of HeaderOutcome in a refusal.
	OutcomeNotRun = "NotRun"
	// ReasonLeaving is the value of HeaderReason when the minion is leaving.
	ReasonLeaving = "Leaving"
)

const (
	// maxConnections is the number of connections that a minion accepts.
	maxConnections = 64
	// maxAnswer bounds the size of an answer, in bytes.
	maxAnswer   = 64 << 20
	dialTimeout = time.Second
	// idleTimeout closes connections before minions do.
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

// Send performs an attempt and returns how it ended.
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
		return failure(ctx, connected)
	}
	defer res.Body.Close() //nolint:errcheck // the body was read
	if res.Header.Get(HeaderOutcome) == OutcomeNotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswer))
		return quetzalfleet.Refused{Leaving: res.Header.Get(HeaderReason) == ReasonLeaving}
	}
	body, err := readBody(res)
	if err != nil {
		return failure(ctx, true)
	}
	return quetzalfleet.Answered{Answer: &quetzalfleet.Payload{
		Status: quetzalunit.Status(res.StatusCode),
		Fields: fields(res.Header),
		Body:   body,
	}}
}

func newRequest(ctx context.Context, s *quetzalfleet.SendAttempt) (*http.Request, error) {
	u := "http://" + string(s.Address) + RunPath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(s.Work.Body))
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller only needs to know that it failed
	}
	for _, f := range s.Work.Fields {
		req.Header[f.Name] = append(req.Header[f.Name], f.Value)
	}
	req.Header[HeaderRequestID] = []string{string(s.ID)}
	req.Header[HeaderPool] = []string{string(s.Pool)}
	req.Header[HeaderGeneration] = []string{strconv.FormatInt(int64(s.Generation), 10)}
	return req, nil
}

func failure(ctx context.Context, connected bool) quetzalfleet.AttemptResult {
	switch {
	case !connected:
		return quetzalfleet.NotSent{}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return quetzalfleet.TimedOut{}
	}
	return quetzalfleet.Broken{}
}

// readBody reads the whole answer, without growing the buffer when its length is known.
func readBody(res *http.Response) ([]byte, error) {
	if n := res.ContentLength; n >= 0 && n <= maxAnswer {
		body := make([]byte, n)
		_, err := io.ReadFull(res.Body, body)
		return body, err //nolint:wrapcheck // the caller only needs to know that it failed
	}
	return io.ReadAll(http.MaxBytesReader(nil, res.Body, maxAnswer)) //nolint:wrapcheck // as above
}

// fields returns the header fields that travel end to end.
func fields(h http.Header) []quetzalfleet.Field {
	list := make([]quetzalfleet.Field, 0, len(h))
	for name, values := range h {
		if HopByHop(name) {
			continue
		}
		for _, v := range values {
			list = append(list, quetzalfleet.Field{Name: name, Value: v})
		}
	}
	return list
}

// HopByHop tells whether a header field belongs to one connection only.
func HopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host":
		return true
	}
	return false
}
