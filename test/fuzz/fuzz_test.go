package fuzz

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// describe returns the plan, its trace and the violations.
func describe(p plan, r result) string {
	var b strings.Builder
	b.WriteString(p.String())
	for _, line := range r.trace {
		b.WriteString(line)
		b.WriteByte('\n')
	}
	for _, v := range r.violations {
		b.WriteString(v.text)
		b.WriteByte('\n')
	}
	return b.String()
}

// TestInvariants guards against any breach of the nine invariants under random
// operations and faults. CI runs the seeds that the flags below fix; others are
// explored with -rapid.seed=N -rapid.checks=M.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		r := runPlan(t, p, noDefect)
		if len(r.violations) > 0 {
			rt.Fatalf("%s", describe(p, r))
		}
	})
}

// TestSameSeedSameTrace guards against hidden sources of randomness, which
// would make failures impossible to repeat.
func TestSameSeedSameTrace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		first, second := runPlan(t, p, noDefect), runPlan(t, p, noDefect)
		require.Equal(rt, first.trace, second.trace)
	})
}

// checksToCatch is the number of random plans within which the oracle must
// catch each broken build.
const checksToCatch = 200

// TestOracleCatchesBrokenBuilds guards against an oracle that sees nothing: it
// runs one deliberately broken build for each invariant.
func TestOracleCatchesBrokenBuilds(t *testing.T) {
	plans := rapid.Custom(drawPlan)
	for i := atMostOnce; i <= configInForce; i++ {
		t.Run(i.String(), func(t *testing.T) {
			for check := range checksToCatch {
				r := runPlan(t, plans.Example(check), defect(i))
				if slices.ContainsFunc(r.violations, func(v violation) bool { return v.invariant == i }) {
					t.Logf("caught by check %d", check+1)
					return
				}
			}
			t.Errorf("not caught within %d checks", checksToCatch)
		})
	}
}
