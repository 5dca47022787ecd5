package experiment

import (
	"sync"

	"github.com/basilloom/basilloom/broker"
	"github.com/basilloom/basilloom/scheduler"
)

// trace collects the decisions of all groups.
type trace struct {
	mu        sync.Mutex
	decisions []broker.TracedDecision
}

func (t *trace) add(d broker.TracedDecision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decisions = append(t.decisions, d)
}

// Inversions counts the refusals of a tier while a lower one was served: a
// grant to a lower tier of the same group was made while the ticket waited.
type Inversions struct {
	Grants   int `json:"grants"`
	Refusals int `json:"refusals"`
	Cancels  int `json:"cancels"`
	// Capacity counts refusals for a full queue or a shed floor; invariant 2
	// forbids them.
	Capacity int `json:"capacity_inversions"`
	// Deadline counts refusals for a deadline that could no longer be met.
	Deadline int `json:"deadline_inversions"`
}

func (t *trace) inversions() Inversions {
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
			if !lowerServed(t.decisions[:i], d) {
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

// lowerServed tells whether one of the earlier decisions granted a lower tier
// while the refused ticket waited.
func lowerServed(earlier []broker.TracedDecision, refused broker.TracedDecision) bool {
	for i := len(earlier) - 1; i >= 0 && !earlier[i].Time.Before(refused.Submitted); i-- {
		d := earlier[i]
		_, granted := d.Decision.(scheduler.Grant)
		if granted && d.Group == refused.Group && d.Tier > refused.Tier {
			return true
		}
	}
	return false
}
