// Package drain waits for requests in flight during a shutdown and closes a server's
// connections between requests.
package drain

import (
	"context"
	"sync"
)

// Counter counts requests in flight. Unlike a sync.WaitGroup, it may be incremented while
// Wait runs, because requests still arrive during a shutdown. The zero value is ready to use.
type Counter struct {
	mu    sync.Mutex
	count int
	// idle is closed when the count falls to zero; nil while nothing waits.
	idle chan struct{}
}

// Begin counts a request.
func (c *Counter) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

// End ends a request that Begin counted.
func (c *Counter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Wait waits until no request is in flight. It returns ctx's error if ctx ends first.
func (c *Counter) Wait(ctx context.Context) error {
	c.mu.Lock()
	if c.count == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
