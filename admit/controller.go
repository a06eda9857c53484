package admit

import (
	"time"

	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/quota"
	"rhubarbrack/reach"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
)

// Bounds are limits that apply to all entry hosts together.
type Bounds struct {
	rateWindow  time.Duration
	retryWindow time.Duration
	retryRatio  float64
	retrySlack  float64
	coldFactor  float64
	coldSlack   float64
}

// RateWindow returns the window over which team rates are enforced.
func (b Bounds) RateWindow() time.Duration { return b.rateWindow }

// NewBounds returns bounds. Team rates are enforced over rateWindow. In each
// retryWindow, the retries of a service are at most retryRatio times its
// requests, plus retrySlack. A cold target gets at most its tolerated rate
// times coldFactor, plus coldSlack, per second.
func NewBounds(
	rateWindow, retryWindow time.Duration, retryRatio, retrySlack, coldFactor, coldSlack float64,
) Bounds {
	return Bounds{
		rateWindow: rateWindow, retryWindow: retryWindow, retryRatio: retryRatio, retrySlack: retrySlack,
		coldFactor: coldFactor, coldSlack: coldSlack,
	}
}

const (
	// defaultTimeout applies to requests that specify no timeout.
	defaultTimeout = 10 * time.Second
	// minAttemptTime is the least time before the deadline at which an attempt
	// may start.
	minAttemptTime = 15 * time.Millisecond
	// retryMargin keeps retries below their bound, because requests and their
	// retries reach the targets with different delays.
	retryMargin = 0.8
)

// Controller decides what happens to the requests of one entry host. It is not
// safe for concurrent use.
type Controller struct {
	config       *scheme.Config
	table        *spread.Table
	limiter      *quota.Limiter
	bounds       Bounds
	retryBudgets map[ident.Service]*quota.RetryBudget
	balancers    map[*scheme.Route]*roundRobin
	tracker      *reach.Tracker
	suspects     *guard.Suspects
	losses       *guard.Losses
	work         *workCount
	// linkRate is how many bytes of long responses the link carries per second,
	// or 0 if that is no limit.
	linkRate float64
	// peers is nil if requests are never sent through other entry hosts.
	peers *reach.Peers
	// stopAt is when the host exits, or zero.
	stopAt    time.Time
	hostCount int
	hostShare float64
}

// NewController returns a controller without a configuration. It refuses all
// requests until Configure is called. The options are those of its table of
// targets.
func NewController(zone ident.Zone, region ident.Region, b Bounds, options ...spread.Option) *Controller {
	return &Controller{
		table:        spread.NewTable(zone, region, spread.NewColdBounds(b.coldFactor, b.coldSlack), options...),
		limiter:      quota.NewLimiter(b.rateWindow),
		bounds:       b,
		retryBudgets: map[ident.Service]*quota.RetryBudget{},
		balancers:    map[*scheme.Route]*roundRobin{},
		tracker:      reach.NewTracker(),
		suspects:     guard.NewSuspects(),
		losses:       guard.NewLosses(),
		work:         newWorkCount(),
		hostCount:    1,
		hostShare:    1,
	}
}

// Configure replaces the configuration in force.
func (c *Controller) Configure(config *scheme.Config) {
	c.config = config
	previous := map[string]*roundRobin{}
	for r, s := range c.balancers {
		previous[r.Host()+r.Prefix()] = s
	}
	c.balancers = map[*scheme.Route]*roundRobin{}
	for _, r := range config.Routes() {
		s, ok := previous[r.Host()+r.Prefix()]
		if !ok || !s.matches(r.Services()) {
			s = newRoundRobin(r.Services())
		}
		c.balancers[r] = s
		for _, p := range r.Services() {
			service, _ := config.Service(p.Service())
			c.table.SetColdTerms(service.Name(), service.ColdRate(), service.ColdFor())
		}
	}
	routes := map[string]bool{}
	for _, r := range config.Routes() {
		routes[r.Name()] = true
	}
	c.work.retain(func(route string) bool { return routes[route] })
	known := map[ident.Team]bool{}
	for _, t := range config.Teams() {
		known[t.Name()] = true
	}
	c.limiter.Retain(func(t ident.Team) bool { return known[t] })
}

// Config returns the configuration in force, or nil.
func (c *Controller) Config() *scheme.Config { return c.config }

// Table returns the target table.
func (c *Controller) Table() *spread.Table { return c.table }

// SetHostCount sets the number of entry hosts that share the bounds.
func (c *Controller) SetHostCount(n int) {
	c.hostCount = max(n, 1)
	c.hostShare = 1 / float64(c.hostCount)
	c.table.SetShare(c.hostShare)
}

// Demand reports the demand of the teams, for the allocator of rate leases.
func (c *Controller) Demand(now time.Time) []quota.Demand { return c.limiter.Demand(now) }

// ApplyLeases sets the rate leases that are valid until the given time, and
// the teams that are near their limit.
func (c *Controller) ApplyLeases(leases []quota.Lease, nearLimit []ident.Team, until time.Time) {
	c.limiter.ApplyLeases(leases, nearLimit, until)
}

// TargetStats returns this host's in-flight requests per target, and its
// recent results at failing targets.
func (c *Controller) TargetStats(now time.Time) []spread.TargetStats { return c.table.Stats(now) }

// ApplyRemoteStats applies the in-flight requests and results that other hosts
// report for targets.
func (c *Controller) ApplyRemoteStats(now time.Time, stats []spread.TargetStats) {
	c.table.ApplyRemoteStats(now, stats)
}

// SetEvacuated sets the evacuated zones, whose targets get no requests.
func (c *Controller) SetEvacuated(now time.Time, zones []ident.Zone) {
	c.table.SetEvacuated(now, zones)
}

// IsRetryable reports whether a request may run more than once and has a short
// response, so that it may be handled before an earlier one of the same
// connection is answered.
func (c *Controller) IsRetryable(r Request) bool {
	if c.config == nil {
		return false
	}
	route, ok := c.config.Match(r.host, r.path)
	return ok && route.Kind() == scheme.Retryable
}

// Admit decides on a newly arrived request.
func (c *Controller) Admit(now time.Time, r Request) Decision {
	if c.config == nil {
		return Decision{reason: NotReady, retryAfter: time.Second}
	}
	if terms, ok := r.terms.Get(); ok {
		return c.chooseTarget(now, terms.state(now, r))
	}
	route, ok := c.config.Match(r.host, r.path)
	if !ok {
		return Decision{reason: NoRoute}
	}
	s := &RequestState{
		request: r, route: route, balancer: c.balancers[route], priority: route.Priority(), arrived: now,
		configVersion: c.config.Version(),
	}
	s.deadline = now.Add(c.timeout(r, route))
	if reason, wait := c.checkTeam(now, s); reason != "" {
		return Decision{
			state: s, reason: reason, retryAfter: wait,
			canRequestToken: reason == OverRate && c.limiter.CanRequestToken(now, s.team),
		}
	}
	return c.start(now, s)
}

// AdmitWithToken continues with a request for which a token of the reserve was
// granted.
func (c *Controller) AdmitWithToken(now time.Time, s *RequestState) Decision { return c.start(now, s) }

// TokenDenied records that the reserve had no token for a team.
func (c *Controller) TokenDenied(now time.Time, team ident.Team) { c.limiter.TokenDenied(now, team) }

// start selects the service and the first target of a request that is within
// its team's rate.
func (c *Controller) start(now time.Time, s *RequestState) Decision {
	s.service = s.balancer.next()
	if !c.canAnswer(now, s) {
		return Decision{state: s, reason: NotReady, retryAfter: defaultRetryAfter}
	}
	c.retryBudget(s.service).RecordRequest(now)
	return c.chooseTarget(now, s)
}

// timeout returns the smaller of the request's timeout and the route's.
func (c *Controller) timeout(r Request, route *scheme.Route) time.Duration {
	timeout := defaultTimeout
	if r.timeout > 0 {
		timeout = r.timeout
	}
	return min(timeout, route.Timeout())
}

// checkTeam looks up the team of a request and enforces the team's rate. It
// returns a reason, and the time after which to retry, if the request is
// refused.
func (c *Controller) checkTeam(now time.Time, s *RequestState) (Reason, time.Duration) {
	if !c.config.HasTeams() || s.route.IsPublic() {
		return "", 0
	}
	if s.request.key == "" {
		return NoKey, 0
	}
	team, ok := c.config.Team(s.request.key)
	if !ok {
		return UnknownKey, 0
	}
	s.team, s.regions = team.Name(), team.Regions()
	s.rate, s.burst = team.Rate(), team.Burst()
	s.priority = team.Priority().Or(s.priority)
	if wait, ok := c.limiter.TakeToken(now, team.Name(), team.Rate(), team.Burst(), c.hostCount); !ok {
		return OverRate, wait
	}
	return "", 0
}

// chooseTarget selects the target of the next attempt.
func (c *Controller) chooseTarget(now time.Time, s *RequestState) Decision {
	if s.deadline.Sub(now) < minAttemptTime {
		return Decision{state: s, reason: OutOfTime}
	}
	if s.isForwarded && c.tracker.IsCutOff(s.service) {
		return Decision{state: s, reason: NoTarget, retryAfter: reach.ProbeInterval}
	}
	if c.needsPeer(now, s) {
		if d, ok := c.choosePeer(now, s); ok {
			return d
		}
	}
	object := ""
	if s.route.HasAffinity() && s.request.object != "" {
		object = s.route.Name() + "\x00" + s.request.object
	}
	choice := c.table.Choose(now, spread.NewQuery(
		s.service, object, s.route.LatencyObjective(), s.route.Kind() == scheme.Bulk, s.route.Regions(), s.regions, s.tried))
	if !choice.IsFound() {
		reason := NoRoom
		if choice.Reason() == spread.NoTarget {
			reason = NoTarget
			if c.canOnlyUsePeer(now, s) {
				if d, ok := c.choosePeer(now, s); ok {
					return d
				}
			}
		}
		return Decision{state: s, choice: choice, reason: reason, retryAfter: max(choice.RetryAfter(), defaultRetryAfter)}
	}
	c.work.accept(s)
	s.attempts++
	s.tried = append(s.tried, choice.Target().ID())
	return Decision{state: s, choice: choice}
}

// RecordResult records the result of an attempt and the load that the target
// reported, if any.
func (c *Controller) RecordResult(now time.Time, choice spread.Choice, result spread.Result, load ident.Option[spread.Load]) {
	c.table.RecordResult(now, choice, result, load)
}

func (c *Controller) retryBudget(service ident.Service) *quota.RetryBudget {
	b, ok := c.retryBudgets[service]
	if !ok {
		b = quota.NewRetryBudget(c.bounds.retryWindow, c.bounds.retryRatio*retryMargin, c.bounds.retrySlack)
		c.retryBudgets[service] = b
	}
	return b
}
