package config

import (
	"context"
	"sync"

	"github.com/basilloom/basilloom/storage"
)

// lostAnswer says what becomes of a write whose answer is lost.
type lostAnswer int

const (
	answered lostAnswer = iota
	lostWritten
	lostUnwritten
	// hung waits for the end of the context, as a store does that is away.
	hung
	// raced lets a competing write win just before the write.
	raced
	// overtaken takes effect without an answer and is then replaced.
	overtaken
)

// fakeStore is a table with one row, of which only Get and Put work, and an object store.
type fakeStore struct {
	storage.Table
	mu      sync.Mutex
	row     storage.Row
	objects map[string][]byte
	away    bool
	puts    []lostAnswer // consumed by the next writes of the row
	gets    []lostAnswer // consumed by the next reads of the row
	rival   func() []byte
	reads   int
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string][]byte{}} }

func (f *fakeStore) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

func (f *fakeStore) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

func next(script *[]lostAnswer) lostAnswer {
	if len(*script) == 0 {
		return answered
	}
	first := (*script)[0]
	*script = (*script)[1:]
	return first
}

// begin waits until the caller gives up if the store is away.
func (f *fakeStore) begin(ctx context.Context) error {
	f.mu.Lock()
	away := f.away
	f.mu.Unlock()
	if away {
		<-ctx.Done()
		return storage.ErrUnavailable
	}
	return nil
}

func (f *fakeStore) Get(ctx context.Context, _ storage.Key) (storage.Row, error) {
	if err := f.begin(ctx); err != nil {
		return storage.Row{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if next(&f.gets) != answered {
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
	if err := f.begin(ctx); err != nil {
		return storage.Row{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	outcome := next(&f.puts)
	if outcome == lostUnwritten {
		return storage.Row{}, storage.ErrUnknown
	}
	if outcome == raced {
		f.write(f.rival())
	}
	if f.row.Version != expect {
		return storage.Row{}, storage.ErrConflict
	}
	f.write(value)
	if outcome == overtaken {
		f.write(f.rival())
	}
	if outcome != answered {
		return storage.Row{}, storage.ErrUnknown
	}
	return f.row, nil
}

// fakeObjects is the object side of a fakeStore.
type fakeObjects struct{ *fakeStore }

func (f fakeObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := f.begin(ctx); err != nil {
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
	if err := f.begin(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = data
	return nil
}
