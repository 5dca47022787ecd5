package daemon

import (
	"github.com/basilloom/basilloom/entry"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// routeVersions serves every route with its configured version.
type routeVersions struct{}

func (routeVersions) Choose(route *pb.Route, _ string) string { return route.GetVersion() }

func (routeVersions) Allowed(*pb.Route, string) bool { return true }

func (routeVersions) Observe(entry.Sample) {}
