// Package drain waits for requests in flight at a shutdown.
package drain

import (
	"context"
	"sync"
)

// Wait returns when all requests have ended, or with the context's error.
func Wait(ctx context.Context, inFlight *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
