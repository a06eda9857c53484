package quota

import (
	"slices"
	"time"

	"rhubarbrack/ident"
)

const (
	// LeaseTime is how long a lease is valid. After it, a host without contact
	// to the allocator has only its static share.
	LeaseTime = 6 * time.Second
	// takeoverTime is how long a new allocator grants only what hosts already
	// hold. By then all hosts in contact have reported their leases, and a
	// predecessor that was cut off has noticed.
	takeoverTime = 2 * time.Second
	// demandLifetime is how long the report of a host is taken into account.
	demandLifetime = 2 * time.Second
	// headroom is the factor by which the static share and the lease of a host
	// together exceed its demand.
	headroom = 1.3
	// minReserveCapacity is the least capacity of a team's reserve, in tokens:
	// the requests of small teams arrive in bursts.
	minReserveCapacity = 6.0
	// maxUnusedRate limits the tokens per second that a team's reserve gains
	// from shares that hosts do not use, while the team is below nearLimitUse.
	// Hosts may start to use them before their reports show it.
	maxUnusedRate = 6.0
	// nearLimitUse is the used part of a limit from which a team is near its
	// limit. Hosts with a share of less than one token then no longer keep a
	// whole one.
	nearLimitUse = 0.75
)

// Demand is the demand of a team on one host over the last window. The
// requests and the lease are fractions of the team's rate, and the admitted
// requests are a fraction of the team's limit.
type Demand struct {
	team      ident.Team
	requested float64
	admitted  float64
	leased    float64
}

// NewDemand returns a demand.
func NewDemand(team ident.Team, requested, admitted, leased float64) Demand {
	return Demand{team: team, requested: requested, admitted: admitted, leased: leased}
}

// Team returns the team.
func (d Demand) Team() ident.Team { return d.team }

// Requested returns the requests that arrived.
func (d Demand) Requested() float64 { return d.requested }

// Admitted returns the requests that the host admitted without tokens of the
// reserve.
func (d Demand) Admitted() float64 { return d.admitted }

// Leased returns the share that the host has on lease.
func (d Demand) Leased() float64 { return d.leased }

// Lease is a share of a team's rate that is leased to a host.
type Lease struct {
	team  ident.Team
	share float64
}

// NewLease returns a lease.
func NewLease(team ident.Team, share float64) Lease { return Lease{team: team, share: share} }

// Team returns the team.
func (l Lease) Team() ident.Team { return l.team }

// Share returns the leased fraction of the team's rate.
func (l Lease) Share() float64 { return l.share }

// Allocator leases shares of team rates to hosts by their demand, and hands
// out the tokens of the reserve one by one. The leases of all hosts together
// never exceed LeasedShare, even when another allocator takes over. It is not
// safe for concurrent use.
type Allocator struct {
	// since is when the allocator took over.
	since time.Time
	teams map[ident.Team]*teamState
}

// teamState is the allocator's state of one team.
type teamState struct {
	hosts map[ident.Host]*hostState
	// localUse is the fraction of the limit that hosts admitted by themselves,
	// as of localUseAt.
	localUse   float64
	localUseAt time.Time
	// tokens is the token balance of the reserve as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// granted counts the tokens handed out from the reserve, and tokenShare is
	// the fraction of the limit that one token stands for.
	granted    *Window
	tokenShare float64
}

// hostState is the allocator's state of one team on one host. The demand is
// the part of the host's demand that exceeds its static share.
type hostState struct {
	demand     float64
	admitted   float64
	reportedAt time.Time
	leased     float64
	until      time.Time
}

// NewAllocator returns an allocator that takes over at the given time.
func NewAllocator(since time.Time) *Allocator {
	return &Allocator{since: since, teams: map[ident.Team]*teamState{}}
}

func (a *Allocator) teamState(team ident.Team) *teamState {
	t, ok := a.teams[team]
	if !ok {
		t = &teamState{hosts: map[ident.Host]*hostState{}}
		a.teams[team] = t
	}
	return t
}

// Allocate returns the leases for a host that reports the given demands, one
// of hostCount hosts.
func (a *Allocator) Allocate(now time.Time, host ident.Host, hostCount int, demands []Demand) []Lease {
	list := make([]Lease, len(demands))
	for i, d := range demands {
		list[i] = NewLease(d.team, a.allocate(now, host, hostCount, d))
	}
	return list
}

// NearLimit returns the teams near their limit, in ascending order.
func (a *Allocator) NearLimit(now time.Time) []ident.Team {
	var list []ident.Team
	for name, t := range a.teams {
		if t.use(now) >= nearLimitUse {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// TakeToken takes a token from the reserve of a team with the given rate in
// requests per second and burst, and reports whether there was one. Shares
// that hosts do not use flow into the reserve. The reserve of a new allocator
// starts empty, since its predecessor may have used it.
func (a *Allocator) TakeToken(now time.Time, team ident.Team, rate, burst float64, window time.Duration) bool {
	t := a.teamState(team)
	if t.granted == nil {
		t.granted, t.refilledAt = NewWindow(window), a.since
	}
	refill := refillRate(rate, burst, window)
	limit := windowLimit(rate, burst, window)
	t.tokenShare = 1 / limit
	use := t.use(now)
	unused := 0.0
	if now.Sub(a.since) >= takeoverTime {
		unused = max(0, (StaticShare+LeasedShare)*refill-t.localUse*limit/window.Seconds())
		if use < nearLimitUse {
			unused = min(unused, maxUnusedRate)
		}
	}
	elapsed := max(0, now.Sub(t.refilledAt).Seconds())
	t.tokens = min(t.tokens+elapsed*(ReserveShare*refill+unused), max(minReserveCapacity, ReserveShare*burst))
	t.refilledAt = now
	if t.tokens < 1 || use >= 1 {
		return false
	}
	t.tokens--
	t.granted.Add(now, 1)
	return true
}

// maxLocalUseAge is how long the sum of the hosts' reported use is cached.
const maxLocalUseAge = 50 * time.Millisecond

// use returns the fraction of the team's limit that was used in the last
// window, as far as reports show.
func (t *teamState) use(now time.Time) float64 {
	if t.localUseAt.IsZero() || now.Sub(t.localUseAt) > maxLocalUseAge {
		t.localUse, t.localUseAt = 0, now
		for _, h := range t.hosts {
			if now.Sub(h.reportedAt) <= demandLifetime {
				t.localUse += h.admitted
			}
		}
	}
	if t.granted == nil {
		return t.localUse
	}
	return t.localUse + t.granted.Sum(now)*t.tokenShare
}

// allocate returns the share to lease to a host. Each host gets its demand and
// an equal part of what remains or, if the demand exceeds LeasedShare, a
// proportional part.
func (a *Allocator) allocate(now time.Time, host ident.Host, hostCount int, d Demand) float64 {
	hosts := a.teamState(d.team).hosts
	own, ok := hosts[host]
	if !ok {
		own = &hostState{}
		hosts[host] = own
	}
	static := StaticShare / float64(max(hostCount, 1))
	own.demand, own.admitted, own.reportedAt = max(0, d.requested*headroom-static), d.admitted, now
	free, total, count := LeasedShare, 0.0, 0
	for name, h := range hosts {
		if name != host && now.Before(h.until) {
			free -= h.leased
		}
		switch {
		case now.Sub(h.reportedAt) <= demandLifetime:
			total += h.demand
			count++
		case now.After(h.until):
			delete(hosts, name)
		}
	}
	share := own.demand + (LeasedShare-total)/float64(count)
	if total > LeasedShare {
		share = LeasedShare * own.demand / total
	}
	if now.Sub(a.since) < takeoverTime {
		share = d.leased
	}
	share = max(0, min(share, free))
	own.leased, own.until = max(share, d.leased), now.Add(LeaseTime)
	return share
}
