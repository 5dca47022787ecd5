// Package drain waits for requests in flight during a shutdown.
package drain

import (
	"context"
	"sync"
)

// Wait waits until all requests have ended. It returns ctx's error if ctx ends first.
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
