package drain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// account is a Budget with a bound.
type account struct {
	mu          sync.Mutex
	held, limit int64
}

func (a *account) Reserve(bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held+bytes > a.limit {
		return false
	}
	a.held += bytes
	return true
}

func (a *account) Release(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held -= bytes
}

func (a *account) heldBytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// limitedServer starts a server with limits. Requests wait for release if their path is /wait.
func limitedServer(t *testing.T, limits Limits, release chan struct{}) (*Conns, string) {
	t.Helper()
	conns := &Conns{}
	conns.SetLimits(limits)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			if BeginWork(r.Context()) {
				<-release
			}
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	server.Config.ConnState, server.Config.ConnContext = conns.Observe, conns.Context
	server.Listener = conns.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return conns, server.Listener.Addr().String()
}

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

func requireStatus(t *testing.T, conn net.Conn, status int) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, status, response.StatusCode)
}

func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := conn.Read(make([]byte, 1))
	require.Error(t, err)
	var timeout net.Error
	if errors.As(err, &timeout) {
		require.False(t, timeout.Timeout(), "the connection is open")
	}
}

const (
	wholeHead = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	beginning = "GET / HTTP/1.1\r\nHost: h\r\n"
)

func (c *Conns) inPhase(wanted phase) int {
	n := 0
	for _, conn := range c.all() {
		if p, _, _ := conn.state(); p == wanted {
			n++
		}
	}
	return n
}

func (c *Conns) requirePhase(t *testing.T, wanted phase, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return c.inPhase(wanted) == n }, 5*time.Second, time.Millisecond)
}

// Guards against a closing order that cuts idle callers before those that never end a head, or
// cuts a request in work.
func TestOldestHeadThenLongestIdleIsClosed(t *testing.T) {
	release := make(chan struct{})
	conns, address := limitedServer(t, Limits{Connections: 4}, release)
	working := dial(t, address, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	conns.requirePhase(t, phaseWork, 1)
	idle := dial(t, address, wholeHead)
	requireStatus(t, idle, http.StatusOK)
	conns.requirePhase(t, phaseIdle, 1)
	oldHead := dial(t, address, beginning)
	conns.requirePhase(t, phaseHead, 1)
	newHead := dial(t, address, beginning)
	conns.requirePhase(t, phaseHead, 2)
	for _, victim := range []net.Conn{oldHead, newHead, idle} {
		newest := dial(t, address, wholeHead)
		requireClosed(t, victim)
		requireStatus(t, newest, http.StatusOK)
	}
	require.Equal(t, map[Cause]int64{CauseConnections: 3}, conns.Closed())
	close(release)
	requireStatus(t, working, http.StatusOK)
}

// Guards against callers that are kept out by requests whose bodies do not arrive, and against
// such a request that runs although its connection is closed.
func TestUnfinishedBodyIsClosedAfterIdleConnections(t *testing.T) {
	conns, address := limitedServer(t, Limits{Connections: 2}, nil)
	stalled := dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nb")
	conns.requirePhase(t, phaseBody, 1)
	require.False(t, conns.Evict(), "a request's memory is not taken from other requests")
	idle := dial(t, address, wholeHead)
	requireStatus(t, idle, http.StatusOK)
	conns.requirePhase(t, phaseIdle, 1)
	closed := conns.all()
	head := dial(t, address, beginning)
	requireClosed(t, idle)
	conns.requirePhase(t, phaseHead, 1)
	requireStatus(t, dial(t, address, wholeHead), http.StatusOK)
	requireClosed(t, head)
	conns.requirePhase(t, phaseIdle, 1) // the server returns from the handler after the response
	for range 2 {
		dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nb")
		conns.requirePhase(t, phaseBody, 2)
	}
	requireClosed(t, stalled)
	for _, conn := range closed {
		require.False(t, conn.beginWork())
	}
}

// Guards against a connection that is accepted although requests in work hold all places.
func TestConnectionIsRefusedWhileAllAreInWork(t *testing.T) {
	release := make(chan struct{})
	conns, address := limitedServer(t, Limits{Connections: 1}, release)
	working := dial(t, address, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	conns.requirePhase(t, phaseWork, 1)
	refused, err := net.Dial("tcp", address)
	require.NoError(t, err)
	requireClosed(t, refused)
	close(release)
	requireStatus(t, working, http.StatusOK)
}

// Guards against memory that is charged twice, not at all, or not released: after any mix of
// endings nothing is held.
func TestChargesAreReleased(t *testing.T) {
	budget := &account{limit: 1 << 20}
	release := make(chan struct{})
	conns, address := limitedServer(t, Limits{HeadBytes: 20000, HeadTimeout: time.Hour, Budget: budget}, release)
	idle := dial(t, address, wholeHead)
	requireStatus(t, idle, http.StatusOK)
	conns.requirePhase(t, phaseIdle, 1)
	require.Equal(t, int64(connCost), budget.heldBytes(), "the head of an idle connection is released")
	head := dial(t, address, beginning)
	conns.requirePhase(t, phaseHead, 1)
	lines := int64(strings.Count(beginning, "\n"))
	require.Eventually(t, func() bool {
		return budget.heldBytes() == 2*connCost+int64(len(beginning))*headByteCost+lines*headLineCost
	}, 5*time.Second, time.Millisecond)
	working := dial(t, address, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	conns.requirePhase(t, phaseWork, 1)
	require.Greater(t, budget.heldBytes(), int64(3*connCost), "a request in work holds its head")
	tooLong := dial(t, address, beginning+strings.Repeat("f", 19000))
	_, _ = io.WriteString(tooLong, strings.Repeat("f", 10000)) // may be refused already
	requireStatus(t, tooLong, http.StatusRequestHeaderFieldsTooLarge)
	require.Eventually(t, func() bool { return conns.Closed()[CauseHeadSize] == 1 }, 5*time.Second, time.Millisecond)
	conns.sweep(time.Now().Add(2 * time.Hour))
	requireClosed(t, head)
	close(release)
	requireStatus(t, working, http.StatusOK)
	require.Equal(t, map[Cause]int64{CauseHeadSize: 1, CauseHeadTimeout: 1}, conns.Closed())
	_, _ = idle.Close(), working.Close()
	require.Eventually(t, func() bool { return budget.heldBytes() == 0 && conns.Open() == 0 && conns.unfinished.Load() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against heads that hold more than the memory, and against a caller that is not served
// because others do not end their heads.
func TestHeadsStayWithinTheMemory(t *testing.T) {
	budget := &account{limit: 400 << 10}
	conns, address := limitedServer(t, Limits{Budget: budget, HeadMemory: budget.limit / 4}, nil)
	for k := range 60 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, beginning+fmt.Sprintf("Filler%d: ", k)+strings.Repeat("f", 10000)) // may be closed
	}
	requireStatus(t, dial(t, address, wholeHead), http.StatusOK)
	require.LessOrEqual(t, budget.heldBytes(), budget.limit)
	require.LessOrEqual(t, conns.unfinished.Load(), budget.limit/4)
}

// Guards against a head whose end is found too early, so that its rest is not charged, or too
// late, so that a body is charged as a head.
func TestEndOfHead(t *testing.T) {
	for _, c := range []struct {
		text  string
		ended bool
	}{
		{"GET / HTTP/1.1\r\n", false}, {"GET / HTTP/1.1\r\n\r\n", true}, {"GET / HTTP/1.1\n\n", true},
		{"\r\n\r\n", false}, {"\r\nGET / HTTP/1.1\r\n", false}, {"GET / HTTP/1.1\r\n \r\n", false},
		{"GET / HTTP/1.1\r\na: b\r\n\r\nbody\n\n", true},
	} {
		var whole, bytes headCounter
		cost, byByte := whole.count([]byte(c.text)), int64(0)
		for k := range c.text {
			byByte += bytes.count([]byte(c.text[k : k+1]))
		}
		require.Equal(t, c.ended, whole.ended, "%q", c.text)
		require.Equal(t, whole, bytes)
		require.Equal(t, cost, byByte)
		head, _, _ := strings.Cut(c.text, "body")
		require.Equal(t, int64(len(head))*headByteCost+int64(strings.Count(head, "\n"))*headLineCost, cost, "%q", c.text)
	}
}

// Guards against limits that a conforming caller reaches, and against descriptors of peers, the
// store and targets that callers take.
func TestCallerLimitsHaveMargins(t *testing.T) {
	rules := CallerRules{HeadBytes: 16384, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	limits := CallerLimits(rules, 4100, 112<<20, nil)
	require.Greater(t, limits.HeadBytes, rules.HeadBytes)
	require.Greater(t, limits.HeadTimeout, rules.HeadTimeout)
	require.Greater(t, limits.UnusedTimeout, rules.IdleTimeout)
	require.LessOrEqual(t, filesPerCaller*limits.Connections+filesReserved+controlReserved, 4100)
	require.Equal(t, minConnections, CallerLimits(CallerRules{}, 300, 0, nil).Connections)
	require.Positive(t, CallerLimits(CallerRules{}, 0, 0, nil).Connections)
}

// Guards against strangers on the peers' listener that keep out instances.
func TestUntrustedConnectionsAreBounded(t *testing.T) {
	conns := &Conns{}
	conns.SetLimits(Limits{UntrustedConnections: 2, UntrustedBytes: 1000, UntrustedTimeout: time.Hour})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/trust" {
			Trust(r.Context())
		}
	}))
	server.Config.ConnState, server.Config.ConnContext = conns.Observe, conns.Context
	server.Listener = conns.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	trusted := dial(t, address, "GET /trust HTTP/1.1\r\nHost: h\r\n\r\n")
	requireStatus(t, trusted, http.StatusOK)
	var strangers []net.Conn
	for range 4 {
		stranger := dial(t, address, wholeHead)
		requireStatus(t, stranger, http.StatusOK)
		strangers = append(strangers, stranger)
	}
	requireClosed(t, strangers[0])
	requireClosed(t, strangers[1])
	_, err := io.WriteString(strangers[2], strings.Repeat("f", 2000))
	require.NoError(t, err)
	requireClosed(t, strangers[2])
	conns.sweep(time.Now().Add(2 * time.Hour))
	requireClosed(t, strangers[3])
	_, err = io.WriteString(trusted, "GET /trust HTTP/1.1\r\nHost: h\r\nFiller: "+strings.Repeat("f", 2000)+"\r\n\r\n")
	require.NoError(t, err)
	requireStatus(t, trusted, http.StatusOK)
}
