// Package membership keeps an instance's view of the other instances and
// spreads it, together with urgent facts, by exchanges between peers.
package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilloom/basilloom/storage"
)

// Times of the view.
const (
	// MinSuspectTimeout is the shortest time that a suspect has to refute.
	MinSuspectTimeout = 3 * time.Second
	// SuspectTimeoutStep multiplied by log2 of the view's size is the suspect
	// timeout, because a refutation spreads in a time that grows with log2(n).
	SuspectTimeoutStep = time.Second
	// DeadRetention keeps dead and leaving entries. It exceeds an hour so that
	// regions that were cut off for an hour still know each other's addresses.
	DeadRetention = 3 * time.Hour
	// MaxEntries bounds the view against records of invented names.
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
	listed  map[string]storage.InstanceRecord
	live    []Instance
	scores  []uint64 // name hashes of live, in the same order
	hash    uint64
	shared  bool // live was handed out and must not be modified
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

// Hash covers the live instances with incarnation and refutation.
func (v *View) Hash() uint64 { return v.hash }

// Merge takes in a record from a peer and reports whether the view changed.
// A death reported by a peer about an instance that is live here only starts
// a suspicion. After a region cut heals, the instances that the other side took
// for dead can so refute before they lose their keys on their own side.
func (v *View) Merge(r Record, now time.Time) bool {
	if r.Name == v.self.Name {
		return v.refute(r, now)
	}
	e, known := v.entries[r.Name]
	if !known {
		if !r.serves() || len(v.entries) >= MaxEntries {
			// A dropped dead entry must not be taken in again, or peers would
			// hand it to each other without end.
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

// Suspect records that direct and indirect probes of this incarnation failed.
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

// MergeList takes in the platform's list. The list lags, so it only names
// instances to contact, and confirms suspicions of instances that it shows as
// leaving. It never makes an instance live.
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

// Tick moves suspects past their timeout to dead and drops old entries. It
// returns the names whose state changed.
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
			// An entry on the platform's list stays, so that the list cannot
			// present a dead instance as a new one.
		case age >= DeadRetention:
			delete(v.entries, name)
		}
	}
	slices.Sort(changed)
	return changed
}

// SuspectTimeout is the time after which a suspect is dead.
func (v *View) SuspectTimeout() time.Duration {
	scaled := time.Duration(float64(SuspectTimeoutStep) * math.Log2(float64(len(v.live)+1)))
	return max(MinSuspectTimeout, scaled)
}

// Unreachable returns the instances to probe slowly: dead ones, and listed ones
// that no evidence has confirmed. Their order is that of their names.
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
// the view's own region, then all. Suspects are passed over while another
// instance remains, so that a key does not wait for the suspect timeout. It
// returns false if no instance is live.
func (v *View) Owner(key, region string) (Instance, bool) {
	candidates := []string{region, v.self.Region, ""}
	if region == "" {
		candidates = candidates[2:]
	}
	for _, suspects := range []bool{false, true} {
		for _, candidate := range candidates {
			if owner, ok := v.best(key, candidate, suspects); ok {
				return owner, true
			}
		}
	}
	return Instance{}, false
}

func (v *View) best(key, region string, suspects bool) (Instance, bool) {
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
		if suspects || v.entries[candidate.Name].State != StateSuspect {
			owner, highest, found = candidate, score, true
		}
	}
	return owner, found
}

// Score ranks an instance as the owner of a key; the highest owns it.
func Score(key, instance string) uint64 {
	return mix(xxhash.Sum64String(key) ^ xxhash.Sum64String(instance))
}

// mix hashes the combined key and name, because their plain XOR would give
// related keys related owners.
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

// add takes in a record of an unknown name.
func (v *View) add(r Record, now time.Time) {
	e := &entry{Record: Record{Instance: Instance{Name: r.Name}}}
	v.entries[r.Name] = e
	v.set(e, r, now)
}

// updateLive inserts, replaces or removes one instance in the snapshot. It
// copies a snapshot that was handed out.
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
