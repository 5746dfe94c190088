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

// maxRequestBytes is the maximum size of a request body, in bytes.
const maxRequestBytes = 64 << 20

type platformCommand struct {
	Address  string        `required:"" help:"IP:port of the platform's service."`
	Admin    string        `required:"" help:"IP:port of the admin interface."`
	Hosts    int           `help:"Number of hosts to list as live from the start: host0, host1 and so on."`
	RebootIn time.Duration `default:"300ms" help:"Time that a host takes to reboot."`
}

// Run serves the platform and its admin interface until a signal.
func (c *platformCommand) Run() error {
	p := &platform{rebootTime: c.RebootIn}
	for n := range c.Hosts {
		p.hosts = append(p.hosts, platformHost{listed: quetzalwire.ListedHost{
			Host: fmt.Sprint("host", n), State: quetzalwire.ListedHostStateLive, Boot: 1,
		}})
	}
	return serveUntilSignal(map[string]http.Handler{c.Address: p.serviceHandler(), c.Admin: p.adminHandler()})
}

// platform simulates the platform. Its zero value is empty and has no faults.
type platform struct {
	tables     quetzalmemory.Tables
	rebootTime time.Duration

	mu     sync.Mutex
	faults quetzalwire.Faults
	hosts  []platformHost
	// objects holds the objects of the object store by key.
	objects map[string][]byte
	// listing is the copy of the list of hosts that callers get. It was made at listingTime and is
	// replaced when it is older than Faults.ListLagMs.
	listing     []quetzalwire.ListedHost
	listingTime time.Time
}

// platformHost is a host in the platform's list. adminURL is the URL of its minion on the minions'
// admin interface, through which the host is rebooted; it is empty for a host without a simulated
// minion.
type platformHost struct {
	listed   quetzalwire.ListedHost
	adminURL string
}

func (p *platform) serviceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /transactions", p.commitTransaction)
	mux.HandleFunc("POST /reads", p.readRows)
	mux.HandleFunc("GET /rows", p.scanRows)
	mux.HandleFunc("GET /hosts", p.listHosts)
	mux.HandleFunc("PUT /objects/{Key}", p.putObject)
	mux.HandleFunc("GET /objects/{Key}", p.getObject)
	mux.HandleFunc("POST /hosts/{Host}/reboot", p.rebootHost)
	return p.withFaults(mux)
}

func (p *platform) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", p.putFaults)
	mux.HandleFunc("PUT /hosts", p.putHost)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		load := p.tables.Stats()
		writeJSON(w, quetzalwire.PlatformLoad{Commits: int(load.Commits), Writes: int(load.Writes), Reads: int(load.Reads)})
	})
	mux.HandleFunc("GET /snapshot", p.snapshot)
	return mux
}

// withFaults injects the current faults: a delay before each call, an outage, which breaks every
// connection, and the loss of the answers of transactions that were carried out.
func (p *platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		faults := p.faults
		loseAnswer := faults.LoseAnswers > 0 && r.URL.Path == "/transactions"
		if loseAnswer {
			p.faults.LoseAnswers--
		}
		p.mu.Unlock()
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		if faults.Outage {
			panic(http.ErrAbortHandler)
		}
		if loseAnswer {
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardWriter is a ResponseWriter that drops the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

func (p *platform) commitTransaction(w http.ResponseWriter, r *http.Request) {
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
	revision, conflicts := p.tables.Commit(conditions, writes)
	writeJSON(w, quetzalwire.TransactionReply{
		Committed: len(conflicts) == 0, Revision: int(revision), Conflicts: encodeRows(conflicts),
	})
}

func encodeRows(rows []quetzalmemory.Row) []quetzalwire.Row {
	docs := make([]quetzalwire.Row, 0, len(rows))
	for _, row := range rows {
		docs = append(docs, quetzalwire.Row{
			Table: row.Table, Key: row.Key, Value: row.Value, Revision: int(row.Revision),
		})
	}
	return docs
}

func (p *platform) readRows(w http.ResponseWriter, r *http.Request) {
	var req quetzalwire.ReadRequest
	if !readJSON(w, r, &req) {
		return
	}
	ids := make([]quetzalmemory.RowID, 0, len(req.Rows))
	for _, v := range req.Rows {
		ids = append(ids, quetzalmemory.RowID{Table: v.Table, Key: v.Key})
	}
	rows, revision := p.tables.Read(ids)
	writeJSON(w, quetzalwire.ScanReply{Revision: int(revision), Rows: encodeRows(rows)})
}

func (p *platform) scanRows(w http.ResponseWriter, r *http.Request) {
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
	rows, revision := p.tables.Scan(r.URL.Query()["Table"], quetzalunit.Revision(after), limit)
	writeJSON(w, quetzalwire.ScanReply{Revision: int(revision), Rows: encodeRows(rows)})
}

// listHosts returns the list of hosts, which is up to Faults.ListLagMs old.
func (p *platform) listHosts(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.listingTime) >= time.Duration(p.faults.ListLagMs)*time.Millisecond {
		p.listing = make([]quetzalwire.ListedHost, 0, len(p.hosts))
		for _, h := range p.hosts {
			p.listing = append(p.listing, h.listed)
		}
		p.listingTime = time.Now()
	}
	body, err := json.Marshal(quetzalwire.HostList{Hosts: p.listing})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf(`"%x"`, sha256.Sum256(body))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(body)
}

func (p *platform) putObject(w http.ResponseWriter, r *http.Request) {
	object, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.objects == nil {
		p.objects = make(map[string][]byte)
	}
	p.objects[r.PathValue("Key")] = object
}

func (p *platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	object, ok := p.objects[r.PathValue("Key")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(object)
}

// snapshot returns the rows of pools and hosts together with the hosts' current states, without
// the lag of the list. A host's row returns to Serving only after the host is listed as live, so
// a host whose row says Serving is not still rebooting.
func (p *platform) snapshot(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows, _ := p.tables.Scan([]string{"Pools", "Hosts"}, 0, 0)
	snapshot := quetzalwire.PlatformSnapshot{Rows: encodeRows(rows), Hosts: make([]quetzalwire.ListedHost, 0, len(p.hosts))}
	for _, h := range p.hosts {
		snapshot.Hosts = append(snapshot.Hosts, h.listed)
	}
	writeJSON(w, snapshot)
}

func (p *platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults quetzalwire.Faults
	if !readJSON(w, r, &faults) {
		return
	}
	p.mu.Lock()
	p.faults = faults
	p.mu.Unlock()
	writeJSON(w, faults)
}

func (p *platform) putHost(w http.ResponseWriter, r *http.Request) {
	var req quetzalwire.HostRegistration
	if !readJSON(w, r, &req) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.findHost(req.Host)
	if h == nil {
		p.hosts = append(p.hosts, platformHost{listed: quetzalwire.ListedHost{Host: req.Host, Boot: 1}})
		h = &p.hosts[len(p.hosts)-1]
	}
	h.listed.State = quetzalwire.ListedHostState(req.State)
	h.adminURL = req.AdminURL
	writeJSON(w, h.listed)
}

// findHost returns the host with a name, or nil. The caller must hold mu.
func (p *platform) findHost(name string) *platformHost {
	for i := range p.hosts {
		if p.hosts[i].listed.Host == name {
			return &p.hosts[i]
		}
	}
	return nil
}

// rebootHost reboots a live host whose boot count still equals Before. A repeated request for the
// same boot has no further effect.
func (p *platform) rebootHost(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.Atoi(r.URL.Query().Get("Before"))
	if err != nil {
		http.Error(w, "Before: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.findHost(r.PathValue("Host"))
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

// finishReboot restarts the minion, waits for the reboot time and lists the host as live with
// the next boot count. It ignores an error of the restart: the host returns all the same.
func (p *platform) finishReboot(host, adminURL string) {
	if adminURL != "" {
		res, err := http.Post(adminURL+"/reboot", "text/plain", nil) //nolint:noctx,gosec // address of another simulator
		if err == nil {
			_ = res.Body.Close()
		}
	}
	time.Sleep(p.rebootTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.findHost(host)
	h.listed.Boot++
	h.listed.State = quetzalwire.ListedHostStateLive
}

// readJSON decodes the body of a request into v. If it cannot, it answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, v)
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
