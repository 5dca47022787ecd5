package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/config"
	"github.com/basilloom/basilloom/engine"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
	standin "github.com/basilloom/basilloom/internal/standin/engine"
	"github.com/basilloom/basilloom/peer"
	"github.com/basilloom/basilloom/scheduler"
)

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	read, written atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countedConn{Conn: conn, listener: l}, err
}

type countedConn struct {
	net.Conn
	listener *countingListener
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.read.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.written.Add(int64(n))
	return n, err
}

// cpuTime returns the processor time that this process has used.
func cpuTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// report adds the bytes per operation as metrics, without TCP and IP headers.
func (l *countingListener) report(b *testing.B) {
	b.ReportMetric(float64(l.read.Load())/float64(b.N), "B-to-server/op")
	b.ReportMetric(float64(l.written.Load())/float64(b.N), "B-from-server/op")
}

func listenCounting(tb testing.TB) *countingListener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	return &countingListener{Listener: listener}
}

// singleGroup implements Source, Resolver and Reports for one group with a fixed owner.
type singleGroup struct {
	owner broker.Peer
}

func (g *singleGroup) Owner(broker.GroupKey) (broker.Peer, bool) { return g.owner, true }
func (g *singleGroup) Weight(string) float64                     { return 1 }
func (g *singleGroup) Group(broker.GroupKey) (broker.GroupSettings, bool) {
	var targets []scheduler.Target
	for i := range 79 {
		targets = append(targets, scheduler.Target{Name: fmt.Sprintf("target-%d", i), Concurrency: 32, Versions: []string{"v1"}})
	}
	return broker.GroupSettings{Targets: targets}, true
}
func (g *singleGroup) Load(context.Context, broker.PollTarget) (scheduler.LoadReport, error) {
	return scheduler.LoadReport{}, context.Canceled
}
func (g *singleGroup) CacheEvents(context.Context, broker.PollTarget, int64) ([]scheduler.CacheEvent, error) {
	return nil, context.Canceled
}
func (g *singleGroup) Versions(context.Context, broker.PollTarget) ([]string, error) {
	return nil, context.Canceled
}

type ticketServer struct {
	basilloomv1connect.UnimplementedPeerServiceHandler
	manager *broker.Manager
}

func (s ticketServer) Tickets(ctx context.Context, stream *connect.BidiStream[pb.TicketsRequest, pb.TicketsResponse]) error {
	return s.manager.Serve(ctx, stream)
}

// BenchmarkTicket measures the control messages of one request over a TCP connection:
// ticket, grant, use of the grant and completion, without batching.
func BenchmarkTicket(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	listener := listenCounting(b)
	group := &singleGroup{owner: broker.Peer{Name: "broker", Address: listener.Addr().String()}}
	manager := broker.NewManager(ctx, "broker", group, group, group, broker.Hooks{}, zap.NewNop())
	key, err := peer.NewKey("0123456789abcdef")
	require.NoError(b, err)
	server := peer.NewServer(peer.Handler(key, ticketServer{manager: manager}))
	go func() { _ = server.Serve(listener) }()
	client := broker.NewClient(ctx, broker.ClientSettings{
		Self: "entry-1", Incarnation: uint64(time.Now().UnixNano()), Region: "west",
		Resolver: group, Opener: broker.ConnectOpener(peer.NewPool(key).Client), Log: zap.NewNop(),
	})
	b.ReportAllocs()
	before := cpuTime(b)
	for n := range b.N {
		ticket := &pb.Ticket{
			Workspace: fmt.Sprintf("workspace-%d", n%990), Route: "plans", Tier: int32(n % 5), Version: "v1",
			PromptTokens: 2000, OutputTokens: 470, BodyBytes: 8000, Fingerprint: uint64(n),
			Prefix: []uint64{1, 2, 3, 4, 5, 6}, Cancellable: true, Idempotent: true,
		}
		call := client.Submit(broker.GroupKey{Pool: "models"}, ticket, time.Now().Add(time.Minute))
		_, err := call.Wait(ctx)
		require.NoError(b, err)
		call.Dispatched()
		call.Complete(&pb.Completion{
			Result: pb.Result_RESULT_SERVED, OutputTokens: 470, PromptTokens: 2000, CachedTokens: 640, FirstTokenMs: 400, TotalMs: 15000,
		})
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
	listener.report(b)
	cancel()
	_ = server.Close()
	client.Wait()
	manager.Wait()
}

// BenchmarkLoadPoll measures one load report of a target over a persistent connection.
func BenchmarkLoadPoll(b *testing.B) {
	e := standin.New(standin.DefaultSettings())
	defer e.Close()
	listener := listenCounting(b)
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	client := engine.NewClient()
	target := engine.Target{Name: "t", Address: "http://" + listener.Addr().String()}
	b.ReportAllocs()
	before := cpuTime(b)
	for range b.N {
		_, err := client.Load(context.Background(), target)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
	listener.report(b)
	client.Close()
	_ = server.Close()
}

// BenchmarkConfigSize reports the size of a configuration with 990 workspaces
// and 1,100 targets, and the time to build its lookup tables.
func BenchmarkConfigSize(b *testing.B) {
	c := &pb.Config{}
	for i := range 990 {
		c.Workspaces = append(c.Workspaces, &pb.Workspace{
			Name: fmt.Sprintf("workspace-%d", i), TokenSha256: fmt.Sprintf("%064x", i), Weight: 1, RequestsPerSecond: 10, Burst: 20,
		})
	}
	for i := range 1100 {
		c.Targets = append(c.Targets, &pb.Target{
			Name: fmt.Sprintf("target-%d", i), Pool: fmt.Sprintf("model-%d", i%14), Region: "eu-west", Zone: "eu-west-a",
			Address: fmt.Sprintf("http://10.%d.%d.1:8000", i/250, i%250), Versions: []string{"2026-11"}, Concurrency: 32,
			PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 60, ChecksFencing: true,
		})
	}
	content, hash, err := config.Encode(c)
	require.NoError(b, err)
	b.ReportMetric(float64(len(content)), "B/config")
	b.ReportAllocs()
	for range b.N {
		config.NewSnapshot(1, hash, c)
	}
}
