package membership

import (
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// outgoing collects the records of one message.
type outgoing struct {
	members    []*pb.Member
	leaving    []*pb.LeavingTarget
	quarantine []*pb.QuarantineEntry
	evidence   []*pb.EvidenceCounter
	stops      []*pb.MoveStop
	progress   []*pb.MoveProgress
}

func (o *outgoing) toRequest(r *pb.ExchangeRequest) {
	r.Members, r.Leaving, r.Quarantine, r.Evidence, r.Stops = o.members, o.leaving, o.quarantine, o.evidence, o.stops
	r.Progress = o.progress
}

func (o *outgoing) toResponse(r *pb.ExchangeResponse) {
	r.Members, r.Leaving, r.Quarantine, r.Evidence, r.Stops = o.members, o.leaving, o.quarantine, o.evidence, o.stops
	r.Progress = o.progress
}

// request builds a request with up to limit pending changes. If the receiver is
// not live in the view, the request also includes the receiver's record, so that
// the receiver can refute it.
func (e *Exchanger) request(receiver string, limit int) *pb.ExchangeRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.build(receiver, e.queue.take(limit))
}

// requestWith builds a request with the given records.
func (e *Exchanger) requestWith(receiver string, keys []recordKey) *pb.ExchangeRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.build(receiver, keys)
}

func (e *Exchanger) build(receiver string, keys []recordKey) *pb.ExchangeRequest {
	request := &pb.ExchangeRequest{
		Sender:     e.view.Self().message(),
		ViewHash:   e.hash(),
		Generation: e.generation,
		ConfigHash: e.configHash,
	}
	var out outgoing
	if record, ok := e.view.Get(receiver); ok && record.State != StateLive {
		out.members = append(out.members, record.message())
	}
	e.fill(&out, keys)
	out.toRequest(request)
	return request
}

// fill adds the current values of the records. Records that have been dropped in
// the meantime are left out.
func (e *Exchanger) fill(out *outgoing, keys []recordKey) {
	now := time.Now()
	for _, key := range keys {
		switch key.kind {
		case kindMember:
			if r, ok := e.view.Get(key.name); ok {
				out.members = append(out.members, r.message())
			}
		case kindLeaving:
			if l, ok := e.facts.leaving.items[key.name]; ok {
				out.leaving = append(out.leaving, &pb.LeavingTarget{Target: l.Target, Generation: l.Generation})
			}
		case kindStop:
			if s, ok := e.facts.stops.items[StopKey{Move: key.name, Generation: int64(key.number)}]; ok {
				out.stops = append(out.stops, &pb.MoveStop{Move: s.Move, Reason: s.Reason, Generation: s.Generation})
			}
		case kindProgress:
			if p, ok := e.facts.progress.items[key.name]; ok {
				out.progress = append(out.progress, &pb.MoveProgress{
					Move: p.Move, RowVersion: p.RowVersion, Phase: p.Phase, SharePercent: p.SharePercent, Definition: p.Definition,
				})
			}
		case kindQuarantine:
			if q, ok := e.facts.quarantine.items[key.number]; ok && q.Expires.After(now) {
				out.quarantine = append(out.quarantine, quarantineMessage(q, now))
			}
		case kindEvidence:
			if ev, ok := e.facts.evidence.items[key.evidence]; ok {
				out.evidence = append(out.evidence, EvidenceMessage(ev))
			}
		}
	}
}

func quarantineMessage(q Quarantine, now time.Time) *pb.QuarantineEntry {
	return &pb.QuarantineEntry{
		Fingerprint: q.Fingerprint,
		ValidMs:     q.Expires.Sub(now).Milliseconds(),
		Died:        q.CrashedTargets,
	}
}

// EvidenceMessage encodes counters.
func EvidenceMessage(ev Evidence) *pb.EvidenceCounter {
	return &pb.EvidenceCounter{
		Move:          ev.Move,
		Version:       ev.Version,
		Instance:      ev.Instance,
		Incarnation:   ev.Incarnation,
		Window:        ev.Window,
		Requests:      ev.Requests,
		Failures:      ev.Failures,
		FirstToken:    ev.FirstToken.message(),
		TokenInterval: ev.TokenInterval.message(),
	}
}

func (s TimeSums) message() *pb.TimeSums {
	return &pb.TimeSums{Count: s.Count, LogSum: s.LogSum, LogSquareSum: s.LogSquareSum}
}

func timeSumsFrom(m *pb.TimeSums) TimeSums {
	return TimeSums{m.GetCount(), m.GetLogSum(), m.GetLogSquareSum()}
}

// EvidenceFrom decodes counters.
func EvidenceFrom(m *pb.EvidenceCounter) Evidence {
	return Evidence{
		EvidenceKey: EvidenceKey{
			Move:        m.GetMove(),
			Version:     m.GetVersion(),
			Instance:    m.GetInstance(),
			Incarnation: m.GetIncarnation(),
			Window:      m.GetWindow(),
		},
		Requests:      m.GetRequests(),
		Failures:      m.GetFailures(),
		FirstToken:    timeSumsFrom(m.GetFirstToken()),
		TokenInterval: timeSumsFrom(m.GetTokenInterval()),
	}
}
