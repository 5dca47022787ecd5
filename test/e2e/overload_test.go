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

// arrivals records when each request was first seen at an engine.
type arrivals struct {
	end  chan struct{}
	wg   sync.WaitGroup
	seen map[string]time.Time
}

func watchArrivals(e *standin) *arrivals {
	a := &arrivals{end: make(chan struct{}), seen: make(map[string]time.Time)}
	a.wg.Go(func() {
		for {
			a.poll(e)
			select {
			case <-a.end:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	return a
}

func (a *arrivals) poll(e *standin) {
	resp, err := http.Get(e.url("/stats"))
	if err != nil {
		return // the next poll includes the requests of this one
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

// Guards against a high-tier request that is refused for lack of capacity while a
// waiting low-tier one is served later, and against refusals without a reason or
// a Retry-After header.
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
	f.waitConverged(t)
	slow.setFaults(t, `{"slow_factor": 2}`)
	seen := watchArrivals(slow)

	// The high-tier calls fit into the queue: none may be refused.
	withinLimit := runOverload(f, 24, 10)
	topRefused, lowRefused := requireValidRefusals(t, withinLimit, nil)
	require.Zero(t, topRefused)
	require.NotZero(t, lowRefused)
	// The high-tier calls exceed the queue: no low-tier call may keep waiting.
	overLimit := runOverload(f, 12, 24)
	times := seen.stop()
	topOver, lowOver := requireValidRefusals(t, overLimit, times)
	require.NotZero(t, topOver)
	requireDispatchedOnce(t, append(withinLimit, overLimit...), slow)
	t.Logf("10 high and 24 low: %d high and %d low refused; 24 high and 12 low: %d high and %d low refused",
		topRefused, lowRefused, topOver, lowOver)
}

// runOverload starts the low-tier calls, then the high-tier calls while the
// former are waiting, and returns all calls when they have ended.
func runOverload(f *fleet, low, top int) []chatCall {
	var l load
	for n := range low {
		l.add(f.instances[n%len(f.instances)], "bulk", 12, n%2 == 0)
	}
	time.Sleep(100 * time.Millisecond) // lets the low-tier calls enter the queue first
	for n := range top {
		l.add(f.instances[n%len(f.instances)], "plans", 12, n%2 == 0)
	}
	return l.wait()
}

// requireValidRefusals checks the refusals and counts them by tier. A low-tier
// call that was waiting when a high-tier one was refused must not arrive at the
// engine afterwards.
func requireValidRefusals(t *testing.T, calls []chatCall, seen map[string]time.Time) (top, low int) {
	t.Helper()
	var refusedTop []time.Time
	for _, c := range calls {
		if c.outcome() != "not-run" {
			c.requireComplete(t)
			continue
		}
		require.Equal(t, http.StatusTooManyRequests, c.Status, c.Body)
		require.Equal(t, "queue_full", c.Header.Get("Basilloom-Reason"), c.Body)
		seconds, err := strconv.Atoi(c.Header.Get("Retry-After"))
		require.NoError(t, err, "Retry-After is not an integer")
		require.Positive(t, seconds)
		if c.model == "bulk" {
			low++
			continue
		}
		top++
		refusedTop = append(refusedTop, c.endedAt)
	}
	for _, c := range calls {
		at, ran := seen[c.requestID()]
		if c.model != "bulk" || !ran {
			continue
		}
		for _, refused := range refusedTop {
			// The arrival time is accurate to a few poll intervals.
			require.False(t, c.startedAt.Before(refused) && at.After(refused.Add(10*pollInterval)),
				"a low-tier call kept waiting after a high-tier one was refused")
		}
	}
	return top, low
}
