package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// State is the state of an instance in a view.
type State uint8

// States of an instance. A suspect counts as live until the suspect timeout. A
// leaving instance never becomes live again in the same incarnation.
const (
	StateLive State = iota + 1
	StateSuspect
	StateDead
	StateLeaving
)

// Instance identifies one incarnation of an instance and gives its address and
// location.
type Instance struct {
	Name        string
	Incarnation uint64
	Address     string
	Region      string
	Zone        string
}

// Record is the view's entry for one instance.
type Record struct {
	Instance
	State      State
	Refutation uint32
}

// supersedes reports whether r is newer than other. Records of one name are
// totally ordered by incarnation, leaving, refutation and state, so the result of
// merging does not depend on the order of arrival.
func (r Record) supersedes(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if (r.State == StateLeaving) != (other.State == StateLeaving) {
		return r.State == StateLeaving
	}
	if r.State == StateLeaving {
		return false
	}
	if r.Refutation != other.Refutation {
		return r.Refutation > other.Refutation
	}
	return r.State > other.State
}

// serves reports whether the instance may own keys.
func (r Record) serves() bool {
	return r.State == StateLive || r.State == StateSuspect
}

// hash covers the fields in which two converged views agree. The state is left out
// because a suspicion is temporary and would make otherwise equal views differ.
func (r Record) hash() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Name) // xxhash never fails
	var numbers [12]byte
	binary.LittleEndian.PutUint64(numbers[:8], r.Incarnation)
	binary.LittleEndian.PutUint32(numbers[8:], r.Refutation)
	_, _ = digest.Write(numbers[:])
	return digest.Sum64()
}

func (r Record) message() *pb.Member {
	return &pb.Member{
		Name:        r.Name,
		Incarnation: r.Incarnation,
		State:       stateToProto[r.State],
		Address:     r.Address,
		Region:      r.Region,
		Zone:        r.Zone,
		Refutation:  r.Refutation,
	}
}

var stateToProto = map[State]pb.InstanceState{
	StateLive:    pb.InstanceState_INSTANCE_STATE_LIVE,
	StateSuspect: pb.InstanceState_INSTANCE_STATE_SUSPECT,
	StateDead:    pb.InstanceState_INSTANCE_STATE_DEAD,
	StateLeaving: pb.InstanceState_INSTANCE_STATE_LEAVING,
}

var stateFromProto = map[pb.InstanceState]State{
	pb.InstanceState_INSTANCE_STATE_LIVE:    StateLive,
	pb.InstanceState_INSTANCE_STATE_SUSPECT: StateSuspect,
	pb.InstanceState_INSTANCE_STATE_DEAD:    StateDead,
	pb.InstanceState_INSTANCE_STATE_LEAVING: StateLeaving,
}

// recordFrom converts a message. It returns false if the message has no name, no
// incarnation or no known state.
func recordFrom(m *pb.Member) (Record, bool) {
	state, known := stateFromProto[m.GetState()]
	if !known || m.GetName() == "" || m.GetIncarnation() == 0 {
		return Record{}, false
	}
	return Record{
		Instance: Instance{
			Name:        m.GetName(),
			Incarnation: m.GetIncarnation(),
			Address:     m.GetAddress(),
			Region:      m.GetRegion(),
			Zone:        m.GetZone(),
		},
		State:      state,
		Refutation: m.GetRefutation(),
	}, true
}
