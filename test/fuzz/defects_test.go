package fuzz

import (
	"context"
	"time"

	"github.com/basilloom/basilloom/claims"
	"github.com/basilloom/basilloom/config"
	"github.com/basilloom/basilloom/scheduler"
)

// defect is a deliberate defect, identified by the invariant that it violates.
// Zero is the real code.
type defect invariant

const noDefect defect = 0

func (d defect) breaks(i invariant) bool { return invariant(d) == i }

// retriesAfterWrite reports whether an entry dispatches again after a broken
// connection.
func (d defect) retriesAfterWrite() bool { return d.breaks(atMostOnce) }

// ignoresStop reports whether requests go to a stopped version.
func (d defect) ignoresStop() bool { return d.breaks(badVersionShare) }

// deliversMismatched reports whether an entry ignores the ID of a response.
func (d defect) deliversMismatched() bool { return d.breaks(ownCompleteResponse) }

// labelsFailedNotRun reports whether a failure after dispatch ends as not run.
func (d defect) labelsFailedNotRun() bool { return d.breaks(notRunAccurate) }

// grantsLeaving reports whether group and entry ignore leaving notices.
func (d defect) grantsLeaving() bool { return d.breaks(leavingTargets) }

// dropsInFlight reports whether a shutdown does not wait for requests in flight.
func (d defect) dropsInFlight() bool { return d.breaks(gracefulShutdown) }

// wrapGroup returns a group that sheds a waiting ticket of a higher tier first if
// the defect breaks tierOrder.
func (d defect) wrapGroup(real *scheduler.Group) group {
	if d.breaks(tierOrder) {
		return &invertedShedGroup{Group: real, waiting: make(map[scheduler.TicketID]scheduler.Ticket)}
	}
	return real
}

// invertedShedGroup sheds a waiting ticket of a higher tier instead of the one
// that the real group sheds.
type invertedShedGroup struct {
	*scheduler.Group
	waiting map[scheduler.TicketID]scheduler.Ticket
}

// Submit replaces a refusal for a full queue by that of a higher-tier ticket.
func (g *invertedShedGroup) Submit(now time.Time, t scheduler.Ticket) []scheduler.Decision {
	g.waiting[t.ID] = t
	decisions := g.Group.Submit(now, t)
	for i, d := range decisions {
		if refusal, ok := d.(scheduler.Refusal); ok && refusal.Reason == scheduler.ReasonQueueFull {
			decisions[i] = g.replaceRefusal(now, refusal)
		}
	}
	return g.dropDecided(decisions)
}

// Tick removes decided tickets from waiting.
func (g *invertedShedGroup) Tick(now time.Time) []scheduler.Decision {
	return g.dropDecided(g.Group.Tick(now))
}

// Complete removes decided tickets from waiting.
func (g *invertedShedGroup) Complete(now time.Time, c scheduler.Completion) []scheduler.Decision {
	return g.dropDecided(g.Group.Complete(now, c))
}

func (g *invertedShedGroup) replaceRefusal(now time.Time, refusal scheduler.Refusal) scheduler.Decision {
	low := g.waiting[refusal.Ticket]
	for id, t := range g.waiting {
		if t.Tier < low.Tier {
			g.Withdraw(now, id)
			g.Group.Submit(now, low)
			return scheduler.Refusal{Ticket: id, Reason: scheduler.ReasonQueueFull}
		}
	}
	return refusal
}

func (g *invertedShedGroup) dropDecided(decisions []scheduler.Decision) []scheduler.Decision {
	for _, d := range decisions {
		switch d := d.(type) {
		case scheduler.Grant:
			delete(g.waiting, d.Ticket)
		case scheduler.Refusal:
			delete(g.waiting, d.Ticket)
		}
	}
	return decisions
}

// wrapClaims returns a store that treats a lost response as a write without effect
// and claims again, if the defect breaks claimedOnce.
func (d defect) wrapClaims(real *claims.Store) claimStore {
	if d.breaks(claimedOnce) {
		return reacquiringClaims{real}
	}
	return real
}

type reacquiringClaims struct{ *claims.Store }

// Begin acquires a claim that is already in progress or unknown.
func (c reacquiringClaims) Begin(ctx context.Context, request claims.Request) (claims.BeginResult, error) {
	begun, err := c.Store.Begin(ctx, request)
	if begun.Outcome == claims.InProgress || begun.Outcome == claims.Unknown {
		begun.Outcome = claims.Acquired
	}
	return begun, err
}

// snapshot returns an older generation of a peer in place of the current one if the
// defect breaks configInForce.
func (d defect) snapshot(in *instance, real *config.Snapshot) *config.Snapshot {
	if !d.breaks(configInForce) || real == nil {
		return real
	}
	for _, other := range in.world.instances {
		older := other.snapshot
		if other != in && other.alive && older != nil && older.Generation() < real.Generation() && in.snapshot == real {
			return older
		}
	}
	return real
}
