package broker

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
)

// GroupSettings is the configuration of a group.
type GroupSettings struct {
	Config  scheduler.GroupConfig
	Targets []scheduler.Target
	// Addresses holds the base URL of each target.
	Addresses map[string]string
}

// Source provides the settings of groups from the current configuration.
type Source interface {
	// Group returns false for a pool that is not configured.
	Group(key GroupKey) (GroupSettings, bool)
	// Weight returns the share of a workspace within a tier.
	Weight(workspace string) float64
}

// Hooks connects the groups with the rest of the fleet. Nil hooks are ignored.
type Hooks struct {
	// RequestFloor asks the broker of a sibling group to refuse the tiers above
	// highest. A nil error is its acknowledgement.
	RequestFloor func(ctx context.Context, sibling GroupKey, from int, highest scheduler.Rank, valid time.Duration) error
	// OnQuarantine sends suspects, quarantined fingerprints and suspects that were served to
	// the other instances.
	OnQuarantine func([]scheduler.CrashEvidence)
	// OnDecision receives every decision on a ticket. The group waits until it returns.
	OnDecision func(TracedDecision)
}

// Manager runs the groups that this instance owns.
type Manager struct {
	self     string
	resolver Resolver
	source   Source
	hooks    Hooks
	log      *zap.Logger

	mu      sync.Mutex
	runners map[GroupKey]*runner
	// quarantine holds the reported suspects and quarantined fingerprints for groups
	// that start later.
	quarantine *scheduler.Quarantine
	// external is the last load passed to SetExternalLoad, for groups that start later.
	external externalLoad
	ctx      context.Context
	wg       sync.WaitGroup
	poller   *poller
}

// NewManager returns a Manager whose groups stop when ctx ends. Without reports the
// groups assess their targets only by their requests and by SetExternalLoad.
func NewManager(ctx context.Context, self string, resolver Resolver, source Source, reports Reports, hooks Hooks, log *zap.Logger) *Manager {
	return &Manager{
		self:       self,
		resolver:   resolver,
		source:     source,
		hooks:      hooks,
		log:        log,
		runners:    make(map[GroupKey]*runner),
		quarantine: scheduler.NewQuarantine(),
		ctx:        ctx,
		poller:     &poller{reports: reports},
	}
}

// TraceDecisions sets the OnDecision hook of groups that start later.
func (m *Manager) TraceDecisions(hook func(TracedDecision)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hooks.OnDecision = hook
}

// Join opens a session for an entry. It returns a *NotOwnerError if another
// instance owns the group.
func (m *Manager) Join(hello *pb.Hello) (*Session, error) {
	key := GroupKey{Pool: hello.GetPool(), Shard: int(hello.GetShard())}
	owner, ok := m.resolver.Owner(key)
	if !ok || owner.Name != m.self {
		return nil, &NotOwnerError{Key: key, Owner: owner.Name}
	}
	r, err := m.runner(key)
	if err != nil {
		return nil, err
	}
	return m.joinRunner(r, hello)
}

func (m *Manager) joinRunner(r *runner, hello *pb.Hello) (*Session, error) {
	s := &Session{hello: hello, runner: r, out: make(chan *pb.TicketsResponse, sessionQueue)}
	s.ctx, s.close = context.WithCancel(r.ctx)
	ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
	defer cancel()
	if err := r.post(ctx, r.join(s)); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// runner returns the runner of a group and starts it if needed.
func (m *Manager) runner(key GroupKey) (*runner, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.runners[key]; ok {
		return r, nil
	}
	if m.ctx.Err() != nil {
		return nil, m.ctx.Err()
	}
	settings, ok := m.source.Group(key)
	if !ok {
		return nil, &NotOwnerError{Key: key}
	}
	ctx, cancel := context.WithCancel(m.ctx)
	r := &runner{
		key:           key,
		group:         scheduler.NewGroup(settings.Config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		events:        make(chan event, eventQueue),
		sessions:      make(map[entryKey]*Session),
		versions:      make(map[string][]string),
		spans:         make(spans),
		missedReports: make(map[string]int),
		weight:        m.source.Weight,
		forecast:      publisher{enabled: settings.Config.Overload.Enabled},
		hooks:         m.hooks,
		trace:         newTracer(key, m.hooks.OnDecision),
		log:           m.log.With(zap.Stringer(field.Group, key)),
		done:          make(chan struct{}),
		ctx:           ctx,
		cancel:        cancel,
	}
	r.progressed.Store(time.Now().UnixNano())
	m.runners[key] = r
	r.events <- r.refresh(settings, m.siblingOwners(key, settings))
	r.events <- r.setQuarantined(m.quarantine.Entries(time.Now()))
	r.events <- r.setExternalLoad(m.external)
	m.wg.Go(func() { r.run(ctx) })
	if m.poller.reports != nil {
		m.wg.Go(func() { m.poller.run(ctx, r, func() []PollTarget { return m.pollTargets(key) }) })
	}
	r.log.Info("broker role taken")
	return r, nil
}

// Refresh updates the groups' targets from the current configuration and stops the
// groups that this instance no longer owns.
func (m *Manager) Refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, r := range m.runners {
		owner, _ := m.resolver.Owner(key)
		settings, ok := m.source.Group(key)
		if !ok || owner.Name != m.self {
			r.log.Info("broker role released", zap.String(field.Owner, owner.Name))
			r.cancel()
			delete(m.runners, key)
			continue
		}
		// A runner whose queue is full gets its targets at the next refresh.
		select {
		case r.events <- r.refresh(settings, m.siblingOwners(key, settings)):
		default:
		}
	}
}

// siblingOwners returns the owner of each sibling group.
func (m *Manager) siblingOwners(key GroupKey, settings GroupSettings) map[int]string {
	owners := make(map[int]string, len(settings.Config.Siblings))
	for _, shard := range settings.Config.Siblings {
		owner, _ := m.resolver.Owner(GroupKey{Pool: key.Pool, Shard: shard})
		owners[shard] = owner.Name
	}
	return owners
}

// AcceptFloor makes a group refuse the tiers above highest at the request of a
// sibling. It starts the group if this instance owns it, so that the floor applies
// to the group's first ticket. Otherwise it returns a *NotOwnerError.
func (m *Manager) AcceptFloor(ctx context.Context, key GroupKey, from int, highest scheduler.Rank, valid time.Duration) error {
	owner, ok := m.resolver.Owner(key)
	if !ok || owner.Name != m.self {
		return &NotOwnerError{Key: key, Owner: owner.Name}
	}
	r, err := m.runner(key)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	err = r.post(ctx, func(now time.Time) []scheduler.Decision {
		defer close(done)
		return r.group.AcceptFloor(now, from, highest, valid)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetQuarantined passes the suspects and quarantined fingerprints reported by other
// instances to all groups.
func (m *Manager) SetQuarantined(entries []scheduler.CrashEvidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.quarantine.Expire(now)
	m.quarantine.Merge(now, entries)
	for _, r := range m.runners {
		select {
		case r.events <- r.setQuarantined(entries):
		default: // the next call repeats the entries that are still in force
		}
	}
}

// PartsBegun tells all groups that a request with the parts in its prompt has begun to
// receive its response.
func (m *Manager) PartsBegun(parts []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, part := range parts {
		m.quarantine.RecordPartBegun(now, part)
	}
	for _, r := range m.runners {
		select {
		case r.events <- r.partsBegun(parts):
		default: // the next request that begins repeats it
		}
	}
}

// ExternalLoad is load on a target that the group has not granted.
type ExternalLoad struct {
	Running      int
	PromptTokens int
}

// EntryLoad is the load on the targets that shared brokers have granted to one entry, as
// the entry reports it.
type EntryLoad struct {
	Instance    string
	Incarnation uint64
	// ReportedAt is when the report was received.
	ReportedAt time.Time
	Targets    map[string]ExternalLoad
}

func (e EntryLoad) id() scheduler.EntryID {
	return scheduler.EntryID{Instance: e.Instance, Incarnation: e.Incarnation}
}

// externalLoad is the load that a group does not learn from its sessions.
type externalLoad struct {
	// targets is the load that no broker granted, by target.
	targets map[string]ExternalLoad
	// entries holds the load of each entry; it counts while the entry has no session.
	entries []EntryLoad
}

// SetExternalLoad passes the load that no broker granted, by target, and the granted load
// of each entry to all groups. A target that is in neither has none. A group counts the
// load of the entries that have no session with it: without it, the broker that takes over
// a group would grant the slots again that entries use which have not joined yet, and two
// brokers of one group would each grant all slots.
func (m *Manager) SetExternalLoad(targets map[string]ExternalLoad, entries []EntryLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.external = externalLoad{targets: targets, entries: entries}
	for _, r := range m.runners {
		select {
		case r.events <- r.setExternalLoad(m.external):
		default: // the next call has newer counts
		}
	}
}

// GroupStatus is the state of a group that this instance runs.
type GroupStatus struct {
	Key     GroupKey
	Targets []scheduler.TargetStatus
	Waiting []scheduler.TierStatus
	// ColdTargets is the number of cold targets, ColdGrants that of the grants to cold targets.
	ColdTargets int
	ColdGrants  int64
	// Forecast holds the tiers in which new tickets are expected to wait.
	Forecast []scheduler.TierForecast
	// Spill holds the shares in force, by pair of zones.
	Spill map[scheduler.RegionPair]float64
}

// Status returns the state of all groups that this instance runs.
func (m *Manager) Status(ctx context.Context) []GroupStatus {
	m.mu.Lock()
	runners := slices.Collect(maps.Values(m.runners))
	m.mu.Unlock()
	var all []GroupStatus
	for _, r := range runners {
		reply := make(chan GroupStatus, 1)
		err := r.post(ctx, func(now time.Time) []scheduler.Decision {
			status := GroupStatus{Key: r.key, Targets: r.group.Snapshot(), Waiting: r.group.Waiting(), Forecast: r.group.Forecast(now), Spill: r.group.SpillShares()}
			status.ColdTargets, status.ColdGrants = r.group.ColdCounts(now)
			reply <- status
			return nil
		})
		if err != nil {
			continue // the group has stopped
		}
		select {
		case status := <-reply:
			all = append(all, status)
		case <-r.done:
		case <-ctx.Done():
		}
	}
	return all
}

// Wait blocks until all groups have stopped.
func (m *Manager) Wait() { m.wg.Wait() }

func (m *Manager) pollTargets(key GroupKey) []PollTarget {
	settings, ok := m.source.Group(key)
	if !ok {
		return nil
	}
	targets := make([]PollTarget, 0, len(settings.Targets))
	for _, t := range settings.Targets {
		if !t.Service {
			targets = append(targets, PollTarget{Name: t.Name, Address: settings.Addresses[t.Name]})
		}
	}
	return targets
}

// TicketStream is the server side of PeerService.Tickets.
type TicketStream interface {
	Receive() (*pb.TicketsRequest, error)
	Send(*pb.TicketsResponse) error
}

// Serve handles one PeerService.Tickets stream until it ends.
func (m *Manager) Serve(ctx context.Context, stream TicketStream) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	if first.GetHello() == nil {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("the first message must name the sender"))
	}
	session, err := m.Join(first.GetHello())
	var notOwner *NotOwnerError
	if errors.As(err, &notOwner) {
		return stream.Send(&pb.TicketsResponse{NotBroker: notOwner.Owner})
	}
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	if err := session.Send(first); err != nil {
		return err
	}
	var sending sync.WaitGroup
	sending.Go(func() { sendAll(ctx, stream, session) })
	receiveAll(stream, session)
	session.close()
	sending.Wait()
	return nil
}

// receiveAll passes on requests until the entry ends the stream. The handler must not
// return earlier, because connect's interceptors use the stream afterwards. Requests
// that arrive after the end of the session are dropped; sendAll has asked the entry to
// close the stream.
func receiveAll(stream TicketStream, session *Session) {
	for {
		request, err := stream.Receive()
		if err != nil {
			return
		}
		_ = session.Send(request)
	}
}

// unknownOwner is sent as the owner if the entry must find the owner itself.
const unknownOwner = "unknown"

// sendAll sends responses until the session ends, and then asks the entry to close
// the stream. An error of the stream ends receiveAll too.
func sendAll(ctx context.Context, stream TicketStream, session *Session) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-session.ctx.Done():
			_ = stream.Send(&pb.TicketsResponse{NotBroker: unknownOwner})
			return
		case response := <-session.out:
			if err := stream.Send(response); err != nil {
				return
			}
		}
	}
}
