package instance

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/gateway"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
	"github.com/basilloom/basilloom/peer"
	"github.com/basilloom/basilloom/scheduler"
)

// peerToken is the bearer token between instances. It is not secret: the platform's
// settings hold no secret and its network is private. The token only rejects calls
// from other software.
const peerToken = "basilloom instances of one platform"

// Timeouts after which an unresponsive broker is replaced. Together with the gateway's
// timeout they keep the delay of a broker failure below the shortest latency objective.
const (
	ownerTimeout       = 80 * time.Millisecond
	responseTimeout    = 120 * time.Millisecond
	ownerCheckInterval = 50 * time.Millisecond
)

// fleetResolver resolves the owner of a group among all instances with recent reports.
type fleetResolver struct{ instance *Instance }

// Owner implements broker.Resolver. It prefers an owner in the region with most of the
// zones that have targets of the group, because then most grants stay within the region.
func (r fleetResolver) Owner(key broker.GroupKey) (broker.Peer, bool) {
	i := r.instance
	regions := i.settings.Load().Regions
	region := mainRegion(i.groups.Zones(key.Pool), regions)
	preferred := func(r *pb.FleetReport) bool { return regions[r.GetZone()] == region }
	name, address := i.fleet.Owner(key.String(), preferred, time.Now())
	return broker.Peer{Name: name, Address: address}, true
}

// mainRegion returns the region with the most availability zones that have targets. Ties go
// to the first by name. The number of targets does not decide: with equal pools in two
// regions, a crash of some targets would move the broker away and back, and each move costs
// the broker's state.
func mainRegion(zones map[string]int, regions map[string]string) string {
	counts := make(map[string]int)
	for zone := range zones {
		counts[regions[zone]]++
	}
	best := ""
	for region, n := range counts {
		if best == "" || n > counts[best] || (n == counts[best] && region < best) {
			best = region
		}
	}
	return best
}

// localResolver resolves every group to this instance.
type localResolver struct{ self broker.Peer }

// Owner implements broker.Resolver.
func (r localResolver) Owner(broker.GroupKey) (broker.Peer, bool) { return r.self, true }

// localSource provides the groups that each instance runs by itself.
type localSource struct{ *gateway.Groups }

// Group implements broker.Source.
func (s localSource) Group(key broker.GroupKey) (broker.GroupSettings, bool) {
	settings, ok := s.Groups.Group(key)
	settings.Config.NoPartRetries = true
	settings.Config.ColdRate = 0 // the placer keeps local placement off cold targets
	settings.Config.Overload.NoForecast = true
	settings.Config.Spill = scheduler.SpillConfig{}
	return settings, ok
}

// ticketService serves the ticket streams of other instances.
type ticketService struct {
	basilloomv1connect.UnimplementedPeerServiceHandler
	brokers *broker.Manager
}

// Tickets implements PeerService.
func (s ticketService) Tickets(ctx context.Context, stream *connect.BidiStream[pb.TicketsRequest, pb.TicketsResponse]) error {
	return s.brokers.Serve(ctx, stream)
}

// assembleBrokers creates the managers of the shared and the local groups and their clients.
func (i *Instance) assembleBrokers(key peer.Key) {
	settings := i.settings.Load()
	self := broker.Peer{Name: settings.Instance, Address: settings.Peers}
	hooks := broker.Hooks{OnQuarantine: func(entries []scheduler.CrashEvidence) { i.applyCrashes(entries, fromGroup) }}
	resolver := localResolver{self}
	i.peers = peer.NewPool(key)
	i.shared = broker.NewManager(i.runCtx, self.Name, fleetResolver{i}, i.groups, nil, hooks, i.log)
	i.local = broker.NewManager(i.runCtx, self.Name, resolver, localSource{i.groups}, nil, hooks, i.log.Named("alone"))
	client := broker.ClientSettings{
		Self: self.Name, Incarnation: i.incarnation, Region: settings.Zone, Resolver: resolver, Opener: noOpener{},
		Local: i.local, OwnerTimeout: ownerTimeout, ResponseTimeout: responseTimeout, OwnerCheckInterval: ownerCheckInterval, Log: i.log,
	}
	i.placer.Local = broker.NewClient(i.runCtx, client)
	client.Resolver, client.Opener, client.Local = fleetResolver{i}, broker.ConnectOpener(i.peers.Client), i.shared
	client.OnOwnerFailure = func(owner broker.Peer) {
		i.fleet.ReportFailure(owner.Name)
		i.peers.Renew(owner.Address)
	}
	client.OnOwnerRedirect = i.fleet.ClearFailure
	i.placer.Shared = broker.NewClient(i.runCtx, client)
	mux := http.NewServeMux()
	mux.Handle("/"+basilloomv1connect.PeerServiceName+"/", peer.Handler(key, ticketService{brokers: i.shared}))
	mux.Handle("/"+basilloomv1connect.FleetServiceName+"/", peer.BoundOpenCalls(key, i.fleet.Handler()))
	i.peerServer = peer.NewServer(mux)
}

// noOpener is the Opener of the client of local groups, which never opens a stream.
type noOpener struct{}

var errNoStream = errors.New("local groups do not open streams to peers")

// Open implements broker.Opener.
func (noOpener) Open(context.Context, broker.Peer) (broker.Stream, error) { return nil, errNoStream }
