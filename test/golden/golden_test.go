// Package golden compares whole sessions with golden files: a caller's and an
// operator's day for each example deployment, with every decision and message
// in order. A change of behaviour shows as a change of these files in review;
// go test ./test/golden -update writes them anew.
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
	// heavy is the route of long plans, light that of short chats and bulk
	// that of background work.
	heavy, light, bulk string
	// once is the route whose calls must not run twice, read a plain service route.
	once, read string
	// owner may use all routes; restricted may not use heavy or is lowered to a lower tier.
	owner, restricted string
	// home is the region with most targets, remote the other one.
	home, remote string
}

var deployments = []deployment{
	{
		name: "plumage-box", heavy: "plans", light: "chat", bulk: "tags", once: "box-dispatch", read: "order-status",
		owner: "care-staff", restricted: "analytics", home: "eu-west", remote: "eu-north",
	},
	{
		name: "clearwater", heavy: "clearance-plans", light: "field-questions", bulk: "photo-tags", once: "bookings",
		read: "section-log", owner: "crew-leads", restricted: "archive", home: "southwest", remote: "perth",
	},
}

// readConfig merges the folder of the example deployment.
func readConfig(t *testing.T, d deployment) *pb.Config {
	t.Helper()
	merged, err := config.Merge(os.DirFS(filepath.Join("..", "..", "examples", d.name)))
	require.NoError(t, err)
	return merged.Config
}

// record runs a session in a bubble of virtual time and returns its text.
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

// check runs the session twice and compares it with its golden file.
func check(t *testing.T, kind string, run func(*session)) {
	t.Helper()
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			first := record(t, d, run)
			require.Equal(t, string(first), string(record(t, d, run)), "the session differs between two runs")
			goldie.New(t).Assert(t, d.name+"-"+kind, first)
		})
	}
}

// TestCallersDay guards against unintended changes of what callers see: grants,
// refusals with their reasons, order between tiers and workspaces, and claims.
func TestCallersDay(t *testing.T) { check(t, "caller", callersDay) }

// TestOperatorsDay guards against unintended changes of what operators see:
// faults of a folder, races, lost answers, and how instances follow.
func TestOperatorsDay(t *testing.T) { check(t, "operator", operatorsDay) }
