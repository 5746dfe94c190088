package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store's table calls, from PROTOCOL.md and the settings in DEPLOY.md.
const (
	maxTxEntries = 100
	maxTxBytes   = 1_000_000
	maxRowBytes  = 65536
	maxPageRows  = 500
	maxPageBytes = 1_000_000
)

type rowKey struct{ table, part, key string }

type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      string `json:"value"`
	RowVersion int64  `json:"rowVersion"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store: tables of rows with a single version
// counter. It keeps its whole history.
type store struct {
	begin time.Time

	mu      sync.Mutex
	rows    map[rowKey]*row
	version int64
	changed chan struct{}
	// downUntil is the end of an outage in which every call is answered with 503.
	downUntil time.Time
	// refused counts the transactions that were rejected because of their size.
	refused int
}

func newStore() *store {
	return &store{begin: time.Now(), rows: map[rowKey]*row{}, changed: make(chan struct{})}
}

// outage makes the store answer 503 to all calls for d.
func (s *store) outage(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(d)
}

func (s *store) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

// put writes a row as the operator or a minion does. It reports whether the store was available.
func (s *store) put(table, part, key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return false
	}
	s.version++
	s.rows[rowKey{table, part, key}] = &row{Table: table, Part: part, Key: key, Value: base64.StdEncoding.EncodeToString(data), RowVersion: s.version}
	s.notify()
	return true
}

func (s *store) remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rows[rowKey{table, part, key}]; r != nil && !r.Tombstone {
		s.version++
		s.rows[rowKey{table, part, key}] = &row{Table: table, Part: part, Key: key, RowVersion: s.version, Tombstone: true}
		s.notify()
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMs() int64 { return time.Since(s.begin).Milliseconds() }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down() {
		http.Error(w, "{}", http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-tx":
		s.transact(w, r)
	case "/api/rows-get":
		limit, _ := strconv.Atoi(q.Get("limit"))
		s.get(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), limit)
	case "/api/rows-parts":
		s.parts(w, q.Get("table"), q.Get("after"))
	case "/api/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.feed(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var tx struct {
		ExpectedRevision, SetKeys, Remove []row
		Across                            bool
	}
	if err := json.Unmarshal(body, &tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if problem := checkTransaction(len(body), tx.ExpectedRevision, tx.SetKeys, tx.Remove, tx.Across); problem != "" {
		s.refused++
		reply(w, http.StatusBadRequest, map[string]any{"error": problem})
		return
	}
	conflict := false
	current := []row{}
	for _, e := range tx.ExpectedRevision {
		have := s.rows[rowKey{e.Table, e.Part, e.Key}]
		now := row{Table: e.Table, Part: e.Part, Key: e.Key}
		if have != nil && !have.Tombstone {
			now = *have
		}
		conflict = conflict || now.RowVersion != e.RowVersion
		current = append(current, now)
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "rowVersion": s.version, "nowMs": s.nowMs()})
		return
	}
	s.version++
	for _, e := range tx.SetKeys {
		s.rows[rowKey{e.Table, e.Part, e.Key}] = &row{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value, RowVersion: s.version}
	}
	for _, e := range tx.Remove {
		s.rows[rowKey{e.Table, e.Part, e.Key}] = &row{Table: e.Table, Part: e.Part, Key: e.Key, RowVersion: s.version, Tombstone: true}
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"rowVersion": s.version, "nowMs": s.nowMs()})
}

// checkTransaction returns which limit of the store a transaction exceeds.
func checkTransaction(size int, expected, set, remove []row, across bool) string {
	if size > maxTxBytes || len(expected)+len(set)+len(remove) > maxTxEntries {
		return "the transaction is too large"
	}
	parts := map[string]bool{}
	for _, list := range [][]row{expected, set, remove} {
		for _, e := range list {
			parts[e.Part] = true
		}
	}
	if len(parts) > 1 && !across {
		return "several parts"
	}
	for _, e := range set {
		if e.Table == "op" || e.Table == "servers" {
			return "not writable: " + e.Table
		}
		value, err := base64.StdEncoding.DecodeString(e.Value)
		if err != nil {
			return "not base64"
		}
		if len(value) > maxRowBytes {
			return fmt.Sprintf("the value of %s has %d bytes, more than %d", e.Key, len(value), maxRowBytes)
		}
	}
	return ""
}

func (s *store) get(w http.ResponseWriter, table, part, from, target string, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	var found []row
	for k, r := range s.rows {
		if k.table == table && k.part == part && !r.Tombstone && k.key >= from && (target == "" || k.key < target) {
			found = append(found, *r)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	rows, size, more := []row{}, 0, false
	for _, r := range found {
		if len(rows) == limit || len(rows) > 0 && size+len(r.Value) > maxPageBytes {
			more = true
			break
		}
		rows, size = append(rows, r), size+len(r.Value)
	}
	reply(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "rowVersion": s.version, "nowMs": s.nowMs()})
}

func (s *store) parts(w http.ResponseWriter, table, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	names := []string{}
	for k, r := range s.rows {
		if k.table == table && !r.Tombstone && k.part > after && !seen[k.part] {
			seen[k.part] = true
			names = append(names, k.part)
		}
	}
	sort.Strings(names)
	reply(w, http.StatusOK, map[string]any{"parts": names, "hasMore": false, "rowVersion": s.version, "nowMs": s.nowMs()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var found []row
		for k, x := range s.rows {
			if k.table == table && x.RowVersion > after {
				found = append(found, *x)
			}
		}
		sort.Slice(found, func(i, j int) bool {
			return found[i].RowVersion < found[j].RowVersion || found[i].RowVersion == found[j].RowVersion && found[i].Key < found[j].Key
		})
		rows, size, version := []row{}, 0, s.version
		for _, x := range found {
			if len(rows) == maxPageRows || len(rows) > 0 && size+len(x.Value) > maxPageBytes {
				version = rows[len(rows)-1].RowVersion
				break
			}
			rows, size = append(rows, x), size+len(x.Value)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 || wait <= 0 {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "rowVersion": version, "nowMs": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
		if s.down() {
			http.Error(w, "{}", http.StatusServiceUnavailable)
			return
		}
	}
}
