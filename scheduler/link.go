package scheduler

import (
	"time"

	"golang.org/x/time/rate"
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
	bucket *rate.Limiter
}

func newLinks(configured map[RegionPair]Link) map[RegionPair]*link {
	links := make(map[RegionPair]*link, len(configured))
	for pair, l := range configured {
		burst := l.BurstBytes
		if burst <= 0 {
			burst = int(l.BytesPerSecond * defaultLinkBurst.Seconds())
		}
		limit := rate.Limit(l.BytesPerSecond)
		if l.BytesPerSecond <= 0 {
			limit = rate.Inf
		}
		links[pair] = &link{Link: l, bucket: rate.NewLimiter(limit, max(1, burst))}
	}
	return links
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
	if !ok {
		return transfer{seconds: defaultLinkDelay.Seconds(), penalty: crossRegionPenalty.Seconds()}
	}
	out := transfer{seconds: l.Delay.Seconds(), penalty: crossRegionPenalty.Seconds()}
	bytes := float64(linkBytes(t))
	out.penalty += l.PricePerMegabyte.Seconds() * bytes / 1e6
	if l.BytesPerSecond > 0 {
		out.seconds += float64(t.BodyBytes) / l.BytesPerSecond
		if missing := bytes - l.bucket.TokensAt(now); missing > 0 {
			out.seconds += missing / l.BytesPerSecond
		}
	}
	return out
}

// chargeLink deducts a granted request's volume from the link's bucket.
func (g *Group) chargeLink(now time.Time, t *Ticket, region string) {
	l, ok := g.links[RegionPair{t.Region, region}]
	if !ok || t.Region == region {
		return
	}
	// The bucket rejects more than its burst at once, so a large request is
	// reserved in parts.
	for bytes := linkBytes(t); bytes > 0; bytes -= l.bucket.Burst() {
		l.bucket.ReserveN(now, min(bytes, l.bucket.Burst()))
	}
}

func linkBytes(t *Ticket) int {
	return int(t.BodyBytes) + t.OutputTokens*responseBytesPerToken
}
