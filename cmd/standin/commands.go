package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/basilloom/basilloom/internal/standin/engine"
	"github.com/basilloom/basilloom/internal/standin/httpserver"
	"github.com/basilloom/basilloom/internal/standin/link"
	"github.com/basilloom/basilloom/internal/standin/service"
)

type engineCommand struct {
	listenFlags
	Versions        []string      `help:"Loaded versions, the default one first." default:"v1"`
	Adapters        []string      `help:"Loaded adapters."`
	Role            string        `help:"Role until an order changes it." default:"any"`
	Prefill         float64       `help:"Prefill speed in tokens/s." default:"8000"`
	Decode          float64       `help:"Decode speed of a single stream in tokens/s." default:"60"`
	BatchSlowdown   float64       `help:"Fraction of the single-stream step time that each further stream adds." default:"0.03"`
	PrefillChunk    int           `help:"Prompt tokens per step." default:"256"`
	Batch           int           `help:"Maximum number of running streams." default:"64"`
	CacheBlocks     int           `help:"Cache memory in blocks of 64 tokens." default:"4096"`
	OutputTokens    int           `help:"Output tokens of requests without max_tokens." default:"64"`
	TimeScale       float64       `help:"Divides the duration of steps and loads." default:"1"`
	StreamRetention time.Duration `help:"How long a stream without a client can be resumed." default:"30s"`
	LoadLag         time.Duration `help:"Age of load reports." default:"1s"`
	EventDelay      time.Duration `help:"Age at which cache events become visible." default:"1s"`
	EventDropRate   float64       `help:"Probability that a cache event is lost." default:"0"`
	Seed            uint64        `help:"Seed of random choices." default:"1"`
	IgnoreFencing   bool          `help:"Accept orders with an old fencing token."`
	LoadTime        time.Duration `help:"Duration of a version load without fetching the weights." default:"5s"`
	VersionBytes    int64         `help:"Size of a version's weights in bytes." default:"0"`
	WeightsRate     float64       `help:"Rate of a private weight store in bytes/s; 0 fetches instantly." xor:"weights"`
	WeightsAddress  string        `help:"Address of a shared weight store (standin weights)." xor:"weights"`
	KVBlockBytes    int           `name:"kv-block-bytes" help:"Size of one exported cache block in bytes." default:"262144"`
}

// Run serves until ctx ends or a crash is injected.
func (c *engineCommand) Run(ctx context.Context, out output) error {
	e := engine.New(c.settings())
	defer e.Close()
	return serve(ctx, out, "engine", c.listenFlags, e)
}

func (c *engineCommand) settings() engine.Settings {
	settings := engine.Settings{
		Versions:               c.Versions,
		Adapters:               c.Adapters,
		Role:                   c.Role,
		PrefillTokensPerSecond: c.Prefill,
		DecodeTokensPerSecond:  c.Decode,
		BatchSlowdown:          c.BatchSlowdown,
		PrefillChunkTokens:     c.PrefillChunk,
		BatchLimit:             c.Batch,
		CacheBlocks:            c.CacheBlocks,
		DefaultOutputTokens:    c.OutputTokens,
		TimeScale:              c.TimeScale,
		StreamRetention:        c.StreamRetention,
		LoadLag:                c.LoadLag,
		EventDelay:             c.EventDelay,
		EventDropRate:          c.EventDropRate,
		Seed:                   c.Seed,
		IgnoreFencing:          c.IgnoreFencing,
		LoadTime:               c.LoadTime,
		VersionBytes:           c.VersionBytes,
		KVBlockBytes:           c.KVBlockBytes,
		OnCrash:                crash,
	}
	switch {
	case c.WeightsAddress != "":
		settings.Weights = engine.RemoteWeightStore(c.WeightsAddress)
	case c.WeightsRate > 0:
		settings.Weights = engine.NewWeightStore(c.WeightsRate)
	}
	return settings
}

type weightsCommand struct {
	listenFlags
	Rate float64 `help:"Rate in bytes/s, shared by all fetches." required:""`
}

// Run serves until ctx ends.
func (c *weightsCommand) Run(ctx context.Context, out output) error {
	return serve(ctx, out, "weights", c.listenFlags, engine.NewWeightStore(c.Rate))
}

type serviceCommand struct {
	listenFlags
	Seed  uint64        `help:"Seed of random choices." default:"1"`
	Delay time.Duration `help:"Time that a call takes." default:"0s"`
}

// Run serves until ctx ends or a crash is injected.
func (c *serviceCommand) Run(ctx context.Context, out output) error {
	s, err := service.Listen(c.Listen, service.Settings{
		Faults:  service.Faults{DelayMillis: c.Delay.Milliseconds()},
		Seed:    c.Seed,
		OnCrash: crash,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	if err := out.ready(ready{Kind: "service", Address: s.Address()}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

type linkCommand struct {
	listenFlags
	Delay     time.Duration `help:"One-way delay." default:"12ms"`
	Bandwidth float64       `help:"Bytes/s of each direction; 0 is unlimited." default:"3750000"`
	Forward   []string      `help:"listen=target: connections from side A to side B."`
	Backward  []string      `help:"listen=target: connections from side B to side A."`
	SideA     netip.Prefix  `help:"Addresses of side A; connections from them to targets of side A do not cross the link."`
	SideB     netip.Prefix  `help:"Addresses of side B; connections from them to targets of side B do not cross the link."`
}

// Run forwards connections until ctx ends. The --listen address serves /stats and /fault.
func (c *linkCommand) Run(ctx context.Context, out output) error {
	l := link.New(link.Settings{
		Delay: c.Delay, BytesPerSecond: c.Bandwidth, Sides: [...]netip.Prefix{c.SideA, c.SideB},
	})
	defer l.Close()
	var addresses []string
	for _, side := range []struct {
		direction link.Direction
		pairs     []string
	}{{link.AToB, c.Forward}, {link.BToA, c.Backward}} {
		for _, pair := range side.pairs {
			listen, target, ok := strings.Cut(pair, "=")
			if !ok {
				return fmt.Errorf("%q is not listen=target", pair)
			}
			address, err := l.Forward(side.direction, listen, target)
			if err != nil {
				return err
			}
			addresses = append(addresses, address)
		}
	}
	control := httpserver.New(c.Listen, l.Control())
	if err := control.Start(); err != nil {
		return err
	}
	defer control.Abort()
	if err := out.ready(ready{Kind: "link", Address: control.Address(), Forwards: addresses}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
