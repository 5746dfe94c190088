package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a run of a task on a minion.
type run struct {
	task    string
	number  int64
	spec    map[string]string
	started time.Time
	length  time.Duration
}

// end is the end of a run.
type end struct {
	n      int64
	task   string
	number int64
	how    string
}

// minion is a stand-in of a minion. One process is one life of it. The text of a job tells how its tasks
// behave: "ms=500 cpu=1000 fail" is a task of half a second on one core that fails by its own fault,
// "lasts" one that runs until it is stopped and is at work after half a second.
type minion struct {
	id, service, machine, address, admin string
	born                                 int64
	began                                time.Time
	cpu                                  int64

	mu       sync.Mutex
	token    int64
	deadline int64
	runs     map[string]*run
	// ended is the highest number of a run of each task that was stopped or has ended here.
	ended  map[string]int64
	ends   []end
	lastN  int64
	listed chan struct{}
	beats  int
}

const (
	maxHoldMs   = 10_000
	memoryMb    = 131072
	beatEvery   = 1500 * time.Millisecond
	stopLatency = 20 * time.Millisecond
)

func (m *minion) clock() int64 { return time.Since(m.began).Milliseconds() + 5000 }

// log writes an event for the record of the case.
func (m *minion) log(event string, fields ...any) {
	fmt.Println(time.Now().UnixMilli(), "minion", m.id, m.service, event, strings.TrimSpace(fmt.Sprintln(fields...)))
}

func minionMain(args []string) {
	f := flag.NewFlagSet("minion", flag.ExitOnError)
	m := &minion{began: time.Now(), born: time.Now().UnixMilli(), runs: map[string]*run{}, ended: map[string]int64{}, listed: make(chan struct{})}
	f.StringVar(&m.id, "id", "", "")
	f.StringVar(&m.service, "service", "", "")
	f.StringVar(&m.machine, "machine", "", "")
	f.StringVar(&m.admin, "admin", "", "")
	f.StringVar(&m.address, "address", "127.0.0.1:0", "")
	f.Int64Var(&m.cpu, "cpu", 32000, "")
	_ = f.Parse(args)
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	m.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", m.id) })
	mux.HandleFunc("POST /api/run-start", m.order(m.start))
	mux.HandleFunc("POST /api/run-stop", m.order(m.stop))
	mux.HandleFunc("POST /api/pace", m.order(func(http.ResponseWriter, *http.Request, *orderBody) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /api/hold", m.order(m.hold))
	go func() { _ = http.Serve(l, mux) }() //nolint:gosec // a stand-in
	go m.tick()
	m.log("up", m.address)
	for {
		m.beat()
		time.Sleep(beatEvery)
	}
}

func (m *minion) beat() {
	m.beats++
	body, _ := json.Marshal(map[string]any{
		"id": m.id, "entry": map[string]any{
			"service": m.service, "address": m.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": m.cpu, "memMb": memoryMb, "gpu": 0}, "labels": []string{"a", "r1-1"}, "clockMs": m.clock(),
			"sequence": m.beats, "born": m.born, "machine": m.machine,
		},
	})
	res, err := http.Post(m.admin+"/beat", "application/json", bytes.NewReader(body)) //nolint:gosec,noctx // a stand-in
	if err == nil {
		_ = res.Body.Close()
	}
}

type orderBody struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   *int64 `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckedThrough int64  `json:"ackedThrough"`
	WaitMs       int64  `json:"waitMs"`
}

// order decodes an order and checks the target and the token.
func (m *minion) order(do func(http.ResponseWriter, *http.Request, *orderBody) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if target := r.Header.Get("Target-Instance"); target != "" && target != m.id {
			reply(w, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		var b orderBody
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
			return
		}
		m.mu.Lock()
		if b.FencingToken < m.token {
			body := map[string]any{"clockMs": m.clock(), "reason": "fence", "born": m.born}
			m.mu.Unlock()
			reply(w, http.StatusConflict, body)
			return
		}
		if b.FencingToken > m.token {
			m.log("token", b.FencingToken)
		}
		m.token = b.FencingToken
		m.mu.Unlock()
		status, reason := do(w, r, &b)
		switch {
		case status == 0:
		case reason != "":
			reply(w, status, map[string]any{"clockMs": m.clock(), "reason": reason, "born": m.born})
		default:
			reply(w, status, map[string]any{"clockMs": m.clock(), "born": m.born})
		}
	}
}

// extend extends the lease. The caller holds mu.
func (m *minion) extend(deadline *int64) {
	if deadline != nil {
		m.deadline = max(m.deadline, min(*deadline, m.clock()+maxHoldMs))
	}
}

func key(task string, number int64) string { return task + "#" + strconv.FormatInt(number, 10) }

func (m *minion) start(_ http.ResponseWriter, _ *http.Request, b *orderBody) (int, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[key(b.Task, b.Run)] != nil {
		m.extend(b.DeadlineMs)
		return http.StatusOK, ""
	}
	if b.Run <= m.ended[b.Task] {
		m.extend(b.DeadlineMs)
		return http.StatusConflict, "old"
	}
	if b.DeadlineMs == nil || *b.DeadlineMs <= m.clock() {
		return http.StatusConflict, "late"
	}
	spec := parseSpec(b.Spec)
	used := number(spec, "cpu", 1000)
	for _, r := range m.runs {
		used += number(r.spec, "cpu", 1000)
	}
	m.extend(b.DeadlineMs)
	if used > m.cpu {
		return http.StatusConflict, "room"
	}
	m.runs[key(b.Task, b.Run)] = &run{
		task: b.Task, number: b.Run, spec: spec, started: time.Now(), length: time.Duration(number(spec, "ms", 500)) * time.Millisecond,
	}
	m.log("start", b.Task, b.Run, "token", b.FencingToken)
	return http.StatusOK, ""
}

// parseSpec decodes the text of a job into its words, name=value or name.
func parseSpec(text string) map[string]string {
	spec := map[string]string{}
	for _, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		spec[name] = value
	}
	return spec
}

func number(spec map[string]string, name string, otherwise int64) int64 {
	if n, err := strconv.ParseInt(spec[name], 10, 64); err == nil {
		return n
	}
	return otherwise
}

func (m *minion) stop(_ http.ResponseWriter, _ *http.Request, b *orderBody) (int, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended[b.Task] = max(m.ended[b.Task], b.Run)
	if m.runs[key(b.Task, b.Run)] != nil {
		time.AfterFunc(stopLatency, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.finish(key(b.Task, b.Run), "stopped")
		})
	}
	return http.StatusOK, ""
}

// finish lists the end of a run. The caller holds mu.
func (m *minion) finish(k, how string) {
	r := m.runs[k]
	if r == nil {
		return
	}
	delete(m.runs, k)
	m.lastN++
	m.ended[r.task] = max(m.ended[r.task], r.number)
	m.ends = append(m.ends, end{m.lastN, r.task, r.number, how})
	m.log("end", r.task, r.number, how, "n", m.lastN)
	close(m.listed)
	m.listed = make(chan struct{})
}

// tick ends the runs that are done and those whose lease has expired.
func (m *minion) tick() {
	for range time.Tick(5 * time.Millisecond) {
		m.mu.Lock()
		lapsed := m.clock() > m.deadline
		for k, r := range m.runs {
			_, fails := r.spec["fail"]
			_, lasts := r.spec["lasts"]
			switch done := time.Since(r.started) >= r.length && !lasts; {
			case lapsed:
				m.finish(k, "lapsed")
			case done && fails:
				m.finish(k, "failed")
			case done:
				m.finish(k, "done")
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, b *orderBody) (int, string) {
	m.mu.Lock()
	m.extend(b.DeadlineMs)
	for len(m.ends) > 0 && m.ends[0].n <= b.AckedThrough {
		e := m.ends[0]
		m.ends = m.ends[1:]
		m.log("noted", e.task, e.number, e.how, "n", e.n)
	}
	listed, waits := m.listed, len(m.ends) == 0 && b.WaitMs > 0
	m.mu.Unlock()
	if waits {
		select {
		case <-listed:
		case <-time.After(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return 0, ""
		}
	}
	m.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for _, x := range m.runs {
		percent := min(100, 100*time.Since(x.started).Milliseconds()/max(1, x.length.Milliseconds()))
		running = append(running, []any{x.task, x.number, "", percent, number(x.spec, "cpu", 1000)})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for i := 0; i < len(m.ends) && i < 500; i++ {
		e := m.ends[i]
		finished = append(finished, []any{e.n, e.task, e.number, e.how, ""})
	}
	body := map[string]any{"clockMs": m.clock(), "born": m.born, "running": running, "finished": finished}
	m.mu.Unlock()
	reply(w, http.StatusOK, body)
	return 0, ""
}
