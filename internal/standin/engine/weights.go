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

// fetchPart is the unit in which concurrent fetches take turns.
const fetchPart = 1 << 20

// WeightSource delivers the weights of versions.
type WeightSource interface {
	// Fetch takes the time of reading size bytes. It returns an error when ctx
	// ends first.
	Fetch(ctx context.Context, size int64) error
}

// WeightStore is a weight store whose byte rate is shared by all fetches.
type WeightStore struct {
	limiter *rate.Limiter

	mu    sync.Mutex
	stats WeightStats
}

// WeightStats is the use of a weight store since its start.
type WeightStats struct {
	Fetches       int   `json:"fetches"`
	Active        int   `json:"active"`
	MostActive    int   `json:"most_active"`
	FinishedBytes int64 `json:"finished_bytes"`
}

// NewWeightStore returns a weight store with a rate in bytes each second.
func NewWeightStore(bytesPerSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), fetchPart)}
}

// Fetch takes the time of reading size bytes. It returns the error of ctx when
// that ends first.
func (s *WeightStore) Fetch(ctx context.Context, size int64) error {
	s.begin()
	defer s.end()
	for left := size; left > 0; left -= fetchPart {
		part := int(min(left, fetchPart))
		if err := s.limiter.WaitN(ctx, part); err != nil {
			return err
		}
		s.finished(part)
	}
	return nil
}

// Stats returns the use of the store.
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

// ServeHTTP serves GET /fetch?bytes=N, which answers after the time of the fetch,
// and GET /stats.
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

// RemoteWeightStore returns a weight store that runs in another process.
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
		return fmt.Errorf("weight store answered %s", response.Status)
	}
	return nil
}
