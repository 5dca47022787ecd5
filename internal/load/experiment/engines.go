// Package experiment runs the overload experiment for the scheduler and for the
// baselines: engines of different speeds, delayed load reports, more load than the
// capacity, and an engine that slows down. Everything runs in one process on loopback.
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

// hardwareKind describes the engines of one kind. Their batch limit is well above
// their concurrency, because engines admit every request that they receive.
type hardwareKind struct {
	count         int
	concurrency   int
	prefill       float64 // tokens/s
	decode        float64 // tokens/s of a single stream
	cacheBlocks   int
	batchSlowdown float64
}

// At full concurrency both kinds keep the interval between tokens below 32 ms: 19 ms
// and 28.4 ms. The first kind is faster, 2 times for decode and 2.7 times for prefill.
var hardwareKinds = []hardwareKind{
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
	kind hardwareKind
}

// backends holds the engines and the service of one run.
type backends struct {
	engines []*backend
	service *service.Service
}

func startBackends(seed uint64) (*backends, error) {
	b := &backends{}
	for _, kind := range hardwareKinds {
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
	app, err := service.Listen(loopback, service.Settings{Seed: seed})
	if err != nil {
		b.close()
		return nil, fmt.Errorf("start a service: %w", err)
	}
	b.service = app
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

// MeasureCapacity returns the requests per second of the mix that the engines serve
// when each runs at its full concurrency all the time.
func MeasureCapacity(ctx context.Context, mix load.Mix, seed uint64) (float64, error) {
	b, err := startBackends(seed)
	if err != nil {
		return 0, err
	}
	defer b.close()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	queue := make(chan load.Call)
	wg.Go(func() { offerCalls(runCtx, mix, seed, queue) })
	client := engine.NewClient()
	defer client.Close()
	for i, e := range b.engines {
		policy := load.NewRoundRobin([]engine.Target{{Address: "http://" + e.Address()}})
		sender := load.NewDirect(policy, nil, client, fmt.Sprintf("capacity-%d", i))
		for range e.kind.concurrency {
			wg.Go(func() {
				for call := range queue {
					sender.Send(runCtx, &call, time.Now())
				}
			})
		}
	}
	time.Sleep(capacityWarmUp)
	before := b.generatedTokens()
	started := time.Now()
	time.Sleep(capacityTime)
	perSecond := float64(b.generatedTokens()-before) / time.Since(started).Seconds()
	cancel()
	wg.Wait()
	return perSecond / mix.MeanOutputTokens(), ctx.Err()
}

// offerCalls sends the engine calls of the mix to the queue in order, regardless of
// their arrival times, until ctx ends.
func offerCalls(ctx context.Context, mix load.Mix, seed uint64, queue chan<- load.Call) {
	defer close(queue)
	const callsPerSecond = 1000 // more than the engines can serve
	for _, call := range mix.Generate(seed, callsPerSecond, capacityWarmUp+capacityTime) {
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

func (b *backends) generatedTokens() int64 {
	var sum int64
	for _, e := range b.engines {
		sum += e.Stats().GeneratedTokens
	}
	return sum
}
