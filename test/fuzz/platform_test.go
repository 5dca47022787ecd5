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

// lateWriteDelay is the time from a lost response until a delayed write takes
// effect.
const lateWriteDelay = 300 * time.Millisecond

// platformService consists of the table service and the object store.
type platformService struct {
	table   *memtable.Table
	objects objectStore
	outage  atomic.Bool
	// hang makes calls of configuration watchers block until their timeout.
	hang atomic.Bool
	// lostResponses is the number of following writes whose responses are lost.
	lostResponses int
}

// objectStore holds immutable content. It is safe for concurrent use.
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

// platformClient is one instance's connection to the platform. While the platform
// hangs, blocking calls wait for their context and others fail immediately.
type platformClient struct {
	world    *world
	in       *instance // nil for an operator, which runs outside the fleet
	blocking bool
}

func (c platformClient) check(ctx context.Context) error {
	p := c.world.platform
	hung := p.hang.Load() || (c.in != nil && !c.in.running.Load())
	if c.blocking && hung {
		<-ctx.Done()
		return fmt.Errorf("%w: timeout", storage.ErrUnavailable)
	}
	if hung || p.outage.Load() || (c.in != nil && !c.world.network.reaches(c.in, storeRegion)) {
		return fmt.Errorf("%w: injected", storage.ErrUnavailable)
	}
	return nil
}

// tableClient implements storage.Table.
type tableClient struct{ platformClient }

// Get implements storage.Table.
func (c tableClient) Get(ctx context.Context, key storage.Key) (storage.Row, error) {
	if err := c.check(ctx); err != nil {
		return storage.Row{}, err
	}
	return c.world.platform.table.Get(ctx, key)
}

// List implements storage.Table.
func (c tableClient) List(ctx context.Context, partition string) ([]storage.Row, error) {
	if err := c.check(ctx); err != nil {
		return nil, err
	}
	return c.world.platform.table.List(ctx, partition)
}

// Put implements storage.Table. If its response is lost, the write takes effect
// immediately, later or never.
func (c tableClient) Put(ctx context.Context, key storage.Key, value []byte, expect int64) (storage.Row, error) {
	if err := c.check(ctx); err != nil {
		return storage.Row{}, err
	}
	put := func() (storage.Row, error) {
		row, err := c.world.platform.table.Put(c.world.ctx, key, value, expect)
		if err == nil && key == config.GenerationKey {
			c.world.oracle.accepted(generationOf(value))
		}
		return row, err
	}
	if c.loseResponse(func() { _, _ = put() }) {
		return storage.Row{}, fmt.Errorf("%w: injected", storage.ErrUnknown)
	}
	return put()
}

// Delete implements storage.Table.
func (c tableClient) Delete(ctx context.Context, key storage.Key, expect int64) error {
	if err := c.check(ctx); err != nil {
		return err
	}
	remove := func() error { return c.world.platform.table.Delete(c.world.ctx, key, expect) }
	if c.loseResponse(func() { _ = remove() }) {
		return fmt.Errorf("%w: injected", storage.ErrUnknown)
	}
	return remove()
}

// loseResponse reports whether the response of a write is lost. If so, it applies
// the write immediately, later or never, at random.
func (c tableClient) loseResponse(write func()) bool {
	if c.world.platform.lostResponses == 0 {
		return false
	}
	c.world.platform.lostResponses--
	switch c.world.rng.IntN(3) {
	case 0:
		write()
	case 1:
		c.world.after(lateWriteDelay, write)
	}
	return true
}

func generationOf(value []byte) *pb.GenerationRow {
	row := &pb.GenerationRow{}
	if err := proto.Unmarshal(value, row); err != nil {
		panic("fuzz: decode generation row: " + err.Error())
	}
	return row
}

// objectClient implements storage.ObjectStore.
type objectClient struct{ platformClient }

// Get implements storage.ObjectStore.
func (c objectClient) Get(ctx context.Context, name string) ([]byte, error) {
	if err := c.check(ctx); err != nil {
		return nil, err
	}
	objects := &c.world.platform.objects
	objects.mu.Lock()
	defer objects.mu.Unlock()
	data, ok := objects.content[name]
	if !ok {
		return nil, storage.ErrNotFound
	}
	return data, nil
}

// Put implements storage.ObjectStore.
func (c objectClient) Put(ctx context.Context, name string, data []byte) error {
	if err := c.check(ctx); err != nil {
		return err
	}
	objects := &c.world.platform.objects
	objects.mu.Lock()
	defer objects.mu.Unlock()
	objects.content[name] = data
	return nil
}
