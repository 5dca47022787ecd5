package fleet

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/mirror"
)

func newFleet(t testing.TB) *Fleet {
	f, err := New(Settings{
		Self: "self", Zone: "z1", Address: "127.0.0.1:0", Log: zap.NewNop(),
		FillReport: func(*pb.FleetReport) {}, OnReport: func(*pb.FleetReport) {},
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.conn.Close() })
	return f
}

func report(name string, incarnation, sequence uint64, zone string) *pb.FleetReport {
	return &pb.FleetReport{Instance: name, Incarnation: incarnation, Sequence: sequence, Address: name + ":1", Zone: zone}
}

// Guards against accepting reordered reports or reports of an earlier incarnation.
func TestOldReportsAreDropped(t *testing.T) {
	f, now := newFleet(t), time.Now()
	require.True(t, f.accept(report("p", 2, 5, "z1"), now))
	require.False(t, f.accept(report("p", 2, 4, "z1"), now))
	require.False(t, f.accept(report("p", 1, 9, "z1"), now))
	require.True(t, f.accept(report("p", 3, 1, "z1"), now))
	require.False(t, f.accept(report("self", 9, 9, "z1"), now))
}

// Guards against owners that are unresponsive, leaving or reported as failed, and
// against owners outside the preferred zones while an instance inside is available.
func TestOwner(t *testing.T) {
	f, now := newFleet(t), time.Now()
	for _, name := range []string{"a", "b", "c"} {
		require.True(t, f.accept(report(name, 1, 1, "z2"), now))
	}
	inZone2 := func(r *pb.FleetReport) bool { return r.GetZone() == "z2" }
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
	later := now.Add(failureBackoff + f.schedule.farTimeout)
	last, _ := f.Owner("k", inZone2, later)
	require.Equal(t, "self", last, "all peers are unresponsive")
}

// Guards against a broker on a small instance, which delays the requests of all others.
func TestOwnerHasMostProcessorTime(t *testing.T) {
	f, now := newFleet(t), time.Now()
	f.settings.MilliCores = 192
	anyZone := func(*pb.FleetReport) bool { return true }
	for k, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		m := report(name, 1, 1, "z1")
		m.MilliCores = 192
		if k < 2 {
			m.MilliCores = 800
		}
		require.True(t, f.accept(m, now))
	}
	owners := make(map[string]bool)
	for k := range 50 {
		owner, _ := f.Owner(fmt.Sprint("key-", k), anyZone, now)
		owners[owner] = true
	}
	require.Equal(t, map[string]bool{"a": true, "b": true}, owners)
	f.ReportFailure("a")
	f.ReportFailure("b")
	owner, _ := f.Owner("key", anyZone, now)
	require.NotContains(t, []string{"a", "b"}, owner)
}

// Guards against the two sides of a partition each using the whole limits. TestPartsInSeriesOfFaults
// guards against reserving the parts of lost instances.
func TestShare(t *testing.T) {
	f, now := newFleet(t), time.Now()
	require.InDelta(t, initialShare, f.Share(now), 0)
	f.AddMembers([]*pb.FleetMember{{Instance: "a", Incarnation: 1, Address: "a:1"}, {Instance: "b", Incarnation: 1, Address: "b:1"}, {Instance: "c", Incarnation: 1, Address: "c:1"}})
	require.InDelta(t, 0.25*keptFraction, f.Share(now), 0, "no reading of the rows")
	require.True(t, f.accept(report("a", 1, 1, "z1"), now))
	require.InDelta(t, 0.5*keptFraction, f.Share(now), 0)
	require.InDelta(t, 0.25*keptFraction, f.Share(now.Add(2*minReportTimeout)), 0)
	for _, name := range []string{"a", "b", "c"} {
		require.True(t, f.accept(report(name, 1, 2, "z1"), now))
	}
	require.InDelta(t, 1, f.Share(now), 0, "all instances are heard")
}

// BenchmarkReport measures the size and encoding cost of a report by the number of
// targets with load and of workspaces with usage.
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

// staticSource is a mirror.Source whose rows never change.
type staticSource []mirror.Row

func (r staticSource) Load(context.Context, string) ([]mirror.Row, int64, error) { return r, 10, nil }

func (r staticSource) Watch(ctx context.Context, _ string, after int64, _ time.Duration) (mirror.Changes, error) {
	<-ctx.Done()
	return mirror.Changes{Version: after}, ctx.Err()
}

// Guards against fetching the whole table from each new instance, which has read the
// table at a later version but holds the same rows.
func TestTableWithTheSameRowsIsNotFetched(t *testing.T) {
	f, now := newFleet(t), time.Now()
	table := mirror.NewTable("op", staticSource{{Key: "config", Version: 7}}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	go table.Run(ctx)
	defer cancel()
	require.Eventually(t, func() bool { return table.Current() != nil }, time.Second, time.Millisecond)
	started := report("p", 1, 1, "z1")
	started.Tables = []*pb.TableVersion{{Table: "op", Changed: 20, Digest: table.Current().Digest}}
	require.True(t, f.accept(started, now))
	_, newer := f.newestCopy(table, nil, now)
	require.False(t, newer)
	changed := report("p", 1, 2, "z1")
	changed.Tables = []*pb.TableVersion{{Table: "op", Changed: 20, Digest: table.Current().Digest + 1}}
	require.True(t, f.accept(changed, now))
	address, newer := f.newestCopy(table, nil, now)
	require.True(t, newer)
	require.Equal(t, "p:1", address)
}

// readTables returns the versions of a report whose sender has read the table from the store.
func readTables(unavailable bool) []*pb.TableVersion {
	return []*pb.TableVersion{{Table: "op", Changed: 1, StoreUnavailable: unavailable}, {Table: "instances", Changed: 1, StoreUnavailable: unavailable}}
}

// Guards against an availability zone in which every instance reads the store, or none
// does because the readers stopped, left or are refused by the store.
func TestReadersOfAZone(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	now := time.Now()
	var others []string // instances of other zones
	table := "op"
	// readers returns the instances of zone z1 that read the store, given what each one's
	// report says of the store. Instances in stopped send no reports.
	readers := func(unavailable, stopped map[string]bool) []string {
		var reading []string
		for _, self := range names {
			if stopped[self] {
				continue
			}
			f := newFleet(t)
			f.settings.Self = self
			f.settings.Instances = mirror.NewTable("instances", nil, zap.NewNop())
			zones := map[string]string{"far": "z2"}
			for _, name := range others {
				zones[name] = "zone of " + name
			}
			for _, name := range slices.Concat(names, []string{"far"}, others) {
				zone := cmp.Or(zones[name], "z1")
				m := report(name, 1, 1, zone)
				m.Tables = readTables(unavailable[name])
				if !stopped[name] {
					f.accept(m, now)
				}
			}
			if f.ReadsStore(table, now) {
				reading = append(reading, self)
			}
		}
		return reading
	}
	first := readers(nil, nil)
	require.Len(t, first, readersPerZone)
	successors := readers(nil, map[string]bool{first[0]: true, first[1]: true})
	require.Len(t, successors, readersPerZone)
	require.NotContains(t, successors, first[0])
	refused := readers(map[string]bool{first[0]: true, first[1]: true}, nil)
	require.Subset(t, refused, append(successors, first...), "refused readers go on trying")
	table = "instances"
	require.Len(t, readers(nil, nil), 1, "a lease outlasts the loss of a reader")
	table = "op"
	others = []string{"g", "h"}
	require.Len(t, readers(nil, nil), 1, "four zones have four readers")
	successor := readers(nil, map[string]bool{first[0]: true, first[1]: true})
	require.Len(t, successor, 1)
	require.Contains(t, successors, successor[0])
	alone := newFleet(t)
	require.True(t, alone.ReadsStore("op", now))
}

// Guards against partial reports that a peer cannot apply, because its build does not know
// them or because it has started and does not know the amounts before.
func TestPartialReportsNeedPeersThatKnowTheRest(t *testing.T) {
	f, now := newFleet(t), time.Now()
	partial := func(now time.Time) (n int) {
		for range completeReportInterval {
			if f.nextIsPartialLocked(&f.nearReports, now) {
				n++
			}
		}
		return n
	}
	require.Zero(t, partial(now), "after the start")
	later := now.Add(2 * completeReportsPeriod)
	require.Equal(t, completeReportInterval-1, partial(later))
	for _, incarnation := range []uint64{1, 2} {
		m := report("p", incarnation, 1, "z1")
		m.AcceptsPartialSpending = true
		require.True(t, f.accept(m, later))
		require.Zero(t, partial(later), "after the start of a peer")
		later = later.Add(2 * completeReportsPeriod)
		require.Equal(t, completeReportInterval-1, partial(later))
	}
	require.True(t, f.accept(report("p", 2, 2, "z1"), later))
	require.Zero(t, partial(later), "the peer's build cannot apply them")
}
