package broker

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
)

// shardedFleet has groups with a sibling and a queue for one ticket.
type shardedFleet struct{ *fakeFleet }

func (f shardedFleet) Group(key GroupKey) (GroupSettings, bool) {
	settings, ok := f.fakeFleet.Group(key)
	settings.Config.QueueLimit = 1
	settings.Config.Siblings = []int{1}
	return settings, ok
}

// fillQueue starts a manager with the hook and submits one ticket more than the queue
// holds. It returns the last ticket, which is the one to shed.
func fillQueue(ctx context.Context, t *testing.T, requestFloor func(context.Context) error) *Call {
	t.Helper()
	f := newFakeFleet(ctx, "a")
	hooks := Hooks{RequestFloor: func(ctx context.Context, _ GroupKey, _ int, _ scheduler.Rank, _ time.Duration) error {
		return requestFloor(ctx)
	}}
	f.managers["a"] = NewManager(ctx, "a", f, shardedFleet{f}, f, hooks, zap.NewNop())
	c := newTestClient(ctx, f)
	running := submit(c, time.Minute)
	_, err := running.Wait(ctx)
	require.NoError(t, err)
	running.Dispatched()
	submit(c, time.Minute)
	return submit(c, time.Minute)
}

// Guards against a broker that treats a sibling as unreachable because the broker
// itself was paused while it waited for the response, and then sheds a ticket while
// the sibling serves a lower tier.
func TestOwnPauseDoesNotMakeSiblingUnreachable(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		last := fillQueue(ctx, t, func(context.Context) error {
			select {
			case <-time.After(4 * floorTimeout): // the process is paused past the timeout
			case <-ctx.Done():
			}
			return context.DeadlineExceeded
		})
		time.Sleep(6 * floorTimeout)
		require.Empty(t, last.decided)
	})
}

// Guards against a full queue that waits for an unreachable sibling.
func TestUnreachableSiblingIsNotAwaited(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		last := fillQueue(ctx, t, func(ctx context.Context) error {
			<-ctx.Done()
			return errors.New("no response")
		})
		time.Sleep(2 * floorTimeout)
		require.Len(t, last.decided, 1)
	})
}

// Guards against an owner that responds to a sibling that it does not run the group
// and starts the group just afterwards: the sibling would then shed while the new
// group accepts lower tiers.
func TestFloorStartsOwnedGroup(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFakeFleet(ctx, "a", "b")
		require.NoError(t, f.managers["a"].AcceptFloor(ctx, testKey, 1, 0, time.Second))
		c := newTestClient(ctx, f)
		lower := c.Submit(testKey, &pb.Ticket{Workspace: "w", Tier: 1}, time.Now().Add(time.Minute))
		_, err := lower.Wait(ctx)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, scheduler.ReasonShed, refused.Reason)

		var notOwner *NotOwnerError
		require.ErrorAs(t, f.managers["b"].AcceptFloor(ctx, testKey, 1, 0, time.Second), &notOwner)
		require.Equal(t, "a", notOwner.Owner)
	})
}

// Guards against a group that counts the acknowledgement of a sibling's former
// owner: the successor does not have the floor and accepts lower tiers.
func TestNewSiblingOwnerMustAcknowledge(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := &movingFleet{fakeFleet: newFakeFleet(ctx, "a"), sibling: "b"}
		acknowledges := true
		hooks := Hooks{RequestFloor: func(ctx context.Context, _ GroupKey, _ int, _ scheduler.Rank, _ time.Duration) error {
			if acknowledges {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		}}
		f.managers["a"] = NewManager(ctx, "a", f, shardedFleet{f.fakeFleet}, f, hooks, zap.NewNop())
		c := newTestClient(ctx, f.fakeFleet)
		running := submit(c, time.Minute)
		_, err := running.Wait(ctx)
		require.NoError(t, err)
		running.Dispatched()
		submit(c, time.Minute)
		shed := submit(c, time.Minute)
		_, err = shed.Wait(ctx)
		require.Error(t, err, "the ticket is shed after the acknowledgement")

		acknowledges = false
		f.sibling = "c"
		f.managers["a"].Refresh()
		last := submit(c, time.Minute)
		time.Sleep(floorTimeout / 2)
		require.Empty(t, last.decided)
	})
}

// movingFleet has a configurable owner of the sibling group.
type movingFleet struct {
	*fakeFleet
	sibling string
}

func (f *movingFleet) Owner(key GroupKey) (Peer, bool) {
	if key.Shard == 1 {
		return Peer{Name: f.sibling}, true
	}
	return f.fakeFleet.Owner(key)
}
