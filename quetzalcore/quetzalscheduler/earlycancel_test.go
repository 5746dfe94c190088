package quetzalscheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// cancelTime is the time after the answer to a cancellation from which no task of the job may start.
const cancelTime = 3 * time.Second

// requestCancel sends a cancellation of a job to an entry and returns where the answers to it are recorded.
func (f *fleet) requestCancel(e *entry, id quetzalunit.JobID) quetzalunit.JobID {
	caller := quetzalunit.CallerID(len(f.callers) + 1)
	key := quetzalunit.JobID(fmt.Sprint("cancel", caller))
	f.callers[caller] = key
	e.post(e.boot, quetzalwork.CancelRequested{Caller: caller, HTTPHost: "host", Path: "/proofs/" + string(id), Timeout: 3 * time.Second})
	return key
}

// Guards against a job that starts after its cancellation was answered (UNASKED): its request waits in an entry that is
// frozen, so that no job is stored yet.
func TestJobThatWaitsInAFrozenEntryIsCancelled(t *testing.T) {
	for i := range 3 {
		f := newFleet(1, threeZones, 3, 6, testConfig())
		f.run(4 * time.Second)
		frozen := f.entries[i]
		frozen.pausedUntil = f.now.Add(4 * time.Second)
		id := f.submit(frozen, testStep(2))
		answer := f.requestCancel(f.entries[(i+1)%3], id)
		f.run(100 * time.Millisecond)
		require.Equal(t, []quetzalwork.Answer{quetzalwork.NoSuchJob{}}, f.answers[answer])
		f.run(10 * time.Second)
		require.Empty(t, f.checker.records)
		require.Equal(t, []quetzalwork.Answer{quetzalwork.JobAccepted{}}, f.answers[id])
		f.requireState(t, id, quetzalwork.JobStateAnswer{State: quetzalwork.JobCancelled})
	}
}

// requireState requires that each entry gives the same answer to a query for a job.
func (f *fleet) requireState(t *testing.T, id quetzalunit.JobID, want quetzalwork.Answer) {
	t.Helper()
	for _, e := range f.entries {
		require.Equal(t, want, f.state(e, id), e.id)
	}
}

// Guards against a job that starts after its cancellation was answered (UNASKED): its request arrives again, at other
// entries and in another queue.
func TestRepeatedRequestOfACancelledJobStartsNothing(t *testing.T) {
	f := newAccountFleet(1, 3, 8, accountConfig())
	f.run(4 * time.Second)
	f.lastID++
	id := quetzalunit.JobID(fmt.Sprintf("%016x", f.lastID))
	answer := f.requestCancel(f.entries[0], id)
	f.run(5 * time.Second)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.NoSuchJob{}}, f.answers[answer])
	f.requireState(t, id, quetzalwork.NoSuchJob{})
	spec := &quetzalwork.JobSpec{Payload: "text", Steps: []quetzalwork.StepSpec{testStep(1)}}
	for _, e := range f.entries {
		f.send(e, id, spec)
		f.sendTo(e, hallPrefix+string(id), id, "", spec)
	}
	f.run(5 * time.Second)
	require.Empty(t, f.checker.records)
	require.Len(t, f.answers[id], 6)
	for _, a := range f.answers[id] {
		require.Equal(t, quetzalwork.JobAccepted{}, a)
	}
	f.requireState(t, id, quetzalwork.JobStateAnswer{State: quetzalwork.JobCancelled})
	f.run(2 * f.retention())
	f.requireState(t, id, quetzalwork.JobStateAnswer{State: quetzalwork.JobCancelled})
}

// retention is the time after which the cancellation of an ID that no job has is removed.
func (f *fleet) retention() time.Duration {
	return f.entries[0].world.Bounds.RowRetention()
}

// Guards against rows of cancellations that are never removed, and those that are removed too early: before all requests
// with the ID have arrived, after a repeated cancellation, or because the dispatcher's successor read them later.
func TestEarlyCancellationsAreRemovedInTime(t *testing.T) {
	for _, restart := range []bool{false, true} {
		f := newFleet(1, threeZones, 3, 6, testConfig())
		f.run(4 * time.Second)
		rows := len(f.store.rows)
		const once, twice = "00000000000000f1", "00000000000000f2"
		f.requestCancel(f.entries[0], once)
		f.requestCancel(f.entries[1], twice)
		f.run(f.retention() / 2)
		f.requestCancel(f.holder(), twice)
		if restart {
			f.holder().kill()
		}
		f.run(f.retention()/2 - 5*time.Second)
		require.Len(t, f.store.rows, rows+2)
		if restart {
			f.run(f.retention() / 2)
		}
		f.run(10 * time.Second)
		if !restart {
			require.Len(t, f.store.rows, rows+1)
			require.True(t, f.store.index[twice].Cancelled)
		}
		f.run(f.retention()/2 + time.Second)
		require.Len(t, f.store.rows, rows)
		require.Empty(t, f.store.index)
		for _, e := range f.entries {
			if e.up {
				require.Zero(t, e.world.Jobs.Len())
				require.Zero(t, e.world.JobByID.Len())
			}
		}
		id := quetzalunit.JobID(once)
		f.send(f.holder(), id, &quetzalwork.JobSpec{Payload: "text", Steps: []quetzalwork.StepSpec{testStep(1)}})
		f.run(10 * time.Second)
		require.Equal(t, []quetzalwork.Answer{quetzalwork.JobAccepted{}}, f.answers[id])
		require.NotEmpty(t, f.checker.records)
	}
}

// Guards against a job that starts after its cancellation was answered (UNASKED): the transaction with the job has no
// answer and is carried out seconds later.
func TestTransactionThatIsLateStoresNoCancelledJob(t *testing.T) {
	for seed := range uint64(50) {
		f := newFleet(seed, threeZones, 3, 6, testConfig())
		f.run(4 * time.Second)
		f.strict.rng = rand.New(rand.NewPCG(seed, 5))
		f.strict.lateWrites = 1
		id := f.submit(f.entries[0], testStep(2))
		f.run(200 * time.Millisecond)
		f.strict.lateWrites = 0
		answer := f.requestCancel(f.entries[1], id)
		f.run(200 * time.Millisecond)
		if seed%2 == 0 {
			f.entries[0].kill()
		}
		require.Len(t, f.answers[answer], 1, seed)
		f.run(10 * time.Second)
		for _, runs := range f.checker.records {
			for _, r := range runs {
				require.Less(t, r.startedAt.Sub(f.now.Add(-10*time.Second)), cancelTime, seed)
			}
		}
	}
}

// Guards against an acknowledgement that binds nobody: the store does not answer.
func TestCancellationOfAnUnknownJobIsNotAcknowledgedWithoutTheStore(t *testing.T) {
	f := newFleet(1, threeZones, 3, 6, testConfig())
	f.run(4 * time.Second)
	f.storeDown = true
	answer := f.requestCancel(f.entries[0], "00000000000000ff")
	f.run(4 * time.Second)
	require.Len(t, f.answers[answer], 1)
	require.IsType(t, quetzalwork.Indeterminate{}, f.answers[answer][0])
	f.storeDown = false
	f.losesAnswer = func(_ *entry, c quetzalwork.Command) bool {
		_, ok := c.(quetzalwork.StoreEarlyCancel)
		return ok
	}
	answer = f.requestCancel(f.entries[0], "00000000000000fe")
	f.run(4 * time.Second)
	require.IsType(t, quetzalwork.Indeterminate{}, f.answers[answer][0])
}

// newCancelledFleet returns a fleet and an ID that was cancelled and not submitted.
func newCancelledFleet() (*fleet, quetzalunit.JobID) {
	const id quetzalunit.JobID = "00000000000000ff"
	f := newFleet(1, threeZones, 3, 6, testConfig())
	f.run(4 * time.Second)
	f.requestCancel(f.entries[0], id)
	f.run(5 * time.Second)
	return f, id
}

// Guards against an accepted job that is stored nowhere (LOST): its dispatcher knows the cancellation of its ID, and takes
// that for the job.
func TestDispatcherStoresAJobThatWasCancelledBefore(t *testing.T) {
	f, id := newCancelledFleet()
	f.send(f.holder(), id, &quetzalwork.JobSpec{Payload: "text", Steps: []quetzalwork.StepSpec{testStep(1)}})
	f.run(time.Second)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.JobAccepted{}}, f.answers[id])
	f.requireState(t, id, quetzalwork.JobStateAnswer{State: quetzalwork.JobCancelled})
}

// Guards against an accepted job that is never started (LOST): its dispatcher still has the cancellation of the ID that was
// removed from another pool, which it dispatches, too.
func TestRemovedCancellationDoesNotHideAJobOfAnotherPool(t *testing.T) {
	f := newAccountFleet(1, 1, 8, accountConfig())
	f.run(4 * time.Second)
	const id quetzalunit.JobID = "00000000000000ff"
	e := f.entries[0]
	f.requestCancel(e, id)
	f.run(5 * time.Second)
	require.NotZero(t, e.world.JobByID.Get(id))
	clear(f.store.rows)
	clear(f.store.index)
	f.sendTo(e, hallPrefix+string(id), id, "", &quetzalwork.JobSpec{Payload: "text", Steps: []quetzalwork.StepSpec{testStep(1)}})
	f.run(10 * time.Second)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.JobAccepted{}}, f.answers[id])
	require.Len(t, f.checker.records, 1)
}

// Guards against the loss of a cancellation that was stored again while the earlier one was removed.
func TestLateRemovalForgetsNoLaterCancellation(t *testing.T) {
	f, id := newCancelledFleet()
	e := f.holder()
	row := e.world.JobByID.Get(id)
	e.post(e.boot, quetzalwork.EarlyCancelRemoved{Job: row, Revision: e.world.Jobs.At(row).CancelRevision - 1})
	f.run(f.retention() + 5*time.Second)
	require.Empty(t, f.store.index)
}

// Guards against a cancellation without effect: the one before it is removed while it is stored again.
func TestCancellationIsStoredAgainAfterTheRemovalOfAnEarlierOne(t *testing.T) {
	f, id := newCancelledFleet()
	reads := 0
	f.losesAnswer = func(_ *entry, c quetzalwork.Command) bool {
		if _, ok := c.(quetzalwork.LookUpJob); ok {
			reads++
			if reads == 2 { // the one after the conflict with the earlier cancellation
				delete(f.store.index, id)
			}
		}
		return false
	}
	answer := f.requestCancel(f.entries[1], id)
	f.run(time.Second)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.NoSuchJob{}}, f.answers[answer])
	require.Equal(t, 2, reads)
	require.True(t, f.store.index[id].Cancelled)
}

// Guards against jobs that start after their cancellation was answered (UNASKED), or run twice: entries freeze and
// are killed, answers of the store are lost, writes are late, and the queue moves, while requests and cancellations with
// the same IDs reach all entries.
func TestCancelledJobsDoNotStartBesideFaults(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 6))
		cfg := accountConfig()
		f := newAccountFleet(seed, 3, 8, cfg)
		f.run(4 * time.Second)
		f.strict.rng = rand.New(rand.NewPCG(seed, 5))
		f.strict.lateWrites, f.loseAnswers = 0.05, 0.05
		var ids []quetzalunit.JobID
		cancelled := make(map[quetzalunit.JobID]quetzalunit.JobID)
		acked := make(map[quetzalunit.JobID]quetzalunit.Instant)
		any := func() *entry { return f.entries[rng.IntN(len(f.entries))] }
		for i := range 60 {
			switch {
			case i == 20:
				cfg.Version++
				cfg.Queues[0].Pool = hallPool
				f.putConfig(cfg)
			case rng.IntN(6) == 0:
				any().pausedUntil = f.now.Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
			case rng.IntN(12) == 0:
				e := any()
				e.kill()
				f.after(500*time.Millisecond, e.start)
			case rng.IntN(2) == 0 || len(ids) == 0:
				ids = append(ids, f.submit(any(), testStep(1)))
			case rng.IntN(3) == 0:
				id := ids[rng.IntN(len(ids))]
				f.send(any(), id, f.checker.specs[id])
			default:
				id := ids[max(0, len(ids)-1-rng.IntN(3))]
				cancelled[f.requestCancel(any(), id)] = id
			}
			f.run(time.Duration(rng.IntN(300)) * time.Millisecond)
			for key, id := range cancelled {
				for _, a := range f.answers[key] {
					switch a.(type) {
					case quetzalwork.NoSuchJob, quetzalwork.CancelAccepted:
						if acked[id] == 0 {
							acked[id] = f.now
						}
					default:
					}
				}
			}
		}
		f.strict.lateWrites, f.loseAnswers = 0, 0
		f.run(20 * time.Second)
		require.Empty(t, f.checker.violations, seed)
		for task, runs := range f.checker.records {
			for _, r := range runs {
				if at := acked[task.Job]; at != 0 {
					require.Less(t, r.startedAt.Sub(at), cancelTime, "seed %d, job %s", seed, task.Job)
				}
			}
		}
	}
}

// Guards against a caller that fills the store with cancellations of IDs that it has never submitted. Cancellations
// of its jobs, also of those in the pool to which their queue led before, are not refused.
func TestCancellationsOfUnknownJobsAreLimited(t *testing.T) {
	f, id := newMovedQueueFleet(t)
	for i := range 1200 {
		f.requestCancel(f.entries[i%3], id)
	}
	f.run(time.Second)
	before := len(f.store.rows)
	var keys []quetzalunit.JobID
	for i := range 2000 {
		keys = append(keys, f.requestCancel(f.entries[i%3], quetzalunit.JobID(fmt.Sprintf("%016x", 1000+i))))
		f.run(time.Millisecond)
	}
	var answers []quetzalunit.JobID
	for _, e := range f.entries {
		answers = append(answers, f.requestCancel(e, id))
	}
	f.run(time.Second)
	require.Less(t, len(f.store.rows)-before, 1100)
	require.Greater(t, len(f.store.rows)-before, 1000)
	refused := 0
	for _, key := range keys {
		require.Len(t, f.answers[key], 1)
		if a, ok := f.answers[key][0].(quetzalwork.JobRefused); ok {
			refused++
			require.Positive(t, a.RetryAfter)
		}
	}
	require.Equal(t, 2000-(len(f.store.rows)-before), refused)
	for _, answer := range answers {
		require.Equal(t, []quetzalwork.Answer{quetzalwork.CancelAccepted{}}, f.answers[answer])
	}
}
