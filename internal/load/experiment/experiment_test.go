package experiment

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/internal/load"
	"github.com/basilloom/basilloom/scheduler"
)

var (
	start = time.Unix(1000, 0)
	group = broker.GroupKey{Pool: modelPool}
)

func traced(after time.Duration, tier scheduler.Rank, d scheduler.Decision) broker.TracedDecision {
	return broker.TracedDecision{Time: start.Add(after), Group: group, Tier: tier, Submitted: start, Decision: d}
}

// Guards against a check that misses the refusal of a higher tier, or that counts
// grants of other groups, of higher tiers, or from before the ticket was submitted.
func TestInversions(t *testing.T) {
	full := scheduler.Refusal{Reason: scheduler.ReasonQueueFull}
	otherGroup := traced(time.Second, 2, scheduler.Grant{})
	otherGroup.Group.Pool = servicePool
	for name, c := range map[string]struct {
		earlier broker.TracedDecision
		want    int
	}{
		"lower tier served":  {traced(time.Second, 2, scheduler.Grant{}), 1},
		"same tier served":   {traced(time.Second, 1, scheduler.Grant{}), 0},
		"higher tier served": {traced(time.Second, 0, scheduler.Grant{}), 0},
		"before the ticket":  {traced(-time.Second, 2, scheduler.Grant{}), 0},
		"other group":        {otherGroup, 0},
		"lower tier refused": {traced(time.Second, 2, full), 0},
	} {
		decisions := &decisionTrace{decisions: []broker.TracedDecision{c.earlier, traced(2*time.Second, 1, full)}}
		require.Equal(t, c.want, decisions.inversions().Capacity, name)
	}
}

// Guards against hiding a scheduler fault behind the slowed engine: only calls that
// were still running on it at the slowdown, or started later, are left out.
func TestSlowedEngineExcludesOnlyItsCalls(t *testing.T) {
	mix, err := load.MixByName("plumage-box")
	require.NoError(t, err)
	call := func(id string, at time.Duration) load.Result {
		return load.Result{Call: &load.Call{At: at, Class: &mix.Classes[0]}, RequestID: id, Complete: true, FirstToken: 3 * time.Second}
	}
	results := []load.Result{call("elsewhere", 0), call("done", time.Second), call("caught", 8*time.Second), call("sent", 11*time.Second)}
	before := map[string]int{"done": 1, "caught": 1}
	var r Result
	r.summarizeTopTier(mix, results, map[string]int{"done": 1, "caught": 1, "sent": 1}, before, 10*time.Second)
	require.Equal(t, 2, r.Top.Offered)
	require.Equal(t, 1, r.TopRunningAtSlowdown)
	require.Equal(t, 1, r.TopSentToSlowed)
}

// Guards against an experiment that does not start, loses decisions or calls, or
// accepts a response with wrong content.
func TestRunServesTheMix(t *testing.T) {
	mix, err := load.MixByName("plumage-box")
	require.NoError(t, err)
	settings := Settings{Mix: mix, Policy: Basilloom, Seed: 3, Capacity: 20, Factor: 1, Duration: 2 * time.Second}
	result, err := Run(t.Context(), settings)
	require.NoError(t, err)
	require.Zero(t, result.Wrong)
	for _, tier := range result.Tiers {
		require.Equal(t, tier.Offered, tier.Served, "%s: %v", tier.Tier, tier.Unserved)
	}
	require.Positive(t, result.Inversions.Grants)
	var out bytes.Buffer
	require.NoError(t, result.WriteTable(&out))
	require.Contains(t, out.String(), "0 for capacity")
}
