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
)

// drain serves the callers that still come, and then finishes the requests in
// flight. Those that are unanswered shortly before the end of the grace period are
// answered as ones that may have run.
func (c HostConfig) drain(
	ctx context.Context, admission *relay.Admission, front *relay.Front, handler *relay.Handler, peers *peerFront,
) {
	lookupWait := min(lookupExpiryTime, c.gracePeriod/2)
	finishTime := max(c.gracePeriod-lookupWait-stopMargin-answerTime, 0)
	admission.StopBy(c.clock.Now().Add(lookupWait + finishTime))
	c.logWork(ctx, admission, "node: accepted requests at the stop")
	peers.refuse()
	front.Drain()
	c.sleep(lookupWait)
	handler.Stop()
	shutdown := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return errors.Join(front.Shutdown(ctx), peers.shutdown(ctx))
	}
	if shutdown(finishTime) == nil {
		return
	}
	c.log.Warn("node: requests are given up at the end of the grace period", "host", c.host)
	c.logWork(ctx, admission, "node: accepted requests at the end of the grace period")
	handler.End()
	peers.end()
	if err := shutdown(answerTime); err != nil {
		c.log.Warn("node: connections were closed at the end of the grace period", "error", err)
	}
}

// logWork logs what the host has accepted and not yet answered.
func (c HostConfig) logWork(ctx context.Context, admission *relay.Admission, message string) {
	w, err := admission.Work(ctx)
	if err != nil {
		c.log.Warn(message+" are unknown", "error", err)
		return
	}
	c.log.Info(message, "host", c.host, "requests", w.Requests(), "begun", w.Begun(), "bytes", w.Bytes())
}

func (c HostConfig) sleep(d time.Duration) { <-c.clock.NewTimer(d).C() }
