package fuzz

import (
	"cmp"
	"slices"
	"testing/synctest"
	"time"

	"github.com/basilloom/basilloom/membership"
	"github.com/basilloom/basilloom/storage"
)

// Times of the exchange between instances.
const (
	gossipPeriod  = time.Second
	gossipTimeout = time.Second
	urgentPeers   = 3
)

// digest is the content of one exchange message.
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

// merge takes in a digest and passes news of urgent facts on.
func (in *instance) merge(d digest) {
	now := time.Now()
	for _, r := range d.records {
		in.view.Merge(r, now)
	}
	news := false
	for _, l := range d.facts.Leaving {
		news = in.facts.MergeLeaving(l) || news
	}
	for _, s := range d.facts.Stops {
		news = in.facts.MergeStop(s) || news
	}
	quarantined := false
	for _, q := range d.facts.Quarantine {
		quarantined = in.facts.MergeQuarantine(q) || quarantined
	}
	if d.generation > 0 {
		_ = in.watcher.Load().ObserveGeneration(d.generation, d.hash) // a conflict is impossible here
		synctest.Wait()
	}
	if quarantined {
		in.giveQuarantine()
	}
	if news {
		in.leavingChanged = true
		in.pushUrgent()
	}
}

// gossip exchanges with one random peer and suspects it if it does not answer.
func (in *instance) gossip() {
	in.readList()
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

func (in *instance) exchange(peer membership.Instance) {
	to := in.world.instanceNamed(peer.Name)
	answered := false
	message := in.digest()
	in.world.network.send(in, to, func() {
		to.merge(message)
		reply := to.digest()
		in.world.network.send(to, in, func() {
			answered = true
			in.merge(reply)
		})
	})
	incarnation := in.incarnation
	in.world.after(gossipTimeout, func() {
		if !answered && in.incarnation == incarnation {
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

// readList reads the platform's list of instances.
func (in *instance) readList() {
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

// learnLeaving records a notice that a target leaves.
func (in *instance) learnLeaving(target string) {
	if !in.alive || in.paused || in.snapshot == nil {
		return
	}
	in.world.logf("instance %s learns that target %s leaves", in.name, target)
	if in.facts.MergeLeaving(membership.Leaving{Target: target, Generation: in.snapshot.Generation()}) {
		in.world.oracle.leavingKnown(target, in)
		in.leavingChanged = true
		in.pushUrgent()
	}
}

// giveQuarantine gives the known quarantine to the instance's groups.
func (in *instance) giveQuarantine() {
	now := time.Now()
	facts := in.facts.Snapshot().Quarantine
	slices.SortFunc(facts, func(a, b membership.Quarantine) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	for _, key := range in.ownedKeys() {
		in.brokers[key].setQuarantined(now, facts)
	}
}
