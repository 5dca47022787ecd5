// Package callers tests that callers outside the limits neither end a process nor make it
// exceed its memory and its descriptors. Its tests start processes and run one at a time.
package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/platformstore"
	"github.com/basilloom/basilloom/internal/standin/ports"
	"github.com/basilloom/basilloom/platform"
)

// Limits in the settings of the tested processes.
const (
	memoryMB = 64
	maxFDs   = 800
	// maxHeaderBytes and maxBodyBytes are the largest head and body of a conforming caller.
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 1 << 20
	// largeResponse is the size of a response that does not fit the kernel's buffers.
	largeResponse = 8 << 20
)

const (
	testHost = "h.example"
	testKey  = "key-1"
	// answerTimeout is the time within which one ordinary request must be answered.
	answerTimeout = 60 * time.Second
	startTimeout  = 30 * time.Second
)

// binary is the path of the built basilloomd. It is built without the race detector, which
// multiplies the memory of a process.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "basilloom-callers")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "basilloomd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/basilloomd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running basilloomd.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
	output  bytes.Buffer
	// addresses are those of the listeners, by the name that loads use.
	addresses map[string]string
	// request sends one ordinary request and reports whether it was served.
	request func(ctx context.Context) error
	maxFDs  int
}

func run(t *testing.T, command *exec.Cmd) *process {
	t.Helper()
	p := &process{command: command, ended: make(chan struct{}), maxFDs: maxFDs}
	command.Stderr = &p.output
	require.NoError(t, command.Start())
	go func() {
		defer close(p.ended)
		_ = command.Wait()
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("end of the output:\n%s", p.output.Bytes()[max(0, p.output.Len()-2000):])
		}
	})
	return p
}

// peakMemory returns the largest resident memory of the process in bytes.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(data), "VmHWM:")
	require.True(t, found, "the process has ended")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kilobytes << 10
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	require.NoError(t, err)
	return len(entries)
}

// requireAlive checks that the process runs and stays within its memory and descriptors.
func (p *process) requireAlive(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		require.FailNow(t, "the process ended", p.command.ProcessState)
	default:
	}
	memory, descriptors := p.peakMemory(t), p.descriptors(t)
	t.Logf("peak memory %.1f MB, %d descriptors", float64(memory)/(1<<20), descriptors)
	require.LessOrEqual(t, memory, memoryMB<<20)
	require.LessOrEqual(t, descriptors, p.maxFDs)
}

// requireAnswer sends an ordinary request on new connections until one is answered.
func (p *process) requireAnswer(t *testing.T, when string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		if err = p.request(ctx); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	require.NoError(t, err, when)
}

// send sends a request on a new connection and returns an error unless it is served.
func send(ctx context.Context, request *http.Request) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return nil
}

func freePort(t *testing.T) int {
	t.Helper()
	port, err := ports.Free(1)
	require.NoError(t, err)
	return port
}

const settingsFile = `
node_name = "i1"
ip = "127.0.0.1"
zone = "z1"
region = "r1"
port_range = [%d,65535]
seeds = []
[zones]
z1 = "r1"
[listen]
frontend = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
memory_mb = %d
max_fds = %d
[bounds]
grace_s = 8
budget_ratio = 0.2
budget_extra = 60
[platform]
address = %q
`

// serveWorker serves a request as a worker of the users' platform. Requests below /app/hang take
// as long as their callers wait.
func serveWorker(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if strings.HasPrefix(r.URL.Path, "/app/hang") {
		<-r.Context().Done()
		return
	}
	rw.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	rw.Header().Set("Response-Seal", "s")
	if strings.HasPrefix(r.URL.Path, "/app/large") {
		_, _ = rw.Write(make([]byte, largeResponse)) // the instance may break off
	}
}

// callerRules are the limits of conforming callers in a configuration.
type callerRules struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

// startPlatform starts an instance of the users' platform with one worker.
func startPlatform(t *testing.T) *process {
	t.Helper()
	return startPlatformFor(t, callerRules{MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000})
}

func startPlatformFor(t *testing.T, rules callerRules) *process {
	t.Helper()
	store := platformstore.New()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	w := httptest.NewServer(http.HandlerFunc(serveWorker))
	t.Cleanup(func() {
		w.CloseClientConnections()
		w.Close()
	})
	put(t, store, platform.TableTargets, "w-a", map[string]any{
		"service": "app", "address": strings.TrimPrefix(w.URL, "http://"), "zone": "z1", "version": "v1", "slots": 300, "state": "ready", "sequence": 1, "born": 1,
	})
	put(t, store, platform.TableOperator, platform.KeyConfig, map[string]any{
		"version": 3, "services": []map[string]any{{"name": "app"}},
		"routes": []map[string]any{{
			"name": "app", "host": testHost, "prefix": "/app/", "kind": "unsafe", "timeout_ms": 5000, "target_latency_ms": 4000, "service": "app", "max_attempts": 1,
		}},
		"limits":  rules,
		"tenants": []map[string]any{{"name": "acme", "api_keys": []string{testKey}}},
	})
	listeners := map[string]int{"peers": freePort(t), "callers": freePort(t), "ready": freePort(t), "metrics": freePort(t)}
	path := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf(settingsFile, listeners["peers"], listeners["callers"], listeners["ready"], memoryMB, maxFDs, strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	p := run(t, exec.Command(binary, "platform", "--settings-file="+path, fmt.Sprintf("--metrics-port=%d", listeners["metrics"]), "--log-level=error"))
	p.addresses = make(map[string]string)
	for name, port := range listeners {
		p.addresses[name] = fmt.Sprintf("127.0.0.1:%d", port)
	}
	p.request = func(ctx context.Context) error { return send(ctx, p.ordinary("app/1", nil)) }
	require.Eventually(t, func() bool { return p.request(t.Context()) == nil }, startTimeout, 50*time.Millisecond)
	return p
}

// ordinary returns a request of a conforming caller of the users' platform.
func (p *process) ordinary(path string, body []byte) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.addresses["callers"]+"/"+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = testHost
	request.Header = http.Header{"Request-Id": {"ordinary"}, "Deadline-Ms": {"5000"}, "Authorization": {"Token " + testKey}}
	return request
}

func put(t *testing.T, store *platformstore.Store, table, key string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	require.NoError(t, err)
	store.Put(table, key, data)
}
