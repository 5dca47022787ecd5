package instance

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/basilloom/basilloom/broker"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
	"github.com/basilloom/basilloom/peer"
)

// peersName is the bearer token between instances. The platform's settings hold no
// secret; its network between instances is private, and the token only keeps
// calls of other software away.
const peersName = "basilloom instances of one platform"

// Times within which a broker that does not answer is replaced. Together with
// gateway's patience they bound its loss to a part of the shortest objective.
const (
	brokerSilence = 80 * time.Millisecond
	brokerAnswer  = 120 * time.Millisecond
	ownerCheck    = 50 * time.Millisecond
)

// sharedOwner resolves the owner of a group over all instances that are heard.
type sharedOwner struct{ instance *Instance }

// Owner implements broker.Resolver. A group belongs to the region with most of its
// targets, so that most grants cross no region link.
func (o sharedOwner) Owner(key broker.GroupKey) (broker.Peer, bool) {
	i := o.instance
	regions := i.settings.Load().Regions
	home := homeRegion(i.groups.Zones(key.Pool), regions)
	preferred := func(zone string) bool { return regions[zone] == home }
	name, address := i.fleet.Owner(key.String(), preferred, time.Now())
	return broker.Peer{Name: name, Address: address}, true
}

// homeRegion returns the region with most of the targets; the first by name of several.
func homeRegion(zones map[string]int, regions map[string]string) string {
	counts := make(map[string]int)
	for zone, n := range zones {
		counts[regions[zone]] += n
	}
	home := ""
	for region, n := range counts {
		if home == "" || n > counts[home] || (n == counts[home] && region < home) {
			home = region
		}
	}
	return home
}

// ownOwner makes this instance the owner of all groups.
type ownOwner struct{ self broker.Peer }

// Owner implements broker.Resolver.
func (o ownOwner) Owner(broker.GroupKey) (broker.Peer, bool) { return o.self, true }

// ticketService serves the ticket streams of the other instances.
type ticketService struct {
	basilloomv1connect.UnimplementedPeerServiceHandler
	brokers *broker.Manager
}

// Tickets implements the service.
func (s ticketService) Tickets(ctx context.Context, stream *connect.BidiStream[pb.TicketsRequest, pb.TicketsResponse]) error {
	return s.brokers.Serve(ctx, stream)
}

// assembleBrokers makes the shared brokers, this instance's own groups and their clients.
func (i *Instance) assembleBrokers() error {
	key, err := peer.NewKey(peersName)
	if err != nil {
		return err
	}
	settings := i.settings.Load()
	self := broker.Peer{Name: settings.Instance, Address: settings.Peers}
	hooks := broker.Hooks{OnQuarantine: i.noteCrashes}
	own := ownOwner{self}
	i.peers = peer.NewPool(key)
	i.shared = broker.NewManager(i.work, self.Name, sharedOwner{i}, i.groups, nil, hooks, i.log)
	i.alone = broker.NewManager(i.work, self.Name, own, i.groups, nil, hooks, i.log.Named("alone"))
	client := broker.ClientSettings{
		Self: self.Name, Incarnation: i.incarnation, Region: settings.Zone, Resolver: own, Opener: noOpener{},
		Local: i.alone, OwnerTimeout: brokerSilence, ResponseTimeout: brokerAnswer, OwnerCheckInterval: ownerCheck, Log: i.log,
	}
	i.placer.Local = broker.NewClient(i.work, client)
	client.Resolver, client.Opener, client.Local = sharedOwner{i}, broker.ConnectOpener(i.peers.Client), i.shared
	client.OnOwnerFailure, client.OnOwnerRedirect = i.fleet.ReportFailure, i.fleet.ClearFailure
	i.placer.Shared = broker.NewClient(i.work, client)
	mux := http.NewServeMux()
	mux.Handle("/"+basilloomv1connect.PeerServiceName+"/", peer.Handler(key, ticketService{brokers: i.shared}))
	mux.Handle("/"+basilloomv1connect.FleetServiceName+"/", i.fleet.Handler())
	i.peering = peer.NewServer(mux)
	return nil
}

// noOpener stands in where all groups are this instance's own.
type noOpener struct{}

var errNoStream = errors.New("groups of this instance need no stream")

// Open implements broker.Opener.
func (noOpener) Open(context.Context, broker.Peer) (broker.Stream, error) { return nil, errNoStream }
