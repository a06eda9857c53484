package mesh

import (
	"time"

	"rhubarbrack/ident"
)

// countReport is what an entry host reported of targets.
type countReport struct {
	at     time.Time
	counts []TargetStatsRecord
}

// countMemory is how long a report of targets counts.
const countMemory = time.Second

// busyPart is the part of its slots that a target has in use when entry hosts
// learn of it. They find less busy targets by themselves.
const busyPart = 0.4

const (
	// failedSends is the number of failed sends of all hosts from which a
	// target counts as failing. Single failures are usual.
	failedSends = 3
	// failedHosts is the number of hosts that must have seen them: one host
	// alone may have lost its own way to the target.
	failedHosts = 2
)

// targetSum adds up the reports on a target.
type targetSum struct {
	all TargetStatsRecord
	own TargetStatsRecord
	// failing is the number of hosts at which sends failed.
	failing int
}

// others adds up what the hosts but one have under way at busy targets, and
// the results of all hosts but that one at failing targets.
func (h *hub) others(now time.Time, without ident.Host) []TargetStatsRecord {
	if h.list == nil {
		return nil
	}
	sums := map[string]*targetSum{}
	for host, r := range h.counts {
		if now.Sub(r.at) > countMemory {
			delete(h.counts, host)
			continue
		}
		for _, c := range r.counts {
			s, ok := sums[c.Target]
			if !ok {
				s = &targetSum{}
				sums[c.Target] = s
			}
			s.add(c, host == without)
		}
	}
	var list []TargetStatsRecord
	for _, t := range h.list.targets {
		s, ok := sums[string(t.id)]
		if !ok {
			continue
		}
		record := TargetStatsRecord{Target: string(t.id), Running: s.all.Running - s.own.Running}
		fails := s.all.Failed >= failedSends && s.failing >= failedHosts
		if fails {
			record.Failed, record.Served = s.all.Failed-s.own.Failed, s.all.Served-s.own.Served
		}
		if fails || float64(s.all.Running) >= busyPart*float64(t.slots) {
			list = append(list, record)
		}
	}
	return list
}

func (s *targetSum) add(c TargetStatsRecord, own bool) {
	s.all.Running += c.Running
	s.all.Failed += c.Failed
	s.all.Served += c.Served
	if c.Failed > 0 {
		s.failing++
	}
	if own {
		s.own = c
	}
}
