package main

import (
	"io"
	"net"
	"net/http"
	"time"
)

// appWork is how long the plain service works on a request.
const appWork = 30 * time.Millisecond

// startApp starts a worker of a plain service, which sends heartbeats.
func (d *deployment) startApp(r *registry, service, id, zone string) error {
	listener, err := net.Listen("tcp", d.base+".3:0")
	if err != nil {
		return err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		number := request.Header.Get("Request-Id")
		w.Header().Set("Request-Id", number)
		if request.Header.Get(headers.Target) != id {
			w.Header().Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // a body that breaks off ends the connection
		d.record.write("worker %s runs %s", id, number)
		time.Sleep(appWork)
		w.Header().Set(headers.Signature, id)
		_, _ = io.WriteString(w, "done "+number) // the caller may have left
	})
	server := &http.Server{Handler: handler, IdleTimeout: 20 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		_ = server.Serve(listener) // runs until the program ends
	}()
	d.record.write("worker %s started in %s at %s", id, zone, listener.Addr())
	go r.keep(id, map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}
