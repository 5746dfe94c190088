package quetzalscheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzallimit"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

const (
	hallPool   = "hall"
	hallPrefix = "/trades/"
	deskPrefix = "/proofs/"
)

// accountConfig returns a configuration with the pools desk and hall, each with a queue, and with
// accounts that have a key each.
func accountConfig(accounts ...quetzalaccount.Spec) quetzalwork.FleetConfig {
	cfg := testConfig()
	cfg.Queues = append(cfg.Queues, quetzalwork.QueueSpec{ID: "trades", HTTPHost: "host", PathPrefix: hallPrefix, Pool: hallPool, MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second})
	cfg.Pools = append(cfg.Pools, quetzalwork.PoolSpec{ID: hallPool, EnforcesCapacity: true})
	for _, a := range accounts {
		if a.Keys == nil {
			a.Keys = []quetzalunit.KeyDigest{keyOf(a.ID)}
		}
		cfg.Accounts = append(cfg.Accounts, a)
	}
	return cfg
}

// newAccountFleet returns a fleet with minions in both pools of accountConfig.
func newAccountFleet(seed uint64, entries, minions int, cfg quetzalwork.FleetConfig) *fleet {
	f := newFleet(seed, threeZones, entries, minions, cfg)
	for i, m := range f.order {
		if i%2 == 1 {
			m.record.Pool = hallPool
			m.publish(false)
		}
	}
	f.setCaps(cfg)
	return f
}

// setCaps makes the checker check the caps of a configuration.
func (f *fleet) setCaps(cfg quetzalwork.FleetConfig) {
	f.checker.caps = make(map[quetzalunit.AccountID]quetzalunit.Resources)
	for _, a := range cfg.Accounts {
		f.checker.caps[a.ID] = a.Cap
	}
}

// putConfig stores a later version of the configuration.
func (f *fleet) putConfig(cfg quetzalwork.FleetConfig) {
	f.store.revision++
	f.store.config, f.store.configRevision = &cfg, f.store.revision
}

// running returns the resources of an account's runs on all minions.
func (f *fleet) usedBy(account quetzalunit.AccountID) quetzalunit.Resources {
	var used quetzalunit.Resources
	for _, m := range f.order {
		for task := range m.runs {
			if f.checker.accounts[task.Job] == account {
				used = used.Plus(f.checker.step(task).Resources)
			}
		}
	}
	return used
}

// Two dispatchers start tasks of the same accounts while entries die, pause and are cut off, and
// while answers, orders and writes are lost or late. No account may ever run more than its cap, and
// all jobs must finish.
func TestCapsHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		cfg := accountConfig(
			quetzalaccount.Spec{ID: "small", Weight: 1, Cap: quetzalunit.Resources{Cores: 5000, Memory: 64000}},
			quetzalaccount.Spec{ID: "large", Weight: 5, Cap: quetzalunit.Resources{Cores: 15000}},
			quetzalaccount.Spec{ID: "free", Weight: 2},
		)
		f := newAccountFleet(seed, rapid.IntRange(2, 6).Draw(t, "entries"), rapid.IntRange(6, 14).Draw(t, "minions"), cfg)
		f.lateOrders = rapid.SampledFrom([]float64{0, 0, 0.05}).Draw(t, "late")
		f.latePolls = f.lateOrders
		f.run(3 * time.Second)
		rng := rand.New(rand.NewPCG(seed, 2))
		submit := func() {
			account := []quetzalunit.AccountID{"small", "large", "large", "free"}[rng.IntN(4)]
			prefix := []string{deskPrefix, hallPrefix}[rng.IntN(2)]
			f.submitTo(f.entries[rng.IntN(len(f.entries))], prefix, account, testStep(quetzalunit.Tasks(1+rng.IntN(6))), testStep(2, 0))
			f.run(time.Duration(rng.IntN(150)) * time.Millisecond)
		}
		for i, fault := range rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 1, 2, 2, 3, 4, 4, 5, 6, 7, 8, 13}), 1, 6).Draw(t, "faults") {
			for range 15 {
				submit()
			}
			injectFault(f, rng, fault, i)
		}
		f.loseAnswers, f.lateOrders, f.latePolls, f.storeDown, f.delayedWrites = 0, 0, 0, false, false
		clear(f.partitionedZones)
		for _, e := range f.entries {
			if !e.up {
				e.start()
			}
		}
		for range 20 {
			submit()
		}
		f.run(90 * time.Second)
		if len(f.checker.violations) > 0 {
			t.Fatalf("%v", f.checker.violations)
		}
		if ids := f.checker.unfinished(); len(ids) > 0 {
			t.Fatalf("unfinished jobs %v\n%s", ids, f.explain(ids[0]))
		}
	})
}

// The demand of an account moves from one pool to the other each second and a half. Each pool in
// its turn must get nearly all of the cap within a quarter of a second.
func TestCapFollowsDemandBetweenPools(t *testing.T) {
	cfg := accountConfig(quetzalaccount.Spec{ID: "a", Weight: 100, Cap: quetzalunit.Resources{Cores: 20000}})
	f := newAccountFleet(1, 3, 16, cfg)
	f.runTime = func(quetzalwork.TaskID) time.Duration { return 300 * time.Millisecond }
	f.run(3 * time.Second)
	idle, samples := 0.0, 0
	for turn := range 8 {
		for range 10 {
			f.submitTo(f.entries[turn%3], []string{deskPrefix, hallPrefix}[turn%2], "a", testStep(5))
		}
		f.run(300 * time.Millisecond)
		for range 10 {
			f.run(50 * time.Millisecond)
			idle += 1 - float64(f.usedBy("a").Cores)/20000
			samples++
		}
		f.run(700 * time.Millisecond)
	}
	t.Logf("share of the cap that stays unused while the account waits: %.3f", idle/float64(samples))
	require.Less(t, idle/float64(samples), 0.15)
	require.Empty(t, f.checker.violations)
}

// Both pools want all of an account's cap. Neither may keep it.
func TestPoolsShareACapThatBothWant(t *testing.T) {
	f := newAccountFleet(1, 3, 16, accountConfig(quetzalaccount.Spec{ID: "a", Weight: 100, Cap: quetzalunit.Resources{Cores: 16000}}))
	f.run(3 * time.Second)
	for range 30 {
		f.submitTo(f.entries[0], deskPrefix, "a", testStep(4))
	}
	f.run(1200 * time.Millisecond)
	for range 30 {
		f.submitTo(f.entries[1], hallPrefix, "a", testStep(4))
	}
	f.run(2500 * time.Millisecond)
	hall := 0
	for _, m := range f.order {
		if m.record.Pool == hallPool {
			hall += len(m.runs)
		}
	}
	require.InDelta(t, 4, hall, 1, "half of the cap's 8 tasks")
	runAndVerify(t, f, 30*time.Second)
}

// The cap falls far below what runs. Nothing is stopped, nothing starts until the use is below the
// new cap, and the jobs finish.
func TestCapThatFallsHoldsBackStarts(t *testing.T) {
	cfg := accountConfig(quetzalaccount.Spec{ID: "a", Weight: 100, Cap: quetzalunit.Resources{Cores: 24000}})
	f := newAccountFleet(1, 3, 16, cfg)
	f.run(3 * time.Second)
	for i := range 20 {
		f.submitTo(f.entries[i%3], []string{deskPrefix, hallPrefix}[i%2], "a", testStep(6))
	}
	f.run(300 * time.Millisecond)
	require.Greater(t, f.usedBy("a").Cores, quetzalunit.MilliCores(16000))
	low := accountConfig(quetzalaccount.Spec{ID: "a", Weight: 100, Cap: quetzalunit.Resources{Cores: 6000}})
	low.Version = 2
	f.putConfig(low)
	f.run(1500 * time.Millisecond)
	f.setCaps(low)
	runAndVerify(t, f, 60*time.Second)
}

// A task that needs more than the account's cap runs if nothing else of the account does.
func TestTaskBeyondTheCapRunsAlone(t *testing.T) {
	f := newAccountFleet(1, 3, 8, accountConfig(quetzalaccount.Spec{ID: "a", Weight: 100, Cap: quetzalunit.Resources{Cores: 1000, Memory: 500}}))
	f.run(3 * time.Second)
	for i := range 4 {
		f.submitTo(f.entries[0], []string{deskPrefix, hallPrefix}[i%2], "a", testStep(2))
	}
	runAndVerify(t, f, 30*time.Second)
	require.Len(t, f.checker.accepted, 4)
}

// The account leaves the configuration while its job runs. The job finishes under the cap that it
// had, and calls with its key are refused.
func TestJobOfARemovedAccountFinishes(t *testing.T) {
	cfg := accountConfig(quetzalaccount.Spec{ID: "a", Weight: 100, Cap: quetzalunit.Resources{Cores: 4000}}, quetzalaccount.Spec{ID: "b", Weight: 1})
	f := newAccountFleet(1, 3, 8, cfg)
	f.run(3 * time.Second)
	id := f.submitTo(f.entries[0], deskPrefix, "a", testStep(8))
	f.run(600 * time.Millisecond)
	next := accountConfig(quetzalaccount.Spec{ID: "b", Weight: 1})
	next.Version = 2
	f.putConfig(next)
	f.run(1500 * time.Millisecond)
	retry := f.checker.specs[id]
	f.sendTo(f.entries[1], deskPrefix+string(id), id, "a", retry)
	runAndVerify(t, f, 20*time.Second)
	require.Equal(t, []quetzalwork.Answer{quetzalwork.JobAccepted{}, quetzalwork.Unauthorized{}}, f.answers[id])
}

// The dispatcher is cut off together with the minions of its zone, which go on with long tasks at
// the account's cap. A successor must not start as much again while it cannot see these runs.
func TestSuccessorCountsRunsThatItCannotSee(t *testing.T) {
	for seed := range uint64(6) {
		f := newAccountFleet(seed, 6, 18, accountConfig(quetzalaccount.Spec{ID: "a", Weight: 100, Cap: quetzalunit.Resources{Cores: 16000}}))
		f.runTime = func(quetzalwork.TaskID) time.Duration { return 9 * time.Second }
		f.run(3 * time.Second)
		for i := range 8 {
			f.submitTo(f.entries[i%6], deskPrefix, "a", testStep(2))
		}
		f.run(time.Second)
		holder := f.holder()
		f.partitionedZones[holder.zone] = true
		for range 24 {
			for _, e := range f.entries {
				if e.zone != holder.zone {
					f.submitTo(e, deskPrefix, "a", testStep(2))
				}
			}
			f.run(250 * time.Millisecond)
		}
		require.NotEqual(t, holder, f.successor(holder), "another entry dispatches the pool")
		require.Empty(t, f.checker.violations, "seed %d", seed)
	}
}

// successor returns an entry other than the given one that dispatches the pool desk.
func (f *fleet) successor(but *entry) *entry {
	for _, e := range f.entries {
		if p := e.world.Pools.At(e.world.PoolByID.Get(testPool)); e != but && e.up && p != nil && p.Held {
			return e
		}
	}
	return but
}

// An entry that has lost a pool must not go on reporting or reviewing what accounts use there.
func TestUseOfALostPoolIsForgotten(t *testing.T) {
	f := newAccountFleet(1, 3, 8, accountConfig(quetzalaccount.Spec{ID: "a", Weight: 100, Cap: quetzalunit.Resources{Cores: 8000}}))
	f.run(3 * time.Second)
	f.submitTo(f.entries[0], deskPrefix, "a", testStep(8))
	f.run(300 * time.Millisecond)
	holder := f.holder()
	require.NotEmpty(t, quetzallimit.Usages(holder.world))
	holder.post(holder.boot, quetzalwork.StopRequested{})
	f.run(2 * time.Second)
	require.NotEqual(t, holder, f.holder())
	require.Empty(t, quetzallimit.Usages(holder.world))
	runAndVerify(t, f, 20*time.Second)
}
