// Package experiment runs the overload experiment: unlike engines, lagging
// reports, more load than fits, and an engine that turns slow, for the scheduler
// and for the baselines. Everything runs in one process on loopback.
package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/basilloom/basilloom/engine"
	"github.com/basilloom/basilloom/internal/load"
	standin "github.com/basilloom/basilloom/internal/standin/engine"
	"github.com/basilloom/basilloom/internal/standin/service"
)

// hardware is a kind of engine. Its batch limit is well above its concurrency,
// as engines admit what they are sent.
type hardware struct {
	count         int
	concurrency   int
	prefill       float64 // tokens/s
	decode        float64 // tokens/s of a single stream
	cacheBlocks   int
	batchSlowdown float64
}

// At their concurrency both kinds stay within 32 ms between tokens: 19 ms and
// 28.4 ms. The fast kind is 2 times (decode) and 2.7 times (prefill) faster.
var kinds = []hardware{
	{count: 5, concurrency: 16, prefill: 16000, decode: 100, cacheBlocks: 2048, batchSlowdown: 0.06},
	{count: 4, concurrency: 8, prefill: 6000, decode: 50, cacheBlocks: 1024, batchSlowdown: 0.06},
}

const (
	reportLag     = time.Second
	eventDelay    = time.Second
	eventDropRate = 0.05
	loopback      = "127.0.0.1:0"
)

// backend is one stand-in engine.
type backend struct {
	*standin.Server
	kind hardware
}

// backends are the engines and the service of one run.
type backends struct {
	engines []*backend
	service *service.Service
}

func startBackends(seed uint64) (*backends, error) {
	b := &backends{}
	for _, kind := range kinds {
		for range kind.count {
			server, err := standin.Listen(loopback, standin.Settings{
				PrefillTokensPerSecond: kind.prefill,
				DecodeTokensPerSecond:  kind.decode,
				BatchSlowdown:          kind.batchSlowdown,
				CacheBlocks:            kind.cacheBlocks,
				LoadLag:                reportLag,
				EventDelay:             eventDelay,
				EventDropRate:          eventDropRate,
				Seed:                   seed + uint64(len(b.engines)),
			})
			if err != nil {
				b.close()
				return nil, fmt.Errorf("start an engine: %w", err)
			}
			b.engines = append(b.engines, &backend{Server: server, kind: kind})
		}
	}
	orders, err := service.Listen(loopback, service.Settings{Seed: seed})
	if err != nil {
		b.close()
		return nil, fmt.Errorf("start a service: %w", err)
	}
	b.service = orders
	return b, nil
}

func (b *backends) close() {
	for _, e := range b.engines {
		e.Close()
	}
	if b.service != nil {
		b.service.Close()
	}
}

func (b *backends) urls() []string {
	urls := make([]string, 0, len(b.engines))
	for _, e := range b.engines {
		urls = append(urls, "http://"+e.Address())
	}
	return urls
}

func (b *backends) serviceURL() string { return "http://" + b.service.Address() }

const (
	capacityWarmUp = 4 * time.Second
	capacityTime   = 8 * time.Second
)

// MeasureCapacity returns the requests per second of the mix that the engines
// serve when each always runs as many as its concurrency.
func MeasureCapacity(ctx context.Context, mix load.Mix, seed uint64) (float64, error) {
	b, err := startBackends(seed)
	if err != nil {
		return 0, err
	}
	defer b.close()
	feeding, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	queue := make(chan load.Call)
	wg.Go(func() { feed(feeding, mix, seed, queue) })
	client := engine.NewClient()
	defer client.Close()
	for i, e := range b.engines {
		target := load.NewRoundRobin([]engine.Target{{Address: "http://" + e.Address()}})
		sender := load.NewDirect(target, nil, client, fmt.Sprintf("capacity-%d", i))
		for range e.kind.concurrency {
			wg.Go(func() {
				for call := range queue {
					sender.Send(feeding, &call, time.Now())
				}
			})
		}
	}
	time.Sleep(capacityWarmUp)
	before := b.generated()
	started := time.Now()
	time.Sleep(capacityTime)
	perSecond := float64(b.generated()-before) / time.Since(started).Seconds()
	cancel()
	wg.Wait()
	return perSecond / mix.MeanOutputTokens(), ctx.Err()
}

// feed offers calls of engines in the order of the mix.
func feed(ctx context.Context, mix load.Mix, seed uint64, queue chan<- load.Call) {
	defer close(queue)
	const manyPerSecond = 1000
	for _, call := range mix.Generate(seed, manyPerSecond, capacityWarmUp+capacityTime) {
		if call.Class.Model == "" {
			continue
		}
		select {
		case queue <- call:
		case <-ctx.Done():
			return
		}
	}
}

func (b *backends) generated() int64 {
	var sum int64
	for _, e := range b.engines {
		sum += e.Stats().GeneratedTokens
	}
	return sum
}
