package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet simulates instances that report to each other and counts what they spend.
type fleet struct {
	ledgers []*Ledger
	limit   Limit
	spent   []float64
	// now is the simulated time since the start.
	now time.Duration
	// heard is when an instance last heard each other one.
	heard map[[2]int]time.Duration
}

// silence is how long an instance that is not heard still counts as heard; it is
// that of package fleet at 200 ms between reports.
const silence = 700 * time.Millisecond

// usersTolerance is that of the users' deployments.
var usersTolerance = Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 140_000}

func newFleet(n int, limit Limit, tolerance Tolerance) *fleet {
	f := &fleet{limit: limit, heard: make(map[[2]int]time.Duration)}
	for range n {
		l := NewLedger(tolerance)
		l.AddBucket(start, "w", limit)
		f.ledgers = append(f.ledgers, l)
	}
	return f
}

// everyone hears everyone.
func everyone(int, int) bool { return true }

// idle lets time pass in which nothing is spent and all hear each other.
func (f *fleet) idle(d time.Duration) { f.pass(d, 0, everyone) }

// run has all instances try to spend the whole time, 15,000 a second each; heard
// tells which instances hear each other.
func (f *fleet) run(d time.Duration, heard func(from, to int) bool) { f.pass(d, 3, heard) }

func (f *fleet) pass(d time.Duration, requests int, heard func(from, to int) bool) {
	const step, report = 10 * time.Millisecond, 200 * time.Millisecond
	for end := f.now + d; f.now < end; f.now += step {
		now := start.Add(f.now)
		total := 0.0
		for i, l := range f.ledgers {
			if f.now%report == 0 {
				f.report(now, i, heard)
			}
			for range requests {
				if l.Take(now, "w", f.limit, 50).OK {
					total += 50
				}
			}
		}
		f.spent = append(f.spent, total)
	}
}

func (f *fleet) report(now time.Time, to int, heard func(from, to int) bool) {
	n := 0
	for from, l := range f.ledgers {
		if from == to {
			continue
		}
		if heard(from, to) {
			f.ledgers[to].ApplyReport(now, string(rune('a'+from)), 1, l.LocalUsage(), l.Levels(now))
			f.heard[[2]int{from, to}] = f.now
		}
		if at, ok := f.heard[[2]int{from, to}]; ok && f.now-at < silence {
			n++
		}
	}
	f.ledgers[to].SetShare(now, float64(n+1)/float64(len(f.ledgers)))
}

// most returns the largest spending in any window of 8 s.
func (f *fleet) most() float64 {
	const window = 800
	sum, most := 0.0, 0.0
	for i, s := range f.spent {
		sum += s
		if i >= window {
			sum -= f.spent[i-window]
		}
		most = max(most, sum)
	}
	return most
}

// Guards against instances that each spend a whole quota: together they keep to
// rate x 8 s + burst, with the tenth that the users allow.
func TestInstancesShareOneQuota(t *testing.T) {
	f := newFleet(9, Limit{Rate: 10_000, Burst: 10_000}, Tolerance{})
	f.run(30*time.Second, everyone)
	require.LessOrEqual(t, f.most(), 1.1*(8*10_000+10_000))
	require.Greater(t, f.most(), 0.9*8*10_000, "the quota must be usable")
}

// Guards against an instance that is cut off and goes on with the whole quota.
func TestCutOffInstancesSpendOnlyTheirShare(t *testing.T) {
	f := newFleet(9, Limit{Rate: 10_000, Burst: 10_000}, Tolerance{})
	f.run(30*time.Second, func(from, to int) bool { return (from < 3) == (to < 3) })
	require.LessOrEqual(t, f.most(), 1.1*(8*10_000+10_000))
}

// Guards against a burst that is refused although the users allow it, and against
// one beyond what they allow while a third of the instances is cut off at its start.
func TestBurstWithinTheTolerance(t *testing.T) {
	limit := Limit{Rate: 36_000, Burst: 36_000}
	allowed := 1.1*(8*limit.Rate+limit.Burst) + usersTolerance.Slack
	for name, heard := range map[string]func(int, int) bool{
		"connected": everyone,
		"cut":       func(from, to int) bool { return (from < 3) == (to < 3) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(9, limit, usersTolerance)
			f.idle(10 * time.Second)
			f.run(20*time.Second, heard)
			require.LessOrEqual(t, f.most(), allowed)
			if name == "connected" {
				nominal := 8*limit.Rate + limit.Burst
				require.Greater(t, f.most(), nominal+0.4*(allowed-nominal), "two fifths of what is tolerated must be usable")
			}
		})
	}
}

// Guards against an instance that starts beside full buckets and refuses what its
// peers accept, and against a level taken from a peer that does not know it either.
func TestStartedInstanceTakesOverTheLevel(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 1000}
	old, started, other := NewLedger(Tolerance{}), NewLedger(Tolerance{}), NewLedger(Tolerance{})
	old.AddBucket(start, "w", limit)
	now := start.Add(time.Minute)
	started.AddBucket(now, "w", limit)
	other.AddBucket(now, "w", limit)
	started.ApplyReport(now, "other", 1, other.LocalUsage(), other.Levels(now))
	require.False(t, started.Take(now, "w", limit, 1).OK)
	require.True(t, old.Take(now, "w", limit, 600).OK)
	started.ApplyReport(now, "old", 1, old.LocalUsage(), old.Levels(now))
	require.True(t, started.Take(now, "w", limit, 400).OK)
	require.False(t, started.Take(now, "w", limit, 1).OK, "the peer had spent 600 of 1000")
	started.ApplyReport(now, "old", 1, old.LocalUsage(), old.Levels(now))
	require.False(t, started.Take(now, "w", limit, 1).OK, "a level is taken over once")
}

// Guards against a fresh burst for each restart of all instances.
func TestBucketStartsEmpty(t *testing.T) {
	l := NewLedger(Tolerance{})
	require.False(t, l.Take(start, "w", Limit{Rate: 100, Burst: 100}, 10).OK)
	require.True(t, l.Take(start.Add(time.Second), "w", Limit{Rate: 100, Burst: 100}, 10).OK)
}

// Guards against reports that come late or from an earlier start of a peer.
func TestReportsCountGrowthOnly(t *testing.T) {
	limit := Limit{Rate: 1, Burst: 1000}
	l := NewLedger(Tolerance{})
	l.AddBucket(start, "w", limit)
	now := start.Add(1000 * time.Second)
	l.ApplyReport(now, "p", 5, Usage{WorkspaceID("w"): 100}, nil)
	l.ApplyReport(now, "p", 5, Usage{WorkspaceID("w"): 300}, nil)
	l.ApplyReport(now, "p", 4, Usage{WorkspaceID("w"): 9000}, nil)
	l.ApplyReport(now, "p", 6, Usage{WorkspaceID("w"): 50}, nil)
	require.True(t, l.Take(now, "w", limit, 750).OK)
	require.False(t, l.Take(now, "w", limit, 1).OK, "200 and 50 of the peer and 750 of this instance are the whole bucket")
}

// Guards against refused requests that use up a quota.
func TestReturnedAmountsCanBeSpent(t *testing.T) {
	limit := Limit{Rate: 1, Burst: 100}
	l := NewLedger(Tolerance{})
	l.AddBucket(start, "w", limit)
	now := start.Add(100 * time.Second)
	require.True(t, l.Take(now, "w", limit, 100).OK)
	l.Refund("w", 100)
	require.True(t, l.Take(now, "w", limit, 100).OK)
}

// Guards against repeats beyond the ratio and the reserve.
func TestRetriesStayWithinRatioAndReserve(t *testing.T) {
	r := NewRetryBudgets(0.2, 5)
	spent := 0
	for range 1000 {
		r.Deposit("s")
		if r.Withdraw("s") {
			spent++
		}
	}
	require.LessOrEqual(t, spent, 205)
	require.GreaterOrEqual(t, spent, 200)
	require.True(t, r.Withdraw("other"), "each service has a budget of its own")
}
