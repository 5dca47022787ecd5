package main

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/load"
	standin "github.com/basilloom/basilloom/internal/standin/engine"
)

// Guards against a baseline run whose JSON lacks its results, and against a run that
// starts without an address to send its calls to.
func TestLoadCommand(t *testing.T) {
	engine, err := standin.Listen("127.0.0.1:0", standin.Settings{TimeScale: 20})
	require.NoError(t, err)
	defer engine.Close()
	code, out, errOut := runCLI(t, &fakeServer{}, "--output", "json", "load", "--policy", "least-load", "--mix", "clearwater",
		"--engines", "http://"+engine.Address(), "--rate", "40", "--duration", "300ms")
	require.Equal(t, exitOK, code, errOut)
	var report load.Report
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.Zero(t, report.Wrong)
	require.Positive(t, report.Prefill.Served)
	require.NotEmpty(t, report.Tiers)

	for _, args := range [][]string{{}, {"--policy", "round-robin"}, {"--callers", "http://127.0.0.1:1", "--rate", "0"}} {
		code, _, errOut = runCLI(t, &fakeServer{}, append([]string{"load"}, args...)...)
		require.Equal(t, exitFailure, code)
		require.Contains(t, errOut, "--")
	}
}
