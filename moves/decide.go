package moves

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// TargetState is a target's report of its versions. Unreachable and leaving targets
// have none.
type TargetState struct {
	Name     string
	Versions []string
	Loading  []string
}

// Input holds the data for a decision.
type Input struct {
	Move *pb.Move
	// Row is nil before the move has a row.
	Row      *pb.MoveRow
	From, To Series
	Targets  []TargetState
	// KeepNew is set if another route or move needs the new version on these targets.
	// A rollback then does not unload it.
	KeepNew bool
	// Stop is the reason for a stop issued by an entry, or empty.
	Stop string
	Now  time.Time
}

// Decide returns the next row, or nil if nothing changes, and the reason. The caller
// that writes the row sets its fence and nonce.
func Decide(in Input) (*pb.MoveRow, string) {
	if in.Row == nil {
		return &pb.MoveRow{
			Move:       in.Move.GetName(),
			Phase:      pb.MovePhase_MOVE_PHASE_PENDING,
			PhaseSince: timestamppb.New(in.Now),
			Definition: Definition(in.Move),
		}, "move accepted"
	}
	if in.Row.GetDefinition() != Definition(in.Move) {
		return nil, "the name belongs to another move"
	}
	if Terminal(in.Row.GetPhase()) {
		return nil, "move has ended"
	}
	next, reason := advance(in)
	if in.Row.GetPhase() == pb.MovePhase_MOVE_PHASE_TAKING_BACK {
		return next, reason
	}
	if in.Row.GetLate() || !in.Now.After(in.Move.GetDeadline().AsTime()) {
		return next, reason
	}
	if next == nil {
		next = clone(in.Row)
		reason = "deadline passed: " + reason
	}
	next.Late = true
	next.Reason = reason
	return next, reason
}

func advance(in Input) (*pb.MoveRow, string) {
	phase := in.Row.GetPhase()
	if phase == pb.MovePhase_MOVE_PHASE_TAKING_BACK {
		return finishRollback(in)
	}
	if in.Stop != "" {
		return Rollback(in.Row, in.Stop, in.Now), in.Stop
	}
	if Serving(phase) {
		if reason, regressed := Regressed(in.Move, in.From, in.To); regressed {
			return Rollback(in.Row, reason, in.Now), reason
		}
		return nextStep(in)
	}
	if phase == pb.MovePhase_MOVE_PHASE_PENDING {
		return enter(in, pb.MovePhase_MOVE_PHASE_LOADING, 0, 0, "loading")
	}
	first := Steps(in.Move)[0]
	if !loadedFor(in, first) {
		return nil, "new version is not loaded on enough targets"
	}
	return enter(in, pb.MovePhase_MOVE_PHASE_CANARY, 0, first, "new version is loaded")
}

// Rollback returns the row that starts the rollback of a move.
func Rollback(row *pb.MoveRow, reason string, now time.Time) *pb.MoveRow {
	next := clone(row)
	next.Phase = pb.MovePhase_MOVE_PHASE_TAKING_BACK
	next.SharePercent = 0
	next.Reason = reason
	next.PhaseSince = timestamppb.New(now)
	return next
}

func enter(in Input, phase pb.MovePhase, step int, share float64, reason string) (*pb.MoveRow, string) {
	next := clone(in.Row)
	next.Phase = phase
	next.Step = int32(step)
	next.SharePercent = share
	next.Reason = reason
	next.PhaseSince = timestamppb.New(in.Now)
	return next, reason
}

// nextStep advances as soon as step_time has passed and the evidence suffices.
// Advancing as early as possible is the best pace for any deadline.
func nextStep(in Input) (*pb.MoveRow, string) {
	since := in.Row.GetPhaseSince().AsTime()
	if in.Now.Sub(since) < in.Move.GetStepTime().AsDuration() {
		return nil, "step time has not passed"
	}
	if missing, ok := sufficient(in.Move, in.From, in.To, firstFullWindow(since)); !ok {
		return nil, missing
	}
	steps := Steps(in.Move)
	step := int(in.Row.GetStep()) + 1
	if step >= len(steps) {
		return enter(in, pb.MovePhase_MOVE_PHASE_DONE, len(steps)-1, fullSharePercent, "all steps completed")
	}
	if !loadedFor(in, steps[step]) {
		return nil, "new version is not loaded on enough targets"
	}
	reason := fmt.Sprintf("step %d of %d", step+1, len(steps))
	return enter(in, pb.MovePhase_MOVE_PHASE_STEPPING, step, steps[step], reason)
}

// loadedFor reports whether the fraction of the reachable targets that have loaded the
// new version is at least the share.
func loadedFor(in Input, share float64) bool {
	loaded := 0
	for _, t := range in.Targets {
		if slices.Contains(t.Versions, in.Move.GetTo()) {
			loaded++
		}
	}
	return loaded > 0 && float64(loaded)*fullSharePercent >= share*float64(len(in.Targets))
}

func finishRollback(in Input) (*pb.MoveRow, string) {
	if len(in.Targets) == 0 {
		return nil, "no target can be reached"
	}
	for _, t := range in.Targets {
		if !slices.Contains(t.Versions, in.Move.GetFrom()) {
			return nil, "old version is not loaded on target " + t.Name
		}
		present := slices.Contains(t.Versions, in.Move.GetTo()) || slices.Contains(t.Loading, in.Move.GetTo())
		if present && !in.KeepNew {
			return nil, "new version is still loaded on target " + t.Name
		}
	}
	reason := in.Row.GetReason()
	return enter(in, pb.MovePhase_MOVE_PHASE_TAKEN_BACK, int(in.Row.GetStep()), 0, reason)
}

// DesiredVersions is the set of versions that the moves and routes of a pool need on a
// target.
type DesiredVersions struct {
	// Keep lists the versions to load, in this order.
	Keep []string
	// Unload maps each version to unload to the version that must be loaded first.
	Unload map[string]string
}

// AddMove adds the versions that a move needs in the given phase. If keepNew is set, a
// rollback leaves the new version loaded.
func (d *DesiredVersions) AddMove(move *pb.Move, phase pb.MovePhase, keepNew bool) {
	switch phase {
	case pb.MovePhase_MOVE_PHASE_TAKING_BACK, pb.MovePhase_MOVE_PHASE_TAKEN_BACK:
		d.Keep = append([]string{move.GetFrom()}, d.Keep...)
		if keepNew {
			return
		}
		if d.Unload == nil {
			d.Unload = map[string]string{}
		}
		d.Unload[move.GetTo()] = move.GetFrom()
	case pb.MovePhase_MOVE_PHASE_UNSPECIFIED, pb.MovePhase_MOVE_PHASE_PENDING:
		d.Keep = append(d.Keep, move.GetFrom())
	default:
		d.Keep = append(d.Keep, move.GetFrom(), move.GetTo())
	}
}

// Urgent reports whether a version is needed to roll a move back.
func (d *DesiredVersions) Urgent(version string) bool {
	for _, required := range d.Unload {
		if required == version {
			return true
		}
	}
	return false
}

// Desired returns the versions that a target in the given state should have loaded, and
// the subset that it has yet to load. Versions that no move affects stay loaded.
func (d *DesiredVersions) Desired(state TargetState) (versions, loads []string) {
	present := append(slices.Clone(state.Versions), state.Loading...)
	for _, version := range present {
		required, drop := d.Unload[version]
		keep := slices.Contains(d.Keep, version)
		if drop && !keep && slices.Contains(state.Versions, required) {
			continue
		}
		versions = append(versions, version)
	}
	for _, version := range d.Keep {
		if version != "" && !slices.Contains(present, version) && !slices.Contains(loads, version) {
			loads = append(loads, version)
		}
	}
	return append(versions, loads...), loads
}
