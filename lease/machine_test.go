package lease_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/memtable"
	"github.com/basilloom/basilloom/lease"
	"github.com/basilloom/basilloom/storage"
)

// delayedTable makes writes return ErrUnknown and take effect after a delay.
type delayedTable struct {
	storage.Table
	pending sync.WaitGroup
	mu      sync.Mutex
	delay   time.Duration
}

func (d *delayedTable) set(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

func (d *delayedTable) Put(ctx context.Context, key storage.Key, value []byte, expect int64) (storage.Row, error) {
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	if delay == 0 {
		return d.Table.Put(ctx, key, value, expect)
	}
	d.pending.Go(func() {
		time.Sleep(delay)
		_, _ = d.Table.Put(context.Background(), key, value, expect)
	})
	return storage.Row{}, storage.ErrUnknown
}

type step struct {
	op    string
	pause time.Duration
}

type faultPhase struct {
	faults     fault.Settings
	writeDelay time.Duration
	length     time.Duration
}

func steps() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			op:    rapid.SampledFrom([]string{"acquire", "acquire", "renew", "renew", "release"}).Draw(t, "op"),
			pause: time.Duration(rapid.SampledFrom([]int{0, 10, 500, 2_000, 5_000, 9_200, 12_000}).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, 30)
}

func faultPhases() *rapid.Generator[[]faultPhase] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultPhase {
		return faultPhase{
			faults: fault.Settings{
				Unlimited:       true,
				Outage:          rapid.IntRange(0, 5).Draw(t, "outage") == 5,
				LatencyMillis:   rapid.SampledFrom([]int64{0, 0, 0, 20, 3_000, 8_000, 16_000}).Draw(t, "latency"),
				LoseProbability: rapid.SampledFrom([]float64{0, 0, 0.5, 1}).Draw(t, "lose"),
			},
			writeDelay: rapid.SampledFrom([]time.Duration{0, 0, 0, time.Second, 12 * time.Second}).Draw(t, "late"),
			length:     time.Duration(rapid.SampledFrom([]int{1, 50, 1_000, 4_000, 15_000}).Draw(t, "length")) * time.Millisecond,
		}
	}), 0, 12)
}

// history collects the leases that actors acquired and the violations found.
type history struct {
	mu         sync.Mutex
	leases     []*lease.Lease
	violations []string
}

func (h *history) add(l *lease.Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, earlier := range h.leases {
		if earlier.Fence() == l.Fence() {
			h.violations = append(h.violations, fmt.Sprintf("fence %d granted twice", l.Fence()))
		}
		if earlier.Fence() > l.Fence() && l.Valid(time.Now(), 0) {
			h.violations = append(h.violations, fmt.Sprintf("fence %d granted after %d", l.Fence(), earlier.Fence()))
		}
	}
	h.leases = append(h.leases, l)
}

func (h *history) check() {
	h.mu.Lock()
	defer h.mu.Unlock()
	var valid []int64
	for _, l := range h.leases {
		if l.Valid(time.Now(), 0) {
			valid = append(valid, l.Fence())
		}
	}
	if len(valid) > 1 {
		h.violations = append(h.violations, fmt.Sprintf("fences %v valid at the same time", valid))
	}
}

func runSteps(ctx context.Context, m *lease.Manager, list []step, h *history) {
	var held *lease.Lease
	for _, s := range list {
		switch {
		case s.op == "acquire" && (held == nil || !held.Valid(time.Now(), 0)):
			if l, err := m.Acquire(ctx, name); err == nil {
				held = l
				h.add(l)
			}
		case s.op == "renew" && held != nil:
			_ = held.Renew(ctx)
		case s.op == "release" && held != nil:
			_ = held.Release(ctx)
			held = nil
		}
		_ = sleepFor(ctx, s.pause)
	}
}

// Guards against two leases that are valid at the same time and a fencing token that
// is granted twice, under pauses, outages, slow calls, lost responses and late writes.
func TestAtMostOneValidHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actors := rapid.SliceOfN(steps(), 2, 4).Draw(rt, "actors")
		faults := faultPhases().Draw(rt, "faults")
		retrying := rapid.Bool().Draw(rt, "retrying")
		h := &history{}
		synctest.Test(t, func(t *testing.T) { simulate(t, actors, faults, retrying, h) })
		if len(h.violations) > 0 {
			rt.Fatalf("%v", h.violations[0])
		}
	})
}

func simulate(t *testing.T, actors [][]step, faults []faultPhase, retrying bool, h *history) {
	inner := memtable.New(fault.Settings{Unlimited: true})
	table := &delayedTable{Table: inner}
	var shared storage.Table = table
	if retrying {
		shared = storage.NewRetrying(table, storage.RetrySettings{AttemptTimeout: 5 * time.Second, Deadline: 20 * time.Second})
	}
	var running sync.WaitGroup
	for i, list := range actors {
		running.Go(func() { runSteps(t.Context(), manager(shared, fmt.Sprint(i)), list, h) })
	}
	running.Go(func() {
		for _, phase := range faults {
			inner.Faults.Set(phase.faults)
			table.set(phase.writeDelay)
			time.Sleep(phase.length)
		}
		inner.Faults.Set(fault.Settings{Unlimited: true})
		table.set(0)
	})
	done := make(chan struct{})
	go func() {
		running.Wait()
		table.pending.Wait()
		close(done)
	}()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			h.check()
		}
	}
}
