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

// RateSpan returns the window in which the rates of teams hold.
func (b Bounds) RateSpan() time.Duration { return b.rateSpan }

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

// Desk holds what one entry host decides with. It is not safe for concurrent
// use.
type Desk struct {
	config  *scheme.Config
	table   *spread.Table
	teams   *quota.Teams
	bounds  Bounds
	budgets map[ident.Service]*quota.Budget
	splits  map[*scheme.Route]*split
	hosts   int
	share   float64
}

// NewDesk returns a desk without a configuration. It refuses all requests.
func NewDesk(zone ident.Zone, region ident.Region, b Bounds) *Desk {
	return &Desk{
		table:   spread.NewTable(zone, region, spread.NewTerms(b.coldOver, b.coldSlack)),
		teams:   quota.NewTeams(b.rateSpan),
		bounds:  b,
		budgets: map[ident.Service]*quota.Budget{},
		splits:  map[*scheme.Route]*split{},
		hosts:   1,
		share:   1,
	}
}

// Configure puts a configuration in force.
func (d *Desk) Configure(c *scheme.Config) {
	d.config = c
	former := map[string]*split{}
	for r, s := range d.splits {
		former[r.Host()+r.Prefix()] = s
	}
	d.splits = map[*scheme.Route]*split{}
	for _, r := range c.Routes() {
		s, ok := former[r.Host()+r.Prefix()]
		if !ok || !s.isFor(r.Parts()) {
			s = newSplit(r.Parts())
		}
		d.splits[r] = s
		for _, p := range r.Parts() {
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
func (d *Desk) Config() *scheme.Config { return d.config }

// Table returns the table of targets.
func (d *Desk) Table() *spread.Table { return d.table }

// SetHosts sets the number of entry hosts among which the bounds of the fleet
// are divided.
func (d *Desk) SetHosts(n int) {
	d.hosts = max(n, 1)
	d.share = 1 / float64(d.hosts)
	d.table.SetShare(d.share)
}

// Needs reports the demand of the teams, for the lender of their rates.
func (d *Desk) Needs(now time.Time) []quota.Need { return d.teams.Needs(now) }

// Lend takes over the shares of rates that are lent until the given time, and
// the teams that have used most of their limit.
func (d *Desk) Lend(shares []quota.Share, tight []ident.Team, until time.Time) {
	d.teams.Lend(shares, tight, until)
}

// Counts returns the requests of this host that are under way at targets, and
// the results at those that fail.
func (d *Desk) Counts(now time.Time) []spread.Count { return d.table.Counts(now) }

// Observe takes over what other hosts have under way at targets, and their
// results.
func (d *Desk) Observe(now time.Time, counts []spread.Count) { d.table.Observe(now, counts) }

// Evacuate sets the zones whose targets get nothing.
func (d *Desk) Evacuate(now time.Time, zones []ident.Zone) {
	d.table.SetEvacuated(now, zones, func(service ident.Service) time.Duration {
		if d.config == nil {
			return 0
		}
		s, _ := d.config.Service(service)
		return s.ColdFor()
	})
}

// Admit decides a request that has just arrived.
func (d *Desk) Admit(now time.Time, r Request) Decision {
	if d.config == nil {
		return Decision{reason: NotReady, after: time.Second}
	}
	route, ok := d.config.Match(r.host, r.path)
	if !ok {
		return Decision{reason: NoRoute}
	}
	t := &Ticket{
		request: r, route: route, split: d.splits[route], priority: route.Priority(), arrived: now,
		version: d.config.Version(),
	}
	t.deadline = now.Add(d.patience(r, route))
	if reason, wait := d.identify(now, t); reason != "" {
		return Decision{
			ticket: t, reason: reason, after: wait,
			borrow: reason == OverRate && d.teams.MayBorrow(now, t.team),
		}
	}
	return d.accept(now, t)
}

// Paid goes on with a request for which a token of the reserve was taken.
func (d *Desk) Paid(now time.Time, t *Ticket) Decision { return d.accept(now, t) }

// Denied notes that the reserve of a team had no token.
func (d *Desk) Denied(now time.Time, team ident.Team) { d.teams.Denied(now, team) }

// accept sends a request that is within its team's rate.
func (d *Desk) accept(now time.Time, t *Ticket) Decision {
	t.service = t.split.next()
	d.budget(t.service).Request(now)
	return d.send(now, t)
}

func (d *Desk) patience(r Request, route *scheme.Route) time.Duration {
	patience := defaultPatience
	if r.patience > 0 {
		patience = r.patience
	}
	return min(patience, route.Timeout())
}

// identify finds the team of a request and holds it to its rate.
func (d *Desk) identify(now time.Time, t *Ticket) (Reason, time.Duration) {
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
	t.team, t.homes = team.Name(), team.Homes()
	t.rate, t.burst = team.Rate(), team.Burst()
	t.priority = team.Priority().Or(t.priority)
	if wait, ok := d.teams.Take(now, team.Name(), team.Rate(), team.Burst(), d.hosts); !ok {
		return OverRate, wait
	}
	return "", 0
}

// Again decides whether a request is sent once more after a send that did not
// succeed. Only requests that have not run or may run twice come here.
func (d *Desk) Again(now time.Time, t *Ticket) Decision {
	if t.sends >= t.route.Attempts() {
		return Decision{ticket: t, reason: NoAttempts, after: firstWait}
	}
	if t.deadline.Sub(now) < shortestWork {
		return Decision{ticket: t, reason: OutOfTime}
	}
	if !d.budget(t.service).Repeat(now, d.share*repeatMargin) {
		return Decision{ticket: t, reason: NoBudget, after: firstWait}
	}
	return d.send(now, t)
}

// firstWait is the time after which a caller may find a target again that
// was full or unreachable.
const firstWait = 100 * time.Millisecond

// Unsent decides where a request goes whose target could not be reached. No
// target got it, so it costs neither an attempt nor a repeat.
func (d *Desk) Unsent(now time.Time, t *Ticket) Decision {
	t.sends--
	if t.deadline.Sub(now) < shortestWork {
		return Decision{ticket: t, reason: OutOfTime}
	}
	return d.send(now, t)
}

func (d *Desk) send(now time.Time, t *Ticket) Decision {
	if t.deadline.Sub(now) < shortestWork {
		return Decision{ticket: t, reason: OutOfTime}
	}
	object := ""
	if t.route.IsSticky() && t.request.object != "" {
		object = t.route.Name() + "\x00" + t.request.object
	}
	c := d.table.Choose(now, spread.NewQuery(
		t.service, object, t.route.Aim(), t.route.Kind() == scheme.Bulk, t.route.Homes(), t.homes, t.tried))
	if !c.IsFound() {
		reason := NoRoom
		if c.Reason() == spread.NoTarget {
			reason = NoTarget
		}
		return Decision{ticket: t, choice: c, reason: reason, after: max(c.Wait(), firstWait)}
	}
	t.sends++
	t.tried = append(t.tried, c.Target().ID())
	return Decision{ticket: t, choice: c}
}

// Done reports the end of a send.
func (d *Desk) Done(now time.Time, c spread.Choice, v spread.Verdict, load ident.Option[spread.Load]) {
	d.table.Done(now, c, v, load)
}

func (d *Desk) budget(service ident.Service) *quota.Budget {
	b, ok := d.budgets[service]
	if !ok {
		b = quota.NewBudget(d.bounds.repeatSpan, d.bounds.repeatRatio*repeatMargin, d.bounds.repeatSlack)
		d.budgets[service] = b
	}
	return b
}
