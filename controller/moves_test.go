package controller

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/memtable"
	"github.com/basilloom/basilloom/storage"
)

// Guards against good versions that are late, and against loads above the budget.
func TestGoodVersionsDoneInTime(t *testing.T) {
	inWorld(t, func(w *world) {
		w.start(1)
		require.False(t, w.until("a", done).GetLate())
		require.False(t, w.until("b", done).GetLate())
		w.versions("v1", "v2", "v3")
		require.LessOrEqual(t, w.engines.most, loadLimit)
		status, err := Status(w.ctx, w.table, w.snapshot, nil)
		require.NoError(t, err)
		require.Equal(t, done, status[1].GetRow().GetPhase())
		require.Equal(t, "b", status[1].GetMove().GetName())
	})
}

// Guards against a bad version that is not taken back when it is bad at once,
// late, or only under load, and against a verdict that reaches another route.
func TestBadVersionTakenBack(t *testing.T) {
	for name, bad := range map[string]func(w *world, request int) bool{
		"at once":    func(*world, int) bool { return true },
		"late":       func(w *world, _ int) bool { return w.tracker.Share("a") == 100 },
		"under load": func(w *world, n int) bool { return w.tracker.Share("a") >= 50 && n%3 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.fails = func(route string, n int) bool { return route == "a" && bad(w, n) }
				w.start(1)
				w.until("a", takenBack)
				require.Zero(t, w.tracker.Share("a"))
				w.until("b", done)
				w.versions("v1", "v3")
			})
		})
	}
}

// Guards against an order of a paused old holder that stays in force: a checking
// target refuses it, any other is corrected.
func TestHolderPausedBeforeOrder(t *testing.T) {
	inWorld(t, func(w *world) {
		w.engines.hold = make(chan struct{})
		w.parallelLoads = 8
		lease := w.start(1)
		w.until("a", loading)
		settle(5 * time.Second)
		require.Equal(t, 4, w.engines.held)
		lease.remaining.Store(0)
		w.start(2)
		for _, move := range w.snapshot.Config().GetMoves() {
			_, err := Cancel(w.ctx, w.table, move, "op")
			require.NoError(t, err)
		}
		w.until("a", takenBack)
		w.until("b", takenBack)
		// The new holder's first orders have arrived by then.
		settle(time.Second)
		close(w.engines.hold)
		settle(10 * time.Millisecond)
		require.Equal(t, 2, w.engines.refused, "targets that check fencing")
		require.Equal(t, 4, w.engines.loading, "two versions on two targets that do not")
		w.versions("v1")
	})
}

// Guards against orders before those of the former holder have ended, and against
// orders that may outlast the lease.
func TestOrdersNeedWaitAndLease(t *testing.T) {
	inWorld(t, func(w *world) {
		lease := w.start(1)
		lease.remaining.Store(int64(DefaultSettings().OrderTimeout))
		settle(10 * time.Second)
		require.Equal(t, loading, w.row("a").phase())
		require.Zero(t, w.engines.orders)
		lease.remaining.Store(0)
		settle(time.Second)
		w.start(2)
		settle(DefaultSettings().OrderTimeout)
		require.Zero(t, w.engines.orders)
		settle(2 * time.Second)
		require.Positive(t, w.engines.orders)
	})
}

// lostWrites loses writes before they take effect.
type lostWrites struct{ storage.Table }

func (lostWrites) Put(context.Context, storage.Key, []byte, int64) (storage.Row, error) {
	return storage.Row{}, storage.ErrUnknown
}

// Guards against a lost write that is taken for another writer's row.
func TestLostWriteOfLoser(t *testing.T) {
	table := memtable.New(fault.Settings{Unlimited: true})
	_, err := writeRow(t.Context(), table, &pb.MoveRow{Move: "a"}, 0)
	require.NoError(t, err)
	_, err = writeRow(t.Context(), lostWrites{table}, &pb.MoveRow{Move: "a"}, 0)
	require.ErrorIs(t, err, storage.ErrConflict)
}

// Guards against a move that goes on, is lost or raises the share without a row
// while the store is away, and against lost answers that repeat or skip a phase.
func TestStoreFaultsInEachPhase(t *testing.T) {
	for name, faults := range map[string]fault.Settings{
		"outage":      {Unlimited: true, Outage: true},
		"lost answer": {Unlimited: true, LoseProbability: 1},
		// The answer is lost and the row cannot be read back at once.
		"unsettled answer": {Unlimited: true, LoseProbability: 1},
	} {
		for phase := pending; phase <= takenBack; phase++ {
			t.Run(name+" in "+phase.String(), func(t *testing.T) {
				inWorld(t, func(w *world) {
					end := done
					if phase >= takingBack {
						end = takenBack
						w.fails = func(route string, _ int) bool { return route == "a" }
					}
					w.start(1)
					w.until("a", phase)
					w.table.faults.Set(faults)
					w.table.blind.Store(name == "unsettled answer")
					before := w.row("a")
					time.Sleep(time.Minute)
					if faults.Outage {
						require.Equal(t, before.version, w.row("a").version)
						require.LessOrEqual(t, w.tracker.Share("a"), before.GetSharePercent())
					}
					w.table.faults.Set(fault.Settings{Unlimited: true})
					w.table.blind.Store(false)
					require.False(t, w.until("a", end).GetLate())
				})
			})
		}
	}
}

// Guards against a stop of an entry that is forgotten while the store is away.
func TestStopDuringOutage(t *testing.T) {
	inWorld(t, func(w *world) {
		w.start(1)
		w.until("a", stepping)
		w.table.faults.Set(fault.Settings{Unlimited: true, Outage: true})
		w.tracker.SetStop(&pb.MoveStop{Move: "a", Reason: "bad", Generation: 1})
		require.Zero(t, w.tracker.Share("a"))
		time.Sleep(time.Minute)
		require.Equal(t, stepping, w.row("a").phase())
		w.table.faults.Set(fault.Settings{Unlimited: true})
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, w.row("a").phase(), takingBack)
		require.Contains(t, w.until("a", takenBack).GetReason(), "bad")
	})
}

// Guards against two operators who both believe that they cancelled, and against
// a cancel that changes a move that has ended.
func TestOperatorsRace(t *testing.T) {
	inWorld(t, func(w *world) {
		w.start(1)
		w.until("a", canary)
		w.table.faults.Set(fault.Settings{Unlimited: true, LatencyMillis: 100, LoseProbability: 1})
		errs := make([]error, 2)
		var both sync.WaitGroup
		for i, operator := range []string{"x", "y"} {
			both.Go(func() { _, errs[i] = Cancel(w.ctx, w.table, w.snapshot.Move("a"), operator) })
		}
		both.Wait()
		loser := errs[0]
		if loser == nil {
			loser = errs[1]
		} else {
			require.NoError(t, errs[1])
		}
		var told *CancelError
		require.ErrorAs(t, loser, &told)
		require.Contains(t, told.Reason, "cancelled by")
		w.until("a", takenBack)
		w.until("b", done)
		_, err := Cancel(w.ctx, w.table, w.snapshot.Move("b"), "x")
		require.ErrorAs(t, err, &told)
		require.Equal(t, done, told.Phase)
		require.Equal(t, done, w.row("b").phase())
	})
}

// Guards against two controllers that both drive moves: the one with the lower
// fencing token must end its role, also if no target checks fencing.
func TestTwoControllers(t *testing.T) {
	inWorld(t, func(w *world) {
		for _, target := range w.snapshot.Config().GetTargets() {
			target.ChecksFencing = false
		}
		w.start(1)
		w.until("a", loading)
		w.start(2)
		time.Sleep(2 * time.Second)
		fenced := w.row("a").version
		require.EqualValues(t, 2, w.row("a").GetFence())
		for row := w.row("a"); row.phase() != done; row = w.row("a") {
			require.GreaterOrEqual(t, row.version, fenced)
			require.EqualValues(t, 2, row.GetFence())
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against loads that wait or hang and so block taking back another move,
// and against a new version that is unloaded before the old one is loaded again.
func TestWaitingLoadsDoNotBlockTakingBack(t *testing.T) {
	inWorld(t, func(w *world) {
		w.engines.stuck = "v3"
		w.start(1)
		w.until("a", canary)
		settle(10 * time.Second)
		require.Equal(t, loadLimit, w.engines.loading)
		w.engines.mu.Lock()
		w.engines.engines["t1"].state.Versions = []string{"v2"}
		w.engines.mu.Unlock()
		_, err := Cancel(w.ctx, w.table, w.snapshot.Move("a"), "x")
		require.NoError(t, err)
		settle(loadTime - time.Second)
		require.Equal(t, takingBack, w.row("a").phase())
		require.Contains(t, w.engines.engines["t1"].state.Versions, "v2")
		time.Sleep(5 * time.Second)
		require.Equal(t, takenBack, w.row("a").phase())
	})
}
