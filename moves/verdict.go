package moves

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

const (
	// evidenceRatio is the likelihood ratio that proves excess failures. For a
	// version at the allowed ratio, the chance of ever reaching it is at most
	// 1/evidenceRatio for each first window, however often it is checked.
	evidenceRatio = 1e4
	// baselineRequests is the evidence of the old version below which earlier
	// windows are added. They are also added while it is less than that of the new
	// version, because at full share the old one gets no more requests.
	baselineRequests = 100
	// baselineSigma is the caution in the old version's failure ratio (Wilson bound).
	baselineSigma = 2
	// maxAllowedFailures caps the allowed ratio while the old version has hardly
	// any evidence, so that a version that fails always is still stopped.
	maxAllowedFailures = 0.5
	minAllowedFailures = 1e-4
	// slowdownSigma is the distance in standard errors that proves a slowdown.
	// It is high because the check is repeated and request lengths have a long tail.
	slowdownSigma = 4
	// slowdownRequests is the least evidence for a slowdown.
	slowdownRequests = 8
	// minVariation is the least squared coefficient of variation assumed for
	// times, because few cells underestimate it.
	minVariation = 1
)

// failureAlternatives are the higher failure ratios that are weighed against the
// allowed one, as fractions of the way from the allowed ratio to 1.
var failureAlternatives = []float64{1.0 / 32, 1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2, 0.95}

// verdictSpans are the numbers of latest windows that are judged besides the
// whole history. Short spans show badness that begins late.
var verdictSpans = []int64{1, 2, 4, 8, 16, 60, 180}

// Regressed reports whether the new version is clearly worse than the old one and why.
//
// Failures: the likelihood of the observed failures, averaged over a set of higher
// failure ratios, must exceed that of the allowed ratio 10,000 times. Times: the
// logarithm of the ratio of the means must exceed the limit by 4 standard errors.
func Regressed(move *pb.Move, from, to Series) (string, bool) {
	if len(to) == 0 {
		return "", false
	}
	last := to[len(to)-1].Window
	first := to[0].Window
	for _, span := range verdictSpans {
		start := last - span + 1
		if start <= first {
			break
		}
		if reason, bad := badSince(move, from, to, start); bad {
			return reason, true
		}
	}
	return badSince(move, from, to, first)
}

// AddResponses adds answers, failures among them, and the sum of the times of those
// that did not fail.
func (t *Totals) AddResponses(answers, failures int64, times time.Duration) {
	t.addCounter(&pb.EvidenceCounter{Requests: answers, Failures: failures, FirstTokenMsSum: times.Milliseconds()})
}

// TotalsRegressed reports whether a version is clearly worse than the old one and why: its
// failure ratio exceeds the old one by the increase, or its mean time by the factor.
func TotalsRegressed(old, current *Totals, increase, slowdown float64) (string, bool) {
	if failsMore(old, current, increase) {
		return fmt.Sprintf("%d of %d requests failed, %d of %d with the old version",
			current.Failures, current.Requests, old.Failures, old.Requests), true
	}
	if slower(old.firstToken, current.firstToken, slowdown) {
		return fmt.Sprintf("%.0f ms to the first answer, %.0f ms with the old version",
			current.firstToken.mean(), old.firstToken.mean()), true
	}
	return "", false
}

func badSince(move *pb.Move, from, to Series, start int64) (string, bool) {
	current := to.since(start)
	old := from.baseline(start, max(baselineRequests, current.Requests))
	if failsMore(&old, &current, move.GetMaxFailureRatioIncrease()) {
		return fmt.Sprintf("version %s failed %d of %d requests, version %s failed %d of %d",
			move.GetTo(), current.Failures, current.Requests, move.GetFrom(), old.Failures, old.Requests), true
	}
	if slower(old.firstToken, current.firstToken, move.GetMaxSlowdown()) {
		return fmt.Sprintf("first token after %.0f ms with version %s, %.0f ms with version %s",
			current.firstToken.mean(), move.GetTo(), old.firstToken.mean(), move.GetFrom()), true
	}
	if slower(old.interval, current.interval, move.GetMaxSlowdown()) {
		return fmt.Sprintf("%.0f us between tokens with version %s, %.0f us with version %s",
			current.interval.mean(), move.GetTo(), old.interval.mean(), move.GetFrom()), true
	}
	return "", false
}

// failsMore reports whether the failures prove a ratio above the old one plus the
// increase. The old ratio is taken at its upper bound.
func failsMore(old, current *Totals, increase float64) bool {
	allowed := upperRatio(old.Failures, old.Requests) + increase
	allowed = min(max(allowed, minAllowedFailures), maxAllowedFailures)
	if current.failureRatio() <= allowed {
		return false
	}
	failed := float64(current.Failures)
	served := float64(current.Requests - current.Failures)
	best := math.Inf(-1)
	logs := make([]float64, 0, len(failureAlternatives))
	for _, fraction := range failureAlternatives {
		ratio := allowed + (1-allowed)*fraction
		value := failed*math.Log(ratio/allowed) + served*math.Log((1-ratio)/(1-allowed))
		logs = append(logs, value)
		best = max(best, value)
	}
	sum := 0.0
	for _, value := range logs {
		sum += math.Exp(value - best)
	}
	return best+math.Log(sum/float64(len(logs))) >= math.Log(evidenceRatio)
}

// upperRatio is the Wilson upper bound of a failure ratio.
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
func slower(old, current moment, limit float64) bool {
	if limit <= 0 || current.weight < slowdownRequests || old.weight < slowdownRequests {
		return false
	}
	if old.mean() <= 0 || current.mean() <= old.mean()*limit {
		return false
	}
	variation := max(minVariation, old.variation(), current.variation())
	deviation := math.Sqrt(variation * (1/old.weight + 1/current.weight))
	return math.Log(current.mean()/(old.mean()*limit)) > slowdownSigma*deviation
}

// good reports whether the evidence since the first full window of a step
// suffices to go on, and if not, what is missing.
func good(move *pb.Move, from, to Series, start int64) (string, bool) {
	wanted := max(1, int64(move.GetMinRequests()))
	current := to.since(start)
	if current.Requests < wanted {
		return fmt.Sprintf("%d of %d requests seen in this step", current.Requests, wanted), false
	}
	old := from.baseline(start, max(baselineRequests, current.Requests))
	if current.failureRatio() > old.failureRatio()+move.GetMaxFailureRatioIncrease() {
		return fmt.Sprintf("failure ratio %.4f against %.4f", current.failureRatio(), old.failureRatio()), false
	}
	if above(old.firstToken, current.firstToken, move.GetMaxSlowdown()) {
		return "first token too slow", false
	}
	if above(old.interval, current.interval, move.GetMaxSlowdown()) {
		return "tokens too slow", false
	}
	return "", true
}

func above(old, current moment, limit float64) bool {
	return limit > 0 && old.weight > 0 && current.mean() > old.mean()*limit
}

func clone[M proto.Message](m M) M { return proto.Clone(m).(M) }
