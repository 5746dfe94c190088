package main

import (
	"time"
)

// runAgent: another program registers an agent of its own on the machine of a minion, with a service
// that is not in the configuration.
func runAgent(w *world, trouble bool) bool {
	const (
		job     = "00000000000000e3"
		tasks   = 4
		minions = 4
	)
	need := resources{CPU: 20000, MemMb: 4096}
	plan := func(string, int64) plannedRun {
		return plannedRun{work: 12 * time.Second, how: "done", need: need}
	}
	w.configure(1, deskRoute())
	for i := range minions {
		name := string(rune('a' + i))
		w.cloud.add(w.startMinion("i-"+name, "m-"+name, service, "r1-1", "127.0.0.1:0", resources{CPU: 42000, MemMb: 131072}, plan))
	}
	w.startEntries(3)
	time.Sleep(settle)
	w.submit(job, map[string]any{"spec": "count tubs", "steps": []map[string]any{{"count": tasks, "cpu": need.CPU, "memMb": need.MemMb, "estimateMs": 12000}}})
	time.Sleep(3 * time.Second)
	if trouble {
		w.mu.Lock()
		busy := w.starts[0].minion
		w.mu.Unlock()
		machine := "m-" + busy[len("i-"):]
		w.store.put("servers", "", "agent-"+machine, map[string]any{
			"service": "host-agents", "address": "127.0.0.1:9", "zone": "z1", "version": "v4", "slots": 1, "state": "ready", "coldRemainingMs": 0,
			"capacity": resources{CPU: 1000, MemMb: 512}, "labels": []string{"a", "r1-1"}, "clockMs": 100, "sequence": 1,
			"born": time.Now().UnixMilli(), "machine": machine,
		})
		w.record("another writer adds servers/agent-%s with the service host-agents, which no configuration names", machine)
	}
	state := w.awaitState(job, 50*time.Second, "completed")
	w.record("client: the job is shown as %q", state)
	time.Sleep(3 * time.Second)
	return w.judgeTwice(tasks)
}
