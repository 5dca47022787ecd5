package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
)

const (
	maxNameBytes    = 63
	maxSharePercent = 100
)

// validName excludes slashes because names become parts of row keys such as
// claim/{workspace}/{route}/{key}: with a slash in a name, two keys could be equal.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Check returns all faults of a configuration at the time now, or nil. The error
// is of type Errors.
func Check(config *basilloomv1.Config, now time.Time) error {
	return (&Merged{Config: config}).Check(now)
}

// Check is like the function Check and also names the file of each fault.
func (m *Merged) Check(now time.Time) error {
	c := &checker{merged: m, now: now, declared: map[objectID]bool{}}
	c.objects()
	if m.Config.GetLimits() != nil {
		c.numbers(objectID{kind: "limits"}, m.Config.Limits.ProtoReflect())
	}
	c.regions()
	c.links()
	c.tiers()
	c.workspaces()
	c.pools()
	c.targets()
	c.routes()
	c.moves()
	return c.faults.orNil()
}

type checker struct {
	merged   *Merged
	now      time.Time
	declared map[objectID]bool
	faults   Errors
}

func (c *checker) fault(kind protoreflect.Name, name, field, format string, args ...any) {
	id := objectID{kind, name}
	path := fmt.Sprintf("%s %q: %s", kind, name, field)
	if kind == "limits" {
		path = "limits: " + field
	}
	c.faults.add(c.merged.files[id], path, format, args...)
}

// reference adds a fault if a required name is empty or does not exist.
func (c *checker) reference(kind protoreflect.Name, name, field string, toKind protoreflect.Name, to string) {
	switch {
	case to == "":
		c.fault(kind, name, field, "value is missing")
	case !c.declared[objectID{toKind, to}]:
		c.fault(kind, name, field, "unknown %s %q", toKind, to)
	}
}

func (c *checker) objects() {
	eachObject(c.merged.Config, func(o object) {
		switch {
		case o.id.name == "":
			c.faults.add(c.merged.files[o.id], fmt.Sprintf("%s[%d].name", o.list, o.index), "value is missing")
		case len(o.id.name) > maxNameBytes || !validName.MatchString(o.id.name):
			c.fault(o.id.kind, o.id.name, "name", "must be at most %d letters, digits, dots, hyphens and underscores", maxNameBytes)
		case c.declared[o.id]:
			c.fault(o.id.kind, o.id.name, "name", "occurs twice")
		}
		c.declared[o.id] = true
		c.numbers(o.id, o.message)
	})
}

// numbers adds faults for negative and non-finite numbers and for durations of zero
// or less.
func (c *checker) numbers(id objectID, message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.IsList() || !message.Has(field) {
			continue
		}
		value := message.Get(field)
		name := string(field.Name())
		switch field.Kind() {
		case protoreflect.Int32Kind, protoreflect.Int64Kind:
			if value.Int() < 0 {
				c.fault(id.kind, id.name, name, "must not be negative")
			}
		case protoreflect.DoubleKind:
			if !(value.Float() >= 0) || math.IsInf(value.Float(), 0) {
				c.fault(id.kind, id.name, name, "must be a finite number that is not negative")
			}
		case protoreflect.MessageKind:
			duration, ok := value.Message().Interface().(*durationpb.Duration)
			if ok && (!duration.IsValid() || duration.AsDuration() <= 0) {
				c.fault(id.kind, id.name, name, "must be greater than 0s")
			}
		}
	}
}

func (c *checker) regions() {
	zones := map[string]string{}
	for _, r := range c.merged.Config.Regions {
		if len(r.Zones) == 0 {
			c.fault("region", r.Name, "zones", "must name at least one zone")
		}
		for i, zone := range r.Zones {
			field := fmt.Sprintf("zones[%d]", i)
			if !validName.MatchString(zone) {
				c.fault("region", r.Name, field, "invalid zone name %q", zone)
			}
			if other, taken := zones[zone]; taken {
				c.fault("region", r.Name, field, "zone %q is already in region %q", zone, other)
			}
			zones[zone] = r.Name
		}
	}
}

func (c *checker) links() {
	for _, l := range c.merged.Config.Links {
		c.reference("link", l.Name, "from_region", "region", l.FromRegion)
		c.reference("link", l.Name, "to_region", "region", l.ToRegion)
		if l.FromRegion != "" && l.FromRegion == l.ToRegion {
			c.fault("link", l.Name, "to_region", "must differ from from_region")
		}
	}
}

func (c *checker) tiers() {
	ranks := map[int32]string{}
	count := int32(len(c.merged.Config.Tiers))
	for _, t := range c.merged.Config.Tiers {
		if other, taken := ranks[t.Rank]; taken {
			c.fault("tier", t.Name, "rank", "rank %d is already used by tier %q", t.Rank, other)
		} else if t.Rank >= count {
			c.fault("tier", t.Name, "rank", "ranks of %d tiers must be 0 to %d without a gap", count, count-1)
		}
		ranks[t.Rank] = t.Name
		if t.FirstTokenDeadline == nil {
			c.fault("tier", t.Name, "first_token_deadline", "value is missing")
		}
	}
}

func (c *checker) workspaces() {
	tokens := map[string]string{}
	for _, w := range c.merged.Config.Workspaces {
		sum, err := hex.DecodeString(w.TokenSha256)
		if err != nil || len(sum) != 32 || strings.ToLower(w.TokenSha256) != w.TokenSha256 {
			c.fault("workspace", w.Name, "token_sha256", "must be 64 lower-case hexadecimal digits")
		} else if other, taken := tokens[w.TokenSha256]; taken {
			c.fault("workspace", w.Name, "token_sha256", "is already used by workspace %q", other)
		}
		tokens[w.TokenSha256] = w.Name
		if w.MaxTier != "" {
			c.reference("workspace", w.Name, "max_tier", "tier", w.MaxTier)
		}
	}
}

func (c *checker) pools() {
	for _, p := range c.merged.Config.Pools {
		if p.Kind != basilloomv1.PoolKind_POOL_KIND_ENGINE && p.Kind != basilloomv1.PoolKind_POOL_KIND_SERVICE {
			c.fault("pool", p.Name, "kind", "must be POOL_KIND_ENGINE or POOL_KIND_SERVICE")
		}
	}
}

func (c *checker) targets() {
	zones := map[string][]string{}
	for _, r := range c.merged.Config.Regions {
		zones[r.Name] = r.Zones
	}
	addresses := map[string]string{}
	for _, t := range c.merged.Config.Targets {
		c.reference("target", t.Name, "pool", "pool", t.Pool)
		c.reference("target", t.Name, "region", "region", t.Region)
		if inRegion, ok := zones[t.Region]; ok && !slices.Contains(inRegion, t.Zone) {
			c.fault("target", t.Name, "zone", "unknown zone %q in region %q", t.Zone, t.Region)
		}
		if !isNumericHTTP(t.Address) {
			c.fault("target", t.Name, "address", "must be an http URL with a numeric IP address and a port, without a path")
		} else if other, taken := addresses[t.Address]; taken {
			c.fault("target", t.Name, "address", "is already used by target %q", other)
		}
		addresses[t.Address] = t.Name
	}
}

func isNumericHTTP(address string) bool {
	u, err := url.Parse(address)
	if err != nil || u.Scheme != "http" {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil && "http://"+u.Host == strings.TrimSuffix(address, "/")
}

func (c *checker) routes() {
	models, prefixes := map[string]string{}, map[string]string{}
	for _, r := range c.merged.Config.Routes {
		if (r.Model == "") == (r.PathPrefix == "") {
			c.fault("route", r.Name, "model", "exactly one of model and path_prefix must be set")
		}
		if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
			c.fault("route", r.Name, "path_prefix", "must start with /")
		}
		c.unique(r.Name, "model", r.Model, models)
		c.unique(r.Name, "path_prefix", normalPrefix(r.PathPrefix), prefixes)
		c.reference("route", r.Name, "pool", "pool", r.Pool)
		c.reference("route", r.Name, "tier", "tier", r.Tier)
		for i, w := range r.Workspaces {
			c.reference("route", r.Name, fmt.Sprintf("workspaces[%d]", i), "workspace", w)
		}
	}
}

func (c *checker) unique(route, field, value string, taken map[string]string) {
	if value == "" {
		return
	}
	if other, exists := taken[value]; exists {
		c.fault("route", route, field, "%q is already used by route %q", value, other)
	}
	taken[value] = route
}

func (c *checker) moves() {
	routes := map[string]string{}
	for _, m := range c.merged.Config.Moves {
		c.reference("move", m.Name, "route", "route", m.Route)
		if other, taken := routes[m.Route]; taken && m.Route != "" {
			c.fault("move", m.Name, "route", "route %q already has move %q", m.Route, other)
		}
		routes[m.Route] = m.Name
		c.versions(m)
		c.deadline(m)
		c.steps(m)
		if m.StepTime == nil {
			c.fault("move", m.Name, "step_time", "value is missing")
		}
	}
}

func (c *checker) versions(m *basilloomv1.Move) {
	if m.From == "" {
		c.fault("move", m.Name, "from", "value is missing")
	}
	if m.To == "" {
		c.fault("move", m.Name, "to", "value is missing")
	} else if m.From == m.To {
		c.fault("move", m.Name, "to", "must differ from from")
	}
}

func (c *checker) deadline(m *basilloomv1.Move) {
	switch {
	case m.Deadline == nil:
		c.fault("move", m.Name, "deadline", "value is missing")
	case !m.Deadline.IsValid():
		c.fault("move", m.Name, "deadline", "is not a valid time")
	case !m.Deadline.AsTime().After(c.now):
		c.fault("move", m.Name, "deadline", "%s has passed", m.Deadline.AsTime().Format(time.RFC3339))
	}
}

func (c *checker) steps(m *basilloomv1.Move) {
	if len(m.Steps) == 0 {
		c.fault("move", m.Name, "steps", "must contain at least one share")
	}
	previous := 0.0
	for i, share := range m.Steps {
		if !(share > previous && share <= maxSharePercent) {
			c.fault("move", m.Name, fmt.Sprintf("steps[%d]", i), "shares must rise within 0 to 100")
		}
		previous = share
	}
}
