package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// restarts is the number of times that all processes are killed, awayTime how long they
	// are away.
	restarts = 3
	awayTime = time.Second
	// attemptsBetween is the number of attempts between two restarts.
	attemptsBetween = 3
	// settleTime is the time after a start until the machines are in touch.
	settleTime = contactTime + time.Second
)

// playCrashAndRestart sends a content that crashes each worker that begins to run it, and
// kills all processes between its attempts. Each start of a worker has a new id.
func playCrashAndRestart(f *fleet, trouble bool) (bool, error) {
	if err := f.configure(); err != nil {
		return false, err
	}
	content, runs := crashingBodies[0], &crashRuns{}
	crashes := func(body string) bool { return trouble && body == content }
	arrived := func(w *worker, _, body string, at time.Time) {
		if body == content {
			runs.arrived(at, crashes(body))
			f.record.printf("the request reaches worker %s", w.currentID())
		}
	}
	for zone := range zones {
		for n := range 2 {
			if err := f.startWorker(fmt.Sprintf("i-%da%d-", zone, n), true, zone, crashes, arrived); err != nil {
				return false, err
			}
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
	time.Sleep(settleTime)
	if _, status := c.send(instances[0], http.MethodGet, safePrefix+"first", ""); status != http.StatusOK {
		return false, errNotServed
	}
	for period := range restarts + 1 {
		if trouble && period > 0 {
			if err := f.killAll(awayTime); err != nil {
				return false, err
			}
			time.Sleep(settleTime)
		}
		for n := range attemptsBetween {
			to := instances[n%2]
			runs.sending(time.Now())
			_, status := c.send(to, http.MethodPost, unsafePrefix+"box", content)
			f.record.printf("attempt to %s: status %d", to.name, status)
			time.Sleep(settleTime)
		}
	}
	total, late := runs.counts()
	f.record.printf("the request reached workers %d times, %d of them in attempts sent later than %v after the third crash; allowed %d",
		total, late, contactTime, allowedRetries)
	return late > allowedRetries, nil
}
