// Package quetzalclient calls the operators' API of a fleet's entries.
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
	callTimeout = 20 * time.Second
	// rounds is how often every entry is tried.
	rounds = 5
	// roundPause is the wait between two rounds.
	roundPause = time.Second
)

// APIError is a failure that an entry answered.
type APIError struct {
	Status  int
	Code    string
	Message string
}

// Error implements error.
func (e *APIError) Error() string {
	return fmt.Sprintf("%s (status %d): %s", e.Code, e.Status, e.Message)
}

// UnreachableError tells that no entry gave an answer.
type UnreachableError struct {
	Entries []string
	Last    error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no entry of %v answered: check the addresses and that an entry runs (last error: %v)", e.Entries, e.Last)
}

// Unwrap returns the last entry's error.
func (e *UnreachableError) Unwrap() error {
	return e.Last
}

// Client calls entries. Entries and Token must be set.
type Client struct {
	// Entries are the base URLs of the entries' operators' APIs.
	Entries []string
	Token   string
}

// Get reads a document.
func (c *Client) Get(ctx context.Context, path string, reply any) error {
	return c.Do(ctx, http.MethodGet, path, nil, reply)
}

// Do performs a call at the first entry that answers. It repeats a call whose
// outcome is unknown: changes carry a ChangeId and are applied once.
func (c *Client) Do(ctx context.Context, method, path string, body, reply any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	var last error
	for round := range rounds {
		if round > 0 && !pause(ctx, roundPause) {
			break
		}
		for _, entry := range c.Entries {
			unknown, err := c.try(ctx, method, entry+path, text, reply)
			if !unknown {
				return err
			}
			last = err
		}
	}
	return &UnreachableError{Entries: c.Entries, Last: last}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try performs a call at one entry and tells whether its outcome is unknown.
func (c *Client) try(ctx context.Context, method, url string, text []byte, reply any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return false, eris.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return true, eris.Wrap(err, "call entry")
	}
	defer res.Body.Close() //nolint:errcheck // the body was read
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return true, eris.Wrap(err, "read answer")
	}
	if res.StatusCode == http.StatusOK {
		return false, eris.Wrap(json.Unmarshal(answer, reply), "decode answer")
	}
	var doc quetzalwire.ErrorDoc
	if err := json.Unmarshal(answer, &doc); err != nil {
		doc.Code, doc.Message = "Error", string(answer)
	}
	unknown := res.StatusCode == http.StatusGatewayTimeout || res.StatusCode == http.StatusServiceUnavailable
	return unknown, &APIError{Status: res.StatusCode, Code: doc.Code, Message: doc.Message}
}
