package daemon

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a setting that docs/OPERATIONS.md does not list, or lists with a
// different variable or default.
func TestOperationsPageListsSettings(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	settings := reflect.TypeFor[Settings]()
	for i := range settings.NumField() {
		field := settings.Field(i)
		env := field.Tag.Get("env")
		flag := strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(env, "BASILLOOM_"), "_", "-"))
		row := "| `--" + flag + "` | `" + env + "` | "
		if value, ok := field.Tag.Lookup("default"); ok {
			row += "`" + value + "` |"
		}
		require.True(t, strings.Contains(string(page), row), "docs/OPERATIONS.md has no row %q", row)
	}
}

// Guards against a validation that reports only the first invalid setting.
func TestValidateListsAllInvalidSettings(t *testing.T) {
	s := Settings{
		Callers: "localhost:1", Peers: "127.0.0.1:2", Operators: "127.0.0.1", PeerKey: "short",
		TableEndpoint: "x", ObjectsEndpoint: "http://127.0.0.1:1", InstancesURL: "ftp://127.0.0.1",
		TraceRatio: 2, ShutdownTimeout: 0,
	}
	err := s.Validate()
	require.Error(t, err)
	for _, flag := range []string{"--callers", "--operators", "--peer-key", "--table-endpoint", "--instances-url", "--trace-ratio", "--shutdown-timeout"} {
		require.Contains(t, err.Error(), flag)
	}
	require.NotContains(t, err.Error(), "--objects-endpoint")
}
