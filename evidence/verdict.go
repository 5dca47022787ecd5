package evidence

import (
	"fmt"
	"math"
)

const (
	// evidenceRatio is the likelihood ratio required as proof of excess failures. For a
	// version at the allowed failure ratio, the probability of ever reaching it is at
	// most 1/evidenceRatio for each first window, however often it is checked.
	evidenceRatio = 1e4
	// baselineSigma is the z-score of the Wilson bound on the old version's failure ratio.
	baselineSigma = 2
	// maxAllowedFailures caps the allowed ratio while there is little evidence of the
	// old version, so that a version that always fails is still stopped.
	maxAllowedFailures = 0.5
	minAllowedFailures = 1e-4
)

// failureAlternatives are the higher failure ratios that are tested against the allowed
// ratio, as fractions of the distance from the allowed ratio to 1.
var failureAlternatives = []float64{1.0 / 32, 1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2, 0.95}

// Limits bound how much worse a new version may be than the old one.
type Limits struct {
	// FailureIncrease is the accepted increase of the failure ratio.
	FailureIncrease float64
	// Slowdown is the accepted ratio of the times; 0 disables the check.
	Slowdown float64
}

// Regressed reports whether the new version is clearly worse than the old one and why.
//
// Failures, over all pairs: the likelihood of the observed failures, averaged over a set of
// higher failure ratios, must be at least 10,000 times that at the allowed ratio. Times: the
// estimated ratio must exceed the limit by 4 standard errors.
func Regressed(pairs []Pair, limits Limits) (string, bool) {
	var old, candidate Totals
	for _, p := range pairs {
		old.Add(p.From)
		candidate.Add(p.To)
	}
	if failsMore(&old, &candidate, limits.FailureIncrease) {
		return fmt.Sprintf("%d of %d requests failed, %d of %d with the old version",
			candidate.Failures, candidate.Requests, old.Failures, old.Requests), true
	}
	if limits.Slowdown <= 0 {
		return "", false
	}
	if times, proved := Slower(pairs, func(s Slowdown) bool { return s.Proves(limits.Slowdown) }); proved {
		return "responses take " + times, true
	}
	return "", false
}

// Exceeds reports whether the new version is estimated to be worse than the limits, and
// why. It is weaker than Regressed: the estimates need no proof.
func Exceeds(pair Pair, limits Limits) (string, bool) {
	if pair.To.failureRatio() > pair.From.failureRatio()+limits.FailureIncrease {
		return fmt.Sprintf("failure ratio %.4f against %.4f", pair.To.failureRatio(), pair.From.failureRatio()), true
	}
	if limits.Slowdown <= 0 {
		return "", false
	}
	if times, slow := slower([]Pair{pair}, 1, func(s Slowdown) bool { return s.Above(limits.Slowdown, 0) }); slow {
		return "responses seem to take " + times, true
	}
	return "", false
}

// failsMore reports whether the failures prove a ratio above the upper bound of the old
// ratio plus the increase.
func failsMore(old, candidate *Totals, increase float64) bool {
	allowed := upperRatio(old.Failures, old.Requests) + increase
	allowed = min(max(allowed, minAllowedFailures), maxAllowedFailures)
	if candidate.failureRatio() <= allowed {
		return false
	}
	failed := float64(candidate.Failures)
	served := float64(candidate.Requests - candidate.Failures)
	highest := math.Inf(-1)
	logRatios := make([]float64, 0, len(failureAlternatives))
	for _, fraction := range failureAlternatives {
		ratio := allowed + (1-allowed)*fraction
		logRatio := failed*math.Log(ratio/allowed) + served*math.Log((1-ratio)/(1-allowed))
		logRatios = append(logRatios, logRatio)
		highest = max(highest, logRatio)
	}
	sum := 0.0
	for _, logRatio := range logRatios {
		sum += math.Exp(logRatio - highest)
	}
	return highest+math.Log(sum/float64(len(logRatios))) >= math.Log(evidenceRatio)
}

// upperRatio returns the Wilson upper bound of a failure ratio.
func upperRatio(failures, requests int64) float64 {
	if requests == 0 {
		return 1
	}
	n, p := float64(requests), float64(failures)/float64(requests)
	square := float64(baselineSigma * baselineSigma)
	spread := baselineSigma * math.Sqrt(p*(1-p)/n+square/(4*n*n))
	return (p + square/(2*n) + spread) / (1 + square/n)
}
