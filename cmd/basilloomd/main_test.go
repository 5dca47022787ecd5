package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runAsDaemon makes the test binary run the command.
const runAsDaemon = "BASILLOOMD_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsDaemon) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a process that is ended by a change of its settings while it starts.
func TestSettingsChangeDuringTheStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	command := exec.CommandContext(t.Context(), os.Args[0], "platform", "--settings-file="+path)
	command.Env = append(os.Environ(), runAsDaemon+"=1")
	require.NoError(t, command.Start())
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the process reads its settings
	require.NoError(t, err)
	require.NoError(t, command.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = file.WriteString("no settings")
	require.NoError(t, err)
	require.NoError(t, file.Close())
	require.Error(t, command.Wait())
	require.Equal(t, exitInvalidSettings, command.ProcessState.ExitCode(), command.ProcessState)
}
