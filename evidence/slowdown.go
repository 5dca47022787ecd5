package evidence

import (
	"fmt"
	"math"
)

const (
	// proofSigma is the distance from the limit in standard errors that proves a slowdown.
	// It is high because the check is repeated.
	proofSigma = 4
	// minProofTimes is the number of times of each version needed to prove a slowdown. The
	// standard error itself is uncertain with fewer.
	minProofTimes = 8
	// minLogVariance is the minimum variance assumed for the logarithm of a time.
	minLogVariance = 0.25
	// minTimes is the number of times of each version that a pair needs. An estimate that
	// is compared with a limit without regard to its error needs only one.
	minTimes = 3
)

// Slowdown is the estimated logarithm of the ratio of the new version's times to the old
// version's, with its standard error. Without evidence, the error is infinite.
type Slowdown struct {
	log, standardError float64
	// from and to are the numbers of times of the old and the new version.
	from, to float64
}

// Kind selects one kind of times.
type Kind func(*Totals) Times

// Kinds of times. Those to the first event depend on the load of the targets, which is low
// for a new version with a small share of the requests; those between events hardly do.
var (
	FirstEvents Kind = func(t *Totals) Times { return t.First }
	Intervals   Kind = func(t *Totals) Times { return t.Intervals }
)

// Compare combines the pairs in which both versions have enough times, each weighted by
// its precision.
func Compare(pairs []Pair, kind Kind) Slowdown { return compare(pairs, kind, minTimes) }

func compare(pairs []Pair, kind Kind, least float64) Slowdown {
	deviations, degrees := 0.0, 0.0
	fromCount, toCount := 0.0, 0.0
	eachComparable(pairs, kind, least, func(from, to Times) {
		fromCount += from.count
		toCount += to.count
		deviations += from.squaredDeviations() + to.squaredDeviations()
		degrees += from.count + to.count - 2
	})
	if toCount == 0 {
		return Slowdown{standardError: math.Inf(1)}
	}
	variance := max(minLogVariance, deviations/max(1, degrees))
	weights, sum := 0.0, 0.0
	eachComparable(pairs, kind, least, func(from, to Times) {
		weight := 1 / (variance * (1/from.count + 1/to.count))
		weights += weight
		sum += weight * (to.mean() - from.mean())
	})
	return Slowdown{log: sum / weights, standardError: 1 / math.Sqrt(weights), from: fromCount, to: toCount}
}

func eachComparable(pairs []Pair, kind Kind, least float64, visit func(from, to Times)) {
	for i := range pairs {
		if from, to := kind(&pairs[i].From), kind(&pairs[i].To); from.count >= least && to.count >= least {
			visit(from, to)
		}
	}
}

// Slower describes the first kind of times for which the condition holds.
func Slower(pairs []Pair, holds func(Slowdown) bool) (string, bool) {
	return slower(pairs, minTimes, holds)
}

func slower(pairs []Pair, least float64, holds func(Slowdown) bool) (string, bool) {
	if s := compare(pairs, FirstEvents, least); holds(s) {
		return s.String() + " as long as those of the old version", true
	}
	if s := compare(pairs, Intervals, least); holds(s) {
		return s.String() + " as long between events as those of the old version", true
	}
	return "", false
}

// Above reports whether the estimate is above the limit by the number of standard errors.
func (s Slowdown) Above(limit, sigma float64) bool {
	return s.to > 0 && s.log-math.Log(limit) > sigma*s.standardError
}

// Proves reports whether the slowdown is above the limit beyond doubt.
func (s Slowdown) Proves(limit float64) bool {
	return min(s.from, s.to) >= minProofTimes && s.Above(limit, proofSigma)
}

// String returns the ratio with its bounds at two standard errors and the numbers of times.
func (s Slowdown) String() string {
	if s.to == 0 {
		return "an unknown number of times"
	}
	ratio, spread := math.Exp(s.log), math.Exp(2*s.standardError)
	return fmt.Sprintf("%.2f times (%.2f to %.2f, %.0f responses against %.0f)", ratio, ratio/spread, ratio*spread, s.to, s.from)
}
