package moves

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

var start = time.Unix(1_800_000_000, 0)

func testMove() *pb.Move {
	return &pb.Move{
		Name: "m", Route: "plans", From: "v1", To: "v2",
		Deadline: timestamppb.New(start.Add(24 * time.Hour)),
		Steps:    []float64{2, 10, 30, 60, 100}, StepTime: durationpb.New(time.Minute),
		MinRequests: 50, MaxFailureRatioIncrease: 0.01, MaxSlowdown: 1.3,
	}
}

// series returns one window with the given counts and times per request.
func series(window, requests, failures int64, firstToken time.Duration) Series {
	w := WindowTotals{Window: window}
	c := &pb.EvidenceCounter{Requests: requests, Failures: failures}
	for range requests - failures {
		c.FirstToken = addTime(c.GetFirstToken(), firstToken)
		c.TokenInterval = addTime(c.GetTokenInterval(), firstToken/10)
	}
	addCounter(&w.Totals, c)
	return Series{w}
}

// Guards against transitions that leave a terminal phase, skip loading or return to an
// earlier phase.
func TestCanFollow(t *testing.T) {
	want := map[int32][]int32{0: {1}, 1: {2, 6}, 2: {3, 6}, 3: {4, 5, 6}, 4: {4, 5, 6}, 5: nil, 6: {7}, 7: nil}
	for from := range pb.MovePhase_name {
		for to := range pb.MovePhase_name {
			got := CanFollow(pb.MovePhase(from), pb.MovePhase(to))
			require.Equal(t, slices.Contains(want[from], to), got, "%d to %d", from, to)
		}
	}
}

// Guards against decisions that are not valid transitions, increase the share by more
// than one step or without sufficient evidence, or clear the late flag.
func TestDecideFollowsTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		move, now := testMove(), start
		var row *pb.MoveRow
		for range 40 {
			now = now.Add(time.Duration(rapid.Int64Range(1, 7200).Draw(t, "seconds")) * time.Second)
			in := Input{Move: move, Row: row, Now: now}
			requests := rapid.Int64Range(0, 200).Draw(t, "requests")
			in.To = series(WindowOf(now), requests, rapid.Int64Range(0, requests).Draw(t, "failures"), time.Second)
			in.From = series(WindowOf(now), 1000, 5, time.Second)
			in.Targets = []TargetState{{Versions: rapid.SliceOfDistinct(rapid.SampledFrom([]string{"v1", "v2"}), rapid.ID).Draw(t, "loaded")}}
			if rapid.IntRange(0, 20).Draw(t, "stop") == 0 {
				in.Stop = "stopped"
			}
			next, _ := Decide(in)
			if next == nil {
				continue
			}
			phase := row.GetPhase()
			if next.Phase == phase && next.Step == row.GetStep() {
				require.True(t, next.Late && !row.GetLate())
				require.Equal(t, row.GetSharePercent(), next.SharePercent)
			} else {
				require.True(t, CanFollow(phase, next.Phase))
			}
			if next.SharePercent > row.GetSharePercent() && phase != pb.MovePhase_MOVE_PHASE_LOADING {
				require.GreaterOrEqual(t, requests, int64(50))
				require.LessOrEqual(t, next.Step, row.GetStep()+1)
			}
			require.False(t, row.GetLate() && !next.Late)
			row = next
		}
	})
}

// Guards against detecting a regression from too few requests, and against missing a
// clear regression.
func TestRegressed(t *testing.T) {
	window := WindowOf(start)
	old := series(window, 1000, 5, time.Second)
	late := append(series(window-100, 5000, 25, time.Second), series(window, 40, 20, time.Second)...)
	shared := series(window, 1000, 500, time.Second)
	for name, c := range map[string]struct {
		from, to  Series
		regressed bool
	}{
		"one failure of three":            {old, series(window, 3, 1, time.Second), false},
		"two failures of three":           {old, series(window, 3, 2, time.Second), false},
		"four failures of four":           {old, series(window, 4, 4, time.Second), true},
		"no evidence of the old version":  {nil, series(window, 20, 20, time.Second), true},
		"failures begin late":             {append(series(window-100, 9000, 40, time.Second), old...), late, true},
		"both versions fail":              {shared, series(window, 40, 20, time.Second), false},
		"three times slower, 40 requests": {old, series(window, 40, 0, 3*time.Second), true},
		"three times slower, 7 requests":  {old, series(window, 7, 0, 3*time.Second), false},
		"as slow as the limit allows":     {old, series(window, 5000, 0, 1290*time.Millisecond), false},
		"allowed increase of failures":    {old, series(window, 5000, 70, time.Second), false},
	} {
		reason, regressed := Regressed(testMove(), c.from, c.to)
		require.Equal(t, c.regressed, regressed, "%s: %s", name, reason)
	}
}

// Guards against advancing before step_time or on evidence of an earlier step, against
// full traffic directly after a last step below 100, and against a missed deadline that
// forces a step or is not reported.
func TestSteps(t *testing.T) {
	move := testMove()
	move.Steps = []float64{5, 50}
	row := &pb.MoveRow{
		Phase: pb.MovePhase_MOVE_PHASE_CANARY, SharePercent: 5, PhaseSince: timestamppb.New(start), Definition: Definition(testMove()),
	}
	loaded := []TargetState{{Versions: []string{"v1", "v2"}}}
	decide := func(after time.Duration, window int64) *pb.MoveRow {
		next, _ := Decide(Input{Move: move, Row: row, Now: start.Add(after), Targets: loaded,
			From: series(window, 1000, 5, time.Second), To: series(window, 60, 0, time.Second)})
		return next
	}
	require.Nil(t, decide(59*time.Second, WindowOf(start)))
	require.Nil(t, decide(60*time.Second, WindowOf(start)-1))
	late := decide(25*time.Hour, WindowOf(start)-1)
	require.True(t, late.Late)
	require.Equal(t, 5.0, late.SharePercent)
	for _, share := range []float64{50, 100} {
		row = decide(60*time.Second, WindowOf(start))
		require.Equal(t, share, row.SharePercent)
		require.Equal(t, pb.MovePhase_MOVE_PHASE_STEPPING, row.Phase)
		row.PhaseSince = timestamppb.New(start)
	}
	require.Equal(t, pb.MovePhase_MOVE_PHASE_DONE, decide(time.Minute, WindowOf(start)).Phase)
}

// Guards against a step on a single slow request where the move asks for no more evidence.
func TestSingleSlowRequestPreventsTheStep(t *testing.T) {
	move, window := testMove(), WindowOf(start)
	move.MinRequests = 1
	for from, to := range map[int64]int64{1000: 1, 1: 2} {
		_, ok := sufficient(move, series(window, from, 0, time.Second), series(window, to, 0, 3*time.Second), window)
		require.False(t, ok, "%d and %d requests", from, to)
	}
}

// Guards against a good version that waits indefinitely at full share because the old
// version gets no more requests and its last few happened to be fast.
func TestFullShareDespiteFastRecentBaseline(t *testing.T) {
	window := WindowOf(start)
	old := append(series(window-9, 6000, 30, time.Second), series(window-1, 120, 0, 700*time.Millisecond)...)
	missing, ok := sufficient(testMove(), old, series(window, 5000, 25, time.Second), window)
	require.True(t, ok, missing)
}

// Guards against unloading the new version before the old one is loaded, or while
// another move of the pool needs it.
func TestDesiredDuringRollback(t *testing.T) {
	var desired DesiredVersions
	desired.AddMove(testMove(), pb.MovePhase_MOVE_PHASE_TAKING_BACK, false)
	versions, loads := desired.Desired(TargetState{Versions: []string{"v2", "other"}})
	require.Equal(t, []string{"v2", "other", "v1"}, versions)
	require.Equal(t, []string{"v1"}, loads)
	versions, _ = desired.Desired(TargetState{Versions: []string{"v1", "v2"}})
	require.Equal(t, []string{"v1"}, versions)
	desired.Keep = append(desired.Keep, "v2")
	versions, _ = desired.Desired(TargetState{Versions: []string{"v1", "v2"}})
	require.Equal(t, []string{"v1", "v2"}, versions)
}

// Guards against a share that increases without a newer row, after a stop, or beyond
// the first step in the canary phase, and against requests that change versions as it
// increases.
func TestTrackerShare(t *testing.T) {
	tr := NewTracker(TrackerSettings{Instance: "a", Now: func() time.Time { return start }})
	tr.SetMoves(1, []*pb.Move{testMove()})
	route := &pb.Route{Name: "plans", Version: "v1"}
	progress := func(version int64, phase pb.MovePhase, share float64) {
		tr.SetProgress(&pb.MoveProgress{
			Move: "m", RowVersion: version, Phase: phase, SharePercent: share, Definition: Definition(testMove()),
		})
	}
	chosen := func() map[string]bool {
		ids := map[string]bool{}
		for i := range 10_000 {
			if id := fmt.Sprint(i); tr.Choose(route, id) == "v2" {
				ids[id] = true
			}
		}
		return ids
	}
	require.Empty(t, chosen())
	require.False(t, tr.Allowed(route, "v2"))
	progress(3, pb.MovePhase_MOVE_PHASE_CANARY, 50)
	canary := chosen()
	require.InDelta(t, 200, len(canary), 60)
	progress(4, pb.MovePhase_MOVE_PHASE_STEPPING, 10)
	progress(2, pb.MovePhase_MOVE_PHASE_STEPPING, 100)
	step := chosen()
	require.InDelta(t, 1000, len(step), 120)
	for id := range canary {
		require.True(t, step[id])
	}
	tr.SetStop(&pb.MoveStop{Move: "m", Generation: 1})
	progress(9, pb.MovePhase_MOVE_PHASE_DONE, 100)
	tr.SetMoves(2, []*pb.Move{testMove()})
	require.Empty(t, chosen())
	require.False(t, tr.Allowed(route, "v2"))
	tr.SetMoves(3, nil)
	require.Empty(t, tr.Stops())
}

// Guards against evidence that is counted twice or decreases when counters arrive
// repeatedly, out of order or after their window has been folded.
func TestRecorderMerge(t *testing.T) {
	r := NewRecorder("a", 1)
	r.Add(start, "m", Sample{Version: "v2", Failed: true})
	other := &pb.EvidenceCounter{Move: "m", Version: "v2", Instance: "b", Window: WindowOf(start), Requests: 5, Failures: 2}
	older := &pb.EvidenceCounter{Move: "m", Version: "v2", Instance: "b", Window: WindowOf(start), Requests: 3}
	r.Merge(start, []*pb.EvidenceCounter{other, older, other})
	r.Merge(start, r.Counters(0, true))
	require.EqualValues(t, 6, r.Series("m", "v2").since(0).Requests)
	r.Trim(start.Add(time.Hour), func(string) bool { return true })
	r.Merge(start, []*pb.EvidenceCounter{other})
	sum := r.Series("m", "v2").since(0)
	require.EqualValues(t, 6, sum.Requests)
	require.EqualValues(t, 3, sum.Failures)
}

// Guards against a move that reuses the name of an ended move and inherits its full
// share without evidence.
func TestReusedNameGetsNoTraffic(t *testing.T) {
	done := &pb.MoveRow{Move: "m", Phase: pb.MovePhase_MOVE_PHASE_DONE, Definition: Definition(testMove())}
	other := testMove()
	other.From, other.To = other.GetTo(), "v3"
	next, reason := Decide(Input{Move: other, Row: done, Now: start})
	require.Nil(t, next)
	require.Equal(t, "the name belongs to another move", reason)

	tr := NewTracker(TrackerSettings{Instance: "a", Now: func() time.Time { return start }})
	tr.SetMoves(1, []*pb.Move{other})
	tr.SetProgress(&pb.MoveProgress{Move: "m", RowVersion: 9, Phase: done.GetPhase(), Definition: done.GetDefinition()})
	require.Zero(t, tr.Share("m"))
}
