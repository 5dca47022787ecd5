package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/storage"
)

// Timing and bounds of the exchange.
const (
	// GossipInterval is the time between periodic exchanges.
	GossipInterval = time.Second
	// CallTimeout bounds one exchange.
	CallTimeout = time.Second
	// ProbeTimeout bounds the call that a helper makes for an indirect probe. It
	// is shorter than CallTimeout so that the response still reaches the requester.
	ProbeTimeout = 500 * time.Millisecond
	// ReprobeInterval is the mean time between probes of unreachable instances.
	ReprobeInterval = 5 * time.Second
	// ListInterval is the mean time between reads of the platform's list.
	ListInterval = 10 * time.Second
	// IsolatedListInterval replaces ListInterval while no other instance is live in
	// the view. This happens to an instance that started before the lagging list
	// contained the others.
	IsolatedListInterval = GossipInterval
	// ListTimeout bounds one read of the platform's list.
	ListTimeout = 5 * time.Second
	// FullViewInterval is the shortest time between two full views that an instance
	// sends because of differing hashes.
	FullViewInterval = 30 * time.Second
	// UrgentFanout is the number of peers that an urgent fact is sent to.
	UrgentFanout = 4
	// UrgentInterval is the shortest time between urgent messages. Facts that arrive
	// within it share one message, which bounds the cost when many instances fail.
	UrgentInterval = 100 * time.Millisecond
	// IndirectProbes is the number of peers asked for an indirect probe.
	IndirectProbes = 2
	// FullViewMismatches is the number of consecutive differing hashes after
	// which the full view is sent. While a change spreads, a few hashes always differ.
	FullViewMismatches = 5
	// EvidenceWindow is the length of an evidence window.
	EvidenceWindow = 5 * time.Second
	// EvidenceWindows is the number of past windows that are kept.
	EvidenceWindows = 180
	// QuarantineExpiryTolerance is the increase of an expiry that does not count as a
	// change. Validity is sent as a remaining time, so each hop adds its delay.
	QuarantineExpiryTolerance = time.Second

	maxCalls = 16
)

// Transport sends an exchange to the instance at an address.
type Transport interface {
	Exchange(ctx context.Context, address string, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error)
}

// Options configure an Exchanger.
type Options struct {
	Self      Instance
	Transport Transport
	List      storage.InstanceList // optional
	Rand      *rand.Rand
	Logger    *zap.Logger // optional
}

// PeerGeneration is a configuration generation of a peer that is higher than the
// instance's own.
type PeerGeneration struct {
	Generation int64
	Hash       string
	Peer       Instance // holds the content
}

// Subscription delivers the latest value of each kind of change. An unread
// value is replaced by a newer one.
type Subscription struct {
	View       <-chan []Instance
	Generation <-chan PeerGeneration
	Facts      <-chan Snapshot

	view       chan []Instance
	generation chan PeerGeneration
	facts      chan Snapshot
}

// Exchanger synchronizes the view and the facts with the other instances. Run
// drives it; all other methods are safe for concurrent use.
type Exchanger struct {
	transport        Transport
	list             storage.InstanceList
	logger           *zap.Logger
	wake             chan struct{}      // holds one token while urgent records are pending
	calls            chan struct{}      // bounds concurrent outgoing calls
	fullViewRequests chan Instance      // peers that requested the full view
	reports          chan failureReport // instances to probe immediately
	running          sync.WaitGroup

	mu                 sync.Mutex
	rng                *rand.Rand
	view               *View
	facts              *Facts
	queue              sendQueue
	urgent             []recordKey
	generation         int64
	configHash         string
	mismatches         int // consecutive hashes of peers that differed
	lastFullView       time.Time
	sendingFullView    bool   // a full view is being sent or waits in fullViewRequests
	synced             bool   // the hash has matched a peer's at least once
	announceGeneration bool   // this instance's generation is to be sent immediately
	publishedHash      uint64 // hash of the view last sent to subscribers
	subs               []*Subscription
}

// New returns an Exchanger whose view holds only its own instance.
func New(options Options) *Exchanger {
	logger := options.Logger
	if logger == nil {
		logger = zap.NewNop()
	}
	e := &Exchanger{
		transport:        options.Transport,
		list:             options.List,
		logger:           logger,
		wake:             make(chan struct{}, 1),
		calls:            make(chan struct{}, maxCalls),
		fullViewRequests: make(chan Instance, 1),
		reports:          make(chan failureReport, maxCalls),
		rng:              options.Rand,
		view:             NewView(options.Self, time.Now()),
		facts:            NewFacts(),
		queue:            sendQueue{remaining: map[recordKey]int{}},
	}
	e.publishedHash = e.view.Hash()
	e.queueMember(options.Self.Name)
	return e
}

// Subscribe returns a new subscription, which lasts as long as the Exchanger.
func (e *Exchanger) Subscribe() *Subscription {
	s := &Subscription{
		view:       make(chan []Instance, 1),
		generation: make(chan PeerGeneration, 1),
		facts:      make(chan Snapshot, 1),
	}
	s.View, s.Generation, s.Facts = s.view, s.generation, s.facts
	e.mu.Lock()
	defer e.mu.Unlock()
	e.subs = append(e.subs, s)
	return s
}

// replace puts the latest value into a channel of capacity one. Callers hold
// the Exchanger's lock, so only one goroutine sends at a time.
func replace[T any](ch chan T, value T) {
	select {
	case <-ch:
	default:
	}
	ch <- value
}

// Live returns the instances that may own keys, in the order of their names.
func (e *Exchanger) Live() []Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Live()
}

// Owner selects the owner of a key as View.Owner does.
func (e *Exchanger) Owner(key, region string) (Instance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view.Owner(key, region)
}

// Facts returns a copy of all facts.
func (e *Exchanger) Facts() Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.facts.Snapshot()
}

// add runs a merge under the lock and publishes the facts if they changed.
func (e *Exchanger) add(merge func() bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if merge() {
		e.publishFacts()
	}
}

// AddLeaving sends a leaving target to peers immediately.
func (e *Exchanger) AddLeaving(l Leaving) { e.add(func() bool { return e.mergeLeaving(l) }) }

// AddStop sends a move stop to peers immediately.
func (e *Exchanger) AddStop(s Stop) { e.add(func() bool { return e.mergeStop(s) }) }

// AddProgress sends the state of a version move's row to peers immediately.
func (e *Exchanger) AddProgress(p Progress) { e.add(func() bool { return e.mergeProgress(p) }) }

// AddQuarantine sends a quarantine entry to peers immediately.
func (e *Exchanger) AddQuarantine(q Quarantine) { e.add(func() bool { return e.mergeQuarantine(q) }) }

// AddEvidence sends the instance's own counters with the periodic exchange.
func (e *Exchanger) AddEvidence(ev Evidence) { e.add(func() bool { return e.mergeEvidence(ev) }) }

// SetGeneration notifies peers immediately that the instance holds the content
// of a configuration generation. It ignores a generation that is not higher than
// the current one.
func (e *Exchanger) SetGeneration(generation int64, hash string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if generation <= e.generation {
		return
	}
	e.generation, e.configHash = generation, hash
	e.announceGeneration = true
	e.signalUrgent()
}

// ReportFailure requests immediate probes of an instance after a call outside
// the exchange got no response from it. If all probes fail, the instance becomes
// a suspect. If it is in another region, the instances there are probed too:
// after a region partition the next owner of a key would be unreachable as well.
func (e *Exchanger) ReportFailure(name string) {
	e.queueReport(failureReport{name: name, checkRegion: true})
}

// failureReport requests probes of an instance.
type failureReport struct {
	name        string
	checkRegion bool // if the instance fails, probe the other instances of its region too
}

func (e *Exchanger) queueReport(r failureReport) {
	select {
	case e.reports <- r:
	default: // the periodic exchange also detects the failure
	}
}

// Leave marks the instance as leaving, notifies peers and returns once they have
// responded or ctx ends.
func (e *Exchanger) Leave(ctx context.Context) {
	e.mu.Lock()
	e.view.Leave(time.Now())
	key := recordKey{kind: kindMember, name: e.view.Self().Name}
	e.queue.add(key, sendsPerChange(len(e.view.Live())))
	e.publishView()
	e.mu.Unlock()
	var sent sync.WaitGroup
	for _, call := range e.pushes(ctx, []recordKey{key}) {
		sent.Go(call)
	}
	sent.Wait()
}

// Run exchanges with peers until ctx ends and returns after its calls have ended.
func (e *Exchanger) Run(ctx context.Context) {
	defer e.running.Wait()
	round := time.NewTimer(e.jitter(GossipInterval) / 2)
	reprobe := time.NewTimer(0)
	list := time.NewTimer(0)
	pause := time.NewTimer(0)
	var wake <-chan struct{} // nil during the pause after an urgent message
	defer round.Stop()
	defer reprobe.Stop()
	defer list.Stop()
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-round.C:
			round.Reset(GossipInterval)
			e.round(ctx)
		case <-reprobe.C:
			reprobe.Reset(e.jitter(e.reprobe(ctx)))
		case <-list.C:
			list.Reset(e.jitter(e.listInterval()))
			e.start(func() { e.readList(ctx) })
		case peer := <-e.fullViewRequests:
			if !e.start(func() { e.sendFullView(ctx, peer, false) }) {
				e.endFullView()
			}
		case r := <-e.reports:
			e.start(func() { e.checkReported(ctx, r) })
		case <-pause.C:
			wake = e.wake
		case <-wake:
			wake = nil
			pause.Reset(UrgentInterval)
			e.pushUrgent(ctx)
		}
	}
}

// hash covers the view and those facts that a full view synchronizes.
func (e *Exchanger) hash() uint64 { return e.view.Hash() ^ e.facts.Hash() }

// jitter returns a random interval of half to one and a half times the mean.
func (e *Exchanger) jitter(mean time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return mean/2 + time.Duration(e.rng.Int64N(int64(mean)))
}

// start runs a call in the background and reports false if too many are running.
func (e *Exchanger) start(call func()) bool {
	select {
	case e.calls <- struct{}{}:
	default:
		return false
	}
	e.running.Go(func() {
		defer func() { <-e.calls }()
		call()
	})
	return true
}
