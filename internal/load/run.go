package load

import (
	"context"
	"sync"
	"time"
)

// patience is how long a caller waits for the end of its answer.
const patience = 40 * time.Second

// Result is what a caller saw of one call.
type Result struct {
	Call *Call
	// RequestID is empty if no answer named it.
	RequestID string
	// Whole tells that the whole and right answer arrived.
	Whole bool
	// Wrong tells that an answer that claims to be whole has other content.
	Wrong bool
	// NotRun tells that the request did not run; Reason says why it was not served.
	NotRun bool
	Reason string
	// FirstToken is the time from the arrival to the first token.
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
}

// Interval is the mean time between tokens.
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

// End is the time of the last token after the start of the run.
func (r *Result) End() time.Duration {
	end := r.Call.At + r.FirstToken
	for _, gap := range r.Gaps {
		end += gap
	}
	return end
}

// Good tells that the call counts as goodput of its tier.
func (r *Result) Good() bool {
	tier := &r.Call.Class.Tier
	return r.Whole && r.FirstToken <= tier.FirstToken &&
		(tier.TokenInterval == 0 || r.Interval() <= tier.TokenInterval)
}

// Sender sends a call and waits for its end. due is the time of arrival, from
// which all times count: a late start of the sender must not shorten them.
type Sender interface {
	Send(ctx context.Context, call *Call, due time.Time) Result
}

// Run sends the calls at their times, whether or not earlier ones have been
// answered, and returns the results in the order of the calls.
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
			limited, cancel := context.WithTimeout(ctx, patience)
			defer cancel()
			results[i] = sender.Send(limited, &calls[i], due)
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

// answer collects the tokens of one answer.
type answer struct {
	due     time.Time
	first   time.Duration
	last    time.Time
	gaps    []time.Duration
	content []byte
}

func (a *answer) token(now time.Time, content string) {
	if a.last.IsZero() {
		a.first = now.Sub(a.due)
	} else {
		a.gaps = append(a.gaps, now.Sub(a.last))
	}
	a.last = now
	a.content = append(a.content, content...)
}
