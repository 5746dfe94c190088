package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// runSchedule: a job with a schedule has so many tasks that its stored progress outgrows a row of the
// store. Small jobs are handed in beside it. In the end the client of the large one cancels it.
func runSchedule(w *world, trouble bool) bool {
	const (
		job      = "00000000000000e2"
		width    = 20
		interval = 100 * time.Millisecond
		minions  = 2
		finish   = 14 * time.Second

		smallPrefix = "00000000000001"
	)
	occurrences := 400
	if !trouble {
		occurrences = 100
	}
	need := resources{CPU: 100, MemMb: 32}
	plan := func(string, int64) plannedRun {
		return plannedRun{work: 40 * time.Millisecond, how: "done", need: need}
	}
	w.configure(1, deskRoute())
	for i := range minions {
		name := string(rune('a' + i))
		w.cloud.add(w.startMinion("i-"+name, "m-"+name, service, "r1-1", "127.0.0.1:0", resources{CPU: 32000, MemMb: 131072}, plan))
	}
	w.startEntries(3)
	time.Sleep(settle)
	step := func(count int) []map[string]any {
		return []map[string]any{{"count": count, "cpu": need.CPU, "memMb": need.MemMb, "estimateMs": 50}}
	}
	w.submit(job, map[string]any{
		"spec": "count tubs", "steps": step(width), "repeats": occurrences, "firstRunMs": time.Now().UnixMilli(), "intervalMs": interval.Milliseconds(),
	})
	time.Sleep(time.Duration(occurrences) * interval)
	var small []string
	for i := range 8 {
		id := fmt.Sprintf("%s%02x", smallPrefix, i)
		w.submit(id, map[string]any{"spec": "count tubs", "steps": step(1)})
		small = append(small, id)
	}
	time.Sleep(finish)
	_, state := w.state(w.entries[0], job)
	w.record("client: the job is shown as %q %v after its last occurrence was due", state, finish)
	w.store.mu.Lock()
	w.record("the store has rejected %d transactions as too large", w.store.refused)
	w.store.mu.Unlock()
	open := 0
	for _, id := range small {
		if status, shown := w.state(w.entries[0], id); shown != "completed" {
			open++
			w.record("client: GET %s: %d %s, %v after it was handed in", id, status, shown, finish)
		}
	}
	again := w.count(func(l *ledgerRun) bool { return strings.HasPrefix(l.task, smallPrefix) }) - len(small)
	w.record("%d of %d small jobs are not shown as completed; their tasks were started again %d times", open, len(small), again)
	status, _ := w.call(w.entries[0], http.MethodDelete, routePrefix+job, nil)
	w.record("client: DELETE %s: %d", job, status)
	time.Sleep(8 * time.Second)
	return w.judgeTwice(occurrences*width + len(small))
}
