package membership

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/telemetry/field"
)

// errOtherInstance is returned if the instance that responds at the address has
// another name.
var errOtherInstance = errors.New("address belongs to another instance")

// round advances the view's timers and exchanges with one random peer, or with
// two while more changes are pending than fit in one message. Evidence is not
// counted.
func (e *Exchanger) round(ctx context.Context) {
	e.mu.Lock()
	now := time.Now()
	for _, name := range e.view.Tick(now) {
		e.queueMember(name)
	}
	e.facts.Prune(now, now.UnixNano()/int64(EvidenceWindow)-EvidenceWindows)
	e.publishView()
	fanout := 1
	if e.queue.pending() > MaxRecords {
		fanout = 2
	}
	peers := e.randomPeers(fanout, "")
	e.mu.Unlock()
	for _, peer := range peers {
		e.start(func() { e.exchange(ctx, peer) })
	}
}

// reprobe probes one random unreachable instance and returns the mean time until
// the next probe. An instance without a live peer probes once per GossipInterval.
func (e *Exchanger) reprobe(ctx context.Context) time.Duration {
	e.mu.Lock()
	unreachable := e.view.Unreachable()
	isolated := len(e.view.Live()) <= 1
	var peer Instance
	if len(unreachable) > 0 {
		peer = unreachable[e.rng.IntN(len(unreachable))]
	}
	leaving := e.view.Self().State == StateLeaving
	e.mu.Unlock()
	if len(unreachable) > 0 && !leaving {
		e.start(func() { e.probeUnreachable(ctx, peer, isolated) })
	}
	if isolated {
		return GossipInterval
	}
	return ReprobeInterval
}

func (e *Exchanger) probeUnreachable(ctx context.Context, peer Instance, requestFullView bool) {
	request := e.request(peer.Name, MaxRecords)
	if requestFullView {
		request.Probe = peer.Name
	}
	// A failure is expected here; the instance stays unreachable.
	_, _ = e.send(ctx, peer, request, CallTimeout)
}

// exchange sends the pending changes to a peer; the call is also a probe of the
// peer. A new instance requests full views until its hash first matches a peer's.
func (e *Exchanger) exchange(ctx context.Context, peer Instance) {
	request := e.request(peer.Name, MaxRecords)
	e.mu.Lock()
	if !e.synced {
		request.Probe = peer.Name
	}
	e.mu.Unlock()
	response, err := e.send(ctx, peer, request, CallTimeout)
	if err != nil {
		e.checkUnresponsive(ctx, peer, err)
		return
	}
	e.mu.Lock()
	sendFull := e.countMismatch(response.GetViewHash())
	e.mu.Unlock()
	if sendFull {
		e.sendFullView(ctx, peer, true)
	}
}

// countMismatch compares a peer's hash with the instance's own and reports
// whether the full view is to be sent now.
func (e *Exchanger) countMismatch(hash uint64) bool {
	e.synced = e.synced || hash == e.hash()
	// Hashes are expected to differ while changes are pending. Without this
	// condition, all instances would send full views at the same time when a
	// region partition ends.
	if hash == e.hash() || e.queue.pending() > 0 {
		e.mismatches = 0
		return false
	}
	e.mismatches++
	now := time.Now()
	if e.mismatches < FullViewMismatches || now.Sub(e.lastFullView) < FullViewInterval || e.sendingFullView {
		return false
	}
	e.mismatches, e.lastFullView, e.sendingFullView = 0, now, true
	return true
}

// sendFullView sends the view and the facts, except evidence, in batches. The
// caller has set sendingFullView. If requestFullView is set, the last batch names the
// peer as its own probe target, which requests the peer's full view in return.
func (e *Exchanger) sendFullView(ctx context.Context, peer Instance, requestFullView bool) {
	e.mu.Lock()
	keys := e.facts.keys()
	for _, record := range e.view.Records() {
		keys = append(keys, recordKey{kind: kindMember, name: record.Name})
	}
	e.mu.Unlock()
	for len(keys) > 0 {
		batch := keys[:min(MaxRecords, len(keys))]
		keys = keys[len(batch):]
		request := e.requestWith(peer.Name, batch)
		if requestFullView && len(keys) == 0 {
			request.Probe = peer.Name
		}
		if _, err := e.send(ctx, peer, request, CallTimeout); err != nil {
			break
		}
	}
	e.endFullView()
}

func (e *Exchanger) endFullView() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sendingFullView = false
}

// send makes one call and merges the response.
func (e *Exchanger) send(ctx context.Context, peer Instance, request *pb.ExchangeRequest, timeout time.Duration) (*pb.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := e.transport.Exchange(ctx, peer.Address, request)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.merge(response)
	if response.GetSender().GetName() != peer.Name {
		return nil, errOtherInstance
	}
	return response, nil
}

// checkUnresponsive asks other peers to probe an instance that did not respond. It
// marks the instance as a suspect unless one of the peers reaches it.
func (e *Exchanger) checkUnresponsive(ctx context.Context, peer Instance, cause error) {
	if ctx.Err() != nil || e.reachedByHelpers(ctx, peer) || ctx.Err() != nil {
		return
	}
	e.suspect(peer, cause)
}

// reachedByHelpers reports whether at least one of IndirectProbes other peers
// reaches an instance.
func (e *Exchanger) reachedByHelpers(ctx context.Context, peer Instance) bool {
	e.mu.Lock()
	helpers := e.randomPeers(IndirectProbes, peer.Name)
	e.mu.Unlock()
	results := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			request := e.request(helper.Name, 0)
			request.Probe = peer.Name
			response, err := e.send(ctx, helper, request, CallTimeout)
			results <- err == nil && response.GetProbeOk()
		}()
	}
	reached := false
	for range helpers {
		reached = <-results || reached
	}
	return reached
}

// checkReported probes an instance directly and through helpers at the same time.
func (e *Exchanger) checkReported(ctx context.Context, r failureReport) {
	e.mu.Lock()
	record, known := e.view.Get(r.name)
	e.mu.Unlock()
	if !known || record.State != StateLive {
		return
	}
	indirect := make(chan bool, 1)
	go func() { indirect <- e.reachedByHelpers(ctx, record.Instance) }()
	_, err := e.send(ctx, record.Instance, e.request(r.name, 0), ProbeTimeout)
	reached := <-indirect || err == nil
	if reached || ctx.Err() != nil {
		return
	}
	e.suspect(record.Instance, err)
	if r.checkRegion {
		e.checkRegion(record.Region)
	}
}

// checkRegion queues probes of all live instances of another region.
func (e *Exchanger) checkRegion(region string) {
	e.mu.Lock()
	live, own := e.view.Live(), e.view.Self().Region
	e.mu.Unlock()
	if region == own {
		return
	}
	for _, i := range live {
		if i.Region == region {
			e.queueReport(failureReport{name: i.Name})
		}
	}
}

func (e *Exchanger) suspect(peer Instance, cause error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.view.Suspect(peer.Name, peer.Incarnation, time.Now()) {
		e.queueMember(peer.Name)
		e.logger.Info("instance suspected", zap.String(field.Instance, peer.Name), zap.Error(cause))
	}
}

// pushUrgent sends the pending urgent records to random peers. The periodic
// exchange delivers the records of calls that fail or find no free slot.
func (e *Exchanger) pushUrgent(ctx context.Context) {
	e.mu.Lock()
	keys, announce := e.urgent, e.announceGeneration
	e.urgent, e.announceGeneration = nil, false
	e.mu.Unlock()
	keys = limitMembers(keys)
	if len(keys) == 0 && !announce {
		return
	}
	for _, call := range e.pushes(ctx, keys) {
		e.start(call)
	}
}

// limitMembers removes all member records if there are more than
// MaxUrgentMembers, for example after a region partition. The periodic exchange
// then sends them.
func limitMembers(keys []recordKey) []recordKey {
	isMember := func(key recordKey) bool { return key.kind == kindMember }
	members := 0
	for _, key := range keys {
		if isMember(key) {
			members++
		}
	}
	if members <= MaxUrgentMembers {
		return keys
	}
	return slices.DeleteFunc(keys, isMember)
}

// pushes returns one call for each combination of a random peer and a batch of
// records. Without records, the calls still carry the generation.
func (e *Exchanger) pushes(ctx context.Context, keys []recordKey) []func() {
	e.mu.Lock()
	peers := e.randomPeers(UrgentFanout, "")
	e.mu.Unlock()
	var calls []func()
	for {
		batch := keys[:min(MaxRecords, len(keys))]
		keys = keys[len(batch):]
		for _, peer := range peers {
			request := e.requestWith(peer.Name, batch)
			calls = append(calls, func() { _, _ = e.send(ctx, peer, request, CallTimeout) })
		}
		if len(keys) == 0 {
			return calls
		}
	}
}

func (e *Exchanger) listInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.view.Live()) <= 1 {
		return IsolatedListInterval
	}
	return ListInterval
}

func (e *Exchanger) readList(ctx context.Context) {
	if e.list == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ListTimeout)
	defer cancel()
	list, err := e.list.List(ctx)
	if err != nil {
		e.logger.Warn("instance list unavailable", zap.Error(err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range e.view.MergeList(list, time.Now()) {
		e.queueMember(name)
	}
	e.publishView()
}

// randomPeers selects up to count distinct live peers other than the instance
// itself and the excluded name.
func (e *Exchanger) randomPeers(count int, exclude string) []Instance {
	live := e.view.Live()
	self := e.view.Self().Name
	picked := make([]Instance, 0, count)
	for _, i := range e.rng.Perm(len(live)) {
		if len(picked) == count {
			break
		}
		if live[i].Name != self && live[i].Name != exclude {
			picked = append(picked, live[i])
		}
	}
	return picked
}
