package broker

import (
	"time"

	"github.com/basilloom/basilloom/scheduler"
)

// TracedDecision is a decision on a ticket. The decisions of one group are traced in
// the order in which they were made.
type TracedDecision struct {
	Time      time.Time
	Group     GroupKey
	Tier      scheduler.Rank
	Submitted time.Time
	Decision  scheduler.Decision
}

// tracer passes decisions to a hook, with the tier and the submission time of their
// tickets. A nil tracer does nothing.
type tracer struct {
	key     GroupKey
	hook    func(TracedDecision)
	tickets map[scheduler.TicketID]tracedTicket
}

type tracedTicket struct {
	tier      scheduler.Rank
	submitted time.Time
}

func newTracer(key GroupKey, hook func(TracedDecision)) *tracer {
	if hook == nil {
		return nil
	}
	return &tracer{key: key, hook: hook, tickets: make(map[scheduler.TicketID]tracedTicket)}
}

func (t *tracer) submitted(now time.Time, ticket scheduler.Ticket) {
	if t == nil {
		return
	}
	if _, ok := t.tickets[ticket.ID]; !ok {
		t.tickets[ticket.ID] = tracedTicket{tier: ticket.Tier, submitted: now}
	}
}

func (t *tracer) forget(id scheduler.TicketID) {
	if t != nil {
		delete(t.tickets, id)
	}
}

// decided passes the decisions on and returns them.
func (t *tracer) decided(now time.Time, decisions []scheduler.Decision) []scheduler.Decision {
	if t == nil {
		return decisions
	}
	for _, d := range decisions {
		id, ok := decisionTicket(d)
		if !ok {
			continue
		}
		d = withoutForecast(d)
		ticket := t.tickets[id]
		t.hook(TracedDecision{Time: now, Group: t.key, Tier: ticket.tier, Submitted: ticket.submitted, Decision: d})
		if _, refused := d.(scheduler.Refusal); refused {
			t.forget(id)
		}
	}
	return decisions
}
