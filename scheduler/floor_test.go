package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// floorGroup has one busy target, a full queue of two tickets of tier 2, and
// the given siblings.
func floorGroup(lowest Rank, siblings ...int) *Group {
	g := testGroup(GroupConfig{QueueLimit: 2, Siblings: siblings, LowestTier: lowest}, Target{Name: "x", Concurrency: 1})
	for i := range 3 {
		g.Submit(t0, testTicket(i, onTier(2)))
	}
	g.Dispatched(t0, testID(0))
	return g
}

// Guards against a refusal for capacity while a sibling still accepts a lower
// tier (invariant 2 of docs/design.md).
func TestFloorBeforeShedding(t *testing.T) {
	request := FloorRequest{Highest: 2, ValidFor: FloorValidity, Siblings: []int{1, 2}}
	shed := []Decision{Refusal{testID(3), ReasonQueueFull, 4 * time.Second}}
	const none Rank = -1
	for name, c := range map[string]struct {
		first, second Rank
		valid         time.Duration
		unreachable   bool
		want          []Decision
	}{
		"one of two":           {2, none, time.Second, false, nil},
		"both":                 {2, 2, time.Second, false, shed},
		"stricter than needed": {0, 2, time.Second, false, shed},
		"not strict enough":    {3, 2, time.Second, false, nil},
		"one expired":          {2, 2, time.Millisecond, false, nil},
		"other unreachable":    {2, none, time.Second, true, shed},
	} {
		g := floorGroup(0, 1, 2)
		require.Equal(t, []Decision{request}, g.Submit(t0, testTicket(3, onTier(2))), name)
		require.Empty(t, g.FloorAcked(t0, 1, c.first, c.valid), name)
		got := g.SetSiblingReachable(t0, 2, !c.unreachable)
		if c.second != none {
			got = g.FloorAcked(t0.Add(2*time.Millisecond), 2, c.second, time.Second)
		}
		require.Equal(t, c.want, got, name)
	}
	require.IsType(t, Refusal{}, floorGroup(2, 1).Submit(t0, testTicket(3, onTier(2)))[0], "the lowest tier needs no floor")
	g := floorGroup(0, 1)
	for i := 3; i < 2*hardLimitFactor*g.cfg.QueueLimit; i++ {
		g.Submit(t0, testTicket(i, onTier(2)))
	}
	require.Equal(t, hardLimitFactor*g.cfg.QueueLimit, g.queue.len(), "the queue is bounded without an acknowledgement")
}

// Guards against a group that sheds before its siblings can have acknowledged the
// floor: a broker that was paused receives the tickets of several seconds at once.
func TestBurstWaitsForAcknowledgement(t *testing.T) {
	g := floorGroup(0, 1)
	for i := 3; i < 15*g.cfg.QueueLimit; i++ {
		for _, d := range g.Submit(t0, testTicket(i, onTier(2))) {
			require.IsType(t, FloorRequest{}, d)
		}
	}
	require.IsType(t, Refusal{}, g.FloorAcked(t0, 1, 2, time.Second)[0])
	require.Equal(t, g.cfg.QueueLimit, g.queue.len())
}

// Guards against a refusal that relies on the acknowledgement of a previous broker.
func TestFloorIsRequestedFromNewSiblingOwner(t *testing.T) {
	g := floorGroup(0, 1)
	g.Submit(t0, testTicket(3, onTier(2)))
	g.FloorAcked(t0, 1, 2, time.Second)
	g.SiblingOwnerChanged(t0, 1)
	got := g.Submit(t0, testTicket(4, onTier(2)))
	require.Equal(t, []Decision{FloorRequest{Highest: 2, ValidFor: FloorValidity, Siblings: []int{1}}}, got)
}

// Guards against a floor that expires during the overload or outlasts it.
func TestFloorIsRenewed(t *testing.T) {
	g := floorGroup(0, 1)
	g.Submit(t0, testTicket(3, onTier(2)))
	require.Empty(t, g.Tick(t0.Add(FloorValidity/10)))
	require.IsType(t, FloorRequest{}, g.Tick(t0.Add(FloorValidity / 4))[0])
	g.Withdraw(t0, testID(3))
	require.Empty(t, g.Tick(t0.Add(2*FloorValidity)))
}

// Guards against a group that accepts tiers excluded by a sibling's floor.
func TestAcceptedFloor(t *testing.T) {
	g := floorGroup(0)
	refused := g.AcceptFloor(t0, 1, 1, time.Second)
	require.Equal(t, []Decision{Refusal{testID(2), ReasonShed, time.Second}, Refusal{testID(1), ReasonShed, time.Second}}, refused)
	require.Equal(t, ReasonShed, g.Submit(t0, testTicket(4, onTier(2)))[0].(Refusal).Reason)
	require.Empty(t, g.Submit(t0, testTicket(5, onTier(1))), "the floor's own tier is accepted")

	g.AcceptFloor(t0, 1, 2, 3*time.Second)
	rank, ok := g.Floor(t0)
	require.True(t, ok)
	require.Equal(t, Rank(1), rank, "a laxer floor does not end a stricter one")
	rank, _ = g.Floor(t0.Add(2 * time.Second))
	require.Equal(t, Rank(2), rank, "the laxer floor lasts longer")
	_, ok = g.Floor(t0.Add(3 * time.Second))
	require.False(t, ok)
}
