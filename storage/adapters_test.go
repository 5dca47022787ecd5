package storage_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/instances"
	"github.com/basilloom/basilloom/internal/standin/objects"
	"github.com/basilloom/basilloom/internal/standin/table"
	"github.com/basilloom/basilloom/storage"
)

var testKey = storage.Key{Partition: "p/a", Sort: "row"}

func newDynamoDB(endpoint string) *storage.DynamoDB {
	return storage.NewDynamoDB(storage.ServiceSettings{Endpoint: endpoint, Region: "local", AccessKey: "a", SecretKey: "s"}, "rows")
}

func startTable(t *testing.T) (*storage.DynamoDB, *table.Server, string) {
	service := table.New("rows", fault.Settings{})
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return newDynamoDB(server.URL), service, server.URL
}

// Guards against a write condition that is not sent or whose failure is not mapped.
// Operators could then overwrite each other's rows.
func TestDynamoDBConditions(t *testing.T) {
	ctx := t.Context()
	db, _, _ := startTable(t)
	_, err := db.Get(ctx, testKey)
	require.ErrorIs(t, err, storage.ErrNotFound)
	_, err = db.Put(ctx, testKey, []byte("one"), 0)
	require.NoError(t, err)
	_, err = db.Put(ctx, testKey, []byte("two"), 0)
	require.ErrorIs(t, err, storage.ErrConflict)
	_, err = db.Put(ctx, testKey, []byte("two"), 1)
	require.NoError(t, err)
	_, err = db.Put(ctx, testKey, []byte("three"), 1)
	require.ErrorIs(t, err, storage.ErrConflict)
	row, err := db.Get(ctx, testKey)
	require.NoError(t, err)
	require.Equal(t, storage.Row{Key: testKey, Version: 2, Value: []byte("two")}, row)
	require.ErrorIs(t, db.Delete(ctx, testKey, 1), storage.ErrConflict)
	require.NoError(t, db.Delete(ctx, testKey, 2))
	require.ErrorIs(t, db.Delete(ctx, testKey, 2), storage.ErrConflict)
}

// Guards against a list that is truncated at the service's page limit of 1 MiB.
func TestDynamoDBListFollowsPages(t *testing.T) {
	db, _, _ := startTable(t)
	value := bytes.Repeat([]byte("x"), 300<<10)
	for i := range 9 {
		_, err := db.Put(t.Context(), storage.Key{Partition: "p", Sort: fmt.Sprint(i)}, value, 0)
		require.NoError(t, err)
	}
	rows, err := db.List(t.Context(), "p")
	require.NoError(t, err)
	require.Len(t, rows, 9)
	require.Equal(t, "8", rows[8].Key.Sort)
}

// Guards against reporting a write as not written that may have taken effect, and
// against hidden retries of the SDK.
func TestDynamoDBWriteErrors(t *testing.T) {
	tests := []struct {
		name    string
		faults  fault.Settings
		timeout time.Duration
		want    error
		written bool
	}{
		{"lost response", fault.Settings{LoseNext: 1}, time.Second, storage.ErrUnknown, true},
		{"timeout after the write", fault.Settings{LatencyMillis: 400}, 300 * time.Millisecond, storage.ErrUnknown, true},
		{"status 503", fault.Settings{Outage: true}, time.Second, storage.ErrUnknown, false},
		{"throttled", fault.Settings{WritesPerSecond: 1e-9}, time.Second, storage.ErrUnavailable, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			db, service, _ := startTable(t)
			// The write reuses the connection of this read. net/http could replay a request
			// on a reused connection.
			_, err := db.Get(t.Context(), testKey)
			require.ErrorIs(t, err, storage.ErrNotFound)
			service.Table.Faults.Set(test.faults)
			if errors.Is(test.want, storage.ErrUnavailable) {
				_, err := service.Table.Put(t.Context(), storage.Key{Partition: "x", Sort: "x"}, nil, 0)
				require.NoError(t, err, "uses the only write of the limit")
			}
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			_, err = db.Put(ctx, testKey, []byte("v"), 0)
			require.ErrorIs(t, err, test.want)
			service.Table.Faults.Set(fault.Settings{})
			row, err := service.Table.Get(t.Context(), testKey)
			require.Equal(t, test.written, err == nil)
			if test.written {
				require.EqualValues(t, 1, row.Version)
			}
		})
	}
}

// Guards against reporting a failed dial as unknown. Every call refused during an
// outage would then be reported as possibly run.
func TestDynamoDBDialFailureIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := newDynamoDB(server.URL).Put(t.Context(), testKey, nil, 0)
	require.ErrorIs(t, err, storage.ErrUnavailable)
	require.NotErrorIs(t, err, storage.ErrUnknown)
}

// Guards against a stand-in that silently accepts operations it does not implement.
func TestTableStandinRefusesOtherOperations(t *testing.T) {
	_, _, url := startTable(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(`{"TableName":"rows"}`))
	require.NoError(t, err)
	req.Header.Set("X-Amz-Target", "DynamoDB_20120810.UpdateItem")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
}

// Guards against faults set over HTTP that have no effect on the service.
func TestFaultEndpoint(t *testing.T) {
	db, _, url := startTable(t)
	resp, err := http.Post(url+"/fault", "application/json", strings.NewReader(`{"outage":true}`))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
	_, err = db.Get(t.Context(), testKey)
	require.ErrorIs(t, err, storage.ErrUnavailable)
}

// Guards against objects that cannot be read back and wrong error mapping.
func TestS3(t *testing.T) {
	service := objects.New("bucket", fault.Settings{})
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	store := storage.NewS3(storage.ServiceSettings{Endpoint: server.URL, Region: "local", AccessKey: "a", SecretKey: "s"}, "bucket")
	_, err := store.Get(t.Context(), "hash")
	require.ErrorIs(t, err, storage.ErrNotFound)
	service.Faults.Set(fault.Settings{LoseNext: 1})
	require.ErrorIs(t, store.Put(t.Context(), "hash", []byte("content")), storage.ErrUnknown)
	require.NoError(t, store.Put(t.Context(), "hash", []byte("content")))
	data, err := store.Get(t.Context(), "hash")
	require.NoError(t, err)
	require.Equal(t, "content", string(data))
	service.Faults.Set(fault.Settings{Outage: true})
	_, err = store.Get(t.Context(), "hash")
	require.ErrorIs(t, err, storage.ErrUnavailable)
}

// Guards against an instance list that ignores the configured lag or loses fields.
func TestInstanceListLags(t *testing.T) {
	service := instances.New(0, fault.Settings{})
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	list := storage.NewHTTPInstanceList(server.URL + "/instances")
	first := []storage.InstanceRecord{{Name: "i-1", Address: "127.0.0.1:1", Region: "r", Zone: "z"}}
	service.Set(first)
	service.SetLag(time.Hour)
	service.Set(nil)
	got, err := list.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, first, got)
	service.Faults.Set(fault.Settings{Outage: true})
	_, err = list.List(t.Context())
	require.ErrorIs(t, err, storage.ErrUnavailable)
}
