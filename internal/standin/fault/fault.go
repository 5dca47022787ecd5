// Package fault injects failures into the simulated platform services.
package fault

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Default rate limits, as stated for the platform.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
)

// Errors that Before returns.
var (
	ErrOutage    = errors.New("injected outage")
	ErrThrottled = errors.New("rate limit of the service exceeded")
)

// Settings are the active faults. They are also the body of POST /fault.
type Settings struct {
	// Outage makes every call fail without an effect.
	Outage bool `json:"outage"`
	// LatencyMillis delays each call, half of it before the effect and half after.
	LatencyMillis int64 `json:"latency_ms"`
	// LoseNext is the number of subsequent effective writes whose responses are
	// dropped.
	LoseNext int `json:"lose_next"`
	// LoseProbability is the probability, 0 to 1, that the response to a write is
	// dropped, including a write whose condition failed.
	LoseProbability float64 `json:"lose_probability"`
	// WritesPerSecond and ReadsPerSecond limit the rate; 0 means the default.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// Unlimited disables the rate limits.
	Unlimited bool `json:"unlimited"`
}

// Injector applies Settings. It is safe for concurrent use.
type Injector struct {
	mu       sync.Mutex
	settings Settings
	reads    *rate.Limiter
	writes   *rate.Limiter
}

// New returns an injector with the given active faults.
func New(settings Settings) *Injector {
	i := &Injector{}
	i.Set(settings)
	return i
}

// Set replaces the active faults.
func (i *Injector) Set(settings Settings) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.settings = settings
	i.reads = newLimiter(settings, settings.ReadsPerSecond, DefaultReadsPerSecond)
	i.writes = newLimiter(settings, settings.WritesPerSecond, DefaultWritesPerSecond)
}

func newLimiter(settings Settings, perSecond, defaultPerSecond float64) *rate.Limiter {
	if settings.Unlimited {
		return rate.NewLimiter(rate.Inf, 0)
	}
	if perSecond == 0 {
		perSecond = defaultPerSecond
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Before is called at the start of a call. It waits for half of the latency and
// returns ErrOutage, ErrThrottled or the context's error if the call must fail
// without an effect.
func (i *Injector) Before(ctx context.Context, write bool) error {
	if err := i.Delay(ctx); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.settings.Outage {
		return ErrOutage
	}
	limit := i.reads
	if write {
		limit = i.writes
	}
	if !limit.Allow() {
		return ErrThrottled
	}
	return nil
}

// Delay waits for half of the latency.
func (i *Injector) Delay(ctx context.Context) error {
	i.mu.Lock()
	wait := time.Duration(i.settings.LatencyMillis) * time.Millisecond / 2
	i.mu.Unlock()
	if wait == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// LoseResponse reports whether the response to a write is dropped. written is set if
// the write took effect.
func (i *Injector) LoseResponse(written bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if written && i.settings.LoseNext > 0 {
		i.settings.LoseNext--
		return true
	}
	return i.settings.LoseProbability > 0 && rand.Float64() < i.settings.LoseProbability
}

// ServeHTTP replaces the active faults by those of a JSON body.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var settings Settings
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(settings)
	w.WriteHeader(http.StatusNoContent)
}
