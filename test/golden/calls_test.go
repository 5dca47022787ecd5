package golden

import (
	"fmt"
	"slices"
	"time"

	"github.com/basilloom/basilloom/claims"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
)

// serviceTime is the run time of a call on a plain service.
const serviceTime = 40 * time.Millisecond

// call is one request at the session's entry.
type call struct {
	id           scheduler.TicketID
	name         string
	workspace    *pb.Workspace
	route        *pb.Route
	tier         *pb.Tier
	promptTokens int
	region       string
	key          string
	// fingerprint is set for requests that crash their target.
	fingerprint uint64
	avoid       []string
	claim       *claims.Claim
	target      string
	grantedAt   time.Time
}

// target runs calls at its configured speed.
type target struct {
	name        string
	settings    *pb.Target
	up          bool
	incarnation int
	running     []*call
}

// option changes a call before it is sent.
type option func(*call)

func prompt(tokens int) option { return func(c *call) { c.promptTokens = tokens } }

func from(region string) option { return func(c *call) { c.region = region } }

func withKey(key string) option { return func(c *call) { c.key = key } }

func poison(fingerprint uint64) option { return func(c *call) { c.fingerprint = fingerprint } }

// send sends a call of a workspace on a route.
func (s *session) send(workspace, route string, options ...option) {
	c := &call{
		id:        scheduler.TicketID{Instance: "entry", Incarnation: 1, Sequence: uint64(len(s.calls) + 1)},
		workspace: s.snapshot.Workspace(workspace), route: s.snapshot.Route(route), promptTokens: 400, region: s.deployment.mainRegion,
	}
	c.name = fmt.Sprintf("#%d", c.id.Sequence)
	for _, o := range options {
		o(c)
	}
	s.calls[c.id] = c
	if !s.snapshot.Allowed(c.route, c.workspace) {
		s.writeLine("%s %s %s -> not-run: workspace may not use the route", c.name, workspace, route)
		return
	}
	c.tier = s.snapshot.TierOf(c.route, c.workspace)
	s.writeLine("%s %s %s, tier %s, %d tokens, from %s", c.name, workspace, route, c.tier.GetName(), c.promptTokens, c.region)
	s.submit(c)
}

func (s *session) group(c *call) *scheduler.Group { return s.groups[c.route.GetPool()] }

func (s *session) submit(c *call) {
	now := time.Now()
	s.handleDecisions(s.group(c).Submit(now, scheduler.Ticket{
		ID: c.id, Workspace: c.workspace.GetName(), Weight: c.workspace.GetWeight(), Tier: scheduler.Rank(c.tier.GetRank()),
		Route: c.route.GetName(), Version: c.route.GetVersion(), PromptTokens: c.promptTokens,
		OutputTokens: int(c.route.GetExpectedOutputTokens()), BodyBytes: int64(4 * c.promptTokens), Region: c.region,
		Deadline: now.Add(c.tier.GetFirstTokenDeadline().AsDuration()), Fingerprint: c.fingerprint,
		Cancellable: c.route.GetCancellable(), Idempotent: !c.route.GetNonIdempotent(), Avoid: slices.Clone(c.avoid),
	}))
}

// handleDecisions carries out decisions and writes a line for each of them.
func (s *session) handleDecisions(decisions []scheduler.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case scheduler.Grant:
			s.writeLine("%s granted %s", s.calls[d.Ticket].name, d.Target)
			s.dispatch(s.calls[d.Ticket], s.targets[d.Target])
		case scheduler.Refusal:
			s.writeLine("%s -> not-run: %s, retry after %v", s.calls[d.Ticket].name, d.Reason, d.RetryAfter.Truncate(10*time.Millisecond))
		case scheduler.Cancellation:
			s.cancelCall(s.calls[d.Ticket], d.Reason)
		default:
			s.writeLine("%T %+v", d, d)
		}
	}
}

// dispatch claims the call if needed and writes it to the target. It does so in a
// separate event, after all current decisions have been handled.
func (s *session) dispatch(c *call, t *target) {
	c.target, c.grantedAt = t.name, time.Now()
	s.after(0, func() {
		if c.route.GetNonIdempotent() && c.claim == nil && !s.claimCall(c) {
			return
		}
		if !t.up {
			s.writeLine("%s not dispatched, %s refuses connections", c.name, t.name)
			c.avoid = append(c.avoid, t.name)
			s.complete(c, scheduler.ResultNotDispatched)
			s.submit(c)
			return
		}
		s.group(c).Dispatched(time.Now(), c.id)
		t.running = append(t.running, c)
		first, total := t.durations(c)
		if c.fingerprint != 0 {
			s.after(first, func() { s.crash(t) })
			return
		}
		incarnation := t.incarnation
		s.after(total, func() {
			if incarnation == t.incarnation && slices.Contains(t.running, c) {
				s.finishServed(c, t, first, total)
			}
		})
	})
}

// durations returns the times to the first token and to the end of a call on a
// target without faults.
func (t *target) durations(c *call) (first, total time.Duration) {
	if c.route.GetModel() == "" {
		return serviceTime, serviceTime
	}
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	first = seconds(float64(c.promptTokens) / t.settings.GetPrefillTokensPerSecond())
	perCall := t.settings.GetDecodeTokensPerSecond() / float64(t.settings.GetConcurrency())
	return first, first + seconds(float64(c.route.GetExpectedOutputTokens())/perCall)
}

func (s *session) claimCall(c *call) bool {
	begun, err := s.claims.Begin(s.ctx, claims.Request{
		Key:         claims.Key{Workspace: c.workspace.GetName(), Route: c.route.GetName(), Caller: c.key},
		Fingerprint: uint64(len(c.key)), Timeout: c.route.GetResponseTimeout().AsDuration(),
	})
	s.writeLine("%s claim %q: %v", c.name, c.key, begun.Outcome)
	if begun.Outcome == claims.Acquired {
		c.claim = begun.Claim
		return true
	}
	if err != nil {
		s.writeLine("%s store: %s", c.name, singleLine(err))
	}
	s.complete(c, scheduler.ResultNotDispatched)
	if begun.Outcome == claims.Stored {
		s.writeLine("%s -> served with the stored answer %q", c.name, begun.Result.Body)
		return false
	}
	s.writeLine("%s -> %v", c.name, begun.Outcome)
	return false
}

func (s *session) finishServed(c *call, t *target, first, total time.Duration) {
	t.remove(c)
	s.writeLine("%s -> served by %s in %v", c.name, t.name, time.Since(c.grantedAt).Truncate(time.Millisecond))
	if c.claim != nil {
		s.require(s.claims.Finish(s.ctx, c.claim, claims.Result{Status: 200, Body: []byte("done for " + c.key)}))
	}
	s.handleDecisions(s.group(c).Complete(time.Now(), scheduler.Completion{
		ID: c.id, Result: scheduler.ResultServed, PromptTokens: c.promptTokens,
		OutputTokens: int(c.route.GetExpectedOutputTokens()), FirstToken: first, Total: total,
	}))
}

func (s *session) complete(c *call, result scheduler.Result) {
	s.handleDecisions(s.group(c).Complete(time.Now(), scheduler.Completion{ID: c.id, Result: result, PromptTokens: c.promptTokens}))
}

func (t *target) remove(c *call) {
	t.running = slices.DeleteFunc(t.running, func(o *call) bool { return o == c })
}

func (s *session) cancelCall(c *call, reason scheduler.Reason) {
	s.targets[c.target].remove(c)
	s.writeLine("%s -> failed: cancelled on %s, %s", c.name, c.target, reason)
	s.after(0, func() { s.complete(c, scheduler.ResultCancelled) })
}

// crash stops a target and fails all its calls.
func (s *session) crash(t *target) {
	if !t.up {
		return
	}
	s.writeLine("%s dies with %d calls", t.name, len(t.running))
	t.up = false
	t.incarnation++
	broken := t.running
	t.running = nil
	for _, c := range broken {
		s.writeLine("%s -> failed: connection broken", c.name)
		s.complete(c, scheduler.ResultTargetCrashed)
	}
}

func (s *session) restart(t *target) {
	s.writeLine("%s is back", t.name)
	t.up = true
}
