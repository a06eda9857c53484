package entry

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/limit"
)

// rateShard is a shard that this host owns.
type rateShard struct {
	owner *limit.Owner
	// asked holds the holders whose complete report is under way.
	asked map[limit.HolderID]struct{}
	// recalls holds the teams whose tokens are being handed back.
	recalls map[ident.Team]*rateRecall
	teams   map[ident.Team]struct{}
	served  bool
}

// rateRecall collects the refused requests that wait for tokens of other
// holders.
type rateRecall struct {
	open    int
	waiting []rateGrant
}

func newRateShard(o *limit.Owner) *rateShard {
	return &rateShard{
		owner:   o,
		asked:   map[limit.HolderID]struct{}{},
		recalls: map[ident.Team]*rateRecall{},
		teams:   map[ident.Team]struct{}{},
	}
}

// setLimits passes the limits of the teams of this shard on.
func (s *rateShard) setLimits(shard int, l RateLimits, now time.Time) {
	for t := range s.teams {
		if _, ok := l.limits[t]; !ok {
			s.owner.RemoveLimit(t)
			delete(s.teams, t)
		}
	}
	for t, v := range l.limits {
		if limit.Shard(t, l.shards) != shard {
			continue
		}
		if known, ok := s.owner.Limit(t); !ok || known != v {
			s.owner.SetLimit(t, v, now)
			s.teams[t] = struct{}{}
		}
	}
}

// recalled notes the end of one call of a recall. After the last one the
// requests that waited for it are answered.
func (s *rateShard) recalled(t ident.Team, now time.Time) {
	c, ok := s.recalls[t]
	if !ok {
		return
	}
	c.open--
	if c.open > 0 {
		return
	}
	delete(s.recalls, t)
	for _, m := range c.waiting {
		m.reply.Send(s.owner.RetryGrant(m.request, now))
	}
}

// drop answers the requests that wait.
func (s *rateShard) drop() {
	for t, c := range s.recalls {
		for _, m := range c.waiting {
			m.reply.Send(limit.ResponseTo(m.request, limit.NotOwner, rateTick))
		}
		delete(s.recalls, t)
	}
}
