package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// releaseTimeout bounds the release after the callback has returned.
const releaseTimeout = 2 * time.Second

// retriesPerInterval shortens the wait after a failed renewal, so that an
// outage shorter than the lease does not end it.
const retriesPerInterval = 4

// Run holds the lease while fn runs. It waits for the lease, renews it at a
// third of its duration and cancels fn's context when the lease is lost, is
// not renewed in time or ctx ends. After a loss it waits for fn to return and
// acquires the lease again. It returns nil once fn returns with the lease
// still held, and ctx's error once ctx ends.
func (m *Manager) Run(ctx context.Context, name string, fn func(ctx context.Context, lease *Lease)) error {
	for {
		lease, err := m.await(ctx, name)
		if err != nil {
			return err
		}
		held := m.hold(ctx, lease, fn)
		if err := ctx.Err(); err != nil {
			return err
		}
		if held {
			return nil
		}
	}
}

// await polls until the lease is acquired. Table errors are retried.
func (m *Manager) await(ctx context.Context, name string) (*Lease, error) {
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
		// Jitter keeps waiting instances from writing at the same moment.
		if err := sleep(ctx, wait+rand.N(wait/10+1)); err != nil {
			return nil, err
		}
	}
}

// hold runs fn, renews until fn returns and reports whether the lease was held to the end.
func (m *Manager) hold(ctx context.Context, lease *Lease, fn func(context.Context, *Lease)) bool {
	fnCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		defer cancel()
		m.renew(fnCtx, lease)
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

// renew returns when the lease is lost, expires or ctx ends.
func (m *Manager) renew(ctx context.Context, lease *Lease) {
	interval := m.settings.Duration / renewalsPerDuration
	wait := interval
	for {
		remaining := lease.remaining(time.Now())
		if remaining <= 0 || sleep(ctx, min(wait, remaining)) != nil {
			return
		}
		// The attempt ends when the lease does, so that fn is cancelled in time.
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
