package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// maxEvents limits the number of cache events that are kept.
const maxEvents = 8192

// Load is the response body of /v1/load.
type Load struct {
	AsOfUnixMillis      int64 `json:"as_of_unix_ms"`
	Running             int   `json:"running"`
	Waiting             int   `json:"waiting"`
	QueuedPrefillTokens int   `json:"queued_prefill_tokens"`
	CacheUsedBlocks     int   `json:"cache_used_blocks"`
	CacheTotalBlocks    int   `json:"cache_total_blocks"`
}

// loadHistory holds the load after each change, oldest first, starting with the
// sample that /v1/load reports.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

// sampleLoad adds the current load to the history.
func (e *Engine) sampleLoad() {
	queued := 0
	for _, s := range e.waiting {
		queued += s.promptTokens
	}
	for _, s := range e.running {
		queued += s.prefillRemaining
	}
	now := time.Now()
	e.load.add(loadSample{at: now, load: Load{
		Running:             len(e.running),
		Waiting:             len(e.waiting),
		QueuedPrefillTokens: queued,
		CacheUsedBlocks:     e.cache.len() + e.private,
		CacheTotalBlocks:    e.settings.CacheBlocks,
	}}, now.Add(-e.settings.LoadLag))
}

func (h *loadHistory) add(sample loadSample, oldest time.Time) {
	h.samples = append(h.samples, sample)
	h.prune(oldest)
}

// prune removes the samples that a later sample had replaced by the time oldest.
func (h *loadHistory) prune(oldest time.Time) {
	for len(h.samples) > 1 && !h.samples[1].at.After(oldest) {
		h.samples = h.samples[1:]
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	asOf := time.Now().Add(-e.settings.LoadLag)
	e.load.prune(asOf)
	load := e.load.samples[0].load
	e.mu.Unlock()
	load.AsOfUnixMillis = asOf.UnixMilli()
	writeJSON(w, http.StatusOK, load)
}

type eventKind string

const (
	eventStored  eventKind = "stored"
	eventRemoved eventKind = "removed"
	eventCleared eventKind = "cleared"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Sequence int64    `json:"sequence"`
	Kind     string   `json:"kind"`
	Blocks   []string `json:"blocks"`
}

// CacheEvents is the response body of /v1/cache_events. Last is the newest visible
// sequence number, even if that event was lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Last   int64        `json:"last"`
}

type eventLog struct {
	last    int64
	entries []eventEntry
}

type eventEntry struct {
	at    time.Time
	lost  bool
	event CacheEvent
}

func (e *Engine) addEvent(kind eventKind, hashes []uint64) {
	if len(hashes) == 0 && kind != eventCleared {
		return
	}
	blocks := make([]string, 0, len(hashes))
	for _, hash := range hashes {
		blocks = append(blocks, formatBlock(hash))
	}
	log := &e.events
	log.last++
	log.entries = append(log.entries, eventEntry{
		at:    time.Now(),
		lost:  e.chance(e.settings.EventDropRate),
		event: CacheEvent{Sequence: log.last, Kind: string(kind), Blocks: blocks},
	})
	if len(log.entries) > maxEvents {
		log.entries = log.entries[len(log.entries)-maxEvents:]
	}
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeFailure(w, badRequest("after is not a number"))
		return
	}
	writeJSON(w, http.StatusOK, e.cacheEvents(after))
}

func (e *Engine) cacheEvents(after int64) CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := time.Now().Add(-e.settings.EventDelay)
	response := CacheEvents{Events: []CacheEvent{}}
	for _, entry := range e.events.entries {
		if entry.at.After(visible) {
			break
		}
		response.Last = entry.event.Sequence
		if entry.event.Sequence > after && !entry.lost {
			response.Events = append(response.Events, entry.event)
		}
	}
	return response
}

func formatBlock(hash uint64) string {
	return fmt.Sprintf("%016x", hash)
}

func parseBlock(text string) (uint64, error) {
	if len(text) != 16 {
		return 0, fmt.Errorf("block %q does not have 16 hexadecimal digits", text)
	}
	return strconv.ParseUint(text, 16, 64)
}
