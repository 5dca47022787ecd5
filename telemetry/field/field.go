// Package field defines the names of log fields. Durations are logged in
// milliseconds.
package field

// Fields of a request.
const (
	// RequestID is the id of a caller's attempt.
	RequestID = "request_id"
	// Route is the name of a route.
	Route = "route"
	// Service is the service of a route or target.
	Service = "service"
	// Workspace is the name of a workspace.
	Workspace = "workspace"
	// Tier is the rank of a request; 0 is the highest.
	Tier = "tier"
	// Config is the version of the configuration that the decision used.
	Config = "config"
	// Cost is the amount that a request takes from its workspace's quota.
	Cost = "cost"
	// Bucket is the level of the quota's token bucket.
	Bucket = "bucket"
	// Share is the fraction of the quotas that this instance and the peers with recent reports may spend.
	Share = "share"
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens = "prompt_tokens"
	// Timeout is the caller's timeout, or 0 without one.
	Timeout = "patience"
	// Queued is the time waiting for a slot.
	Queued = "queued"
	// FirstByte is the time from the arrival of the request to the first event or the response.
	FirstByte = "first"
	// Elapsed is the time since the arrival of the request.
	Elapsed = "elapsed"
	// Sends is the number of times that the request was sent and a target may have read a byte of it.
	Sends = "sends"
	// Target is the id of a target.
	Target = "target"
	// Zone is an availability zone.
	Zone = "zone"
	// Shared is set if the shared broker, not local placement, chose the target.
	Shared = "shared"
	// Regions lists regions.
	Regions = "regions"
	// Resumed is set if the target was asked to continue a stream.
	Resumed = "resumed"
	// RetryCause is the reason why an earlier attempt ended.
	RetryCause = "after"
	// Status is the HTTP status; 499 if the caller disconnected.
	Status = "status"
	// Outcome is the outcome that the caller received.
	Outcome = "outcome"
	// Reason is the reason for an event: one of a fixed set of texts, or the text of an error.
	Reason = "reason"
	// RetryAfter is the time after which the caller is asked to retry.
	RetryAfter = "retry_after"
	// Forecast is the expected wait because of which a request was refused.
	Forecast = "forecast"
	// Bytes is the number of response bytes forwarded to the caller.
	Bytes = "bytes"
	// Events is the number of stream events received from the target.
	Events = "events"
	// Fingerprint is the hash by which crash records identify the content of a request; 0 if it has none.
	Fingerprint = "fingerprint"
	// SharedParts are the hashes of the parts of the prompt that other requests may share.
	SharedParts = "shared_parts"
	// Complete is set if the whole response was forwarded to the caller.
	Complete = "complete"
)

// Fields of targets and their groups.
const (
	// Address is the address of a target or an instance.
	Address = "address"
	// Draining is set if the target accepts no new requests.
	Draining = "draining"
	// Reports is set if the target publishes load reports.
	Reports = "reports"
	// Group is the name of a group of targets that share one broker.
	Group = "group"
	// Owner is the instance that runs a group's broker.
	Owner = "owner"
	// LocalPlacement is the time for which an instance uses local placement.
	LocalPlacement = "pause"
	// Cause is the cause of a state change.
	Cause = "cause"
	// Backoff is the time until the next attempt to use an ejected target.
	Backoff = "backoff"
	// CrashRecords is the number of records of requests that crash targets.
	CrashRecords = "known"
	// Part is the hash of a part of prompts that requests share.
	Part = "part"
	// Crashes is the number of crashes counted for a prompt part since a request with it last began.
	Crashes = "crashes"
	// Targets are the ids of targets.
	Targets = "targets"
)

// Fields of instances.
const (
	// Instance is the name of this instance.
	Instance = "instance"
	// Incarnation identifies one start of an instance.
	Incarnation = "incarnation"
	// Instances is the number of instances.
	Instances = "instances"
	// Peer is the name of another instance.
	Peer = "peer"
	// Connections is a number of connections: of callers, still open at a shutdown, or closed at a limit.
	Connections = "connections"
	// Peers is the address or number of peers.
	Peers = "peers"
	// Datagrams is the number of datagrams sent to peers.
	Datagrams = "datagrams"
	// ReportBytes is the size of a report.
	ReportBytes = "report_bytes"
	// Loads is the number of targets whose load a report contains.
	Loads = "loads"
	// Relayed is the number of reports of other instances that a report contains.
	Relayed = "relayed"
	// Held is set if the instance holds the lease on its whole part of the quotas.
	Held = "held"
	// Missing is set if a row was not in the store.
	Missing = "missing"
	// LeaseAge is the time since the reading of the instances' rows on which a lease rests.
	LeaseAge = "lease_age"
	// Reachable is the number of instances with recent reports, including this one.
	Reachable = "reachable"
	// Reduced is the number of reachable instances that have only a fraction of their part of
	// the quotas.
	Reduced = "reduced"
	// Released is the number of instances whose part of the quotas is released.
	Released = "released"
	// Marked is the number of silent instances whose row is marked and not released, Unmarked
	// of those whose row is not marked yet.
	Marked   = "marked"
	Unmarked = "unmarked"
	// Due is the number of changes of rows that are due, DueIn the time until the next one.
	Due   = "due"
	DueIn = "due_in"
	// SinceLastReport is the time since the last report of a peer.
	SinceLastReport = "silent"
	// Callers is the address of the listener for callers.
	Callers = "callers"
	// Listener is the listener of a connection: callers, ready, metrics, peers or operators.
	Listener = "listener"
	// Operators is the address of the listener for operators.
	Operators = "operators"
	// Changed is set if the settings differ from the previous ones.
	Changed = "changed"
)

// Fields of the store, the configuration and version orders.
const (
	// Store is the address of the store.
	Store = "store"
	// StoreOutage is the time without a response from the store.
	StoreOutage = "away"
	// SinceLastResponse is the time since the store's last response when a call failed.
	SinceLastResponse = "since_response"
	// Table is the name of a table of the store.
	Table = "table"
	// Rows is the number of rows of a table.
	Rows = "rows"
	// Row is the version of the row that the decision used.
	Row = "row"
	// Source is where something was read: store, peer or none.
	Source = "source"
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
	// Unservable lists routes with workspaces, "ROUTE WORKSPACE", that have no allowed region in common.
	Unservable = "unservable"
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
	// Slots is the number of requests that the targets of a service run concurrently.
	Slots = "slots"
	// FromZone and ToZone are the zone in which work arrives and the one that serves it.
	FromZone = "from"
	ToZone   = "to"
	// SpillShare is the part of a zone's work that leaves it; 0 when none does any more.
	SpillShare = "spill_share"
	// SharePercent is the percentage of traffic that a new version gets.
	SharePercent = "share_percent"
)
