package broker

import "sync"

// commands queues functions for the goroutine of a link. Adding one never waits, so a
// request does not depend on how long the link is busy. A call adds a few commands in its
// life, and tryAdd bounds the calls, so the queue is bounded.
type commands struct {
	// ready receives a value while functions are queued.
	ready chan struct{}

	mu     sync.Mutex
	queued []func()
}

func newCommands() *commands { return &commands{ready: make(chan struct{}, 1)} }

// add queues f.
func (c *commands) add(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addLocked(f)
}

// tryAdd queues f unless commandQueue functions are queued.
func (c *commands) tryAdd(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queued) >= commandQueue {
		return false
	}
	c.addLocked(f)
	return true
}

func (c *commands) addLocked(f func()) {
	c.queued = append(c.queued, f)
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// take removes and returns all queued functions in the order in which they were added.
func (c *commands) take() []func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.queued
	c.queued = nil
	return taken
}
