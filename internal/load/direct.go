package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilloom/basilloom/engine"
)

// loadPollPeriod is the period at which the least-load baseline polls load reports.
// It equals the broker's.
const loadPollPeriod = 500 * time.Millisecond

// Policy chooses the engine of a call.
type Policy interface {
	Choose() engine.Target
}

// RoundRobin chooses the engines in turn.
type RoundRobin struct {
	targets []engine.Target
	next    atomic.Uint64
}

// NewRoundRobin returns the baseline without tiers.
func NewRoundRobin(targets []engine.Target) *RoundRobin { return &RoundRobin{targets: targets} }

// Choose implements Policy.
func (r *RoundRobin) Choose() engine.Target {
	return r.targets[(r.next.Add(1)-1)%uint64(len(r.targets))]
}

// LeastLoad chooses the engine with the least load in its last report, and in turn
// among engines with equal load.
type LeastLoad struct {
	targets []engine.Target
	client  *engine.Client

	mu   sync.Mutex
	load []int
	next int
}

// NewLeastLoad returns the baseline that uses only the delayed load reports of the
// engines. Poll must run to fetch them.
func NewLeastLoad(targets []engine.Target, client *engine.Client) *LeastLoad {
	return &LeastLoad{targets: targets, client: client, load: make([]int, len(targets))}
}

// Poll fetches the load reports periodically until ctx ends.
func (l *LeastLoad) Poll(ctx context.Context) {
	ticker := time.NewTicker(loadPollPeriod)
	defer ticker.Stop()
	for {
		var wg sync.WaitGroup
		for i, target := range l.targets {
			wg.Go(func() { l.pollTarget(ctx, i, target) })
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *LeastLoad) pollTarget(ctx context.Context, i int, target engine.Target) {
	report, err := l.client.Load(ctx, target)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load[i] = report.Running + report.Waiting
}

// Choose implements Policy.
func (l *LeastLoad) Choose() engine.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	best := l.next % len(l.targets)
	for i := range l.targets {
		if candidate := (l.next + i) % len(l.targets); l.load[candidate] < l.load[best] {
			best = candidate
		}
	}
	return l.targets[best]
}

// Direct sends calls directly to engines and services, without an instance.
type Direct struct {
	policy          Policy
	services        *RoundRobin
	client          *engine.Client
	requestIDPrefix string
}

// NewDirect returns a sender whose request ids begin with the prefix. services may
// be empty if the mix has no service calls.
func NewDirect(policy Policy, services []engine.Target, client *engine.Client, prefix string) *Direct {
	return &Direct{policy: policy, services: NewRoundRobin(services), client: client, requestIDPrefix: prefix}
}

// Send implements Sender.
func (d *Direct) Send(ctx context.Context, call *Call, due time.Time) Result {
	result := Result{Call: call, RequestID: fmt.Sprintf("%s-%d", d.requestIDPrefix, call.Number)}
	if call.Class.Model == "" {
		d.sendServiceCall(ctx, &result, due)
		return result
	}
	chat, err := d.client.Chat(ctx, d.policy.Choose(), engine.ChatRequest{ID: result.RequestID, Body: chatBody(call), Stream: true})
	if err != nil {
		result.Reason = chatFailureReason(err)
		return result
	}
	defer chat.Close()
	tokens := tokenStream{due: due}
	_, err = chat.Events(ctx, func(event engine.Event) error {
		if !event.Token {
			return nil
		}
		var c chunk
		if err := json.Unmarshal(event.Data, &c); err != nil {
			return err
		}
		tokens.addToken(time.Now(), c.Choices[0].Delta.Content)
		return nil
	})
	result.FirstToken, result.Gaps = tokens.firstToken, tokens.gaps
	if err != nil {
		result.Reason = chatFailureReason(err)
		return result
	}
	checkContent(&result, tokens.content)
	return result
}

func (d *Direct) sendServiceCall(ctx context.Context, result *Result, due time.Time) {
	if len(d.services.targets) == 0 {
		result.NotRun, result.Reason = true, "no_service"
		return
	}
	url := d.services.Choose().Address + result.Call.Class.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		result.NotRun, result.Reason = true, err.Error()
		return
	}
	req.Header.Set(engine.HeaderRequestID, result.RequestID)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		result.Reason = transportReason(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	readServiceResponse(resp, result, due)
}

func chatFailureReason(err error) string {
	var status *engine.ResponseError
	if errors.As(err, &status) && status.Kind == engine.ResponseStatus {
		return http.StatusText(status.Status)
	}
	return transportReason(err)
}

// NewPolicy returns the named baseline. The least-load policy polls until ctx ends.
func NewPolicy(ctx context.Context, name string, targets []engine.Target, client *engine.Client) Policy {
	if name != "least-load" {
		return NewRoundRobin(targets)
	}
	policy := NewLeastLoad(targets, client)
	go policy.Poll(ctx)
	return policy
}

// Targets returns the engines or services at the base URLs, each named by its URL.
func Targets(addresses []string) []engine.Target {
	targets := make([]engine.Target, 0, len(addresses))
	for _, address := range addresses {
		targets = append(targets, engine.Target{Name: address, Address: address})
	}
	return targets
}
