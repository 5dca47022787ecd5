// Package moves decides how the traffic of a route shifts from one target version to
// another. Decisions are pure: they do no I/O and take the time as an argument.
package moves

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

const fullSharePercent = 100

// Next returns the phases that may follow a phase. Each step of STEPPING is a separate
// transition. DONE and TAKEN_BACK have no successor.
func Next(phase pb.MovePhase) []pb.MovePhase {
	switch phase {
	case pb.MovePhase_MOVE_PHASE_UNSPECIFIED:
		return []pb.MovePhase{pb.MovePhase_MOVE_PHASE_PENDING}
	case pb.MovePhase_MOVE_PHASE_PENDING:
		return []pb.MovePhase{pb.MovePhase_MOVE_PHASE_LOADING, pb.MovePhase_MOVE_PHASE_TAKING_BACK}
	case pb.MovePhase_MOVE_PHASE_LOADING:
		return []pb.MovePhase{pb.MovePhase_MOVE_PHASE_CANARY, pb.MovePhase_MOVE_PHASE_TAKING_BACK}
	case pb.MovePhase_MOVE_PHASE_CANARY, pb.MovePhase_MOVE_PHASE_STEPPING:
		return []pb.MovePhase{
			pb.MovePhase_MOVE_PHASE_STEPPING,
			pb.MovePhase_MOVE_PHASE_DONE,
			pb.MovePhase_MOVE_PHASE_TAKING_BACK,
		}
	case pb.MovePhase_MOVE_PHASE_TAKING_BACK:
		return []pb.MovePhase{pb.MovePhase_MOVE_PHASE_TAKEN_BACK}
	default:
		return nil
	}
}

// CanFollow reports whether a row may change from one phase to the other.
func CanFollow(from, to pb.MovePhase) bool {
	return slices.Contains(Next(from), to)
}

// Terminal reports whether the phase is final.
func Terminal(phase pb.MovePhase) bool {
	return phase == pb.MovePhase_MOVE_PHASE_DONE || phase == pb.MovePhase_MOVE_PHASE_TAKEN_BACK
}

// Serving reports whether the phase sends a part of the traffic to the new
// version while evidence is collected.
func Serving(phase pb.MovePhase) bool {
	return phase == pb.MovePhase_MOVE_PHASE_CANARY || phase == pb.MovePhase_MOVE_PHASE_STEPPING
}

// Steps returns the shares of a move in percent. If the last step is below 100, a step
// of 100 is added, so that full traffic also requires evidence.
func Steps(move *pb.Move) []float64 {
	steps := move.GetSteps()
	if len(steps) == 0 || steps[len(steps)-1] < fullSharePercent {
		return append(slices.Clone(steps), fullSharePercent)
	}
	return steps
}

// Definition returns a hash of the move's route and versions, so that the row of an
// ended move does not apply to another move that reuses its name.
func Definition(move *pb.Move) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %q %q", move.GetRoute(), move.GetFrom(), move.GetTo()))
}
