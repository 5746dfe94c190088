package quetzalscheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// Guards against a job whose progress the store rejects and that holds up the others: their progress was
// in the same transactions, and the ends of their runs followed its ends.
func TestJobWithRejectedProgressHoldsUpNoOther(t *testing.T) {
	f := newFleet(1, threeZones, 3, 2, testConfig())
	f.store.maxRowBytes = 300
	f.maxReportedEnds = 20
	f.run(3 * time.Second)
	// Each second task of the large job runs on and on, so that its done tasks are many ranges.
	var large quetzalunit.JobID
	f.runTime = func(task quetzalwork.TaskID) time.Duration {
		if task.Job == large && task.Task%2 == 0 {
			return time.Hour
		}
		return 300 * time.Millisecond
	}
	wide := smallStep(200)
	wide.Resources.Cores = 50
	large = f.submit(f.entries[0], wide)
	f.run(100 * time.Millisecond)
	var others []quetzalunit.JobID
	for range 5 * quetzalwork.ShardCount {
		others = append(others, f.submit(f.entries[0], smallStep(2)))
	}
	f.run(6 * time.Second)
	require.Empty(t, f.checker.violations)
	require.NotZero(t, f.store.rejected)
	for _, id := range others {
		require.Equal(t, quetzalwork.JobCompleted, f.storedState(id))
	}
	require.Equal(t, quetzalwork.JobFailed, f.storedState(large), "a job whose progress cannot be stored is given up")
	require.Zero(t, f.checker.running(large))
}

// Guards against a large submission that makes the store reject those that are stored with it.
func TestSubmissionThatCannotBeStoredHoldsUpNoOther(t *testing.T) {
	f := newFleet(1, threeZones, 3, 2, testConfig())
	f.store.maxRowBytes = 2000
	f.run(3 * time.Second)
	var ids []quetzalunit.JobID
	for i := range 8 * quetzalwork.ShardCount {
		f.lastID++
		id := quetzalunit.JobID(fmt.Sprintf("%016x", f.lastID))
		spec := &quetzalwork.JobSpec{Payload: "text", Steps: []quetzalwork.StepSpec{smallStep(1)}}
		if i == 0 {
			spec.Payload = strings.Repeat("x", 3000)
		}
		f.send(f.entries[0], id, spec)
		ids = append(ids, id)
	}
	f.run(2 * time.Second)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.InvalidJob{Problem: "the job cannot be stored"}}, f.answers[ids[0]])
	for _, id := range ids[1:] {
		require.Equal(t, []quetzalwork.Answer{quetzalwork.JobAccepted{}}, f.answers[id])
	}
	runAndVerify(t, f, 5*time.Second)
}
