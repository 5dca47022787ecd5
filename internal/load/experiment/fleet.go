package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/daemon"
	"github.com/basilloom/basilloom/internal/load"
	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/httpserver"
	"github.com/basilloom/basilloom/internal/standin/instances"
	"github.com/basilloom/basilloom/internal/standin/objects"
	"github.com/basilloom/basilloom/internal/standin/table"
	"github.com/basilloom/basilloom/platform"
)

const (
	instanceCount = 3
	region        = "west"
	zone          = "west-a"
	modelPool     = "models"
	servicePool   = "app"
	version       = "v1"
	// settleTime is three rounds of the membership exchange.
	settleTime   = 3 * time.Second
	readyTimeout = 20 * time.Second
	readyPeriod  = 50 * time.Millisecond
	peerKey      = "experiment-shared-key-0123456789"
)

// workspaceTokens are the callers' tokens; the workspaces have equal shares.
var workspaceTokens = []string{"experiment-one", "experiment-two", "experiment-three"}

// fleet is a set of instances with stand-ins of the platform.
type fleet struct {
	servers []*httpserver.Server
	daemons []*daemon.Daemon
	stop    context.CancelFunc
	running sync.WaitGroup
}

// startFleet starts instances that serve the mix on the backends.
func startFleet(ctx context.Context, mix load.Mix, b *backends, decided func(broker.TracedDecision)) (*fleet, error) {
	f := &fleet{}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	f.stop = stop
	if err := f.start(run, mix, b, decided); err != nil {
		f.close()
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.waitReady(ready); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(run context.Context, mix load.Mix, b *backends, decided func(broker.TracedDecision)) error {
	settings := daemon.Settings{
		Region: region, Zone: zone, Callers: loopback, Peers: loopback, Operators: loopback, PeerKey: peerKey,
		TableName: "basilloom", ObjectsBucket: "basilloom", PlatformRegion: "local", AccessKey: "basilloom", SecretKey: "basilloom",
		ShutdownTimeout: time.Second,
	}
	// Instances read the list at their start and then every 10 s. With a lag
	// they would not know of each other during half of the run, and each would
	// be a broker.
	list := instances.New(0, fault.Settings{})
	var err error
	if settings.TableEndpoint, err = f.serve(table.New(settings.TableName, fault.Settings{})); err != nil {
		return err
	}
	if settings.ObjectsEndpoint, err = f.serve(objects.New(settings.ObjectsBucket, fault.Settings{})); err != nil {
		return err
	}
	listURL, err := f.serve(list)
	if err != nil {
		return err
	}
	settings.InstancesURL = listURL + "/instances"
	store := daemon.NewPlatform(settings)
	if _, err := config.NewStore(store.Table, store.Objects, time.Now).Apply(run, fleetConfig(mix, b), "experiment", "experiment", 0); err != nil {
		return fmt.Errorf("apply the configuration: %w", err)
	}
	var records []platform.InstanceRecord
	for i := range instanceCount {
		settings.Instance = fmt.Sprintf("i%d", i+1)
		d, err := daemon.New(settings, daemon.NewPlatform(settings), zap.NewNop())
		if err != nil {
			return fmt.Errorf("start an instance: %w", err)
		}
		d.TraceDecisions(decided)
		f.daemons = append(f.daemons, d)
		_, peers, _ := d.Addresses()
		records = append(records, platform.InstanceRecord{Name: settings.Instance, Address: peers, Region: region, Zone: zone})
	}
	list.Set(records)
	for _, d := range f.daemons {
		f.running.Go(func() { _ = d.Run(run) })
	}
	return nil
}

func (f *fleet) serve(handler http.Handler) (url string, err error) {
	server := httpserver.New(loopback, handler)
	if err := server.Start(); err != nil {
		return "", fmt.Errorf("start a stand-in: %w", err)
	}
	f.servers = append(f.servers, server)
	return "http://" + server.Address(), nil
}

func (f *fleet) waitReady(ctx context.Context) error {
	for _, d := range f.daemons {
		_, _, operators := d.Addresses()
		for !ready(ctx, "http://"+operators+"/readyz") {
			select {
			case <-ctx.Done():
				return errors.New("an instance is not ready")
			case <-time.After(readyPeriod):
			}
		}
	}
	time.Sleep(settleTime)
	return ctx.Err()
}

func ready(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) callers() []string {
	var urls []string
	for _, d := range f.daemons {
		callers, _, _ := d.Addresses()
		urls = append(urls, "http://"+callers)
	}
	return urls
}

func (f *fleet) close() {
	f.stop()
	f.running.Wait()
	for _, server := range f.servers {
		server.Abort()
	}
}

// fleetConfig is the configuration for a mix. Speeds are the hardware's nominal ones.
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
