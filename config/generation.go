package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/storage"
)

// GenerationKey is the row that holds the newest accepted generation.
var GenerationKey = storage.Key{Partition: "config", Sort: "generation"}

// maxAttempts bounds the attempts of a write whose responses are lost.
const maxAttempts = 4

// Errors of Store and Watcher.
var (
	// ErrNoConfig means that no configuration has been accepted yet. A retry is safe.
	ErrNoConfig = errors.New("no configuration has been accepted")
	// ErrCorrupt means that the content does not have the accepted hash. A retry is safe.
	ErrCorrupt = errors.New("content does not match its hash")
	// ErrApplyIDReused means that the apply id belongs to different accepted content. A retry fails again.
	ErrApplyIDReused = errors.New("apply id belongs to a different configuration")
	// ErrNoApplyID means that the apply has no id. Without one, the outcome of a write whose response is lost
	// could not be determined.
	ErrNoApplyID = errors.New("apply id is missing")
)

// ConflictError means that the generation in force is not the expected one, usually
// because another apply took effect first. A retry with the same expected generation
// is safe and fails again.
type ConflictError struct {
	// Expected is the generation that the failed apply expected.
	Expected int64
	// Generation, Operator and Accepted describe the generation in force.
	Generation int64
	Operator   string
	Accepted   time.Time
	// MayHaveApplied is set if the write of the failed apply may have been in
	// force before a later apply replaced it.
	MayHaveApplied bool
}

// Error names the operator, generation and time of the other apply.
func (e *ConflictError) Error() string {
	if e.Generation == 0 {
		return fmt.Sprintf("expected generation %d, but no configuration has been accepted", e.Expected)
	}
	text := fmt.Sprintf("expected generation %d, but operator %q applied generation %d at %s",
		e.Expected, e.Operator, e.Generation, e.Accepted.UTC().Format(time.RFC3339))
	if e.MayHaveApplied {
		text += "; this apply may have been in force before"
	}
	return text
}

// Accepted is an accepted configuration with its row.
type Accepted struct {
	Row    *basilloomv1.GenerationRow
	Config *basilloomv1.Config
}

// Store stores generations: the content under its hash in the object store, and
// the newest generation number in one row of the table.
type Store struct {
	table   storage.Table
	objects storage.ObjectStore
	now     func() time.Time
}

// NewStore returns a store. A nil clock means time.Now.
func NewStore(table storage.Table, objects storage.ObjectStore, now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{table: table, objects: objects, now: now}
}

// Encode returns the content's canonical bytes and their lower-case hexadecimal SHA-256.
func Encode(config *basilloomv1.Config) (content []byte, hash string, err error) {
	content, err = proto.MarshalOptions{Deterministic: true}.Marshal(config)
	if err != nil {
		return nil, "", fmt.Errorf("encode configuration: %w", err)
	}
	sum := sha256.Sum256(content)
	return content, hex.EncodeToString(sum[:]), nil
}

// Apply checks the configuration and makes it the generation after expect (0 if
// none is accepted). Repeating the call with the same apply id is safe and returns
// the first result while that generation is the newest. Errors: Errors,
// *ConflictError, ErrApplyIDReused, ErrNoApplyID and those of the platform;
// after storage.ErrUnknown the caller repeats the call with the same apply id.
func (s *Store) Apply(ctx context.Context, config *basilloomv1.Config, applyID, operator string, expect int64) (*basilloomv1.GenerationRow, error) {
	if applyID == "" {
		return nil, ErrNoApplyID
	}
	content, hash, err := Encode(config)
	if err != nil {
		return nil, err
	}
	current, version, err := s.read(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the generation: %w", err)
	}
	next := &basilloomv1.GenerationRow{Generation: expect + 1, Hash: hash, ApplyId: applyID, Operator: operator}
	if current.GetApplyId() == applyID {
		return earlierResult(current, next)
	}
	if current.GetGeneration() != expect {
		return nil, conflict(current, expect, false)
	}
	next.Accepted = timestamppb.New(s.now())
	if err := Check(config, next.Accepted.AsTime()); err != nil {
		return nil, err
	}
	if err := s.putContent(ctx, hash, content); err != nil {
		return nil, fmt.Errorf("write the content: %w", err)
	}
	return s.advance(ctx, next, version)
}

// putContent repeats a write whose response is lost. Writing the same content again has no effect.
func (s *Store) putContent(ctx context.Context, hash string, content []byte) error {
	var err error
	for range maxAttempts {
		err = s.objects.Put(ctx, hash, content)
		if !errors.Is(err, storage.ErrUnknown) {
			return err
		}
	}
	return err
}

// advance writes the row if it still has the version that Apply read. This condition
// makes a repetition safe: at most one write on that version takes effect.
func (s *Store) advance(ctx context.Context, next *basilloomv1.GenerationRow, version int64) (*basilloomv1.GenerationRow, error) {
	value, err := proto.Marshal(next)
	if err != nil {
		return nil, fmt.Errorf("encode the generation: %w", err)
	}
	responseLost := false
	for range maxAttempts {
		_, err = s.table.Put(ctx, GenerationKey, value, version)
		responseLost = responseLost || errors.Is(err, storage.ErrUnknown)
		if err == nil {
			return next, nil
		}
		if !errors.Is(err, storage.ErrUnknown) && !errors.Is(err, storage.ErrConflict) {
			return nil, fmt.Errorf("write the generation: %w", err)
		}
		current, currentVersion, readErr := s.read(ctx)
		if readErr != nil {
			return nil, fmt.Errorf("read back the generation (%w): %w", readErr, storage.ErrUnknown)
		}
		if current.GetApplyId() == next.ApplyId {
			return earlierResult(current, next)
		}
		if currentVersion != version {
			// The writer of the next version won. A row of a later version no longer shows which
			// apply that was.
			return nil, conflict(current, next.Generation-1, responseLost && currentVersion > version+1)
		}
	}
	return nil, fmt.Errorf("write the generation: %w", storage.ErrUnknown)
}

// earlierResult returns the row of an earlier call with the same apply id, or
// ErrApplyIDReused if that call had different content.
func earlierResult(current, next *basilloomv1.GenerationRow) (*basilloomv1.GenerationRow, error) {
	if current.Hash != next.Hash {
		return nil, ErrApplyIDReused
	}
	return current, nil
}

func conflict(winner *basilloomv1.GenerationRow, expect int64, mayHaveApplied bool) *ConflictError {
	return &ConflictError{
		Expected:       expect,
		Generation:     winner.GetGeneration(),
		Operator:       winner.GetOperator(),
		Accepted:       winner.GetAccepted().AsTime(),
		MayHaveApplied: mayHaveApplied,
	}
}

// read returns a nil row and version 0 if no configuration has been accepted.
func (s *Store) read(ctx context.Context) (*basilloomv1.GenerationRow, int64, error) {
	stored, err := s.table.Get(ctx, GenerationKey)
	if errors.Is(err, storage.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	row := &basilloomv1.GenerationRow{}
	if err := proto.Unmarshal(stored.Value, row); err != nil {
		return nil, 0, fmt.Errorf("decode row config/generation: %w", err)
	}
	return row, stored.Version, nil
}

// Newest returns the newest row. Errors: ErrNoConfig and those of the platform.
func (s *Store) Newest(ctx context.Context) (*basilloomv1.GenerationRow, error) {
	row, _, err := s.read(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the generation: %w", err)
	}
	if row == nil {
		return nil, ErrNoConfig
	}
	return row, nil
}

// Fetch returns the content of a hash. Errors: ErrCorrupt and those of the platform.
func (s *Store) Fetch(ctx context.Context, hash string) (*basilloomv1.Config, error) {
	content, err := s.objects.Get(ctx, hash)
	if err != nil {
		return nil, fmt.Errorf("read content %s: %w", hash, err)
	}
	sum := sha256.Sum256(content)
	if hex.EncodeToString(sum[:]) != hash {
		return nil, fmt.Errorf("content %s: %w", hash, ErrCorrupt)
	}
	config := &basilloomv1.Config{}
	if err := proto.Unmarshal(content, config); err != nil {
		return nil, fmt.Errorf("decode content %s: %w", hash, err)
	}
	return config, nil
}

// Load returns the newest accepted configuration. Its errors are those of Newest and Fetch.
func (s *Store) Load(ctx context.Context) (Accepted, error) {
	row, err := s.Newest(ctx)
	if err != nil {
		return Accepted{}, err
	}
	config, err := s.Fetch(ctx, row.Hash)
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Row: row, Config: config}, nil
}
