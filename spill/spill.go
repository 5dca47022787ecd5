// Package spill decides how much of the work of a zone that is short of capacity leaves
// for other zones. It does no I/O and takes the time as an argument.
package spill

import "time"

// Parameters of the decision.
const (
	// beginLevel and endLevel are the utilizations of a zone at which its work begins and
	// ceases to leave. The gap keeps shares from oscillating with the noise of the demand.
	beginLevel = 0.95
	endLevel   = 0.85
	// endWait is the wait above which work continues to leave at any utilization.
	endWait = 200 * time.Millisecond
	// roomLevel is the utilization up to which a zone receives work of others. The rest is
	// for the variation of its own demand between two plans.
	roomLevel = 0.9
	// beginMargin is the factor by which the gain must exceed the cost for a share to begin.
	beginMargin = 1.25
	// drainTime is the time within which the work that waits in a short zone should leave.
	drainTime = 2 * time.Second
	// forecastTime is the time over which the growth of a short zone's queue counts as wait.
	forecastTime = time.Second
	// maxGain is the value of a request that its own zone cannot serve at all.
	maxGain = 10 * time.Second
	// maxRise bounds the growth of the total share that leaves a zone, per second.
	maxRise = 1.0
	// linkLevel is the part of a link's bandwidth that planned work may use.
	linkLevel = 0.9
	// trendTime is the averaging time of a zone's trend, maxGrowth the largest growth per
	// second of a sample, maxTrendAge the age of a report up to which the trend is applied,
	// and maxTrendRatio the largest correction.
	trendTime     = time.Second
	maxGrowth     = 1.0
	maxTrendAge   = 3 * time.Second
	maxTrendRatio = 0.5
	// maxInterval bounds the time between two updates that counts for maxRise.
	maxInterval = time.Second
	// minSlots is the least amount of work that is moved.
	minSlots = 1e-6
)

// Pair names the ends of a link: the zone that work leaves and the one that serves it.
type Pair struct{ From, To string }

// Link holds the properties of the connection between two zones.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// BytesPerSecond limits the planned volume; 0 means no limit.
	BytesPerSecond float64
	// PricePerMegabyte is the waiting time that costs as much as sending a megabyte.
	PricePerMegabyte time.Duration
	// Down is set while requests do not arrive over the link.
	Down bool
}

// Work is a kind of work of a zone: requests of one tier and of similar size.
type Work struct {
	// Tier is the rank; 0 is the highest.
	Tier int
	// Rate is the number of requests per second that arrive.
	Rate float64
	// Seconds is the time for which a request occupies a slot, Bytes the volume that it
	// moves when it crosses a link.
	Seconds, Bytes float64
}

// demand is the number of slots that the work occupies.
func (w *Work) demand() float64 { return w.Rate * w.Seconds }

// density is the volume for each second of processing.
func (w *Work) density() float64 {
	if w.Seconds <= 0 {
		return 0
	}
	return w.Bytes / w.Seconds
}

// Zone is the state of a zone as of a time.
type Zone struct {
	Name string
	// Capacity is the number of slots of the zone's targets.
	Capacity float64
	// Work is the work that arrives in the zone, wherever it is served. The kinds and their
	// order must not change between updates.
	Work []Work
	// Wait is the expected wait of a new request for a slot of the zone.
	Wait time.Duration
	// AsOf is when the values were measured.
	AsOf time.Time
}

// Change is the beginning or the end of a share.
type Change struct {
	Pair
	// Share is the part of the demand that leaves, 0 at the end.
	Share float64
}

// cost is the waiting time that is considered equal to the crossing of one request: the
// delay of the request and of its response, the transfer, and the price.
func (l *Link) cost(bytes float64) time.Duration {
	seconds := l.PricePerMegabyte.Seconds() * bytes / 1e6
	if l.BytesPerSecond > 0 {
		seconds += bytes / l.BytesPerSecond
	}
	return 2*l.Delay + time.Duration(seconds*float64(time.Second))
}
