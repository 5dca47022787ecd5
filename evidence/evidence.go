// Package evidence compares the responses of two versions: the failures among them and
// the times that they take. It does no I/O.
package evidence

import (
	"math"
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// Totals sums the responses of one version.
type Totals struct {
	Requests int64
	Failures int64
	// First are the times to the first event of a stream or to a response, Intervals the
	// mean times between the events or tokens of a stream.
	First, Intervals Times
}

// Pair is the evidence of both versions on comparable requests, for instance on one route.
type Pair struct{ From, To Totals }

// Add adds other totals.
func (t *Totals) Add(other Totals) {
	t.Requests += other.Requests
	t.Failures += other.Failures
	t.First.Merge(other.First)
	t.Intervals.Merge(other.Intervals)
}

// Since returns the evidence after an earlier state. It reports false if there is less than
// before, because an instance has restarted or its reports have stopped.
func (t *Totals) Since(before *Totals) (Totals, bool) {
	since := Totals{
		Requests: t.Requests - before.Requests, Failures: t.Failures - before.Failures,
		First: t.First.minus(before.First), Intervals: t.Intervals.minus(before.Intervals),
	}
	least := min(float64(since.Requests), float64(since.Failures), since.First.count, since.Intervals.count)
	return since, least >= 0
}

func (t *Totals) failureRatio() float64 {
	if t.Requests == 0 {
		return 0
	}
	return float64(t.Failures) / float64(t.Requests)
}

// Times sums times by their logarithms, so that a few long requests do not decide a
// comparison.
type Times struct{ count, logSum, logSquareSum float64 }

// messageUnit is the unit of the sums of logarithms in messages.
const messageUnit = 1e-3

// Add adds a time. Times below a millisecond count as a millisecond.
func (t *Times) Add(d time.Duration) {
	l := math.Log(max(1, float64(d)/float64(time.Millisecond)))
	t.count++
	t.logSum += l
	t.logSquareSum += l * l
}

// Merge adds the times of other.
func (t *Times) Merge(other Times) {
	t.count += other.count
	t.logSum += other.logSum
	t.logSquareSum += other.logSquareSum
}

// Count is the number of times.
func (t Times) Count() int64 { return int64(t.count) }

// Message encodes the times.
func (t Times) Message() *pb.TimeSums {
	return &pb.TimeSums{Count: t.Count(), LogSum: toUnits(t.logSum), LogSquareSum: toUnits(t.logSquareSum)}
}

func toUnits(sum float64) int64 { return int64(math.Round(sum / messageUnit)) }

// DecodeTimes returns the times of a message; nil has none.
func DecodeTimes(m *pb.TimeSums) Times {
	return Times{
		count: float64(m.GetCount()), logSum: float64(m.GetLogSum()) * messageUnit, logSquareSum: float64(m.GetLogSquareSum()) * messageUnit,
	}
}

func (t Times) minus(before Times) Times {
	return Times{t.count - before.count, t.logSum - before.logSum, t.logSquareSum - before.logSquareSum}
}

func (t Times) mean() float64 { return t.logSum / t.count }

// squaredDeviations is the sum of the squared distances from the mean.
func (t Times) squaredDeviations() float64 { return t.logSquareSum - t.logSum*t.logSum/t.count }
