package config

import (
	"context"
	"sync"

	"github.com/basilloom/basilloom/storage"
)

// callOutcome is the scripted outcome of a call to a fakeStore.
type callOutcome int

const (
	responded callOutcome = iota
	responseLostAfterWrite
	responseLostBeforeWrite
	// unavailable makes a read fail with storage.ErrUnavailable.
	unavailable
	// raced makes a competing write take effect just before the write.
	raced
	// replaced makes the write take effect with its response lost, and then a
	// competing write.
	replaced
)

// fakeStore is a table with one row and an object store. Of the table only Get and
// Put are implemented.
type fakeStore struct {
	storage.Table
	mu             sync.Mutex
	row            storage.Row
	objects        map[string][]byte
	unreachable    bool
	putOutcomes    []callOutcome // consumed by the next writes of the row
	getOutcomes    []callOutcome // consumed by the next reads of the row
	competingValue func() []byte
	reads          int
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string][]byte{}} }

func (f *fakeStore) setUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = unreachable
}

func (f *fakeStore) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

func nextOutcome(script *[]callOutcome) callOutcome {
	if len(*script) == 0 {
		return responded
	}
	first := (*script)[0]
	*script = (*script)[1:]
	return first
}

// waitIfUnreachable waits until ctx ends if the store is unreachable.
func (f *fakeStore) waitIfUnreachable(ctx context.Context) error {
	f.mu.Lock()
	unreachable := f.unreachable
	f.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return storage.ErrUnavailable
	}
	return nil
}

func (f *fakeStore) Get(ctx context.Context, _ storage.Key) (storage.Row, error) {
	if err := f.waitIfUnreachable(ctx); err != nil {
		return storage.Row{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if nextOutcome(&f.getOutcomes) != responded {
		return storage.Row{}, storage.ErrUnavailable
	}
	if f.row.Version == 0 {
		return storage.Row{}, storage.ErrNotFound
	}
	return f.row, nil
}

func (f *fakeStore) write(value []byte) {
	f.row = storage.Row{Key: GenerationKey, Version: f.row.Version + 1, Value: value}
}

func (f *fakeStore) Put(ctx context.Context, _ storage.Key, value []byte, expect int64) (storage.Row, error) {
	if err := f.waitIfUnreachable(ctx); err != nil {
		return storage.Row{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	outcome := nextOutcome(&f.putOutcomes)
	if outcome == responseLostBeforeWrite {
		return storage.Row{}, storage.ErrUnknown
	}
	if outcome == raced {
		f.write(f.competingValue())
	}
	if f.row.Version != expect {
		return storage.Row{}, storage.ErrConflict
	}
	f.write(value)
	if outcome == replaced {
		f.write(f.competingValue())
	}
	if outcome != responded {
		return storage.Row{}, storage.ErrUnknown
	}
	return f.row, nil
}

// fakeObjects is the object store of a fakeStore.
type fakeObjects struct{ *fakeStore }

func (f fakeObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := f.waitIfUnreachable(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	content, ok := f.objects[name]
	if !ok {
		return nil, storage.ErrNotFound
	}
	return content, nil
}

func (f fakeObjects) Put(ctx context.Context, name string, data []byte) error {
	if err := f.waitIfUnreachable(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = data
	return nil
}
