package fleet

import "time"

const (
	// maxObservationGap is the gap between two observations after which this instance was
	// paused and has missed its peers' reports.
	maxObservationGap = 2 * time.Second
	// pauseCredit is what a pause adds to the time that the instance has run. An instance
	// that is paused again and again must still notice that a peer is silent.
	pauseCredit = 250 * time.Millisecond
)

// runClock measures how long this instance has run, without its pauses.
type runClock struct {
	observedAt time.Time
	ran        time.Duration
}

// observe returns how long the instance has run until now.
func (c *runClock) observe(now time.Time) time.Duration {
	gap := now.Sub(c.observedAt)
	switch {
	case c.observedAt.IsZero():
	case gap <= 0:
		return c.ran
	case gap > maxObservationGap:
		c.ran += pauseCredit
	default:
		c.ran += gap
	}
	c.observedAt = now
	return c.ran
}
