package moves

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/evidence"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// baselineRequests is the number of requests on the old version below which earlier
// windows are added. They are also added while the old version has fewer requests than
// the new one, because the old version gets no more requests at full share.
const baselineRequests = 100

// evidenceSpans are the numbers of latest windows that are tested in addition to the
// whole history. Short spans reveal regressions that begin late.
var evidenceSpans = []int64{1, 2, 4, 8, 16, 60, 180}

// Regressed reports whether the new version is clearly worse than the old one and why.
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

func regressedSince(move *pb.Move, from, to Series, start int64) (string, bool) {
	return evidence.Regressed([]evidence.Pair{pairSince(from, to, start)}, limits(move))
}

// sufficient reports whether the evidence since the first full window of a step
// suffices for the next step and, if not, what is missing.
func sufficient(move *pb.Move, from, to Series, start int64) (string, bool) {
	wanted := max(1, int64(move.GetMinRequests()))
	pair := pairSince(from, to, start)
	if pair.To.Requests < wanted {
		return fmt.Sprintf("%d of %d requests seen in this step", pair.To.Requests, wanted), false
	}
	reason, exceeded := evidence.Exceeds(pair, limits(move))
	return reason, !exceeded
}

func limits(move *pb.Move) evidence.Limits {
	return evidence.Limits{FailureIncrease: move.GetMaxFailureRatioIncrease(), Slowdown: move.GetMaxSlowdown()}
}

// pairSince returns the evidence of the new version since a window with its baseline.
func pairSince(from, to Series, start int64) evidence.Pair {
	candidate := to.since(start)
	return evidence.Pair{From: from.baseline(start, max(baselineRequests, candidate.Requests)), To: candidate}
}

func clone[M proto.Message](m M) M { return proto.Clone(m).(M) }
