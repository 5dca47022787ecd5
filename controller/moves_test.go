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

// Guards against good versions that miss their deadline, and against more parallel
// loads than the budget allows.
func TestGoodVersionsCompleteOnTime(t *testing.T) {
	inDeployment(t, func(d *deployment) {
		d.start(1)
		require.False(t, d.waitForPhase("a", done).GetLate())
		require.False(t, d.waitForPhase("b", done).GetLate())
		d.requireVersions("v1", "v2", "v3")
		require.LessOrEqual(t, d.engines.maxLoading, loadLimit)
		status, err := Status(d.ctx, d.table, d.snapshot, nil)
		require.NoError(t, err)
		require.Equal(t, done, status[1].GetRow().GetPhase())
		require.Equal(t, "b", status[1].GetMove().GetName())
	})
}

// Guards against a bad version that is not rolled back if it fails immediately,
// late or only under load, and against a verdict that affects another route.
func TestBadVersionRolledBack(t *testing.T) {
	for name, bad := range map[string]func(d *deployment, request int) bool{
		"at once":    func(*deployment, int) bool { return true },
		"late":       func(d *deployment, _ int) bool { return d.tracker.Share("a") == 100 },
		"under load": func(d *deployment, n int) bool { return d.tracker.Share("a") >= 50 && n%3 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			inDeployment(t, func(d *deployment) {
				d.requestFails = func(route string, n int) bool { return route == "a" && bad(d, n) }
				d.start(1)
				d.waitForPhase("a", rolledBack)
				require.Zero(t, d.tracker.Share("a"))
				d.waitForPhase("b", done)
				d.requireVersions("v1", "v3")
			})
		})
	}
}

// Guards against a late order of a paused former holder that stays in effect.
// Targets that check fencing refuse it; the others are corrected.
func TestHolderPausedBeforeOrder(t *testing.T) {
	inDeployment(t, func(d *deployment) {
		d.engines.blockOrders = make(chan struct{})
		d.parallelLoads = 8
		lease := d.start(1)
		d.waitForPhase("a", loading)
		settle(5 * time.Second)
		require.Equal(t, 4, d.engines.blocked)
		lease.remaining.Store(0)
		d.start(2)
		for _, move := range d.snapshot.Config().GetMoves() {
			_, err := Cancel(d.ctx, d.table, move, "op")
			require.NoError(t, err)
		}
		d.waitForPhase("a", rolledBack)
		d.waitForPhase("b", rolledBack)
		// The new holder's first orders have arrived by then.
		settle(time.Second)
		close(d.engines.blockOrders)
		settle(10 * time.Millisecond)
		require.Equal(t, 2, d.engines.refused, "targets that check fencing")
		require.Equal(t, 4, d.engines.loading, "two versions on two targets that do not")
		d.requireVersions("v1")
	})
}

// Guards against orders that are sent while orders of the former holder may be in
// progress, and against orders that may outlast the lease.
func TestOrdersRequireDelayAndLease(t *testing.T) {
	inDeployment(t, func(d *deployment) {
		lease := d.start(1)
		lease.remaining.Store(int64(DefaultSettings().OrderTimeout))
		settle(10 * time.Second)
		require.Equal(t, loading, d.row("a").phase())
		require.Zero(t, d.engines.orders)
		lease.remaining.Store(0)
		settle(time.Second)
		d.start(2)
		settle(DefaultSettings().OrderTimeout)
		require.Zero(t, d.engines.orders)
		settle(2 * time.Second)
		require.Positive(t, d.engines.orders)
	})
}

// lostWriteTable drops every write and returns ErrUnknown.
type lostWriteTable struct{ storage.Table }

func (lostWriteTable) Put(context.Context, storage.Key, []byte, int64) (storage.Row, error) {
	return storage.Row{}, storage.ErrUnknown
}

// Guards against mistaking another writer's row for an own write that was lost.
func TestLostWriteReportsConflict(t *testing.T) {
	table := memtable.New(fault.Settings{Unlimited: true})
	_, err := writeRow(t.Context(), table, &pb.MoveRow{Move: "a"}, 0)
	require.NoError(t, err)
	_, err = writeRow(t.Context(), lostWriteTable{table}, &pb.MoveRow{Move: "a"}, 0)
	require.ErrorIs(t, err, storage.ErrConflict)
}

// Guards against a move that advances, is lost or raises its share without a row
// while the store is unavailable, and against a lost response that repeats or skips
// a phase.
func TestStoreFaultsInEachPhase(t *testing.T) {
	for name, faults := range map[string]fault.Settings{
		"outage":        {Unlimited: true, Outage: true},
		"lost response": {Unlimited: true, LoseProbability: 1},
		// The response is lost and the row cannot be read back.
		"lost response, failed read": {Unlimited: true, LoseProbability: 1},
	} {
		for phase := pending; phase <= rolledBack; phase++ {
			t.Run(name+" in "+phase.String(), func(t *testing.T) {
				inDeployment(t, func(d *deployment) {
					end := done
					if phase >= rollingBack {
						end = rolledBack
						d.requestFails = func(route string, _ int) bool { return route == "a" }
					}
					d.start(1)
					d.waitForPhase("a", phase)
					d.table.faults.Set(faults)
					d.table.failGet.Store(name == "lost response, failed read")
					before := d.row("a")
					time.Sleep(time.Minute)
					if faults.Outage {
						require.Equal(t, before.version, d.row("a").version)
						require.LessOrEqual(t, d.tracker.Share("a"), before.GetSharePercent())
					}
					d.table.faults.Set(fault.Settings{Unlimited: true})
					d.table.failGet.Store(false)
					require.False(t, d.waitForPhase("a", end).GetLate())
				})
			})
		}
	}
}

// Guards against losing the stop of an entry while the store is unavailable.
func TestStopDuringOutage(t *testing.T) {
	inDeployment(t, func(d *deployment) {
		d.start(1)
		d.waitForPhase("a", stepping)
		d.table.faults.Set(fault.Settings{Unlimited: true, Outage: true})
		d.tracker.SetStop(&pb.MoveStop{Move: "a", Reason: "bad", Generation: 1})
		require.Zero(t, d.tracker.Share("a"))
		time.Sleep(time.Minute)
		require.Equal(t, stepping, d.row("a").phase())
		d.table.faults.Set(fault.Settings{Unlimited: true})
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, d.row("a").phase(), rollingBack)
		require.Contains(t, d.waitForPhase("a", rolledBack).GetReason(), "bad")
	})
}

// Guards against two concurrent cancels that both succeed, and against a cancel that
// changes a move that has ended.
func TestConcurrentCancels(t *testing.T) {
	inDeployment(t, func(d *deployment) {
		d.start(1)
		d.waitForPhase("a", canary)
		d.table.faults.Set(fault.Settings{Unlimited: true, LatencyMillis: 100, LoseProbability: 1})
		errs := make([]error, 2)
		var cancels sync.WaitGroup
		for i, operator := range []string{"x", "y"} {
			cancels.Go(func() { _, errs[i] = Cancel(d.ctx, d.table, d.snapshot.Move("a"), operator) })
		}
		cancels.Wait()
		failed := errs[0]
		if failed == nil {
			failed = errs[1]
		} else {
			require.NoError(t, errs[1])
		}
		var cancelErr *CancelError
		require.ErrorAs(t, failed, &cancelErr)
		require.Contains(t, cancelErr.Reason, "cancelled by")
		d.waitForPhase("a", rolledBack)
		d.waitForPhase("b", done)
		_, err := Cancel(d.ctx, d.table, d.snapshot.Move("b"), "x")
		require.ErrorAs(t, err, &cancelErr)
		require.Equal(t, done, cancelErr.Phase)
		require.Equal(t, done, d.row("b").phase())
	})
}

// Guards against two controllers that both drive moves. The one with the lower
// fencing token must give up its role even if no target checks fencing.
func TestTwoControllers(t *testing.T) {
	inDeployment(t, func(d *deployment) {
		for _, target := range d.snapshot.Config().GetTargets() {
			target.ChecksFencing = false
		}
		d.start(1)
		d.waitForPhase("a", loading)
		d.start(2)
		time.Sleep(2 * time.Second)
		firstVersion := d.row("a").version
		require.EqualValues(t, 2, d.row("a").GetFence())
		for row := d.row("a"); row.phase() != done; row = d.row("a") {
			require.GreaterOrEqual(t, row.version, firstVersion)
			require.EqualValues(t, 2, row.GetFence())
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against waiting or hanging loads that block the rollback of another move,
// and against unloading a new version before the old one is loaded again.
func TestWaitingLoadsDoNotBlockRollback(t *testing.T) {
	inDeployment(t, func(d *deployment) {
		d.engines.stuckVersion = "v3"
		d.start(1)
		d.waitForPhase("a", canary)
		settle(10 * time.Second)
		require.Equal(t, loadLimit, d.engines.loading)
		d.engines.mu.Lock()
		d.engines.engines["t1"].state.Versions = []string{"v2"}
		d.engines.mu.Unlock()
		_, err := Cancel(d.ctx, d.table, d.snapshot.Move("a"), "x")
		require.NoError(t, err)
		settle(loadTime - time.Second)
		require.Equal(t, rollingBack, d.row("a").phase())
		require.Contains(t, d.engines.engines["t1"].state.Versions, "v2")
		time.Sleep(5 * time.Second)
		require.Equal(t, rolledBack, d.row("a").phase())
	})
}
