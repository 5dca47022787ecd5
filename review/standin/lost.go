package main

import (
	"fmt"
	"time"
)

// Times and counts of the case lost-machines.
const (
	// machinesPerZone is the number of machines of each zone, as on the sheet.
	machinesPerZone = 3
	// survivors is the number of machines that are not lost.
	survivors = 1
	// forgetTime is how long the deployment runs after the loss.
	forgetTime = 30 * time.Second
	// beforeFault is how long requests are counted before the final fault.
	beforeFault = 5 * time.Second
	// downTime is how long all processes are down.
	downTime = time.Second
	// recoveryTime is recovery_s. Requests are sent for countedTime after it.
	recoveryTime = 12 * time.Second
	countedTime  = 6 * time.Second
	// requestsAtOnce is the number of requests that are sent each sendInterval, in turn to
	// all machines that run.
	requestsAtOnce = 3
)

// lostMachines loses all machines but one for good, waits, and ends all processes that are
// left at once and starts them again. It compares how many requests are served before and
// after that.
func lostMachines(d *deployment, folder string, trouble bool) (bool, error) {
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
	for k := range machinesPerZone * len(zones) {
		if err := d.startMachine(zones[k%len(zones)]); err != nil {
			return false, err
		}
	}
	if err := waitReady(d.machines); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	running := d.machines
	if trouble {
		for _, m := range d.machines[survivors:] {
			d.record.write("machine %s is lost", m.name)
			m.kill()
		}
		running = d.machines[:survivors]
	}
	time.Sleep(forgetTime)
	c := newClients(d)
	before := c.countInTurn(running, beforeFault)
	d.record.write("final fault: all processes are killed")
	for _, m := range running {
		m.kill()
	}
	time.Sleep(downTime)
	for _, m := range running {
		if err := d.startProcess(m); err != nil {
			return false, err
		}
	}
	back := time.Now()
	d.record.write("all processes are back")
	if err := waitReady(running); err != nil {
		return false, err
	}
	c.countInTurn(running, time.Until(back.Add(recoveryTime)))
	after := c.countInTurn(running, countedTime)
	d.record.write("before the final fault %d of %d requests were served; of those sent %v later %d of %d",
		before.served, before.sent, recoveryTime, after.served, after.sent)
	return 4*before.served >= before.sent && 4*after.served < after.sent, nil
}

// countInTurn sends requests for a time, in turn to the machines, and counts those served.
func (c *clients) countInTurn(machines []*machine, d time.Duration) count {
	c.answers = nil
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(sendInterval) {
		for range requestsAtOnce {
			c.send(machines[n%len(machines)], firstRoute)
			n++
		}
	}
	c.running.Wait()
	return served(c.answers, firstRoute.kind)
}
