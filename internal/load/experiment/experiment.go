package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/basilloom/basilloom/engine"
	"github.com/basilloom/basilloom/internal/load"
	standin "github.com/basilloom/basilloom/internal/standin/engine"
)

// Policies in the order of the report.
const (
	Basilloom  = "basilloom"
	RoundRobin = "round-robin"
	LeastLoad  = "least-load"
)

// slowFactor is the slowdown of one engine from the middle of the arrival period.
const slowFactor = 4

// Settings are the parameters of one run.
type Settings struct {
	Mix    load.Mix
	Policy string
	Seed   uint64
	// Capacity is the measured capacity in requests/s. Factor is the load as a
	// multiple of the capacity.
	Capacity float64
	Factor   float64
	Duration time.Duration
}

// Result is the report of one run.
type Result struct {
	load.Report
	Factor float64 `json:"factor"`
	// Top is the report of the top tier without the calls that ran on the slowed
	// engine while it was slow.
	Top load.TierReport `json:"top_without_slowed_engine"`
	// TopSentToSlowed counts the top-tier calls that started on the slowed engine
	// after its slowdown, TopRunningAtSlowdown those that were running on it at the
	// slowdown.
	TopSentToSlowed      int `json:"top_sent_to_slowed_engine"`
	TopRunningAtSlowdown int `json:"top_caught_on_slowed_engine"`
	// Inversions is nil for the baselines.
	Inversions *Inversions `json:"inversions,omitempty"`
}

// Run executes one run with its own engines.
func Run(ctx context.Context, s Settings) (Result, error) {
	b, err := startBackends(s.Seed)
	if err != nil {
		return Result{}, err
	}
	defer b.close()
	decisions := &decisionTrace{}
	sender, stop, err := startSender(ctx, s, b, decisions)
	if err != nil {
		return Result{}, err
	}
	defer stop()
	before, err := load.FetchStats(ctx, b.urls())
	if err != nil {
		return Result{}, err
	}
	slowed := b.engines[0]
	ranBefore := make(chan map[string]int, 1)
	timer := time.AfterFunc(s.Duration/2, func() {
		ranBefore <- slowed.Runs()
		slowed.SetFaults(standin.Faults{SlowFactor: slowFactor})
	})
	defer timer.Stop()
	results := load.Run(ctx, s.Mix.Generate(s.Seed, s.Factor*s.Capacity, s.Duration), sender)
	after, err := load.FetchStats(ctx, b.urls())
	if err != nil {
		return Result{}, err
	}
	result := Result{Report: load.Summarize(s.Mix, results), Factor: s.Factor}
	result.Policy, result.Seed, result.Rate, result.Seconds = s.Policy, s.Seed, s.Factor*s.Capacity, s.Duration.Seconds()
	result.Prefill = load.NewPrefill(results, after.Sub(before))
	result.summarizeTopTier(s.Mix, results, slowed.Runs(), <-ranBefore, s.Duration/2)
	if s.Policy == Basilloom {
		inversions := decisions.inversions()
		result.Inversions = &inversions
	}
	return result, nil
}

// WriteTable writes the result as text.
func (r Result) WriteTable(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "\n%.1f times the capacity: ", r.Factor)
	if err := r.Report.WriteTable(w); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "top tier without the slowed engine: goodput %.1f%%, first token in time %.1f%%, interval in time %.1f%%; sent to the slowed engine %d, caught on it %d\n",
		100*r.Top.Goodput, 100*r.Top.FirstTokenInTime, 100*r.Top.IntervalInTime, r.TopSentToSlowed, r.TopRunningAtSlowdown)
	if r.Inversions == nil {
		return nil
	}
	_, err := fmt.Fprintf(w, "decisions: %d grants, %d refusals, %d cancellations; refusals while a lower tier was served: %d for capacity, %d for the deadline\n",
		r.Inversions.Grants, r.Inversions.Refusals, r.Inversions.Cancels, r.Inversions.Capacity, r.Inversions.Deadline)
	return err
}

// summarizeTopTier sets the top tier's report without the calls that ran on the
// slowed engine while it was slow, and counts those calls.
func (r *Result) summarizeTopTier(mix load.Mix, results []load.Result, ran, before map[string]int, slowedAt time.Duration) {
	var unaffected []load.Result
	top := mix.Tiers()[0].Rank
	for _, result := range results {
		switch {
		case result.Call.Class.Tier.Rank != top:
		case ran[result.RequestID] == 0:
			unaffected = append(unaffected, result)
		case before[result.RequestID] == 0:
			r.TopSentToSlowed++
		case result.End() <= slowedAt:
			unaffected = append(unaffected, result)
		default:
			r.TopRunningAtSlowdown++
		}
	}
	r.Top = load.Summarize(mix, unaffected).Tiers[0]
}

// startSender starts the instances, or a baseline, and returns the sender of the
// calls with a function that stops it.
func startSender(ctx context.Context, s Settings, b *backends, decisions *decisionTrace) (load.Sender, func(), error) {
	if s.Policy != Basilloom {
		ctx, cancel := context.WithCancel(ctx)
		client := engine.NewClient()
		policy := load.NewPolicy(ctx, s.Policy, load.Targets(b.urls()), client)
		services := load.Targets([]string{b.serviceURL()})
		return load.NewDirect(policy, services, client, "run"), func() { cancel(); client.Close() }, nil
	}
	f, err := startFleet(ctx, s.Mix, b, decisions.add)
	if err != nil {
		return nil, nil, fmt.Errorf("start the instances: %w", err)
	}
	callers := load.NewCallers(f.Callers(), workspaceTokens)
	return callers, func() { callers.Close(); f.Close() }, nil
}
