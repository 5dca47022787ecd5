package daemon

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/config"
	"github.com/basilloom/basilloom/controller"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
	"github.com/basilloom/basilloom/moves"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/storage"
)

// operatorService serves the operators' command line.
type operatorService struct {
	basilloomv1connect.UnimplementedOperatorServiceHandler
	self    string
	store   *config.Store
	watcher *config.Watcher
	brokers *broker.Manager
	table   storage.Table
	tracker *moves.Tracker
}

// ApplyConfig implements OperatorService.
func (s *operatorService) ApplyConfig(ctx context.Context, r *connect.Request[pb.ApplyConfigRequest]) (*connect.Response[pb.ApplyConfigResponse], error) {
	m := r.Msg
	row, err := s.store.Apply(ctx, m.GetConfig(), m.GetApplyId(), m.GetOperator(), m.GetExpectGeneration())
	if err != nil {
		return nil, applyError(err)
	}
	if err := s.watcher.ApplyFromPeer(row.GetGeneration(), row.GetHash(), m.GetConfig()); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&pb.ApplyConfigResponse{Generation: row.GetGeneration(), Hash: row.GetHash()}), nil
}

// applyError returns an error whose code shows whether the same apply may be retried:
// Unavailable and Unknown may, InvalidArgument and Aborted may not.
func applyError(err error) error {
	var invalid config.Errors
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &conflict):
		return connect.NewError(connect.CodeAborted, err)
	default:
		return storeError(err)
	}
}

func storeError(err error) error {
	switch {
	case errors.Is(err, storage.ErrUnavailable):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, storage.ErrUnknown):
		return connect.NewError(connect.CodeUnknown, err)
	default:
		return connect.NewError(connect.CodeInternal, err)
	}
}

// ConfigStatus implements OperatorService.
func (s *operatorService) ConfigStatus(context.Context, *connect.Request[pb.ConfigStatusRequest]) (*connect.Response[pb.ConfigStatusResponse], error) {
	response := &pb.ConfigStatusResponse{StoreReachable: s.watcher.StoreReachable()}
	if snapshot := s.watcher.Current(); snapshot != nil {
		response.Generation, response.Hash = snapshot.Generation(), snapshot.Hash()
		response.Instances = append(response.Instances, &pb.InstanceConfig{
			Instance: s.self, Generation: snapshot.Generation(), Seen: timestamppb.Now(),
		})
	}
	return connect.NewResponse(response), nil
}

// ListTargets implements OperatorService. The scheduling state is reported only for
// targets of groups that this instance runs.
func (s *operatorService) ListTargets(ctx context.Context, _ *connect.Request[pb.ListTargetsRequest]) (*connect.Response[pb.ListTargetsResponse], error) {
	response := &pb.ListTargetsResponse{}
	snapshot := s.watcher.Current()
	if snapshot == nil {
		return connect.NewResponse(response), nil
	}
	scheduled := make(map[string]scheduler.TargetStatus)
	for _, group := range s.brokers.Status(ctx) {
		for _, t := range group.Targets {
			scheduled[t.Name] = t
		}
	}
	for _, t := range snapshot.Config().GetTargets() {
		response.Targets = append(response.Targets, targetStatus(t, scheduled))
	}
	return connect.NewResponse(response), nil
}

func targetStatus(t *pb.Target, scheduled map[string]scheduler.TargetStatus) *pb.TargetStatus {
	status := &pb.TargetStatus{Target: t, State: "scheduled elsewhere"}
	if s, ok := scheduled[t.GetName()]; ok {
		status.State = s.Health.String()
		status.Running = int32(s.Running)
		status.PrefillTokensPerSecond = s.PrefillTokensPerSecond
		if s.TokenInterval > 0 {
			status.DecodeTokensPerSecond = 1 / s.TokenInterval.Seconds()
		}
	}
	if t.GetLeaving() || scheduled[t.GetName()].Leaving {
		status.State = "leaving"
	}
	return status
}

// ListMoves implements OperatorService.
func (s *operatorService) ListMoves(ctx context.Context, _ *connect.Request[pb.ListMovesRequest]) (*connect.Response[pb.ListMovesResponse], error) {
	all, err := s.moves(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ListMovesResponse{Moves: all}), nil
}

// GetMove implements OperatorService.
func (s *operatorService) GetMove(ctx context.Context, r *connect.Request[pb.GetMoveRequest]) (*connect.Response[pb.GetMoveResponse], error) {
	move, err := s.move(ctx, r.Msg.GetName())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.GetMoveResponse{Move: move}), nil
}

// CancelMove implements OperatorService.
func (s *operatorService) CancelMove(ctx context.Context, r *connect.Request[pb.CancelMoveRequest]) (*connect.Response[pb.CancelMoveResponse], error) {
	move, err := s.move(ctx, r.Msg.GetName())
	if err != nil {
		return nil, err
	}
	row, err := controller.Cancel(ctx, s.table, move.GetMove(), r.Msg.GetOperator())
	var conflict *controller.CancelError
	if errors.As(err, &conflict) {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	if err != nil {
		return nil, storeError(err)
	}
	move.Row = row
	return connect.NewResponse(&pb.CancelMoveResponse{Move: move}), nil
}

func (s *operatorService) moves(ctx context.Context) ([]*pb.MoveStatus, error) {
	snapshot := s.watcher.Current()
	if snapshot == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no configuration is in force"))
	}
	all, err := controller.Status(ctx, s.table, snapshot, s.tracker.StoppedLocally)
	if err != nil {
		return nil, storeError(err)
	}
	return all, nil
}

func (s *operatorService) move(ctx context.Context, name string) (*pb.MoveStatus, error) {
	all, err := s.moves(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range all {
		if m.GetMove().GetName() == name {
			return m, nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no move %q is configured", name))
}
