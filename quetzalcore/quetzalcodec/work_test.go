package quetzalcodec_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalwork"
)

func TestProgressRoundTrip(t *testing.T) {
	ref := quetzalwork.TaskRef{Occurrence: 2, Step: 1, Task: 7}
	for _, want := range []quetzalwork.Progress{
		{State: quetzalwork.JobRunning},
		{State: quetzalwork.JobFailed},
		{State: quetzalwork.JobRunning, Done: []quetzalwork.TaskRef{ref}, Failures: []quetzalwork.TaskFailure{{TaskRef: ref, Run: 4097}}},
		{State: quetzalwork.JobRunning, Crashes: []quetzalwork.TaskFailure{{TaskRef: ref, Run: 4097}, {Run: 1}}},
	} {
		data, err := quetzalcodec.EncodeJobContent(quetzalwork.JobProgress{Progress: want}, "e")
		require.NoError(t, err)
		got, err := quetzalcodec.DecodeProgress(data)
		require.NoError(t, err)
		require.Equal(t, quetzalwork.JobProgress{Progress: want}, got)
	}
}

// Rows that were stored before crashes were counted have no Crashes. A row without crashes is encoded
// as before, and a malformed one is rejected.
func TestProgressWithoutCrashes(t *testing.T) {
	got, err := quetzalcodec.DecodeProgress([]byte(`{"State":"Running","Done":[[0,0,1]],"Failures":[[0,0,2,5]]}`))
	require.NoError(t, err)
	require.Equal(t, quetzalwork.Progress{
		State: quetzalwork.JobRunning, Done: []quetzalwork.TaskRef{{Task: 1}}, Failures: []quetzalwork.TaskFailure{{TaskRef: quetzalwork.TaskRef{Task: 2}, Run: 5}},
	}, got.Progress)
	data, err := quetzalcodec.EncodeJobContent(got, "e")
	require.NoError(t, err)
	require.NotContains(t, string(data), "Crashes")
	_, err = quetzalcodec.DecodeProgress([]byte(`{"State":"Running","Crashes":[[0,0,2]]}`))
	var invalid *quetzalcodec.FieldError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "Crashes", invalid.Field)
}
