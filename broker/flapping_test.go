package broker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
)

// flappingFleet is a fleet whose instances temporarily disagree on the owner. They
// share one engine, which reports its running requests.
type flappingFleet struct {
	*fakeFleet
	views   map[string]*atomic.Pointer[string]
	running atomic.Int64
}

// view is one instance's view of the owner.
type view struct {
	fleet *flappingFleet
	self  string
}

func (v view) Owner(GroupKey) (Peer, bool) {
	return Peer{Name: *v.fleet.views[v.self].Load()}, true
}

func (f *flappingFleet) Group(GroupKey) (GroupSettings, bool) {
	return GroupSettings{
		Config: scheduler.GroupConfig{
			Pool: testKey.Pool, TokenInterval: 32 * time.Millisecond,
			TierIntervals: map[scheduler.Rank]time.Duration{0: 32 * time.Millisecond, 1: 100 * time.Millisecond},
		},
		Targets: []scheduler.Target{{Name: "t", Concurrency: 2, Versions: []string{"v1"}}},
	}, true
}

func (f *flappingFleet) Load(context.Context, PollTarget) (scheduler.LoadReport, error) {
	return scheduler.LoadReport{Target: "t", AsOf: time.Now(), Running: int(f.running.Load())}, nil
}

func (f *flappingFleet) Versions(context.Context, PollTarget) ([]string, error) {
	return []string{"v1"}, nil
}

// Open connects to Manager.Serve as a network stream does.
func (f *flappingFleet) Open(ctx context.Context, peer Peer) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	p := &pipe{ctx: ctx, cancel: cancel, up: make(chan *pb.TicketsRequest, 64), down: make(chan *pb.TicketsResponse, 64)}
	go func() {
		defer cancel()
		_ = f.managers[peer.Name].Serve(ctx, servedPipe{p})
	}()
	return p, nil
}

type pipe struct {
	ctx    context.Context
	cancel context.CancelFunc
	up     chan *pb.TicketsRequest
	down   chan *pb.TicketsResponse
}

func (p *pipe) Send(m *pb.TicketsRequest) error       { return transfer(p.ctx, p.up, m) }
func (p *pipe) Receive() (*pb.TicketsResponse, error) { return take(p.ctx, p.down) }
func (p *pipe) Close() error                          { p.cancel(); return nil }

type servedPipe struct{ *pipe }

func (p servedPipe) Send(m *pb.TicketsResponse) error     { return transfer(p.ctx, p.down, m) }
func (p servedPipe) Receive() (*pb.TicketsRequest, error) { return take(p.ctx, p.up) }

func transfer[M any](ctx context.Context, to chan<- M, m M) error {
	select {
	case to <- m:
		return nil
	case <-ctx.Done():
		return io.EOF
	}
}

func take[M any](ctx context.Context, from <-chan M) (m M, err error) {
	select {
	case m = <-from:
		return m, nil
	case <-ctx.Done():
		return m, io.EOF
	}
}

// maxFlapWait is the time for 12 requests of 0.6 s on two slots, for at most 1.8 s
// of disagreement, and for the delays before a stream is reopened.
const maxFlapWait = 14 * time.Second

// Guards against tickets that wait until their deadline although the engine is idle,
// after the instances have disagreed on the owner of the group.
func TestFlappingOwnerDoesNotStrandTickets(t *testing.T) {
	for seed := range uint64(1000) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, func(t *testing.T, ctx context.Context) { flap(t, ctx, seed) }) })
	}
}

func flap(t *testing.T, ctx context.Context, seed uint64) {
	names := []string{"a", "b", "c"}
	rng := rand.New(rand.NewPCG(seed, 0))
	f := &flappingFleet{
		fakeFleet: &fakeFleet{managers: map[string]*Manager{}, cancels: map[string]context.CancelFunc{}},
		views:     map[string]*atomic.Pointer[string]{},
	}
	clients := make(map[string]*Client)
	for _, name := range names {
		f.views[name] = &atomic.Pointer[string]{}
		f.views[name].Store(&names[rng.IntN(3)])
		f.managers[name] = NewManager(ctx, name, view{f, name}, f, f, Hooks{}, zap.NewNop())
	}
	for i, name := range names {
		clients[name] = NewClient(ctx, ClientSettings{
			Self: name, Incarnation: uint64(i + 1), Resolver: view{f, name}, Opener: f, Local: f.managers[name], Log: zap.NewNop(),
		})
	}
	var calls sync.WaitGroup
	var late atomic.Int64
	begin := func(c *Client, rank int32) {
		call := c.Submit(testKey, &pb.Ticket{Workspace: "w", Version: "v1", Tier: rank, PromptTokens: 12, OutputTokens: 12}, time.Now().Add(20*time.Second))
		calls.Go(func() {
			began := time.Now()
			_, err := call.Wait(ctx)
			if err != nil || time.Since(began) > maxFlapWait {
				late.Add(1)
				t.Logf("ticket of rank %d waited %v: %v", rank, time.Since(began), err)
			}
			if err != nil {
				return
			}
			call.Dispatched()
			f.running.Add(1)
			time.Sleep(600 * time.Millisecond)
			f.running.Add(-1)
			call.Complete(&pb.Completion{Result: pb.Result_RESULT_SERVED, PromptTokens: 12, OutputTokens: 12, FirstTokenMs: 40, TotalMs: 600})
		})
	}
	for n := range 12 {
		begin(clients[names[n%3]], int32(n%2))
	}
	for range 1 + rng.IntN(5) {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		name := names[rng.IntN(3)]
		f.views[name].Store(&names[rng.IntN(3)])
		f.managers[name].Refresh()
	}
	final := &names[rng.IntN(3)]
	for _, name := range names {
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		f.views[name].Store(final)
		f.managers[name].Refresh()
	}
	calls.Wait()
	require.Zero(t, late.Load())
}
