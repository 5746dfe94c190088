package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	// memoryMbOfEntry is the limit of the memory of an entry, restartDelay the time after which one that has ended starts again.
	memoryMbOfEntry = 284
	restartDelay    = 500 * time.Millisecond
	// beatsMissed is the silence after which the store drops the entry of a minion.
	beatsMissed = 3 * beatEvery
)

// event is a line of the record.
type event struct {
	at   int64
	text string
}

// host is a machine of the pools.
type host struct {
	name, pool, state, minion, wave string
}

// proc is a process that the case has started.
type proc struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *proc) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits for it.
func (p *proc) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// entry is an entry of the system.
type entry struct {
	name, front, ready, settings string
	proc                         *proc
}

// lifeOfMinion is a process of a minion.
type lifeOfMinion struct {
	id, service, machine, address string
	proc                          *proc
}

// world runs the stand-ins of the platform, the minions and the entries of one case.
type world struct {
	root, folder string
	record       *os.File
	began        time.Time
	// trouble is false if the case is to run without its disruption.
	trouble bool

	store      *store
	storeURL   string
	adminURL   string
	cloudURL   string
	client     *http.Client
	entries    []*entry
	config     map[string]any
	version    int
	mu         sync.Mutex
	events     []event
	hosts      map[string]*host
	minions    map[string]*lifeOfMinion
	lastBeat   map[string]time.Time
	procs      []*proc
	nextMinion int
	closed     bool
}

// errUnusable means that the case could not run.
var errUnusable = errors.New("the case could not run")

func newWorld(caseFolder string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{
		root: root, folder: folder, record: record, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: newStore(),
		client: &http.Client{Timeout: 4 * time.Second}, hosts: map[string]*host{}, minions: map[string]*lifeOfMinion{}, lastBeat: map[string]time.Time{},
	}
	serve := func(h http.Handler) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		go func() { _ = http.Serve(l, h) }() //nolint:gosec // a stand-in
		return l.Addr().String()
	}
	w.storeURL, w.cloudURL = serve(w.store.handler()), serve(w.cloud())
	w.adminURL = "http://" + serve(w.admin())
	go w.expire()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(115 * time.Second):
		}
		w.note("case", "ended early")
		w.close()
		os.Exit(2)
	}()
	return w, nil
}

// close ends all processes and writes the record in the order of time.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	sort.SliceStable(w.events, func(i, j int) bool { return w.events[i].at < w.events[j].at })
	for _, e := range w.events {
		_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", float64(e.at-w.began.UnixMilli())/1000, e.text)
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

// note adds a line to the record.
func (w *world) note(fields ...any) {
	w.add(time.Now().UnixMilli(), strings.TrimSpace(fmt.Sprintln(fields...)))
}

func (w *world) add(at int64, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event{at, text})
}

// lines returns the events so far that have all the words.
// A job's id stands for all of its tasks.
func (w *world) lines(words ...string) []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []event
next:
	for _, e := range w.events {
		for _, word := range words {
			if !strings.Contains(" "+e.text+" ", " "+word+" ") && !strings.Contains(e.text, " "+word+".") {
				continue next
			}
		}
		found = append(found, e)
	}
	return found
}

// await waits until there are n events with all the words.
func (w *world) await(limit time.Duration, n int, words ...string) ([]event, bool) {
	for end := time.Now().Add(limit); ; {
		if found := w.lines(words...); len(found) >= n {
			return found, true
		}
		if time.Now().After(end) {
			return nil, false
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// spawn starts a process. Each line of its standard output is given to line.
func (w *world) spawn(cmd *exec.Cmd, line func(string)) (*proc, error) {
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &proc{cmd: cmd, done: make(chan struct{})}
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			line(s.Text())
		}
		_ = cmd.Wait()
		close(p.done)
	}()
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return p, nil
}

// The entries get ports below those that the system gives to connections, so that none takes one before its entry listens.
const (
	lowestPort = 20000
	portRange  = 11000
)

// freePorts returns the first of n free ports in a row.
func freePorts(n int) int {
	for {
		first := lowestPort + rand.IntN(portRange)
		free := 0
		for ; free < n; free++ {
			l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(first+free))
			if err != nil {
				break
			}
			_ = l.Close()
		}
		if free == n {
			return first
		}
	}
}

// addEntries writes the settings of n entries, in three zones, and starts them.
func (w *world) addEntries(n int) error {
	for i := range n {
		ports := freePorts(6)
		address := func(k int) string { return "127.0.0.1:" + strconv.Itoa(ports+k) }
		e := &entry{name: "front-" + strconv.Itoa(i+1), front: address(0), ready: address(1), settings: filepath.Join(w.folder, "entry-"+strconv.Itoa(i+1)+".json")}
		zone := "zone-" + string(rune('a'+i%3))
		settings := map[string]any{
			"nodeName": e.name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": "127.0.0.1", "zone": zone, "region": "region",
			"zones":  map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"},
			"listen": map[string]string{"front": e.front, "ready": e.ready}, "internalPorts": []int{ports + 2, ports + 5}, "seeds": []string{}, "bootstrap": true,
			"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMbOfEntry, "maxFds": 4100, "linkMbps": 1000, "diskMb": 0}, "dataDir": nil,
			"discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
			"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
			"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
				"configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "recoveryS": 12, "maxHoldMs": maxHoldMs, "stopTimeoutMs": 400, "gangTimeoutMs": 3000,
				"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remoteFactor": 3, "checkpointIntervalS": 2, "restoreMs": 100,
				"noticeMs": 4500, "moveS": 1.5, "maintenanceS": 2, "requireFencing": false, "leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000,
			},
			"orders": "call", "advice": "127.0.0.1:9",
			"platform": map[string]any{
				"address": w.storeURL, "form": "table", "writesPerS": 800, "readsPerS": 2000, "txMs": 4, "appendsPerS": 250, "rowBytes": 65536, "across": true,
				"historyS": 20, "blobBytes": 8388608, "blobMs": 25, "transferPerS": 80,
			},
			"cloud": map[string]any{"address": w.cloudURL, "ratePerS": 64, "duties": []string{}, "dutyPerS": 64},
		}
		body, _ := json.Marshal(settings)
		if err := os.WriteFile(e.settings, body, 0o600); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		if err := w.startEntry(e); err != nil {
			return err
		}
		select {
		case <-e.proc.done:
			return fmt.Errorf("%w: %s has ended", errUnusable, e.name)
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// startEntry starts an entry with the command of the deploy file.
func (w *world) startEntry(e *entry) error {
	cmd := exec.Command("target/quetzalstair", "run") //nolint:gosec // the command of the deploy file
	cmd.Dir = w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "QUETZALSTAIR_SETTINGS=" + e.settings}
	log, err := os.OpenFile(filepath.Join(w.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stderr = log
	p, err := w.spawn(cmd, func(line string) { _, _ = fmt.Fprintln(log, line) })
	if err != nil {
		return fmt.Errorf("%w: %w", errUnusable, err)
	}
	e.proc = p
	w.note("case", e.name, "started")
	return nil
}

// killEntry kills an entry.
func (w *world) killEntry(e *entry) {
	w.note("case", e.name, "killed")
	e.proc.kill()
}

// enforceMemory kills entries whose memory exceeds their limit, as the platform does, and starts them again.
func (w *world) enforceMemory(stop chan struct{}) {
	most := map[string]int{}
	for {
		for _, e := range w.entries {
			mib := residentMiB(e.proc.cmd.Process.Pid)
			most[e.name] = max(most[e.name], mib)
			if mib <= memoryMbOfEntry {
				continue
			}
			w.note("case", e.name, "has", mib, "MiB, more than its limit of", memoryMbOfEntry)
			w.killEntry(e)
			time.Sleep(restartDelay)
			if w.startEntry(e) != nil {
				return
			}
		}
		select {
		case <-stop:
			for _, e := range w.entries {
				w.note("case", e.name, "had at most", most[e.name], "MiB")
			}
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// residentMiB returns the memory of a process, 0 if it has ended.
func residentMiB(pid int) int {
	status, _ := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	for line := range strings.SplitSeq(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib / 1024
		}
	}
	return 0
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range w.entries {
			if res, err := w.client.Get("http://" + e.ready + "/api/ready"); err == nil { //nolint:noctx // a stand-in
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.entries) {
			w.note("case", "all entries are ready")
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: the entries are not ready", errUnusable)
		}
	}
}

// route is a route of the configuration.
func route(name, prefix, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "desk.example", "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetDurationMs": 600, "priority": 0, "service": service,
		"maxAttempts": 4, "stretch": 1.6,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// configure writes a configuration. The answer of the store is its acknowledgement.
func (w *world) configure(services []string, routes ...map[string]any) {
	w.version += 2
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "enforcesCapacity": true, "healthPath": "/health", "spare": false})
	}
	w.store.put("op", "config", map[string]any{"version": w.version, "routes": routes, "services": list, "limits": map[string]any{"maxBodyBytes": 262144}})
	text, _ := json.Marshal(routes)
	w.note("operator config", w.version, "acknowledged:", string(text))
}

// addMinions starts n minions of a service, each on a machine of its own.
func (w *world) addMinions(service string, n int, cpu int64) error {
	for range n {
		w.mu.Lock()
		w.nextMinion++
		k := w.nextMinion
		h := &host{name: fmt.Sprintf("m-%05d", k), pool: service, state: "up", minion: fmt.Sprintf("i-%010d", k)}
		w.hosts[h.name] = h
		w.mu.Unlock()
		if _, err := w.startMinion(h.minion, service, h.name, "127.0.0.1:0", cpu); err != nil {
			return err
		}
	}
	return nil
}

// startMinion starts a life of a minion.
func (w *world) startMinion(id, service, machine, address string, cpu int64) (*lifeOfMinion, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	m := &lifeOfMinion{id: id, service: service, machine: machine}
	cmd := exec.Command(self, "minion", "-id", id, "-service", service, "-machine", machine, "-admin", w.adminURL, "-address", address, "-cpu", strconv.FormatInt(cpu, 10)) //nolint:gosec // this program
	cmd.Stderr = os.Stderr
	m.proc, err = w.spawn(cmd, func(line string) {
		stamp, text, _ := strings.Cut(line, " ")
		at, _ := strconv.ParseInt(stamp, 10, 64)
		w.add(at, text)
		if fields := strings.Fields(text); len(fields) == 5 && fields[3] == "up" {
			w.mu.Lock()
			m.address = fields[4]
			w.mu.Unlock()
		}
	})
	w.mu.Lock()
	w.minions[id] = m
	w.mu.Unlock()
	return m, err
}

// crashMinion kills a minion. It sends nothing more.
func (w *world) crashMinion(id string) *lifeOfMinion {
	w.mu.Lock()
	m := w.minions[id]
	w.mu.Unlock()
	m.proc.kill()
	w.note("case minion", id, "killed")
	w.setState(m.machine, "up", "down")
	return m
}

// setState changes the state of a machine from one to another.
func (w *world) setState(machine, from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := w.hosts[machine]; h != nil && h.state == from {
		h.state = to
	}
}

// restartMinion starts a minion again under its id and address.
func (w *world) restartMinion(m *lifeOfMinion) error {
	w.setState(m.machine, "down", "up")
	_, err := w.startMinion(m.id, m.service, m.machine, m.address, coresOfMinion)
	return err
}

// admin takes the reports of the minions about themselves.
func (w *world) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /beat", func(_ http.ResponseWriter, r *http.Request) {
		var b struct {
			ID    string         `json:"id"`
			Entry map[string]any `json:"entry"`
		}
		if json.NewDecoder(r.Body).Decode(&b) != nil {
			return
		}
		w.mu.Lock()
		w.lastBeat[b.ID] = time.Now()
		w.mu.Unlock()
		w.store.put("servers", b.ID, b.Entry)
	})
	return mux
}

// expire drops the entries of minions that are silent.
func (w *world) expire() {
	for range time.Tick(100 * time.Millisecond) {
		var silent []string
		w.mu.Lock()
		for id, at := range w.lastBeat {
			if time.Since(at) > beatsMissed {
				silent = append(silent, id)
				delete(w.lastBeat, id)
			}
		}
		w.mu.Unlock()
		for _, id := range silent {
			w.store.drop("servers", id)
		}
	}
}

// cloud is the service that takes orders to machines.
func (w *world) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		list := []map[string]any{}
		for _, h := range w.hosts {
			list = append(list, map[string]any{
				"machine": h.name, "pool": h.pool, "state": h.state, "zone": "zone-a", "labels": []string{"a", "r1-1"},
				"capacity": map[string]any{"cpu": 32000, "memMb": memoryMb, "gpu": 0}, "id": h.minion,
			})
		}
		w.mu.Unlock()
		sort.Slice(list, func(i, j int) bool { return list[i]["machine"].(string) < list[j]["machine"].(string) })
		reply(rw, http.StatusOK, map[string]any{"machines": list, "nextPageToken": nil})
	})
	order := func(upkeep bool) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			var b struct {
				Machine, Pool string
				Wave          int
			}
			if json.NewDecoder(r.Body).Decode(&b) != nil {
				reply(rw, http.StatusBadRequest, map[string]string{})
				return
			}
			w.note("cloud order for", b.Machine, "pool", b.Pool, "wave", b.Wave, "holder", r.Header.Get("Lease-Holder"), "token", r.Header.Get("Fencing-Token"))
			status, reason := w.orderHost(b.Machine, b.Pool, strconv.Itoa(b.Wave), upkeep)
			reply(rw, status, map[string]string{"reason": reason})
		}
	}
	mux.HandleFunc("POST /api/machine-move", order(false))
	mux.HandleFunc("POST /api/machine-upkeep", order(true))
	return mux
}

func (w *world) orderHost(name, pool, wave string, upkeep bool) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[name]
	switch {
	case h == nil:
		return http.StatusBadRequest, ""
	case upkeep && h.wave == wave || !upkeep && h.pool == pool && h.state == "up":
		return http.StatusOK, "" // it is done already
	case h.state != "up":
		return http.StatusConflict, "busy"
	}
	takes := moveTime
	h.state = "moving"
	if upkeep {
		h.state, h.wave, takes = "upkeep", wave, maintenanceTime
		pool = h.pool
	}
	id := h.minion
	h.pool, h.minion = pool, ""
	go func() {
		w.crashMinion(id)
		w.store.drop("servers", id)
		time.Sleep(takes)
		w.mu.Lock()
		w.nextMinion++
		next := fmt.Sprintf("i-%010d", w.nextMinion)
		w.mu.Unlock()
		if _, err := w.startMinion(next, pool, name, "127.0.0.1:0", 32000); err != nil {
			return
		}
		w.mu.Lock()
		h.state, h.minion = "up", next
		w.mu.Unlock()
	}()
	return http.StatusOK, ""
}

// maxShown is the length of the part of a body that the record shows.
const maxShown = 300

// call makes a request of a client to an entry and returns the status, 0 without an answer, and the body.
func (w *world) call(e *entry, method, path, body string) (int, string) {
	shown := body
	if len(shown) > maxShown {
		shown = shown[:maxShown] + "..."
	}
	req, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader([]byte(body))) //nolint:noctx // the client has a timeout
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "desk.example"
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	res, err := w.client.Do(req)
	if err != nil {
		w.note("client", method, path, shown, "at", e.name, "no answer")
		return 0, ""
	}
	defer res.Body.Close() //nolint:errcheck // read below
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		w.note("client", method, path, shown, "at", e.name, "no complete answer")
		return 0, ""
	}
	w.note("client", method, path, shown, "at", e.name, "answered", res.StatusCode, strings.TrimSpace(string(answer)))
	return res.StatusCode, strings.TrimSpace(string(answer))
}

// submit hands a job in, at one entry after the other until it is accepted.
func (w *world) submit(path, body string) error {
	for i := range 20 {
		if status, _ := w.call(w.entries[i%len(w.entries)], http.MethodPost, path, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: no entry has accepted the job", errUnusable)
}

// job returns the body of a job with a single step.
func job(spec string, step map[string]any) string {
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": []map[string]any{step}})
	return string(body)
}
