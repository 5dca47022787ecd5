package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/broker"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/routing"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Times of the fallback from the shared broker to local placement, which uses this
// instance's own groups.
const (
	// brokerTimeout is how long the shared broker may be unresponsive while a request
	// waits. It is shorter than the shortest objective, 300 ms, so that the request
	// can still be served after the loss of a broker.
	brokerTimeout = 250 * time.Millisecond
	// localPlacementPeriod is how long local placement is used after brokerTimeout.
	localPlacementPeriod = 400 * time.Millisecond
	// brokerCheckInterval is how often a waiting request checks whether the broker responds.
	brokerCheckInterval = 50 * time.Millisecond
)

// RefusedError is the refusal of a request by a group; the request did not run.
type RefusedError struct {
	Reason     scheduler.Reason
	RetryAfter time.Duration
	// Forecast is the expected wait if Reason is one of the forecast reasons.
	Forecast time.Duration
}

func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// TargetLoad is the load that this instance has placed on one target.
type TargetLoad struct {
	// Running counts the requests that were sent and have not ended. PromptTokens
	// counts the prompt tokens of those that have no first event yet.
	Running, PromptTokens int
	// LocalRunning and LocalPromptTokens are the part granted by local placement.
	LocalRunning, LocalPromptTokens int
}

// Placer acquires slots on targets for requests. Model engines, which admit requests
// in the order of arrival, are scheduled by the broker that all instances share, and so are
// the plain services that Sharing selects. While the broker does not respond, and for other
// plain services, placement is local; it never selects a cold target.
type Placer struct {
	// Shared submits to the shared broker; nil if placement is always local.
	Shared *broker.Client
	// Local submits to this instance's own groups.
	Local  *broker.Client
	Groups *Groups
	// Sharing selects the plain services that the shared broker places.
	Sharing Sharing
	// Excluded are the targets to which no request is sent for a time.
	Excluded exclusions
	Log      *zap.Logger

	mu            sync.Mutex
	slotsByTarget map[string]map[*slot]bool
	localUntil    time.Time
}

// slot is a permission to send one request to a target.
type slot struct {
	placer          *Placer
	call            *broker.Call
	target          routing.Target
	granted         time.Time
	promptTokens    int
	shared          bool
	responseStarted bool
}

var (
	errBrokerUnresponsive = errors.New("shared broker does not respond")
	errTargetExcluded     = errors.New("grant for an excluded target")
	errTargetForbidden    = errors.New("grant for a target that must not run the request")
)

// maxExcludedGrants bounds the grants for targets that were excluded or forbidden while the
// ticket waited.
const maxExcludedGrants = 3

// acquire waits for a slot. residency returns where the request may be served now. The error
// is a *RefusedError or the context's cause.
func (p *Placer) acquire(ctx context.Context, service *routing.Service, ticket *pb.Ticket, deadline time.Time, residency func() routing.Residency) (*slot, error) {
	forbidden := false
	for range maxExcludedGrants {
		p.Excluded.setOn(ticket, p.Groups, time.Now())
		if !p.Groups.restrict(ticket, service.Name, residency(), forbidden) {
			return nil, &RefusedError{Reason: scheduler.ReasonNoAllowedTarget}
		}
		s, err := p.acquireOnce(ctx, service, ticket, deadline, residency)
		forbidden = forbidden || errors.Is(err, errTargetForbidden)
		if !errors.Is(err, errTargetExcluded) && !errors.Is(err, errTargetForbidden) {
			return s, err
		}
	}
	return nil, &RefusedError{Reason: scheduler.ReasonNoTarget}
}

func (p *Placer) acquireOnce(ctx context.Context, service *routing.Service, ticket *pb.Ticket, deadline time.Time, residency func() routing.Residency) (*slot, error) {
	key := broker.GroupKey{Pool: service.Name}
	if p.usesShared(time.Now(), service) {
		call := p.Shared.Submit(key, ticket, deadline)
		s, err := p.await(ctx, call, true, residency)
		if !errors.Is(err, errBrokerUnresponsive) {
			return s, err
		}
		p.useLocalPlacement()
	}
	if err := p.excludeCold(time.Now(), service, ticket); err != nil {
		return nil, err
	}
	return p.await(ctx, p.Local.Submit(key, ticket, deadline), false, residency)
}

// refusedByForecast asks the shared broker's last forecast whether a request is refused
// without a ticket. Local placement has no forecast.
func (p *Placer) refusedByForecast(service *routing.Service, a broker.Attempt) (time.Duration, bool) {
	if p.Shared == nil || !service.Engine || p.isLocalOnly() {
		return 0, false
	}
	return p.Shared.RefusedByForecast(time.Now(), broker.GroupKey{Pool: service.Name}, a, rand.Float64())
}

func (p *Placer) isLocalOnly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.localUntil)
}

func (p *Placer) useLocalPlacement() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.After(p.localUntil) {
		p.Log.Warn("shared broker unresponsive, using local placement", zap.Duration(field.LocalPlacement, localPlacementPeriod))
	}
	p.localUntil = now.Add(localPlacementPeriod)
}

// await waits for the decision on a ticket.
func (p *Placer) await(ctx context.Context, call *broker.Call, shared bool, residency func() routing.Residency) (*slot, error) {
	wait, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if shared {
		stop := p.watchBroker(wait, call, cancel)
		defer stop()
	}
	grant, err := call.Wait(wait)
	var refused *broker.RefusedError
	switch {
	case errors.As(err, &refused):
		return nil, &RefusedError{
			Reason: refused.Reason, RetryAfter: time.Duration(refused.RetryAfter) * time.Millisecond,
			Forecast: time.Duration(refused.Forecast) * time.Millisecond,
		}
	case err != nil:
		return nil, context.Cause(wait)
	}
	target, known := p.Groups.Target(grant.Target)
	if !known || target.Draining {
		call.Complete(&pb.Completion{Result: pb.Result_RESULT_NOT_DISPATCHED})
		return nil, &RefusedError{Reason: scheduler.ReasonNoTarget}
	}
	if now := time.Now(); p.Excluded.contains(target, now) || !shared && p.Groups.isCold(now, target) {
		call.Complete(&pb.Completion{Result: pb.Result_RESULT_NOT_DISPATCHED})
		return nil, errTargetExcluded
	}
	if cause := p.Groups.forbids(target, residency()); cause != "" {
		call.Complete(&pb.Completion{Result: pb.Result_RESULT_NOT_DISPATCHED})
		p.Log.Info("grant returned, the target must not run the request", zap.String(field.Target, target.ID),
			zap.String(field.Zone, target.Zone), zap.String(field.Cause, cause), zap.Bool(field.Shared, shared))
		return nil, errTargetForbidden
	}
	s := &slot{placer: p, call: call, target: target, granted: time.Now(), promptTokens: int(call.PromptTokens()), shared: shared}
	p.add(s)
	call.Dispatched()
	return s, nil
}

// watchBroker cancels the wait if the broker does not respond within brokerTimeout.
func (p *Placer) watchBroker(ctx context.Context, call *broker.Call, cancel context.CancelCauseFunc) func() {
	var timer *time.Timer
	var mu sync.Mutex
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(brokerTimeout, func() {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		if call.OwnerUnresponsiveFor(time.Now()) >= brokerTimeout {
			cancel(errBrokerUnresponsive)
			return
		}
		timer.Reset(brokerCheckInterval)
	})
	return func() { timer.Stop() }
}

func (p *Placer) add(s *slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slotsByTarget == nil {
		p.slotsByTarget = make(map[string]map[*slot]bool)
	}
	if p.slotsByTarget[s.target.ID] == nil {
		p.slotsByTarget[s.target.ID] = make(map[*slot]bool)
	}
	p.slotsByTarget[s.target.ID][s] = true
}

// Loads returns the load that this instance has placed on the current start of each target.
func (p *Placer) Loads() map[string]TargetLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]TargetLoad, len(p.slotsByTarget))
	for id, slots := range p.slotsByTarget {
		var load TargetLoad
		current, known := p.Groups.Target(id)
		for s := range slots {
			if known && s.target.StartedAtUnixMilli != current.StartedAtUnixMilli {
				continue
			}
			load.Running++
			promptTokens := s.promptTokens
			if s.responseStarted {
				promptTokens = 0
			}
			load.PromptTokens += promptTokens
			if !s.shared {
				load.LocalRunning++
				load.LocalPromptTokens += promptTokens
			}
		}
		all[id] = load
	}
	return all
}

// markStarted records that the first event has arrived.
func (s *slot) markStarted() {
	s.begun()
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	s.responseStarted = true
}

// release frees the slot and reports the result to the broker.
func (s *slot) release(result pb.Result, firstToken time.Duration, outputTokens int) {
	p := s.placer
	if result == pb.Result_RESULT_SERVED {
		s.observeServed()
	}
	p.mu.Lock()
	delete(p.slotsByTarget[s.target.ID], s)
	if len(p.slotsByTarget[s.target.ID]) == 0 {
		delete(p.slotsByTarget, s.target.ID)
	}
	p.mu.Unlock()
	s.call.Complete(&pb.Completion{
		Result:       result,
		PromptTokens: int32(s.promptTokens),
		OutputTokens: int32(outputTokens),
		FirstTokenMs: firstToken.Milliseconds(),
		TotalMs:      time.Since(s.granted).Milliseconds(),
	})
}
