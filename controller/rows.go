package controller

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/moves"
	"github.com/basilloom/basilloom/storage"
)

// Partition is the partition key of move rows. The sort key is the move's name.
const Partition = "move"

// cancelAttempts bounds the attempts of Cancel after write conflicts.
const cancelAttempts = 10

// moveRow is a move's row with the row version at which it was read or written.
type moveRow struct {
	*pb.MoveRow
	version int64
}

func (r *moveRow) progress() *pb.MoveProgress {
	return &pb.MoveProgress{
		Move:         r.GetMove(),
		RowVersion:   r.version,
		Phase:        r.GetPhase(),
		SharePercent: r.GetSharePercent(),
		Definition:   r.GetDefinition(),
	}
}

func decode(row storage.Row) (*moveRow, error) {
	out := &moveRow{MoveRow: &pb.MoveRow{}, version: row.Version}
	if err := proto.Unmarshal(row.Value, out.MoveRow); err != nil {
		return nil, fmt.Errorf("decode row %s/%s: %w", row.Key.Partition, row.Key.Sort, err)
	}
	return out, nil
}

func readRows(ctx context.Context, table storage.Table) (map[string]*moveRow, error) {
	stored, err := table.List(ctx, Partition)
	if err != nil {
		return nil, fmt.Errorf("list moves: %w", err)
	}
	rows := make(map[string]*moveRow, len(stored))
	for _, s := range stored {
		row, err := decode(s)
		if err != nil {
			return nil, err
		}
		rows[s.Key.Sort] = row
	}
	return rows, nil
}

// readRow returns the row, or nil if it does not exist.
func readRow(ctx context.Context, table storage.Table, move string) (*moveRow, error) {
	stored, err := table.Get(ctx, storage.Key{Partition: Partition, Sort: move})
	if errors.Is(err, storage.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read move %s: %w", move, err)
	}
	return decode(stored)
}

// writeRow writes a row if the stored version equals expect. If the response is
// lost, it reads the row back and compares the nonce; if that read fails too, the
// error is storage.ErrUnknown.
func writeRow(ctx context.Context, table storage.Table, row *pb.MoveRow, expect int64) (*moveRow, error) {
	row.Nonce = rand.Text()
	value, err := proto.Marshal(row)
	if err != nil {
		return nil, fmt.Errorf("encode move %s: %w", row.GetMove(), err)
	}
	key := storage.Key{Partition: Partition, Sort: row.GetMove()}
	stored, err := table.Put(ctx, key, value, expect)
	if err == nil {
		return &moveRow{row, stored.Version}, nil
	}
	if !errors.Is(err, storage.ErrUnknown) {
		return nil, fmt.Errorf("write move %s: %w", row.GetMove(), err)
	}
	found, readErr := readRow(ctx, table, row.GetMove())
	if readErr != nil {
		return nil, fmt.Errorf("write move %s: %w", row.GetMove(), err)
	}
	if found == nil || found.GetNonce() != row.GetNonce() {
		return nil, fmt.Errorf("write move %s: %w", row.GetMove(), storage.ErrConflict)
	}
	return found, nil
}

// CancelError reports that a move cannot be cancelled because it has ended or is
// already being rolled back. A retry has the same result.
type CancelError struct {
	Move   string
	Phase  pb.MovePhase
	Reason string
}

func (e *CancelError) Error() string {
	return fmt.Sprintf("move %s cannot be cancelled: phase is %s (%s)", e.Move, e.Phase, e.Reason)
}

// Cancel rolls a move back on behalf of an operator. It returns a *CancelError if
// another operator or the controller has already ended the move or rolls it back,
// and storage.ErrUnknown if the outcome is unknown. It may be called again after
// any other error.
func Cancel(ctx context.Context, table storage.Table, move *pb.Move, operator string) (*pb.MoveRow, error) {
	reason := "cancelled by " + operator
	var err error
	for range cancelAttempts {
		var row *moveRow
		row, err = cancelOnce(ctx, table, move, reason)
		if err == nil {
			return row.MoveRow, nil
		}
		if !errors.Is(err, storage.ErrConflict) {
			return nil, err
		}
	}
	return nil, err
}

func cancelOnce(ctx context.Context, table storage.Table, move *pb.Move, reason string) (*moveRow, error) {
	row, err := readRow(ctx, table, move.GetName())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if row == nil {
		first, _ := moves.Decide(moves.Input{Move: move, Now: now})
		if row, err = writeRow(ctx, table, first, 0); err != nil {
			return nil, err
		}
	}
	if !moves.CanFollow(row.GetPhase(), pb.MovePhase_MOVE_PHASE_TAKING_BACK) {
		return nil, &CancelError{Move: move.GetName(), Phase: row.GetPhase(), Reason: row.GetReason()}
	}
	return writeRow(ctx, table, moves.Rollback(row.MoveRow, reason, now), row.version)
}

// Status returns the status of the moves in the order of the configuration.
// stoppedLocally reports whether this instance has stopped a move; it may be nil.
func Status(
	ctx context.Context,
	table storage.Table,
	snapshot *config.Snapshot,
	stoppedLocally func(move string) bool,
) ([]*pb.MoveStatus, error) {
	rows, err := readRows(ctx, table)
	if err != nil {
		return nil, err
	}
	var out []*pb.MoveStatus
	for _, move := range snapshot.Config().GetMoves() {
		status := &pb.MoveStatus{Move: move}
		if row := rows[move.GetName()]; row != nil {
			status.Row = row.MoveRow
		}
		if stoppedLocally != nil {
			status.StoppedLocally = stoppedLocally(move.GetName())
		}
		out = append(out, status)
	}
	return out, nil
}
