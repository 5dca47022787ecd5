package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the forecast.
const (
	// forecastMinAge and forecastMinExits are the measurements that a forecast needs: with
	// fewer ended requests, the rate at which slots become free is off by more than a fifth.
	forecastMinAge   = time.Second
	forecastMinExits = 32
	// exitMemory and arrivalMemory are the time constants of the measured rates. The group
	// sees a burst in its queue at once, so the rates only have to be steady.
	exitMemory    = time.Second
	arrivalMemory = 500 * time.Millisecond
	// minCapacityShare bounds from below the share of the throughput that a tier is
	// expected to get, and maxForecast bounds the forecast.
	minCapacityShare = 0.01
	maxForecast      = time.Minute
)

// decayed is a sum whose terms lose weight exponentially with their age.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) add(now time.Time, x float64) {
	d.sum = d.value(now) + x
	d.at = now
}

func (d *decayed) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * decayFactor(now.Sub(d.at), arrivalMemory)
}

func decayFactor(d, memory time.Duration) float64 {
	return math.Exp(-max(0, d).Seconds() / memory.Seconds())
}

// forecaster estimates how long a new ticket will wait for a slot. It measures the rate at
// which a running request ends, and the arrivals that waited or were granted, by tier and
// workspace. It refuses nothing itself.
type forecaster struct {
	// began is when the first request ran; zero before.
	began time.Time
	// exits is the number of requests that ended and exposure the sum of the running times
	// of all requests, in seconds, both with decreasing weights of older ones. Their ratio
	// does not depend on how many slots were in use, so it also holds when the load rises
	// or targets are lost.
	exits, exposure float64
	running         int
	// correction is the number of requests that other groups placed on the targets, less
	// the running ones on targets that get no further grants: their ends free no slots.
	correction int
	updated    time.Time
	// tiers are sorted by rank. Sums are taken in a fixed order, so that equal inputs give
	// equal decisions.
	tiers []*tierLoad
}

// tierLoad is the recent load of one tier.
type tierLoad struct {
	rank Rank
	// arrivals counts the admitted tickets, offered also the refused ones.
	arrivals, offered decayed
	workspaces        map[string]*workspaceLoad
	// order holds the workspaces in the order of their first arrival.
	order []*workspaceLoad
	// granted is when a ticket of the tier was last granted, refused when one that had its
	// whole objective left was last refused by its forecast.
	granted, refused time.Time
	shares           tierShares
}

// workspaceLoad is the recent work of one workspace in a tier.
type workspaceLoad struct {
	work   decayed
	weight float64
}

// rate returns the work that the workspace asks for in a second.
func (w *workspaceLoad) rate(now time.Time) float64 {
	return max(0, w.work.value(now)) / arrivalMemory.Seconds()
}

func newForecaster() *forecaster { return &forecaster{} }

func (f *forecaster) tier(rank Rank) *tierLoad {
	i, ok := slices.BinarySearchFunc(f.tiers, rank, func(t *tierLoad, r Rank) int { return cmp.Compare(t.rank, r) })
	if !ok {
		f.tiers = slices.Insert(f.tiers, i, &tierLoad{rank: rank, workspaces: make(map[string]*workspaceLoad)})
	}
	return f.tiers[i]
}

// advance adds the time since the last change of the running requests to the exposure.
func (f *forecaster) advance(now time.Time) {
	passed := max(0, now.Sub(f.updated))
	f.updated = now
	if f.began.IsZero() {
		f.began = now
		return
	}
	factor := decayFactor(passed, exitMemory)
	if f.exits*factor < forecastMinExits {
		// In a slow group, the memory is as long as forecastMinExits requests take.
		f.exposure += float64(f.running) * passed.Seconds()
		return
	}
	f.exits *= factor
	f.exposure = f.exposure*factor + float64(f.running)*exitMemory.Seconds()*(1-factor)
}

func (f *forecaster) started(now time.Time, rank Rank) {
	f.advance(now)
	f.running++
	f.tier(rank).granted = now
}

func (f *forecaster) ended(now time.Time) {
	f.advance(now)
	f.running--
}

// freed records that a slot became free in the usual way. Requests that end with their
// target or their entry end together and free no slots.
func (f *forecaster) freed() { f.exits++ }

// arrived records an admitted ticket and its work.
func (f *forecaster) arrived(now time.Time, t *Ticket, work float64) {
	tier := f.tier(t.Tier)
	tier.arrivals.add(now, 1)
	tier.offered.add(now, 1)
	w, ok := tier.workspaces[t.Workspace]
	if !ok {
		w = &workspaceLoad{}
		tier.workspaces[t.Workspace] = w
		tier.order = append(tier.order, w)
	}
	w.weight = weightOf(t)
	w.work.add(now, work)
}

// withdrawn takes back an arrival that was refused at once. It does not compete for slots.
func (f *forecaster) withdrawn(now time.Time, t *Ticket, work float64) {
	tier := f.tier(t.Tier)
	tier.arrivals.add(now, -1)
	if w, ok := tier.workspaces[t.Workspace]; ok {
		w.work.add(now, -work)
	}
}

// prune deletes the workspaces that have sent nothing for a time.
func (f *forecaster) prune(now time.Time) {
	for _, tier := range f.tiers {
		for name, w := range tier.workspaces {
			if now.Sub(w.work.at) > tierRetention {
				delete(tier.workspaces, name)
				tier.order = slices.DeleteFunc(tier.order, func(o *workspaceLoad) bool { return o == w })
			}
		}
	}
}

// measured reports whether there are enough measurements for a forecast.
func (f *forecaster) measured(now time.Time) bool {
	return !f.began.IsZero() && now.Sub(f.began) >= forecastMinAge && f.exits >= forecastMinExits && f.running > 0
}

// throughput returns the expected number of slots that become free in a second.
func (f *forecaster) throughput(now time.Time) float64 {
	exposure := f.exposure + float64(f.running)*max(0, now.Sub(f.updated)).Seconds()
	return f.exits / exposure * float64(max(1, f.running+f.correction))
}

// tierRate returns the slots a second that the higher tiers leave to a tier.
func (f *forecaster) tierRate(now time.Time, rank Rank) float64 {
	throughput := f.throughput(now)
	return max(throughput-f.arrivalsAbove(now, rank), minCapacityShare*throughput)
}

// arrivalsAbove returns the rate of admitted tickets of the higher tiers.
func (f *forecaster) arrivalsAbove(now time.Time, rank Rank) float64 {
	sum := 0.0
	for _, t := range f.tiers {
		if t.rank < rank {
			sum += t.arrivals.value(now)
		}
	}
	return max(0, sum) / arrivalMemory.Seconds()
}

// drains reports whether fewer tickets of the tier and the higher ones arrive than slots
// become free.
func (f *forecaster) drains(now time.Time, rank Rank) bool {
	sum := 0.0
	for _, t := range f.tiers {
		if t.rank <= rank {
			sum += t.offered.value(now)
		}
	}
	return f.measured(now) && sum/arrivalMemory.Seconds() < f.throughput(now)
}

// grantedBelow reports whether a ticket of a lower tier was granted since the given time.
func (f *forecaster) grantedBelow(since time.Time, rank Rank) bool {
	for _, t := range f.tiers {
		if t.rank > rank && t.granted.After(since) {
			return true
		}
	}
	return false
}

// refusedAbove reports whether a ticket of a higher tier was refused since the given time.
func (f *forecaster) refusedAbove(since time.Time, rank Rank) bool {
	for _, t := range f.tiers {
		if t.rank < rank && t.refused.After(since) {
			return true
		}
	}
	return false
}

// queued is the part of the queue that is served before a ticket.
type queued struct {
	// higher counts the tickets of higher tiers, same those of the ticket's tier.
	higher, same int
	// backlog is the work of the ticket's workspace that waits in the tier, the ticket's
	// own included.
	backlog float64
}

// wait returns the expected wait of a ticket. Higher tiers take what they need first; the
// rest of the throughput serves the tickets ahead, and the workspace is served at no less
// than its share. Use it only if measured reports true.
func (f *forecaster) wait(now time.Time, rank Rank, workspace string, weight float64, ahead queued) time.Duration {
	throughput := f.throughput(now)
	if ahead.higher+ahead.same == 0 {
		// The next slot is the ticket's.
		return forecastTime(1, throughput)
	}
	rate := f.tierRate(now, rank)
	wait := forecastTime(float64(ahead.higher+ahead.same+1), rate)
	if share := f.workspaceShare(now, rank, workspace, weight, rate); share > 0 {
		wait = max(wait, forecastTime(float64(ahead.higher), rate)+forecastTime(ahead.backlog, share))
	}
	return min(wait, maxForecast)
}

func forecastTime(amount, rate float64) time.Duration {
	if amount >= rate*maxForecast.Seconds() {
		return maxForecast
	}
	return seconds(amount / rate)
}

// workspaceShare returns the rate, in work per second, at which a workspace of the tier
// will be served if the tier gets rate tickets a second; 0 if it is unknown. Workspaces
// that ask for less than their share get what they ask for, the others share the rest by
// their weights.
func (f *forecaster) workspaceShare(now time.Time, rank Rank, workspace string, weight, rate float64) float64 {
	tier := f.tier(rank)
	if now.Sub(tier.shares.at) >= sharesValidity {
		tier.shares = tier.computeShares(now, rate)
	}
	s := &tier.shares
	others := s.total
	if w, ok := tier.workspaces[workspace]; ok {
		others = max(0, s.total-w.rate(now))
	}
	return max(s.level*weight, s.capacity-others)
}

const (
	// sharesValidity is how long the shares of a tier are used, because computing them
	// visits all its workspaces.
	sharesValidity = 20 * time.Millisecond
	// fairRounds bounds the rounds of computeShares. Each round removes the workspaces that
	// are below the level of the one before; the level found after a few is close to the
	// final one.
	fairRounds = 4
)

// tierShares holds the fair shares of a tier's workspaces, in work per second.
type tierShares struct {
	at time.Time
	// capacity is what the tier is served, total what its workspaces ask for, and level
	// what a unit of weight gets of a workspace that asks for more.
	capacity, total, level float64
}

func (t *tierLoad) computeShares(now time.Time, rate float64) tierShares {
	s := tierShares{at: now}
	for _, w := range t.order {
		s.total += w.rate(now)
	}
	arrivals := t.arrivals.value(now) / arrivalMemory.Seconds()
	if arrivals < 1 || s.total <= 0 {
		return s
	}
	s.capacity = rate * s.total / arrivals
	for range fairRounds {
		left, weights := s.capacity, 0.0
		for _, w := range t.order {
			if work := w.rate(now); work <= s.level*w.weight {
				left -= work
				continue
			}
			weights += w.weight
		}
		if weights == 0 || left/weights <= s.level {
			break
		}
		s.level = left / weights
	}
	return s
}

// weightOf returns the share of the ticket's workspace.
func weightOf(t *Ticket) float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}
