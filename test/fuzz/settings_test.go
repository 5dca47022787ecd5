package fuzz

import (
	"slices"
	"testing/fstest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
)

// baseFolder is the configuration at the start of a run. Queues are short so
// that bursts fill them.
const baseFolder = `
regions:
- {name: north, zones: [north-a]}
- {name: south, zones: [south-a]}
links:
- {name: north-south, from_region: north, to_region: south, one_way_delay: 0.012s, bits_per_second: 30000000}
tiers:
- {name: gold, rank: 0, first_token_deadline: 3s}
- {name: silver, rank: 1, first_token_deadline: 4s}
- {name: bronze, rank: 2, first_token_deadline: 8s}
workspaces:
- {name: w1, weight: 2, token_sha256: "c616da0739cc229b2b8ad413a68e2415091cff02d5f7f1f5c59d06ea5f4bc1c9"}
- {name: w2, weight: 1, token_sha256: "2bdc32fd724672e2893db4940a3d00550eb4b694debdc0ea344d3ebf0dd05818"}
pools:
- {name: models, kind: POOL_KIND_ENGINE, shards: 2, queue_limit: 6}
- {name: app, kind: POOL_KIND_SERVICE, queue_limit: 6}
targets:
- {name: m1, pool: models, region: north, zone: north-a, address: "http://10.0.0.1:80", concurrency: 2, versions: [v1, v2], prefill_tokens_per_second: 4000, decode_tokens_per_second: 400}
- {name: m2, pool: models, region: north, zone: north-a, address: "http://10.0.0.2:80", concurrency: 2, versions: [v1, v2], prefill_tokens_per_second: 4000, decode_tokens_per_second: 400}
- {name: m3, pool: models, region: south, zone: south-a, address: "http://10.0.0.3:80", concurrency: 2, versions: [v1, v2], prefill_tokens_per_second: 2000, decode_tokens_per_second: 200}
- {name: m4, pool: models, region: south, zone: south-a, address: "http://10.0.0.4:80", concurrency: 2, versions: [v1, v2], prefill_tokens_per_second: 2000, decode_tokens_per_second: 200}
- {name: a1, pool: app, region: north, zone: north-a, address: "http://10.0.0.5:80", concurrency: 2}
- {name: a2, pool: app, region: south, zone: south-a, address: "http://10.0.0.6:80", concurrency: 2}
routes:
- {name: gold-chat, model: gold, pool: models, tier: gold, version: v1, expected_output_tokens: 100, response_timeout: 20s}
- {name: silver-chat, model: silver, pool: models, tier: silver, version: v1, expected_output_tokens: 100, response_timeout: 20s}
- {name: bronze-chat, model: bronze, pool: models, tier: bronze, version: v1, cancellable: true, expected_output_tokens: 200, response_timeout: 20s}
- {name: booking, path_prefix: /booking, pool: app, tier: gold, non_idempotent: true, response_timeout: 20s}
- {name: reading, path_prefix: /reading, pool: app, tier: bronze, response_timeout: 20s}
`

// baseConfig is decoded once; callers clone it before they change it.
var baseConfig = func() *pb.Config {
	merged, err := config.Merge(fstest.MapFS{"base.yaml": {Data: []byte(baseFolder)}})
	if err != nil {
		panic("fuzz: merge base configuration: " + err.Error())
	}
	return merged.Config
}()

// makeConfig returns the base configuration with the given leaving targets. The
// revision makes the contents of different generations differ.
func makeConfig(leaving map[string]bool, revision int) *pb.Config {
	c := proto.CloneOf(baseConfig)
	for _, t := range c.GetTargets() {
		t.Leaving = leaving[t.GetName()]
	}
	c.Limits = &pb.Limits{MaxPromptTokens: int32(1000 + revision)}
	return c
}

// groupKey identifies a group.
type groupKey struct {
	pool  string
	shard int
}

func groupKeys(c *pb.Config) []groupKey {
	var keys []groupKey
	for _, p := range c.GetPools() {
		for shard := range shardsOf(p) {
			keys = append(keys, groupKey{p.GetName(), shard})
		}
	}
	return keys
}

func shardsOf(p *pb.Pool) int { return max(int(p.GetShards()), 1) }

// groupConfig mirrors the group settings that package daemon uses. As there, a group
// may use half of a link's bandwidth, hence the 16 bits for each byte.
func groupConfig(s *config.Snapshot, key groupKey) scheduler.GroupConfig {
	pool := s.Pool(key.pool)
	cfg := scheduler.GroupConfig{Pool: key.pool, Shard: key.shard, QueueLimit: int(pool.GetQueueLimit())}
	for _, t := range s.Config().GetTiers() {
		cfg.LowestTier = max(cfg.LowestTier, scheduler.Rank(t.GetRank()))
	}
	for shard := range shardsOf(pool) {
		if shard != key.shard {
			cfg.Siblings = append(cfg.Siblings, shard)
		}
	}
	cfg.Links = make(map[scheduler.RegionPair]scheduler.Link)
	for _, l := range s.Config().GetLinks() {
		link := scheduler.Link{BytesPerSecond: float64(l.GetBitsPerSecond()) / 16, Delay: l.GetOneWayDelay().AsDuration()}
		cfg.Links[scheduler.RegionPair{From: l.GetFromRegion(), To: l.GetToRegion()}] = link
		cfg.Links[scheduler.RegionPair{From: l.GetToRegion(), To: l.GetFromRegion()}] = link
	}
	return cfg
}

// groupTargets mirrors how package daemon assigns targets to a group.
func groupTargets(s *config.Snapshot, key groupKey, leaving func(string) bool) []scheduler.Target {
	pool := s.Pool(key.pool)
	var targets []scheduler.Target
	for i, t := range s.TargetsOf(key.pool) {
		if i%shardsOf(pool) != key.shard {
			continue
		}
		targets = append(targets, scheduler.Target{
			Name:                   t.GetName(),
			Region:                 t.GetRegion(),
			Zone:                   t.GetZone(),
			Versions:               slices.Clone(t.GetVersions()),
			Concurrency:            int(t.GetConcurrency()),
			PrefillTokensPerSecond: t.GetPrefillTokensPerSecond(),
			DecodeTokensPerSecond:  t.GetDecodeTokensPerSecond(),
			Leaving:                t.GetLeaving() || leaving(t.GetName()),
			Service:                pool.GetKind() == pb.PoolKind_POOL_KIND_SERVICE,
		})
	}
	return targets
}

// responseTimeout is the response timeout of all routes of baseFolder.
const responseTimeout = 20 * time.Second
