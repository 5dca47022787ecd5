// Package rollout decides how a service moves from targets of one version to targets
// of another within a given time, and rolls back if the new version is worse. It does
// no I/O. The fleet's decision is one row of the store, which is written only if no
// other instance has changed it.
package rollout

import (
	"fmt"
	"time"

	"github.com/basilloom/basilloom/evidence"
)

// Order requests that a service move to the targets of a version.
type Order struct {
	Service string
	To      string
	// Duration is the time within which the move should complete.
	Duration time.Duration
	// ID is the version of the order's row in the store.
	ID int64
}

// Phase is the progress of a move.
type Phase string

// Phases of a move. Done and RolledBack are final.
const (
	// Canary sends a small share of new requests to the new version.
	Canary Phase = "canary"
	// Shifted sends new requests to the new version, at first rampShare of them, while
	// requests on the old version finish.
	Shifted    Phase = "shifted"
	Done       Phase = "done"
	RolledBack Phase = "rolled back"
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Done || p == RolledBack }

// Parameters of a move.
const (
	// CanaryShare is the new version's share of new requests. A bad version may receive
	// at most a tenth of the requests; the share is lower to leave room for retries.
	CanaryShare = 0.07
	// Until initialRequests requests have been sent to the new version, its share is raised
	// to initialRate requests a second, at most maxInitialShare, so that services with few
	// requests see enough responses in time. The users allow a bad version 50 requests
	// beyond the share.
	initialRequests = 30
	initialRate     = 10
	maxInitialShare = 0.5
	// minRateTime is the shortest time over which the rate of requests is estimated.
	minRateTime = time.Second
	// shiftFraction is the fraction of the duration after which all new requests go to
	// the new version. Regressions may appear late, so the canary phase lasts as long
	// as the remaining steps permit.
	shiftFraction = 0.65
	// completionFraction is the fraction of the duration after which the move is done
	// even if requests still run on the old version.
	completionFraction = 0.88
	// rampShare is the new version's share of new requests in the first rampTime after the
	// shift. A version that becomes slow or fails only under load is stopped before all
	// requests go to it.
	rampShare = 0.3
	rampTime  = time.Second
	// PropagationTime is the time allowed for all instances to apply the shift.
	PropagationTime = time.Second
	// minResponses is the number of responses from the new version needed for the shift.
	minResponses = 6
	// maxFailureIncrease limits the increase of the failure ratio against the old version.
	maxFailureIncrease = 0.04
	// maxRouteSlowdown limits the ratio of the times on one route, maxSlowdown that over all
	// routes. The second is lower, because all routes together give more evidence.
	maxRouteSlowdown = 2
	maxSlowdown      = 1.5
	// maxShiftSlowdown limits the estimated ratio with which all requests are shifted.
	// A new version gets few requests before that and should be no slower than the old one.
	maxShiftSlowdown = 1.25
	// shiftSigma is the distance above maxShiftSlowdown in standard errors that prevents the
	// shift. With few responses the estimate of a good version is above the limit too often.
	shiftSigma = 2
)

// Regressed reports whether the new version is worse on any route or on all routes
// together, and why.
func Regressed(routes map[uint32]*evidence.Pair) (string, bool) {
	for _, pair := range routes {
		limits := evidence.Limits{FailureIncrease: maxFailureIncrease, Slowdown: maxRouteSlowdown}
		if reason, regressed := evidence.Regressed([]evidence.Pair{*pair}, limits); regressed {
			return reason, true
		}
	}
	return evidence.Regressed(pairs(routes), evidence.Limits{FailureIncrease: maxFailureIncrease, Slowdown: maxSlowdown})
}

func pairs(routes map[uint32]*evidence.Pair) []evidence.Pair {
	all := make([]evidence.Pair, 0, len(routes))
	for _, pair := range routes {
		all = append(all, *pair)
	}
	return all
}

func preventsShift(s evidence.Slowdown) bool { return s.Above(maxShiftSlowdown, shiftSigma) }

// Input holds the data for a decision.
type Input struct {
	Order Order
	Phase Phase
	// Elapsed is the time since the order was first seen, InPhase the time since the
	// current phase began.
	Elapsed, InPhase time.Duration
	Observed         Observations
	// Ready is set while a target of the new version accepts requests.
	Ready bool
}

// Next returns the next phase and the reason, or the current phase and what the next one
// waits for, if anything.
func Next(in Input) (Phase, string) {
	if in.Phase.Ended() {
		return in.Phase, ""
	}
	if reason, regressed := in.Observed.regressed(); regressed {
		return RolledBack, reason
	}
	fraction := in.Elapsed.Seconds() / in.Order.Duration.Seconds()
	if in.Phase == Canary {
		if fraction < shiftFraction {
			return Canary, ""
		}
		missing, sufficient := in.shiftable()
		switch {
		case sufficient:
			return Shifted, in.Observed.summary()
		case fraction >= completionFraction:
			return RolledBack, missing
		}
		return Canary, missing
	}
	if in.InPhase >= PropagationTime && (in.Observed.FromRunning == 0 || fraction >= completionFraction) {
		return Done, fmt.Sprintf("%d requests left on the old version", in.Observed.FromRunning)
	}
	return Shifted, ""
}

// shiftable reports whether the evidence suffices to send all requests to the new version
// and, if not, what is missing.
func (in *Input) shiftable() (string, bool) {
	if times, slow := evidence.Slower(pairs(in.Observed.Routes), preventsShift); slow {
		return "responses seem to take " + times, false
	}
	if times, slow := evidence.Slower(pairs(in.Observed.Recent), preventsShift); slow {
		return "recent responses seem to take " + times, false
	}
	if responses := in.Observed.responses(); responses < minResponses {
		return fmt.Sprintf("%d of %d responses seen", responses, minResponses), false
	}
	if !in.Ready {
		return "no target of the new version is ready", false
	}
	return "", true
}

// regressed reports whether the new version is worse since the order or recently, and why.
func (o *Observations) regressed() (string, bool) {
	if reason, regressed := Regressed(o.Routes); regressed {
		return reason, true
	}
	if reason, regressed := Regressed(o.Recent); regressed {
		return reason + ", recently", true
	}
	return "", false
}

// responses is the number of responses of the new version that have begun or failed.
func (o *Observations) responses() int64 {
	var responses int64
	for _, e := range o.Routes {
		responses += max(e.To.Requests, e.To.First.Count()+e.To.Failures)
	}
	return responses
}

func (o *Observations) summary() string {
	return fmt.Sprintf("%d responses show no regression; they take %v as long, and %v between events", o.responses(),
		evidence.Compare(pairs(o.Routes), evidence.FirstEvents), evidence.Compare(pairs(o.Routes), evidence.Intervals))
}
