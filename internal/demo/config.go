package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/embedded"
	"github.com/basilloom/basilloom/internal/load"
)

const (
	oldVersion = "v1"
	newVersion = "v2"
	moveName   = "chat-v2"
	token      = "demo-token"

	moveDeadline    = time.Minute
	moveStepTime    = time.Second
	moveMinRequests = 8

	linkDelay          = 12 * time.Millisecond
	linkBitsPerSecond  = 30_000_000
	linkPrice          = 0.5 // seconds per MiB
	tokenInterval      = 32 * time.Millisecond
	firstTokenDeadline = 1800 * time.Millisecond
)

var places = []embedded.Place{
	{Name: "west-1", Region: "west", Zone: "west-a"},
	{Name: "west-2", Region: "west", Zone: "west-b"},
	{Name: "east-1", Region: "east", Zone: "east-a"},
}

// hardwareKind describes the engines of one kind.
type hardwareKind struct {
	name        string
	region      string
	zone        string
	count       int
	concurrency int
	prefill     float64 // tokens/s
	decode      float64 // tokens/s of a single stream
}

var hardwareKinds = []hardwareKind{
	{"fast", "west", "west-a", 2, 16, 16000, 100},
	{"slow", "west", "west-b", 2, 8, 6000, 50},
	{"east", "east", "east-a", 1, 8, 6000, 50},
}

// mix has one class of requests for each tier, from the highest tier to the lowest.
var mix = load.Mix{Name: "demo", Classes: []load.Class{
	{Name: "plans", Model: "plans", Share: 0.10, PromptTokens: 600, OutputTokens: 60, Uncancellable: true,
		Tier: load.Tier{Name: "plans", Rank: 0, FirstToken: firstTokenDeadline, TokenInterval: tokenInterval}},
	{Name: "chat", Model: "chat", Share: 0.40, PromptTokens: 150, OutputTokens: 20,
		Tier: load.Tier{Name: "interactive", Rank: 1, FirstToken: firstTokenDeadline, TokenInterval: tokenInterval}},
	{Name: "order-status", Path: "/orders/status", Share: 0.10,
		Tier: load.Tier{Name: "reads", Rank: 2, FirstToken: 2 * time.Second}},
	{Name: "tags", Model: "tags", Share: 0.30, PromptTokens: 40, OutputTokens: 6,
		Tier: load.Tier{Name: "tags", Rank: 3, FirstToken: 5 * time.Second, TokenInterval: 2 * tokenInterval}},
	{Name: "reports", Model: "reports", Share: 0.10, PromptTokens: 800, OutputTokens: 40,
		Tier: load.Tier{Name: "reports", Rank: 4, FirstToken: 10 * time.Second, TokenInterval: 2 * tokenInterval}},
}}

func configuration(engines []namedEngine, serviceURL string, now time.Time) *pb.Config {
	sum := sha256.Sum256([]byte(token))
	c := &pb.Config{
		Regions: []*pb.Region{{Name: "west", Zones: []string{"west-a", "west-b"}}, {Name: "east", Zones: []string{"east-a"}}},
		Links: []*pb.Link{{
			Name: "west-east", FromRegion: "west", ToRegion: "east", OneWayDelay: durationpb.New(linkDelay),
			BitsPerSecond: linkBitsPerSecond, PriceSecondsPerMebibyte: linkPrice,
		}},
		Workspaces: []*pb.Workspace{{Name: "demo", TokenSha256: hex.EncodeToString(sum[:])}},
		Pools: []*pb.Pool{
			{Name: "models", Kind: pb.PoolKind_POOL_KIND_ENGINE},
			{Name: "orders", Kind: pb.PoolKind_POOL_KIND_SERVICE},
		},
		Targets: []*pb.Target{{Name: "orders-1", Pool: "orders", Region: "west", Zone: "west-a", Address: serviceURL, Concurrency: 32}},
		Moves: []*pb.Move{{
			Name: moveName, Route: "chat", From: oldVersion, To: newVersion,
			Deadline: timestamppb.New(now.Add(moveDeadline)), Steps: []float64{25, 100}, StepTime: durationpb.New(moveStepTime),
			MinRequests: moveMinRequests, MaxFailureRatioIncrease: 0.02, MaxSlowdown: 2,
		}},
	}
	for _, e := range engines {
		c.Targets = append(c.Targets, &pb.Target{
			Name: e.name, Pool: "models", Region: e.kind.region, Zone: e.kind.zone, Address: "http://" + e.server.Address(),
			Versions: []string{oldVersion}, Concurrency: int32(e.kind.concurrency),
			PrefillTokensPerSecond: e.kind.prefill, DecodeTokensPerSecond: e.kind.decode, ChecksFencing: true,
		})
	}
	for _, class := range mix.Classes {
		c.Tiers = append(c.Tiers, tier(class.Tier))
		c.Routes = append(c.Routes, route(class))
	}
	return c
}

func tier(t load.Tier) *pb.Tier {
	out := &pb.Tier{Name: t.Name, Rank: int32(t.Rank), FirstTokenDeadline: durationpb.New(t.FirstToken)}
	if t.TokenInterval > 0 {
		out.TokenInterval = durationpb.New(t.TokenInterval)
	}
	return out
}

func route(class load.Class) *pb.Route {
	if class.Model == "" {
		return &pb.Route{Name: class.Name, PathPrefix: class.Path, Pool: "orders", Tier: class.Tier.Name}
	}
	return &pb.Route{
		Name: class.Name, Model: class.Model, Pool: "models", Tier: class.Tier.Name, Version: oldVersion,
		ExpectedOutputTokens: int32(class.OutputTokens), Cancellable: !class.Uncancellable,
	}
}

func engineName(kind hardwareKind, number int) string {
	return fmt.Sprintf("%s-%d", kind.name, number+1)
}
