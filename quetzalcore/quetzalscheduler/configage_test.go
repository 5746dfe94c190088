package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalscheduler"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// configBound is the time within which a configuration must be in force in these tests.
const configBound = 3 * time.Second

// newConfigFleet returns a fleet with a bound on the age of configurations.
func newConfigFleet(entries int) *fleet {
	return newBoundedFleet(entries, configBound)
}

// newBoundedFleet returns a fleet with the given bound on the age of configurations.
func newBoundedFleet(entries int, bound time.Duration) *fleet {
	f := newFleet(1, threeZones, entries, 6, testConfig())
	for _, e := range f.entries {
		e.world.Bounds.ConfigApply = bound
	}
	f.run(4 * time.Second)
	f.submit(f.entries[0], testStep(1))
	f.run(4 * time.Second)
	return f
}

// addQueue puts a configuration with one queue more into the store.
func (f *fleet) addQueue(prefix string) {
	cfg := testConfig()
	cfg.Version = 2
	q := cfg.Queues[0]
	q.ID, q.PathPrefix = quetzalunit.QueueID(prefix), prefix
	cfg.Queues = append(cfg.Queues, q)
	f.store.revision++
	f.store.config, f.store.configRevision = &cfg, f.store.revision
}

// query asks an entry for the pending jobs of a queue and returns the answer.
func (f *fleet) query(e *entry, prefix string) quetzalwork.Answer {
	f.lastID++
	caller, id := quetzalunit.CallerID(100_000+f.lastID), quetzalunit.JobID(prefix)
	f.callers[caller] = id
	delete(f.answers, id)
	e.post(e.boot, quetzalwork.JobQueried{Caller: caller, HTTPHost: "host", Path: prefix, Timeout: time.Second})
	for range 6 {
		f.run(50 * time.Millisecond)
		if a := f.answers[id]; len(a) > 0 {
			return a[0]
		}
	}
	return nil
}

func isTooOld(a quetzalwork.Answer) bool {
	refused, ok := a.(quetzalwork.JobRefused)
	return ok && refused.Reason == "ConfigurationTooOld"
}

// Guards against an entry that answers by an old configuration, and counts as ready, while it reaches the store and fails to read the
// configuration alone.
func TestEntryThatIsBehindRefusesCallsWhileItReachesTheStore(t *testing.T) {
	f := newConfigFleet(20)
	behind := f.entries[3]
	behind.watchFails = true
	f.run(time.Second)
	f.addQueue("/new/")
	f.run(configBound)
	for range 10 {
		require.True(t, isTooOld(f.query(behind, "/new/")))
		require.True(t, isTooOld(f.query(behind, "/proofs/")))
		require.False(t, quetzalscheduler.Ready(behind.world))
		require.Equal(t, quetzalwork.Answer(quetzalwork.PendingJobsAnswer{}), f.query(f.entries[4], "/new/"))
	}
	behind.watchFails = false
	f.run(time.Second)
	require.Equal(t, quetzalwork.Answer(quetzalwork.PendingJobsAnswer{}), f.query(behind, "/new/"))
	require.True(t, quetzalscheduler.Ready(behind.world))
}

// The other side: an entry that is cut off from the store goes on by the configuration that it has.
func TestEntryThatIsCutOffServesByItsConfiguration(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, configBound} {
		f := newBoundedFleet(6, bound)
		var cut *entry
		for _, e := range f.entries {
			if e != f.holder() {
				cut = e
			}
		}
		f.partitionedZones[cut.zone] = true
		for range 200 {
			require.Equal(t, quetzalwork.Answer(quetzalwork.NoSuchQueue{}), f.query(cut, "/none/"), "bound %v", bound)
		}
		require.False(t, isTooOld(f.query(cut, "/proofs/")))
	}
}

// The same for an entry that reaches the store again after an outage: it has a moment to read the configuration.
func TestEntryThatReachesTheStoreAgainHasTimeToReadTheConfiguration(t *testing.T) {
	f := newConfigFleet(6)
	e := f.entries[0]
	f.storeDown = true
	f.run(8 * time.Second)
	f.storeDown, e.watchFails = false, true
	for before := e.world.StoreContact.AnsweredAt; e.world.StoreContact.AnsweredAt == before; {
		require.Equal(t, quetzalwork.Answer(quetzalwork.NoSuchQueue{}), f.query(e, "/none/"))
	}
	for range 8 {
		require.Equal(t, quetzalwork.Answer(quetzalwork.NoSuchQueue{}), f.query(e, "/none/"))
	}
	f.run(time.Second)
	require.True(t, isTooOld(f.query(e, "/none/")))
}

// The same after an outage of the store for all entries: the configuration is read again before calls are refused.
func TestEndOfAnOutageOfTheStoreRefusesNoCallForItsConfiguration(t *testing.T) {
	f := newConfigFleet(6)
	f.storeDown = true
	f.run(8 * time.Second)
	f.storeDown = false
	for range 20 {
		for _, e := range f.entries {
			require.False(t, isTooOld(f.query(e, "/proofs/")))
		}
	}
}

// A single watch without an answer must not make an entry refuse calls.
func TestWatchThatFailsOnceRefusesNoCall(t *testing.T) {
	f := newConfigFleet(6)
	e := f.entries[0]
	for range 10 {
		e.watchFails = true
		f.run(700 * time.Millisecond)
		e.watchFails = false
		for range 6 {
			require.False(t, isTooOld(f.query(e, "/proofs/")))
		}
	}
}

// Guards against a watch that is held as usual after one that failed, so that the age of the configuration is known only at its end.
func TestWatchAfterAFailureIsNotHeld(t *testing.T) {
	f := newConfigFleet(6)
	e := f.entries[0]
	e.watchFails = true
	f.run(time.Second)
	e.watchFails, e.watchWaits = false, nil
	f.run(time.Second)
	require.Zero(t, e.watchWaits[0])
	require.Positive(t, e.watchWaits[1])
	require.Less(t, f.now.Sub(e.world.Config.ConfirmedAt), configBound/2)
}

// Guards against an entry that cannot decode a configuration and goes on by the one before as if nothing had changed.
func TestConfigurationThatCannotBeDecodedIsNotPassedOver(t *testing.T) {
	f := newConfigFleet(6)
	e := f.entries[0]
	f.store.revision++
	f.store.unreadableRevision = f.store.revision
	f.run(time.Second)
	require.False(t, isTooOld(f.query(e, "/proofs/")), "it need not be in force yet")
	f.run(configBound)
	require.True(t, isTooOld(f.query(e, "/proofs/")))
	e.watchWaits = nil
	f.run(4 * time.Second)
	require.Less(t, len(e.watchWaits), 8, "the row is not read again and again")
	f.addQueue("/new/")
	f.run(time.Second)
	require.Equal(t, quetzalwork.Answer(quetzalwork.PendingJobsAnswer{}), f.query(e, "/new/"))
}
