package routing

import "slices"

// Residency is the set of regions in which a request may be served. The zero value allows
// all of them.
type Residency struct {
	restricted bool
	regions    []string
}

// ResidencyOf returns the residency of a request from its route and its workspace, which
// may be nil. Where both list regions, only the regions in both lists are allowed.
func ResidencyOf(route *Route, workspace *Workspace) Residency {
	r := Residency{}.Within(route.AllowedRegions)
	if workspace != nil {
		r = r.Within(workspace.AllowedRegions)
	}
	return r
}

// Within restricts the residency to a list of regions; an empty list restricts nothing.
func (r Residency) Within(allowed []string) Residency {
	if len(allowed) == 0 {
		return r
	}
	if !r.restricted {
		return Residency{restricted: true, regions: allowed}
	}
	common := slices.DeleteFunc(slices.Clone(r.regions), func(region string) bool { return !slices.Contains(allowed, region) })
	return Residency{restricted: true, regions: common}
}

// Restricted reports whether only some regions are allowed, or none.
func (r Residency) Restricted() bool { return r.restricted }

// Regions returns the allowed regions. They are only meaningful if the residency is
// restricted.
func (r Residency) Regions() []string { return r.regions }

// Allows reports whether a request may be served in a region. Names are compared exactly.
// The empty name stands for a zone whose region is unknown, where no restricted request
// may be served.
func (r Residency) Allows(region string) bool {
	return !r.restricted || (region != "" && slices.Contains(r.regions, region))
}
