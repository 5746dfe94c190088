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

type quetzalunitQueue = quetzalunit.QueueID

func largestGap(ends []time.Duration) time.Duration {
	slices.Sort(ends)
	var longest time.Duration
	for i := 1; i < len(ends); i++ {
		longest = max(longest, ends[i]-ends[i-1])
	}
	return longest
}

func TestKilledEntriesDoubleNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 3)
	l := f.sendLoad(proofLoad(11, 6*time.Second), f.callerURLs())
	for _, e := range f.entries[1:] {
		time.Sleep(1500 * time.Millisecond)
		f.kill(e)
		time.Sleep(500 * time.Millisecond)
		f.start(e)
	}
	v := l.judge()
	require.NoError(t, v.Broken())
	t.Log("longest time without an answer:", l.longestGap())
}

func TestRollingReplacementCutsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 3)
	s := proofLoad(12, 9*time.Second)
	s.ShortRun = 150 * time.Millisecond
	s.Rate = 60
	l := f.sendLoad(s, f.callerURLs())
	for _, e := range f.entries {
		time.Sleep(500 * time.Millisecond)
		e.stop(t, 10*time.Second)
		f.start(e)
		f.waitFor("http://" + e.caller + "/readyz")
	}
	v := l.judge()
	require.NoError(t, v.Broken())
	require.Zero(t, v.Outcomes[quetzalsender.Unknown], "a planned stop cut a request off")
}

func TestFrozenHolderIsFencedOut(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 3)
	l := f.sendLoad(proofLoad(13, 12*time.Second), f.callerURLs())
	holder := f.holder("a")
	others := slices.DeleteFunc(slices.Clone(f.entries), func(e *entry) bool { return e == holder })
	out, err := f.ctl(others[0], "waves", "create", "spring")
	require.NoError(t, err, out)
	time.Sleep(300 * time.Millisecond)
	holder.signal(t, syscall.SIGSTOP)
	time.Sleep(3 * leaseTime)
	require.Eventually(t, func() bool {
		var s quetzalwire.EntryStatus
		return f.get(others[0], "/status", &s) && s.DutyHolder != holder.name && s.DutyEpoch > 1
	}, 10*time.Second, 50*time.Millisecond, "nobody took over the duties")
	holder.signal(t, syscall.SIGCONT)
	v := l.judge()
	require.NoError(t, v.Broken())
	f.waitForWave(others[0], "spring", 30*time.Second)
}

func (f *fleet) waitForWave(e *entry, name string, limit time.Duration) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		var list quetzalwire.WaveList
		if !f.get(e, "/waves", &list) {
			return false
		}
		return slices.ContainsFunc(list.Waves, func(w quetzalwire.WaveStatus) bool {
			return w.Wave.Wave == name && w.Wave.State == quetzalwire.WaveDocStateFinished
		})
	}, limit, 100*time.Millisecond, "the wave did not finish")
}

func TestZoneCutFromThePlatformGoesOnServing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a", "b"}, 2)
	var cut []string
	for _, e := range f.entries {
		if e.zone == "b" {
			e.platform.Stop()
			e.peers.Stop()
			cut = append(cut, "http://"+e.caller)
		}
	}
	time.Sleep(time.Second)
	s := proofLoad(14, 4*time.Second)
	s.OwnIDs = false
	l := f.sendLoad(s, cut)
	v := l.judge()
	require.NoError(t, v.Broken())
	require.Equal(t, v.Sent, v.Outcomes[quetzalsender.Ran])
	t.Log("longest time without an answer:", l.longestGap())
	out, err := f.ctl(f.entries[0], "settings", "set", "Fleet", "RetryMaxAttempts=7")
	require.NoError(t, err, out)
	for _, e := range f.entries {
		if e.zone == "b" {
			require.NoError(t, e.platform.Start())
			require.NoError(t, e.peers.Start())
		}
	}
	f.requireVersion(1, 17*time.Second)
}

// requireVersion requires that a settings version is in force at every entry in time.
func (f *fleet) requireVersion(version int, limit time.Duration) {
	f.t.Helper()
	begin := time.Now()
	for _, e := range f.entries {
		require.Eventually(f.t, func() bool {
			var s quetzalwire.EntryStatus
			return f.get(e, "/status", &s) && s.SettingsVersion >= version
		}, limit-time.Since(begin), 20*time.Millisecond, "version %d is not in force at %s", version, e.name)
	}
	f.t.Logf("version %d in force everywhere after %s", version, time.Since(begin).Round(time.Millisecond))
}

// Entries that are replaced while the platform is out serve as guests of their peers.
func TestEntryReplacedDuringAnOutageServes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 3)
	f.faults(quetzalwire.Faults{Outage: true})
	time.Sleep(500 * time.Millisecond)
	fresh := f.entries[1]
	f.kill(fresh)
	f.start(fresh)
	f.waitFor("http://" + fresh.caller + "/readyz")
	s := proofLoad(20, 4*time.Second)
	s.OwnIDs = false
	l := f.sendLoad(s, []string{"http://" + fresh.caller})
	v := l.judge()
	require.NoError(t, v.Broken())
	require.Equal(t, v.Sent, v.Outcomes[quetzalsender.Ran])
	f.faults(quetzalwire.Faults{})
	out, err := f.ctl(f.entries[0], "hosts", "move", "a-host4", "proofs", "--wait")
	require.NoError(t, err, out)
}

func TestOutageWithLostAnswersRunsNothingTwice(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 2)
	l := f.sendLoad(proofLoad(15, 8*time.Second), f.callerURLs())
	for range 4 {
		time.Sleep(700 * time.Millisecond)
		f.faults(quetzalwire.Faults{LoseAnswers: 5})
		time.Sleep(400 * time.Millisecond)
		f.faults(quetzalwire.Faults{Outage: true})
		time.Sleep(600 * time.Millisecond)
		f.faults(quetzalwire.Faults{DelayMs: 30})
	}
	f.faults(quetzalwire.Faults{})
	v := l.judge()
	require.NoError(t, v.Broken())
	t.Log("longest time without an answer:", l.longestGap())
}

func TestLeavingMinionGetsNoWorkAfterThreeSeconds(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 3)
	s := proofLoad(16, 8*time.Second)
	l := f.sendLoad(s, f.callerURLs())
	time.Sleep(1500 * time.Millisecond)
	f.list("a-host1", "Leaving")
	left := time.Now()
	v := l.judge()
	require.NoError(t, v.Broken())
	const bound = 3 * time.Second
	for _, run := range f.runs("a") {
		if run.Host == "a-host1" {
			require.Less(t, time.UnixMilli(int64(run.StartMs)).Sub(left), bound)
		}
	}
}

func (f *fleet) runs(zone string) []quetzalwire.RunRecord {
	f.t.Helper()
	var log quetzalwire.RunLog
	res, err := http.Get(f.minions[zone] + "/log")
	require.NoError(f.t, err)
	defer res.Body.Close() //nolint:errcheck // the body was read
	require.NoError(f.t, decode(res.Body, &log))
	return log.Runs
}

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
				if f.get(e, "/status", &s) {
					if s.SettingsVersion < highest {
						t.Errorf("%s went back from %d to %d", e.name, highest, s.SettingsVersion)
					}
					highest = max(highest, s.SettingsVersion)
				}
			}
		})
	}
	f.entries[1].platform.Stop()
	for n := range 5 {
		f.faults(quetzalwire.Faults{LoseAnswers: n % 2})
		out, err := f.ctl(f.entries[0], "settings", "set", "Fleet/a", fmt.Sprint("RetryMaxAttempts=", n+1))
		require.NoError(t, err, out)
		f.requireVersion(n+1, 17*time.Second)
	}
	close(stop)
	watchers.Wait()
}

func TestRacingOperatorsEachGetAVersionOrAConflict(t *testing.T) {
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
			out, err := f.ctl(f.entries[n%3], args...)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				require.Contains(t, out, "Conflict")
				conflicts++
				return
			}
			var result quetzalwire.ChangeResult
			require.NoError(t, decode(strings.NewReader(out), &result))
			versions[fmt.Sprint(result.Version)]++
		})
	}
	wg.Wait()
	for v, n := range versions {
		require.Equal(t, 1, n, "version %s was given twice", v)
	}
	require.Len(t, versions, 9-conflicts)
	f.requireVersion(len(versions), 17*time.Second)
}

// Two hosts of a pool of two die at once while the list lags; spare hosts are
// lent, and requests that never ran are answered in the other zone meanwhile.
func TestLostHostsAreReplacedFromTheSparePool(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a", "b"}, 2)
	f.faults(quetzalwire.Faults{ListLagMs: 2000})
	s := proofLoad(18, 10*time.Second)
	l := f.sendLoad(s, f.callerURLs())
	time.Sleep(2 * time.Second)
	for _, host := range []string{"a-host1", "a-host2"} {
		f.minionFaults("a", host, quetzalwire.MinionFaults{Hang: true})
		f.list(host, "Gone")
	}
	require.Eventually(t, func() bool {
		var list quetzalwire.PoolList
		if !f.get(f.entries[0], "/pools", &list) {
			return false
		}
		return slices.ContainsFunc(list.Pools, func(p quetzalwire.PoolStatus) bool {
			return p.Pool == "proofs" && p.Available >= 1 && p.Headroom >= 0
		})
	}, 20*time.Second, 50*time.Millisecond, "no spare host was lent")
	v := l.judge()
	require.NoError(t, v.Broken())
	t.Log("longest time without an answer:", l.longestGap())
}

// A zone goes: its entries die and its minions answer no more. The other zone
// serves every caller that asks again.
func TestLostZoneIsServedByTheOther(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a", "b"}, 2)
	l := f.sendLoad(proofLoad(19, 8*time.Second), f.callerURLs())
	time.Sleep(2 * time.Second)
	f.groups["b"].signal(t, syscall.SIGSTOP)
	for _, e := range f.entries {
		if e.zone == "b" {
			f.kill(e)
		}
	}
	for n := range 4 {
		f.list(fmt.Sprint("b-host", n+1), "Gone")
	}
	<-l.done
	f.groups["b"].signal(t, syscall.SIGCONT)
	time.Sleep(200 * time.Millisecond)
	v := l.judge()
	require.NoError(t, v.Broken())
	t.Log("longest time without an answer:", l.longestGap())
}

func TestBlackHoleMinionIsEjected(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []string{"a"}, 1)
	f.minionFaults("a", "a-host1", quetzalwire.MinionFaults{BlackHole: true})
	s := proofLoad(17, 5*time.Second)
	s.Idempotent = 0
	l := f.sendLoad(s, f.callerURLs())
	v := l.judge()
	require.NoError(t, v.Broken())
	failed := 0
	for _, shot := range l.shots.All() {
		if shot.Status >= http.StatusInternalServerError {
			failed++
		}
	}
	t.Logf("%d of %d requests reached the black hole", failed, v.Sent)
	require.Less(t, failed, v.Sent/10)
}
