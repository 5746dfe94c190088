package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalupstream"
	"quetzalstair/quetzalcore/quetzalwire"
)

// HeaderRunMs is the request header that sets the simulated run time, in milliseconds. It may
// have a fraction; without it the work completes at once.
const HeaderRunMs = "Standin-Run-Ms"

type minionsCommand struct {
	Prefix    string `required:"" help:"Beginning of the hosts' names, such as a-host."`
	Count     int    `default:"6" help:"Number of minions."`
	IP        string `default:"127.0.0.1" help:"IP address to listen on."`
	FirstPort int    `required:"" help:"Port of the first minion; the others follow."`
	AdminPort int    `required:"" help:"Port of the admin interface of all minions."`
	Platform  string `help:"URL of the platform's admin interface, where the minions are registered."`
	Log       bool   `default:"true" negatable:"" help:"Keep a log of every run."`
}

// Run starts the minions, registers them with the platform and serves until a signal.
func (c *minionsCommand) Run() error {
	g := &minionGroup{recordRuns: c.Log}
	handlers := make(map[string]http.Handler)
	adminAddress := fmt.Sprintf("%s:%d", c.IP, c.AdminPort)
	for i := range c.Count {
		m := &minion{host: fmt.Sprintf("%s%d", c.Prefix, i+1), group: g}
		m.restart()
		g.minions = append(g.minions, m)
		handlers[fmt.Sprintf("%s:%d", c.IP, c.FirstPort+i)] = m
	}
	handlers[adminAddress] = g.adminHandler()
	if c.Platform != "" {
		for _, m := range g.minions {
			if err := registerHost(c.Platform, m.host, "http://"+adminAddress+"/minions/"+m.host); err != nil {
				return err
			}
		}
	}
	return serveUntilSignal(handlers)
}

// registerHost adds a live host to the platform's list. The platform reboots it through adminURL.
func registerHost(platform, host, adminURL string) error {
	body, err := json.Marshal(quetzalwire.HostRegistration{
		Host: host, AdminURL: adminURL, State: quetzalwire.HostRegistrationStateLive,
	})
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, platform+"/hosts", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "register host")
	}
	return eris.Wrap(res.Body.Close(), "register host")
}

// minionGroup holds the minions of one process and their shared record of runs.
type minionGroup struct {
	minions    []*minion
	recordRuns bool
	mu         sync.Mutex
	runs       []quetzalwire.RunRecord
}

func (g *minionGroup) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log", func(w http.ResponseWriter, _ *http.Request) {
		g.mu.Lock()
		defer g.mu.Unlock()
		writeJSON(w, quetzalwire.RunLog{Runs: g.runs})
	})
	mux.HandleFunc("PUT /minions/{Host}/faults", g.forMinion(func(m *minion, w http.ResponseWriter, r *http.Request) {
		var faults quetzalwire.MinionFaults
		if readJSON(w, r, &faults) {
			m.setFaults(faults)
			writeJSON(w, faults)
		}
	}))
	mux.HandleFunc("POST /minions/{Host}/reboot", g.forMinion(func(m *minion, w http.ResponseWriter, _ *http.Request) {
		m.restart()
		writeJSON(w, m.host)
	}))
	return mux
}

// forMinion wraps a handler of one minion, which it looks up by the host in the path.
func (g *minionGroup) forMinion(handle func(*minion, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, m := range g.minions {
			if m.host == r.PathValue("Host") {
				handle(m, w, r)
				return
			}
		}
		http.Error(w, "unknown host", http.StatusNotFound)
	}
}

// beginRun records the start of a run and returns a function that records its end.
func (g *minionGroup) beginRun(record quetzalwire.RunRecord) func(completed bool) {
	if !g.recordRuns {
		return func(bool) {}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	i := len(g.runs)
	record.StartMs = int(time.Now().UnixMilli())
	g.runs = append(g.runs, record)
	return func(completed bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.runs[i].EndMs = int(time.Now().UnixMilli())
		g.runs[i].Completed = completed
	}
}

// minion simulates a minion, which runs one request in each of its slots.
type minion struct {
	host  string
	group *minionGroup
	mu    sync.Mutex
	// occupied is the number of occupied slots, at most quetzalunit.SlotsPerMinion.
	occupied quetzalunit.Slots
	faults   quetzalwire.MinionFaults
	// rebooted is closed when the minion reboots, which aborts all runs. Each boot has its own.
	rebooted chan struct{}
}

func (m *minion) setFaults(faults quetzalwire.MinionFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
}

// restart aborts all runs and clears the faults. It also initializes a new minion.
func (m *minion) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rebooted != nil {
		close(m.rebooted)
	}
	m.rebooted = make(chan struct{})
	m.faults = quetzalwire.MinionFaults{}
}

// ServeHTTP runs the work of a request and echoes its body. A request that gets no slot is
// answered 503 with the outcome header that states that the work did not run. A run that is
// aborted breaks the connection, so that the caller cannot tell whether the work ran. A minion
// with the fault BlackHole answers 500 at once and runs nothing.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != quetzalupstream.RunPath {
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rebooted, faults, reason := m.occupySlot()
	switch {
	case reason != "":
		w.Header().Set(quetzalupstream.HeaderOutcome, quetzalupstream.OutcomeNotRun)
		w.Header().Set(quetzalupstream.HeaderReason, reason)
		http.Error(w, "not run: "+reason, http.StatusServiceUnavailable)
		return
	case faults.BlackHole:
		m.freeSlot()
		http.Error(w, "black hole", http.StatusInternalServerError)
		return
	}
	defer m.freeSlot()
	generation, _ := strconv.Atoi(r.Header.Get(quetzalupstream.HeaderPoolGeneration))
	endRun := m.group.beginRun(quetzalwire.RunRecord{
		Request: r.Header.Get(quetzalupstream.HeaderRequestID), Host: m.host,
		Pool: r.Header.Get(quetzalupstream.HeaderPool), Generation: generation,
	})
	completed := simulateRun(r, faults, rebooted)
	endRun(completed)
	if !completed {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Minion", m.host)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// occupySlot occupies a slot, or returns the reason why the minion refuses the work.
func (m *minion) occupySlot() (rebooted <-chan struct{}, faults quetzalwire.MinionFaults, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.faults.Leaving:
		reason = quetzalupstream.ReasonLeaving
	case m.occupied >= quetzalunit.SlotsPerMinion:
		reason = "Full"
	default:
		m.occupied++
	}
	return m.rebooted, m.faults, reason
}

func (m *minion) freeSlot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.occupied--
}

// simulateRun waits for the run time that the request asks for. It returns false if a reboot or
// the end of the connection aborts the run; a hanging run ends in no other way.
func simulateRun(r *http.Request, faults quetzalwire.MinionFaults, rebooted <-chan struct{}) bool {
	if faults.Hang {
		select {
		case <-r.Context().Done():
		case <-rebooted:
		}
		return false
	}
	ms, _ := strconv.ParseFloat(r.Header.Get(HeaderRunMs), 64)
	if faults.RunTimePercent > 0 {
		ms *= float64(faults.RunTimePercent) / 100
	}
	if ms <= 0 {
		return true
	}
	timer := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
	case <-rebooted:
	}
	return false
}
