package quetzalscheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// revocationBound is the bound of the strict revocation in these tests.
const revocationBound = 5 * time.Second

// newKeyFleet returns a fleet with strict revocation.
func newKeyFleet(cfg quetzalwork.FleetConfig) *fleet {
	f := newAccountFleet(1, 3, 8, cfg)
	for _, e := range f.entries {
		e.world.Bounds.KeyRevocation = revocationBound
	}
	f.run(3 * time.Second)
	return f
}

// try submits a job and returns the answer.
func (f *fleet) try(e *entry, account quetzalunit.AccountID) quetzalwork.Answer {
	id := f.submitTo(e, deskPrefix, account, testStep(1))
	f.run(100 * time.Millisecond)
	if a := f.answers[id]; len(a) > 0 {
		return a[0]
	}
	return nil
}

func withoutAccounts(version quetzalunit.Version, keep ...quetzalaccount.Spec) quetzalwork.FleetConfig {
	cfg := accountConfig(keep...)
	cfg.Version = version
	return cfg
}

var (
	accountA = quetzalaccount.Spec{ID: "a", Weight: 100}
	accountB = quetzalaccount.Spec{ID: "b", Weight: 100}
)

func TestCallsNeedAKeyInForce(t *testing.T) {
	cfg := accountConfig(accountA, accountB)
	cfg.Queues[1].Public = true
	f := newKeyFleet(cfg)
	e := f.entries[0]
	require.Equal(t, quetzalwork.JobAccepted{}, f.try(e, "a"))
	require.Equal(t, quetzalwork.Unauthorized{}, f.try(e, "stranger"))
	require.Equal(t, quetzalwork.Unauthorized{}, f.try(e, ""))
	id := f.submitTo(e, hallPrefix, "", testStep(1))
	f.run(100 * time.Millisecond)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.JobAccepted{}}, f.answers[id], "a public queue needs no key")
	for i, in := range []quetzalwork.Input{
		quetzalwork.JobQueried{Caller: 901, HTTPHost: "host", Path: deskPrefix},
		quetzalwork.JobQueried{Caller: 902, HTTPHost: "host", Path: deskPrefix + "0000000000000001"},
		quetzalwork.CancelRequested{Caller: 903, HTTPHost: "host", Path: deskPrefix + "0000000000000001", Key: keyOf("stranger")},
	} {
		f.callers[quetzalunit.CallerID(901+i)] = "verbs"
		e.post(e.boot, in)
	}
	f.run(100 * time.Millisecond)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.Unauthorized{}, quetzalwork.Unauthorized{}, quetzalwork.Unauthorized{}}, f.answers["verbs"])
}

// A key is withdrawn while the store carries out a submission with it. The job was accepted and
// runs once; a repetition of the call with the key is refused, also after a restart of the entry,
// and a later version may bring the key back.
func TestKeyWithdrawnDuringASubmission(t *testing.T) {
	f := newKeyFleet(accountConfig(accountA, accountB))
	e := f.entries[0]
	f.store.transactionTime = 900 * time.Millisecond
	id := f.submitTo(e, deskPrefix, "a", testStep(1))
	f.putConfig(withoutAccounts(2, accountB))
	f.run(2500 * time.Millisecond)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.JobAccepted{}}, f.answers[id])
	f.store.transactionTime = 0
	f.sendTo(e, deskPrefix+string(id), id, "a", f.checker.specs[id])
	f.run(100 * time.Millisecond)
	require.Equal(t, quetzalwork.Unauthorized{}, f.answers[id][1])
	e.kill()
	e.start()
	f.run(2 * time.Second)
	require.Equal(t, quetzalwork.Unauthorized{}, f.try(e, "a"))
	f.putConfig(withoutAccounts(3, accountA, accountB))
	f.run(time.Second)
	require.Equal(t, quetzalwork.JobAccepted{}, f.try(e, "a"))
	runAndVerify(t, f, 20*time.Second)
	require.Len(t, f.checker.records[quetzalwork.TaskID{Job: id}], 1)
}

// An entry is cut off from the store while a key is withdrawn. It must not act on the key after the
// bound, and must say that the call has not run. Once it is back, keys that hold are good again.
func TestEntryThatIsCutOffStopsTrustingKeys(t *testing.T) {
	f := newKeyFleet(accountConfig(accountA, accountB))
	e := f.entries[0]
	f.partitionedZones[e.zone] = true
	f.putConfig(withoutAccounts(2, accountB))
	for range 20 {
		f.run(250 * time.Millisecond)
		require.NotEqual(t, quetzalwork.JobAccepted{}, f.try(e, "a"))
	}
	refused := f.try(e, "b")
	require.IsType(t, quetzalwork.JobRefused{}, refused)
	require.Equal(t, "ConfigurationTooOld", refused.(quetzalwork.JobRefused).Reason)
	require.Less(t, refused.(quetzalwork.JobRefused).RetryAfter, time.Second)
	delete(f.partitionedZones, e.zone)
	f.run(3 * time.Second)
	require.Equal(t, quetzalwork.JobAccepted{}, f.try(e, "b"))
	require.Equal(t, quetzalwork.Unauthorized{}, f.try(e, "a"))
}

// An entry is suspended with a call waiting. Its knowledge of the keys is older than the bound when it wakes.
func TestSuspendedEntryDoesNotTrustKeysWhenItWakes(t *testing.T) {
	f := newKeyFleet(accountConfig(accountA, accountB))
	e := f.entries[0]
	e.pausedUntil = f.now.Add(revocationBound + time.Second)
	f.putConfig(withoutAccounts(2, accountB))
	f.run(revocationBound)
	id := f.submitTo(e, deskPrefix, "a", testStep(1))
	f.run(1500 * time.Millisecond)
	require.Len(t, f.answers[id], 1)
	require.NotEqual(t, quetzalwork.JobAccepted{}, f.answers[id][0])
	f.run(10 * time.Second)
	require.Empty(t, f.checker.records[quetzalwork.TaskID{Job: id}])
}
