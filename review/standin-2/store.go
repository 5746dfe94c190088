package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowID names a row of the store.
type rowID struct{ Table, Part, Key string }

// row is a row as it is sent to clients.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      string `json:"value,omitempty"`
	RowVersion int64  `json:"rowVersion"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history, is never down and
// answers each call after a few milliseconds.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	version int64
	rows    map[rowID]row
	// keys has the keys of each part of a table in ascending order.
	keys map[[2]string][]string
	// log has the version and the name of each change in order.
	log   []row
	began time.Time
}

func newStore() *store {
	return &store{changed: make(chan struct{}), version: firstVersion, rows: map[rowID]row{}, keys: map[[2]string][]string{}, began: time.Now()}
}

const (
	// firstVersion leaves lower versions for rows that were written before the case began.
	firstVersion = 10_000_000
	txTime       = 4 * time.Millisecond
	maxPageRows  = 500
	maxPageBytes = 1_000_000
)

func (s *store) nowMs() int64 { return time.Since(s.began).Milliseconds() + 1000 }

// set writes or removes rows in one transaction. The caller holds mu.
func (s *store) set(rows []row) {
	s.version++
	for _, r := range rows {
		r.RowVersion = s.version
		id := rowID{r.Table, r.Part, r.Key}
		if r.Tombstone {
			if _, ok := s.rows[id]; !ok {
				continue
			}
			delete(s.rows, id)
			part := [2]string{r.Table, r.Part}
			i := sort.SearchStrings(s.keys[part], r.Key)
			s.keys[part] = slices.Delete(s.keys[part], i, i+1)
			r.Value = ""
		} else {
			if _, ok := s.rows[id]; !ok {
				part := [2]string{r.Table, r.Part}
				s.keys[part] = slices.Insert(s.keys[part], sort.SearchStrings(s.keys[part], r.Key), r.Key)
			}
			s.rows[id] = r
		}
		s.log = append(s.log, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row on behalf of the operator or of a minion.
func (s *store) put(table, key string, value any) {
	body, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set([]row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(body)}})
}

func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowID{table, "", key}]; ok {
		s.set([]row{{Table: table, Key: key, Tombstone: true}})
	}
}

// addEarlier adds rows that were written before the case began: no feed has them, as all readers have read them long ago.
func (s *store) addEarlier(rows []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := map[[2]string]bool{}
	for _, r := range rows {
		s.rows[rowID{r.Table, r.Part, r.Key}] = r
		part := [2]string{r.Table, r.Part}
		s.keys[part] = append(s.keys[part], r.Key)
		changed[part] = true
	}
	for part := range changed {
		sort.Strings(s.keys[part])
	}
}

// read returns the decoded value of a row, nil if there is none.
func (s *store) read(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowID{table, "", key}]
	if !ok {
		return nil
	}
	value, _ := base64.StdEncoding.DecodeString(r.Value)
	return value
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-parts", s.parts)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	return mux
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectedRevision []row `json:"expectedRevision"`
		SetKeys          []row `json:"setKeys"`
		Remove           []row `json:"remove"`
		Across           bool  `json:"across"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range append(append([]row{}, tx.SetKeys...), tx.Remove...) {
		if change.Table == "op" || change.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]string{"error": "table " + change.Table})
			return
		}
	}
	conflict, current := false, []row{}
	for _, c := range tx.ExpectedRevision {
		have, ok := s.rows[rowID{c.Table, c.Part, c.Key}]
		if !ok {
			have = row{Table: c.Table, Part: c.Part, Key: c.Key}
		}
		conflict = conflict || have.RowVersion != c.RowVersion
		current = append(current, have)
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "rowVersion": s.version, "nowMs": s.nowMs()})
		return
	}
	for i := range tx.Remove {
		tx.Remove[i].Tombstone = true
	}
	s.set(append(tx.SetKeys, tx.Remove...))
	reply(w, http.StatusOK, map[string]any{"rowVersion": s.version, "nowMs": s.nowMs()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	table, part := q.Get("table"), q.Get("part")
	keys := s.keys[[2]string{table, part}]
	keys = keys[sort.SearchStrings(keys, q.Get("from")):]
	if end := q.Get("target"); end != "" {
		keys = keys[:sort.SearchStrings(keys, end)]
	}
	found, size := []row{}, 0
	for _, k := range keys {
		v := s.rows[rowID{table, part, k}]
		if len(found) == limit || len(found) > 0 && size+len(v.Value) > maxPageBytes {
			break
		}
		size += len(v.Value)
		found = append(found, v)
	}
	reply(w, http.StatusOK, map[string]any{"rows": found, "hasMore": len(found) < len(keys), "rowVersion": s.version, "nowMs": s.nowMs()})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []string{}
	for part, keys := range s.keys {
		if part[0] == q.Get("table") && part[1] > q.Get("after") && len(keys) > 0 {
			list = append(list, part[1])
		}
	}
	sort.Strings(list)
	more := len(list) > 1000
	if more {
		list = list[:1000]
	}
	reply(w, http.StatusOK, map[string]any{"parts": list, "hasMore": more, "rowVersion": s.version, "nowMs": s.nowMs()})
}

// feed returns the latest change of each row after a version, in the order of versions.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changes := s.changesAfter(q.Get("table"), after)
		version, changed := s.version, s.changed
		s.mu.Unlock()
		done := len(changes) > 0 || wait == 0
		if !done {
			select {
			case <-changed:
			case <-timer.C:
				done = true
			case <-r.Context().Done():
				return
			}
		}
		if done {
			reply(w, http.StatusOK, map[string]any{"rows": changes, "rowVersion": version, "nowMs": s.nowMs()})
			return
		}
	}
}

func (s *store) changesAfter(table string, after int64) []row {
	changes, size := []row{}, 0
	from := sort.Search(len(s.log), func(i int) bool { return s.log[i].RowVersion > after })
	for _, change := range s.log[from:] {
		if change.Table != table {
			continue
		}
		if len(changes) == maxPageRows || size+len(change.Value) > maxPageBytes && len(changes) > 0 {
			break
		}
		size += len(change.Value)
		changes = append(changes, change)
	}
	return changes
}
