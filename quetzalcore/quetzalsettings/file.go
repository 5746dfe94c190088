package quetzalsettings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalwire"
)

// FileError reports an unreadable or invalid settings file.
type FileError struct {
	File string
	// Line and Column count from 1. Line is zero when the error has no position.
	Line, Column int
	Problem      string
}

// Error implements error.
func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Problem)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Problem)
}

// Load reads and decodes a YAML file and returns its contents. An unknown field is an error.
func Load(file string, v any) ([]byte, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(&FileError{File: file, Problem: err.Error()}, "read settings")
	}
	err = yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(v)
	if err == nil {
		return data, nil
	}
	fileErr := &FileError{File: file, Problem: err.Error()}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		position := syntax.GetToken().Position
		fileErr.Line, fileErr.Column, fileErr.Problem = position.Line, position.Column, syntax.GetMessage()
	}
	return nil, fileErr
}

// lineOf returns the line of a top-level field, or zero if the file does not set it.
func lineOf(data []byte, field string) int {
	at := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(field) + `\s*:`).FindIndex(data)
	if at == nil {
		return 0
	}
	return bytes.Count(data[:at[0]], []byte("\n")) + 1
}

// LoadEntry loads the settings file of an entry, applies the defaults and validates
// the result.
func LoadEntry(file string) (quetzalwire.EntrySettings, error) {
	var s quetzalwire.EntrySettings
	data, err := Load(file, &s)
	if err != nil {
		return s, err
	}
	applyDefaults(&s)
	var fieldErr *FieldError
	if errors.As(CheckEntry(&s), &fieldErr) {
		return s, &FileError{File: file, Line: lineOf(data, fieldErr.Field), Column: 1, Problem: fieldErr.Error()}
	}
	return s, nil
}

// Defaults of an entry's settings. The default of RetentionMs is its lower bound.
const (
	defaultMaxBodyBytes  = 1 << 20
	defaultTimeoutMs     = 30_000
	defaultStopNoticeMs  = 1_000
	defaultStopTimeoutMs = 60_000
	defaultLeaseMs       = 5_000
	defaultPollMs        = 1_500
	defaultGossipMs      = 1_000
	defaultLogLevel      = "info"
)

func applyDefaults(s *quetzalwire.EntrySettings) {
	setDefault(&s.PeerListen, s.PeerAddress)
	setDefault(&s.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&s.DefaultTimeoutMs, defaultTimeoutMs)
	setDefault(&s.StopNoticeMs, defaultStopNoticeMs)
	setDefault(&s.StopTimeoutMs, defaultStopTimeoutMs)
	setDefault(&s.LeaseMs, defaultLeaseMs)
	setDefault(&s.PollMs, defaultPollMs)
	setDefault(&s.GossipMs, defaultGossipMs)
	setDefault(&s.RetentionMs, 2*dayMs)
	setDefault(&s.LogLevel, defaultLogLevel)
}

func setDefault[V any](field **V, v V) {
	if *field == nil {
		*field = &v
	}
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// CheckName validates the name of an entity, such as a pool or a host.
func CheckName(field, name string) error {
	if !namePattern.MatchString(name) {
		return &FieldError{Field: field, Value: fmt.Sprintf("%q", name), Problem: "is not a name of 1 to 63 letters, digits, dots, dashes or underscores"}
	}
	return nil
}

// CheckAddress validates an IP address with a port. Host names are rejected.
func CheckAddress(field, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &FieldError{Field: field, Value: fmt.Sprintf("%q", address), Problem: "is not an IP address with a port, such as 127.0.0.1:8080"}
	}
	return nil
}

const (
	// minLeasePolls is the minimum lease duration in poll periods: the other entries
	// must read a renewal before the lease expires.
	minLeasePolls = 3
	// minTokenLength is the minimum length of the operators' token in bytes.
	minTokenLength = 8
)

// CheckEntry validates the settings of an entry, whose defaults must have been applied.
// It returns the first error.
func CheckEntry(s *quetzalwire.EntrySettings) error {
	checks := []error{
		CheckName("Entry", s.Entry),
		CheckName("Zone", s.Zone),
		CheckAddress("CallerAddress", s.CallerAddress),
		CheckAddress("OperatorAddress", s.OperatorAddress),
		CheckAddress("PeerAddress", s.PeerAddress),
		CheckAddress("PeerListen", *s.PeerListen),
		checkURL("PlatformURL", s.PlatformURL),
		checkToken("OperatorToken", s.OperatorToken),
		checkRange("MaxBodyBytes", *s.MaxBodyBytes, 1, 64<<20),
		checkRange("DefaultTimeoutMs", *s.DefaultTimeoutMs, 1, dayMs),
		checkRange("StopNoticeMs", *s.StopNoticeMs, 0, tenMinutesMs),
		checkRange("StopTimeoutMs", *s.StopTimeoutMs, 1, dayMs),
		checkRange("PollMs", *s.PollMs, 50, minuteMs),
		checkRange("RetentionMs", *s.RetentionMs, 2*dayMs, 365*dayMs),
		checkRange("GossipMs", *s.GossipMs, 50, minuteMs),
		checkRange("LeaseMs", *s.LeaseMs, minLeasePolls**s.PollMs, tenMinutesMs),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	for _, peer := range s.Peers {
		if err := CheckAddress("Peers", peer); err != nil {
			return err
		}
	}
	return checkLogLevel(string(*s.LogLevel))
}

func checkLogLevel(level string) error {
	switch level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return &FieldError{Field: "LogLevel", Value: level, Problem: "is not debug, info, warn or error"}
}

func checkURL(field, rawURL string) error {
	u, err := url.Parse(rawURL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return &FieldError{Field: field, Value: fmt.Sprintf("%q", rawURL), Problem: "is not an http URL such as http://127.0.0.1:7000"}
	}
	return nil
}

func checkToken(field, token string) error {
	if len(token) < minTokenLength {
		return &FieldError{Field: field, Value: "the token", Problem: fmt.Sprintf("is shorter than %d characters", minTokenLength)}
	}
	return nil
}

func checkRange(field string, v, low, high int) error {
	if v < low || v > high {
		return &FieldError{Field: field, Value: fmt.Sprint(v), Problem: fmt.Sprintf("is not between %d and %d", low, high)}
	}
	return nil
}
