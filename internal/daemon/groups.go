package daemon

import (
	"context"
	"time"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/config"
	"github.com/basilloom/basilloom/engine"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/membership"
	"github.com/basilloom/basilloom/scheduler"
)

// groups provides the broker with the owners, settings and reports of groups.
type groups struct {
	snapshot func() *config.Snapshot
	members  *membership.Exchanger
	leaving  *leavingTargets
	engine   *engine.Client
}

// Owner implements broker.Resolver. It prefers an owner in the region with most of the
// pool's targets, because then most grants stay within the region.
func (g *groups) Owner(key broker.GroupKey) (broker.Peer, bool) {
	owner, ok := g.members.Owner(key.String(), g.mainRegion(key.Pool))
	return broker.Peer{Name: owner.Name, Address: owner.Address}, ok
}

func (g *groups) mainRegion(pool string) string {
	snapshot := g.snapshot()
	if snapshot == nil {
		return ""
	}
	counts := make(map[string]int)
	best := ""
	for _, t := range snapshot.TargetsOf(pool) {
		counts[t.GetRegion()]++
		if best == "" || counts[t.GetRegion()] > counts[best] {
			best = t.GetRegion()
		}
	}
	return best
}

// Group implements broker.Source.
func (g *groups) Group(key broker.GroupKey) (broker.GroupSettings, bool) {
	snapshot := g.snapshot()
	if snapshot == nil {
		return broker.GroupSettings{}, false
	}
	pool := snapshot.Pool(key.Pool)
	if pool == nil {
		return broker.GroupSettings{}, false
	}
	settings := broker.GroupSettings{
		Config:    groupConfig(snapshot, pool, key),
		Addresses: make(map[string]string),
	}
	shards := max(int(pool.GetShards()), 1)
	for i, t := range snapshot.TargetsOf(key.Pool) {
		if i%shards != key.Shard {
			continue
		}
		settings.Targets = append(settings.Targets, g.target(t, pool))
		settings.Addresses[t.GetName()] = t.GetAddress()
	}
	return settings, true
}

func groupConfig(snapshot *config.Snapshot, pool *pb.Pool, key broker.GroupKey) scheduler.GroupConfig {
	cfg := scheduler.GroupConfig{
		Pool:          key.Pool,
		Shard:         key.Shard,
		QueueLimit:    int(pool.GetQueueLimit()),
		TokenInterval: tokenInterval(snapshot, key.Pool),
		TierIntervals: tierIntervals(snapshot),
		Links:         regionLinks(snapshot),
		LowestTier:    lowestTier(snapshot),
	}
	for shard := range int(pool.GetShards()) {
		if shard != key.Shard {
			cfg.Siblings = append(cfg.Siblings, shard)
		}
	}
	return cfg
}

// tokenInterval returns the shortest token interval among the tiers that use the pool.
func tokenInterval(snapshot *config.Snapshot, pool string) time.Duration {
	var shortest time.Duration
	for _, route := range snapshot.Config().GetRoutes() {
		interval := snapshot.Tier(route.GetTier()).GetTokenInterval().AsDuration()
		if route.GetPool() == pool && interval > 0 && (shortest == 0 || interval < shortest) {
			shortest = interval
		}
	}
	return shortest
}

func tierIntervals(snapshot *config.Snapshot) map[scheduler.Rank]time.Duration {
	intervals := make(map[scheduler.Rank]time.Duration)
	for _, tier := range snapshot.Config().GetTiers() {
		intervals[scheduler.Rank(tier.GetRank())] = tier.GetTokenInterval().AsDuration()
	}
	return intervals
}

func lowestTier(snapshot *config.Snapshot) scheduler.Rank {
	var lowest int32
	for _, tier := range snapshot.Config().GetTiers() {
		lowest = max(lowest, tier.GetRank())
	}
	return scheduler.Rank(lowest)
}

const (
	bitsPerByte = 8
	// linkShare is the fraction of a link's bandwidth that one group may use. The
	// rest is for other pools and other traffic on the shared link.
	linkShare = 0.5
	// megabytesPerMebibyte converts the unit of the configured price.
	megabytesPerMebibyte = 1.048576
)

func regionLinks(snapshot *config.Snapshot) map[scheduler.RegionPair]scheduler.Link {
	links := make(map[scheduler.RegionPair]scheduler.Link)
	for _, l := range snapshot.Config().GetLinks() {
		link := scheduler.Link{
			BytesPerSecond:   float64(l.GetBitsPerSecond()) / bitsPerByte * linkShare,
			Delay:            l.GetOneWayDelay().AsDuration(),
			PricePerMegabyte: time.Duration(l.GetPriceSecondsPerMebibyte() / megabytesPerMebibyte * float64(time.Second)),
		}
		links[scheduler.RegionPair{From: l.GetFromRegion(), To: l.GetToRegion()}] = link
		links[scheduler.RegionPair{From: l.GetToRegion(), To: l.GetFromRegion()}] = link
	}
	return links
}

func (g *groups) target(t *pb.Target, pool *pb.Pool) scheduler.Target {
	return scheduler.Target{
		Name:                   t.GetName(),
		Region:                 t.GetRegion(),
		Zone:                   t.GetZone(),
		Versions:               t.GetVersions(),
		Concurrency:            int(t.GetConcurrency()),
		PrefillTokensPerSecond: t.GetPrefillTokensPerSecond(),
		DecodeTokensPerSecond:  t.GetDecodeTokensPerSecond(),
		Leaving:                t.GetLeaving() || g.leaving.Leaving(t.GetName()),
		Service:                pool.GetKind() == pb.PoolKind_POOL_KIND_SERVICE,
	}
}

// Weight implements broker.Source.
func (g *groups) Weight(workspace string) float64 {
	snapshot := g.snapshot()
	if snapshot == nil {
		return 1
	}
	return snapshot.Workspace(workspace).GetWeight()
}

// Load implements broker.Reports.
func (g *groups) Load(ctx context.Context, t broker.PollTarget) (scheduler.LoadReport, error) {
	return g.engine.Load(ctx, engine.Target{Name: t.Name, Address: t.Address})
}

// CacheEvents implements broker.Reports.
func (g *groups) CacheEvents(ctx context.Context, t broker.PollTarget, after int64) ([]scheduler.CacheEvent, error) {
	return g.engine.CacheEvents(ctx, engine.Target{Name: t.Name, Address: t.Address}, after)
}

// Versions implements broker.Reports. If the target reports that it is leaving, Versions
// publishes this as a fact.
func (g *groups) Versions(ctx context.Context, t broker.PollTarget) ([]string, error) {
	state, err := g.engine.State(ctx, engine.Target{Name: t.Name, Address: t.Address})
	if err != nil {
		return nil, err
	}
	leaving := state.Role == roleLeaving
	g.leaving.setReported(t.Name, leaving)
	if snapshot := g.snapshot(); leaving && snapshot != nil {
		g.members.AddLeaving(membership.Leaving{Target: t.Name, Generation: snapshot.Generation()})
	}
	return state.Versions, nil
}
