package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the forecast that entries use.
const (
	// ForecastValidity is how long an entry uses a forecast that is not renewed.
	ForecastValidity = time.Second
	// minPublishedWait is the shortest wait that is published. No route has an objective
	// that a shorter one would miss.
	minPublishedWait = 100 * time.Millisecond
	// workspaceExcess is how much longer than its tier's the wait of a workspace is if it
	// is published, and maxPublishedWorkspaces how many are, the longest waits first.
	workspaceExcess        = 1.25
	maxPublishedWorkspaces = 32
	// entryMargin times its useful time is the forecast wait from which an entry refuses a
	// request. The group itself refuses from repeatMargin at the latest; the distance
	// covers the age of the forecast.
	entryMargin = 1.5
	// entrySample is the share of such requests that is sent to the group all the same, so
	// that it sees the demand of each tier.
	entrySample = 1.0 / 16
)

// TierForecast is the expected wait of new tickets of a tier.
type TierForecast struct {
	Tier Rank
	// Wait is the wait of a workspace without waiting tickets.
	Wait time.Duration
	// Workspaces holds the workspaces that wait longer.
	Workspaces map[string]time.Duration
}

// Forecast returns the tiers in which a new ticket is expected to wait, the highest first.
func (g *Group) Forecast(now time.Time) []TierForecast {
	all := g.sets[setKey{}]
	if !g.mayForecast(now) || len(g.halfOpen) > 0 || (all != nil && all.hasRoom()) {
		return nil
	}
	var forecast []TierForecast
	for _, load := range g.forecast.tiers {
		rank := load.rank
		if g.forecast.grantedBelow(now.Add(-orderWindow), rank) {
			continue
		}
		if t := g.tierForecast(now, rank); t.Wait >= minPublishedWait || len(t.Workspaces) > 0 {
			forecast = append(forecast, t)
		}
	}
	return forecast
}

func (g *Group) tierForecast(now time.Time, rank Rank) TierForecast {
	f := TierForecast{Tier: rank}
	tier := g.queue.tier(rank)
	ahead := queued{higher: g.queue.waitingAbove(rank), same: tier.startedBefore(tier.virtualTime)}
	rate := g.forecast.tierRate(now, rank)
	f.Wait = forecastTime(float64(ahead.higher+ahead.same+1), rate)
	if ahead.higher+ahead.same == 0 {
		f.Wait = 0
	}
	longer := make([]string, 0, len(tier.finish))
	waits := make(map[string]time.Duration)
	for name, finish := range tier.finish {
		backlog := finish - tier.virtualTime
		load, ok := g.forecast.tier(rank).workspaces[name]
		if backlog <= 0 || !ok {
			continue
		}
		ahead.same, ahead.backlog = tier.startedBefore(finish), backlog*load.weight
		wait := g.forecast.wait(now, rank, name, load.weight, ahead)
		if wait >= minPublishedWait && wait.Seconds() > workspaceExcess*f.Wait.Seconds() {
			longer = append(longer, name)
			waits[name] = wait
		}
	}
	slices.SortFunc(longer, func(a, b string) int { return cmp.Or(cmp.Compare(waits[b], waits[a]), cmp.Compare(a, b)) })
	for _, name := range longer[min(len(longer), maxPublishedWorkspaces):] {
		delete(waits, name)
	}
	f.Workspaces = waits
	return f
}

// startedBefore counts the tickets whose start tag is not after the given one.
func (t *tierQueue) startedBefore(start float64) int {
	n := 0
	for _, c := range t.classes {
		for _, w := range c.tickets {
			if w.start <= start {
				n++
			}
		}
	}
	return n
}

// Admission is an entry's copy of a group's forecast. The zero value admits all requests.
type Admission struct {
	received time.Time
	tiers    map[Rank]TierForecast
	// refused is the highest tier that was refused by the present forecast; -1 if none was.
	refused Rank
}

// SetForecast replaces the forecast.
func (a *Admission) SetForecast(now time.Time, forecast []TierForecast) {
	a.received, a.refused = now, -1
	a.tiers = make(map[Rank]TierForecast, len(forecast))
	for _, t := range forecast {
		a.tiers[t.Tier] = t
	}
}

// Refuse reports whether a request is refused without a ticket, and its forecast wait. It
// can usefully wait for the given time; whole is set if that is its whole objective. While
// a tier is refused the lower ones are too, because a longer objective must not let them
// wait for what the higher one cannot get. draw is a random number in [0,1).
func (a *Admission) Refuse(now time.Time, rank Rank, workspace string, useful time.Duration, whole bool, draw float64) (time.Duration, bool) {
	if len(a.tiers) == 0 || now.Sub(a.received) > ForecastValidity {
		return 0, false
	}
	tier := a.tiers[rank]
	wait := max(tier.Wait, tier.Workspaces[workspace])
	tooLong := wait.Seconds() > entryMargin*useful.Seconds()
	if !tooLong && (a.refused < 0 || rank <= a.refused) {
		return wait, false
	}
	if tooLong && whole && tier.Wait >= wait && (a.refused < 0 || rank < a.refused) {
		a.refused = rank
	}
	return wait, draw >= entrySample
}
