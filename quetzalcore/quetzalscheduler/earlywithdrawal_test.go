package quetzalscheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwork"
)

// mayLose reports whether a minion may be taken for gone while it is up: its dispatcher knows no run there but such of jobs that have
// reached their final state, so that no task starts again beside its run.
func (e *entry) mayLose(m *minion) bool {
	w := e.world
	known := w.Minions.At(w.MinionByID.Get(m.record.ID))
	if known == nil || !m.up || m.successor != nil || e.f.now < e.pausedUntil {
		return false
	}
	over := func(j *quetzalwork.Job) bool { return j != nil && j.State.Final() }
	for _, run := range known.Runs {
		if !over(w.Jobs.At(w.Steps.At(w.Tasks.At(w.Runs.At(run).Task).Step).Job)) {
			return false
		}
	}
	for task := range m.runs {
		if !over(w.Jobs.At(w.JobByID.Get(task.Job))) {
			return false
		}
	}
	return true
}

// awaitsUnseenEnd reports whether the dispatcher awaits the answer to a poll of a minion that has ends which it has not seen,
// beside some that it has seen and not acknowledged.
func (e *entry) awaitsUnseenEnd(m *minion) bool {
	known := e.world.Minions.At(e.world.MinionByID.Get(m.record.ID))
	return known.PollInFlight && len(known.Ends.Open()) > 0 && m.process.lastEnd > known.Ends.SeenThrough()
}

// withdraw tells the dispatcher that the host of a minion was withdrawn, up to 3 s before the minion ends.
func (e *entry) withdraw(m *minion, rng *rand.Rand) {
	f := e.f
	e.post(e.boot, quetzalwork.PeerMessageReceived{Message: quetzalwork.NotifyHostWithdrawn{
		Pool: testPool, Host: m.record.Host, Minion: m.record.ID, Incarnation: m.record.Incarnation,
	}})
	f.after(200*time.Millisecond+time.Duration(rng.Int64N(int64(3*time.Second))), m.endWithdrawn)
}

// endWithdrawn starts the next process of a minion that its dispatcher counts as withdrawn, once it has no run that may not be lost.
func (m *minion) endWithdrawn() {
	h := m.f.holder()
	if h == nil {
		m.f.after(time.Second, m.endWithdrawn)
		return
	}
	known := h.world.Minions.At(h.world.MinionByID.Get(m.record.ID))
	switch {
	case !m.up || m.successor != nil || known == nil || !known.HostWithdrawn:
	case h.mayLose(m):
		m.restart(m.capacity())
	default:
		m.f.after(time.Second, m.endWithdrawn)
	}
}

// withdrawEarly has a long-running job cancelled while the store keeps the progress of some jobs waiting. Meanwhile the dispatcher is told
// that the hosts of minions were withdrawn whose ends it awaits. Soon after it is killed.
func (f *fleet) withdrawEarly(e *entry, rng *rand.Rand) {
	if !e.up {
		return
	}
	id := f.submit(e, longStep(6))
	f.shortLived = append(f.shortLived, id)
	f.after(time.Second, func() { f.store.heldShards = rng.Uint64() })
	cancelAt := time.Duration(1300+rng.IntN(500)) * time.Millisecond
	f.after(cancelAt, func() { f.cancel(e, id) })
	for i := range time.Duration(60) {
		f.after(cancelAt+i*10*time.Millisecond, func() {
			for _, m := range f.order {
				if h := f.holder(); h != nil && h.mayLose(m) && h.awaitsUnseenEnd(m) {
					h.withdraw(m, rng)
				}
			}
		})
	}
	f.after(cancelAt+600*time.Millisecond, func() { f.store.heldShards = rng.Uint64() })
	f.after(cancelAt+time.Second+time.Duration(rng.IntN(2000))*time.Millisecond, func() {
		f.store.heldShards = 0
		if h := f.holder(); h != nil {
			h.kill()
			f.after(2*time.Second, func() {
				if !h.up {
					h.start()
				}
			})
		}
	})
}

// Guards against ends that an answer leaves out because the dispatcher had seen them when it sent the poll, and that count as new when
// the answer arrives.
func TestEndsOfMinionsThatOutliveTheirWithdrawalAreStored(t *testing.T) {
	for seed := range uint64(60) {
		f := newFleet(seed, threeZones, 3, 6, testConfig())
		rng := rand.New(rand.NewPCG(seed, 2))
		f.runTime = func(quetzalwork.TaskID) time.Duration { return time.Duration(50+rng.IntN(300)) * time.Millisecond }
		f.run(5 * time.Second)
		f.strict = strictness{rng: rand.New(rand.NewPCG(seed, 5)), slowAnswers: 0.4, resets: 0.05}
		for range 8 {
			f.withdrawEarly(f.entries[rng.IntN(3)], rng)
			f.run(time.Second)
			for range 2 + rng.IntN(6) {
				f.submit(f.entries[rng.IntN(3)], testStep(quetzalunit.Tasks(1+rng.IntN(4))))
			}
			f.run(9 * time.Second)
		}
		f.strict.slowAnswers, f.strict.resets = 0, 0
		f.run(30 * time.Second)
		require.Empty(t, f.checker.violations, "seed %d", seed)
		require.Empty(t, f.checker.unfinished(), "seed %d", seed)
	}
}
