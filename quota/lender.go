package quota

import (
	"time"

	"rhubarbrack/ident"
)

const (
	// LendTime is how long a share is lent. A host out of contact has only
	// its standing share after it.
	LendTime = 6 * time.Second
	// takeOverTime is how long a new lender lends nothing but what hosts hold
	// already. By then all hosts in contact have reported what they hold, and
	// a predecessor that was cut off has noticed.
	takeOverTime = 2 * time.Second
	// needMemory is how long the report of a host counts.
	needMemory = 2 * time.Second
	// headroom is by how much a share exceeds the demand that it is for.
	headroom = 1.3
)

// Need is the demand of a team on one host, in parts of the team's rate: what
// was asked in the last window, and the share that the host holds.
type Need struct {
	team  ident.Team
	asked float64
	held  float64
}

// NewNeed returns a need.
func NewNeed(team ident.Team, asked, held float64) Need {
	return Need{team: team, asked: asked, held: held}
}

// Team returns the team.
func (n Need) Team() ident.Team { return n.team }

// Asked returns the requests that arrived.
func (n Need) Asked() float64 { return n.asked }

// Held returns the share that is lent to the host.
func (n Need) Held() float64 { return n.held }

// Share is a part of a team's rate that is lent to a host.
type Share struct {
	team  ident.Team
	share float64
}

// NewShare returns a share.
func NewShare(team ident.Team, share float64) Share { return Share{team: team, share: share} }

// Team returns the team.
func (s Share) Team() ident.Team { return s.team }

// Share returns the part of the team's rate.
func (s Share) Share() float64 { return s.share }

// Lender lends the parts of rates that are not standing to hosts, by their
// demand. What is lent to all hosts together never exceeds the whole, also
// when a lender takes over from another. It is not safe for concurrent use.
type Lender struct {
	since time.Time
	teams map[ident.Team]map[ident.Host]*loan
	// reserve holds the tokens that are given out one by one.
	reserve map[ident.Team]*bucket
}

// bucket is the reserve of a team.
type bucket struct {
	tokens float64
	filled time.Time
}

// loan is what the lender knows of a team on one host.
type loan struct {
	need     float64
	reported time.Time
	out      float64
	until    time.Time
}

// NewLender returns a lender that takes over at the given time.
func NewLender(since time.Time) *Lender {
	return &Lender{since: since, teams: map[ident.Team]map[ident.Host]*loan{}, reserve: map[ident.Team]*bucket{}}
}

// Lend answers the report of a host, one of the given number.
func (l *Lender) Lend(now time.Time, host ident.Host, hosts int, needs []Need) []Share {
	list := make([]Share, len(needs))
	for i, n := range needs {
		list[i] = NewShare(n.team, l.lend(now, host, hosts, n))
	}
	return list
}

// Token takes a token from the reserve of a team with the given rate in
// requests per second and burst, and reports whether there was one. The
// reserve of a new lender is empty, since its predecessor may have used it.
func (l *Lender) Token(now time.Time, team ident.Team, rate, burst float64, span time.Duration) bool {
	b, ok := l.reserve[team]
	if !ok {
		b = &bucket{filled: now}
		l.reserve[team] = b
	}
	passed := max(0, now.Sub(b.filled).Seconds())
	b.tokens = min(b.tokens+passed*Reserve*flow(rate, burst, span), max(1, Reserve*burst))
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (l *Lender) lend(now time.Time, host ident.Host, hosts int, n Need) float64 {
	loans, ok := l.teams[n.team]
	if !ok {
		loans = map[ident.Host]*loan{}
		l.teams[n.team] = loans
	}
	own, ok := loans[host]
	if !ok {
		own = &loan{}
		loans[host] = own
	}
	standing := Standing / float64(max(hosts, 1))
	own.need, own.reported = max(0, n.asked*headroom-standing), now
	free, needed, count := Lent, 0.0, 0
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
	share := own.need + (Lent-needed)/float64(count)
	if needed > Lent {
		share = Lent * own.need / needed
	}
	if now.Sub(l.since) < takeOverTime {
		share = n.held
	}
	share = max(0, min(share, free))
	own.out, own.until = max(share, n.held), now.Add(LendTime)
	return share
}
