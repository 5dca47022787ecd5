package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// Guards against a workspace that exceeds its rate because each instance allows the
// full rate, and against a reported wait that is too short.
func TestWorkspaceRateIsSharedByTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet = 4
		limits := newWorkspaceLimits()
		workspace := &pb.Workspace{Name: "app", RequestsPerSecond: 8, Burst: 4}
		_, ok := limits.allow(workspace, fleet)
		require.True(t, ok)
		wait, ok := limits.allow(workspace, fleet)
		require.False(t, ok)
		require.Equal(t, 500*time.Millisecond, wait)
		time.Sleep(wait)
		_, ok = limits.allow(workspace, fleet)
		require.True(t, ok)

		_, ok = limits.allow(&pb.Workspace{Name: "unlimited"}, fleet)
		require.True(t, ok)
	})
}

// Guards against a retry storm while targets cannot be reached.
func TestRetriesAreBoundedByRequests(t *testing.T) {
	budget := newRetryBudget()
	for range maxRetryTokens {
		require.True(t, budget.withdraw())
	}
	require.False(t, budget.withdraw())
	const requests = 50
	granted := 0
	for range requests {
		budget.deposit()
		if budget.withdraw() {
			granted++
		}
	}
	require.InDelta(t, requests*retriesPerRequest, granted, 1)
}
