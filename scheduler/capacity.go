package scheduler

import "time"

// Parameters of the estimate of the group's throughput.
const (
	// serviceWeight is the weight of a new sample in the mean service time.
	serviceWeight = 0.02
	// initialServiceTime is assumed until a request was served.
	initialServiceTime = time.Second
	// minRetryAfter and maxRetryAfter bound the retry time returned to refused callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// tierRetention is the time after which a tier without tickets is no longer in use.
	tierRetention = 10 * time.Second
)

// capacity estimates how fast the group serves tickets and records the lowest tier
// in use.
type capacity struct {
	slots       int
	serviceTime float64
	// lowest and previous are the lowest ranks of the current and the previous period.
	lowest, previous Rank
	rotated          time.Time
}

func (c *capacity) countSlots(targets []*targetState) {
	c.slots = 0
	for _, s := range targets {
		if !s.removed && !s.Leaving && s.health.state == HealthHealthy {
			c.slots += s.limiter.limit()
		}
	}
}

func (c *capacity) served(total time.Duration) {
	if c.serviceTime == 0 {
		c.serviceTime = total.Seconds()
		return
	}
	c.serviceTime += serviceWeight * (total.Seconds() - c.serviceTime)
}

// retryAfter estimates when the given number of tickets will have been served.
func (c *capacity) retryAfter(ahead int) time.Duration {
	return min(max(c.wait(ahead), minRetryAfter), maxRetryAfter)
}

// wait estimates the time in which the given number of tickets and one more get a slot.
func (c *capacity) wait(ahead int) time.Duration {
	mean := c.serviceTime
	if mean == 0 {
		mean = initialServiceTime.Seconds()
	}
	return seconds(mean * float64(ahead+1) / float64(max(1, c.slots)))
}

func (c *capacity) submitted(tier Rank) { c.lowest = max(c.lowest, tier) }

func (c *capacity) rotate(now time.Time) {
	if now.Sub(c.rotated) >= tierRetention {
		c.previous, c.lowest, c.rotated = c.lowest, 0, now
	}
}

// lowestInUse returns the lowest tier that had tickets in the current or the
// previous period.
func (c *capacity) lowestInUse() Rank { return max(c.lowest, c.previous) }
