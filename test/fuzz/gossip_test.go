package fuzz

import (
	"cmp"
	"slices"
	"testing/synctest"
	"time"

	"github.com/basilloom/basilloom/membership"
	"github.com/basilloom/basilloom/storage"
)

// Periods, timeouts and limits of gossip.
const (
	gossipPeriod  = time.Second
	gossipTimeout = time.Second
	urgentPeers   = 3
)

// digest is the content of one gossip message.
type digest struct {
	from       *instance
	records    []membership.Record
	facts      membership.Snapshot
	generation int64
	hash       string
}

func (in *instance) digest() digest {
	generation, hash := int64(0), ""
	if s := in.watcher.Load().Current(); s != nil {
		generation, hash = s.Generation(), s.Hash()
	}
	return digest{in, in.view.Records(), in.facts.Snapshot(), generation, hash}
}

// merge merges a digest and forwards changed urgent facts.
func (in *instance) merge(d digest) {
	now := time.Now()
	for _, r := range d.records {
		in.view.Merge(r, now)
	}
	changed := false
	for _, l := range d.facts.Leaving {
		changed = in.facts.MergeLeaving(l) || changed
	}
	for _, s := range d.facts.Stops {
		changed = in.facts.MergeStop(s) || changed
	}
	quarantined := false
	for _, q := range d.facts.Quarantine {
		quarantined = in.facts.MergeQuarantine(q) || quarantined
	}
	if d.generation > 0 {
		_ = in.watcher.Load().ObserveGeneration(d.generation, d.hash) // a hash conflict is impossible here
		synctest.Wait()
	}
	if quarantined {
		in.applyQuarantine()
	}
	if changed {
		in.leavingChanged = true
		in.pushUrgent()
	}
}

// gossip exchanges digests with one random peer, and sometimes with unreachable
// ones.
func (in *instance) gossip() {
	in.mergeInstanceList()
	peers := in.peers(1)
	for _, unreached := range in.view.Unreachable() {
		if len(in.view.Live()) <= 1 || in.rng.IntN(10) == 0 {
			peers = append(peers, unreached)
		}
	}
	for _, peer := range peers {
		in.exchange(peer)
	}
}

// exchange sends a digest to a peer and suspects the peer if no reply arrives
// within gossipTimeout.
func (in *instance) exchange(peer membership.Instance) {
	to := in.world.instanceNamed(peer.Name)
	responded := false
	message := in.digest()
	in.world.network.send(in, to, func() {
		to.merge(message)
		reply := to.digest()
		in.world.network.send(to, in, func() {
			responded = true
			in.merge(reply)
		})
	})
	incarnation := in.incarnation
	in.world.after(gossipTimeout, func() {
		if !responded && in.incarnation == incarnation {
			in.handle(func() { in.view.Suspect(peer.Name, peer.Incarnation, time.Now()) })
		}
	})
}

// pushUrgent sends the digest to a few random peers at once.
func (in *instance) pushUrgent() {
	message := in.digest()
	for _, peer := range in.peers(urgentPeers) {
		to := in.world.instanceNamed(peer.Name)
		in.world.network.send(in, to, func() { to.merge(message) })
	}
}

func (in *instance) peers(count int) []membership.Instance {
	live := slices.Clone(in.view.Live())
	live = slices.DeleteFunc(live, func(i membership.Instance) bool { return i.Name == in.name })
	in.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(count, len(live))]
}

// mergeInstanceList merges the platform's list of instances into the view.
func (in *instance) mergeInstanceList() {
	var list []storage.InstanceRecord
	for _, other := range in.world.instances {
		list = append(list, storage.InstanceRecord{Name: other.name, Address: other.name, Region: other.region})
	}
	in.view.MergeList(list, time.Now())
}

func (w *world) instanceNamed(name string) *instance {
	i := slices.IndexFunc(w.instances, func(in *instance) bool { return in.name == name })
	return w.instances[i]
}

// receiveLeavingNotice handles a notice that a target leaves.
func (in *instance) receiveLeavingNotice(target string) {
	if !in.alive || in.paused || in.snapshot == nil {
		return
	}
	in.world.logf("instance %s receives notice that target %s leaves", in.name, target)
	if in.facts.MergeLeaving(membership.Leaving{Target: target, Generation: in.snapshot.Generation()}) {
		in.world.oracle.recordLeaving(target, in)
		in.leavingChanged = true
		in.pushUrgent()
	}
}

// applyQuarantine passes the quarantine facts to the instance's groups.
func (in *instance) applyQuarantine() {
	now := time.Now()
	facts := in.facts.Snapshot().Quarantine
	slices.SortFunc(facts, func(a, b membership.Quarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	for _, key := range in.ownedKeys() {
		in.brokers[key].setQuarantined(now, facts)
	}
}
