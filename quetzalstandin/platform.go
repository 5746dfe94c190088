package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"quetzalstair/quetzalcore/quetzalmemory"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

// maxRequest bounds the size of a request, in bytes.
const maxRequest = 64 << 20

type platformCommand struct {
	Address  string        `required:"" help:"IP:port of the platform's service."`
	Admin    string        `required:"" help:"IP:port of the admin interface."`
	Hosts    int           `help:"Number of hosts to list as live from the start: host0, host1 and so on."`
	RebootIn time.Duration `default:"300ms" help:"Time that a host takes to reboot."`
}

// Run serves until a signal.
func (c *platformCommand) Run() error {
	p := &platform{rebootIn: c.RebootIn}
	for n := range c.Hosts {
		p.hosts = append(p.hosts, platformHost{listed: quetzalwire.ListedHost{
			Host: fmt.Sprint("host", n), State: quetzalwire.ListedHostStateLive, Boot: 1,
		}})
	}
	return serveUntilSignal(map[string]http.Handler{c.Address: p.service(), c.Admin: p.admin()})
}

// platform is the stand-in of the platform.
type platform struct {
	tables   quetzalmemory.Tables
	rebootIn time.Duration

	mu     sync.Mutex
	faults quetzalwire.Faults
	hosts  []platformHost
	// objects is the object store.
	objects map[string][]byte
	// shown is the list of hosts as callers see it, from shownAt on.
	shown   []quetzalwire.ListedHost
	shownAt time.Time
}

// platformHost is a host with the address that reboots it.
type platformHost struct {
	listed   quetzalwire.ListedHost
	adminURL string
}

func (p *platform) service() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /transactions", p.transaction)
	mux.HandleFunc("POST /reads", p.read)
	mux.HandleFunc("GET /rows", p.scan)
	mux.HandleFunc("GET /hosts", p.list)
	mux.HandleFunc("PUT /objects/{Key}", p.putObject)
	mux.HandleFunc("GET /objects/{Key}", p.getObject)
	mux.HandleFunc("POST /hosts/{Host}/reboot", p.reboot)
	return p.withFaults(mux)
}

func (p *platform) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", p.putFaults)
	mux.HandleFunc("PUT /hosts", p.putHost)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		l := p.tables.Load()
		writeJSON(w, quetzalwire.PlatformLoad{Commits: int(l.Commits), Writes: int(l.Writes), Reads: int(l.Reads)})
	})
	mux.HandleFunc("GET /snapshot", p.snapshot)
	return mux
}

// withFaults simulates outages, slowness and answers lost after the write.
func (p *platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		lose := f.LoseAnswers > 0 && r.URL.Path == "/transactions"
		if lose {
			p.faults.LoseAnswers--
		}
		p.mu.Unlock()
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		if f.Outage {
			panic(http.ErrAbortHandler)
		}
		if lose {
			next.ServeHTTP(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discard is a response that nobody receives.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}

func (p *platform) transaction(w http.ResponseWriter, r *http.Request) {
	var req quetzalwire.TransactionRequest
	if !readJSON(w, r, &req) {
		return
	}
	conditions := make([]quetzalmemory.Condition, 0, len(req.Conditions))
	for _, c := range req.Conditions {
		conditions = append(conditions, quetzalmemory.Condition{
			RowID: quetzalmemory.RowID{Table: c.Table, Key: c.Key}, Revision: quetzalunit.Revision(c.Revision),
		})
	}
	writes := make([]quetzalmemory.Write, 0, len(req.Writes))
	for _, v := range req.Writes {
		writes = append(writes, quetzalmemory.Write{
			RowID: quetzalmemory.RowID{Table: v.Table, Key: v.Key}, Value: v.Value, Delete: v.Delete,
		})
	}
	rev, conflicts := p.tables.Commit(conditions, writes)
	writeJSON(w, quetzalwire.TransactionReply{
		Committed: len(conflicts) == 0, Revision: int(rev), Conflicts: rowDocs(conflicts),
	})
}

func rowDocs(rows []quetzalmemory.Row) []quetzalwire.Row {
	docs := make([]quetzalwire.Row, 0, len(rows))
	for _, row := range rows {
		docs = append(docs, quetzalwire.Row{
			Table: row.Table, Key: row.Key, Value: row.Value, Revision: int(row.Revision),
		})
	}
	return docs
}

func (p *platform) read(w http.ResponseWriter, r *http.Request) {
	var req quetzalwire.ReadRequest
	if !readJSON(w, r, &req) {
		return
	}
	ids := make([]quetzalmemory.RowID, 0, len(req.Rows))
	for _, v := range req.Rows {
		ids = append(ids, quetzalmemory.RowID{Table: v.Table, Key: v.Key})
	}
	rows, rev := p.tables.Read(ids)
	writeJSON(w, quetzalwire.ScanReply{Revision: int(rev), Rows: rowDocs(rows)})
}

func (p *platform) scan(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("After"), 10, 64)
	if err != nil {
		http.Error(w, "After: "+err.Error(), http.StatusBadRequest)
		return
	}
	limit := 0
	if text := r.URL.Query().Get("Limit"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil {
			http.Error(w, "Limit: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	rows, rev := p.tables.Scan(r.URL.Query()["Table"], quetzalunit.Revision(after), limit)
	writeJSON(w, quetzalwire.ScanReply{Revision: int(rev), Rows: rowDocs(rows)})
}

// list shows the hosts as they were before the list's lag.
func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.shownAt) >= time.Duration(p.faults.ListLagMs)*time.Millisecond {
		p.shown = make([]quetzalwire.ListedHost, 0, len(p.hosts))
		for _, h := range p.hosts {
			p.shown = append(p.shown, h.listed)
		}
		p.shownAt = time.Now()
	}
	text, err := json.Marshal(quetzalwire.HostList{Hosts: p.shown})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf(`"%x"`, sha256.Sum256(text))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(text)
}

func (p *platform) putObject(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.objects == nil {
		p.objects = make(map[string][]byte)
	}
	p.objects[r.PathValue("Key")] = text
}

func (p *platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	text, ok := p.objects[r.PathValue("Key")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(text)
}

// snapshot shows the rows of pools and hosts beside the hosts as they are. A
// row says Serving again only after its host is live, so that the two agree.
func (p *platform) snapshot(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows, _ := p.tables.Scan([]string{"Pools", "Hosts"}, 0, 0)
	s := quetzalwire.PlatformSnapshot{Rows: rowDocs(rows), Hosts: make([]quetzalwire.ListedHost, 0, len(p.hosts))}
	for _, h := range p.hosts {
		s.Hosts = append(s.Hosts, h.listed)
	}
	writeJSON(w, s)
}

func (p *platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f quetzalwire.Faults
	if !readJSON(w, r, &f) {
		return
	}
	p.mu.Lock()
	p.faults = f
	p.mu.Unlock()
	writeJSON(w, f)
}

func (p *platform) putHost(w http.ResponseWriter, r *http.Request) {
	var req quetzalwire.HostRegistration
	if !readJSON(w, r, &req) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(req.Host)
	if h == nil {
		p.hosts = append(p.hosts, platformHost{listed: quetzalwire.ListedHost{Host: req.Host, Boot: 1}})
		h = &p.hosts[len(p.hosts)-1]
	}
	h.listed.State = quetzalwire.ListedHostState(req.State)
	h.adminURL = req.AdminURL
	writeJSON(w, h.listed)
}

// host returns a host; the caller holds the lock.
func (p *platform) host(name string) *platformHost {
	for i := range p.hosts {
		if p.hosts[i].listed.Host == name {
			return &p.hosts[i]
		}
	}
	return nil
}

// reboot reboots a host once for each boot count that it must follow.
func (p *platform) reboot(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.Atoi(r.URL.Query().Get("Before"))
	if err != nil {
		http.Error(w, "Before: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(r.PathValue("Host"))
	if h == nil {
		http.Error(w, "unknown host", http.StatusNotFound)
		return
	}
	if h.listed.Boot == before && h.listed.State == quetzalwire.ListedHostStateLive {
		h.listed.State = quetzalwire.ListedHostStateLeaving
		go p.finishReboot(h.listed.Host, h.adminURL)
	}
	writeJSON(w, h.listed)
}

// finishReboot restarts the minion and lists the host as live again.
func (p *platform) finishReboot(host, adminURL string) {
	if adminURL != "" {
		res, err := http.Post(adminURL+"/reboot", "text/plain", nil) //nolint:noctx,gosec // a stand-in's own address
		if err == nil {
			_ = res.Body.Close()
		}
	}
	time.Sleep(p.rebootIn)
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(host)
	h.listed.Boot++
	h.listed.State = quetzalwire.ListedHostStateLive
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err == nil {
		err = json.Unmarshal(text, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
