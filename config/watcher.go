package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/telemetry/field"
)

const (
	// FleetReadsPerSecond bounds the polls of all instances together, per second.
	// It is a tenth of the table's capacity of about 2000 reads per second.
	FleetReadsPerSecond = 200
	// MinPollInterval is the shortest mean time between two polls of one instance.
	MinPollInterval = time.Second
	// callTimeout bounds each call to the store or to peers. While the store is
	// unreachable, an observed generation is in force after at most a running fetch,
	// a poll (two calls) and its own fetch. Together they take less than the 5 s within
	// which every instance must put an accepted generation in force (invariant 9).
	callTimeout = time.Second
	// retryInterval is the time before the next attempt to fetch a generation that
	// no source could deliver.
	retryInterval = 500 * time.Millisecond
	// pollJitter is the maximum fraction by which an interval is extended. An
	// interval is never shortened, so that the fleet stays under FleetReadsPerSecond.
	pollJitter = 0.1
)

// Peers queries other instances. Calls must return when their context ends.
type Peers interface {
	// Newest returns the highest generation and its hash among the peers that
	// respond. It returns an error if no peer responds.
	Newest(ctx context.Context) (generation int64, hash string, err error)
	// Fetch returns the content of a generation from a peer that holds it.
	Fetch(ctx context.Context, generation int64) (hash string, config *basilloomv1.Config, err error)
}

// HashConflictError means that a source has different content for a generation
// whose hash is already known. The content is rejected, and a retry fails again.
type HashConflictError struct {
	Generation int64
	Known      string
	Offered    string
}

// Error names the generation and both hashes.
func (e *HashConflictError) Error() string {
	return fmt.Sprintf("generation %d has hash %s, but a source has %s", e.Generation, e.Known, e.Offered)
}

// WatcherOptions configure a Watcher. Store and FleetSize are required.
type WatcherOptions struct {
	Store *Store
	// Peers may be nil if there are no other instances.
	Peers Peers
	// FleetSize returns the number of live instances.
	FleetSize func() int
	// Random is used only by Run. If it is nil, a random seed is used.
	Random *rand.Rand
	Logger *zap.Logger
	// Conflict is called for each HashConflictError; it may be nil.
	Conflict func(*HashConflictError)
}

// observedGeneration is a generation reported by a source, with the hash of its
// content.
type observedGeneration struct {
	generation int64
	hash       string
}

// Watcher fetches the newest configuration and puts it in force. One goroutine runs
// Run; all other methods are safe for concurrent use.
type Watcher struct {
	options WatcherOptions
	wake    chan struct{}

	mu              sync.Mutex
	current         *Snapshot
	observed        observedGeneration
	sourceResponded bool // the store or a peer has responded since the start
	storeReachable  bool
	subscribers     map[chan *Snapshot]struct{}
}

// NewWatcher returns a watcher without a configuration.
func NewWatcher(options WatcherOptions) *Watcher {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Watcher{options: options, wake: make(chan struct{}, 1), subscribers: map[chan *Snapshot]struct{}{}}
}

// PollInterval returns the time between two polls of one instance, without jitter,
// that keeps the fleet under FleetReadsPerSecond.
func PollInterval(fleetSize int) time.Duration {
	return max(MinPollInterval, time.Duration(fleetSize)*time.Second/FleetReadsPerSecond)
}

// Run polls until ctx ends and returns its error.
func (w *Watcher) Run(ctx context.Context) error {
	nextPoll := time.Now()
	for {
		if !time.Now().Before(nextPoll) {
			w.poll(ctx)
			nextPoll = time.Now().Add(w.jittered(PollInterval(w.options.FleetSize())))
		}
		wait := time.Until(nextPoll)
		if !w.fetch(ctx) {
			wait = min(wait, w.jittered(retryInterval))
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-w.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (w *Watcher) jittered(interval time.Duration) time.Duration {
	return interval + time.Duration(w.options.Random.Float64()*pollJitter*float64(interval))
}

// poll gets the newest generation from the store, or from peers while the store is
// unreachable.
func (w *Watcher) poll(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	row, err := w.options.Store.Newest(call)
	cancel()
	if err == nil {
		w.recordSourceResponse(true)
		w.observeRow(row)
		return
	}
	if errors.Is(err, ErrNoConfig) {
		w.recordSourceResponse(true)
		return
	}
	w.mu.Lock()
	w.storeReachable = false
	w.mu.Unlock()
	w.options.Logger.Warn("configuration store is not reachable", zap.Error(err))
	w.pollPeers(ctx)
}

func (w *Watcher) pollPeers(ctx context.Context) {
	if w.options.Peers == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	generation, hash, err := w.options.Peers.Newest(call)
	if err != nil {
		w.options.Logger.Warn("no peer reported its configuration generation", zap.Error(err))
		return
	}
	if err := w.ObserveGeneration(generation, hash); err == nil {
		w.recordSourceResponse(false)
	}
}

// recordSourceResponse records that the store or, if storeReachable is false, a peer
// has responded.
func (w *Watcher) recordSourceResponse(storeReachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sourceResponded = true
	w.storeReachable = storeReachable
}

// observeRow records the generation of the store's row. The row's hash replaces a
// different one that a peer reported for the same generation, unless that
// generation is in force.
func (w *Watcher) observeRow(row *basilloomv1.GenerationRow) {
	var peerConflict *HashConflictError
	w.mu.Lock()
	inForce := w.current != nil && w.current.generation == row.Generation
	if w.observed.generation == row.Generation && w.observed.hash != row.Hash && !inForce {
		peerConflict = &HashConflictError{Generation: row.Generation, Known: row.Hash, Offered: w.observed.hash}
		w.observed.hash = row.Hash
	}
	w.mu.Unlock()
	w.report(peerConflict)
	_ = w.ObserveGeneration(row.Generation, row.Hash) // ObserveGeneration reports a conflict itself
}

// ObserveGeneration records a generation reported by a source. It returns a
// *HashConflictError if a different hash of that generation is already known.
func (w *Watcher) ObserveGeneration(generation int64, hash string) error {
	w.mu.Lock()
	err := w.observeLocked(generation, hash)
	w.mu.Unlock()
	w.report(err)
	if err != nil {
		return err
	}
	return nil
}

func (w *Watcher) observeLocked(generation int64, hash string) *HashConflictError {
	if w.current != nil && w.current.generation == generation && w.current.hash != hash {
		return &HashConflictError{Generation: generation, Known: w.current.hash, Offered: hash}
	}
	if w.observed.generation == generation && generation > 0 && w.observed.hash != hash {
		return &HashConflictError{Generation: generation, Known: w.observed.hash, Offered: hash}
	}
	if generation > w.observed.generation {
		w.observed = observedGeneration{generation, hash}
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return nil
}

func (w *Watcher) report(err *HashConflictError) {
	if err == nil {
		return
	}
	w.options.Logger.Error("configuration rejected: hash conflict", zap.Error(err))
	if w.options.Conflict != nil {
		w.options.Conflict(err)
	}
}

// ApplyFromPeer puts content from a peer in force if it matches the hash and its
// generation is higher than the current one. An older generation is ignored.
// ApplyFromPeer takes ownership of config. Errors: ErrCorrupt and *HashConflictError.
func (w *Watcher) ApplyFromPeer(generation int64, hash string, config *basilloomv1.Config) error {
	if generation <= 0 || config == nil {
		return fmt.Errorf("generation %d: %w", generation, ErrCorrupt)
	}
	if current := w.Current(); current != nil && generation < current.generation {
		return nil
	}
	_, actual, err := Encode(config)
	if err != nil {
		return err
	}
	if actual != hash {
		return fmt.Errorf("generation %d: %w", generation, ErrCorrupt)
	}
	return w.install(NewSnapshot(generation, hash, config))
}

func (w *Watcher) install(next *Snapshot) error {
	w.mu.Lock()
	conflict := w.observeLocked(next.generation, next.hash)
	if conflict == nil && (w.current == nil || next.generation > w.current.generation) {
		w.current = next
		for subscriber := range w.subscribers {
			deliver(subscriber, next)
		}
		w.options.Logger.Info("configuration in force",
			zap.Int64(field.Generation, next.generation), zap.String(field.Hash, next.hash))
	}
	w.mu.Unlock()
	w.report(conflict)
	if conflict != nil {
		return conflict
	}
	return nil
}

// deliver sends a snapshot and replaces one that has not been received. Callers hold
// the mutex, so only one goroutine sends at a time.
func deliver(subscriber chan *Snapshot, next *Snapshot) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- next
}

// fetch gets the content of the highest observed generation and reports false if the
// caller has to retry. It skips the store if the last poll of it failed, so that the
// timeouts of one round stay under 5 s.
func (w *Watcher) fetch(ctx context.Context) bool {
	wanted, storeReachable := w.missing()
	if wanted.generation == 0 {
		return true
	}
	var sources []func(context.Context, observedGeneration) error
	if storeReachable || w.options.Peers == nil {
		sources = append(sources, w.fetchFromStore)
	}
	if w.options.Peers != nil {
		sources = append(sources, w.fetchFromPeers)
	}
	for _, fetchFrom := range sources {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := fetchFrom(call, wanted)
		cancel()
		if remaining, _ := w.missing(); remaining.generation == 0 {
			return true
		}
		if err != nil {
			w.options.Logger.Warn("failed to fetch configuration", zap.Int64(field.Generation, wanted.generation), zap.Error(err))
		}
	}
	return false
}

// missing returns the highest observed generation if it is not yet in force, and the
// zero value otherwise.
func (w *Watcher) missing() (wanted observedGeneration, storeReachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current != nil && w.current.generation >= w.observed.generation {
		return observedGeneration{}, w.storeReachable
	}
	return w.observed, w.storeReachable
}

func (w *Watcher) fetchFromStore(ctx context.Context, wanted observedGeneration) error {
	config, err := w.options.Store.Fetch(ctx, wanted.hash)
	if err != nil {
		return err
	}
	// Fetch has verified the hash of the stored bytes. Encoding config again need not give the same bytes
	// in a newer release.
	return w.install(NewSnapshot(wanted.generation, wanted.hash, config))
}

func (w *Watcher) fetchFromPeers(ctx context.Context, wanted observedGeneration) error {
	hash, config, err := w.options.Peers.Fetch(ctx, wanted.generation)
	if err != nil {
		return fmt.Errorf("fetch generation %d from peers: %w", wanted.generation, err)
	}
	return w.ApplyFromPeer(wanted.generation, hash, config)
}

// Current returns the configuration in force, or nil.
func (w *Watcher) Current() *Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// HighestGeneration returns the highest generation that any source has reported, and its hash.
func (w *Watcher) HighestGeneration() (generation int64, hash string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.observed.generation, w.observed.hash
}

// StoreReachable reports whether the store responded to the last poll.
func (w *Watcher) StoreReachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeReachable
}

// Ready reports whether the newest generation that any reachable source has reported
// is in force. It is false for the short time between observing and fetching each
// later generation, so a health check of a running instance uses the first true value.
func (w *Watcher) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sourceResponded && w.current != nil && w.current.generation >= w.observed.generation
}

// Subscribe returns a channel that holds the newest configuration not yet
// received, starting with the one in force, and a function that ends the subscription.
func (w *Watcher) Subscribe() (snapshots <-chan *Snapshot, end func()) {
	subscriber := make(chan *Snapshot, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers[subscriber] = struct{}{}
	if w.current != nil {
		subscriber <- w.current
	}
	return subscriber, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.subscribers, subscriber)
	}
}
