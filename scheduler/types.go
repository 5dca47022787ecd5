// Package scheduler decides for a target group which waiting request runs where,
// which waits and which is refused. It does no I/O, starts no goroutines and takes
// the time as an argument; one goroutine owns a Group.
package scheduler

import (
	"time"
)

// Rank is the rank of a tier; 0 is the highest.
type Rank int

// TicketID identifies a ticket by the entry that holds the request, the entry's
// incarnation, and a number unique within both.
type TicketID struct {
	Instance    string
	Incarnation uint64
	Sequence    uint64
}

// Ticket is the group's record of a request that waits for a target or runs on one.
type Ticket struct {
	ID        TicketID
	Workspace string
	// Weight is the workspace's share inside the tier; values below or equal to 0 count as 1.
	Weight float64
	Tier   Rank
	Route  string
	// Version is the target version that the request must run on; empty means any.
	Version string
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	// Prefix holds a hash for each prompt block, each covering the prompt up to the block's end.
	Prefix    []uint64
	BodyBytes int64
	// Region is the region of the entry.
	Region string
	// Deadline is the time by which the first token is due.
	Deadline time.Time
	// Finish is the time by which the whole response is due; zero if it is not bounded.
	Finish time.Time
	// Fingerprint identifies the content of the request across repeated sends.
	Fingerprint uint64
	// SharedParts are hashes of the parts of the prompt that other requests may share.
	SharedParts []uint64
	// Cancellable permits cancelling the request while it runs.
	Cancellable bool
	// Idempotent marks a request that may serve as a probe of an ejected target.
	Idempotent bool
	// Avoid lists targets that the entry failed to reach before dispatch.
	Avoid []string
	// Excluded lists targets to which the entry must not send for a time. They have not
	// failed.
	Excluded []Exclusion
	// AllowedRegions are the only residency regions whose targets may run the request;
	// empty means any.
	AllowedRegions []string
	// ForecastAdmission permits refusing the ticket by its forecast wait, also in a group
	// without OverloadConfig.
	ForecastAdmission bool
}

// Exclusion is a target to which an entry must not send until a time.
type Exclusion struct {
	Target string
	Until  time.Time
}

// Target describes a back end of the group. Speeds are initial estimates that
// measured speeds replace.
type Target struct {
	Name string
	// Start distinguishes two starts of a target with the same name; 0 if unknown. What a
	// target did before its last start says nothing about it.
	Start                  int64
	Region                 string
	Zone                   string
	Versions               []string
	Concurrency            int
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// SpeedUnknown is set if the two speeds are assumed rather than configured for
	// the target. The target is then judged by its own earlier measurements.
	SpeedUnknown bool
	// Leaving targets get no new grant.
	Leaving bool
	// Service targets run calls that have no tokens.
	Service bool
	// ResidencyRegion is the region that Ticket.AllowedRegions refers to.
	ResidencyRegion string
	// TokenCapacity is the number of tokens that the running requests of the target may hold
	// together; 0 means any.
	TokenCapacity int
	// ColdUntil is the end of the time for which the target is cold; zero if it is not.
	ColdUntil time.Time
	// WarmAt is the latest time as of which the target is known not to be cold, SuspectedAt
	// when it may last have restarted unnoticed; both may be zero.
	WarmAt, SuspectedAt time.Time
}

// Result is the way in which a granted ticket ended.
type Result int

// Results of a granted ticket.
const (
	ResultServed Result = iota + 1
	// ResultFailed: the target returned an error or broke the connection.
	ResultFailed
	// ResultNotDispatched: no byte was written to the target; the grant was not used.
	ResultNotDispatched
	// ResultCancelled: the caller or the group cancelled the running request.
	ResultCancelled
	// ResultTargetCrashed: the connection broke in a way that suggests that the
	// target crashed.
	ResultTargetCrashed
)

// Completion ends a granted ticket.
type Completion struct {
	ID           TicketID
	Result       Result
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// FirstToken and Total are measured from the dispatch.
	FirstToken time.Duration
	Total      time.Duration
}

// LoadReport is a target's published load. It is delayed: AsOf is the target's own
// time of measurement, translated to the local clock.
type LoadReport struct {
	Target  string
	AsOf    time.Time
	Running int
	Waiting int
	// QueuedPrefillTokens is the number of tokens that wait for prefill on the target.
	QueuedPrefillTokens int
	CacheUsedBlocks     int
	CacheTotalBlocks    int
}

// CacheEventKind is the kind of a cache event.
type CacheEventKind int

// Kinds of cache events.
const (
	CacheStored CacheEventKind = iota + 1
	CacheRemoved
	CacheCleared
)

// CacheEvent reports prompt blocks that a target stored in its prefix cache or
// removed from it. Sequence numbers of one target increase by one; a gap means
// lost events.
type CacheEvent struct {
	Sequence int64
	Kind     CacheEventKind
	Blocks   []uint64
}

// Reason is the reason for which a ticket was refused or cancelled.
type Reason string

// Reasons of refusals and cancellations.
const (
	ReasonQueueFull   Reason = "queue_full"
	ReasonDeadline    Reason = "deadline"
	ReasonNoTarget    Reason = "no_target"
	ReasonQuarantined Reason = "quarantined"
	ReasonShed        Reason = "shut_out"
	ReasonHigherTier  Reason = "higher_tier"
	// ReasonNoAllowedTarget: no target in the regions that the ticket allows.
	ReasonNoAllowedTarget Reason = "no_allowed_target"
	// ReasonForecast: the ticket was not expected to get a slot in time.
	ReasonForecast Reason = "forecast"
)

// Decision is a Grant, a Refusal, a ForecastRefusal, a Cancellation or a FloorRequest.
type Decision interface{ decision() }

// Grant permits the entry to dispatch the ticket's request to the target until Expires.
type Grant struct {
	Ticket  TicketID
	Target  string
	Expires time.Time
}

// Refusal ends a waiting ticket without a dispatch.
type Refusal struct {
	Ticket     TicketID
	Reason     Reason
	RetryAfter time.Duration
}

// ForecastRefusal is a Refusal for ReasonForecast.
type ForecastRefusal struct {
	Refusal
	// Wait is the expected wait.
	Wait time.Duration
}

// Cancellation asks the entry to stop a running request.
type Cancellation struct {
	Ticket TicketID
	Reason Reason
}

func (Grant) decision()        {}
func (Refusal) decision()      {}
func (Cancellation) decision() {}
