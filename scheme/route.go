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
	// AtMostOnce requests run at most once per request ID.
	AtMostOnce
	// Bulk requests are retryable and have large responses.
	Bulk
)

// IsRetryable reports whether a request of the kind may run more than once.
func (k Kind) IsRetryable() bool { return k == Retryable || k == Bulk }

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	service ident.Service
	weight  float64
}

// NewWeightedService returns a weighted service. Weights are relative to the
// total weight of the route.
func NewWeightedService(service ident.Service, weight float64) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the service.
func (s WeightedService) Service() ident.Service { return s.service }

// Weight returns the weight, relative to the total weight of the route.
func (s WeightedService) Weight() float64 { return s.weight }

// Route describes how requests to one path prefix of a host name are handled.
type Route struct {
	name             string
	host             string
	prefix           string
	kind             Kind
	services         []WeightedService
	timeout          time.Duration
	latencyObjective time.Duration
	attempts         int
	priority         int
	public           bool
	affinity         bool
	regions          []ident.Region
}

// RouteOption sets an optional property of a route.
type RouteOption func(*Route)

// WithLatencyObjective sets the time within which a response should arrive.
// Zero means no objective.
func WithLatencyObjective(d time.Duration) RouteOption {
	return func(r *Route) { r.latencyObjective = d }
}

// WithPriority sets the priority of the route. 0 is the most urgent.
func WithPriority(n int) RouteOption { return func(r *Route) { r.priority = n } }

// WithPublicAccess sets whether callers may use the route without a key.
func WithPublicAccess(public bool) RouteOption { return func(r *Route) { r.public = public } }

// WithAffinity sets whether targets are faster with objects that they handled
// recently.
func WithAffinity(affinity bool) RouteOption { return func(r *Route) { r.affinity = affinity } }

// WithRegions restricts the regions in which requests of the route may run. An
// empty list allows all.
func WithRegions(regions ...ident.Region) RouteOption {
	return func(r *Route) { r.regions = regions }
}

// NewRoute returns a route. A request times out after timeout, and is sent to
// at most the given number of targets.
func NewRoute(
	name, host, prefix string, kind Kind, services []WeightedService, timeout time.Duration, attempts int,
	options ...RouteOption,
) *Route {
	r := &Route{
		name: name, host: host, prefix: prefix, kind: kind, services: services, timeout: timeout, attempts: attempts,
	}
	for _, apply := range options {
		apply(r)
	}
	return r
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.name }

// Host returns the host name that callers use.
func (r *Route) Host() string { return r.host }

// Prefix returns the path prefix of the route.
func (r *Route) Prefix() string { return r.prefix }

// Kind tells how often a request may run.
func (r *Route) Kind() Kind { return r.kind }

// Services returns the services of the route with their weights. The slice
// must not be modified.
func (r *Route) Services() []WeightedService { return r.services }

// Timeout returns the longest time that a request may take.
func (r *Route) Timeout() time.Duration { return r.timeout }

// LatencyObjective returns the time within which a response should arrive, or
// zero.
func (r *Route) LatencyObjective() time.Duration { return r.latencyObjective }

// Attempts returns the number of targets to which a request may be sent.
func (r *Route) Attempts() int { return r.attempts }

// Priority returns the priority of the route. 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// IsPublic reports whether the route requires no key.
func (r *Route) IsPublic() bool { return r.public }

// HasAffinity reports whether targets are faster with objects that they handled
// recently.
func (r *Route) HasAffinity() bool { return r.affinity }

// Regions returns the regions in which requests may run. An empty list means
// all. The slice must not be modified.
func (r *Route) Regions() []ident.Region { return r.regions }
