package main

import (
	"fmt"
	"time"
)

// Times and counts of the case lost-machines.
const (
	// lostCount is the number of machines that were lost for good and replaced.
	lostCount = 24
	// lostAtOnce is the number of machines that run beside the others at a time.
	lostAtOnce = 8
	// forgetTime is how long the deployment runs after the last loss.
	forgetTime = 30 * time.Second
	// beforeFault is how long requests are counted before the final fault.
	beforeFault = 5 * time.Second
	// downTime is how long all processes are down.
	downTime = time.Second
	// recoveryTime is recovery_s. Requests are sent for countedTime after it.
	recoveryTime = 12 * time.Second
	countedTime  = 6 * time.Second
)

// lostMachines loses machines for good, each of which is replaced by one with another name,
// waits, ends all processes at once and starts them again. It compares how many requests
// are served before and after that.
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
	if trouble {
		if err := d.loseMachines(zones); err != nil {
			return false, err
		}
	}
	lost := len(d.machines)
	for _, zone := range zones {
		if err := d.startMachine(zone); err != nil {
			return false, err
		}
	}
	machines := d.machines[lost:]
	if err := waitReady(machines); err != nil {
		return false, err
	}
	time.Sleep(forgetTime)
	c := newClients(d)
	c.sendFor(machines, beforeFault, firstRoute)
	c.running.Wait()
	before := served(c.answers, firstRoute.kind)
	d.record.write("final fault: all processes are killed")
	for _, m := range machines {
		m.kill()
	}
	time.Sleep(downTime)
	for _, m := range machines {
		if err := d.startProcess(m); err != nil {
			return false, err
		}
	}
	back := time.Now()
	d.record.write("all processes are back")
	if err := waitReady(machines); err != nil {
		return false, err
	}
	c.sendFor(machines, time.Until(back.Add(recoveryTime)), firstRoute)
	c.running.Wait()
	c.answers = nil
	c.sendFor(machines, countedTime, firstRoute)
	c.running.Wait()
	after := served(c.answers, firstRoute.kind)
	d.record.write("before the final fault %d of %d requests were served; of those sent %v later %d of %d",
		before.served, before.sent, recoveryTime, after.served, after.sent)
	return 4*before.served >= before.sent && 4*after.served < after.sent, nil
}

// loseMachines starts machines and ends them without notice; they never come back.
func (d *deployment) loseMachines(zones []string) error {
	for range lostCount / lostAtOnce {
		first := len(d.machines)
		for k := range lostAtOnce {
			if err := d.startMachine(zones[k%len(zones)]); err != nil {
				return err
			}
		}
		if err := waitReady(d.machines[first:]); err != nil {
			return err
		}
		time.Sleep(time.Second)
		for _, m := range d.machines[first:] {
			d.record.write("machine %s is lost", m.name)
			m.kill()
		}
	}
	return nil
}
