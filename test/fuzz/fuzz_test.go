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

// ciFlags set the seed and the number of checks unless the command line does. The
// seed is enough to reproduce a failure, so rapid writes no fail files.
var ciFlags = map[string]string{"rapid.seed": "20261204", "rapid.checks": "150", "rapid.nofailfile": "true"}

func TestMain(m *testing.M) {
	flag.Parse()
	setFlags := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for name, value := range ciFlags {
		if setFlags[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic("fuzz: set flag " + name + ": " + err.Error())
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

// TestInvariants guards against violations of the nine invariants under random
// operations and faults. CI runs the plans of one fixed seed;
// -rapid.seed=N -rapid.checks=M runs others.
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

// TestSameSeedSameTrace guards against sources of randomness other than the
// seed, which would make failures impossible to reproduce.
func TestSameSeedSameTrace(t *testing.T) {
	t.Parallel()
	plans := rapid.Custom(drawPlan)
	for check := range repeatedPlans {
		p := plans.Example(check)
		first, second := runPlan(t, p, noDefect), runPlan(t, p, noDefect)
		require.Equal(t, first.trace, second.trace, "plan %s", p)
	}
}

// repeatedPlans is the number of plans that TestSameSeedSameTrace runs twice.
const repeatedPlans = 40

// maxDetectionChecks is the number of random plans within which the oracle must
// detect each defect.
const maxDetectionChecks = 200

// TestOracleDetectsDefects guards against an oracle that misses violations: for
// each invariant it runs the code with a deliberate defect.
func TestOracleDetectsDefects(t *testing.T) {
	t.Parallel()
	plans := rapid.Custom(drawPlan)
	for i := atMostOnce; i <= configInForce; i++ {
		t.Run(i.String(), func(t *testing.T) {
			t.Parallel()
			for check := range maxDetectionChecks {
				r := runPlan(t, plans.Example(check), defect(i))
				if slices.ContainsFunc(r.violations, func(v violation) bool { return v.invariant == i }) {
					t.Logf("detected by check %d", check+1)
					return
				}
			}
			t.Errorf("not detected within %d checks", maxDetectionChecks)
		})
	}
}

// TestPlansReachEveryOutcome guards against plans that exercise too little: the
// first maxDetectionChecks plans must produce every outcome of a request and
// the other events listed here.
func TestPlansReachEveryOutcome(t *testing.T) {
	t.Parallel()
	missing := []string{
		"served", "not-run queue_full", "not-run shut_out", "not-run deadline", "not-run quarantined",
		"not-run refused", "not-run no broker", "not-run no_target", "failed connection broken",
		"failed mismatched response", "failed truncated response", "failed preempted", "served stored",
		"unknown in progress", "unknown connection broken", "lost with its entry",
		"acknowledged true", "acknowledged false", "holds the lease", "stops version", "platform service unavailable",
		"applied generation 3", "expected generation",
	}
	plans := rapid.Custom(drawPlan)
	for check := range maxDetectionChecks {
		trace := strings.Join(runPlan(t, plans.Example(check), noDefect).trace, "\n")
		missing = slices.DeleteFunc(missing, func(text string) bool { return strings.Contains(trace, text) })
		if len(missing) == 0 {
			t.Logf("all reached by check %d", check+1)
			return
		}
	}
	t.Errorf("never reached: %q", missing)
}
