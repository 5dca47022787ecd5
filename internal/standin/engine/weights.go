package engine

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// fetchPart is the unit in which concurrent fetches take turns.
const fetchPart = 1 << 20

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
