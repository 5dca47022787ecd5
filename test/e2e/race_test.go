package e2e

import (
	"errors"
	"fmt"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// exitStaleGeneration is the exit code of an apply whose expected generation is no
// longer in force.
const exitStaleGeneration = 4

// applyResult is the exit code and output of an operator's apply.
type applyResult struct {
	code   int
	output string
}

// applyAs applies a folder under the operator's name.
func (i *instance) applyAs(operator, dir string, expect int) applyResult {
	out, err := i.basilloom("config", "apply", dir, "--operator="+operator, fmt.Sprintf("--expect=%d", expect))
	var exit *exec.ExitError
	switch {
	case err == nil:
		return applyResult{0, out}
	case errors.As(err, &exit):
		return applyResult{exit.ExitCode(), out}
	}
	return applyResult{-1, err.Error()}
}

// Guards against two concurrent applies that both succeed, a conflict error that
// does not name the winner, and a winner that gets an error because the response
// to its write was lost.
func TestOperatorRace(t *testing.T) {
	t.Parallel()
	engines := []*standin{startStandin(t, "engine")}
	f := startFleet(t, 3)
	base := baseConfig(engines, nil)
	f.apply(t, base)
	f.waitReady(t)
	operators := []string{"alice", "bob"}
	for round, fault := range []string{"", `{"lose_next": 1}`, `{"lose_next": 2}`, `{"lose_probability": 0.5}`} {
		generation := round + 1
		if fault != "" {
			f.table.setFaults(t, fault)
		}
		results := make([]applyResult, len(operators))
		var both sync.WaitGroup
		for n, operator := range operators {
			files := baseConfig(engines, nil)
			files["70-own.yaml"] = fmt.Sprintf("routes:\n- {name: own, model: %s-%d, pool: models, tier: low, version: v1}\n", operator, round)
			dir := writeFolder(t, files)
			both.Go(func() { results[n] = f.instances[n].applyAs(operator, dir, generation) })
		}
		both.Wait()
		f.table.setFaults(t, `{}`)
		winner := 0
		if results[1].code == 0 {
			winner = 1
		}
		require.Zero(t, results[winner].code, "round %d: no apply succeeded: %+v", round, results)
		loser := results[1-winner]
		require.Equal(t, exitStaleGeneration, loser.code, "round %d: %+v", round, results)
		require.Contains(t, loser.output, operators[winner], "the loser's error must name the winner")
		for _, i := range f.instances {
			require.Eventually(t, func() bool { return i.generation() == int64(generation+1) }, propagationTimeout, pollInterval)
			model := fmt.Sprintf("%s-%d", operators[winner], round)
			r := i.chat(model, "x", 1, false).perform()
			require.Equal(t, "served", r.outcome(), "the winner's configuration is not in force on %s: %s", i.name, r.Body)
		}
	}
}
