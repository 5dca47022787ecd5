package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/internal/standin/platformstore"
	"github.com/basilloom/basilloom/internal/standin/worker"
	"github.com/basilloom/basilloom/platform"
)

// applyTime is the users' bound for a change to be in force.
const applyTime = 2500 * time.Millisecond

// world is a store, workers and instances on the loopback interface.
type world struct {
	t       *testing.T
	store   *platformstore.Store
	server  *httptest.Server
	version int64
	// engine makes the service one of model engines.
	engine bool
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: platformstore.New()}
	w.server = httptest.NewServer(w.store)
	t.Cleanup(func() {
		w.server.CloseClientConnections()
		w.server.Close()
	})
	return w
}

// route is one route of the test configuration.
type route struct {
	Name            string           `json:"name"`
	Host            string           `json:"host"`
	Prefix          string           `json:"prefix"`
	Kind            string           `json:"kind"`
	TimeoutMs       int              `json:"timeout_ms"`
	TargetLatencyMs int              `json:"target_latency_ms"`
	Service         string           `json:"service"`
	MaxAttempts     int              `json:"max_attempts"`
	Public          bool             `json:"public"`
	Resumable       bool             `json:"resumable"`
	TrafficSplit    []map[string]any `json:"traffic_split,omitempty"`
}

const (
	testHost = "h.example"
	testKey  = "key-1"
)

func testRoutes() []route {
	base := route{Host: testHost, TimeoutMs: 2000, TargetLatencyMs: 500, Service: "app", MaxAttempts: 2}
	safe, unsafe, stream, resumable, public, quick := base, base, base, base, base, base
	safe.Name, safe.Prefix, safe.Kind = "safe", "/safe/", "safe"
	unsafe.Name, unsafe.Prefix, unsafe.Kind = "unsafe", "/unsafe/", "unsafe"
	stream.Name, stream.Prefix, stream.Kind = "stream", "/stream/", "streaming"
	resumable.Name, resumable.Prefix, resumable.Kind, resumable.Resumable = "resumable", "/resumable/", "streaming", true
	public.Name, public.Prefix, public.Kind, public.Public = "public", "/public/", "safe", true
	quick.Name, quick.Prefix, quick.Kind, quick.TimeoutMs, quick.MaxAttempts = "quick", "/quick/", "unsafe", 300, 1
	return []route{safe, unsafe, stream, resumable, public, quick}
}

// configure writes a configuration as the operator does. The service becomes a
// model engine if the world's engine is set.
func (w *world) configure(routes []route, keys []string, rate int) {
	w.configureTenants(routes, []map[string]any{{
		"name": "acme", "api_keys": keys, "unit": "tokens", "plain_tokens": 1, "rate_per_s": rate, "burst": rate,
	}})
}

func (w *world) configureTenants(routes []route, tenants []map[string]any) {
	w.version += 3
	service := map[string]any{"name": "app", "max_conns": 50}
	if w.engine {
		service["engine"] = map[string]any{"stride": 1}
	}
	w.store.Put(platform.TableOperator, platform.KeyConfig, w.encode(map[string]any{
		"version": w.version, "routes": routes, "services": []map[string]any{service},
		"limits": map[string]any{"max_body_bytes": 1000}, "tenants": tenants,
	}))
}

func (w *world) encode(v any) []byte {
	data, err := json.Marshal(v)
	require.NoError(w.t, err)
	return data
}

// worker starts a worker and registers it.
func (w *world) worker(id string, b func(int, *http.Request) worker.Behaviour) *worker.Worker {
	started, err := worker.Start(id, b)
	require.NoError(w.t, err)
	w.t.Cleanup(started.Close)
	w.register(started, "ready")
	return started
}

func (w *world) register(k *worker.Worker, state string) { w.registerVersion(k, state, "v1") }

func (w *world) registerVersion(k *worker.Worker, state, version string) {
	w.store.Put(platform.TableTargets, k.ID, w.encode(map[string]any{
		"service": "app", "address": k.Address(), "zone": "z1", "version": version, "slots": 4, "state": state, "sequence": 1, "born": 1,
	}))
}

// node is a running instance.
type node struct {
	*Instance
	path   string
	reload chan os.Signal
	stop   context.CancelFunc
	ended  chan struct{}
}

// nextPort is the last port given to an instance. Ports below those that the
// system gives to outgoing connections are not taken by other tests meanwhile.
var nextPort atomic.Int32

// freeAddress returns an address whose port and the next one are free.
func freeAddress(t *testing.T) string {
	const first, count = 20000, 10000
	nextPort.CompareAndSwap(0, int32(os.Getpid()%count))
	for range count {
		port := first + int(nextPort.Add(2))%count
		if isFree(port) && isFree(port+1) {
			return fmt.Sprintf("127.0.0.1:%d", port)
		}
	}
	t.Fatal("no free port")
	return ""
}

func isFree(port int) bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	return err == nil && listener.Close() == nil
}

const settingsFile = `
node_name = %q
ip = "127.0.0.1"
zone = "z1"
region = "r1"
port_range = [%s,65535]
seeds = []
[zones]
z1 = "r1"
[listen]
frontend = %q
ready = %q
[limits]
memory_mb = 512
[bounds]
grace_s = 8
budget_ratio = 0.2
budget_extra = 60
[platform]
address = %q
`

// start starts an instance and waits until it is ready.
func (w *world) start(name string) *node { return w.startAt(name, w.server.URL) }

// assemble makes an instance that does not run yet.
func (w *world) assemble(name string) *node { return w.assembleAt(name, w.server.URL) }

func (w *world) assembleAt(name, store string) *node {
	n := &node{reload: make(chan os.Signal, 1), ended: make(chan struct{}), path: filepath.Join(w.t.TempDir(), "settings.toml")}
	_, port, err := net.SplitHostPort(freeAddress(w.t))
	require.NoError(w.t, err)
	text := fmt.Sprintf(settingsFile, name, port, freeAddress(w.t), freeAddress(w.t), strings.TrimPrefix(store, "http://"))
	require.NoError(w.t, os.WriteFile(n.path, []byte(text), 0o600))
	settings, err := platform.SettingsFile{Path: n.path}.Load()
	require.NoError(w.t, err)
	n.Instance, err = New(settings, zap.NewNop(), func() int64 { return 0 })
	require.NoError(w.t, err)
	return n
}

// startAt starts an instance that reaches the store at a URL.
func (w *world) startAt(name, store string) *node {
	n := w.assembleAt(name, store)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		defer close(n.ended)
		if err := n.Run(ctx, platform.SettingsFile{Path: n.path}, n.reload); err != nil {
			w.t.Errorf("instance %s: %v", name, err)
		}
	}()
	w.t.Cleanup(func() {
		cancel()
		<-n.ended
	})
	require.Eventually(w.t, func() bool { return n.ready() }, 5*time.Second, 10*time.Millisecond)
	return n
}

func (n *node) ready() bool {
	response, err := http.Get("http://" + n.settings.Load().Ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if the answer broke off.
	err error
}

var requestNumber atomic.Int64

// call sends a request as a caller does.
func (n *node) call(t *testing.T, method, path, body string, header map[string]string) answer {
	t.Helper()
	a, err := n.try(context.Background(), method, path, body, header)
	require.NoError(t, err)
	return a
}

func (n *node) try(ctx context.Context, method, path, body string, header map[string]string) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.settings.Load().Callers+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Host = testHost
	request.Header.Set("Request-Id", fmt.Sprintf("id-%d", requestNumber.Add(1)))
	request.Header.Set("Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Token "+testKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), err: err}, nil
}

// executed counts the runs of all workers, and how many requests ran.
func executed(workers ...*worker.Worker) int {
	n := 0
	for _, w := range workers {
		for _, r := range w.Runs() {
			if r.Executed {
				n++
			}
		}
	}
	return n
}
