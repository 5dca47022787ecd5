package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/basilloom/basilloom/prefix"
)

// EngineStats is what a stand-in engine counts.
type EngineStats struct {
	PrefillTokens       int64 `json:"prefill_tokens"`
	CachedTokens        int64 `json:"cached_tokens"`
	GeneratedTokens     int64 `json:"generated_tokens"`
	WastedPrefillTokens int64 `json:"wasted_prefill_tokens"`
}

// FetchStats sums up the counts of engines from their /stats.
func FetchStats(ctx context.Context, engines []string) (EngineStats, error) {
	var sum EngineStats
	for _, address := range engines {
		var one EngineStats
		if err := getJSON(ctx, address+"/stats", &one); err != nil {
			return sum, err
		}
		sum.PrefillTokens += one.PrefillTokens
		sum.CachedTokens += one.CachedTokens
		sum.GeneratedTokens += one.GeneratedTokens
		sum.WastedPrefillTokens += one.WastedPrefillTokens
	}
	return sum, nil
}

// Sub returns the counts since earlier ones.
func (s EngineStats) Sub(before EngineStats) EngineStats {
	return EngineStats{
		PrefillTokens:       s.PrefillTokens - before.PrefillTokens,
		CachedTokens:        s.CachedTokens - before.CachedTokens,
		GeneratedTokens:     s.GeneratedTokens - before.GeneratedTokens,
		WastedPrefillTokens: s.WastedPrefillTokens - before.WastedPrefillTokens,
	}
}

func getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// Prefill compares the prompt tokens that the engines computed with the least
// that the calls needed.
type Prefill struct {
	Computed int64 `json:"computed_tokens"`
	// Least counts each distinct block of the prompts that ran once, and the
	// rest of each prompt after its last full block.
	Least int64 `json:"least_tokens"`
	// Unanswered is the prefill of cancelled requests.
	Unanswered int64 `json:"unanswered_tokens"`
	Wasted     int64 `json:"wasted_tokens"`
	// Served is the length of the prompts whose whole answers arrived.
	Served int64 `json:"served_prompt_tokens"`
	// WastedPerServed is the waste per prompt token served, which compares
	// policies that serve different numbers of requests.
	WastedPerServed float64 `json:"wasted_per_served"`
}

// NewPrefill works out the waste of a run.
func NewPrefill(results []Result, stats EngineStats) *Prefill {
	p := &Prefill{Computed: stats.PrefillTokens, Unanswered: stats.WastedPrefillTokens}
	seen := make(map[uint64]bool)
	for i := range results {
		call := results[i].Call
		if results[i].NotRun || call.Class.Model == "" {
			continue
		}
		if results[i].Whole {
			p.Served += int64(call.PromptTokens())
		}
		p.Least += leastPrefill(call, seen)
	}
	p.Wasted = max(0, p.Computed-p.Least) + p.Unanswered
	if p.Served > 0 {
		p.WastedPerServed = float64(p.Wasted) / float64(p.Served)
	}
	return p
}

// leastPrefill counts the tokens of a prompt that no earlier prompt shares.
func leastPrefill(call *Call, seen map[uint64]bool) int64 {
	blocks := prefix.Blocks([]byte(call.Prompt))
	least := call.PromptTokens() - len(blocks)*prefix.BlockTokens
	for _, hash := range blocks {
		if !seen[hash] {
			seen[hash] = true
			least += prefix.BlockTokens
		}
	}
	// The last token is always computed, also of a prompt that is all cached.
	return int64(max(1, least))
}
