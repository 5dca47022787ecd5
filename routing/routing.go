// Package routing holds the configuration of an instance that forwards requests
// to the targets of a platform: routes by host and path, services, workspaces
// with their keys and quotas, and the targets that serve them.
package routing

import "time"

// Kind tells what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota + 1
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent
	// KindStream requests answer with a stream of events. They run at most once,
	// unless the route is resumable.
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

// Split is a service with its share of a route's requests.
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
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer or to the first event of a stream that
	// earns the full credit.
	Objective time.Duration
	// MaxAttempts bounds the targets that one request is sent to.
	MaxAttempts int
	// Tier is the rank of the route's requests; 0 is the highest.
	Tier int
	// Public routes need no key.
	Public bool
	Splits []Split
}

// Repeatable tells whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Service is a set of targets that do the same work.
type Service struct {
	Name string
	// Engine marks model engines, whose work is counted in tokens.
	Engine bool
	// TokensPerEvent is the number of generated tokens in an event of a stream.
	TokensPerEvent int
}

// Quota bounds what a workspace may send over all instances. Rate 0 means no limit.
type Quota struct {
	// Rate and Burst are in tokens, or in requests, a second.
	Rate  float64
	Burst float64
	// Tokens is set if the quota is counted in tokens.
	Tokens bool
	// PlainTokens is what a request without token counts is charged.
	PlainTokens int
}

// Cost returns what a request of the given size is charged.
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
	// Tier replaces the tier of the routes if it is set.
	Tier  *int
	Quota Quota
}

// Limits bounds what callers may send.
type Limits struct{ MaxBodyBytes int64 }

// Config is one version of the configuration. Versions only increase.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Target is a back end as the registry lists it.
type Target struct {
	// ID is unique for each start of a target, with few exceptions; Born tells
	// two starts under one ID apart.
	ID                 string
	StartedAtUnixMilli int64
	Service            string
	Address            string
	Zone               string
	// Version is the version of the target's software.
	Version string
	// Slots is the number of requests that the target runs side by side.
	Slots int
	// Draining targets get no new requests.
	Draining bool
}
