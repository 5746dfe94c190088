package quetzalproof

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
	"quetzalstair/quetzalload/quetzalsender"
)

// queueID is the type of the queue names in a load.
type queueID = quetzalunit.QueueID

// maxGap returns the largest difference between consecutive times. It sorts them.
func maxGap(ends []time.Duration) time.Duration {
	slices.Sort(ends)
	var longest time.Duration
	for i := 1; i < len(ends); i++ {
		longest = max(longest, ends[i]-ends[i-1])
	}
	return longest
}

// Two of three entries are killed and restarted under load, one after the other.
func TestGuaranteesHoldWhenEntriesAreKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 3)
	l := f.startLoad(loadSpec(11, 6*time.Second), f.callerURLs())
	for _, e := range f.entries[1:] {
		time.Sleep(1500 * time.Millisecond)
		f.killEntry(e)
		time.Sleep(500 * time.Millisecond)
		f.startEntry(e)
	}
	summary := l.evaluate()
	require.NoError(t, summary.Err())
	t.Log("longest time without an answer:", l.longestGap())
}

// Every entry is shut down gracefully and restarted under load, one after the other. No caller
// gets a broken connection.
func TestRollingRestartBreaksNoRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 3)
	s := loadSpec(12, 9*time.Second)
	s.ShortRun = 150 * time.Millisecond
	s.Rate = 60
	l := f.startLoad(s, f.callerURLs())
	for _, e := range f.entries {
		time.Sleep(500 * time.Millisecond)
		e.stop(t, 10*time.Second)
		f.startEntry(e)
		f.waitForOK("http://" + e.callerAddress + "/readyz")
	}
	summary := l.evaluate()
	require.NoError(t, summary.Err())
	require.Zero(t, summary.Outcomes[quetzalsender.Unknown], "a graceful shutdown broke a request")
}

// The duty holder is suspended during a wave until its lease has expired and another entry has taken
// over; then it resumes. Its outdated writes must be refused, and the wave must finish.
func TestSuspendedDutyHolderIsFenced(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 3)
	l := f.startLoad(loadSpec(13, 12*time.Second), f.callerURLs())
	holder := f.dutyHolder("a")
	others := slices.DeleteFunc(slices.Clone(f.entries), func(e *entry) bool { return e == holder })
	out, err := f.runCtl(others[0], "waves", "create", "spring")
	require.NoError(t, err, out)
	time.Sleep(300 * time.Millisecond)
	holder.signal(t, syscall.SIGSTOP)
	time.Sleep(3 * leaseDuration)
	require.Eventually(t, func() bool {
		var s quetzalwire.EntryStatus
		return f.getJSON(others[0], "/status", &s) && s.DutyHolder != holder.name && s.DutyEpoch > 1
	}, 10*time.Second, 50*time.Millisecond, "no entry took over the duty lease")
	holder.signal(t, syscall.SIGCONT)
	summary := l.evaluate()
	require.NoError(t, summary.Err())
	f.waitForWave(others[0], "spring", 30*time.Second)
}

// waitForWave waits until an entry reports a wave as finished.
func (f *fleet) waitForWave(e *entry, name string, limit time.Duration) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		var list quetzalwire.WaveList
		if !f.getJSON(e, "/waves", &list) {
			return false
		}
		return slices.ContainsFunc(list.Waves, func(w quetzalwire.WaveStatus) bool {
			return w.Wave.Wave == name && w.Wave.State == quetzalwire.WaveDocStateFinished
		})
	}, limit, 100*time.Millisecond, "the wave did not finish")
}

// The entries of a zone are cut off from the platform and from each other. They still run every
// request, and get the settings change that they missed once they are reconnected.
func TestZoneCutFromThePlatformGoesOnServing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a", "b"}, 2)
	var isolated []string
	for _, e := range f.entries {
		if e.zone == "b" {
			e.platformProxy.Stop()
			e.peerProxy.Stop()
			isolated = append(isolated, "http://"+e.callerAddress)
		}
	}
	time.Sleep(time.Second)
	s := loadSpec(14, 4*time.Second)
	s.OwnIDs = false
	l := f.startLoad(s, isolated)
	summary := l.evaluate()
	require.NoError(t, summary.Err())
	require.Equal(t, summary.Sent, summary.Outcomes[quetzalsender.Ran])
	t.Log("longest time without an answer:", l.longestGap())
	out, err := f.runCtl(f.entries[0], "settings", "set", "Fleet", "RetryMaxAttempts=7")
	require.NoError(t, err, out)
	for _, e := range f.entries {
		if e.zone == "b" {
			require.NoError(t, e.platformProxy.Start())
			require.NoError(t, e.peerProxy.Start())
		}
	}
	f.requireVersion(1, 17*time.Second)
}

// requireVersion requires that a settings version or a later one is in force at every entry
// within the limit.
func (f *fleet) requireVersion(version int, limit time.Duration) {
	f.t.Helper()
	start := time.Now()
	for _, e := range f.entries {
		require.Eventually(f.t, func() bool {
			var s quetzalwire.EntryStatus
			return f.getJSON(e, "/status", &s) && s.SettingsVersion >= version
		}, limit-time.Since(start), 20*time.Millisecond, "version %d is not in force at %s", version, e.name)
	}
	f.t.Logf("version %d in force everywhere after %s", version, time.Since(start).Round(time.Millisecond))
}

// An entry is killed and restarted during an outage of the platform. It cannot enter the roster, so
// it serves as the guest of a peer that is in it. After the outage, changes take effect again.
func TestEntryReplacedDuringAnOutageServes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 3)
	f.setPlatformFaults(quetzalwire.Faults{Outage: true})
	time.Sleep(500 * time.Millisecond)
	restarted := f.entries[1]
	f.killEntry(restarted)
	f.startEntry(restarted)
	f.waitForOK("http://" + restarted.callerAddress + "/readyz")
	s := loadSpec(20, 4*time.Second)
	s.OwnIDs = false
	l := f.startLoad(s, []string{"http://" + restarted.callerAddress})
	summary := l.evaluate()
	require.NoError(t, summary.Err())
	require.Equal(t, summary.Sent, summary.Outcomes[quetzalsender.Ran])
	f.setPlatformFaults(quetzalwire.Faults{})
	out, err := f.runCtl(f.entries[0], "hosts", "move", "a-host4", "proofs", "--wait")
	require.NoError(t, err, out)
}

// The platform alternates between losing the answers of committed transactions, an outage and
// slow calls. An entry that does not learn whether its write took effect must not run work twice.
func TestOutageWithLostAnswersRunsNothingTwice(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 2)
	l := f.startLoad(loadSpec(15, 8*time.Second), f.callerURLs())
	for range 4 {
		time.Sleep(700 * time.Millisecond)
		f.setPlatformFaults(quetzalwire.Faults{LoseAnswers: 5})
		time.Sleep(400 * time.Millisecond)
		f.setPlatformFaults(quetzalwire.Faults{Outage: true})
		time.Sleep(600 * time.Millisecond)
		f.setPlatformFaults(quetzalwire.Faults{DelayMs: 30})
	}
	f.setPlatformFaults(quetzalwire.Faults{})
	summary := l.evaluate()
	require.NoError(t, summary.Err())
	t.Log("longest time without an answer:", l.longestGap())
}

// The platform announces that a host leaves. Entries must stop sending it work within 3 s.
func TestLeavingMinionGetsNoWorkAfterThreeSeconds(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 3)
	s := loadSpec(16, 8*time.Second)
	l := f.startLoad(s, f.callerURLs())
	time.Sleep(1500 * time.Millisecond)
	f.setListedState("a-host1", "Leaving")
	announcedAt := time.Now()
	summary := l.evaluate()
	require.NoError(t, summary.Err())
	const bound = 3 * time.Second
	for _, run := range f.recordedRuns("a") {
		if run.Host == "a-host1" {
			require.Less(t, time.UnixMilli(int64(run.StartMs)).Sub(announcedAt), bound)
		}
	}
}

// recordedRuns returns the runs that the minions of a zone recorded.
func (f *fleet) recordedRuns(zone string) []quetzalwire.RunRecord {
	f.t.Helper()
	var log quetzalwire.RunLog
	res, err := http.Get(f.minionAdminURLs[zone] + "/log")
	require.NoError(f.t, err)
	defer res.Body.Close() //nolint:errcheck // the body was read
	require.NoError(f.t, decodeJSON(res.Body, &log))
	return log.Runs
}

// Settings change while one entry is cut off from the platform and answers are lost. Every entry
// gets each version, and none ever reports a lower one than before.
func TestSettingsReachEveryEntryAndNeverRevert(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a", "b"}, 2)
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for _, e := range f.entries {
		watchers.Go(func() {
			highest := 0
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				var s quetzalwire.EntryStatus
				if f.getJSON(e, "/status", &s) {
					if s.SettingsVersion < highest {
						t.Errorf("%s went back from settings version %d to %d", e.name, highest, s.SettingsVersion)
					}
					highest = max(highest, s.SettingsVersion)
				}
			}
		})
	}
	f.entries[1].platformProxy.Stop()
	for n := range 5 {
		f.setPlatformFaults(quetzalwire.Faults{LoseAnswers: n % 2})
		out, err := f.runCtl(f.entries[0], "settings", "set", "Fleet/a", fmt.Sprint("RetryMaxAttempts=", n+1))
		require.NoError(t, err, out)
		f.requireVersion(n+1, 17*time.Second)
	}
	close(stop)
	watchers.Wait()
}

// Nine concurrent changes of one settings node through three entries. Each one that succeeds gets
// a version of its own; the others report a conflict.
func TestConcurrentChangesEachGetAVersionOrAConflict(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 3)
	var mu sync.Mutex
	versions := make(map[string]int)
	conflicts := 0
	var wg sync.WaitGroup
	for n := range 9 {
		wg.Go(func() {
			args := []string{"-o", "json", "settings", "set", "Fleet/a", fmt.Sprint("QueueLimit=", n+1)}
			if n%3 == 0 {
				args = append(args, "--if-version=0")
			}
			out, err := f.runCtl(f.entries[n%3], args...)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				require.Contains(t, out, "Conflict")
				conflicts++
				return
			}
			var result quetzalwire.ChangeResult
			require.NoError(t, decodeJSON(strings.NewReader(out), &result))
			versions[fmt.Sprint(result.Version)]++
		})
	}
	wg.Wait()
	for v, n := range versions {
		require.Equal(t, 1, n, "version %s was assigned more than once", v)
	}
	require.Len(t, versions, 9-conflicts)
	f.requireVersion(len(versions), 17*time.Second)
}

// Both hosts of a pool in one zone fail at once, while the platform's list lags by 2 s. The spare
// pool lends hosts; until then, requests that have not run are served by the other zone.
func TestLostHostsAreReplacedFromTheSparePool(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a", "b"}, 2)
	f.setPlatformFaults(quetzalwire.Faults{ListLagMs: 2000})
	s := loadSpec(18, 10*time.Second)
	l := f.startLoad(s, f.callerURLs())
	time.Sleep(2 * time.Second)
	for _, host := range []string{"a-host1", "a-host2"} {
		f.setMinionFaults("a", host, quetzalwire.MinionFaults{Hang: true})
		f.setListedState(host, "Gone")
	}
	require.Eventually(t, func() bool {
		var list quetzalwire.PoolList
		if !f.getJSON(f.entries[0], "/pools", &list) {
			return false
		}
		return slices.ContainsFunc(list.Pools, func(p quetzalwire.PoolStatus) bool {
			return p.Pool == "proofs" && p.Available >= 1 && p.Headroom >= 0
		})
	}, 20*time.Second, 50*time.Millisecond, "no spare host was lent")
	summary := l.evaluate()
	require.NoError(t, summary.Err())
	t.Log("longest time without an answer:", l.longestGap())
}

// A zone fails: its entries are killed and its minions are suspended. The other zone serves every
// caller that retries. The minions resume only to hand out their records of runs.
func TestLostZoneIsServedByTheOther(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a", "b"}, 2)
	l := f.startLoad(loadSpec(19, 8*time.Second), f.callerURLs())
	time.Sleep(2 * time.Second)
	f.minionProcesses["b"].signal(t, syscall.SIGSTOP)
	for _, e := range f.entries {
		if e.zone == "b" {
			f.killEntry(e)
		}
	}
	for n := range 4 {
		f.setListedState(fmt.Sprint("b-host", n+1), "Gone")
	}
	<-l.done
	f.minionProcesses["b"].signal(t, syscall.SIGCONT)
	time.Sleep(200 * time.Millisecond)
	summary := l.evaluate()
	require.NoError(t, summary.Err())
	t.Log("longest time without an answer:", l.longestGap())
}

// A minion answers 500 at once, so that it is always free and attracts work. The entry must eject it
// before a tenth of the requests have failed there. None are idempotent, so none are retried.
func TestBlackHoleMinionIsEjected(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 1)
	f.setMinionFaults("a", "a-host1", quetzalwire.MinionFaults{BlackHole: true})
	s := loadSpec(17, 5*time.Second)
	s.Idempotent = 0
	l := f.startLoad(s, f.callerURLs())
	summary := l.evaluate()
	require.NoError(t, summary.Err())
	failed := 0
	for _, result := range l.results.All() {
		if result.Status >= http.StatusInternalServerError {
			failed++
		}
	}
	t.Logf("%d of %d requests reached the failing minion", failed, summary.Sent)
	require.Less(t, failed, summary.Sent/10)
}
