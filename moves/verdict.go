package moves

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

const (
	// evidenceRatio is the likelihood ratio required as proof of excess failures. For a
	// version at the allowed failure ratio, the probability of ever reaching it is at
	// most 1/evidenceRatio for each first window, however often it is checked.
	evidenceRatio = 1e4
	// baselineRequests is the number of requests on the old version below which earlier
	// windows are added. They are also added while the old version has fewer requests
	// than the new one, because the old version gets no more requests at full share.
	baselineRequests = 100
	// baselineSigma is the z-score of the Wilson bound on the old version's failure ratio.
	baselineSigma = 2
	// maxAllowedFailures caps the allowed ratio while there is little evidence of the
	// old version, so that a version that always fails is still stopped.
	maxAllowedFailures = 0.5
	minAllowedFailures = 1e-4
	// slowdownSigma is the distance in standard errors required as proof of a slowdown.
	// It is high because the check is repeated and request lengths are long-tailed.
	slowdownSigma = 4
	// slowdownRequests is the minimum number of requests as evidence of a slowdown.
	slowdownRequests = 8
	// minVariation is the minimum squared coefficient of variation assumed for times,
	// because few cells underestimate it.
	minVariation = 1
)

// failureAlternatives are the higher failure ratios that are tested against the allowed
// ratio, as fractions of the distance from the allowed ratio to 1.
var failureAlternatives = []float64{1.0 / 32, 1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2, 0.95}

// evidenceSpans are the numbers of latest windows that are tested in addition to the
// whole history. Short spans reveal regressions that begin late.
var evidenceSpans = []int64{1, 2, 4, 8, 16, 60, 180}

// Regressed reports whether the new version is clearly worse than the old one and why.
//
// Failures: the likelihood of the observed failures, averaged over a set of higher
// failure ratios, must be at least 10,000 times that at the allowed ratio. Times: the
// logarithm of the ratio of the means must exceed that of the limit by 4 standard errors.
func Regressed(move *pb.Move, from, to Series) (string, bool) {
	if len(to) == 0 {
		return "", false
	}
	last := to[len(to)-1].Window
	first := to[0].Window
	for _, span := range evidenceSpans {
		start := last - span + 1
		if start <= first {
			break
		}
		if reason, regressed := regressedSince(move, from, to, start); regressed {
			return reason, true
		}
	}
	return regressedSince(move, from, to, first)
}

// AddResponses adds responses and the number of failures among them.
func (t *Totals) AddResponses(responses, failures int64) {
	t.Requests += responses
	t.Failures += failures
}

// AddTimes adds response times, given their number and sum.
func (t *Totals) AddTimes(count int64, total time.Duration) {
	if count > 0 {
		t.firstToken.addCell(float64(count), float64(total.Milliseconds())/float64(count))
	}
}

// TotalsRegressed reports whether a version is clearly worse than the old one and why:
// its failure ratio exceeds the old version's by more than increase, or its mean time
// exceeds the old version's by more than the factor slowdown.
func TotalsRegressed(old, candidate *Totals, increase, slowdown float64) (string, bool) {
	if failsMore(old, candidate, increase) {
		return fmt.Sprintf("%d of %d requests failed, %d of %d with the old version",
			candidate.Failures, candidate.Requests, old.Failures, old.Requests), true
	}
	if slower(old.firstToken, candidate.firstToken, slowdown) {
		return fmt.Sprintf("%.0f ms to the first answer, %.0f ms with the old version",
			candidate.firstToken.mean(), old.firstToken.mean()), true
	}
	return "", false
}

func regressedSince(move *pb.Move, from, to Series, start int64) (string, bool) {
	candidate := to.since(start)
	old := from.baseline(start, max(baselineRequests, candidate.Requests))
	if failsMore(&old, &candidate, move.GetMaxFailureRatioIncrease()) {
		return fmt.Sprintf("version %s failed %d of %d requests, version %s failed %d of %d",
			move.GetTo(), candidate.Failures, candidate.Requests, move.GetFrom(), old.Failures, old.Requests), true
	}
	if slower(old.firstToken, candidate.firstToken, move.GetMaxSlowdown()) {
		return fmt.Sprintf("first token after %.0f ms with version %s, %.0f ms with version %s",
			candidate.firstToken.mean(), move.GetTo(), old.firstToken.mean(), move.GetFrom()), true
	}
	if slower(old.interval, candidate.interval, move.GetMaxSlowdown()) {
		return fmt.Sprintf("%.0f us between tokens with version %s, %.0f us with version %s",
			candidate.interval.mean(), move.GetTo(), old.interval.mean(), move.GetFrom()), true
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

// slower reports whether the times prove a slowdown above the limit. A limit of 0
// disables the check.
func slower(old, candidate moment, limit float64) bool {
	if limit <= 0 || candidate.weight < slowdownRequests || old.weight < slowdownRequests {
		return false
	}
	if old.mean() <= 0 || candidate.mean() <= old.mean()*limit {
		return false
	}
	variation := max(minVariation, old.variation(), candidate.variation())
	deviation := math.Sqrt(variation * (1/old.weight + 1/candidate.weight))
	return math.Log(candidate.mean()/(old.mean()*limit)) > slowdownSigma*deviation
}

// sufficient reports whether the evidence since the first full window of a step
// suffices for the next step and, if not, what is missing.
func sufficient(move *pb.Move, from, to Series, start int64) (string, bool) {
	wanted := max(1, int64(move.GetMinRequests()))
	candidate := to.since(start)
	if candidate.Requests < wanted {
		return fmt.Sprintf("%d of %d requests seen in this step", candidate.Requests, wanted), false
	}
	old := from.baseline(start, max(baselineRequests, candidate.Requests))
	if candidate.failureRatio() > old.failureRatio()+move.GetMaxFailureRatioIncrease() {
		return fmt.Sprintf("failure ratio %.4f against %.4f", candidate.failureRatio(), old.failureRatio()), false
	}
	if exceeds(old.firstToken, candidate.firstToken, move.GetMaxSlowdown()) {
		return "first token too slow", false
	}
	if exceeds(old.interval, candidate.interval, move.GetMaxSlowdown()) {
		return "tokens too slow", false
	}
	return "", true
}

func exceeds(old, candidate moment, limit float64) bool {
	return limit > 0 && old.weight > 0 && candidate.mean() > old.mean()*limit
}

func clone[M proto.Message](m M) M { return proto.Clone(m).(M) }
