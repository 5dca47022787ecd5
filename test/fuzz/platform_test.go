package fuzz

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/memtable"
	"github.com/basilloom/basilloom/storage"
)

// storeRegion is the region of the table service and the object store.
const storeRegion = "north"

// lateWrite is how long after a lost answer a delayed write takes effect.
const lateWrite = 300 * time.Millisecond

// platformService is the table service and the object store.
type platformService struct {
	table   *memtable.Table
	objects objectStore
	outage  atomic.Bool
	// hang makes the reads of configuration watchers wait for their timeout.
	hang atomic.Bool
	// lose is the number of next writes whose answers are lost.
	lose int
}

// objectStore keeps immutable content. It is safe for concurrent use.
type objectStore struct {
	mu      sync.Mutex
	content map[string][]byte
}

func newPlatform() *platformService {
	return &platformService{
		table:   memtable.New(fault.Settings{Unlimited: true}),
		objects: objectStore{content: make(map[string][]byte)},
	}
}

// access is one instance's way to the platform. blocking calls wait while the
// platform hangs; others fail at once, as after a timeout.
type access struct {
	world    *world
	in       *instance // nil for an operator beside the store
	blocking bool
}

func (a access) check(ctx context.Context) error {
	p := a.world.platform
	hung := p.hang.Load() || (a.in != nil && !a.in.running.Load())
	if a.blocking && hung {
		<-ctx.Done()
		return fmt.Errorf("%w: timeout", storage.ErrUnavailable)
	}
	if hung || p.outage.Load() || (a.in != nil && !a.world.network.reaches(a.in, storeRegion)) {
		return fmt.Errorf("%w: injected", storage.ErrUnavailable)
	}
	return nil
}

// tableAccess implements storage.Table.
type tableAccess struct{ access }

// Get implements storage.Table.
func (a tableAccess) Get(ctx context.Context, key storage.Key) (storage.Row, error) {
	if err := a.check(ctx); err != nil {
		return storage.Row{}, err
	}
	return a.world.platform.table.Get(ctx, key)
}

// List implements storage.Table.
func (a tableAccess) List(ctx context.Context, partition string) ([]storage.Row, error) {
	if err := a.check(ctx); err != nil {
		return nil, err
	}
	return a.world.platform.table.List(ctx, partition)
}

// Put implements storage.Table. The answer is lost while the platform loses
// answers: the write takes effect at once, later or never.
func (a tableAccess) Put(ctx context.Context, key storage.Key, value []byte, expect int64) (storage.Row, error) {
	if err := a.check(ctx); err != nil {
		return storage.Row{}, err
	}
	put := func() (storage.Row, error) {
		row, err := a.world.platform.table.Put(a.world.ctx, key, value, expect)
		if err == nil && key == config.GenerationKey {
			a.world.oracle.accepted(generationOf(value))
		}
		return row, err
	}
	if a.loseAnswer(func() { _, _ = put() }) {
		return storage.Row{}, fmt.Errorf("%w: injected", storage.ErrUnknown)
	}
	return put()
}

// Delete implements storage.Table.
func (a tableAccess) Delete(ctx context.Context, key storage.Key, expect int64) error {
	if err := a.check(ctx); err != nil {
		return err
	}
	remove := func() error { return a.world.platform.table.Delete(a.world.ctx, key, expect) }
	if a.loseAnswer(func() { _ = remove() }) {
		return fmt.Errorf("%w: injected", storage.ErrUnknown)
	}
	return remove()
}

// loseAnswer decides the fate of a write whose answer is lost.
func (a tableAccess) loseAnswer(write func()) bool {
	if a.world.platform.lose == 0 {
		return false
	}
	a.world.platform.lose--
	switch a.world.rng.IntN(3) {
	case 0:
		write()
	case 1:
		a.world.after(lateWrite, write)
	}
	return true
}

func generationOf(value []byte) *pb.GenerationRow {
	row := &pb.GenerationRow{}
	if err := proto.Unmarshal(value, row); err != nil {
		panic("fuzz: generation row cannot be decoded: " + err.Error())
	}
	return row
}

// objectAccess implements storage.ObjectStore.
type objectAccess struct{ access }

// Get implements storage.ObjectStore.
func (a objectAccess) Get(ctx context.Context, name string) ([]byte, error) {
	if err := a.check(ctx); err != nil {
		return nil, err
	}
	objects := &a.world.platform.objects
	objects.mu.Lock()
	defer objects.mu.Unlock()
	data, ok := objects.content[name]
	if !ok {
		return nil, storage.ErrNotFound
	}
	return data, nil
}

// Put implements storage.ObjectStore.
func (a objectAccess) Put(ctx context.Context, name string, data []byte) error {
	if err := a.check(ctx); err != nil {
		return err
	}
	objects := &a.world.platform.objects
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.content[name] = data
	return nil
}
