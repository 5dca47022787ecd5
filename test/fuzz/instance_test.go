package fuzz

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/basilloom/basilloom/claims"
	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/lease"
	"github.com/basilloom/basilloom/membership"
	"github.com/basilloom/basilloom/storage"
)

// leaseName is the lease that all instances compete for.
const leaseName = "controller"

// instance is one process. Its membership view, facts, configuration watcher,
// claims, leases and groups are the real code; its broker and entry roles are
// models.
type instance struct {
	world       *world
	name        string
	region      string
	incarnation uint64

	alive, paused, draining, ready bool
	// running is set while alive and not paused; configuration watchers read it.
	running atomic.Bool
	backlog []func()

	rng         *rand.Rand
	view        *membership.View
	facts       *membership.Facts
	watcher     atomic.Pointer[config.Watcher]
	stopWatcher context.CancelFunc
	snapshot    *config.Snapshot
	// leavingChanged makes the next tick update the targets of the groups.
	leavingChanged bool
	brokers        map[groupKey]*brokerRole
	entry          *entryRole
	claims         claimStore
	leases         *lease.Manager
	lease          *lease.Lease
	moves          *moveEvidence
}

// claimStore is the part of claims.Store that entries use.
type claimStore interface {
	Begin(ctx context.Context, request claims.Request) (claims.BeginResult, error)
	Finish(ctx context.Context, claim *claims.Claim, result claims.Result) error
	MarkUnknown(ctx context.Context, claim *claims.Claim) error
	Abandon(ctx context.Context, claim *claims.Claim) error
}

func newInstance(w *world, name, region string) *instance {
	return &instance{world: w, name: name, region: region}
}

// boot starts a new incarnation without any earlier state.
func (in *instance) boot() {
	in.incarnation++
	in.alive, in.paused, in.draining, in.ready = true, false, false, false
	in.running.Store(true)
	in.backlog = nil
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(in.name))
	in.rng = rand.New(rand.NewPCG(in.world.plan.Seed^hash.Sum64(), in.incarnation))
	self := membership.Instance{Name: in.name, Incarnation: in.incarnation, Address: in.name, Region: in.region}
	in.view = membership.NewView(self, time.Now())
	in.facts = membership.NewFacts()
	in.snapshot = nil
	in.brokers = make(map[groupKey]*brokerRole)
	in.entry = newEntryRole(in)
	table := tableClient{platformClient{world: in.world, in: in}}
	in.claims = in.world.defect.wrapClaims(claims.NewStore(table, in.name))
	in.leases = lease.NewManager(table, lease.Settings{Holder: in.name, Incarnation: in.incarnation, Duration: 3 * time.Second})
	in.lease = nil
	in.moves = newMoveEvidence()
	in.startWatcher()
	in.world.logf("instance %s starts, incarnation %d", in.name, in.incarnation)
	// The offset prevents instances from running their periodic work at the same time.
	offset := time.Duration(in.rng.Int64N(int64(tickPeriod)))
	in.repeat(offset, tickPeriod, in.tick)
	in.repeat(offset, gossipPeriod, in.gossip)
	in.repeat(offset, time.Second, in.competeForLease)
}

// repeat runs work periodically until the incarnation ends, except while paused.
func (in *instance) repeat(offset, period time.Duration, work func()) {
	incarnation := in.incarnation
	var runCycle func()
	runCycle = func() {
		if in.incarnation != incarnation || !in.alive {
			return
		}
		if !in.paused {
			work()
		}
		in.world.after(period, runCycle)
	}
	in.world.after(offset+time.Microsecond, runCycle)
}

// handle runs deliver, or queues it until a pause ends.
func (in *instance) handle(deliver func()) {
	switch {
	case !in.alive:
	case in.paused:
		in.backlog = append(in.backlog, deliver)
	default:
		deliver()
	}
}

func (in *instance) startWatcher() {
	ctx, cancel := context.WithCancel(in.world.ctx)
	in.stopWatcher = cancel
	client := platformClient{world: in.world, in: in, blocking: true}
	watcher := config.NewWatcher(config.WatcherOptions{
		Store:     config.NewStore(tableClient{client}, objectClient{client}, nil),
		Peers:     peerConfigs{in},
		FleetSize: func() int { return instancesPerRegion * len(regions) },
		Random:    rand.New(rand.NewPCG(in.rng.Uint64(), in.rng.Uint64())),
	})
	in.watcher.Store(watcher)
	go func() { _ = watcher.Run(ctx) }()
	synctest.Wait()
}

// peerConfigs implements config.Peers over the other instances. It is called
// by the watcher's goroutine.
type peerConfigs struct{ in *instance }

func (p peerConfigs) eachReachable(visit func(*config.Watcher)) bool {
	responded := false
	for _, other := range p.in.world.instances {
		if other != p.in && other.running.Load() && p.in.running.Load() && p.in.world.network.connected(p.in, other) {
			responded = true
			visit(other.watcher.Load())
		}
	}
	return responded
}

// Newest implements config.Peers.
func (p peerConfigs) Newest(context.Context) (generation int64, hash string, err error) {
	responded := p.eachReachable(func(w *config.Watcher) {
		if s := w.Current(); s != nil && s.Generation() > generation {
			generation, hash = s.Generation(), s.Hash()
		}
	})
	if !responded {
		return 0, "", storage.ErrUnavailable
	}
	return generation, hash, nil
}

// Fetch implements config.Peers.
func (p peerConfigs) Fetch(_ context.Context, generation int64) (hash string, c *pb.Config, err error) {
	p.eachReachable(func(w *config.Watcher) {
		if s := w.Current(); s != nil && s.Generation() == generation {
			hash, c = s.Hash(), s.Config()
		}
	})
	if c == nil {
		return "", nil, storage.ErrNotFound
	}
	return hash, c, nil
}

// tick does the periodic work of the instance.
func (in *instance) tick() {
	now := time.Now()
	in.view.Tick(now)
	in.adoptConfig()
	in.closeLostGroups()
	for _, key := range in.ownedKeys() {
		in.brokers[key].tick(now)
	}
	in.entry.tick(now)
}

// adoptConfig puts the watcher's current generation in force.
func (in *instance) adoptConfig() {
	current := in.world.defect.snapshot(in, in.watcher.Load().Current())
	if current == nil {
		return
	}
	if !in.ready && in.watcher.Load().Ready() {
		in.ready = true
		in.world.logf("instance %s is ready with generation %d", in.name, current.Generation())
	}
	changed := in.snapshot == nil || in.snapshot.Generation() != current.Generation()
	if changed {
		in.world.logf("instance %s has generation %d in force", in.name, current.Generation())
		in.snapshot = current
		in.world.oracle.inForce(in, current.Generation())
	}
	if changed || in.leavingChanged {
		in.leavingChanged = false
		for _, key := range in.ownedKeys() {
			in.brokers[key].refreshTargets(time.Now())
		}
	}
}

// isLeaving mirrors package daemon: a notice applies to its own generation and
// older ones.
func (in *instance) isLeaving(target string) bool {
	for _, l := range in.facts.Snapshot().Leaving {
		if l.Target == target && l.Generation >= in.snapshot.Generation() {
			return true
		}
	}
	return false
}

// usableTarget reports whether the instance may send new work to the target.
func (in *instance) usableTarget(target string) bool {
	t := in.snapshot.Target(target)
	return t != nil && !t.GetLeaving() && !in.isLeaving(target)
}

func (in *instance) competeForLease() {
	now := time.Now()
	if in.lease != nil {
		if err := in.lease.Renew(in.world.ctx); err != nil && !in.lease.Valid(now, 0) {
			in.lease = nil
		}
		in.world.oracle.leaseHeld(in)
		return
	}
	held, err := in.leases.Acquire(in.world.ctx, leaseName)
	if err != nil {
		return
	}
	in.lease = held
	in.world.logf("instance %s holds the lease, fence %d", in.name, held.Fence())
	in.world.oracle.leaseHeld(in)
}

func (in *instance) kill(down time.Duration) {
	if !in.alive {
		return
	}
	in.world.logf("instance %s is killed", in.name)
	in.end()
	in.world.after(down, in.boot)
}

// end stops the incarnation and breaks the connections of callers with requests
// in flight.
func (in *instance) end() {
	in.alive, in.ready = false, false
	in.running.Store(false)
	in.stopWatcher()
	synctest.Wait()
	in.entry.abandon()
	for _, s := range in.entry.streams() {
		in.world.network.breakStream(s)
	}
	for _, key := range in.ownedKeys() {
		in.brokers[key].closeSessions()
	}
}

func (in *instance) pause(d time.Duration) {
	if !in.alive || in.paused {
		return
	}
	in.world.logf("instance %s is paused for %v", in.name, d)
	in.paused = true
	in.running.Store(false)
	incarnation := in.incarnation
	in.world.after(d, func() {
		if in.incarnation != incarnation || !in.alive {
			return
		}
		in.world.logf("instance %s resumes", in.name)
		in.paused = false
		in.running.Store(true)
		backlog := in.backlog
		in.backlog = nil
		for _, deliver := range backlog {
			in.handle(deliver)
		}
	})
}

// drain shuts the instance down gracefully and restarts it after the last request.
func (in *instance) drain() {
	if !in.alive || in.draining {
		return
	}
	in.world.logf("instance %s shuts down", in.name)
	in.draining = true
	in.view.Leave(time.Now())
	in.pushUrgent()
	in.world.oracle.draining(in)
	if in.world.defect.dropsInFlight() {
		in.shutDown()
		return
	}
	incarnation := in.incarnation
	var check func()
	check = func() {
		if in.incarnation != incarnation || !in.alive {
			return
		}
		if !in.paused && len(in.entry.requests) == 0 {
			in.shutDown()
			return
		}
		in.world.after(tickPeriod, check)
	}
	check()
}

// shutDown stops a drained instance; the platform replaces it after a second.
func (in *instance) shutDown() {
	in.world.oracle.shutDown(in)
	in.kill(time.Second)
}
