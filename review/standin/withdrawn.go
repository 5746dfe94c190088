package main

import (
	"sync"
	"syscall"
	"time"
)

// runWithdrawn: the operator removes a route while a job of it runs, and then all entries are killed
// and start again. Each run of the job's task ends `failed`.
func runWithdrawn(w *world, trouble bool) bool {
	const (
		job     = "00000000000000e5"
		minions = 3
		watch   = 30 * time.Second
	)
	kept := deskRoute()
	kept.Name, kept.PathPrefix = "r-kept", "/kept/"
	need := resources{CPU: 4000, MemMb: 4096}
	plan := func(string, int64) plannedRun { return plannedRun{work: 2 * time.Second, how: "failed", need: need} }
	w.configure(1, deskRoute(), kept)
	for i := range minions {
		name := string(rune('a' + i))
		w.cloud.add(w.startMinion("i-"+name, "m-"+name, service, "r1-1", "127.0.0.1:0", resources{CPU: 32000, MemMb: 131072}, plan))
	}
	w.startEntries(3)
	time.Sleep(settle)
	w.submit(job, map[string]any{"spec": "count tubs", "steps": []map[string]any{{"count": 1, "cpu": need.CPU, "memMb": need.MemMb, "estimateMs": 2000}}})
	time.Sleep(time.Second)
	if trouble {
		w.configure(2, kept)
		time.Sleep(2 * time.Second)
		var restarts sync.WaitGroup
		for _, e := range w.entries {
			restarts.Go(func() { e.restart(syscall.SIGKILL) })
		}
		restarts.Wait()
	}
	time.Sleep(watch)
	limit := deskRoute().MaxAttempts
	runs := w.ledger()[job+".0.0.0"]
	broken := false
	for i, later := range runs {
		failed := 0
		for _, earlier := range runs[:i] {
			if earlier.how == "failed" && earlier.end.Before(later.start) && !earlier.notedAt.IsZero() {
				failed++
			}
		}
		if failed >= limit {
			w.record("BUDGET: run %d started at %.3f after %d runs had ended failed and been acknowledged; maxAttempts is %d", later.number, w.at(later.start), failed, limit)
			broken = true
		}
	}
	w.record("%d starts of the task", len(runs))
	return broken
}
