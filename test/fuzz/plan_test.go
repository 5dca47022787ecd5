// Package fuzz drives several instances through random operations and faults
// and checks the invariants of docs/design.md, section 2.2, with an oracle that
// does not depend on the implementation.
package fuzz

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// stepKind is one kind of operation or fault.
type stepKind int

const (
	stepRequest stepKind = iota
	stepBurst
	stepClaimedCall
	stepPoison
	stepKillInstance
	stepPauseInstance
	stepDrainInstance
	stepPartitionRegions
	stepIsolateInstance
	stepLoseMessages
	stepReorderMessages
	stepStoreOutage
	stepLoseStoreResponses
	stepHangStore
	stepApplyConfig
	stepRaceApply
	stepLeavingNotice
	stepLeavingConfig
	stepCrashTarget
	stepFreezeTarget
	stepMismatchResponses
	stepTruncateResponses
	stepBreakAfterWrite
	stepFailNewVersion
	stepKinds
)

var stepNames = [stepKinds]string{
	"request", "burst", "claimed call", "poison request", "kill instance", "pause instance", "drain instance",
	"partition regions", "isolate instance", "lose messages", "reorder messages", "store outage", "lose store responses",
	"hang store", "apply configuration", "race of operators", "leaving notice", "leaving by configuration",
	"crash target", "freeze target", "mismatch responses", "truncate responses", "break after write", "fail new version",
}

// step is one operation. A and B select its object and parameters; the world
// reduces them to the valid range.
type step struct {
	After time.Duration
	Kind  stepKind
	A, B  int
}

// plan is a complete scenario. Seed determines all randomness inside the run,
// such as message delays, so that a plan always produces the same trace.
type plan struct {
	Seed  uint64
	Steps []step
}

func (p plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n", p.Seed)
	for _, s := range p.Steps {
		fmt.Fprintf(&b, "  +%v %s %d %d\n", s.After, stepNames[s.Kind], s.A, s.B)
	}
	return b.String()
}

const (
	maxSteps   = 40
	maxStepGap = 1500 // milliseconds
	maxOperand = 999
)

// trafficKinds are drawn as often as all faults combined.
var trafficKinds = []stepKind{stepRequest, stepBurst, stepBurst, stepClaimedCall, stepClaimedCall, stepPoison}

func drawPlan(t *rapid.T) plan {
	kindGenerator := rapid.Custom(func(t *rapid.T) stepKind {
		if rapid.Bool().Draw(t, "traffic") {
			return rapid.SampledFrom(trafficKinds).Draw(t, "traffic kind")
		}
		return stepKind(rapid.IntRange(int(stepKillInstance), int(stepKinds)-1).Draw(t, "fault kind"))
	})
	stepGenerator := rapid.Custom(func(t *rapid.T) step {
		return step{
			After: time.Duration(rapid.IntRange(0, maxStepGap).Draw(t, "after")) * time.Millisecond,
			Kind:  kindGenerator.Draw(t, "kind"),
			A:     rapid.IntRange(0, maxOperand).Draw(t, "a"),
			B:     rapid.IntRange(0, maxOperand).Draw(t, "b"),
		}
	})
	return plan{
		Seed:  rapid.Uint64().Draw(t, "seed"),
		Steps: rapid.SliceOfN(stepGenerator, 1, maxSteps).Draw(t, "steps"),
	}
}
