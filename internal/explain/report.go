package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// Outcomes of requests.
const (
	// Served requests received the complete response of the target that ran them.
	Served Outcome = "served"
	// Failed requests ended without a complete response, or with a target's 5xx.
	Failed Outcome = "failed"
	// Refused requests did not run and may be retried.
	Refused Outcome = "refused"
	// Rejected requests are not permitted or malformed.
	Rejected Outcome = "rejected"
	// CallerDisconnected requests ended because the caller disconnected.
	CallerDisconnected Outcome = "left"
)

// Outcomes lists all outcomes in the order of reports.
var Outcomes = []Outcome{Served, Failed, Refused, Rejected, CallerDisconnected}

// Range and precision of the times in reports.
const (
	maxReportedMs     = 10 * 60 * 1000
	significantDigits = 3
)

// Second counts the requests that ended within one second.
type Second struct {
	Time  time.Time       `json:"time"`
	Ended map[Outcome]int `json:"ended"`
	// First50 and First95 are the 50th and 95th percentile of the time to the first
	// event or response of the served requests, in milliseconds.
	First50 float64 `json:"first_ms_50"`
	First95 float64 `json:"first_ms_95"`
	// Changes are the state changes that the instances logged in that second.
	Changes []Line `json:"changes,omitempty"`

	firstMs *hdrhistogram.Histogram
}

// ReasonCount counts the requests with one outcome, status and reason.
type ReasonCount struct {
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status"`
	Reason  string  `json:"reason"`
	Count   int     `json:"count"`
}

// Report summarizes all requests in the logs.
type Report struct {
	Seconds []Second      `json:"seconds"`
	Reasons []ReasonCount `json:"reasons"`
	Total   int           `json:"total"`
	// VersionOrders are the steps of version orders by time: decisions, waits, and the first
	// stop of each version by an instance.
	VersionOrders []Line `json:"version_orders,omitempty"`
}

// Messages on version orders.
const (
	orderDecided = "version order phase decided"
	orderWaits   = "version order waits"
	orderStopped = "version order stopped by this instance"
)

// outcome classifies a request by the log line of its end.
func (l Line) outcome() Outcome {
	switch {
	case l.Status == 499:
		return CallerDisconnected
	case l.Status == 503 && l.Sends == 0, l.Status == 429:
		return Refused
	case l.Status >= 500, l.Status < 300 && !l.Complete:
		return Failed
	case l.Status >= 400 && l.Sends == 0:
		return Rejected
	}
	return Served
}

// Summarize counts the outcomes by second and the requests by reason.
func Summarize(lines []Line) Report {
	var report Report
	seconds := make(map[time.Time]*Second)
	reasons := make(map[ReasonCount]int)
	for _, l := range lines {
		at := l.Time.Truncate(time.Second)
		s, ok := seconds[at]
		if !ok {
			s = &Second{Time: at, Ended: make(map[Outcome]int), firstMs: hdrhistogram.New(1, maxReportedMs, significantDigits)}
			seconds[at] = s
		}
		if l.RequestID == "" && l.Message != "ended" {
			s.Changes = append(s.Changes, l)
			continue
		}
		if l.Message != "ended" {
			continue
		}
		outcome := l.outcome()
		report.Total++
		s.Ended[outcome]++
		reasons[ReasonCount{Outcome: outcome, Status: l.Status, Reason: l.Reason}]++
		if outcome == Served && l.First > 0 {
			_ = s.firstMs.RecordValue(min(int64(l.First), maxReportedMs)) // never out of range: the value is capped
		}
	}
	for _, at := range slices.SortedFunc(maps.Keys(seconds), time.Time.Compare) {
		s := seconds[at]
		s.First50, s.First95 = float64(s.firstMs.ValueAtQuantile(50)), float64(s.firstMs.ValueAtQuantile(95))
		report.Seconds = append(report.Seconds, *s)
	}
	for r, n := range reasons {
		r.Count = n
		report.Reasons = append(report.Reasons, r)
	}
	report.VersionOrders = versionOrders(lines)
	slices.SortFunc(report.Reasons, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Reason, b.Reason))
	})
	return report
}

// versionOrders selects the steps of version orders.
func versionOrders(lines []Line) []Line {
	var steps []Line
	for _, l := range lines {
		if l.Message == orderDecided || l.Message == orderWaits || l.Message == orderStopped {
			steps = append(steps, l)
		}
	}
	slices.SortStableFunc(steps, func(a, b Line) int { return a.Time.Compare(b.Time) })
	type move struct{ service, version string }
	stopped := make(map[move]bool)
	return slices.DeleteFunc(steps, func(l Line) bool {
		if l.Message != orderStopped {
			return false
		}
		m := move{l.Service, fmt.Sprint(l.Version)}
		again := stopped[m]
		stopped[m] = true
		return again
	})
}
