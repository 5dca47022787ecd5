// Package storage defines the platform services that basilloom uses: the transactional
// table service, the object store and the list of instances.
package storage

import (
	"context"
	"errors"
)

// Errors of the platform's services.
var (
	// ErrNotFound: the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict: the condition of the write did not hold; nothing was written.
	ErrConflict = errors.New("conditional write failed")
	// ErrUnknown: the response was lost; the write may have taken effect.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrUnavailable: the service cannot be reached or refused the call; nothing was written.
	ErrUnavailable = errors.New("platform service unavailable")
)

// Key identifies a row of the table service.
type Key struct {
	Partition string
	Sort      string
}

// Row is a versioned row. Version is 1 after the first write and increases by one with
// each later write.
type Row struct {
	Key     Key
	Version int64
	Value   []byte
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row or ErrNotFound.
	Get(ctx context.Context, key Key) (Row, error)
	// Put writes value if the stored version equals expect. 0 requires that the row
	// does not exist. Errors: ErrConflict, ErrUnknown, ErrUnavailable.
	Put(ctx context.Context, key Key, value []byte, expect int64) (Row, error)
	// Delete removes the row if its version equals expect. Errors as for Put.
	Delete(ctx context.Context, key Key, expect int64) error
	// List returns the rows of a partition in the order of their sort keys.
	List(ctx context.Context, partition string) ([]Row, error)
}

// ObjectStore stores immutable content by name.
type ObjectStore interface {
	// Get returns the content or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores the content. Storing the same content again has no effect.
	Put(ctx context.Context, name string, data []byte) error
}

// InstanceRecord is the platform's record of one instance.
type InstanceRecord struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// InstanceList is the platform's list of live and leaving instances. It may be
// outdated.
type InstanceList interface {
	List(ctx context.Context) ([]InstanceRecord, error)
}
