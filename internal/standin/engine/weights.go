package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"golang.org/x/time/rate"
)

// fetchChunkBytes is the number of bytes that a fetch reads before concurrent
// fetches get their turn.
const fetchChunkBytes = 1 << 20

// WeightSource provides the weights of versions.
type WeightSource interface {
	// Fetch blocks for the time that reading size bytes takes. It returns an error
	// if ctx is done first.
	Fetch(ctx context.Context, size int64) error
}

// WeightStore simulates a weight store. All fetches share its byte rate.
type WeightStore struct {
	limiter *rate.Limiter

	mu    sync.Mutex
	stats WeightStats
}

// WeightStats counts the fetches of a weight store since its start.
type WeightStats struct {
	Fetches       int   `json:"fetches"`
	Active        int   `json:"active"`
	MostActive    int   `json:"most_active"`
	FinishedBytes int64 `json:"finished_bytes"`
}

// NewWeightStore returns a weight store that delivers bytesPerSecond.
func NewWeightStore(bytesPerSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), fetchChunkBytes)}
}

// Fetch blocks for the time that reading size bytes takes. It returns an error if
// ctx is done, or would be done, first.
func (s *WeightStore) Fetch(ctx context.Context, size int64) error {
	s.begin()
	defer s.end()
	for remaining := size; remaining > 0; remaining -= fetchChunkBytes {
		chunk := int(min(remaining, fetchChunkBytes))
		if err := s.limiter.WaitN(ctx, chunk); err != nil {
			return err
		}
		s.finished(chunk)
	}
	return nil
}

// Stats returns the counts of fetches and bytes.
func (s *WeightStore) Stats() WeightStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *WeightStore) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Fetches++
	s.stats.Active++
	s.stats.MostActive = max(s.stats.MostActive, s.stats.Active)
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Active--
}

func (s *WeightStore) finished(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.FinishedBytes += int64(bytes)
}

// ServeHTTP serves GET /fetch?bytes=N, which responds when the fetch has ended, and
// GET /stats.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stats" {
		writeJSON(w, http.StatusOK, s.Stats())
		return
	}
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || size < 0 {
		writeFailure(w, badRequest("bytes is not a size"))
		return
	}
	if err := s.Fetch(r.Context(), size); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

type remoteWeights struct {
	address string
}

// RemoteWeightStore returns a client of a WeightStore that runs in another process.
func RemoteWeightStore(address string) WeightSource {
	return remoteWeights{address}
}

func (r remoteWeights) Fetch(ctx context.Context, size int64) error {
	url := fmt.Sprintf("http://%s/fetch?bytes=%d", r.address, size)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("weight store responded with status %s", response.Status)
	}
	return nil
}
