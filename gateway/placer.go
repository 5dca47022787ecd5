package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/broker"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/routing"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Times of the fallback from the shared broker to this instance's own groups.
const (
	// brokerPatience is how long the shared broker may be silent while a request
	// waits. It is a part of the shortest objective, 300 ms, so that the loss of a
	// broker does not cost the request.
	brokerPatience = 250 * time.Millisecond
	// brokerPause is how long requests are placed alone after that.
	brokerPause = 400 * time.Millisecond
	// silenceCheck is the period in which a waiting request looks at the silence.
	silenceCheck = 50 * time.Millisecond
)

// RefusedError is the refusal of a request by a group; it did not run.
type RefusedError struct {
	Reason     scheduler.Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "refused: " + string(e.Reason) }

// TargetLoad is what this instance has on one target.
type TargetLoad struct {
	// Running counts the requests that were sent and have not ended. PromptTokens
	// are those of requests without a first event.
	Running, PromptTokens int
	// LocalRunning and LocalPromptTokens are the part that no shared broker granted.
	LocalRunning, LocalPromptTokens int
}

// Placer gets slots on targets for requests. Model engines, which admit requests
// in the order of arrival, are scheduled by the broker that all instances share.
// While it does not answer, and for plain services, the instance decides alone.
type Placer struct {
	// Shared submits to the shared broker; nil to decide alone always.
	Shared *broker.Client
	// Local submits to this instance's own groups.
	Local  *broker.Client
	Groups *Groups
	Log    *zap.Logger

	mu     sync.Mutex
	booked map[string]map[*slot]bool
	paused time.Time
}

// slot is permission to send one request to a target.
type slot struct {
	placer   *Placer
	call     *broker.Call
	target   routing.Target
	granted  time.Time
	prompt   int
	shared   bool
	hasBegun bool
}

var errBrokerSilent = errors.New("the shared broker does not answer")

// acquire waits for a slot. The error is a *RefusedError or the context's cause.
func (p *Placer) acquire(ctx context.Context, service *routing.Service, ticket *pb.Ticket, deadline time.Time) (*slot, error) {
	key := broker.GroupKey{Pool: service.Name}
	if p.Shared != nil && service.Engine && !p.isPaused() {
		call := p.Shared.Submit(key, ticket, deadline)
		s, err := p.await(ctx, call, true)
		if !errors.Is(err, errBrokerSilent) {
			return s, err
		}
		p.pause()
	}
	return p.await(ctx, p.Local.Submit(key, ticket, deadline), false)
}

func (p *Placer) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.paused)
}

func (p *Placer) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.After(p.paused) {
		p.Log.Warn("shared broker silent, requests are placed by this instance alone", zap.Duration(field.LocalPlacement, brokerPause))
	}
	p.paused = now.Add(brokerPause)
}

// await waits for the decision on a ticket.
func (p *Placer) await(ctx context.Context, call *broker.Call, shared bool) (*slot, error) {
	wait, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if shared {
		stop := p.watchSilence(wait, call, cancel)
		defer stop()
	}
	grant, err := call.Wait(wait)
	var refused *broker.RefusedError
	switch {
	case errors.As(err, &refused):
		return nil, &RefusedError{Reason: refused.Reason, RetryAfter: time.Duration(refused.RetryAfter) * time.Millisecond}
	case err != nil:
		return nil, context.Cause(wait)
	}
	target, known := p.Groups.Target(grant.Target)
	if !known || target.Draining {
		call.Complete(&pb.Completion{Result: pb.Result_RESULT_NOT_DISPATCHED})
		return nil, &RefusedError{Reason: scheduler.ReasonNoTarget}
	}
	s := &slot{placer: p, call: call, target: target, granted: time.Now(), prompt: int(call.PromptTokens()), shared: shared}
	p.book(s)
	call.Dispatched()
	return s, nil
}

// watchSilence cancels the wait when the broker has been silent for too long.
func (p *Placer) watchSilence(ctx context.Context, call *broker.Call, cancel context.CancelCauseFunc) func() {
	var timer *time.Timer
	var mu sync.Mutex
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(brokerPatience, func() {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		if call.UnansweredFor(time.Now()) >= brokerPatience {
			cancel(errBrokerSilent)
			return
		}
		timer.Reset(silenceCheck)
	})
	return func() { timer.Stop() }
}

func (p *Placer) book(s *slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.booked == nil {
		p.booked = make(map[string]map[*slot]bool)
	}
	if p.booked[s.target.ID] == nil {
		p.booked[s.target.ID] = make(map[*slot]bool)
	}
	p.booked[s.target.ID][s] = true
}

// Loads returns what this instance has on the targets.
func (p *Placer) Loads() map[string]TargetLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]TargetLoad, len(p.booked))
	for id, slots := range p.booked {
		var w TargetLoad
		for s := range slots {
			w.Running++
			prompt := s.prompt
			if s.hasBegun {
				prompt = 0
			}
			w.PromptTokens += prompt
			if !s.shared {
				w.LocalRunning++
				w.LocalPromptTokens += prompt
			}
		}
		all[id] = w
	}
	return all
}

// begun tells that the first event or the answer has come.
func (s *slot) begun() {
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	s.hasBegun = true
}

// release ends the use of the slot.
func (s *slot) release(result pb.Result, firstToken time.Duration, outputTokens int) {
	p := s.placer
	p.mu.Lock()
	delete(p.booked[s.target.ID], s)
	if len(p.booked[s.target.ID]) == 0 {
		delete(p.booked, s.target.ID)
	}
	p.mu.Unlock()
	s.call.Complete(&pb.Completion{
		Result:       result,
		PromptTokens: int32(s.prompt),
		OutputTokens: int32(outputTokens),
		FirstTokenMs: firstToken.Milliseconds(),
		TotalMs:      time.Since(s.granted).Milliseconds(),
	})
}
