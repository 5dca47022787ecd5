// Package membership maintains an instance's view of the other instances and
// distributes it, together with urgent facts, by gossip exchanges between peers.
package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilloom/basilloom/storage"
)

// Timeouts and bounds of the view.
const (
	// MinSuspectTimeout is the minimum time that a suspect has to refute.
	MinSuspectTimeout = 3 * time.Second
	// SuspectTimeoutStep multiplied by log2 of the view's size gives the suspect
	// timeout. A refutation needs a time that grows with log2(n) to reach all
	// instances.
	SuspectTimeoutStep = time.Second
	// DeadRetention is the time for which dead and leaving entries are kept. It
	// exceeds an hour so that regions that were partitioned for an hour still have
	// each other's addresses.
	DeadRetention = 3 * time.Hour
	// MaxEntries bounds the size of the view in case peers send records of
	// nonexistent instances.
	MaxEntries = 4096
)

type entry struct {
	Record
	since time.Time // when the state was entered
}

// View is one instance's view of all instances. It does no I/O and is not safe
// for concurrent use.
type View struct {
	self    Record
	entries map[string]*entry
	listed  map[string]storage.InstanceRecord // last read of the platform's list
	live    []Instance
	scores  []uint64 // name hashes of live, in the same order
	hash    uint64
	shared  bool // a caller holds live, so it must not be modified
}

// NewView returns a view that holds only the instance itself. The incarnation
// must be above zero and higher than that of any earlier process of that name.
func NewView(self Instance, now time.Time) *View {
	v := &View{
		self:    Record{Instance: self, State: StateLive},
		entries: map[string]*entry{},
		listed:  map[string]storage.InstanceRecord{},
	}
	v.add(v.self, now)
	return v
}

// Self returns the instance's own record.
func (v *View) Self() Record { return v.self }

// Get returns the record of a name.
func (v *View) Get(name string) (Record, bool) {
	e, ok := v.entries[name]
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}

// Live returns the instances that may own keys, in the order of their names.
// The slice is a snapshot that later changes do not modify.
func (v *View) Live() []Instance {
	v.shared = true
	return v.live
}

// Hash returns a hash of the names, incarnations and refutations of the live
// instances.
func (v *View) Hash() uint64 { return v.hash }

// Merge adds a record from a peer and reports whether the view changed. If a peer
// reports an instance as dead that is live in this view, the instance only becomes
// a suspect. When a region partition ends, instances that the other region had
// marked dead can therefore refute before they lose their keys in their own region.
func (v *View) Merge(r Record, now time.Time) bool {
	if r.Name == v.self.Name {
		return v.refute(r, now)
	}
	e, known := v.entries[r.Name]
	if !known {
		if !r.serves() || len(v.entries) >= MaxEntries {
			// A dropped dead entry must not be added again. Otherwise peers would
			// send it to each other forever.
			return false
		}
		v.add(r, now)
		return true
	}
	if r.State == StateDead && r.Incarnation == e.Incarnation && e.serves() {
		r.State = StateSuspect
	}
	if !r.supersedes(e.Record) {
		return false
	}
	v.set(e, r, now)
	return true
}

func (v *View) refute(r Record, now time.Time) bool {
	outdated := r.Incarnation != v.self.Incarnation || r.Refutation < v.self.Refutation
	if outdated || v.self.State == StateLeaving {
		return false
	}
	if r.State != StateSuspect && r.State != StateDead {
		return false
	}
	v.self.Refutation = r.Refutation + 1
	v.set(v.entries[v.self.Name], v.self, now)
	return true
}

// Leave marks the instance itself as leaving.
func (v *View) Leave(now time.Time) {
	v.self.State = StateLeaving
	v.set(v.entries[v.self.Name], v.self, now)
}

// Suspect records that direct and indirect probes of this incarnation failed. It
// reports whether the view changed.
func (v *View) Suspect(name string, incarnation uint64, now time.Time) bool {
	e, ok := v.entries[name]
	if !ok || name == v.self.Name || e.State != StateLive || e.Incarnation != incarnation {
		return false
	}
	r := e.Record
	r.State = StateSuspect
	v.set(e, r, now)
	return true
}

// MergeList replaces the copy of the platform's list and returns the names whose
// state changed. The list lags, so it is only used to find instances to probe and
// to move suspects that it shows as leaving to dead. It never makes an instance
// live.
func (v *View) MergeList(list []storage.InstanceRecord, now time.Time) []string {
	clear(v.listed)
	var changed []string
	for _, item := range list {
		if item.Name == v.self.Name {
			continue
		}
		v.listed[item.Name] = item
		e, known := v.entries[item.Name]
		if !known || !item.Leaving || e.State != StateSuspect {
			continue
		}
		r := e.Record
		r.State = StateDead
		v.set(e, r, now)
		changed = append(changed, item.Name)
	}
	return changed
}

// Tick moves suspects past their timeout to dead and drops dead and leaving entries
// after DeadRetention. It returns the names whose state changed.
func (v *View) Tick(now time.Time) []string {
	var changed []string
	timeout := v.SuspectTimeout()
	for name, e := range v.entries {
		age := now.Sub(e.since)
		_, onList := v.listed[name]
		switch {
		case e.State == StateSuspect && age >= timeout:
			r := e.Record
			r.State = StateDead
			v.set(e, r, now)
			changed = append(changed, name)
		case e.serves() || name == v.self.Name || onList:
			// An entry on the platform's list is kept. Otherwise the list would
			// present a dead instance as a new one.
		case age >= DeadRetention:
			delete(v.entries, name)
		}
	}
	slices.Sort(changed)
	return changed
}

// SuspectTimeout returns the time after which a suspect becomes dead.
func (v *View) SuspectTimeout() time.Duration {
	scaled := time.Duration(float64(SuspectTimeoutStep) * math.Log2(float64(len(v.live)+1)))
	return max(MinSuspectTimeout, scaled)
}

// Unreachable returns the instances to probe at ReprobeInterval, in the order of
// their names: dead instances, and listed instances that are not leaving and have no
// entry in the view.
func (v *View) Unreachable() []Instance {
	var found []Instance
	for _, e := range v.entries {
		if e.State == StateDead {
			found = append(found, e.Instance)
		}
	}
	for name, item := range v.listed {
		if _, known := v.entries[name]; !known && !item.Leaving {
			found = append(found, Instance{Name: name, Address: item.Address, Region: item.Region, Zone: item.Zone})
		}
	}
	slices.SortFunc(found, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// Records returns all entries in the order of their names.
func (v *View) Records() []Record {
	records := make([]Record, 0, len(v.entries))
	for _, e := range v.entries {
		records = append(records, e.Record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return records
}

// Owner selects the owner of a key by rendezvous hashing over the live
// instances. With a region, it prefers that region's instances, then those of
// the view's own region, then all. It skips suspects while there is another live
// instance, so that a key does not wait for the suspect timeout. It returns false
// if no instance is live.
func (v *View) Owner(key, region string) (Instance, bool) {
	regions := []string{region, v.self.Region, ""}
	if region == "" {
		regions = regions[2:]
	}
	for _, allowSuspects := range []bool{false, true} {
		for _, r := range regions {
			if owner, ok := v.ownerAmong(key, r, allowSuspects); ok {
				return owner, true
			}
		}
	}
	return Instance{}, false
}

// ownerAmong selects the instance with the highest score in a region, or in all
// regions if region is empty. It skips suspects unless allowSuspects is set.
func (v *View) ownerAmong(key, region string, allowSuspects bool) (Instance, bool) {
	keyHash := xxhash.Sum64String(key)
	var owner Instance
	var highest uint64
	found := false
	for i, candidate := range v.live {
		if region != "" && candidate.Region != region {
			continue
		}
		score := mix(keyHash ^ v.scores[i])
		if found && score <= highest {
			continue
		}
		if allowSuspects || v.entries[candidate.Name].State != StateSuspect {
			owner, highest, found = candidate, score, true
		}
	}
	return owner, found
}

// Score returns the score of an instance for a key. The instance with the highest
// score owns the key.
func Score(key, instance string) uint64 {
	return mix(xxhash.Sum64String(key) ^ xxhash.Sum64String(instance))
}

// mix hashes the XOR of key hash and name hash. Without it, related keys would get
// related owners.
func mix(combined uint64) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(combined >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// set replaces an entry's record and updates the snapshot and its hash.
func (v *View) set(e *entry, r Record, now time.Time) {
	old := e.Record
	if old.State != r.State || old.Incarnation != r.Incarnation || old.Refutation != r.Refutation {
		e.since = now
	}
	e.Record = r
	if old.serves() {
		v.hash ^= old.hash()
	}
	if r.serves() {
		v.hash ^= r.hash()
	}
	if old.serves() && r.serves() && old.Instance == r.Instance {
		return
	}
	v.updateLive(r)
}

// add adds a record whose name has no entry yet.
func (v *View) add(r Record, now time.Time) {
	e := &entry{Record: Record{Instance: Instance{Name: r.Name}}}
	v.entries[r.Name] = e
	v.set(e, r, now)
}

// updateLive inserts, replaces or removes one instance in the snapshot. It copies
// the snapshot first if a caller holds it.
func (v *View) updateLive(r Record) {
	if v.shared {
		v.live = slices.Clone(v.live)
		v.shared = false
	}
	i, found := slices.BinarySearchFunc(v.live, r.Name, func(a Instance, name string) int {
		return cmp.Compare(a.Name, name)
	})
	switch {
	case found && r.serves():
		v.live[i] = r.Instance
	case found:
		v.live = slices.Delete(v.live, i, i+1)
		v.scores = slices.Delete(v.scores, i, i+1)
	case r.serves():
		v.live = slices.Insert(v.live, i, r.Instance)
		v.scores = slices.Insert(v.scores, i, xxhash.Sum64String(r.Name))
	}
}
