// Package fuzz drives several instances through random operations and faults
// and checks the invariants of docs/design.md, section 2.2, against an oracle
// that knows nothing else.
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
	stepCutRegions
	stepIsolateInstance
	stepLoseMessages
	stepDelayMessages
	stepStoreOutage
	stepLoseAnswers
	stepHangReads
	stepApplyConfig
	stepRaceApply
	stepLeavingNotice
	stepLeavingConfig
	stepKillTarget
	stepFreezeTarget
	stepCrossAnswers
	stepTruncateAnswers
	stepBreakAfterWrite
	stepBadVersion
	stepKinds
)

var stepNames = [stepKinds]string{
	"request", "burst", "claimed call", "poison request", "kill instance", "pause instance", "drain instance",
	"cut regions", "isolate instance", "lose messages", "delay messages", "store outage", "lose answers",
	"hang reads", "apply configuration", "race of operators", "leaving notice", "leaving by configuration",
	"kill target", "freeze target", "cross answers", "truncate answers", "break after write", "bad version",
}

// step is one operation. A and B select its object and its extent; the world
// reduces them to the range that it needs.
type step struct {
	After time.Duration
	Kind  stepKind
	A, B  int
}

// plan is a whole scenario. Seed is the seed of everything that is random
// inside the run, such as message delays, so that a plan has one trace.
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

// trafficKinds are drawn as often as all faults together.
var trafficKinds = []stepKind{stepRequest, stepBurst, stepBurst, stepClaimedCall, stepClaimedCall, stepPoison}

func drawPlan(t *rapid.T) plan {
	kind := rapid.Custom(func(t *rapid.T) stepKind {
		if rapid.Bool().Draw(t, "traffic") {
			return rapid.SampledFrom(trafficKinds).Draw(t, "traffic kind")
		}
		return stepKind(rapid.IntRange(int(stepKillInstance), int(stepKinds)-1).Draw(t, "fault kind"))
	})
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			After: time.Duration(rapid.IntRange(0, maxStepGap).Draw(t, "after")) * time.Millisecond,
			Kind:  kind.Draw(t, "kind"),
			A:     rapid.IntRange(0, maxOperand).Draw(t, "a"),
			B:     rapid.IntRange(0, maxOperand).Draw(t, "b"),
		}
	})
	return plan{
		Seed:  rapid.Uint64().Draw(t, "seed"),
		Steps: rapid.SliceOfN(one, 1, maxSteps).Draw(t, "steps"),
	}
}
