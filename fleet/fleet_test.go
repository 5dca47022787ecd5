package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/mirror"
)

func newFleet(t testing.TB) *Fleet {
	f, err := New(Settings{Self: "self", Zone: "z1", Address: "127.0.0.1:0", Log: zap.NewNop()})
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.conn.Close() })
	return f
}

func report(name string, incarnation, sequence uint64, zone string) *pb.FleetReport {
	return &pb.FleetReport{Instance: name, Incarnation: incarnation, Sequence: sequence, Address: name + ":1", Zone: zone}
}

// Guards against reports that overtake each other and against those of an earlier
// start of a peer.
func TestOldReportsAreDropped(t *testing.T) {
	f, now := newFleet(t), time.Now()
	require.True(t, f.accept(report("p", 2, 5, "z1"), now))
	require.False(t, f.accept(report("p", 2, 4, "z1"), now))
	require.False(t, f.accept(report("p", 1, 9, "z1"), now))
	require.True(t, f.accept(report("p", 3, 1, "z1"), now))
	require.False(t, f.accept(report("self", 9, 9, "z1"), now))
}

// Guards against groups that stay with an instance that is silent, was reported
// or leaves, and against owners outside the preferred zones while one is inside.
func TestOwner(t *testing.T) {
	f, now := newFleet(t), time.Now()
	for _, name := range []string{"a", "b", "c"} {
		require.True(t, f.accept(report(name, 1, 1, "z2"), now))
	}
	inZone2 := func(zone string) bool { return zone == "z2" }
	owner, address := f.Owner("k", inZone2, now)
	require.NotEqual(t, "self", owner)
	require.Equal(t, owner+":1", address)
	f.ReportFailure(owner)
	second, _ := f.Owner("k", inZone2, now)
	require.NotEqual(t, owner, second)
	f.ClearFailure(owner)
	again, _ := f.Owner("k", inZone2, now)
	require.Equal(t, owner, again)
	f.ReportFailure(owner)
	leaving := report(second, 1, 2, "z2")
	leaving.Leaving = true
	require.True(t, f.accept(leaving, now))
	third, _ := f.Owner("k", inZone2, now)
	require.NotContains(t, []string{owner, second}, third)
	later := now.Add(failurePause + f.ownerSilence())
	alone, _ := f.Owner("k", inZone2, later)
	require.Equal(t, "self", alone, "all others are silent")
}

// Guards against two halves of a fleet that each use the whole limits, and against
// limits that stay divided by instances that are gone for long.
func TestShare(t *testing.T) {
	f, now := newFleet(t), time.Now()
	require.InDelta(t, unlistedShare, f.Share(now), 0)
	f.AddMembers([]*pb.FleetMember{{Instance: "a", Incarnation: 1, Address: "a:1"}, {Instance: "b", Incarnation: 1, Address: "b:1"}, {Instance: "c", Incarnation: 1, Address: "c:1"}})
	require.InDelta(t, 0.25, f.Share(now), 0)
	require.True(t, f.accept(report("a", 1, 1, "z1"), now))
	require.InDelta(t, 0.5, f.Share(now), 0)
	require.InDelta(t, 0.25, f.Share(now.Add(2*minSilence)), 0)
	for _, p := range f.peers {
		p.DiscoveredAt, p.LastReportAt = now.Add(-2*forgetAfter), time.Time{}
	}
	f.compose()
	require.InDelta(t, 1, f.Share(now), 0)
}

// BenchmarkReport gives the size and cost of a report by targets with work and
// workspaces with spending.
func BenchmarkReport(b *testing.B) {
	for _, c := range []struct{ targets, workspaces int }{{12, 5}, {40, 50}, {79, 990}} {
		b.Run(fmt.Sprintf("targets=%d/workspaces=%d", c.targets, c.workspaces), func(b *testing.B) {
			m := report("front-dub-a-1", uint64(time.Now().UnixNano()), 1000, "dub-a")
			for i := range c.targets {
				m.Loads = append(m.Loads, &pb.TargetLoad{Target: Hash(fmt.Sprint(i)), Running: 3, PromptTokens: 4000})
			}
			for i := range c.workspaces {
				m.Spending = append(m.Spending, &pb.WorkspaceSpending{Workspace: Hash(fmt.Sprint(i)), Amount: 12_345_678, Level: proto.Int64(-100_000)})
			}
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(m)
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/report")
		})
	}
}

// rowsOnce is a table of the store that never changes.
type rowsOnce []mirror.Row

func (r rowsOnce) Load(context.Context, string) ([]mirror.Row, int64, error) { return r, 10, nil }

func (r rowsOnce) Watch(ctx context.Context, _ string, after int64, _ time.Duration) (mirror.Changes, error) {
	<-ctx.Done()
	return mirror.Changes{Version: after}, ctx.Err()
}

// Guards against a fetch of the whole table from each instance that starts: it has
// read the table at a later version, but its rows are the same.
func TestTableWithTheSameRowsIsNotFetched(t *testing.T) {
	f, now := newFleet(t), time.Now()
	table := mirror.NewTable("op", rowsOnce{{Key: "config", Version: 7}}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	go table.Run(ctx)
	defer cancel()
	require.Eventually(t, func() bool { return table.Current() != nil }, time.Second, time.Millisecond)
	started := report("p", 1, 1, "z1")
	started.Tables = []*pb.TableVersion{{Table: "op", Changed: 20, Digest: table.Current().Digest}}
	require.True(t, f.accept(started, now))
	_, newer := f.newest(table, now)
	require.False(t, newer)
	changed := report("p", 1, 2, "z1")
	changed.Tables = []*pb.TableVersion{{Table: "op", Changed: 20, Digest: table.Current().Digest + 1}}
	require.True(t, f.accept(changed, now))
	address, newer := f.newest(table, now)
	require.True(t, newer)
	require.Equal(t, "p:1", address)
}
