package relay

import (
	"context"
	"log/slog"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/ident"
	"rhubarbrack/reach"
	"rhubarbrack/tasks"
)

const (
	// probeDelay is the time between two checks whether probes are due.
	probeDelay = reach.ProbeInterval / 4
	// probeTimeout limits a probe. It covers the time that a health check may
	// wait behind the requests of a busy target.
	probeTimeout = time.Second
)

// applyReach logs services that got out of reach or within reach again, and makes
// sure that probes are sent while a service is suspected to be out of reach. A line
// without a service concerns all of them.
func (t *admissionTask) applyReach(changes []reach.Change) {
	for _, c := range changes {
		if c.IsCutOff() {
			t.log.Warn("relay: targets are out of reach", "service", c.Service(), "failed", c.Failed())
			continue
		}
		t.log.Info("relay: targets are within reach again", "service", c.Service(), "after-ms", millis(c.Lasted()))
	}
	if !t.probesScheduled && t.controller.NeedsProbes(t.clock.Now()) {
		t.probesScheduled = true
		tasks.After(t.ctx, t.clock, probeDelay, t.self, probesDue{})
	}
}

// sendProbes sends the probes that are due.
func (t *admissionTask) sendProbes(now time.Time) {
	t.probesScheduled = false
	for _, p := range t.controller.TakeProbes(now) {
		go t.probe(p)
	}
	t.applyReach(nil)
}

// probe sends one probe and reports its result to the task.
func (t *admissionTask) probe(p admit.Probe) {
	ctx, cancel := context.WithTimeout(t.ctx, probeTimeout)
	defer cancel()
	r, err := t.connections.Probe(ctx, p.Target().Address(), p.Path())
	if err != nil {
		t.log.Info("relay: probe failed", "target", p.Target().ID(), "error", err)
		t.self.Tell(probeDone{target: p.Target()})
		return
	}
	t.self.Tell(probeDone{target: p.Target(), statement: ident.Some(t.decoder.DecodeStatement(r))})
}

// recordProbe applies the result of a probe, and what the target has said of itself.
func (t *admissionTask) recordProbe(now time.Time, m probeDone) {
	statement, responded := m.statement.Get()
	if responded {
		t.logChanges(m.target.ID(), statement, t.controller.Table().ObserveProbe(now, m.target, statement))
	}
	t.applyReach(t.controller.RecordProbe(now, m.target, responded))
}

// recordPeer applies the result of an attempt through another entry host.
func (t *admissionTask) recordPeer(now time.Time, m peerResult) {
	t.controller.RecordPeer(now, m.peer, m.service, m.began, m.result)
	target, ok := m.target.Get()
	if !ok {
		return
	}
	// The answer may have been under way for long, but not since before the
	// request was sent.
	changes := t.controller.Table().ObserveForwarded(now, m.began, target.id, target.startedAt, m.statement)
	t.logChanges(target.id, m.statement, changes, slog.String("peer", m.peer.Address()))
}
