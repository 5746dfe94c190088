package main

import (
	"fmt"
	"hash/fnv"
	"strings"
	"sync"
	"time"
)

// runStarved: a task that lasts fails once while a burst of short tasks keeps its service full.
func runStarved(w *world, trouble bool) bool {
	const (
		job     = "00000000000000e6"
		minions = 4
		failAt  = 6 * time.Second // after its start
		burst   = 8 * time.Second
		batch   = 250 * time.Millisecond
		width   = 200
		watch   = 26 * time.Second // after the burst
		turn    = 6 * time.Second  // from its last run on, a task that lasts has to be back
		calm    = 4 * time.Second
		idle    = 3 * time.Second
		perTask = 600 * time.Millisecond
	)
	lasting := resources{CPU: 8000, MemMb: 14000}
	short := resources{CPU: 1000, MemMb: 2000}
	capacity := resources{CPU: 32000, MemMb: 131072}
	var mu sync.Mutex
	failed := false
	plan := func(task string, _ int64) plannedRun {
		if !strings.HasPrefix(task, job) {
			h := fnv.New32a()
			_, _ = h.Write([]byte(task))
			return plannedRun{work: perTask/2 + time.Duration(h.Sum32()%uint32(perTask.Milliseconds()))*time.Millisecond, how: "done", need: short}
		}
		mu.Lock()
		defer mu.Unlock()
		if failed {
			return plannedRun{need: lasting}
		}
		failed = true
		return plannedRun{work: failAt, how: "failed", need: lasting}
	}
	w.configure(1, deskRoute())
	for i := range minions {
		name := string(rune('a' + i))
		w.cloud.add(w.startMinion("i-"+name, "m-"+name, service, "r1-1", "127.0.0.1:0", capacity, plan))
	}
	w.startEntries(3)
	time.Sleep(settle)
	w.submit(job, map[string]any{"spec": "watch the freezers", "steps": []map[string]any{{
		"count": 1, "cpu": lasting.CPU, "memMb": lasting.MemMb, "estimateMs": 1000, "longRunning": true,
	}}})
	time.Sleep(failAt - 2*time.Second)
	begin := time.Now()
	if trouble {
		w.record("clients: a burst of %v begins", burst)
	}
	for n := 0; trouble && time.Since(begin) < burst; n++ {
		w.submit(fmt.Sprintf("0000000000%06x", n+1), map[string]any{"spec": "count tubs", "steps": []map[string]any{{
			"count": width, "cpu": short.CPU, "memMb": short.MemMb, "estimateMs": perTask.Milliseconds(),
		}}})
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * batch)))
	}
	calmFrom := time.Now().Add(calm)
	w.record("clients: nothing more is handed in")
	if !trouble {
		time.Sleep(burst)
	}
	time.Sleep(watch)
	now := time.Now()
	runs := w.ledger()[job+".0.0.0"]
	broken := false
	for i, r := range runs {
		if r.end.IsZero() {
			continue
		}
		next := now
		if i+1 < len(runs) {
			next = runs[i+1].start
		}
		from := r.end.Add(turn)
		if calmFrom.After(from) {
			from = calmFrom
		}
		w.record("the task that lasts ended %s at %.3f; its next run began %.3f s later", r.how, w.at(r.end), next.Sub(r.end).Seconds())
		if next.Sub(from) >= idle {
			w.record("LOST: from %.3f to %.3f the task that lasts does not run, although the service's %d minions are sound and each has the capacity for it four times",
				w.at(from), w.at(next), minions)
			broken = true
		}
	}
	w.record("%d starts in all", w.count(func(*ledgerRun) bool { return true }))
	return broken
}
