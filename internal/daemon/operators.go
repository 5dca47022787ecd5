package daemon

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
	"github.com/basilloom/basilloom/membership"
	"github.com/basilloom/basilloom/platform"
)

// operatorService serves the operators' command line.
type operatorService struct {
	basilloomv1connect.UnimplementedOperatorServiceHandler
	self    string
	store   *config.Store
	watcher *config.Watcher
	members *membership.Exchanger
}

// ApplyConfig implements the OperatorService.
func (s *operatorService) ApplyConfig(ctx context.Context, r *connect.Request[pb.ApplyConfigRequest]) (*connect.Response[pb.ApplyConfigResponse], error) {
	m := r.Msg
	row, err := s.store.Apply(ctx, m.GetConfig(), m.GetApplyId(), m.GetOperator(), m.GetExpectGeneration())
	if err != nil {
		return nil, applyError(err)
	}
	if err := s.watcher.Offer(row.GetGeneration(), row.GetHash(), m.GetConfig()); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&pb.ApplyConfigResponse{Generation: row.GetGeneration(), Hash: row.GetHash()}), nil
}

// applyError tells by its code whether the same apply may be repeated:
// Unavailable and Unknown may, InvalidArgument and Aborted may not.
func applyError(err error) error {
	var invalid config.Errors
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &conflict):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, platform.ErrUnavailable):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, platform.ErrUnknown):
		return connect.NewError(connect.CodeUnknown, err)
	default:
		return connect.NewError(connect.CodeInternal, err)
	}
}

// ConfigStatus implements the OperatorService.
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

// ListTargets implements the OperatorService.
func (s *operatorService) ListTargets(context.Context, *connect.Request[pb.ListTargetsRequest]) (*connect.Response[pb.ListTargetsResponse], error) {
	response := &pb.ListTargetsResponse{}
	if snapshot := s.watcher.Current(); snapshot != nil {
		for _, t := range snapshot.Config().GetTargets() {
			state := "ready"
			if t.GetLeaving() {
				state = "leaving"
			}
			response.Targets = append(response.Targets, &pb.TargetStatus{Target: t, State: state})
		}
	}
	return connect.NewResponse(response), nil
}
