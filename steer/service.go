package steer

import (
	"math"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// service holds the targets and the queues of one service.
type service struct {
	settings Service
	targets  []*target
	// scores and zones are indexed like targets. They are kept apart so that
	// the choice reads two dense arrays.
	scores []float64
	zones  []int
	cursor int

	urgent *group
	normal *group

	// usable is the sum of the targets' limits, free what is not in use.
	usable int
	free   int
	// open is set when slots are granted before the pool is open as a whole.
	open bool
	// timeout is the longest one since the pool was made: requests that began
	// before a change end by the former one.
	timeout   time.Duration
	hold      float64
	median    float64
	latencies []float64
}

func newService(settings Service) *service {
	return &service{settings: settings, urgent: newGroup(), normal: newGroup()}
}

func (s *service) group(urgent bool) *group {
	if urgent {
		return s.urgent
	}
	return s.normal
}

// relist rebuilds the dense arrays after a change of the targets.
func (s *service) relist(targets []*target, now time.Time, o options) {
	s.targets = targets
	s.scores = make([]float64, len(targets))
	s.zones = make([]int, len(targets))
	s.cursor = 0
	s.free = 0
	for i, t := range targets {
		t.index = i
		t.room = 0
		s.zones[i] = t.zone
	}
	s.refresh(now, o)
}

// rescore updates the score and the free slots of one target.
func (s *service) rescore(t *target, now time.Time) {
	s.scores[t.index] = t.score(now)
	room := max(0, t.limitOrZero(now)-t.inFlight)
	s.free += room - t.room
	t.room = room
}

// hasRoom reports whether a slot is free for the class. The slots that are
// kept for urgent classes are counted among those usable now: ejected,
// leaving and ramping targets have none to spare.
func (s *service) hasRoom(urgent bool) bool {
	if urgent {
		return s.free > 0
	}
	return s.free > s.kept()
}

// kept returns how many slots must stay free for urgent classes. At least one
// is left to the others, so that a small service is not closed to them.
func (s *service) kept() int {
	kept := int(math.Ceil(s.settings.headroom * float64(s.usable)))
	return max(0, min(kept, s.usable-1))
}

// choose returns the target with the lowest score that admits the ask, or
// nil. Equal scores are served in turn.
func (s *service) choose(zone int, penalty float64, admits func(*target) bool) *target {
	best, bestScore := -1, math.Inf(1)
	n := len(s.scores)
	for i := range n {
		j := s.cursor + i
		if j >= n {
			j -= n
		}
		score := s.scores[j]
		if score >= bestScore {
			continue
		}
		if zone != 0 && s.zones[j] != zone {
			score += penalty
			if score >= bestScore {
				continue
			}
		}
		if admits != nil && !admits(s.targets[j]) {
			continue
		}
		best, bestScore = j, score
	}
	if best < 0 {
		return nil
	}
	s.cursor = (best + 1) % n
	return s.targets[best]
}

// observeHold takes the time that a grant was in use into account.
func (s *service) observeHold(d time.Duration) {
	if s.hold == 0 {
		s.hold = float64(d)
		return
	}
	s.hold += smoothing * (float64(d) - s.hold)
}

// wait estimates how long a new ask waits, or zero when nothing is known.
func (s *service) wait(a SlotRequest) time.Duration {
	slots := s.usable
	if !a.class.urgent {
		slots -= s.kept()
	}
	if slots == 0 || s.hold == 0 {
		return 0
	}
	ahead := s.group(a.class.urgent).ahead(a)
	if !a.class.urgent {
		ahead += s.urgent.waiting()
	}
	return time.Duration(float64(ahead+1) * s.hold / float64(slots))
}

// serves reports whether some target could ever take the ask.
func (s *service) serves(a SlotRequest) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool {
		return !t.leaving() && !slices.Contains(a.avoid, t.entry.id)
	})
}

// zoneIndex numbers zones from 1, so that 0 stands for none.
type zoneIndex map[ident.Zone]int

func (z zoneIndex) of(name ident.Zone) int {
	if name == "" {
		return 0
	}
	i, ok := z[name]
	if !ok {
		i = len(z) + 1
		z[name] = i
	}
	return i
}
