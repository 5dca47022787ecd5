package rollout

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/basilloom/basilloom/evidence"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// Tracker is one instance's view of the moves: which version its requests use and
// what it and its peers have observed of each version.
type Tracker struct {
	// readySlots returns the number of ready slots of each version of a service.
	readySlots func(service string) map[string]int
	// now returns the current time.
	now func() time.Time

	mu    sync.Mutex
	moves map[string]*move
	peers map[string]peerCounts
}

type move struct {
	order Order
	phase Phase
	// shiftedAt is when this instance learned of phase Shifted.
	shiftedAt time.Time
	// stopReason is set once this instance has found that the new version is worse.
	stopReason  string
	local       map[uint32]*versionCounts
	fromRunning int
	// seenAt is when this instance learned of the order.
	seenAt time.Time
	// sent and sentToNew count the requests that all instances have sent since then, as far
	// as this instance knows.
	sent, sentToNew uint64
	history         history
}

// versionCounts holds this instance's responses of one route by version.
type versionCounts struct{ from, to responseCount }

type responseCount struct {
	sent, responses, failures uint64
	// first are the times to the first event or the response, intervals the mean times
	// between the events of a stream.
	first, intervals evidence.Times
}

type peerCounts struct {
	incarnation uint64
	counts      []*pb.VersionCount
}

// NewTracker returns a tracker without moves.
func NewTracker(readySlots func(service string) map[string]int) *Tracker {
	return &Tracker{readySlots: readySlots, now: time.Now, moves: make(map[string]*move), peers: make(map[string]peerCounts)}
}

// SetOrders replaces the orders. A new order starts in phase Canary.
func (t *Tracker) SetOrders(orders []Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]*move, len(orders))
	for _, o := range orders {
		m, ok := t.moves[o.Service]
		if !ok || m.order.ID != o.ID {
			m = &move{order: o, phase: Canary, seenAt: t.now(), local: make(map[uint32]*versionCounts)}
		}
		kept[o.Service] = m
	}
	t.moves = kept
}

// SetPhase applies the fleet's decision on an order.
func (t *Tracker) SetPhase(service string, id int64, phase Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.order.ID != id || m.phase.Ended() || (m.phase == Shifted && phase == Canary) {
		return
	}
	if phase == Shifted && m.phase != Shifted {
		m.shiftedAt = t.now()
	}
	m.phase = phase
}

// Active returns the orders that have not ended.
func (t *Tracker) Active() []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	var active []Order
	for _, m := range t.moves {
		if !m.phase.Ended() {
			active = append(active, m.order)
		}
	}
	return active
}

// Age is the time since this instance learned of an order, 0 for an unknown one.
func (t *Tracker) Age(order Order) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[order.Service]
	if !ok || m.order.ID != order.ID {
		return 0
	}
	return t.now().Sub(m.seenAt)
}

// Orders returns all orders with their phases, ended ones included.
func (t *Tracker) Orders() map[Order]Phase {
	t.mu.Lock()
	defer t.mu.Unlock()
	orders := make(map[Order]Phase, len(t.moves))
	for _, m := range t.moves {
		orders[m.order] = m.phase
	}
	return orders
}

// Choose returns the version for a request of the service; empty means any. A retry
// avoids the new version until all requests go to it.
func (t *Tracker) Choose(service string, retry bool) string {
	return t.ChooseWithin(service, retry, t.readySlots)
}

// ChooseWithin is Choose for a request that may use a part of the targets only. allowed
// returns the ready slots of each version in that part.
func (t *Tracker) ChooseWithin(service string, retry bool, allowed func(service string) map[string]int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.phase == Done {
		return ""
	}
	from := t.oldVersion(m, allowed)
	newReady := allowed(service)[m.order.To] > 0
	switch {
	case from == "" && (m.stopReason != "" || m.phase == RolledBack):
		return noVersion
	case from == "":
		return ""
	case m.stopReason != "" || m.phase == RolledBack || !newReady:
		return from
	}
	share := m.share(t.now())
	if share == 1 || (!retry && rand.Float64() < share) {
		return m.order.To
	}
	return from
}

// Fallback returns the version for a request that the targets of the chosen version
// cannot take, or the chosen version if there is no other. While a move is in progress,
// the targets of the old version still run.
func (t *Tracker) Fallback(service, chosen string) string {
	return t.FallbackWithin(service, chosen, t.readySlots)
}

// FallbackWithin is Fallback for a request that may use a part of the targets only.
func (t *Tracker) FallbackWithin(service, chosen string, allowed func(service string) map[string]int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.phase.Ended() || chosen != m.order.To {
		return chosen
	}
	if from := t.oldVersion(m, allowed); from != "" {
		return from
	}
	return chosen
}

// oldVersion returns the old version with the most slots among the allowed targets, or among
// all targets if the allowed ones run the new version only. A request is then refused
// rather than sent to the new version beyond its share.
func (t *Tracker) oldVersion(m *move, allowed func(service string) map[string]int) string {
	if from := mainVersion(allowed(m.order.Service), m.order.To); from != "" {
		return from
	}
	return mainVersion(t.readySlots(m.order.Service), m.order.To)
}

// share returns the new version's share of new requests.
func (m *move) share(now time.Time) float64 {
	switch {
	case m.phase != Shifted:
		return m.canaryShare(now)
	case now.Sub(m.shiftedAt) < rampTime:
		return rampShare
	}
	return 1
}

func (m *move) canaryShare(now time.Time) float64 {
	elapsed := now.Sub(m.seenAt)
	if m.sentToNew >= initialRequests || elapsed < minRateTime {
		return CanaryShare
	}
	rate := float64(m.sent) / elapsed.Seconds()
	return max(CanaryShare, min(initialRate/rate, maxInitialShare))
}

// noVersion matches no target. It keeps requests from a rolled-back version when
// there are no targets of another version.
const noVersion = "\x00none"

// mainVersion returns the version with the most slots, other than the new one.
func mainVersion(readySlots map[string]int, to string) string {
	best := ""
	for version, slots := range readySlots {
		if version == to || slots == 0 {
			continue
		}
		if best == "" || slots > readySlots[best] || (slots == readySlots[best] && version < best) {
			best = version
		}
	}
	return best
}

// Allowed reports whether a request may still be sent to a target of the version.
func (t *Tracker) Allowed(service, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	return !ok || version != m.order.To || (m.stopReason == "" && m.phase != RolledBack)
}

// Begin records a send to a target of the version. The caller calls the returned
// function when the request ends.
func (t *Tracker) Begin(service string, route uint32, version string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.phase.Ended() {
		return func() {}
	}
	m.counts(route, version).sent++
	m.sent++
	if version == m.order.To {
		m.sentToNew++
		return func() {}
	}
	m.fromRunning++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		m.fromRunning--
	}
}

// ObserveEnd records the end of a request that a version ran.
func (t *Tracker) ObserveEnd(service string, route uint32, version string, failed bool) {
	t.observe(service, route, version, func(r *responseCount) {
		r.responses++
		if failed {
			r.failures++
		}
	})
}

// ObserveTime records the time to the first event or the response of a version. It is
// recorded before the end of a stream, so that a slow version shows within its first
// requests.
func (t *Tracker) ObserveTime(service string, route uint32, version string, responseTime time.Duration) {
	t.observe(service, route, version, func(r *responseCount) {
		r.first.Add(responseTime)
	})
}

// ObserveGap records the mean time between the events of a stream of a version.
func (t *Tracker) ObserveGap(service string, route uint32, version string, gap time.Duration) {
	t.observe(service, route, version, func(r *responseCount) { r.intervals.Add(gap) })
}

func (t *Tracker) observe(service string, route uint32, version string, record func(*responseCount)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.phase.Ended() {
		return
	}
	record(m.counts(route, version))
}

// counts returns this instance's counts of a version on a route.
func (m *move) counts(route uint32, version string) *responseCount {
	c, ok := m.local[route]
	if !ok {
		c = &versionCounts{}
		m.local[route] = c
	}
	if version == m.order.To {
		return &c.to
	}
	return &c.from
}

// Report returns this instance's counts of the moves that have not ended.
func (t *Tracker) Report() []*pb.VersionCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	var report []*pb.VersionCount
	for _, m := range t.moves {
		if m.phase.Ended() {
			continue
		}
		running := uint32(m.fromRunning)
		for route, c := range m.local {
			report = append(report, &pb.VersionCount{
				Order: m.order.ID, Route: route, From: c.from.message(), To: c.to.message(), FromRunning: running,
			})
			running = 0
		}
	}
	return report
}

func (r responseCount) message() *pb.AnswerCount {
	first, intervals := r.first.Message(), r.intervals.Message()
	return &pb.AnswerCount{
		Sent: r.sent, Answers: r.responses, Failures: r.failures,
		Timed: uint64(first.GetCount()), TimeLogSum: uint64(first.GetLogSum()), TimeLogSquareSum: uint64(first.GetLogSquareSum()),
		Gaps: uint64(intervals.GetCount()), GapLogSum: uint64(intervals.GetLogSum()), GapLogSquareSum: uint64(intervals.GetLogSquareSum()),
	}
}

// totals decodes the counts of a report.
func totals(c *pb.AnswerCount) evidence.Totals {
	times := func(count, logSum, logSquareSum uint64) evidence.Times {
		return evidence.DecodeTimes(&pb.TimeSums{Count: int64(count), LogSum: int64(logSum), LogSquareSum: int64(logSquareSum)})
	}
	return evidence.Totals{
		Requests: int64(c.GetAnswers()), Failures: int64(c.GetFailures()),
		First:     times(c.GetTimed(), c.GetTimeLogSum(), c.GetTimeLogSquareSum()),
		Intervals: times(c.GetGaps(), c.GetGapLogSum(), c.GetGapLogSquareSum()),
	}
}

// SetPeer stores the counts reported by a peer.
func (t *Tracker) SetPeer(name string, incarnation uint64, counts []*pb.VersionCount) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.peers[name]; incarnation >= known.incarnation && (len(counts) > 0 || len(known.counts) > 0) {
		t.peers[name] = peerCounts{incarnation: incarnation, counts: counts}
	}
}

// Observations are what all instances have observed for an order.
type Observations struct {
	// Routes is the evidence on each route since the order, Recent that of the last
	// recentTime, nil before that.
	Routes, Recent map[uint32]*evidence.Pair
	// FromRunning is the number of requests running on the old version.
	FromRunning int
}

// Observe sums the counts of all instances for an order.
func (t *Tracker) Observe(order Order) Observations {
	local := t.Report()
	t.mu.Lock()
	defer t.mu.Unlock()
	o := Observations{Routes: make(map[uint32]*evidence.Pair)}
	sent, sentToNew := uint64(0), uint64(0)
	add := func(counts []*pb.VersionCount) {
		for _, c := range counts {
			if c.GetOrder() != order.ID {
				continue
			}
			pair, ok := o.Routes[c.GetRoute()]
			if !ok {
				pair = &evidence.Pair{}
				o.Routes[c.GetRoute()] = pair
			}
			pair.From.Add(totals(c.GetFrom()))
			pair.To.Add(totals(c.GetTo()))
			o.FromRunning += int(c.GetFromRunning())
			sent += c.GetFrom().GetSent() + c.GetTo().GetSent()
			sentToNew += c.GetTo().GetSent()
		}
	}
	add(local)
	for _, p := range t.peers {
		add(p.counts)
	}
	if m, ok := t.moves[order.Service]; ok && m.order.ID == order.ID {
		m.sent, m.sentToNew = sent, sentToNew
		o.Recent = m.history.recent(t.now(), o.Routes)
	}
	return o
}

// StopIfRegressed stops the new version on this instance if the evidence shows a regression,
// without waiting for the fleet's decision. It returns the reason for a new stop.
func (t *Tracker) StopIfRegressed(order Order) (string, bool) {
	observed := t.Observe(order)
	reason, regressed := observed.regressed()
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[order.Service]
	if !regressed || !ok || m.order.ID != order.ID || m.stopReason != "" {
		return "", false
	}
	m.stopReason = reason
	return reason, true
}

// State returns the phase of an order and whether the new version has a ready target.
func (t *Tracker) State(order Order) (phase Phase, ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.moves[order.Service]; ok && m.order.ID == order.ID {
		phase = m.phase
	}
	return phase, t.readySlots(order.Service)[order.To] > 0
}
