package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against routing a request by a shorter prefix, by another host, or by a
// prefix that only partly matches the path.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	table := NewTable(Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.example:80", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/xy/1", ""},
		{"c.example", "/x/1", ""},
	} {
		route := table.Match(c.host, c.path)
		if c.want == "" {
			require.Nil(t, route, "%s%s", c.host, c.path)
			continue
		}
		require.NotNil(t, route, "%s%s", c.host, c.path)
		require.Equal(t, c.want, route.Name)
	}
}

// Guards against a moved or removed key that still identifies its old workspace.
func TestKeysBelongToOneConfiguration(t *testing.T) {
	before := NewTable(Config{Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}})
	after := NewTable(Config{Workspaces: []Workspace{{Name: "w", Keys: []string{"k2"}}}})
	require.Equal(t, "w", before.WorkspaceByKey("k1").Name)
	require.Nil(t, after.WorkspaceByKey("k1"))
	require.Nil(t, after.WorkspaceByKey(""))
}

func TestQuotaCost(t *testing.T) {
	tokens := Quota{Tokens: true, PlainTokens: 200}
	require.InDelta(t, 1540, tokens.Cost(1460, 80), 0)
	require.InDelta(t, 200, tokens.Cost(0, 0), 0)
	require.InDelta(t, 1, Quota{}.Cost(1460, 80), 0)
}
