package broker

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Sizes and periods of a runner.
const (
	// eventQueue is the number of events that a runner queues, sessionQueue the number
	// of responses that a session or a link queues.
	eventQueue   = 1024
	sessionQueue = 256
	tickPeriod   = 20 * time.Millisecond
	// maxBatch bounds the events that are handled before decisions are sent.
	maxBatch = 128
	// floorTimeout bounds the wait for a sibling's acknowledgement.
	floorTimeout = 500 * time.Millisecond
	// pauseTolerance is the time beyond floorTimeout after which a failed request
	// indicates a pause of this process rather than an unreachable sibling.
	pauseTolerance = 250 * time.Millisecond
)

// event is handled by the runner's goroutine and returns decisions.
type event func(now time.Time) []scheduler.Decision

// runner owns one group's scheduler. All access to the group goes through its events,
// which a single goroutine handles.
type runner struct {
	key      GroupKey
	group    *scheduler.Group
	events   chan event
	sessions map[entryKey]*Session
	// targets are the configured targets; versions holds the versions they have loaded.
	targets  []scheduler.Target
	versions map[string][]string
	// siblingOwners holds the instances that acknowledge floors, by shard.
	siblingOwners map[int]string
	// missedReports counts the consecutive rounds without a load report, by target that was
	// polled. It begins above 0 for a target that has not reported yet.
	missedReports map[string]int
	// external is the load that the group does not learn from its sessions.
	external externalLoad
	// progressed is when the goroutine last handled an event or a tick, in Unix nanoseconds.
	progressed atomic.Int64
	forecast   publisher
	weight     func(workspace string) float64
	hooks      Hooks
	trace      *tracer
	spans      spans
	log        *zap.Logger
	done       chan struct{}
	// ctx ends when the group is stopped; done is closed when its goroutine has ended.
	ctx    context.Context
	cancel context.CancelFunc
}

type entryKey struct {
	instance    string
	incarnation uint64
}

func (r *runner) run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		r.progressed.Store(time.Now().UnixNano())
		var decisions []scheduler.Decision
		select {
		case <-ctx.Done():
			return
		case e := <-r.events:
			decisions = r.batch(e)
		case <-ticker.C:
			r.dropClosed(time.Now())
			decisions = r.handleEvent(r.group.Tick)
			r.forecast.update(time.Now(), r.group)
			r.logHealth()
			r.logSpill()
		}
		r.deliver(time.Now(), decisions)
		r.forecast.send(time.Now(), r.sessions)
		r.requestFloors(ctx, decisions)
		r.publishQuarantine()
	}
}

// logHealth logs the targets that were ejected or readmitted and those that became cold or
// warm.
func (r *runner) logHealth() {
	for _, c := range r.group.ColdChanges(time.Now()) {
		if c.Cause == "" {
			r.log.Info("target warm", zap.String(field.Target, c.Target))
			continue
		}
		r.log.Info("target cold", zap.String(field.Target, c.Target), zap.String(field.Cause, string(c.Cause)))
	}
	for _, c := range r.group.HealthChanges() {
		if c.State == scheduler.HealthHealthy {
			r.log.Info("target readmitted", zap.String(field.Target, c.Target))
			continue
		}
		r.log.Info("target ejected", zap.String(field.Target, c.Target), zap.String(field.Cause, string(c.Cause)),
			zap.Duration(field.Backoff, c.Backoff))
	}
}

// requestFloors sends the group's floor requests to the siblings.
func (r *runner) requestFloors(ctx context.Context, decisions []scheduler.Decision) {
	for _, d := range decisions {
		request, ok := d.(scheduler.FloorRequest)
		if !ok || r.hooks.RequestFloor == nil {
			continue
		}
		for _, shard := range request.Siblings {
			go r.requestFloor(ctx, shard, r.siblingOwners[shard], request)
		}
	}
}

// requestFloor sends a floor request to one sibling. The response is ignored if the
// sibling's owner has changed in the meantime.
func (r *runner) requestFloor(ctx context.Context, shard int, owner string, request scheduler.FloorRequest) {
	requestedAt := time.Now()
	call, cancel := context.WithTimeout(ctx, floorTimeout)
	defer cancel()
	sibling := GroupKey{Pool: r.key.Pool, Shard: shard}
	err := r.hooks.RequestFloor(call, sibling, r.key.Shard, request.Highest, request.ValidFor)
	if err != nil && time.Since(requestedAt) > floorTimeout+pauseTolerance {
		return // the group repeats the request
	}
	_ = r.post(ctx, func(now time.Time) []scheduler.Decision {
		if r.siblingOwners[shard] != owner {
			return nil
		}
		if err != nil {
			return r.group.SetSiblingReachable(now, shard, false)
		}
		decisions := r.group.SetSiblingReachable(now, shard, true)
		valid := request.ValidFor - now.Sub(requestedAt)
		return append(decisions, r.group.FloorAcked(now, shard, request.Highest, valid)...)
	})
}

// setSiblingOwners updates the owners of the sibling groups. It drops the
// acknowledgements of former owners, because their successors do not have the floor.
func (r *runner) setSiblingOwners(now time.Time, owners map[int]string) {
	for shard, owner := range owners {
		if before, ok := r.siblingOwners[shard]; ok && before != owner {
			r.group.SiblingOwnerChanged(now, shard)
		}
	}
	r.siblingOwners = owners
}

// publishQuarantine sends new crash records and those of suspects that were served.
func (r *runner) publishQuarantine() {
	changes := r.group.TakeServedSuspects()
	if r.group.TakeCrashRecorded() {
		changes = append(changes, r.group.Quarantined(time.Now())...)
	}
	if len(changes) > 0 && r.hooks.OnQuarantine != nil {
		r.hooks.OnQuarantine(changes)
	}
}

// batch handles the event and the queued ones after it, so that entries get few
// messages with many records.
func (r *runner) batch(first event) []scheduler.Decision {
	decisions := r.handleEvent(first)
	for range maxBatch {
		select {
		case e := <-r.events:
			decisions = append(decisions, r.handleEvent(e)...)
		default:
			return decisions
		}
	}
	return decisions
}

func (r *runner) handleEvent(e event) []scheduler.Decision {
	now := time.Now()
	return r.trace.decided(now, e(now))
}

func (r *runner) deliver(now time.Time, decisions []scheduler.Decision) {
	if len(decisions) == 0 {
		return
	}
	responses := make(map[entryKey]*pb.TicketsResponse)
	for _, d := range decisions {
		id, ok := decisionTicket(d)
		if !ok {
			continue
		}
		r.spans.decided(now, d)
		key := entryKey{id.Instance, id.Incarnation}
		if responses[key] == nil {
			responses[key] = &pb.TicketsResponse{}
		}
		addDecision(now, responses[key], d)
	}
	for key, response := range responses {
		if session, ok := r.sessions[key]; ok {
			r.forecast.attach(session, response)
			session.push(response)
		}
	}
}

func (r *runner) setQuarantined(entries []scheduler.CrashEvidence) event {
	return func(now time.Time) []scheduler.Decision { return r.group.SetQuarantined(now, entries) }
}

func (r *runner) partsBegun(parts []uint64) event {
	return func(now time.Time) []scheduler.Decision { return r.group.PartsBegun(now, parts) }
}

func (r *runner) setExternalLoad(load externalLoad) event {
	return func(now time.Time) []scheduler.Decision {
		r.external = load
		orphans := r.group.Orphans()
		for _, e := range load.entries {
			if orphans[e.id()] != nil && !r.hasSession(e) {
				r.group.ReleaseOrphans(now, e.id(), e.ReportedAt.Add(-maxReportDelay))
			}
		}
		r.updateExternalLoad(now)
		return r.group.Tick(now)
	}
}

// maxReportDelay bounds the time between the state that an entry reports and the arrival
// of the report: a period of reports to other zones and the period in which an instance of
// the zone passes it on.
const maxReportDelay = time.Second

// updateExternalLoad counts the load of the entries that have no session. Requests of such
// an entry that the group still counts are not counted twice.
func (r *runner) updateExternalLoad(now time.Time) {
	sums := make(map[string]ExternalLoad, len(r.targets))
	orphans := r.group.Orphans()
	for _, e := range r.external.entries {
		if r.hasSession(e) {
			continue
		}
		for target, load := range e.Targets {
			sum := sums[target]
			sum.Running += max(0, load.Running-orphans[e.id()][target])
			sum.PromptTokens += load.PromptTokens
			sums[target] = sum
		}
	}
	for _, t := range r.targets {
		load, granted := r.external.targets[t.Name], sums[t.Name]
		r.group.SetExternalLoad(now, t.Name, load.Running+granted.Running, load.PromptTokens+granted.PromptTokens)
	}
}

func (r *runner) hasSession(e EntryLoad) bool {
	s, ok := r.sessions[entryKey{e.Instance, e.Incarnation}]
	return ok && s.ctx.Err() == nil
}

// busyTimeout is how long a group may handle one event and still count as responsive.
const busyTimeout = time.Second

// isResponsive reports whether the group handles events, even if many are queued.
func (r *runner) isResponsive(now time.Time) bool {
	return now.UnixNano()-r.progressed.Load() < int64(busyTimeout)
}

// post queues an event. It fails if the runner has stopped.
func (r *runner) post(ctx context.Context, e event) error {
	select {
	case r.events <- e:
		return nil
	case <-r.done:
		return &NotOwnerError{Key: r.key}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join registers an entry's new session. The first message of the session repeats all
// tickets of the entry. The state of an earlier session is dropped, because the entry
// may not have received grants that were sent to that session.
func (r *runner) join(s *Session) event {
	return func(now time.Time) []scheduler.Decision {
		key := s.entry()
		if old, ok := r.sessions[key]; ok {
			old.close()
			r.dropEntry(now, key)
		}
		r.sessions[key] = s
		r.group.EntryRestarted(now, key.instance, key.incarnation)
		return nil
	}
}

// leave drops the waiting tickets of an entry whose session has ended, unless
// the entry has joined again.
func (r *runner) leave(s *Session) event {
	return func(now time.Time) []scheduler.Decision {
		key := s.entry()
		if r.sessions[key] != s {
			return nil
		}
		delete(r.sessions, key)
		r.dropEntry(now, key)
		return nil
	}
}

// dropClosed drops the sessions that have ended without a leave event.
func (r *runner) dropClosed(now time.Time) {
	for key, s := range r.sessions {
		if s.ctx.Err() != nil {
			delete(r.sessions, key)
			r.dropEntry(now, key)
		}
	}
}

func (r *runner) dropEntry(now time.Time, key entryKey) {
	r.group.EntryDisconnected(now, key.instance, key.incarnation)
	for id := range r.spans {
		if id.Instance == key.instance && id.Incarnation == key.incarnation {
			r.spans.end(now, id)
		}
	}
}

func (r *runner) handle(s *Session, m *pb.TicketsRequest) event {
	return func(now time.Time) []scheduler.Decision {
		if r.sessions[s.entry()] != s {
			return nil
		}
		if isEmpty(m) {
			s.push(&pb.TicketsResponse{}) // the entry checks whether the broker responds
		}
		var decisions []scheduler.Decision
		r.markCold(now, m.GetCold())
		for _, running := range m.GetRunning() {
			t := toTicket(now, s.hello, running.GetTicket(), r.weight(running.GetTicket().GetWorkspace()))
			r.group.Adopt(now, t, running.GetTarget(), time.Duration(running.GetAgeMs())*time.Millisecond)
		}
		if m.GetHello() != nil {
			r.group.EntryReconnected(now, s.hello.GetInstance(), s.hello.GetIncarnation())
			r.updateExternalLoad(now)
		}
		for _, sequence := range m.GetDispatched() {
			r.group.Dispatched(now, ticketID(s.hello, sequence))
		}
		for _, sequence := range m.GetBegun() {
			decisions = append(decisions, r.group.Begun(now, ticketID(s.hello, sequence))...)
		}
		for _, c := range m.GetComplete() {
			decisions = append(decisions, r.group.Complete(now, toCompletion(s.hello, c))...)
			r.trace.forget(ticketID(s.hello, c.GetId()))
		}
		for _, sequence := range m.GetWithdraw() {
			decisions = append(decisions, r.group.Withdraw(now, ticketID(s.hello, sequence))...)
			r.trace.forget(ticketID(s.hello, sequence))
			r.spans.end(now, ticketID(s.hello, sequence))
		}
		for _, t := range m.GetSubmit() {
			ticket := toTicket(now, s.hello, t, r.weight(t.GetWorkspace()))
			r.trace.submitted(now, ticket)
			r.spans.begin(now, r.key, ticket.ID, t.GetTraceparent())
			decisions = append(decisions, r.group.Submit(now, ticket)...)
		}
		return decisions
	}
}
