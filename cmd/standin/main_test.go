package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/engine"
)

// run parses the arguments as main does, runs the command until the test ends,
// and returns its ready line.
func run(t *testing.T, arguments ...string) ready {
	t.Helper()
	reader, writer := io.Pipe()
	var cli commands
	runCtx, cancel := context.WithCancel(context.Background())
	parser, err := kong.New(&cli, kong.DefaultEnvars(envPrefix), kong.Bind(output{writer}),
		kong.BindTo(runCtx, (*context.Context)(nil)))
	require.NoError(t, err)
	ctx, err := parser.Parse(arguments)
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- ctx.Run() }()
	var line ready
	require.NoError(t, json.NewDecoder(reader).Decode(&line))
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	return line
}

func get(t *testing.T, address, path string, result any) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, 200, response.StatusCode)
	require.NoError(t, json.NewDecoder(response.Body).Decode(result))
}

// Guards against a process that ignores SIGTERM.
func TestSignalStops(t *testing.T) {
	signalled, cancel := signalContext()
	defer cancel()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-signalled.Done()
}

// Guards against flags that do not reach the stand-in, and a ready line that is printed
// before the stand-in responds.
func TestEngineSettings(t *testing.T) {
	t.Setenv("BASILLOOM_STANDIN_VERSIONS", "a,b")
	line := run(t, "engine", "--role=prefill", "--cache-blocks=77")
	require.Equal(t, "engine", line.Kind)
	var state engine.State
	get(t, line.Address, "/v1/state", &state)
	require.Equal(t, []string{"a", "b"}, state.Versions)
	require.Equal(t, "prefill", state.Role)
	var load engine.Load
	get(t, line.Address, "/v1/load", &load)
	require.Equal(t, 77, load.CacheTotalBlocks)
}

// Guards against a link command that forwards nothing or reports wrong addresses.
func TestLinkForwards(t *testing.T) {
	target := run(t, "service")
	line := run(t, "link", "--delay=0s", "--forward=127.0.0.1:0="+target.Address, "--backward=127.0.0.1:0="+target.Address)
	require.Len(t, line.Forwards, 2)
	for _, address := range line.Forwards {
		var result map[string]any
		get(t, address, "/path", &result)
		require.Equal(t, "/path", result["uri"])
	}
}
