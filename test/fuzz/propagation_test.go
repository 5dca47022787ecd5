package fuzz

import (
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// reachability records since when instances have been connected to each other and
// to the store without interruption.
type reachability struct {
	world *world
	peers map[[2]*instance]time.Time
	store map[*instance]time.Time
}

func newReachability(w *world) reachability {
	return reachability{world: w, peers: make(map[[2]*instance]time.Time), store: make(map[*instance]time.Time)}
}

// observe updates the times. It misses interruptions shorter than its period;
// every interruption of a plan is longer.
func (r *reachability) observe() {
	now := time.Now()
	for _, a := range r.world.instances {
		for _, b := range r.world.instances {
			pair := [2]*instance{a, b}
			up := a != b && a.settled() && b.settled() && r.world.network.connected(a, b) &&
				!r.world.network.lossy && !r.world.network.reordering
			if !up {
				delete(r.peers, pair)
			} else if _, ok := r.peers[pair]; !ok {
				r.peers[pair] = now
			}
		}
		p := r.world.platform
		up := a.settled() && r.world.network.reaches(a, storeRegion) && !p.outage.Load() && !p.hang.Load()
		if !up {
			delete(r.store, a)
		} else if _, ok := r.store[a]; !ok {
			r.store[a] = now
		}
	}
}

// settled reports whether the instance is running and ready.
func (in *instance) settled() bool { return in.alive && !in.paused && in.ready }

// propagation tracks one fact and the instances that must have received it by
// now.
type propagation struct {
	oracle   *oracle
	grace    time.Duration
	receipts map[*instance]receipt
	due      map[*instance]uint64 // incarnation
}

type receipt struct {
	incarnation uint64
	at          time.Time
}

func newPropagation(o *oracle, grace time.Duration) *propagation {
	return &propagation{oracle: o, grace: grace, receipts: make(map[*instance]receipt), due: make(map[*instance]uint64)}
}

// record records that the instance received the fact from outside the fleet.
func (p *propagation) record(in *instance) {
	if received, ok := p.receipts[in]; !ok || received.incarnation != in.incarnation {
		p.receipts[in] = receipt{in.incarnation, time.Now()}
	}
}

// propagate marks the fact as due at each instance that recorded it, or has been
// connected to one that did, for at least the grace.
func (p *propagation) propagate() {
	now := time.Now()
	for source, received := range p.receipts {
		if source.incarnation != received.incarnation {
			continue
		}
		if now.Sub(received.at) >= p.grace {
			p.due[source] = source.incarnation
		}
		for _, other := range p.oracle.world.instances {
			since, up := p.oracle.reach.peers[[2]*instance{source, other}]
			if up && now.Sub(since) >= p.grace && now.Sub(received.at) >= p.grace {
				p.due[other] = other.incarnation
			}
		}
	}
}

// isDue reports whether the instance must have received the fact.
func (p *propagation) isDue(in *instance) bool {
	incarnation, ok := p.due[in]
	return ok && incarnation == in.incarnation
}

// accepted records a generation that the store accepted.
func (o *oracle) accepted(row *pb.GenerationRow) {
	o.world.logf("generation %d is accepted", row.Generation)
	if _, ok := o.acceptedAt[row.Generation]; ok {
		o.recordViolation(configInForce, "generation %d was accepted twice", row.Generation)
	}
	if row.Generation <= o.newest {
		o.recordViolation(configInForce, "generation %d was accepted after %d", row.Generation, o.newest)
	}
	o.acceptedAt[row.Generation] = time.Now()
	o.newest = row.Generation
	for target := range o.leaving {
		// A later generation in which the target does not leave ends its leaving.
		if !o.world.operators.leaving[target] {
			delete(o.leaving, target)
		}
	}
}

// inForce records the generation in force at an instance.
func (o *oracle) inForce(in *instance, generation int64) {
	before := o.active[in]
	if before.incarnation == in.incarnation && before.generation > generation {
		o.recordViolation(configInForce, "instance %s reverted from generation %d to %d", in.name, before.generation, generation)
	}
	o.active[in] = activeGeneration{in.incarnation, generation, time.Now()}
	for _, t := range in.snapshot.Config().GetTargets() {
		if t.GetLeaving() {
			o.recordLeaving(t.GetName(), in)
		}
	}
}

// auditConfig checks that an accepted generation is in force at each instance that
// could reach the store, or an instance with that generation, for longer than the
// grace.
func (o *oracle) auditConfig() {
	now := time.Now()
	for _, in := range o.world.instances {
		if !in.settled() {
			continue
		}
		current := o.active[in].generation
		due := int64(0)
		if since, up := o.reach.store[in]; up && now.Sub(since) > configGrace {
			for generation, at := range o.acceptedAt {
				if now.Sub(at) > configGrace {
					due = max(due, generation)
				}
			}
		}
		for _, peer := range o.world.instances {
			since, up := o.reach.peers[[2]*instance{peer, in}]
			held := o.active[peer]
			if up && now.Sub(since) > configGrace && now.Sub(held.since) > configGrace {
				due = max(due, held.generation)
			}
		}
		if current < due {
			o.recordViolation(configInForce, "instance %s has generation %d in force, %d is due", in.name, current, due)
		}
	}
}
