package rollout

import (
	"math/rand/v2"
	"sync"
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// Tracker is one instance's view of the moves: which version its requests take
// and what it and its peers have seen of the versions.
type Tracker struct {
	// versions returns the ready slots of each version of a service.
	versions func(service string) map[string]int

	mu    sync.Mutex
	moves map[string]*move
	peers map[string]peerCounts
}

type move struct {
	order Order
	phase Phase
	// stopped is set once this instance has seen that the new version is bad.
	stopped     string
	own         map[uint32]*counts
	fromRunning int
}

// counts are this instance's answers of one route.
type counts struct{ from, to answers }

type answers struct {
	answers, failures uint64
	times             time.Duration
}

type peerCounts struct {
	incarnation uint64
	counts      []*pb.VersionCount
}

// NewTracker returns a tracker without moves.
func NewTracker(versions func(service string) map[string]int) *Tracker {
	return &Tracker{versions: versions, moves: make(map[string]*move), peers: make(map[string]peerCounts)}
}

// SetOrders replaces the orders. An order that is new begins as a canary.
func (t *Tracker) SetOrders(orders []Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]*move, len(orders))
	for _, o := range orders {
		m, ok := t.moves[o.Service]
		if !ok || m.order.ID != o.ID {
			m = &move{order: o, phase: Canary, own: make(map[uint32]*counts)}
		}
		kept[o.Service] = m
	}
	t.moves = kept
}

// SetPhase takes over the fleet's decision on an order.
func (t *Tracker) SetPhase(service string, id int64, phase Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.moves[service]; ok && m.order.ID == id && !m.phase.Ended() {
		m.phase = phase
	}
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

// Choose returns the version that a request of the service takes; empty means any.
// A request that is sent again avoids the version under trial.
func (t *Tracker) Choose(service string, again bool) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.phase == Done {
		return ""
	}
	versions := t.versions(service)
	from := mainVersion(versions, m.order.To)
	hasNew := versions[m.order.To] > 0
	switch {
	case from == "" && (m.stopped != "" || m.phase == RolledBack):
		return noVersion
	case from == "":
		return ""
	case m.stopped != "" || m.phase == RolledBack || !hasNew:
		return from
	case m.phase == Shifted:
		return m.order.To
	case !again && rand.Float64() < CanaryShare:
		return m.order.To
	default:
		return from
	}
}

// noVersion matches no target, so that a bad version gets nothing although no
// target of another version is left.
const noVersion = "\x00none"

// mainVersion returns the version other than the new one with most slots.
func mainVersion(versions map[string]int, to string) string {
	best := ""
	for version, slots := range versions {
		if version == to || slots == 0 {
			continue
		}
		if best == "" || slots > versions[best] || (slots == versions[best] && version < best) {
			best = version
		}
	}
	return best
}

// Allowed tells whether a request may still be sent to a target of the version.
func (t *Tracker) Allowed(service, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	return !ok || version != m.order.To || (m.stopped == "" && m.phase != RolledBack)
}

// Begin records a send to a target of the version and returns what ends it.
func (t *Tracker) Begin(service, version string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.phase.Ended() || version == m.order.To {
		return func() {}
	}
	m.fromRunning++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		m.fromRunning--
	}
}

// Observe records an answer of a version.
func (t *Tracker) Observe(service string, route uint32, version string, failed bool, first time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.phase.Ended() {
		return
	}
	c, ok := m.own[route]
	if !ok {
		c = &counts{}
		m.own[route] = c
	}
	a := &c.from
	if version == m.order.To {
		a = &c.to
	}
	a.answers++
	if failed {
		a.failures++
	} else {
		a.times += first
	}
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
		for route, c := range m.own {
			report = append(report, &pb.VersionCount{
				Order: m.order.ID, Route: route, From: c.from.message(), To: c.to.message(), FromRunning: running,
			})
			running = 0
		}
	}
	return report
}

func (a answers) message() *pb.AnswerCount {
	return &pb.AnswerCount{Answers: a.answers, Failures: a.failures, TimeMsSum: uint64(a.times.Milliseconds())}
}

// SetPeer takes over a peer's counts.
func (t *Tracker) SetPeer(name string, incarnation uint64, counts []*pb.VersionCount) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.peers[name]; incarnation >= known.incarnation && (len(counts) > 0 || len(known.counts) > 0) {
		t.peers[name] = peerCounts{incarnation: incarnation, counts: counts}
	}
}

// Evidence sums what all instances have seen of an order.
func (t *Tracker) Evidence(order Order) (routes map[uint32]*Evidence, fromRunning int) {
	own := t.Report()
	t.mu.Lock()
	defer t.mu.Unlock()
	routes = make(map[uint32]*Evidence)
	add := func(counts []*pb.VersionCount) {
		for _, c := range counts {
			if c.GetOrder() != order.ID {
				continue
			}
			e, ok := routes[c.GetRoute()]
			if !ok {
				e = &Evidence{}
				routes[c.GetRoute()] = e
			}
			addAnswers(e, c)
			fromRunning += int(c.GetFromRunning())
		}
	}
	add(own)
	for _, p := range t.peers {
		add(p.counts)
	}
	return routes, fromRunning
}

func addAnswers(e *Evidence, c *pb.VersionCount) {
	e.From.AddResponses(int64(c.GetFrom().GetAnswers()), int64(c.GetFrom().GetFailures()),
		time.Duration(c.GetFrom().GetTimeMsSum())*time.Millisecond)
	e.To.AddResponses(int64(c.GetTo().GetAnswers()), int64(c.GetTo().GetFailures()),
		time.Duration(c.GetTo().GetTimeMsSum())*time.Millisecond)
}

// Judge stops the new version at this instance if the evidence shows that it is
// bad, without waiting for the fleet's decision. It returns the reason of a new stop.
func (t *Tracker) Judge(order Order) (string, bool) {
	routes, _ := t.Evidence(order)
	reason, bad := Regressed(routes)
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[order.Service]
	if !bad || !ok || m.order.ID != order.ID || m.stopped != "" {
		return "", false
	}
	m.stopped = reason
	return reason, true
}

// State returns the phase of an order, and whether the new version has a ready target.
func (t *Tracker) State(order Order) (phase Phase, ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.moves[order.Service]; ok && m.order.ID == order.ID {
		phase = m.phase
	}
	return phase, t.versions(order.Service)[order.To] > 0
}
