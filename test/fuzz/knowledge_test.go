package fuzz

import (
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// reachability tells since when instances have been connected to each other and
// to the store without a disturbance.
type reachability struct {
	world *world
	peers map[[2]*instance]time.Time
	store map[*instance]time.Time
}

func newReachability(w *world) reachability {
	return reachability{world: w, peers: make(map[[2]*instance]time.Time), store: make(map[*instance]time.Time)}
}

// observe updates the times. It misses disturbances shorter than its period,
// which are none of the plan's.
func (r *reachability) observe() {
	now := time.Now()
	for _, a := range r.world.instances {
		for _, b := range r.world.instances {
			pair := [2]*instance{a, b}
			up := a != b && a.settled() && b.settled() && r.world.network.connected(a, b) &&
				!r.world.network.lossy && !r.world.network.disorder
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

// settled reports whether the instance runs and has a configuration.
func (in *instance) settled() bool { return in.alive && !in.paused && in.ready }

// knowledge tells which instances must know of something by now.
type knowledge struct {
	oracle *oracle
	grace  time.Duration
	direct map[*instance]knownBy
	must   map[*instance]uint64 // incarnation
}

type knownBy struct {
	incarnation uint64
	at          time.Time
}

func newKnowledge(o *oracle, grace time.Duration) *knowledge {
	return &knowledge{oracle: o, grace: grace, direct: make(map[*instance]knownBy), must: make(map[*instance]uint64)}
}

// learned records that the instance got it from outside the fleet.
func (k *knowledge) learned(in *instance) {
	if known, ok := k.direct[in]; !ok || known.incarnation != in.incarnation {
		k.direct[in] = knownBy{in.incarnation, time.Now()}
	}
}

// spread adds the instances that have been connected to one that knows for
// longer than the grace.
func (k *knowledge) spread() {
	now := time.Now()
	for source, known := range k.direct {
		if source.incarnation != known.incarnation {
			continue
		}
		if now.Sub(known.at) >= k.grace {
			k.must[source] = source.incarnation
		}
		for _, other := range k.oracle.world.instances {
			since, up := k.oracle.reach.peers[[2]*instance{source, other}]
			if up && now.Sub(since) >= k.grace && now.Sub(known.at) >= k.grace {
				k.must[other] = other.incarnation
			}
		}
	}
}

func (k *knowledge) mustKnow(in *instance) bool {
	incarnation, ok := k.must[in]
	return ok && incarnation == in.incarnation
}

// accepted records a generation that the store has taken.
func (o *oracle) accepted(row *pb.GenerationRow) {
	o.world.logf("generation %d is accepted", row.Generation)
	if _, ok := o.acceptedAt[row.Generation]; ok {
		o.violate(configInForce, "generation %d was accepted twice", row.Generation)
	}
	if row.Generation <= o.newest {
		o.violate(configInForce, "generation %d was accepted after %d", row.Generation, o.newest)
	}
	o.acceptedAt[row.Generation] = time.Now()
	o.newest = row.Generation
	for target := range o.leaving {
		// A later generation that has the target staying ends its leaving.
		if !o.world.operators.leaving[target] {
			delete(o.leaving, target)
		}
	}
}

// inForce records the generation that an instance works with.
func (o *oracle) inForce(in *instance, generation int64) {
	before := o.highest[in]
	if before.incarnation == in.incarnation && before.generation > generation {
		o.violate(configInForce, "instance %s went back from generation %d to %d", in.name, before.generation, generation)
	}
	o.highest[in] = forced{in.incarnation, generation, time.Now()}
	for _, t := range in.snapshot.Config().GetTargets() {
		if t.GetLeaving() {
			o.leavingKnown(t.GetName(), in)
		}
	}
}

// auditConfig checks that an accepted generation is in force wherever the store
// or an instance that has it was reachable for longer than the grace.
func (o *oracle) auditConfig() {
	now := time.Now()
	for _, in := range o.world.instances {
		if !in.settled() {
			continue
		}
		have := o.highest[in].generation
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
			held := o.highest[peer]
			if up && now.Sub(since) > configGrace && now.Sub(held.since) > configGrace {
				due = max(due, held.generation)
			}
		}
		if have < due {
			o.violate(configInForce, "instance %s has generation %d in force, %d is due", in.name, have, due)
		}
	}
}
