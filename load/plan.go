package load

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/ident"
)

const (
	defaultDuration = 10 * time.Second
	defaultTimeout  = 5 * time.Second
	// defaultInFlight bounds the memory use when no response arrives.
	defaultInFlight = 10_000
	defaultResends  = 3
	// defaultResendPause gives an entry host time to complete the first attempt
	// before the request is resent.
	defaultResendPause = 100 * time.Millisecond
	// defaultTolerance covers the variation of the delay, on a busy machine,
	// between the generator and the host that owns the rate.
	defaultTolerance = 10 * time.Millisecond
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 16 << 20
)

// Route describes one kind of request in a team's mix.
type Route struct {
	service           ident.Service
	host              string
	method            string
	path              string
	class             ident.Class
	weight            float64
	body              int
	hasIdempotencyKey bool
}

// RouteOption changes a default of NewRoute.
type RouteOption func(*Route)

// WithHost sets the Host header. The default is the service name.
func WithHost(host string) RouteOption { return func(r *Route) { r.host = host } }

// WithClass sets the class under which the requests are reported.
func WithClass(class ident.Class) RouteOption { return func(r *Route) { r.class = class } }

// WithWeight sets the relative frequency within the mix. The default is 1.
func WithWeight(weight float64) RouteOption { return func(r *Route) { r.weight = weight } }

// WithBodyBytes sets the size of the request body.
func WithBodyBytes(n int) RouteOption { return func(r *Route) { r.body = n } }

// WithIdempotencyKey gives each request an Idempotency-Key, so that it can be
// resent after its response was lost.
func WithIdempotencyKey() RouteOption { return func(r *Route) { r.hasIdempotencyKey = true } }

// NewRoute returns a route. The path may contain a query.
func NewRoute(service ident.Service, method, path string, options ...RouteOption) Route {
	r := Route{service: service, host: string(service), method: method, path: path, class: "default", weight: 1}
	for _, apply := range options {
		apply(&r)
	}
	return r
}

func (r Route) check() error {
	switch {
	case r.service == "":
		return errors.NotValidf("route without service")
	case r.method == "" || strings.ToUpper(r.method) != r.method:
		return errors.NotValidf("method %q", r.method)
	case !strings.HasPrefix(r.path, "/"):
		return errors.NotValidf("path %q", r.path)
	case !(r.weight > 0):
		return errors.NotValidf("weight %v", r.weight)
	case r.body < 0 || r.body > maxBodyBytes:
		return errors.NotValidf("body of %d bytes", r.body)
	case r.body > 0 && (r.method == http.MethodGet || r.method == http.MethodHead):
		return errors.NotValidf("body with method %s", r.method)
	}
	return nil
}

// Team is one customer of the system, with its permitted and its offered rate.
type Team struct {
	name    ident.Team
	apiKey  string
	rate    float64
	burst   float64
	offered float64
	routes  []Route
}

// NewTeam returns a team that authenticates with the API key, is permitted rate
// requests per second with the given burst, and offers the given number of
// requests per second, distributed over the routes. If the key is empty,
// requests have no Authorization header.
func NewTeam(name ident.Team, apiKey string, rate, burst, offered float64, routes ...Route) Team {
	return Team{name: name, apiKey: apiKey, rate: rate, burst: burst, offered: offered, routes: routes}
}

func (t Team) check() error {
	if err := ident.CheckName("team", string(t.name)); err != nil {
		return fmt.Errorf("check name: %w", err)
	}
	if !(t.offered > 0) || !(t.rate > 0) || !(t.burst >= 1) {
		return errors.NotValidf("offered %v, rate %v, burst %v", t.offered, t.rate, t.burst)
	}
	if len(t.routes) == 0 {
		return errors.NotValidf("team without routes")
	}
	for i, r := range t.routes {
		if err := r.check(); err != nil {
			return fmt.Errorf("route %d: %w", i+1, err)
		}
	}
	return nil
}

// Plan describes one run of the generator.
type Plan struct {
	entry            string
	client           netip.Addr
	duration         time.Duration
	timeout          time.Duration
	doublingInterval time.Duration
	maxFactor        float64
	seed             uint64
	inFlight         int
	resends          int
	resendPause      time.Duration
	tolerance        time.Duration
	teams            []Team
	directAddresses  []string
	directRate       float64
	directRoute      Route
}

// PlanOption changes a default of NewPlan.
type PlanOption func(*Plan)

// WithTeams adds teams.
func WithTeams(teams ...Team) PlanOption {
	return func(p *Plan) { p.teams = append(p.teams, teams...) }
}

// WithClient sets the client address that lookups state. The default is
// 127.0.0.1.
func WithClient(client netip.Addr) PlanOption { return func(p *Plan) { p.client = client } }

// WithDuration sets how long requests arrive. The default is 10 s.
func WithDuration(d time.Duration) PlanOption { return func(p *Plan) { p.duration = d } }

// WithTimeout sets the deadline of a request, counted from its scheduled
// arrival. The default is 5 s.
func WithTimeout(d time.Duration) PlanOption { return func(p *Plan) { p.timeout = d } }

// WithDoubling makes the offered rates grow exponentially, doubling in each
// interval, until they have grown by maxFactor.
func WithDoubling(interval time.Duration, maxFactor float64) PlanOption {
	return func(p *Plan) { p.doublingInterval, p.maxFactor = interval, maxFactor }
}

// WithSeed sets the seed of the schedule. The default is 1.
func WithSeed(seed uint64) PlanOption { return func(p *Plan) { p.seed = seed } }

// WithInFlight limits the requests in flight. Arrivals beyond the limit are
// reported as skipped. The default is 10,000.
func WithInFlight(n int) PlanOption { return func(p *Plan) { p.inFlight = n } }

// WithResends sets how many times a request with an Idempotency-Key is resent
// at most, and the pause before each time. The defaults are 3 and 100 ms.
func WithResends(n int, pause time.Duration) PlanOption {
	return func(p *Plan) { p.resends, p.resendPause = n, pause }
}

// WithTolerance sets the tolerated variation of the delay between the generator
// and the token bucket of the system. A refusal by rate that this variation can
// explain is reported as disputed instead of wrongful. The default is 10 ms.
func WithTolerance(d time.Duration) PlanOption { return func(p *Plan) { p.tolerance = d } }

// WithDirectCalls adds a stream of calls that go directly to the targets at the
// addresses, in rotation, at rate calls per second.
func WithDirectCalls(rate float64, route Route, addresses ...string) PlanOption {
	return func(p *Plan) { p.directRate, p.directRoute, p.directAddresses = rate, route, addresses }
}

// NewPlan returns a plan that looks up hosts at the entry host with the given
// address, in the form host:port.
func NewPlan(entry string, options ...PlanOption) (Plan, error) {
	p := Plan{
		entry: entry, client: netip.AddrFrom4([4]byte{127, 0, 0, 1}), duration: defaultDuration, timeout: defaultTimeout,
		maxFactor: 1, seed: 1, inFlight: defaultInFlight, resends: defaultResends, resendPause: defaultResendPause,
		tolerance: defaultTolerance,
	}
	for _, apply := range options {
		apply(&p)
	}
	if err := p.check(); err != nil {
		return Plan{}, fmt.Errorf("plan: %w", err)
	}
	return p, nil
}

func (p Plan) check() error {
	if _, _, err := net.SplitHostPort(p.entry); err != nil {
		return fmt.Errorf("entry host: %w", err)
	}
	switch {
	case p.duration <= 0 || p.timeout <= 0 || p.doublingInterval < 0 || p.resendPause < 0 || p.tolerance < 0:
		return errors.NotValidf("duration %v, timeout %v, doubling %v, pause %v, tolerance %v",
			p.duration, p.timeout, p.doublingInterval, p.resendPause, p.tolerance)
	case p.inFlight < 1 || p.resends < 0 || !(p.maxFactor >= 1):
		return errors.NotValidf("in flight %d, resends %d, factor %v", p.inFlight, p.resends, p.maxFactor)
	case len(p.teams) == 0:
		return errors.NotValidf("plan without teams")
	}
	names := ident.NewSet[ident.Team]()
	for _, t := range p.teams {
		if err := t.check(); err != nil {
			return fmt.Errorf("team %s: %w", t.name, err)
		}
		if names.Has(t.name) {
			return errors.NotValidf("repeated team %s", t.name)
		}
		names.Add(t.name)
	}
	return p.checkDirect()
}

func (p Plan) checkDirect() error {
	if len(p.directAddresses) == 0 {
		return nil
	}
	if !(p.directRate > 0) {
		return errors.NotValidf("rate %v of direct calls", p.directRate)
	}
	if err := p.directRoute.check(); err != nil {
		return fmt.Errorf("direct calls: %w", err)
	}
	return nil
}
