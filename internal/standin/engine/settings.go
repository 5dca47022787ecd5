// Package engine is a stand-in of a model engine. It speaks the protocol of
// section 9 of the design page, simulates continuous batching and a prefix cache
// in real time, and records what ran so that tests can check the scheduler.
package engine

import "time"

// Settings configures an Engine. Zero values take the defaults of DefaultSettings,
// except where a zero is meaningful.
type Settings struct {
	// Versions are the loaded versions; the first serves requests that name none.
	Versions []string
	// Adapters and Role are reported by /v1/state until an order changes them.
	Adapters []string
	Role     string

	// PrefillTokensPerSecond is the speed of prompt processing.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the speed of a single stream.
	DecodeTokensPerSecond float64
	// BatchSlowdown is the part of the single-stream step time that each further
	// stream of the batch adds.
	BatchSlowdown float64
	// PrefillChunkTokens bounds the prompt tokens of one step.
	PrefillChunkTokens int
	// BatchLimit bounds the running streams.
	BatchLimit int
	// CacheBlocks is the memory for running streams and cached prefixes together.
	CacheBlocks int
	// DefaultOutputTokens applies to requests without max_tokens.
	DefaultOutputTokens int
	// TimeScale divides the duration of steps and version loads.
	TimeScale float64

	// StreamRetention is how long a stream without a connected client stays resumable.
	StreamRetention time.Duration
	// LoadLag is the age of the answers of /v1/load. Zero answers with the current state.
	LoadLag time.Duration
	// EventDelay is the age at which cache events become visible.
	EventDelay time.Duration
	// EventDropRate is the probability that a cache event is lost.
	EventDropRate float64
	// Seed makes the random choices repeatable.
	Seed uint64

	// IgnoreFencing accepts orders with any fencing token.
	IgnoreFencing bool
	// LoadTime is the part of a version load that does not depend on the weight store.
	LoadTime time.Duration
	// VersionBytes is the size of a version's weights.
	VersionBytes int64
	// Weights is the weight store; engines of one process may share it. Nil means
	// that fetching weights takes no time.
	Weights WeightSource
	// KVBlockBytes is the size of one exported cache block.
	KVBlockBytes int

	// OnCrash is called at a crash, to abort the connections. It must not call the
	// engine.
	OnCrash func()
	// OnRestart is called by Restart before the engine answers again.
	OnRestart func() error
}

// DefaultSettings returns an engine that exceeds 32 ms between tokens from a
// batch of 32 streams on.
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
