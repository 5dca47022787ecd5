package evidence

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// totals returns responses whose times have the given median and a logarithm with standard
// deviation 0.8.
func totals(rng *rand.Rand, requests, failures int64, median time.Duration) Totals {
	t := Totals{Requests: requests, Failures: failures}
	for range requests - failures {
		spread := math.Exp(0.8 * rng.NormFloat64())
		t.First.Add(time.Duration(spread * float64(median)))
		t.Intervals.Add(time.Duration(spread * float64(median) / 10))
	}
	return t
}

// Guards against a verdict from too little evidence, and against a regression on one kind
// of request that others hide.
func TestRegressed(t *testing.T) {
	limits := Limits{FailureIncrease: 0.04, Slowdown: 1.5}
	rng := rand.New(rand.NewPCG(1, 2))
	pair := func(requests, failures int64, slowdown float64) Pair {
		return Pair{
			From: totals(rng, 1000, 5, 300*time.Millisecond),
			To:   totals(rng, requests, failures, time.Duration(slowdown*300)*time.Millisecond),
		}
	}
	for _, c := range []struct {
		name      string
		pairs     []Pair
		limits    Limits
		regressed bool
	}{
		{"no evidence", nil, limits, false},
		{"as good", []Pair{pair(200, 1, 1)}, limits, false},
		{"two failures of three", []Pair{pair(3, 2, 1)}, limits, false},
		{"eight failures of eight", []Pair{pair(8, 8, 1)}, limits, true},
		{"failures over two routes", []Pair{pair(6, 4, 1), pair(6, 4, 1)}, limits, true},
		{"four times slower, 7 requests", []Pair{pair(7, 0, 4)}, limits, false},
		{"four times slower, 40 requests", []Pair{pair(40, 0, 4)}, limits, true},
		{"unlike routes, as fast on each", []Pair{pair(100, 0, 1), {
			From: totals(rng, 10, 0, 10*time.Second), To: totals(rng, 1000, 0, 10*time.Second)}}, limits, false},
		{"slower without a limit", []Pair{pair(40, 0, 4)}, Limits{FailureIncrease: 0.04}, false},
	} {
		reason, regressed := Regressed(c.pairs, c.limits)
		require.Equal(t, c.regressed, regressed, "%s: %s", c.name, reason)
	}
}

// Guards against a step that goes on although the estimates are beyond the limits.
func TestExceeds(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	limits := Limits{FailureIncrease: 0.01, Slowdown: 1.3}
	old := totals(rng, 2000, 10, time.Second)
	for _, c := range []struct {
		name     string
		to       Totals
		exceeded bool
	}{
		{"as good", totals(rng, 500, 2, time.Second), false},
		{"more failures", totals(rng, 500, 20, time.Second), true},
		{"slower", totals(rng, 500, 2, 2*time.Second), true},
	} {
		reason, exceeded := Exceeds(Pair{From: old, To: c.to}, limits)
		require.Equal(t, c.exceeded, exceeded, "%s: %s", c.name, reason)
	}
}

// Guards against sums that drift when they are encoded after each added time.
func TestTimesSurviveEncoding(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	var plain, encoded Times
	for range 10_000 {
		d := time.Duration(rng.ExpFloat64() * float64(time.Second))
		plain.Add(d)
		encoded.Add(d)
		encoded = DecodeTimes(encoded.Message())
	}
	require.Equal(t, plain.Count(), encoded.Count())
	require.InDelta(t, plain.mean(), encoded.mean(), messageUnit)
	require.InDelta(t, plain.squaredDeviations()/plain.count, encoded.squaredDeviations()/encoded.count, 0.02)
}

// Guards against an earlier state that is subtracted although an instance has restarted.
func TestSinceDetectsLostCounts(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	before := totals(rng, 100, 5, time.Second)
	now := before
	now.Add(totals(rng, 10, 1, time.Second))
	since, ok := now.Since(&before)
	require.True(t, ok)
	require.EqualValues(t, 10, since.Requests)
	require.EqualValues(t, 9, since.First.Count())
	_, ok = before.Since(&now)
	require.False(t, ok)
}
