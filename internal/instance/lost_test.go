package instance

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// peerRetention is how long the fleet keeps a peer that sends no reports.
const peerRetention = 25 * time.Second

// Guards against rows of instances that were lost for good: each later start would leave them
// their part of all quotas.
func TestRowsOfLostInstancesAreRemoved(t *testing.T) {
	t.Parallel()
	const lost = 8
	env := newTestEnv(t)
	env.configure(testRoutes(), []string{testKey}, 1000)
	for k := range lost {
		m := &pb.FleetMember{Instance: fmt.Sprint("lost-", k), Incarnation: 1, Address: fmt.Sprintf("127.0.0.9:%d", 1000+k), Zone: "z1"}
		value, err := proto.Marshal(m)
		require.NoError(t, err)
		env.store.Put(tableInstances, m.GetInstance(), value)
	}
	first := env.start("i1")
	registered := func() int {
		rows, _, err := first.store.Load(context.Background(), tableInstances)
		require.NoError(t, err)
		return len(rows)
	}
	require.Eventually(t, func() bool { return registered() == lost+1 }, contactTime, 20*time.Millisecond)
	require.Eventually(t, func() bool { return registered() == 1 }, peerRetention+contactTime, 200*time.Millisecond)
	first.stop()
	<-first.ended
	again := env.start("i2")
	require.Eventually(t, func() bool { return again.ledger.Share() == 1 }, contactTime, 20*time.Millisecond)
}

// Guards against an instance without a row after a partition in which another one counted it
// as gone, and against the removal of the row of a later start.
func TestRowOfAReturnedInstanceIsWritten(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.configure(testRoutes(), []string{testKey}, 1000)
	n := env.start("i1")
	member := func(incarnation uint64) *pb.FleetMember {
		return &pb.FleetMember{Instance: "away", Incarnation: incarnation, Address: "127.0.0.9:1000", Zone: "z1"}
	}
	put := func(m *pb.FleetMember) {
		value, err := proto.Marshal(m)
		require.NoError(t, err)
		env.store.Put(tableInstances, m.GetInstance(), value)
	}
	incarnation := func() uint64 {
		all, _, err := n.store.Load(context.Background(), tableInstances)
		require.NoError(t, err)
		for _, row := range all {
			m := &pb.FleetMember{}
			require.NoError(t, proto.Unmarshal(row.Value, m))
			if m.GetInstance() == "away" {
				return m.GetIncarnation()
			}
		}
		return 0
	}
	put(member(1))
	n.lost.removed(member(1))
	require.Eventually(t, func() bool { return incarnation() == 0 }, contactTime, 20*time.Millisecond)
	n.lost.returned(member(1))
	require.Eventually(t, func() bool { return incarnation() == 1 }, contactTime, 20*time.Millisecond)
	put(member(2))
	n.lost.removed(member(1))
	require.Eventually(t, func() bool { return len(n.lost.due(time.Now(), true)) == 0 }, contactTime, 20*time.Millisecond)
	require.Equal(t, uint64(2), incarnation())
}

// Guards against the loss of a row that is being removed while its instance returns.
func TestInstanceThatReturnsDuringTheRemovalGetsItsRow(t *testing.T) {
	var lost lostInstances
	member := &pb.FleetMember{Instance: "away", Incarnation: 1}
	lost.removed(member)
	removing := lost.due(time.Now(), true)
	require.Len(t, removing, 1)
	lost.returned(member)
	lost.done(removing[0])
	writing := lost.due(time.Now(), false)
	require.Len(t, writing, 1)
	require.True(t, writing[0].returned)
	lost.done(writing[0])
	require.Empty(t, lost.due(time.Now(), true))
	// A peer that returns before its row is touched needs nothing.
	lost.removed(member)
	lost.returned(member)
	require.Empty(t, lost.due(time.Now(), true))
}
