package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the minions, from the settings of the site.
const (
	maxHold     = 10 * time.Second
	stopTime    = 50 * time.Millisecond
	maxFinished = 500
	heartbeat   = 1500 * time.Millisecond
)

type resources struct {
	CPU   int `json:"cpu"`
	MemMb int `json:"memMb"`
	GPU   int `json:"gpu"`
}

// plannedRun says how a run goes: how long it works and how it ends. A zero duration lasts.
type plannedRun struct {
	work time.Duration
	how  string
	need resources
}

type activeRun struct {
	task    string
	number  int64
	spec    string
	begun   time.Time
	plan    plannedRun
	stopped bool
}

type endedRun struct {
	n      int64
	task   string
	number int64
	how    string
}

// minion is a stand-in of one life of a machine.
type minion struct {
	id, machine, service, address, rack string
	capacity                            resources
	w                                   *world
	server                              *http.Server
	begin                               time.Time
	born                                int64
	plan                                func(task string, number int64) plannedRun

	mu         sync.Mutex
	dead       bool
	draining   bool
	token      int64
	deadline   int64
	running    map[string]*activeRun
	finished   []endedRun
	ends       int64
	acked      int64
	rejectUpTo map[string]int64
	changed    chan struct{}
	// mostFinished is the largest number of ends that the minion had to report at a time.
	mostFinished int
}

// startMinion starts a minion on an address; port 0 chooses a free one.
func (w *world) startMinion(id, machine, service, rack, address string, capacity resources, plan func(string, int64) plannedRun) *minion {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail(err)
	}
	m := &minion{
		id: id, machine: machine, service: service, address: l.Addr().String(), rack: rack, capacity: capacity, w: w, begin: time.Now(),
		born: time.Now().UnixMilli(), plan: plan, running: map[string]*activeRun{}, rejectUpTo: map[string]int64{}, changed: make(chan struct{}),
	}
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(l) }()
	go m.watch()
	m.register()
	w.record("minion %s of machine %s is up at %s", id, machine, m.address)
	return m
}

// entry is the row by which the minion registers itself.
func (m *minion) entry() map[string]any {
	return map[string]any{
		"service": m.service, "address": m.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": m.capacity, "labels": []string{"a", m.rack}, "clockMs": m.clock(), "sequence": 1, "born": m.born, "machine": m.machine,
	}
}

// register writes the minion's row, and again until the store accepts it.
func (m *minion) register() {
	if !m.w.store.put("servers", "", m.id, m.entry()) {
		time.AfterFunc(heartbeat, m.register)
	}
}

func (m *minion) clock() int64 { return time.Since(m.begin).Milliseconds() + 1000 }

// crash ends the minion without a word: its connections break and its runs are gone.
func (m *minion) crash() {
	m.mu.Lock()
	m.dead = true
	for _, r := range m.running {
		m.w.ended(m, r, "crashed", 0)
	}
	m.running = map[string]*activeRun{}
	m.mu.Unlock()
	_ = m.server.Close()
	m.w.record("minion %s crashes", m.id)
}

// expire removes the row of a crashed minion after three heartbeats of silence.
func (m *minion) expire() {
	m.w.store.remove("servers", "", m.id)
}

// watch ends runs whose work is done and all runs when the lease expires.
func (m *minion) watch() {
	for range time.Tick(5 * time.Millisecond) {
		m.mu.Lock()
		if m.dead {
			m.mu.Unlock()
			return
		}
		now := time.Now()
		lapsed := m.clock() > m.deadline
		for _, r := range m.running {
			switch {
			case lapsed:
				m.end(r, "lapsed")
			case r.stopped:
			case r.plan.work > 0 && now.Sub(r.begun) >= r.plan.work:
				m.end(r, r.plan.how)
			}
		}
		m.mu.Unlock()
	}
}

func runName(task string, number int64) string { return fmt.Sprintf("%s#%d", task, number) }

// end ends a run and lists its end. The caller holds mu.
func (m *minion) end(r *activeRun, how string) {
	delete(m.running, runName(r.task, r.number))
	m.ends++
	m.finished = append(m.finished, endedRun{n: m.ends, task: r.task, number: r.number, how: how})
	m.mostFinished = max(m.mostFinished, len(m.finished))
	m.rejectUpTo[r.task] = max(m.rejectUpTo[r.task], r.number)
	m.w.ended(m, r, how, m.ends)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) used() resources {
	var u resources
	for _, r := range m.running {
		u.CPU += r.plan.need.CPU
		u.MemMb += r.plan.need.MemMb
	}
	return u
}

type order struct {
	Task         string
	Run          int64
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	AckedThrough int64
	WaitMs       int
	Percent      int
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", m.id)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != m.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	m.mu.Lock()
	if m.dead {
		m.mu.Unlock()
		return
	}
	if o.FencingToken < m.token {
		m.mu.Unlock()
		m.refuse(w, "fence")
		return
	}
	m.token = o.FencingToken
	defer func() {
		if !strings.HasSuffix(r.URL.Path, "hold") {
			m.mu.Unlock()
		}
	}()
	switch r.URL.Path {
	case "/api/run-start":
		m.start(w, &o)
	case "/api/run-stop":
		m.stop(w, &o)
	case "/api/pace":
		reply(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born})
	case "/api/hold":
		m.hold(w, r.Context(), &o)
	default:
		http.NotFound(w, r)
	}
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clockMs": m.clock(), "born": m.born, "reason": reason})
}

func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+maxHold.Milliseconds()))
}

func (m *minion) start(w http.ResponseWriter, o *order) {
	name := runName(o.Task, o.Run)
	if m.running[name] != nil {
		reply(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born})
		return
	}
	if o.DeadlineMs <= m.clock() {
		m.refuse(w, "late")
		return
	}
	m.extend(o.DeadlineMs)
	if o.Run <= m.rejectUpTo[o.Task] {
		m.refuse(w, "old")
		return
	}
	plan := m.plan(o.Task, o.Run)
	if used := m.used(); used.CPU+plan.need.CPU > m.capacity.CPU || used.MemMb+plan.need.MemMb > m.capacity.MemMb {
		m.refuse(w, "room")
		return
	}
	run := &activeRun{task: o.Task, number: o.Run, spec: o.Spec, begun: time.Now(), plan: plan}
	m.running[name] = run
	m.w.started(m, run)
	reply(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born})
}

func (m *minion) stop(w http.ResponseWriter, o *order) {
	m.rejectUpTo[o.Task] = max(m.rejectUpTo[o.Task], o.Run)
	if r := m.running[runName(o.Task, o.Run)]; r != nil && !r.stopped {
		r.stopped = true
		m.w.mu.Lock()
		m.w.recordRun("minion %s is told to stop %s run %d", m.id, r.task, r.number)
		m.w.mu.Unlock()
		time.AfterFunc(stopTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if !m.dead && m.running[runName(r.task, r.number)] == r {
				m.end(r, "stopped")
			}
		})
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born})
}

// hold renews the lease, acknowledges ends and returns both lists. The caller has locked mu.
func (m *minion) hold(w http.ResponseWriter, ctx context.Context, o *order) {
	if m.clock() <= m.deadline || len(m.running) == 0 {
		m.extend(o.DeadlineMs)
	}
	for len(m.finished) > 0 && m.finished[0].n <= o.AckedThrough {
		m.w.noted(m, &m.finished[0])
		m.finished = m.finished[1:]
	}
	m.acked = max(m.acked, o.AckedThrough)
	limit := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer limit.Stop()
	for waiting := o.WaitMs > 0; waiting && len(m.finished) == 0 && !m.dead; {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-limit.C:
			waiting = false
		case <-ctx.Done():
			return
		}
		m.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.running {
		percent := 100
		if r.plan.work > 0 {
			percent = min(99, int(100*time.Since(r.begun)/r.plan.work))
		} else if time.Since(r.begun) < 300*time.Millisecond {
			percent = 0
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range m.finished[:min(len(m.finished), maxFinished)] {
		finished = append(finished, []any{e.n, e.task, e.number, e.how, ""})
	}
	clock := m.clock()
	m.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"clockMs": clock, "born": m.born, "running": running, "finished": finished})
}
