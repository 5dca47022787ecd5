package forward

import (
	"math"
	"sync"
	"time"
)

// The shortest connect times are taken over a sliding window of delayPeriods periods.
const (
	delayPeriod  = 5 * time.Second
	delayPeriods = 12
	// minConnects is the number of connections in the window from which their shortest time
	// counts. A loaded target or instance accepts and connects late, so that one sample may
	// be far from the delay of the network.
	minConnects = 5
)

// connectTimes records the times to connect to the targets of each zone.
type connectTimes struct {
	mu    sync.Mutex
	zones map[string]*[delayPeriods]connectPeriod
}

// connectPeriod is the shortest time within a period. Periods are numbered from the epoch.
type connectPeriod struct {
	number   int64
	count    int
	shortest time.Duration
}

func periodNumber(t time.Time) int64 { return t.UnixNano() / int64(delayPeriod) }

func (c *connectTimes) record(now time.Time, zone string, took time.Duration) {
	if zone == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zones == nil {
		c.zones = make(map[string]*[delayPeriods]connectPeriod)
	}
	periods, ok := c.zones[zone]
	if !ok {
		periods = &[delayPeriods]connectPeriod{}
		c.zones[zone] = periods
	}
	number := periodNumber(now)
	p := &periods[number%delayPeriods]
	if p.number != number {
		*p = connectPeriod{number: number, shortest: math.MaxInt64}
	}
	p.count++
	p.shortest = min(p.shortest, took)
}

// shortest returns the shortest time of each zone with enough connections in the window.
func (c *connectTimes) shortest(now time.Time) map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := periodNumber(now) - delayPeriods
	times := make(map[string]time.Duration, len(c.zones))
	for zone, periods := range c.zones {
		count, shortest := 0, time.Duration(math.MaxInt64)
		for _, p := range periods {
			if p.number > oldest && p.count > 0 {
				count += p.count
				shortest = min(shortest, p.shortest)
			}
		}
		if count >= minConnects {
			times[zone] = shortest
		}
	}
	return times
}

// LinkDelays returns the one-way delay to each other zone: half of the difference between
// the shortest times to connect to its targets and to those of the own zone. Zones without
// enough recent connections are missing.
func (p *Pool) LinkDelays(now time.Time, ownZone string) map[string]time.Duration {
	times := p.connects.shortest(now)
	own, ok := times[ownZone]
	delays := make(map[string]time.Duration)
	if !ok {
		return delays
	}
	for zone, shortest := range times {
		if zone != ownZone {
			delays[zone] = max(0, shortest-own) / 2
		}
	}
	return delays
}
