package node

import (
	"context"
	"errors"
	"time"

	"rhubarbrack/relay"
)

const (
	// lookupExpiryTime is how long a stopping entry host still accepts new
	// connections: callers use lookup responses for their time to live, and
	// some of them slightly longer.
	lookupExpiryTime = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace period the process
	// exits.
	stopMargin = 500 * time.Millisecond
	// answerTime is how long before that the requests in flight are given up, so
	// that their callers get an answer.
	answerTime = 300 * time.Millisecond
	// stopReserve is the time at the end of a grace period in which targets are no
	// longer waited for.
	stopReserve = answerTime + stopMargin
	// reserveParts is the number of equal parts of a grace period of which the reserve
	// is the last one at most. In the others, callers rely on targets being waited for.
	reserveParts = 6
)

// stopTimes are the parts of the grace period of an entry host.
type stopTimes struct {
	// lookup is how long callers are served as before, and finish how long requests in
	// flight may take after it.
	lookup, finish time.Duration
	// answer is how long the answers to those that are given up may take.
	answer time.Duration
}

// newStopTimes returns the parts of a grace period. In a short one, the reserve and the
// time for answers within it are shorter in proportion.
func newStopTimes(gracePeriod time.Duration) stopTimes {
	lookup := min(lookupExpiryTime, gracePeriod/2)
	reserve := min(stopReserve, gracePeriod/reserveParts)
	answer := time.Duration(float64(reserve) * answerTime.Seconds() / stopReserve.Seconds())
	return stopTimes{lookup: lookup, finish: gracePeriod - lookup - reserve, answer: answer}
}

// givesUpAt returns when requests are given up, from the beginning of the stop.
func (t stopTimes) givesUpAt() time.Duration { return t.lookup + t.finish }

// stopping holds the parts of an entry host that take part in its stop.
type stopping struct {
	host      HostConfig
	admission *relay.Admission
	front     *relay.Front
	handler   *relay.Handler
	peers     *peerFront
	// pacer is nil if the link is fast.
	pacer *relay.Pacer
}

// drain serves the callers that still come, and then finishes the requests in
// flight. Those that are unanswered shortly before the end of the grace period are
// answered as ones that may have run.
func (s stopping) drain(ctx context.Context) {
	c := s.host
	times := newStopTimes(c.gracePeriod)
	s.admission.StopBy(c.clock.Now().Add(times.givesUpAt()))
	s.logWork(ctx, "node: accepted requests at the stop")
	s.pacer.Drain()
	s.peers.refuse()
	s.front.Drain()
	c.sleep(times.lookup)
	s.handler.Stop()
	s.pacer.Finish()
	if s.shutdown(ctx, times.finish) == nil {
		return
	}
	c.log.Warn("node: requests are given up at the end of the grace period", "host", c.host)
	s.logWork(ctx, "node: accepted requests at the end of the grace period")
	s.handler.End()
	s.peers.end()
	if err := s.shutdown(ctx, times.answer); err != nil {
		c.log.Warn("node: connections were closed at the end of the grace period", "error", err)
	}
}

// shutdown returns when all requests have been answered, or after the given time.
func (s stopping) shutdown(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return shutDown(ctx, s.front, s.peers)
}

// shutter is a front end that can be shut down.
type shutter interface {
	// Shutdown returns when all requests have been answered or ctx ends.
	Shutdown(ctx context.Context) error
}

// shutDown shuts front ends down at the same time, so that none has to wait for the
// requests of another one.
func shutDown(ctx context.Context, fronts ...shutter) error {
	results := make(chan error, len(fronts))
	for _, f := range fronts {
		go func() { results <- f.Shutdown(ctx) }()
	}
	var all error
	for range fronts {
		all = errors.Join(all, <-results)
	}
	return all
}

// logWork logs what the host has accepted and not yet answered.
func (s stopping) logWork(ctx context.Context, message string) {
	c := s.host
	w, err := s.admission.Work(ctx)
	if err != nil {
		c.log.Warn(message+" are unknown", "error", err)
		return
	}
	c.log.Info(message, "host", c.host, "requests", w.Requests(), "begun", w.Begun(), "bytes", w.Bytes())
}

func (c HostConfig) sleep(d time.Duration) { <-c.clock.NewTimer(d).C() }
