package fuzz

import (
	"context"
	"time"

	"github.com/basilloom/basilloom/claims"
	"github.com/basilloom/basilloom/config"
	"github.com/basilloom/basilloom/scheduler"
)

// defect is a deliberately broken build, named by the invariant that it
// breaks. Zero is the real code.
type defect invariant

const noDefect defect = 0

func (d defect) breaks(i invariant) bool { return invariant(d) == i }

// retriesAfterWrite: an entry dispatches again after a connection broke.
func (d defect) retriesAfterWrite() bool { return d.breaks(atMostOnce) }

// ignoresStop: the chooser sends traffic to a stopped version.
func (d defect) ignoresStop() bool { return d.breaks(badVersionShare) }

// deliversCrossed: an entry does not compare the id of an answer.
func (d defect) deliversCrossed() bool { return d.breaks(ownWholeAnswer) }

// labelsFailedNotRun: a failure after dispatch is reported as not run.
func (d defect) labelsFailedNotRun() bool { return d.breaks(notRunIsTrue) }

// grantsLeaving: neither group nor entry looks at leaving notices.
func (d defect) grantsLeaving() bool { return d.breaks(leavingTargets) }

// dropsInFlight: a shutdown does not wait for the requests in flight.
func (d defect) dropsInFlight() bool { return d.breaks(gracefulShutdown) }

// wrapGroup makes a group that sheds the highest waiting tier first.
func (d defect) wrapGroup(real *scheduler.Group) group {
	if d.breaks(tierOrder) {
		return &upsideDownGroup{Group: real, waiting: make(map[scheduler.TicketID]scheduler.Ticket)}
	}
	return real
}

// upsideDownGroup exchanges the shed ticket with a waiting one of the highest tier.
type upsideDownGroup struct {
	*scheduler.Group
	waiting map[scheduler.TicketID]scheduler.Ticket
}

// Submit sheds a higher ticket in place of the new one.
func (g *upsideDownGroup) Submit(now time.Time, t scheduler.Ticket) []scheduler.Decision {
	g.waiting[t.ID] = t
	decisions := g.Group.Submit(now, t)
	for i, d := range decisions {
		if refusal, ok := d.(scheduler.Refusal); ok && refusal.Reason == scheduler.ReasonQueueFull {
			decisions[i] = g.exchange(now, refusal)
		}
	}
	return g.forget(decisions)
}

// Tick forgets the tickets that are decided.
func (g *upsideDownGroup) Tick(now time.Time) []scheduler.Decision {
	return g.forget(g.Group.Tick(now))
}

// Complete forgets the tickets that are decided.
func (g *upsideDownGroup) Complete(now time.Time, c scheduler.Completion) []scheduler.Decision {
	return g.forget(g.Group.Complete(now, c))
}

func (g *upsideDownGroup) exchange(now time.Time, refusal scheduler.Refusal) scheduler.Decision {
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

func (g *upsideDownGroup) forget(decisions []scheduler.Decision) []scheduler.Decision {
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

// wrapClaims makes a store that takes a lost answer for a write that had no
// effect, and claims again.
func (d defect) wrapClaims(real *claims.Store) claimStore {
	if d.breaks(claimedOnce) {
		return forgetfulClaims{real}
	}
	return real
}

type forgetfulClaims struct{ *claims.Store }

// Begin grants every call whose claim exists already.
func (c forgetfulClaims) Begin(ctx context.Context, request claims.Request) (claims.BeginResult, error) {
	begun, err := c.Store.Begin(ctx, request)
	if begun.Outcome == claims.InProgress || begun.Outcome == claims.Unknown {
		begun.Outcome = claims.Acquired
	}
	return begun, err
}

// snapshot makes a watcher that takes any other generation that a peer has.
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
