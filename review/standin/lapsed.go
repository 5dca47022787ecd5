package main

import (
	"fmt"
	"time"
)

// Times of the case lapsed-entries.
const (
	// outageTime is how long the store is down: the largest dose of the site file.
	outageTime = 4500 * time.Millisecond
	// beforeOutage is how long requests are sent before the outage.
	beforeOutage = 6 * time.Second
	// contactTime is contact_ms: the store is stable that long after the outage.
	contactTime = 4 * time.Second
	// applyTime is the time after which a configuration is in force everywhere, more than
	// config_apply_ms.
	applyTime = 3 * time.Second
	// afterChange is how long requests are sent to both routes at last.
	afterChange = 15 * time.Second
	// sendInterval is the time between two requests on a route to one machine.
	sendInterval = 100 * time.Millisecond
	// minAdded is the least number of requests on added routes that the rule asks for.
	minAdded = 20
)

var (
	firstRoute = call{kind: "first", path: "/first/1", in: 100, out: 100, deadline: 3 * time.Second}
	addedRoute = call{kind: "added", path: "/added/1", in: 100, out: 100, deadline: 3 * time.Second}
)

// lapsedEntries takes the store down for a while in which the entries of the workers lapse,
// adds a route later, and compares how often requests on both routes are served.
func lapsedEntries(d *deployment, folder string, trouble bool) (bool, error) {
	if err := d.configure(folder + "/config.json"); err != nil {
		return false, err
	}
	r := newRegistry(d)
	zones := []string{"dub-a", "dub-b", "sto-a"}
	for k, zone := range zones {
		if err := d.startApp(r, "box-app", fmt.Sprintf("i-app%d", k+1), zone); err != nil {
			return false, err
		}
	}
	for _, zone := range zones {
		if err := d.startMachine(zone); err != nil {
			return false, err
		}
	}
	if err := waitReady(d.machines); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	c := newClients(d)
	c.sendFor(d.machines, beforeOutage, firstRoute)
	if trouble {
		d.record.write("the store is down")
		d.outage.set(true)
	}
	time.Sleep(outageTime)
	d.outage.set(false)
	d.record.write("the store is up")
	time.Sleep(contactTime)
	d.record.write("the store is stable")
	c.sendFor(d.machines, contactTime, firstRoute)
	if err := d.configure(folder + "/config-added.json"); err != nil {
		return false, err
	}
	c.sendFor(d.machines, applyTime, firstRoute)
	c.sendFor(d.machines, afterChange, firstRoute, addedRoute)
	c.running.Wait()
	first, added := served(c.answers, "first"), served(c.answers, "added")
	d.record.write("of %d requests on the first route %d were served; of %d on the added one %d", first.sent, first.served, added.sent, added.served)
	return added.sent >= minAdded && 4*added.share() < first.share(), nil
}

// sendFor sends requests of each kind to the machines for a time.
func (c *clients) sendFor(machines []*machine, d time.Duration, kinds ...call) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(sendInterval) {
		for _, m := range machines {
			for _, k := range kinds {
				c.send(m, k)
			}
		}
	}
}

type count struct{ sent, served int }

func (c count) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

func served(answers []answer, kind string) count {
	var n count
	for _, a := range answers {
		if a.kind != kind {
			continue
		}
		n.sent++
		if a.status == 200 && a.err == nil {
			n.served++
		}
	}
	return n
}
