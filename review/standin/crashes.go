package main

import (
	"fmt"
	"time"
)

// runCrashes: the minion of a long task crashes several times, one after the other, each time some
// seconds after the task has begun. No run of the task ends `failed`.
func runCrashes(w *world, trouble bool) bool {
	const (
		job     = "00000000000000e4"
		minions = 7
		work    = 15 * time.Second
		crashes = 4
		runTime = 5 * time.Second
		down    = 4 * time.Second
	)
	need := resources{CPU: 4000, MemMb: 4096}
	capacity := resources{CPU: 32000, MemMb: 131072}
	plan := func(string, int64) plannedRun { return plannedRun{work: work, how: "done", need: need} }
	w.configure(1, deskRoute())
	live := map[string]*minion{}
	for i := range minions {
		name := string(rune('a' + i))
		m := w.startMinion("i-"+name, "m-"+name, service, "r1-1", "127.0.0.1:0", capacity, plan)
		w.cloud.add(m)
		live[m.id] = m
	}
	w.startEntries(3)
	time.Sleep(settle)
	w.submit(job, map[string]any{"spec": "count tubs", "steps": []map[string]any{{"count": 1, "cpu": need.CPU, "memMb": need.MemMb, "estimateMs": 15000}}})
	for n := range crashes {
		if !trouble {
			break
		}
		var run *ledgerRun
		for run == nil {
			time.Sleep(20 * time.Millisecond)
			w.mu.Lock()
			if len(w.starts) > n {
				run = w.starts[n]
			}
			w.mu.Unlock()
			if time.Since(w.begin) > 90*time.Second {
				break
			}
		}
		if run == nil {
			break
		}
		time.Sleep(time.Until(run.start.Add(runTime)))
		m := live[run.minion]
		m.crash()
		time.Sleep(down)
		m.expire()
		next := w.startMinion(fmt.Sprintf("%s%d", m.id, n+2), m.machine, service, m.rack, m.address, capacity, plan)
		w.cloud.add(next)
		live[next.id] = next
	}
	state := w.awaitState(job, 40*time.Second, "completed", "failed", "cancelled")
	failed := w.count(func(l *ledgerRun) bool { return l.how == "failed" })
	w.record("client: the job is shown as %q; %d runs have ended failed", state, failed)
	broken := state == "failed" && failed == 0
	if broken {
		w.record("LOST: the job is shown as failed without cause")
	}
	return broken
}
