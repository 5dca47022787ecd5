// Package claims records calls that must not run twice as rows of the platform's
// table service. A claim is written before the call is dispatched, and the response
// is stored afterwards. A claim is deleted only if its call provably never started.
package claims

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/url"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/storage"
)

const (
	// MaxBodyBytes bounds a stored body. A row of the table service is limited to
	// 400 KiB.
	MaxBodyBytes = 256 << 10
	// MaxKeyBytes bounds a caller's key. It is the service's limit for a sort key.
	MaxKeyBytes = 1024
	// maxPartitionBytes is the service's limit for a partition key.
	maxPartitionBytes = 2048
)

// Errors of claims. Errors of the table are returned wrapped.
var (
	// ErrInvalidKey: the key is empty or too long. The call was not claimed.
	ErrInvalidKey = errors.New("invalid idempotency key")
	// ErrResultTooLarge: the body exceeds MaxBodyBytes. The claim is marked unknown,
	// because a repeated call must not get a partial response.
	ErrResultTooLarge = errors.New("result too large to be stored")
)

// Outcome is the outcome of Begin.
type Outcome int

// Outcomes of Begin. Only Acquired permits a dispatch.
const (
	// Refused: the store could not be reached. The call must not be dispatched.
	Refused Outcome = iota
	// Acquired: the caller holds the claim and may dispatch once.
	Acquired
	// Stored: the call has already run. Its result is returned.
	Stored
	// InProgress: another call with the key is running.
	InProgress
	// Unknown: a call with the key may have run. Its result is not available.
	Unknown
	// KeyReused: the key was used for a different request.
	KeyReused
)

var outcomeNames = [...]string{"refused", "acquired", "stored", "in progress", "unknown", "key reused"}

func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("Outcome(%d)", int(o))
	}
	return outcomeNames[o]
}

// Key identifies a call: the caller's idempotency key within a workspace and route.
type Key struct {
	Workspace string
	Route     string
	Caller    string
}

// row returns the key of the claim's row. The workspace is escaped, because its name
// and the slashes of a route could otherwise form the partition of another workspace.
func (k Key) row() (storage.Key, error) {
	row := storage.Key{Partition: "claim/" + url.PathEscape(k.Workspace) + "/" + k.Route, Sort: k.Caller}
	if row.Sort == "" || len(row.Sort) > MaxKeyBytes || len(row.Partition) > maxPartitionBytes {
		return row, fmt.Errorf("%w: the key must have 1 to %d bytes", ErrInvalidKey, MaxKeyBytes)
	}
	return row, nil
}

// Request is the input of Begin.
type Request struct {
	Key Key
	// Fingerprint is a hash of the request. It distinguishes a repeated call from a
	// different one with the same key.
	Fingerprint uint64
	// Timeout is the route's response timeout. A running claim older than that is
	// reported as Unknown instead of InProgress.
	Timeout time.Duration
}

// Result is the stored response of a call.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claim is a held claim. It may be used for further attempts as long as no byte of
// the request has been written. It is not safe for concurrent use.
type Claim struct {
	key     storage.Key
	row     *pb.ClaimRow
	version int64
}

// BeginResult is the result of Begin. Claim is set for Acquired and Result for Stored.
type BeginResult struct {
	Outcome Outcome
	Claim   *Claim
	Result  Result
}

// Store writes claims of one instance. It is safe for concurrent use.
type Store struct {
	table    storage.Table
	instance string
}

// NewStore returns a store on the table, usually a storage.Retrying.
func NewStore(table storage.Table, instance string) *Store {
	return &Store{table: table, instance: instance}
}

// Begin claims the call. The error gives the cause of Refused and Unknown. For a key
// that can never be claimed, the outcome is Refused and the error ErrInvalidKey.
func (s *Store) Begin(ctx context.Context, request Request) (BeginResult, error) {
	key, err := request.Key.row()
	if err != nil {
		return BeginResult{Outcome: Refused}, err
	}
	row := &pb.ClaimRow{
		State:       pb.ClaimState_CLAIM_STATE_RUNNING,
		Instance:    s.instance,
		Nonce:       rand.Text(),
		Fingerprint: request.Fingerprint,
		Begun:       timestamppb.Now(),
	}
	claim := &Claim{key: key, row: row}
	err = s.write(ctx, claim, row)
	switch {
	case err == nil:
		return BeginResult{Outcome: Acquired, Claim: claim}, nil
	case errors.Is(err, storage.ErrConflict):
		return s.readExisting(ctx, key, request)
	case errors.Is(err, storage.ErrUnknown):
		// The row may belong to another call, which may have run.
		if existing, readErr := s.readExisting(ctx, key, request); readErr == nil {
			return existing, nil
		}
	}
	// Nothing is dispatched. If the write takes effect later, a repeated call gets
	// InProgress and then Unknown, never Acquired.
	return BeginResult{Outcome: Refused}, fmt.Errorf("begin claim: %w", err)
}

// readExisting returns the outcome for a claim that another call holds.
func (s *Store) readExisting(ctx context.Context, key storage.Key, request Request) (BeginResult, error) {
	stored, err := s.table.Get(ctx, key)
	if errors.Is(err, storage.ErrNotFound) {
		// The holder has abandoned the claim meanwhile; the caller may repeat the call.
		return BeginResult{Outcome: Refused}, fmt.Errorf("claim was abandoned meanwhile: %w", err)
	}
	if err != nil {
		// A call with this key may have run, so Refused could be wrong.
		return BeginResult{Outcome: Unknown}, fmt.Errorf("read claim: %w", err)
	}
	row := &pb.ClaimRow{}
	if err := proto.Unmarshal(stored.Value, row); err != nil {
		return BeginResult{Outcome: Unknown}, fmt.Errorf("decode claim: %w", err)
	}
	if row.Fingerprint != request.Fingerprint {
		return BeginResult{Outcome: KeyReused}, nil
	}
	switch row.State {
	case pb.ClaimState_CLAIM_STATE_DONE:
		result := Result{Status: int(row.Status), ContentType: row.ContentType, Body: row.Body}
		return BeginResult{Outcome: Stored, Result: result}, nil
	case pb.ClaimState_CLAIM_STATE_RUNNING:
		// The clocks of two instances may differ, which shifts the change from
		// InProgress to Unknown by that amount. Neither outcome permits a dispatch.
		if time.Since(row.Begun.AsTime()) < request.Timeout {
			return BeginResult{Outcome: InProgress}, nil
		}
	}
	return BeginResult{Outcome: Unknown}, nil
}

// Finish stores the result. It may be repeated after an error. Until it succeeds,
// repeated calls get InProgress and later Unknown.
func (s *Store) Finish(ctx context.Context, claim *Claim, result Result) error {
	if len(result.Body) > MaxBodyBytes {
		return errors.Join(ErrResultTooLarge, s.MarkUnknown(ctx, claim))
	}
	row := proto.CloneOf(claim.row)
	row.State = pb.ClaimState_CLAIM_STATE_DONE
	row.Status = int32(result.Status)
	row.ContentType = result.ContentType
	row.Body = result.Body
	if err := s.write(ctx, claim, row); err != nil {
		return fmt.Errorf("finish claim: %w", err)
	}
	return nil
}

// MarkUnknown records that the call may have run and that its result is lost.
func (s *Store) MarkUnknown(ctx context.Context, claim *Claim) error {
	row := proto.CloneOf(claim.row)
	row.State = pb.ClaimState_CLAIM_STATE_UNKNOWN
	if err := s.write(ctx, claim, row); err != nil {
		return fmt.Errorf("mark claim unknown: %w", err)
	}
	return nil
}

// Abandon removes the claim of a call of which provably no byte was written. After an
// error, the outcome of the call counts as unknown. Abandon must be called only once,
// because a second delete could remove the claim of a later call with the same key.
func (s *Store) Abandon(ctx context.Context, claim *Claim) error {
	if err := s.table.Delete(ctx, claim.key, claim.version); err != nil {
		return fmt.Errorf("abandon claim: %w", err)
	}
	return nil
}

// write stores the row at the claim's version. If the write reports an error but the
// row is read back as stored, the write succeeded: an earlier attempt whose response
// was lost may have taken effect.
func (s *Store) write(ctx context.Context, claim *Claim, row *pb.ClaimRow) error {
	value, err := proto.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	written, err := s.table.Put(ctx, claim.key, value, claim.version)
	lost := errors.Is(err, storage.ErrUnknown)
	repeated := claim.version > 0 && errors.Is(err, storage.ErrConflict)
	if lost || repeated {
		stored, readErr := s.table.Get(ctx, claim.key)
		if readErr == nil && isStored(stored.Value, row) {
			written, err = stored, nil
		}
	}
	if err != nil {
		return err
	}
	claim.version = written.Version
	return nil
}

// isStored reports whether value encodes the row. The nonce makes each row unique.
func isStored(value []byte, row *pb.ClaimRow) bool {
	stored := &pb.ClaimRow{}
	return proto.Unmarshal(value, stored) == nil && proto.Equal(stored, row)
}
