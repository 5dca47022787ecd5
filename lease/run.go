package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// releaseTimeout bounds the release after the callback has returned.
const releaseTimeout = 2 * time.Second

// retriesPerInterval is the number of retries in a renewal interval after a failed
// renewal. With several retries, an outage that is shorter than the lease does not end
// the lease.
const retriesPerInterval = 4

// Run acquires the lease and holds it while fn runs. It renews the lease after each
// third of its duration. It cancels fn's context if the lease is lost, is not
// renewed in time or ctx ends. After a loss it waits for fn to return and acquires
// the lease again. It returns nil when fn returns with the lease still held, and
// ctx's error when ctx ends.
func (m *Manager) Run(ctx context.Context, name string, fn func(ctx context.Context, lease *Lease)) error {
	for {
		lease, err := m.waitAndAcquire(ctx, name)
		if err != nil {
			return err
		}
		held := m.runWithLease(ctx, lease, fn)
		if err := ctx.Err(); err != nil {
			return err
		}
		if held {
			return nil
		}
	}
}

// waitAndAcquire polls until the lease is acquired. It retries after table errors.
func (m *Manager) waitAndAcquire(ctx context.Context, name string) (*Lease, error) {
	for {
		lease, err := m.Acquire(ctx, name)
		if err == nil {
			return lease, nil
		}
		wait := m.settings.Duration / renewalsPerDuration
		var held *HeldError
		if errors.As(err, &held) {
			wait = min(wait, held.Remaining)
		}
		// Jitter prevents waiting instances from writing at the same time.
		if err := sleep(ctx, wait+rand.N(wait/10+1)); err != nil {
			return nil, err
		}
	}
}

// runWithLease runs fn while it renews the lease, and reports whether the lease was held
// until fn returned.
func (m *Manager) runWithLease(ctx context.Context, lease *Lease, fn func(context.Context, *Lease)) bool {
	fnCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		defer cancel()
		m.keepRenewed(fnCtx, lease)
	}()
	fn(fnCtx, lease)
	held := fnCtx.Err() == nil && lease.Valid(time.Now(), 0)
	cancel()
	<-lost
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	// A failed release only delays the next holder until the lease expires.
	_ = lease.Release(releaseCtx)
	return held
}

// keepRenewed renews the lease until it is lost, expires or ctx ends.
func (m *Manager) keepRenewed(ctx context.Context, lease *Lease) {
	interval := m.settings.Duration / renewalsPerDuration
	wait := interval
	for {
		remaining := lease.remaining(time.Now())
		if remaining <= 0 || sleep(ctx, min(wait, remaining)) != nil {
			return
		}
		// The attempt ends with the lease, because fn is cancelled only after the attempt.
		attempt, cancel := context.WithTimeout(ctx, lease.remaining(time.Now()))
		err := lease.Renew(attempt)
		cancel()
		if errors.Is(err, ErrLost) {
			return
		}
		wait = interval
		if err != nil {
			wait = interval / retriesPerInterval
		}
	}
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
