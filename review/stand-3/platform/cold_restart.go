package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// coldFactor is by how much a server that is cold works more slowly.
	coldFactor = 2
	// crashRate is the rate from which a server that is cold crashes, in requests a
	// second. It is well above the rate that it tolerates, and above the bound.
	crashRate = 3 * coldRate
)

// coldBound is how many requests a server that is cold may get in a second.
const coldBound = coldRate*coldOverage + coldSlack

// coldRestart lets one server crash. It starts again 0.45 seconds later, at its address
// and under its ID, and is cold. Its earlier entry stays on the list until then; the
// new one shows after the lag of the list.
func coldRestart(t *trial) ([]string, error) {
	const service = "wuno96b"
	var servers []*server
	for i := range 8 {
		z := zones[i%3]
		s, err := startServer(t.record, fmt.Sprintf("i-%04x", 0xb001+i), service, z.zone, t.network.at(t.network.machine(), portServer), 6, 25*time.Millisecond)
		if err != nil {
			return nil, err
		}
		defer s.end()
		servers = append(servers, s)
	}
	if err := t.begin(service, servers); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(t.ctx)
	defer stop()
	t.clients.run(ctx, 125)
	t.sleepUntil(6)
	if t.trouble {
		if err := t.restartCold(servers); err != nil {
			return nil, err
		}
		defer servers[0].end()
	}
	t.sleepUntil(14)
	stop()
	t.clients.wait()
	if ended := t.fleet.hasEnded(); len(ended) > 0 {
		return nil, fmt.Errorf("processes ended by themselves: %v", ended)
	}
	return t.floods(servers[0]), nil
}

// restartCold replaces the process of the first server.
func (t *trial) restartCold(servers []*server) error {
	old := servers[0]
	old.end()
	t.record.say("server %s crashes", old.id)
	t.sleepUntil(6.45)
	s, err := startServer(t.record, old.id, old.service, old.zone, old.address, old.slots, coldFactor*old.work)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	s.cold = s.born.Add(coldDuration)
	s.onRun = func(now time.Time) bool {
		return now.Before(s.cold) && float64(s.arrivedSince(now.Add(-time.Second))) > crashRate
	}
	s.mutex.Unlock()
	servers[0] = s
	t.list(servers)
	t.record.say("server %s is back under its ID, and cold for %v", s.id, coldDuration)
	return nil
}

// arrivedSince counts the requests that arrived after a time. The caller holds the
// mutex.
func (s *server) arrivedSince(since time.Time) int {
	n := 0
	for _, a := range s.arrivals {
		if a.at.After(since) {
			n++
		}
	}
	return n
}

// floods returns the seconds in which a server that was cold got more requests than
// the bound. Only requests count that were sent and arrived inside that second.
func (t *trial) floods(s *server) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.cold.IsZero() {
		return nil
	}
	var violations []string
	worst, worstAt := 0, time.Time{}
	for _, first := range s.arrivals {
		from := first.at.Add(-time.Millisecond)
		n := 0
		for _, a := range s.arrivals {
			request, ok := t.clients.get(a.id)
			if ok && !request.at.Before(from) && a.at.Sub(from) < time.Second && a.at.Before(s.cold) && !a.at.Before(from) {
				n++
			}
		}
		if n > worst {
			worst, worstAt = n, from
		}
	}
	t.record.say("most requests to %s in a second while it was cold: %d, bound %.1f", s.id, worst, coldBound)
	if float64(worst) > coldBound {
		violations = append(violations, fmt.Sprintf("FAILBACK: %s, cold since %.3f, gets %d requests in the second from %.3f on, %.1f are allowed",
			s.id, t.record.seconds(s.born), worst, t.record.seconds(worstAt), coldBound))
	}
	return violations
}
