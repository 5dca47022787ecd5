// Package worker simulates a worker of the users' platform, as described by the
// platform's protocol page. Tests choose the behaviour for each request.
package worker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Behaviour is how a worker responds to a request.
type Behaviour int

// Behaviours of a worker.
const (
	// Serve responds with the request's method, path and body.
	Serve Behaviour = iota
	// Fail runs the request and responds with 500.
	Fail
	// Full responds with 503 and states that the request did not run.
	Full
	// OtherInstance responds with 421 and the id of another instance.
	OtherInstance
	// LoseResponse runs the request and closes the connection without a response.
	LoseResponse
	// CutResponse runs the request and closes the connection in the middle of the
	// response.
	CutResponse
	// Unsigned responds with 200 but without the Response-Seal header.
	Unsigned
	// ExtraResponse sends another response with an earlier id before the real one.
	ExtraResponse
	// Unframed responds without a Content-Length and closes the connection.
	Unframed
	// Early responds before it has read the body and keeps the connection open.
	Early
	// Stream responds with Events events; StreamCut closes the connection after half
	// of the events.
	Stream
	StreamCut
	// Hang never responds.
	Hang
	// LateExtra serves the request, then sends another response with an earlier id on
	// the same connection.
	LateExtra
	// Pause responds like Full and asks for PauseSeconds without requests.
	Pause
	// SlowStream responds like Stream and makes longer pauses between the events.
	SlowStream
	// Leaving serves the request and states that the worker is about to stop.
	Leaving
	// RepeatRefusal sends the worker's last refusal once more and then serves the request;
	// RepeatAnonymousRefusal sends it without its id.
	RepeatRefusal
	RepeatAnonymousRefusal
	// CutStatusLine, CutHeader and CutHead run the request and close the connection in the
	// middle of the status line, of a header line, and before the empty line.
	CutStatusLine
	CutHeader
	CutHead
	// UnframedStream responds with events, without a length or chunks, and closes the
	// connection; UnframedStreamCut does so in the middle of an event, and
	// UnframedStreamHead before the first one.
	UnframedStream
	UnframedStreamCut
	UnframedStreamHead
	// Unknown503 responds with 503 but does not state whether the request ran.
	Unknown503
	// Slow serves the request after SlowTime.
	Slow
	// LongStream responds like Stream and takes SlowTime for it.
	LongStream
	// StalledStream sends an event and then a byte of the next one every 50 ms.
	StalledStream
)

// SlowTime is how long the behaviours Slow and LongStream take.
const SlowTime = 3 * time.Second

// PauseSeconds is the time for which the behaviour Pause asks.
const PauseSeconds = 2

// Events is the number of events of a complete stream.
const Events = 10

// Pauses between the events of Stream and SlowStream.
const (
	eventPause     = time.Millisecond
	slowEventPause = 8 * time.Millisecond
)

// Run records one request that the worker ran or rejected. DeadlineMs is -1 if the
// request has no Deadline-Ms header; After is its Last-Event-Id.
type Run struct {
	ID, Path, Workspace, Key, After string
	DeadlineMs                      int
	Body                            string
	Header                          http.Header
	Executed                        bool
	At                              time.Time
}

// Worker is a running worker.
type Worker struct {
	ID       string
	Listener net.Listener

	mu        sync.Mutex
	runs      []Run
	behaviour func(n int, r *http.Request) Behaviour
	conns     map[net.Conn]bool
	opened    int
	refused   string // the id of the last request that was refused
	cancelled int    // requests with Hang or StalledStream whose caller closed the connection
}

// Start listens on a free port of the loopback interface.
func Start(id string, behaviour func(n int, r *http.Request) Behaviour) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Listener: listener, behaviour: behaviour, conns: make(map[net.Conn]bool)}
	go w.accept()
	return w, nil
}

// Always returns a behaviour function that selects b for every request.
func Always(b Behaviour) func(int, *http.Request) Behaviour {
	return func(int, *http.Request) Behaviour { return b }
}

// Address returns the worker's listening address.
func (w *Worker) Address() string { return w.Listener.Addr().String() }

// Runs returns the requests received so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Opened returns the number of connections accepted so far.
func (w *Worker) Opened() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened
}

// Cancelled returns the number of requests with the behaviours Hang and StalledStream
// whose caller closed the connection.
func (w *Worker) Cancelled() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cancelled
}

// Close stops listening and closes all connections, as a crash does.
func (w *Worker) Close() {
	_ = w.Listener.Close() // the listener may already be closed
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

// Reset stops listening and resets all connections, so that a response without a length or
// chunks does not look complete.
func (w *Worker) Reset() {
	w.mu.Lock()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a connection that is closed
		}
	}
	w.mu.Unlock()
	w.Close()
}

func (w *Worker) accept() {
	for {
		conn, err := w.Listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.opened++
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *Worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		w.mu.Lock()
		behaviour := w.behaviour(len(w.runs), r)
		w.mu.Unlock()
		if behaviour == Early {
			w.record(r, "", true)
			w.respond(conn, r, http.StatusOK, "early", true)
			_, _ = io.Copy(io.Discard, r.Body)
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		executed := behaviour != Full && behaviour != OtherInstance && behaviour != Pause
		w.record(r, string(body), executed)
		if !w.handle(conn, reader, r, behaviour, string(body)) {
			return
		}
	}
}

func (w *Worker) record(r *http.Request, body string, executed bool) {
	deadline, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		deadline = -1
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, Run{
		ID: r.Header.Get("Request-Id"), Path: r.RequestURI, Workspace: r.Header.Get("Tenant"),
		Key: r.Header.Get("Authorization"), After: r.Header.Get("Last-Event-Id"), DeadlineMs: deadline,
		Body: body, Header: r.Header, Executed: executed, At: time.Now(),
	})
}

// handle responds to one request and reports whether the connection stays open.
func (w *Worker) handle(conn net.Conn, reader *bufio.Reader, r *http.Request, b Behaviour, body string) bool {
	echo := r.Method + " " + r.RequestURI + " " + body
	switch b {
	case Fail:
		w.respond(conn, r, http.StatusInternalServerError, "failed", true)
	case Full:
		w.refuse(conn, r.Header.Get("Request-Id"))
	case RepeatRefusal, RepeatAnonymousRefusal:
		w.mu.Lock()
		refused := w.refused
		w.mu.Unlock()
		if b == RepeatAnonymousRefusal {
			refused = ""
		}
		w.refuse(conn, refused)
		w.respond(conn, r, http.StatusOK, echo, true)
	case CutStatusLine, CutHeader, CutHead:
		head := "HTTP/1.1 200 OK\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nContent-Type: text/event-stream\r\nResponse-Seal: s\r\n"
		length := map[Behaviour]int{CutStatusLine: len("HTTP/1.1 200"), CutHeader: len(head) - len("eal: s\r\n"), CutHead: len(head)}[b]
		w.writeRaw(conn, head[:length])
		return false
	case Pause:
		w.writeRaw(conn, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nRetry-After: %d\r\nContent-Length: 0\r\n\r\n",
			r.Header.Get("Request-Id"), PauseSeconds))
	case Leaving:
		w.writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nServer-Leaving: 1\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get("Request-Id"), w.ID, len(echo), echo))
	case Unknown503:
		w.writeRaw(conn, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\nContent-Length: 0\r\n\r\n")
	case OtherInstance:
		w.writeRaw(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n")
	case LoseResponse:
		return false
	case CutResponse:
		w.writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("Request-Id")))
		return false
	case Unsigned:
		w.respond(conn, r, http.StatusOK, echo, false)
	case ExtraResponse:
		w.writeRaw(conn, "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nResponse-Seal: x\r\nContent-Length: 5\r\n\r\nstray")
		w.respond(conn, r, http.StatusOK, echo, true)
	case LateExtra:
		w.respond(conn, r, http.StatusOK, echo, true)
		time.Sleep(10 * time.Millisecond)
		w.writeRaw(conn, "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nResponse-Seal: x\r\nContent-Length: 5\r\n\r\nstray")
	case Unframed:
		w.writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n%s", r.Header.Get("Request-Id"), echo))
		return false
	case Stream, StreamCut:
		return w.stream(conn, r, eventPause, b == StreamCut)
	case SlowStream:
		return w.stream(conn, r, slowEventPause, false)
	case LongStream:
		return w.stream(conn, r, SlowTime/Events, false)
	case StalledStream:
		w.stalledStream(conn, r)
		return false
	case Slow:
		time.Sleep(SlowTime)
		w.respond(conn, r, http.StatusOK, echo, true)
	case UnframedStream, UnframedStreamCut, UnframedStreamHead:
		w.unframedStream(conn, r, b)
		return false
	case Hang:
		var one [1]byte
		if _, err := reader.Read(one[:]); err != nil {
			w.mu.Lock()
			w.cancelled++
			w.mu.Unlock()
		}
		return false
	default:
		w.respond(conn, r, http.StatusOK, echo, true)
	}
	return true
}

// refuse responds that the request with the id did not run.
func (w *Worker) refuse(conn net.Conn, id string) {
	w.mu.Lock()
	w.refused = id
	w.mu.Unlock()
	header := ""
	if id != "" {
		header = "Request-Id: " + id + "\r\n"
	}
	w.writeRaw(conn, "HTTP/1.1 503 Service Unavailable\r\n"+header+"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

func (w *Worker) respond(conn net.Conn, r *http.Request, status int, body string, sealed bool) {
	seal := ""
	if sealed {
		seal = "Response-Seal: " + w.ID + "\r\n"
	}
	w.writeRaw(conn, fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.Header.Get("Request-Id"), seal, len(body), body))
}

// unframedStream sends the events that follow the request's Last-Event-Id.
func (w *Worker) unframedStream(conn net.Conn, r *http.Request, b Behaviour) {
	w.writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\n\r\n",
		r.Header.Get("Request-Id"), w.ID))
	if b == UnframedStreamHead {
		return
	}
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	for id := after + 1; id <= Events; id++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
		if b == UnframedStreamCut && id > Events/2 {
			w.writeRaw(conn, event[:len(event)/2])
			return
		}
		w.writeRaw(conn, event)
		time.Sleep(eventPause)
	}
}

// stalledStream sends one event and then single bytes until the caller closes the connection.
func (w *Worker) stalledStream(conn net.Conn, r *http.Request) {
	const event = "id: 1\ndata: piece 1\n\n"
	w.writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
		r.Header.Get("Request-Id"), w.ID, len(event), event))
	for {
		if _, err := io.WriteString(conn, "1\r\n:\r\n"); err != nil {
			w.mu.Lock()
			w.cancelled++
			w.mu.Unlock()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// stream sends the events that follow the request's Last-Event-Id. It reports
// whether the connection stays open.
func (w *Worker) stream(conn net.Conn, r *http.Request, pause time.Duration, cut bool) bool {
	w.writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Request-Id"), w.ID))
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	for id := after + 1; id <= Events; id++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
		if cut && id > Events/2 {
			event = event[:len(event)/2]
		}
		w.writeRaw(conn, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
		if cut && id > Events/2 {
			return false
		}
		time.Sleep(pause)
	}
	w.writeRaw(conn, "0\r\n\r\n")
	return true
}

// writeRaw writes text to the connection. Write errors are ignored: if the caller
// has disconnected, the next read ends the connection.
func (w *Worker) writeRaw(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }
