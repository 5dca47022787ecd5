package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Properties of an engine, as on the users' sheet.
const (
	engineSlots    = 12
	engineMemory   = 636048
	prefillPerMs   = 85.2
	tokensPerEvent = 7
	eventInterval  = 20 * time.Millisecond
	// meanEvents is the number of events of a response, unless the request allows fewer.
	meanEvents = 42
)

// engine is a stand-in of a model worker.
type engine struct {
	id, zone string
	d        *deployment
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
}

// startEngine starts an engine and registers it.
func (d *deployment) startEngine(service, id, zone string) (*engine, error) {
	listener, err := net.Listen("tcp", d.base+".3:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, zone: zone, d: d, listener: listener, slots: make(chan struct{}, engineSlots)}
	e.server = &http.Server{Handler: e, IdleTimeout: 20 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		_ = e.server.Serve(listener) // runs until crash
	}()
	d.record.write("engine %s started in %s at %s", id, zone, listener.Addr())
	return e, d.put("servers", id, map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": 1,
		"born": time.Now().UnixMilli(),
	})
}

// crash ends the engine at once. Its entry is removed after three heartbeat intervals.
func (e *engine) crash() {
	e.d.record.write("engine %s crashes", e.id)
	_ = e.server.Close() // open connections break off
	time.AfterFunc(3*heartbeat, func() {
		e.d.record.write("entry of engine %s lapses", e.id)
		e.d.store.Delete("servers", e.id)
	})
}

// ServeHTTP runs one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get(headers.Target) != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	in, out := tokenCounts(r)
	if in+out > engineMemory {
		e.refuse(w, id)
		return
	}
	select {
	case e.slots <- struct{}{}:
	default:
		e.refuse(w, id)
		return
	}
	defer func() { <-e.slots }()
	e.d.record.write("engine %s runs %s, tokens %d,%d", e.id, id, in, out)
	select {
	case <-r.Context().Done():
		return
	case <-time.After(time.Duration(float64(in) / prefillPerMs * float64(time.Millisecond))):
	}
	w.Header().Set(headers.Signature, e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	for k := 1; k <= max(1, min(out/tokensPerEvent, meanEvents)); k++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", k, k, id); err != nil {
			return
		}
		if flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}

func (e *engine) refuse(w http.ResponseWriter, id string) {
	e.d.record.write("engine %s rejects %s", e.id, id)
	w.Header().Set(headers.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func tokenCounts(r *http.Request) (in, out int) {
	first, second, _ := strings.Cut(r.Header.Get(headers.Tokens), ",")
	in, _ = strconv.Atoi(first)   // 0 without a count
	out, _ = strconv.Atoi(second) // 0 without a count
	return in, out
}
