package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/basilloom/basilloom/prefix"
)

// EngineStats holds the token counters of stand-in engines.
type EngineStats struct {
	PrefillTokens       int64 `json:"prefill_tokens"`
	CachedTokens        int64 `json:"cached_tokens"`
	GeneratedTokens     int64 `json:"generated_tokens"`
	WastedPrefillTokens int64 `json:"wasted_prefill_tokens"`
}

// FetchStats returns the sum of the engines' counters from their /stats endpoints.
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

// Sub returns the increase of the counters since before.
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
		return fmt.Errorf("GET %s: unexpected status %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// Prefill compares the prompt tokens that the engines computed with the minimum that
// the calls required.
type Prefill struct {
	Computed int64 `json:"computed_tokens"`
	// Minimum is the number of tokens that had to be computed: each distinct block of
	// the prompts that ran once, and the rest of each prompt after its last full block.
	Minimum int64 `json:"least_tokens"`
	// Cancelled is the number of tokens computed for cancelled requests.
	Cancelled int64 `json:"unanswered_tokens"`
	Wasted    int64 `json:"wasted_tokens"`
	// Served is the number of prompt tokens of calls with a complete response.
	Served int64 `json:"served_prompt_tokens"`
	// WastedPerServed is Wasted over Served. The ratio is comparable between policies
	// that serve different numbers of requests.
	WastedPerServed float64 `json:"wasted_per_served"`
}

// NewPrefill computes the wasted prefill of a run.
func NewPrefill(results []Result, stats EngineStats) *Prefill {
	p := &Prefill{Computed: stats.PrefillTokens, Cancelled: stats.WastedPrefillTokens}
	seen := make(map[uint64]bool)
	for i := range results {
		call := results[i].Call
		if results[i].NotRun || call.Class.Model == "" {
			continue
		}
		if results[i].Complete {
			p.Served += int64(call.PromptTokens())
		}
		p.Minimum += minPrefillTokens(call, seen)
	}
	p.Wasted = max(0, p.Computed-p.Minimum) + p.Cancelled
	if p.Served > 0 {
		p.WastedPerServed = float64(p.Wasted) / float64(p.Served)
	}
	return p
}

// minPrefillTokens counts the tokens of a prompt outside the blocks in seen, and
// adds its blocks to seen.
func minPrefillTokens(call *Call, seen map[uint64]bool) int64 {
	blocks := prefix.Blocks([]byte(call.Prompt))
	least := call.PromptTokens() - len(blocks)*prefix.BlockTokens
	for _, hash := range blocks {
		if !seen[hash] {
			seen[hash] = true
			least += prefix.BlockTokens
		}
	}
	// The last token is always computed, even if the prompt is fully cached.
	return int64(max(1, least))
}
