package entry

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/limit"
)

// rateShard is the state of a shard that this host owns.
type rateShard struct {
	owner *limit.Owner
	// reporting contains the holders whose complete report has been requested
	// and has not arrived.
	reporting map[limit.HolderID]struct{}
	// recalls contains the recalls in flight by team.
	recalls   map[ident.Team]*rateRecall
	teams     map[ident.Team]struct{}
	recovered bool
}

// rateRecall counts the calls of a recall that are in flight and collects the
// refused requests that wait for the tokens of other holders.
type rateRecall struct {
	pending int
	waiting []rateGrant
}

func newRateShard(o *limit.Owner) *rateShard {
	return &rateShard{
		owner:     o,
		reporting: map[limit.HolderID]struct{}{},
		recalls:   map[ident.Team]*rateRecall{},
		teams:     map[ident.Team]struct{}{},
	}
}

// setLimits applies the limits of the teams of this shard.
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

// recallDone records the end of one call of a recall. After the last one it
// replies to the requests that waited for the recall.
func (s *rateShard) recallDone(t ident.Team, now time.Time) {
	c, ok := s.recalls[t]
	if !ok {
		return
	}
	c.pending--
	if c.pending > 0 {
		return
	}
	delete(s.recalls, t)
	for _, m := range c.waiting {
		m.reply.Send(s.owner.RetryGrant(m.request, now))
	}
}

// rejectWaiting replies to the waiting requests that this host is not the
// owner.
func (s *rateShard) rejectWaiting() {
	for t, c := range s.recalls {
		for _, m := range c.waiting {
			m.reply.Send(limit.ResponseTo(m.request, limit.NotOwner, rateTickInterval))
		}
		delete(s.recalls, t)
	}
}
