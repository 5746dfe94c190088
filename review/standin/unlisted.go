package main

import (
	"encoding/base64"
	"encoding/json"
	"syscall"
	"time"
)

// holder returns the entry that dispatches the service, nil if none does.
func (w *world) holder() *entry {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	r := w.store.rows[rowKey{"Fleet", service, "Duty"}]
	if r == nil {
		return nil
	}
	var duty struct{ Holder string }
	data, err := base64.StdEncoding.DecodeString(r.Value)
	if err != nil || json.Unmarshal(data, &duty) != nil {
		return nil
	}
	for _, e := range w.entries {
		if e.name == duty.Holder {
			return e
		}
	}
	return nil
}

// runUnlisted: a minion loses the store, but not the entries, so that its entry is removed; then the
// process that dispatches its service is killed.
func runUnlisted(w *world, trouble bool) bool {
	const (
		job     = "00000000000000e7"
		tasks   = 8
		minions = 4
		cut     = 22 * time.Second
	)
	need := resources{CPU: 8000, MemMb: 4096}
	plan := func(string, int64) plannedRun { return plannedRun{work: 45 * time.Second, how: "done", need: need} }
	w.configure(1, deskRoute())
	byID := map[string]*minion{}
	for i := range minions {
		name := string(rune('a' + i))
		m := w.startMinion("i-"+name, "m-"+name, service, "r1-1", "127.0.0.1:0", resources{CPU: 32000, MemMb: 131072}, plan)
		w.cloud.add(m)
		byID[m.id] = m
	}
	w.startEntries(3)
	time.Sleep(settle)
	w.submit(job, map[string]any{"spec": "count tubs", "steps": []map[string]any{{"count": tasks, "cpu": need.CPU, "memMb": need.MemMb, "estimateMs": 45000}}})
	time.Sleep(2 * time.Second)
	w.mu.Lock()
	lost := byID[w.starts[0].minion]
	w.mu.Unlock()
	if trouble {
		w.record("minion %s is cut off from the store; its entry is removed", lost.id)
		w.store.remove("servers", "", lost.id)
	}
	time.Sleep(cut)
	if e := w.holder(); e != nil {
		e.restart(syscall.SIGKILL)
	}
	time.Sleep(8 * time.Second)
	if trouble {
		w.record("minion %s reaches the store again", lost.id)
		lost.register()
	}
	state := w.awaitState(job, 60*time.Second, "completed")
	w.record("client: the job is shown as %q", state)
	return w.judgeTwice(tasks)
}
