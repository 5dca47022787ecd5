package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// Snapshot is one generation with its lookup tables. It is immutable; callers
// must not change the messages that it returns.
type Snapshot struct {
	generation int64
	hash       string
	config     *basilloomv1.Config

	tiers             map[string]*basilloomv1.Tier
	workspaces        map[string]*basilloomv1.Workspace
	workspacesByToken map[string]*basilloomv1.Workspace
	pools             map[string]*basilloomv1.Pool
	targets           map[string]*basilloomv1.Target
	targetsByPool     map[string][]*basilloomv1.Target
	routes            map[string]*basilloomv1.Route
	routesByModel     map[string]*basilloomv1.Route
	routesByPrefix    map[string]*basilloomv1.Route
	moves             map[string]*basilloomv1.Move
	movesByRoute      map[string]*basilloomv1.Move
}

// NewSnapshot returns a snapshot with its lookup tables. It takes ownership of config.
func NewSnapshot(generation int64, hash string, config *basilloomv1.Config) *Snapshot {
	s := &Snapshot{generation: generation, hash: hash, config: config}
	s.tiers = indexBy(config.GetTiers(), (*basilloomv1.Tier).GetName)
	s.workspaces = indexBy(config.GetWorkspaces(), (*basilloomv1.Workspace).GetName)
	s.workspacesByToken = indexBy(config.GetWorkspaces(), (*basilloomv1.Workspace).GetTokenSha256)
	s.pools = indexBy(config.GetPools(), (*basilloomv1.Pool).GetName)
	s.targets = indexBy(config.GetTargets(), (*basilloomv1.Target).GetName)
	s.routes = indexBy(config.GetRoutes(), (*basilloomv1.Route).GetName)
	s.routesByModel = indexBy(config.GetRoutes(), (*basilloomv1.Route).GetModel)
	s.routesByPrefix = indexBy(config.GetRoutes(), func(r *basilloomv1.Route) string { return normalPrefix(r.GetPathPrefix()) })
	s.moves = indexBy(config.GetMoves(), (*basilloomv1.Move).GetName)
	s.movesByRoute = indexBy(config.GetMoves(), (*basilloomv1.Move).GetRoute)
	s.targetsByPool = make(map[string][]*basilloomv1.Target)
	for _, t := range config.GetTargets() {
		s.targetsByPool[t.Pool] = append(s.targetsByPool[t.Pool], t)
	}
	return s
}

// indexBy maps the items by their key and skips items without one.
func indexBy[T any](items []T, key func(T) string) map[string]T {
	index := make(map[string]T, len(items))
	for _, item := range items {
		if k := key(item); k != "" {
			index[k] = item
		}
	}
	return index
}

// Generation returns the number of the accepted configuration, starting at 1.
func (s *Snapshot) Generation() int64 { return s.generation }

// Hash returns the lower-case hexadecimal SHA-256 of the content.
func (s *Snapshot) Hash() string { return s.hash }

// Config returns the whole configuration.
func (s *Snapshot) Config() *basilloomv1.Config { return s.config }

// Tier returns the tier of that name, or nil.
func (s *Snapshot) Tier(name string) *basilloomv1.Tier { return s.tiers[name] }

// Workspace returns the workspace of that name, or nil.
func (s *Snapshot) Workspace(name string) *basilloomv1.Workspace { return s.workspaces[name] }

// WorkspaceByToken returns the workspace whose bearer token has the SHA-256 sum, or nil.
func (s *Snapshot) WorkspaceByToken(sum [sha256.Size]byte) *basilloomv1.Workspace {
	return s.workspacesByToken[hex.EncodeToString(sum[:])]
}

// Pool returns the pool of that name, or nil.
func (s *Snapshot) Pool(name string) *basilloomv1.Pool { return s.pools[name] }

// Target returns the target of that name, or nil.
func (s *Snapshot) Target(name string) *basilloomv1.Target { return s.targets[name] }

// TargetsOf returns the targets of a pool in the order of the configuration.
func (s *Snapshot) TargetsOf(pool string) []*basilloomv1.Target { return s.targetsByPool[pool] }

// Route returns the route of that name, or nil.
func (s *Snapshot) Route(name string) *basilloomv1.Route { return s.routes[name] }

// Move returns the move of that name, or nil.
func (s *Snapshot) Move(name string) *basilloomv1.Move { return s.moves[name] }

// MoveOf returns the move of a route, or nil.
func (s *Snapshot) MoveOf(route string) *basilloomv1.Move { return s.movesByRoute[route] }

// RouteForModel returns the route of a model name, or nil.
func (s *Snapshot) RouteForModel(model string) *basilloomv1.Route { return s.routesByModel[model] }

// RouteForPath returns the route with the longest matching prefix of whole path
// segments, or nil. For example, /orders matches /orders and /orders/7 but not
// /orders-old.
func (s *Snapshot) RouteForPath(path string) *basilloomv1.Route {
	if !strings.HasPrefix(path, "/") {
		return nil
	}
	for prefix := normalPrefix(path); ; prefix = prefix[:strings.LastIndexByte(prefix, '/')] {
		if prefix == "" || prefix == "/" {
			return s.routesByPrefix["/"]
		}
		if route, ok := s.routesByPrefix[prefix]; ok {
			return route
		}
	}
}

// normalPrefix removes trailing slashes: /orders and /orders/ are the same prefix.
func normalPrefix(prefix string) string {
	trimmed := strings.TrimRight(prefix, "/")
	if trimmed == "" && prefix != "" {
		return "/"
	}
	return trimmed
}

// Allowed reports whether the workspace may use the route.
func (s *Snapshot) Allowed(route *basilloomv1.Route, workspace *basilloomv1.Workspace) bool {
	return len(route.GetWorkspaces()) == 0 || slices.Contains(route.GetWorkspaces(), workspace.GetName())
}

// TierOf returns the route's tier, or the workspace's highest tier if that is
// lower. It returns nil if the route's tier does not exist.
func (s *Snapshot) TierOf(route *basilloomv1.Route, workspace *basilloomv1.Workspace) *basilloomv1.Tier {
	tier := s.tiers[route.GetTier()]
	highest := s.tiers[workspace.GetMaxTier()]
	if tier != nil && highest != nil && highest.Rank > tier.Rank {
		return highest
	}
	return tier
}
