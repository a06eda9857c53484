package prof

import (
	"fmt"

	"cmp"
	"slices"
	"strings"
	"time"

	"rhubarbrack/ident"
)

// Bounds of a service's fields.
const (
	MinTimeout   = time.Millisecond
	MaxTimeout   = time.Hour
	MaxBodyBytes = 1 << 40
	MaxSlowStart = time.Hour
)

// Service is a service that targets offer: where callers find it, how its
// routes are treated and the profile that steers its load.
type Service struct {
	name    ident.Service
	profile string
	hosts   []string
	routes  []Route
	ordered []Route
	timeout time.Duration
	body    int64
	ramp    time.Duration
}

// ServiceOption sets a part of a service.
type ServiceOption func(*Service)

// WithHosts adds names that callers use in the Host header.
func WithHosts(hosts ...string) ServiceOption {
	return func(s *Service) { s.hosts = append(s.hosts, hosts...) }
}

// WithRoute adds a route.
func WithRoute(route Route) ServiceOption {
	return func(s *Service) { s.routes = append(s.routes, route) }
}

// WithTimeout bounds the time of a request from arrival to the end of its
// response. The default is 30 seconds.
func WithTimeout(timeout time.Duration) ServiceOption {
	return func(s *Service) { s.timeout = timeout }
}

// WithMaxBodyBytes bounds the body of a request in bytes. The default is 1 MiB.
func WithMaxBodyBytes(bytes int64) ServiceOption { return func(s *Service) { s.body = bytes } }

// WithSlowStart sets the time over which a target with a cold cache is given its
// full load. The default is 30 seconds.
func WithSlowStart(ramp time.Duration) ServiceOption { return func(s *Service) { s.ramp = ramp } }

// NewService returns a service that picks the named profile, or a
// *ValidationError. It needs at least one host name and one route. Routes of
// one prefix must differ in their methods.
func NewService(name ident.Service, profile string, options ...ServiceOption) (*Service, error) {
	s := &Service{name: name, profile: profile, timeout: 30 * time.Second, body: 1 << 20, ramp: 30 * time.Second}
	for _, o := range options {
		o(s)
	}
	var c checker
	c.name("name", string(name))
	c.name("profile", profile)
	c.duration("request-timeout", s.timeout, MinTimeout, MaxTimeout)
	c.count("largest-body", s.body, 0, MaxBodyBytes)
	c.duration("cold-ramp", s.ramp, 0, MaxSlowStart)
	s.checkHosts(&c)
	s.checkRoutes(&c)
	if err := c.err(KindService, string(name)); err != nil {
		return nil, fmt.Errorf("new service: %w", err)
	}
	s.ordered = slices.Clone(s.routes)
	slices.SortStableFunc(s.ordered, func(a, b Route) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	return s, nil
}

func (s *Service) checkHosts(c *checker) {
	c.require(len(s.hosts) > 0, "hosts", "", "at least one host name")
	seen := ident.NewSet[string]()
	for i, h := range s.hosts {
		field := element("hosts", i, "")
		c.require(isHostName(h), field, h, "a lower-case host name or IP address without a port or a dot at its end")
		c.unique(seen, field, h)
	}
}

func isHostName(host string) bool {
	if host == "" || len(host) > 253 || strings.HasPrefix(host, ".") || strings.HasSuffix(host, ".") {
		return false
	}
	for _, b := range []byte(host) {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789.-:", rune(b)) {
			return false
		}
	}
	// An address of IP version 6 has at least two colons; one colon would
	// start a port.
	return strings.Count(host, ":") != 1
}

func (s *Service) checkRoutes(c *checker) {
	c.require(len(s.routes) > 0, "routes", "", "at least one route")
	seen := ident.NewSet[string]()
	for i, r := range s.routes {
		c.require(cleanPath(r.prefix), element("routes", i, "prefix"), r.prefix,
			"a path that starts with / and has no empty, . or .. segment, backslash or control character")
		if r.class != "" {
			c.name(element("routes", i, "class"), string(r.class))
		}
		c.require(len(r.methods) > 0, element("routes", i, "methods"), "", "at least one method")
		for j, m := range r.methods {
			field := element(element("routes", i, "methods"), j, "")
			c.require(slices.Contains(Methods(), m), field, m, "one of "+strings.Join(Methods(), ", "))
			c.require(!seen.Has(m+" "+r.prefix), field, m, "a method that is not listed before for this prefix")
			seen.Add(m + " " + r.prefix)
		}
	}
}

// Methods returns the HTTP methods that a route may accept.
func Methods() []string {
	return []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
}

// Kind returns KindService.
func (s *Service) Kind() Kind { return KindService }

// Name returns the name of the service as text.
func (s *Service) Name() string { return string(s.name) }

// Service returns the name of the service.
func (s *Service) Service() ident.Service { return s.name }

// Profile returns the name of the profile that the service picks.
func (s *Service) Profile() string { return s.profile }

// Hosts returns the names that callers use in the Host header.
func (s *Service) Hosts() []string { return slices.Clone(s.hosts) }

// Routes returns the routes in the order of the document.
func (s *Service) Routes() []Route { return slices.Clone(s.routes) }

// Timeout returns the bound on the time of a request.
func (s *Service) Timeout() time.Duration { return s.timeout }

// MaxBodyBytes returns the bound on the body of a request in bytes.
func (s *Service) MaxBodyBytes() int64 { return s.body }

// SlowStart returns the time over which a cold target is given its full load.
func (s *Service) SlowStart() time.Duration { return s.ramp }

// Match returns the route for a method and a decoded path. The longest prefix
// wins; when none of its routes accepts the method, the result is NoMethod
// and shorter prefixes are not tried. A path with empty, "." or ".." segments
// matches nothing.
func (s *Service) Match(method, path string) (Route, Match) {
	if !cleanPath(path) {
		return Route{}, NoRoute
	}
	longest := -1
	for _, r := range s.ordered {
		if longest >= 0 && len(r.prefix) < longest {
			break
		}
		if !r.covers(path) {
			continue
		}
		longest = len(r.prefix)
		if slices.Contains(r.methods, method) {
			return r, Matched
		}
	}
	if longest >= 0 {
		return Route{}, NoMethod
	}
	return Route{}, NoRoute
}
