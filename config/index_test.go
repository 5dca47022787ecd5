package config

import (
	"crypto/sha256"
	"testing"

	"github.com/stretchr/testify/require"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// Guards against a call that is sent to the wrong route, a workspace that gets a
// higher tier than it may use, and a token that selects another workspace.
func TestSnapshotLookups(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	s := NewSnapshot(3, "h", testConfig(t, `
routes:
- {name: root, path_prefix: /, pool: p, tier: low}
- {name: orders, path_prefix: /orders, pool: p, tier: top, workspaces: [w]}
- {name: status, path_prefix: /orders/status/, pool: p, tier: top}
workspaces: [{name: v, token_sha256: 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b}]
`))
	for path, want := range map[string]string{
		"/": "root", "/x": "root", "//": "root", "/orders": "orders", "/orders/": "orders", "/orders/7": "orders",
		"/orders-old": "root", "/orders/status": "status", "/orders/status/7/x": "status", "/orders/statusx": "orders",
		"": "", "orders": "",
	} {
		require.Equal(t, want, s.RouteForPath(path).GetName(), path)
	}
	require.Equal(t, "plans", s.RouteForModel("m").GetName())
	require.Nil(t, s.RouteForModel(""))
	require.Equal(t, "v", s.WorkspaceByToken(sum).GetName())
	require.Nil(t, s.WorkspaceByToken(sha256.Sum256(nil)))
	w, v := s.Workspace("w"), s.Workspace("v")
	require.Equal(t, "low", s.TierOf(s.Route("orders"), w).GetName())
	require.Equal(t, "top", s.TierOf(s.Route("orders"), v).GetName())
	require.Equal(t, "low", s.TierOf(s.Route("root"), v).GetName())
	require.Nil(t, s.TierOf(&basilloomv1.Route{Tier: "gone"}, w))
	require.True(t, s.Allowed(s.Route("orders"), w))
	require.False(t, s.Allowed(s.Route("orders"), v))
	require.Equal(t, []*basilloomv1.Target{s.Target("t1")}, s.TargetsOf("p"))
}
