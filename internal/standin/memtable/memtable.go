// Package memtable provides an in-memory storage.Table with injected faults.
package memtable

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/storage"
)

// Table is an in-memory storage.Table. It is safe for concurrent use.
type Table struct {
	// Faults injects the active faults.
	Faults *fault.Injector

	mu   sync.Mutex
	rows map[storage.Key]storage.Row
}

// New returns an empty table.
func New(faults fault.Settings) *Table {
	return &Table{Faults: fault.New(faults), rows: map[storage.Key]storage.Row{}}
}

// Get returns the row with the key, or storage.ErrNotFound.
func (t *Table) Get(ctx context.Context, key storage.Key) (storage.Row, error) {
	if err := t.Faults.Before(ctx, false); err != nil {
		return storage.Row{}, unavailable(err)
	}
	row, found := t.load(key)
	if err := t.Faults.Delay(ctx); err != nil {
		return storage.Row{}, unavailable(err)
	}
	if !found {
		return storage.Row{}, storage.ErrNotFound
	}
	return row, nil
}

// Put writes the row if its version equals expect.
func (t *Table) Put(ctx context.Context, key storage.Key, value []byte, expect int64) (storage.Row, error) {
	if err := t.Faults.Before(ctx, true); err != nil {
		return storage.Row{}, unavailable(err)
	}
	row := storage.Row{Key: key, Version: expect + 1, Value: slices.Clone(value)}
	written := t.compareAndSwap(key, expect, &row)
	if err := t.writeResult(ctx, written); err != nil {
		return storage.Row{}, err
	}
	return row, nil
}

// Delete removes the row if its version equals expect.
func (t *Table) Delete(ctx context.Context, key storage.Key, expect int64) error {
	if err := t.Faults.Before(ctx, true); err != nil {
		return unavailable(err)
	}
	written := expect != 0 && t.compareAndSwap(key, expect, nil)
	return t.writeResult(ctx, written)
}

// List returns the rows of the partition, ordered by sort key.
func (t *Table) List(ctx context.Context, partition string) ([]storage.Row, error) {
	if err := t.Faults.Before(ctx, false); err != nil {
		return nil, unavailable(err)
	}
	rows := t.listPartition(partition)
	if err := t.Faults.Delay(ctx); err != nil {
		return nil, unavailable(err)
	}
	return rows, nil
}

func (t *Table) load(key storage.Key) (storage.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.rows[key]
	row.Value = slices.Clone(row.Value)
	return row, found
}

func (t *Table) compareAndSwap(key storage.Key, expect int64, row *storage.Row) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[key].Version != expect {
		return false
	}
	if row == nil {
		delete(t.rows, key)
	} else {
		t.rows[key] = *row
	}
	return true
}

func (t *Table) listPartition(partition string) []storage.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []storage.Row
	for key, row := range t.rows {
		if key.Partition == partition {
			row.Value = slices.Clone(row.Value)
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storage.Row) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	return rows
}

// writeResult returns the error of a write whose condition was evaluated:
// storage.ErrUnknown if the response is lost, storage.ErrConflict if the condition
// failed.
func (t *Table) writeResult(ctx context.Context, written bool) error {
	if t.Faults.LoseResponse(written) {
		return fmt.Errorf("%w: injected", storage.ErrUnknown)
	}
	if err := t.Faults.Delay(ctx); err != nil {
		return fmt.Errorf("%w: %w", storage.ErrUnknown, err)
	}
	if !written {
		return storage.ErrConflict
	}
	return nil
}

func unavailable(err error) error {
	return errors.Join(storage.ErrUnavailable, err)
}
