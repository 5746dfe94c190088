// Package quetzalclient is a client of the operators' API with failover between entries.
package quetzalclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalwire"
)

const (
	// callTimeout limits one call at one entry.
	callTimeout = 20 * time.Second
	// maxRounds is how many times a call tries all entries, with roundDelay between two rounds.
	maxRounds  = 5
	roundDelay = time.Second
)

// APIError is an error response of an entry.
type APIError struct {
	Status  int
	Code    string
	Message string
}

// Error implements error.
func (e *APIError) Error() string {
	return fmt.Sprintf("%s (status %d): %s", e.Code, e.Status, e.Message)
}

// UnreachableError reports that no entry gave a definite response in any round.
type UnreachableError struct {
	Entries []string
	LastErr error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no entry of %v answered: check the addresses and that an entry runs (last error: %v)", e.Entries, e.LastErr)
}

// Unwrap returns the error of the last attempt.
func (e *UnreachableError) Unwrap() error {
	return e.LastErr
}

// Client calls the operators' API. Entries and Token must be set.
type Client struct {
	// Entries are the base URLs of the operators' API, one for each entry, in the order in
	// which they are tried.
	Entries []string
	// Token is the operators' bearer token.
	Token string
}

// Get gets a document and decodes it into reply.
func (c *Client) Get(ctx context.Context, path string, reply any) error {
	return c.Do(ctx, http.MethodGet, path, nil, reply)
}

// Do sends a request to the entries in turn until one gives a definite response, and decodes
// it into reply. A request whose outcome is unknown is repeated; this is safe because changes
// carry a ChangeId and are applied once.
func (c *Client) Do(ctx context.Context, method, path string, body, reply any) error {
	payload, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	var lastErr error
	for round := range maxRounds {
		if round > 0 && !sleep(ctx, roundDelay) {
			break
		}
		for _, entry := range c.Entries {
			outcomeUnknown, err := c.callEntry(ctx, method, entry+path, payload, reply)
			if !outcomeUnknown {
				return err
			}
			lastErr = err
		}
	}
	return &UnreachableError{Entries: c.Entries, LastErr: lastErr}
}

// sleep waits for d and reports whether ctx lasted that long.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// callEntry sends a request to one entry and reports whether its outcome is unknown: there was no
// complete response, or the status was 503 or 504.
func (c *Client) callEntry(ctx context.Context, method, url string, payload []byte, reply any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(payload))
	if err != nil {
		return false, eris.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return true, eris.Wrap(err, "call entry")
	}
	defer res.Body.Close() //nolint:errcheck // the body was read
	response, err := io.ReadAll(res.Body)
	if err != nil {
		return true, eris.Wrap(err, "read response")
	}
	if res.StatusCode == http.StatusOK {
		return false, eris.Wrap(json.Unmarshal(response, reply), "decode response")
	}
	var doc quetzalwire.ErrorDoc
	if err := json.Unmarshal(response, &doc); err != nil {
		doc.Code, doc.Message = "Error", string(response)
	}
	outcomeUnknown := res.StatusCode == http.StatusGatewayTimeout || res.StatusCode == http.StatusServiceUnavailable
	return outcomeUnknown, &APIError{Status: res.StatusCode, Code: doc.Code, Message: doc.Message}
}
