package scheduler

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a grant whose time grows with the tokens or the bytes of its request: the
// group makes no other decision meanwhile.
func TestGrantOverALinkTakesConstantTime(t *testing.T) {
	for name, l := range map[string]Link{
		"without a limit": {Delay: time.Millisecond}, "with a limit": {BytesPerSecond: 1e6, Delay: time.Millisecond}, "one byte at once": {BytesPerSecond: 1e9, BurstBytes: 1},
	} {
		for _, size := range []Ticket{{OutputTokens: math.MaxInt32}, {BodyBytes: math.MaxInt64}, {OutputTokens: math.MaxInt32, BodyBytes: math.MaxInt64}} {
			done := make(chan struct{})
			go func() {
				defer close(done)
				g := testGroup(GroupConfig{Links: map[RegionPair]Link{{"r", "far"}: l}})
				size.Region = "r"
				g.chargeLink(t0, &size, "far")
			}()
			select {
			case <-done:
			case <-time.After(5 * time.Second):
				t.Fatalf("link %s: no decision for 5 s after a request of %d tokens and %d bytes", name, size.OutputTokens, size.BodyBytes)
			}
		}
	}
}

// Guards against one request that allows more output than it will ever send and keeps all
// others off a link for good.
func TestLargeRequestDoesNotBlockALink(t *testing.T) {
	g := testGroup(GroupConfig{Links: map[RegionPair]Link{{"r", "far"}: {BytesPerSecond: 1e6}}})
	g.chargeLink(t0, &Ticket{Region: "r", OutputTokens: math.MaxInt32}, "far")
	small := &Ticket{Region: "r", BodyBytes: 1000}
	require.Greater(t, g.transferTo(t0, small, "far").seconds, 10.0, "the link is charged ahead")
	require.Less(t, g.transferTo(t0.Add(maxLinkDebt), small, "far").seconds, 0.1)
}

// Guards against a target that is taken for busy for hours after a request that allowed more
// output than it sent: it would never be cleared for a suspect.
func TestTargetIsNotBusyAfterItsRequests(t *testing.T) {
	g := testGroup(GroupConfig{}, Target{Name: "x", Concurrency: 2})
	g.Submit(t0, testTicket(1, func(t *Ticket) { t.OutputTokens = math.MaxInt32 }))
	g.Submit(t0, testTicket(2, nil))
	g.Complete(t0, served(1))
	require.True(t, g.targets["x"].busyUntil.After(t0), "a request runs")
	g.Complete(t0, served(2))
	require.False(t, g.targets["x"].busyUntil.After(t0))
}

// Guards against a workspace that waits behind all others for hours after one request that
// allowed more output than it could send until it was due.
func TestLargeRequestCostsNoMoreThanItCanUse(t *testing.T) {
	of := func(workspace string, output int) func(*Ticket) {
		return func(t *Ticket) {
			t.Workspace, t.OutputTokens, t.Finish = workspace, output, t0.Add(10*time.Second)
		}
	}
	g := testGroup(GroupConfig{}, Target{Name: "x", Concurrency: 1, PrefillTokensPerSecond: 60_000, DecodeTokensPerSecond: 100})
	running := g.Submit(t0, testTicket(99, of("first", 100)))
	require.Len(t, running, 1)
	g.Submit(t0, testTicket(0, of("a", math.MaxInt32)))
	for n := range 30 {
		g.Submit(t0, testTicket(10+n, of("b", 100)))
	}
	g.Submit(t0, testTicket(1, of("a", 100)))
	order := drain(g, running)
	require.Contains(t, order[:20], 1, "order of the grants: %v", order)
}
