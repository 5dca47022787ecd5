package scheduler

import "time"

// GrantValidity is the time within which an entry must use a grant.
const GrantValidity = 2 * time.Second

// Defaults of GroupConfig.
const (
	DefaultQueueLimit    = 1000
	DefaultConcurrency   = 8
	DefaultTokenInterval = 32 * time.Millisecond
)

// GroupConfig holds the settings of a group.
type GroupConfig struct {
	Pool  string
	Shard int
	// QueueLimit bounds the waiting tickets; 0 means DefaultQueueLimit. The
	// queue exceeds it, up to 16 times, only while siblings have not acknowledged
	// the floor that a refusal needs, and by one ticket for each cancelled request.
	QueueLimit int
	// TokenInterval is the objective for the time between tokens, which limits
	// the concurrency of targets; 0 means DefaultTokenInterval.
	TokenInterval time.Duration
	// TierIntervals holds the objective of each tier for the time between tokens;
	// a tier without one may use targets of any speed.
	TierIntervals map[Rank]time.Duration
	// PrefillWeight is the weight of prefill time in the choice of a target; 0
	// means 1, at which prefill counts like any other time.
	PrefillWeight float64
	// PrefixEntries bounds the prefix index of all targets together; 0 means
	// DefaultPrefixEntries.
	PrefixEntries int
	// Links holds the parameters of the links between regions.
	Links map[RegionPair]Link
	// Siblings lists the other shards of the pool.
	Siblings []int
	// NoPartRetries refuses requests with a quarantined part until the record expires. It
	// is set for groups that several instances run side by side, because each of them
	// would let one request run.
	NoPartRetries bool
	// ColdRate is the number of requests that a cold target may get from this group in any
	// second; 0 means no limit. ColdStart is how long a target is cold after its start.
	ColdRate  float64
	ColdStart time.Duration
	// LowestTier is the rank of the lowest configured tier, which is shed
	// without a floor; 0 means unknown.
	LowestTier Rank
	// Overload holds the rules for the time in which the demand exceeds the capacity.
	Overload OverloadConfig
	// Spill configures planned shares of the work that leaves a zone; the zero value is off.
	Spill SpillConfig
}

func (c GroupConfig) withDefaults() GroupConfig {
	if c.QueueLimit == 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.TokenInterval == 0 {
		c.TokenInterval = DefaultTokenInterval
	}
	if c.PrefillWeight == 0 {
		c.PrefillWeight = 1
	}
	if c.PrefixEntries == 0 {
		c.PrefixEntries = DefaultPrefixEntries
	}
	if c.LowestTier == 0 {
		c.LowestTier = -1
	}
	return c
}
