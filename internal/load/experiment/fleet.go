package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/basilloom/basilloom/broker"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/daemon"
	"github.com/basilloom/basilloom/internal/embedded"
	"github.com/basilloom/basilloom/internal/load"
)

const (
	instanceCount = 3
	region        = "west"
	zone          = "west-a"
	modelPool     = "models"
	servicePool   = "app"
	version       = "v1"
)

// workspaceTokens are the callers' bearer tokens, one for each workspace. The
// workspaces have equal shares.
var workspaceTokens = []string{"experiment-one", "experiment-two", "experiment-three"}

// startFleet starts instances that serve the mix with the backends and pass their
// decisions to onDecision.
func startFleet(ctx context.Context, mix load.Mix, b *backends, onDecision func(broker.TracedDecision)) (*embedded.Fleet, error) {
	places := make([]embedded.Place, instanceCount)
	for i := range places {
		places[i] = embedded.Place{Name: fmt.Sprintf("i%d", i+1), Region: region, Zone: zone}
	}
	trace := func(d *daemon.Daemon) { d.TraceDecisions(onDecision) }
	return embedded.Start(ctx, places, fleetConfig(mix, b), zap.NewNop(), trace)
}

// fleetConfig returns the configuration for a mix. It has the nominal speeds of the
// hardware.
func fleetConfig(mix load.Mix, b *backends) *pb.Config {
	c := &pb.Config{
		Regions: []*pb.Region{{Name: region, Zones: []string{zone}}},
		Pools: []*pb.Pool{
			{Name: modelPool, Kind: pb.PoolKind_POOL_KIND_ENGINE},
			{Name: servicePool, Kind: pb.PoolKind_POOL_KIND_SERVICE},
		},
		Targets: []*pb.Target{{Name: "app-1", Pool: servicePool, Region: region, Zone: zone, Address: b.serviceURL(), Concurrency: 32}},
	}
	for _, token := range workspaceTokens {
		sum := sha256.Sum256([]byte(token))
		c.Workspaces = append(c.Workspaces, &pb.Workspace{Name: token, TokenSha256: hex.EncodeToString(sum[:])})
	}
	for i, e := range b.engines {
		c.Targets = append(c.Targets, &pb.Target{
			Name: fmt.Sprintf("engine-%d", i+1), Pool: modelPool, Region: region, Zone: zone, Address: "http://" + e.Address(),
			Versions: []string{version}, Concurrency: int32(e.kind.concurrency),
			PrefillTokensPerSecond: e.kind.prefill, DecodeTokensPerSecond: e.kind.decode,
		})
	}
	for _, class := range mix.Classes {
		tier := &pb.Tier{Name: class.Tier.Name, Rank: int32(class.Tier.Rank), FirstTokenDeadline: durationpb.New(class.Tier.FirstToken)}
		if class.Tier.TokenInterval > 0 {
			tier.TokenInterval = durationpb.New(class.Tier.TokenInterval)
		}
		c.Tiers = append(c.Tiers, tier)
		c.Routes = append(c.Routes, route(class))
	}
	return c
}

func route(class load.Class) *pb.Route {
	r := &pb.Route{Name: class.Name, Tier: class.Tier.Name}
	if class.Model == "" {
		r.PathPrefix, r.Pool = class.Path, servicePool
		return r
	}
	r.Model, r.Pool, r.Version = class.Model, modelPool, version
	r.ExpectedOutputTokens = int32(class.OutputTokens)
	r.Cancellable = !class.Uncancellable
	return r
}
