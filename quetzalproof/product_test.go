package quetzalproof

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendRequest sends an HTTP request and returns the response and its body. The elements of header
// are names and values in turn.
func sendRequest(t *testing.T, method, url, body string, header ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close() //nolint:errcheck // the body was read
	text, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res, string(text)
}

// Kills the entry that accepted asynchronous requests. They still run, and another entry returns
// their results.
func TestAcceptedRequestOutlivesItsEntry(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 3)
	first, other := f.entries[1], f.entries[2]
	var locations []string
	for range 30 {
		res, text := sendRequest(t, http.MethodPost, "http://"+first.callerAddress+"/queues/proofs/requests", "an edition",
			"Prefer", "respond-async", "Request-Class", "Long", "Request-Idempotent", "true", "Standin-Run-Ms", "1500")
		require.Equal(t, http.StatusAccepted, res.StatusCode, text)
		locations = append(locations, res.Header.Get("Location"))
	}
	f.killEntry(first)
	for _, location := range locations {
		require.Eventually(t, func() bool {
			res, text := sendRequest(t, http.MethodGet, "http://"+other.callerAddress+location+"?Wait=1s", "")
			return res.StatusCode == http.StatusOK && text == "an edition"
		}, 40*time.Second, 100*time.Millisecond, location)
	}
}

// Runs the commands of README's first steps in bash, so that the page does not go out of date.
// Programs that serve are started in the background.
func TestReadme(t *testing.T) {
	text, err := os.ReadFile("../README.md")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(text), "## From a clone to a finished wave")
	require.True(t, found)
	section, _, _ := strings.Cut(rest, "\n## ")
	var script strings.Builder
	script.WriteString("set -eu\ntrap 'kill $(jobs -p); wait' EXIT\n")
	for line := range strings.Lines(section) {
		command, isCommand := strings.CutPrefix(line, "    ")
		if !isCommand {
			continue
		}
		command = strings.TrimSpace(command)
		if strings.Contains(command, "quetzalstandin") || strings.Contains(command, "entry run") {
			command += " & sleep 1"
		}
		if strings.Contains(command, "entry run") {
			command += "; for n in $(seq 100); do curl -fs http://127.0.0.1:7101/readyz && break; sleep 0.1; done"
		}
		script.WriteString(command + "\n")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, "bash", "-c", script.String())
	cmd.Dir, err = filepath.Abs("..")
	require.NoError(t, err)
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))
	for _, want := range []string{
		"the settings can be used", "changes applied", "one tub of sea buckthorn", "Finished, 4 of 4 hosts done", "rebooted; serves again",
	} {
		require.Contains(t, string(out), want)
	}
}

// Each error of the command line says what to do about it and has its exit status. The port for
// callers must not serve the operators' API.
func TestCommandLineErrorsNameTheRemedy(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 1)
	e := f.entries[0]
	tests := []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{"unknown command", []string{"wave"}, 2, "waves"},
		{"unknown pool", []string{"hosts", "move", "a-host1", "nowhere"}, 1, "create it with PUT /pools/{Pool}"},
		{"unknown host", []string{"hosts", "move", "nobody", "proofs"}, 1, "register it with PUT /hosts/{Host}"},
		{"unknown wave", []string{"waves", "pause", "never"}, 1, "create it with PUT /waves/{Wave}"},
		{"bad value", []string{"settings", "set", "Fleet", "RetryMaxAttempts=0"}, 1, "RetryMaxAttempts: 0 is not between 1 and 100"},
		{"unknown key", []string{"settings", "set", "Fleet", "Retries=1"}, 1, "settings reference"},
		{"bad path", []string{"settings", "get", "Elsewhere"}, 1, "Fleet/{Zone}/{Pool}"},
		{"conflict", []string{"settings", "set", "Fleet", "QueueLimit=5", "--if-version=9"}, 3, "read it again"},
		{"no entry", []string{"--entry=http://127.0.0.1:1", "status"}, 4, "check the addresses"},
		{"wrong token", []string{"--token=wrong", "status"}, 1, "operators' token"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out, err := f.runCtl(e, test.args...)
			var exit *exec.ExitError
			require.ErrorAs(t, err, &exit, out)
			require.Equal(t, test.status, exit.ExitCode(), out)
			require.Contains(t, out, test.want)
		})
	}
	res, _ := sendRequest(t, http.MethodGet, "http://"+e.callerAddress+"/status", "")
	require.Equal(t, http.StatusNotFound, res.StatusCode, "the callers' port serves the operators' API")
}
