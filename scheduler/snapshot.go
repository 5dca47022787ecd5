package scheduler

import "time"

// TargetStatus is the state of a target, for status displays.
type TargetStatus struct {
	Name    string
	Region  string
	Leaving bool
	Health  HealthState
	Cause   EjectCause
	// Running counts the group's own grants in use, External the other requests.
	Running, External int
	Limit             int
	// FirstToken is the estimated time to the first token for an empty prompt,
	// TokenInterval the time between tokens of a single request on the target.
	FirstToken    time.Duration
	TokenInterval time.Duration
	// PrefillTokensPerSecond is the measured speed.
	PrefillTokensPerSecond float64
	PrefixEntries          int
}

// TierStatus is the number of waiting tickets of a tier.
type TierStatus struct {
	Tier    Rank
	Waiting int
}

// Snapshot returns the state of all targets, sorted by name.
func (g *Group) Snapshot() []TargetStatus {
	status := make([]TargetStatus, 0, len(g.order))
	for _, s := range g.order {
		if !s.removed {
			status = append(status, s.status())
		}
	}
	return status
}

func (s *targetState) status() TargetStatus {
	prefill := 0.0
	if s.speed.perToken > 0 {
		prefill = 1 / s.speed.perToken
	}
	return TargetStatus{
		Name: s.Name, Region: s.Region, Leaving: s.Leaving,
		Health: s.health.state, Cause: s.health.cause,
		Running: s.running, External: s.external, Limit: s.limiter.limit(),
		FirstToken:             seconds(s.speed.base),
		TokenInterval:          seconds(s.speed.intervalBase + s.speed.perSlot),
		PrefillTokensPerSecond: prefill,
		PrefixEntries:          len(s.index.entries),
	}
}

// Waiting returns the waiting tickets by tier, the highest first.
func (g *Group) Waiting() []TierStatus {
	status := make([]TierStatus, 0, len(g.queue.tiers))
	for _, tier := range g.queue.tiers {
		status = append(status, TierStatus{Tier: tier.rank, Waiting: tier.count})
	}
	return status
}
