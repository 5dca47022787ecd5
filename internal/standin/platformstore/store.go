// Package platformstore simulates the table store of the users' platform, as
// described by the platform's protocol page, and injects the faults that tests
// need.
package platformstore

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Row is the JSON form of a row.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type response struct {
	Rows    []Row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Ver     int64 `json:"ver"`
	NowMs   int64 `json:"now_ms"`
}

type transaction struct {
	ExpectRev []Row `json:"expect_rev"`
	Put       []Row `json:"put"`
	Delete    []Row `json:"delete"`
}

// Faults are the injected faults of a store.
type Faults struct {
	// Refuse is the status with which all calls are rejected; 0 rejects none.
	Refuse int
	// LoseResponses carries out writes but closes the connection instead of responding.
	LoseResponses bool
	// Delay is the time that each call waits before it is processed.
	Delay time.Duration
}

type rowKey struct{ table, part, key string }

// Store holds the rows. It implements http.Handler.
type Store struct {
	mu      sync.Mutex
	ver     int64
	rows    map[rowKey]Row
	history []Row
	// historyStart is the version after which the history is complete.
	historyStart int64
	changed      chan struct{}
	faults       Faults
	// era counts the calls of Restore.
	era int64
	mux *http.ServeMux
}

// New returns an empty store.
func New() *Store {
	s := &Store{rows: make(map[rowKey]Row), changed: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /basilloom/rows-tx", s.transact)
	s.mux.HandleFunc("GET /basilloom/rows-get", s.get)
	s.mux.HandleFunc("GET /basilloom/rows-feed", s.feed)
	return s
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact discards the history of changes. Feeds that start before the current
// version get status 410 afterwards.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.ver
}

// Copy is an older state of a store.
type Copy struct {
	ver  int64
	rows map[rowKey]Row
}

// Copy returns a copy of the current state for Restore.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.ver, maps.Clone(s.rows)}
}

// Restore brings the store back from a copy. Versions since then are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver, s.rows, s.history, s.historyStart = c.ver, maps.Clone(c.rows), nil, c.ver
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row directly, as another client of the platform would.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Put: []Row{{Table: table, Key: key, Value: value}}})
}

// Delete removes a row directly, as another client of the platform would.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Delete: []Row{{Table: table, Key: key}}})
}

// ServeHTTP serves the store's calls under the injected faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Refuse != 0 {
		w.WriteHeader(faults.Refuse)
		return
	}
	s.mux.ServeHTTP(w, r)
	if faults.LoseResponses && r.Method == http.MethodPost {
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, current := http.StatusOK, []Row{}
	for _, expected := range tx.ExpectRev {
		row, ok := s.rows[rowKey{expected.Table, expected.Part, expected.Key}]
		if ok {
			current = append(current, row)
		}
		if row.Ver != expected.Ver {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		current = []Row{}
		s.apply(tx)
	}
	writeResponse(w, status, response{Rows: current, Ver: s.ver})
}

func (s *Store) apply(tx transaction) {
	s.ver++
	for _, row := range tx.Put {
		row.Ver = s.ver
		s.rows[rowKey{row.Table, row.Part, row.Key}] = row
		s.history = append(s.history, row)
	}
	for _, row := range tx.Delete {
		delete(s.rows, rowKey{row.Table, row.Part, row.Key})
		s.history = append(s.history, Row{Table: row.Table, Part: row.Part, Key: row.Key, Ver: s.ver, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []Row{}
	for k, row := range s.rows {
		inRange := k.key >= query.Get("from") && (query.Get("to") == "" || k.key < query.Get("to"))
		if k.table == query.Get("table") && k.part == query.Get("part") && inRange {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	limit, err := strconv.Atoi(query.Get("limit"))
	more := err == nil && limit < len(found)
	if more {
		found = found[:limit]
	}
	writeResponse(w, http.StatusOK, response{Rows: found, HasMore: more, Ver: s.ver})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, ver, changed, compacted := s.since(query.Get("table"), after), s.ver, s.changed, after < s.historyStart || after > s.ver
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			writeResponse(w, http.StatusOK, response{Rows: rows, Ver: ver})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeResponse(w, http.StatusOK, response{Rows: []Row{}, Ver: ver})
			return
		}
	}
}

func (s *Store) since(table string, after int64) []Row {
	var rows []Row
	for _, row := range s.history {
		if row.Table == table && row.Ver > after {
			rows = append(rows, row)
		}
	}
	return rows
}

func writeResponse(w http.ResponseWriter, status int, body response) {
	body.NowMs = time.Now().UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}
