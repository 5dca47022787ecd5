// Package instances simulates the platform's list of instances, which shows changes
// with a lag.
package instances

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/storage"
)

// Server serves the list on GET /instances. PUT /instances replaces the list; the
// change becomes visible after the lag.
type Server struct {
	// Faults injects the active faults.
	Faults *fault.Injector

	mux      *http.ServeMux
	mu       sync.Mutex
	lag      time.Duration
	versions []listVersion
}

type listVersion struct {
	visibleAt time.Time
	records   []storage.InstanceRecord
}

// New returns an empty list with the given lag.
func New(lag time.Duration, faults fault.Settings) *Server {
	s := &Server{Faults: fault.New(faults), mux: http.NewServeMux(), lag: lag}
	s.mux.Handle("POST /fault", s.Faults)
	s.mux.HandleFunc("GET /instances", s.get)
	s.mux.HandleFunc("PUT /instances", s.put)
	return s
}

// SetLag sets the lag of subsequent changes.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Set replaces the list after the lag.
func (s *Server) Set(records []storage.InstanceRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, listVersion{time.Now().Add(s.lag), slices.Clone(records)})
}

// ServeHTTP serves the list on /instances and sets faults on /fault.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) visibleRecords() []storage.InstanceRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.versions) > 1 && !s.versions[1].visibleAt.After(now) {
		s.versions = s.versions[1:]
	}
	if len(s.versions) == 0 || s.versions[0].visibleAt.After(now) {
		return []storage.InstanceRecord{}
	}
	return s.versions[0].records
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if err := s.Faults.Before(r.Context(), false); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.visibleRecords())
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var records []storage.InstanceRecord
	if err := json.NewDecoder(r.Body).Decode(&records); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(records)
	w.WriteHeader(http.StatusNoContent)
}
