package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times and numbers of the case of requests that crash workers.
const (
	calmTime = 5 * time.Second
	// crashInterval is the time between two of the client's attempts. The worker is back
	// before the next one.
	crashInterval = 4 * time.Second
	// attemptsSent is the number of attempts, half of which send each content.
	attemptsSent = 24
	// allowedCrashes and allowedRetries are those of the rule BUDGET.
	allowedCrashes = 3
	allowedRetries = 3
	// soundInterval is the time between two sound requests of a client.
	soundInterval = 100 * time.Millisecond
)

// crashingBodies are the contents that crash workers.
var crashingBodies = []string{"the first box that ends its worker", "the second box that ends its worker"}

// playCrashingRequest sends two contents again and again, each of which crashes each worker
// that begins to run it. The workers come back under the ids that they had.
func playCrashingRequest(f *fleet, trouble bool) (bool, error) {
	if err := f.configure(); err != nil {
		return false, err
	}
	runs := make(map[string]*crashRuns)
	for _, body := range crashingBodies {
		runs[body] = &crashRuns{}
	}
	crashes := func(body string) bool { return trouble && runs[body] != nil }
	arrived := func(w *worker, _, body string, at time.Time) {
		if r, ok := runs[body]; ok {
			r.arrived(at, crashes(body))
			f.record.printf("%q reaches worker %s", body, w.currentID())
		}
	}
	for zone := range zones {
		if err := f.startWorker(fmt.Sprintf("i-7f3a91c%d", zone), false, zone, crashes, arrived); err != nil {
			return false, err
		}
	}
	var instances []*instance
	for _, zone := range []int{0, 0, 1, 1} {
		i, err := f.start(zone)
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	c := newClient(f.record)
	time.Sleep(calmTime)
	if _, status := c.send(instances[0], http.MethodGet, safePrefix+"first", ""); status != http.StatusOK {
		return false, errNotServed
	}
	stop := c.soundTraffic(instances, soundInterval)
	for n := range attemptsSent {
		// The client stays in its zone; the platform sends its new connections to one of the
		// machines there.
		body, to := crashingBodies[n%len(crashingBodies)], instances[n/len(crashingBodies)%2]
		runs[body].sending(time.Now())
		id, status := c.send(to, http.MethodPost, unsafePrefix+"box", body)
		f.record.printf("attempt %d, %q (%s) to %s: status %d", n+1, body, id, to.name, status)
		time.Sleep(crashInterval)
	}
	sent, served := stop()
	f.record.printf("sound requests: %d sent, %d served", sent, served)
	broken := false
	for _, body := range crashingBodies {
		total, late := runs[body].counts()
		f.record.printf("%q reached workers %d times, %d of them in attempts sent later than %v after the third crash; allowed %d",
			body, total, late, contactTime, allowedRetries)
		broken = broken || late > allowedRetries
	}
	return broken, nil
}

// crashRuns counts the arrivals of one content at workers.
type crashRuns struct {
	mu       sync.Mutex
	lastSent time.Time
	total    int
	crashes  int
	late     int
	// thirdCrash is when the request crashed the third worker.
	thirdCrash time.Time
}

func (r *crashRuns) sending(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSent = at
}

// arrived counts an arrival; crashed states that it crashes its worker.
func (r *crashRuns) arrived(at time.Time, crashed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if crashed {
		r.crashes++
	}
	if r.thirdCrash.IsZero() && r.crashes == allowedCrashes {
		r.thirdCrash = at
	}
	if !r.thirdCrash.IsZero() && r.lastSent.Sub(r.thirdCrash) > contactTime {
		r.late++
	}
}

func (r *crashRuns) counts() (total, late int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total, r.late
}
