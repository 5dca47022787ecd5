package load

import (
	"context"
	"sync"
	"time"
)

// callTimeout is how long a caller waits for the end of its response.
const callTimeout = 40 * time.Second

// Result is the outcome of one call as its caller sees it.
type Result struct {
	Call *Call
	// RequestID is empty if no response contained it.
	RequestID string
	// Complete is set if the complete response arrived with the expected content.
	Complete bool
	// Wrong is set if a response ended as complete but has wrong content.
	Wrong bool
	// NotRun is set if the request did not run.
	NotRun bool
	// Reason is why the request was not served.
	Reason string
	// FirstToken is the time from the arrival to the first token, or to the complete
	// response of a service call.
	FirstToken time.Duration
	// Gaps are the times between consecutive tokens.
	Gaps []time.Duration
}

// Interval returns the mean time between tokens.
func (r *Result) Interval() time.Duration {
	if len(r.Gaps) == 0 {
		return 0
	}
	var sum time.Duration
	for _, gap := range r.Gaps {
		sum += gap
	}
	return sum / time.Duration(len(r.Gaps))
}

// End returns the time of the last token relative to the start of the run.
func (r *Result) End() time.Duration {
	end := r.Call.At + r.FirstToken
	for _, gap := range r.Gaps {
		end += gap
	}
	return end
}

// MeetsObjectives reports whether the call counts towards the goodput of its tier.
func (r *Result) MeetsObjectives() bool {
	tier := &r.Call.Class.Tier
	return r.Complete && r.FirstToken <= tier.FirstToken &&
		(tier.TokenInterval == 0 || r.Interval() <= tier.TokenInterval)
}

// Sender sends a call and waits for its end. All times are measured from due, the
// arrival time, so that a delay in the load tool does not shorten them.
type Sender interface {
	Send(ctx context.Context, call *Call, due time.Time) Result
}

// Run sends each call at its arrival time, whether or not earlier calls have ended,
// and returns the results in the order of the calls.
func Run(ctx context.Context, calls []Call, sender Sender) []Result {
	results := make([]Result, len(calls))
	start := time.Now()
	var wg sync.WaitGroup
	for i := range calls {
		due := start.Add(calls[i].At)
		if !sleepUntil(ctx, due) {
			break
		}
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			results[i] = sender.Send(callCtx, &calls[i], due)
		})
	}
	wg.Wait()
	for i := range results {
		if results[i].Call == nil {
			results[i] = Result{Call: &calls[i], NotRun: true, Reason: "not_sent"}
		}
	}
	return results
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// tokenStream collects the content and the token times of one response.
type tokenStream struct {
	due         time.Time
	firstToken  time.Duration
	lastTokenAt time.Time
	gaps        []time.Duration
	content     []byte
}

func (s *tokenStream) addToken(now time.Time, content string) {
	if s.lastTokenAt.IsZero() {
		s.firstToken = now.Sub(s.due)
	} else {
		s.gaps = append(s.gaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	s.content = append(s.content, content...)
}
