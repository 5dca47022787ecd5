package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
	"github.com/basilloom/basilloom/membership"
	"github.com/basilloom/basilloom/peer"
	"github.com/basilloom/basilloom/scheduler"
)

// peerService serves calls from other instances.
type peerService struct {
	basilloomv1connect.UnimplementedPeerServiceHandler
	members *membership.Exchanger
	brokers *broker.Manager
	watcher *config.Watcher
}

func (s *peerService) Tickets(ctx context.Context, stream *connect.BidiStream[pb.TicketsRequest, pb.TicketsResponse]) error {
	return s.brokers.Serve(ctx, stream)
}

func (s *peerService) Exchange(ctx context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	response, err := s.members.Handle(ctx, r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

func (s *peerService) FetchConfig(_ context.Context, r *connect.Request[pb.FetchConfigRequest]) (*connect.Response[pb.FetchConfigResponse], error) {
	snapshot := s.watcher.Current()
	if snapshot == nil || snapshot.Generation() < r.Msg.GetGeneration() {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no such generation here"))
	}
	return connect.NewResponse(&pb.FetchConfigResponse{
		Generation: snapshot.Generation(),
		Hash:       snapshot.Hash(),
		Config:     snapshot.Config(),
	}), nil
}

func (s *peerService) Floor(ctx context.Context, r *connect.Request[pb.FloorRequest]) (*connect.Response[pb.FloorResponse], error) {
	key := broker.GroupKey{Pool: r.Msg.GetPool(), Shard: int(r.Msg.GetShard())}
	valid := time.Duration(r.Msg.GetValidMs()) * time.Millisecond
	err := s.brokers.AcceptFloor(ctx, key, int(r.Msg.GetFromShard()), scheduler.Rank(r.Msg.GetHighestRank()), valid)
	var notOwner *broker.NotOwnerError
	if errors.As(err, &notOwner) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.FloorResponse{Accepted: true}), nil
}

// floorClient requests shed floors from the brokers of sibling groups.
type floorClient struct {
	pool   *peer.Pool
	groups *groups
}

func (c floorClient) requestFloor(ctx context.Context, sibling broker.GroupKey, from int, highest scheduler.Rank, valid time.Duration) error {
	owner, ok := c.groups.Owner(sibling)
	if !ok {
		return errNoOwner
	}
	_, err := c.pool.Client(owner.Address).Floor(ctx, connect.NewRequest(&pb.FloorRequest{
		Pool:        sibling.Pool,
		Shard:       int32(sibling.Shard),
		FromShard:   int32(from),
		HighestRank: int32(highest),
		ValidMs:     valid.Milliseconds(),
	}))
	return err
}

// configPeers fetches configurations from other instances.
type configPeers struct {
	self    string
	pool    *peer.Pool
	members *membership.Exchanger
}

var (
	errNoPeer  = errors.New("no peer returned the configuration")
	errNoOwner = errors.New("no live instance can own the group")
)

// maxPeersPerCall bounds the number of peers that Newest and Fetch contact.
const maxPeersPerCall = 3

// others returns up to maxPeersPerCall random live peers.
func (c *configPeers) others() []membership.Instance {
	var others []membership.Instance
	for _, i := range c.members.Live() {
		if i.Name != c.self {
			others = append(others, i)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), maxPeersPerCall)]
}

// Newest implements config.Peers.
func (c *configPeers) Newest(ctx context.Context) (int64, string, error) {
	var best *pb.FetchConfigResponse
	for _, p := range c.others() {
		response, err := c.pool.Client(p.Address).FetchConfig(ctx, connect.NewRequest(&pb.FetchConfigRequest{}))
		if connect.CodeOf(err) == connect.CodeNotFound {
			best = newer(best, &pb.FetchConfigResponse{})
			continue
		}
		if err == nil {
			best = newer(best, response.Msg)
		}
	}
	if best == nil {
		return 0, "", errNoPeer
	}
	return best.GetGeneration(), best.GetHash(), nil
}

func newer(a, b *pb.FetchConfigResponse) *pb.FetchConfigResponse {
	if a == nil || b.GetGeneration() > a.GetGeneration() {
		return b
	}
	return a
}

// Fetch implements config.Peers.
func (c *configPeers) Fetch(ctx context.Context, generation int64) (string, *pb.Config, error) {
	var errs []error
	for _, p := range c.others() {
		request := connect.NewRequest(&pb.FetchConfigRequest{Generation: generation})
		response, err := c.pool.Client(p.Address).FetchConfig(ctx, request)
		if err != nil {
			errs = append(errs, fmt.Errorf("instance %s: %w", p.Name, err))
			continue
		}
		if response.Msg.GetGeneration() == generation {
			return response.Msg.GetHash(), response.Msg.GetConfig(), nil
		}
	}
	return "", nil, errors.Join(append(errs, errNoPeer)...)
}
