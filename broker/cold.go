package broker

import (
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
)

// coldRetention is how long an observation of a cold target is repeated to new owners of the
// group. The registry states by then whether the target is cold.
const coldRetention = 10 * time.Second

// coldObservation is what this entry has observed of a target.
type coldObservation struct {
	at time.Time
	// until is the end of the cold period, zero if the target may have restarted.
	until time.Time
}

// MarkCold reports to the owner of the group, and to its successors, that a target is cold
// for a time, or that it may have restarted if the time is 0.
func (c *Client) MarkCold(key GroupKey, target string, coldFor time.Duration) {
	c.mu.Lock()
	l := c.linkLocked(key)
	c.mu.Unlock()
	l.commands.add(func() { l.markCold(time.Now(), target, coldFor) })
}

func (l *link) markCold(now time.Time, target string, coldFor time.Duration) {
	o := coldObservation{at: now}
	if coldFor > 0 {
		o.until = now.Add(coldFor)
	}
	l.cold[target] = o
	if l.stream != nil {
		l.out.Cold = append(l.out.Cold, o.message(now, target))
	}
}

// coldMessages returns the observations to repeat to a new owner.
func (l *link) coldMessages(now time.Time) []*pb.ColdTarget {
	var messages []*pb.ColdTarget
	for target, o := range l.cold {
		if now.Sub(o.at) > coldRetention {
			delete(l.cold, target)
			continue
		}
		messages = append(messages, o.message(now, target))
	}
	return messages
}

func (o coldObservation) message(now time.Time, target string) *pb.ColdTarget {
	m := &pb.ColdTarget{Target: target, AgeMs: now.Sub(o.at).Milliseconds()}
	if !o.until.IsZero() {
		m.ColdMs = max(1, o.until.Sub(now).Milliseconds())
	}
	return m
}

// markCold applies the entry's observations of cold targets.
func (r *runner) markCold(now time.Time, observed []*pb.ColdTarget) {
	for _, m := range observed {
		r.group.MarkCold(now, m.GetTarget(), time.Duration(m.GetAgeMs())*time.Millisecond, time.Duration(m.GetColdMs())*time.Millisecond)
	}
}

// setColdRate applies the limits of cold targets, which change with the configuration and
// with the instances that this one reaches.
func (r *runner) setColdRate(now time.Time, config scheduler.GroupConfig) {
	r.group.SetColdRate(now, config.ColdRate, config.ColdStart)
}
