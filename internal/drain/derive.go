package drain

import (
	"syscall"
	"time"
)

// Limits of callers, derived from the settings and the configuration.
const (
	// filesReserved and controlReserved are descriptors that callers' connections may not use:
	// for files, and for peers, the store, health checks and metrics.
	filesReserved   = 200
	controlReserved = 400
	// filesPerCaller is the number of descriptors of a caller with a request in work: its own
	// connection and that to the target.
	filesPerCaller = 2
	// minConnections is the number of callers' connections that are always allowed.
	minConnections = 64
	// readAhead is what the server may read beyond the end of a head.
	readAhead = 8 << 10
	// headTimeoutMargin is added to twice the time that a caller may take for a head.
	headTimeoutMargin = time.Second
)

// Defaults for what callers may send, if the configuration does not state it.
const (
	defaultHeadBytes   = 52 << 10
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = time.Minute
)

// Largest values that are permitted whatever the configuration states.
const (
	maxHeadBytes   = 512 << 10
	maxHeadTimeout = time.Minute
	maxIdleTimeout = time.Hour
)

// Limits of the listeners for operators and health checks, which few clients use.
const (
	// MaxControlHeadBytes bounds a head.
	MaxControlHeadBytes = 8 << 10
	// ControlTimeout bounds the reading of a request, and the writing of a response.
	ControlTimeout = 10 * time.Second
	// controlConnections bounds the open connections.
	controlConnections = 32
)

// Parts of a process's memory.
const (
	// heapShare is the part that the runtime may use before it collects garbage without pause.
	heapShare = 0.6
	// minHeapShare is the smallest such part, whatever programMemory leaves.
	minHeapShare = 0.4
	// programMemory is the memory of the program's own pages and of kernel buffers, which the
	// runtime does not count.
	programMemory = 32 << 20
	// unfinishedPart divides the memory of requests and connections: so much of it may be
	// unfinished heads. Memory of closed connections is free only after a garbage collection.
	unfinishedPart = 4
	// requestShare is the part that requests and callers' connections may hold.
	requestShare = 0.3
)

// RuntimeMemory returns the soft memory limit of the runtime for a process with the given
// memory.
func RuntimeMemory(bytes int64) int64 {
	share := float64(bytes)
	return int64(max(minHeapShare*share, min(heapShare*share, share-programMemory)))
}

// RequestMemory returns the memory that requests in flight and callers' connections may hold.
func RequestMemory(bytes int64) int64 { return int64(requestShare * float64(bytes)) }

// CallerRules is what a conforming caller may send and how long it may take. A zero value
// selects a default.
type CallerRules struct {
	HeadBytes                int64
	HeadTimeout, IdleTimeout time.Duration
}

// CallerLimits returns the limits of a callers' listener, which no conforming caller reaches.
// maxFiles and memory are the
// descriptors and the memory of the process; 0 selects the system's limit or none.
func CallerLimits(rules CallerRules, maxFiles int, memory int64, budget Budget) Limits {
	head, headTimeout, idle := rules.HeadBytes, rules.HeadTimeout, rules.IdleTimeout
	if head <= 0 {
		head = defaultHeadBytes
	}
	if headTimeout <= 0 {
		headTimeout = defaultHeadTimeout
	}
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	head, headTimeout, idle = min(head, maxHeadBytes), min(headTimeout, maxHeadTimeout), min(idle, maxIdleTimeout)
	return Limits{
		Connections: callerConnections(maxFiles), HeadBytes: head + head/4 + readAhead,
		HeadMemory:  RequestMemory(memory) / unfinishedPart,
		HeadTimeout: 2*headTimeout + headTimeoutMargin, UnusedTimeout: 2 * idle, Budget: budget,
	}
}

// callerConnections returns the number of callers' connections that the descriptors allow.
func callerConnections(maxFiles int) int {
	if maxFiles <= 0 {
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
			return 0
		}
		maxFiles = int(min(limit.Cur, 1<<20))
	}
	return max(minConnections, (maxFiles-filesReserved-controlReserved)/filesPerCaller)
}

// ControlLimits returns the limits of a listener for operators or health checks. Its
// connections have their own small number, so that callers cannot take their place.
func ControlLimits() Limits {
	return Limits{
		Connections: controlConnections, HeadBytes: MaxControlHeadBytes + readAhead,
		HeadTimeout: ControlTimeout, UnusedTimeout: defaultIdleTimeout,
	}
}
