package prof

import (
	"cmp"
	"fmt"
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

// Service is a service offered by targets: its host names, its routes, its
// limits and the name of its profile.
type Service struct {
	name           ident.Service
	profile        string
	hosts          []string
	routes         []Route
	byPrefixLength []Route
	timeout        time.Duration
	maxBodyBytes   int64
	slowStart      time.Duration
}

// ServiceOption sets an attribute of a service.
type ServiceOption func(*Service)

// WithHosts adds host names of the service, as sent in the Host header.
func WithHosts(hosts ...string) ServiceOption {
	return func(s *Service) { s.hosts = append(s.hosts, hosts...) }
}

// WithRoute adds a route.
func WithRoute(route Route) ServiceOption {
	return func(s *Service) { s.routes = append(s.routes, route) }
}

// WithTimeout sets the maximum time from the arrival of a request to the end
// of its response. The default is 30 seconds.
func WithTimeout(timeout time.Duration) ServiceOption {
	return func(s *Service) { s.timeout = timeout }
}

// WithMaxBodyBytes sets the maximum size of a request body. The default is 1
// MiB.
func WithMaxBodyBytes(bytes int64) ServiceOption { return func(s *Service) { s.maxBodyBytes = bytes } }

// WithSlowStart sets the time over which the load of a target with a cold
// cache is increased to its full load. The default is 30 seconds.
func WithSlowStart(duration time.Duration) ServiceOption {
	return func(s *Service) { s.slowStart = duration }
}

// NewService returns a service that uses the named profile, or a
// *ValidationError. It requires at least one host name and one route. Routes
// with the same prefix must not share a method.
func NewService(name ident.Service, profile string, options ...ServiceOption) (*Service, error) {
	s := &Service{name: name, profile: profile, timeout: 30 * time.Second, maxBodyBytes: 1 << 20, slowStart: 30 * time.Second}
	for _, o := range options {
		o(s)
	}
	var v validator
	v.checkName("name", string(name))
	v.checkName("profile", profile)
	v.checkDuration("request-timeout", s.timeout, MinTimeout, MaxTimeout)
	v.checkCount("largest-body", s.maxBodyBytes, 0, MaxBodyBytes)
	v.checkDuration("cold-ramp", s.slowStart, 0, MaxSlowStart)
	s.checkHosts(&v)
	s.checkRoutes(&v)
	if err := v.err(KindService, string(name)); err != nil {
		return nil, fmt.Errorf("new service: %w", err)
	}
	s.byPrefixLength = slices.Clone(s.routes)
	slices.SortStableFunc(s.byPrefixLength, func(a, b Route) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	return s, nil
}

func (s *Service) checkHosts(v *validator) {
	v.require(len(s.hosts) > 0, "hosts", "", "at least one host name")
	seen := ident.NewSet[string]()
	for i, h := range s.hosts {
		field := elementPath("hosts", i, "")
		v.require(isHostName(h), field, h, "a lower-case host name or IP address without a port or a dot at its end")
		v.checkUnique(seen, field, h)
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
	// An IPv6 address has at least two colons. A single colon separates a port.
	return strings.Count(host, ":") != 1
}

func (s *Service) checkRoutes(v *validator) {
	v.require(len(s.routes) > 0, "routes", "", "at least one route")
	seen := ident.NewSet[string]()
	for i, r := range s.routes {
		v.require(isCanonicalPath(r.prefix), elementPath("routes", i, "prefix"), r.prefix,
			"a path that starts with / and has no empty, . or .. segment, backslash or control character")
		if r.class != "" {
			v.checkName(elementPath("routes", i, "class"), string(r.class))
		}
		v.require(len(r.methods) > 0, elementPath("routes", i, "methods"), "", "at least one method")
		for j, m := range r.methods {
			field := elementPath(elementPath("routes", i, "methods"), j, "")
			v.require(slices.Contains(Methods(), m), field, m, "one of "+strings.Join(Methods(), ", "))
			v.require(!seen.Has(m+" "+r.prefix), field, m, "a method that is not listed before for this prefix")
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

// Profile returns the name of the profile that the service uses.
func (s *Service) Profile() string { return s.profile }

// Hosts returns the host names of the service.
func (s *Service) Hosts() []string { return slices.Clone(s.hosts) }

// Routes returns the routes in the order of the document.
func (s *Service) Routes() []Route { return slices.Clone(s.routes) }

// Timeout returns the maximum duration of a request.
func (s *Service) Timeout() time.Duration { return s.timeout }

// MaxBodyBytes returns the maximum size of a request body.
func (s *Service) MaxBodyBytes() int64 { return s.maxBodyBytes }

// SlowStart returns the time over which the load of a cold target is increased
// to its full load.
func (s *Service) SlowStart() time.Duration { return s.slowStart }

// Match returns the route for a method and a decoded path. Only the routes
// with the longest matching prefix are considered. If none of them accepts the
// method, the result is NoMethod. A path that is not canonical matches no
// route.
func (s *Service) Match(method, path string) (Route, Match) {
	if !isCanonicalPath(path) {
		return Route{}, NoRoute
	}
	longest := -1 // length of the longest matching prefix
	for _, r := range s.byPrefixLength {
		if longest >= 0 && len(r.prefix) < longest {
			break
		}
		if !r.matchesPath(path) {
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
