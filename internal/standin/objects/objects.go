// Package objects simulates the platform's object store. It implements GetObject
// and PutObject of the S3 protocol with path-style addresses.
package objects

import (
	"encoding/xml"
	"io"
	"net/http"
	"sync"

	"github.com/basilloom/basilloom/internal/standin/fault"
)

// maxObjectBytes limits the size of an object.
const maxObjectBytes = 16 << 20

// Server simulates an object store with one bucket.
type Server struct {
	// Faults injects the active faults.
	Faults *fault.Injector

	bucket  string
	mux     *http.ServeMux
	mu      sync.Mutex
	objects map[string][]byte
}

// New returns a server with one empty bucket.
func New(bucket string, faults fault.Settings) *Server {
	s := &Server{
		Faults:  fault.New(faults),
		bucket:  bucket,
		mux:     http.NewServeMux(),
		objects: map[string][]byte{},
	}
	s.mux.Handle("POST /fault", s.Faults)
	s.mux.HandleFunc("GET /{bucket}/{name...}", s.get)
	s.mux.HandleFunc("PUT /{bucket}/{name...}", s.put)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusNotImplemented, "NotImplemented", "the stand-in has no "+r.Method+" "+r.URL.Path)
	})
	return s
}

// ServeHTTP serves object operations and sets faults on /fault.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.checkRequest(w, r, false) {
		return
	}
	s.mu.Lock()
	data, found := s.objects[r.PathValue("name")]
	s.mu.Unlock()
	if !found {
		writeError(w, http.StatusNotFound, "NoSuchKey", "The specified key does not exist.")
		return
	}
	s.delayResponse(r)
	_, _ = w.Write(data)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	if !s.checkRequest(w, r, true) {
		return
	}
	if r.Header.Get("Content-Encoding") != "" {
		writeError(w, http.StatusNotImplemented, "NotImplemented", "the stand-in has no content encodings")
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes+1))
	if err != nil || len(data) > maxObjectBytes {
		writeError(w, http.StatusBadRequest, "EntityTooLarge", "the body is incomplete or too large")
		return
	}
	s.mu.Lock()
	s.objects[r.PathValue("name")] = data
	s.mu.Unlock()
	if s.Faults.LoseResponse(true) {
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	s.delayResponse(r)
}

func (s *Server) checkRequest(w http.ResponseWriter, r *http.Request, write bool) bool {
	if err := s.Faults.Before(r.Context(), write); err != nil {
		writeError(w, http.StatusServiceUnavailable, "SlowDown", err.Error())
		return false
	}
	if r.PathValue("bucket") != s.bucket {
		writeError(w, http.StatusNotFound, "NoSuchBucket", "The specified bucket does not exist.")
		return false
	}
	return true
}

// delayResponse applies the second half of the latency.
func (s *Server) delayResponse(r *http.Request) {
	if err := s.Faults.Delay(r.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
}

type errorBody struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(errorBody{Code: code, Message: message})
}
