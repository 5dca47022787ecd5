package instance

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/platform"
)

// heapSlack is what a test and the rest of an instance allocate beside the requests.
const heapSlack = 24 << 20

// liveHeap returns the bytes of the objects in use.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a process that is killed for its memory, with all its requests, because many
// callers send bodies of the permitted size at once.
func TestBodiesInFlightFitTheMemory(t *testing.T) {
	const callers, bodyBytes = 60, 4 << 20
	env := newTestEnv(t)
	env.memoryMB, env.maxBodyBytes = 112, bodyBytes
	executed := env.discardingWorker("w-slow")
	env.configure([]route{{Name: "large", Host: testHost, Prefix: "/large/", Kind: "unsafe", TimeoutMs: 8000, TargetLatencyMs: 6000, Service: "app", MaxAttempts: 1}}, []string{testKey}, 0)
	n := env.start("i1")
	body := strings.Repeat("b", bodyBytes)
	before := liveHeap()
	var responses [callers]callerResponse
	var running sync.WaitGroup
	for k := range callers {
		running.Go(func() {
			// The connection may break while the rest of a refused body is sent.
			responses[k], _ = n.try(t.Context(), http.MethodPost, "/large/1", body, map[string]string{"Deadline-Ms": "8000"})
		})
	}
	time.Sleep(discardTime / 2)
	require.Less(t, liveHeap()-before, int64(env.memoryMB<<20)/3+heapSlack)
	running.Wait()
	served := 0
	for _, r := range responses {
		switch r.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			require.NotEmpty(t, r.header.Get("Retry-After"))
		default:
			require.Zero(t, r.status)
		}
	}
	require.Positive(t, served)
	require.Equal(t, served, int(executed.Load()), "a refused request did not run")
	require.Equal(t, http.StatusOK, n.call(t, http.MethodPost, "/large/1", "small", map[string]string{"Deadline-Ms": "8000"}).status)
}

// discardTime is how long a discardingWorker takes for a request.
const discardTime = 3 * time.Second

// discardingWorker registers a worker that does not keep the bodies of its requests. It
// returns the number of requests that it executed.
func (env *testEnv) discardingWorker(id string) *atomic.Int32 {
	var executed atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		executed.Add(1)
		time.Sleep(discardTime)
		rw.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		rw.Header().Set("Response-Seal", "s")
	}))
	env.t.Cleanup(server.Close)
	env.registerAddress(id, server.Listener.Addr().String())
	return &executed
}

func (env *testEnv) registerAddress(id, address string) {
	env.store.Put(platform.TableTargets, id, env.encode(map[string]any{
		"service": "app", "address": address, "zone": "z1", "version": "v1", "slots": 200, "state": "ready", "sequence": 1, "born": 1,
	}))
}

// stalledWorker registers a worker that responds to each request with the given bytes and then
// sends nothing more. In them, ID stands for the id of the request.
func (env *testEnv) stalledWorker(id string, response string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(env.t, err)
	env.t.Cleanup(func() { _ = listener.Close() })
	long := []byte(response)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				// A copy of the long part for each request would count as the instance's memory.
				head, rest, _ := strings.Cut(response, "ID")
				_, _ = io.WriteString(conn, head+request.Header.Get("Request-Id"))
				_, _ = conn.Write(long[len(long)-len(rest):])
				_, _ = conn.Read(make([]byte, 1)) // until the instance closes the connection
			}()
		}
	}()
	env.registerAddress(id, listener.Addr().String())
}

// discard sends a request and reads its response without keeping it.
func (n *node) discard(ctx context.Context, path string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.Load().Callers+path, nil)
	if err != nil {
		return
	}
	request.Host = testHost
	request.Header = http.Header{"Request-Id": {"r"}, "Deadline-Ms": {"4000"}, "Authorization": {"Token " + testKey}}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// Guards against a process that is killed for its memory because faulty workers send bytes
// without end, as the head of a response, in its body or in an event.
func TestLongResponsesInFlightFitTheMemory(t *testing.T) {
	const callers = 120
	head := "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n"
	for name, c := range map[string]struct{ path, response string }{
		"head":  {"/safe/1", head + "Filler: " + strings.Repeat("h", 240<<10)},
		"body":  {"/safe/1", head + "Connection: close\r\n\r\n" + strings.Repeat("b", 1000<<10)},
		"event": {"/stream/1", head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: " + strings.Repeat("e", 250<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.memoryMB = 20
			env.stalledWorker("w-stalled", c.response)
			routes := testRoutes()
			for k := range routes {
				routes[k].TimeoutMs, routes[k].MaxAttempts = 4000, 1
			}
			env.configure(routes, []string{testKey}, 0)
			n := env.start("i1")
			before := liveHeap()
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			for range callers {
				running.Go(func() { n.discard(ctx, c.path) })
			}
			time.Sleep(1500 * time.Millisecond)
			require.Less(t, liveHeap()-before, int64(env.memoryMB<<20)/3+heapSlack/2)
			cancel()
			running.Wait()
			require.Eventually(t, func() bool { return n.memory.Held() == 0 }, contactTime, 10*time.Millisecond)
		})
	}
}
