package e2e

import (
	"errors"
	"fmt"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// exitLostRace is the exit code of an apply whose expected generation is gone.
const exitLostRace = 4

// applied is the end of one operator's apply.
type applied struct {
	code   int
	output string
}

// applyAt applies a folder as one of several operators.
func (i *instance) applyAt(operator, dir string, expect int) applied {
	out, err := i.basilloom("config", "apply", dir, "--operator="+operator, fmt.Sprintf("--expect=%d", expect))
	var exit *exec.ExitError
	switch {
	case err == nil:
		return applied{0, out}
	case errors.As(err, &exit):
		return applied{exit.ExitCode(), out}
	}
	return applied{-1, err.Error()}
}

// Guards against two operators who both believe that their configuration is in
// force, a loser that is not told who won, and a winner that loses because the
// answer to its write was lost.
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
			f.table.fault(t, fault)
		}
		results := make([]applied, len(operators))
		var both sync.WaitGroup
		for n, operator := range operators {
			files := baseConfig(engines, nil)
			files["70-own.yaml"] = fmt.Sprintf("routes:\n- {name: own, model: %s-%d, pool: models, tier: low, version: v1}\n", operator, round)
			dir := writeFolder(t, files)
			both.Go(func() { results[n] = f.instances[n].applyAt(operator, dir, generation) })
		}
		both.Wait()
		f.table.fault(t, `{}`)
		winner := 0
		if results[1].code == 0 {
			winner = 1
		}
		require.Zero(t, results[winner].code, "round %d, nobody won: %+v", round, results)
		loser := results[1-winner]
		require.Equal(t, exitLostRace, loser.code, "round %d: %+v", round, results)
		require.Contains(t, loser.output, operators[winner], "the loser is told who won")
		for _, i := range f.instances {
			require.Eventually(t, func() bool { return i.generation() == int64(generation+1) }, spreadTime, pollInterval)
			model := fmt.Sprintf("%s-%d", operators[winner], round)
			a := i.chat(model, "x", 1, false).perform()
			require.Equal(t, "served", a.outcome(), "the winner's configuration is in force at %s: %s", i.name, a.Body)
		}
	}
}
