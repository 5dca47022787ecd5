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
	"github.com/basilloom/basilloom/internal/standin/ports"
	"github.com/basilloom/basilloom/internal/standin/worker"
	"github.com/basilloom/basilloom/platform"
)

// applyTime is the required time for a change to be in force.
const applyTime = 2500 * time.Millisecond

// contactTime is the time after a disturbance within which an instance must behave as
// before it.
const contactTime = 4 * time.Second

// testEnv is a store, workers and instances on the loopback interface.
type testEnv struct {
	t       *testing.T
	store   *platformstore.Store
	server  *httptest.Server
	version int64
	// engine is set if the service consists of model engines.
	engine bool
	// coldPerSecond limits the requests to cold targets if it is set.
	coldPerSecond float64
	// memoryMB is the memory of a machine, maxBodyBytes the largest body of a request.
	memoryMB, maxBodyBytes int
	// settings replaces parts of the settings file, old and new text in turn.
	settings []string
	// log receives the lines of the instances.
	log *zap.Logger
	// plainSharedFrom is the setting of the same name.
	plainSharedFrom int
	// contracts are the contracts in the settings, as TOML.
	contracts string
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{t: t, store: platformstore.New(), memoryMB: 512, maxBodyBytes: 1000, log: zap.NewNop()}
	env.server = httptest.NewServer(env.store)
	t.Cleanup(func() {
		env.server.CloseClientConnections()
		env.server.Close()
	})
	return env
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
	AllowedRegions  []string         `json:"allowed_regions,omitempty"`
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

// configure writes a configuration as the operator does. The service consists of model
// engines if env.engine is set.
func (env *testEnv) configure(routes []route, keys []string, rate int) {
	env.configureTenants(routes, []map[string]any{{
		"name": "acme", "api_keys": keys, "unit": "tokens", "plain_tokens": 1, "rate_per_s": rate, "burst": rate,
	}})
}

func (env *testEnv) configureTenants(routes []route, tenants []map[string]any) {
	env.version += 3
	service := map[string]any{"name": "app", "max_conns": 50}
	if env.engine {
		service["engine"] = map[string]any{"stride": 1}
	}
	if env.coldPerSecond > 0 {
		service["cold_start_s"], service["cold_per_s"] = 3.0, env.coldPerSecond
	}
	env.store.Put(platform.TableOperator, platform.KeyConfig, env.encode(map[string]any{
		"version": env.version, "routes": routes, "services": []map[string]any{service},
		"limits": map[string]any{"max_body_bytes": env.maxBodyBytes}, "tenants": tenants,
	}))
}

func (env *testEnv) encode(v any) []byte {
	data, err := json.Marshal(v)
	require.NoError(env.t, err)
	return data
}

// worker starts a worker and registers it.
func (env *testEnv) worker(id string, script func(int, *http.Request) worker.Behaviour) *worker.Worker {
	started, err := worker.Start(id, script)
	require.NoError(env.t, err)
	env.t.Cleanup(started.Close)
	env.register(started, "ready")
	return started
}

func (env *testEnv) register(w *worker.Worker, state string) { env.registerVersion(w, state, "v1") }

func (env *testEnv) registerVersion(w *worker.Worker, state, version string) {
	env.registerStart(w, state, version, 1)
}

// registerStart registers the start of a worker at the given time.
func (env *testEnv) registerStart(w *worker.Worker, state, version string, startedAtUnixMilli int) {
	env.registerIn("z1", w, state, version, startedAtUnixMilli)
}

// registerIn registers the start of a worker in an availability zone.
func (env *testEnv) registerIn(zone string, w *worker.Worker, state, version string, startedAtUnixMilli int) {
	env.store.Put(platform.TableTargets, w.ID, env.encode(map[string]any{
		"service": "app", "address": w.Address(), "zone": zone, "version": version, "slots": 4, "state": state, "sequence": 1, "born": startedAtUnixMilli,
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

// freeAddress returns an address whose port and the next one are free.
func freeAddress(t *testing.T) string {
	port, err := ports.Free(2)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", port)
}

const settingsFile = `
node_name = %q
ip = "127.0.0.1"
zone = "z1"
region = "r1"
port_range = [%s,65535]
contracts = []
seeds = []
[zones]
z1 = "r1"
[listen]
frontend = %q
ready = %q
[limits]
memory_mb = %d
[bounds]
grace_s = 8
budget_ratio = 0.2
budget_extra = 60
cold_overage = 1.5
cold_slack = 5.0
[platform]
address = %q
`

// start starts an instance and waits until it is ready.
func (env *testEnv) start(name string) *node { return env.startAt(name, env.server.URL) }

// assemble returns an instance that does not run yet.
func (env *testEnv) assemble(name string) *node { return env.assembleAt(name, env.server.URL) }

func (env *testEnv) assembleAt(name, store string) *node {
	n := &node{reload: make(chan os.Signal, 1), ended: make(chan struct{}), path: filepath.Join(env.t.TempDir(), "settings.toml")}
	_, port, err := net.SplitHostPort(freeAddress(env.t))
	require.NoError(env.t, err)
	text := fmt.Sprintf(settingsFile, name, port, freeAddress(env.t), freeAddress(env.t), env.memoryMB, strings.TrimPrefix(store, "http://"))
	text = strings.NewReplacer(env.settings...).Replace(text)
	contracts := env.contracts
	if env.coldPerSecond > 0 {
		contracts = `"places"`
	}
	text = strings.Replace(text, "contracts = []", fmt.Sprintf("contracts = [%s]", contracts), 1)
	require.NoError(env.t, os.WriteFile(n.path, []byte(text), 0o600))
	settings, err := platform.SettingsFile{Path: n.path, PlainSharedFrom: env.plainSharedFrom}.Load()
	require.NoError(env.t, err)
	n.Instance, err = New(settings, env.log, func() int64 { return 0 })
	require.NoError(env.t, err)
	return n
}

// refusingStore serves the store at another address, where it refuses calls while the flag
// is set.
func (env *testEnv) refusingStore() (*httptest.Server, *atomic.Bool) {
	var refused atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if refused.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		env.store.ServeHTTP(rw, r)
	}))
	env.t.Cleanup(server.Close)
	return server, &refused
}

// startAt starts an instance that reaches the store at a URL.
func (env *testEnv) startAt(name, store string) *node {
	n := env.assembleAt(name, store)
	env.run(n)
	return n
}

// run starts an assembled instance and waits until it is ready.
func (env *testEnv) run(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		defer close(n.ended)
		if err := n.Run(ctx, platform.SettingsFile{Path: n.path}, n.reload); err != nil {
			env.t.Errorf("instance %s: %v", n.settings.Load().Instance, err)
		}
	}()
	env.t.Cleanup(func() {
		cancel()
		<-n.ended
	})
	require.Eventually(env.t, func() bool { return n.ready() }, 5*time.Second, 10*time.Millisecond)
}

func (n *node) ready() bool {
	response, err := http.Get("http://" + n.settings.Load().Ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// callerResponse is the response that a caller got.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// err is set if the response was truncated.
	err error
}

var requestNumber atomic.Int64

// call sends a request as a caller does.
func (n *node) call(t *testing.T, method, path, body string, header map[string]string) callerResponse {
	t.Helper()
	got, err := n.try(context.Background(), method, path, body, header)
	require.NoError(t, err)
	return got
}

func (n *node) try(ctx context.Context, method, path, body string, header map[string]string) (callerResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.settings.Load().Callers+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{}, err
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
		return callerResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(data), err: err}, nil
}

// executed returns the number of requests that the workers executed.
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
