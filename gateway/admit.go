package gateway

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/drain"
	"github.com/basilloom/basilloom/quota"
	"github.com/basilloom/basilloom/routing"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Defaults for settings that the configuration leaves unset.
const (
	defaultMaxBody   = 4 << 20
	defaultTimeout   = 30 * time.Second
	defaultObjective = time.Second
	// timeoutGrace is how long the gateway waits past the timeout for the target's own response.
	timeoutGrace = 100 * time.Millisecond
	// notReadyRetryAfter is the retry delay sent by an instance without a configuration.
	notReadyRetryAfter = time.Second
)

// request is an admitted request.
type request struct {
	call    Call
	arrived time.Time
	// deadline is when the caller's or the route's timeout expires, plus timeoutGrace.
	deadline  time.Time
	route     *routing.Route
	service   *routing.Service
	workspace *routing.Workspace
	// residency is where the request may be served by the configuration residencyTable.
	residency      routing.Residency
	residencyTable *routing.Table
	tier           int
	header         http.Header
	method         string
	uri            string
	host           string
	body           []byte
	// holding is what the request holds of the gateway's memory.
	holding holding
	cost    float64
	// fingerprint identifies the content of the request.
	fingerprint uint64
	// sends counts the attempts of which a target may have read a byte.
	sends int
	// forecastAdmission is set if the request may be refused by its forecast wait.
	forecastAdmission bool
	// possiblyRan is set once a target may have run the request.
	possiblyRan bool
	// targetCrashed is set once a target has crashed under the request.
	targetCrashed bool
	// tried lists the targets of earlier attempts.
	tried []string
	// queued is the time spent waiting for a slot. firstByte is the time from the
	// arrival to the first event or to the response.
	queued, firstByte time.Duration
	// target is the last target that the request was sent to.
	target string
}

// admit checks a request against the current configuration.
func (g *Gateway) admit(out *responder, r *http.Request) (*request, *Refusal) {
	req := &request{
		call: g.settings.HeaderCodec.DecodeCall(r.Header), arrived: time.Now(), header: r.Header,
		method: r.Method, uri: requestURI(r), host: r.Host, holding: holding{memory: g.settings.Memory},
	}
	table := g.table.Load()
	if table == nil {
		return req, notRun(http.StatusServiceUnavailable, "no configuration yet", notReadyRetryAfter)
	}
	path, _, _ := strings.Cut(req.uri, "?")
	req.route = table.Match(r.Host, path)
	if req.route == nil {
		return req, reject(http.StatusNotFound, "no route serves this host and path")
	}
	if refused := authenticate(table, req); refused != nil {
		return req, refused
	}
	req.service = table.Service(chooseService(req.route.Splits))
	if req.service == nil {
		return req, notRun(http.StatusServiceUnavailable, "the route has no service", notReadyRetryAfter)
	}
	if err := req.holding.grow(requestOverhead); err != nil {
		return req, noMemory(err)
	}
	req.setDeadline()
	if refused := readBody(out, r, table.Config().Limits, req); refused != nil {
		return req, refused
	}
	if !drain.BeginWork(r.Context()) {
		return req, reject(statusClientClosedRequest, errConnectionClosed.Error())
	}
	if endBy := g.endBy.Load(); endBy != nil && req.deadline.After(*endBy) {
		return req, notRun(http.StatusServiceUnavailable, errStopping.Error(), minRetryAfter)
	}
	req.fingerprint = fingerprint(req)
	return req, g.charge(req)
}

// requestURI returns the request target as it was sent, in origin form.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func authenticate(table *routing.Table, req *request) *Refusal {
	req.tier = rank(nil, req.route)
	if !table.HasWorkspaces() {
		return nil
	}
	req.workspace = table.WorkspaceByKey(req.call.Key)
	if req.workspace == nil && !req.route.Public {
		return reject(http.StatusUnauthorized, "unknown key")
	}
	req.tier = rank(req.workspace, req.route)
	return nil
}

// routeTiers is the number of route tiers within one workspace tier.
const routeTiers = 16

// rank returns the scheduler's tier of a request, which orders requests by the
// workspace's tier (the route's, if the workspace has none) and then by the route's
// tier. Without the route's tier, all requests of workspaces of one tier would have
// the same priority.
func rank(workspace *routing.Workspace, route *routing.Route) int {
	tier := route.Tier
	if workspace != nil && workspace.Tier != nil {
		tier = *workspace.Tier
	}
	return tier*routeTiers + min(route.Tier, routeTiers-1)
}

// chooseService selects a service at random by the weights of a route's splits.
func chooseService(splits []routing.Split) string {
	total := 0.0
	for _, s := range splits {
		total += s.Weight
	}
	drawn := rand.Float64() * total
	for _, s := range splits {
		if drawn < s.Weight {
			return s.Service
		}
		drawn -= s.Weight
	}
	return ""
}

// readBody reads the body until the request's deadline.
func readBody(out *responder, r *http.Request, limits routing.Limits, req *request) *Refusal {
	out.readBodyBy(r, req.deadline)
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := req.holding.read(http.MaxBytesReader(out.w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// While the request runs, an expiry would look like the end of the connection.
		out.readBodyBy(r, time.Time{})
		req.body = body
		return nil
	case errors.As(err, &tooLarge):
		return reject(http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, errNoMemory):
		return noMemory(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notRun(http.StatusRequestTimeout, "the body did not arrive in time", minRetryAfter)
	}
	return reject(http.StatusBadRequest, "the body could not be read")
}

// noMemory refuses a request for which there is no memory. Other instances may have some.
func noMemory(err error) *Refusal {
	return notRun(http.StatusServiceUnavailable, err.Error(), minRetryAfter)
}

// setDeadline sets the deadline from the route's and the caller's timeout.
func (r *request) setDeadline() {
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if r.call.Timeout > 0 {
		timeout = min(timeout, r.call.Timeout)
	}
	r.deadline = r.arrived.Add(timeout + timeoutGrace)
}

// remaining returns the time that a target may still spend on the request.
func (r *request) remaining(now time.Time) time.Duration { return r.deadline.Sub(now) - timeoutGrace }

func (r *request) objective() time.Duration {
	if r.route.Objective > 0 {
		return r.route.Objective
	}
	return defaultObjective
}

// charge deducts the request's cost from its workspace's quota.
func (g *Gateway) charge(req *request) *Refusal {
	if req.workspace == nil || req.workspace.Quota.Rate <= 0 {
		return nil
	}
	q := req.workspace.Quota
	cost := q.Cost(req.call.PromptTokens, req.call.OutputTokens)
	taken := g.settings.Ledger.Take(time.Now(), req.workspace.Name, limitOf(q), cost)
	if !taken.OK {
		refused := notRun(http.StatusTooManyRequests, "the workspace's quota is used up", taken.Wait)
		refused.logFields = []zap.Field{zap.Float64(field.Cost, cost), zap.Float64(field.Bucket, taken.Level), zap.Float64(field.Share, taken.Share)}
		return refused
	}
	req.cost = cost
	return nil
}

func limitOf(q routing.Quota) quota.Limit { return quota.Limit{Rate: q.Rate, Burst: q.Burst} }

// refund returns the quota charged for a request that no target ran.
func (g *Gateway) refund(req *request) {
	if req.cost > 0 && !req.possiblyRan {
		g.settings.Ledger.Refund(req.workspace.Name, req.cost)
	}
}

// fingerprint returns a hash that identifies the content of the request, which is the same
// when the caller sends it again.
func fingerprint(req *request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{req.method, req.host, req.uri, req.call.Key} {
		_, _ = digest.WriteString(part) // xxhash never fails
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(req.body)
	return digest.Sum64()
}

// ticket builds the broker's record of the request.
func (r *request) ticket() *pb.Ticket {
	t := &pb.Ticket{
		Tier:         int32(r.tier),
		Route:        r.route.Name,
		PromptTokens: int32(r.call.PromptTokens),
		OutputTokens: int32(r.expectedOutput()),
		BodyBytes:    int64(len(r.body)),
		FinishMs:     max(1, r.remaining(time.Now()).Milliseconds()),
		Fingerprint:  r.fingerprint,
		SharedParts:  r.call.SharedParts,
		Idempotent:   r.route.Repeatable(),
		Avoid:        r.tried,

		ForecastAdmission: r.forecastAdmission,
	}
	if r.workspace != nil {
		t.Workspace = r.workspace.Name
	}
	return t
}

// routeHash identifies the route in the results that a rollout observes.
func (r *request) routeHash() uint32 { return uint32(xxhash.Sum64String(r.route.Name)) }

// expectedOutput estimates the number of generated tokens.
func (r *request) expectedOutput() int {
	if r.call.ExpectedOutput > 0 {
		return min(r.call.ExpectedOutput, r.call.OutputTokens)
	}
	return r.call.OutputTokens
}
