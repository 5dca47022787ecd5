package routing

import (
	"net"
	"sort"
	"strings"
)

// Table is an indexed configuration. It is immutable.
type Table struct {
	config     Config
	hosts      map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	byKey      map[string]*Workspace
}

// NewTable indexes a configuration.
func NewTable(config Config) *Table {
	t := &Table{
		config:     config,
		hosts:      make(map[string][]*Route),
		services:   make(map[string]*Service),
		workspaces: make(map[string]*Workspace),
		byKey:      make(map[string]*Workspace),
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Workspaces {
		w := &config.Workspaces[i]
		t.workspaces[w.Name] = w
		for _, key := range w.Keys {
			t.byKey[key] = w
		}
	}
	return t
}

// Config returns the configuration.
func (t *Table) Config() *Config { return &t.config }

// Match returns the host's route with the longest prefix of the path, or nil. The
// path is compared as sent, without decoding.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName drops the port of a Host header.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace of that name, or nil.
func (t *Table) Workspace(name string) *Workspace { return t.workspaces[name] }

// WorkspaceByKey returns the workspace that holds the key, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.byKey[key] }

// HasWorkspaces reports whether workspaces are configured; requests then need a key.
func (t *Table) HasWorkspaces() bool { return len(t.config.Workspaces) > 0 }
