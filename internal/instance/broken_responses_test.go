package instance

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/rawserver"
	"github.com/basilloom/basilloom/internal/standin/worker"
)

// rawWorker registers a worker that serves each connection by a function.
func (env *testEnv) rawWorker(id string, serve func(*rawserver.Conn)) {
	server, err := rawserver.Start(serve)
	require.NoError(env.t, err)
	env.t.Cleanup(server.Close)
	env.register(&worker.Worker{ID: id, Listener: server.Listener}, "ready")
}

// rawID is the id of requests to raw workers, which may respond before they read it.
const rawID = "raw-request"

func (n *node) callRaw(t *testing.T, path, body string) callerResponse {
	t.Helper()
	return n.call(t, http.MethodPost, path, body, map[string]string{"Request-Id": rawID, "Deadline-Ms": "8000"})
}

// patientRoutes returns routes on which a request waits for a worker that has just failed, and
// whose objective leaves time for a long upload.
func patientRoutes() []route {
	routes := testRoutes()
	for i := range routes {
		routes[i].TimeoutMs, routes[i].TargetLatencyMs = 8_000, 8_000
	}
	return routes
}

// Guards against a part of a response that reaches the caller as a complete one because the
// worker reset the connection during the upload, and against a whole response that is lost.
func TestResponseWithoutLengthToAnUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: " + rawID + "\r\nResponse-Seal: s\r\n"
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	upload := strings.Repeat("x", 16<<20)
	for _, ending := range rawserver.Endings {
		for path, response := range map[string]string{
			"/unsafe/1": head + "\r\n" + events,
			"/stream/1": head + "Content-Type: text/event-stream\r\n\r\n" + events,
		} {
			t.Run(ending.Name+path, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				env.maxBodyBytes = len(upload)
				env.rawWorker("w-a", func(c *rawserver.Conn) { ending.Serve(c, response) })
				env.configure(patientRoutes(), []string{testKey}, 0)
				n := env.start("i1")
				for range 3 {
					got := n.callRaw(t, path, upload)
					switch {
					case ending.Clean:
						require.NoError(t, got.err)
						require.Equal(t, http.StatusOK, got.status, got.body)
						require.Equal(t, events, got.body)
					case ending.BeforeRequest && got.status == http.StatusServiceUnavailable:
						// The connection was reset before the request was written.
						require.NoError(t, got.err)
					case path == "/stream/1" && got.status == http.StatusOK:
						require.Error(t, got.err, "the stream must not look complete")
					default:
						requireMayHaveRun(t, got)
					}
				}
			})
		}
	}
}

// requireMayHaveRun checks that the caller learns of a failure that does not state whether
// the request ran.
func requireMayHaveRun(t *testing.T, got callerResponse) {
	t.Helper()
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status, fmt.Sprintf("%q", got.body))
	require.Empty(t, got.header.Get("Retry-After"))
	require.Empty(t, got.header.Get("Not-Executed"))
}

// requireNoResponses checks that callers get none of the texts as a response, and that a text
// that states that the request did not run is no such promise.
func requireNoResponses(t *testing.T, texts []rawserver.Text, names ...string) {
	t.Helper()
	const fields = "Request-Id: " + rawID + "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
	for _, broken := range rawserver.Pick(texts, names...) {
		served := broken.With(fields)
		refused := strings.ReplaceAll(broken.With(fields+"Not-Executed: 1\r\n"), "200 OK", "503 Service Unavailable")
		for name, c := range map[string]struct{ path, text string }{
			"response": {"/unsafe/1", served}, "stream": {"/stream/1", served}, "refusal": {"/unsafe/1", refused},
		} {
			t.Run(broken.Name+"/"+name, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				env.rawWorker("w-a", rawserver.Reply(c.text))
				env.configure(patientRoutes(), []string{testKey}, 0)
				n := env.start("i1")
				requireMayHaveRun(t, n.callRaw(t, c.path, "x"))
			})
		}
	}
}

// Guards against a response with a status that is none, which reaches the caller or keeps it
// waiting.
func TestResponseWithABrokenStatus(t *testing.T) {
	requireNoResponses(t, rawserver.BrokenStatuses,
		"status 000", "status 000 without a length", "status 000 before a response", "status 600", "switch of protocols")
}

// Guards against a response with a broken field line, which reaches the caller with that line
// or with a body that is not the worker's.
func TestResponseWithABrokenField(t *testing.T) {
	requireNoResponses(t, rawserver.BrokenFields,
		"blank in a name", "control byte in a name", "blank before a name", "length with a blank after its name",
		"transfer coding with a blank after its name", "blank in a name, interim response", "blank in a name, trailer")
}

// Guards against a response whose end is not where the worker puts it.
func TestResponseWithBrokenFraming(t *testing.T) {
	requireNoResponses(t, rawserver.BrokenFraming,
		"length and transfer coding", "transfer coding in HTTP/1.0", "transfer coding, interim response", "length, trailer")
}

// Guards against a sound response that is refused.
func TestSoundResponses(t *testing.T) {
	for _, sound := range rawserver.Sound {
		t.Run(sound.Name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.rawWorker("w-a", rawserver.Reply(sound.With("Request-Id: "+rawID+"\r\nResponse-Seal: s\r\n")))
			env.configure(patientRoutes(), []string{testKey}, 0)
			n := env.start("i1")
			for range 3 {
				got := n.callRaw(t, "/unsafe/1", "x")
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Equal(t, rawserver.SoundBody, got.body)
			}
		})
	}
}

// Guards against a promise that the request did not run after a rejection that breaks off.
func TestRejectionThatBreaksOff(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + rawID + "\r\nNot-Executed: full\r\n"
	upload := strings.Repeat("x", 64<<10) // more than the worker reads with the head
	type rejection struct {
		name  string
		whole bool
		serve func(*rawserver.Conn)
	}
	rejections := []rejection{
		{"length", true, rawserver.Reply(head + "Content-Length: 4\r\n\r\nfull")},
		{"chunks", true, rawserver.Reply(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n")},
		{"cut body", false, func(c *rawserver.Conn) {
			if _, err := c.Request(); err == nil {
				c.Send(head + "Content-Length: 40\r\n\r\nfull")
			}
		}},
		{"cut chunks", false, func(c *rawserver.Conn) {
			if _, err := c.Request(); err == nil {
				c.Send(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n")
			}
		}},
		{"broken trailer", false, rawserver.Reply(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\nBad Name: x\r\n\r\n")},
		{"no end", false, rawserver.Reply(head + "Content-Length: 40\r\n\r\nfull")},
	}
	for _, ending := range rawserver.Endings {
		if !ending.BeforeRequest {
			rejections = append(rejections, rejection{ending.Name, ending.Clean, func(c *rawserver.Conn) { ending.Serve(c, head+"\r\nfull") }})
		}
	}
	for _, r := range rejections {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.maxBodyBytes = len(upload)
			env.rawWorker("w-a", r.serve)
			env.configure(testRoutes(), []string{testKey}, 0)
			n := env.start("i1")
			got := n.callRaw(t, "/unsafe/1", upload)
			if !r.whole {
				requireMayHaveRun(t, got)
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.NotEmpty(t, got.header.Get("Retry-After"))
		})
	}
}

// Guards against a stream that breaks off and looks whole to a caller of HTTP/1.0, for which
// the end of the connection is the end of the response.
func TestBrokenStreamToACallerOfHTTP10(t *testing.T) {
	for _, c := range []struct {
		name      string
		behaviour worker.Behaviour
		whole     bool
	}{{"whole", worker.Stream, true}, {"cut", worker.StreamCut, false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.worker("w-a", worker.Always(c.behaviour))
			env.configure(testRoutes(), []string{testKey}, 0)
			n := env.start("i1")
			conn, err := net.Dial("tcp", n.settings.Load().Callers)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = fmt.Fprintf(conn, "POST /stream/1 HTTP/1.0\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Token %s\r\nContent-Length: 1\r\n\r\nx", testHost, rawID, testKey)
			require.NoError(t, err)
			response, err := io.ReadAll(conn)
			if !c.whole {
				require.ErrorIs(t, err, syscall.ECONNRESET, "%q", response)
				return
			}
			require.NoError(t, err)
			require.Contains(t, string(response), allEvents())
		})
	}
}
