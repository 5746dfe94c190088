package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"
)

// exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

const (
	routeHost   = "desk.example"
	routePrefix = "/jobs/"
	service     = "desk"
)

// world is the platform, the minions and the entries of one case, and the record of what they did.
type world struct {
	begin time.Time
	out   *os.File
	// dir is a temporary folder, root the root of the repository.
	dir, root string

	store   *store
	cloud   *cloud
	entries []*entry

	mu     sync.Mutex
	starts []*ledgerRun
	byRun  map[string]*ledgerRun
	// runLines counts the lines of the record on runs.
	runLines int
}

// maxRunLines bounds the lines of the record on runs. The counts at its end include all runs.
const maxRunLines = 30000

// ledgerRun is a run as a minion has seen it.
type ledgerRun struct {
	task     string
	number   int64
	spec     string
	minion   string
	start    time.Time
	end      time.Time
	how      string
	notedAt  time.Time
	endIndex int64
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	stopAll()
	os.Exit(exitUnable)
}

var (
	startedMu sync.Mutex
	started   []*os.Process
)

// stopAll ends every process that the case has started.
func stopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
	}
}

func newWorld(root, dir string) *world {
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fail(err)
	}
	tmp, err := os.MkdirTemp("", "case")
	if err != nil {
		fail(err)
	}
	w := &world{begin: time.Now(), out: out, dir: tmp, root: root, store: newStore(), byRun: map[string]*ledgerRun{}}
	w.cloud = &cloud{w: w}
	return w
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	stopAll()
	for _, e := range w.entries {
		<-e.exited
	}
	_ = w.out.Close()
	_ = os.RemoveAll(w.dir)
}

// record writes a line of the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked(format, args...)
}

func (w *world) recordLocked(format string, args ...any) {
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// recordRun writes a line on a run. The caller holds mu.
func (w *world) recordRun(format string, args ...any) {
	w.runLines++
	switch {
	case w.runLines < maxRunLines:
		w.recordLocked(format, args...)
	case w.runLines == maxRunLines:
		w.recordLocked("further lines on runs are left out")
	}
}

func ledgerKey(m *minion, r *activeRun) string {
	return m.id + "/" + runName(r.task, r.number)
}

func (w *world) started(m *minion, r *activeRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &ledgerRun{task: r.task, number: r.number, spec: r.spec, minion: m.id, start: r.begun}
	w.starts = append(w.starts, l)
	w.byRun[ledgerKey(m, r)] = l
	w.recordRun("minion %s starts %s run %d", m.id, r.task, r.number)
}

func (w *world) ended(m *minion, r *activeRun, how string, n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.byRun[ledgerKey(m, r)]; l != nil {
		l.end, l.how, l.endIndex = time.Now(), how, n
	}
	w.recordRun("minion %s: %s run %d ended %s (end %d)", m.id, r.task, r.number, how, n)
}

// noted records that an end has been acknowledged.
func (w *world) noted(m *minion, e *endedRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.byRun[m.id+"/"+runName(e.task, e.number)]; l != nil {
		l.notedAt = time.Now()
	}
}

// ledger returns the runs of each task in the order of their starts.
func (w *world) ledger() map[string][]*ledgerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	tasks := map[string][]*ledgerRun{}
	for _, l := range w.starts {
		c := *l
		tasks[l.task] = append(tasks[l.task], &c)
	}
	return tasks
}

// checkTwice returns the breaks of the rule TWICE for tasks that are neither speculative nor last: two
// runs at the same time, or a start after an end `done` that was taken note of then or later. It returns
// at most one break for each start.
func (w *world) checkTwice() (overlaps, repeats []string) {
	tasks := w.ledger()
	names := make([]string, 0, len(tasks))
	for name := range tasks {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		runs := tasks[name]
		for i, later := range runs {
		search:
			for _, earlier := range runs[:i] {
				switch {
				case earlier.end.IsZero() || earlier.end.After(later.start):
					overlaps = append(overlaps, fmt.Sprintf("%s: run %d started on %s at %.3f while run %d was running on %s since %.3f",
						name, later.number, later.minion, w.at(later.start), earlier.number, earlier.minion, w.at(earlier.start)))
					break search
				case earlier.how == "done" && !earlier.notedAt.IsZero():
					repeats = append(repeats, fmt.Sprintf("%s: run %d started on %s at %.3f although run %d had ended done on %s at %.3f; that end was acknowledged at %.3f",
						name, later.number, later.minion, w.at(later.start), earlier.number, earlier.minion, w.at(earlier.end), w.at(earlier.notedAt)))
					break search
				}
			}
		}
	}
	return overlaps, repeats
}

// judgeTwice records the breaks of the rule TWICE, at most maxLines of them, and reports whether there
// are any.
func (w *world) judgeTwice(tasks int) bool {
	const maxLines = 200
	for _, m := range w.cloud.machines {
		m.mu.Lock()
		most := m.mostFinished
		m.mu.Unlock()
		w.record("minion %s had up to %d ends to report", m.id, most)
	}
	overlaps, repeats := w.checkTwice()
	for i, line := range append(overlaps, repeats...) {
		if i == maxLines {
			w.record("TWICE: and so on")
			break
		}
		w.record("TWICE: %s", line)
	}
	w.record("%d tasks, %d starts; %d starts while another run was there, %d starts after an acknowledged end done",
		tasks, w.count(func(*ledgerRun) bool { return true }), len(overlaps), len(repeats))
	return len(overlaps)+len(repeats) > 0
}

func (w *world) at(t time.Time) float64 { return t.Sub(w.begin).Seconds() }

// count returns how many runs satisfy a condition.
func (w *world) count(is func(*ledgerRun) bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, l := range w.starts {
		if is(l) {
			n++
		}
	}
	return n
}

// serve serves a stand-in on a free loopback port and returns its address.
func (w *world) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// route is a queue of the configuration.
type route struct {
	Name             string  `json:"name"`
	Host             string  `json:"host"`
	PathPrefix       string  `json:"pathPrefix"`
	Kind             string  `json:"kind"`
	TimeoutMs        int     `json:"timeoutMs"`
	TargetDurationMs int     `json:"targetDurationMs"`
	Priority         int     `json:"priority"`
	Service          string  `json:"service"`
	MaxAttempts      int     `json:"maxAttempts"`
	Stretch          float64 `json:"stretch"`
}

func deskRoute() route {
	return route{Name: "r-desk", Host: routeHost, PathPrefix: routePrefix, Kind: "unsafe", TimeoutMs: 3000, TargetDurationMs: 600, Service: service, MaxAttempts: 3, Stretch: 1.6}
}

// configure writes a version of the configuration, as the operator does.
func (w *world) configure(version int, routes ...route) {
	w.store.put("op", "", "config", map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"maxBodyBytes": 262144},
		"services": []map[string]any{{"name": service, "enforcesCapacity": true, "spare": false}},
	})
	names := []string{}
	for _, r := range routes {
		names = append(names, r.PathPrefix)
	}
	w.record("operator: configuration %d with the routes %v is acknowledged", version, names)
}

// entry is a process of the system under test.
type entry struct {
	w              *world
	name, settings string
	front, ready   string
	process        *os.Process
	exited         chan struct{}
}

// freePorts returns the first of n free loopback ports that follow each other. They are below the
// ports that the system chooses for other connections.
func freePorts(n int) int {
	const lowest, highest = 10000, 30000
	for range 200 {
		base := lowest + rand.IntN(highest-lowest)
		free := true
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return base
		}
	}
	fail(errors.New("no free ports"))
	return 0
}

// startEntries starts n entries with the command of the deploy file.
func (w *world) startEntries(n int) {
	storeAddress, cloudAddress := w.serve(w.store), w.serve(w.cloud)
	base := freePorts(4 * n)
	for i := range n {
		name := fmt.Sprintf("front-z1-%d", i+1)
		port := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", base+4*i+k) }
		settings := map[string]any{
			"nodeName": name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": "127.0.0.1", "zone": "z1", "region": "r1",
			"zones": map[string]string{"z1": "r1"}, "listen": map[string]string{"front": port(0), "ready": port(1)},
			"internalPorts": []int{base + 4*i + 2, base + 4*i + 3}, "seeds": []string{}, "bootstrap": true, "inTolerance": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
			"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
			"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
				"configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "recoveryS": 12, "maxHoldMs": 10000, "stopTimeoutMs": 400,
				"gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remoteFactor": 3,
				"checkpointIntervalS": 2, "restoreMs": 100, "noticeMs": 4500, "moveS": 1.5, "maintenanceS": 2, "requireFencing": false, "leaseMs": 3000,
				"thawSlackMs": 300, "paceMs": 100, "harmMs": 4000,
			},
			"orders": "call", "advice": cloudAddress,
			"platform": map[string]any{
				"address": storeAddress, "form": "table", "writesPerS": 800, "readsPerS": 2000, "txMs": 4.0, "appendsPerS": 250, "rowBytes": maxRowBytes,
				"across": true, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "transferPerS": 80.0,
			},
			"cloud": map[string]any{"address": cloudAddress, "ratePerS": 64.0, "duties": []string{}, "dutyPerS": 64.0},
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			fail(err)
		}
		e := &entry{w: w, name: name, settings: filepath.Join(w.dir, name+".json"), front: port(0), ready: port(1)}
		if err := os.WriteFile(e.settings, data, 0o600); err != nil {
			fail(err)
		}
		w.entries = append(w.entries, e)
		e.run()
	}
	for _, e := range w.entries {
		e.awaitReady()
	}
}

// run starts the process of an entry.
func (e *entry) run() {
	// The command of the deploy file, in the root of the repository.
	cmd := exec.Command(filepath.Join(e.w.root, "target", "quetzalstair"), "run")
	cmd.Dir = e.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "QUETZALSTAIR_SETTINGS=" + e.settings}
	if os.Getenv("CASE_LOG") != "" {
		log, err := os.OpenFile(filepath.Join(os.Getenv("CASE_LOG"), e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			fail(err)
		}
		cmd.Stdout, cmd.Stderr = log, log
	}
	if err := cmd.Start(); err != nil {
		fail(err)
	}
	startedMu.Lock()
	started = append(started, cmd.Process)
	startedMu.Unlock()
	e.process, e.exited = cmd.Process, make(chan struct{})
	exited := e.exited
	go func() {
		_ = cmd.Wait()
		e.w.record("entry %s has ended", e.name)
		close(exited)
	}()
	e.w.record("entry %s is started", e.name)
}

// restart ends an entry with a signal, waits for its end and starts it again.
func (e *entry) restart(sig syscall.Signal) {
	e.w.record("entry %s gets the signal %v", e.name, sig)
	_ = e.process.Signal(sig)
	<-e.exited
	e.run()
}

func (e *entry) awaitReady() {
	for range 200 {
		if res, err := http.Get("http://" + e.ready + "/api/ready"); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fail(fmt.Errorf("entry %s is not ready", e.name))
}

// call makes a client's call to an entry. The status is 0 without an answer.
func (w *world) call(e *entry, method, path string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			fail(err)
		}
	}
	req, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(data))
	if err != nil {
		fail(err)
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	var answer map[string]any
	_ = json.NewDecoder(res.Body).Decode(&answer)
	return res.StatusCode, answer
}

// submit hands in a job, again until it is accepted.
func (w *world) submit(id string, job map[string]any) {
	for try := range 20 {
		status, _ := w.call(w.entries[try%len(w.entries)], http.MethodPost, routePrefix+id, job)
		w.record("client: POST %s at %s: %d", id, w.entries[try%len(w.entries)].name, status)
		if status/100 == 2 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	fail(fmt.Errorf("job %s was not accepted", id))
}

// state asks an entry for the state of a job. It is empty without a state.
func (w *world) state(e *entry, id string) (int, string) {
	status, answer := w.call(e, http.MethodGet, routePrefix+id, nil)
	state, _ := answer["state"].(string)
	return status, state
}

// awaitState asks for a job's state until it is one of the given ones, and returns the last one seen.
func (w *world) awaitState(id string, limit time.Duration, wanted ...string) string {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		status, state := w.state(w.entries[0], id)
		if state != last {
			w.record("client: GET %s at %s: %d %s", id, w.entries[0].name, status, state)
			last = state
		}
		for _, s := range wanted {
			if state == s {
				return state
			}
		}
	}
	return last
}

// cloud is a stand-in of the platform's interface to machines.
type cloud struct {
	w  *world
	mu sync.Mutex
	// machines has the minion of each machine.
	machines []*minion
	// silent makes the interface accept calls and answer none of them.
	silent bool
	// upkeep is called when an upkeep of a machine is ordered.
	upkeep func(machine string, wave int) (int, map[string]any)
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/api/machines":
		c.mu.Lock()
		list := []map[string]any{}
		for _, m := range c.machines {
			m.mu.Lock()
			state := "up"
			if m.dead {
				state = "down"
			}
			m.mu.Unlock()
			list = append(list, map[string]any{
				"machine": m.machine, "pool": m.service, "state": state, "zone": "z1", "labels": []string{"a", m.rack}, "capacity": m.capacity, "id": m.id,
			})
		}
		c.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"machines": list, "nextPageToken": nil})
	default:
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
	}
}

// add lists a machine, in place of its earlier minion.
func (c *cloud) add(m *minion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, old := range c.machines {
		if old.machine == m.machine {
			c.machines[i] = m
			return
		}
	}
	c.machines = append(c.machines, m)
}
