package main

import (
	"fmt"
	"math"
	"time"
)

// Times and sizes of the case large-output.
const (
	// lapseTime is the time from the loss of the engine to the first request. Its entry has
	// lapsed by then.
	lapseTime = 6 * time.Second
	// trafficTime is how long requests are sent, at requestsPerSecond to the machine of the
	// zone that loses its engine and a third of it to each other machine.
	trafficTime       = 60 * time.Second
	requestsPerSecond = 60
	// largeOutputAt is the number of the request after which the large one is sent.
	largeOutputAt = 60
	// largeOutputTokens is the number of output tokens that the large request allows: the
	// largest 32-bit number, as clients send it that set no limit. Such a request is larger
	// than a worker's memory, and a worker rejects it as if it were full.
	largeOutputTokens = math.MaxInt32
	// tagTimeout is the timeout of the route of the other requests, answerSlack the time
	// after it by which they must have their answer.
	tagTimeout  = 3 * time.Second
	answerSlack = 500 * time.Millisecond
)

// largeOutput sends one request with a large number of output tokens to the machine of a
// zone whose only engine was lost, and counts which of the other requests are answered.
func largeOutput(d *deployment, folder string, trouble bool) (bool, error) {
	if err := d.configure(folder + "/config.json"); err != nil {
		return false, err
	}
	var engines []*engine
	for k, zone := range []string{"dub-a", "dub-b", "dub-b", "sto-a"} {
		e, err := d.startEngine("loom-serve", fmt.Sprintf("i-engine%d", k+1), zone)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	for _, zone := range []string{"dub-a", "dub-b", "sto-a"} {
		if err := d.startMachine(zone); err != nil {
			return false, err
		}
	}
	if err := waitReady(d.machines); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if trouble {
		engines[0].crash()
	}
	time.Sleep(lapseTime)
	c := newClients(d)
	large := call{kind: "chat", path: "/chat/1", in: 628, out: largeOutputTokens, deadline: 12 * time.Second}
	tag := call{kind: "tag", path: "/tag/1", in: 1800, out: 21, deadline: 2 * tagTimeout}
	end := time.Now().Add(trafficTime)
	for k := 0; time.Now().Before(end); k++ {
		if k == largeOutputAt {
			c.send(d.machines[0], large)
		}
		c.send(d.machines[0], tag)
		if k%3 == 0 {
			c.send(d.machines[1], tag)
			c.send(d.machines[2], tag)
		}
		time.Sleep(time.Second / requestsPerSecond)
	}
	c.running.Wait()
	return lateAnswers(d.record, c.answers), nil
}

// lateAnswers reports whether more than half of the requests that were unanswered at the
// route's timeout had no answer half a second later.
func lateAnswers(r *record, answers []answer) bool {
	sent, atTimeout, after := 0, 0, 0
	for _, a := range answers {
		if a.kind != "tag" {
			continue
		}
		sent++
		if a.took >= tagTimeout {
			atTimeout++
		}
		if a.took >= tagTimeout+answerSlack {
			after++
		}
	}
	r.write("%d requests with a timeout of %v, %d of them unanswered at it, %d still %v later", sent, tagTimeout, atTimeout, after, answerSlack)
	return 2*after > atTimeout
}
