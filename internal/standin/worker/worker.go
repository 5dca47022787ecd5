// Package worker stands in for a worker of the users' platform, as its protocol
// page describes it. Each request's behaviour is chosen by a test.
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

// Behaviour is how a worker answers a request.
type Behaviour int

// Behaviours of a worker.
const (
	// Serve answers with the request's method, path and body.
	Serve Behaviour = iota
	// Fail answers 500 after having run the request.
	Fail
	// Full answers 503 and states that the request did not run.
	Full
	// OtherInstance answers 421.
	OtherInstance
	// LoseAnswer runs the request and closes the connection.
	LoseAnswer
	// CutAnswer runs the request and breaks off in the middle of the answer.
	CutAnswer
	// Unsigned answers 200 without a signature.
	Unsigned
	// ExtraAnswer sends a second answer with an earlier id before the real one.
	ExtraAnswer
	// Unframed answers without a length and closes the connection.
	Unframed
	// Early answers before it has read the body and keeps the connection.
	Early
	// Stream answers with Events events; StreamCut breaks off after half of them.
	Stream
	StreamCut
	// Hang never answers.
	Hang
	// LateExtra serves and sends another answer after it on the same connection.
	LateExtra
	// Unknown503 answers 503 without the statement that it did not run.
	Unknown503
)

// Events is the number of events of a whole stream.
const Events = 10

// Run is one request that the worker ran or rejected.
type Run struct {
	ID, Path, Workspace, Key, After string
	DeadlineMs                      int
	Body                            string
	Header                          http.Header
	Executed                        bool
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
	// Cancelled counts requests whose caller closed the connection while they hung.
	cancelled int
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

// Always returns a behaviour for all requests.
func Always(b Behaviour) func(int, *http.Request) Behaviour {
	return func(int, *http.Request) Behaviour { return b }
}

// Address is the worker's address.
func (w *Worker) Address() string { return w.Listener.Addr().String() }

// Runs returns what the worker got so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Opened returns the number of connections so far, Cancelled that of hanging
// requests whose connection was closed.
func (w *Worker) Opened() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened
}

// Cancelled returns the number of hanging requests whose connection was closed.
func (w *Worker) Cancelled() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cancelled
}

// Close stops listening and breaks all connections, as a crash does.
func (w *Worker) Close() {
	_ = w.Listener.Close() // it may be closed already
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
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
			w.answer(conn, r, http.StatusOK, "early", true)
			_, _ = io.Copy(io.Discard, r.Body)
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		executed := behaviour != Full && behaviour != OtherInstance
		w.record(r, string(body), executed)
		if !w.behave(conn, reader, r, behaviour, string(body)) {
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
		Body: body, Header: r.Header, Executed: executed,
	})
}

// behave answers one request and tells whether the connection stays open.
func (w *Worker) behave(conn net.Conn, reader *bufio.Reader, r *http.Request, b Behaviour, body string) bool {
	echo := r.Method + " " + r.RequestURI + " " + body
	switch b {
	case Fail:
		w.answer(conn, r, http.StatusInternalServerError, "failed", true)
	case Full:
		w.raw(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case Unknown503:
		w.raw(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case OtherInstance:
		w.raw(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n")
	case LoseAnswer:
		return false
	case CutAnswer:
		w.raw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("Request-Id")))
		return false
	case Unsigned:
		w.answer(conn, r, http.StatusOK, echo, false)
	case ExtraAnswer:
		w.raw(conn, "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nResponse-Seal: x\r\nContent-Length: 5\r\n\r\nstray")
		w.answer(conn, r, http.StatusOK, echo, true)
	case LateExtra:
		w.answer(conn, r, http.StatusOK, echo, true)
		time.Sleep(10 * time.Millisecond)
		w.raw(conn, "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nResponse-Seal: x\r\nContent-Length: 5\r\n\r\nstray")
	case Unframed:
		w.raw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n%s", r.Header.Get("Request-Id"), echo))
		return false
	case Stream, StreamCut:
		return w.stream(conn, r, b == StreamCut)
	case Hang:
		var one [1]byte
		if _, err := reader.Read(one[:]); err != nil {
			w.mu.Lock()
			w.cancelled++
			w.mu.Unlock()
		}
		return false
	default:
		w.answer(conn, r, http.StatusOK, echo, true)
	}
	return true
}

func (w *Worker) answer(conn net.Conn, r *http.Request, status int, body string, sealed bool) {
	seal := ""
	if sealed {
		seal = "Response-Seal: " + w.ID + "\r\n"
	}
	w.raw(conn, fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.Header.Get("Request-Id"), seal, len(body), body))
}

// stream sends events behind the one that the request names.
func (w *Worker) stream(conn net.Conn, r *http.Request, cut bool) bool {
	w.raw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
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
		w.raw(conn, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
		if cut && id > Events/2 {
			return false
		}
		time.Sleep(time.Millisecond)
	}
	w.raw(conn, "0\r\n\r\n")
	return true
}

// raw writes bytes; a caller that has gone ends the connection at the next read.
func (w *Worker) raw(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }
