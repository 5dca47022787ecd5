package golden

import (
	"context"

	"github.com/basilloom/basilloom/storage"
)

// objects stores content in the session's table, so table outages affect it too.
type objects struct{ s *session }

func newObjects(s *session) storage.ObjectStore { return objects{s} }

func objectKey(name string) storage.Key { return storage.Key{Partition: "objects", Sort: name} }

// Get implements storage.ObjectStore.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	row, err := o.s.table.Get(ctx, objectKey(name))
	return row.Value, err
}

// Put implements storage.ObjectStore. It does not overwrite existing content.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	if _, err := o.s.table.Get(ctx, objectKey(name)); err == nil {
		return nil
	}
	_, err := o.s.table.Put(ctx, objectKey(name), data, 0)
	return err
}
