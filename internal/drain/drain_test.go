package drain

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a data race between a shutdown and a request that arrives during it;
// the race detector reports it.
func TestRequestsMayArriveDuringWait(t *testing.T) {
	var c Counter
	var arrivals sync.WaitGroup
	for range 8 {
		arrivals.Go(func() {
			for range 200 {
				c.Begin()
				c.End()
			}
		})
	}
	for range 200 {
		require.NoError(t, c.Wait(t.Context()))
	}
	arrivals.Wait()
}

// Guards against a shutdown that does not wait for a request, or waits beyond its timeout.
func TestWait(t *testing.T) {
	var c Counter
	c.Begin()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, c.Wait(ctx), context.DeadlineExceeded)
	time.AfterFunc(10*time.Millisecond, c.End)
	require.NoError(t, c.Wait(t.Context()))
}
