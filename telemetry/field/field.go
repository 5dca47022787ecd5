// Package field is the table of the names of log fields. Durations are written in
// milliseconds.
package field

// Of a request.
const (
	// RequestID is the id of a caller's attempt.
	RequestID = "request_id"
	// Route is the name of a route.
	Route = "route"
	// Service is the service of a route or target.
	Service = "service"
	// Workspace is the name of a workspace.
	Workspace = "workspace"
	// Tier is the rank of a request, 0 is the highest.
	Tier = "tier"
	// Config is the version of the configuration that decided.
	Config = "config"
	// Cost is what a request takes from its workspace's quota.
	Cost = "cost"
	// Bucket is what the quota's bucket held.
	Bucket = "bucket"
	// Share is the part of the quotas that the instances that are heard may spend.
	Share = "share"
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens = "prompt_tokens"
	// Timeout is the time that the caller gave, 0 without one.
	Timeout = "patience"
	// Queued is the time waiting for a slot.
	Queued = "queued"
	// FirstByte is the time from the arrival to the first event or the answer.
	FirstByte = "first"
	// Elapsed is the time since the arrival.
	Elapsed = "elapsed"
	// Sends is the number of sends of the request of which a target may have read a byte.
	Sends = "sends"
	// Target is the id of a target.
	Target = "target"
	// Resumed tells that the target was asked to continue a stream.
	Resumed = "resumed"
	// RetryCause tells why an earlier attempt ended.
	RetryCause = "after"
	// Status is the HTTP status; 499 for a caller that left.
	Status = "status"
	// Outcome is the outcome that the caller got.
	Outcome = "outcome"
	// Reason tells why, in words from a fixed set or of an error.
	Reason = "reason"
	// RetryAfter is the time after which the caller is asked to return.
	RetryAfter = "retry_after"
	// Bytes is the number of bytes of the answer passed on.
	Bytes = "bytes"
	// Complete tells that the whole answer was passed on.
	Complete = "complete"
)

// Of targets and their groups.
const (
	// Address is the address of a target or an instance.
	Address = "address"
	// Draining tells that the target takes no new work.
	Draining = "draining"
	// Reports tells that the target publishes load reports.
	Reports = "reports"
	// Group is the group of targets with one broker.
	Group = "group"
	// Owner is the instance that runs a group.
	Owner = "owner"
	// LocalPlacement is the time for which an instance places requests alone.
	LocalPlacement = "pause"
	// Cause is what led to a change of belief.
	Cause = "cause"
	// Backoff is the time until an ejected target is tried again.
	Backoff = "backoff"
	// SuspectRequests is the number of suspect requests.
	SuspectRequests = "known"
)

// Of instances.
const (
	// Instance is the name of this instance.
	Instance = "instance"
	// Incarnation is the start of an instance.
	Incarnation = "incarnation"
	// Instances is the number of instances.
	Instances = "instances"
	// Peer is the name of another instance.
	Peer = "peer"
	// Peers is the address or number of peers.
	Peers = "peers"
	// SinceLastReport is the time without a sign of a peer.
	SinceLastReport = "silent"
	// Callers is the address of the callers' listener.
	Callers = "callers"
	// Operators is the address of the operators' listener.
	Operators = "operators"
	// Changed tells that the settings differ from those before.
	Changed = "changed"
)

// Of the store, the configuration and version orders.
const (
	// Store is the address of the store.
	Store = "store"
	// StoreOutage is the time without an answer of the store.
	StoreOutage = "away"
	// Table is the table of the store.
	Table = "table"
	// Rows is the rows of a table.
	Rows = "rows"
	// Row is the version of the row that decided.
	Row = "row"
	// Key is the key of a row.
	Key = "key"
	// Version is the version of a table of the store, or of a service in version orders and moves.
	Version = "version"
	// Generation is the generation of the configuration folder.
	Generation = "generation"
	// Hash is the hash of a configuration object.
	Hash = "hash"
	// Routes is the number of routes.
	Routes = "routes"
	// Workspaces is the number of workspaces.
	Workspaces = "workspaces"
	// Order is the version of the row of a version order.
	Order = "order"
	// Move is the name of a version move.
	Move = "move"
	// Phase is the phase of a version order or move.
	Phase = "phase"
	// Fence is the fencing number of a lease.
	Fence = "fence"
	// SharePercent is the part of the traffic of a new version.
	SharePercent = "share_percent"
)
