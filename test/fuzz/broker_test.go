package fuzz

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilloom/basilloom/membership"
	"github.com/basilloom/basilloom/scheduler"
)

// Periods and timeouts of the broker role, as in package broker.
const (
	reportPeriod = 500 * time.Millisecond
	floorTimeout = 500 * time.Millisecond
	floorPause   = 250 * time.Millisecond
)

// group is the part of scheduler.Group that a broker uses; defects wrap it.
type group interface {
	Submit(now time.Time, t scheduler.Ticket) []scheduler.Decision
	Adopt(now time.Time, t scheduler.Ticket, target string, age time.Duration)
	Dispatched(now time.Time, id scheduler.TicketID)
	Withdraw(now time.Time, id scheduler.TicketID) []scheduler.Decision
	Complete(now time.Time, c scheduler.Completion) []scheduler.Decision
	EntryDisconnected(now time.Time, instance string, incarnation uint64)
	ObserveLoad(now time.Time, r scheduler.LoadReport)
	SetTargets(now time.Time, targets []scheduler.Target) []scheduler.Decision
	SetQuarantined(now time.Time, entries []scheduler.CrashEvidence) []scheduler.Decision
	Quarantined(now time.Time) []scheduler.CrashEvidence
	AcceptFloor(now time.Time, shard int, highest scheduler.Rank, valid time.Duration) []scheduler.Decision
	FloorAcked(now time.Time, shard int, highest scheduler.Rank, valid time.Duration) []scheduler.Decision
	SetSiblingReachable(now time.Time, shard int, reachable bool) []scheduler.Decision
	SiblingOwnerChanged(now time.Time, shard int)
	Tick(now time.Time) []scheduler.Decision
}

// entryKey identifies one incarnation of an entry.
type entryKey struct {
	name        string
	incarnation uint64
}

// brokerRole runs one real group on its owner, like package broker.
type brokerRole struct {
	in       *instance
	key      groupKey
	group    group
	sessions map[entryKey]*stream
	// waiting holds the rank of each undecided ticket, for the oracle.
	waiting map[scheduler.TicketID]scheduler.Rank
	// ranks holds the rank of each ticket that was ever submitted to this broker.
	ranks      map[scheduler.TicketID]scheduler.Rank
	lastReport time.Time
	// siblingOwners holds the owners of the sibling groups.
	siblingOwners map[int]*instance
}

// owner returns the owner of the group in this instance's view, or nil.
func (in *instance) owner(key groupKey) *instance {
	owner, ok := in.view.Owner(fmt.Sprintf("%s/%d", key.pool, key.shard), storeRegion)
	if !ok {
		return nil
	}
	return in.world.instanceNamed(owner.Name)
}

func (in *instance) ownedKeys() []groupKey {
	keys := make([]groupKey, 0, len(in.brokers))
	for key := range in.brokers {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b groupKey) int { return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.shard, b.shard)) })
	return keys
}

// broker returns the broker of a group that this instance owns, and starts it if
// needed.
func (in *instance) broker(key groupKey) *brokerRole {
	if in.snapshot == nil || in.owner(key) != in {
		return nil
	}
	if b, ok := in.brokers[key]; ok {
		return b
	}
	in.world.logf("instance %s becomes broker of %s/%d", in.name, key.pool, key.shard)
	rng := rand.New(rand.NewPCG(in.rng.Uint64(), in.rng.Uint64()))
	real := scheduler.NewGroup(groupConfig(in.snapshot, key), rng)
	b := &brokerRole{
		in: in, key: key, group: in.world.defect.wrapGroup(real),
		sessions: make(map[entryKey]*stream), waiting: make(map[scheduler.TicketID]scheduler.Rank),
		ranks: make(map[scheduler.TicketID]scheduler.Rank), siblingOwners: make(map[int]*instance),
	}
	in.brokers[key] = b
	b.updateSiblingOwners(time.Now())
	b.refreshTargets(time.Now())
	in.applyQuarantine()
	return b
}

// closeLostGroups stops the groups that this instance no longer owns.
func (in *instance) closeLostGroups() {
	for _, key := range in.ownedKeys() {
		if in.owner(key) == in {
			continue
		}
		in.world.logf("instance %s stops as broker of %s/%d", in.name, key.pool, key.shard)
		in.brokers[key].closeSessions()
		delete(in.brokers, key)
	}
}

func (b *brokerRole) closeSessions() {
	for _, entry := range b.entries() {
		b.in.world.network.breakStream(b.sessions[entry])
	}
}

func (b *brokerRole) entries() []entryKey {
	keys := make([]entryKey, 0, len(b.sessions))
	for key := range b.sessions {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b entryKey) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
	})
	return keys
}

func (b *brokerRole) refreshTargets(now time.Time) {
	leaving := b.in.isLeaving
	if b.in.world.defect.grantsLeaving() {
		leaving = func(string) bool { return false }
	}
	b.handleDecisions(b.group.SetTargets(now, groupTargets(b.in.snapshot, b.key, leaving)))
}

// updateSiblingOwners discards the acknowledgements of former owners of sibling
// groups.
func (b *brokerRole) updateSiblingOwners(now time.Time) {
	for _, shard := range groupConfig(b.in.snapshot, b.key).Siblings {
		owner := b.in.owner(groupKey{b.key.pool, shard})
		if before := b.siblingOwners[shard]; before != nil && before != owner {
			b.group.SiblingOwnerChanged(now, shard)
		}
		b.siblingOwners[shard] = owner
	}
}

func (b *brokerRole) tick(now time.Time) {
	b.updateSiblingOwners(now)
	if now.Sub(b.lastReport) >= reportPeriod {
		b.lastReport = now
		for _, t := range b.in.world.targets {
			if t.up && now.After(t.frozenUntil) && b.in.world.network.reaches(b.in, t.region) {
				b.group.ObserveLoad(now, t.report())
			}
		}
	}
	b.handleDecisions(b.group.Tick(now))
}

func (b *brokerRole) setQuarantined(now time.Time, facts []membership.Quarantine) {
	entries := make([]scheduler.CrashEvidence, 0, len(facts))
	for _, q := range facts {
		entries = append(entries, scheduler.CrashEvidence{Fingerprint: q.Fingerprint, ValidFor: q.Expires.Sub(now), CrashedTargets: q.CrashedTargets})
	}
	b.handleDecisions(b.group.SetQuarantined(now, entries))
}

// addSession registers the stream of an entry and replaces an earlier one.
func (b *brokerRole) addSession(s *stream) {
	key := entryKey{s.entry.name, s.entryIncarnation}
	if old, ok := b.sessions[key]; ok {
		b.in.world.network.breakStream(old)
		b.entryDisconnected(key)
	}
	b.sessions[key] = s
	s.onBrokerLost = func() {
		if b.sessions[key] == s {
			delete(b.sessions, key)
			b.entryDisconnected(key)
		}
	}
}

func (b *brokerRole) entryDisconnected(key entryKey) {
	for id := range b.waiting {
		if id.Instance == key.name && id.Incarnation == key.incarnation {
			delete(b.waiting, id)
		}
	}
	b.group.EntryDisconnected(time.Now(), key.name, key.incarnation)
}

// runningTicket is a granted ticket that an entry reports to a new broker.
type runningTicket struct {
	ticket scheduler.Ticket
	target string
	age    time.Duration
}

// ticketMessage is one message from an entry to a broker.
type ticketMessage struct {
	running    []runningTicket
	submit     []scheduler.Ticket
	dispatched []scheduler.TicketID
	withdraw   []scheduler.TicketID
	complete   []scheduler.Completion
}

// receive handles the parts of a message in the same order as package broker.
func (b *brokerRole) receive(s *stream, m ticketMessage) {
	if b.sessions[entryKey{s.entry.name, s.entryIncarnation}] != s {
		return
	}
	now := time.Now()
	var decisions []scheduler.Decision
	for _, r := range m.running {
		delete(b.waiting, r.ticket.ID)
		b.group.Adopt(now, r.ticket, r.target, r.age)
	}
	for _, id := range m.dispatched {
		b.group.Dispatched(now, id)
	}
	crashed := false
	for _, c := range m.complete {
		crashed = crashed || c.Result == scheduler.ResultTargetCrashed
		decisions = append(decisions, b.group.Complete(now, c)...)
	}
	for _, id := range m.withdraw {
		delete(b.waiting, id)
		decisions = append(decisions, b.group.Withdraw(now, id)...)
	}
	for _, t := range m.submit {
		b.waiting[t.ID], b.ranks[t.ID] = t.Tier, t.Tier
		decisions = append(decisions, b.group.Submit(now, t)...)
	}
	b.handleDecisions(decisions)
	if crashed {
		b.publishQuarantine(now)
	}
}

// publishQuarantine sends the quarantined fingerprints to the other instances.
func (b *brokerRole) publishQuarantine(now time.Time) {
	for _, q := range b.group.Quarantined(now) {
		b.in.facts.MergeQuarantine(membership.Quarantine{Fingerprint: q.Fingerprint, Expires: now.Add(q.ValidFor), CrashedTargets: q.CrashedTargets})
	}
	b.in.pushUrgent()
}

// handleDecisions sends decisions to their entries and floor requests to the
// sibling groups.
func (b *brokerRole) handleDecisions(decisions []scheduler.Decision) {
	now := time.Now()
	for _, d := range decisions {
		switch d := d.(type) {
		case scheduler.Grant:
			delete(b.waiting, d.Ticket)
			valid := d.Expires.Sub(now)
			b.reply(d.Ticket, func(e *entryRole) { e.granted(d.Ticket, d.Target, valid) })
		case scheduler.Refusal:
			delete(b.waiting, d.Ticket)
			b.reply(d.Ticket, func(e *entryRole) { e.refused(d.Ticket, d.Reason) })
		case scheduler.Cancellation:
			b.reply(d.Ticket, func(e *entryRole) { e.cancelled(d.Ticket) })
		case scheduler.FloorRequest:
			b.requestFloors(d)
		}
	}
	b.in.world.oracle.decided(b, decisions)
}

func (b *brokerRole) reply(id scheduler.TicketID, deliver func(*entryRole)) {
	s, ok := b.sessions[entryKey{id.Instance, id.Incarnation}]
	if !ok {
		return
	}
	b.in.world.network.sendToEntry(s, func() { deliver(s.entry.entry) })
}

// requestFloors asks the owners of the sibling groups to shut out lower tiers.
func (b *brokerRole) requestFloors(request scheduler.FloorRequest) {
	for _, shard := range request.Siblings {
		b.requestFloor(groupKey{b.key.pool, shard}, request)
	}
}

func (b *brokerRole) requestFloor(sibling groupKey, request scheduler.FloorRequest) {
	w, requestedAt := b.in.world, time.Now()
	owner := b.in.owner(sibling)
	responded := false
	finish := func(acked bool) {
		if responded || b.in.brokers[b.key] != b || b.siblingOwners[sibling.shard] != owner {
			return
		}
		responded = true
		now := time.Now()
		w.logf("floor above tier %d requested by %v from %v: acknowledged %t", request.Highest, b.key, sibling, acked)
		if !acked && now.Sub(requestedAt) > floorTimeout+floorPause {
			return
		}
		if !acked {
			b.handleDecisions(b.group.SetSiblingReachable(now, sibling.shard, false))
			return
		}
		decisions := b.group.SetSiblingReachable(now, sibling.shard, true)
		valid := request.ValidFor - now.Sub(requestedAt)
		b.handleDecisions(append(decisions, b.group.FloorAcked(now, sibling.shard, request.Highest, valid)...))
	}
	w.network.send(b.in, owner, func() {
		target := owner.broker(sibling)
		ok := target != nil
		if ok {
			target.handleDecisions(target.group.AcceptFloor(time.Now(), b.key.shard, request.Highest, request.ValidFor))
		}
		w.network.send(owner, b.in, func() { finish(ok) })
	})
	w.after(floorTimeout, func() { b.in.handle(func() { finish(false) }) })
}
