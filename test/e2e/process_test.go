// Package e2e runs end-to-end tests with separate processes: instances,
// stand-ins for the external systems, the operators' command line and callers.
package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	startTimeout = 20 * time.Second
	peerKey      = "e2e-shared-key-0123456789"
)

// binDir is the directory that holds the built commands.
var binDir string

func TestMain(m *testing.M) {
	if call := os.Getenv(callEnv); call != "" {
		os.Exit(runCaller(call))
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "basilloom-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "../../cmd/basilloomd", "../../cmd/basilloom", "../../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// process is a started program.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}

	mu  sync.Mutex
	log []string
}

// startProcess starts a program that runs until the test ends. The channel
// receives the lines that it writes to the given pipe.
func startProcess(t *testing.T, name string, cmd *exec.Cmd, pipe func(*exec.Cmd) (io.ReadCloser, error)) (*process, <-chan string) {
	t.Helper()
	reader, err := pipe(cmd)
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	lines := make(chan string, 64)
	go func() {
		scanner := bufio.NewScanner(reader)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			p.mu.Lock()
			p.log = append(p.log, scanner.Text())
			p.mu.Unlock()
			select {
			case lines <- scanner.Text():
			default:
			}
		}
		_ = cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, strings.Join(p.lines(), "\n"))
		}
	})
	return p, lines
}

func (p *process) lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.log...)
}

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// waitExit waits until the process exits and returns its exit code.
func (p *process) waitExit(t *testing.T, timeout time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		require.FailNow(t, "process did not exit", p.name)
		return -1
	}
}

// standin is a running stand-in process.
type standin struct {
	*process
	address string
}

func startStandin(t *testing.T, kind string, args ...string) *standin {
	t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "standin"), append([]string{kind}, args...)...)
	p, lines := startProcess(t, kind, cmd, (*exec.Cmd).StdoutPipe)
	var ready struct{ Address string }
	select {
	case line := <-lines:
		require.NoError(t, json.Unmarshal([]byte(line), &ready))
	case <-time.After(startTimeout):
		require.FailNow(t, "stand-in not ready", kind)
	}
	return &standin{process: p, address: strings.TrimPrefix(ready.Address, "http://")}
}

func (s *standin) url(path string) string { return "http://" + s.address + path }

// setFaults configures fault injection in the stand-in.
func (s *standin) setFaults(t *testing.T, body string) {
	t.Helper()
	send(t, http.MethodPost, s.url("/fault"), body)
}

func send(t *testing.T, method, url, body string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	require.Less(t, resp.StatusCode, 300, "%s %s: %s", method, url, data)
}

// getJSON fetches the URL of a stand-in and decodes the JSON response.
func getJSON(t *testing.T, url string, into any) {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, json.NewDecoder(resp.Body).Decode(into))
}
