package admit

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/quota"
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
	// minAttemptTime is the least remaining time with which an attempt is
	// started.
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
	teams        *quota.Limiter
	bounds       Bounds
	retryBudgets map[ident.Service]*quota.RetryBudget
	balancers    map[*scheme.Route]*roundRobin
	hostCount    int
	hostShare    float64
}

// NewController returns a controller without a configuration. It refuses all
// requests until Configure is called.
func NewController(zone ident.Zone, region ident.Region, b Bounds) *Controller {
	return &Controller{
		table:        spread.NewTable(zone, region, spread.NewColdBounds(b.coldFactor, b.coldSlack)),
		teams:        quota.NewLimiter(b.rateWindow),
		bounds:       b,
		retryBudgets: map[ident.Service]*quota.RetryBudget{},
		balancers:    map[*scheme.Route]*roundRobin{},
		hostCount:    1,
		hostShare:    1,
	}
}

// Configure replaces the configuration in force.
func (a *Controller) Configure(c *scheme.Config) {
	a.config = c
	previous := map[string]*roundRobin{}
	for r, s := range a.balancers {
		previous[r.Host()+r.Prefix()] = s
	}
	a.balancers = map[*scheme.Route]*roundRobin{}
	for _, r := range c.Routes() {
		s, ok := previous[r.Host()+r.Prefix()]
		if !ok || !s.matches(r.Services()) {
			s = newRoundRobin(r.Services())
		}
		a.balancers[r] = s
		for _, p := range r.Services() {
			service, _ := c.Service(p.Service())
			a.table.SetColdRate(service.Name(), service.ColdRate())
		}
	}
	known := map[ident.Team]bool{}
	for _, t := range c.Teams() {
		known[t.Name()] = true
	}
	a.teams.Retain(func(t ident.Team) bool { return known[t] })
}

// Config returns the configuration in force, or nil.
func (a *Controller) Config() *scheme.Config { return a.config }

// Table returns the target table.
func (a *Controller) Table() *spread.Table { return a.table }

// SetHostCount sets the number of entry hosts that share the bounds.
func (a *Controller) SetHostCount(n int) {
	a.hostCount = max(n, 1)
	a.hostShare = 1 / float64(a.hostCount)
	a.table.SetShare(a.hostShare)
}

// Demand reports the demand of the teams, for the allocator of rate leases.
func (a *Controller) Demand(now time.Time) []quota.Demand { return a.teams.Demand(now) }

// ApplyLeases sets the rate leases that are valid until the given time, and
// the teams that are near their limit.
func (a *Controller) ApplyLeases(leases []quota.Lease, nearLimit []ident.Team, until time.Time) {
	a.teams.ApplyLeases(leases, nearLimit, until)
}

// TargetStats returns this host's in-flight requests per target, and its
// recent results at failing targets.
func (a *Controller) TargetStats(now time.Time) []spread.TargetStats { return a.table.Stats(now) }

// ApplyRemoteStats applies the in-flight requests and results that other hosts
// report for targets.
func (a *Controller) ApplyRemoteStats(now time.Time, counts []spread.TargetStats) {
	a.table.ApplyRemoteStats(now, counts)
}

// SetEvacuated sets the evacuated zones, whose targets get no requests.
func (a *Controller) SetEvacuated(now time.Time, zones []ident.Zone) {
	a.table.SetEvacuated(now, zones, func(service ident.Service) time.Duration {
		if a.config == nil {
			return 0
		}
		s, _ := a.config.Service(service)
		return s.ColdFor()
	})
}

// Admit decides about a newly arrived request.
func (a *Controller) Admit(now time.Time, r Request) Decision {
	if a.config == nil {
		return Decision{reason: NotReady, retryAfter: time.Second}
	}
	route, ok := a.config.Match(r.host, r.path)
	if !ok {
		return Decision{reason: NoRoute}
	}
	t := &RequestState{
		request: r, route: route, balancer: a.balancers[route], priority: route.Priority(), arrived: now,
		configVersion: a.config.Version(),
	}
	t.deadline = now.Add(a.timeout(r, route))
	if reason, wait := a.checkTeam(now, t); reason != "" {
		return Decision{
			state: t, reason: reason, retryAfter: wait,
			canRequestToken: reason == OverRate && a.teams.CanRequestToken(now, t.team),
		}
	}
	return a.start(now, t)
}

// AdmitWithToken continues with a request for which a token of the reserve was
// granted.
func (a *Controller) AdmitWithToken(now time.Time, t *RequestState) Decision { return a.start(now, t) }

// TokenDenied records that the reserve had no token for a team.
func (a *Controller) TokenDenied(now time.Time, team ident.Team) { a.teams.TokenDenied(now, team) }

// start selects the service and the first target of a request that is within
// its team's rate.
func (a *Controller) start(now time.Time, t *RequestState) Decision {
	t.service = t.balancer.next()
	a.retryBudget(t.service).RecordRequest(now)
	return a.chooseTarget(now, t)
}

// timeout returns the smaller of the request's timeout and the route's.
func (a *Controller) timeout(r Request, route *scheme.Route) time.Duration {
	timeout := defaultTimeout
	if r.timeout > 0 {
		timeout = r.timeout
	}
	return min(timeout, route.Timeout())
}

// checkTeam looks up the team of a request and enforces the team's rate. It
// returns a reason, and the time after which to retry, if the request is
// refused.
func (a *Controller) checkTeam(now time.Time, t *RequestState) (Reason, time.Duration) {
	if !a.config.HasTeams() || t.route.IsPublic() {
		return "", 0
	}
	if t.request.key == "" {
		return NoKey, 0
	}
	team, ok := a.config.Team(t.request.key)
	if !ok {
		return UnknownKey, 0
	}
	t.team, t.regions = team.Name(), team.Regions()
	t.rate, t.burst = team.Rate(), team.Burst()
	t.priority = team.Priority().Or(t.priority)
	if wait, ok := a.teams.TakeToken(now, team.Name(), team.Rate(), team.Burst(), a.hostCount); !ok {
		return OverRate, wait
	}
	return "", 0
}

// Retry decides whether a request is sent to another target after a failed
// attempt. The caller must make sure that the request has not run or may run
// twice.
func (a *Controller) Retry(now time.Time, t *RequestState) Decision {
	if t.attempts >= t.route.Attempts() {
		return Decision{state: t, reason: NoAttempts, retryAfter: defaultRetryAfter}
	}
	if t.deadline.Sub(now) < minAttemptTime {
		return Decision{state: t, reason: OutOfTime}
	}
	if !a.retryBudget(t.service).TryRetry(now, a.hostShare*retryMargin) {
		return Decision{state: t, reason: NoBudget, retryAfter: defaultRetryAfter}
	}
	return a.chooseTarget(now, t)
}

// defaultRetryAfter is the retry delay suggested to callers when targets were
// full or unreachable.
const defaultRetryAfter = 100 * time.Millisecond

// RetryUnreachable selects another target after a failure to connect. Since
// nothing was sent, this costs neither an attempt nor retry budget.
func (a *Controller) RetryUnreachable(now time.Time, t *RequestState) Decision {
	t.attempts--
	if t.deadline.Sub(now) < minAttemptTime {
		return Decision{state: t, reason: OutOfTime}
	}
	return a.chooseTarget(now, t)
}

// chooseTarget selects the target of the next attempt.
func (a *Controller) chooseTarget(now time.Time, t *RequestState) Decision {
	if t.deadline.Sub(now) < minAttemptTime {
		return Decision{state: t, reason: OutOfTime}
	}
	object := ""
	if t.route.IsSticky() && t.request.object != "" {
		object = t.route.Name() + "\x00" + t.request.object
	}
	c := a.table.Choose(now, spread.NewQuery(
		t.service, object, t.route.LatencyObjective(), t.route.Kind() == scheme.Bulk, t.route.Regions(), t.regions, t.tried))
	if !c.IsFound() {
		reason := NoRoom
		if c.Reason() == spread.NoTarget {
			reason = NoTarget
		}
		return Decision{state: t, choice: c, reason: reason, retryAfter: max(c.RetryAfter(), defaultRetryAfter)}
	}
	t.attempts++
	t.tried = append(t.tried, c.Target().ID())
	return Decision{state: t, choice: c}
}

// RecordResult records the result of an attempt and the load that the target
// reported, if any.
func (a *Controller) RecordResult(now time.Time, c spread.Choice, v spread.Result, load ident.Option[spread.Load]) {
	a.table.RecordResult(now, c, v, load)
}

func (a *Controller) retryBudget(service ident.Service) *quota.RetryBudget {
	b, ok := a.retryBudgets[service]
	if !ok {
		b = quota.NewRetryBudget(a.bounds.retryWindow, a.bounds.retryRatio*retryMargin, a.bounds.retrySlack)
		a.retryBudgets[service] = b
	}
	return b
}
