package prof

import (
	"slices"
	"strings"

	"rhubarbrack/ident"
)

// Route defines how a service handles requests whose path matches a prefix.
type Route struct {
	prefix     string
	methods    []string
	class      ident.Class
	open       bool
	idempotent bool
}

// RouteOption sets an attribute of a route.
type RouteOption func(*Route)

// RouteClass sets the class of the requests. By default, the class of the
// team's policy applies.
func RouteClass(class ident.Class) RouteOption { return func(r *Route) { r.class = class } }

// RouteOpen sets whether the route is open to callers without a key.
func RouteOpen(open bool) RouteOption { return func(r *Route) { r.open = open } }

// RouteIdempotent sets whether requests may be executed more than once.
func RouteIdempotent(idempotent bool) RouteOption {
	return func(r *Route) { r.idempotent = idempotent }
}

// NewRoute returns a route. NewService validates it. A prefix matches whole
// path segments: "/charts" matches "/charts" and "/charts/7", but not
// "/chartsets".
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

// Class returns the class of the requests. It is empty if that of the team's
// policy applies.
func (r Route) Class() ident.Class { return r.class }

// Open reports whether the route is open to callers without a key.
func (r Route) Open() bool { return r.open }

// Idempotent reports whether requests may be executed more than once.
func (r Route) Idempotent() bool { return r.idempotent }

// matchesPath reports whether the prefix matches a path.
func (r Route) matchesPath(path string) bool {
	rest, ok := strings.CutPrefix(path, r.prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.prefix, "/"))
}

// Match is the result of matching a request against the routes of a service.
type Match int

// The values of Match.
const (
	// NoRoute means that no prefix matches the path.
	NoRoute Match = iota
	// NoMethod means that no route with the longest matching prefix accepts the
	// method.
	NoMethod
	// Matched means that a route matches the path and the method.
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

// isCanonicalPath reports whether a decoded path has no empty, "." or ".."
// segments, backslashes or control characters. A target may normalise such a
// path to that of another route, for example one that requires a key. The last
// segment may be empty.
func isCanonicalPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsFunc(path, isForbiddenPathRune) {
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

func isForbiddenPathRune(r rune) bool { return r == '\\' || r < ' ' || r == 0x7f }
