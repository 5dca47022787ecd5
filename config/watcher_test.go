package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/storage"
)

// fakePeers calls the watchers of a fleet directly.
type fakePeers struct {
	mu    sync.Mutex
	fleet []*Watcher
}

func (p *fakePeers) addReachable(fleet ...*Watcher) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = append(p.fleet, fleet...)
}

func (p *fakePeers) Newest(context.Context) (generation int64, hash string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	err = errors.New("no peer responded")
	for _, w := range p.fleet {
		err = nil
		if s := w.Current(); s != nil && s.Generation() > generation {
			generation, hash = s.Generation(), s.Hash()
		}
	}
	return generation, hash, err
}

func (p *fakePeers) Fetch(_ context.Context, generation int64) (string, *basilloomv1.Config, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.fleet {
		if s := w.Current(); s != nil && s.Generation() == generation {
			return s.Hash(), proto.CloneOf(s.Config()), nil
		}
	}
	return "", nil, storage.ErrNotFound
}

func testWatcher(fake *fakeStore, peers Peers, fleet int) *Watcher {
	return NewWatcher(WatcherOptions{Store: testStore(fake), Peers: peers, FleetSize: func() int { return fleet },
		Random: rand.New(rand.NewPCG(1, 2))})
}

func configWithBodyLimit(number int64) (*basilloomv1.Config, string) {
	config := &basilloomv1.Config{Limits: &basilloomv1.Limits{MaxBodyBytes: number}}
	_, hash, _ := Encode(config)
	return config, hash
}

// Guards against a watcher that reverts to an older generation, accepts different
// content for one generation or content that does not match its hash, is ready too
// early, or leaves a subscriber with an old configuration.
func TestWatcherNeverRevertsToOlderGeneration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := testWatcher(newFakeStore(), nil, 1)
		conflicts, wantConflicts := 0, 0
		w.options.Conflict = func(*HashConflictError) { conflicts++ }
		w.recordSourceResponse(true)
		updates, _ := w.Subscribe()
		var inForce, observed int64
		hashes := map[int64]string{}
		generations := rapid.Int64Range(1, 6)
		// Only the first content observed for the highest generation is accepted.
		conflicting := func(generation int64, hash string) bool {
			return (generation == observed || generation == inForce) && hashes[generation] != hash
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				generation := generations.Draw(t, "generation")
				config, hash := configWithBodyLimit(rapid.Int64Range(1, 2).Draw(t, "content"))
				corrupt := rapid.Bool().Draw(t, "corrupt")
				if corrupt {
					config.Limits.MaxPromptTokens = 9
				}
				err := w.ApplyFromPeer(generation, hash, config)
				switch {
				case generation < inForce:
					require.NoError(t, err)
				case corrupt:
					require.ErrorIs(t, err, ErrCorrupt)
				case conflicting(generation, hash):
					wantConflicts++
					require.ErrorAs(t, err, new(*HashConflictError))
				default:
					require.NoError(t, err)
					inForce, observed = max(inForce, generation), max(observed, generation)
					hashes[generation] = hash
				}
			},
			"late fetch": func(t *rapid.T) {
				if inForce > 1 {
					require.NoError(t, w.install(NewSnapshot(rapid.Int64Range(1, inForce-1).Draw(t, "generation"), "x", nil)))
				}
			},
			"receive": func(t *rapid.T) {
				select {
				case s := <-updates:
					require.Equal(t, inForce, s.Generation())
				default:
				}
			},
			"observe": func(t *rapid.T) {
				generation := generations.Draw(t, "generation")
				_, hash := configWithBodyLimit(rapid.Int64Range(1, 2).Draw(t, "content"))
				if conflicting(generation, hash) {
					wantConflicts++
					require.ErrorAs(t, w.ObserveGeneration(generation, hash), new(*HashConflictError))
					return
				}
				require.NoError(t, w.ObserveGeneration(generation, hash))
				if generation > observed {
					observed, hashes[generation] = generation, hash
				}
			},
			"": func(t *rapid.T) {
				var generation int64
				if s := w.Current(); s != nil {
					generation = s.Generation()
					require.Equal(t, hashes[inForce], s.Hash())
				}
				require.Equal(t, inForce, generation)
				require.Equal(t, wantConflicts, conflicts)
				require.Equal(t, inForce > 0 && inForce == observed, w.Ready())
			},
		})
	})
}

// Guards against a fleet that does not put an accepted configuration in force within
// 5 s because the store becomes unreachable right after acceptance, and against a new
// instance that is ready before it has this configuration.
func TestPropagationWithStoreUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleetSize = 440
		ctx, stop := context.WithCancel(t.Context())
		fake := newFakeStore()
		peers := &fakePeers{}
		start := func() *Watcher {
			w := testWatcher(fake, peers, fleetSize)
			go func() { _ = w.Run(ctx) }()
			return w
		}
		store := testStore(fake)
		_, err := store.Apply(ctx, testConfig(t, "limits: {max_body_bytes: 1}"), "a", "ann", 0)
		require.NoError(t, err)
		fleet := []*Watcher{start(), start(), start()}
		synctest.Wait()
		for _, w := range fleet {
			require.True(t, w.Ready())
		}
		second := testConfig(t, "limits: {max_body_bytes: 2}")
		row, err := store.Apply(ctx, second, "b", "ann", 1)
		require.NoError(t, err)
		fake.setUnreachable(true)
		isolated := start()
		first := fleet[0].Current()
		require.NoError(t, isolated.ApplyFromPeer(1, first.Hash(), first.Config()))
		time.Sleep(3 * time.Second)
		require.False(t, isolated.Ready(), "neither the store nor a peer has reported the newest generation")

		require.NoError(t, fleet[0].ApplyFromPeer(2, row.Hash, second))
		peers.addReachable(fleet...)
		offered := time.Now()
		time.Sleep(4900 * time.Millisecond)
		for _, w := range append(fleet, isolated) {
			require.EqualValues(t, 2, w.Current().Generation(), "after %v", time.Since(offered))
			require.True(t, w.Ready())
			require.False(t, w.StoreReachable())
		}
		stop()
		synctest.Wait()
	})
}

// Guards against content that is not fetched if only the store has it, and against
// polls of the whole fleet that exceed FleetReadsPerSecond.
func TestPollRateAndFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleetSize, seconds = 440, 60
		ctx, stop := context.WithCancel(t.Context())
		fake := newFakeStore()
		w := testWatcher(fake, nil, fleetSize)
		go func() { _ = w.Run(ctx) }()
		time.Sleep(time.Second)
		require.False(t, w.Ready(), "no configuration has been accepted")
		_, err := testStore(fake).Apply(ctx, testConfig(t, "limits: {max_body_bytes: 1}"), "a", "ann", 0)
		require.NoError(t, err)
		time.Sleep(4900 * time.Millisecond)
		require.True(t, w.Ready())
		before := fake.readCount()
		time.Sleep(seconds * time.Second)
		reads := fake.readCount() - before
		require.LessOrEqual(t, (reads-1)*fleetSize, FleetReadsPerSecond*seconds)
		require.Greater(t, reads, seconds/5)
		stop()
		synctest.Wait()
	})
}
