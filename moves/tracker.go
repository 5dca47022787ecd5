package moves

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// checkInterval bounds how often the samples of one move are judged, because a
// verdict reads all counters of the move.
const checkInterval = 100 * time.Millisecond

// hashBits is the number of bits of a request id's hash that select its side.
const hashBits = 53

// TrackerSettings is what a Tracker works with.
type TrackerSettings struct {
	Instance    string
	Incarnation uint64
	Now         func() time.Time
	// OnStop is called once for each stop that this instance issues. It must not
	// block and not call the tracker.
	OnStop func(*pb.MoveStop)
}

// Tracker is an instance's view of the moves in progress. It chooses versions and
// stops a bad one. It is safe for concurrent use.
type Tracker struct {
	settings TrackerSettings
	recorder *Recorder

	mu         sync.RWMutex
	generation int64
	byRoute    map[string]*pb.Move
	byName     map[string]*pb.Move
	progress   map[string]*pb.MoveProgress
	stops      map[string]*pb.MoveStop
	local      map[string]bool
	checked    map[string]time.Time
}

// NewTracker returns a tracker without moves.
func NewTracker(settings TrackerSettings) *Tracker {
	return &Tracker{
		settings: settings,
		recorder: NewRecorder(settings.Instance, settings.Incarnation),
		progress: map[string]*pb.MoveProgress{},
		stops:    map[string]*pb.MoveStop{},
		local:    map[string]bool{},
		checked:  map[string]time.Time{},
	}
}

// SetMoves takes the moves of a configuration generation. Progress and stops of
// moves that were removed are forgotten; a lower generation is ignored.
func (t *Tracker) SetMoves(generation int64, moves []*pb.Move) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation < t.generation {
		return
	}
	t.generation = generation
	removed := t.byName
	t.byRoute, t.byName = map[string]*pb.Move{}, map[string]*pb.Move{}
	for _, m := range moves {
		t.byRoute[m.GetRoute()] = m
		t.byName[m.GetName()] = m
	}
	for name := range removed {
		if t.byName[name] == nil {
			delete(t.progress, name)
		}
	}
	for name, stop := range t.stops {
		if t.byName[name] == nil && stop.GetGeneration() < generation {
			delete(t.stops, name)
			delete(t.local, name)
		}
	}
}

// SetProgress takes what a row says. The higher row version holds.
func (t *Tracker) SetProgress(p *pb.MoveProgress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.progress[p.GetMove()]; known == nil || p.GetRowVersion() > known.GetRowVersion() {
		t.progress[p.GetMove()] = clone(p)
	}
}

// Progress returns the latest known progress of all moves.
func (t *Tracker) Progress() []*pb.MoveProgress {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return clones(t.progress)
}

// SetStop takes a stop issued by any instance. It holds for as long as a
// configuration has the move, whatever the row says later.
func (t *Tracker) SetStop(stop *pb.MoveStop) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stops[stop.GetMove()] == nil {
		t.stops[stop.GetMove()] = clone(stop)
	}
}

// Stops returns all known stops.
func (t *Tracker) Stops() []*pb.MoveStop {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return clones(t.stops)
}

// Stop returns the reason of the stop of a move.
func (t *Tracker) Stop(move string) (reason string, stopped bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	stop := t.stops[move]
	return stop.GetReason(), stop != nil
}

// StoppedLocally reports whether this instance issued the stop of a move.
func (t *Tracker) StoppedLocally(move string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.local[move]
}

func clones[M proto.Message](all map[string]M) []M {
	out := make([]M, 0, len(all))
	for _, m := range all {
		out = append(out, clone(m))
	}
	return out
}

// Choose returns the version for a request on a route. The hash of the request id
// selects the side, so a request that is on the new version stays there when the
// share rises. Without a move it is the version of the route.
func (t *Tracker) Choose(route *pb.Route, requestID string) string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	move := t.byRoute[route.GetName()]
	if move == nil {
		return route.GetVersion()
	}
	if position(requestID) < t.share(move) {
		return move.GetTo()
	}
	return move.GetFrom()
}

// position maps a request id evenly to 0 to 100.
func position(requestID string) float64 {
	hash := xxhash.Sum64String(requestID) >> (64 - hashBits)
	return float64(hash) / (1 << hashBits) * fullSharePercent
}

// Share returns the share of a move's new version in percent.
func (t *Tracker) Share(move string) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if m := t.byName[move]; m != nil {
		return t.share(m)
	}
	return 0
}

func (t *Tracker) share(move *pb.Move) float64 {
	if t.stops[move.GetName()] != nil {
		return 0
	}
	progress := t.progress[move.GetName()]
	if progress.GetDefinition() != Definition(move) {
		return 0
	}
	switch progress.GetPhase() {
	case pb.MovePhase_MOVE_PHASE_CANARY:
		return min(progress.GetSharePercent(), Steps(move)[0])
	case pb.MovePhase_MOVE_PHASE_STEPPING:
		return progress.GetSharePercent()
	case pb.MovePhase_MOVE_PHASE_DONE:
		return fullSharePercent
	default:
		return 0
	}
}

// Allowed reports whether a version may still be dispatched to on a route.
func (t *Tracker) Allowed(route *pb.Route, version string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	move := t.byRoute[route.GetName()]
	return move == nil || version != move.GetTo() || t.share(move) > 0
}

// Observe counts a sample and stops the new version of its route if it is bad.
// Samples of moves that have ended are not evidence.
func (t *Tracker) Observe(s Sample) {
	t.mu.RLock()
	move := t.byRoute[s.Route]
	ended := Terminal(t.progress[move.GetName()].GetPhase())
	t.mu.RUnlock()
	if move == nil || ended || (s.Version != move.GetFrom() && s.Version != move.GetTo()) {
		return
	}
	now := t.settings.Now()
	t.recorder.Add(now, move.GetName(), s)
	if s.Version == move.GetTo() {
		t.check(now, move)
	}
}

// Merge takes evidence of other instances.
func (t *Tracker) Merge(counters []*pb.EvidenceCounter) {
	t.recorder.Merge(t.settings.Now(), counters)
}

// Tick judges all moves and drops old evidence. It is to be called about twice a second.
func (t *Tracker) Tick() {
	now := t.settings.Now()
	t.mu.RLock()
	byName := t.byName
	t.mu.RUnlock()
	for _, move := range byName {
		t.check(now, move)
	}
	t.recorder.Trim(now, func(name string) bool { return byName[name] != nil })
}

// check stops a move at once if all evidence known here shows clear badness.
func (t *Tracker) check(now time.Time, move *pb.Move) {
	if !t.due(now, move.GetName()) {
		return
	}
	from := t.recorder.Series(move.GetName(), move.GetFrom())
	to := t.recorder.Series(move.GetName(), move.GetTo())
	reason, bad := Regressed(move, from, to)
	if !bad {
		return
	}
	if stop := t.issue(move.GetName(), reason); stop != nil && t.settings.OnStop != nil {
		t.settings.OnStop(stop)
	}
}

func (t *Tracker) due(now time.Time, move string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stops[move] != nil || !Serving(t.progress[move].GetPhase()) {
		return false
	}
	if now.Sub(t.checked[move]) < checkInterval {
		return false
	}
	t.checked[move] = now
	return true
}

func (t *Tracker) issue(move, reason string) *pb.MoveStop {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stops[move] != nil {
		return nil
	}
	stop := &pb.MoveStop{Move: move, Reason: reason, Generation: t.generation}
	t.stops[move] = stop
	t.local[move] = true
	return clone(stop)
}

// Series returns the evidence of a version of a move.
func (t *Tracker) Series(move, version string) Series { return t.recorder.Series(move, version) }

// Counters returns the counters of windows from the given one on: this instance's
// own, or all that it knows.
func (t *Tracker) Counters(from int64, all bool) []*pb.EvidenceCounter {
	return t.recorder.Counters(from, all)
}
