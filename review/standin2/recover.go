package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times and numbers of the case of machines that are lost shortly before a final fault.
const (
	fleetSize = 9
	// normalTime is the time of service before the loss, lossTime that between the loss and
	// the final fault.
	normalTime = 15 * time.Second
	lossTime   = 10 * time.Second
	// recoveryTime is the site's recovery_s; requests are counted for countTime after it. The
	// bench sends requests for some 16 s after a final fault.
	recoveryTime = 12 * time.Second
	countTime    = 10 * time.Second
	// requestInterval is the time between two requests: 100 requests of 200 tokens a second
	// are 0.56 of recoverRate.
	requestInterval = 10 * time.Millisecond
	recoverRate     = 36000
	recoverWorkers  = 3
	// minServed is the rule's share.
	minServed = 0.25
)

// playRecover loses all machines but one for good, then kills and restarts the last one, and
// counts what it serves from recoveryTime on.
func playRecover(f *fleet, trouble bool) (bool, error) {
	f.quotaRate = recoverRate
	if err := f.configure(); err != nil {
		return false, err
	}
	for n := range recoverWorkers {
		err := f.startWorker(fmt.Sprintf("i-4c21%d", n), false, n%len(zones), func(string) bool { return false },
			func(*worker, string, string, time.Time) {})
		if err != nil {
			return false, err
		}
	}
	for n := range fleetSize {
		if _, err := f.start(n % len(zones)); err != nil {
			return false, err
		}
	}
	c := newClient(f.record)
	time.Sleep(calmTime)
	before := c.sendAll(f.instances, normalTime)
	f.record.printf("before the loss: %d of %d served", before.served.Load(), before.sent.Load())
	if trouble {
		f.record.printf("%d machines are lost for good", fleetSize-1)
		f.loseAllButFirst()
	}
	between := c.sendAll(f.instances, lossTime)
	f.record.printf("before the final fault: %d of %d served", between.served.Load(), between.sent.Load())
	if err := f.killAll(awayTime); err != nil {
		return false, err
	}
	c.sendAll(f.instances, recoveryTime)
	after := c.sendAll(f.instances, countTime)
	f.record.printf("from %v after the machines are back: %d of %d served", recoveryTime, after.served.Load(), after.sent.Load())
	servedBefore := before.share(between)
	if servedBefore < minServed {
		return false, errNotServed
	}
	return after.share() < minServed, nil
}

// loseAllButFirst kills all processes but one, which are not started again.
func (f *fleet) loseAllButFirst() {
	for _, i := range f.instances[1:] {
		_ = i.command.Process.Kill() // it may have ended
	}
	for _, i := range f.instances[1:] {
		<-i.ended
	}
	f.instances = f.instances[:1]
}

// tally counts requests.
type tally struct{ sent, served atomic.Int64 }

// share returns the share of served requests of this and other tallies.
func (t *tally) share(others ...*tally) float64 {
	sent, served := t.sent.Load(), t.served.Load()
	for _, o := range others {
		sent, served = sent+o.sent.Load(), served+o.served.Load()
	}
	return float64(served) / float64(max(1, sent))
}

// sendAll sends requests to the instances in turn for a time and waits for their answers.
func (c *client) sendAll(instances []*instance, d time.Duration) *tally {
	var t tally
	var running sync.WaitGroup
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		n := t.sent.Add(1)
		to := instances[int(n)%len(instances)]
		running.Go(func() {
			if _, status := c.send(to, http.MethodGet, fmt.Sprintf("%sorder-%d", safePrefix, n), ""); status == http.StatusOK {
				t.served.Add(1)
			}
		})
	}
	running.Wait()
	return &t
}
