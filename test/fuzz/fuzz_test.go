package fuzz

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// ciFlags fix the seed and the number of checks, unless the command line sets
// them. A failing seed is enough to repeat a failure, so no fail files are kept.
var ciFlags = map[string]string{"rapid.seed": "20261204", "rapid.checks": "150", "rapid.nofailfile": "true"}

func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range ciFlags {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic("fuzz: flag " + name + ": " + err.Error())
		}
	}
	os.Exit(m.Run())
}

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
// operations and faults. CI runs the plans of one fixed seed; others are
// explored with -rapid.seed=N -rapid.checks=M.
func TestInvariants(t *testing.T) {
	t.Parallel()
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
	t.Parallel()
	plans := rapid.Custom(drawPlan)
	for check := range checksOfTraces {
		p := plans.Example(check)
		first, second := runPlan(t, p, noDefect), runPlan(t, p, noDefect)
		require.Equal(t, first.trace, second.trace, "plan %s", p)
	}
}

// checksOfTraces is the number of plans that are run twice.
const checksOfTraces = 40

// checksToCatch is the number of random plans within which the oracle must
// catch each broken build.
const checksToCatch = 200

// TestOracleCatchesBrokenBuilds guards against an oracle that sees nothing: it
// runs one deliberately broken build for each invariant.
func TestOracleCatchesBrokenBuilds(t *testing.T) {
	t.Parallel()
	plans := rapid.Custom(drawPlan)
	for i := atMostOnce; i <= configInForce; i++ {
		t.Run(i.String(), func(t *testing.T) {
			t.Parallel()
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

// TestPlansReachEveryEnd guards against plans that exercise nothing: the first
// ones must bring about every kind of end that a request can have.
func TestPlansReachEveryEnd(t *testing.T) {
	t.Parallel()
	missing := []string{
		"served", "not-run queue_full", "not-run shut_out", "not-run deadline", "not-run quarantined",
		"not-run refused", "not-run no broker", "not-run no_target", "failed connection broken",
		"failed crossed answer", "failed truncated answer", "failed preempted", "served stored",
		"unknown in progress", "unknown connection broken", "loses its entry",
		"acknowledged true", "acknowledged false", "holds the lease", "stops version", "platform service unavailable",
		"applied generation 3", "expected generation",
	}
	plans := rapid.Custom(drawPlan)
	for check := range checksToCatch {
		trace := strings.Join(runPlan(t, plans.Example(check), noDefect).trace, "\n")
		missing = slices.DeleteFunc(missing, func(text string) bool { return strings.Contains(trace, text) })
		if len(missing) == 0 {
			t.Logf("all reached by check %d", check+1)
			return
		}
	}
	t.Errorf("never reached: %q", missing)
}
