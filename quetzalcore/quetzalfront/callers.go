package quetzalfront

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalsystem"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalupstream"
	"quetzalstair/quetzalcore/quetzalwaiter"
	"quetzalstair/quetzalcore/quetzalwire"
)

// Header fields of requests and responses of the caller interface.
const (
	HeaderRequestID  = quetzalupstream.HeaderRequestID
	HeaderClass      = "Request-Class"
	HeaderUrgent     = "Request-Urgent"
	HeaderIdempotent = "Request-Idempotent"
	HeaderTimeout    = "Request-Timeout"
	HeaderTeam       = "Request-Team"
	HeaderOutcome    = quetzalupstream.HeaderOutcome
	HeaderReason     = quetzalupstream.HeaderReason
)

const (
	// fieldBody stands for the request body in error messages.
	fieldBody = "body"
	// flagTrue is the value that enables a Boolean header field or query parameter.
	flagTrue = "true"
	// maxTimeout is the longest permitted Request-Timeout.
	maxTimeout = 24 * time.Hour
	// defaultAsyncTimeout is the default timeout of an asynchronous request (status 202).
	defaultAsyncTimeout = 24 * time.Hour
	// defaultBodyTimeout limits the time for reading a request body.
	defaultBodyTimeout = 30 * time.Second
	// maxWait is the longest permitted Wait parameter.
	maxWait = 5 * time.Minute
)

// ParameterError reports an invalid header field, path or query parameter, body field or body.
type ParameterError struct {
	Field   string
	Value   string
	Problem string
}

// Error implements error.
func (e *ParameterError) Error() string {
	return fmt.Sprintf("%s: %q %s", e.Field, e.Value, e.Problem)
}

// idPattern matches valid ids of requests and changes.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._~:-]{0,127}$`)

// CallerAPI is the caller interface: it accepts requests, returns their outcomes and
// cancels them.
type CallerAPI struct {
	// Post queues an input for the World.
	Post func(quetzalfleet.Input)
	// Waiters holds the HTTP requests that wait for an outcome.
	Waiters *quetzalwaiter.Waiters[quetzalfleet.AnswerCaller]
	// Ready reports whether GET /readyz returns 200 instead of 503. It does not affect
	// other requests.
	Ready func() bool
	// MaxBodyBytes is the largest permitted request body in bytes.
	MaxBodyBytes int64
	// BodyTimeout limits the time for reading a request body; zero means 30 s.
	BodyTimeout time.Duration
	// DefaultTimeout is the timeout of a synchronous request without a Request-Timeout
	// field, and the limit for the answer to a cancellation.
	DefaultTimeout time.Duration
	// IDPrefix begins the ids that this process generates for requests without one.
	IDPrefix     string
	generatedIDs atomic.Int64
}

// Handler returns the HTTP handler of the caller interface.
func (c *CallerAPI) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /queues/{Queue}/requests", c.submit)
	mux.HandleFunc("GET /requests/{Id}", c.getOutcome)
	mux.HandleFunc("DELETE /requests/{Id}", c.cancel)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "alive") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !c.Ready() {
			writeText(w, http.StatusServiceUnavailable, "not ready")
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusNotFound, quetzalwire.ErrorDoc{
			Code: quetzalcodec.OutcomeInvalid, Message: "no such path: " + r.URL.Path,
		})
	})
	return mux
}

func (c *CallerAPI) submit(w http.ResponseWriter, r *http.Request) {
	in, err := c.parseRequest(r)
	if err != nil {
		writeBadRequest(w, http.StatusBadRequest, err)
		return
	}
	body, status, err := c.readBody(w, r)
	if err != nil {
		writeBadRequest(w, status, err)
		return
	}
	in.Work = &quetzalfleet.Payload{HeaderFields: forwardedFields(r.Header), Body: body}
	if !in.ClaimExempt {
		in.BodyDigest = bodyDigest(in.Queue, body)
	}
	// The World answers at the deadline; the extra second only covers a late answer.
	c.awaitOutcome(w, r, in.Timeout+time.Second, func(caller quetzalunit.CallerID) quetzalfleet.Input {
		in.Caller = caller
		return in
	})
}

// bodyDigest returns the hash by which the World detects the reuse of an id for another
// queue or body.
func bodyDigest(queue quetzalunit.QueueID, body []byte) quetzalunit.BodyDigest {
	h := sha256.New()
	_, _ = io.WriteString(h, string(queue)+"\n")
	_, _ = h.Write(body)
	return quetzalunit.BodyDigest(hex.EncodeToString(h.Sum(nil)))
}

// awaitOutcome registers a caller, posts the input and writes the outcome. If the client
// disconnects or limit passes first, it posts CallerGone to the World.
func (c *CallerAPI) awaitOutcome(
	w http.ResponseWriter, r *http.Request, limit time.Duration, input func(quetzalunit.CallerID) quetzalfleet.Input,
) {
	caller, answered, unregister := c.Waiters.Add()
	c.Post(input(caller))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case a := <-answered:
		writeOutcome(w, a.ID, a.Outcome)
		return
	case <-r.Context().Done():
	case <-timer.C:
	}
	if unregister() {
		c.Post(quetzalfleet.CallerGone{Caller: caller})
		writeError(w, http.StatusGatewayTimeout, quetzalwire.ErrorDoc{
			Code: quetzalcodec.OutcomeUnknown, Message: "the request has no outcome yet",
		})
		return
	}
	a := <-answered
	writeOutcome(w, a.ID, a.Outcome)
}

func (c *CallerAPI) getOutcome(w http.ResponseWriter, r *http.Request) {
	wait := time.Duration(0)
	if text := r.URL.Query().Get("Wait"); text != "" {
		var err error
		if wait, err = parseDuration("Wait", text, maxWait); err != nil {
			writeBadRequest(w, http.StatusBadRequest, err)
			return
		}
	}
	id := quetzalunit.RequestID(r.PathValue("Id"))
	// Without Wait, only an outcome that the World gives within 1 ms is returned.
	c.awaitOutcome(w, r, max(wait, time.Millisecond), func(caller quetzalunit.CallerID) quetzalfleet.Input {
		return quetzalfleet.OutcomeRequested{Caller: caller, ID: id}
	})
}

func (c *CallerAPI) cancel(w http.ResponseWriter, r *http.Request) {
	id := quetzalunit.RequestID(r.PathValue("Id"))
	c.awaitOutcome(w, r, c.DefaultTimeout, func(caller quetzalunit.CallerID) quetzalfleet.Input {
		return quetzalfleet.CancelRequested{Caller: caller, ID: id}
	})
}

// parseRequest parses and validates the header of a submitted request.
func (c *CallerAPI) parseRequest(r *http.Request) (quetzalfleet.RequestArrived, error) {
	in := quetzalfleet.RequestArrived{
		Queue:   quetzalunit.QueueID(r.PathValue("Queue")),
		Team:    quetzalunit.TeamID(r.Header.Get(HeaderTeam)),
		ID:      quetzalunit.RequestID(r.Header.Get(HeaderRequestID)),
		Timeout: c.DefaultTimeout,
	}
	if in.ID == "" {
		in.ID = quetzalunit.RequestID(c.IDPrefix + strconv.FormatInt(c.generatedIDs.Add(1), 36))
		in.ClaimExempt = true
	} else if !idPattern.MatchString(string(in.ID)) {
		return in, &ParameterError{
			Field: HeaderRequestID, Value: string(in.ID), Problem: "is not 1 to 128 letters, digits or . _ ~ : -",
		}
	}
	var err error
	if in.Class, err = parseClass(r.Header.Get(HeaderClass)); err != nil {
		return in, err
	}
	if in.Idempotent, err = parseFlag(HeaderIdempotent, r.Header.Get(HeaderIdempotent)); err != nil {
		return in, err
	}
	if in.Urgent, err = parseFlag(HeaderUrgent, r.Header.Get(HeaderUrgent)); err != nil {
		return in, err
	}
	if prefersAsync(r.Header) {
		in.Async, in.Timeout = true, defaultAsyncTimeout
		if in.ClaimExempt {
			// The outcome can be read after this process has ended, and the prefix of
			// generated ids would bind the id to this process.
			in.ID, in.ClaimExempt = "job-"+quetzalunit.RequestID(strings.TrimPrefix(string(in.ID), quetzalsystem.GeneratedIDPrefix)), false
		}
	}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		in.Timeout, err = parseDuration(HeaderTimeout, text, maxTimeout)
	}
	return in, err
}

// prefersAsync reports whether the caller requests status 202 instead of waiting for
// the outcome (RFC 7240).
func prefersAsync(h http.Header) bool {
	for _, v := range strings.Split(h.Get("Prefer"), ",") {
		if strings.TrimSpace(v) == "respond-async" {
			return true
		}
	}
	return false
}

func parseClass(text string) (quetzalfleet.Class, error) {
	switch text {
	case "", "Short":
		return quetzalfleet.ClassShort, nil
	case "Long":
		return quetzalfleet.ClassLong, nil
	}
	return quetzalfleet.ClassShort, &ParameterError{Field: HeaderClass, Value: text, Problem: "is not Short or Long"}
}

func parseFlag(field, text string) (bool, error) {
	switch text {
	case "", "false":
		return false, nil
	case flagTrue:
		return true, nil
	}
	return false, &ParameterError{Field: field, Value: text, Problem: "is not true or false"}
}

func parseDuration(field, text string, limit time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > limit {
		return 0, &ParameterError{
			Field: field, Value: text, Problem: "is not a duration such as 1.5s, above 0 and at most " + limit.String(),
		}
	}
	return d, nil
}

// readBody reads the whole body. On failure, it returns the HTTP status to send.
func (c *CallerAPI) readBody(w http.ResponseWriter, r *http.Request) ([]byte, int, error) {
	limit := c.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge, &http.MaxBytesError{Limit: limit}
	}
	// The read deadline applies to the connection. It is cleared once the body is
	// complete, since it would otherwise cancel the wait for the outcome. After a
	// failed read it stays set, which closes the connection of a slow sender.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(cmp.Or(c.BodyTimeout, defaultBodyTimeout)))
	reader := http.MaxBytesReader(w, r.Body, limit)
	var body []byte
	var err error
	if r.ContentLength >= 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(reader, body)
	} else {
		body, err = io.ReadAll(reader)
	}
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, 0, nil
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, tooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout, &ParameterError{Field: fieldBody, Problem: "did not arrive in time"}
	default:
		return nil, http.StatusBadRequest, &ParameterError{Field: fieldBody, Problem: "could not be read: " + err.Error()}
	}
}

// forwardedFields returns the header fields that are forwarded to the minion: all but
// hop-by-hop fields, the request id, and fields that the upstream client sets (Pool...).
func forwardedFields(h http.Header) []quetzalfleet.HeaderField {
	list := make([]quetzalfleet.HeaderField, 0, len(h))
	for name, values := range h {
		if quetzalupstream.IsHopByHop(name) || name == HeaderRequestID || strings.HasPrefix(name, "Pool") {
			continue
		}
		for _, v := range values {
			list = append(list, quetzalfleet.HeaderField{Name: name, Value: v})
		}
	}
	return list
}

func writeOutcome(w http.ResponseWriter, id quetzalunit.RequestID, o quetzalfleet.Outcome) {
	name, reason := quetzalcodec.OutcomeName(o)
	header := w.Header()
	header[HeaderOutcome] = []string{name}
	header[HeaderRequestID] = []string{string(id)}
	if reason != "" {
		header[HeaderReason] = []string{reason}
	}
	doc := quetzalwire.ErrorDoc{Code: name, RequestID: string(id)}
	switch o := o.(type) {
	case quetzalfleet.Ran:
		writePayload(w, o.Answer)
	case quetzalfleet.Accepted:
		header["Location"] = []string{"/requests/" + string(id)}
		doc.Message = "the request is stored and will run: ask for its outcome at Location"
		writeError(w, http.StatusAccepted, doc)
	case quetzalfleet.NotRun:
		status := http.StatusServiceUnavailable
		if o.Reason == quetzalfleet.OverQuota {
			status = http.StatusTooManyRequests
		}
		doc.Message = "the request did not run: " + reason
		doc.RetryAfterMs = int(o.RetryAfter.Milliseconds())
		header["Retry-After"] = []string{strconv.Itoa(int((o.RetryAfter + time.Second - 1) / time.Second))}
		writeError(w, status, doc)
	case quetzalfleet.Unknown:
		doc.Message = "the request may have run and will not run again: " + reason
		writeError(w, http.StatusGatewayTimeout, doc)
	case quetzalfleet.Cancelled:
		doc.Message = "the request was cancelled and did not run"
		writeError(w, http.StatusConflict, doc)
	case quetzalfleet.RequestIDConflict:
		doc.Message = "the request id is already used by a request with another queue or body"
		writeError(w, http.StatusConflict, doc)
	case quetzalfleet.Invalid:
		doc.Message = reason
		writeError(w, http.StatusNotFound, doc)
	}
}

func writePayload(w http.ResponseWriter, p *quetzalfleet.Payload) {
	header := w.Header()
	for _, f := range p.HeaderFields {
		if f.Name != HeaderOutcome && f.Name != HeaderRequestID {
			header[f.Name] = append(header[f.Name], f.Value)
		}
	}
	header["Content-Length"] = []string{strconv.Itoa(len(p.Body))}
	w.WriteHeader(int(p.Status))
	_, _ = w.Write(p.Body)
}

func writeBadRequest(w http.ResponseWriter, status int, err error) {
	w.Header().Set(HeaderOutcome, quetzalcodec.OutcomeInvalid)
	writeError(w, status, quetzalwire.ErrorDoc{Code: quetzalcodec.OutcomeInvalid, Message: err.Error()})
}

func writeError(w http.ResponseWriter, status int, doc quetzalwire.ErrorDoc) {
	writeJSON(w, status, doc)
}

func writeJSON(w http.ResponseWriter, status int, doc any) {
	encoded, err := json.Marshal(doc)
	if err != nil {
		writeText(w, http.StatusInternalServerError, "encode: "+err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n'))
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
