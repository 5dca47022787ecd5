package instance

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/fleet"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/standin/platformstore"
	"github.com/basilloom/basilloom/platform"
)

// recoveryTime is the time after a start of all instances within which they must serve again.
const recoveryTime = 12 * time.Second

func (env *testEnv) putRow(m *pb.FleetMember) {
	value, err := proto.Marshal(m)
	require.NoError(env.t, err)
	env.store.Put(tableInstances, m.GetInstance(), value)
}

// putRowOf writes the row of an instance that does not run, at a port that nothing listens on.
func (env *testEnv) putRowOf(name string, port int) *pb.FleetMember {
	m := &pb.FleetMember{Instance: name, Incarnation: 1, Address: fmt.Sprintf("127.0.0.9:%d", port), Zone: "z1"}
	env.putRow(m)
	return m
}

// putLostRows writes the rows of instances that do not run.
func (env *testEnv) putLostRows(n int) {
	for k := range n {
		env.putRowOf(fmt.Sprint("lost-", k), 1000+k)
	}
}

// shareWithout is the share of the limits of the only instance left once the parts of the lost
// ones are released.
func shareWithout(lost int) float64 { return (1 + 0.5*float64(lost)) / float64(lost+1) }

// requireShare checks that the instance gets a share of the limits within a time.
func (n *node) requireShare(t *testing.T, share float64, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool { return math.Abs(n.ledger.Share()-share) < 1e-9 }, within, 20*time.Millisecond)
}

// silentAddress returns an address that takes connections and sends nothing, like that of an
// instance that is paused. Nothing tells it from one that is cut off.
func (env *testEnv) silentAddress() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(env.t, err)
	env.t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// rowOf returns the row of an instance, or nil.
func (n *node) rowOf(t *testing.T, name string) *pb.FleetMember {
	rows, _, err := n.store.Load(context.Background(), tableInstances)
	require.NoError(t, err)
	for _, row := range rows {
		if row.Key == name {
			m := &pb.FleetMember{}
			require.NoError(t, proto.Unmarshal(row.Value, m))
			return m
		}
	}
	return nil
}

// receiveReport sends a peer's report to the instance.
func (n *node) receiveReport(t *testing.T, report *pb.FleetReport) {
	data, err := proto.Marshal(report)
	require.NoError(t, err)
	conn, err := net.Dial("udp4", n.settings.Load().Peers)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(data)
	require.NoError(t, err)
}

// Guards against an instance that leaves lost ones their parts of all quotas because it has
// started after their loss, also if it starts again before it has decided anything, and
// against one that spends the whole parts of instances that may be cut off.
func TestPartsOfLostInstancesAfterAStart(t *testing.T) {
	t.Parallel()
	const lost = 8
	env := newTestEnv(t)
	env.configure(testRoutes(), []string{testKey}, 1000)
	env.putLostRows(lost)
	first := env.start("i1")
	time.Sleep(time.Second)
	first.kill()
	again := env.start("i1")
	startedAt := time.Now()
	require.Eventually(t, func() bool { return again.ledger.Share() < 1./9+1e-9 }, contactTime, 20*time.Millisecond)
	again.requireShare(t, shareWithout(lost), recoveryTime-time.Since(startedAt))
	again.kill()
	last := env.start("i1")
	last.requireShare(t, shareWithout(lost), contactTime)
}

// Guards against a new instance that spends its part while others may still divide the limits
// without it.
func TestNewInstanceHasNoLeaseAtOnce(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.configure(testRoutes(), []string{testKey}, 1000)
	env.putRow(&pb.FleetMember{Instance: "away", Incarnation: 1, Address: env.silentAddress(), Zone: "z1"})
	n := env.start("i1")
	require.Eventually(t, func() bool { return n.rowOf(t, "i1") != nil }, contactTime, 20*time.Millisecond)
	require.Greater(t, n.rowOf(t, "i1").GetLeaseFromMs(), n.store.Now().Milliseconds())
	require.Eventually(t, func() bool { return n.ledger.Share() == 0.25 }, contactTime, 20*time.Millisecond)
	require.Eventually(t, func() bool { return n.ledger.Share() >= 0.5 }, recoveryTime, 20*time.Millisecond)
}

// Guards against an instance without a row in good order, because peers have marked it or the
// store is back from an older copy, and against the loss of the row of a later start.
func TestInstanceRestoresItsRow(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.configure(testRoutes(), []string{testKey}, 1000)
	n := env.start("i1")
	inGoodOrder := func() bool {
		m := n.rowOf(t, "i1")
		return m != nil && !m.GetSilent() && m.GetIncarnation() == n.incarnation
	}
	require.Eventually(t, inGoodOrder, contactTime, 20*time.Millisecond)
	env.store.Delete(tableInstances, "i1")
	require.False(t, inGoodOrder())
	require.Eventually(t, inGoodOrder, contactTime, 20*time.Millisecond)
	marked := n.member()
	marked.Silent, marked.Released = true, true
	env.putRow(marked)
	require.False(t, inGoodOrder())
	require.Eventually(t, inGoodOrder, contactTime, 20*time.Millisecond)
	require.Greater(t, n.rowOf(t, "i1").GetLeaseFromMs(), n.store.Now().Milliseconds(), "others may still spend the released part")
	marked.Incarnation++
	env.putRow(marked)
	time.Sleep(2 * time.Second)
	require.True(t, proto.Equal(marked, n.rowOf(t, "i1")))
}

// Guards against a silent instance whose row stays marked when it returns, at any step of the
// release.
func TestRowOfAnInstanceThatReturns(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.configure(testRoutes(), []string{testKey}, 1000)
	n := env.start("i1")
	away := env.putRowOf("away", 1000)
	sequence := uint64(0)
	require.Eventually(t, func() bool { return n.rowOf(t, "away").GetSilent() }, recoveryTime, 20*time.Millisecond)
	for range 2 {
		require.Eventually(t, func() bool {
			sequence++
			n.receiveReport(t, &pb.FleetReport{Instance: "away", Incarnation: 1, Address: away.Address, Zone: "z1", Sequence: sequence, StatusUnavailable: true})
			return !n.rowOf(t, "away").GetSilent()
		}, contactTime, 100*time.Millisecond)
		require.Eventually(t, func() bool { return n.rowOf(t, "away").GetReleased() }, 2*recoveryTime, 20*time.Millisecond)
	}
}

// Guards against parts that are released one write after the other, so that a start on a slow
// store has its share of a lost zone long after recoveryTime, and against one row that was
// changed meanwhile and holds up the others.
func TestPartsOfManyLostInstancesOnASlowStore(t *testing.T) {
	t.Parallel()
	const lost = 99
	env := newTestEnv(t)
	env.configure(testRoutes(), []string{testKey}, 1000)
	env.putLostRows(lost)
	env.store.SetFaults(platformstore.Faults{Delay: 300 * time.Millisecond})
	startedAt := time.Now()
	n := env.start("i1")
	n.requireShare(t, shareWithout(lost), recoveryTime-time.Since(startedAt))
}

// Guards against a row that was changed meanwhile and keeps the rows of the same transaction
// from being changed.
func TestRowsThatAreChangedTogether(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	n := env.assemble("i1")
	var due []fleet.RowChange
	for k := range 2*platform.MaxUpdates + 1 {
		m := &pb.FleetMember{Instance: fmt.Sprint("lost-", k), Incarnation: 1, Address: "127.0.0.9:1000"}
		env.putRow(m)
		change := fleet.RowChange{Row: fleet.Row{Member: m, Version: int64(k) + 1}}
		if k%2 == 0 {
			change.Next = &pb.FleetMember{Instance: m.GetInstance(), Incarnation: 1, Silent: true}
		}
		due = append(due, change)
	}
	changed := &pb.FleetMember{Instance: "lost-7", Incarnation: 2, Address: "127.0.0.9:1000"}
	env.putRow(changed)
	env.store.Delete(tableInstances, "lost-8")
	n.changeRows(t.Context(), due)
	for k := range 2*platform.MaxUpdates + 1 {
		row := n.rowOf(t, fmt.Sprint("lost-", k))
		switch {
		case k == 7:
			require.True(t, proto.Equal(changed, row))
		case k%2 == 1 || k == 8:
			require.Nil(t, row, k)
		default:
			require.True(t, row.GetSilent(), k)
		}
	}
	require.LessOrEqual(t, n.store.Calls()[platform.CallWrite].Answered.Load(), int64(3))
}

// Guards against parts of lost instances that nobody releases because the instance with that
// duty is heard by its peers and does not reach the store.
func TestPartsWhenTheOwnerOfTheDutyIsRefused(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.configure(testRoutes(), []string{testKey}, 1000)
	nodes, refused := make(map[string]*node), make(map[string]*atomic.Bool)
	for _, name := range []string{"i1", "i2"} {
		server, refuse := env.refusingStore()
		nodes[name], refused[name] = env.startAt(name, server.URL), refuse
	}
	for _, n := range nodes {
		require.Eventually(t, func() bool { return len(n.fleet.LiveReports(time.Now())) == 1 }, contactTime, 10*time.Millisecond)
	}
	owner := nodes["i1"].dutyOwner(tableInstances, time.Now())
	refused[owner].Store(true)
	env.putRowOf("lost", 1000)
	for name, n := range nodes {
		if name != owner {
			require.Eventually(t, func() bool { return n.rowOf(t, "lost").GetReleased() }, recoveryTime, 20*time.Millisecond)
		}
	}
}

// Guards against an instance that has left, could not remove its row and keeps its part of the
// quotas after the next start.
func TestRowOfAnInstanceThatLeft(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.configure(testRoutes(), []string{testKey}, 1000)
	n := env.start("i1")
	left := env.putRowOf("left", 1000)
	n.receiveReport(t, &pb.FleetReport{Instance: "left", Incarnation: 1, Address: left.Address, Zone: "z1", Sequence: 1, Leaving: true})
	grace := n.settings.Load().Grace
	require.Never(t, func() bool { return n.rowOf(t, "left").GetSilent() || n.rowOf(t, "left") == nil }, grace-time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { return n.rowOf(t, "left") == nil }, contactTime, 20*time.Millisecond)
}
