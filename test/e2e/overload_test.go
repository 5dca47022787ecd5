package e2e

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/engine"
)

// arrivals records when requests were first seen at an engine.
type arrivals struct {
	end  chan struct{}
	wg   sync.WaitGroup
	seen map[string]time.Time
}

func watchArrivals(e *standin) *arrivals {
	a := &arrivals{end: make(chan struct{}), seen: make(map[string]time.Time)}
	a.wg.Go(func() {
		for {
			a.look(e)
			select {
			case <-a.end:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	return a
}

func (a *arrivals) look(e *standin) {
	resp, err := http.Get(e.url("/stats"))
	if err != nil {
		return // the next look finds what this one missed
	}
	defer func() { _ = resp.Body.Close() }()
	var stats engine.Stats
	if json.NewDecoder(resp.Body).Decode(&stats) != nil {
		return
	}
	for id := range stats.Received {
		if _, known := a.seen[id]; !known {
			a.seen[id] = time.Now()
		}
	}
}

func (a *arrivals) stop() map[string]time.Time {
	close(a.end)
	a.wg.Wait()
	return a.seen
}

// Guards against a high-tier request that is refused for capacity while a
// low-tier one that waited is served, and against refusals without a reason or
// advice when to try again.
func TestOverloadShedsLowTier(t *testing.T) {
	t.Parallel()
	slow := startStandin(t, "engine")
	f := startFleet(t, 3)
	files := withConcurrency(baseConfig([]*standin{slow}, nil), 2)
	files["20-tiers.yaml"] = "tiers:\n- {name: top, rank: 0, first_token_deadline: 20s, token_interval: 0.032s}\n" +
		"- {name: low, rank: 1, first_token_deadline: 20s, token_interval: 0.1s}\n"
	files["40-pools.yaml"] = strings.Replace(files["40-pools.yaml"], "POOL_KIND_ENGINE}", "POOL_KIND_ENGINE, queue_limit: 12}", 1)
	files["70-bulk.yaml"] = "routes:\n- {name: bulk, model: bulk, pool: models, tier: low, version: v1}\n"
	f.apply(t, files)
	f.settle(t)
	slow.fault(t, `{"slow_factor": 2}`)
	seen := watchArrivals(slow)

	// Fewer of the high tier than the queue has places: none may be refused.
	fits := overload(f, 24, 10)
	topRefused, lowRefused := requireHonest(t, fits, nil)
	require.Zero(t, topRefused)
	require.NotZero(t, lowRefused)
	// More than that: no low one may go on waiting then.
	exceeds := overload(f, 12, 24)
	times := seen.stop()
	topOver, lowOver := requireHonest(t, exceeds, times)
	require.NotZero(t, topOver)
	requireOnce(t, append(fits, exceeds...), slow)
	t.Logf("10 high and 24 low: %d high and %d low refused; 24 high and 12 low: %d high and %d low refused",
		topRefused, lowRefused, topOver, lowOver)
}

// overload makes the low-tier calls and then those of the high tier, all of
// which wait at the same time.
func overload(f *fleet, low, top int) []prompted {
	var l load
	for n := range low {
		l.add(f.instances[n%len(f.instances)], "bulk", 12, n%2 == 0)
	}
	time.Sleep(100 * time.Millisecond) // so that they wait already
	for n := range top {
		l.add(f.instances[n%len(f.instances)], "plans", 12, n%2 == 0)
	}
	return l.wait()
}

// requireHonest checks the refusals and counts them by tier. No low-tier call
// that waited when a high-tier one was refused may have been seen at the engine
// after that.
func requireHonest(t *testing.T, calls []prompted, seen map[string]time.Time) (top, low int) {
	t.Helper()
	var refusedTop []time.Time
	for _, p := range calls {
		if p.outcome() != "not-run" {
			p.requireWhole(t)
			continue
		}
		require.Equal(t, http.StatusTooManyRequests, p.Status, p.Body)
		require.Equal(t, "queue_full", p.Header.Get("Basilloom-Reason"), p.Body)
		seconds, err := strconv.Atoi(p.Header.Get("Retry-After"))
		require.NoError(t, err, "Retry-After")
		require.Positive(t, seconds)
		if p.model == "bulk" {
			low++
			continue
		}
		top++
		refusedTop = append(refusedTop, p.ended)
	}
	for _, p := range calls {
		at, ran := seen[p.requestID()]
		if p.model != "bulk" || !ran {
			continue
		}
		for _, refused := range refusedTop {
			// The time of arrival is known to a few polls.
			require.False(t, p.begun.Before(refused) && at.After(refused.Add(10*pollInterval)),
				"a low-tier call went on waiting when a high-tier one was refused")
		}
	}
	return top, low
}
