package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// workspaceLimits bounds the request rate of each workspace. The configured rate
// applies to the whole fleet; each instance allows an equal share of it.
type workspaceLimits struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

func newWorkspaceLimits() *workspaceLimits {
	return &workspaceLimits{limiters: make(map[string]*rate.Limiter)}
}

// allow takes one request from the workspace's share, or returns how long to wait.
func (l *workspaceLimits) allow(workspace *pb.Workspace, fleetSize int) (time.Duration, bool) {
	perSecond := workspace.GetRequestsPerSecond()
	if perSecond <= 0 {
		return 0, true
	}
	share := rate.Limit(perSecond / float64(max(fleetSize, 1)))
	burst := max(int(workspace.GetBurst())/max(fleetSize, 1), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter, ok := l.limiters[workspace.GetName()]
	if !ok {
		limiter = rate.NewLimiter(share, burst)
		l.limiters[workspace.GetName()] = limiter
	}
	if limiter.Limit() != share {
		limiter.SetLimit(share)
	}
	if limiter.Burst() != burst {
		limiter.SetBurst(burst)
	}
	reservation := limiter.Reserve()
	if wait := reservation.Delay(); wait > 0 {
		reservation.Cancel()
		return wait, false
	}
	return 0, true
}

// Settings of the retry budget. A retry costs one token.
const (
	// retriesPerRequest is the part of a token that each request adds.
	retriesPerRequest = 0.1
	maxRetryTokens    = 20
)

// retryBudget bounds the retries before dispatch to a fraction of the requests, so
// that unreachable targets cause no retry storm.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerRequest, maxRetryTokens)
}

func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
