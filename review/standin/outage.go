package main

import (
	"net/http"
	"sync"
	"time"
)

// heartbeat is the interval at which workers send heartbeats.
const heartbeat = 1200 * time.Millisecond

// registryCheck is the interval at which the store looks for entries that have lapsed.
const registryCheck = 50 * time.Millisecond

// retryInterval is how long a worker waits after a heartbeat that got no response.
const retryInterval = 200 * time.Millisecond

// outage makes the store silent: calls that arrive meanwhile get no response, also later.
type outage struct {
	mu   sync.Mutex
	down bool
}

func (o *outage) isDown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down
}

func (o *outage) set(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// wrap returns a handler that answers unless the store is down.
func (o *outage) wrap(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if o.isDown() {
			<-r.Context().Done()
			return
		}
		inner.ServeHTTP(w, r)
	})
}

// registry holds the entries of workers that send heartbeats. An entry without one for
// three intervals is removed, also while the store is down.
type registry struct {
	d *deployment

	mu      sync.Mutex
	entries map[string]registered
}

type registered struct {
	lastBeat time.Time
	present  bool
}

func newRegistry(d *deployment) *registry {
	r := &registry{d: d, entries: make(map[string]registered)}
	go func() {
		for range time.Tick(registryCheck) {
			r.removeLapsed(time.Now())
		}
	}()
	return r
}

func (r *registry) removeLapsed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.entries {
		if e.present && now.Sub(e.lastBeat) > 3*heartbeat {
			e.present = false
			r.entries[id] = e
			r.d.record.write("entry of worker %s lapses", id)
			r.d.store.Delete("servers", id)
		}
	}
}

// keep sends the heartbeats of a worker. Only one that finds no entry changes the store,
// because a heartbeat alone does not change the rest of the entry.
func (r *registry) keep(id string, entry map[string]any) {
	for {
		if r.d.outage.isDown() {
			time.Sleep(retryInterval)
			continue
		}
		if err := r.beat(id, entry); err != nil {
			r.d.record.write("worker %s: %v", id, err)
		}
		time.Sleep(heartbeat)
	}
}

func (r *registry) beat(id string, entry map[string]any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := r.entries[id].present
	r.entries[id] = registered{lastBeat: time.Now(), present: true}
	if present {
		return nil
	}
	r.d.record.write("entry of worker %s is written", id)
	return r.d.put("servers", id, entry)
}
