// Package crashrows keeps crash evidence in the platform's store, so that it outlives all
// instances. Each fact, one target that crashed under one content or prompt part, is a row of
// its own: rows are written and removed without reading them, and writing one again changes
// nothing. docs/design/state-across-starts.md has the failures halfway.
package crashrows

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
)

// TableName is the name of the table.
const TableName = "crashes"

// Limits of the rows and of the calls.
const (
	// maxRows is the number of rows above which Reconcile removes the oldest ones, those of
	// contents with a single crash first.
	maxRows = 1024
	// maxWritten is the number of facts in force beyond which an instance writes no first
	// crashes, and twice that number the one beyond which it writes none.
	maxWritten = 256
	// maxChanges bounds a transaction and maxPending what waits for one.
	maxChanges, maxPending = 50, 512
	// callsPerSecond bounds the transactions of a fleet. The store takes 400 writes a second.
	callsPerSecond = 100
	// minInterval is the shortest time between two transactions of an instance.
	minInterval = 100 * time.Millisecond
	// maxRetry bounds the wait after a failed call.
	maxRetry = time.Second
	// maxKeyTarget is the length of a target's id from which on the key holds its hash. Keys
	// have at most 200 bytes.
	maxKeyTarget = 120
	// maxStartWait is how long a start waits for the evidence. A store that does not respond
	// must not keep the instance from serving.
	maxStartWait = 3 * time.Second
)

// Store is the platform's store.
type Store interface {
	Load(ctx context.Context, table string) ([]mirror.Row, int64, error)
	// Apply writes and removes rows in one transaction, whatever their versions are.
	Apply(ctx context.Context, table string, puts map[string][]byte, removals []string) error
	// Now is the store's clock.
	Now() time.Duration
}

// Settings configures a Table.
type Settings struct {
	Store Store
	// OnRead receives the evidence that was read.
	OnRead func([]scheduler.CrashEvidence)
	// Instances returns the number of instances that write.
	Instances func() int
	Log       *zap.Logger
}

// Table reads and writes the rows.
type Table struct {
	settings Settings
	// ready is closed once a start may place requests, wake receives a value with a change.
	ready chan struct{}
	wake  chan struct{}

	mu       sync.Mutex
	isReady  bool
	hasRead  bool // from the store or a peer
	pending  map[string]change
	sequence uint64
	// written holds until when the rows that this instance has written are in force, by key.
	written map[string]time.Time
}

// change is a row to be written or, without a fact, removed.
type change struct {
	fact     *pb.CrashFact
	at       time.Time
	sequence uint64
}

// New returns a Table; Run starts it.
func New(settings Settings) *Table {
	return &Table{
		settings: settings, ready: make(chan struct{}), wake: make(chan struct{}, 1),
		pending: make(map[string]change), written: make(map[string]time.Time),
	}
}

// Ready is closed once the evidence has been read, from the store or a peer, or neither has
// responded for maxStartWait.
func (t *Table) Ready() <-chan struct{} { return t.ready }

// ReadFromPeer records that a peer has sent its evidence.
func (t *Table) ReadFromPeer() { t.setReady(sourcePeer) }

// HasRead reports whether the evidence has been read from the store or a peer.
func (t *Table) HasRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasRead
}

// Sources of the evidence that a start has read.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
	sourceNone  = "none"
)

func (t *Table) setReady(source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasRead = t.hasRead || source != sourceNone
	if !t.isReady {
		t.isReady = true
		close(t.ready)
		t.settings.Log.Info("crash evidence known", zap.String(field.Source, source))
	}
}

// Run reads the rows and then writes changes until ctx ends.
func (t *Table) Run(ctx context.Context) {
	timeout := time.AfterFunc(maxStartWait, func() { t.setReady(sourceNone) })
	defer timeout.Stop()
	for retry := minInterval; ctx.Err() == nil; retry = min(2*retry, maxRetry) {
		if _, err := t.read(ctx); err == nil {
			break
		} else if ctx.Err() == nil {
			t.settings.Log.Warn("crash evidence not read", zap.Error(err))
		}
		sleep(ctx, retry)
	}
	retry := minInterval
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		}
		if t.flush(ctx) {
			retry = minInterval
			sleep(ctx, max(minInterval, time.Duration(t.settings.Instances())*time.Second/callsPerSecond))
			continue
		}
		sleep(ctx, retry)
		retry = min(2*retry, maxRetry)
		t.signal()
	}
}

// read reads the rows, passes the evidence on and returns the rows.
func (t *Table) read(ctx context.Context) ([]mirror.Row, error) {
	rows, _, err := t.settings.Store.Load(ctx, TableName)
	if err != nil {
		return nil, err
	}
	if evidence := t.evidence(rows); len(evidence) > 0 {
		t.settings.OnRead(evidence)
	}
	t.setReady(sourceStore)
	return rows, nil
}

// evidence joins the facts in force by content and part.
func (t *Table) evidence(rows []mirror.Row) []scheduler.CrashEvidence {
	type key struct {
		fingerprint uint64
		part        bool
	}
	facts := make(map[key][]*pb.CrashFact)
	for _, row := range rows {
		fact := &pb.CrashFact{}
		if err := proto.Unmarshal(row.Value, fact); err != nil || fact.GetTarget() == "" {
			t.settings.Log.Warn("row of crash evidence not decoded", zap.String(field.Key, row.Key), zap.Error(err))
			continue
		}
		if t.age(fact) < scheduler.SuspectDuration {
			k := key{fact.GetFingerprint(), fact.GetPart()}
			facts[k] = append(facts[k], fact)
		}
	}
	var evidence []scheduler.CrashEvidence
	for k, list := range facts {
		slices.SortFunc(list, func(a, b *pb.CrashFact) int {
			return cmp.Or(cmp.Compare(a.GetAtMs(), b.GetAtMs()), cmp.Compare(a.GetTarget(), b.GetTarget()))
		})
		e := scheduler.CrashEvidence{Fingerprint: k.fingerprint, Part: k.part, Begun: true}
		for _, fact := range list {
			e.CrashedTargets = append(e.CrashedTargets, fact.GetTarget())
			e.Crashes = max(e.Crashes, int(fact.GetCrashes()))
			e.Begun = e.Begun && fact.GetBegun()
			e.Companions = fact.GetCompanions()
		}
		e.Age = max(0, t.age(list[len(list)-1]))
		e.ValidFor = scheduler.SuspectDuration - e.Age
		evidence = append(evidence, e)
	}
	return evidence
}

func (t *Table) age(fact *pb.CrashFact) time.Duration {
	return t.settings.Store.Now() - time.Duration(fact.GetAtMs())*time.Millisecond
}

// Add writes the facts of evidence that this instance has not written yet.
func (t *Table) Add(e scheduler.CrashEvidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, target := range e.CrashedTargets {
		key := rowKey(e.Part, e.Fingerprint, target)
		if now.Before(t.written[key]) {
			continue
		}
		if _, ok := t.pending[key]; ok {
			continue
		}
		fact := &pb.CrashFact{
			Fingerprint: e.Fingerprint, Part: e.Part, Target: target, Crashes: uint32(crashesOf(e)), Begun: e.Begun, Companions: e.Companions,
		}
		if t.admitLocked(now, fact) {
			t.addLocked(key, change{fact: fact, at: now.Add(-e.Age)})
			t.written[key] = now.Add(e.ValidFor)
		}
	}
}

func crashesOf(e scheduler.CrashEvidence) int {
	if e.Crashes == 0 {
		return len(e.CrashedTargets)
	}
	return e.Crashes
}

// admitLocked bounds the rows that this instance writes when many contents crash targets.
func (t *Table) admitLocked(now time.Time, fact *pb.CrashFact) bool {
	limit := maxWritten
	if fact.GetCrashes() > 1 {
		limit *= 2
	}
	if len(t.written) < limit {
		return true
	}
	for key, until := range t.written {
		if !now.Before(until) {
			delete(t.written, key)
		}
	}
	return len(t.written) < limit
}

// Remove removes the facts of targets, which are no longer in account.
func (t *Table) Remove(part bool, fingerprint uint64, targets []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, target := range targets {
		key := rowKey(part, fingerprint, target)
		t.addLocked(key, change{at: time.Now()})
		delete(t.written, key)
	}
}

func (t *Table) addLocked(key string, c change) {
	if _, ok := t.pending[key]; !ok && len(t.pending) >= maxPending {
		t.settings.Log.Warn("row of crash evidence not written, too many wait", zap.String(field.Key, key))
		return
	}
	t.sequence++
	c.sequence = t.sequence
	t.pending[key] = c
	t.signal()
}

func (t *Table) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// flush writes the pending changes that come first and reports whether the store has taken
// them.
func (t *Table) flush(ctx context.Context) bool {
	batch := t.nextBatch()
	if len(batch) == 0 {
		return true
	}
	puts := make(map[string][]byte)
	var removals []string
	for key, c := range batch {
		if c.fact == nil {
			removals = append(removals, key)
			continue
		}
		c.fact.AtMs = (t.settings.Store.Now() - time.Since(c.at)).Milliseconds()
		value, err := proto.Marshal(c.fact)
		if err != nil {
			t.settings.Log.Error("crash evidence not encoded", zap.Error(err))
			continue
		}
		puts[key] = value
	}
	if err := t.settings.Store.Apply(ctx, TableName, puts, removals); err != nil {
		t.settings.Log.Info("crash evidence not written", zap.Int(field.Rows, len(batch)), zap.Error(err))
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, c := range batch {
		if t.pending[key].sequence == c.sequence {
			delete(t.pending, key)
		}
	}
	if len(t.pending) > 0 {
		t.signal()
	}
	return true
}

// nextBatch returns the pending changes with the most crashes, then the oldest ones.
func (t *Table) nextBatch() map[string]change {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := make([]string, 0, len(t.pending))
	for key := range t.pending {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		x, y := t.pending[a], t.pending[b]
		return cmp.Or(cmp.Compare(y.fact.GetCrashes(), x.fact.GetCrashes()), cmp.Compare(x.sequence, y.sequence))
	})
	batch := make(map[string]change)
	for _, key := range keys[:min(len(keys), maxChanges)] {
		batch[key] = t.pending[key]
	}
	return batch
}

// Reconcile reads the rows, writes those that are missing although their facts are known, and
// removes expired ones and the oldest of too many.
func (t *Table) Reconcile(ctx context.Context, known []scheduler.CrashEvidence) error {
	rows, err := t.read(ctx)
	if err != nil {
		return err
	}
	t.prune(rows)
	stored := make(map[string]bool, len(rows))
	for _, row := range rows {
		stored[row.Key] = true
	}
	for _, e := range known {
		missing := e
		missing.CrashedTargets = nil
		for _, target := range e.CrashedTargets {
			if key := rowKey(e.Part, e.Fingerprint, target); !stored[key] {
				missing.CrashedTargets = append(missing.CrashedTargets, target)
				t.forgetWritten(key)
			}
		}
		t.Add(missing)
	}
	return nil
}

// forgetWritten lets a row that is not in the store be written again.
func (t *Table) forgetWritten(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.written, key)
}

// prune removes the rows that are not needed.
func (t *Table) prune(rows []mirror.Row) {
	type entry struct {
		key  string
		fact *pb.CrashFact
	}
	var inForce []entry
	var remove []string
	for _, row := range rows {
		fact := &pb.CrashFact{}
		if err := proto.Unmarshal(row.Value, fact); err != nil || t.age(fact) >= scheduler.SuspectDuration {
			remove = append(remove, row.Key)
			continue
		}
		inForce = append(inForce, entry{row.Key, fact})
	}
	if excess := len(inForce) - maxRows; excess > 0 {
		slices.SortFunc(inForce, func(a, b entry) int {
			return cmp.Or(cmp.Compare(min(a.fact.GetCrashes(), 2), min(b.fact.GetCrashes(), 2)), cmp.Compare(a.fact.GetAtMs(), b.fact.GetAtMs()))
		})
		for _, e := range inForce[:excess] {
			remove = append(remove, e.key)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range remove {
		if _, ok := t.pending[key]; !ok {
			t.addLocked(key, change{at: time.Now()})
		}
	}
}

// rowKey returns the key of a fact's row.
func rowKey(part bool, fingerprint uint64, target string) string {
	kind := "content"
	if part {
		kind = "part"
	}
	if len(target) > maxKeyTarget {
		target = fmt.Sprintf("%016x", xxhash.Sum64String(target))
	}
	return fmt.Sprintf("%s/%016x/%s", kind, fingerprint, target)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
