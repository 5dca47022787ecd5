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
	// It is a tenth of the about 2000 reads per second that the table takes.
	FleetReadsPerSecond = 200
	// MinPollInterval is the shortest mean time between two polls of one instance.
	MinPollInterval = time.Second
	// callTimeout bounds each call to the store or to peers. While the store is
	// away, a notice waits for at most a fetch, a poll (two calls) and its own
	// fetch, which is under the 5 s of invariant 9.
	callTimeout = time.Second
	// retryInterval is the time until a generation that no source could deliver
	// is tried again.
	retryInterval = 500 * time.Millisecond
	// pollJitter lengthens an interval by up to this fraction; it never shortens
	// one, so the fleet stays under its bound.
	pollJitter = 0.1
)

// Peers asks other instances. Calls must end when their context does.
type Peers interface {
	// Newest returns the highest generation and its hash among the peers that
	// answer. The error tells that no peer answered.
	Newest(ctx context.Context) (generation int64, hash string, err error)
	// Fetch returns the content of a generation from a peer that has it.
	Fetch(ctx context.Context, generation int64) (hash string, config *basilloomv1.Config, err error)
}

// HashConflictError tells that a source has another content for a generation
// whose hash is already known. The content is refused; a retry is useless.
type HashConflictError struct {
	Generation int64
	Known      string
	Offered    string
}

// Error names the generation and both hashes.
func (e *HashConflictError) Error() string {
	return fmt.Sprintf("generation %d has hash %s, but a source has %s", e.Generation, e.Known, e.Offered)
}

// WatcherOptions are the parts of a Watcher. Store and FleetSize are required.
type WatcherOptions struct {
	Store *Store
	// Peers may be nil if there are no other instances.
	Peers Peers
	// FleetSize returns the number of live instances.
	FleetSize func() int
	// Random is used only by Run. Nil means a random seed.
	Random *rand.Rand
	Logger *zap.Logger
	// Conflict is called for each refused content of a known generation; it may be nil.
	Conflict func(*HashConflictError)
}

// known is the highest generation that a source has named.
type known struct {
	generation int64
	hash       string
}

// Watcher keeps the newest configuration in force. One goroutine runs Run; the
// other methods may be called from any goroutine.
type Watcher struct {
	options WatcherOptions
	wake    chan struct{}

	mu          sync.Mutex
	current     *Snapshot
	seen        known
	asked       bool // the store or a peer has answered since the start
	storeOK     bool
	subscribers map[chan *Snapshot]struct{}
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

// PollInterval is the mean time between two polls of one instance before
// jitter, so that the fleet stays under FleetReadsPerSecond.
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

// poll learns the newest generation from the store, or from peers while the
// store is away.
func (w *Watcher) poll(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	row, err := w.options.Store.Newest(call)
	cancel()
	if err == nil {
		w.setSources(true)
		w.noticeRow(row)
		return
	}
	if errors.Is(err, ErrNoConfig) {
		w.setSources(true)
		return
	}
	w.mu.Lock()
	w.storeOK = false
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
		w.options.Logger.Warn("no peer tells its configuration", zap.Error(err))
		return
	}
	if err := w.ObserveGeneration(generation, hash); err == nil {
		w.setSources(false)
	}
}

func (w *Watcher) setSources(storeOK bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked = true
	w.storeOK = storeOK
}

// noticeRow lets the row decide over what a peer has named, unless that is in force.
func (w *Watcher) noticeRow(row *basilloomv1.GenerationRow) {
	var wrong *HashConflictError
	w.mu.Lock()
	inForce := w.current != nil && w.current.generation == row.Generation
	if w.seen.generation == row.Generation && w.seen.hash != row.Hash && !inForce {
		wrong = &HashConflictError{Generation: row.Generation, Known: row.Hash, Offered: w.seen.hash}
		w.seen.hash = row.Hash
	}
	w.mu.Unlock()
	w.report(wrong)
	_ = w.ObserveGeneration(row.Generation, row.Hash) // a conflict is reported there
}

// ObserveGeneration records that a source names a generation. It returns a
// *HashConflictError if another hash of that generation is known.
func (w *Watcher) ObserveGeneration(generation int64, hash string) error {
	w.mu.Lock()
	err := w.noticeLocked(generation, hash)
	w.mu.Unlock()
	w.report(err)
	if err != nil {
		return err
	}
	return nil
}

func (w *Watcher) noticeLocked(generation int64, hash string) *HashConflictError {
	if w.current != nil && w.current.generation == generation && w.current.hash != hash {
		return &HashConflictError{Generation: generation, Known: w.current.hash, Offered: hash}
	}
	if w.seen.generation == generation && generation > 0 && w.seen.hash != hash {
		return &HashConflictError{Generation: generation, Known: w.seen.hash, Offered: hash}
	}
	if generation > w.seen.generation {
		w.seen = known{generation, hash}
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
	w.options.Logger.Error("refused configuration", zap.Error(err))
	if w.options.Conflict != nil {
		w.options.Conflict(err)
	}
}

// ApplyFromPeer puts content from a peer in force if it has the hash and a higher
// generation; an older one is ignored. The caller hands config over. Errors:
// ErrCorrupt and *HashConflictError.
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
	conflict := w.noticeLocked(next.generation, next.hash)
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

// deliver replaces an undelivered snapshot. The mutex makes it the only sender.
func deliver(subscriber chan *Snapshot, next *Snapshot) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- next
}

// fetch gets the content of the highest generation seen. It reports false if
// that has to be tried again. It passes over a store that has just failed a
// poll, so that the timeouts of one round stay under 5 s.
func (w *Watcher) fetch(ctx context.Context) bool {
	wanted, storeOK := w.missing()
	if wanted.generation == 0 {
		return true
	}
	var order []func(context.Context, known) error
	if storeOK || w.options.Peers == nil {
		order = append(order, w.fetchFromStore)
	}
	if w.options.Peers != nil {
		order = append(order, w.fetchFromPeers)
	}
	for _, from := range order {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := from(call, wanted)
		cancel()
		if left, _ := w.missing(); left.generation == 0 {
			return true
		}
		if err != nil {
			w.options.Logger.Warn("configuration not fetched", zap.Int64(field.Generation, wanted.generation), zap.Error(err))
		}
	}
	return false
}

// missing returns the highest generation seen that is not in force, if any.
func (w *Watcher) missing() (wanted known, storeOK bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current != nil && w.current.generation >= w.seen.generation {
		return known{}, w.storeOK
	}
	return w.seen, w.storeOK
}

func (w *Watcher) fetchFromStore(ctx context.Context, wanted known) error {
	config, err := w.options.Store.Fetch(ctx, wanted.hash)
	if err != nil {
		return err
	}
	// Fetch has verified the stored bytes, which an Encode by a newer release need not reproduce.
	return w.install(NewSnapshot(wanted.generation, wanted.hash, config))
}

func (w *Watcher) fetchFromPeers(ctx context.Context, wanted known) error {
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

// HighestGeneration returns the highest generation that any source has named, and its hash.
func (w *Watcher) HighestGeneration() (generation int64, hash string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen.generation, w.seen.hash
}

// StoreReachable reports whether the last poll of the store was answered.
func (w *Watcher) StoreReachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeOK
}

// Ready reports whether the newest generation that any reachable source knows is
// in force. It is false for the short time between notice and fetch of each
// later generation, so a health check of a running instance needs its first true value.
func (w *Watcher) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asked && w.current != nil && w.current.generation >= w.seen.generation
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
