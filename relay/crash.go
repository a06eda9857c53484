package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/clock"
	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/link"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

// The messages of the admission task about requests that may crash targets.
type (
	requestLost struct {
		choice      spread.Choice
		fingerprint ident.Fingerprint
	}
	requestAnswered struct{ fingerprint ident.Fingerprint }
	confirmRequest  struct {
		decision    admit.Decision
		fingerprint ident.Fingerprint
		reply       tasks.Reply[admit.Decision]
	}
	checkDone struct {
		target   spread.Target
		hasEnded bool
	}
	getSuspects struct {
		since time.Time
		reply tasks.Reply[[]guard.Report]
	}
	mergeSuspects struct{ reports []guard.Report }
)

// checkDelays are the pauses before each check whether a process has ended: its
// listener may outlive its connections for a moment.
var checkDelays = []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond}

// checkTimeout bounds the checks of one process.
const checkTimeout = 2 * time.Second

// SuspectReports returns what has changed since a time about requests that may
// crash targets.
func (a *Admission) SuspectReports(ctx context.Context, since time.Time) ([]guard.Report, error) {
	list, err := tasks.Ask(ctx, a.ref, func(reply tasks.Reply[[]guard.Report]) any {
		return getSuspects{since: since, reply: reply}
	})
	if err != nil {
		return nil, fmt.Errorf("suspected requests: %w", err)
	}
	return list, nil
}

// MergeSuspects applies what other hosts have reported about requests that may
// crash targets.
func (a *Admission) MergeSuspects(reports []guard.Report) {
	a.ref.Tell(mergeSuspects{reports: reports})
}

// isSuspected reports whether a request may have crashed targets.
func (a *Admission) isSuspected(f func() ident.Fingerprint) bool {
	suspected := a.suspected.Load()
	return suspected != nil && len(*suspected) > 0 && (*suspected)[f()]
}

// handleSuspicion handles the messages about requests that may crash targets. It
// returns false for other messages.
func (t *admissionTask) handleSuspicion(now time.Time, message any) bool {
	switch m := message.(type) {
	case requestLost:
		if check, ok := t.controller.RecordLoss(now, m.choice, m.fingerprint); ok {
			go t.check(check)
		}
	case requestAnswered:
		t.controller.RecordResponse(now, m.fingerprint)
	case checkDone:
		t.recordCheck(now, m)
	case mergeSuspects:
		t.controller.MergeSuspects(now, m.reports)
	case confirmRequest:
		m.reply.Send(t.controller.ConfirmRequest(now, m.decision, m.fingerprint))
		return true
	case getSuspects:
		m.reply.Send(t.controller.SuspectReports(now, m.since))
	default:
		return false
	}
	suspected := t.controller.Suspected()
	t.suspected.Store(&suspected)
	return true
}

// check finds out whether the process of a target has ended.
func (t *admissionTask) check(c admit.Check) {
	ctx, cancel := context.WithTimeout(t.ctx, checkTimeout)
	defer cancel()
	hasEnded, err := t.hasEnded(ctx, c)
	if err != nil {
		t.log.Info("relay: end of a target not confirmed", "target", c.Target().ID(), "error", err)
	}
	t.self.Tell(checkDone{target: c.Target(), hasEnded: hasEnded})
}

// hasEnded reports whether new connections to a target are refused although a
// reference target accepts them.
func (t *admissionTask) hasEnded(ctx context.Context, c admit.Check) (bool, error) {
	var last error
	for _, delay := range checkDelays {
		if !clock.Sleep(ctx, t.clock, delay) {
			return false, fmt.Errorf("check target: %w", ctx.Err())
		}
		isRefused, err := t.connections.IsRefused(ctx, c.Target().Address())
		if isRefused {
			return t.acceptsAny(ctx, c.References())
		}
		last = err
	}
	if last != nil {
		return false, fmt.Errorf("check target: %w", last)
	}
	return false, nil
}

// acceptsAny reports whether one of the targets accepts a new connection.
func (t *admissionTask) acceptsAny(ctx context.Context, targets []spread.Target) (bool, error) {
	var last error
	for _, target := range targets {
		isRefused, err := t.connections.IsRefused(ctx, target.Address())
		if err == nil && !isRefused {
			return true, nil
		}
		if err != nil {
			last = fmt.Errorf("check reference target %s: %w", target.ID(), err)
		}
	}
	return false, last
}

// recordCheck applies the result of a check and logs the requests that the
// process was running.
func (t *admissionTask) recordCheck(now time.Time, m checkDone) {
	for _, s := range t.controller.RecordCheck(now, m.target, m.hasEnded) {
		t.log.Warn("relay: target ended during a request", "target", m.target.ID(), "service", m.target.Service(),
			"fingerprint", s.Fingerprint().String(), "crashes", s.Crashes(), "refused", s.IsRefused())
	}
}

// confirmSuspected asks the admission controller whether a request that may have
// crashed targets is still sent.
func (rh *requestHandler) confirmSuspected(d admit.Decision) admit.Decision {
	f := rh.fingerprint(d)
	ctx := context.WithoutCancel(rh.incoming.Context())
	next, err := tasks.Ask(ctx, rh.handler.admission.ref, func(reply tasks.Reply[admit.Decision]) any {
		return confirmRequest{decision: d, fingerprint: f, reply: reply}
	})
	if err != nil {
		rh.handler.log.Warn("relay: request not confirmed", "request", rh.request.ID(), "error", err)
		rh.recordResult(d, spread.Abandoned, Response{})
		return d.WithRefusal(admit.NotReady)
	}
	return next
}

// reportLoss reports a request whose connection to a target broke. Bytes that are
// no response say nothing about the process of the target.
func (rh *requestHandler) reportLoss(d admit.Decision, err error) {
	if _, isForwarded := d.Peer().Get(); isForwarded || errors.Is(err, link.ErrResponseMismatch) || errors.Is(err, link.ErrHeadTooLong) {
		return
	}
	rh.wasLost = true
	rh.handler.admission.ref.Tell(requestLost{choice: d.Choice(), fingerprint: rh.fingerprint(d)})
}

// reportResponse reports a response of a target to a request that may have crashed
// others.
func (rh *requestHandler) reportResponse(d admit.Decision) {
	f := func() ident.Fingerprint { return rh.fingerprint(d) }
	if rh.wasLost || rh.handler.admission.isSuspected(f) {
		rh.handler.admission.ref.Tell(requestAnswered{fingerprint: f()})
	}
}
