package quetzalsettings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalwire"
)

const validEntry = `Entry: e1
Zone: a
CallerAddress: 127.0.0.1:1
OperatorAddress: 127.0.0.1:2
PeerAddress: 127.0.0.1:3
PlatformURL: http://127.0.0.1:4
OperatorToken: long-enough
`

func loadEntry(t testing.TB, data string) (quetzalwire.EntrySettings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "entry.yaml")
	require.NoError(t, os.WriteFile(file, []byte(data), 0o600))
	return LoadEntry(file)
}

// An error in a settings file must name the field and its line.
func TestLoadEntry(t *testing.T) {
	cfg, err := loadEntry(t, validEntry)
	require.NoError(t, err)
	require.Equal(t, defaultPollMs, *cfg.PollMs)
	require.Equal(t, "127.0.0.1:3", *cfg.PeerListen)
	tests := []struct {
		name, data string
		line       int
		problem    string
	}{
		{"unknown key", validEntry + "Bogus: 1\n", 8, "Bogus"},
		{"out of bounds", validEntry + "PollMs: 1\n", 8, "PollMs: 1 is not between"},
		{"bad address", "Entry: e1\nZone: a\nCallerAddress: host:1\n", 3, "CallerAddress"},
		{"lease shorter than polls", validEntry + "PollMs: 3000\nLeaseMs: 5000\n", 9, "LeaseMs"},
		{"missing key", "Entry: e1\n", 0, "Zone"},
		{"bad syntax", "Entry: [\n", 1, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := loadEntry(t, test.data)
			var fileError *FileError
			require.ErrorAs(t, err, &fileError)
			require.Equal(t, test.line, fileError.Line, err)
			require.Contains(t, err.Error(), test.problem)
		})
	}
}

func TestSettingValuesRoundTrip(t *testing.T) {
	policy, n, on := quetzalwire.SettingValuesMovePolicy("Reactive"), 7, true
	values := quetzalwire.SettingValues{MovePolicy: &policy, RetryMaxAttempts: &n, EjectMs: &[]int{900}[0], SurviveRackLoss: &on}
	parsed, err := ParseValues(&values)
	require.NoError(t, err)
	require.Equal(t, values, FormatValues(&parsed))
	bad := quetzalwire.SettingValuesMovePolicy("Sometimes")
	_, err = ParseValues(&quetzalwire.SettingValues{MovePolicy: &bad})
	var field *FieldError
	require.ErrorAs(t, err, &field)
	require.Equal(t, "MovePolicy", field.Field)
}

// Any text gives settings or a FileError, which determines the exit status, and never a
// panic.
func FuzzLoadEntry(f *testing.F) {
	f.Add(validEntry)
	f.Add("Entry: &a [*a]\n")
	f.Add("{")
	f.Fuzz(func(t *testing.T, data string) {
		_, err := loadEntry(t, data)
		if err != nil {
			var fileError *FileError
			require.ErrorAs(t, err, &fileError)
		}
	})
}
