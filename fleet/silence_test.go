package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// recoveryTime is the time within which the parts of lost instances must be free.
const recoveryTime = 12 * time.Second

func newUnconnectedFleet(self string) *Fleet {
	f := &Fleet{
		settings: Settings{Self: self, Zone: "z1", Address: self, Log: zap.NewNop()},
		peers:    make(map[string]*Peer), toRelay: make(map[string]*pb.RelayedReport),
	}
	f.updateScheduleLocked()
	return f
}

func rowInGoodOrder(name string) Row {
	return Row{Member: &pb.FleetMember{Instance: name, Incarnation: 1, Address: name, Zone: "z1"}, Version: 1}
}

// Guards against an instance that never marks the rows of lost peers because it runs so seldom
// that it takes each of its rounds for the end of a pause.
func TestSilenceCountsInRoundsFarApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUnconnectedFleet("a")
		f.SetRows([]Row{rowInGoodOrder("lost")}, 1, time.Now())
		const rounds = 20
		for range rounds {
			if len(f.CheckRows(time.Now(), time.Hour).Due) > 0 {
				return
			}
			time.Sleep(maxObservationGap + 100*time.Millisecond)
		}
		t.Errorf("not marked after %d rounds", rounds)
	})
}

// Guards against a start that waits for peers that were lost before it as long as for those that it
// has heard, and against marks of the latter before silenceLimit.
func TestStartMarksPeersThatItHasNotHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUnconnectedFleet("a")
		f.SetRows([]Row{rowInGoodOrder("lost"), rowInGoodOrder("b")}, 1, time.Now())
		time.Sleep(minReportTimeout / 2)
		require.True(t, f.accept(&pb.FleetReport{Instance: "b", Incarnation: 1, Sequence: 1, Address: "b", Zone: "z1"}, time.Now()))
		check := f.CheckRows(time.Now(), time.Hour)
		require.Equal(t, RowsCheck{Wait: minReportTimeout / 2, Pending: Pending{Unmarked: 1}}, check)
		for at := minReportTimeout / 2; at < minReportTimeout/2+silenceLimit; at += minReportTimeout / 2 {
			require.Len(t, check.Due, min(1, int(at/minReportTimeout)), at)
			time.Sleep(minReportTimeout / 2)
			check = f.CheckRows(time.Now(), time.Hour)
		}
		require.Len(t, check.Due, 2)
	})
}

// Guards against an instance that starts later than the others and has half of its part for
// longer than the lease of a lost instance lasts, because its own row was marked meanwhile.
func TestLateStartHasItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLeaseFleet(t, 1)
		defer l.stop()
		for _, name := range []string{"a", "b", "late", "lost"} {
			l.start(name)
		}
		l.run(5*time.Second, "start")
		for _, name := range []string{"a", "b", "late", "lost"} {
			l.kill(name)
		}
		l.start("a")
		l.start("b")
		l.run(5*time.Second, "two are back")
		l.mu.Lock()
		marked := l.running["a"].peers["late"].row.Member
		l.mu.Unlock()
		require.True(t, marked.GetSilent() && !marked.GetReleased())
		l.start("late")
		l.run(4*time.Second, "the last one is back")
		require.InDelta(t, 1-keptFraction/4, l.spent(), 1e-9)
	})
}

// Guards against an instance that was paused and takes its peers for silent before it has
// heard them again.
func TestSilenceDoesNotCountInAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUnconnectedFleet("a")
		f.SetRows([]Row{rowInGoodOrder("b")}, 1, time.Now())
		for k := range uint64(5) {
			require.True(t, f.accept(&pb.FleetReport{Instance: "b", Incarnation: 1, Sequence: k + 1, Address: "b", Zone: "z1"}, time.Now()))
			for range 3 {
				time.Sleep(500 * time.Millisecond)
				require.Empty(t, f.CheckRows(time.Now(), time.Hour).Due)
			}
			time.Sleep(10 * time.Second)
			for range 3 {
				require.Empty(t, f.CheckRows(time.Now(), time.Hour).Due, "paused for 10 s after 1.5 s of silence")
				time.Sleep(200 * time.Millisecond)
			}
		}
	})
}

// Guards against a wait before the mark of a lost instance that has grown with each time it was
// cut off and returned, however long ago.
func TestLossOfAnInstanceThatOftenReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLeaseFleet(t, 1)
		defer l.stop()
		names := []string{"a", "b", "c"}
		for _, name := range names {
			l.start(name)
		}
		l.run(5*time.Second, "start")
		setSide := func(side int) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.side["c"], l.disturbedAt = side, time.Now()
		}
		for k := range 5 {
			setSide(1)
			l.run(4*time.Second, fmt.Sprint("cut off, ", k))
			setSide(0)
			l.run(20*time.Second, fmt.Sprint("back, ", k))
			require.InDelta(t, 1, l.spent(), 1e-9)
		}
		l.run(2*time.Minute, "calm")
		l.kill("c")
		l.run(recoveryTime, "lost")
		require.InDelta(t, 1-keptFraction/3, l.spent(), 1e-9)
	})
}
