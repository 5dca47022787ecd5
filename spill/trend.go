package spill

import (
	"math"
	"time"
)

// trend estimates the relative growth of a zone's demand from successive reports.
type trend struct {
	asOf   time.Time
	demand float64
	// growth is the change per second as a fraction of the demand.
	growth float64
}

func (t *trend) observe(asOf time.Time, demand float64) {
	elapsed := asOf.Sub(t.asOf).Seconds()
	switch {
	case t.asOf.IsZero():
		t.asOf, t.demand = asOf, demand
	case elapsed <= 0:
		return
	case t.demand > 0:
		weight := 1 - math.Exp(-elapsed/trendTime.Seconds())
		sample := min(max((demand/t.demand-1)/elapsed, -maxGrowth), maxGrowth)
		t.growth += weight * (sample - t.growth)
	}
	t.asOf, t.demand = asOf, demand
}

// factor returns the expected ratio of the demand now to the reported one.
func (t *trend) factor(now time.Time) float64 {
	age := min(max(0, now.Sub(t.asOf)), maxTrendAge).Seconds()
	return 1 + min(max(t.growth*age, -maxTrendRatio), maxTrendRatio)
}
