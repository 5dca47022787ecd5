package scheduler

import (
	"math"
	"time"
)

// Parameters of links between regions.
const (
	// responseBytesPerToken is the size of one streamed output token with its framing.
	responseBytesPerToken = 128
	// crossRegionPenalty is the least advantage that a remote target needs over a
	// local one. It prevents small differences between targets from using the paid
	// link.
	crossRegionPenalty = 50 * time.Millisecond
	// defaultLinkDelay is the one-way delay assumed for a pair without parameters.
	defaultLinkDelay = 12 * time.Millisecond
	// defaultLinkBurst is the burst of a link that configures none.
	defaultLinkBurst = time.Second
	// maxLinkDebt bounds the time for which a link is charged ahead. A request may allow
	// more output than it will ever send, and no ticket waits that long.
	maxLinkDebt = 15 * time.Second
)

// RegionPair is the two ends of a link: the entry's region and the target's.
type RegionPair struct{ From, To string }

// Link holds the parameters of the link between two regions.
type Link struct {
	// BytesPerSecond is the volume the group may send; 0 means no limit.
	BytesPerSecond float64
	// BurstBytes is the size of the token bucket; 0 means one second's volume.
	BurstBytes int
	// Delay is the one-way delay.
	Delay time.Duration
	// PricePerMegabyte is the waiting time that is considered equal to the price
	// of a megabyte.
	PricePerMegabyte time.Duration
}

// link is a Link with its token bucket.
type link struct {
	Link
	// tokens is the content of the bucket in bytes at the time updated; negative while the
	// link is charged ahead.
	tokens  float64
	updated time.Time
}

func newLinks(configured map[RegionPair]Link) map[RegionPair]*link {
	links := make(map[RegionPair]*link, len(configured))
	for pair, l := range configured {
		if l.BurstBytes <= 0 {
			l.BurstBytes = int(l.BytesPerSecond * defaultLinkBurst.Seconds())
		}
		links[pair] = &link{Link: l, tokens: float64(l.BurstBytes)}
	}
	return links
}

// available returns the bytes that the link may send at once.
func (l *link) available(now time.Time) float64 {
	if l.BytesPerSecond <= 0 {
		return math.Inf(1)
	}
	refilled := l.tokens + l.BytesPerSecond*now.Sub(l.updated).Seconds()
	return min(refilled, float64(l.BurstBytes))
}

// charge deducts a volume. The work does not depend on the volume, which callers set.
func (l *link) charge(now time.Time, bytes float64) {
	if l.BytesPerSecond <= 0 {
		return
	}
	l.tokens = max(l.available(now)-bytes, -l.BytesPerSecond*maxLinkDebt.Seconds())
	l.updated = now
}

// transfer is the time and price of moving a request to a target's region.
type transfer struct {
	// seconds is the time until the request reaches the target.
	seconds float64
	// penalty is the price and the preference for local targets, in seconds.
	penalty float64
}

func (g *Group) transferTo(now time.Time, t *Ticket, region string) transfer {
	if t.Region == region || t.Region == "" || region == "" {
		return transfer{}
	}
	l, ok := g.links[RegionPair{t.Region, region}]
	if g.spill.inForce {
		return g.spillTransfer(now, t, l, RegionPair{t.Region, region})
	}
	if !ok {
		return transfer{seconds: defaultLinkDelay.Seconds(), penalty: crossRegionPenalty.Seconds()}
	}
	out := transfer{seconds: l.Delay.Seconds(), penalty: crossRegionPenalty.Seconds()}
	bytes := linkBytes(t)
	out.penalty += l.PricePerMegabyte.Seconds() * bytes / 1e6
	if l.BytesPerSecond > 0 {
		out.seconds += float64(t.BodyBytes) / l.BytesPerSecond
		if missing := bytes - l.available(now); missing > 0 {
			out.seconds += missing / l.BytesPerSecond
		}
	}
	return out
}

// chargeLink deducts a granted request's volume from the link's bucket.
func (g *Group) chargeLink(now time.Time, t *Ticket, region string) {
	if l, ok := g.links[RegionPair{t.Region, region}]; ok && t.Region != region {
		l.charge(now, linkBytes(t))
	}
}

func linkBytes(t *Ticket) float64 {
	return float64(t.BodyBytes) + float64(t.OutputTokens)*responseBytesPerToken
}
