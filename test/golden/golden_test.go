// Package golden compares complete sessions with golden files: a caller session
// and an operator session for each example deployment, with every decision and
// message in order. A change of behaviour appears in review as a change of these
// files; go test ./test/golden -update rewrites them.
package golden

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// deployment is an example deployment and the routes that its sessions use.
type deployment struct {
	name string
	// heavy is the route for long plans, light the one for short chats and bulk
	// the one for background work.
	heavy, light, bulk string
	// nonIdempotent is the route whose calls must not run twice, read a plain
	// service route.
	nonIdempotent, read string
	// unrestricted may use all routes; restricted may not use heavy or gets a
	// lower tier.
	unrestricted, restricted string
	// mainRegion is the region with most targets, remoteRegion the other one.
	mainRegion, remoteRegion string
}

var deployments = []deployment{
	{
		name: "plumage-box", heavy: "plans", light: "chat", bulk: "tags", nonIdempotent: "box-dispatch", read: "order-status",
		unrestricted: "care-staff", restricted: "analytics", mainRegion: "eu-west", remoteRegion: "eu-north",
	},
	{
		name: "clearwater", heavy: "clearance-plans", light: "field-questions", bulk: "photo-tags", nonIdempotent: "bookings",
		read: "section-log", unrestricted: "crew-leads", restricted: "archive", mainRegion: "southwest", remoteRegion: "perth",
	},
}

// readConfig merges the folder of the example deployment.
func readConfig(t *testing.T, d deployment) *pb.Config {
	t.Helper()
	merged, err := config.Merge(os.DirFS(filepath.Join("..", "..", "examples", d.name)))
	require.NoError(t, err)
	return merged.Config
}

// record runs a session in a synctest bubble with virtual time and returns its
// text.
func record(t *testing.T, d deployment, run func(*session)) []byte {
	t.Helper()
	var text []byte
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t, d)
		run(s)
		s.cancel()
		synctest.Wait()
		text = s.text.Bytes()
	})
	return text
}

// checkGolden runs the session twice and compares it with its golden file.
func checkGolden(t *testing.T, kind string, run func(*session)) {
	t.Helper()
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			first := record(t, d, run)
			require.Equal(t, string(first), string(record(t, d, run)), "the session differs between two runs")
			goldie.New(t).Assert(t, d.name+"-"+kind, first)
		})
	}
}

// TestCallerSession guards against unintended changes of what callers see: grants,
// refusals with their reasons, order between tiers and workspaces, and claims.
func TestCallerSession(t *testing.T) { checkGolden(t, "caller", callerSession) }

// TestOperatorSession guards against unintended changes of what operators see:
// invalid folders, conflicting applies, lost responses, and how instances adopt
// generations.
func TestOperatorSession(t *testing.T) { checkGolden(t, "operator", operatorSession) }
