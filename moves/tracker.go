package moves

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// checkInterval limits how often a move's evidence is checked, because a check reads
// all counters of the move.
const checkInterval = 100 * time.Millisecond

// hashBits is the number of hash bits of a request id that select the version.
const hashBits = 53

// TrackerSettings configures a Tracker.
type TrackerSettings struct {
	Instance    string
	Incarnation uint64
	Now         func() time.Time
	// OnStop is called once for each stop that this instance issues. It must not block
	// or call the tracker.
	OnStop func(*pb.MoveStop)
}

// Tracker is an instance's view of the moves in progress. It chooses versions and stops
// moves to a worse version. It is safe for concurrent use.
type Tracker struct {
	settings TrackerSettings
	recorder *Recorder

	mu         sync.RWMutex
	generation int64
	byRoute    map[string]*pb.Move
	byName     map[string]*pb.Move
	progress   map[string]*pb.MoveProgress
	stops      map[string]*pb.MoveStop
	// stoppedLocally holds the moves that this instance stopped.
	stoppedLocally map[string]bool
	// lastCheck is when the evidence of each move was last checked.
	lastCheck map[string]time.Time
}

// NewTracker returns a tracker without moves.
func NewTracker(settings TrackerSettings) *Tracker {
	return &Tracker{
		settings:       settings,
		recorder:       NewRecorder(settings.Instance, settings.Incarnation),
		progress:       map[string]*pb.MoveProgress{},
		stops:          map[string]*pb.MoveStop{},
		stoppedLocally: map[string]bool{},
		lastCheck:      map[string]time.Time{},
	}
}

// SetMoves sets the moves of a configuration generation and drops the progress and stops
// of removed moves. A lower generation is ignored.
func (t *Tracker) SetMoves(generation int64, moves []*pb.Move) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation < t.generation {
		return
	}
	t.generation = generation
	previous := t.byName
	t.byRoute, t.byName = map[string]*pb.Move{}, map[string]*pb.Move{}
	for _, m := range moves {
		t.byRoute[m.GetRoute()] = m
		t.byName[m.GetName()] = m
	}
	for name := range previous {
		if t.byName[name] == nil {
			delete(t.progress, name)
		}
	}
	for name, stop := range t.stops {
		if t.byName[name] == nil && stop.GetGeneration() < generation {
			delete(t.stops, name)
			delete(t.stoppedLocally, name)
		}
	}
}

// SetProgress applies the progress recorded in a row, unless a row version at least as
// high has been applied.
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

// SetStop applies a stop issued by any instance. The stop is in force as long as the
// configuration contains the move, whatever the row records later.
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

// Stop returns the reason for the stop of a move, and whether the move is stopped.
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
	return t.stoppedLocally[move]
}

func clones[M proto.Message](all map[string]M) []M {
	out := make([]M, 0, len(all))
	for _, m := range all {
		out = append(out, clone(m))
	}
	return out
}

// Choose returns the version for a request on a route: the route's version if there is
// no move. In a move the hash of the request id selects the version, so that a request
// on the new version stays there when the share increases.
func (t *Tracker) Choose(route *pb.Route, requestID string) string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	move := t.byRoute[route.GetName()]
	if move == nil {
		return route.GetVersion()
	}
	if hashPercent(requestID) < t.share(move) {
		return move.GetTo()
	}
	return move.GetFrom()
}

// hashPercent maps request ids evenly to the range from 0 to 100.
func hashPercent(requestID string) float64 {
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

// Allowed reports whether requests on a route may still be dispatched to a version.
func (t *Tracker) Allowed(route *pb.Route, version string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	move := t.byRoute[route.GetName()]
	return move == nil || version != move.GetTo() || t.share(move) > 0
}

// Observe counts a sample and stops the move of its route if the new version is worse.
// Samples of ended moves are ignored.
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

// Merge adds the evidence of other instances.
func (t *Tracker) Merge(counters []*pb.EvidenceCounter) {
	t.recorder.Merge(t.settings.Now(), counters)
}

// Tick checks all moves and removes old evidence. It should be called about twice a
// second.
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

// check stops a move immediately if the evidence received from all instances shows a
// clear regression.
func (t *Tracker) check(now time.Time, move *pb.Move) {
	if !t.startCheck(now, move.GetName()) {
		return
	}
	from := t.recorder.Series(move.GetName(), move.GetFrom())
	to := t.recorder.Series(move.GetName(), move.GetTo())
	reason, regressed := Regressed(move, from, to)
	if !regressed {
		return
	}
	if stop := t.issueStop(move.GetName(), reason); stop != nil && t.settings.OnStop != nil {
		t.settings.OnStop(stop)
	}
}

// startCheck reports whether a move is to be checked now, and records the check.
func (t *Tracker) startCheck(now time.Time, move string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stops[move] != nil || !Serving(t.progress[move].GetPhase()) {
		return false
	}
	if now.Sub(t.lastCheck[move]) < checkInterval {
		return false
	}
	t.lastCheck[move] = now
	return true
}

// issueStop records a stop by this instance, or returns nil if the move is already
// stopped.
func (t *Tracker) issueStop(move, reason string) *pb.MoveStop {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stops[move] != nil {
		return nil
	}
	stop := &pb.MoveStop{Move: move, Reason: reason, Generation: t.generation}
	t.stops[move] = stop
	t.stoppedLocally[move] = true
	return clone(stop)
}

// Series returns the evidence of a version of a move.
func (t *Tracker) Series(move, version string) Series { return t.recorder.Series(move, version) }

// Counters returns the counters from the given window on: those of this instance, or of
// all instances.
func (t *Tracker) Counters(from int64, all bool) []*pb.EvidenceCounter {
	return t.recorder.Counters(from, all)
}
