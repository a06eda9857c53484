package admit

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/quota"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
)

// Bounds are the limits that hold for all entry hosts together.
type Bounds struct {
	rateSpan    time.Duration
	repeatSpan  time.Duration
	repeatRatio float64
	repeatSlack float64
	coldOver    float64
	coldSlack   float64
}

// RateWindow returns the window in which the rates of teams hold.
func (b Bounds) RateWindow() time.Duration { return b.rateSpan }

// NewBounds returns bounds: rates of teams hold in each rateSpan; the repeats
// of a service in each repeatSpan are at most repeatRatio of its requests,
// plus repeatSlack; a cold target gets its tolerated rate times coldOver plus
// coldSlack in a second.
func NewBounds(
	rateSpan, repeatSpan time.Duration, repeatRatio, repeatSlack, coldOver, coldSlack float64,
) Bounds {
	return Bounds{
		rateSpan: rateSpan, repeatSpan: repeatSpan, repeatRatio: repeatRatio, repeatSlack: repeatSlack,
		coldOver: coldOver, coldSlack: coldSlack,
	}
}

const (
	// defaultPatience is how long a caller waits that does not say.
	defaultPatience = 10 * time.Second
	// shortestWork is the least time worth a send.
	shortestWork = 15 * time.Millisecond
	// repeatMargin keeps repeats below their bound, since requests and their
	// repeats reach the targets with different delays.
	repeatMargin = 0.8
)

// Controller holds what one entry host decides with. It is not safe for concurrent
// use.
type Controller struct {
	config  *scheme.Config
	table   *spread.Table
	teams   *quota.Limiter
	bounds  Bounds
	budgets map[ident.Service]*quota.RetryBudget
	splits  map[*scheme.Route]*split
	hosts   int
	share   float64
}

// NewController returns a desk without a configuration. It refuses all requests.
func NewController(zone ident.Zone, region ident.Region, b Bounds) *Controller {
	return &Controller{
		table:   spread.NewTable(zone, region, spread.NewColdBounds(b.coldOver, b.coldSlack)),
		teams:   quota.NewLimiter(b.rateSpan),
		bounds:  b,
		budgets: map[ident.Service]*quota.RetryBudget{},
		splits:  map[*scheme.Route]*split{},
		hosts:   1,
		share:   1,
	}
}

// Configure puts a configuration in force.
func (d *Controller) Configure(c *scheme.Config) {
	d.config = c
	former := map[string]*split{}
	for r, s := range d.splits {
		former[r.Host()+r.Prefix()] = s
	}
	d.splits = map[*scheme.Route]*split{}
	for _, r := range c.Routes() {
		s, ok := former[r.Host()+r.Prefix()]
		if !ok || !s.isFor(r.Services()) {
			s = newSplit(r.Services())
		}
		d.splits[r] = s
		for _, p := range r.Services() {
			service, _ := c.Service(p.Service())
			d.table.SetColdRate(service.Name(), service.ColdRate())
		}
	}
	known := map[ident.Team]bool{}
	for _, t := range c.Teams() {
		known[t.Name()] = true
	}
	d.teams.Retain(func(t ident.Team) bool { return known[t] })
}

// Config returns the configuration in force, or nil.
func (d *Controller) Config() *scheme.Config { return d.config }

// Table returns the table of targets.
func (d *Controller) Table() *spread.Table { return d.table }

// SetHostCount sets the number of entry hosts among which the bounds of the fleet
// are divided.
func (d *Controller) SetHostCount(n int) {
	d.hosts = max(n, 1)
	d.share = 1 / float64(d.hosts)
	d.table.SetShare(d.share)
}

// Demand reports the demand of the teams, for the lender of their rates.
func (d *Controller) Demand(now time.Time) []quota.Demand { return d.teams.Demand(now) }

// ApplyLeases takes over the shares of rates that are lent until the given time, and
// the teams that have used most of their limit.
func (d *Controller) ApplyLeases(shares []quota.Lease, tight []ident.Team, until time.Time) {
	d.teams.ApplyLeases(shares, tight, until)
}

// TargetStats returns the requests of this host that are under way at targets, and
// the results at those that fail.
func (d *Controller) TargetStats(now time.Time) []spread.TargetStats { return d.table.Stats(now) }

// ApplyRemoteStats takes over what other hosts have under way at targets, and their
// results.
func (d *Controller) ApplyRemoteStats(now time.Time, counts []spread.TargetStats) {
	d.table.ApplyRemoteStats(now, counts)
}

// SetEvacuated sets the zones whose targets get nothing.
func (d *Controller) SetEvacuated(now time.Time, zones []ident.Zone) {
	d.table.SetEvacuated(now, zones, func(service ident.Service) time.Duration {
		if d.config == nil {
			return 0
		}
		s, _ := d.config.Service(service)
		return s.ColdFor()
	})
}

// Admit decides a request that has just arrived.
func (d *Controller) Admit(now time.Time, r Request) Decision {
	if d.config == nil {
		return Decision{reason: NotReady, after: time.Second}
	}
	route, ok := d.config.Match(r.host, r.path)
	if !ok {
		return Decision{reason: NoRoute}
	}
	t := &RequestState{
		request: r, route: route, split: d.splits[route], priority: route.Priority(), arrived: now,
		version: d.config.Version(),
	}
	t.deadline = now.Add(d.patience(r, route))
	if reason, wait := d.identify(now, t); reason != "" {
		return Decision{
			ticket: t, reason: reason, after: wait,
			borrow: reason == OverRate && d.teams.CanRequestToken(now, t.team),
		}
	}
	return d.accept(now, t)
}

// AdmitWithToken goes on with a request for which a token of the reserve was taken.
func (d *Controller) AdmitWithToken(now time.Time, t *RequestState) Decision { return d.accept(now, t) }

// TokenDenied notes that the reserve of a team had no token.
func (d *Controller) TokenDenied(now time.Time, team ident.Team) { d.teams.TokenDenied(now, team) }

// accept sends a request that is within its team's rate.
func (d *Controller) accept(now time.Time, t *RequestState) Decision {
	t.service = t.split.next()
	d.budget(t.service).RecordRequest(now)
	return d.send(now, t)
}

func (d *Controller) patience(r Request, route *scheme.Route) time.Duration {
	patience := defaultPatience
	if r.patience > 0 {
		patience = r.patience
	}
	return min(patience, route.Timeout())
}

// identify finds the team of a request and holds it to its rate.
func (d *Controller) identify(now time.Time, t *RequestState) (Reason, time.Duration) {
	if !d.config.HasTeams() || t.route.IsPublic() {
		return "", 0
	}
	if t.request.key == "" {
		return NoKey, 0
	}
	team, ok := d.config.Team(t.request.key)
	if !ok {
		return UnknownKey, 0
	}
	t.team, t.homes = team.Name(), team.Regions()
	t.rate, t.burst = team.Rate(), team.Burst()
	t.priority = team.Priority().Or(t.priority)
	if wait, ok := d.teams.TakeToken(now, team.Name(), team.Rate(), team.Burst(), d.hosts); !ok {
		return OverRate, wait
	}
	return "", 0
}

// Retry decides whether a request is sent once more after a send that did not
// succeed. Only requests that have not run or may run twice come here.
func (d *Controller) Retry(now time.Time, t *RequestState) Decision {
	if t.sends >= t.route.Attempts() {
		return Decision{ticket: t, reason: NoAttempts, after: firstWait}
	}
	if t.deadline.Sub(now) < shortestWork {
		return Decision{ticket: t, reason: OutOfTime}
	}
	if !d.budget(t.service).TryRetry(now, d.share*repeatMargin) {
		return Decision{ticket: t, reason: NoBudget, after: firstWait}
	}
	return d.send(now, t)
}

// firstWait is the time after which a caller may find a target again that
// was full or unreachable.
const firstWait = 100 * time.Millisecond

// RetryUnreached decides where a request goes whose target could not be reached. No
// target got it, so it costs neither an attempt nor a repeat.
func (d *Controller) RetryUnreached(now time.Time, t *RequestState) Decision {
	t.sends--
	if t.deadline.Sub(now) < shortestWork {
		return Decision{ticket: t, reason: OutOfTime}
	}
	return d.send(now, t)
}

func (d *Controller) send(now time.Time, t *RequestState) Decision {
	if t.deadline.Sub(now) < shortestWork {
		return Decision{ticket: t, reason: OutOfTime}
	}
	object := ""
	if t.route.IsSticky() && t.request.object != "" {
		object = t.route.Name() + "\x00" + t.request.object
	}
	c := d.table.Choose(now, spread.NewQuery(
		t.service, object, t.route.LatencyObjective(), t.route.Kind() == scheme.Bulk, t.route.Regions(), t.homes, t.tried))
	if !c.IsFound() {
		reason := NoRoom
		if c.Reason() == spread.NoTarget {
			reason = NoTarget
		}
		return Decision{ticket: t, choice: c, reason: reason, after: max(c.RetryAfter(), firstWait)}
	}
	t.sends++
	t.tried = append(t.tried, c.Target().ID())
	return Decision{ticket: t, choice: c}
}

// RecordResult reports the end of a send.
func (d *Controller) RecordResult(now time.Time, c spread.Choice, v spread.Result, load ident.Option[spread.Load]) {
	d.table.RecordResult(now, c, v, load)
}

func (d *Controller) budget(service ident.Service) *quota.RetryBudget {
	b, ok := d.budgets[service]
	if !ok {
		b = quota.NewRetryBudget(d.bounds.repeatSpan, d.bounds.repeatRatio*repeatMargin, d.bounds.repeatSlack)
		d.budgets[service] = b
	}
	return b
}
