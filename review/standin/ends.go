package main

import (
	"hash/fnv"
	"time"
)

// runEnds: many short tasks end while the store is unavailable for a few seconds, so that a minion has
// more ends to report than one answer returns.
func runEnds(w *world, trouble bool) bool {
	const (
		job     = "00000000000000e1"
		tasks   = 2400
		minions = 2
		outage  = 4500 * time.Millisecond
	)
	need := resources{CPU: 25, MemMb: 20}
	plan := func(task string, _ int64) plannedRun {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return plannedRun{work: time.Second + time.Duration(h.Sum32()%2500)*time.Millisecond, how: "done", need: need}
	}
	w.configure(1, deskRoute())
	for i := range minions {
		name := string(rune('a' + i))
		w.cloud.add(w.startMinion("i-"+name, "m-"+name, service, "r1-1", "127.0.0.1:0", resources{CPU: 32000, MemMb: 131072}, plan))
	}
	w.startEntries(3)
	time.Sleep(settle)
	w.submit(job, map[string]any{"spec": "count tubs", "steps": []map[string]any{{"count": tasks, "cpu": need.CPU, "memMb": need.MemMb, "estimateMs": 2000}}})
	if trouble {
		for w.count(func(l *ledgerRun) bool { return l.how == "done" }) < tasks/20 {
			time.Sleep(5 * time.Millisecond)
		}
		w.record("the store answers 503 for %v", outage)
		w.store.outage(outage)
	}
	state := w.awaitState(job, 40*time.Second, "completed")
	w.record("client: the job is shown as %q", state)
	time.Sleep(6 * time.Second)
	return w.judgeTwice(tasks)
}
