// Package rollout decides how a service moves from its targets of one version to
// those of another by a given time, and takes the new version back if it is
// worse. It does no I/O; the decisions of the fleet lie in one row of the store,
// which is written under the condition that nobody else wrote it.
package rollout

import (
	"fmt"
	"time"

	"github.com/basilloom/basilloom/moves"
)

// Order asks that a service moves to the targets of a version.
type Order struct {
	Service string
	To      string
	// Duration is the time within which the move should be done.
	Duration time.Duration
	// ID is the version of the order's row in the store.
	ID int64
}

// Phase is how far a move is.
type Phase string

// Phases of a move. Done and RolledBack are never left.
const (
	// Canary gives the new version a small share.
	Canary Phase = "canary"
	// Shifted gives it all new requests; those on the old version end.
	Shifted    Phase = "shifted"
	Done       Phase = "done"
	RolledBack Phase = "rolled back"
)

// Ended tells whether the phase is final.
func (p Phase) Ended() bool { return p == Done || p == RolledBack }

// Parameters of a move.
const (
	// CanaryShare is the new version's share of new requests. It leaves room below
	// the tenth that a bad version may get, for repeated sends.
	CanaryShare = 0.07
	// shiftPart is the part of the time after which all new requests go to the new
	// version. Badness may show late, so the canary lasts as long as the rest allows.
	shiftPart = 0.65
	// latestPart is the part of the time by which the move is done, whatever still
	// runs on the old version.
	latestPart = 0.88
	// settleTime is how long all instances are given to follow the shift.
	settleTime = time.Second
	// minAnswers of the new version are needed for the shift.
	minAnswers = 8
	// failureIncrease and slowdown are the limits of badness against the old version.
	failureIncrease = 0.04
	slowdown        = 2
)

// Evidence is what all instances have seen of one route.
type Evidence struct {
	From, To moves.Totals
}

// Regressed judges the new version by all routes together and by each alone.
func Regressed(routes map[uint32]*Evidence) (string, bool) {
	var all Evidence
	for _, e := range routes {
		if reason, bad := moves.TotalsRegressed(&e.From, &e.To, failureIncrease, slowdown); bad {
			return reason, true
		}
		all.From.Add(e.From)
		all.To.Add(e.To)
	}
	return moves.TotalsRegressed(&all.From, &all.To, failureIncrease, 0)
}

// Input is what a decision is made from.
type Input struct {
	Order Order
	Phase Phase
	// Elapsed is the time since the order was first seen, InPhase that since the
	// current phase began.
	Elapsed, InPhase time.Duration
	Evidence         map[uint32]*Evidence
	// FromRunning counts the requests that run on the old version.
	FromRunning int
	// Ready is set while a target of the new version takes requests.
	Ready bool
}

// Next returns the next phase and why, or the current one.
func Next(in Input) (Phase, string) {
	if in.Phase.Ended() {
		return in.Phase, ""
	}
	if reason, bad := Regressed(in.Evidence); bad {
		return RolledBack, reason
	}
	part := in.Elapsed.Seconds() / in.Order.Duration.Seconds()
	if in.Phase == Canary {
		var answers int64
		for _, e := range in.Evidence {
			answers += e.To.Requests
		}
		if in.Ready && part >= shiftPart && answers >= minAnswers {
			return Shifted, fmt.Sprintf("%d answers without sign of badness", answers)
		}
		return Canary, ""
	}
	if in.InPhase >= settleTime && (in.FromRunning == 0 || part >= latestPart) {
		return Done, fmt.Sprintf("%d requests left on the old version", in.FromRunning)
	}
	return Shifted, ""
}
