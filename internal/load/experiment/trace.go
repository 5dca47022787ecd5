package experiment

import (
	"sync"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/scheduler"
)

// decisionTrace records the decisions of all groups.
type decisionTrace struct {
	mu        sync.Mutex
	decisions []broker.TracedDecision
}

func (t *decisionTrace) add(d broker.TracedDecision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decisions = append(t.decisions, d)
}

// Inversions counts the decisions, and the refusals of a tier while a lower one was
// served: a lower tier of the same group received a grant while the ticket waited.
type Inversions struct {
	Grants   int `json:"grants"`
	Refusals int `json:"refusals"`
	Cancels  int `json:"cancels"`
	// Capacity counts refusals because of a full queue or a shed floor. Invariant 2
	// forbids them.
	Capacity int `json:"capacity_inversions"`
	// Deadline counts refusals because the deadline could no longer be met.
	Deadline int `json:"deadline_inversions"`
}

func (t *decisionTrace) inversions() Inversions {
	t.mu.Lock()
	defer t.mu.Unlock()
	var result Inversions
	for i, d := range t.decisions {
		switch decision := d.Decision.(type) {
		case scheduler.Grant:
			result.Grants++
		case scheduler.Cancellation:
			result.Cancels++
		case scheduler.Refusal:
			result.Refusals++
			if !lowerTierGranted(t.decisions[:i], d) {
				continue
			}
			switch decision.Reason {
			case scheduler.ReasonQueueFull, scheduler.ReasonShed:
				result.Capacity++
			case scheduler.ReasonDeadline:
				result.Deadline++
			}
		}
	}
	return result
}

// lowerTierGranted reports whether one of the earlier decisions granted a lower tier
// while the refused ticket waited.
func lowerTierGranted(earlier []broker.TracedDecision, refused broker.TracedDecision) bool {
	for i := len(earlier) - 1; i >= 0 && !earlier[i].Time.Before(refused.Submitted); i-- {
		d := earlier[i]
		_, granted := d.Decision.(scheduler.Grant)
		if granted && d.Group == refused.Group && d.Tier > refused.Tier {
			return true
		}
	}
	return false
}
