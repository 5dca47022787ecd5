package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Behaviour of a worker.
const (
	// workTime is how long a worker works on a request.
	workTime = 30 * time.Millisecond
	// restartDelay is how long a worker that crashed is away.
	restartDelay = 2 * time.Second
	// entryLifetime is how long an entry stays without a heartbeat.
	entryLifetime = 3 * heartbeat
	// workerSlots is the number of requests that a worker runs at once.
	workerSlots = 6
)

// worker is a stand-in of a worker of the plain service. A request whose body the crash
// function selects ends the worker as soon as it begins to run; it is back after restartDelay
// at the same address with a later start time, under the same id or a new one.
type worker struct {
	fleet *fleet
	name  string
	zone  string
	// newIDs is set if each start has an id of its own.
	newIDs  bool
	address string
	crashes func(body string) bool
	// arrived is called with each request that reaches the worker.
	arrived func(w *worker, id, body string, at time.Time)
	ctx     context.Context
	cancel  context.CancelFunc
	slots   chan struct{}

	mu       sync.Mutex
	id       string
	starts   int
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	sequence int64
	up       bool
}

// startWorker starts a worker in a zone and registers it.
func (f *fleet) startWorker(name string, newIDs bool, zone int, crashes func(string) bool, arrived func(*worker, string, string, time.Time)) error {
	w := &worker{
		fleet: f, name: name, newIDs: newIDs, zone: zones[zone].name, address: "127.0.0.1:0", crashes: crashes, arrived: arrived,
		slots: make(chan struct{}, workerSlots),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	if err := w.listen(); err != nil {
		return err
	}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	go w.beat()
	return nil
}

func (w *worker) listen() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener, w.address, w.conns = listener, listener.Addr().String(), make(map[net.Conn]bool)
	w.born, w.sequence, w.up = time.Now().UnixMilli(), 0, true
	w.starts++
	w.id = w.name
	if w.newIDs {
		w.id = fmt.Sprintf("%s%d", w.name, w.starts)
	}
	w.mu.Unlock()
	go w.accept(listener)
	return w.register()
}

// register writes the worker's entry.
func (w *worker) register() error {
	w.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": workerSlots, "state": "ready",
		"cold_left_ms": 0, "sequence": w.sequence, "born": w.born,
	}
	id := w.id
	w.mu.Unlock()
	return w.fleet.put(tableServers, id, entry)
}

// beat repeats the entry while the worker is up.
func (w *worker) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
			w.mu.Lock()
			up := w.up
			w.mu.Unlock()
			if up {
				if err := w.register(); err != nil {
					w.fleet.record.printf("entry of %s not written: %v", w.name, err)
				}
			}
		}
	}
}

// crash resets all connections and stops listening.
func (w *worker) crash() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return false
	}
	w.up = false
	_ = w.listener.Close() // it accepts no more
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		_ = conn.Close() // reset
	}
	return true
}

// crashAndRestart ends the worker and brings it back.
func (w *worker) crashAndRestart() {
	if !w.crash() {
		return
	}
	crashed := w.currentID()
	w.fleet.record.printf("worker %s crashes", crashed)
	if w.newIDs {
		time.AfterFunc(entryLifetime, func() { w.fleet.store.Delete(tableServers, crashed) })
	}
	time.AfterFunc(restartDelay, func() {
		if w.ctx.Err() != nil {
			return
		}
		if err := w.listen(); err != nil {
			w.fleet.record.printf("worker %s not restarted: %v", crashed, err)
			return
		}
		w.fleet.record.printf("worker %s is back as %s", crashed, w.currentID())
	})
}

func (w *worker) currentID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

func (w *worker) close() {
	w.cancel()
	w.crash()
}

func (w *worker) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.listener != listener || !w.up {
			w.mu.Unlock()
			_ = conn.Close() // the worker has crashed
			return
		}
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *worker) serve(conn net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
		_ = conn.Close() // it may be closed
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.handle(conn, r, string(body)) {
			return
		}
	}
}

// handle runs one request and reports whether the connection stays open.
func (w *worker) handle(conn net.Conn, r *http.Request, body string) bool {
	id, own := r.Header.Get(headers.RequestID), w.currentID()
	if expected := r.Header.Get(headers.ExpectedInstance); expected != "" && expected != own {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			headers.RequestID, id, headers.InstanceID, own)
		return err == nil
	}
	w.arrived(w, id, body, time.Now())
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.fleet.record.log("worker %s runs %s %s %s", own, id, r.Method, r.RequestURI)
	if w.crashes(body) {
		w.crashAndRestart()
		return false
	}
	time.Sleep(workTime)
	text := r.Method + " " + r.RequestURI + " " + body
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
		headers.RequestID, id, headers.Seal, own, id, len(text), text)
	return err == nil
}
