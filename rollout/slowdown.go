package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxOverallSlowdown limits the ratio of the response times over all routes. It is
	// lower than the limit of a single route, because all routes together give more
	// evidence.
	maxOverallSlowdown = 1.5
	// maxShiftSlowdown limits the estimated ratio with which all requests are shifted.
	// A new version gets few requests before that and should be no slower than the old one.
	maxShiftSlowdown = 1.25
	// shiftSigma is the distance above maxShiftSlowdown in standard errors that prevents the
	// shift. With few responses the estimate of a good version is above the limit too often.
	shiftSigma = 2
	// slowdownSigma is the distance from the limit in standard errors that proves a
	// slowdown. It is high because the check is repeated.
	slowdownSigma = 4
	// minProofTimes is the number of times of each version needed to prove a slowdown. The
	// standard error itself is uncertain with fewer.
	minProofTimes = 8
	// minLogVariance is the minimum variance assumed for the logarithm of a response time.
	minLogVariance = 0.25
	// minTimes is the number of times of each kind that each version needs on a route.
	minTimes = 3
)

// Times sums response times by their logarithms, so that a few long requests do not
// decide a comparison.
type Times struct{ count, logSum, logSquareSum float64 }

// logUnit is the unit of the sums of logarithms in reports.
const logUnit = 1e-3

func (t *Times) add(responseTime time.Duration) {
	l := math.Log(max(1, float64(responseTime)/float64(time.Millisecond)))
	t.count++
	t.logSum += l
	t.logSquareSum += l * l
}

func (t *Times) merge(other Times) {
	t.count += other.count
	t.logSum += other.logSum
	t.logSquareSum += other.logSquareSum
}

func (t Times) mean() float64 { return t.logSum / t.count }

// squaredDeviations is the sum of the squared distances from the mean.
func (t Times) squaredDeviations() float64 { return t.logSquareSum - t.logSum*t.logSum/t.count }

// slowdown is the estimated logarithm of the ratio of the new version's times to the old
// version's, with its standard error. Without evidence, the error is infinite.
type slowdown struct {
	log, standardError float64
	// from and to are the numbers of times of the old and the new version.
	from, to float64
}

// timesOf selects one kind of times of both versions.
type timesOf func(*Evidence) (from, to Times)

// Kinds of times. Those to the first event depend on the load of the targets, which is low
// for a new version with a small share of the requests; those between events hardly do.
var (
	responseTimes timesOf = func(e *Evidence) (Times, Times) { return e.FromTimes, e.ToTimes }
	eventGaps     timesOf = func(e *Evidence) (Times, Times) { return e.FromGaps, e.ToGaps }
)

// compareTimes combines the routes on which both versions have enough times, each
// weighted by its precision.
func compareTimes(routes map[uint32]*Evidence, of timesOf) slowdown {
	deviations, degrees := 0.0, 0.0
	fromCount, toCount := 0.0, 0.0
	for _, e := range routes {
		if from, to := of(e); from.count >= minTimes && to.count >= minTimes {
			fromCount += from.count
			toCount += to.count
			deviations += from.squaredDeviations() + to.squaredDeviations()
			degrees += from.count + to.count - 2
		}
	}
	if degrees == 0 {
		return slowdown{standardError: math.Inf(1)}
	}
	variance := max(minLogVariance, deviations/degrees)
	weights, sum := 0.0, 0.0
	for _, e := range routes {
		if from, to := of(e); from.count >= minTimes && to.count >= minTimes {
			weight := 1 / (variance * (1/from.count + 1/to.count))
			weights += weight
			sum += weight * (to.mean() - from.mean())
		}
	}
	return slowdown{log: sum / weights, standardError: 1 / math.Sqrt(weights), from: fromCount, to: toCount}
}

// slower returns a description of the first kind of times for which the condition holds.
func slower(routes map[uint32]*Evidence, holds func(slowdown) bool) (string, bool) {
	if s := compareTimes(routes, responseTimes); holds(s) {
		return s.String() + " as long as those of the old version", true
	}
	if s := compareTimes(routes, eventGaps); holds(s) {
		return s.String() + " as long between events as those of the old version", true
	}
	return "", false
}

// String returns the ratio with its bounds at two standard errors and the numbers of times.
func (s slowdown) String() string {
	if s.to == 0 {
		return "an unknown number of times"
	}
	spread := math.Exp(2 * s.standardError)
	return fmt.Sprintf("%.2f times (%.2f to %.2f, %.0f responses against %.0f)", s.ratio(), s.ratio()/spread, s.ratio()*spread, s.to, s.from)
}

func (s slowdown) ratio() float64 { return math.Exp(s.log) }

// preventsShift reports whether the estimate is too high for a shift.
func (s slowdown) preventsShift() bool {
	return s.log-math.Log(maxShiftSlowdown) > shiftSigma*s.standardError
}

// proved reports whether the slowdown is above the limit beyond doubt.
func (s slowdown) proved() bool {
	return min(s.from, s.to) >= minProofTimes && s.log-math.Log(maxOverallSlowdown) > slowdownSigma*s.standardError
}
