package quota

import (
	"slices"
	"time"

	"rhubarbrack/ident"
)

const (
	// LeaseTime is how long a share is lent. A host out of contact has only
	// its standing share after it.
	LeaseTime = 6 * time.Second
	// takeOverTime is how long a new lender lends nothing but what hosts hold
	// already. By then all hosts in contact have reported what they hold, and
	// a predecessor that was cut off has noticed.
	takeOverTime = 2 * time.Second
	// needMemory is how long the report of a host counts.
	needMemory = 2 * time.Second
	// headroom is by how much a share exceeds the demand that it is for.
	headroom = 1.3
	// leastReserve is the least number of tokens that the reserve of a team
	// holds when it is full: requests of small teams arrive in clumps.
	leastReserve = 6.0
	// spareRate bounds the tokens per second that flow into the reserve of a
	// team because hosts do not use their shares. Hosts may begin to use them
	// before their reports show it.
	spareRate = 6.0
	// tightUse is the used part of a limit from which a team is tight: hosts
	// then hold no whole token on account of a smaller share.
	tightUse = 0.75
)

// Demand is the demand of a team on one host: what was asked in the last window
// and the share that the host holds, in parts of the team's rate, and what the
// host admitted by itself, in parts of the team's limit.
type Demand struct {
	team  ident.Team
	asked float64
	taken float64
	held  float64
}

// NewDemand returns a need.
func NewDemand(team ident.Team, asked, taken, held float64) Demand {
	return Demand{team: team, asked: asked, taken: taken, held: held}
}

// Team returns the team.
func (n Demand) Team() ident.Team { return n.team }

// Requested returns the requests that arrived.
func (n Demand) Requested() float64 { return n.asked }

// Admitted returns the requests that the host admitted without the reserve.
func (n Demand) Admitted() float64 { return n.taken }

// Leased returns the share that is lent to the host.
func (n Demand) Leased() float64 { return n.held }

// Lease is a part of a team's rate that is lent to a host.
type Lease struct {
	team  ident.Team
	share float64
}

// NewLease returns a share.
func NewLease(team ident.Team, share float64) Lease { return Lease{team: team, share: share} }

// Team returns the team.
func (s Lease) Team() ident.Team { return s.team }

// Share returns the part of the team's rate.
func (s Lease) Share() float64 { return s.share }

// Allocator lends the parts of rates that are not standing to hosts, by their
// demand, and gives out the reserve token by token. What is lent to all hosts
// together never exceeds the whole, also when a lender takes over from
// another. It is not safe for concurrent use.
type Allocator struct {
	since time.Time
	teams map[ident.Team]*account
}

// account is what the lender knows of a team.
type account struct {
	loans map[ident.Host]*loan
	// local is the part of the limit that hosts admitted by themselves, as of
	// localAt.
	local   float64
	localAt time.Time
	// tokens is the reserve.
	tokens float64
	filled time.Time
	// given counts the tokens of the reserve, in requests, and givenPart is
	// the part of the limit that one of them is.
	given     *Window
	givenPart float64
}

// loan is what the lender knows of a team on one host.
type loan struct {
	need     float64
	taken    float64
	reported time.Time
	out      float64
	until    time.Time
}

// NewAllocator returns a lender that takes over at the given time.
func NewAllocator(since time.Time) *Allocator {
	return &Allocator{since: since, teams: map[ident.Team]*account{}}
}

func (l *Allocator) account(team ident.Team) *account {
	a, ok := l.teams[team]
	if !ok {
		a = &account{loans: map[ident.Host]*loan{}}
		l.teams[team] = a
	}
	return a
}

// Allocate answers the report of a host, one of the given number.
func (l *Allocator) Allocate(now time.Time, host ident.Host, hosts int, needs []Demand) []Lease {
	list := make([]Lease, len(needs))
	for i, n := range needs {
		list[i] = NewLease(n.team, l.lend(now, host, hosts, n))
	}
	return list
}

// NearLimit returns the teams that have used most of their limit, in ascending
// order.
func (l *Allocator) NearLimit(now time.Time) []ident.Team {
	var list []ident.Team
	for name, a := range l.teams {
		if a.use(now) >= tightUse {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// TakeToken takes a token from the reserve of a team with the given rate in
// requests per second and burst, and reports whether there was one. Shares
// that hosts do not use flow into the reserve. The reserve of a new lender
// fills from nothing, since its predecessor may have used it.
func (l *Allocator) TakeToken(now time.Time, team ident.Team, rate, burst float64, span time.Duration) bool {
	a := l.account(team)
	if a.given == nil {
		a.given, a.filled = NewWindow(span), l.since
	}
	supply := flow(rate, burst, span)
	most := limit(rate, burst, span)
	a.givenPart = 1 / most
	use := a.use(now)
	spare := 0.0
	if now.Sub(l.since) >= takeOverTime {
		spare = max(0, (StaticShare+LeasedShare)*supply-a.local*most/span.Seconds())
		if use < tightUse {
			spare = min(spare, spareRate)
		}
	}
	passed := max(0, now.Sub(a.filled).Seconds())
	a.tokens = min(a.tokens+passed*(ReserveShare*supply+spare), max(leastReserve, ReserveShare*burst))
	a.filled = now
	if a.tokens < 1 || use >= 1 {
		return false
	}
	a.tokens--
	a.given.Add(now, 1)
	return true
}

// localAge is how old the sum of what hosts admitted by themselves may be.
const localAge = 50 * time.Millisecond

// use returns the part of the team's limit that was used in the last window,
// as far as the reports tell.
func (a *account) use(now time.Time) float64 {
	if a.localAt.IsZero() || now.Sub(a.localAt) > localAge {
		a.local, a.localAt = 0, now
		for _, o := range a.loans {
			if now.Sub(o.reported) <= needMemory {
				a.local += o.taken
			}
		}
	}
	if a.given == nil {
		return a.local
	}
	return a.local + a.given.Sum(now)*a.givenPart
}

func (l *Allocator) lend(now time.Time, host ident.Host, hosts int, n Demand) float64 {
	loans := l.account(n.team).loans
	own, ok := loans[host]
	if !ok {
		own = &loan{}
		loans[host] = own
	}
	standing := StaticShare / float64(max(hosts, 1))
	own.need, own.taken, own.reported = max(0, n.asked*headroom-standing), n.taken, now
	free, needed, count := LeasedShare, 0.0, 0
	for name, o := range loans {
		if name != host && now.Before(o.until) {
			free -= o.out
		}
		switch {
		case now.Sub(o.reported) <= needMemory:
			needed += o.need
			count++
		case now.After(o.until):
			delete(loans, name)
		}
	}
	share := own.need + (LeasedShare-needed)/float64(count)
	if needed > LeasedShare {
		share = LeasedShare * own.need / needed
	}
	if now.Sub(l.since) < takeOverTime {
		share = n.held
	}
	share = max(0, min(share, free))
	own.out, own.until = max(share, n.held), now.Add(LeaseTime)
	return share
}
