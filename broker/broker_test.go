package broker

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
)

// fakeFleet holds the managers of several instances and the name of the one that
// owns the group. It implements Resolver, Source, Reports and Opener.
type fakeFleet struct {
	mu       sync.Mutex
	owner    string
	managers map[string]*Manager
	cancels  map[string]context.CancelFunc
}

var testKey = GroupKey{Pool: "models"}

func newFakeFleet(ctx context.Context, names ...string) *fakeFleet {
	f := &fakeFleet{owner: names[0], managers: map[string]*Manager{}, cancels: map[string]context.CancelFunc{}}
	for _, name := range names {
		managerCtx, cancel := context.WithCancel(ctx)
		f.managers[name] = NewManager(managerCtx, name, f, f, f, Hooks{}, zap.NewNop())
		f.cancels[name] = cancel
	}
	return f
}

func (f *fakeFleet) setOwner(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owner = name
}

func (f *fakeFleet) Owner(GroupKey) (Peer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Peer{Name: f.owner}, f.owner != ""
}

func (f *fakeFleet) Group(GroupKey) (GroupSettings, bool) {
	return GroupSettings{
		Config:  scheduler.GroupConfig{Pool: testKey.Pool},
		Targets: []scheduler.Target{{Name: "t", Concurrency: 1, Service: true}},
	}, true
}

func (f *fakeFleet) Weight(string) float64 { return 1 }

func (f *fakeFleet) Load(context.Context, PollTarget) (scheduler.LoadReport, error) {
	return scheduler.LoadReport{}, errors.New("no report")
}

func (f *fakeFleet) CacheEvents(context.Context, PollTarget, int64) ([]scheduler.CacheEvent, error) {
	return nil, errors.New("no events")
}

func (f *fakeFleet) Versions(context.Context, PollTarget) ([]string, error) {
	return nil, errors.New("no versions")
}

// Open opens a stream that names the sender with its first message.
func (f *fakeFleet) Open(_ context.Context, peer Peer) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &lazyStream{manager: f.managers[peer.Name], joined: make(chan struct{}), closed: make(chan struct{})}, nil
}

// lazyStream joins with the hello of its first message, as the server does.
type lazyStream struct {
	manager *Manager
	session *Session
	joined  chan struct{}
	closed  chan struct{}
}

func (s *lazyStream) Send(m *pb.TicketsRequest) error {
	if s.session == nil {
		session, err := s.manager.Join(m.GetHello())
		if err != nil {
			return err
		}
		s.session = session
		close(s.joined)
	}
	return s.session.Send(m)
}

func (s *lazyStream) Receive() (*pb.TicketsResponse, error) {
	select {
	case <-s.joined:
		return s.session.Receive()
	case <-s.closed:
		return nil, io.EOF
	}
}

func (s *lazyStream) Close() error {
	if s.session == nil {
		close(s.closed)
		return nil
	}
	return s.session.Close()
}

func newTestClient(ctx context.Context, f *fakeFleet) *Client {
	return NewClient(ctx, ClientSettings{Self: "entry", Incarnation: 1, Resolver: f, Opener: f, Log: zap.NewNop()})
}

func submit(c *Client, wait time.Duration) *Call {
	return c.Submit(testKey, &pb.Ticket{Workspace: "w"}, time.Now().Add(wait))
}

// run runs a test in a synctest bubble.
func run(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		// Calls that ignore their context end within this time of the bubble's clock.
		defer time.Sleep(time.Minute)
		defer cancel()
		test(t, ctx)
	})
}

// Guards against a request that is lost when its broker crashes, and against a
// successor that is not notified of the grants in use and exceeds the target's limit.
func TestSuccessorGetsWaitingAndRunningTickets(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFakeFleet(ctx, "a", "b")
		c := newTestClient(ctx, f)
		first, second := submit(c, time.Minute), submit(c, time.Minute)
		grant, err := first.Wait(ctx)
		require.NoError(t, err)
		require.Equal(t, "t", grant.Target)
		first.Dispatched()

		f.setOwner("b")
		f.cancels["a"]()
		time.Sleep(time.Second)
		if len(second.decided) > 0 {
			require.Failf(t, "ticket decided too early", "%+v", <-second.decided)
		}

		first.Complete(&pb.Completion{Result: pb.Result_RESULT_SERVED})
		_, err = second.Wait(ctx)
		require.NoError(t, err)
		second.Dispatched()
		second.Complete(&pb.Completion{Result: pb.Result_RESULT_SERVED})
	})
}

// Guards against a successor that takes a grant whose use is delayed, for example by
// a slow claim, for a request that hangs on the target, and against a successor that
// grants the slot a second time once the grant is used.
func TestSuccessorIsNotifiedOfUsedGrantsOnly(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFakeFleet(ctx, "a", "b")
		c := newTestClient(ctx, f)
		first := submit(c, time.Minute)
		_, err := first.Wait(ctx)
		require.NoError(t, err)
		f.setOwner("b")
		second := submit(c, time.Minute)
		time.Sleep(20 * time.Second)
		_, err = second.Wait(ctx)
		require.NoError(t, err)
		require.Equal(t, "good", f.managers["b"].Status(ctx)[0].Targets[0].Health.String())
		second.Complete(&pb.Completion{Result: pb.Result_RESULT_NOT_DISPATCHED})

		first.Dispatched()
		third := submit(c, time.Minute)
		time.Sleep(time.Second)
		require.Empty(t, third.decided, "the slot is in use")
		first.Complete(&pb.Completion{Result: pb.Result_RESULT_SERVED})
		_, err = third.Wait(ctx)
		require.NoError(t, err)
	})
}

// Guards against tickets that wait for a paused owner that is not reported, and
// against a report of an owner that runs but has nothing to grant.
func TestUnresponsiveOwnerIsReported(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFakeFleet(ctx, "a")
		reported := make(chan string, 16)
		c := NewClient(ctx, ClientSettings{
			Self: "entry", Incarnation: 1, Resolver: f, Opener: f, Log: zap.NewNop(),
			OnOwnerFailure: func(owner Peer) { reported <- owner.Name },
		})
		first, _ := submit(c, time.Minute), submit(c, time.Minute)
		_, err := first.Wait(ctx)
		require.NoError(t, err)
		first.Dispatched()
		time.Sleep(5 * time.Second)
		require.Empty(t, reported)

		resume := make(chan struct{})
		defer close(resume)
		f.managers["a"].runners[testKey].events <- func(time.Time) []scheduler.Decision {
			<-resume
			return nil
		}
		time.Sleep(2 * time.Second)
		require.NotEmpty(t, reported)
		require.Equal(t, "a", <-reported)
	})
}

// Guards against a slot that stays occupied after its caller has disconnected.
func TestWithdrawnTicketFreesItsSlot(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFakeFleet(ctx, "a")
		c := newTestClient(ctx, f)
		first, second, third := submit(c, time.Minute), submit(c, time.Minute), submit(c, time.Minute)
		_, err := first.Wait(ctx)
		require.NoError(t, err)
		first.Dispatched()
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, err = second.Wait(cancelled)
		require.ErrorIs(t, err, context.Canceled)
		first.Complete(&pb.Completion{Result: pb.Result_RESULT_SERVED})
		_, err = third.Wait(ctx)
		require.NoError(t, err)
		third.Complete(&pb.Completion{Result: pb.Result_RESULT_SERVED})
	})
}

// Guards against a caller that waits forever while no broker can be reached.
func TestTicketWithoutBrokerIsRefused(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFakeFleet(ctx, "a")
		f.setOwner("")
		c := newTestClient(ctx, f)
		begun := time.Now()
		_, err := submit(c, time.Second).Wait(ctx)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, scheduler.ReasonNoTarget, refused.Reason)
		require.Less(t, time.Since(begun), 2*time.Second)
	})
}

// Guards against two brokers that both run a group after the owner changed: an
// instance that is not the owner must reject the entry.
func TestJoinIsRejectedByNonOwner(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFakeFleet(ctx, "a", "b")
		_, err := f.managers["b"].Join(&pb.Hello{Instance: "entry", Pool: testKey.Pool})
		var notOwner *NotOwnerError
		require.ErrorAs(t, err, &notOwner)
		require.Equal(t, "a", notOwner.Owner)
	})
}

// Guards against a trace that misses a decision or has the wrong tier, which would
// hide the refusal of a higher tier.
func TestTraceNamesTierOfEachDecision(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFakeFleet(ctx, "a")
		var traced []TracedDecision
		f.managers["a"].TraceDecisions(func(d TracedDecision) { traced = append(traced, d) })
		c := newTestClient(ctx, f)
		begun := time.Now()
		first := c.Submit(testKey, &pb.Ticket{Workspace: "w", Tier: 1}, begun.Add(time.Minute))
		_, err := first.Wait(ctx)
		require.NoError(t, err)
		first.Dispatched()
		_, err = c.Submit(testKey, &pb.Ticket{Workspace: "w", Tier: 2}, begun.Add(time.Second)).Wait(ctx)
		require.Error(t, err)
		first.Complete(&pb.Completion{Result: pb.Result_RESULT_SERVED})
		synctest.Wait()
		require.Len(t, traced, 2)
		require.IsType(t, scheduler.Grant{}, traced[0].Decision)
		require.IsType(t, scheduler.Refusal{}, traced[1].Decision)
		require.Equal(t, []scheduler.Rank{1, 2}, []scheduler.Rank{traced[0].Tier, traced[1].Tier})
		require.Equal(t, testKey, traced[1].Group)
		require.GreaterOrEqual(t, traced[1].Time.Sub(traced[1].Submitted), 900*time.Millisecond)
	})
}

// Guards against grants for a target that sends no reports while others do, and
// against a group without targets when the fault is on the broker's side.
func TestUnresponsiveTargetGetsNoGrants(t *testing.T) {
	r := &runner{
		targets:       []scheduler.Target{{Name: "a"}, {Name: "b"}},
		missedReports: map[string]int{"a": maxMissedReports - 1},
		group:         scheduler.NewGroup(scheduler.GroupConfig{}, rand.New(rand.NewPCG(1, 1))),
		log:           zap.NewNop(),
	}
	leaving := func() []bool {
		targets := r.usableTargets()
		return []bool{targets[0].Leaving, targets[1].Leaving}
	}
	require.Equal(t, []bool{false, false}, leaving())
	r.recordReport(time.Now(), "a", false)
	require.Equal(t, []bool{true, false}, leaving())
	for range maxMissedReports {
		r.recordReport(time.Now(), "b", false)
	}
	require.Equal(t, []bool{false, false}, leaving(), "no target reports")
	r.recordReport(time.Now(), "a", true)
	require.Equal(t, []bool{false, true}, leaving())
}

// Guards against a ticket that the shared and the local client use at the same time under
// different ids.
func TestSubmitDoesNotShareTheTicket(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	fleet := newFakeFleet(ctx, "a")
	ticket := &pb.Ticket{Tier: 1}
	first, second := newTestClient(ctx, fleet), newTestClient(ctx, fleet)
	second.Submit(testKey, &pb.Ticket{}, time.Now())
	call := first.Submit(testKey, ticket, time.Now())
	id := call.ticket.GetId()
	second.Submit(testKey, ticket, time.Now())
	require.Equal(t, id, call.ticket.GetId())
	require.Zero(t, ticket.GetId())
	cancel()
	first.Wait()
	second.Wait()
}
