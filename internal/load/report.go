package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Percentiles of a distribution, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

func (p Percentiles) String() string {
	return fmt.Sprintf("%.0f/%.0f/%.0f", p.P50, p.P95, p.P99)
}

// TierReport is the result of one tier.
type TierReport struct {
	Tier    string `json:"tier"`
	Rank    int    `json:"rank"`
	Offered int    `json:"offered"`
	Served  int    `json:"served_whole"`
	Good    int    `json:"good"`
	// Goodput is Good over Offered.
	Goodput float64 `json:"goodput"`
	// FirstTokenInTime is the fraction of the served calls whose first token met the
	// objective.
	FirstTokenInTime float64 `json:"first_token_in_time"`
	// IntervalInTime is the fraction of the served calls whose mean token interval
	// met the objective.
	IntervalInTime float64        `json:"interval_in_time"`
	Unserved       map[string]int `json:"unserved_by_reason"`
	FirstToken     Percentiles    `json:"first_token"`
	// Gap is the time between consecutive tokens, MeanInterval its mean per call.
	Gap          Percentiles `json:"token_gap"`
	MeanInterval Percentiles `json:"mean_token_interval"`
}

// Report is the result of a run.
type Report struct {
	Mix     string       `json:"mix"`
	Policy  string       `json:"policy"`
	Seed    uint64       `json:"seed"`
	Rate    float64      `json:"rate"`
	Seconds float64      `json:"seconds"`
	Tiers   []TierReport `json:"tiers"`
	// Wrong counts the responses that ended as complete but had wrong content.
	Wrong int `json:"wrong_answers"`
	// Prefill is nil if the engines' counters were not fetched.
	Prefill *Prefill `json:"prefill,omitempty"`
}

// Summarize returns the report of the results, with the tiers in the mix's order.
func Summarize(mix Mix, results []Result) Report {
	report := Report{Mix: mix.Name}
	for _, tier := range mix.Tiers() {
		report.Tiers = append(report.Tiers, summarizeTier(tier, results))
	}
	for i := range results {
		if results[i].Wrong {
			report.Wrong++
		}
	}
	return report
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values above the range do not occur: callTimeout is far below highestMicros.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

func summarizeTier(tier Tier, results []Result) TierReport {
	t := TierReport{Tier: tier.Name, Rank: tier.Rank, Unserved: make(map[string]int)}
	first, gap, mean := newHistogram(), newHistogram(), newHistogram()
	firstInTime, intervalInTime := 0, 0
	for i := range results {
		r := &results[i]
		if r.Call.Class.Tier.Rank != tier.Rank {
			continue
		}
		t.Offered++
		if !r.Complete {
			t.Unserved[r.Reason]++
			continue
		}
		t.Served++
		record(first, r.FirstToken)
		if r.MeetsObjectives() {
			t.Good++
		}
		if r.FirstToken <= tier.FirstToken {
			firstInTime++
		}
		if tier.TokenInterval == 0 || r.Interval() <= tier.TokenInterval {
			intervalInTime++
		}
		for _, g := range r.Gaps {
			record(gap, g)
		}
		if len(r.Gaps) > 0 {
			record(mean, r.Interval())
		}
	}
	t.Goodput = ratio(t.Good, t.Offered)
	t.FirstTokenInTime = ratio(firstInTime, t.Served)
	t.IntervalInTime = ratio(intervalInTime, t.Served)
	t.FirstToken, t.Gap, t.MeanInterval = percentiles(first), percentiles(gap), percentiles(mean)
	return t
}

func ratio(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteTable writes the report as a table. Times are p50/p95/p99 in milliseconds.
func (r Report) WriteTable(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "mix %s, policy %s, seed %d, %.1f requests/s for %.0f s, wrong answers %d\n",
		r.Mix, r.Policy, r.Seed, r.Rate, r.Seconds, r.Wrong)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TIER\tOFFERED\tSERVED\tGOODPUT\tFIRST TOKEN MS\tTOKEN GAP MS\tMEAN INTERVAL MS\tUNSERVED")
	for _, t := range r.Tiers {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.1f%%\t%s\t%s\t%s\t%s\n", t.Tier, t.Offered, t.Served, 100*t.Goodput,
			t.FirstToken, t.Gap, t.MeanInterval, formatReasons(t.Unserved))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if r.Prefill == nil {
		return nil
	}
	_, err := fmt.Fprintf(w, "prefill tokens: computed %d, least %d, unanswered %d, wasted %d (%.3f per prompt token served)\n",
		r.Prefill.Computed, r.Prefill.Minimum, r.Prefill.Cancelled, r.Prefill.Wasted, r.Prefill.WastedPerServed)
	return err
}

func formatReasons(counts map[string]int) string {
	if len(counts) == 0 {
		return "-"
	}
	var parts []string
	for reason, count := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", reason, count))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
