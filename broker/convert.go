package broker

import (
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
)

// toTicket converts a ticket message of the entry that sent the hello. The weight of
// the workspace comes from the broker's own configuration.
func toTicket(now time.Time, from *pb.Hello, m *pb.Ticket, weight float64) scheduler.Ticket {
	return scheduler.Ticket{
		ID:             ticketID(from, m.GetId()),
		AllowedRegions: m.GetAllowedRegions(),
		Workspace:      m.GetWorkspace(),
		Weight:         weight,
		Tier:           scheduler.Rank(m.GetTier()),
		Route:          m.GetRoute(),
		Version:        m.GetVersion(),
		PromptTokens:   int(m.GetPromptTokens()),
		OutputTokens:   int(m.GetOutputTokens()),
		Prefix:         m.GetPrefix(),
		BodyBytes:      m.GetBodyBytes(),
		Region:         from.GetRegion(),
		Deadline:       now.Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond),
		Finish:         finish(now, m),
		Fingerprint:    m.GetFingerprint(),
		SharedParts:    m.GetSharedParts(),
		Cancellable:    m.GetCancellable(),
		Idempotent:     m.GetIdempotent(),
		Avoid:          m.GetAvoid(),
		Excluded:       exclusions(now, m),

		ForecastAdmission: m.GetForecastAdmission(),
	}
}

// finish returns when the whole response is due; zero if it has no deadline.
func finish(now time.Time, m *pb.Ticket) time.Time {
	if m.GetFinishMs() == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(m.GetFinishMs()) * time.Millisecond)
}

func ticketID(from *pb.Hello, sequence uint64) scheduler.TicketID {
	return scheduler.TicketID{
		Instance:    from.GetInstance(),
		Incarnation: from.GetIncarnation(),
		Sequence:    sequence,
	}
}

var results = map[pb.Result]scheduler.Result{
	pb.Result_RESULT_SERVED:         scheduler.ResultServed,
	pb.Result_RESULT_FAILED:         scheduler.ResultFailed,
	pb.Result_RESULT_NOT_DISPATCHED: scheduler.ResultNotDispatched,
	pb.Result_RESULT_CANCELLED:      scheduler.ResultCancelled,
	pb.Result_RESULT_TARGET_DIED:    scheduler.ResultTargetCrashed,
}

func toCompletion(from *pb.Hello, m *pb.Completion) scheduler.Completion {
	result, ok := results[m.GetResult()]
	if !ok {
		result = scheduler.ResultFailed
	}
	return scheduler.Completion{
		ID:           ticketID(from, m.GetId()),
		Result:       result,
		PromptTokens: int(m.GetPromptTokens()),
		CachedTokens: int(m.GetCachedTokens()),
		OutputTokens: int(m.GetOutputTokens()),
		FirstToken:   time.Duration(m.GetFirstTokenMs()) * time.Millisecond,
		Total:        time.Duration(m.GetTotalMs()) * time.Millisecond,
	}
}

// addDecision appends a decision to the response of its entry.
func addDecision(now time.Time, r *pb.TicketsResponse, d scheduler.Decision) {
	switch d := d.(type) {
	case scheduler.Grant:
		r.Grant = append(r.Grant, &pb.GrantMessage{
			Id:      d.Ticket.Sequence,
			Target:  d.Target,
			ValidMs: d.Expires.Sub(now).Milliseconds(),
		})
	case scheduler.Refusal:
		r.Refuse = append(r.Refuse, refuseMessage(d, 0))
	case scheduler.ForecastRefusal:
		r.Refuse = append(r.Refuse, refuseMessage(d.Refusal, d.Wait))
	case scheduler.Cancellation:
		r.Cancel = append(r.Cancel, &pb.CancelMessage{Id: d.Ticket.Sequence, Reason: string(d.Reason)})
	}
}

func refuseMessage(d scheduler.Refusal, forecast time.Duration) *pb.RefuseMessage {
	return &pb.RefuseMessage{
		Id: d.Ticket.Sequence, Reason: string(d.Reason),
		RetryAfterMs: d.RetryAfter.Milliseconds(), ForecastMs: forecast.Milliseconds(),
	}
}

// withoutForecast returns a ForecastRefusal as a Refusal and other decisions as they are.
func withoutForecast(d scheduler.Decision) scheduler.Decision {
	if refused, ok := d.(scheduler.ForecastRefusal); ok {
		return refused.Refusal
	}
	return d
}

// decisionTicket returns the id of the ticket that a decision is for, if there is one.
func decisionTicket(d scheduler.Decision) (scheduler.TicketID, bool) {
	switch d := d.(type) {
	case scheduler.Grant:
		return d.Ticket, true
	case scheduler.Refusal:
		return d.Ticket, true
	case scheduler.ForecastRefusal:
		return d.Ticket, true
	case scheduler.Cancellation:
		return d.Ticket, true
	default:
		return scheduler.TicketID{}, false
	}
}

// untilDecided is the length of an exclusion without a time: longer than any ticket waits.
const untilDecided = time.Hour

// exclusions returns the targets that the ticket must not use and until when. An instance
// of an earlier version does not send the times; its exclusions last as long as the ticket.
func exclusions(now time.Time, m *pb.Ticket) []scheduler.Exclusion {
	var excluded []scheduler.Exclusion
	for i, target := range m.GetExcluded() {
		remaining := untilDecided
		if i < len(m.GetExcludedMs()) {
			remaining = time.Duration(m.GetExcludedMs()[i]) * time.Millisecond
		}
		excluded = append(excluded, scheduler.Exclusion{Target: target, Until: now.Add(remaining)})
	}
	return excluded
}
