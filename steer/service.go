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
	// scores and targetZones are indexed like targets. They are separate
	// arrays so that the choice of a target reads dense memory.
	scores      []float64
	targetZones []int
	cursor      int

	urgent *priorityGroup
	normal *priorityGroup

	// usableSlots is the sum of the targets' concurrency limits, and
	// freeSlots the part of it that is not in use.
	usableSlots int
	freeSlots   int
	// open is set when slots are granted before the pool is open as a whole.
	open bool
	// timeout is the longest one set since the pool was created: requests that
	// began before a change keep the former timeout.
	timeout       time.Duration
	meanHold      float64
	medianLatency float64
	latencies     []float64
}

func newService(settings Service) *service {
	return &service{settings: settings, urgent: newPriorityGroup(), normal: newPriorityGroup()}
}

func (s *service) group(urgent bool) *priorityGroup {
	if urgent {
		return s.urgent
	}
	return s.normal
}

// setTargets replaces the targets and rebuilds the arrays indexed like them.
func (s *service) setTargets(targets []*target, now time.Time, o options) {
	s.targets = targets
	s.scores = make([]float64, len(targets))
	s.targetZones = make([]int, len(targets))
	s.cursor = 0
	s.freeSlots = 0
	for i, t := range targets {
		t.index = i
		t.freeSlots = 0
		s.targetZones[i] = t.zone
	}
	s.refresh(now, o)
}

// updateScore updates the score and the free slots of one target.
func (s *service) updateScore(t *target, now time.Time) {
	s.scores[t.index] = t.score(now)
	free := max(0, t.usableLimit(now)-t.inFlight)
	s.freeSlots += free - t.freeSlots
	t.freeSlots = free
}

// hasFreeSlot reports whether a slot is free for urgent or other classes. The
// headroom for urgent classes is a share of the slots that are usable now, not
// of all slots of targets that are ejected, leaving or in slow start.
func (s *service) hasFreeSlot(urgent bool) bool {
	if urgent {
		return s.freeSlots > 0
	}
	return s.freeSlots > s.reservedSlots()
}

// reservedSlots returns how many slots are reserved for urgent classes. At
// least one slot remains for the others, so that a small service still serves
// them.
func (s *service) reservedSlots() int {
	reserved := int(math.Ceil(s.settings.headroom * float64(s.usableSlots)))
	return max(0, min(reserved, s.usableSlots-1))
}

// chooseTarget returns the target with the lowest score for which admits
// returns true, or nil. The penalty is added to the scores of targets in other
// zones. Targets with equal scores are chosen round robin.
func (s *service) chooseTarget(zone int, penalty float64, admits func(*target) bool) *target {
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
		if zone != 0 && s.targetZones[j] != zone {
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

// recordHold adds the time that a grant was in use to the moving average.
func (s *service) recordHold(d time.Duration) {
	if s.meanHold == 0 {
		s.meanHold = float64(d)
		return
	}
	s.meanHold += ewmaWeight * (float64(d) - s.meanHold)
}

// estimateWait estimates how long a new request waits. It returns zero if no
// slot is usable or no grant has ended yet.
func (s *service) estimateWait(req SlotRequest) time.Duration {
	slots := s.usableSlots
	if !req.class.urgent {
		slots -= s.reservedSlots()
	}
	if slots == 0 || s.meanHold == 0 {
		return 0
	}
	ahead := s.group(req.class.urgent).estimateAhead(req)
	if !req.class.urgent {
		ahead += s.urgent.waiting()
	}
	return time.Duration(float64(ahead+1) * s.meanHold / float64(slots))
}

// canServe reports whether any target that is not leaving may serve the
// request.
func (s *service) canServe(req SlotRequest) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool {
		return !t.isLeaving() && !slices.Contains(req.avoid, t.entry.id)
	})
}

// zoneIndex numbers zones from 1, so that 0 stands for no zone.
type zoneIndex map[ident.Zone]int

func (z zoneIndex) number(name ident.Zone) int {
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
