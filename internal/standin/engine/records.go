package engine

import (
	"maps"
	"slices"
)

// Stats counts the requests and work of an engine since its start. A crash does
// not reset it.
type Stats struct {
	// Received counts the chat requests whose headers arrived, for each request id.
	Received map[string]int `json:"received"`
	// Runs counts the requests accepted for execution, for each request id.
	Runs map[string]int `json:"runs"`
	// RequestVersions maps each request id to the version that last ran it.
	RequestVersions map[string]string `json:"request_versions"`
	// ModelVersions counts the runs for each model and version.
	ModelVersions   map[string]map[string]int `json:"model_versions"`
	GeneratedTokens int64                     `json:"generated_tokens"`
	// PrefillTokens counts the prompt tokens that were computed, not those taken
	// from the cache.
	PrefillTokens int64 `json:"prefill_tokens"`
	// CachedTokens counts the prompt tokens taken from the cache.
	CachedTokens int64 `json:"cached_tokens"`
	// WastedPrefillTokens and WastedDecodeTokens count the work of cancelled streams.
	WastedPrefillTokens int64 `json:"wasted_prefill_tokens"`
	WastedDecodeTokens  int64 `json:"wasted_decode_tokens"`
	// Orders are the accepted orders, oldest first.
	Orders  []Order `json:"orders"`
	Crashes int     `json:"crashes"`
}

// records is guarded by the engine's mutex.
type records struct {
	received        map[string]int
	runs            map[string]int
	versions        map[string]string
	modelVersions   map[string]map[string]int
	generatedTokens int64
	prefillTokens   int64
	cachedTokens    int64
	wastedPrefill   int64
	wastedDecode    int64
	orders          []Order
	crashes         int
}

func newRecords() records {
	return records{
		received:      make(map[string]int),
		runs:          make(map[string]int),
		versions:      make(map[string]string),
		modelVersions: make(map[string]map[string]int),
	}
}

func (r *records) countRun(s *stream) {
	r.runs[s.requestID]++
	r.versions[s.requestID] = s.version
	if r.modelVersions[s.model] == nil {
		r.modelVersions[s.model] = make(map[string]int)
	}
	r.modelVersions[s.model][s.version]++
}

// Runs returns the number of accepted requests for each request id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.records.runs)
}

// Stats returns a copy of the records.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := make(map[string]map[string]int, len(e.records.modelVersions))
	for model, versions := range e.records.modelVersions {
		models[model] = maps.Clone(versions)
	}
	return Stats{
		Received:            maps.Clone(e.records.received),
		Runs:                maps.Clone(e.records.runs),
		RequestVersions:     maps.Clone(e.records.versions),
		ModelVersions:       models,
		GeneratedTokens:     e.records.generatedTokens,
		PrefillTokens:       e.records.prefillTokens,
		CachedTokens:        e.records.cachedTokens,
		WastedPrefillTokens: e.records.wastedPrefill,
		WastedDecodeTokens:  e.records.wastedDecode,
		Orders:              slices.Clone(e.records.orders),
		Crashes:             e.records.crashes,
	}
}
