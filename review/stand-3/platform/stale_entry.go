package main

import (
	"context"
	"fmt"
	"time"
)

// staleEntry lets a server leave as planned. Six seconds after the list showed that, its
// entry comes from another writer, for three seconds: it lacks the fields Version,
// ColdRemainingMs and born, and still says that the server is ready. Such an entry
// names no server to use. The server ends while it stands.
func staleEntry(t *trial) ([]string, error) {
	const service = "wuno96b"
	var servers []*server
	for i := range 8 {
		z := zones[i%3]
		s, err := startServer(t.record, fmt.Sprintf("i-%04x", 0xa001+i), service, z.zone, t.network.at(t.network.machine(), portServer), 12, 700*time.Millisecond)
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
	t.clients.run(ctx, 25)
	leaver := servers[0]
	t.sleepUntil(5)
	leaver.leave()
	t.list(servers)
	shownAt := time.Now().Add(listLag)
	t.record.say("server %s is to leave; the list shows it as draining after its lag", leaver.id)
	t.sleepUntil(11)
	if t.trouble {
		t.list(servers, entry{
			"Id": leaver.id, "Backend": leaver.service, "Address": leaver.address, "Zone": leaver.zone, "Slots": leaver.slots,
			"State": "ready",
		})
		t.record.say("the entry of %s comes from another writer: fields are missing", leaver.id)
	}
	t.sleepUntil(13.1)
	leaver.end()
	t.record.say("server %s ends", leaver.id)
	t.sleepUntil(14)
	t.list(servers[1:])
	t.record.say("the list holds the platform's own entries again")
	t.sleepUntil(17)
	stop()
	t.clients.wait()
	if ended := t.fleet.hasEnded(); len(ended) > 0 {
		return nil, fmt.Errorf("processes ended by themselves: %v", ended)
	}
	return t.lateArrivals(leaver, shownAt), nil
}

// lateArrivals returns the requests that reached a leaving server although their
// client sent them later than the drain time after the list showed it, or after the
// host that sent them on had passed on an answer that said so.
func (t *trial) lateArrivals(s *server, shownAt time.Time) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var violations []string
	for _, a := range s.arrivals {
		request, ok := t.clients.get(a.id)
		if !ok {
			violations = append(violations, fmt.Sprintf("UNASKED: %s runs %s, which no client sent", s.id, a.id))
			continue
		}
		late := request.at.Sub(shownAt)
		if late <= drainTime {
			continue
		}
		told := "never said so to that host"
		if at, ok := s.passedLeaving[a.from]; ok {
			told = fmt.Sprintf("had said so in an answer to that host %.1f s before", request.at.Sub(at).Seconds())
		}
		violations = append(violations, fmt.Sprintf(
			"DRAIN: request %s, sent at %.3f to %s, reaches %s, %.1f s after the list showed that it leaves; the server %s; the client gets %d",
			a.id, t.record.seconds(request.at), request.host, s.id, late.Seconds(), told, request.status))
	}
	return violations
}
