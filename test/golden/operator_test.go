package golden

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing/fstest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/lease"
	"github.com/basilloom/basilloom/storage"
)

// operatorSession records the operations of one deployment's operators.
func operatorSession(s *session) {
	o := newConfigSession(s)
	s.section("the example folder is valid")
	base := o.folder(nil)
	o.validate("example", base)
	o.validateFaultyFolders()

	s.section("the first apply; three instances follow")
	o.apply("ana", "a1", base, 0)
	for _, f := range o.instances[:3] {
		o.startInstance(f)
	}
	o.watch(5 * time.Second)

	s.section("a later file replaces the lowest tier; the operator repeats the apply")
	night := o.folder(map[string]string{"90-night.yaml": "tiers:\n- {name: batch, rank: 4, first_token_deadline: 120s}\n"})
	o.apply("ana", "a2", night, 1)
	o.apply("ana", "a2", night, 1)
	o.apply("ana", "a2", base, 1)
	o.watch(5 * time.Second)

	s.section("two operators build on generation 2")
	o.apply("ana", "a3", base, 2)
	o.apply("ben", "b1", night, 2)
	o.watch(5 * time.Second)

	s.section("the answer of an apply is lost")
	s.table.Faults.Set(fault.Settings{LoseNext: 1, Unlimited: true})
	o.apply("ben", "b2", night, 3)
	o.watch(5 * time.Second)

	o.storeOutage(base)
	o.leaseHandover()
}

// configSession is a session of operators and the instances that follow their
// configuration.
type configSession struct {
	*session
	store     *config.Store
	instances []*follower
}

// follower is one instance that follows the configuration.
type follower struct {
	name    string
	watcher *config.Watcher
	// isolated makes the store and the peers unreachable.
	isolated   atomic.Bool
	generation int64
	ready      bool
}

func newConfigSession(s *session) *configSession {
	o := &configSession{session: s, store: config.NewStore(s.table, newObjects(s), nil)}
	for i := range maxFollowers {
		o.instances = append(o.instances, o.newFollower(uint64(i+1)))
	}
	return o
}

// maxFollowers is the number of instances that a session can start.
const maxFollowers = 5

// folder returns the example folder with additional files.
func (o *configSession) folder(more map[string]string) fstest.MapFS {
	root := filepath.Join("..", "..", "examples", o.deployment.name)
	entries, err := os.ReadDir(root)
	o.require(err)
	folder := fstest.MapFS{}
	for _, e := range entries {
		data, err := os.ReadFile(filepath.Join(root, e.Name()))
		o.require(err)
		folder[e.Name()] = &fstest.MapFile{Data: data}
	}
	for name, text := range more {
		folder[name] = &fstest.MapFile{Data: []byte(text)}
	}
	return folder
}

func (o *configSession) validate(name string, folder fstest.MapFS) {
	c, err := config.Read(folder, time.Now())
	if err != nil {
		o.writeLine("config validate %s: refused", name)
		for line := range strings.Lines(err.Error()) {
			o.writeLine("  %s", strings.TrimSuffix(line, "\n"))
		}
		return
	}
	o.writeLine("config validate %s: %d targets, %d routes, %d moves", name, len(c.GetTargets()), len(c.GetRoutes()), len(c.GetMoves()))
}

// validateFaultyFolders records the validation errors of folders with one fault each.
func (o *configSession) validateFaultyFolders() {
	o.section("folders with faults change nothing")
	d := o.deployment
	for _, c := range []struct{ name, file, text string }{
		{"unknown tier", "91.yaml", "routes:\n- {name: extra, model: extra, pool: models, tier: platinum, version: v1}\n"},
		{"unknown field", "91.yaml", "tiers:\n- {name: batch, rank: 4, deadline: 1s}\n"},
		{"repeated field", "91.yaml", "tiers:\n- {name: batch, rank: 4, rank: 5}\n"},
		{"wrong type", "91.yaml", "pools:\n- {name: models, queue_limit: many}\n"},
		{"move whose deadline has passed", "91.yaml", "moves:\n- {name: late, route: " + d.light + ", from: v1, to: v2, deadline: \"1999-12-31T06:00:00Z\", steps: [100]}\n"},
		{"wrong file name", "91.yml", "tiers: []\n"},
	} {
		o.validate(c.name, o.folder(map[string]string{c.file: c.text}))
	}
	o.validate("empty folder", fstest.MapFS{})
}

func (o *configSession) apply(operator, id string, folder fstest.MapFS, expect int64) {
	c, err := config.Read(folder, time.Now())
	o.require(err)
	row, err := o.store.Apply(o.ctx, c, id, operator, expect)
	if err != nil {
		o.writeLine("%s applies %s on generation %d: %s", operator, id, expect, singleLine(err))
		return
	}
	o.writeLine("%s applies %s on generation %d: generation %d in the store", operator, id, expect, row.Generation)
}

// newFollower returns an instance that has not been started.
func (o *configSession) newFollower(number uint64) *follower {
	f := &follower{name: fmt.Sprintf("i%d", number)}
	f.watcher = config.NewWatcher(config.WatcherOptions{
		Store:     config.NewStore(isolatableTable{o.table, f}, newObjects(o.session), nil),
		Peers:     followerPeers{o, f},
		FleetSize: func() int { return 9 },
		Random:    rand.New(rand.NewPCG(number, number)),
	})
	return f
}

// singleLine returns the text of a joined error on one line.
func singleLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", ": ") }

func (o *configSession) startInstance(f *follower) {
	o.writeLine("%s starts", f.name)
	go func() { _ = f.watcher.Run(o.ctx) }()
	synctest.Wait()
}

// watch writes changes of the generation in force and of readiness.
func (o *configSession) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tickPeriod) {
		synctest.Wait()
		for _, f := range o.instances {
			if c := f.watcher.Current(); c != nil && c.Generation() != f.generation {
				f.generation = c.Generation()
				o.writeLine("%s has generation %d in force", f.name, f.generation)
			}
			if ready := f.watcher.Ready(); ready != f.ready {
				f.ready = ready
				o.writeLine("%s ready: %t", f.name, ready)
			}
		}
	}
}

// storeOutage records how instances adopt generations while the store is unavailable.
func (o *configSession) storeOutage(base fstest.MapFS) {
	first, last := o.instances[0], o.instances[2]
	o.section("%s is cut off while generation 5 is applied", last.name)
	last.isolated.Store(true)
	o.apply("ana", "a4", base, 4)
	o.watch(5 * time.Second)

	o.section("the store goes away; %s reconnects and learns from its peers", last.name)
	o.table.Faults.Set(fault.Settings{Outage: true, Unlimited: true})
	o.apply("ana", "a5", base, 5)
	last.isolated.Store(false)
	o.watch(5 * time.Second)

	o.section("a new instance starts beside its peers, another with nothing in reach")
	o.instances[4].isolated.Store(true)
	o.startInstance(o.instances[3])
	o.startInstance(o.instances[4])
	o.watch(5 * time.Second)

	o.section("a peer names an old generation, then another content for this one")
	o.writeLine("%s hears of generation 1: %v", first.name, first.watcher.ObserveGeneration(1, "old"))
	err := first.watcher.ObserveGeneration(5, "other")
	var conflict *config.HashConflictError
	require.ErrorAs(o.t, err, &conflict)
	o.writeLine("%s hears of another content of generation %d: refused", first.name, conflict.Generation)
	o.watch(time.Second)

	o.section("the store is back")
	o.table.Faults.Set(fault.Settings{Unlimited: true})
	o.instances[4].isolated.Store(false)
	o.watch(5 * time.Second)
}

// leaseHandover records how the controller role passes to another instance.
func (o *configSession) leaseHandover() {
	o.section("the controller's lease: held, paused, taken over, refused to the old holder")
	i1 := lease.NewManager(o.table, lease.Settings{Holder: "i1", Incarnation: 1})
	i2 := lease.NewManager(o.table, lease.Settings{Holder: "i2", Incarnation: 1})
	held := o.acquire("i1", i1)
	o.acquire("i2", i2)
	time.Sleep(10 * time.Second)
	o.writeLine("i1 renews: %v, valid with a margin of 5s: %t", held.Renew(o.ctx), held.Valid(time.Now(), 5*time.Second))
	o.acquire("i2", i2)
	time.Sleep(12 * time.Second)
	o.writeLine("i1 was paused, valid with a margin of 5s: %t", held.Valid(time.Now(), 5*time.Second))
	o.acquire("i2", i2)
	time.Sleep(4 * time.Second)
	o.acquire("i2", i2)
	o.writeLine("i1 renews: %v", held.Renew(o.ctx))
}

func (o *configSession) acquire(name string, m *lease.Manager) *lease.Lease {
	held, err := m.Acquire(o.ctx, "controller")
	if err != nil {
		o.writeLine("%s does not get the lease: %v", name, err)
		return nil
	}
	o.writeLine("%s gets the lease, fence %d", name, held.Fence())
	return held
}

// isolatableTable is a follower's connection to the table.
type isolatableTable struct {
	storage.Table
	f *follower
}

// Get fails while the follower is isolated.
func (t isolatableTable) Get(ctx context.Context, key storage.Key) (storage.Row, error) {
	if t.f.isolated.Load() {
		return storage.Row{}, storage.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

// followerPeers implements config.Peers over the other followers.
type followerPeers struct {
	o *configSession
	f *follower
}

var errNoPeer = errors.New("no peer is reachable")

func (p followerPeers) newest() *config.Snapshot {
	var newest *config.Snapshot
	for _, other := range p.o.instances {
		current := other.watcher.Current()
		reachable := other != p.f && !other.isolated.Load() && !p.f.isolated.Load() && current != nil
		if reachable && (newest == nil || current.Generation() > newest.Generation()) {
			newest = current
		}
	}
	return newest
}

// Newest implements config.Peers.
func (p followerPeers) Newest(context.Context) (generation int64, hash string, err error) {
	s := p.newest()
	if s == nil {
		return 0, "", errNoPeer
	}
	return s.Generation(), s.Hash(), nil
}

// Fetch implements config.Peers.
func (p followerPeers) Fetch(context.Context, int64) (hash string, c *pb.Config, err error) {
	s := p.newest()
	if s == nil {
		return "", nil, errNoPeer
	}
	return s.Hash(), s.Config(), nil
}
