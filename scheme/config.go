package scheme

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/ident"
)

// ErrInvalid is returned for a configuration that is inconsistent.
const ErrInvalid = errors.ConstError("invalid configuration")

// maxObjectiveExcess is how far the latency objective of a route may exceed
// its timeout. A greater excess is most likely a wrong unit.
const maxObjectiveExcess = time.Minute

// Config is a complete configuration. It is safe for concurrent use.
type Config struct {
	version  uint64
	limits   Limits
	routes   []*Route
	hosts    map[string]*hostRoutes
	keys     map[string]*Team
	teams    []*Team
	services map[ident.Service]Service
}

// New returns a configuration. The error wraps ErrInvalid and names the
// inconsistency.
func New(version uint64, limits Limits, teams []*Team, routes []*Route, services []Service) (*Config, error) {
	c := &Config{
		version: version, limits: limits, routes: routes, teams: teams,
		hosts: map[string]*hostRoutes{}, keys: map[string]*Team{}, services: map[ident.Service]Service{},
	}
	for _, s := range services {
		c.services[s.name] = s
	}
	for _, t := range teams {
		if err := c.addTeam(t); err != nil {
			return nil, fmt.Errorf("configuration %d: %w", version, err)
		}
	}
	for _, r := range routes {
		if err := c.addRoute(r); err != nil {
			return nil, fmt.Errorf("configuration %d: %w", version, err)
		}
	}
	for _, h := range c.hosts {
		h.sort()
	}
	return c, nil
}

func (c *Config) addTeam(t *Team) error {
	if t.name == "" {
		return fmt.Errorf("%w: a team without a name", ErrInvalid)
	}
	if t.rate < 0 || t.burst < 0 {
		return fmt.Errorf("%w: team %s has a negative rate", ErrInvalid, t.name)
	}
	for _, k := range t.keys {
		if k == "" {
			return fmt.Errorf("%w: team %s has an empty key", ErrInvalid, t.name)
		}
		if other, ok := c.keys[k]; ok && other != t {
			return fmt.Errorf("%w: teams %s and %s share a key", ErrInvalid, other.name, t.name)
		}
		c.keys[k] = t
	}
	return nil
}

func (c *Config) addRoute(r *Route) error {
	if err := c.checkRoute(r); err != nil {
		return fmt.Errorf("route %s at %s%s: %w", r.name, r.host, r.prefix, err)
	}
	host := strings.ToLower(r.host)
	h, ok := c.hosts[host]
	if !ok {
		h = newHostRoutes()
		c.hosts[host] = h
	}
	if other, added := h.add(r); !added {
		return fmt.Errorf("%w: route %s has the same host and prefix", ErrInvalid, other.name)
	}
	return nil
}

func (c *Config) checkRoute(r *Route) error {
	switch {
	case r.host == "":
		return fmt.Errorf("%w: no host name", ErrInvalid)
	case !strings.HasPrefix(r.prefix, "/") || !strings.HasSuffix(r.prefix, "/"):
		return fmt.Errorf("%w: the prefix must begin and end with a slash", ErrInvalid)
	case r.kind < Retryable || r.kind > Bulk:
		return fmt.Errorf("%w: unknown kind", ErrInvalid)
	case r.timeout <= 0:
		return fmt.Errorf("%w: no timeout", ErrInvalid)
	case r.latencyObjective < 0 || r.latencyObjective >= r.timeout+maxObjectiveExcess:
		return fmt.Errorf("%w: the aim of %v does not fit the timeout of %v", ErrInvalid, r.latencyObjective, r.timeout)
	case r.attempts < 1:
		return fmt.Errorf("%w: no attempts", ErrInvalid)
	case len(r.services) == 0:
		return fmt.Errorf("%w: no service", ErrInvalid)
	}
	totalWeight := 0.0
	for _, p := range r.services {
		if _, ok := c.services[p.service]; !ok {
			return fmt.Errorf("%w: unknown service %q", ErrInvalid, p.service)
		}
		if !(p.weight >= 0) {
			return fmt.Errorf("%w: weight %v of service %s", ErrInvalid, p.weight, p.service)
		}
		totalWeight += p.weight
	}
	if totalWeight <= 0 {
		return fmt.Errorf("%w: the weights are all zero", ErrInvalid)
	}
	return nil
}

// Version returns the version that the operators assigned to the
// configuration.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the limits on callers' connections.
func (c *Config) Limits() Limits { return c.limits }

// Routes returns all routes. The slice must not be modified.
func (c *Config) Routes() []*Route { return c.routes }

// HostRoutes returns the routes of a host name, the longest prefix first. The
// slice must not be modified.
func (c *Config) HostRoutes(host string) []*Route {
	h, ok := c.hosts[strings.ToLower(host)]
	if !ok {
		return nil
	}
	return h.routes
}

// Match returns the route of the host name with the longest matching path
// prefix. A port in the host name is ignored.
func (c *Config) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	h, ok := c.hosts[strings.ToLower(host)]
	if !ok {
		return nil, false
	}
	return h.match(path)
}

// HasTeams reports whether the configuration has teams, so that routes require
// a key unless they are public.
func (c *Config) HasTeams() bool { return len(c.teams) > 0 }

// Teams returns all teams. The slice must not be modified.
func (c *Config) Teams() []*Team { return c.teams }

// Team returns the team that owns a key.
func (c *Config) Team(key string) (*Team, bool) {
	t, ok := c.keys[key]
	return t, ok
}

// Service returns a service.
func (c *Config) Service(name ident.Service) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}
