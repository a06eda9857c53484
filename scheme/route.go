package scheme

import (
	"time"

	"rhubarbrack/ident"
)

// Kind tells how often a request of a route may run.
type Kind uint8

const (
	// Retryable requests may run more than once.
	Retryable Kind = iota + 1
	// AtMostOnce marks requests that run at most once for each request id.
	AtMostOnce
	// Bulk marks repeatable requests with large answers.
	Bulk
)

// IsRetryable reports whether a request of the kind may run twice.
func (k Kind) IsRetryable() bool { return k == Retryable || k == Bulk }

// WeightedService is a service that takes a share of a route's requests.
type WeightedService struct {
	service ident.Service
	weight  float64
}

// NewWeightedService returns a part. Weights are relative to the sum of a route.
func NewWeightedService(service ident.Service, weight float64) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the service of the part.
func (p WeightedService) Service() ident.Service { return p.service }

// Weight returns the share of the part, relative to the sum of the route.
func (p WeightedService) Weight() float64 { return p.weight }

// Route describes the requests below one path prefix of a host name.
type Route struct {
	name     string
	host     string
	prefix   string
	kind     Kind
	parts    []WeightedService
	timeout  time.Duration
	aim      time.Duration
	attempts int
	priority int
	public   bool
	sticky   bool
	homes    []ident.Region
}

// RouteOption sets an optional property of a route.
type RouteOption func(*Route)

// WithLatencyObjective sets the time within which an answer has its full worth. Zero
// stands for none.
func WithLatencyObjective(d time.Duration) RouteOption { return func(r *Route) { r.aim = d } }

// WithPriority sets the rank of the route. 0 is the most urgent.
func WithPriority(n int) RouteOption { return func(r *Route) { r.priority = n } }

// WithPublicAccess lets callers use the route without a key.
func WithPublicAccess(public bool) RouteOption { return func(r *Route) { r.public = public } }

// WithAffinity tells that a target is faster with an object that it handled
// lately.
func WithAffinity(sticky bool) RouteOption { return func(r *Route) { r.sticky = sticky } }

// WithRegions restricts the regions in which requests of the route may run. An
// empty list allows all.
func WithRegions(regions ...ident.Region) RouteOption {
	return func(r *Route) { r.homes = regions }
}

// NewRoute returns a route. The timeout is the longest time that a request is
// kept waiting, and attempts the number of targets to which it may be sent.
func NewRoute(
	name, host, prefix string, kind Kind, parts []WeightedService, timeout time.Duration, attempts int, list ...RouteOption,
) *Route {
	r := &Route{
		name: name, host: host, prefix: prefix, kind: kind, parts: parts, timeout: timeout, attempts: attempts,
	}
	for _, apply := range list {
		apply(r)
	}
	return r
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.name }

// Host returns the host name that callers ask for.
func (r *Route) Host() string { return r.host }

// Prefix returns the beginning of the paths of the route.
func (r *Route) Prefix() string { return r.prefix }

// Kind tells how often a request may run.
func (r *Route) Kind() Kind { return r.kind }

// Services returns the services of the route. The slice must not be modified.
func (r *Route) Services() []WeightedService { return r.parts }

// Timeout returns the longest time that a request is kept waiting.
func (r *Route) Timeout() time.Duration { return r.timeout }

// LatencyObjective returns the time within which an answer has its full worth, or zero.
func (r *Route) LatencyObjective() time.Duration { return r.aim }

// Attempts returns the number of targets to which a request may be sent.
func (r *Route) Attempts() int { return r.attempts }

// Priority returns the rank of the route. 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// IsPublic reports whether the route needs no key.
func (r *Route) IsPublic() bool { return r.public }

// IsSticky reports whether targets are faster with objects that they handled
// lately.
func (r *Route) IsSticky() bool { return r.sticky }

// Regions returns the regions in which requests may run, or nothing when all
// may. The slice must not be modified.
func (r *Route) Regions() []ident.Region { return r.homes }
