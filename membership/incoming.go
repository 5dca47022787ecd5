package membership

import (
	"context"
	"time"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// message is the common content of exchange requests and responses.
type message interface {
	GetSender() *pb.Member
	GetMembers() []*pb.Member
	GetGeneration() int64
	GetConfigHash() string
	GetLeaving() []*pb.LeavingTarget
	GetQuarantine() []*pb.QuarantineEntry
	GetEvidence() []*pb.EvidenceCounter
	GetStops() []*pb.MoveStop
	GetProgress() []*pb.MoveProgress
}

// Handle responds to an exchange that a peer started. It returns an error only if
// ctx ends.
func (e *Exchanger) Handle(ctx context.Context, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	e.mu.Lock()
	out := outgoing{members: e.merge(request)}
	e.fill(&out, e.queue.take(MaxRecords-len(out.members)))
	response := &pb.ExchangeResponse{
		Sender:     e.view.Self().message(),
		ViewHash:   e.hash(),
		Generation: e.generation,
		ConfigHash: e.configHash,
	}
	fullViewPeer := e.reserveFullView(request)
	target, known := e.view.Get(request.GetProbe())
	e.mu.Unlock()
	out.toResponse(response)
	if fullViewPeer.Name != "" {
		e.fullViewRequests <- fullViewPeer // does not block: sendingFullView admits one at a time
	}
	if known && target.Name != response.GetSender().GetName() {
		_, err := e.send(ctx, target.Instance, e.request(target.Name, 0), ProbeTimeout)
		response.ProbeOk = err == nil
	}
	return response, ctx.Err()
}

// reserveFullView returns the sender if it requested the full view and no other
// full view is being sent. In this case it sets sendingFullView.
func (e *Exchanger) reserveFullView(request *pb.ExchangeRequest) Instance {
	if request.GetProbe() != e.view.Self().Name || e.sendingFullView {
		return Instance{}
	}
	sender, ok := recordFrom(request.GetSender())
	if !ok {
		return Instance{}
	}
	e.sendingFullView = true
	return sender.Instance
}

// merge adds the content of a message to the view and the facts. It returns the
// view's records that are newer than the peer's, so that a stale peer catches up
// and a suspect learns that it has to refute.
func (e *Exchanger) merge(m message) []*pb.Member {
	now := time.Now()
	var newer []*pb.Member
	for _, member := range append([]*pb.Member{m.GetSender()}, m.GetMembers()...) {
		if record, ok := recordFrom(member); ok {
			newer = e.mergeMember(record, now, newer)
		}
	}
	factsChanged := e.mergeFacts(m, now)
	e.publishView()
	if factsChanged {
		e.publishFacts()
	}
	sender, ok := recordFrom(m.GetSender())
	if ok && m.GetGeneration() > e.generation {
		peerGeneration := PeerGeneration{Generation: m.GetGeneration(), Hash: m.GetConfigHash(), Peer: sender.Instance}
		for _, s := range e.subs {
			replace(s.generation, peerGeneration)
		}
	}
	return newer
}

func (e *Exchanger) mergeMember(record Record, now time.Time, newer []*pb.Member) []*pb.Member {
	before, _ := e.view.Get(record.Name)
	if e.view.Merge(record, now) {
		self := record.Name == e.view.Self().Name
		if refuted := before.State == StateSuspect || self && record.State == StateSuspect; refuted {
			// The refutation must arrive before the suspect timeout. Refutations
			// of instances that are already dead can wait: after a region
			// partition there are many at once.
			e.queueUrgent(recordKey{kind: kindMember, name: record.Name})
			return newer
		}
		e.queueMember(record.Name)
		return newer
	}
	own, known := e.view.Get(record.Name)
	if known && own.supersedes(record) && len(newer) < MaxRecords {
		newer = append(newer, own.message())
	}
	return newer
}

func (e *Exchanger) mergeFacts(m message, now time.Time) bool {
	changed := false
	for _, l := range m.GetLeaving() {
		changed = e.mergeLeaving(Leaving{Target: l.GetTarget(), Generation: l.GetGeneration()}) || changed
	}
	for _, s := range m.GetStops() {
		key := StopKey{Move: s.GetMove(), Generation: s.GetGeneration()}
		changed = e.mergeStop(Stop{StopKey: key, Reason: s.GetReason()}) || changed
	}
	for _, p := range m.GetProgress() {
		changed = e.mergeProgress(Progress{
			Move: p.GetMove(), RowVersion: p.GetRowVersion(), Phase: p.GetPhase(), SharePercent: p.GetSharePercent(), Definition: p.GetDefinition(),
		}) || changed
	}
	for _, q := range m.GetQuarantine() {
		changed = e.mergeQuarantine(e.quarantineFrom(q, now)) || changed
	}
	for _, c := range m.GetEvidence() {
		changed = e.mergeEvidence(EvidenceFrom(c)) || changed
	}
	return changed
}

// quarantineFrom converts a message. It keeps the stored expiry unless the
// received one is later by at least QuarantineExpiryTolerance.
func (e *Exchanger) quarantineFrom(m *pb.QuarantineEntry, now time.Time) Quarantine {
	expires := now.Add(time.Duration(m.GetValidMs()) * time.Millisecond)
	old, known := e.facts.quarantine.items[m.GetFingerprint()]
	if known && expires.Before(old.Expires.Add(QuarantineExpiryTolerance)) {
		expires = old.Expires
	}
	return Quarantine{Fingerprint: m.GetFingerprint(), Expires: expires, CrashedTargets: m.GetDied()}
}

func (e *Exchanger) mergeLeaving(l Leaving) bool {
	return e.facts.MergeLeaving(l) && e.queueUrgent(recordKey{kind: kindLeaving, name: l.Target})
}

func (e *Exchanger) mergeStop(s Stop) bool {
	key := recordKey{kind: kindStop, name: s.Move, number: uint64(s.Generation)}
	return e.facts.MergeStop(s) && e.queueUrgent(key)
}

func (e *Exchanger) mergeProgress(p Progress) bool {
	return e.facts.MergeProgress(p) && e.queueUrgent(recordKey{kind: kindProgress, name: p.Move})
}

func (e *Exchanger) mergeQuarantine(q Quarantine) bool {
	return e.facts.MergeQuarantine(q) && e.queueUrgent(recordKey{kind: kindQuarantine, number: q.Fingerprint})
}

func (e *Exchanger) mergeEvidence(ev Evidence) bool {
	if !e.facts.MergeEvidence(ev) {
		return false
	}
	e.queue.add(recordKey{kind: kindEvidence, evidence: ev.EvidenceKey}, sendsPerChange(len(e.view.Live())))
	return true
}

// queueMember queues an instance's record. Records of leaving and suspect
// instances are urgent: a suspicion then times out at about the same time on all
// instances.
func (e *Exchanger) queueMember(name string) {
	record, ok := e.view.Get(name)
	if !ok {
		return
	}
	key := recordKey{kind: kindMember, name: name}
	if record.State == StateLeaving || record.State == StateSuspect {
		e.queueUrgent(key)
		return
	}
	e.queue.add(key, sendsPerChange(len(e.view.Live())))
}

// queueUrgent queues a record for immediate sending and for the periodic
// exchanges. Only changes are queued, so each receiver relays a fact once.
func (e *Exchanger) queueUrgent(key recordKey) bool {
	e.queue.add(key, sendsPerChange(len(e.view.Live())))
	e.urgent = append(e.urgent, key)
	e.signalUrgent()
	return true
}

func (e *Exchanger) signalUrgent() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Exchanger) publishView() {
	if e.view.Hash() == e.publishedHash {
		return
	}
	e.publishedHash = e.view.Hash()
	for _, s := range e.subs {
		replace(s.view, e.view.Live())
	}
}

func (e *Exchanger) publishFacts() {
	if len(e.subs) == 0 {
		return
	}
	snapshot := e.facts.Snapshot()
	for _, s := range e.subs {
		replace(s.facts, snapshot)
	}
}
