// Package routing defines the configuration of an instance that forwards requests
// to the targets of a platform: routes by host and path, services, workspaces
// with their keys and quotas, and the targets that serve them.
package routing

import "time"

// Kind determines whether a route's requests may be retried.
type Kind int

// Kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota + 1
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent
	// KindStream requests return a stream of events. They run at most once unless
	// the route is resumable.
	KindStream
)

func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindNonIdempotent:
		return "non-idempotent"
	case KindStream:
		return "stream"
	default:
		return "unknown"
	}
}

// Split is a service with its weight among the services of a route.
type Split struct {
	Service string
	Weight  float64
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue at another target after the last event received.
	Resumable bool
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration
	// Objective is the latency objective: the time within which the response, or the
	// first event of a stream, should arrive. A later response counts less.
	Objective time.Duration
	// MaxAttempts limits the number of targets that one request is sent to.
	MaxAttempts int
	// Tier is the rank of the route's requests; 0 is the highest.
	Tier int
	// Public routes need no key.
	Public bool
	Splits []Split
	// AllowedRegions are the only regions that may serve the route; empty means any.
	AllowedRegions []string
	// GapObjective is the longest time between two events of a stream at which the
	// response still counts as timely; 0 means none.
	GapObjective time.Duration
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Service is a set of targets that do the same work.
type Service struct {
	Name string
	// Engine is set for model engines, whose work is counted in tokens.
	Engine bool
	// TokensPerEvent is the number of generated tokens in one stream event.
	TokensPerEvent int
	// TokenCapacity is the number of tokens that the running requests of one engine may
	// hold together; 0 means unknown.
	TokenCapacity int
	// ColdStart is how long a target is cold after its start, and ColdRate the number of
	// requests a second that it tolerates while it is cold; 0 means no limit.
	ColdStart time.Duration
	ColdRate  float64
}

// Quota limits what a workspace may send across all instances. Rate 0 means no limit.
type Quota struct {
	// Rate is in tokens or requests per second, Burst in tokens or requests.
	Rate  float64
	Burst float64
	// Tokens is set if the quota is counted in tokens.
	Tokens bool
	// PlainTokens is the charge for a request without token counts.
	PlainTokens int
}

// Cost returns the charge for a request of the given size.
func (q Quota) Cost(promptTokens, outputTokens int) float64 {
	if !q.Tokens {
		return 1
	}
	if promptTokens == 0 && outputTokens == 0 {
		return float64(q.PlainTokens)
	}
	return float64(promptTokens + outputTokens)
}

// Workspace is a customer account.
type Workspace struct {
	Name string
	Keys []string
	// Tier overrides the tier of the routes if it is set.
	Tier  *int
	Quota Quota
	// AllowedRegions are the only regions that may serve the workspace; empty means any.
	AllowedRegions []string
}

// Limits restricts what callers may send. A zero value selects a default.
type Limits struct {
	MaxBodyBytes int64
	// MaxHeaderBytes is the largest head of a request, HeaderTimeout the longest time from its
	// first byte to its end, IdleTimeout the longest time for which a caller keeps a connection
	// without a request.
	MaxHeaderBytes int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration. Versions only increase.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Target is a back end listed in the registry.
type Target struct {
	// ID is unique for each start of a target, with few exceptions;
	// StartedAtUnixMilli distinguishes two starts with the same ID.
	ID                 string
	StartedAtUnixMilli int64
	Service            string
	Address            string
	Zone               string
	// Version is the version of the target's software.
	Version string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining targets get no new requests.
	Draining bool
	// ColdFor is the time for which the target stays cold, as of the writing of its entry.
	ColdFor time.Duration
}
