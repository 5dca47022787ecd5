// Package engine simulates a model engine. It implements the protocol of section
// 9 of the design page, simulates continuous batching and a prefix cache in real
// time, and records the requests that ran, for tests of the scheduler.
package engine

import "time"

// Settings configures an Engine. Zero values are replaced by those of
// DefaultSettings, except where zero is meaningful.
type Settings struct {
	// Versions are the loaded versions. Requests without a version use the first.
	Versions []string
	// Adapters and Role are reported by /v1/state until an order changes them.
	Adapters []string
	Role     string

	// PrefillTokensPerSecond is the speed of prompt processing.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the speed of a single stream.
	DecodeTokensPerSecond float64
	// BatchSlowdown is the fraction of the single-stream step time that each
	// additional stream of the batch adds.
	BatchSlowdown float64
	// PrefillChunkTokens bounds the prompt tokens of one step.
	PrefillChunkTokens int
	// BatchLimit bounds the running streams.
	BatchLimit int
	// CacheBlocks is the total memory, in blocks, for running streams and cached
	// prefixes.
	CacheBlocks int
	// DefaultOutputTokens applies to requests without max_tokens.
	DefaultOutputTokens int
	// TimeScale divides the duration of steps and version loads.
	TimeScale float64

	// StreamRetention is how long a stream without a connected client can be resumed.
	StreamRetention time.Duration
	// LoadLag is the age of the load that /v1/load reports. Zero reports the
	// current load.
	LoadLag time.Duration
	// EventDelay is the age at which cache events become visible.
	EventDelay time.Duration
	// EventDropRate is the probability that a cache event is lost.
	EventDropRate float64
	// Seed seeds the random choices, so that they are reproducible.
	Seed uint64

	// IgnoreFencing accepts orders with any fencing token.
	IgnoreFencing bool
	// LoadTime is the time that a version load takes in addition to the fetch from
	// the weight store.
	LoadTime time.Duration
	// VersionBytes is the size of a version's weights.
	VersionBytes int64
	// Weights is the weight store, which engines of one process may share. If it is
	// nil, fetching weights takes no time.
	Weights WeightSource
	// KVBlockBytes is the size of one exported cache block.
	KVBlockBytes int

	// OnCrash is called by Crash to abort the connections. It must not call the
	// engine.
	OnCrash func()
	// OnRestart is called by Restart to accept connections again.
	OnRestart func() error
}

// DefaultSettings returns the settings of an engine whose inter-token latency
// exceeds 32 ms with batches of 32 or more streams.
func DefaultSettings() Settings {
	return Settings{
		Versions:               []string{"v1"},
		Role:                   "any",
		PrefillTokensPerSecond: 8000,
		DecodeTokensPerSecond:  60,
		BatchSlowdown:          0.03,
		PrefillChunkTokens:     256,
		BatchLimit:             64,
		CacheBlocks:            4096,
		DefaultOutputTokens:    64,
		TimeScale:              1,
		StreamRetention:        30 * time.Second,
		LoadTime:               5 * time.Second,
		KVBlockBytes:           256 << 10,
	}
}

func (s Settings) withDefaults() Settings {
	defaults := DefaultSettings()
	if len(s.Versions) == 0 {
		s.Versions = defaults.Versions
	}
	if s.Role == "" {
		s.Role = defaults.Role
	}
	setDefault(&s.PrefillTokensPerSecond, defaults.PrefillTokensPerSecond)
	setDefault(&s.DecodeTokensPerSecond, defaults.DecodeTokensPerSecond)
	setDefault(&s.PrefillChunkTokens, defaults.PrefillChunkTokens)
	setDefault(&s.BatchLimit, defaults.BatchLimit)
	setDefault(&s.CacheBlocks, defaults.CacheBlocks)
	setDefault(&s.DefaultOutputTokens, defaults.DefaultOutputTokens)
	setDefault(&s.TimeScale, defaults.TimeScale)
	setDefault(&s.StreamRetention, defaults.StreamRetention)
	setDefault(&s.KVBlockBytes, defaults.KVBlockBytes)
	return s
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
