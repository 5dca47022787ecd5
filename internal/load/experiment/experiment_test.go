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

// Guards against a check that overlooks a refused higher tier, or that blames
// grants of other groups, of higher tiers, or from before the ticket came.
func TestInversions(t *testing.T) {
	full := scheduler.Refuse{Reason: scheduler.ReasonQueueFull}
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
		decisions := &trace{decisions: []broker.TracedDecision{c.earlier, traced(2*time.Second, 1, full)}}
		require.Equal(t, c.want, decisions.inversions().Capacity, name)
	}
}

// Guards against an experiment that does not start, loses decisions or calls,
// or takes a wrong answer for a right one.
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
