package prof

import (
	"slices"
	"strings"

	"rhubarbrack/ident"
)

// Route says how a service treats the requests below a path prefix.
type Route struct {
	prefix     string
	methods    []string
	class      ident.Class
	open       bool
	idempotent bool
}

// RouteOption sets a part of a route.
type RouteOption func(*Route)

// RouteClass sets the class of the requests. Without it, the default class of
// the team applies.
func RouteClass(class ident.Class) RouteOption { return func(r *Route) { r.class = class } }

// RouteOpen sets whether the route is open to callers without a key.
func RouteOpen(open bool) RouteOption { return func(r *Route) { r.open = open } }

// RouteIdempotent sets whether a request may run more than once.
func RouteIdempotent(idempotent bool) RouteOption {
	return func(r *Route) { r.idempotent = idempotent }
}

// NewRoute returns a route. NewService checks it. A prefix covers the path
// equal to it and the paths below it: "/charts" covers "/charts" and
// "/charts/7", not "/chartsets".
func NewRoute(prefix string, methods []string, options ...RouteOption) Route {
	r := Route{prefix: prefix, methods: slices.Clone(methods)}
	for _, o := range options {
		o(&r)
	}
	return r
}

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.prefix }

// Methods returns the HTTP methods that the route accepts.
func (r Route) Methods() []string { return slices.Clone(r.methods) }

// Class returns the class of the requests, empty for the team's default.
func (r Route) Class() ident.Class { return r.class }

// Open reports whether the route needs no key.
func (r Route) Open() bool { return r.open }

// Idempotent reports whether a request may run more than once.
func (r Route) Idempotent() bool { return r.idempotent }

func (r Route) covers(path string) bool {
	rest, ok := strings.CutPrefix(path, r.prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.prefix, "/"))
}

// Match is the result of looking up a route.
type Match int

// The results of looking up a route.
const (
	// NoRoute means that no prefix covers the path.
	NoRoute Match = iota
	// NoMethod means that the longest prefix does not accept the method.
	NoMethod
	// Matched means that the route applies.
	Matched
)

// String returns the result in kebab case.
func (m Match) String() string {
	switch m {
	case NoRoute:
		return "no-route"
	case NoMethod:
		return "no-method"
	case Matched:
		return "matched"
	}
	return "unknown"
}

// cleanPath reports whether a decoded path has no empty, "." or ".." segment,
// no backslash and no control character. A target may resolve such segments
// and so reach a path of another route, for example one that needs a key.
func cleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsFunc(path, isUnclean) {
		return false
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		if s == "." || s == ".." || (s == "" && i != len(segments)-1) {
			return false
		}
	}
	return true
}

func isUnclean(r rune) bool { return r == '\\' || r < ' ' || r == 0x7f }
