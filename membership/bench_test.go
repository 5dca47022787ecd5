package membership

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
	"github.com/basilloom/basilloom/peer"
)

var report = flag.Bool("report", false, "measure the traffic at all fleet sizes, not only at 9 and 50")

// Guards against traffic that grows with the fleet beyond 2 KB/s per instance, also
// while evidence of a move is exchanged. Bytes are marshalled messages and measured
// HTTP/2 framing, without TCP and IP headers.
func TestTrafficReport(t *testing.T) {
	sizes := []int{9, 50}
	if *report {
		sizes = []int{9, 50, 150, 440}
	}
	fresh, reused := measureFraming(t)
	t.Logf("framing of one exchange, both directions: %d B on a new connection, %d B on a reused one", fresh, reused)
	for _, n := range sizes {
		withFleet(t, uint64(n), func(t *testing.T, f *fleet) {
			members := f.startAll(n)
			time.Sleep(5 * time.Second)
			const seconds, restarts, restartsPerDay = 60, 5, 244.0
			idleCalls, idleBytes := f.measure(seconds*time.Second, nil)
			churnCalls, churnBytes := f.measure(seconds*time.Second, func() {
				for i := range restarts {
					members[i].stop()
					time.Sleep(time.Second)
					members[i] = f.start(i, 2)
				}
			})
			instanceSeconds := float64(n) * seconds
			calls, payload := float64(idleCalls)/instanceSeconds, float64(idleBytes)/instanceSeconds
			// The pool keeps a connection for IdleTimeout after its last call.
			reuse := 1 - pow(1-1/float64(n-1), int(peer.IdleTimeout/GossipInterval))
			framing := reuse*float64(reused) + (1-reuse)*float64(fresh)
			eventCalls := float64(churnCalls-idleCalls) / restarts / float64(n)
			eventBytes := float64(churnBytes-idleBytes)/restarts/float64(n) + eventCalls*framing
			idle := payload + calls*framing
			churn := idle + eventBytes*restartsPerDay/86400
			t.Logf("n=%d idle: %.2f calls/s, payload %.0f B/s, sent %.0f B/s; sent and received %.0f B/s", n, calls, payload, idle, 2*idle)
			t.Logf("n=%d one restart: %.1f calls, %.0f B sent by each instance; with 244 restarts a day: sent %.0f B/s, sent and received %.0f B/s", n, eventCalls, eventBytes, churn, 2*churn)
			require.Less(t, 2*churn, 2048.0)
			_, evidenceBytes := f.measure(seconds*time.Second, func() {
				for range seconds / 10 {
					f.addEvidence(members)
					time.Sleep(10 * time.Second)
				}
			})
			t.Logf("n=%d one move in progress, each instance counts 2 versions each 10 s: payload sent %.0f B/s", n, float64(evidenceBytes)/instanceSeconds)
			require.Less(t, 2*(churn-payload+float64(evidenceBytes)/instanceSeconds), 2048.0)
		})
	}
}

// addEvidence adds new counters for two versions of one move on each instance.
func (f *fleet) addEvidence(members []*member) {
	window := time.Now().UnixNano() / int64(EvidenceWindow)
	for _, m := range members {
		for _, version := range []string{"v1", "v2"} {
			key := EvidenceKey{"move-1", version, m.self.Name, m.self.Incarnation, window}
			m.AddEvidence(Evidence{EvidenceKey: key, Requests: 70, Failures: 1, FirstToken: TimeSums{69, 390_000, 2_200_000}, TokenInterval: TimeSums{69, 220_000, 710_000}})
		}
	}
}

func pow(base float64, exponent int) float64 {
	result := 1.0
	for range exponent {
		result *= base
	}
	return result
}

// measure returns the number of requests and payload bytes of the whole fleet
// within a span. It calls during, if not nil, at the start of the span.
func (f *fleet) measure(span time.Duration, during func()) (requests, bytes int) {
	end := time.Now().Add(span)
	f.locked(func() { f.requests, f.wireBytes = 0, 0 })
	if during != nil {
		during()
	}
	time.Sleep(time.Until(end))
	f.locked(func() { requests, bytes = f.requests, f.wireBytes })
	return requests, bytes
}

// server serves an Exchanger over loopback and counts bytes in both directions.
type server struct {
	basilloomv1connect.UnimplementedPeerServiceHandler
	net.Listener
	exchanger *Exchanger
	bytes     atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (s *server) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	return countingConn{conn, &s.bytes}, err
}

func (s *server) Exchange(ctx context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	response, err := s.exchanger.Handle(ctx, r.Msg)
	return connect.NewResponse(response), err
}

func serveLoopback(tb testing.TB) (*server, *peer.Pool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	key, err := peer.NewKey("0123456789abcdef0123456789abcdef")
	require.NoError(tb, err)
	s := &server{Listener: listener, exchanger: newWithMembers(440)}
	httpServer := peer.NewServer(peer.Handler(key, s))
	go func() { _ = httpServer.Serve(s) }()
	pool := peer.NewPool(key)
	tb.Cleanup(func() {
		pool.Close()
		_ = httpServer.Close()
	})
	return s, pool
}

// measureFraming returns the bytes of an exchange that are not part of the
// marshalled messages, for a new connection and for a reused one.
func measureFraming(t *testing.T) (fresh, reused int64) {
	s, pool := serveLoopback(t)
	request := newWithMembers(440).request("instance-001", 0)
	exchange := func() int64 {
		before := s.bytes.Load()
		response, err := pool.Exchange(t.Context(), s.Addr().String(), request)
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond) // HTTP/2 settings are acknowledged after the response
		return s.bytes.Load() - before - int64(proto.Size(request)+proto.Size(response))
	}
	fresh = exchange()
	const repeats = 10
	for range repeats {
		reused += exchange()
	}
	return fresh, reused / repeats
}

// newWithMembers returns an Exchanger without pending changes whose view has n
// members.
func newWithMembers(n int) *Exchanger {
	instance := func(i int) Instance {
		return Instance{
			Name:        fmt.Sprintf("instance-%03d", i),
			Incarnation: 1764835200000 + uint64(i),
			Address:     fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1),
			Region:      "eu-west",
			Zone:        "eu-west-1",
		}
	}
	e := New(Options{Self: instance(0), Rand: rand.New(rand.NewPCG(1, 1))})
	for i := 1; i < n; i++ {
		e.view.Merge(Record{Instance: instance(i), State: StateLive}, time.Now())
	}
	clear(e.queue.remaining)
	return e
}

// BenchmarkExchange measures both sides of an exchange between views of 440
// members, without transport, with 0, 1 and MaxRecords changed members per message.
func BenchmarkExchange(b *testing.B) {
	for _, changes := range []int{0, 1, MaxRecords} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			from, to := newWithMembers(440), newWithMembers(440)
			records := from.view.Records()
			refutation := uint32(0)
			for b.Loop() {
				refutation++
				for _, r := range records[1 : changes+1] {
					r.Refutation = refutation
					from.view.Merge(r, time.Now())
					from.queue.add(recordKey{kind: kindMember, name: r.Name}, 1)
				}
				response, err := to.Handle(b.Context(), from.request("instance-001", MaxRecords))
				if err != nil {
					b.Fatal(err)
				}
				from.merge(response)
			}
		})
	}
}

// BenchmarkLoopback measures the CPU time of client and server together for an
// exchange over HTTP/2, on a new connection and on a reused one.
func BenchmarkLoopback(b *testing.B) {
	for _, name := range []string{"new", "reused"} {
		b.Run(name, func(b *testing.B) {
			s, pool := serveLoopback(b)
			request := newWithMembers(440).request("instance-001", 0)
			before := cpuTime(b)
			for b.Loop() {
				if _, err := pool.Exchange(b.Context(), s.Addr().String(), request); err != nil {
					b.Fatal(err)
				}
				if name == "new" {
					pool.Close()
				}
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

func cpuTime(b *testing.B) int64 {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// BenchmarkViewMemory measures the heap of a view with 440 members.
func BenchmarkViewMemory(b *testing.B) {
	const views = 20
	exchangers := make([]*Exchanger, 0, views)
	var before, after runtime.MemStats
	for b.Loop() {
		clear(exchangers)
		exchangers = exchangers[:0]
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range views {
			e := newWithMembers(440)
			e.view.Live()
			exchangers = append(exchangers, e)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/views, "B/view")
	runtime.KeepAlive(exchangers)
}

// BenchmarkOwner measures the selection of an owner among 440 members.
func BenchmarkOwner(b *testing.B) {
	e := newWithMembers(440)
	for b.Loop() {
		e.view.Owner("pool/model-7/0", "")
	}
}
